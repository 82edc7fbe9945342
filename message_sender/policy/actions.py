"""The actions that the delivery policy returns; the caller carries them out in the returned order.

Durations are whole microseconds.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Send:
    """Send an attempt of a message to an endpoint.

    Attributes:
        message: Id of the message.
        endpoint: Id of the endpoint.
        timeout_us: Time after which the attempt times out.
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
        retry_after_us: The Retry-After suggested to the client; 0 for none.
    """

    message: str
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Complete a message that may have run and cannot safely be submitted again."""

    message: str


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt in flight."""

    message: str
    attempt: int


@dataclass(frozen=True, slots=True)
class WakeAfter:
    """Send the event `WakeUp` after the given delay."""

    delay_us: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Request the endpoint list, and its changes from now on."""


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close the idle connections to an endpoint."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class LogLine:
    """Log a line for operators, such as a change of a breaker's state."""

    text: str


PolicyAction = Send | Reject | Fail | CancelAttempt | WakeAfter | Subscribe | CloseIdle | LogLine
