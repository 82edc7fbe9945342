"""The datagrams between senders: one msgpack envelope per datagram, with every field validated.

`session` is drawn at random at each start of a sender. `epoch` counts the starts and is stored on disk.
`to_session` is the receiver's session as known to the sender (0: unknown). A restarted sender has another
session, so that datagrams to its previous start are not accepted.

All structures are encoded as arrays: the wire format consists of the order and types of their fields and the
tags.
"""

from typing import Annotated

import msgspec

from message_sender.fleet.codec import DecodingError, MessageCodec
from message_sender.fleet.seal import RefusedError

Address = tuple[str, int]
Count = Annotated[int, msgspec.Meta(ge=0, le=2**40)]


class MembershipUpdate(msgspec.Struct, array_like=True, frozen=True):
    """The state of a member; the update with the higher (epoch, incarnation, state) is newer."""

    name: str
    address: Address
    epoch: int
    incarnation: int
    state: int  # 0 alive, 1 suspect, 2 dead, 3 left


class Hello(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Announces the sender's session.

    `known_epoch` is the highest known epoch of the receiver's name if it is of another start, else 0.
    """

    known_epoch: int = 0
    is_answer: bool = False


class Ping(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """A probe of the receiver; if `target` is set, a request to probe `target` for the sender."""

    number: int
    target: str = ""


class Ack(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """The answer to a Ping."""

    number: int


class AnnouncementPart(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """A part of a member's announcement to all other members; the newest version replaces older ones."""

    version: int
    index: int
    count: int
    data: bytes


class Query(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """A query; `data` is opaque to the link."""

    number: int
    data: bytes


class QueryReply(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """The reply to the query with the same number."""

    number: int
    data: bytes


class Leave(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """Announces the orderly shutdown of the sender."""


class LeaseDatagram(msgspec.Struct, array_like=True, frozen=True, tag=8):
    """A message of the lease protocol (budget/lease.py), with the sender's terms of the budget.

    Attributes:
        budget: The budget's name.
        kind: The value of a `LeaseMessageKind`.
        session: As in `LeaseMessage`.
        requested_at: As in `LeaseMessage`.
        amount: As in `LeaseMessage`.
        limit: The sender's limit of the budget.
        floor: The sender's floor of the budget.
        max_members: The largest number of members that the sender knows of.
        timing_checksum: The sender's `Budget.timing_checksum`.
        warm_permille: With a lease request: the part of the limit that can be spent, in thousandths.
    """

    budget: str
    kind: Annotated[int, msgspec.Meta(ge=0, le=4)]
    session: int
    requested_at: int
    amount: Count
    limit: Count
    floor: Count
    max_members: Count
    timing_checksum: Count
    warm_permille: Annotated[int, msgspec.Meta(ge=0, le=1000)]


Body = Hello | Ping | Ack | AnnouncementPart | Query | QueryReply | Leave | LeaseDatagram


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """A body with the identity of its sender and membership updates."""

    name: str
    address: Address  # at which the sender is reachable
    epoch: int
    session: int
    to_session: int
    number: int  # datagram number within the session, from 1
    body: Body
    updates: tuple[MembershipUpdate, ...] = ()


CODEC = MessageCodec(Envelope)
NAME_LENGTH_LIMIT = 64  # characters


def encode(envelope: Envelope) -> bytes:
    """Encodes an envelope."""
    return CODEC.encode(envelope)


def decode(data: bytes) -> Envelope:
    """Decodes an envelope.

    Raises:
        RefusedError: If the bytes are not a valid envelope.
    """
    try:
        envelope = CODEC.decode(data)
    except DecodingError as error:
        raise RefusedError(f"no envelope: {error}") from None
    if (
        not 0 < len(envelope.name) <= NAME_LENGTH_LIMIT
        or min(envelope.epoch, envelope.session, envelope.number) < 0
    ):
        raise RefusedError("an envelope with figures that cannot be")
    return envelope
