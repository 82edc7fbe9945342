"""A message as a protocol's server accepted it: the form in which it is journaled, decided about and sent."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Message:
    """One message of a client.

    Attributes:
        id: Names the message; the client's own, or made up where the protocol has none.
        message_class: Name of its `MessageClass`.
        destination: Number of the destination.
        deadline_us: When its time is up; wall clock, microseconds since the epoch.
        tenant: Whose quota it counts against; may be empty.
        key: Messages of one key are delivered in order; empty: it has no order.
        idempotency_key: Lets the endpoint recognise a repeated attempt; may be empty.
        is_repeat: The client says that it submitted the message before.
        body: What is delivered.
        extras: Pairs of name and text that its protocol carries unchanged from server to transport.
    """

    id: str
    message_class: str
    destination: int
    deadline_us: int
    tenant: str
    key: str
    idempotency_key: str
    is_repeat: bool
    body: bytes
    extras: tuple[tuple[str, str], ...] = ()
