"""The calling side of HTTP/1.1 on a plain socket, for receivers and for the platform."""

import asyncio
import socket
from collections.abc import Iterable

import h11

HEADER_LIMIT = 16 * 1024
BODY_LIMIT = 64 * 1024
READ_SIZE = 64 * 1024

Address = tuple[str, int]
#: What a broken connection or an unreadable answer raises.
BROKEN = (OSError, h11.RemoteProtocolError)


def address_from(text: str) -> Address:
    host, found, port = text.rpartition(":")
    if not found or not host or not port.isdecimal() or int(port) > 65535:
        raise ValueError(f"{text!r} is not host:port")
    return host, int(port)


def header(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> str | None:
    """The value of the first header with this (lower-case) name."""
    return next((value.decode("latin-1") for key, value in headers if key == name), None)


class Connection:
    """One connection to a server. It never sends anything twice by itself."""

    def __init__(self, sock: socket.socket, address: Address) -> None:
        self.sock, self.address = sock, address
        self.codec = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEADER_LIMIT)
        self.idle_since = 0.0

    @classmethod
    async def open(cls, address: Address) -> "Connection":
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await asyncio.get_running_loop().sock_connect(sock, address)
        except BaseException:
            sock.close()
            raise
        return cls(sock, address)

    async def send(self, method: str, target: str, headers: dict[str, str], body: bytes = b"") -> None:
        """Returns once the last byte is written; if it raises, that byte was not."""
        named = {"Host": f"{self.address[0]}:{self.address[1]}"} | headers
        # Latin-1, as they were read: a client's id may hold more than ASCII and goes on unchanged.
        lines = [(name.encode(), value.encode("latin-1")) for name, value in named.items() if value]
        request = h11.Request(method=method, target=target, headers=lines)
        data = self.codec.send(request) or b""
        if body:
            data += self.codec.send(h11.Data(data=body)) or b""
        data += self.codec.send(h11.EndOfMessage()) or b""
        await asyncio.get_running_loop().sock_sendall(self.sock, data)

    async def next_event(self) -> h11.Event:
        while (event := self.codec.next_event()) is h11.NEED_DATA:
            data = await asyncio.get_running_loop().sock_recv(self.sock, READ_SIZE)
            self.codec.receive_data(data)
        if isinstance(event, h11.ConnectionClosed) or not isinstance(event, h11.Event):
            raise ConnectionResetError("the connection ended")
        return event

    async def response(self) -> h11.Response:
        while True:
            event = await self.next_event()
            if isinstance(event, h11.Response):
                return event

    async def skip_body(self) -> None:
        """Reads the answer to its end, so that the connection can be used again."""
        size = 0
        while not isinstance(event := await self.next_event(), h11.EndOfMessage):
            size += len(event.data) if isinstance(event, h11.Data) else 0
            if size > BODY_LIMIT:
                raise ConnectionResetError("the answer is too long")

    def next_cycle(self) -> bool:
        """Whether another request may follow on this connection."""
        if self.codec.our_state is not h11.DONE or self.codec.their_state is not h11.DONE:
            return False
        self.codec.start_next_cycle()
        return not self.ended()

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
        self.sock.close()
