"""One HTTP call to a receiver.

The result states reliably whether the request may have run: a call that breaks before its last byte was
written never ran.
"""

import asyncio
import logging
from collections.abc import Callable, Coroutine, Mapping
from typing import Any, Protocol

from message_sender.core.peer_timeout import PeerTimeout
from message_sender.core.ports import AttemptResult, SendPermission
from message_sender.http.client_connection import AnsweredRequest, ClientConnection
from message_sender.http.common import (
    BODY_LIMIT,
    CONNECTION_ERRORS,
    Address,
    IncompleteHeadError,
    MalformedMessageError,
    header,
)
from message_sender.http.fast_path import ResponseHead
from message_sender.http.request_writer import SendRevokedError
from message_sender.http.response_mapping import announced_limit, answer_from
from message_sender.http.unacknowledged import UnacknowledgedRequests, unacknowledged_bytes
from message_sender.message import Message
from message_sender.policy.model import NEVER_RAN, Outcome

BODY_TIMEOUT_S = 0.5  # seconds for the rest of a response after its head; the content of the body is not used
TARGET = "/hook"
OK_STATUS = 200

log = logging.getLogger(__name__)


class CallOwner(Protocol):
    """The part of the transport that a call uses.

    Attributes:
        dials: Returns the addresses of the listed endpoints.
        awaiting_answer: Connections on which a response is expected, with their endpoints.
        unsent: Tasks of the calls whose last byte has not been written.
        unacknowledged: Requests that are written but not acknowledged by the receiver's system.
        is_closing: No further call is started.
        reserve_connection: Called with endpoint and message id before a connection is opened. Returns the
            callback for when the connection has been closed, or None if no connection may be opened.
        on_sent: Called when the last byte of a message has been written.
        retry_after_received: Called with an endpoint and its Retry-After in microseconds.
        on_limit_announced: Called with a rate limit that a response announces: endpoint, calls, and the
            window in microseconds.
    """

    dials: Callable[[], Mapping[str, Address]]
    awaiting_answer: dict[ClientConnection, str]
    unsent: set[asyncio.Task[Any]]
    unacknowledged: UnacknowledgedRequests
    is_closing: bool
    reserve_connection: Callable[[str, str], Callable[[], None] | None]
    on_sent: Callable[[], None]
    retry_after_received: Callable[[str, int], None]
    on_limit_announced: Callable[[str, int, int], None] | None

    def take_idle(self, endpoint: str) -> ClientConnection | None:
        """Takes an idle connection that may carry a call out of the pool, if there is one."""

    def close_resting(self, endpoint: str) -> bool:
        """Closes an idle connection to an endpoint whose connections are limited; returns whether it did."""

    def rest_left_s(self, endpoint: str) -> list[float]:
        """Seconds until each idle connection that may stay open may carry a call; the shortest first."""

    async def open_connection(self, address: Address, closed: Callable[[], None]) -> ClientConnection:
        """Opens a connection; `closed` is called when it has been closed."""

    def return_to_pool(self, endpoint: str, connection: ClientConnection) -> bool:
        """Returns a connection to the pool; False if it may not be reused."""

    def finish_response(self, endpoint: str, connection: ClientConnection) -> bool:
        """Returns a connection whose response is complete to the pool; False if it may not be reused."""

    def return_if_complete(self, endpoint: str, connection: ClientConnection) -> bool:
        """Returns a connection to the pool when its response is complete; False if it may not be reused."""

    def return_after_body(
        self, endpoint: str, connection: ClientConnection, rest: Coroutine[Any, Any, None]
    ) -> bool:
        """Reads the rest of a response in the background, then returns the connection to the pool."""

    def unread_result(self, endpoint: str, connection: ClientConnection) -> AttemptResult | None:
        """The result of a response that has arrived but has not been read yet."""

    def early_result(self, endpoint: str, connection: ClientConnection) -> AttemptResult | None:
        """The result of a response that arrived before the request was written completely."""

    def drop(self, connection: ClientConnection) -> None:
        """Closes a connection."""

    def close_idle(self, endpoint: str) -> None:
        """Closes the idle connections to the endpoint."""


class HttpCall:
    """One call to an endpoint.

    Attributes:
        connection: The connection in use; None until there is one.
        is_reused: The connection came from the pool.
        is_written: The last byte of the request has been written.
        written_at: When it was written, in seconds on the loop's clock.
        is_revoked: The permission to send ended before the receiver had acknowledged the request.
        early_rejection: The rejection that arrived before the last byte was written; None if none did.
        is_returned: The connection was handed back to the owner and must not be closed by this call.
        is_abandoned: The call was cancelled or timed out after the request was written.
        retry_after_us: The Retry-After of the response in microseconds. It applies even if the rest of the
            response cannot be read.
    """

    def __init__(
        self,
        owner: CallOwner,
        endpoint: str,
        message: Message,
        deadline: float,
        permission: SendPermission,
    ) -> None:
        """Creates the call; `run` makes it.

        Args:
            owner: The transport.
            endpoint: Id of the endpoint to call.
            message: The message to send.
            deadline: When the call times out, in seconds on the loop's clock.
            permission: Asked immediately before the first byte is written, and until the receiver has all.
        """
        self.owner = owner
        self.endpoint = endpoint
        self.message = message
        self.deadline = deadline
        self.permission = permission
        self.loop = asyncio.get_running_loop()
        self.connection: ClientConnection | None = None
        self.is_reused = False
        self.is_written = False
        self.written_at = 0.0
        self.is_revoked = False
        self.early_rejection: AttemptResult | None = None
        self.task: asyncio.Task[Any] | None = None
        self.is_returned = False
        self.is_abandoned = False
        self.retry_after_us = 0

    async def run(self) -> AttemptResult:
        """Makes the call in the current task and returns its result."""
        task = asyncio.current_task()
        assert task
        self.task = task
        self.owner.unsent.add(task)
        try:
            async with asyncio.timeout_at(self.deadline):
                return await self._exchange(task)
        except asyncio.CancelledError:
            if known_result := self._result_of_cancelled(task):
                return known_result
            raise
        except TimeoutError:
            return self._timed_out()
        except SendRevokedError:
            self._log_revoked()
            return self.early_rejection or AttemptResult(Outcome.NOT_SENT)
        except MalformedMessageError as error:
            return self._malformed(error)
        except CONNECTION_ERRORS:
            return self._broken()
        finally:
            self.owner.unsent.discard(task)
            self._release_connection()

    # Steps of the exchange.

    async def _exchange(self, task: asyncio.Task[Any]) -> AttemptResult:
        connection = await self._connect()
        if connection is None:
            return AttemptResult(Outcome.NOT_SENT)
        if self.owner.is_closing or not self._may_send_on(connection):
            self.is_returned = self.owner.return_to_pool(self.endpoint, connection)
            return AttemptResult(Outcome.NOT_SENT)
        headers = self._headers()
        await connection.send("POST", TARGET, headers, self.message.body, self._may_continue_writing)
        self.owner.unsent.discard(task)
        self.is_written = True
        self.written_at = self.loop.time()
        self.owner.unacknowledged.add(self)
        self.owner.on_sent()
        self.owner.awaiting_answer[connection] = self.endpoint
        response = await connection.response()
        if self.loop.time() >= self.deadline:
            raise TimeoutError  # the loop ran late, so it is not known whether the delivery was in time
        result = self._read_head(response)
        await self._finish_answer(connection, result)
        return result

    async def _connect(self) -> ClientConnection | None:
        """Returns a pooled or a new connection; None if the endpoint is gone or none may be opened."""
        while address := self.owner.dials().get(self.endpoint):
            if connection := self.owner.take_idle(self.endpoint):
                self.connection, self.is_reused = connection, True
                return connection
            if closed := self.owner.reserve_connection(self.endpoint, self.message.id):
                self.connection = await self.owner.open_connection(address, closed)
                return self.connection
            if self.owner.close_resting(self.endpoint):
                continue
            rest_left_s = self.owner.rest_left_s(self.endpoint)
            if not rest_left_s:
                return None
            await asyncio.sleep(rest_left_s[0])
        return None

    def _may_send_on(self, connection: ClientConnection) -> bool:
        """Whether the request may be written; the endpoint may have moved while the connection opened."""
        return self.permission.may_begin() and self.owner.dials().get(self.endpoint) == connection.address

    def _may_continue_writing(self) -> bool:
        """Whether the rest of the request may be written: it is permitted, and not rejected already."""
        assert self.connection
        if early_rejection := self.owner.early_result(self.endpoint, self.connection):
            self.early_rejection = early_rejection
            return False
        return self.loop.time() < self.deadline and self.may_continue()

    def _headers(self) -> dict[str, str]:
        remaining_s = max(self.deadline - self.loop.time(), 0.0)
        return {
            "X-Correlation-Id": self.message.id,
            "Idempotency-Key": self.message.idempotency_key,
            "X-Time-Left": f"{remaining_s:.3f}",
            "Content-Length": str(len(self.message.body)),
        }

    def _read_head(self, response: ResponseHead) -> AttemptResult:
        assert self.connection
        previous = self.connection.answered
        number = previous.number + 1 if previous else 1
        self.connection.answered = AnsweredRequest(self.message.id, response.status_code, number)
        result = answer_from(response)
        self.retry_after_us = result.retry_after_us
        if self.retry_after_us:
            self.owner.retry_after_received(self.endpoint, self.retry_after_us)
        if self.owner.on_limit_announced and (limit := announced_limit(response)):
            self.owner.on_limit_announced(self.endpoint, *limit)
        if int(header(response.headers, b"content-length") or 0) > BODY_LIMIT:
            raise MalformedMessageError(
                response.status_code, f"the Content-Length of the response exceeds {BODY_LIMIT} bytes"
            )
        return result

    async def _finish_answer(self, connection: ClientConnection, result: AttemptResult) -> None:
        if result.outcome not in NEVER_RAN:
            self.is_returned = self.owner.return_if_complete(self.endpoint, connection)
            return
        # Only a complete, well-formed response proves that the request did not run, whatever its status says.
        async with PeerTimeout(BODY_TIMEOUT_S):
            await connection.skip_body()
        self.is_returned = self.owner.finish_response(self.endpoint, connection)

    # A written request that the receiver has not acknowledged.

    def may_continue(self) -> bool:
        """Whether the receiver may still get the rest of the request."""
        return self.permission.may_continue()

    def has_unacknowledged_bytes(self) -> bool:
        """Whether the receiver has not acknowledged all of the request."""
        return self.connection is not None and self.connection.has_unacknowledged_bytes()

    def revoke(self) -> None:
        """Ends the call, whose permission has ended; it may have run all the same."""
        self.is_revoked = True
        self._log_revoked()
        if self.task:
            self.task.cancel()

    def _log_revoked(self) -> None:
        assert self.connection
        log.info(
            "request revoked: message=%s endpoint=%s unwritten=%d unacknowledged=%d",
            self.message.id,
            self.endpoint,
            self.connection.unsent,
            unacknowledged_bytes(self.connection.sock),
        )

    # Early ends: cancellation, time-out, and errors.

    def _result_of_cancelled(self, task: asyncio.Task[Any]) -> AttemptResult | None:
        """Returns the result of a cancelled call if it is known all the same."""
        if self.owner.is_closing and task in self.owner.unsent:
            return AttemptResult(Outcome.NOT_SENT)
        if self.connection and (result := self.owner.unread_result(self.endpoint, self.connection)):
            return result
        self.is_abandoned = self.is_written
        return AttemptResult(Outcome.CANCELLED) if self.is_revoked else None

    def _timed_out(self) -> AttemptResult:
        self.is_abandoned = self.is_written
        unread = self.owner.unread_result(self.endpoint, self.connection) if self.connection else None
        retry_after_us = unread.retry_after_us if unread else self.retry_after_us
        outcome = Outcome.TIMEOUT if self.is_written else Outcome.CONNECT_FAILED
        return AttemptResult(outcome, retry_after_us=retry_after_us)

    def _malformed(self, error: MalformedMessageError) -> AttemptResult:
        """Returns the result of a malformed response: it may have run, and a status line of 200 counts."""
        if error.status != OK_STATUS:
            return AttemptResult(Outcome.MALFORMED, retry_after_us=self.retry_after_us)
        if isinstance(error, IncompleteHeadError) and self.connection:
            rest_of_response = self.connection.skip_answer()
            self.is_returned = self.owner.return_after_body(self.endpoint, self.connection, rest_of_response)
        return AttemptResult(Outcome.OK, is_final=True)

    def _broken(self) -> AttemptResult:
        if self.is_reused:  # closed by the receiver while idle, as the endpoint's other connections may be
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
        self.owner.unacknowledged.discard(self)
        if self.connection:
            self.owner.awaiting_answer.pop(self.connection, None)
            # After a time-out or cancellation, closing the connection is the only way to notify the receiver.
            if not self.is_returned:
                self.owner.drop(self.connection)
        if self.is_abandoned:
            self.owner.close_idle(self.endpoint)  # the other connections may have stopped responding too
