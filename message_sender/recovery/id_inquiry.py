"""Asks the other members what they know about the ids of messages that are owed here. Pure.

A client that got no response from a sender that lost power sends the message to another sender, with the same
id. The rules:

- At a start, each other member is asked about all ids that are owed here, as soon as the member is known, and
  again every RETRY_INTERVAL_S until it has answered.
- A member that owes or owed one of the messages answers with its id and state: accepted, in flight or
  completed.
- A message that another member knows counts here as one that may have run; its class determines whether it
  may be sent again. It is never dropped: it gets a completion here too. A false answer can therefore end a
  message without a call, but never cause a second call.
- A member that does not answer during the inquiry is not waited for. A message that only this member knows is
  sent twice no more often than without the inquiry: a keyed one within its class's window, in which the
  receiver drops the repeat; an unsafe one only if both members called before either had an outcome.
"""

from collections.abc import Callable, Iterable, Mapping
from enum import IntEnum
from typing import NamedTuple

import msgspec

RETRY_INTERVAL_S = 0.2
MAX_QUESTION_BYTES = 800  # of encoded ids in one question
ID_OVERHEAD_BYTES = 3  # of each encoded id


class IdState(IntEnum):
    """How far another member has processed a message; the numbers are part of the wire format."""

    ACCEPTED = 0
    IN_FLIGHT = 1
    COMPLETED = 2

    @property
    def label(self) -> str:
        """The state's name in the status."""
        return ID_STATE_LABELS[self]


ID_STATE_LABELS = {IdState.ACCEPTED: "taken", IdState.IN_FLIGHT: "out", IdState.COMPLETED: "ended"}


class DueQuestion(NamedTuple):
    """A question to be sent to a member.

    Attributes:
        member: The member's name.
        piece: The number of the question.
        content: The encoded ids.
    """

    member: str
    piece: int
    content: bytes


def encode_questions(ids: Iterable[str]) -> list[bytes]:
    """Returns questions about the ids, each of which fits into a datagram."""
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
    """Returns the answer to a question; None: the question is malformed.

    Args:
        question: The question as received.
        id_state: Returns how far this member has processed a message; None: the id is unknown here.
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
        ids: The ids of the messages that are owed here.
        questions: The encoded questions; the index is the number of a question.
        unanswered_pieces: The numbers of the questions that a member has not answered, by member.
        last_asked_s: When a member was last sent questions, in seconds, by member.
        known_elsewhere: The first member that reported an id, and the state that it reported, by id.
    """

    def __init__(self, ids: Iterable[str]) -> None:
        """Encodes the questions about the ids."""
        self.ids = frozenset(ids)
        self.questions = encode_questions(sorted(self.ids))
        self.unanswered_pieces: dict[str, set[int]] = {}
        self.last_asked_s: dict[str, float] = {}
        self.known_elsewhere: dict[str, tuple[str, IdState]] = {}

    def due_questions(self, members: Iterable[str], now: float) -> list[DueQuestion]:
        """Returns the questions to be sent now; `now` is in seconds."""
        due = []
        for member in members:
            pieces = self.unanswered_pieces.setdefault(member, set(range(len(self.questions))))
            last_asked_s = self.last_asked_s.get(member, -RETRY_INTERVAL_S)
            if pieces and now - last_asked_s >= RETRY_INTERVAL_S:
                self.last_asked_s[member] = now
                due += [DueQuestion(member, piece, self.questions[piece]) for piece in sorted(pieces)]
        return due

    def receive_answer(self, member: str, piece: int, content: bytes) -> Mapping[str, IdState]:
        """Returns the owed ids that this answer reports and no earlier answer did, with their states.

        An answer of a member that was not asked, a repeated answer and a malformed one have no effect.
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
        """Returns how many questions the members have not answered yet."""
        return sum(len(self.unanswered_pieces.get(member, self.questions)) for member in members)
