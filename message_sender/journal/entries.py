"""What the journal keeps of messages and attempts in memory."""

from dataclasses import dataclass, field
from typing import NamedTuple

from message_sender.message import Message
from message_sender.policy.model import NEVER_RAN, Outcome


@dataclass(slots=True)
class AttemptRecord:
    """One attempt of a message.

    Attributes:
        started_us: Wall clock; 0 where that is not known any more.
        endpoint: Id of the endpoint.
        zone: Zone of the endpoint.
        outcome: None while it is in flight; after a restart None means that it was in flight as the process
            ended.
    """

    started_us: int
    endpoint: str
    zone: str
    outcome: Outcome | None = None

    def may_have_run(self) -> bool:
        """Whether the attempt may have had its effect."""
        return self.outcome not in NEVER_RAN


UNKNOWN_ATTEMPT = AttemptRecord(0, "", "")  # stands for an attempt whose record is lost


class RecordedCompletion(NamedTuple):
    """A completion that is on record and may not have been delivered to the caller yet."""

    state: str
    retry_after_us: int


@dataclass(slots=True)
class JournalEntry:
    """An accepted message that is not over.

    Attributes:
        message: As it was accepted.
        attempts: By number, in the order in which they started.
        size_bytes: Of its records.
        is_doubtful: A record that may have been one of this message's cannot be read, so an unknown attempt
        may have run. completion: Its completion, once that is on record.
    """

    message: Message
    attempts: dict[int, AttemptRecord] = field(default_factory=dict)
    size_bytes: int = 0
    is_doubtful: bool = False
    completion: RecordedCompletion | None = None

    def is_delivered(self) -> bool:
        """Whether an attempt succeeded."""
        return any(attempt.outcome is Outcome.OK for attempt in self.attempts.values())

    def first_risky_attempt(self, excluded_number: int = -1) -> AttemptRecord | None:
        """Returns the first attempt that may have run.

        Args:
            excluded_number: An attempt that is still in flight and whose outcome will be reported.
        """
        if self.is_doubtful:
            return UNKNOWN_ATTEMPT
        for number, attempt in self.attempts.items():
            if number != excluded_number and attempt.may_have_run():
                return attempt
        return None


@dataclass(frozen=True, slots=True)
class FinishedMessage:
    """What is kept of a message that is over.

    Attributes:
        finished_us: Wall clock.
        state: Its completion state.
        key: Its ordering key.
    """

    finished_us: int
    state: str
    key: str
