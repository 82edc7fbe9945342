"""Real senders and a destination that goes out and comes back cold: who calls it at its return."""

import asyncio
import contextlib
import math
import random
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from typing import Any

import sender_processes
from helpers import ENV
from peers import Platform, Request, answer_notices, config_json, host, message, send_watch_line

DESTINATION = 2
ENDPOINT = "s-2"
REPLACED = 0  # in place of a signal: a successor takes over while the sender runs
LOAD_S = 12.0  # before the outage
WATCH_S = 8.0  # after it
OUT_S = 8.5
ANSWER_S = 0.08
WINDOW_S = 1.5
SLOW_START_S = 13.0
SLOW_START_FROM = 0.2
FALL_MULTIPLE = 2.0
RESTART_S = 0.6
CLIENT_TIMEOUT_S = 0.4
KEEP_ALIVE_S = 1.0
CONCURRENT_STARTS = 4
DEADLINE_S = 20.0
CLASS = {
    "name": "c",
    "aim": 800_000,
    "deadline": int(DEADLINE_S * 1e6),
    "credit": 1.0,
    "late_worth": 0.1,
    "semantics": "by_key",
    "dedup_window": 20_000_000,
}


class Outage(Enum):
    """How the destination is out."""

    REFUSED = "refused"
    RESET = "reset"
    HUNG = "hung"  # calls are read and not answered, their connections are reset at the return
    SILENT = "silent"  # the system takes calls, which are read at the return
    ERRORS = "errors"
    FULL = "full"
    RETRY_AFTER = "retry-after"


STATUS_LINES = {
    Outage.ERRORS: "500 Error",
    Outage.FULL: "503 Full",
    Outage.RETRY_AFTER: "429 Wait\r\nRetry-After: {wait_s}",
}


@dataclass(frozen=True)
class Plan:
    """One run.

    Attributes:
        outage: How the destination is out.
        rate: Messages a second, over all senders.
        kills: Signals to the first sender: seconds after the begin of the outage, and the signal; `REPLACED`
            stands for a successor that takes over.
        seed: Seed of the times at which messages are submitted.
        announced: The announced rate as a multiple of `rate`.
        has_separate_routes: Whether the destination's endpoint is a route of its own.
        out_s: Length of the outage in seconds.
        effect: The effect of a repeat, as in the settings.
        slots: Calls that a sender may have in flight.
        senders: Number of senders.
        wait_s: The wait that is announced in an outage of the kind `RETRY_AFTER`.
    """

    outage: Outage
    rate: float
    kills: tuple[tuple[float, int], ...] = ()
    seed: int = 1
    announced: float = 1.25
    has_separate_routes: bool = False
    out_s: float = OUT_S
    effect: str = "by_key"
    slots: int = 8
    senders: int = 3
    wait_s: float = 0.5

    def allowed(self, since_return_s: float) -> float:
        """Returns the calls that the rule on cold destinations allows in a window that ends then."""
        warmth = min(SLOW_START_FROM + (1 - SLOW_START_FROM) * since_return_s / SLOW_START_S, 1.0)
        number = FALL_MULTIPLE * 1.25 * self.rate * warmth * WINDOW_S
        factor = 2 if number >= 30 else 3
        return number + factor * math.sqrt(number) + factor


class Incoming(asyncio.Protocol):
    """One connection of a sender to the destination."""

    def __init__(self, destination: "ColdDestination") -> None:
        self.destination = destination
        self.data = b""
        self.calls: list[str] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.destination.connections.add(self)
        if self.destination.outage is Outage.SILENT:
            transport.pause_reading()

    def connection_lost(self, error: Exception | None) -> None:
        self.destination.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        self.data += data
        while (end := self.data.find(b"\r\n\r\n")) >= 0:
            lines = self.data[:end].decode("latin-1").lower().split("\r\n")[1:]
            fields = {name: value.strip() for name, _, value in (each.partition(":") for each in lines)}
            size = end + 4 + int(fields.get("content-length", "0"))
            if len(self.data) < size:
                return
            self.data = self.data[size:]
            self.destination.call_arrived(self, fields["x-correlation-id"])


class ColdDestination:
    """The destination.

    Attributes:
        outage: How it is out; None while it serves.
        calls: Monotonic time and message of each call.
        served: Ids of the messages that were answered 200.
    """

    def __init__(self, wait_s: float) -> None:
        self.wait_s = wait_s
        self.outage: Outage | None = None
        self.connections: set[Incoming] = set()
        self.calls: list[tuple[float, str]] = []
        self.served: dict[str, float] = {}
        self.port = 0
        self.server: asyncio.Server | None = None

    async def listen(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: Incoming(self), "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self) -> None:
        if self.server:
            self.server.close()
        self.server = None
        self.abort_connections()

    def abort_connections(self) -> None:
        for each in list(self.connections):
            each.transport.abort()

    async def go_out(self, outage: Outage) -> None:
        self.outage = outage
        if outage is Outage.REFUSED:
            self.close()
        elif outage is Outage.RESET:
            self.abort_connections()
        elif outage is Outage.SILENT:
            for each in self.connections:
                each.transport.pause_reading()

    async def come_back(self) -> None:
        outage, self.outage = self.outage, None
        if outage is Outage.REFUSED:
            await self.listen()
        elif outage is Outage.HUNG:
            self.abort_connections()
        elif outage is Outage.SILENT:
            for each in self.connections:
                each.transport.resume_reading()

    def call_arrived(self, connection: Incoming, name: str) -> None:
        self.calls.append((time.monotonic(), name))
        if self.outage is None:
            asyncio.get_running_loop().call_later(ANSWER_S, self.answer, connection, name)
        elif self.outage is Outage.RESET:
            connection.transport.abort()
        elif line := STATUS_LINES.get(self.outage):
            connection.transport.write(
                f"HTTP/1.1 {line.format(wait_s=self.wait_s)}\r\nContent-Length: 0\r\n\r\n".encode()
            )

    def answer(self, connection: Incoming, name: str) -> None:
        if self.outage in (Outage.HUNG, Outage.SILENT) or connection.transport.is_closing():
            return
        self.served.setdefault(name, time.monotonic())
        connection.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")


class Discovery(Platform):
    """Lists the destination, keeps watches alive and acknowledges notices."""

    def __init__(self) -> None:
        super().__init__()
        self.hosts: list[dict[str, Any]] = []

    def request_received(self, request: Request) -> None:
        super().request_received(request)
        if "watch" in request.target:
            send_watch_line(request, 41, *self.hosts, whole=True)

    async def keep_alive(self) -> None:
        while True:
            await asyncio.sleep(KEEP_ALIVE_S)
            for watch in self.watched:
                if not watch.writer.transport.is_closing():
                    watch.write("1\r\n\n\r\n")


@dataclass
class Result:
    """What was seen.

    Attributes:
        peak: Calls in the busiest window after the return, relative to what is allowed.
        peak_at_s: The end of that window, seconds after the return.
        calls_by_sender: The calls in that window by sender.
        served: Messages served in the 8 s after the return.
        served_before: Messages served in the last 8 s before the outage.
        slowest_before_s: The 99th percentile of the time from submission to service before the outage.
        accepted: Messages that were accepted.
        twice: Messages that arrived more than once.
        logs: The log lines of each process.
    """

    peak: float
    peak_at_s: float
    calls_by_sender: dict[str, int]
    served: int
    served_before: int
    slowest_before_s: float
    accepted: int
    twice: int
    logs: list[list[str]] = field(default_factory=list)


class ColdFleet:
    """The sender processes with their clients, and the destination."""

    def __init__(self, folder: Path, plan: Plan, starts: asyncio.Semaphore) -> None:
        self.folder, self.plan, self.starts = folder, plan, starts
        self.rng = random.Random(plan.seed)
        self.destination = ColdDestination(plan.wait_s)
        self.senders: list[sender_processes.Platform] = []
        self.alive: list[bool] = [False] * plan.senders
        self.accepted: dict[str, tuple[float, int]] = {}
        self.tasks: list[asyncio.Task[Any]] = []
        self.returned_at = math.inf
        self.out_at = math.inf
        self.restarts: list[asyncio.Task[None]] = []

    def config(self, discovery: Discovery, name: str) -> dict[str, Any]:
        plan = self.plan
        dial = f"127.0.0.1:{self.destination.port}"
        share = plan.announced * plan.rate
        discovery.hosts = [host(dial, ENDPOINT, block=DESTINATION, share=share)]
        config = config_json(discovery, *discovery.hosts)
        settings = config["settings"]
        settings |= {"fleet_size": plan.senders, "weight_kind": "nominal"}
        settings["services"] = [CLASS | {"semantics": plan.effect}]
        settings["safety"] = settings["safety"] | {
            "cold": int(SLOW_START_S * 1e6),
            "cold_from": SLOW_START_FROM,
            "fall_multiple": FALL_MULTIPLE,
            "overload_for": int(WINDOW_S * 1e6),
        }
        settings["specifics"] = ENV["specifics"] | {  # type: ignore[operator]
            "slots": plan.slots,
            "own_limits": [plan.has_separate_routes],
        }
        settings["limits"] = settings["limits"] | {"max_open": 2000}
        return config | {"name": name, "seed": f"{self.rng.getrandbits(64):016x}"}

    def spawn(self, work: Awaitable[None]) -> asyncio.Task[None]:
        task = asyncio.ensure_future(work)
        self.tasks.append(task)
        return task

    async def start_sender(self, number: int) -> None:
        """Starts a process; it may be killed before it is ready, and the next one is then started by that."""
        platform = self.senders[number]
        try:
            process = await platform.start()
        except AssertionError:
            if platform.processes[-1].process.returncode != -signal.SIGKILL:
                raise
            return
        self.spawn(self.drain_log(process))
        self.alive[number] = True

    async def drain_log(self, process: sender_processes.Process) -> None:
        assert process.process.stderr is not None
        while line := (await process.process.stderr.readline()).decode():
            process.lines.append(line)

    async def kill(self, number: int, signal_number: int) -> None:
        if signal_number == REPLACED:
            await self.start_sender(number)
            return
        self.alive[number] = False
        process = self.senders[number].processes[-1]
        process.kill(signal_number)
        if signal_number == signal.SIGTERM:
            await asyncio.sleep(3.7)
            with contextlib.suppress(ProcessLookupError):
                process.kill()
        await process.process.wait()
        await asyncio.sleep(RESTART_S)
        await self.start_sender(number)

    async def run(self) -> Result:
        async with AsyncExitStack() as stack:
            discovery = await stack.enter_async_context(Discovery())
            await self.destination.listen()
            stack.callback(self.destination.close)
            for number in range(self.plan.senders):
                state = self.folder / f"n{number}" / "state"
                state.mkdir(parents=True)
                platform = sender_processes.Platform(state, self.config(discovery, f"n{number}"))
                self.senders.append(await stack.enter_async_context(platform))
            for number in range(self.plan.senders):
                async with self.starts:
                    await self.start_sender(number)
            self.spawn(discovery.keep_alive())
            self.spawn(answer_notices(discovery, lambda *_: None))
            try:
                await self.play()
            finally:
                for task in self.tasks:
                    task.cancel()
                await asyncio.gather(*self.tasks, return_exceptions=True)
        return self.result()

    async def play(self) -> None:
        clients = self.spawn(self.submit_all())
        await asyncio.sleep(LOAD_S)
        self.out_at = time.monotonic()
        await self.destination.go_out(self.plan.outage)
        kills = [self.spawn(self.kill_at(at, number)) for at, number in self.plan.kills]
        await asyncio.sleep(max(self.out_at + self.plan.out_s - time.monotonic(), 0))
        self.returned_at = time.monotonic()
        await self.destination.come_back()
        await asyncio.sleep(WATCH_S)
        for each in (clients, *kills):
            if each.done():
                each.result()

    async def kill_at(self, at: float, signal_number: int) -> None:
        await asyncio.sleep(max(self.out_at + at - time.monotonic(), 0))
        await self.kill(0, signal_number)

    async def submit_all(self) -> None:
        number = 0
        while True:
            await asyncio.sleep(self.rng.expovariate(self.plan.rate))
            number += 1
            sender = self.rng.randrange(self.plan.senders)
            while not self.alive[sender]:
                sender = (sender + 1) % self.plan.senders
            self.spawn(self.submit(f"m{number}", sender))

    async def submit(self, name: str, sender: int) -> None:
        request = message(
            name, X_Route_To=f"dest={DESTINATION}", X_Time_Left=str(DEADLINE_S), X_Session_Key=""
        )
        sent_at = time.monotonic()
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(CLIENT_TIMEOUT_S):
                client = await self.senders[sender].connect()
                try:
                    reply = await client.request(request)
                finally:
                    client.writer.close()
            if reply.status == 202:
                self.accepted[name] = sent_at, sender

    def result(self) -> Result:
        after = [(at, name) for at, name in self.destination.calls if at >= self.returned_at]
        peak, peak_at, busiest = 0.0, 0.0, Counter[str]()
        for at, _ in after:
            window = [name for start, name in after if at - WINDOW_S < start <= at]
            load = len(window) / self.plan.allowed(at - self.returned_at)
            if load > peak:
                peak, peak_at = load, at - self.returned_at
                busiest = Counter(f"n{self.accepted[x][1]}" if x in self.accepted else "?" for x in window)
        served = self.destination.served
        counted = Counter(name for _, name in self.destination.calls)
        delays = sorted(
            at - self.accepted[name][0]
            for name, at in served.items()
            if name in self.accepted and at < self.out_at
        )
        return Result(
            peak=peak,
            peak_at_s=peak_at,
            calls_by_sender=dict(sorted(busiest.items())),
            served=sum(at >= self.returned_at for at in served.values()),
            served_before=sum(self.out_at - WATCH_S <= at < self.out_at for at in served.values()),
            slowest_before_s=delays[int(0.99 * len(delays))] if delays else math.inf,
            accepted=len(self.accepted),
            twice=sum(each > 1 for each in counted.values()),
            logs=[each.lines for sender in self.senders for each in sender.processes],
        )


async def play_all(folder: Path, plans: Sequence[Plan]) -> dict[Plan, Result]:
    """Plays runs side by side, each with processes of its own, of which a few start at a time."""
    starts = asyncio.Semaphore(CONCURRENT_STARTS)
    runs = (ColdFleet(folder / str(number), plan, starts).run() for number, plan in enumerate(plans))
    return dict(zip(plans, await asyncio.gather(*runs), strict=True))
