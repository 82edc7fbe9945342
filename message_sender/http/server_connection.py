"""One client's connection: one request at a time, from its bytes to its answer."""

import asyncio
import json
import select
import socket
from typing import Any, Protocol, cast

import h11

from message_sender.admission.backlog import Backlog
from message_sender.core.ports import Completion, Rejected, RejectReason
from message_sender.core.socket_errors import ErrorReports
from message_sender.core.traffic_observer import (
    CLIENT_SIDE,
    SERVER_SIDE,
    ObservedConnection,
    TrafficObserver,
)
from message_sender.http import fast_path
from message_sender.http.codec import BODY_LIMIT, HEADER_LIMIT, header
from message_sender.http.connection_state import (
    ConnectionAction,
    ConnectionEvent,
    ConnectionState,
    decide,
    limit,
)
from message_sender.http.connection_table import ConnectionTable
from message_sender.http.request_parsing import BadRequestError, read_message
from message_sender.message import Message
from message_sender.policy.model import MessageClass

READY_PATH = "/health/ready"
DRAINED_BYTES_LIMIT = 1024 * 1024  # read and dropped behind a last answer; then the other side has to wait
UNREAD_ANSWERS_LIMIT = 64 * 1024  # bytes that a client leaves unread before it is cut off

ACCEPTED = 202
REQUEST_TIMEOUT = 408
TOO_MANY_REQUESTS = 429
UNAVAILABLE = 503


class ObservedTransport:
    """A transport that tells an observer what is written. Everything else is the transport's own."""

    def __init__(self, transport: asyncio.Transport, observed: ObservedConnection) -> None:
        """Wraps a transport."""
        self.transport = transport
        self.observed = observed

    def write(self, data: bytes) -> None:
        """As of `asyncio.Transport`."""
        self.transport.write(data)
        self.observed.passed(SERVER_SIDE, data)

    def abort(self) -> None:
        """As of `asyncio.Transport`."""
        self.observed.ended(SERVER_SIDE, reset=True)
        self.transport.abort()

    def __getattr__(self, name: str) -> Any:  # noqa: ANN401
        """Everything else of the transport."""
        return getattr(self.transport, name)


class ConnectionOwner(Protocol):
    """What a connection needs of its server.

    Attributes:
        table: All connections.
        buffer: Shared by all of them: what came is copied before another one reads.
        most: Connections that may be held; further ones only hear that they are rejected.
        classes: Message classes by name.
        is_ready: Whether clients may submit messages.
        is_stopping: Each answer closes its connection.
        is_frozen: Nothing is read or acted on for now.
        is_closing_idle: What is between requests is closed too.
    """

    loop: asyncio.AbstractEventLoop
    table: "ConnectionTable[ServerConnection]"
    buffer: bytearray
    most: int
    classes: dict[str, MessageClass]
    backlog: Backlog
    reports: ErrorReports
    observer: TrafficObserver | None
    is_ready: bool
    is_stopping: bool
    is_frozen: bool
    is_closing_idle: bool

    def now(self) -> int:
        """Microseconds since the epoch."""

    def submit(self, message: Message, connection: "ServerConnection") -> None:
        """A client submits a message."""

    def knows_destination(self, destination: int) -> bool:
        """Whether there ever was such a destination."""

    def queue_for_reading(self, connection: "ServerConnection") -> None:
        """Reads on from the connection in its turn."""

    def rejected_unread(self, data: memoryview) -> fast_path.FastRequest | None:
        """The request, where it is rejected without a further look."""

    def count_rejected(self, message_class: str) -> None:
        """Counts a request that was rejected unread."""

    def unread_answer(self) -> bytes:
        """The answer to a request that is rejected unread."""

    def forget(self, connection: "ServerConnection") -> None:
        """The connection has ended."""


class ServerConnection(asyncio.BufferedProtocol):
    """One client's connection, and the caller of its messages.

    Attributes:
        began: When the request at hand began to come, microseconds on the wall clock; None: there is none.
        since: When the wait at hand began: for a request, or for the client to leave; seconds.
        pending: What may be a usual request, of which the codec has not heard.
        raw: What the codec has heard of a request that is not answered yet.
        stashed: Read while nothing is acted on.
        dropped: Bytes read after the last answer.
        is_answering: A whole request waits for its answer.
        is_discarding: The last answer has been written; what still comes is dropped.
        is_proven: The client's last request could be answered well.
        is_queued: It waits to be read on.
        has_submitted: The client has submitted messages on it.
    """

    transport: asyncio.Transport = None  # type: ignore[assignment]  # until it is up

    def __init__(self, server: ConnectionOwner, sock: socket.socket) -> None:
        """`sock`: as it was accepted."""
        self.server = server
        self.sock = sock
        self.codec = h11.Connection(h11.SERVER, max_incomplete_event_size=HEADER_LIMIT)
        self.began: int | None = None
        self.since = server.loop.time()
        self.request: h11.Request | fast_path.FastRequest | None = None
        self.pending = b""
        self.raw = bytearray()
        self.stashed = b""
        self.body = bytearray()
        self.dropped = 0
        self.is_answering = False
        self.is_discarding = False
        self.is_proven = False
        self.is_queued = False
        self.has_submitted = False
        self.observed: ObservedConnection | None = None

    # Callbacks of the loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self.server.observer:
            ends = transport.get_extra_info("peername"), transport.get_extra_info("sockname")
            self.observed = ObservedConnection(self.server.observer, *ends)
            self.transport = cast(asyncio.Transport, ObservedTransport(transport, self.observed))
        if self not in self.server.table.all:
            transport.abort()  # closed to make room before it was up
        elif self.server.is_frozen:
            transport.pause_reading()
        elif len(self.server.table.all) > self.server.most:
            self.refuse(UNAVAILABLE)
        elif self.stashed:
            self.unstash()

    def connection_lost(self, error: Exception | None) -> None:
        """The connection has ended."""
        if self.observed:
            self.observed.ended(CLIENT_SIDE, reset=error is not None)
        self.server.forget(self)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Where the loop reads to."""
        return self.server.buffer

    def buffer_updated(self, size: int) -> None:
        """Bytes were read. Whatever comes of them ends this connection at the most."""
        try:
            self.receive(memoryview(self.server.buffer)[:size])
        except Exception as error:
            self.fail(error, "reading")

    def fail(self, error: Exception, operation: str) -> None:
        """Whatever a call on this client's socket raised ends this connection and touches no other."""
        self.server.reports.report(error, operation)
        self.handle(ConnectionEvent.GONE)

    # Reading.

    def receive(self, data: memoryview) -> None:
        """Bytes of the client."""
        if self.observed:
            self.observed.passed(CLIENT_SIDE, bytes(data))
        if self.server.is_frozen and not self.is_discarding:
            self.stashed += bytes(data)
            return
        if self.is_discarding:
            self._drop(len(data))
            return
        if self.began is None and not self.is_answering and (request := self.server.rejected_unread(data)):
            self.reject_unread(request)
            return
        if self.began is None:
            self._begin_request()
        if self._is_fresh():
            self.pending = bytes(data)
        else:
            self._feed_codec(bytes(data))
        if self.is_answering:
            self.transport.pause_reading()  # protects from requests by the hundred that nobody has answered
        else:
            self.server.queue_for_reading(self)

    def _drop(self, size: int) -> None:
        self.dropped += size
        if self.dropped > DRAINED_BYTES_LIMIT:
            self.transport.pause_reading()

    def _begin_request(self) -> None:
        self.began = self.server.now()
        if self not in self.server.table.silent:
            self.since = self.server.loop.time()  # the first one's time runs from connecting
        self.server.table.mark_busy(self)

    def _is_fresh(self) -> bool:
        """Whether nothing of a request has been read, nor lies unread."""
        return not (self.pending or self.is_answering or self.request or self.codec.trailing_data[0])

    def _feed_codec(self, data: bytes = b"") -> None:
        """What was pending goes to the codec, and so does what came behind it."""
        pending, self.pending = self.pending, b""
        for part in (pending, data):
            if part:
                self.raw += part
                self.codec.receive_data(part)

    def _take_usual_request(self) -> bool:
        """A usual request that has come whole is at hand; anything else is the codec's."""
        if self.pending and (request := fast_path.request(self.pending, BODY_LIMIT)):
            self.request = request
            self.body = bytearray(request.body)
            self.pending = b""
            self.is_answering = True
            return True
        self._feed_codec()
        return False

    def advance(self) -> None:
        """Reads on; whatever a client sends ends in an answer, never in an exception through the loop."""
        try:
            if self._take_usual_request():
                self._act()
            while not (self.is_answering or self.is_discarding or self.transport.is_closing()):
                if not self._advance_by_event():
                    return
        except BadRequestError as error:
            self.refuse(error.status, str(error))
        except h11.RemoteProtocolError as error:
            self.refuse(error.error_status_hint, str(error))
        except Exception as error:
            self.fail(error, "handling a request")

    def _advance_by_event(self) -> bool:
        """Handles the codec's next event; False: more has to come first."""
        event = self.codec.next_event()
        if event is h11.NEED_DATA or event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
            if self.codec.they_are_waiting_for_100_continue:
                self._write(h11.InformationalResponse(status_code=100, headers=[]))
            self.transport.resume_reading()
            return False
        if isinstance(event, h11.Request):
            self.request = event
            self.body = bytearray()
            self._check_head(event)
        elif isinstance(event, h11.Data):
            self.body += event.data
            if len(self.body) > BODY_LIMIT:
                raise BadRequestError(413, "the body is too long")
        elif isinstance(event, h11.EndOfMessage):
            self.is_answering = True
            self._act()
        return True

    def _check_head(self, request: h11.Request) -> None:
        # The codec bounds only a head that is still coming, not one that came at once.
        if len(request.target) + sum(len(k) + len(v) for k, v in request.headers) > HEADER_LIMIT:
            raise BadRequestError(431, "the head is too long")
        length = header(request.headers, b"content-length")
        # Two lengths may hide a second request in the body: nothing behind such a head is believed.
        if length and header(request.headers, b"transfer-encoding"):
            raise BadRequestError(400, "both Content-Length and Transfer-Encoding")
        if length and int(length) > BODY_LIMIT:
            raise BadRequestError(413, "the body is too long")

    def _act(self) -> None:
        """A whole request: it is answered, or its message is submitted."""
        assert self.request is not None
        method, target = self.request.method, self.request.target.decode("latin-1")
        is_health_check = target == READY_PATH
        if is_health_check and method in (b"GET", b"HEAD"):
            self.answer(200 if self.server.is_ready else UNAVAILABLE)
        elif method == b"POST" and not is_health_check:
            self._submit()
        else:
            self.answer(405 if is_health_check or method != b"GET" else 404)

    def _submit(self) -> None:
        assert self.request is not None and self.began is not None
        try:
            message = read_message(self.request, bytes(self.body), self.began, self.server.classes)
            if not self.server.knows_destination(message.destination):
                raise BadRequestError(404, f"no destination {message.destination}")
        except BadRequestError as error:
            self.answer(error.status, text=str(error))
        else:
            self.has_submitted = True
            self.server.submit(message, self)

    def reject_unread(self, request: fast_path.FastRequest) -> None:
        """Rejects a request of which the codec has not heard; the connection stands as it did before."""
        server = self.server
        self.has_submitted = self.is_proven = True
        self.since = server.loop.time()
        server.table.mark_busy(self)
        server.table.mark_idle(self, has_submitted=True)
        server.backlog.turned_one_away(self.since)
        server.count_rejected(header(request.headers, b"x-service-class") or "")
        try:
            self.transport.write(server.unread_answer())
            if self.transport.get_write_buffer_size() > UNREAD_ANSWERS_LIMIT:
                self.transport.abort()
        except Exception as error:
            self.fail(error, "rejecting a request unread")

    # Answers.

    def _write(self, event: h11.Event) -> None:
        self.transport.write(self.codec.send(event) or b"")

    def _respond(self, status: int, retry_after_us: int | None, text: str, close: bool) -> None:
        body = json.dumps({"error": text}).encode() + b"\n" if text else b""
        headers = [("Content-Length", str(len(body)))]
        if retry_after_us is not None:
            headers.append(("Retry-After", f"{retry_after_us / 1e6:.3f}"))
        if close:
            headers.append(("Connection", "close"))
        if isinstance(self.request, fast_path.FastRequest):
            lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
            self.transport.write(f"HTTP/1.1 {status} \r\n{lines}\r\n".encode() + body)
            return
        data = self.codec.send(h11.Response(status_code=status, headers=headers)) or b""
        if body and not (self.request and self.request.method == b"HEAD"):
            data += self.codec.send(h11.Data(data=body)) or b""
        data += self.codec.send(h11.EndOfMessage()) or b""
        self.transport.write(data)

    def answer(self, status: int, retry_after_us: int | None = None, text: str = "") -> None:
        """Answers the request that has been read whole; then the next one may come.

        Never raises: it is called in the middle of an iteration, whose other answers and calls must not be
        lost with this client.
        """
        try:
            self._answer(status, retry_after_us, text)
        except Exception as error:
            self.fail(error, "answering")

    def _answer(self, status: int, retry_after_us: int | None, text: str) -> None:
        self.is_proven = status < 400 or status in (TOO_MANY_REQUESTS, UNAVAILABLE)
        if self.transport.is_closing():
            return
        self._respond(status, retry_after_us, text, close=self.server.is_stopping)
        if self._is_last_answer():
            self.leave()
            return
        if self.transport.get_write_buffer_size() > UNREAD_ANSWERS_LIMIT:
            self.transport.abort()
            return
        self._begin_next_cycle()

    def _is_last_answer(self) -> bool:
        if isinstance(self.request, fast_path.FastRequest):
            return self.server.is_stopping
        return self.codec.our_state is h11.MUST_CLOSE or self.codec.their_state is not h11.DONE

    def _begin_next_cycle(self) -> None:
        if not isinstance(self.request, fast_path.FastRequest):
            self.codec.start_next_cycle()
        self.request = None
        self.began = None
        self.is_answering = False
        self.raw = bytearray(self.codec.trailing_data[0])
        self.since = self.server.loop.time()
        if self.codec.trailing_data[0]:
            self.began = self.server.now()
            self.server.queue_for_reading(self)
        else:
            self.server.table.mark_idle(self, self.has_submitted)
            self.transport.resume_reading()

    def refuse(self, status: int, text: str = "") -> None:
        """Answers what is not read to its end. Never raises."""
        self.is_proven = False
        try:
            self._feed_codec()
            if self.codec.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                self._respond(status, None, text, close=True)
            self.leave()
        except Exception as error:
            self.fail(error, "refusing")

    # Its end.

    def leave(self) -> None:
        """After the last answer. What still comes is read and dropped for a while.

        Closing over unread bytes would reset the connection, and the client might never see its answer.
        """
        self.is_discarding = True
        self.since = self.server.loop.time()
        self.server.table.mark_busy(self)
        if not self.transport.is_closing():
            self.server.table.mark_closing(self)
            self.transport.write_eof()  # raises where the answer has just met a client that had closed
            self.transport.resume_reading()

    def state(self) -> ConnectionState:
        """Its state, for the decision how it ends."""
        if self.is_discarding:
            return ConnectionState.LINGERING
        if self.is_answering:
            return ConnectionState.TAKEN
        if self.began is not None or self.stashed:
            return ConnectionState.READING
        return ConnectionState.SILENT if self in self.server.table.silent else ConnectionState.RESTING

    def handle(self, event: ConnectionEvent) -> bool:
        """Does what `connection_state.decide` says; returns whether the connection has ended."""
        action = decide(self.state(), event, self.is_busy())
        try:
            if action is ConnectionAction.REFUSE:
                self._refuse_unfinished(event)
            elif action is ConnectionAction.SHUT and self.transport:
                self.leave()
        except Exception as error:
            self.server.reports.report(error, "ending a connection")
            action = ConnectionAction.CLOSE
        if action is ConnectionAction.CLOSE:
            self.close()
        return action is ConnectionAction.CLOSE

    def _refuse_unfinished(self, event: ConnectionEvent) -> None:
        if event is ConnectionEvent.DUE:
            self.refuse(REQUEST_TIMEOUT, "the request did not come in time")
        else:
            self.refuse(UNAVAILABLE)

    def _has_unread(self, events: int = select.POLLIN) -> bool:
        poll = select.poll()
        poll.register(self.sock.fileno(), events)
        return bool(poll.poll(0))

    def is_busy(self) -> bool:
        """Whether something would be lost with it: an unread request, or an answer that waits to be written.

        Never raises; one that cannot be asked is not busy.
        """
        try:
            return self._has_unread() or bool(self.transport and self.transport.get_write_buffer_size())
        except (OSError, ValueError):
            return False

    def close(self) -> None:
        """Closes at once: its descriptor is wanted."""
        self.server.forget(self)
        if self.transport:
            self.transport.abort()

    def expire(self) -> None:
        """Protects the descriptors from clients that never finish, or never come back."""
        if self.server.loop.time() - self.since > limit(self.state(), self.server.is_closing_idle):
            self.handle(ConnectionEvent.DUE)

    # Handover to another process.

    def unstash(self) -> None:
        """Acts on what another process, or this one while it was frozen, has read of a request."""
        stashed, self.stashed = self.stashed, b""
        if stashed:
            self.receive(memoryview(stashed))

    def handed_over_bytes(self) -> bytes | None:
        """What has been read of the request at hand, if it can go on in another process.

        Returns:
            None: its last answer is still under way, and the connection ends here.
        """
        if self.transport is None or self.transport.is_closing() or self.is_discarding or self.is_answering:
            return None
        if self.transport.get_write_buffer_size():
            return None
        return bytes(self.raw) + self.pending + self.stashed

    # As a caller of the engine's: it hears that its message is accepted; the platform hears the completion.

    def accepted(self) -> bool:
        """Answers 202; the connection does not wait for the completion."""
        self.answer(ACCEPTED)
        return False

    def rejected(self, rejection: Rejected) -> None:
        """Answers why, and when to come again."""
        text = "this id is another message's" if rejection.reason is RejectReason.OTHER_ID else ""
        is_refused = rejection.reason is RejectReason.REFUSED
        self.answer(TOO_MANY_REQUESTS if is_refused else UNAVAILABLE, rejection.retry_after_us, text)

    def withdrawn(self) -> None:
        """The client has closed before its message was accepted."""
        self.transport.close()

    def completed(self, completion: Completion) -> None:
        """It never waits: `accepted` says so."""

    def is_gone(self) -> bool:
        """Whether the client has closed already, though the loop has not come to read that.

        Never raises; one that cannot be asked is answered like any other.
        """
        try:
            return self.transport.is_closing() or self._has_unread(select.POLLRDHUP)
        except (OSError, ValueError):
            return False
