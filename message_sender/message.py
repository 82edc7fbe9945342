"""A message in the form in which the journal, the delivery policy and the transports use it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Message:
    """One message of a client, as a protocol's server accepted it.

    Attributes:
        id: Identifies the message; set by the client, or generated if the protocol has no ids.
        message_class: Name of its `MessageClass`.
        destination: Number of the destination.
        deadline_us: The deadline by the wall clock, in microseconds since the epoch.
        tenant: The tenant whose quota the message counts against; may be empty.
        key: Messages with the same key are delivered in order; empty if the message has no order.
        idempotency_key: Lets the endpoint recognise a retry; may be empty.
        is_repeat: The client states that it has submitted the message before.
        body: The content to deliver.
        extras: Pairs of name and text that the protocol passes unchanged from server to transport.
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
