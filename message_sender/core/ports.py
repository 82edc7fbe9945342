"""The ports of the core: what a protocol implements to stand before or behind the engine.

A server submits messages with `Engine.take` and gives a `Caller` with each: it hears once whether the message
is accepted or rejected, and later its one completion. A `Transport` carries attempts and reports their
results. A `Directory` tells which endpoints there are. A `CompletionListener` hears the completions that no
caller waits for.

Everything here is called on the engine's loop.
"""

import math
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

from message_sender.message import Message
from message_sender.policy.model import Outcome

MAX_RETRY_AFTER_S = 3600.0  # no message lives so long; a longer one would only keep its breaker for ever


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The result of one attempt, as its transport knows it.

    Attributes:
        outcome: How it ended.
        is_final: Nothing more is owed for the message.
        retry_after_us: How long the destination asked to be left alone, microseconds.
        reply: What the endpoint answered, where its protocol has replies.
        status: The endpoint's own verdict besides, in its protocol's terms.
    """

    outcome: Outcome
    is_final: bool = False
    retry_after_us: int = 0
    reply: bytes = b""
    status: str = ""


def clamped_wait(seconds: float) -> int:
    """A Retry-After in whole microseconds, between 0 and `MAX_RETRY_AFTER_S`."""
    return math.ceil(min(max(seconds, 0.0), MAX_RETRY_AFTER_S) * 1e6)


class CompletionState(Enum):
    """How a message was completed."""

    DELIVERED = "delivered"
    REFUSED = "refused"  # submitting it again does no harm
    FAILED = "failed"  # nothing is promised about its effect
    WITHDRAWN = "withdrawn"  # its endpoint or its caller cancelled it; nobody is owed anything


@dataclass(frozen=True, slots=True)
class Completion:
    """The one final answer of a message.

    Attributes:
        state: How it was completed.
        retry_after_us: With REFUSED: when to submit it again, microseconds; 0: not stated.
        reply: The endpoint's reply.
        status: The endpoint's own verdict.
    """

    state: CompletionState
    retry_after_us: int = 0
    reply: bytes = b""
    status: str = ""


class RejectReason(Enum):
    """Why a message was rejected before it was accepted. None of it has run."""

    REFUSED = "refused"  # the policy ended it at once
    NO_ROOM = "no room"  # the settings allow no more messages at once
    NOT_YET = "not yet"  # service returns in order, and this message's turn has not come
    NO_DISK = "no disk"  # the journal could not take it
    OTHER_ID = "other id"  # this id is another message's


@dataclass(frozen=True, slots=True)
class Rejected:
    """Why a message was rejected, and after how many microseconds to come again; 0: not stated."""

    reason: RejectReason
    retry_after_us: int


class Caller(Protocol):
    """A server's side of one message. None of its methods may raise."""

    def is_gone(self) -> bool:
        """Whether nobody waits any more; asked before acceptance and before the completion is given."""

    def accepted(self) -> bool:
        """The message is on record. True: the caller waits for `completed`."""

    def rejected(self, rejection: Rejected) -> None:
        """The message is not accepted. Nothing follows."""

    def withdrawn(self) -> None:
        """The message was withdrawn before it was accepted, since `is_gone`. Nothing follows."""

    def completed(self, completion: Completion) -> None:
        """The final answer, for a caller that waits. The journal has forgotten the message."""


class Transport(Protocol):
    """Calls out, by one protocol."""

    def call(
        self, endpoint: str, message: Message, timeout: float, may_go: Callable[[], bool]
    ) -> Coroutine[Any, Any, AttemptResult]:
        """One attempt.

        Whatever the endpoint or the network does comes back as a result; an exception is a defect.
        Cancelled, it gives the attempt up as far as the protocol can.

        Args:
            endpoint: Id of the endpoint.
            message: What is to be delivered.
            timeout: Seconds that it may take at most.
            may_go: Asked as the first byte goes; False: the attempt is not sent.
        """

    def poll_unread(self) -> None:
        """Reads what lies unread in sockets, so that it binds before what the engine does next.

        Called before each iteration. One that cannot poll says so with `reads_late`.
        """

    @property
    def reads_late(self) -> bool:
        """Whether results are heard only in later iterations of the loop.

        After a late iteration the engine then waits before it begins or cancels an attempt.
        """

    def close_idle(self, endpoint: str) -> None:
        """Closes idle connections to an endpoint."""

    def close_expired(self) -> None:
        """Called a few times a second: closes what has been idle for too long."""

    def endpoints_changed(self) -> None:
        """Called after each update of the directory: closes connections to endpoints that left or moved."""

    def close(self) -> None:
        """Closes everything at once."""


class Directory(Protocol):
    """Which endpoints there are. Updates go to `Engine.endpoints_updated`."""

    def poll_unread(self) -> None:
        """Reads what lies unread: a drain binds before what the engine does next."""

    async def watch(self) -> None:
        """One watch, to its end; the engine then gets a FAILED update and subscribes again."""

    def knows(self, destination: int) -> bool:
        """Whether there ever was such a destination; its endpoints may have left for now."""

    def remember(self, destination: int) -> None:
        """A message for this destination was restored from the journal."""


class CompletionListener(Protocol):
    """Hears completions that no caller took; `Engine.completion_acknowledged` follows once one was heard."""

    def notify(self, message: str, end: Completion) -> bool:
        """Takes a completion. False: nothing is to be acknowledged, the message is over at once."""

    async def run(self) -> None:
        """Its work in the background, until it is cancelled."""
