"""The history of a run, as the stand-in clients and endpoints observed it on their sockets.

The history is the only input of the history checker. Times are in seconds of one monotonic clock.
"""

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

NEVER = float("inf")


class EffectApplied(Enum):
    """Whether a call had its effect, as far as the endpoint can tell."""

    YES = "yes"
    MAYBE = "maybe"  # the connection ended after the request's last byte, or the sender cancelled the call
    NEVER = "never"


@dataclass(frozen=True, slots=True)
class MessageAdmitted:
    """The sender has admitted a message."""

    at: float
    message: str
    kind: str
    destination: int
    until: float  # the deadline
    key: str = ""
    sender: str = ""


@dataclass(frozen=True, slots=True)
class MessageRejected:
    """The sender has rejected a message, so that no call for the message may follow."""

    at: float
    message: str


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """An endpoint has received the last byte of the request of a call."""

    at: float
    message: str
    endpoint: str
    call: int  # the number of the call
    sender: str = ""  # the calling sender, if the run has several senders


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """A call has been answered, or its connection has ended."""

    at: float
    call: int
    ran: EffectApplied
    wait: float = 0.0  # the Retry-After of the answer, in seconds


@dataclass(frozen=True, slots=True)
class MessageCompleted:
    """The sender has completed a message as `delivered`, `refused`, `failed` or `withdrawn`."""

    at: float
    message: str
    state: str


@dataclass(frozen=True, slots=True)
class EndpointDrained:
    """The sender has been notified that an endpoint is draining or has been removed."""

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

    `seen_by` names the senders for which a call failed during the outage; empty stands for all senders.
    """

    at: float
    until: float
    destination: int
    seen_by: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class SenderRestarted:
    """A sender has restarted, so that the outcomes of its calls in flight are unknown."""

    at: float
    sender: str = ""
    back: float = 0.0  # when the sender was running again, if the restart took time


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
    """The start and the end of a call.

    Attributes:
        start: The start of the call.
        finish: The end of the call; None if no end was observed.
        restarted_at: When the sender restarted while the call was in flight; None if it did not.
    """

    start: AttemptStarted
    finish: AttemptFinished | None = None
    restarted_at: float | None = None

    def end(self) -> float:
        """Return when the call ended for the sender; NEVER if no end was observed."""
        if self.finish:
            return self.finish.at
        return self.restarted_at if self.restarted_at is not None else NEVER

    def may_have_run(self) -> bool:
        """Return whether the call may have had its effect."""
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
        """Record a call that an endpoint has received in full, and return the number of the call."""
        self.calls += 1
        self.record(AttemptStarted(self.clock(), message, endpoint, self.calls, sender))
        return self.calls

    def record_end(self, call: int, effect: EffectApplied, wait: float = 0.0) -> None:
        """Record the end of a call; `wait` is the Retry-After of the answer in seconds."""
        self.record(AttemptFinished(self.clock(), call, effect, wait))


def max_count_within(times: Iterable[float], span: float) -> int:
    """Return the highest number of these times in any half-open interval of length `span`."""
    in_order = sorted(times)
    first = 0
    max_count = 0
    for last, at in enumerate(in_order):
        while in_order[first] <= at - span:
            first += 1
        max_count = max(max_count, last - first + 1)
    return max_count


def add_deliveries(history: History) -> list[HistoryEvent]:
    """Return the events of a history with a completion for each delivered message.

    The endpoint's first answer that states the effect completes a message. A later notice, from a process
    that could not know about this answer, does no harm (see the page on the protocol) and is left out.
    """
    message_of = {event.call: event.message for event in history.events if isinstance(event, AttemptStarted)}
    events: list[HistoryEvent] = []
    delivered: set[str] = set()
    for event in history.events:
        if not (isinstance(event, MessageCompleted) and event.message in delivered):
            events.append(event)
        if not isinstance(event, AttemptFinished) or event.ran is not EffectApplied.YES:
            continue
        message = message_of[event.call]
        if message not in delivered:
            delivered.add(message)
            events.append(MessageCompleted(event.at, message, "delivered"))
    return events
