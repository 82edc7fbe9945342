"""A client connection of the server: handles one request at a time, from its bytes to its response."""

import asyncio
import socket
from typing import cast

import h11

from message_sender.core.traffic_observer import (
    CLIENT_SIDE,
    ObservedConnection,
)
from message_sender.http import fast_path
from message_sender.http.common import READ_SIZE, header
from message_sender.http.connection_caller import TOO_MANY_REQUESTS, UNAVAILABLE, ConnectionCaller
from message_sender.http.connection_owner import ConnectionOwner
from message_sender.http.connection_state import (
    ConnectionAction,
    ConnectionEvent,
    ConnectionState,
    decide,
    timeout_s,
)
from message_sender.http.observed_transport import ObservedTransport
from message_sender.http.request_parsing import BadRequestError, read_message
from message_sender.http.request_reader import ReadResult, RequestReader
from message_sender.http.responses import ResponseContent, encode

READY_PATH = "/health/ready"
DRAINED_BYTES_LIMIT = 1024 * 1024  # read and dropped after the last response; then reading is paused
UNREAD_ANSWERS_LIMIT = 16 * 1024  # bytes of responses that a client may leave unread before it is cut off
HELD_LIMIT = 128 * 1024  # bytes that a connection may hold; a packet of a handover has room for them
READ_AHEAD_LIMIT = 16 * 1024  # received bytes that wait to be parsed; from then on reading is paused

REQUEST_TIMEOUT = 408  # HTTP status


class ServerConnection(asyncio.BufferedProtocol, ConnectionCaller):
    """A client connection, and the caller of the messages submitted on it.

    Attributes:
        began: When the first bytes of the current request were read, in microseconds on the wall clock; None
            if there is no request.
        since: When the current wait began (for a request, or for the client to close), in seconds on the
            loop's clock.
        reader: Parses the requests.
        stashed: Bytes read while the server is frozen, or by the process that served the connection before.
        dropped: Number of bytes read after the last response.
        is_answering: A complete request waits for its response.
        is_discarding: The last response has been written; bytes that still arrive are dropped.
        is_proven: The last request was valid; its response had no error status except 429 or 503.
        has_failed: The last request was not valid.
        is_queued: The connection is in the server's read queue.
        has_submitted: The client has submitted messages on the connection.
        submitted_bytes: Size of the body of the message that waits for its acceptance.
        observed: Observes the traffic of the connection; None if it is not observed.
        rejection: The event for which the request is rejected once the loop has connected the transport.
    """

    transport: asyncio.Transport = None  # type: ignore[assignment]  # until connection_made

    def __init__(self, server: "ConnectionOwner[ServerConnection]", sock: socket.socket) -> None:
        """Wraps an accepted socket, which the loop connects to this protocol later."""
        self.server = server
        self.sock = sock
        self.reader = RequestReader()
        self.began: int | None = None
        self.since = server.loop.time()
        self.stashed = b""
        self.dropped = 0
        self.is_answering = False
        self.is_discarding = False
        self.is_proven = False
        self.has_failed = False
        self.is_queued = False
        self.has_submitted = False
        self.submitted_bytes = 0
        self.observed: ObservedConnection | None = None
        self.rejection: ConnectionEvent | None = None

    # Callbacks of the loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Callback of the loop: the transport is connected."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self.server.observer:
            ends = transport.get_extra_info("peername"), transport.get_extra_info("sockname")
            self.observed = ObservedConnection(self.server.observer, *ends)
            self.transport = cast(asyncio.Transport, ObservedTransport(transport, self.observed))
        if self not in self.server.table.all:
            transport.abort()  # closed to free capacity before the transport was connected
        elif self.rejection:
            self.handle(self.rejection)
        elif self.server.is_frozen:
            transport.pause_reading()
        elif len(self.server.table.all) > self.server.connection_limit:
            self.reject_and_close(UNAVAILABLE)
        elif self.stashed:
            self.unstash()

    def connection_lost(self, error: Exception | None) -> None:
        """Callback of the loop: the connection has ended."""
        if self.observed:
            self.observed.report_closed(CLIENT_SIDE, reset=error is not None)
        self.server.forget(self)

    def get_buffer(self, sizehint: int) -> bytearray | memoryview:
        """Callback of the loop: returns the buffer to receive into, as far as the connection may hold it."""
        free = HELD_LIMIT - self.reader.held_bytes()
        return self.server.buffer if free >= READ_SIZE else memoryview(self.server.buffer)[: max(free, 1)]

    def buffer_updated(self, size: int) -> None:
        """Callback of the loop: bytes were received. An exception ends only this connection."""
        try:
            self.receive(memoryview(self.server.buffer)[:size])
        except Exception as error:
            self.fail(error, "reading")

    def fail(self, error: Exception, operation: str) -> None:
        """Reports an error of this connection and ends it, without affecting others."""
        self.server.reports.report(error, operation)
        self.handle(ConnectionEvent.DISCONNECTED)

    # Reading.

    def receive(self, data: memoryview) -> None:
        """Processes bytes received from the client."""
        if self.observed:
            self.observed.report_data(CLIENT_SIDE, bytes(data))
        if self.server.is_frozen and not self.is_discarding:
            self.stashed += bytes(data)
            self.server.count_held(self)
            return
        if self.is_discarding:
            self.dropped += len(data)
            self.update_reading()
            return
        is_new = self.began is None and not self.is_answering
        if is_new and (request := self.server.rejected_unread(data, self.is_proven)):
            self.reject_unread(request)
            return
        if self.began is None:
            self._begin_request()
        self.reader.receive(data)
        if not self.is_answering:
            self.server.queue_for_reading(self)
        self.update_reading()
        self.server.count_held(self)

    def held_bytes(self) -> int:
        """Returns how many bytes the connection holds: received ones, and responses that were not read."""
        unread_answers = self.transport.get_write_buffer_size() if self.transport else 0
        return self.reader.held_bytes() + len(self.stashed) + self.submitted_bytes + unread_answers

    def update_reading(self) -> None:
        """Pauses or resumes reading, so that received bytes do not pile up faster than they are processed."""
        if self._can_read():
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()

    def _can_read(self) -> bool:
        if self.is_discarding:
            return self.dropped <= DRAINED_BYTES_LIMIT
        if self.server.is_frozen:
            return False
        if self.is_answering:
            return not self.reader.has_unread()
        return not (self.is_queued and len(self.reader.received) >= READ_AHEAD_LIMIT)

    def _begin_request(self) -> None:
        self.began = self.server.now()
        if self not in self.server.table.silent:
            self.since = self.server.loop.time()  # the time for the first request counts from connecting
        self.server.table.mark_busy(self)

    def advance(self) -> None:
        """Parses received bytes, at most one request and for a limited time.

        Any input leads to a response, never to an exception raised to the loop.
        """
        if self.is_answering or self.is_discarding or self.transport.is_closing():
            return
        try:
            self._advance()
            self.update_reading()
            self.server.count_held(self)
        except BadRequestError as error:
            self.reject_and_close(error.status, str(error))
        except h11.RemoteProtocolError as error:
            self.reject_and_close(error.error_status_hint, str(error))
        except Exception as error:
            self.fail(error, "handling a request")

    def _advance(self) -> None:
        result = self.reader.parse()
        if result is ReadResult.COMPLETE:
            self.is_answering = True
            self._act()
        elif result is ReadResult.UNFINISHED:
            self.server.queue_for_reading(self)
        elif self.reader.is_awaited():
            self._write(h11.InformationalResponse(status_code=100, headers=[]))

    def _act(self) -> None:
        """Handles a complete request: answers it, or submits its message."""
        request = self.reader.request
        assert request is not None
        method, target = request.method, request.target.decode("latin-1")
        is_health_check = target == READY_PATH
        if is_health_check and method in (b"GET", b"HEAD"):
            self.answer(200 if self.server.is_ready else UNAVAILABLE)
        elif method == b"POST" and not is_health_check:
            self._submit()
        else:
            self.answer(405 if is_health_check or method != b"GET" else 404)

    def _submit(self) -> None:
        request = self.reader.request
        assert request is not None and self.began is not None
        body = self.reader.release_body()
        self.submitted_bytes = len(body)
        try:
            message = read_message(request, body, self.began, self.server.classes)
            if not self.server.knows_destination(message.destination):
                raise BadRequestError(404, f"no destination {message.destination}")
        except BadRequestError as error:
            self.answer(error.status, text=str(error))
        else:
            self.has_submitted = True
            self.server.submit(message, self)

    def reject_unread(self, request: fast_path.FastRequest) -> None:
        """Rejects a request that was not passed to the codec; the connection remains between requests."""
        server = self.server
        answer = server.unread_answer(self.is_proven)
        self.has_submitted = self.is_proven = True
        self.since = server.loop.time()
        server.table.mark_busy(self)
        server.table.mark_idle(self, has_submitted=True)
        server.count_rejected(header(request.headers, b"x-service-class") or "")
        try:
            self.transport.write(answer)
            if self.transport.get_write_buffer_size() > UNREAD_ANSWERS_LIMIT:
                self.transport.abort()
        except Exception as error:
            self.fail(error, "rejecting a request unread")

    # Responses.

    def _write(self, event: h11.Event) -> None:
        self.transport.write(self.reader.codec.send(event) or b"")

    def _respond(self, content: ResponseContent) -> None:
        self.transport.write(encode(self.reader, content))

    def answer(self, status: int, retry_after_us: int | None = None, text: str = "") -> None:
        """Answers the current, complete request and prepares for the next one.

        Never raises: it is called in the middle of a loop iteration, whose other responses and calls must not
        be lost because of this client.

        Args:
            status: The HTTP status.
            retry_after_us: After how many microseconds the client may retry; None if not stated.
            text: The text of an error; empty if there is none.
        """
        try:
            self._answer(status, retry_after_us, text)
        except Exception as error:
            self.fail(error, "answering")

    def _answer(self, status: int, retry_after_us: int | None, text: str) -> None:
        self.is_proven = status < 400 or status in (TOO_MANY_REQUESTS, UNAVAILABLE)
        self.has_failed = not self.is_proven
        if self.transport.is_closing():
            return
        self._respond(ResponseContent(status, retry_after_us, text, self.server.is_stopping))
        if self._is_last_answer():
            self.start_linger()
            return
        if self.transport.get_write_buffer_size() > UNREAD_ANSWERS_LIMIT:
            self.transport.abort()
            return
        self._begin_next_cycle()

    def _is_last_answer(self) -> bool:
        if self.reader.is_fast():
            return self.server.is_stopping
        return not self.reader.can_reuse_connection()

    def _begin_next_cycle(self) -> None:
        self.reader.begin_next()
        self.began = None
        self.is_answering = False
        self.submitted_bytes = 0
        self.since = self.server.loop.time()
        if self.reader.has_unread():
            self.began = self.server.now()
            self.server.queue_for_reading(self)
        else:
            self.server.table.mark_idle(self, self.has_submitted)
        self.update_reading()
        self.server.count_held(self)

    def reject_and_close(self, status: int, text: str = "") -> None:
        """Answers a request that is not read to its end, and shuts the connection down. Never raises."""
        self.is_proven = False
        try:
            if self.reader.codec.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                self._respond(ResponseContent(status, text=text, is_last=True))
            self.start_linger()
        except Exception as error:
            self.fail(error, "rejecting a request")

    # End of the connection.

    def start_linger(self) -> None:
        """Shuts down our side after the last response; bytes that still arrive are dropped for a while.

        Closing a socket with unread bytes would reset the connection, and the client might lose the response.
        """
        self.is_discarding = True
        self.reader.discard()
        self.submitted_bytes = 0
        self.since = self.server.loop.time()
        self.server.table.mark_busy(self)
        self.server.count_held(self)
        if not self.transport.is_closing():
            self.server.table.mark_closing(self)
            self.transport.write_eof()  # raises if the client closed before the response reached it
            self.update_reading()

    def state(self) -> ConnectionState:
        """Returns the state on which `connection_state.decide` bases how the connection ends."""
        if self.is_discarding:
            return ConnectionState.LINGERING
        if self.is_answering:
            return ConnectionState.ANSWERING
        if self.began is not None or self.stashed:
            return ConnectionState.READING
        return ConnectionState.SILENT if self in self.server.table.silent else ConnectionState.IDLE

    def handle(self, event: ConnectionEvent) -> bool:
        """Takes the action that `connection_state.decide` returns.

        Returns:
            Whether the connection was closed.
        """
        action = decide(self.state(), event, self.is_busy())
        try:
            if action is ConnectionAction.REJECT and self.transport is None:
                self.rejection = event
            elif action is ConnectionAction.REJECT:
                self._reject_unfinished(event)
            elif action is ConnectionAction.SHUT_DOWN and self.transport:
                self.start_linger()
        except Exception as error:
            self.server.reports.report(error, "ending a connection")
            action = ConnectionAction.CLOSE
        if action is ConnectionAction.CLOSE:
            self.close()
        return action is ConnectionAction.CLOSE

    def _reject_unfinished(self, event: ConnectionEvent) -> None:
        if event is ConnectionEvent.TIMED_OUT:
            self.reject_and_close(REQUEST_TIMEOUT, "the request did not come in time")
        else:
            self.reject_and_close(UNAVAILABLE)

    def is_busy(self) -> bool:
        """Whether closing would lose data: an unread request, or a response that waits to be written.

        Never raises; a connection whose socket cannot be polled is not busy.
        """
        try:
            return self.has_unread() or bool(self.transport and self.transport.get_write_buffer_size())
        except (OSError, ValueError):
            return False

    def close(self) -> None:
        """Closes the connection at once to free its descriptor."""
        self.server.forget(self)
        if self.transport:
            self.transport.abort()

    def expire(self) -> None:
        """Ends the connection if the time limit of its state has passed.

        Otherwise clients that never complete a request, or never send another one, would hold descriptors.
        """
        if self.server.loop.time() - self.since > timeout_s(self.state(), self.server.is_closing_idle):
            self.handle(ConnectionEvent.TIMED_OUT)

    # Handover to another process.

    def unstash(self) -> None:
        """Processes stashed bytes: read by another process, or by this one while the server was frozen."""
        stashed, self.stashed = self.stashed, b""
        if stashed:
            self.receive(memoryview(stashed))

    def can_be_handed_over(self) -> bool:
        """Whether another process can continue the connection.

        Otherwise it has to end in this process, because a response is pending or being written, or because it
        is closing.
        """
        if self.transport is None or self.transport.is_closing() or self.is_discarding or self.is_answering:
            return False
        return not self.transport.get_write_buffer_size()

    def unfinished_request(self) -> bytes:
        """Returns bytes from which another process can read the unfinished request."""
        return self.reader.unfinished_request() + self.stashed
