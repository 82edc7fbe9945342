"""A receiver that stops reading in the middle of large requests, on a path that carries little at a time."""

import asyncio
import math
import socket
from typing import Self

from message_sender.http.common import Address

SMALL_BUFFER = 2048  # bytes
SEGMENT = 1460  # bytes
LARGE = 10_000  # bytes of a body from which on a request is held up


class Incoming(asyncio.Protocol):
    """One connection of a sender."""

    def __init__(self, receiver: "StallingReceiver") -> None:
        self.receiver = receiver
        self.data = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.receiver.connections.append(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.receiver.connections.remove(self)

    def data_received(self, data: bytes) -> None:
        self.data += data
        head, separator, body = self.data.partition(b"\r\n\r\n")
        if not separator:
            return
        lines = (line.partition(":") for line in head.decode().lower().split("\r\n")[1:])
        headers = {name: value.strip() for name, _, value in lines}
        size = int(headers["content-length"])
        if size >= LARGE and len(self.receiver.completed) >= self.receiver.stalls_after:
            self.transport.pause_reading()
            self.receiver.stalled.set()
        if len(body) == size:
            self.data = b""
            self.receiver.complete(self, headers["x-correlation-id"], size)


class StallingReceiver:
    """Answers complete requests with the next of `answers`, then with 200.

    Attributes:
        stalls_after: So many complete requests are read at full speed. Of a later large one only the head
            and a part of the body are read.
        stalled: Set once that has happened.
        completed: Ids of the requests whose last byte has arrived.
        answers: The next responses.
    """

    def __init__(self) -> None:
        self.stalls_after: float = 0
        self.stalled = asyncio.Event()
        self.completed: list[str] = []
        self.answers: list[str] = []
        self.connections: list[Incoming] = []

    async def __aenter__(self) -> Self:
        sock = socket.create_server(("127.0.0.1", 0))
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT)
        self.server = await asyncio.get_running_loop().create_server(lambda: Incoming(self), sock=sock)
        self.address: Address = sock.getsockname()
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.close()
        for each in self.connections:
            each.transport.abort()

    @property
    def dial(self) -> str:
        """The address as host:port."""
        return f"{self.address[0]}:{self.address[1]}"

    def complete(self, connection: Incoming, name: str, size: int) -> None:
        """Records a complete request and answers it."""
        self.completed.append(name)
        answer = self.answers.pop(0) if self.answers else "200 It"
        connection.transport.write(f"HTTP/1.1 {answer}\r\nContent-Length: 0\r\n\r\n".encode())

    def write_early(self, answer: str) -> None:
        """Sends a response on each open connection, whatever has arrived."""
        for each in self.connections:
            each.transport.write(f"HTTP/1.1 {answer}\r\nContent-Length: 0\r\n\r\n".encode())

    async def resume(self) -> None:
        """Goes on reading all that the system of the sender still delivers."""
        self.stalls_after = math.inf
        for each in self.connections:
            each.transport.resume_reading()
        await asyncio.sleep(0.3)
