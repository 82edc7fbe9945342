"""One call to a receiver, in its steps.

Its result is known for sure: broken before its last byte was written, it never ran.
"""

import asyncio
from collections.abc import Callable, Coroutine, Mapping
from typing import Any, Protocol

from message_sender.core.ports import AttemptResult
from message_sender.http.client_connection import ClientConnection
from message_sender.http.codec import (
    BODY_LIMIT,
    BROKEN,
    Address,
    IncompleteHeadError,
    MalformedMessageError,
    header,
)
from message_sender.http.fast_path import ResponseHead
from message_sender.http.response_mapping import announced_limit, answer_from
from message_sender.message import Message
from message_sender.policy.model import NEVER_RAN, Outcome

BODY_PATIENCE = 0.5  # seconds for the rest of an answer whose head has come; the body means nothing
TARGET = "/hook"
OK_STATUS = 200


class CallOwner(Protocol):
    """What a call needs of its transport.

    Attributes:
        dials: Addresses of the listed endpoints.
        awaiting_answer: Connections whose answer is waited for, with their endpoints.
        unsent: Calls whose first byte has not gone.
        is_closing: No call begins any more.
        reserve_connection: Called before a connection is opened for a message. Returns what to call once it
            is closed; None: it may not be opened.
        on_sent: Called once a message's last byte is written.
        retry_after_received: Called with a Retry-After of an endpoint, in microseconds.
        on_limit_announced: Called with a limit that an answer announces: endpoint, calls, microseconds.
    """

    dials: Callable[[], Mapping[str, Address]]
    awaiting_answer: dict[ClientConnection, str]
    unsent: set[asyncio.Task[Any]]
    is_closing: bool
    reserve_connection: Callable[[str, str], Callable[[], None] | None]
    on_sent: Callable[[], None]
    retry_after_received: Callable[[str, int], None]
    on_limit_announced: Callable[[str, int, int], None] | None

    def take_idle(self, endpoint: str) -> ClientConnection | None:
        """An idle connection to the endpoint."""

    async def open_connection(self, address: Address, closed: Callable[[], None]) -> ClientConnection:
        """A new connection."""

    def return_to_pool(self, endpoint: str, connection: ClientConnection) -> bool:
        """Returns a connection to the pool; False: it may not be used again."""

    def return_if_complete(self, endpoint: str, connection: ClientConnection) -> bool:
        """Returns a connection to the pool once its answer has come completely."""

    def return_after_body(
        self, endpoint: str, connection: ClientConnection, rest: Coroutine[Any, Any, None]
    ) -> bool:
        """Reads the rest of an answer in the background, and returns the connection to the pool then."""

    def unread_result(self, endpoint: str, connection: ClientConnection) -> AttemptResult | None:
        """The answer that has come and is not read yet."""

    def early_result(self, endpoint: str, connection: ClientConnection) -> AttemptResult | None:
        """The answer that came before the request was written completely."""

    def drop(self, connection: ClientConnection) -> None:
        """Closes a connection."""

    def close_idle(self, endpoint: str) -> None:
        """Closes the idle connections to the endpoint."""


class HttpCall:
    """One call.

    Attributes:
        connection: The connection that it uses; None: none yet.
        is_reused: The connection was idle before.
        is_written: The request's last byte is written.
        is_kept: The connection goes on without this call.
        is_abandoned: The call was cancelled after it was written.
        retry_after_us: Binds, whatever becomes of the rest of the answer.
    """

    def __init__(
        self,
        owner: CallOwner,
        endpoint: str,
        message: Message,
        deadline: float,
        may_go: Callable[[], bool],
    ) -> None:
        """`deadline`: seconds on the loop's clock."""
        self.owner = owner
        self.endpoint = endpoint
        self.message = message
        self.deadline = deadline
        self.may_go = may_go
        self.loop = asyncio.get_running_loop()
        self.connection: ClientConnection | None = None
        self.is_reused = False
        self.is_written = False
        self.is_returned = False
        self.is_abandoned = False
        self.retry_after_us = 0

    async def run(self) -> AttemptResult:
        """Makes the call, in the task of the caller."""
        task = asyncio.current_task()
        assert task
        self.owner.unsent.add(task)
        try:
            async with asyncio.timeout_at(self.deadline):
                return await self._exchange(task)
        except asyncio.CancelledError:
            if result_at_hand := self._result_of_cancelled(task):
                return result_at_hand
            raise
        except TimeoutError:
            return self._timed_out()
        except MalformedMessageError as error:
            return self._malformed(error)
        except BROKEN:
            return self._broken()
        finally:
            self.owner.unsent.discard(task)
            self._release_connection()

    # Its steps.

    async def _exchange(self, task: asyncio.Task[Any]) -> AttemptResult:
        connection = await self._connect()
        if connection is None:
            return AttemptResult(Outcome.NOT_SENT)
        if self.owner.is_closing or not self.may_go():
            self.is_returned = self.owner.return_to_pool(self.endpoint, connection)
            return AttemptResult(Outcome.NOT_SENT)
        self.owner.unsent.discard(task)
        await connection.send("POST", TARGET, self._headers(), self.message.body)
        self.is_written = True
        self.owner.on_sent()
        self.owner.awaiting_answer[connection] = self.endpoint
        response = await connection.response()
        if self.loop.time() >= self.deadline:
            raise TimeoutError  # the loop was late: whether this still was a delivery is not known
        result = self._read_head(response)
        await self._finish_answer(connection, result)
        return result

    async def _connect(self) -> ClientConnection | None:
        """An idle or a new connection; None: the endpoint is gone, or none may be opened."""
        address = self.owner.dials().get(self.endpoint)
        if address is None:
            return None
        self.connection = self.owner.take_idle(self.endpoint)
        self.is_reused = self.connection is not None
        if self.connection is None:
            closed = self.owner.reserve_connection(self.endpoint, self.message.id)
            if closed is None:
                return None
            self.connection = await self.owner.open_connection(address, closed)
        return self.connection

    def _headers(self) -> dict[str, str]:
        remaining_s = max(self.deadline - self.loop.time(), 0.0)
        return {
            "X-Correlation-Id": self.message.id,
            "Idempotency-Key": self.message.idempotency_key,
            "X-Time-Left": f"{remaining_s:.3f}",
            "Content-Length": str(len(self.message.body)),
        }

    def _read_head(self, response: ResponseHead) -> AttemptResult:
        result = answer_from(response)
        self.retry_after_us = result.retry_after_us
        if self.retry_after_us:
            self.owner.retry_after_received(self.endpoint, self.retry_after_us)
        if self.owner.on_limit_announced and (limit := announced_limit(response)):
            self.owner.on_limit_announced(self.endpoint, *limit)
        if int(header(response.headers, b"content-length") or 0) > BODY_LIMIT:
            raise MalformedMessageError(response.status_code, "the answer is too long")
        return result

    async def _finish_answer(self, connection: ClientConnection, result: AttemptResult) -> None:
        if result.outcome not in NEVER_RAN:
            self.is_returned = self.owner.return_if_complete(self.endpoint, connection)
            return
        # A malformed answer has run, whatever it says: only a whole one proves that it has not.
        async with asyncio.timeout(BODY_PATIENCE):
            await connection.skip_body()
        self.is_returned = connection.next_cycle() and self.owner.return_to_pool(self.endpoint, connection)

    # What may end it early.

    def _result_of_cancelled(self, task: asyncio.Task[Any]) -> AttemptResult | None:
        """The result that is known although the call is cancelled."""
        if self.owner.is_closing and task in self.owner.unsent:
            return AttemptResult(Outcome.NOT_SENT)
        if self.connection and (result := self.owner.unread_result(self.endpoint, self.connection)):
            return result
        self.is_abandoned = self.is_written
        return None

    def _timed_out(self) -> AttemptResult:
        self.is_abandoned = self.is_written
        unread = self.owner.unread_result(self.endpoint, self.connection) if self.connection else None
        retry_after_us = unread.retry_after_us if unread else self.retry_after_us
        outcome = Outcome.TIMEOUT if self.is_written else Outcome.CONNECT_FAILED
        return AttemptResult(outcome, retry_after_us=retry_after_us)

    def _malformed(self, error: MalformedMessageError) -> AttemptResult:
        """It may have run; a first line of 200 is true all the same."""
        if error.status != OK_STATUS:
            return AttemptResult(Outcome.MALFORMED, retry_after_us=self.retry_after_us)
        if isinstance(error, IncompleteHeadError) and self.connection:
            rest = self.connection.skip_answer()
            self.is_returned = self.owner.return_after_body(self.endpoint, self.connection, rest)
        return AttemptResult(Outcome.OK, is_final=True)

    def _broken(self) -> AttemptResult:
        if self.is_reused:  # the receiver had given it up, unseen here, and so may the others have been
            self.owner.close_idle(self.endpoint)
            outcome = Outcome.STALE if self.is_written else Outcome.NOT_SENT
            return AttemptResult(outcome, retry_after_us=self.retry_after_us)
        if self.is_written:
            return AttemptResult(Outcome.RESET, retry_after_us=self.retry_after_us)
        if self.connection is None:
            return AttemptResult(Outcome.CONNECT_FAILED, retry_after_us=self.retry_after_us)
        early_answer = self.owner.early_result(self.endpoint, self.connection)
        return early_answer or AttemptResult(Outcome.CONNECT_FAILED)

    def _release_connection(self) -> None:
        if self.connection:
            self.owner.awaiting_answer.pop(self.connection, None)
            # A timeout or a cancel gives the call up: only closing the connection tells the receiver.
            if not self.is_returned:
                self.owner.drop(self.connection)
        if self.is_abandoned:
            self.owner.close_idle(self.endpoint)  # they may have fallen silent with it
