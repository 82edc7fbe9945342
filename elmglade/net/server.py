"""Clients in: reads requests, answers them, and turns bad ones away."""

import asyncio
import json
import math
import select
from collections.abc import Callable

import h11

from elmglade.interface import Effect, MessageClass
from elmglade.net.http import BODY_LIMIT, HEADER_LIMIT, Address, header
from elmglade.net.message import HandedIn

READY = "/health/ready"
READ_LIMIT = 10.0  # s for a request to come in whole, and for the other side to read a last answer
IDLE_LIMIT = 75.0  # s that a connection may stand unused
LINGERING = 64  # connections above the most that may wait to read that they are turned away


class BadRequest(Exception):  # noqa: N818
    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def read_message(request: h11.Request, body: bytes, began: int, classes: dict[str, MessageClass]) -> HandedIn:
    """`began` is when the request's first bytes were read: the client's time left runs from its sending."""

    def field(name: str) -> str:
        return header(request.headers, name.lower().encode()) or ""

    def needed(name: str) -> str:
        if not (value := field(name)):
            raise BadRequest(400, f"{name} is missing")
        return value

    def number(name: str, text: str) -> float:
        try:
            value = float(text)
        except ValueError:
            value = math.nan
        if not math.isfinite(value) or value < 0:
            raise BadRequest(400, f"{name} cannot be {text!r}")
        return value

    name = needed("X-Service-Class")
    first = request.target.decode("latin-1").lstrip("/").partition("?")[0].partition("/")[0]
    if name not in classes or first != name:
        raise BadRequest(404, f"no class {name!r} at this path")
    kind = classes[name]
    route = dict(part.strip().partition("=")[::2] for part in needed("X-Route-To").split(","))
    dest = route.get("dest", "")
    if not (dest.isascii() and dest.isdecimal() and len(dest) < 19):
        raise BadRequest(400, f"X-Route-To holds no dest: {route}")
    left = min(int(number("X-Time-Left", needed("X-Time-Left")) * 1e6), kind.deadline)
    return HandedIn(
        id=needed("X-Correlation-Id"),
        message_class=name,
        destination=int(dest),
        until=began + left,
        tenant=field("X-Account"),
        key=field("X-Session-Key"),
        idempotency_key=needed("Idempotency-Key")
        if kind.effect is Effect.KEYED
        else field("Idempotency-Key"),
        again=field("X-Repeat") == "1",
        body=body,
    )


class Connection(asyncio.Protocol):
    """One client's connection: one request at a time."""

    def __init__(self, server: "Server") -> None:
        self.server = server
        self.codec = h11.Connection(h11.SERVER, max_incomplete_event_size=HEADER_LIMIT)
        self.began: int | None = None  # us, wall clock: when the request at hand began to come
        self.since = 0.0  # s, loop time: when it, or the idle time, began
        self.request: h11.Request | None = None
        self.body = bytearray()
        self.answering = self.discarding = False

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        self.transport = transport
        self.since = self.server.loop.time()
        self.server.connections.add(self)
        if len(self.server.connections) > self.server.most + LINGERING:
            transport.abort()  # a flood: even those that wait to read their refusal hold descriptors
        elif len(self.server.connections) > self.server.most:
            self.refuse(503)

    def connection_lost(self, error: Exception | None) -> None:
        self.server.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        if self.discarding:
            return
        if self.began is None:
            self.began, self.since = self.server.now(), self.server.loop.time()
        self.codec.receive_data(data)
        self.advance()

    def advance(self) -> None:
        """Reads on; whatever a client sends ends in an answer, never in an exception through the loop."""
        try:
            while not (self.answering or self.discarding):
                event = self.codec.next_event()
                if self.codec.they_are_waiting_for_100_continue:
                    self.write(h11.InformationalResponse(status_code=100, headers=[]))
                if event is h11.NEED_DATA or event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                    return
                if isinstance(event, h11.Request):
                    self.request, self.body = event, bytearray()
                    # The codec bounds only a head that is still coming, not one that came at once.
                    if len(event.target) + sum(len(k) + len(v) for k, v in event.headers) > HEADER_LIMIT:
                        raise BadRequest(431, "the head is too long")
                    length = header(event.headers, b"content-length")
                    if length and int(length) > BODY_LIMIT:
                        raise BadRequest(413, "the body is too long")
                elif isinstance(event, h11.Data):
                    self.body += event.data
                    if len(self.body) > BODY_LIMIT:
                        raise BadRequest(413, "the body is too long")
                elif isinstance(event, h11.EndOfMessage):
                    self.answering = True
                    self.act()
        except BadRequest as error:
            self.refuse(error.status, str(error))
        except h11.RemoteProtocolError as error:
            self.refuse(error.error_status_hint, str(error))

    def act(self) -> None:
        assert self.request is not None and self.began is not None
        method, target = self.request.method, self.request.target.decode("latin-1")
        if target == READY and method in (b"GET", b"HEAD"):
            self.answer(200 if self.server.ready else 503)
        elif method == b"POST" and target != READY:
            try:
                message = read_message(self.request, bytes(self.body), self.began, self.server.classes)
            except BadRequest as error:
                self.answer(error.status, text=str(error))
            else:
                self.server.take(message, self)
        else:
            self.answer(405 if target == READY or method != b"GET" else 404)

    def write(self, event: h11.Event) -> None:
        self.transport.write(self.codec.send(event) or b"")

    def respond(self, status: int, retry_after: int | None, text: str, close: bool) -> None:
        body = json.dumps({"error": text}).encode() + b"\n" if text else b""
        headers = [("Content-Length", str(len(body)))]
        if retry_after is not None:
            headers.append(("Retry-After", f"{retry_after / 1e6:.3f}"))
        if close:
            headers.append(("Connection", "close"))
        self.write(h11.Response(status_code=status, headers=headers))
        if body and not (self.request and self.request.method == b"HEAD"):
            self.write(h11.Data(data=body))
        self.write(h11.EndOfMessage())

    def answer(self, status: int, retry_after: int | None = None, text: str = "") -> None:
        """Answers the request that has been read whole; then the next one may come."""
        self.respond(status, retry_after, text, close=self.server.stopping)
        if self.codec.our_state is h11.MUST_CLOSE or self.codec.their_state is not h11.DONE:
            self.transport.close()
            return
        self.codec.start_next_cycle()
        self.request, self.began, self.answering = None, None, False
        self.since = self.server.loop.time()
        if self.codec.trailing_data[0]:
            self.began = self.server.now()
            self.server.loop.call_soon(self.advance)

    def refuse(self, status: int, text: str = "") -> None:
        """Answers what is not read to its end. What still comes is read and dropped for a while: closing
        over unread bytes would reset the connection, and the client might never see its answer."""
        self.discarding = True
        self.since = self.server.loop.time()
        if self.codec.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self.respond(status, None, text, close=True)
        self.transport.write_eof()

    def gone(self) -> bool:
        """Whether the client has closed already, though the loop has not come to read that."""
        if self.transport.is_closing():
            return True
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    def expire(self) -> None:
        """Guards the descriptors from clients that never finish, or never come back."""
        passed = self.server.loop.time() - self.since
        if self.began is None and not self.discarding:
            if passed > IDLE_LIMIT:
                self.transport.close()
        elif self.discarding and passed > READ_LIMIT:
            self.transport.abort()
        elif not self.answering and passed > READ_LIMIT:
            self.refuse(408, "the request did not come in time")


class Server:
    def __init__(
        self,
        classes: dict[str, MessageClass],
        take: Callable[[HandedIn, Connection], None],
        now: Callable[[], int],
        most: int,
    ) -> None:
        self.classes, self.take, self.now, self.most = classes, take, now, most
        self.loop = asyncio.get_running_loop()
        self.connections: set[Connection] = set()
        self.ready = self.stopping = False
        self.listener: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        self.listener = await self.loop.create_server(lambda: Connection(self), host, port, backlog=512)

    def address(self) -> Address:
        assert self.listener is not None
        return self.listener.sockets[0].getsockname()

    def expire(self) -> None:
        for connection in list(self.connections):
            connection.expire()

    def stop(self) -> None:
        """From now on each answer closes its connection."""
        self.ready, self.stopping = False, True

    def close(self) -> None:
        """No new connections; those between requests end. A client whose request crosses that sends again."""
        if self.listener:
            self.listener.close()
        for connection in list(self.connections):
            if connection.began is None:
                connection.transport.close()
