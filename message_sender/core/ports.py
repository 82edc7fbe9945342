"""The ports of the core: the interfaces that a protocol implements to be used with the engine.

A server submits messages with `Engine.submit` and passes a `Caller` with each. The engine calls it once when
the message is accepted or rejected, and later with the message's one completion. A `Transport` performs
attempts and reports their results. A `Directory` lists the endpoints. A `CompletionListener` receives the
completions that no caller waits for.

All methods are called on the engine's loop.
"""

import math
from collections.abc import Coroutine
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

from message_sender.message import Message
from message_sender.policy.model import Outcome

MAX_RETRY_AFTER_S = 3600.0  # no deadline is longer; an unbounded wait would keep its breaker in memory


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The result of one attempt, as reported by its transport.

    Attributes:
        outcome: The outcome for the policy.
        is_final: The message is finished; no further attempt is needed.
        retry_after_us: The Retry-After of the destination, in microseconds; 0 for none.
        reply: The body of the endpoint's reply, if the protocol has replies.
        status: The endpoint's status in terms of its protocol.
    """

    outcome: Outcome
    is_final: bool = False
    retry_after_us: int = 0
    reply: bytes = b""
    status: str = ""


def clamp_retry_after_us(seconds: float) -> int:
    """Converts a Retry-After in seconds to whole microseconds, between 0 and `MAX_RETRY_AFTER_S`."""
    return math.ceil(min(max(seconds, 0.0), MAX_RETRY_AFTER_S) * 1e6)


class CompletionState(Enum):
    """The final state of a message."""

    DELIVERED = "delivered"
    REFUSED = "refused"  # it was not delivered and may safely be submitted again
    FAILED = "failed"  # it may or may not have had its effect
    WITHDRAWN = "withdrawn"  # its endpoint or its caller cancelled it; no delivery is due


@dataclass(frozen=True, slots=True)
class Completion:
    """The completion of a message.

    Attributes:
        state: The final state.
        retry_after_us: With REFUSED: microseconds after which to submit the message again; 0: not stated.
        reply: The body of the endpoint's reply.
        status: The endpoint's status in terms of its protocol.
    """

    state: CompletionState
    retry_after_us: int = 0
    reply: bytes = b""
    status: str = ""


class RejectReason(Enum):
    """Why a message was rejected before it was accepted. No attempt of it has started."""

    REFUSED = "refused"  # the policy rejected it
    AT_CAPACITY = "no room"  # the settings allow no more accepted messages
    ADMISSION_DELAYED = "not yet"  # messages are admitted in an order after an outage; this one is not due
    JOURNAL_FAILED = "no disk"  # the journal could not record it
    ID_CONFLICT = "other id"  # another message has this id


@dataclass(frozen=True, slots=True)
class Rejected:
    """A rejection.

    Attributes:
        reason: Why the message was rejected.
        retry_after_us: Microseconds after which to submit the message again; 0: not stated.
    """

    reason: RejectReason
    retry_after_us: int


class Caller(Protocol):
    """The client of one message, as represented by its server. No method may raise."""

    def is_gone(self) -> bool:
        """Whether the client no longer waits; called before acceptance and before the completion is given."""

    def accepted(self) -> bool:
        """Called when the message is recorded; returns True if the caller waits for `completed`."""

    def rejected(self, rejection: Rejected) -> None:
        """Called when the message is rejected; no other call follows."""

    def withdrawn(self) -> None:
        """Called when the message was dropped unaccepted as the client is gone; no other call follows."""

    def completed(self, completion: Completion) -> None:
        """Called with the completion, if the caller waits for it.

        A journal that is not durable has removed the message by then.
        """


class SendPermission(Protocol):
    """Permission to send the bytes of one attempt; `send_permission` has the rules."""

    def may_begin(self) -> bool:
        """Whether the first byte may be sent; called right before it."""

    def may_continue(self) -> bool:
        """Whether the rest of a request that has begun may be sent, or may still arrive."""


class Transport(Protocol):
    """Performs calls to endpoints by one protocol."""

    def call(
        self, endpoint: str, message: Message, timeout: float, permission: SendPermission
    ) -> Coroutine[Any, Any, AttemptResult]:
        """Performs one attempt.

        Any behaviour of the endpoint or the network is reported as a result; an exception is a defect. If the
        coroutine is cancelled, it cancels the attempt as far as the protocol allows.

        Args:
            endpoint: Id of the endpoint.
            message: The message to deliver.
            timeout: The maximum duration in seconds.
            permission: Asked right before the first byte is sent, and while the receiver lacks a part of the
                request. Once it is refused, no byte is sent any more.

        Returns:
            A coroutine that returns the result.
        """

    def poll_unread(self) -> None:
        """Handles unread data of the sockets, so that it takes effect before the engine's next decisions.

        Called before each loop iteration. A transport that cannot poll sets `reads_late`.
        """

    @property
    def reads_late(self) -> bool:
        """Whether results are received only in later loop iterations.

        If so, the engine waits after a late iteration before it starts or cancels an attempt.
        """

    def close_idle(self, endpoint: str) -> None:
        """Closes idle connections to an endpoint."""

    def close_expired(self) -> None:
        """Closes connections that have been idle for too long; called several times per second."""

    def endpoints_changed(self) -> None:
        """Closes connections to endpoints that were removed or moved; called after each directory update."""

    def close(self) -> None:
        """Closes all connections immediately."""


class Directory(Protocol):
    """Lists the endpoints. Updates are passed to `Engine.endpoints_updated`."""

    def poll_unread(self) -> None:
        """Handles unread data, so that a drain takes effect before the engine's next decisions."""

    async def watch(self) -> None:
        """Runs one watch until it ends; the engine then gets a FAILED update and subscribes again."""

    def is_known(self, destination: int) -> bool:
        """Whether the destination was ever listed, even if it has no endpoint at present."""

    def mark_known(self, destination: int) -> None:
        """Marks a destination as known, since a message for it was restored from the journal."""


class CompletionListener(Protocol):
    """Receives completions that no caller waits for.

    For each completion that is acknowledged, it calls `Engine.completion_acknowledged`.
    """

    def notify(self, message_id: str, completion: Completion) -> bool:
        """Accepts a completion.

        Args:
            message_id: Id of the message.
            completion: The completion.

        Returns:
            False: no acknowledgement follows, and the message is removed at once.
        """

    async def run(self) -> None:
        """Performs the listener's background work until it is cancelled."""
