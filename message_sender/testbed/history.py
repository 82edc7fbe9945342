"""What went over the sockets, as the stand-ins saw it: the referee's only evidence.

Times are seconds of one monotonic clock, in the order in which they were noted.
"""

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum


class EffectApplied(Enum):
    """What the endpoint knows of a call's effect."""

    YES = "yes"
    MAYBE = "maybe"  # it broke off after the last byte, or was given up
    NEVER = "never"


@dataclass(frozen=True, slots=True)
class MessageAdmitted:
    """The sender has said that it takes a message on."""

    at: float
    message: str
    kind: str
    destination: int
    until: float  # when its time is up
    key: str = ""
    sender: str = ""


@dataclass(frozen=True, slots=True)
class MessageRejected:
    """The sender has turned a message away; nothing of it may run."""

    at: float
    message: str


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """A call's last byte has come to an endpoint."""

    at: float
    message: str
    endpoint: str
    call: int  # its own number
    sender: str = ""  # who called, where there are several


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """A call has been answered, or its connection has ended."""

    at: float
    call: int
    ran: EffectApplied
    wait: float = 0.0  # s that the answer told


@dataclass(frozen=True, slots=True)
class MessageCompleted:
    """The final answer of a message has been heard: `delivered`, `refused`, `failed` or `withdrawn`."""

    at: float
    message: str
    state: str


@dataclass(frozen=True, slots=True)
class EndpointDrained:
    """The sender has been told that an endpoint drains or is gone."""

    at: float
    endpoint: str
    sender: str = ""


@dataclass(frozen=True, slots=True)
class EndpointRestored:
    """The sender has been told that an endpoint, which drained or was gone, is there again."""

    at: float
    endpoint: str
    sender: str = ""


@dataclass(frozen=True, slots=True)
class Outage:
    """A destination was down, silent or failing from `at` to `until`."""

    at: float
    until: float
    destination: int
    seen_by: frozenset[str] = (
        frozenset()
    )  # the senders that saw a call fail there meanwhile; none: any of them


@dataclass(frozen=True, slots=True)
class SenderRestarted:
    """A sender has come up again; calls of its own that were out before have no known fate."""

    at: float
    sender: str = ""
    back: float = 0.0  # when it was up again, where it was down for a while


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
class History:
    """Notes events as they come."""

    clock: Callable[[], float] = time.monotonic
    events: list[HistoryEvent] = field(default_factory=list)
    calls: int = 0

    def note(self, event: HistoryEvent) -> None:
        self.events.append(event)

    def began(self, message: str, endpoint: str, sender: str = "") -> int:
        """A call has come whole; its number."""
        self.calls += 1
        self.note(AttemptStarted(self.clock(), message, endpoint, self.calls, sender))
        return self.calls

    def over(self, call: int, ran: EffectApplied, wait: float = 0.0) -> None:
        self.note(AttemptFinished(self.clock(), call, ran, wait))


def most_in(times: Iterable[float], span: float) -> int:
    """The most of these in any span, which holds its beginning and not its end."""
    in_order, first, found = sorted(times), 0, 0
    for last, at in enumerate(in_order):
        while in_order[first] <= at - span:
            first += 1
        found = max(found, last - first + 1)
    return found
