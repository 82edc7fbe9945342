"""In-memory state of the journal: messages and their attempts."""

from dataclasses import dataclass, field
from typing import NamedTuple

from message_sender.message import Message
from message_sender.policy.model import NEVER_RAN, Outcome


@dataclass(slots=True)
class AttemptRecord:
    """One attempt of a message.

    Attributes:
        started_us: Start time, wall clock, us; 0 if it is not known.
        endpoint: Id of the endpoint.
        zone: Zone of the endpoint.
        outcome: None while the attempt is in flight; after a restart, None means that it was in flight when
            the process ended.
    """

    started_us: int
    endpoint: str
    zone: str
    outcome: Outcome | None = None

    def may_have_run(self) -> bool:
        """Whether the endpoint may have processed the attempt."""
        return self.outcome not in NEVER_RAN


UNKNOWN_ATTEMPT = AttemptRecord(0, "", "")  # placeholder for an attempt whose record is lost


#: The states of a recorded completion; the values of `core.ports.CompletionState`.
COMPLETION_STATES = frozenset({"delivered", "refused", "failed", "withdrawn"})


class RecordedCompletion(NamedTuple):
    """A recorded completion that may not have been delivered to the caller yet."""

    state: str
    retry_after_us: int


@dataclass(slots=True)
class JournalEntry:
    """An accepted message that has not finished.

    Attributes:
        message: The message as it was accepted.
        attempts: Attempts by number, in the order in which they started.
        size_bytes: Total size of the message's records.
        is_doubtful: Whether an unreadable record may have belonged to this message, so that an unknown
            attempt may have run.
        completion: The completion, once it has been recorded.
    """

    message: Message
    attempts: dict[int, AttemptRecord] = field(default_factory=dict)
    size_bytes: int = 0
    is_doubtful: bool = False
    completion: RecordedCompletion | None = None

    def is_delivered(self) -> bool:
        """Whether an attempt succeeded."""
        return any(attempt.outcome is Outcome.OK for attempt in self.attempts.values())

    def first_uncertain_attempt(self, excluded_number: int = -1) -> AttemptRecord | None:
        """Returns the first attempt that may have run.

        Args:
            excluded_number: Number of an attempt to leave out, because it is still in flight and its outcome
                will be reported.
        """
        if self.is_doubtful:
            return UNKNOWN_ATTEMPT
        for number, attempt in self.attempts.items():
            if number != excluded_number and attempt.may_have_run():
                return attempt
        return None


@dataclass(frozen=True, slots=True)
class FinishedMessage:
    """The data kept for a finished message.

    Attributes:
        finished_us: Time at which it finished, wall clock, us.
        state: Its completion state.
        key: Its ordering key.
    """

    finished_us: int
    state: str
    key: str
