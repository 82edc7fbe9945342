"""The listener of the management API: one call to a connection, and no connection can block another.

Rules:

- At most `MAX_CONNECTIONS` are open. One more closes the oldest one whose request is incomplete, or, where
  all are complete, the oldest: clients that send nothing or half a request keep nobody out.
- A connection is read as it is accepted: a request that has arrived is answered in the same callback.
- A request that is incomplete `REQUEST_TIMEOUT_S` after the connection opened gets 408, and no effect.
- After the reply the connection is shut down; a client that does not close its side is cut off `LINGER_S`
  later.
- Whatever a client sends, and whatever its socket does, ends one connection at most. A call whose handler
  fails gets 500.
"""

import asyncio
import logging
import socket
from functools import partial
from http import HTTPStatus
from typing import Protocol

import h11

from message_sender.core.socket_errors import Cause, ErrorReports, cause_of, describe
from message_sender.management.calls import ManagementCall, ManagementReply, parse_call

MAX_CONNECTIONS = 16
REQUEST_TIMEOUT_S = 2.0
LINGER_S = 0.5
SWEEP_INTERVAL_S = 0.25
ACCEPT_RETRY_DELAY_S = 0.05
MAX_HEAD_BYTES = 8 * 1024
MAX_BODY_BYTES = 4 * 1024  # bodies are read and ignored
BACKLOG = 128
#: The listener, and a connection that was accepted before another one is closed.
MAX_DESCRIPTORS = MAX_CONNECTIONS + 2

log = logging.getLogger(__name__)


class CallHandler(Protocol):
    """Executes a call at once."""

    def __call__(self, call: ManagementCall, /) -> ManagementReply:
        """Returns the reply to the call."""


class ManagementConnection:
    """One connection.

    Attributes:
        sock: Its socket.
        deadline: When it is answered with 408 or cut off, on the loop's clock.
        codec: The state of HTTP on it.
        request: The head of the request, once it has arrived.
        body_bytes: How much of the body has arrived.
        is_answered: Whether the reply has been sent.
    """

    def __init__(self, sock: socket.socket, deadline: float) -> None:
        """Begins without a request."""
        self.sock = sock
        self.deadline = deadline
        self.codec = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.request: h11.Request | None = None
        self.body_bytes = 0
        self.is_answered = False

    def read_call(self) -> ManagementCall | ManagementReply | None:
        """Returns the call that has arrived, or the reply that rejects it; None: it is incomplete."""
        try:
            while (event := self.codec.next_event()) is not h11.NEED_DATA:
                if call := self.handle_event(event):
                    return call
        except h11.RemoteProtocolError as error:
            return ManagementReply(error.error_status_hint, str(error))
        return None

    def handle_event(self, event: object) -> ManagementCall | ManagementReply | None:
        """Takes one event of the codec; returns the call, or the reply that rejects it, when it is known."""
        if isinstance(event, h11.Request):
            self.request = event
            return None
        if isinstance(event, h11.Data):
            self.body_bytes += len(event.data)
            is_too_long = self.body_bytes > MAX_BODY_BYTES
            return (
                ManagementReply(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too long")
                if is_too_long
                else None
            )
        if isinstance(event, h11.EndOfMessage):
            assert self.request is not None
            return parse_call(self.request.method.decode(), self.request.target.decode("latin-1"))
        return ManagementReply(HTTPStatus.BAD_REQUEST, "the call is not whole")

    def encode_reply(self, reply: ManagementReply) -> bytes:
        """Returns the reply as bytes.

        Raises:
            h11.LocalProtocolError: The connection is in a state in which no reply can be sent.
        """
        body = reply.text.encode() + b"\n" if reply.text else b""
        headers = [
            ("Content-Type", "text/plain; charset=utf-8"),
            ("Content-Length", str(len(body))),
            ("Connection", "close"),
        ]
        data = self.codec.send(h11.Response(status_code=reply.status, headers=headers)) or b""
        if body and not (self.request and self.request.method == b"HEAD"):
            data += self.codec.send(h11.Data(data=body)) or b""
        return data


class ManagementServer:
    """Listens for the operators' calls.

    Attributes:
        handler: Executes the calls.
        connections: The open connections, the oldest first.
        listener: The listening socket; None: it does not listen.
    """

    def __init__(self, handler: CallHandler) -> None:
        """Belongs to the running loop; `listen` opens the listener."""
        self.handler = handler
        self.loop = asyncio.get_running_loop()
        self.listener: socket.socket | None = None
        self.connections: dict[ManagementConnection, None] = {}
        self.reports = ErrorReports()
        self.timer: asyncio.TimerHandle | None = None

    def listen(self, host: str, port: int) -> None:
        """Begins to accept connections.

        Raises:
            OSError: The address cannot be used.
        """
        self.listener = socket.create_server((host, port), backlog=BACKLOG)
        self.listener.setblocking(False)
        self.loop.add_reader(self.listener, self.accept)
        self.close_expired()

    def address(self) -> tuple[str, int]:
        """Returns the host and the port where it listens."""
        assert self.listener is not None
        host, port = self.listener.getsockname()[:2]
        return host, port

    def close(self) -> None:
        """Closes the listener and all connections."""
        if self.timer:
            self.timer.cancel()
        for connection in list(self.connections):
            self.close_connection(connection)
        if self.listener:
            self.loop.remove_reader(self.listener)
            self.listener.close()
            self.listener = None

    # New connections.

    def accept(self) -> None:
        """Accepts the connections that wait."""
        for _ in range(MAX_CONNECTIONS):
            try:
                if self.listener is None:
                    return
                sock = self.listener.accept()[0]
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                if cause_of(error) is not Cause.PEER:
                    self.pause_accepting(error)
                    return
                continue
            self.add_connection(sock)

    def pause_accepting(self, error: OSError) -> None:
        """Stops accepting for a while, because no descriptor is left: the loop must not spin."""
        log.error("management connections not accepted: retry_in_s=%s error=%s", ACCEPT_RETRY_DELAY_S, error)
        assert self.listener is not None
        self.loop.remove_reader(self.listener)
        self.loop.call_later(ACCEPT_RETRY_DELAY_S, self.resume_accepting)

    def resume_accepting(self) -> None:
        """Accepts connections again."""
        if self.listener:
            self.loop.add_reader(self.listener, self.accept)

    def add_connection(self, sock: socket.socket) -> None:
        """Takes a new connection and reads what has arrived on it."""
        if len(self.connections) >= MAX_CONNECTIONS:
            self.close_connection(self.select_victim())
        connection = ManagementConnection(sock, self.loop.time() + REQUEST_TIMEOUT_S)
        self.connections[connection] = None
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.loop.add_reader(sock, partial(self.handle_readable, connection))
        except OSError as error:
            self.connection_failed(connection, error)
            return
        self.handle_readable(connection)

    def select_victim(self) -> ManagementConnection:
        """Returns the connection that makes room: the oldest without a reply, else the oldest."""
        for connection in self.connections:
            if not connection.is_answered:
                return connection
        return next(iter(self.connections))

    # Requests and replies.

    def handle_readable(self, connection: ManagementConnection) -> None:
        """Reads what has arrived, and answers a complete request."""
        try:
            data = connection.sock.recv(MAX_HEAD_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self.connection_failed(connection, error)
            return
        if not data:
            self.close_connection(connection)
            return
        if connection.is_answered:
            return
        connection.codec.receive_data(data)
        call = connection.read_call()
        if call is not None:
            self.send_reply(connection, self.execute(call))

    def execute(self, call: ManagementCall | ManagementReply) -> ManagementReply:
        """Returns the handler's reply, or the one that rejects the request."""
        if isinstance(call, ManagementReply):
            return call
        try:
            return self.handler(call)
        except Exception as error:  # the boundary of the handler: a defect in it ends one call only
            log.error("management call failed: %s", describe(error, call.operation.value))
            return ManagementReply(HTTPStatus.INTERNAL_SERVER_ERROR, "it failed; the log says why")

    def send_reply(self, connection: ManagementConnection, reply: ManagementReply) -> None:
        """Sends the reply and shuts the connection down."""
        connection.is_answered = True
        connection.deadline = self.loop.time() + LINGER_S
        try:
            data = connection.encode_reply(reply)
            if connection.sock.send(data) < len(data):
                raise ConnectionAbortedError("the caller does not read")
            connection.sock.shutdown(socket.SHUT_WR)
        except (OSError, h11.LocalProtocolError) as error:
            self.connection_failed(connection, error)

    # Ends of connections.

    def connection_failed(self, connection: ManagementConnection, error: Exception) -> None:
        """Reports an error of a connection and closes it."""
        self.reports.report(error, "management call")
        self.close_connection(connection)

    def close_connection(self, connection: ManagementConnection) -> None:
        """Closes a connection, unless it is closed."""
        if connection in self.connections:
            del self.connections[connection]
            self.loop.remove_reader(connection.sock)
            connection.sock.close()

    def close_expired(self) -> None:
        """Ends the connections whose deadline has passed, periodically."""
        now = self.loop.time()
        for connection in [each for each in self.connections if each.deadline <= now]:
            if connection.is_answered:
                self.close_connection(connection)
            else:
                self.send_reply(
                    connection, ManagementReply(HTTPStatus.REQUEST_TIMEOUT, "the call did not come in time")
                )
        self.timer = self.loop.call_later(SWEEP_INTERVAL_S, self.close_expired)
