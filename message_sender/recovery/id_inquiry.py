"""What others know of the ids of messages that are owed here. Pure.

A client that had no answer of a sender that lost its power sends the message again elsewhere, under the same
id. The rules:

- On a start each other member is asked about all ids that are owed here, as soon as it is heard of, and again
  every RETRY_INTERVAL_S until it has answered.
- Whoever owes or owed one answers so, and how far it came: accepted, in flight, completed.
- An id that anybody else knows counts here as one that may have run: its class says whether it may go again.
  It is never dropped: it gets a completion here too. So a false answer can end a message without a call, and
  never cause a second one.
- Who does not answer while the inquiry lasts is not waited for. What only it knew is run a second time at the
  most as often as without asking: within its class's window at the receiver, or, unsafe, if both were called
  before either had an outcome.
"""

from collections.abc import Callable, Iterable, Mapping
from enum import IntEnum
from typing import NamedTuple

import msgspec

RETRY_INTERVAL_S = 0.2
MAX_QUESTION_BYTES = 800  # of ids
ID_OVERHEAD_BYTES = 3  # of an encoded id


class IdState(IntEnum):
    """How far a message came at another member. The numbers are on the wire."""

    ACCEPTED = 0
    IN_FLIGHT = 1
    COMPLETED = 2

    @property
    def label(self) -> str:
        """The state's name in the status."""
        return ID_STATE_LABELS[self]


ID_STATE_LABELS = {IdState.ACCEPTED: "taken", IdState.IN_FLIGHT: "out", IdState.COMPLETED: "ended"}


class DueQuestion(NamedTuple):
    """A question to be sent to a member; the piece is its number."""

    member: str
    piece: int
    content: bytes


def encode_questions(ids: Iterable[str]) -> list[bytes]:
    """Returns the ids in questions that fit a datagram."""
    pieces: list[list[str]] = [[]]
    room = MAX_QUESTION_BYTES
    for message_id in ids:
        size = len(message_id.encode()) + ID_OVERHEAD_BYTES
        if size > room and pieces[-1]:
            pieces.append([])
            room = MAX_QUESTION_BYTES
        pieces[-1].append(message_id)
        room -= size
    return [msgspec.msgpack.encode(piece) for piece in pieces if piece]


def answer_question(question: bytes, id_state: Callable[[str], IdState | None]) -> bytes | None:
    """Returns the answer to a question; None for what is none.

    Args:
        question: As it was received.
        id_state: Returns how far a message came here; None: it is not known.
    """
    try:
        ids = msgspec.msgpack.decode(question, type=list[str])
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None
    known = {message_id: state for message_id in ids if (state := id_state(message_id)) is not None}
    return msgspec.msgpack.encode({message_id: int(state) for message_id, state in known.items()})


class Inquiry:
    """The questions of one start.

    Attributes:
        ids: Of the messages that are owed here.
        questions: The ids, in pieces.
        unanswered_pieces: By member.
        last_asked_s: By member.
        known_elsewhere: Ids that others know: who, and how far they came.
    """

    def __init__(self, ids: Iterable[str]) -> None:
        """Prepares the questions."""
        self.ids = frozenset(ids)
        self.questions = encode_questions(sorted(self.ids))
        self.unanswered_pieces: dict[str, set[int]] = {}
        self.last_asked_s: dict[str, float] = {}
        self.known_elsewhere: dict[str, tuple[str, IdState]] = {}

    def due_questions(self, members: Iterable[str], now: float) -> list[DueQuestion]:
        """Returns the questions that are to be sent now."""
        due = []
        for member in members:
            pieces = self.unanswered_pieces.setdefault(member, set(range(len(self.questions))))
            last_asked_s = self.last_asked_s.get(member, -RETRY_INTERVAL_S)
            if pieces and now - last_asked_s >= RETRY_INTERVAL_S:
                self.last_asked_s[member] = now
                due += [DueQuestion(member, piece, self.questions[piece]) for piece in sorted(pieces)]
        return due

    def receive_answer(self, member: str, piece: int, content: bytes) -> Mapping[str, IdState]:
        """Returns owed ids that the member knows and that were not known to be known.

        Nothing is believed of a member that was not asked.
        """
        if piece not in self.unanswered_pieces.get(member, ()):
            return {}
        try:
            answer = msgspec.msgpack.decode(content, type=dict[str, int])
            known = {each: IdState(state) for each, state in answer.items() if each in self.ids}
        except (msgspec.DecodeError, msgspec.ValidationError, ValueError):
            return {}
        self.unanswered_pieces[member].discard(piece)
        new = {each: state for each, state in known.items() if each not in self.known_elsewhere}
        self.known_elsewhere |= {each: (member, state) for each, state in new.items()}
        return new

    def count_unanswered(self, members: Iterable[str]) -> int:
        """Returns how many questions these members have yet to answer."""
        return sum(len(self.unanswered_pieces.get(member, self.questions)) for member in members)
