"""`message-sender demo`: one sender between stand-ins, through a calm stretch, an outage and a return."""

import asyncio
import contextlib
import io
import logging
import math
import random
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from message_sender.configuration import general
from message_sender.core.ports import Completion
from message_sender.policy.model import Effect
from message_sender.service.standalone import CompletionWriter, StandaloneSender
from message_sender.testbed.history import History, MessageAdmitted, MessageCompleted, MessageRejected, Outage
from message_sender.testbed.history_checker import ClassRule, HistoryChecker, Rules, Violation
from message_sender.testbed.http import HttpClient, HttpEndpoint
from message_sender.testbed.running import running
from message_sender.testbed.script import EndpointBehavior, Script, ScriptedAnswer

CALM, OUTAGE, RETURN = 8.0, 7.0, 12.0  # s at the usual pace
DEADLINE, WINDOW, QUIET = 6.0, 5.0, 0.1  # s
CLIENTS = 8
DESTINATIONS = 3
STRUCK = 1  # the destination that goes down
CAPACITY = 60.0  # calls a second that the stand-ins of a destination are taken to bear


@dataclass(frozen=True, slots=True)
class RecordedCommand:
    """A command from outside: when it is due, in s since the first one, and where it goes."""

    due: float
    destination: int
    key: str
    body: bytes


@dataclass(slots=True)
class DemoCounters:
    """What the demo shows."""

    phase: str = "calm"
    sent: int = 0
    turned_away: int = 0
    attempts: int = 0
    held: int = 0
    ends: Counter[str] = field(default_factory=Counter)
    latencies: list[float] = field(default_factory=list)  # s from handing in to the final answer, delivered


def percentile(values: list[float], share: float) -> float:
    """The nearest-rank percentile; 0 where there are no values."""
    ordered = sorted(values)
    return ordered[max(math.ceil(share * len(ordered)) - 1, 0)] if ordered else 0.0


class Demo:
    def __init__(self, pace: float, rate: float, seed: int, given: Sequence[RecordedCommand] = ()) -> None:
        """`given`: commands to hand in, in place of clients of the demo's own."""
        self.given = given
        self.pace, self.rate, self.random = pace, rate, random.Random(seed)
        self.history, self.count = History(), DemoCounters()
        self.handed_in: dict[str, float] = {}
        self.down = False

    def rule(self, message: str) -> ScriptedAnswer | None:
        if self.random.random() < 0.02:
            return ScriptedAnswer(EndpointBehavior.ERROR)
        return None

    def told(self, endpoints: list[HttpEndpoint]) -> general.SenderConfig:
        listed = [
            {"id": each.name, "destination": number // 2, "dial": f"127.0.0.1:{each.port}", "zone": "z"}
            for number, each in enumerate(endpoints)
        ]
        command = {"effect": "keyed", "aim_ms": 4000, "deadline_ms": int(DEADLINE * 1000)}
        command |= {"window_ms": int(WINDOW * 1000), "in_order": True}
        return general.read(
            {
                "name": "demo",
                "classes": {"command": command},
                "endpoints": listed,
                "rules": {"cold_ms": 6000, "key_quiet_ms": int(QUIET * 1000)},
            }
        )

    def heard(self, name: str, end: Completion) -> None:
        now = time.monotonic()
        self.history.record(MessageCompleted(now, name, end.state.value))
        self.count.ends[end.state.value] += 1
        if end.state.value == "delivered":
            self.count.latencies.append(now - self.handed_in[name])

    async def client(self, number: int, address: tuple[str, int], until: float) -> None:
        """One of several, each with keys of its own, so that a key's messages come one after another."""
        client = HttpClient(address)
        pause = CLIENTS / self.rate
        following = time.monotonic() + pause * number / CLIENTS
        while following < until:
            await asyncio.sleep(max(following - time.monotonic(), 0))
            following += pause
            name, key = f"{number}-{self.count.sent}", f"k{number}.{self.random.randrange(3)}"
            await self.hand_in(client, name, key, self.random.randrange(DESTINATIONS))
        client.close()

    async def hand_in_given(self, address: tuple[str, int], until: float) -> None:
        """At their times, whether or not the one before has its answer; those of a key one after another."""
        began = time.monotonic()
        lines: dict[str, asyncio.Task[None]] = {}
        for number, each in enumerate(self.given):
            due = began + each.due * self.pace
            if due > until:
                break
            await asyncio.sleep(max(due - time.monotonic(), 0))
            before = lines.get(each.key) if each.key else None
            key = each.key or f"g{number}"
            lines[key] = asyncio.create_task(self.hand_in_one(address, number, each, key, before))
        await asyncio.gather(*lines.values())

    async def hand_in_one(
        self, address: tuple[str, int], number: int, given: RecordedCommand, key: str,
        before: asyncio.Task[None] | None,
    ) -> None:  # fmt: skip
        if before:
            await before
        client = HttpClient(address)
        destination = given.destination % DESTINATIONS
        await self.hand_in(client, f"g-{number}", key, destination, given.body)
        client.close()

    async def hand_in(
        self, client: HttpClient, name: str, key: str, destination: int, body: bytes = b"start"
    ) -> None:
        self.count.sent += 1
        fields = {
            "X-Correlation-Id": name,
            "X-Service-Class": "command",
            "X-Time-Left": f"{DEADLINE:.3f}",
            "X-Route-To": f"dest={destination}",
            "X-Session-Key": f"{key}.{destination}",
            "Idempotency-Key": f"i{name}",
        }
        self.handed_in[name] = now = time.monotonic()
        status, _ = await client.post("/command", fields, body)
        if status == 202:
            taken = MessageAdmitted(now, name, "command", destination, now + DEADLINE, f"{key}.{destination}")
            self.history.record(taken)
        else:
            self.count.turned_away += 1
            self.history.record(MessageRejected(time.monotonic(), name))

    async def phases(self, endpoints: list[HttpEndpoint]) -> None:
        struck = endpoints[2 * STRUCK : 2 * STRUCK + 2]
        await asyncio.sleep(CALM * self.pace)
        self.count.phase, began = "outage", time.monotonic()
        for each in struck:
            each.is_down = True
            each.reset_connections()
        await asyncio.sleep(OUTAGE * self.pace)
        for each in struck:
            each.is_down = False
        self.count.phase = "cold return"
        self.history.record(Outage(began, time.monotonic(), STRUCK))
        await asyncio.sleep(RETURN * self.pace)
        self.count.phase = "settling"

    async def run(self, show: Callable[[DemoCounters], None]) -> list[Violation]:
        async with contextlib.AsyncExitStack() as stack:
            scripts = [
                Script(rule=self.rule, default=ScriptedAnswer(EndpointBehavior.SERVE, 0.01))
                for _ in range(2 * DESTINATIONS)
            ]
            endpoints = [
                await stack.enter_async_context(HttpEndpoint(f"e{number}", script, self.history))
                for number, script in enumerate(scripts)
            ]
            folder = stack.enter_context(tempfile.TemporaryDirectory())
            sender = StandaloneSender(
                self.told(endpoints), Path(folder), CompletionWriter(io.StringIO(), self.heard)
            )
            async with running(sender):
                await self.play(sender, endpoints, scripts, show)
        return HistoryChecker(self.rules()).check(self.history.events)

    async def play(
        self,
        sender: StandaloneSender,
        endpoints: list[HttpEndpoint],
        scripts: list[Script],
        show: Callable[[DemoCounters], None],
    ) -> None:
        until = time.monotonic() + (CALM + OUTAGE + RETURN) * self.pace
        address = sender.server.address()[:2]
        if self.given:
            work = [asyncio.create_task(self.hand_in_given(address, until))]
        else:
            work = [asyncio.create_task(self.client(number, address, until)) for number in range(CLIENTS)]
        work.append(asyncio.create_task(self.phases(endpoints)))
        last = until + DEADLINE + 1.0
        while time.monotonic() < last:
            await asyncio.sleep(min(0.5, self.pace))
            self.count.held = len(sender.engine.dispatcher.messages)
            self.count.attempts = sum(sum(each.call_counts.values()) for each in scripts)
            show(self.count)
            if all(task.done() for task in work) and not sender.engine.journal.entries:
                break
        await asyncio.gather(*work)

    def rules(self) -> Rules:
        names = [f"e{number}" for number in range(2 * DESTINATIONS)]
        return Rules(
            classes={"command": ClassRule(Effect.KEYED, WINDOW, is_ordered=True)},
            destinations={name: number // 2 for number, name in enumerate(names)},
            capacity=dict.fromkeys(range(DESTINATIONS), CAPACITY),
            key_pause=QUIET,
            slow_start=6.0,
        )


def row(count: DemoCounters) -> list[tuple[str, str]]:
    return [
        ("phase", count.phase),
        ("sent", str(count.sent)),
        ("held", str(count.held)),
        ("calls", str(count.attempts)),
        ("delivered", str(count.ends["delivered"])),
        ("refused", str(count.ends["refused"] + count.turned_away)),
        ("failed", str(count.ends["failed"])),
    ]


@contextlib.contextmanager
def display(plain: bool) -> Iterator[Callable[[DemoCounters], None]]:
    """Something that shows a count: a live table where there is a terminal and the library, else lines."""
    if not plain and sys.stdout.isatty():
        with contextlib.suppress(ImportError):
            from rich.live import Live
            from rich.table import Table

            def table(count: DemoCounters) -> Table:
                made = Table(title="message-sender demo")
                for name, _ in row(count):
                    made.add_column(name, justify="right")
                made.add_row(*(text for _, text in row(count)))
                return made

            with Live(table(DemoCounters()), refresh_per_second=4) as live:
                yield lambda count: live.update(table(count))
            return
    last = [0.0]

    def line(count: DemoCounters) -> None:
        if time.monotonic() - last[0] >= 1.0:
            last[0] = time.monotonic()
            print("  ".join(f"{name} {text}" for name, text in row(count)), flush=True)

    yield line


def report(count: DemoCounters, breaches: list[Violation]) -> None:
    print(f"\n{'sent':12}{count.sent:>8}")
    for name in ("delivered", "refused", "failed"):
        print(f"{name:12}{count.ends[name]:>8}")
    print(f"{'turned away':12}{count.turned_away:>8}")
    print(f"{'calls':12}{count.attempts:>8}")
    for share, name in ((0.5, "p50"), (0.99, "p99")):
        print(f"{'latency ' + name:12}{percentile(count.latencies, share) * 1e3:>8.0f} ms")
    for breach in breaches:
        print(f"broken: {breach.rule}: {breach.text}")
    print("the referee: " + (f"{len(breaches)} rules broken" if breaches else "no rule broken"))


def demo(
    pace: float = 1.0,
    rate: float = 40.0,
    seed: int = 1,
    *,
    plain: bool = False,
    given: Sequence[RecordedCommand] = (),
) -> int:
    """Runs it; 0 if no rule was broken and something was delivered, else 1."""
    logger = logging.getLogger("message_sender")
    level = logger.level
    logger.setLevel(logging.ERROR)  # what the outage makes it say would run through the display
    try:
        return show_demo(Demo(pace, rate, seed, given), plain)
    finally:
        logger.setLevel(level)


def show_demo(shown: Demo, plain: bool) -> int:
    print("one sender, three destinations of two endpoints each; destination 1 goes down and comes back cold")
    with display(plain) as show:
        breaches = asyncio.run(shown.run(show))
    report(shown.count, breaches)
    return 1 if breaches or not shown.count.ends["delivered"] else 0
