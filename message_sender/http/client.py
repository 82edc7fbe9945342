"""Calls to receivers: a pool of kept connections for each endpoint, and what came back as an Outcome."""

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
from message_sender.http.codec import (
    BROKEN,
    Address,
    ClientConnection,
)
from message_sender.http.response_mapping import answer_from
from message_sender.http.unread_sockets import UnreadSockets
from message_sender.message import Message
from message_sender.policy.model import NEVER_RAN, Outcome

IDLE_SHARE = 0.8  # of the receiver's idle limit: a kept connection is dropped that much earlier
SHORTAGE_PAUSE = 0.05  # s until the next try to open a connection where no descriptor or port was left


def nothing() -> None:
    """What is to be done where nobody counts connections."""


class HttpTransport:
    """`dials` is discovery's: an endpoint that is no longer in it, or at another address, keeps nothing.
    `most` bounds the connections open at once; to open one more, the one idle for longest is closed."""

    reads_late = False  # it looks

    def __init__(
        self,
        conn_idle: float,
        connect_timeout: float,
        most: int,
        dials: Callable[[], Mapping[str, Address]],
        retry_after_received: Callable[[str, int], None] = lambda endpoint, wait: None,
    ) -> None:
        self.idle_limit = conn_idle * IDLE_SHARE
        self.connect_timeout, self.most, self.dials = connect_timeout, most, dials
        self.retry_after_received = retry_after_received
        self.sent: Callable[[], None] = lambda: None  # a message's last byte is written
        # By endpoint, not by address: a new receiver may stand where another one has gone.
        self.pool: dict[str, list[ClientConnection]] = {}
        self.idle: dict[ClientConnection, str] = {}  # the same, the one idle for longest first
        self.open: set[ClientConnection] = set()
        self.out: dict[ClientConnection, str] = {}  # whose answer is waited for, and the endpoint
        self.unread = UnreadSockets()
        self.connecting = 0
        self.unsent: set[asyncio.Task[Any]] = set()  # calls whose first byte has not gone
        self.closing = False  # no call begins any more
        self.draining: set[asyncio.Task[None]] = set()
        self.reports = ErrorReports()
        self.observer: TrafficObserver | None = None  # of connections that are opened from now on
        #: Of budgets that a fleet shares. Asked as a connection to an endpoint is about to open for a
        #: message: what to call once it is closed, or None: it may not.
        self.opens: Callable[[str, str], Callable[[], None] | None] = lambda endpoint, name: nothing
        #: s after which one takes no more calls.
        self.retires: Callable[[str], float] = lambda endpoint: math.inf
        #: Hears what an answer says of a limit: so many calls in so many us.
        self.limit_told: Callable[[str, int, int], None] | None = None

    async def call(
        self, endpoint: str, message: Message, timeout: float, may_go: Callable[[], bool]
    ) -> AttemptResult:
        """As of `Transport`."""
        deadline = asyncio.get_running_loop().time() + timeout
        return await HttpCall(self, endpoint, message, deadline, may_go).run()

    def hold_back(self) -> None:
        """Calls whose first byte has not gone never go; those that are out come to their ends."""
        self.closing = True
        for task in list(self.unsent):
            task.cancel()

    def close_all_idle(self) -> None:
        for connection in list(self.idle):
            self.close_one(connection)

    def poll_unread(self) -> None:
        """What lies unread in the sockets of calls out binds now: a wait that an answer tells, and the end of
        a kept connection. Guards calls that are about to go from a loop that comes late to hear of it."""
        for connection in self.unread.ready():
            if connection in self.idle:
                self.close_one(connection)
            elif (endpoint := self.out.get(connection)) and connection.look():
                self.heard(endpoint, connection)

    def heard(self, endpoint: str, connection: ClientConnection) -> AttemptResult | None:
        """The answer, as far as its head says it; none where no head has come that can be read."""
        if not isinstance(response := connection.head(), fast_path.ResponseHead):
            return None
        answer = answer_from(response)
        if answer.retry_after_us:
            self.retry_after_received(endpoint, answer.retry_after_us)
        return answer

    def lying(self, endpoint: str, connection: ClientConnection) -> AttemptResult | None:
        """The answer of a call that is being given up, where it has come and nobody has read it yet. What
        says that it never ran is believed only whole, as ever."""
        if connection not in self.out:
            return None
        with contextlib.suppress(OSError):
            connection.read_some()  # nobody waits for it any more
        if (answer := self.heard(endpoint, connection)) and answer.outcome in NEVER_RAN:
            try:
                return answer if connection.whole() else None
            except BROKEN:
                return None
        return answer

    def ahead(self, endpoint: str, connection: ClientConnection) -> AttemptResult | None:
        """What turned a call away before its last byte was written, and then broke it: its wait binds."""
        with contextlib.suppress(OSError):
            connection.read_some()
        answer = self.heard(endpoint, connection)
        return answer if answer and answer.outcome is Outcome.FULL else None

    async def open_counted(self, address: Address, closed: Callable[[], None]) -> ClientConnection:
        """`closed` is called once it is, also where it never opened."""
        try:
            connection = await self.connect(address)
        except BaseException:
            closed()
            raise
        connection.closed, connection.opened_at = closed, asyncio.get_running_loop().time()
        return connection

    async def connect(self, address: Address) -> ClientConnection:
        if len(self.open) + self.connecting >= self.most and self.idle:
            self.close_one(next(iter(self.idle)))
        self.connecting += 1
        try:
            async with asyncio.timeout(self.connect_timeout):
                connection = await self.open_one(address)
        finally:
            self.connecting -= 1
        connection.quick = True
        if self.observer:
            connection.observed = ObservedConnection(self.observer, connection.sock.getsockname(), address)
        try:
            self.unread.add(connection)
        except OSError:
            connection.close()
            raise
        self.open.add(connection)
        return connection

    async def open_one(self, address: Address) -> ClientConnection:
        """Guards destinations from the blame for a shortage of our own descriptors, ports or memory: it
        passes, and the connection that has stood idle for longest makes room."""
        while True:
            try:
                return await ClientConnection.open(address)
            except OSError as error:
                if cause_of(error) is not Cause.SHORTAGE:
                    raise
                self.reports.report(error, "opening a connection")
            if self.idle:
                self.close_one(next(iter(self.idle)))
            await asyncio.sleep(SHORTAGE_PAUSE)

    def drop(self, connection: ClientConnection) -> None:
        self.open.discard(connection)
        self.unread.discard(connection)
        connection.close()
        connection.closed()

    def finish(self, endpoint: str, connection: ClientConnection) -> bool:
        """Keeps the connection once the answer is here to its end; the outcome need not wait for that."""
        try:
            if connection.whole():
                return connection.next_cycle() and self.keep(endpoint, connection)
        except BROKEN:
            return False
        return self.read_rest(endpoint, connection, connection.skip_body())

    def read_rest(self, endpoint: str, connection: ClientConnection, rest: Coroutine[Any, Any, None]) -> bool:
        """In a task of its own; whatever becomes of it, the connection is in its hands."""
        task = asyncio.get_running_loop().create_task(self.drain(endpoint, connection, rest))
        self.draining.add(task)
        task.add_done_callback(self.draining.discard)
        return True

    async def drain(
        self, endpoint: str, connection: ClientConnection, rest: Coroutine[Any, Any, None]
    ) -> None:
        kept = False
        try:
            async with asyncio.timeout(BODY_PATIENCE):
                await rest
            kept = connection.next_cycle() and self.keep(endpoint, connection)
        except BROKEN:
            pass  # TimeoutError too; whatever becomes of the rest, the outcome stands
        finally:
            if not kept:
                self.drop(connection)

    # The pool.

    def take_idle(self, endpoint: str) -> ClientConnection | None:
        """The connection used last. Guards against one that the receiver closes as the request goes."""
        while kept := self.pool.get(endpoint):
            connection = kept[-1]
            self.leave_pool(connection)
            if not connection.ended() and not self.too_old(connection):
                return connection
            self.drop(connection)
        return None

    def leave_pool(self, connection: ClientConnection) -> None:
        endpoint = self.idle.pop(connection)
        self.pool[endpoint].remove(connection)
        if not self.pool[endpoint]:
            del self.pool[endpoint]

    def keep(self, endpoint: str, connection: ClientConnection) -> bool:
        now = asyncio.get_running_loop().time()
        retired = now - connection.opened_at >= self.retires(endpoint)
        if retired or self.dials().get(endpoint) != connection.address:
            return False
        connection.idle_since, connection.retires_at = now, connection.opened_at + self.retires(endpoint)
        self.pool.setdefault(endpoint, []).append(connection)
        self.idle[connection] = endpoint
        return True

    def too_old(self, connection: ClientConnection) -> bool:
        now = asyncio.get_running_loop().time()
        return now - connection.idle_since >= self.idle_limit or now >= connection.retires_at

    def close_expired(self) -> None:
        """Called now and then, so that what nobody uses holds no descriptor."""
        for connection in [each for each in self.idle if self.too_old(each) or each.ended()]:
            self.close_one(connection)

    def endpoints_changed(self) -> None:
        """After each line of discovery: what is kept for an endpoint closes with it."""
        for connection, endpoint in list(self.idle.items()):
            if self.dials().get(endpoint) != connection.address:
                self.close_one(connection)

    def close_one(self, connection: ClientConnection) -> None:
        self.leave_pool(connection)
        self.drop(connection)

    def close_idle(self, endpoint: str) -> None:
        for connection in list(self.pool.get(endpoint, ())):
            self.close_one(connection)

    def close(self) -> None:
        for task in self.draining:
            task.cancel()
        self.close_all_idle()
        self.unread.close()
