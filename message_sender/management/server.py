"""The operators' listener: one call to a connection, none of which can hold up another.

The rules:

- At most `MOST` connections are open. One more closes the oldest that has not asked whole, or, where all
  have, the oldest: who sends nothing or half a call keeps nobody out.
- A connection is read as it is accepted: a call that lies there whole is answered in that very callback.
- A call that is not here whole `PATIENCE` after it connected hears 408. Nothing is done on half a call.
- After the answer its connection is ended; whoever does not end the other side is cut off `LINGER` later.
- Whatever is sent, and whatever a socket does, ends one connection. An answer that cannot be given is 500.
"""

import asyncio
import logging
import socket
from collections.abc import Callable
from functools import partial

import h11

from message_sender.core.socket_errors import Cause, ErrorReports, cause_of, describe
from message_sender.management.calls import ManagementCall, ManagementReply, read

MOST = 16
PATIENCE = 2.0  # s
LINGER = 0.5  # s
HEAD_LIMIT = 8 * 1024  # bytes
BODY_LIMIT = 4 * 1024  # bytes, read and dropped: no call has one
BACKLOG = 128
SWEEP = 0.25  # s
SHORTAGE_PAUSE = 0.05  # s
DESCRIPTORS = MOST + 2  # the listener, and one that was accepted before another gave way

log = logging.getLogger(__name__)


class ManagementConnection:
    """One connection: its socket, how far its call has come, and until when it may stand."""

    def __init__(self, sock: socket.socket, until: float) -> None:
        self.sock, self.until = sock, until
        self.codec = h11.Connection(h11.SERVER, max_incomplete_event_size=HEAD_LIMIT)
        self.request: h11.Request | None = None
        self.dropped = 0  # bytes of the body
        self.answered = False

    def asked(self) -> ManagementCall | ManagementReply | None:
        """The call that has come whole, or the reply that refuses it; None: more has to come."""
        try:
            while (event := self.codec.next_event()) is not h11.NEED_DATA:
                if isinstance(event, h11.Request):
                    self.request = event
                elif isinstance(event, h11.Data):
                    self.dropped += len(event.data)
                    if self.dropped > BODY_LIMIT:
                        return ManagementReply(413, "the body is too long")
                elif isinstance(event, h11.EndOfMessage):
                    assert self.request is not None
                    return read(self.request.method.decode(), self.request.target.decode("latin-1"))
                else:
                    return ManagementReply(400, "the call is not whole")
        except h11.RemoteProtocolError as error:
            return ManagementReply(error.error_status_hint, str(error))
        return None

    def reply_text(self, reply: ManagementReply) -> bytes:
        """As bytes; the codec is left as it is where it cannot write any more."""
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
    """`act` answers a call, at once."""

    def __init__(self, act: Callable[[ManagementCall], ManagementReply]) -> None:
        self.act = act
        self.loop = asyncio.get_running_loop()
        self.listener: socket.socket | None = None
        self.callers: dict[ManagementConnection, None] = {}  # the oldest first
        self.reports = ErrorReports()
        self.timer: asyncio.TimerHandle | None = None

    def listen(self, host: str, port: int) -> None:
        """Raises OSError where the address cannot be used."""
        self.listener = socket.create_server((host, port), backlog=BACKLOG)
        self.listener.setblocking(False)
        self.loop.add_reader(self.listener, self.accept)
        self.sweep()

    def address(self) -> tuple[str, int]:
        assert self.listener is not None
        host, port = self.listener.getsockname()[:2]
        return host, port

    def close(self) -> None:
        if self.timer:
            self.timer.cancel()
        for caller in list(self.callers):
            self.end(caller)
        if self.listener:
            self.loop.remove_reader(self.listener)
            self.listener.close()
            self.listener = None

    def accept(self) -> None:
        for _ in range(MOST):
            try:
                if self.listener is None:
                    return
                sock = self.listener.accept()[0]
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                if cause_of(error) is not Cause.PEER:
                    self.pause(error)
                    return
                continue
            self.take_in(sock)

    def pause(self, error: OSError) -> None:
        """No descriptor is left: what lies in the backlog waits, and the loop does not spin on it."""
        log.error("no operator's call could be taken: %s", error)
        assert self.listener is not None
        self.loop.remove_reader(self.listener)
        self.loop.call_later(SHORTAGE_PAUSE, self.accept_again)

    def accept_again(self) -> None:
        if self.listener:
            self.loop.add_reader(self.listener, self.accept)

    def take_in(self, sock: socket.socket) -> None:
        if len(self.callers) >= MOST:
            self.end(next((each for each in self.callers if not each.answered), next(iter(self.callers))))
        caller = ManagementConnection(sock, self.loop.time() + PATIENCE)
        self.callers[caller] = None
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.loop.add_reader(sock, partial(self.came, caller))
        except OSError as error:
            self.broke(caller, error)
            return
        self.came(caller)

    def came(self, caller: ManagementConnection) -> None:
        try:
            data = caller.sock.recv(HEAD_LIMIT)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self.broke(caller, error)
            return
        if caller.answered or not data:
            if not data:
                self.end(caller)
            return
        caller.codec.receive_data(data)
        if (asked := caller.asked()) is not None:
            self.answer(caller, self.reply_to(asked))

    def reply_to(self, asked: ManagementCall | ManagementReply) -> ManagementReply:
        if isinstance(asked, ManagementReply):
            return asked
        try:
            return self.act(asked)
        except Exception as error:
            log.error("an operator's call failed: %s", describe(error, asked.ask.value))
            return ManagementReply(500, "it failed; the log says why")

    def answer(self, caller: ManagementConnection, reply: ManagementReply) -> None:
        caller.answered, caller.until = True, self.loop.time() + LINGER
        try:
            data = caller.reply_text(reply)
            if caller.sock.send(data) < len(data):
                raise ConnectionAbortedError("the caller does not read")
            caller.sock.shutdown(socket.SHUT_WR)
        except (OSError, h11.LocalProtocolError) as error:
            self.broke(caller, error)

    def broke(self, caller: ManagementConnection, error: Exception) -> None:
        self.reports.report(error, "an operator's call")
        self.end(caller)

    def end(self, caller: ManagementConnection) -> None:
        if caller in self.callers:
            del self.callers[caller]
            self.loop.remove_reader(caller.sock)
            caller.sock.close()

    def sweep(self) -> None:
        """Ends what has stood for too long."""
        now = self.loop.time()
        for caller in [each for each in self.callers if each.until <= now]:
            if caller.answered:
                self.end(caller)
            else:
                self.answer(caller, ManagementReply(408, "the call did not come in time"))
        self.timer = self.loop.call_later(SWEEP, self.sweep)
