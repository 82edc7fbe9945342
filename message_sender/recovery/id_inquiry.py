"""What others know of the ids of messages that are owed here. Pure.

A client that heard no yes of a sender that lost its power hands in again elsewhere, under the same id. The
rules:

- On a start each other member is asked about all ids that are owed here, as soon as it is heard of, and again
  every `AGAIN` until it has answered.
- Whoever holds or held one says so, and how far it came: taken on, out, ended.
- An id that anybody else knows counts here as one that may have run: its class says whether it may go again.
  It is never dropped: it gets an end here too. So a false answer can end a message without a call, and never
  cause a second one.
- Who does not answer while `asking` lasts is not waited for. What only it knew is run a second time at the
  most as often as without asking: within its class's window at the receiver, or, unsafe, if both were called
  before either had an outcome.
"""

from collections.abc import Callable, Iterable, Mapping
from enum import IntEnum

import msgspec

AGAIN = 0.2  # s
ROOM = 800  # bytes of ids in a question


class IdState(IntEnum):
    TAKEN = 0
    OUT = 1
    ENDED = 2


def questions(ids: Iterable[str]) -> list[bytes]:
    """The ids, in pieces that fit a datagram."""
    pieces: list[list[str]] = [[]]
    room = ROOM
    for name in ids:
        size = len(name.encode()) + 3
        if size > room and pieces[-1]:
            pieces.append([])
            room = ROOM
        pieces[-1].append(name)
        room -= size
    return [msgspec.msgpack.encode(each) for each in pieces if each]


def answer(question: bytes, known: Callable[[str], IdState | None]) -> bytes | None:
    """None for what is no question."""
    try:
        ids = msgspec.msgpack.decode(question, type=list[str])
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None
    found = {name: state for name in ids if (state := known(name)) is not None}
    return msgspec.msgpack.encode({name: int(state) for name, state in found.items()})


class Inquiry:
    """The questions of one start."""

    def __init__(self, ids: Iterable[str]) -> None:
        self.ids = frozenset(ids)
        self.texts = questions(sorted(self.ids))
        self.left: dict[str, set[int]] = {}  # by member: its pieces that are not answered
        self.asked: dict[str, float] = {}  # s
        self.elsewhere: dict[str, tuple[str, IdState]] = {}  # ids that are known: by whom, and how far

    def due(self, names: Iterable[str], now: float) -> list[tuple[str, int, bytes]]:
        """Whom to ask what, now."""
        found = []
        for name in names:
            left = self.left.setdefault(name, set(range(len(self.texts))))
            if left and now - self.asked.get(name, -AGAIN) >= AGAIN:
                self.asked[name] = now
                found += [(name, piece, self.texts[piece]) for piece in sorted(left)]
        return found

    def answered(self, name: str, piece: int, text: bytes) -> Mapping[str, IdState]:
        """Ids of ours that it knows, and were not known to be. Nothing is believed of who was not asked."""
        if piece not in self.left.get(name, ()):
            return {}
        try:
            told = msgspec.msgpack.decode(text, type=dict[str, int])
            found = {each: IdState(state) for each, state in told.items() if each in self.ids}
        except (msgspec.DecodeError, msgspec.ValidationError, ValueError):
            return {}
        self.left[name].discard(piece)
        fresh = {each: state for each, state in found.items() if each not in self.elsewhere}
        self.elsewhere |= {each: (name, state) for each, state in fresh.items()}
        return fresh

    def unanswered(self, names: Iterable[str]) -> int:
        return sum(len(self.left.get(name, self.texts)) for name in names)
