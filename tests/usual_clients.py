"""Usual clients beside bad ones: a real sender process under attack, and what its usual clients get."""

import asyncio
import contextlib
import json
import sys
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import cache
from pathlib import Path
from typing import Any

from peers import Peer, Request, answer_notices, config_json, host, message, read_reply
from peers import Platform as Discovery
from sender_processes import Platform, Process
from socket_faults import next_iteration

ANSWER_WAIT_S = 4.0  # only a failing test waits this long
PAUSE_S = 0.05
MESSAGE_END_S = 10.0  # in which each message has its end; its class's deadline is 8 s
BAD_CLIENTS = str(Path(__file__).parent / "bad_clients.py")
FULL_BODY = bytes(range(256)) * 256


class Receiver(Peer):
    """Delivers every message at once, and counts the calls of each."""

    def __init__(self) -> None:
        super().__init__()
        self.bodies: dict[str, bytes] = {}
        self.calls: Counter[str] = Counter()

    def request_received(self, request: Request) -> None:
        self.calls[request.id] += 1
        self.bodies[request.id] = request.body
        request.answer(200)


@cache
def chunks_of_one_byte(body: bytes) -> bytes:
    """Returns a body in chunks of one byte."""
    return b"".join(b"1\r\n%c\r\n" % byte for byte in body) + b"0\r\n\r\n"


def in_chunks_of_one_byte(data: bytes) -> bytes:
    """Returns a request with its body in chunks of one byte."""
    head, _, body = data.partition(b"\r\n\r\n")
    lines = [line for line in head.split(b"\r\n") if not line.lower().startswith(b"content-length")]
    return b"\r\n".join([*lines, b"Transfer-Encoding: chunked", b"", chunks_of_one_byte(body)])


class UsualClient:
    """A client that hands in one message after another on a kept connection.

    Attributes:
        outcomes: Counts of statuses, and of `unanswered` requests.
        accepted: The bodies of the messages that were taken on, by id.
    """

    def __init__(self, address: tuple[str, int], number: int, body: bytes, is_chunked: bool) -> None:
        self.address, self.number, self.body, self.is_chunked = address, number, body, is_chunked
        self.outcomes: Counter[str] = Counter()
        self.accepted: dict[str, bytes] = {}
        self.connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.slowest_s = 0.0

    async def run(self, has_ended: asyncio.Event) -> None:
        while not has_ended.is_set():
            await self.hand_in(f"{self.number}-{sum(self.outcomes.values())}")
            await asyncio.sleep(PAUSE_S)
        self.close()

    async def hand_in(self, name: str) -> None:
        data = message(name, self.body)
        data = in_chunks_of_one_byte(data) if self.is_chunked else data
        began = asyncio.get_running_loop().time()
        status = "unanswered"
        with contextlib.suppress(TimeoutError, OSError, asyncio.IncompleteReadError):
            async with asyncio.timeout(ANSWER_WAIT_S):
                status = await self.exchange(data)
        self.slowest_s = max(self.slowest_s, asyncio.get_running_loop().time() - began)
        self.outcomes[status] += 1
        if status == "202":
            self.accepted[name] = self.body
        elif status == "unanswered":
            self.close()

    async def exchange(self, data: bytes) -> str:
        """Sends a request, again on a new connection if the kept one was closed between requests."""
        if self.connection:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                return await self.exchange_on(*self.connection, data)
        self.close()
        self.connection = await asyncio.open_connection(*self.address)
        return await self.exchange_on(*self.connection, data)

    async def exchange_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, data: bytes
    ) -> str:
        writer.write(data)
        reply = await read_reply(reader)
        if reply.headers.get("connection") == "close":
            self.close()
        return str(reply.status)

    def close(self) -> None:
        if self.connection:
            self.connection[1].transport.abort()
        self.connection = None


def peak_memory(process: Process) -> int:
    """The most memory that a process has held so far, in bytes."""
    status = Path(f"/proc/{process.process.pid}/status").read_text()
    return int(status.partition("VmHWM:")[2].split()[0]) * 1024


def held_memory(process: Process) -> int:
    """The memory that a process holds now, in bytes; 0 after its end."""
    with contextlib.suppress(OSError):
        status = Path(f"/proc/{process.process.pid}/status").read_text()
        return int((status.partition("VmRSS:")[2].split() or ["0"])[0]) * 1024
    return 0


class Attack:
    """A sender process, its receiver and its usual clients.

    Attributes:
        platform: Starts processes of the sender.
        receiver: The receiver of all messages.
        clients: The usual clients.
        notices: The states of the messages that the platform was notified of, by id.
    """

    def __init__(self, platform: Platform, receiver: Receiver) -> None:
        self.platform, self.receiver = platform, receiver
        self.clients: list[UsualClient] = []
        self.notices: dict[str, str] = {}
        self.has_ended = asyncio.Event()
        self.tasks: list[asyncio.Task[Any]] = []

    def add_clients(self, count: int, body: bytes = b"usual", is_chunked: bool = False) -> None:
        """Starts usual clients."""
        for _ in range(count):
            client = UsualClient(self.platform.address, len(self.clients), body, is_chunked)
            self.clients.append(client)
            self.tasks.append(asyncio.create_task(client.run(self.has_ended)))

    async def bad_clients(self, framing: str, count: int, seconds: float) -> Counter[str]:
        """Runs bad clients in a process of their own; returns the counts of their answers."""
        name, port = self.platform.address
        arguments = [BAD_CLIENTS, name, str(port), framing, str(count), str(seconds)]
        process = await asyncio.create_subprocess_exec(
            sys.executable, *arguments, stdout=asyncio.subprocess.PIPE
        )
        output, _ = await process.communicate()
        assert process.returncode == 0
        return Counter(json.loads(output)["answers"])

    async def end(self) -> None:
        """Ends the usual clients, and waits until each message that was taken on has its end."""
        self.has_ended.set()
        await asyncio.gather(*self.tasks)
        async with asyncio.timeout(MESSAGE_END_S):
            while not self.accepted().keys() <= self.receiver.bodies.keys() | self.notices.keys():
                await next_iteration()

    def outcomes(self) -> Counter[str]:
        """What the usual clients got in all."""
        return sum((client.outcomes for client in self.clients), Counter())

    def accepted(self) -> dict[str, bytes]:
        """The bodies of all messages that were taken on, by id."""
        return {name: body for client in self.clients for name, body in client.accepted.items()}


@asynccontextmanager
async def attacked(folder: Path, memory_mb: int, sockets: int = 1024) -> AsyncIterator[Attack]:
    """A platform for the processes of a sender with these limits, and a receiver that delivers all."""
    state = folder / "state"
    state.mkdir()
    async with Receiver() as receiver, Discovery() as discovery:
        config = config_json(discovery, host(receiver.dial), semantics="once")
        config["limits"] |= {"memory_mb": memory_mb, "sockets": sockets}
        config["settings"]["limits"] = config["settings"]["limits"] | {"slots": 20, "max_open": 400}
        async with Platform(state, config) as platform:
            attack = Attack(platform, receiver)
            answering = asyncio.create_task(answer_notices(discovery, attack.notices.__setitem__))
            yield attack
            answering.cancel()
