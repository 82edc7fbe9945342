"""The calling side of HTTP/1.1 on a plain socket, for receivers and for discovery."""

import asyncio
import math
import re
import socket
from collections.abc import Callable

import h11

from message_sender.core.traffic_observer import CLIENT_SIDE, SERVER_SIDE, ObservedConnection
from message_sender.http import fast_path
from message_sender.http.codec import (
    BODY_LIMIT,
    BROKEN,
    HEADER_LIMIT,
    READ_SIZE,
    Address,
    IncompleteHeadError,
    MalformedMessageError,
    close,
)

HEAD_PATIENCE = 1.0  # seconds from an answer's first bytes to the end of its head
INTERIM_ANSWERS_LIMIT = 16  # 1xx answers ahead of one answer
FIRST_LINE = re.compile(rb"HTTP/1\.[01] (\d{3})(?: [^\r\n]*)?\r?\n")
BEGINNING = b"HTTP/1."


def wake(waiting: "asyncio.Future[None]") -> None:
    """Lets whoever waits for the future go on."""
    if not waiting.done():
        waiting.set_result(None)


def nothing() -> None:
    """For a connection whose end nobody counts."""


class ClientConnection:
    """One connection to a server. It never sends anything twice by itself.

    Attributes:
        idle_since: Since when no call uses it; seconds on the loop's clock.
        opened_at: When it was opened; seconds.
        retires_at: After which it takes no more calls; seconds.
        closed: Called once it is closed.
        body_size: Bytes of the answer's body so far.
        unsent: Bytes of the request that the system has not taken yet.
        read_waiter: Somebody waits for the next bytes.
        reader_loop: The loop that tells when there are some.
        has_notified: It has woken whoever waited, and may be called once more before it stops.
        has_polled: Bytes were read by `poll`, and whoever waits for them has not gone on yet.
        poll_error: What `poll` met.
        interim_answers: 1xx answers ahead of this one.
        head_result: The head of the answer, or why there is none.
        observed: Hears of its traffic.
        is_fast: Requests are written, and usual answers read, without the codec.
        is_outcome_known: The first line has counted: the rest of the head is only read.
    """

    def __init__(self, sock: socket.socket, address: Address) -> None:
        """`sock`: connected to `address`."""
        self.sock = sock
        self.address = address
        self.codec = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEADER_LIMIT)
        self.idle_since = 0.0
        self.opened_at = 0.0
        self.retires_at = math.inf
        self.closed: Callable[[], None] = nothing
        self.body_size = 0
        self.unsent = 0
        self.read_waiter: asyncio.Future[None] | None = None
        self.reader_loop: asyncio.AbstractEventLoop | None = None
        self.has_notified = False
        self.has_polled = False
        self.poll_error: OSError | None = None
        self.interim_answers = 0
        self.head_result: fast_path.ResponseHead | MalformedMessageError | ConnectionResetError | None = None
        self.observed: ObservedConnection | None = None
        self.is_fast = False
        self.is_outcome_known = False

    @classmethod
    async def open(cls, address: Address) -> "ClientConnection":
        """Connects.

        Raises:
            OSError: No connection could be made.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await asyncio.get_running_loop().sock_connect(sock, address)
        except BaseException:
            close(sock)
            raise
        return cls(sock, address)

    async def send(self, method: str, target: str, headers: dict[str, str], body: bytes = b"") -> None:
        """Sends a request. Returns once the last byte is written; if it raises, that byte was not."""
        named = {"Host": f"{self.address[0]}:{self.address[1]}"} | headers
        # Latin-1, as they were read: a client's id may hold more than ASCII and goes on unchanged.
        lines = [(name.encode(), value.encode("latin-1")) for name, value in named.items() if value]
        data = fast_path.request_text(target, lines, body) if self.is_fast and method == "POST" else None
        if data is None:
            self.is_fast = False
            data = self.encode_by_codec(method, target, lines, body)
        self.unsent = len(data)
        await self.send_all(memoryview(data))

    def encode_by_codec(self, method: str, target: str, lines: fast_path.Fields, body: bytes) -> bytes:
        """The request as the codec writes it; from now on it waits for the answer."""
        data = self.codec.send(h11.Request(method=method, target=target, headers=lines)) or b""
        if body:
            data += self.codec.send(h11.Data(data=body)) or b""
        return data + (self.codec.send(h11.EndOfMessage()) or b"")

    def feed(self, data: bytes) -> None:
        """Takes bytes from the other side.

        They are a usual answer, or else the codec's from here to the connection's end.
        """
        if not self.is_fast:
            self.codec.receive_data(data)
            return
        if head := fast_path.answer(data, BODY_LIMIT):
            self.head_result = head
            return
        self.is_fast = False
        self.encode_by_codec("POST", "/", [(b"Host", b"x"), (b"Content-Length", b"0")], b"")
        self.codec.receive_data(data)

    async def send_all(self, data: memoryview) -> None:
        """Writes all of it.

        The loop's own `sock_sendall` may write the last byte and report a cancel alone; here nothing comes
        between the two, so that a call whose time is up then counts as written.
        """
        while self.unsent:
            try:
                begun = len(data) - self.unsent
                self.unsent -= self.sock.send(data[begun:])
                if self.observed:
                    self.observed.passed(CLIENT_SIDE, bytes(data[begun : len(data) - self.unsent]))
            except (BlockingIOError, InterruptedError):
                await self.writable()

    async def writable(self) -> None:
        """Returns when the system takes more bytes."""
        loop = asyncio.get_running_loop()
        ready: asyncio.Future[None] = loop.create_future()
        loop.add_writer(self.sock.fileno(), wake, ready)
        try:
            await ready
        finally:
            loop.remove_writer(self.sock)

    async def readable(self) -> None:
        """Returns when there is something to read, or when `poll` has read it.

        The loop goes on watching the socket from then on: beginning and ending that for each answer would
        cost two system calls each time.
        """
        loop = asyncio.get_running_loop()
        self.read_waiter = loop.create_future()
        if self.reader_loop is None:
            # By its number: the selector would write a socket out in words, for an error that nobody sees.
            loop.add_reader(self.sock.fileno(), self.on_readable)
            self.reader_loop = loop
        try:
            await self.read_waiter
        finally:
            self.read_waiter = None

    def on_readable(self) -> None:
        """Callback of the loop: there is something to read.

        The loop calls again in the iteration in which it is read; where nobody waits after that, watching
        ends, since it would spin on what lies there.
        """
        if self.read_waiter is not None:
            self.has_notified = True
            wake(self.read_waiter)
        elif self.has_notified:
            self.has_notified = False
        else:
            self.stop_reading()

    def stop_reading(self) -> None:
        """The loop stops watching the socket."""
        if self.reader_loop is not None:
            self.reader_loop.remove_reader(self.sock.fileno())
            self.reader_loop = None

    async def receive(self) -> None:
        """Waits for the next bytes and gives them to the codec.

        Raises:
            OSError: The connection has broken.
        """
        while not (self.has_polled or self.poll_error or self.read_some()):
            await self.readable()
        self.has_polled = False
        if self.poll_error:
            raise self.poll_error

    def read_some(self) -> bool:
        """Reads what lies in the socket now; False: nothing does."""
        if self.is_fast and self.head_result:
            return False  # a usual answer is whole: what lies behind it belongs to nobody
        try:
            data = self.sock.recv(READ_SIZE)
        except (BlockingIOError, InterruptedError):
            return False
        except TimeoutError as error:
            # The network's ETIMEDOUT; read as our own patience's end, it would pass for a call given up.
            raise ConnectionResetError(str(error)) from None
        if self.observed:
            self.observed.passed(SERVER_SIDE, data)
        self.feed(data)
        return True

    def poll(self) -> bool:
        """Reads in this very iteration what somebody waits for, who goes on with it in a later one.

        What is about to be done so knows of an answer that lies unread because the loop is late. Never
        raises: whoever waits hears of the error. Returns False where nobody waits, or nothing has come.
        """
        if self.read_waiter is None or self.has_polled:
            return False
        try:
            self.has_polled = self.read_some()
        except OSError as error:
            self.poll_error = error
        if self.has_polled or self.poll_error:
            wake(self.read_waiter)
        return self.has_polled

    def read_event(self) -> h11.Event | None:
        """The next event of what has come; None if more has to come first.

        Raises:
            MalformedMessageError: It cannot be read.
            ConnectionResetError: The connection has ended.
        """
        unread, ended = self.codec.trailing_data
        if ended and not unread:
            raise ConnectionResetError("the connection ended")
        first = FIRST_LINE.match(unread)
        try:
            event = self.codec.next_event()
        except h11.ProtocolError as error:
            raise MalformedMessageError(int(first[1]) if first else 0, str(error)) from None
        if event is h11.NEED_DATA and not ended:
            return None
        if isinstance(event, h11.ConnectionClosed) or not isinstance(event, h11.Event):
            raise ConnectionResetError("the connection ended")
        return event

    async def next_event(self) -> h11.Event:
        """The next event. Raises as `read_event`."""
        while (event := self.read_event()) is None:
            await self.receive()
        return event

    async def response(self) -> fast_path.ResponseHead:
        """The head of the answer.

        Raises:
            MalformedMessageError: The head cannot be read, does not end, or is noise.
            ConnectionResetError: The connection has ended.
        """
        if not (self.head_result or self.codec.trailing_data[0]):
            await self.receive()
        if (found := self.head()) is None:
            found = await self.rest_of_head()
        if isinstance(found, Exception):
            raise found
        return found

    async def rest_of_head(self) -> "fast_path.ResponseHead | MalformedMessageError | ConnectionResetError":
        """The head, of which a part has come, or why there is none."""
        try:
            async with asyncio.timeout(HEAD_PATIENCE):
                while (found := self.head()) is None:
                    await self.receive()
        except TimeoutError:
            raise MalformedMessageError(0, "the head does not end") from None
        return found

    def head(self) -> "fast_path.ResponseHead | MalformedMessageError | ConnectionResetError | None":
        """The head, or why there will be none, of what has come so far; None if more has to come first.

        Asked again it says the same: `poll` may ask ahead of whoever waits for the answer.
        """
        if self.head_result is None:
            try:
                self.head_result = self.read_head()
            except BROKEN as error:
                assert isinstance(error, MalformedMessageError | ConnectionResetError)
                self.head_result = error
        return self.head_result

    def read_head(self) -> fast_path.ResponseHead | None:
        """The head, if it is here. Raises as `read_event`."""
        while self.interim_answers < INTERIM_ANSWERS_LIMIT:
            if (event := self.read_event()) is None:
                self.check_incomplete_head()
                return None
            if isinstance(event, h11.Response):
                self.body_size = 0
                return fast_path.ResponseHead(event.status_code, list(event.headers))
            self.interim_answers += 1
        raise MalformedMessageError(0, "too many interim answers")

    def check_incomplete_head(self) -> None:
        """Checks a head that is not here to its end.

        Raises:
            MalformedMessageError: It is noise, which never ends.
            IncompleteHeadError: Its first line says 200, which is true even so.
        """
        if self.is_outcome_known:
            return
        unread = self.codec.trailing_data[0]
        if not (unread.startswith(BEGINNING) or BEGINNING.startswith(unread)):
            raise MalformedMessageError(0, "not an answer")
        if (first := FIRST_LINE.match(unread)) and int(first[1]) == 200:
            raise IncompleteHeadError(200, "the head came in parts")

    def is_answer_complete(self) -> bool:
        """Whether the answer, whose head has been read, is here to its end.

        Raises:
            MalformedMessageError: It is too long or cannot be read.
        """
        if self.is_fast:
            return True
        while (event := self.read_event()) is not None:
            if isinstance(event, h11.EndOfMessage):
                return True
            self.body_size += len(event.data) if isinstance(event, h11.Data) else 0
            if self.body_size > BODY_LIMIT:
                raise MalformedMessageError(0, "the answer is too long")
        return False

    async def skip_answer(self) -> None:
        """Reads on to the end of an answer of which the first line has counted."""
        self.head_result, self.is_outcome_known = None, True
        while self.read_head() is None:
            await self.receive()
        await self.skip_body()

    async def skip_body(self) -> None:
        """Reads the answer to its end, so that the connection can be used again."""
        while not self.is_answer_complete():
            await self.receive()

    def next_cycle(self) -> bool:
        """Whether another request may follow on this connection.

        What came behind the answer belongs to no request: read as the next one's answer, it would end that
        one while it is still in flight.
        """
        if self.is_fast:
            self.head_result = None
            return True
        if self.codec.our_state is not h11.DONE or self.codec.their_state is not h11.DONE:
            return False
        if self.codec.trailing_data != (b"", False):
            return False
        self.codec.start_next_cycle()
        self.head_result, self.interim_answers, self.is_outcome_known = None, 0, False
        return True

    def has_ended(self) -> bool:
        """Whether the other side has closed an idle connection, or said what nobody asked."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
        return True

    def close(self) -> None:
        """Ends the connection. It never raises: its descriptor is free whatever the system reports."""
        if self.observed:
            self.observed.ended(CLIENT_SIDE, reset=False)
        self.stop_reading()
        close(self.sock)
