"""A message as a door handed it in; what reads it, keeps it and sends it on shares this form."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Message:
    id: str
    message_class: str
    destination: int
    until: int  # wall clock, us
    tenant: str
    key: str
    idempotency_key: str
    again: bool
    body: bytes
    #: What its protocol carries besides, unchanged from door to transport: pairs of name and text.
    extras: tuple[tuple[str, str], ...] = ()
