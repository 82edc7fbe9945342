"""The datagrams between senders: one envelope per datagram, in msgpack, with every field checked.

`session` is drawn at random at each start of a sender, `epoch` counts its starts and is stored on its disk,
`to_session` is the session of the receiver as far as known (0: unknown). A sender that starts again has
another session, so that datagrams to its previous start are not accepted.

All structures are encoded as arrays: the order and the types of their fields, and the tags, are the wire
format.
"""

from typing import Annotated

import msgspec

from message_sender.fleet.codec import DecodingError, MessageCodec
from message_sender.fleet.seal import RefusedError

Address = tuple[str, int]
Count = Annotated[int, msgspec.Meta(ge=0, le=2**40)]


class MembershipUpdate(msgspec.Struct, array_like=True, frozen=True):
    """The state of a member; the higher (epoch, incarnation) is newer, and of equals the higher state."""

    name: str
    address: Address
    epoch: int
    incarnation: int
    state: int  # 0 alive, 1 suspect, 2 dead, 3 left


class Hello(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Announces the sender's session; `known_epoch` is the highest known epoch of the receiver's name."""

    known_epoch: int = 0
    is_answer: bool = False


class Ping(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """A probe of the receiver, or, on behalf of the sender, of `target` if that is not empty."""

    number: int
    target: str = ""


class Ack(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """The answer to a Ping."""

    number: int


class AnnouncementPart(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """A part of a member's announcement to all others; the newest version counts."""

    version: int
    index: int
    count: int
    data: bytes


class Query(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """A query; the link does not know its content."""

    number: int
    data: bytes


class QueryReply(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """The reply to the query of this number."""

    number: int
    data: bytes


class Leave(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """Announces the orderly shutdown of the sender."""


class LeaseDatagram(msgspec.Struct, array_like=True, frozen=True, tag=8):
    """A message about a budget's leases; the fields are those of budget/manager.py."""

    budget: str
    kind: Annotated[int, msgspec.Meta(ge=0, le=4)]
    session: int
    asked: int
    amount: Count
    whole: Count
    floor: Count
    size: Count
    form: Count
    warm: Annotated[int, msgspec.Meta(ge=0, le=1000)]


Body = Hello | Ping | Ack | AnnouncementPart | Query | QueryReply | Leave | LeaseDatagram


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """A body with its sender's identity and membership updates."""

    name: str
    address: Address  # at which this sender is reached
    epoch: int
    session: int
    to_session: int
    number: int  # of the datagrams of this session, from 1
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
