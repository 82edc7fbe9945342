"""One client's connection: one request at a time, from its bytes to its answer."""

import asyncio
import select
import socket
from typing import cast

import h11

from message_sender.core.ports import Completion, Rejected, RejectReason
from message_sender.core.traffic_observer import (
    CLIENT_SIDE,
    ObservedConnection,
)
from message_sender.http import fast_path
from message_sender.http.codec import header
from message_sender.http.connection_owner import ConnectionOwner
from message_sender.http.connection_state import (
    ConnectionAction,
    ConnectionEvent,
    ConnectionState,
    decide,
    limit,
)
from message_sender.http.observed_transport import ObservedTransport
from message_sender.http.request_parsing import BadRequestError, read_message
from message_sender.http.request_reader import RequestReader
from message_sender.http.responses import ResponseContent, encode

READY_PATH = "/health/ready"
DRAINED_BYTES_LIMIT = 1024 * 1024  # read and dropped behind a last answer; then the other side has to wait
UNREAD_ANSWERS_LIMIT = 64 * 1024  # bytes that a client leaves unread before it is cut off

ACCEPTED, REQUEST_TIMEOUT, TOO_MANY_REQUESTS, UNAVAILABLE = 202, 408, 429, 503  # HTTP statuses


class ServerConnection(asyncio.BufferedProtocol):
    """One client's connection, and the caller of its messages.

    Attributes:
        began: When the request at hand began to come, microseconds on the wall clock; None: there is none.
        since: When the wait at hand began: for a request, or for the client to leave; seconds.
        reader: Reads its requests.
        stashed: Read while nothing is acted on.
        dropped: Bytes read after the last answer.
        is_answering: A whole request waits for its answer.
        is_discarding: The last answer has been written; what still comes is dropped.
        is_proven: The client's last request could be answered well.
        is_queued: It waits to be read on.
        has_submitted: The client has submitted messages on it.
    """

    transport: asyncio.Transport = None  # type: ignore[assignment]  # until it is up

    def __init__(self, server: "ConnectionOwner[ServerConnection]", sock: socket.socket) -> None:
        """`sock`: as it was accepted."""
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
        elif len(self.server.table.all) > self.server.connection_limit:
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
            self.dropped += len(data)
            if self.dropped > DRAINED_BYTES_LIMIT:
                self.transport.pause_reading()
            return
        if self.began is None and not self.is_answering and (request := self.server.rejected_unread(data)):
            self.reject_unread(request)
            return
        if self.began is None:
            self._begin_request()
        if not self.is_answering and self.reader.is_fresh():
            self.reader.pending = bytes(data)
        else:
            self.reader.feed_codec(bytes(data))
        if self.is_answering:
            self.transport.pause_reading()  # protects from requests by the hundred that nobody has answered
        else:
            self.server.queue_for_reading(self)

    def _begin_request(self) -> None:
        self.began = self.server.now()
        if self not in self.server.table.silent:
            self.since = self.server.loop.time()  # the first one's time runs from connecting
        self.server.table.mark_busy(self)

    def advance(self) -> None:
        """Reads on; whatever a client sends ends in an answer, never in an exception through the loop."""
        try:
            if self.reader.take_usual():
                self.is_answering = True
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
        codec = self.reader.codec
        event = codec.next_event()
        if event is h11.NEED_DATA or event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
            if codec.they_are_waiting_for_100_continue:
                self._write(h11.InformationalResponse(status_code=100, headers=[]))
            self.transport.resume_reading()
            return False
        assert isinstance(event, h11.Event)
        if self.reader.take_event(event):
            self.is_answering = True
            self._act()
        return True

    def _act(self) -> None:
        """A whole request: it is answered, or its message is submitted."""
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
        try:
            message = read_message(request, bytes(self.reader.body), self.began, self.server.classes)
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
        server.backlog.request_rejected(self.since)
        server.count_rejected(header(request.headers, b"x-service-class") or "")
        try:
            self.transport.write(server.unread_answer())
            if self.transport.get_write_buffer_size() > UNREAD_ANSWERS_LIMIT:
                self.transport.abort()
        except Exception as error:
            self.fail(error, "rejecting a request unread")

    # Answers.

    def _write(self, event: h11.Event) -> None:
        self.transport.write(self.reader.codec.send(event) or b"")

    def _respond(self, content: ResponseContent) -> None:
        self.transport.write(encode(self.reader, content))

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
        self._respond(ResponseContent(status, retry_after_us, text, self.server.is_stopping))
        if self._is_last_answer():
            self.start_drain()
            return
        if self.transport.get_write_buffer_size() > UNREAD_ANSWERS_LIMIT:
            self.transport.abort()
            return
        self._begin_next_cycle()

    def _is_last_answer(self) -> bool:
        if self.reader.is_usual():
            return self.server.is_stopping
        return not self.reader.can_go_on()

    def _begin_next_cycle(self) -> None:
        self.reader.begin_next()
        self.began = None
        self.is_answering = False
        self.since = self.server.loop.time()
        if self.reader.has_unread():
            self.began = self.server.now()
            self.server.queue_for_reading(self)
        else:
            self.server.table.mark_idle(self, self.has_submitted)
            self.transport.resume_reading()

    def refuse(self, status: int, text: str = "") -> None:
        """Answers what is not read to its end. Never raises."""
        self.is_proven = False
        try:
            self.reader.feed_codec()
            if self.reader.codec.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                self._respond(ResponseContent(status, text=text, is_last=True))
            self.start_drain()
        except Exception as error:
            self.fail(error, "refusing")

    # Its end.

    def start_drain(self) -> None:
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
                self.start_drain()
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
        return bytes(self.reader.raw) + self.reader.pending + self.stashed

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
