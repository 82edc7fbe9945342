"""The other sides of a real sender on loopback sockets: a scripted receiver, platform and client."""

import asyncio
import json
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any, Self

from faults import turn
from helpers import ENV

from message_sender.http.codec import Address
from message_sender.http.server import Server
from message_sender.message import Message
from message_sender.service.daemon import PlatformSender
from message_sender.start import decode_config

PATIENCE = 4.0  # s; only a failing test waits so long
READY = b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"
CLASS = ENV["services"][0]
KEYED = CLASS | {
    "semantics": "by_key",
    "dedup_window": 5_000_000,
    "key_scope": "zone",
    "serial_by_key": True,
}


def play(test: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
    """Runs a test's coroutine; pytest reads its arguments from the wrapped function."""

    def run(tmp_path: Path) -> None:
        asyncio.run(asyncio.wait_for(test(tmp_path), 15 * PATIENCE))

    run.__name__, run.__doc__ = test.__name__, test.__doc__
    return run


async def soon(what: Awaitable[Any]) -> Any:  # noqa: ANN401
    return await asyncio.wait_for(what, PATIENCE)


class Request:
    """A request that came in, and the means to answer it."""

    def __init__(self, head: bytes, body: bytes, writer: asyncio.StreamWriter) -> None:
        first, *lines = head.decode("latin-1").rstrip().split("\r\n")
        self.method, self.target, _ = first.split(" ")
        self.headers = {name.lower(): value.strip() for name, _, value in (x.partition(":") for x in lines)}
        self.body, self.writer = body, writer
        self.id = self.headers.get("x-correlation-id", "")

    def write(self, text: str) -> None:
        self.writer.write(text.encode())

    def answer(self, status: int, *headers: str, body: str = "") -> None:
        lines = [f"HTTP/1.1 {status} It", f"Content-Length: {len(body)}", *headers]
        self.write("\r\n".join(lines) + "\r\n\r\n" + body)

    def break_off(self) -> None:
        self.writer.transport.abort()


class Peer:
    """A server whose requests a test takes from a queue and answers itself."""

    def __init__(self) -> None:
        self.requests: asyncio.Queue[Request] = asyncio.Queue()
        self.accepted = 0
        self.ends: asyncio.Queue[None] = asyncio.Queue()  # connections that the sender ended

    async def __aenter__(self) -> Self:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address: Address = self.server.sockets[0].getsockname()
        self.writers: list[asyncio.StreamWriter] = []
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.close()
        self.drop()

    def drop(self) -> None:
        """Breaks off whatever is connected."""
        for writer in self.writers:
            writer.transport.abort()

    @property
    def dial(self) -> str:
        return f"{self.address[0]}:{self.address[1]}"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        self.writers.append(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                request = Request(head, b"", writer)
                request.body = await reader.readexactly(int(request.headers.get("content-length", 0)))
                self.came(request)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.ends.put_nowait(None)

    def came(self, request: Request) -> None:
        self.requests.put_nowait(request)

    async def next(self) -> Request:
        return await soon(self.requests.get())


class Platform(Peer):
    """Discovery, whose watch the test feeds, and the notices and calls for the list in `requests`."""

    def __init__(self) -> None:
        super().__init__()
        self.watches: asyncio.Queue[Request] = asyncio.Queue()
        self.watched: list[Request] = []  # the same, all that ever came

    def came(self, request: Request) -> None:
        if "watch" not in request.target:
            self.requests.put_nowait(request)
            return
        request.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watches.put_nowait(request)
        self.watched.append(request)


async def answer_notices(platform: Platform, heard: Callable[[str, str], None]) -> None:
    """Answers whatever comes but watches, for ever; `heard` is told id and state of each notice."""
    while True:
        request = await platform.requests.get()
        for line in request.body.decode().split("\n"):
            if request.target == "/v1/notices" and line.strip():
                told = json.loads(line)
                heard(told["id"], told["state"])
        request.answer(204)


def list_line(seq: int, *hosts: dict[str, Any], whole: bool = False) -> str:
    return json.dumps({"seq": seq, "whole": whole, "hosts": hosts}) + "\n"


def tell(watch: Request, seq: int, *hosts: dict[str, Any], whole: bool = False) -> None:
    text = list_line(seq, *hosts, whole=whole)
    watch.write(f"{len(text):x}\r\n{text}\r\n")


def host(dial: str, name: str = "r", **changes: object) -> dict[str, Any]:
    told = {"host": name, "dial": dial, "site": "z", "class": "k", "block": 3, "health": "ready", "share": 1}
    return told | {"born_ms": 0} | changes


def config_json(
    platform: Platform, *hosts: dict[str, Any], mode: str = "on_request", **kind: object
) -> dict[str, Any]:
    settings = ENV | {"services": [CLASS | kind], "membership_mode": mode}
    settings["safety"] = ENV["safety"] | {"key_quiet": 1000}
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": platform.dial,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
        "known": {"seq": 41, "whole": True, "hosts": list(hosts)},
        "settings": settings,
    }


class Running:
    """A sender in this process."""

    def __init__(self, told: dict[str, Any], state: Path) -> None:
        self.sender = PlatformSender(decode_config(told, state))

    async def __aenter__(self) -> Self:
        await self.sender.start()
        self.task = asyncio.create_task(self.sender.run())
        self.address = self.sender.server.address()
        self.ended = False  # the test has seen it end by itself
        return self

    async def __aexit__(self, *_: object) -> None:
        self.sender.stop(0)
        assert await soon(self.task) == (1 if self.ended else 0)

    async def hand_in(self, name: str, body: bytes = b"x", **headers: str) -> "Reply":
        return await ask(self.address, message(name, body, **headers))


class World(AsyncExitStack):
    """A receiver, a platform and a sender that knows the receiver."""

    def __init__(self, state: Path, mode: str = "on_request", **kind: object) -> None:
        super().__init__()
        self.state, self.mode, self.kind = state, mode, kind

    async def __aenter__(self) -> Self:
        await super().__aenter__()
        self.receiver = await self.enter_async_context(Peer())
        self.platform = await self.enter_async_context(Platform())
        empty = host("127.0.0.1:9", "d", block=9, health="draining")  # destination 9 has no endpoint now
        self.told = config_json(self.platform, host(self.receiver.dial), empty, mode=self.mode, **self.kind)
        self.running = await self.enter_async_context(Running(self.told, self.state))
        self.sender, self.hand_in = self.running.sender, self.running.hand_in
        return self


class Reply:
    def __init__(self, head: bytes, body: bytes) -> None:
        first, *lines = head.decode("latin-1").rstrip().split("\r\n")
        self.status = int(first.split(" ")[1])
        self.headers = {name.lower(): value.strip() for name, _, value in (x.partition(":") for x in lines)}
        self.body = body


def message(name: str, body: bytes = b"x", **changes: str) -> bytes:
    headers = {
        "X_Correlation_Id": name,
        "X_Service_Class": "c",
        "X_Time_Left": "8",
        "X_Route_To": "dest=3",
        "Idempotency_Key": f"key of {name}",
    }
    headers |= changes
    lines = [f"{each.replace('_', '-')}: {value}" for each, value in headers.items()]
    head = "\r\n".join(["POST /c HTTP/1.1", "Host: app.svc", f"Content-Length: {len(body)}", *lines])
    return head.encode("latin-1") + b"\r\n\r\n" + body


async def read_reply(reader: asyncio.StreamReader) -> Reply:
    head = await soon(reader.readuntil(b"\r\n\r\n"))
    reply = Reply(head, b"")
    reply.body = await soon(reader.readexactly(int(reply.headers["content-length"])))
    return reply


async def ask(address: Address, data: bytes) -> Reply:
    reader, writer = await asyncio.open_connection(*address)
    writer.write(data)
    try:
        return await read_reply(reader)
    finally:
        writer.close()


def handed_in(name: str = "m1", body: bytes = b"x", until: int = 0) -> Message:
    return Message(name, "c", 3, until, "", "", f"key of {name}", False, body)


async def call(address: Address, method: str, path: str) -> Reply:
    """An operator's call."""
    return await ask(address, f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())


class Held:
    """A connection that a test keeps."""

    @classmethod
    async def open(cls, server: Server, data: bytes = b"") -> "Held":
        held, seen = cls(), server.accepted
        held.reader, held.writer = await asyncio.open_connection(*server.address())
        held.writer.write(data)
        while server.accepted == seen:
            await turn()
        return held

    async def ended(self) -> bytes:
        try:
            return await soon(self.reader.read())
        except ConnectionResetError:
            return b""
