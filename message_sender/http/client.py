"""Calls to receivers: a pool of idle connections for each endpoint."""

import asyncio
import contextlib
import math
from collections.abc import Callable, Coroutine, Mapping
from typing import Any

from message_sender.core.ports import AttemptResult
from message_sender.core.socket_errors import Cause, ErrorReports, cause_of
from message_sender.core.traffic_observer import ObservedConnection, TrafficObserver
from message_sender.http import fast_path
from message_sender.http.call import BODY_PATIENCE, HttpCall
from message_sender.http.client_connection import ClientConnection, nothing
from message_sender.http.codec import BROKEN, Address
from message_sender.http.response_mapping import answer_from
from message_sender.http.unread_sockets import UnreadSockets
from message_sender.message import Message
from message_sender.policy.model import NEVER_RAN, Outcome

IDLE_SHARE = 0.8  # of the receiver's idle limit: an idle connection is closed that much earlier
SHORTAGE_RETRY_S = 0.05  # to open a connection where no descriptor or port was left


def ignore_retry_after(endpoint: str, delay_us: int) -> None:
    """For a transport without an engine."""


def allow_connection(endpoint: str, message_id: str) -> Callable[[], None]:
    """Where connections are not limited."""
    return nothing


def never_retires(endpoint: str) -> float:
    """Where connections are not limited."""
    return math.inf


class HttpTransport:
    """Implements the port `Transport` of the core.

    `dials` is discovery's: an endpoint that is no longer in it, or at another address, keeps no connection.
    At the limit of open connections, the one idle for longest is closed to open another one.

    Attributes:
        connection_limit: Connections open at once.
        on_sent: Called once a message's last byte is written.
        pool: Idle connections by endpoint, not by address: a new receiver may reuse an address.
        idle: The same connections with their endpoints, the one idle for longest first.
        connections: All open connections.
        awaiting_answer: Connections whose answer is waited for, with their endpoints.
        unsent: Calls whose first byte has not gone.
        is_closing: No call begins any more.
        observer: Sees the traffic of connections that are opened from now on.
        reserve_connection: Called with endpoint and message as a connection is about to open. Returns what to
            call once it is closed; None: it may not be opened.
        max_age_s: Returns after how many seconds a connection to the endpoint takes no more calls.
        on_limit_announced: Called with a limit that an answer announces: endpoint, calls, microseconds.
    """

    reads_late = False

    def __init__(
        self,
        conn_idle: float,
        connect_timeout: float,
        connection_limit: int,
        dials: Callable[[], Mapping[str, Address]],
        retry_after_received: Callable[[str, int], None] = ignore_retry_after,
    ) -> None:
        """Opens nothing yet.

        Args:
            conn_idle: Seconds after which receivers close idle connections.
            connect_timeout: Seconds.
            connection_limit: Connections open at once.
            dials: Addresses of the listed endpoints.
            retry_after_received: Called with an endpoint and its Retry-After in microseconds.

        Raises:
            OSError: No descriptor is left.
        """
        self.idle_limit = conn_idle * IDLE_SHARE
        self.connect_timeout = connect_timeout
        self.connection_limit = connection_limit
        self.dials = dials
        self.retry_after_received = retry_after_received
        self.on_sent: Callable[[], None] = nothing
        self.pool: dict[str, list[ClientConnection]] = {}
        self.idle: dict[ClientConnection, str] = {}
        self.connections: set[ClientConnection] = set()
        self.awaiting_answer: dict[ClientConnection, str] = {}
        self.unread = UnreadSockets()
        self.connecting = 0
        self.unsent: set[asyncio.Task[Any]] = set()
        self.is_closing = False
        self.rest_tasks: set[asyncio.Task[None]] = set()
        self.reports = ErrorReports()
        self.observer: TrafficObserver | None = None
        self.reserve_connection: Callable[[str, str], Callable[[], None] | None] = allow_connection
        self.max_age_s: Callable[[str], float] = never_retires
        self.on_limit_announced: Callable[[str, int, int], None] | None = None

    async def call(
        self, endpoint: str, message: Message, timeout: float, may_go: Callable[[], bool]
    ) -> AttemptResult:
        """As of `Transport`."""
        deadline = asyncio.get_running_loop().time() + timeout
        return await HttpCall(self, endpoint, message, deadline, may_go).run()

    def cancel_unsent(self) -> None:
        """Calls whose first byte has not gone never go; those in flight come to their results."""
        self.is_closing = True
        for task in list(self.unsent):
            task.cancel()

    def close_all_idle(self) -> None:
        """Closes all idle connections."""
        for connection in list(self.idle):
            self.close_one(connection)

    def poll_unread(self) -> None:
        """Reads what lies unread in the sockets of calls in flight.

        A Retry-After and the end of an idle connection bind at once, for calls that are about to go from a
        loop that comes late to hear of them.
        """
        for connection in self.unread.ready():
            if connection in self.idle:
                self.close_one(connection)
            elif (endpoint := self.awaiting_answer.get(connection)) and connection.poll():
                self.result_at_hand(endpoint, connection)

    def result_at_hand(self, endpoint: str, connection: ClientConnection) -> AttemptResult | None:
        """The result, as far as the head of the answer tells it; None where no head has come."""
        if not isinstance(response := connection.head(), fast_path.ResponseHead):
            return None
        answer = answer_from(response)
        if answer.retry_after_us:
            self.retry_after_received(endpoint, answer.retry_after_us)
        return answer

    def unread_result(self, endpoint: str, connection: ClientConnection) -> AttemptResult | None:
        """The result of a call that is being given up, where its answer has come and nobody has read it yet.

        An answer that says that the call never ran counts only if it is whole.
        """
        if connection not in self.awaiting_answer:
            return None
        with contextlib.suppress(OSError):
            connection.read_some()  # nobody waits for it any more
        if (answer := self.result_at_hand(endpoint, connection)) and answer.outcome in NEVER_RAN:
            try:
                return answer if connection.is_answer_complete() else None
            except BROKEN:
                return None
        return answer

    def early_result(self, endpoint: str, connection: ClientConnection) -> AttemptResult | None:
        """What rejected a call before its last byte was written, and then broke it."""
        with contextlib.suppress(OSError):
            connection.read_some()
        answer = self.result_at_hand(endpoint, connection)
        return answer if answer and answer.outcome is Outcome.FULL else None

    async def open_connection(self, address: Address, closed: Callable[[], None]) -> ClientConnection:
        """Opens a connection.

        Args:
            address: Of the endpoint.
            closed: Called once it is closed, also where it never opened.

        Raises:
            OSError: It could not be opened.
            TimeoutError: It took too long.
        """
        try:
            connection = await self.connect(address)
        except BaseException:
            closed()
            raise
        connection.closed, connection.opened_at = closed, asyncio.get_running_loop().time()
        return connection

    async def connect(self, address: Address) -> ClientConnection:
        """A new connection, for which one that is idle makes room. Raises as `open_connection`."""
        if len(self.connections) + self.connecting >= self.connection_limit and self.idle:
            self.close_one(next(iter(self.idle)))
        self.connecting += 1
        try:
            async with asyncio.timeout(self.connect_timeout):
                connection = await self.open_one(address)
        finally:
            self.connecting -= 1
        connection.is_fast = True
        if self.observer:
            connection.observed = ObservedConnection(self.observer, connection.sock.getsockname(), address)
        try:
            self.unread.add(connection)
        except OSError:
            connection.close()
            raise
        self.connections.add(connection)
        return connection

    async def open_one(self, address: Address) -> ClientConnection:
        """Opens a socket, and waits out a shortage of our own descriptors, ports or memory.

        No destination is to blame for a shortage: it passes, and the connection idle for longest makes room.
        """
        while True:
            try:
                return await ClientConnection.open(address)
            except OSError as error:
                if cause_of(error) is not Cause.SHORTAGE:
                    raise
                self.reports.report(error, "opening a connection")
            if self.idle:
                self.close_one(next(iter(self.idle)))
            await asyncio.sleep(SHORTAGE_RETRY_S)

    def drop(self, connection: ClientConnection) -> None:
        """Closes a connection that is not idle."""
        self.connections.discard(connection)
        self.unread.discard(connection)
        connection.close()
        connection.closed()

    def return_if_complete(self, endpoint: str, connection: ClientConnection) -> bool:
        """Returns the connection to the pool once its answer is complete, which the result need not wait for.

        Returns:
            Whether the connection goes on without the call.
        """
        try:
            if connection.is_answer_complete():
                return connection.next_cycle() and self.return_to_pool(endpoint, connection)
        except BROKEN:
            return False
        return self.return_after_body(endpoint, connection, connection.skip_body())

    def return_after_body(
        self, endpoint: str, connection: ClientConnection, rest: Coroutine[Any, Any, None]
    ) -> bool:
        """Reads the rest of an answer in a task, which returns the connection to the pool or closes it."""
        task = asyncio.get_running_loop().create_task(self._read_rest(endpoint, connection, rest))
        self.rest_tasks.add(task)
        task.add_done_callback(self.rest_tasks.discard)
        return True

    async def _read_rest(
        self, endpoint: str, connection: ClientConnection, rest: Coroutine[Any, Any, None]
    ) -> None:
        is_returned = False
        try:
            async with asyncio.timeout(BODY_PATIENCE):
                await rest
            is_returned = connection.next_cycle() and self.return_to_pool(endpoint, connection)
        except BROKEN:
            pass  # TimeoutError too; whatever becomes of the rest, the outcome stands
        finally:
            if not is_returned:
                self.drop(connection)

    # The pool.

    def take_idle(self, endpoint: str) -> ClientConnection | None:
        """The idle connection used last, unless the receiver has closed it or soon will."""
        while idle_connections := self.pool.get(endpoint):
            connection = idle_connections[-1]
            self.remove_idle(connection)
            if not connection.has_ended() and not self.is_too_old(connection):
                return connection
            self.drop(connection)
        return None

    def remove_idle(self, connection: ClientConnection) -> None:
        """A connection is idle no more."""
        endpoint = self.idle.pop(connection)
        self.pool[endpoint].remove(connection)
        if not self.pool[endpoint]:
            del self.pool[endpoint]

    def return_to_pool(self, endpoint: str, connection: ClientConnection) -> bool:
        """Returns a connection to the pool; False: it is too old, or the endpoint has moved."""
        now = asyncio.get_running_loop().time()
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
        """Whether an idle connection takes no more calls."""
        now = asyncio.get_running_loop().time()
        return now - connection.idle_since >= self.idle_limit or now >= connection.retires_at

    def close_expired(self) -> None:
        """Closes idle connections that nobody will use; called now and then."""
        for connection in [each for each in self.idle if self.is_too_old(each) or each.has_ended()]:
            self.close_one(connection)

    def endpoints_changed(self) -> None:
        """Closes idle connections to endpoints that are gone or moved."""
        for connection, endpoint in list(self.idle.items()):
            if self.dials().get(endpoint) != connection.address:
                self.close_one(connection)

    def close_one(self, connection: ClientConnection) -> None:
        """Closes an idle connection."""
        self.remove_idle(connection)
        self.drop(connection)

    def close_idle(self, endpoint: str) -> None:
        """Closes the idle connections to an endpoint."""
        for connection in list(self.pool.get(endpoint, ())):
            self.close_one(connection)

    def close(self) -> None:
        """Closes everything at once."""
        for task in self.rest_tasks:
            task.cancel()
        self.close_all_idle()
        self.unread.close()
