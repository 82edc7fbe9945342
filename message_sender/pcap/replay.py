"""Recorded requests sent again at their recorded times, whatever becomes of the answers (open loop).

What is sent when is decided by `plan`, which is pure. A request's latency counts from the time at which it
was to go, so that a server that stalls shows in all that had to wait for it, as wrk2 has it.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Protocol

import h11

from message_sender.pcap.capture import CapturedMessage

MOST_OPEN = 256  # connections at once; a request for which there is none is counted and not sent
PATIENCE = 30.0  # s for an answer
#: What frames a message or belongs to one connection; it is told anew.
HOP = frozenset({"content-length", "transfer-encoding", "connection", "keep-alive", "expect", "upgrade"})
IDS = frozenset({"x-correlation-id", "idempotency-key"})


@dataclass(frozen=True, slots=True)
class Planned:
    due: float  # s since the first one
    method: str
    data: bytes


class NewIds:
    """Other ids for those in a capture, the same for the same: what came twice comes twice again."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.known: dict[str, str] = {}

    def __call__(self, name: str) -> str:
        if name not in self.known:
            self.known[name] = f"{self.random.getrandbits(64):016x}"
        return self.known[name]


def plan(
    found: Iterable[CapturedMessage], speed: float = 1.0, new_ids: NewIds | None = None
) -> Iterator[Planned]:
    """What to send, and when. A request that the capture does not hold whole is left out; where its clock
    went back, a request is due with the one before it."""
    first, last = None, 0.0
    for each in found:
        message = each.message
        if not message.is_complete:
            continue
        first = message.first_at_ns if first is None else first
        last = max(last, (message.first_at_ns - first) / 1e9 / speed)
        yield Planned(last, message.method, written(each, new_ids))


def written(found: CapturedMessage, new_ids: NewIds | None) -> bytes:
    message = found.message
    lines = [f"{message.method} {message.target} HTTP/1.1"]
    for name, value in message.headers:
        if new_ids and name.lower() in IDS:
            value = new_ids(value)
        if name.lower() not in HOP:
            lines.append(f"{name}: {value}")
    if message.body or message.method in ("POST", "PUT", "PATCH"):
        lines.append(f"Content-Length: {len(message.body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + message.body


class Histogram(Protocol):
    """As of the library hdrhistogram: whole microseconds."""

    def record_value(self, value: int) -> bool: ...


@dataclass(slots=True)
class Outcome:
    """What came of a replay. `late`: the most by which a request went after its time, in s."""

    sent: int = 0
    not_sent: int = 0
    late: float = 0.0
    answers: Counter[str] = field(default_factory=Counter)  # by status, or by what went wrong


class Line(Protocol):
    """One connection to the server under test."""

    async def ask(self, planned: Planned) -> int:
        """The status of the answer. Raises OSError where the connection breaks, TimeoutError for none."""

    def usable(self) -> bool:
        """Whether another request may go on it."""

    def close(self) -> None: ...


class HttpLine:
    """A connection over TCP."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.good = True

    @classmethod
    async def open(cls, host: str, port: int) -> "HttpLine":
        return cls(*await asyncio.open_connection(host, port))

    async def ask(self, planned: Planned) -> int:
        self.good = False
        self.writer.write(planned.data)
        codec = h11.Connection(h11.CLIENT)
        codec.send(h11.Request(method=planned.method, target="/", headers=[("Host", "x")]))
        codec.send(h11.EndOfMessage())
        status = 0
        try:
            async with asyncio.timeout(PATIENCE):
                while not isinstance(event := codec.next_event(), h11.EndOfMessage):
                    if event is h11.NEED_DATA:
                        codec.receive_data(await self.reader.read(65536))
                    elif isinstance(event, h11.Response):
                        status = event.status_code
                    elif isinstance(event, h11.ConnectionClosed):
                        raise ConnectionResetError("closed without an answer")
        except h11.RemoteProtocolError as error:
            raise ConnectionResetError(str(error)) from None
        self.good = codec.their_state is h11.DONE and not codec.trailing_data[0]
        return status

    def usable(self) -> bool:
        return self.good and not (self.reader.at_eof() or self.writer.is_closing())

    def close(self) -> None:
        self.writer.close()


class Replay:
    """Sends what is planned over as many connections as its answers keep busy, `MOST_OPEN` at the most."""

    def __init__(self, open_line: Callable[[], Awaitable[Line]], latencies: Histogram | None = None) -> None:
        self.open_line, self.latencies = open_line, latencies
        self.outcome = Outcome()
        self.idle: list[Line] = []
        self.open = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self, planned: Iterable[Planned]) -> Outcome:
        """Returns once the last answer is here or given up."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        for each in planned:
            due = began + each.due
            if (wait := due - loop.time()) > 0:
                await asyncio.sleep(wait)
            else:
                await asyncio.sleep(0)  # answers have their turn, also where all are due at once
            self.outcome.late = max(self.outcome.late, loop.time() - due)
            self.begin(each, due)
        await asyncio.gather(*self.tasks)
        for line in self.idle:
            line.close()
        return self.outcome

    def begin(self, planned: Planned, due: float) -> None:
        if not self.idle and self.open >= MOST_OPEN:
            self.outcome.not_sent += 1
            return
        self.outcome.sent += 1
        line = self.idle.pop() if self.idle else None
        self.open += line is None
        task = asyncio.get_running_loop().create_task(self.send(planned, due, line))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def send(self, planned: Planned, due: float, line: Line | None) -> None:
        """A request is never sent twice: on a kept connection that broke it counts as broken."""
        loop = asyncio.get_running_loop()
        try:
            line = line or await self.open_line()
            status = await line.ask(planned)
            self.outcome.answers[str(status)] += 1
            if self.latencies:
                self.latencies.record_value(max(round((loop.time() - due) * 1e6), 1))
        except TimeoutError:
            self.outcome.answers["no answer"] += 1
        except OSError as error:
            self.outcome.answers[type(error).__name__] += 1
        if line is not None and line.usable():
            self.idle.append(line)
            return
        self.open -= 1
        if line is not None:
            line.close()
