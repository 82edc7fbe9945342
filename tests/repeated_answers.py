"""Stand-ins that write some of their answers twice, and a load whose history the checker judges."""

import asyncio
import contextlib
import json
import random
import time
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from peers import CLASS, Request, config_json, host
from peers import Platform as Discovery
from sender_processes import Platform as SenderHost

from message_sender.policy.model import Effect
from message_sender.testbed.history import (
    History,
    MessageAdmitted,
    MessageCompleted,
    SenderRestarted,
    add_deliveries,
)
from message_sender.testbed.history_checker import ClassRule, HistoryChecker, Rules, Violation
from message_sender.testbed.http import HttpClient, HttpEndpoint
from message_sender.testbed.script import EndpointBehavior, Script, ScriptedAnswer

TIME_LEFT_S = 1.5
WINDOW_S = 5.0
KEY_PAUSE_S = 0.1
POLL_S = 0.002
SERVICES = [
    CLASS
    | {"name": "keyed", "semantics": "by_key", "dedup_window": int(WINDOW_S * 1e6), "key_scope": "zone"},
    CLASS | {"name": "once", "semantics": "once"},
    CLASS | {"name": "ordered", "semantics": "once", "serial_by_key": True},
    CLASS | {"name": "safe"},
]
CLASS_RULES = {
    "keyed": ClassRule(Effect.KEYED, WINDOW_S, is_zonal=True),
    "once": ClassRule(Effect.UNSAFE),
    "ordered": ClassRule(Effect.UNSAFE, is_ordered=True),
    "safe": ClassRule(),
}
ENDPOINTS = {"r1": ("z", 3), "r2": ("y", 3), "r3": ("z", 4), "r4": ("y", 4)}  # zone and destination by name
UNREACHABLE = 9  # a destination without an endpoint
NOTICE_STATES = {"returned": "refused", "failed": "failed"}


@dataclass
class AnswerCopies:
    """Which answers are written twice, and how much later the second copy comes.

    Attributes:
        rng: Chooses the answers and the delays.
        delay_s: The shortest and the longest delay, in seconds.
        share: The share of the answers that are written twice.
        copied: The number of second copies that were written.
        dropped: The number of second copies whose connection had ended.
    """

    rng: random.Random
    delay_s: tuple[float, float]
    share: float = 0.3
    copied: int = field(default=0, init=False)
    dropped: int = field(default=0, init=False)

    def write(self, writer: asyncio.StreamWriter, answer: bytes) -> None:
        """Writes an answer, and its second copy later if it is chosen."""
        writer.write(answer)
        if self.rng.random() < self.share:
            asyncio.get_running_loop().call_later(self.rng.uniform(*self.delay_s), self.copy, writer, answer)

    def copy(self, writer: asyncio.StreamWriter, answer: bytes) -> None:
        """Writes the second copy, unless the connection has ended."""
        if writer.transport.is_closing():
            self.dropped += 1
        else:
            self.copied += 1
            writer.write(answer)


class RepeatingEndpoint(HttpEndpoint):
    """An endpoint that writes some of its answers twice."""

    def __init__(self, name: str, script: Script, history: History, copies: AnswerCopies) -> None:
        super().__init__(name, script, history)
        self.copies = copies

    async def serve_for(self, seconds: float, reader: asyncio.StreamReader) -> None:
        """Works on a call until its time is over, or the sender gives it up by closing its connection."""
        ends_at = time.monotonic() + seconds
        while not reader.at_eof() and (left := ends_at - time.monotonic()) > 0:
            await asyncio.sleep(min(left, POLL_S))

    def write_answer(self, writer: asyncio.StreamWriter, answer: bytes) -> None:
        self.copies.write(writer, answer)


def answers_of(rng: random.Random) -> Callable[[str], ScriptedAnswer]:
    """Returns a rule that serves nine of ten calls within 20 to 120 ms and rejects the others."""

    def choose(_message: str) -> ScriptedAnswer:
        if rng.random() < 0.1:
            return ScriptedAnswer(EndpointBehavior.FULL)
        return ScriptedAnswer(EndpointBehavior.SERVE, rng.uniform(0.02, 0.12))

    return choose


class Load:
    """A sender process, endpoints that repeat answers, clients, and the history.

    Attributes:
        copies: The answers that endpoints write twice.
        history: What endpoints, platform and clients observed.
    """

    def __init__(
        self, folder: Path, seed: int, delay_s: tuple[float, float], destinations: tuple[int, ...] = (3, 4)
    ) -> None:
        self.folder, self.destinations = folder, destinations
        self.rng = random.Random(seed)
        self.copies = AnswerCopies(self.rng, delay_s)
        self.history = History()
        self.script = Script(rule=answers_of(self.rng))
        self.time_left_s = TIME_LEFT_S
        self.stack = AsyncExitStack()
        self.endpoints: list[HttpEndpoint] = []

    @asynccontextmanager
    async def running(self) -> AsyncIterator["Load"]:
        """Starts endpoints, platform and sender."""
        async with self.stack as stack:
            hosts = [host("127.0.0.1:9", "d", block=UNREACHABLE, health="draining")]
            for name, (zone, destination) in ENDPOINTS.items():
                endpoint = RepeatingEndpoint(name, self.script, self.history, self.copies)
                self.endpoints.append(await stack.enter_async_context(endpoint))
                hosts.append(host(f"127.0.0.1:{endpoint.port}", name, site=zone, block=destination))
            discovery = await stack.enter_async_context(Discovery())
            notices = asyncio.create_task(self.answer_platform_requests(discovery))
            stack.callback(notices.cancel)
            state = self.folder / "state"
            state.mkdir()
            self.host = await stack.enter_async_context(SenderHost(state, self.config(discovery, hosts)))
            await self.start_sender()
            yield self

    async def start_sender(self, clock_step_s: float | None = None) -> None:
        """Starts a process of the sender, whose wall clock may be stepped."""
        self.sender = await self.host.start(clock_step_s=clock_step_s)
        log = asyncio.create_task(self.read_log())
        self.stack.callback(log.cancel)

    async def kill_sender(self) -> None:
        """Kills the process."""
        self.sender.kill()
        await self.sender.wait_for_exit()
        self.history.record(SenderRestarted(self.history.clock()))

    async def read_log(self) -> None:
        """Reads the sender's log, so that the pipe never fills up."""
        sender = self.sender
        assert sender.process.stderr is not None
        while line := await sender.process.stderr.readline():
            sender.lines.append(line.decode())

    def config(self, discovery: Discovery, hosts: list[dict[str, Any]]) -> dict[str, Any]:
        """Returns the configuration of the sender process."""
        config = config_json(discovery, *hosts)
        config["settings"]["services"] = SERVICES
        config["settings"]["safety"]["key_quiet"] = int(KEY_PAUSE_S * 1e6)
        return config

    async def answer_platform_requests(self, discovery: Discovery) -> None:
        """Answers posts of notices, some of them twice; one in ten is rejected and not recorded."""
        while True:
            request = await discovery.requests.get()
            status = 503 if self.rng.random() < 0.1 else 204
            if status == 204:
                self.record_notices(request)
            answer = f"HTTP/1.1 {status} It\r\nContent-Length: 0\r\n\r\n".encode()
            self.copies.write(request.writer, answer)

    def record_notices(self, request: Request) -> None:
        """Records the notices of a post."""
        for line in request.body.decode().splitlines():
            notice = json.loads(line)
            state = NOTICE_STATES[notice["state"]]
            self.history.record(MessageCompleted(self.history.clock(), notice["id"], state))

    async def run_clients(self, clients: int, messages: int, pause_s: float) -> None:
        """Lets each client submit its messages one after another, with random pauses in between."""
        await asyncio.gather(*(self.run_client(number, messages, pause_s) for number in range(clients)))

    async def run_client(self, number: int, messages: int, pause_s: float) -> None:
        """Submits the messages of one client; those of an ordered class have the client's key."""
        client = HttpClient(self.host.address)
        self.stack.callback(client.close)
        for index in range(messages):
            service = self.rng.choice(SERVICES)["name"]
            key = f"key{number}" if service == "ordered" else ""
            await self.submit(client, f"m{number}-{index}", service, key)
            await asyncio.sleep(self.rng.uniform(0, 2 * pause_s))

    async def submit(self, client: HttpClient, message: str, service: str, key: str) -> None:
        """Submits a message and records it if it is accepted."""
        destination = self.destinations[0] if key else self.rng.choice(self.destinations)
        fields = {
            "X-Correlation-Id": message,
            "X-Service-Class": service,
            "X-Time-Left": str(self.time_left_s),
            "X-Route-To": f"dest={destination}",
            "X-Session-Key": key,
            "Idempotency-Key": message,
        }
        at = self.history.clock()
        status, _ = await client.post(f"/{service}", fields, b"x")
        if status == 202:
            admitted = MessageAdmitted(at, message, service, destination, at + self.time_left_s, key)
            self.history.record(admitted)

    async def wait_for_completions(self) -> None:
        """Waits until each accepted message has ended, or is overdue."""
        accepted = {each.message for each in self.history.events if isinstance(each, MessageAdmitted)}
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.time_left_s + 1.0):
                while not accepted <= completed_messages(self.history):
                    await asyncio.sleep(0.02)

    def violations(self) -> list[Violation]:
        """Returns the rules that the history breaks."""
        zones = {name: zone for name, (zone, _) in ENDPOINTS.items()}
        destinations = {name: destination for name, (_, destination) in ENDPOINTS.items()}
        rules = Rules(CLASS_RULES, zones, destinations, key_pause=KEY_PAUSE_S)
        return HistoryChecker(rules).check(ordered_events(self.history), self.history.clock())


def completed_messages(history: History) -> set[str]:
    """Returns the ids of the messages that were delivered, or ended by a notice."""
    return {each.message for each in add_deliveries(history) if isinstance(each, MessageCompleted)}


def ordered_events(history: History) -> Iterator[Any]:
    """Yields the events with all admissions first, in their order: a call may come before the answer."""
    events = add_deliveries(history)
    yield from (each for each in events if isinstance(each, MessageAdmitted))
    yield from (each for each in events if not isinstance(each, MessageAdmitted))


def answer_twice(request: Request, status: int) -> None:
    """Writes an answer and its second copy."""
    request.answer(status)
    request.answer(status)
