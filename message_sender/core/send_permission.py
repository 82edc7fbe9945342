"""Permission to send the bytes of one attempt, asked again for as long as the receiver lacks some of them.

A receiver begins a call when its last byte has come, so a check before the first byte is not enough: the rest
of a request may wait for a slow receiver while a Retry-After is announced, the idempotency window or the
message's time ends, the process is told to end, or a successor takes over. The rules:

- The first byte may be sent if `Attempts.may_send` allows it. Drains count from the first byte.
- Every later byte may be sent while `Attempts.may_continue` allows it. A transport asks before each write,
  and again and again while it cannot write.
- Bytes that the system has accepted are not yet sent: until the receiver has acknowledged the last one, a
  transport that is refused the permission discards them.
- A request that was refused before its last byte was accepted by the system has never run.
"""

from dataclasses import dataclass
from typing import Protocol


class SendChecks(Protocol):
    """The checks, implemented by `Attempts`."""

    def may_send(self, endpoint: str, message_id: str) -> bool:
        """Whether the first byte of an attempt may be sent."""

    def may_continue(self, message_id: str, number: int) -> bool:
        """Whether the rest of an attempt that has begun may be sent."""


@dataclass(frozen=True, slots=True)
class AttemptPermission:
    """The permission of one attempt; implements `SendPermission` of the ports.

    Attributes:
        checks: Decides.
        endpoint: Id of the endpoint.
        message_id: Id of the message.
        number: Number of the attempt.
    """

    checks: SendChecks
    endpoint: str
    message_id: str
    number: int

    def may_begin(self) -> bool:
        """Whether the first byte may be sent now."""
        return self.checks.may_send(self.endpoint, self.message_id)

    def may_continue(self) -> bool:
        """Whether the rest of the request may be sent now."""
        return self.checks.may_continue(self.message_id, self.number)
