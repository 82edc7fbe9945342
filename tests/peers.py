"""Peers of a real sender on loopback sockets: a receiver, a platform and clients that a test controls."""

import asyncio
import json
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Self

from helpers import ENV
from socket_faults import next_iteration

from message_sender.http.common import Address
from message_sender.http.request_writer import always
from message_sender.http.server import Server
from message_sender.message import Message
from message_sender.service.daemon import PlatformSender
from message_sender.start import decode_config

TIMEOUT_S = 4.0  # only a failing test waits this long
READY = b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"
CLASS = ENV["services"][0]
KEYED = CLASS | {
    "semantics": "by_key",
    "dedup_window": 5_000_000,
    "key_scope": "zone",
    "serial_by_key": True,
}


def run_async_test(test: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
    """Wraps a coroutine test as a function; pytest takes the arguments from the wrapper."""

    def run(tmp_path: Path) -> None:
        asyncio.run(asyncio.wait_for(test(tmp_path), 15 * TIMEOUT_S))

    run.__name__, run.__doc__ = test.__name__, test.__doc__
    return run


async def with_timeout(awaitable: Awaitable[Any]) -> Any:  # noqa: ANN401
    """Awaits `awaitable` for at most TIMEOUT_S seconds."""
    return await asyncio.wait_for(awaitable, TIMEOUT_S)


@dataclass
class Permission:
    """The permission of one call, which a test decides on."""

    begins: Callable[[], bool] = always
    continues: Callable[[], bool] = always

    def may_begin(self) -> bool:
        return self.begins()

    def may_continue(self) -> bool:
        return self.continues()


class Request:
    """A received request, with methods to answer it."""

    def __init__(self, head: bytes, body: bytes, writer: asyncio.StreamWriter) -> None:
        first, *lines = head.decode("latin-1").rstrip().split("\r\n")
        self.method, self.target, _ = first.split(" ")
        self.headers = {name.lower(): value.strip() for name, _, value in (x.partition(":") for x in lines)}
        self.body, self.writer = body, writer
        self.id = self.headers.get("x-correlation-id", "")

    def write(self, text: str) -> None:
        self.writer.write(text.encode())

    def answer(self, status: int, *headers: str, body: str = "") -> None:
        """Sends a response with these header lines."""
        lines = [f"HTTP/1.1 {status} It", f"Content-Length: {len(body)}", *headers]
        self.write("\r\n".join(lines) + "\r\n\r\n" + body)

    def abort(self) -> None:
        """Aborts the connection."""
        self.writer.transport.abort()


class Peer:
    """A server that queues its requests for the test, which answers them."""

    def __init__(self) -> None:
        self.requests: asyncio.Queue[Request] = asyncio.Queue()
        self.accepted = 0
        # One item for each connection that the sender closed.
        self.ends: asyncio.Queue[None] = asyncio.Queue()

    async def __aenter__(self) -> Self:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address: Address = self.server.sockets[0].getsockname()
        self.writers: list[asyncio.StreamWriter] = []
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.close()
        self.drop()

    def drop(self) -> None:
        """Aborts all connections."""
        for writer in self.writers:
            writer.transport.abort()

    @property
    def dial(self) -> str:
        """The address as host:port."""
        return f"{self.address[0]}:{self.address[1]}"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Reads requests from one connection until it ends."""
        self.accepted += 1
        self.writers.append(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                request = Request(head, b"", writer)
                request.body = await reader.readexactly(int(request.headers.get("content-length", 0)))
                self.request_received(request)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.ends.put_nowait(None)

    def request_received(self, request: Request) -> None:
        """Queues a received request."""
        self.requests.put_nowait(request)

    async def next(self) -> Request:
        """Returns the next request; fails after TIMEOUT_S seconds."""
        return await with_timeout(self.requests.get())


class Platform(Peer):
    """The platform: watch requests go to `watches`, notices and requests for the list to `requests`.

    With `agent_list`, it is the agent to which lists are pushed, and answers requests for the list with it.
    """

    def __init__(self) -> None:
        super().__init__()
        self.agent_list: dict[str, Any] | None = None
        self.watches: asyncio.Queue[Request] = asyncio.Queue()
        self.watched: list[Request] = []  # all watch requests ever received

    def request_received(self, request: Request) -> None:
        if self.agent_list and request.target == "/registry/instances":
            request.answer(200, body=json.dumps(self.agent_list))
            return
        if "watch" not in request.target:
            self.requests.put_nowait(request)
            return
        request.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        known_version = request.target.rpartition("after=")[2]
        if self.agent_list and known_version != str(self.agent_list["seq"]):
            send_watch_line(request, self.agent_list["seq"], *self.agent_list["hosts"], whole=True)
        self.watches.put_nowait(request)
        self.watched.append(request)


async def answer_notices(platform: Platform, record_notice: Callable[[str, str], None]) -> None:
    """Answers all requests except watches until cancelled.

    Calls `record_notice` with the id and the state of each completion notice.
    """
    while True:
        request = await platform.requests.get()
        for line in request.body.decode().split("\n"):
            if request.target == "/v1/notices" and line.strip():
                notice = json.loads(line)
                record_notice(notice["id"], notice["state"])
        request.answer(204)


def list_line(seq: int, *hosts: dict[str, Any], whole: bool = False) -> str:
    """Returns the line of a watch event with these hosts; `whole` marks a snapshot."""
    return json.dumps({"seq": seq, "whole": whole, "hosts": hosts}) + "\n"


def send_watch_line(watch: Request, seq: int, *hosts: dict[str, Any], whole: bool = False) -> None:
    """Sends a watch event as one chunk of a watch response."""
    text = list_line(seq, *hosts, whole=whole)
    watch.write(f"{len(text):x}\r\n{text}\r\n")


def host(dial: str, name: str = "r", **changes: object) -> dict[str, Any]:
    """Returns the discovery entry of a ready endpoint, with `changes` applied."""
    entry = {"host": name, "dial": dial, "site": "z", "class": "k", "block": 3, "health": "ready", "share": 1}
    return entry | {"born_ms": 0} | changes


def config_json(
    platform: Platform, *hosts: dict[str, Any], mode: str = "on_request", **kind: object
) -> dict[str, Any]:
    """Returns the start configuration of a sender; `kind` changes its message class."""
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
    """A sender that runs in this process."""

    def __init__(self, config: dict[str, Any], state: Path) -> None:
        self.sender = PlatformSender(decode_config(config, state))

    async def __aenter__(self) -> Self:
        await self.sender.start()
        self.task = asyncio.create_task(self.sender.run())
        self.address = self.sender.server.address()
        self.has_ended = False  # set by a test once the sender has ended by itself
        return self

    async def __aexit__(self, *_: object) -> None:
        self.sender.stop(0)
        assert await with_timeout(self.task) == (1 if self.has_ended else 0)

    async def submit(self, name: str, body: bytes = b"x", **headers: str) -> "Reply":
        """Submits a message and returns the reply."""
        return await ask(self.address, message(name, body, **headers))


class World(AsyncExitStack):
    """A receiver, a platform, and a sender that has the receiver as an endpoint."""

    def __init__(self, state: Path, mode: str = "on_request", **kind: object) -> None:
        super().__init__()
        self.state, self.mode, self.kind = state, mode, kind

    async def __aenter__(self) -> Self:
        await super().__aenter__()
        self.receiver = await self.enter_async_context(Peer())
        self.platform = await self.enter_async_context(Platform())
        empty = host(
            "127.0.0.1:9", "d", block=9, health="draining"
        )  # destination 9 is known but has no endpoint
        self.config = config_json(self.platform, host(self.receiver.dial), empty, mode=self.mode, **self.kind)
        if self.mode == "pushed":
            self.platform.agent_list = self.config["known"]
        self.running = await self.enter_async_context(Running(self.config, self.state))
        self.sender, self.submit = self.running.sender, self.running.submit
        return self


class Reply:
    """A received HTTP response."""

    def __init__(self, head: bytes, body: bytes) -> None:
        first, *lines = head.decode("latin-1").rstrip().split("\r\n")
        self.status = int(first.split(" ")[1])
        self.headers = {name.lower(): value.strip() for name, _, value in (x.partition(":") for x in lines)}
        self.body = body


def message(name: str, body: bytes = b"x", **changes: str) -> bytes:
    """Returns the request that submits a message, with header changes; `_` in a name stands for `-`."""
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
    """Reads one response."""
    head = await with_timeout(reader.readuntil(b"\r\n\r\n"))
    reply = Reply(head, b"")
    reply.body = await with_timeout(reader.readexactly(int(reply.headers["content-length"])))
    return reply


async def ask(address: Address, data: bytes) -> Reply:
    """Sends a request on a new connection and returns the reply."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(data)
    try:
        return await read_reply(reader)
    finally:
        writer.close()


def sample_message(name: str = "m1", body: bytes = b"x", until: int = 0) -> Message:
    """Returns a message for destination 3 with the deadline `until`."""
    return Message(name, "c", 3, until, "", "", f"key of {name}", False, body)


async def call(address: Address, method: str, path: str) -> Reply:
    """Sends an operator's request and returns the reply."""
    return await ask(address, f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())


class HeldConnection:
    """A client connection that a test keeps open."""

    @classmethod
    async def open(cls, server: Server, data: bytes = b"") -> "HeldConnection":
        """Connects, sends `data` and waits until the server has accepted the connection."""
        held, seen = cls(), server.accepted
        held.reader, held.writer = await asyncio.open_connection(*server.address())
        held.writer.write(data)
        while server.accepted == seen:
            await next_iteration()
        return held

    async def read_to_end(self) -> bytes:
        """Returns the data received until the server closes the connection; empty after a reset."""
        try:
            return await with_timeout(self.reader.read())
        except ConnectionResetError:
            return b""
