"""Actions: what the delivery policy tells this sender to do, in this order.

Durations are whole microseconds.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Send:
    message: str
    endpoint: str
    timeout: int
    attempt: int = 0


@dataclass(frozen=True, slots=True)
class Reject:
    """End a message; the client may safely hand it in again."""

    message: str
    retry_after: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """End a message for good, with no promise about its effect."""

    message: str


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    message: str
    attempt: int


@dataclass(frozen=True, slots=True)
class WakeAfter:
    delay: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask for the list of endpoints and for its changes from now on."""


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close the idle connections to an endpoint."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line for the operators, such as a change of a breaker's state."""

    text: str


PolicyAction = Send | Reject | Fail | CancelAttempt | WakeAfter | Subscribe | CloseIdle | LogLine
