"""The ports of the core: what a protocol implements to stand before or behind the engine.

A *door* hands messages in with `Engine.take` and gives a `Caller` with each: it is told once whether the
message is taken on or turned away, and later its one final answer. A *transport* carries one attempt and says
its fate. A *directory* tells who is there, drains, is gone. A *completion_listener* hears the final answers
that nobody waits for.

Everything here is called on the engine's loop. Durations and times are microseconds unless a name says
otherwise.
"""

import math
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

from message_sender.message import Message
from message_sender.policy.model import Outcome

LONGEST_WAIT = 3600.0  # s: no message lives so long; a longer told wait would only keep its breaker for ever


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The fate of one attempt, as its transport knows it."""

    outcome: Outcome
    finished: bool = False  # nothing more is owed for the message
    wait: int = 0  # us that the destination asked to be left alone
    reply: bytes = b""  # what the endpoint said, where its protocol has replies
    status: str = ""  # the endpoint's own verdict besides, in its protocol's terms


def clamped_wait(seconds: float) -> int:
    """A wait that an endpoint tells, in whole us; none below 0 nor above LONGEST_WAIT."""
    return math.ceil(min(max(seconds, 0.0), LONGEST_WAIT) * 1e6)


class CompletionState(Enum):
    """How a message ended."""

    DELIVERED = "delivered"
    REFUSED = "refused"  # handing it in again does no harm
    FAILED = "failed"  # nothing is promised about its effect
    WITHDRAWN = "withdrawn"  # its endpoint or its caller called it off; nobody is owed anything


@dataclass(frozen=True, slots=True)
class Completion:
    """The one final answer of a message."""

    state: CompletionState
    retry_after: int = 0  # us, with REFUSED: when to come again; 0: nothing is said
    reply: bytes = b""
    status: str = ""


class RejectReason(Enum):
    """Why a message was turned away before it was taken on. None of it has run."""

    REFUSED = "refused"  # the decision module ended it at once
    NO_ROOM = "no room"  # as many are held as the settings allow
    NOT_YET = "not yet"  # service returns in order, and this message's turn has not come
    NO_DISK = "no disk"  # the journal could not take it
    OTHER_ID = "other id"  # this id is another message's


@dataclass(frozen=True, slots=True)
class Rejected:
    why: RejectReason
    retry_after: int  # us, 0: nothing is said


class Caller(Protocol):
    """A door's side of one message. None of its methods may raise."""

    def is_gone(self) -> bool:
        """Whether nobody waits any more; asked before the message is taken on, and before its end is told."""

    def accepted(self) -> bool:
        """The message is on record: from now on its end is owed. True: `ended` shall tell of it here."""

    def rejected(self, told: Rejected) -> None:
        """It is not taken on. Nothing follows."""

    def withdrawn(self) -> None:
        """It was withdrawn before it was taken on, for `gone` said so. Nothing follows."""

    def completed(self, end: Completion) -> None:
        """Its final answer, to one that wanted it and is not gone. The journal has forgotten the message."""


class Transport(Protocol):
    """Calls out, by one protocol."""

    def call(
        self, endpoint: str, message: Message, timeout: float, may_go: Callable[[], bool]
    ) -> Coroutine[Any, Any, AttemptResult]:
        """One attempt of at most `timeout` seconds. `may_go` is asked as its first byte goes: drains and
        waits bind until then. Whatever the endpoint or the network does comes back as an Answer; an
        exception is a defect. Cancelled, it gives the attempt up as far as the protocol can."""

    def poll_unread(self) -> None:
        """Reads what has come and lies unread, so that what it tells binds before what the engine does next:
        waits above all. Asked before each turn. One that cannot look says so with `reads_late`."""

    @property
    def reads_late(self) -> bool:
        """Whether what has come is heard only in later passes of the loop: after a late pass the engine then
        lets some go by before it begins an attempt or gives one up."""

    def close_idle(self, endpoint: str) -> None:
        """Closes what is kept open to an endpoint and not in use."""

    def close_expired(self) -> None:
        """Called a few times a second: what stands unused for too long is closed."""

    def endpoints_changed(self) -> None:
        """After each change of the directory: what is kept for an endpoint that has gone or moved closes."""

    def close(self) -> None:
        """The end: everything closes at once."""


class Directory(Protocol):
    """Who is there. It tells the engine by `Engine.endpoints_updated`."""

    def poll_unread(self) -> None:
        """Reads what has come and lies unread: a drain binds before what the engine does next."""

    async def watch(self) -> None:
        """One watch, to its end. However it ends, the engine is told a FAILED list then, and asks anew."""

    def knows(self, destination: int) -> bool:
        """Whether there ever was such a destination; one whose endpoints are all gone may come back."""

    def remember(self, destination: int) -> None:
        """A message for this destination was taken over from the journal."""


class CompletionListener(Protocol):
    """Hears the ends that no caller took, and tells the engine by `Engine.end_answered` once one is heard."""

    def notify(self, message: str, end: Completion) -> bool:
        """False: such an end needs no telling, the message is over at once."""

    async def run(self) -> None:
        """Its work in the background, for ever."""
