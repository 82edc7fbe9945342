"""The HTTP server of the management API: one call per connection, and no connection can block another.

Rules:

- At most `MAX_CONNECTIONS` connections are open. When another one is accepted, the oldest connection without
  a reply is closed, or, where all have their reply, the oldest. Clients that send nothing or an incomplete
  request therefore cannot block others.
- A connection is read when it is accepted, so that a request that has already arrived is answered in the same
  callback.
- A request that is still incomplete `REQUEST_TIMEOUT_S` after the connection was accepted gets status 408 and
  has no effect.
- After the reply the connection is shut down for writing. A client that does not close its side within
  `LINGER_S` is disconnected.
- No data from a client and no socket error affects more than its own connection. A call whose handler raises
  an exception gets status 500.
"""

import asyncio
import logging
import socket
from functools import partial
from http import HTTPStatus
from typing import Protocol

import h11

from message_sender.core.read_turns import ReadTurn, ReadTurns
from message_sender.core.socket_errors import Cause, ErrorReports, cause_of, describe_defect
from message_sender.management.calls import ManagementCall, ManagementReply, parse_call

MAX_CONNECTIONS = 16
REQUEST_TIMEOUT_S = 2.0
LINGER_S = 0.5
SWEEP_INTERVAL_S = 0.25
ACCEPT_RETRY_DELAY_S = 0.05
MAX_HEAD_BYTES = 8 * 1024
MAX_BODY_BYTES = 4 * 1024  # bodies are read and ignored
BACKLOG = 128
#: The open connections, the listener, and a new connection that is accepted before an old one is closed.
MAX_DESCRIPTORS = MAX_CONNECTIONS + 2

log = logging.getLogger(__name__)


class CallHandler(Protocol):
    """Executes a call without waiting."""

    def __call__(self, call: ManagementCall, /) -> ManagementReply:
        """Returns the reply to the call."""


class ManagementConnection:
    """One connection of a client.

    Attributes:
        sock: The connection's socket.
        turn: What may still be parsed in the present loop iteration.
        deadline: The time, in seconds of the loop's clock, at which the connection gets status 408 or, after
            the reply, is closed.
        codec: The HTTP state of the connection.
        request: The head of the request; None until it has arrived.
        body_bytes: The number of received body bytes.
        is_answered: Whether the reply has been sent.
    """

    def __init__(self, sock: socket.socket, deadline: float, turns: ReadTurns) -> None:
        """Initializes without a request."""
        self.turn = ReadTurn(turns)
        self.sock = sock
        self.deadline = deadline
        self.codec = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.request: h11.Request | None = None
        self.body_bytes = 0
        self.is_answered = False

    def read_call(self) -> ManagementCall | ManagementReply | None:
        """Returns the received call, or the reply that rejects it.

        Returns None while the request is incomplete, or more of it can be parsed only in the next turn.
        """
        try:
            while not self.turn.is_over() and (event := self.codec.next_event()) is not h11.NEED_DATA:
                self.turn.spend(1)
                if call := self.handle_event(event):
                    return call
        except h11.RemoteProtocolError as error:
            return ManagementReply(error.error_status_hint, str(error))
        return None

    def handle_event(self, event: object) -> ManagementCall | ManagementReply | None:
        """Handles one event of the codec; returns the call or the rejecting reply once it is known."""
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
    """The server for the operators' calls.

    Attributes:
        handler: Executes the calls.
        connections: The open connections, oldest first.
        turns: The queue of the connections for their turns.
        listener: The listening socket; None while the server does not listen.
    """

    def __init__(self, handler: CallHandler) -> None:
        """Initializes the server on the running event loop, without a listening socket."""
        self.handler = handler
        self.loop = asyncio.get_running_loop()
        self.listener: socket.socket | None = None
        self.connections: dict[ManagementConnection, None] = {}
        self.turns = ReadTurns()
        self.reports = ErrorReports()
        self.timer: asyncio.TimerHandle | None = None

    def listen(self, host: str, port: int) -> None:
        """Opens the listening socket and starts to accept connections.

        Raises:
            OSError: The address cannot be bound.
        """
        self.listener = socket.create_server((host, port), backlog=BACKLOG)
        self.listener.setblocking(False)
        self.loop.add_reader(self.listener, self.accept)
        self.close_expired()

    def address(self) -> tuple[str, int]:
        """Returns the host and port of the listening socket."""
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
        """Accepts waiting connections, at most `MAX_CONNECTIONS` of them."""
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
        """Stops accepting for `ACCEPT_RETRY_DELAY_S`, so that the loop does not spin on the same error.

        The usual cause is that the process has no file descriptor left.
        """
        log.error("management connections not accepted: retry_in_s=%s error=%s", ACCEPT_RETRY_DELAY_S, error)
        assert self.listener is not None
        self.loop.remove_reader(self.listener)
        self.loop.call_later(ACCEPT_RETRY_DELAY_S, self.resume_accepting)

    def resume_accepting(self) -> None:
        """Accepts connections again."""
        if self.listener:
            self.loop.add_reader(self.listener, self.accept)

    def add_connection(self, sock: socket.socket) -> None:
        """Registers a new connection and reads the data that has already arrived."""
        if len(self.connections) >= MAX_CONNECTIONS:
            self.close_connection(self.connection_to_replace())
        connection = ManagementConnection(sock, self.loop.time() + REQUEST_TIMEOUT_S, self.turns)
        self.connections[connection] = None
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.loop.add_reader(sock, partial(self.handle_readable, connection))
        except OSError as error:
            self.connection_failed(connection, error)
            return
        self.handle_readable(connection)

    def connection_to_replace(self) -> ManagementConnection:
        """Returns the connection to close for a new one: the oldest without a reply, else the oldest."""
        for connection in self.connections:
            if not connection.is_answered:
                return connection
        return next(iter(self.connections))

    # Requests and replies.

    def handle_readable(self, connection: ManagementConnection) -> None:
        """Reads the received data, and answers a complete request."""
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
        self.parse(connection)

    def parse(self, connection: ManagementConnection) -> None:
        """Parses received data, as far as the connection's turn allows, and answers a complete request."""
        if connection.is_answered or connection not in self.connections:
            return
        call = connection.read_call()
        if call is not None:
            self.send_reply(connection, self.execute(call))
        elif connection.turn.is_over():
            connection.turn.call_in_next(partial(self.parse, connection))
        else:
            connection.turn.renew()

    def execute(self, call: ManagementCall | ManagementReply) -> ManagementReply:
        """Returns the handler's reply, or the one that rejects the request."""
        if isinstance(call, ManagementReply):
            return call
        try:
            return self.handler(call)
        except Exception as error:  # a defect in the handler must end only this call
            log.error("management call failed: %s", describe_defect(error, call.operation.value))
            return ManagementReply(HTTPStatus.INTERNAL_SERVER_ERROR, "it failed; the log says why")

    def send_reply(self, connection: ManagementConnection, reply: ManagementReply) -> None:
        """Sends the reply and shuts the connection down for writing."""
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
        """Closes a connection, unless it is already closed."""
        if connection in self.connections:
            del self.connections[connection]
            self.loop.remove_reader(connection.sock)
            connection.sock.close()

    def close_expired(self) -> None:
        """Ends the connections whose deadline has passed, and schedules the next check."""
        now = self.loop.time()
        for connection in [each for each in self.connections if each.deadline <= now]:
            if connection.is_answered:
                self.close_connection(connection)
            else:
                self.send_reply(
                    connection, ManagementReply(HTTPStatus.REQUEST_TIMEOUT, "the call did not come in time")
                )
        self.timer = self.loop.call_later(SWEEP_INTERVAL_S, self.close_expired)
