"""Stand-ins that speak the platform's HTTP/1.1 on loopback: an endpoint by a script, and a client.

Written from the protocol page with plain asyncio, and on purpose without the sender's own codec: a fault that
both shared would show nowhere.
"""

import asyncio
import contextlib
import time
from typing import Self

from message_sender.testbed.history import EffectApplied, History
from message_sender.testbed.script import EndpointBehavior, Script, ScriptedAnswer

Address = tuple[str, int]


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """The first line and the fields, names in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    fields = {name.lower(): value.strip() for name, _, value in (each.partition(":") for each in lines)}
    return first, fields


class HttpEndpoint:
    """One endpoint. While `down`, connections are refused at once by closing them before anything is read."""

    def __init__(self, name: str, script: Script, history: History, port: int = 0) -> None:
        self.name, self.script, self.history, self.port = name, script, history, port
        self.down = False
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.served = 0
        self.more = ""  # further fields of each answer, lines with their ends
        self.opened: list[float] = []  # when each connection came
        self.most_open = 0  # connections at once

    async def __aenter__(self) -> Self:
        self.server = await asyncio.start_server(self.connected, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    @property
    def address(self) -> Address:
        return "127.0.0.1", self.port

    def break_off(self) -> None:
        """All connections reset, as when the process dies."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        if self.down:
            writer.transport.abort()
            return
        self.writers.add(writer)
        self.opened.append(time.monotonic())
        self.most_open = max(self.most_open, len(self.writers))
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                _, fields = await read_head(reader)
                await reader.readexactly(int(fields.get("content-length", "0")))
                await self.called(fields, reader, writer)
        self.writers.discard(writer)
        writer.transport.abort()

    async def called(
        self, fields: dict[str, str], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        name = fields["x-correlation-id"]
        call = self.history.began(name, self.name)
        act = self.script.next(name)
        if act.does in (EndpointBehavior.STALL, EndpointBehavior.RESET):
            await self.break_after(act, reader, writer)
            self.history.over(call, EffectApplied.MAYBE)
            raise ConnectionResetError
        if act.does in (EndpointBehavior.SERVE, EndpointBehavior.ERROR) and act.seconds:
            await asyncio.sleep(act.seconds)
        status, more, ran = answer_for(act)
        if writer.transport.is_closing():
            self.history.over(call, EffectApplied.MAYBE)
            raise ConnectionResetError
        self.history.over(call, ran, act.seconds if act.does is EndpointBehavior.FULL else 0.0)
        self.served += act.does is EndpointBehavior.SERVE
        writer.write(f"HTTP/1.1 {status} It\r\nContent-Length: 0\r\n{more}{self.more}\r\n".encode())

    async def break_after(
        self, act: ScriptedAnswer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if act.does is EndpointBehavior.STALL:
            with contextlib.suppress(ConnectionError):
                await reader.read(1)  # until the sender gives it up
        writer.transport.abort()


def answer_for(act: ScriptedAnswer) -> tuple[int, str, EffectApplied]:
    """The protocol's answer to an act: status, further fields, and whether the call has run."""
    match act.does:
        case EndpointBehavior.SERVE:
            return 200, "", EffectApplied.YES
        case EndpointBehavior.FULL if act.seconds:
            return 429, f"Retry-After: {act.seconds:.3f}\r\n", EffectApplied.NEVER
        case EndpointBehavior.FULL:
            return 503, "", EffectApplied.NEVER
        case _:
            return 500, "", EffectApplied.YES


class HttpClient:
    """A client with one kept connection."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.writer: asyncio.StreamWriter | None = None

    async def post(self, path: str, fields: dict[str, str], body: bytes) -> tuple[int, dict[str, str]]:
        """Status and fields of the answer. Raises ConnectionError where the connection breaks."""
        if self.writer is None or self.writer.transport.is_closing():
            self.reader, self.writer = await asyncio.open_connection(*self.address)
        lines = [f"POST {path} HTTP/1.1", "Host: elmglade", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in fields.items() if value]
        self.writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
        try:
            first, told = await read_head(self.reader)
            await self.reader.readexactly(int(told.get("content-length", "0")))
        except asyncio.IncompleteReadError:
            raise ConnectionResetError("the sender closed without an answer") from None
        if told.get("connection") == "close":
            self.close()
        return int(first.split(" ")[1]), told

    def close(self) -> None:
        if self.writer:
            self.writer.close()
            self.writer = None
