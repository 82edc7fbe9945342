"""HTTP/1.1 client connections on plain sockets, to receivers and to the discovery service."""

import asyncio
import math
import re
import socket
from collections.abc import Callable
from dataclasses import dataclass

import h11

from message_sender.core.peer_timeout import PeerTimeout
from message_sender.core.read_turns import ReadTurn, ReadTurns
from message_sender.core.traffic_observer import CLIENT_SIDE, SERVER_SIDE
from message_sender.http import fast_path
from message_sender.http.common import (
    BODY_LIMIT,
    CONNECTION_ERRORS,
    READ_SIZE,
    Address,
    IncompleteHeadError,
    MalformedMessageError,
    close,
)
from message_sender.http.request_writer import RequestWriter, wake

FIELDS_PER_UNIT = 4  # fields of a head that take as long to parse as one event (`read_turns`)
HEAD_TIMEOUT_S = 1.0  # from the first bytes of a response to the end of its head
FIELDS_LIMIT = 128  # fields of a response that are held; a field takes far more memory than a short line
MAX_INTERIM_RESPONSES = 16  # 1xx responses before a final one
STATUS_LINE = re.compile(rb"HTTP/1\.[01] (\d{3})(?: [^\r\n]*)?\r?\n")
STATUS_LINE_PREFIX = b"HTTP/1."
UNSOLICITED_PREFIX = 64  # bytes of an unsolicited response, enough for its status line


@dataclass(frozen=True, slots=True)
class AnsweredRequest:
    """A request on a connection, with the response that was taken for its own.

    Attributes:
        message_id: The id of the message.
        status: The status of the response.
        number: 1 for the first request on the connection.
    """

    message_id: str
    status: int
    number: int


def do_nothing() -> None:
    """Default callback for the close of a connection."""


class ClientConnection(RequestWriter):
    """One connection to a server. It never resends a request on its own.

    Attributes:
        turn: What may still be parsed in the present loop iteration; an owner of several connections gives
            them turns of one queue.
        has_input_ended: The server has closed its side.
        idle_since: When the connection became idle, in seconds on the loop's clock.
        opened_at: When the connection was opened, in seconds on the loop's clock.
        retires_at: From when the connection takes no more calls, in seconds on the loop's clock.
        answered_at: When the latest response was complete, in seconds on the loop's clock; minus infinity
            before the first one.
        answered: The request that got the latest response; None before the first one.
        closed: Called when the connection has been closed.
        body_size: Bytes of the response body received so far.
        read_waiter: Completed when bytes are available; None while no task waits for bytes.
        reader_loop: The loop that watches the socket for reading; None while it is not watched.
        has_notified: `on_readable` has woken the waiting task. The loop may call it once more before the task
            has read the bytes.
        has_polled: `poll` has read bytes, and the waiting task has not resumed yet.
        poll_error: The error that `poll` met, raised by the next `receive`.
        interim_responses: Number of 1xx responses before the current one.
        head_result: The head of the response, or the error in its place.
        is_outcome_known: The status line has already determined the outcome; the rest of the head is skipped.
    """

    def __init__(self, sock: socket.socket, address: Address) -> None:
        """Wraps a socket that is connected to `address`."""
        super().__init__(sock, address)
        self.turn = ReadTurn(ReadTurns())
        self.idle_since = 0.0
        self.opened_at = 0.0
        self.retires_at = math.inf
        self.answered_at = -math.inf
        self.answered: AnsweredRequest | None = None
        self.closed: Callable[[], None] = do_nothing
        self.body_size = 0
        self.read_waiter: asyncio.Future[None] | None = None
        self.reader_loop: asyncio.AbstractEventLoop | None = None
        self.has_notified = False
        self.has_polled = False
        self.poll_error: OSError | None = None
        self.interim_responses = 0
        self.head_result: fast_path.ResponseHead | MalformedMessageError | ConnectionResetError | None = None
        self.is_outcome_known = False
        self.has_input_ended = False

    @classmethod
    async def open(cls, address: Address) -> "ClientConnection":
        """Opens a connection to the address.

        Raises:
            OSError: The connection could not be opened.
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

    def feed(self, data: bytes) -> None:
        """Processes bytes from the server.

        If they are not exactly one common response, the codec parses them and everything that follows on this
        connection.
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

    async def readable(self) -> None:
        """Waits until bytes can be read, or `poll` has read them.

        The loop keeps watching the socket afterwards: registering and removing it for each response would
        cost two system calls each time.
        """
        loop = asyncio.get_running_loop()
        self.read_waiter = loop.create_future()
        if self.reader_loop is None:
            # Registered by descriptor: given a socket, the selector formats its repr for a discarded error.
            loop.add_reader(self.sock.fileno(), self.on_readable)
            self.reader_loop = loop
        try:
            await self.read_waiter
        finally:
            self.read_waiter = None

    def on_readable(self) -> None:
        """Callback of the loop: bytes can be read.

        The loop calls this once more in the iteration in which the woken task reads the bytes. If no task
        waits after that, the loop stops watching the socket, since it would spin on the unread bytes.
        """
        if self.read_waiter is not None:
            self.has_notified = True
            wake(self.read_waiter)
        elif self.has_notified:
            self.has_notified = False
        else:
            self.stop_reading()

    def stop_reading(self) -> None:
        """Makes the loop stop watching the socket."""
        if self.reader_loop is not None:
            self.reader_loop.remove_reader(self.sock.fileno())
            self.reader_loop = None

    async def receive(self) -> None:
        """Waits for the next bytes and processes them.

        Raises:
            OSError: The connection is broken.
        """
        while not (self.has_polled or self.poll_error or self.read_available()):
            await self.readable()
            self.turn.renew()
        self.has_polled = False
        if self.poll_error:
            raise self.poll_error

    async def proceed(self) -> None:
        """Waits until more can be parsed: for the next turn if this one is over, or else for bytes.

        Raises:
            OSError: The connection is broken.
        """
        if self.turn.is_over():
            await self.turn.next()
        else:
            await self.receive()

    def read_available(self) -> bool:
        """Reads the bytes available in the socket without waiting; False if there are none."""
        if self.is_fast and self.head_result:
            return False  # the response is complete, and bytes behind it belong to no request
        try:
            data = self.sock.recv(READ_SIZE)
        except (BlockingIOError, InterruptedError):
            return False
        except TimeoutError as error:
            # ETIMEDOUT of the network: as TimeoutError it would be taken for this call's own time-out.
            raise ConnectionResetError(str(error)) from None
        if self.observed:
            self.observed.report_data(SERVER_SIDE, data)
        self.has_input_ended = not data
        self.turn.spend_bytes(len(data))
        self.feed(data)
        return True

    def poll(self) -> bool:
        """Reads available bytes at once for the task that waits for them, which resumes in a later iteration.

        When the loop runs late, decisions in the current iteration thereby take an unread response into
        account. Never raises: an error is raised in the waiting task.

        Returns:
            Whether bytes were read; False if no task waits, or no bytes are available.
        """
        if self.read_waiter is None or self.has_polled:
            return False
        try:
            self.has_polled = self.read_available()
        except OSError as error:
            self.poll_error = error
        if self.has_polled or self.poll_error:
            wake(self.read_waiter)
        return self.has_polled

    def read_event(self) -> h11.Event | None:
        """Returns the codec's next event from the bytes received so far.

        Raises:
            MalformedMessageError: The bytes are not valid HTTP.
            ConnectionResetError: The server has closed the connection.

        Returns:
            The event; None if more bytes are needed, or the connection's turn is over (see `proceed`).
        """
        if self.turn.is_over():
            return None
        # The codec returns a copy of all unread bytes: taken for each chunk, that would take quadratic time.
        is_head_expected = self.codec.their_state is not h11.SEND_BODY
        unread = self.codec.trailing_data[0] if is_head_expected or self.has_input_ended else b""
        if self.has_input_ended and not unread:
            raise ConnectionResetError("the connection ended")
        status_line = STATUS_LINE.match(unread) if is_head_expected else None
        try:
            event = self.codec.next_event()
        except h11.ProtocolError as error:
            raise MalformedMessageError(int(status_line[1]) if status_line else 0, str(error)) from None
        self.spend(event)
        if event is h11.NEED_DATA and not self.has_input_ended:
            return None
        if isinstance(event, h11.ConnectionClosed) or not isinstance(event, h11.Event):
            raise ConnectionResetError("the connection ended")
        return event

    def spend(self, event: object) -> None:
        """Counts the work of parsing an event."""
        self.turn.spend(1)
        if isinstance(event, h11.InformationalResponse | h11.Response | h11.EndOfMessage):
            self.turn.spend(len(event.headers) // FIELDS_PER_UNIT)

    async def next_event(self) -> h11.Event:
        """Waits for the codec's next event. Raises as `read_event`."""
        while (event := self.read_event()) is None:
            await self.proceed()
        return event

    async def response(self) -> fast_path.ResponseHead:
        """Waits for the head of the response.

        Raises:
            MalformedMessageError: The head is not valid HTTP, or is not complete within HEAD_TIMEOUT_S.
            ConnectionResetError: The server has closed the connection.
        """
        if not (self.head_result or self.codec.trailing_data[0]):
            await self.receive()
        if (head := self.head()) is None:
            head = await self.rest_of_head()
        if isinstance(head, Exception):
            raise head
        return head

    async def rest_of_head(self) -> "fast_path.ResponseHead | MalformedMessageError | ConnectionResetError":
        """Waits for the rest of a partially received head; returns the head or the error in its place."""
        try:
            async with PeerTimeout(HEAD_TIMEOUT_S):
                while (head := self.head()) is None:
                    await self.proceed()
        except TimeoutError:
            raise MalformedMessageError(
                0, f"the response head was not complete within {HEAD_TIMEOUT_S} s"
            ) from None
        return head

    def head(self) -> "fast_path.ResponseHead | MalformedMessageError | ConnectionResetError | None":
        """Returns the head, or the error in its place, of the bytes received so far; None if incomplete.

        Repeated calls return the same result, because the transport may ask for the head before the task that
        waits for the response does.
        """
        if self.head_result is None:
            try:
                self.head_result = self.read_head()
            except CONNECTION_ERRORS as error:
                assert isinstance(error, MalformedMessageError | ConnectionResetError)
                self.head_result = error
        return self.head_result

    def read_head(self) -> fast_path.ResponseHead | None:
        """Parses the head from the bytes received so far; None as by `read_event`. Raises as it."""
        while self.interim_responses < MAX_INTERIM_RESPONSES:
            if (event := self.read_event()) is None:
                if not self.turn.is_over():
                    self.check_incomplete_head()
                return None
            if isinstance(event, h11.Response):
                self.body_size = 0
                return fast_path.ResponseHead(event.status_code, list(event.headers)[:FIELDS_LIMIT])
            self.interim_responses += 1
        raise MalformedMessageError(0, f"{MAX_INTERIM_RESPONSES} interim responses before a final one")

    def check_incomplete_head(self) -> None:
        """Checks a head that has not been received completely.

        Raises:
            MalformedMessageError: The bytes cannot become an HTTP response.
            IncompleteHeadError: The status line is complete and says 200, which counts even without the rest.
        """
        if self.is_outcome_known:
            return
        unread = self.codec.trailing_data[0]
        if not (unread.startswith(STATUS_LINE_PREFIX) or STATUS_LINE_PREFIX.startswith(unread)):
            raise MalformedMessageError(0, f"expected a response beginning with HTTP/1., got {unread[:20]!r}")
        if (status_line := STATUS_LINE.match(unread)) and int(status_line[1]) == 200:
            raise IncompleteHeadError(200, "the status line is 200, but the head is not complete")

    def is_answer_complete(self) -> bool:
        """Whether the response, whose head has been read, has been received and parsed completely.

        One that takes longer than the connection's turn is not complete yet, see `proceed`.

        Raises:
            MalformedMessageError: The body is too long or is not valid HTTP.
            ConnectionResetError: The server has closed the connection.
        """
        if self.is_fast:
            return True
        while (event := self.read_event()) is not None:
            if isinstance(event, h11.EndOfMessage):
                return True
            self.body_size += len(event.data) if isinstance(event, h11.Data) else 0
            if self.body_size > BODY_LIMIT:
                raise MalformedMessageError(0, f"the response body exceeds {BODY_LIMIT} bytes")
        return False

    async def skip_answer(self) -> None:
        """Reads to the end of a response whose status line has already determined the outcome."""
        self.head_result, self.is_outcome_known = None, True
        while self.read_head() is None:
            await self.proceed()
        await self.skip_body()

    async def skip_body(self) -> None:
        """Reads the response to its end, so that the connection can be reused."""
        while not self.is_answer_complete():
            await self.proceed()

    def next_cycle(self) -> bool:
        """Prepares the connection for the next request; False if none may follow on it.

        Bytes received behind the response belong to no request: taken for the response to the next request,
        they would end that call while it is still in flight.
        """
        self.answered_at = asyncio.get_running_loop().time()
        if self.is_fast:
            self.head_result = None
            return True
        if self.codec.our_state is not h11.DONE or self.codec.their_state is not h11.DONE:
            return False
        if self.codec.trailing_data != (b"", False):
            return False
        self.codec.start_next_cycle()
        self.head_result, self.interim_responses, self.is_outcome_known = None, 0, False
        return True

    def has_ended(self) -> bool:
        """Whether the server has closed an idle connection, or has sent unsolicited bytes on it."""
        return self.unsolicited_bytes() is not None

    def unsolicited_bytes(self) -> bytes | None:
        """Returns the first bytes that the server has sent on an idle connection.

        Returns:
            Empty if the server has closed the connection or it is broken; None if nothing has arrived.
        """
        behind_response = self.codec.trailing_data[0]
        if behind_response:
            return behind_response[:UNSOLICITED_PREFIX]
        try:
            return self.sock.recv(UNSOLICITED_PREFIX, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return None
        except OSError:
            return b""

    def local_port(self) -> int:
        """The port of this side, which identifies the connection in logs and captures; 0 if it is unknown."""
        try:
            return int(self.sock.getsockname()[1])
        except OSError:
            return 0

    def close(self) -> None:
        """Closes the connection, by a reset where written bytes have to be discarded.

        Never raises: the descriptor is freed even if the system call fails.
        """
        is_reset = self.deliver_acknowledged_at_close()
        if self.observed:
            self.observed.report_closed(CLIENT_SIDE, reset=is_reset)
        self.stop_reading()
        close(self.sock)
