"""The history of a run as the stand-ins on the sockets observed it: the only input of the history checker.

Times are in seconds of one monotonic clock.
"""

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

NEVER = float("inf")


class EffectApplied(Enum):
    """Whether a call had its effect, as far as the endpoint knows."""

    YES = "yes"
    MAYBE = "maybe"  # the connection ended after the last byte, or the sender gave the call up
    NEVER = "never"


@dataclass(frozen=True, slots=True)
class MessageAdmitted:
    """The sender has admitted a message."""

    at: float
    message: str
    kind: str
    destination: int
    until: float  # its deadline
    key: str = ""
    sender: str = ""


@dataclass(frozen=True, slots=True)
class MessageRejected:
    """The sender has rejected a message: no call for it may follow."""

    at: float
    message: str


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """An endpoint has received the last byte of a call."""

    at: float
    message: str
    endpoint: str
    call: int  # the number of the call
    sender: str = ""  # the caller, where there are several


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """A call has been answered, or its connection has ended."""

    at: float
    call: int
    ran: EffectApplied
    wait: float = 0.0  # the Retry-After of the answer, s


@dataclass(frozen=True, slots=True)
class MessageCompleted:
    """The sender has completed a message as `delivered`, `refused`, `failed` or `withdrawn`."""

    at: float
    message: str
    state: str


@dataclass(frozen=True, slots=True)
class EndpointDrained:
    """The sender has been notified that an endpoint drains or is removed."""

    at: float
    endpoint: str
    sender: str = ""


@dataclass(frozen=True, slots=True)
class EndpointRestored:
    """The sender has been notified that a drained or removed endpoint is ready again."""

    at: float
    endpoint: str
    sender: str = ""


@dataclass(frozen=True, slots=True)
class Outage:
    """A destination was down, silent or failing from `at` to `until`.

    `seen_by` holds the senders that saw a call fail meanwhile; empty means any of them.
    """

    at: float
    until: float
    destination: int
    seen_by: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class SenderRestarted:
    """A sender has restarted: the outcome of its calls in flight before is unknown."""

    at: float
    sender: str = ""
    back: float = 0.0  # when it was up again, if it was down for some time


HistoryEvent = (
    MessageAdmitted
    | MessageRejected
    | AttemptStarted
    | AttemptFinished
    | MessageCompleted
    | EndpointDrained
    | EndpointRestored
    | Outage
    | SenderRestarted
)


@dataclass(slots=True)
class ObservedCall:
    """A call and its end, as far as they were observed.

    Attributes:
        start: Its start.
        finish: Its end, if there was one.
        restarted_at: When its sender restarted while it was in flight, if that happened.
    """

    start: AttemptStarted
    finish: AttemptFinished | None = None
    restarted_at: float | None = None

    def end(self) -> float:
        """Return when it was over for the sender; NEVER if that was not observed."""
        if self.finish:
            return self.finish.at
        return self.restarted_at if self.restarted_at is not None else NEVER

    def may_have_run(self) -> bool:
        """Return whether it may have had its effect."""
        return self.finish is None or self.finish.ran is not EffectApplied.NEVER


@dataclass(slots=True)
class History:
    """The events of a run, in the order in which they were observed."""

    clock: Callable[[], float] = time.monotonic
    events: list[HistoryEvent] = field(default_factory=list)
    calls: int = 0

    def record(self, event: HistoryEvent) -> None:
        """Append an event."""
        self.events.append(event)

    def record_start(self, message: str, endpoint: str, sender: str = "") -> int:
        """Record a call that an endpoint received in full, and return the call's number."""
        self.calls += 1
        self.record(AttemptStarted(self.clock(), message, endpoint, self.calls, sender))
        return self.calls

    def record_end(self, call: int, effect: EffectApplied, wait: float = 0.0) -> None:
        """Record the end of a call; `wait` is the Retry-After of its answer in seconds."""
        self.record(AttemptFinished(self.clock(), call, effect, wait))


def max_count_within(times: Iterable[float], span: float) -> int:
    """Return the most of these times in any half-open interval of length `span`."""
    in_order = sorted(times)
    first = 0
    max_count = 0
    for last, at in enumerate(in_order):
        while in_order[first] <= at - span:
            first += 1
        max_count = max(max_count, last - first + 1)
    return max_count
