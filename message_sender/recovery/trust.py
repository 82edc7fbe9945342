"""What a sender believes of what it knew before it ended. Pure.

Three kinds of ends are told apart: a *clean* one (the journal was closed), one of the *process* (the
machine's boot id is the same) and one of the *power* (the boot id is another one). After the last one, and
wherever the wall clock stands before the latest time on record, nobody knows how much time has passed.

The rules, for each kind of knowledge (`TRUST_RULES`):

- What is **owed** is believed always: the journal alone tells it. Time only takes from it: a message has at
  the most the time left that it had when it was last on record, and never more than its class allows. An
  attempt that may have run keeps that for ever; how long a repeat is dropped is counted in time, so where
  nobody knows how much has passed, that window is over.
- What is **observed** (breakers, waits, rates) has an age. Young, it is believed; older, only what makes a
  sender more careful; oldest, nothing. A Retry-After is believed in full from the restart on where the time
  is not known: it can only be shorter in truth.
- What is **granted** (leases, trials) is never believed over a restart: its end cannot be counted.
"""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import Enum

from message_sender.journal.contents import PreviousRun
from message_sender.journal.entries import JournalEntry

SECOND_US = 1_000_000
FOREVER = float("inf")


class PreviousEnd(Enum):
    """How the run before ended. The texts are shown to people."""

    FIRST = "there was none"
    CLEAN = "closed"
    PROCESS = "the process ended"
    POWER = "the power went"


class Confidence(Enum):
    """How far a kind of knowledge is believed."""

    BELIEVED = "believed"
    CAREFUL = "believed where it is the more careful"
    DROPPED = "dropped"


class KnowledgeKind(Enum):
    """What a sender knows."""

    OWED_MESSAGES = "owed messages and their attempts"
    FINISHED_IDS = "ids that are over"
    RESTING_KEYS = "key rests"
    RETRY_AFTER = "told waits"
    BREAKERS = "breakers"
    GAPS = "gaps"
    WARM_UPS = "warm-ups"
    USUAL_RATES = "usual rates"
    OUT_OF_SERVICE = "endpoints out of service"
    ENDPOINT_LIST = "the list"
    GRANTS = "grants"


@dataclass(frozen=True, slots=True)
class TrustRule:
    """How long one kind of knowledge is believed.

    Attributes:
        storage: Where it is kept.
        believed_us: Until which age it is believed; FOREVER: always.
        careful_us: Until which age it is believed where it is the more careful of two.
        best_after_power_loss: The most that it is believed once nobody knows how much time has passed.
    """

    storage: str
    believed_us: float
    careful_us: float
    best_after_power_loss: Confidence = Confidence.CAREFUL


TRUST_RULES = {
    KnowledgeKind.OWED_MESSAGES: TrustRule("journal", FOREVER, FOREVER, Confidence.BELIEVED),
    KnowledgeKind.FINISHED_IDS: TrustRule("journal", FOREVER, FOREVER, Confidence.BELIEVED),
    KnowledgeKind.RESTING_KEYS: TrustRule("journal", FOREVER, FOREVER),
    KnowledgeKind.RETRY_AFTER: TrustRule("snapshot", FOREVER, FOREVER),
    KnowledgeKind.BREAKERS: TrustRule("snapshot", 10 * SECOND_US, 60 * SECOND_US),
    KnowledgeKind.GAPS: TrustRule("snapshot", 10 * SECOND_US, 60 * SECOND_US),
    KnowledgeKind.WARM_UPS: TrustRule("snapshot", 10 * SECOND_US, 3600 * SECOND_US),
    KnowledgeKind.USUAL_RATES: TrustRule(
        "snapshot", 3600 * SECOND_US, 24 * 3600 * SECOND_US, Confidence.BELIEVED
    ),
    KnowledgeKind.OUT_OF_SERVICE: TrustRule("overrides", FOREVER, FOREVER, Confidence.BELIEVED),
    KnowledgeKind.ENDPOINT_LIST: TrustRule("configuration", FOREVER, FOREVER, Confidence.BELIEVED),
    KnowledgeKind.GRANTS: TrustRule("nowhere", 0, 0, Confidence.DROPPED),
}


@dataclass(frozen=True, slots=True)
class StartConditions:
    """How a run begins: what came before, and what its clock is worth.

    Attributes:
        previous_end: How the run before ended.
        clock_lag_us: By which the wall clock stands before the latest time on record.
        elapsed_us: Since that time; None: nobody knows.
    """

    previous_end: PreviousEnd
    clock_lag_us: int = 0
    elapsed_us: int | None = 0

    def confidence_in(self, kind: KnowledgeKind, age_us: int = 0) -> Confidence:
        """Returns how far knowledge is believed. `age_us`: its age at the end of the run before."""
        rule = TRUST_RULES[kind]
        is_time_unknown = self.elapsed_us is None
        if is_time_unknown and rule.best_after_power_loss is Confidence.DROPPED:
            return Confidence.DROPPED
        age_now_us = age_us + (self.elapsed_us or 0)
        if age_now_us > rule.careful_us:
            return Confidence.DROPPED
        if age_now_us > rule.believed_us:
            return Confidence.CAREFUL
        return rule.best_after_power_loss if is_time_unknown else Confidence.BELIEVED


def judge_start(previous_run: PreviousRun, boot_id: str, now_us: int) -> StartConditions:
    """Returns the conditions of a start.

    Args:
        previous_run: What the journal tells.
        boot_id: Names the machine's boot.
        now_us: Its wall clock.
    """
    if not previous_run.latest_us:
        return StartConditions(PreviousEnd.FIRST)
    clock_lag_us = max(previous_run.latest_us - now_us, 0)
    previous_end = _previous_end(previous_run, boot_id)
    if previous_end is PreviousEnd.POWER or clock_lag_us > 0:
        return StartConditions(previous_end, clock_lag_us, None)
    return StartConditions(previous_end, clock_lag_us, now_us - previous_run.latest_us)


def _previous_end(previous_run: PreviousRun, boot_id: str) -> PreviousEnd:
    if previous_run.was_closed:
        return PreviousEnd.CLEAN
    if previous_run.boot_id == boot_id:
        return PreviousEnd.PROCESS
    return PreviousEnd.POWER


def limit_entries(
    entries: dict[str, JournalEntry],
    conditions: StartConditions,
    now_us: int,
    deadlines_us: Mapping[str, int],
) -> None:
    """Changes what is owed to what is believed of it.

    Args:
        entries: Of the journal; changed in place.
        conditions: Of the start.
        now_us: The clock that goes on from the latest time on record.
        deadlines_us: The most time of a message, by class.
    """
    for entry in entries.values():
        message = entry.message
        latest_deadline_us = now_us + deadlines_us.get(message.message_class, 0)
        if message.deadline_us > latest_deadline_us:
            entry.message = replace(message, deadline_us=latest_deadline_us)
        if conditions.elapsed_us is None:
            for attempt in entry.attempts.values():
                if attempt.may_have_run():
                    attempt.started_us = 0
