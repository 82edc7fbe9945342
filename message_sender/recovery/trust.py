"""What a sender believes of what it knew before it ended. Pure.

Three kinds of ends are told apart: a *clean* one (the journal was closed), one of the *process* (the
machine's run, its boot id, is the same) and one of the *power* (the run is another one). After the last one,
and wherever the wall clock stands before the latest time on record, nobody knows how much time has passed.

The rules, for each kind of knowledge (`TABLE`):

- What is **owed** is believed always: the journal alone tells it. Time only takes from it: a message has at
  the most the time left that it had when it was last on record, and never more than its class allows. An
  attempt that may have run keeps that for ever; how long a repeat is dropped is counted in time, so where
  nobody knows how much has passed, that window is over.
- What is **known** (breakers, waits, rates) has an age. Young, it is believed; older, only what makes a
  sender more careful; oldest, nothing. A wait that an endpoint told is believed in full from the restart on
  where the time is not known: it can only be shorter in truth.
- What is **allowed** (grants, trials) is never believed over a restart: its end cannot be counted.
"""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import Enum

from message_sender.journal.contents import PreviousRun
from message_sender.journal.entries import JournalEntry

SECOND = 1_000_000  # us
NEVER = float("inf")


class PreviousEnd(Enum):
    """How the life before ended."""

    FIRST = "there was none"
    CLEAN = "closed"
    PROCESS = "the process ended"
    POWER = "the power went"


class Confidence(Enum):
    BELIEVED = "believed"
    CAREFUL = "believed where it is the more careful"
    DROPPED = "dropped"


@dataclass(frozen=True, slots=True)
class TrustRule:
    """Of one kind of knowledge: where it stands, and until which age it is believed, and then believed as
    the more careful of two; us. NEVER: for ever."""

    stands: str
    believed: float
    careful: float
    after_power: Confidence = Confidence.CAREFUL  # at the best, once nobody knows how much time has passed


TABLE = {
    "owed messages and their attempts": TrustRule("journal", NEVER, NEVER, Confidence.BELIEVED),
    "ids that are over": TrustRule("journal", NEVER, NEVER, Confidence.BELIEVED),
    "key rests": TrustRule("journal", NEVER, NEVER),
    "told waits": TrustRule("snapshot", NEVER, NEVER),
    "breakers": TrustRule("snapshot", 10 * SECOND, 60 * SECOND),
    "gaps": TrustRule("snapshot", 10 * SECOND, 60 * SECOND),
    "warm-ups": TrustRule("snapshot", 10 * SECOND, 3600 * SECOND),
    "usual rates": TrustRule("snapshot", 3600 * SECOND, 24 * 3600 * SECOND, Confidence.BELIEVED),
    "endpoints out of service": TrustRule("overrides", NEVER, NEVER, Confidence.BELIEVED),
    "the list": TrustRule("configuration", NEVER, NEVER, Confidence.BELIEVED),
    "grants": TrustRule("nowhere", 0, 0, Confidence.DROPPED),
}


@dataclass(frozen=True, slots=True)
class StartConditions:
    """How a life begins: what came before, and what its clock is worth."""

    ended: PreviousEnd
    behind: int = 0  # us that the wall clock stands before the latest time on record
    passed: int | None = 0  # us since that time; None: nobody knows

    def belief(self, kind: str, age: int = 0) -> Confidence:
        """`age`: us, of what was known, at the end of the life before."""
        row = TABLE[kind]
        if self.passed is None and row.after_power is Confidence.DROPPED:
            return Confidence.DROPPED
        since = age + (self.passed or 0)
        if since > row.careful:
            return Confidence.DROPPED
        if since > row.believed:
            return Confidence.CAREFUL
        return row.after_power if self.passed is None else Confidence.BELIEVED


def judge(before: PreviousRun, boot: str, now: int) -> StartConditions:
    """`boot` names the machine's run, `now` is its wall clock in us."""
    if not before.latest_us:
        return StartConditions(PreviousEnd.FIRST)
    behind = max(before.latest_us - now, 0)
    ended = (
        PreviousEnd.CLEAN
        if before.was_closed
        else PreviousEnd.PROCESS
        if before.boot_id == boot
        else PreviousEnd.POWER
    )
    unknown = ended is PreviousEnd.POWER or behind > 0
    return StartConditions(ended, behind, None if unknown else now - before.latest_us)


def owed(
    entries: dict[str, JournalEntry], start: StartConditions, now: int, deadlines: Mapping[str, int]
) -> None:
    """Changes what is owed to what is believed of it. `now` is the clock that goes on from the latest time on
    record; `deadlines`: by class, us."""
    for entry in entries.values():
        message = entry.message
        latest = now + deadlines.get(message.message_class, 0)
        if message.deadline_us > latest:
            entry.message = replace(message, deadline_us=latest)
        if start.passed is None:
            for attempt in entry.attempts.values():
                if attempt.may_have_run():
                    attempt.started_us = 0
