"""Stand-ins that speak the platform's HTTP/1.1 on loopback: a scripted endpoint and a client.

Both are written from the protocol page with plain asyncio and do not use the sender's codec, since no test
would detect a fault that both sides share.
"""

import asyncio
import contextlib
import time
from dataclasses import dataclass
from typing import Self

from message_sender.testbed.history import EffectApplied, History
from message_sender.testbed.script import EndpointBehavior, Script, ScriptedAnswer

LOOPBACK = "127.0.0.1"
Address = tuple[str, int]


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line of an HTTP message, and its header fields by lower-case name."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first_line, *field_lines = head.rstrip("\r\n").split("\r\n")
    fields = {}
    for line in field_lines:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    return first_line, fields


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A scripted answer as an HTTP response.

    Attributes:
        status: The status code.
        effect: Whether the call had its effect.
        fields: Further header lines, each with its line end.
    """

    status: int
    effect: EffectApplied
    fields: str = ""


def http_answer(answer: ScriptedAnswer) -> HttpAnswer:
    """Translate a scripted answer that has a status; RESET and STALL have no status."""
    match answer.behavior:
        case EndpointBehavior.SERVE:
            return HttpAnswer(200, EffectApplied.YES)
        case EndpointBehavior.FULL if answer.seconds:
            return HttpAnswer(429, EffectApplied.NEVER, f"Retry-After: {answer.seconds:.3f}\r\n")
        case EndpointBehavior.FULL:
            return HttpAnswer(503, EffectApplied.NEVER)
        case _:
            return HttpAnswer(500, EffectApplied.YES)


class HttpEndpoint:
    """A stand-in endpoint, which listens within its block as an async context manager.

    While `is_down` is set, connections are aborted before anything is read from them.
    """

    def __init__(self, name: str, script: Script, history: History, port: int = 0) -> None:
        """Create an endpoint; port 0 lets the system choose a free port."""
        self.name = name
        self.script = script
        self.history = history
        self.port = port
        self.is_down = False
        self.extra_fields = ""  # further header lines of every answer, each with its line end
        self.served = 0
        self.connected_at: list[float] = []  # monotonic time of each connection, s
        self.max_open = 0  # highest number of connections open at once
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Self:
        """Start to listen."""
        self.server = await asyncio.start_server(self.handle_connection, LOOPBACK, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_: object) -> None:
        """Close the listener and abort every connection."""
        self.server.close()
        self.reset_connections()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    @property
    def address(self) -> Address:
        """The address on which the endpoint listens."""
        return LOOPBACK, self.port

    def reset_connections(self) -> None:
        """Abort all connections, as when the process dies."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of one connection until it ends."""
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        if self.is_down:
            writer.transport.abort()
            return
        self.writers.add(writer)
        self.connected_at.append(time.monotonic())
        self.max_open = max(self.max_open, len(self.writers))
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                _, fields = await read_head(reader)
                await reader.readexactly(int(fields.get("content-length", "0")))
                await self.handle_call(fields, reader, writer)
        self.writers.discard(writer)
        writer.transport.abort()

    async def handle_call(
        self, fields: dict[str, str], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one call as scripted, and record the call.

        Raises:
            ConnectionResetError: If the connection ended without an answer.
        """
        message = fields["x-correlation-id"]
        call = self.history.record_start(message, self.name)
        answer = self.script.next_answer(message)
        if answer.behavior in (EndpointBehavior.STALL, EndpointBehavior.RESET):
            await self.abort_call(answer, reader, writer)
            self.history.record_end(call, EffectApplied.MAYBE)
            raise ConnectionResetError
        if answer.behavior in (EndpointBehavior.SERVE, EndpointBehavior.ERROR) and answer.seconds:
            await self.serve_for(answer.seconds, reader)
        if writer.transport.is_closing() or reader.at_eof():
            self.history.record_end(call, EffectApplied.MAYBE)
            raise ConnectionResetError
        response = http_answer(answer)
        wait = answer.seconds if answer.behavior is EndpointBehavior.FULL else 0.0
        self.history.record_end(call, response.effect, wait)
        self.served += answer.behavior is EndpointBehavior.SERVE
        head = f"HTTP/1.1 {response.status} It\r\nContent-Length: 0\r\n"
        self.write_answer(writer, f"{head}{response.fields}{self.extra_fields}\r\n".encode())

    async def serve_for(self, seconds: float, reader: asyncio.StreamReader) -> None:
        """Work on a call for so long; a subclass may end with the connection."""
        await asyncio.sleep(seconds)

    def write_answer(self, writer: asyncio.StreamWriter, answer: bytes) -> None:
        """Write an encoded answer; a subclass may write more or less than that."""
        writer.write(answer)

    async def abort_call(
        self, answer: ScriptedAnswer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Abort the connection of a call: for STALL once the sender has closed it, otherwise immediately."""
        if answer.behavior is EndpointBehavior.STALL:
            with contextlib.suppress(ConnectionError):
                await reader.read(1)  # returns when the sender closes the connection
        writer.transport.abort()


class HttpClient:
    """A client with one connection, which stays open between requests."""

    def __init__(self, address: Address) -> None:
        """Create a client, which connects with its first request."""
        self.address = address
        self.writer: asyncio.StreamWriter | None = None

    async def post(self, path: str, fields: dict[str, str], body: bytes) -> tuple[int, dict[str, str]]:
        """Send a POST request, without the fields whose value is empty.

        Returns:
            The status code and the header fields of the response.

        Raises:
            ConnectionError: If the connection ends before the response.
        """
        if self.writer is None or self.writer.transport.is_closing():
            self.reader, self.writer = await asyncio.open_connection(*self.address)
        lines = [f"POST {path} HTTP/1.1", "Host: elmglade", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in fields.items() if value]
        self.writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
        try:
            status_line, response_fields = await read_head(self.reader)
            await self.reader.readexactly(int(response_fields.get("content-length", "0")))
        except asyncio.IncompleteReadError:
            raise ConnectionResetError("the sender closed the connection before it responded") from None
        if response_fields.get("connection") == "close":
            self.close()
        return int(status_line.split(" ")[1]), response_fields

    def close(self) -> None:
        """Close the connection, if it is open."""
        if self.writer:
            self.writer.close()
            self.writer = None
