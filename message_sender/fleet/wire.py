"""What senders say to one another. One envelope a datagram; msgpack by msgspec, which checks every field.

`session` is drawn anew at each start of a sender, `epoch` counts its starts and stands on its disk, `to` is
the session of the receiver as far as known. Whoever starts again has another session, so that nothing that
was said to the one before is believed again.
"""

from typing import Annotated

import msgspec

from message_sender.fleet.seal import RefusedError

Address = tuple[str, int]
Count = Annotated[int, msgspec.Meta(ge=0, le=2**40)]


class MembershipUpdate(msgspec.Struct, array_like=True, frozen=True):
    """What is known of a member; the higher (epoch, incarnation) is newer, and of equals the worse state."""

    name: str
    address: Address
    epoch: int
    incarnation: int
    state: int  # 0 alive, 1 suspect, 2 dead, 3 left


class Hello(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Here I am; an answer tells your session. `known`: the highest epoch heard of the receiver's name."""

    known: int = 0
    answer: bool = False


class Ping(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Are you there? `of`: whom the receiver is to ask in place of the sender; "" for itself."""

    number: int
    of: str = ""


class Ack(msgspec.Struct, array_like=True, frozen=True, tag=3):
    number: int


class AnnouncementPart(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """What a member says of itself to everybody; the newest version counts."""

    version: int
    part: int
    parts: int
    text: bytes


class Query(msgspec.Struct, array_like=True, frozen=True, tag=5):
    number: int
    text: bytes


class QueryReply(msgspec.Struct, array_like=True, frozen=True, tag=6):
    number: int
    text: bytes


class Leave(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """This one ends as it was told to."""


class LeaseDatagram(msgspec.Struct, array_like=True, frozen=True, tag=8):
    """A word about a budget (budget/manager.py)."""

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
    name: str
    address: Address  # where this sender is called
    epoch: int
    session: int
    to: int
    number: int  # of the datagrams of this session, from 1
    body: Body
    news: tuple[MembershipUpdate, ...] = ()


ENCODER, DECODER = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Envelope)
NAME_LENGTH_LIMIT = 64  # characters


def encode(envelope: Envelope) -> bytes:
    return ENCODER.encode(envelope)


def decode(data: bytes) -> Envelope:
    """Raises RefusedError for what is no envelope."""
    try:
        found = DECODER.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError, ValueError) as error:
        raise RefusedError(f"no envelope: {error}") from None
    if not 0 < len(found.name) <= NAME_LENGTH_LIMIT or min(found.epoch, found.session, found.number) < 0:
        raise RefusedError("an envelope with figures that cannot be")
    return found
