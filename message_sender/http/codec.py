"""The calling side of HTTP/1.1 on a plain socket, for receivers and for the platform."""

import asyncio
import contextlib
import math
import re
import socket
from collections.abc import Callable, Iterable

import h11

from message_sender.core.traffic_observer import ObservedConnection
from message_sender.http import fast_path

HEADER_LIMIT = 16 * 1024
BODY_LIMIT = 64 * 1024
READ_SIZE = 64 * 1024
HEAD_PATIENCE = 1.0  # s from an answer's first bytes to the end of its head
MOST_INTERIM = 16  # 1xx answers that may come ahead of one answer
FIRST_LINE = re.compile(rb"HTTP/1\.[01] (\d{3})(?: [^\r\n]*)?\r?\n")
BEGINNING = b"HTTP/1."
DECIMAL = re.compile(r"[0-9]{1,12}(?:\.[0-9]{0,12})?", re.ASCII)

Address = tuple[str, int]


class MalformedMessageError(Exception):
    """An answer that cannot be read. `status` is what its first line still says, 0 if it says nothing."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class IncompleteHeadError(MalformedMessageError):
    """A first line of 200 that is true, ahead of a head that is not here to its end."""


#: What a broken connection or an unreadable answer raises.
BROKEN = (OSError, MalformedMessageError)


def address_from(text: str) -> Address:
    host, found, port = text.rpartition(":")
    if not found or not host or not (port.isascii() and port.isdecimal()) or int(port[:6]) > 65535:
        raise ValueError(f"{text!r} is not host:port")
    return host, int(port)


def header(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> str | None:
    """The value of the first header with this (lower-case) name."""
    return next((value.decode("latin-1") for key, value in headers if key == name), None)


def decimal(text: str) -> float | None:
    """A number as the protocol writes it. Guards against what only float() takes for one ('1e308', '1_0',
    'inf', digits of other scripts) and against more digits than any clock needs."""
    return float(text) if DECIMAL.fullmatch(text) else None


def close(sock: socket.socket) -> None:
    """Guards whoever is done with a socket from what its last packets met."""
    with contextlib.suppress(OSError):
        sock.close()


def wake(waiting: "asyncio.Future[None]") -> None:
    if not waiting.done():
        waiting.set_result(None)


class ClientConnection:
    """One connection to a server. It never sends anything twice by itself."""

    def __init__(self, sock: socket.socket, address: Address) -> None:
        self.sock, self.address = sock, address
        self.codec = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEADER_LIMIT)
        self.idle_since = 0.0
        self.opened_at, self.retires_at = 0.0, math.inf  # s: the latter after which it takes no more calls
        self.closed: Callable[[], None] = lambda: None  # called once it is
        self.size = 0  # bytes of the answer's body so far
        self.unsent = 0  # bytes of the request that the system has not taken yet
        self.reading: asyncio.Future[None] | None = None  # somebody waits for the next bytes
        self.loop: asyncio.AbstractEventLoop | None = None  # the one that tells when there are some
        self.told = False  # it has told whoever waited, and may tell it once more
        self.looked = False  # bytes were read by a look, and who waits for them has not gone on yet
        self.trouble: OSError | None = None  # what that look met
        self.interim = 0  # 1xx answers ahead of this one
        #: The head of the answer, or why there is none.
        self.found: fast_path.ResponseHead | MalformedMessageError | ConnectionResetError | None = None
        self.observed: ObservedConnection | None = None  # what a witness of its traffic has of it
        self.quick = False  # requests are written, and usual answers read, without the codec
        self.believed = False  # the first line has counted: the rest of its head is only read

    @classmethod
    async def open(cls, address: Address) -> "ClientConnection":
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
        """Returns once the last byte is written; if it raises, that byte was not."""
        named = {"Host": f"{self.address[0]}:{self.address[1]}"} | headers
        # Latin-1, as they were read: a client's id may hold more than ASCII and goes on unchanged.
        lines = [(name.encode(), value.encode("latin-1")) for name, value in named.items() if value]
        data = fast_path.request_text(target, lines, body) if self.quick and method == "POST" else None
        if data is None:
            self.quick = False
            data = self.tell_codec(method, target, lines, body)
        self.unsent = len(data)
        await self.send_all(memoryview(data))

    def tell_codec(self, method: str, target: str, lines: fast_path.Fields, body: bytes) -> bytes:
        """The request as the codec writes it; from now on it waits for the answer."""
        data = self.codec.send(h11.Request(method=method, target=target, headers=lines)) or b""
        if body:
            data += self.codec.send(h11.Data(data=body)) or b""
        return data + (self.codec.send(h11.EndOfMessage()) or b"")

    def take_in(self, data: bytes) -> None:
        """What came from the other side: a usual answer, or else the codec's from here to the connection's
        end."""
        if not self.quick:
            self.codec.receive_data(data)
            return
        if head := fast_path.answer(data, BODY_LIMIT):
            self.found = head
            return
        self.quick = False
        self.tell_codec("POST", "/", [(b"Host", b"x"), (b"Content-Length", b"0")], b"")
        self.codec.receive_data(data)

    async def send_all(self, data: memoryview) -> None:
        """Guards a call whose time is up in the very turn in which its last byte goes. The loop's own
        sock_sendall writes that byte and tells of the cancel alone; here nothing comes between the two."""
        while self.unsent:
            try:
                begun = len(data) - self.unsent
                self.unsent -= self.sock.send(data[begun:])
                if self.observed:
                    self.observed.passed(0, bytes(data[begun : len(data) - self.unsent]))
            except (BlockingIOError, InterruptedError):
                await self.writable()

    async def writable(self) -> None:
        loop = asyncio.get_running_loop()
        ready: asyncio.Future[None] = loop.create_future()
        loop.add_writer(self.sock.fileno(), wake, ready)
        try:
            await ready
        finally:
            loop.remove_writer(self.sock)

    async def readable(self) -> None:
        """Returns when there is something to read, or when a look has read it. The loop goes on telling of
        the socket from then on: to begin and end that for each answer would cost each two system calls."""
        loop = asyncio.get_running_loop()
        self.reading = loop.create_future()
        if self.loop is None:
            # By its number: the selector would write a socket out in words, for an error that nobody sees.
            loop.add_reader(self.sock.fileno(), self.came)
            self.loop = loop
        try:
            await self.reading
        finally:
            self.reading = None

    def came(self) -> None:
        """There is something to read. The loop says so again in the pass in which it is read; where nobody
        waits after that it is told no more: it would spin on what lies there."""
        if self.reading is not None:
            self.told = True
            wake(self.reading)
        elif self.told:
            self.told = False
        else:
            self.stop_watching()

    def stop_watching(self) -> None:
        if self.loop is not None:
            self.loop.remove_reader(self.sock.fileno())
            self.loop = None

    async def receive(self) -> None:
        """The next bytes into the codec."""
        while not (self.looked or self.trouble or self.read_some()):
            await self.readable()
        self.looked = False
        if self.trouble:
            raise self.trouble

    def read_some(self) -> bool:
        """What lies in the socket goes to the codec now. False: nothing does."""
        if self.quick and self.found:
            return False  # a usual answer is whole: what lies behind it belongs to nobody
        try:
            data = self.sock.recv(READ_SIZE)
        except (BlockingIOError, InterruptedError):
            return False
        except TimeoutError as error:
            # The network's ETIMEDOUT; read as our own patience's end, it would pass for a call given up.
            raise ConnectionResetError(str(error)) from None
        if self.observed:
            self.observed.passed(1, data)
        self.take_in(data)
        return True

    def look(self) -> bool:
        """Reads in this very turn what somebody waits for, who goes on with it in a later one. Guards what is
        about to be done from an answer that lies unread because the loop is late. False: nobody waits, or
        nothing has come. Never raises: who waits hears of the trouble."""
        if self.reading is None or self.looked:
            return False
        try:
            self.looked = self.read_some()
        except OSError as error:
            self.trouble = error
        if self.looked or self.trouble:
            wake(self.reading)
        return self.looked

    def read_event(self) -> h11.Event | None:
        """The next event of what has come; none if more has to come first."""
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
        while (event := self.read_event()) is None:
            await self.receive()
        return event

    async def response(self) -> fast_path.ResponseHead:
        """The head of the answer. Guards against heads that cannot be read, don't end or are noise."""
        if not (self.found or self.codec.trailing_data[0]):
            await self.receive()
        if (found := self.head()) is None:
            found = await self.rest_of_head()
        if isinstance(found, Exception):
            raise found
        return found

    async def rest_of_head(self) -> "fast_path.ResponseHead | MalformedMessageError | ConnectionResetError":
        try:
            async with asyncio.timeout(HEAD_PATIENCE):
                while (found := self.head()) is None:
                    await self.receive()
        except TimeoutError:
            raise MalformedMessageError(0, "the head does not end") from None
        return found

    def head(self) -> "fast_path.ResponseHead | MalformedMessageError | ConnectionResetError | None":
        """The head, or why there will be none, of what has come so far; None if more has to come first. Asked
        again it says the same: a look may ask ahead of who waits for the answer."""
        if self.found is None:
            try:
                self.found = self.read_head()
            except BROKEN as error:
                assert isinstance(error, MalformedMessageError | ConnectionResetError)
                self.found = error
        return self.found

    def read_head(self) -> fast_path.ResponseHead | None:
        while self.interim < MOST_INTERIM:
            if (event := self.read_event()) is None:
                self.check_unread()
                return None
            if isinstance(event, h11.Response):
                self.size = 0
                return fast_path.ResponseHead(event.status_code, list(event.headers))
            self.interim += 1
        raise MalformedMessageError(0, "too many interim answers")

    def check_unread(self) -> None:
        """A head that is not here to its end: a first line of 200 is true even so, and noise never ends."""
        if self.believed:
            return
        unread = self.codec.trailing_data[0]
        if not (unread.startswith(BEGINNING) or BEGINNING.startswith(unread)):
            raise MalformedMessageError(0, "not an answer")
        if (first := FIRST_LINE.match(unread)) and int(first[1]) == 200:
            raise IncompleteHeadError(200, "the head came in parts")

    def whole(self) -> bool:
        """Whether the answer, whose head has been read, is here to its end."""
        if self.quick:
            return True
        while (event := self.read_event()) is not None:
            if isinstance(event, h11.EndOfMessage):
                return True
            self.size += len(event.data) if isinstance(event, h11.Data) else 0
            if self.size > BODY_LIMIT:
                raise MalformedMessageError(0, "the answer is too long")
        return False

    async def skip_answer(self) -> None:
        """Reads on to the end of an answer of which the first line has counted."""
        self.found, self.believed = None, True
        while self.read_head() is None:
            await self.receive()
        await self.skip_body()

    async def skip_body(self) -> None:
        """Reads the answer to its end, so that the connection can be used again."""
        while not self.whole():
            await self.receive()

    def next_cycle(self) -> bool:
        """Whether another request may follow on this connection. What came behind the answer belongs to no
        request: read as the next one's answer, it would end that one while it is still out."""
        if self.quick:
            self.found = None
            return True
        if self.codec.our_state is not h11.DONE or self.codec.their_state is not h11.DONE:
            return False
        if self.codec.trailing_data != (b"", False):
            return False
        self.codec.start_next_cycle()
        self.found, self.interim, self.believed = None, 0, False
        return True

    def ended(self) -> bool:
        """Guards a reused connection: the other side may have closed it, or said what nobody asked."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
        return True

    def close(self) -> None:
        """Never raises: close(2) frees the descriptor, whatever else it has to say of the connection."""
        if self.observed:
            self.observed.ended(0, reset=False)
        self.stop_watching()
        close(self.sock)
