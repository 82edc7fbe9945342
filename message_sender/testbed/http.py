"""Stand-ins that speak the platform's HTTP/1.1 on loopback: an endpoint that follows a script, and a client.

They are written from the protocol page with plain asyncio and do not use the sender's codec: a fault that
both sides shared would show nowhere.
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
    """Return the first line of a message and its header fields, their names in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first_line, *field_lines = head.rstrip("\r\n").split("\r\n")
    fields = {}
    for line in field_lines:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    return first_line, fields


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A scripted answer in terms of the protocol.

    Attributes:
        status: The status code.
        effect: Whether the call had its effect.
        fields: Header fields, each line with its end.
    """

    status: int
    effect: EffectApplied
    fields: str = ""


def http_answer(answer: ScriptedAnswer) -> HttpAnswer:
    """Translate an answer with a status; RESET and STALL have none."""
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
    """A stand-in endpoint; an async context manager that listens within its block.

    While `is_down`, connections are closed before anything is read.
    """

    def __init__(self, name: str, script: Script, history: History, port: int = 0) -> None:
        """Create an endpoint; on port 0 the system chooses a free one."""
        self.name = name
        self.script = script
        self.history = history
        self.port = port
        self.is_down = False
        self.extra_fields = ""  # header fields of every answer, each line with its end
        self.served = 0
        self.connected_at: list[float] = []  # monotonic time of each connection, s
        self.max_open = 0  # the most connections at once
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
        """Where it listens."""
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
        """Answer one call by the script and record it.

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
            await asyncio.sleep(answer.seconds)
        if writer.transport.is_closing():
            self.history.record_end(call, EffectApplied.MAYBE)
            raise ConnectionResetError
        response = http_answer(answer)
        wait = answer.seconds if answer.behavior is EndpointBehavior.FULL else 0.0
        self.history.record_end(call, response.effect, wait)
        self.served += answer.behavior is EndpointBehavior.SERVE
        head = f"HTTP/1.1 {response.status} It\r\nContent-Length: 0\r\n"
        writer.write(f"{head}{response.fields}{self.extra_fields}\r\n".encode())

    async def abort_call(
        self, answer: ScriptedAnswer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Abort the connection of a call: at once, or for STALL when the sender gives it up."""
        if answer.behavior is EndpointBehavior.STALL:
            with contextlib.suppress(ConnectionError):
                await reader.read(1)  # returns when the sender closes the connection
        writer.transport.abort()


class HttpClient:
    """A client with one connection, which it keeps between requests."""

    def __init__(self, address: Address) -> None:
        """Create a client; it connects with its first request."""
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
            raise ConnectionResetError("the sender closed without an answer") from None
        if response_fields.get("connection") == "close":
            self.close()
        return int(status_line.split(" ")[1]), response_fields

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self.writer:
            self.writer.close()
            self.writer = None
