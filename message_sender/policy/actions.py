"""Actions: what the delivery policy orders, to be carried out in this order.

Durations are whole microseconds.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Send:
    """Send an attempt of a message to an endpoint.

    Attributes:
        message: Id of the message.
        endpoint: Id of the endpoint.
        timeout_us: How long the attempt may take.
        attempt: Number of the attempt, from 0.
    """

    message: str
    endpoint: str
    timeout_us: int
    attempt: int = 0


@dataclass(frozen=True, slots=True)
class Reject:
    """Complete a message that the client may safely submit again.

    Attributes:
        message: Id of the message.
        retry_after_us: The wait that the client is told; 0 for none.
    """

    message: str
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Complete a message whose effect is unknown."""

    message: str


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt in flight."""

    message: str
    attempt: int


@dataclass(frozen=True, slots=True)
class WakeAfter:
    """Send the event `WakeUp` after this time."""

    delay_us: int


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
