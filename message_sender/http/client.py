"""HTTP transport to receivers, with a pool of idle connections per endpoint."""

import asyncio
import contextlib
import logging
import math
from collections.abc import Callable, Coroutine, Mapping
from typing import Any

from message_sender.core.peer_timeout import PeerTimeout
from message_sender.core.ports import AttemptResult, SendPermission
from message_sender.core.read_turns import ReadTurn, ReadTurns
from message_sender.core.socket_errors import Cause, ErrorReports, cause_of
from message_sender.core.traffic_observer import ObservedConnection, TrafficObserver
from message_sender.http import fast_path
from message_sender.http.call import BODY_TIMEOUT_S, HttpCall
from message_sender.http.client_connection import STATUS_LINE, ClientConnection, do_nothing
from message_sender.http.common import CONNECTION_ERRORS, Address
from message_sender.http.response_mapping import answer_from
from message_sender.http.reuse import REUSE_DELAY_S, ReuseRules
from message_sender.http.unacknowledged import UnacknowledgedRequests
from message_sender.http.unread_sockets import UnreadSockets
from message_sender.message import Message
from message_sender.policy.model import NEVER_RAN, Outcome

IDLE_LIMIT_FRACTION = 0.8  # of the receiver's idle limit, so that idle connections are closed before it does
SHORTAGE_RETRY_S = 0.05  # before another attempt to open a connection when no descriptor or port was left

log = logging.getLogger(__name__)


def ignore_retry_after(endpoint: str, delay_us: int) -> None:
    """Default Retry-After callback of a transport that is used without an engine."""


def allow_connection(endpoint: str, message_id: str) -> Callable[[], None]:
    """Default reservation callback: connections are not limited."""
    return do_nothing


def no_max_age(endpoint: str) -> float:
    """Default maximum age: connections are not retired by age."""
    return math.inf


class HttpTransport:
    """Implements the port `Transport` of the core.

    `dials` returns discovery's addresses: idle connections to an endpoint that is no longer listed, or has
    moved to another address, are closed. At the limit of open connections, the longest idle one is closed to
    open another.

    Attributes:
        connection_limit: Maximum number of open connections.
        on_sent: Called when the last byte of a message has been written.
        pool: Idle connections by endpoint, not by address, because a new receiver may reuse an address.
        idle: The same connections with their endpoints, the longest idle first.
        connections: All open connections.
        awaiting_answer: Connections on which a response is expected, with their endpoints.
        unread: Reports which connections have unread bytes.
        turns: The queue of the connections for their turns.
        connecting: Number of connections being opened.
        unsent: Tasks of the calls whose last byte has not been written.
        unacknowledged: Requests that are written but not acknowledged by the receiver's system.
        is_closing: No further call is started.
        body_tasks: Tasks that read the rest of responses in the background.
        reuse: Decides when a connection may carry its next call.
        observer: Observes the traffic of connections that are opened from now on.
        reserve_connection: Called with endpoint and message id before a connection is opened. Returns the
            callback for when the connection has been closed, or None if no connection may be opened.
        max_age_s: Returns the age in seconds from which a connection to the endpoint takes no more calls.
        on_limit_announced: Called with a rate limit that a response announces: endpoint, calls, and the
            window in microseconds.
    """

    reads_late = False

    def __init__(
        self,
        conn_idle: float,
        connect_timeout: float,
        connection_limit: int,
        dials: Callable[[], Mapping[str, Address]],
        retry_after_received: Callable[[str, int], None] = ignore_retry_after,
        reuse_delay_s: float = REUSE_DELAY_S,
    ) -> None:
        """Creates a transport without connections.

        Args:
            conn_idle: Seconds after which receivers close idle connections.
            connect_timeout: Time-out for opening a connection, in seconds.
            connection_limit: Maximum number of open connections.
            dials: Returns the addresses of the listed endpoints.
            retry_after_received: Called with an endpoint and its Retry-After in microseconds.
            reuse_delay_s: Seconds that a connection rests after a response before it carries another call.

        Raises:
            OSError: No file descriptor is left.
        """
        self.idle_limit = conn_idle * IDLE_LIMIT_FRACTION
        self.connect_timeout = connect_timeout
        self.connection_limit = connection_limit
        self.dials = dials
        self.retry_after_received = retry_after_received
        self.on_sent: Callable[[], None] = do_nothing
        self.pool: dict[str, list[ClientConnection]] = {}
        self.idle: dict[ClientConnection, str] = {}
        self.connections: set[ClientConnection] = set()
        self.awaiting_answer: dict[ClientConnection, str] = {}
        self.unread = UnreadSockets()
        self.turns = ReadTurns()
        self.connecting = 0
        self.unsent: set[asyncio.Task[Any]] = set()
        self.unacknowledged = UnacknowledgedRequests()
        self.is_closing = False
        self.body_tasks: set[asyncio.Task[None]] = set()
        self.reports = ErrorReports()
        self.reuse = ReuseRules(reuse_delay_s)
        self.observer: TrafficObserver | None = None
        self.reserve_connection: Callable[[str, str], Callable[[], None] | None] = allow_connection
        self.max_age_s: Callable[[str], float] = no_max_age
        self.on_limit_announced: Callable[[str, int, int], None] | None = None

    async def call(
        self, endpoint: str, message: Message, timeout: float, permission: SendPermission
    ) -> AttemptResult:
        """Makes a call; see `Transport.call` in the core. `timeout`: seconds."""
        deadline = asyncio.get_running_loop().time() + timeout
        return await HttpCall(self, endpoint, message, deadline, permission).run()

    def cancel_unsent(self) -> None:
        """Cancels the calls whose last byte has not been written, and lets those in flight finish."""
        self.is_closing = True
        for task in list(self.unsent):
            task.cancel()

    def close_all_idle(self) -> None:
        """Closes all idle connections."""
        for connection in list(self.idle):
            self.close_idle_connection(connection)

    def poll_unread(self) -> None:
        """Reads the bytes that are unread in the sockets of calls in flight.

        When the loop runs late, a Retry-After or the close of an idle connection thereby takes effect before
        the calls that the loop is about to send.
        """
        for connection in self.unread.ready():
            if connection in self.idle:
                self.close_idle_connection(connection)
            elif (endpoint := self.awaiting_answer.get(connection)) and connection.poll():
                self.received_result(endpoint, connection)

    def received_result(self, endpoint: str, connection: ClientConnection) -> AttemptResult | None:
        """Returns the result that the head of the response states; None if there is no head yet."""
        if not isinstance(response := connection.head(), fast_path.ResponseHead):
            return None
        result = answer_from(response)
        if result.retry_after_us:
            self.retry_after_received(endpoint, result.retry_after_us)
        return result

    def unread_result(self, endpoint: str, connection: ClientConnection) -> AttemptResult | None:
        """Returns the result of an abandoned call whose response has arrived but has not been read yet.

        A response stating that the call never ran counts only if it is complete.
        """
        if connection not in self.awaiting_answer:
            return None
        with contextlib.suppress(OSError):
            connection.read_available()  # the task of the call no longer waits for these bytes
        if (result := self.received_result(endpoint, connection)) and result.outcome in NEVER_RAN:
            try:
                return result if connection.is_answer_complete() else None
            except CONNECTION_ERRORS:
                return None
        return result

    def early_result(self, endpoint: str, connection: ClientConnection) -> AttemptResult | None:
        """Returns the rejection that was received before the request was written completely, if any.

        The receiver may reject a call early and then break the connection.
        """
        with contextlib.suppress(OSError):
            connection.read_available()
        result = self.received_result(endpoint, connection)
        return result if result and result.outcome is Outcome.FULL else None

    async def open_connection(self, address: Address, closed: Callable[[], None]) -> ClientConnection:
        """Opens a connection.

        Args:
            address: The address of the endpoint.
            closed: Called when the connection has been closed, and also if it could not be opened.

        Raises:
            OSError: The connection could not be opened.
            TimeoutError: The connection was not open within the connect time-out.
        """
        try:
            connection = await self.connect(address)
        except BaseException:
            closed()
            raise
        connection.closed, connection.opened_at = closed, asyncio.get_running_loop().time()
        return connection

    async def connect(self, address: Address) -> ClientConnection:
        """Opens a connection, closing an idle one at the connection limit. Raises as `open_connection`."""
        if len(self.connections) + self.connecting >= self.connection_limit and self.idle:
            self.close_idle_connection(next(iter(self.idle)))
        self.connecting += 1
        try:
            async with PeerTimeout(self.connect_timeout):
                connection = await self.open_socket(address)
        finally:
            self.connecting -= 1
        connection.is_fast = True
        connection.turn = ReadTurn(self.turns)
        connection.discard_unacknowledged_at_close()
        if self.observer:
            connection.observed = ObservedConnection(self.observer, connection.sock.getsockname(), address)
        try:
            self.unread.add(connection)
        except OSError:
            connection.close()
            raise
        self.connections.add(connection)
        return connection

    async def open_socket(self, address: Address) -> ClientConnection:
        """Opens a socket, retrying while this process is short of descriptors, ports or memory.

        A local shortage is temporary and must not count as a failure of the destination. The longest idle
        connection is closed to free a descriptor.
        """
        while True:
            try:
                return await ClientConnection.open(address)
            except OSError as error:
                if cause_of(error) is not Cause.SHORTAGE:
                    raise
                self.reports.report(error, "opening a connection")
            if self.idle:
                self.close_idle_connection(next(iter(self.idle)))
            await asyncio.sleep(SHORTAGE_RETRY_S)

    def drop(self, connection: ClientConnection) -> None:
        """Closes a connection that is not idle."""
        self.connections.discard(connection)
        self.unread.discard(connection)
        connection.close()
        connection.closed()

    def return_if_complete(self, endpoint: str, connection: ClientConnection) -> bool:
        """Returns the connection to the pool now or, if the response is incomplete, after its body was read.

        The result of the call does not wait for the body.

        Returns:
            Whether the connection has been returned or will be handled in the background; False if the caller
            must close it.
        """
        try:
            if connection.is_answer_complete():
                return self.finish_response(endpoint, connection)
        except CONNECTION_ERRORS:
            return False
        return self.return_after_body(endpoint, connection, connection.skip_body())

    def finish_response(self, endpoint: str, connection: ClientConnection) -> bool:
        """Returns a connection whose response is complete to the pool; False if it may not be reused."""
        if connection.next_cycle():
            return self.return_to_pool(endpoint, connection)
        self.report_unsolicited(endpoint, connection)
        return False

    def return_after_body(
        self, endpoint: str, connection: ClientConnection, rest: Coroutine[Any, Any, None]
    ) -> bool:
        """Reads the rest of a response in a task, which returns the connection to the pool or closes it."""
        task = asyncio.get_running_loop().create_task(self._read_rest(endpoint, connection, rest))
        self.body_tasks.add(task)
        task.add_done_callback(self.body_tasks.discard)
        return True

    async def _read_rest(
        self, endpoint: str, connection: ClientConnection, rest: Coroutine[Any, Any, None]
    ) -> None:
        is_returned = False
        try:
            async with PeerTimeout(BODY_TIMEOUT_S):
                await rest
            is_returned = self.finish_response(endpoint, connection)
        except CONNECTION_ERRORS:
            pass  # includes TimeoutError; the outcome of the call is already known
        finally:
            if not is_returned:
                self.drop(connection)

    # The pool.

    def take_idle(self, endpoint: str) -> ClientConnection | None:
        """Takes the most recently used idle connection that may carry a call."""
        now = asyncio.get_running_loop().time()
        for connection in reversed(self.pool.get(endpoint, [])[:]):
            if not self.reuse.may_carry_call(endpoint, connection.answered_at, now):
                continue
            if not connection.has_ended() and not self.is_too_old(connection):
                self.remove_idle(connection)
                return connection
            self.close_idle_connection(connection)
        return None

    def rest_left_s(self, endpoint: str) -> list[float]:
        """Seconds until each idle connection that may stay open may carry a call; the shortest first."""
        now = asyncio.get_running_loop().time()
        return sorted(
            max(self.reuse.rested_at(each.answered_at) - now, 0.0)
            for each in self.pool.get(endpoint, ())
            if self.reuse.may_keep(endpoint, each.answered_at, now)
        )

    def close_resting(self, endpoint: str) -> bool:
        """Closes the longest idle connection to an endpoint if their number is limited, to open another.

        Returns:
            Whether there was such a connection.
        """
        idle_connections = self.pool.get(endpoint)
        if not idle_connections or math.isinf(self.max_age_s(endpoint)):
            return False
        self.close_idle_connection(idle_connections[0])
        return True

    def report_unsolicited(self, endpoint: str, connection: ClientConnection) -> None:
        """Reports bytes that an endpoint has sent on a connection on which no response was due, if any."""
        if not (data := connection.unsolicited_bytes()):
            return
        now = asyncio.get_running_loop().time()
        status_line, answered = STATUS_LINE.match(data), connection.answered
        status = int(status_line[1]) if status_line else 0
        self.reuse.unsolicited_received(endpoint, status, now)
        log.warning(
            "unsolicited response: endpoint=%s connection=%d status=%d after_ms=%.0f last_message=%s"
            " last_status=%d requests=%d total=%d",
            endpoint,
            connection.local_port(),
            status,
            (now - connection.answered_at) * 1e3,
            answered.message_id if answered else "",
            answered.status if answered else 0,
            answered.number if answered else 0,
            self.reuse.unsolicited,
        )

    def remove_idle(self, connection: ClientConnection) -> str:
        """Removes a connection from the pool and returns its endpoint."""
        endpoint = self.idle.pop(connection)
        self.pool[endpoint].remove(connection)
        if not self.pool[endpoint]:
            del self.pool[endpoint]
        return endpoint

    def return_to_pool(self, endpoint: str, connection: ClientConnection) -> bool:
        """Returns a connection to the pool; False if it may carry no other call."""
        now = asyncio.get_running_loop().time()
        if not self.reuse.may_keep(endpoint, connection.answered_at, now):
            return False
        max_age_s = self.max_age_s(endpoint)
        is_retired = now - connection.opened_at >= max_age_s
        if is_retired or self.dials().get(endpoint) != connection.address:
            return False
        connection.idle_since = now
        connection.retires_at = connection.opened_at + max_age_s
        self.pool.setdefault(endpoint, []).append(connection)
        self.idle[connection] = endpoint
        return True

    def is_too_old(self, connection: ClientConnection) -> bool:
        """Whether an idle connection may take no more calls."""
        now = asyncio.get_running_loop().time()
        return now - connection.idle_since >= self.idle_limit or now >= connection.retires_at

    def close_expired(self) -> None:
        """Closes idle connections that can carry no other call; called periodically."""
        now = asyncio.get_running_loop().time()
        for connection, endpoint in list(self.idle.items()):
            may_keep = self.reuse.may_keep(endpoint, connection.answered_at, now)
            if not may_keep or self.is_too_old(connection) or connection.has_ended():
                self.close_idle_connection(connection)

    def endpoints_changed(self) -> None:
        """Closes idle connections to endpoints that are no longer listed or have moved."""
        for connection, endpoint in list(self.idle.items()):
            if self.dials().get(endpoint) != connection.address:
                self.close_idle_connection(connection)

    def close_idle_connection(self, connection: ClientConnection) -> None:
        """Closes an idle connection."""
        self.report_unsolicited(self.remove_idle(connection), connection)
        self.drop(connection)

    def close_idle(self, endpoint: str) -> None:
        """Closes the idle connections to an endpoint."""
        for connection in list(self.pool.get(endpoint, ())):
            self.close_idle_connection(connection)

    def close(self) -> None:
        """Closes the idle connections and cancels the background reads."""
        for task in self.body_tasks:
            task.cancel()
        self.close_all_idle()
        self.unacknowledged.close()
        self.unread.close()
