"""How far a sender trusts its stored state after a restart. Pure.

A run ends in one of three ways: *clean* (the journal was closed), *process* (the process ended, but the
machine's boot id is unchanged) or *power* (the boot id has changed). After a power loss, and whenever the
wall clock is before the latest recorded time, the elapsed time is unknown.

The rules for each kind of knowledge (`TRUST_RULES`):

- **Owed messages** are always trusted, because the journal is their only record. Elapsed time can only
  shorten a message's remaining time: it is at most what remained when the message was last recorded, and
  never more than its class allows. An attempt that may have run keeps that mark without a time limit. The
  window in which the receiver drops a repeat is measured in time, so it counts as over when the elapsed time
  is unknown.
- **Observations** (breakers, Retry-After, rates) have an age. Recent ones are trusted; of older ones only
  values that make the sender more cautious; the oldest are dropped. When the elapsed time is unknown, a
  Retry-After applies in full from the restart on, because its actual remainder can only be shorter.
- **Grants** (leases, trials) are never trusted across a restart, because the time until they end cannot be
  determined.
"""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import Enum

from message_sender.journal.contents import PreviousRun
from message_sender.journal.entries import JournalEntry

SECOND_US = 1_000_000
FOREVER = float("inf")


class PreviousEnd(Enum):
    """How the previous run ended. The log shows the member's name in lower case."""

    FIRST = "no previous run"
    CLEAN = "the journal was closed"
    PROCESS = "the process ended"
    POWER = "the machine lost power"


class Confidence(Enum):
    """How far a kind of knowledge is trusted."""

    TRUSTED = "trusted"
    CONSERVATIVE = "trusted where it makes the sender more cautious"
    DROPPED = "dropped"


class KnowledgeKind(Enum):
    """The kinds of state that a sender keeps."""

    OWED_MESSAGES = "owed messages and their attempts"
    FINISHED_IDS = "ids of completed messages"
    KEY_PAUSES = "pauses of keys"
    RETRY_AFTER = "Retry-After"
    BREAKERS = "breakers"
    GAPS = "gaps"
    SLOW_STARTS = "slow starts"
    USUAL_RATES = "usual rates"
    OUT_OF_SERVICE = "endpoints out of service"
    ENDPOINT_LIST = "endpoint list"
    GRANTS = "grants"


@dataclass(frozen=True, slots=True)
class TrustRule:
    """How long one kind of knowledge is trusted.

    Attributes:
        storage: Where it is stored.
        trusted_us: The greatest age at which it is trusted, in microseconds; FOREVER: no limit.
        conservative_us: The greatest age at which values that make the sender more cautious are trusted, in
            microseconds.
        max_if_time_unknown: The highest confidence when the elapsed time is unknown.
    """

    storage: str
    trusted_us: float
    conservative_us: float
    max_if_time_unknown: Confidence = Confidence.CONSERVATIVE


TRUST_RULES = {
    KnowledgeKind.OWED_MESSAGES: TrustRule("journal", FOREVER, FOREVER, Confidence.TRUSTED),
    KnowledgeKind.FINISHED_IDS: TrustRule("journal", FOREVER, FOREVER, Confidence.TRUSTED),
    KnowledgeKind.KEY_PAUSES: TrustRule("journal", FOREVER, FOREVER),
    KnowledgeKind.RETRY_AFTER: TrustRule("snapshot", FOREVER, FOREVER),
    KnowledgeKind.BREAKERS: TrustRule("snapshot", 10 * SECOND_US, 60 * SECOND_US),
    KnowledgeKind.GAPS: TrustRule("snapshot", 10 * SECOND_US, 60 * SECOND_US),
    KnowledgeKind.SLOW_STARTS: TrustRule("snapshot", 10 * SECOND_US, 3600 * SECOND_US),
    KnowledgeKind.USUAL_RATES: TrustRule(
        "snapshot", 3600 * SECOND_US, 24 * 3600 * SECOND_US, Confidence.TRUSTED
    ),
    KnowledgeKind.OUT_OF_SERVICE: TrustRule("overrides", FOREVER, FOREVER, Confidence.TRUSTED),
    KnowledgeKind.ENDPOINT_LIST: TrustRule("configuration", FOREVER, FOREVER, Confidence.TRUSTED),
    KnowledgeKind.GRANTS: TrustRule("nowhere", 0, 0, Confidence.DROPPED),
}


@dataclass(frozen=True, slots=True)
class StartConditions:
    """The conditions under which a run starts.

    Attributes:
        previous_end: How the previous run ended.
        clock_lag_us: How far the wall clock is behind the latest recorded time, in microseconds, or 0.
        elapsed_us: The time since the latest recorded time, in microseconds; None: unknown.
    """

    previous_end: PreviousEnd
    clock_lag_us: int = 0
    elapsed_us: int | None = 0

    def confidence_in(self, kind: KnowledgeKind, age_us: int = 0) -> Confidence:
        """Returns how far knowledge is trusted.

        Args:
            kind: The kind of knowledge.
            age_us: Its age at the end of the previous run, in microseconds.
        """
        rule = TRUST_RULES[kind]
        is_time_unknown = self.elapsed_us is None
        if is_time_unknown and rule.max_if_time_unknown is Confidence.DROPPED:
            return Confidence.DROPPED
        age_now_us = age_us + (self.elapsed_us or 0)
        if age_now_us > rule.conservative_us:
            return Confidence.DROPPED
        if age_now_us > rule.trusted_us:
            return Confidence.CONSERVATIVE
        return rule.max_if_time_unknown if is_time_unknown else Confidence.TRUSTED


def judge_start(previous_run: PreviousRun, boot_id: str, now_us: int) -> StartConditions:
    """Returns the conditions of a start.

    Args:
        previous_run: What the journal recorded about the previous run.
        boot_id: The id of the machine's current boot.
        now_us: The machine's wall clock, in microseconds.
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
    """Limits the deadlines and repeat windows of owed messages to what is trusted after a restart.

    Args:
        entries: The entries of the journal, by message id; changed in place.
        conditions: The conditions of the start.
        now_us: The time, in microseconds, of a clock that continues from the latest recorded time.
        deadlines_us: The longest time that a message may take, in microseconds, by class.
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
