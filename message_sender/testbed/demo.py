"""`message-sender demo`: a sender with stand-in clients and endpoints, through an outage and a slow start."""

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
from message_sender.testbed.http import Address, HttpClient, HttpEndpoint
from message_sender.testbed.in_process_sender import running
from message_sender.testbed.script import EndpointBehavior, Script, ScriptedAnswer

# Durations at pace 1:
CALM_S = 8.0
OUTAGE_S = 7.0
RECOVERY_S = 12.0

DEADLINE_S = 6.0
IDEMPOTENCY_WINDOW_S = 5.0
KEY_PAUSE_S = 0.1
SLOW_START_S = 6.0
CLIENTS = 8
DESTINATIONS = 3
ENDPOINTS_PER_DESTINATION = 2
OUTAGE_DESTINATION = 1
CAPACITY = 60.0  # calls per second that the checker assumes a destination can take
CALL_DURATION_S = 0.01
ERROR_SHARE = 0.02
REFRESH_INTERVAL_S = 0.5
PLAIN_INTERVAL_S = 1.0  # between two lines of the plain display

ShowCounters = Callable[["DemoCounters"], None]


@dataclass(frozen=True, slots=True)
class RecordedCommand:
    """A command from a recording; `due` is in seconds after the first command."""

    due: float
    destination: int
    key: str
    body: bytes


@dataclass(slots=True)
class DemoCounters:
    """The counters that the demo displays; `latencies` are those of delivered messages, in seconds."""

    phase: str = "calm"
    sent: int = 0
    rejected: int = 0
    attempts: int = 0
    held: int = 0
    ends: Counter[str] = field(default_factory=Counter)
    latencies: list[float] = field(default_factory=list)

    def row(self) -> list[tuple[str, str]]:
        """Return the titles of the display's columns with their values."""
        return [
            ("phase", self.phase),
            ("sent", str(self.sent)),
            ("held", str(self.held)),
            ("calls", str(self.attempts)),
            ("delivered", str(self.ends["delivered"])),
            ("refused", str(self.ends["refused"] + self.rejected)),
            ("failed", str(self.ends["failed"])),
        ]


def percentile(values: list[float], share: float) -> float:
    """Return the nearest-rank percentile; 0 if there are no values."""
    ordered = sorted(values)
    return ordered[max(math.ceil(share * len(ordered)) - 1, 0)] if ordered else 0.0


class Demo:
    """One run of the demo: a sender, its clients and stand-in endpoints of three destinations."""

    def __init__(self, pace: float, rate: float, seed: int, commands: Sequence[RecordedCommand] = ()) -> None:
        """Create a run.

        Args:
            pace: The factor by which the duration of each phase is multiplied.
            rate: The messages per second that the clients of the demo submit.
            seed: The seed of all random choices.
            commands: Recorded commands to submit in place of generated messages.
        """
        self.pace = pace
        self.rate = rate
        self.rng = random.Random(seed)
        self.commands = commands
        self.history = History()
        self.counters = DemoCounters()
        self.submitted_at: dict[str, float] = {}

    def choose_answer(self, message: str) -> ScriptedAnswer | None:
        """Return an error for a small share of the calls, and None for all others."""
        if self.rng.random() < ERROR_SHARE:
            return ScriptedAnswer(EndpointBehavior.ERROR)
        return None

    def sender_config(self, endpoints: list[HttpEndpoint]) -> general.SenderConfig:
        """Return the configuration of a sender that lists these endpoints."""
        listed = [
            {
                "id": endpoint.name,
                "destination": number // ENDPOINTS_PER_DESTINATION,
                "dial": f"127.0.0.1:{endpoint.port}",
                "zone": "z",
            }
            for number, endpoint in enumerate(endpoints)
        ]
        command = {
            "effect": "keyed",
            "aim_ms": 4000,
            "deadline_ms": int(DEADLINE_S * 1000),
            "window_ms": int(IDEMPOTENCY_WINDOW_S * 1000),
            "in_order": True,
        }
        return general.read(
            {
                "name": "demo",
                "classes": {"command": command},
                "endpoints": listed,
                "rules": {"cold_ms": int(SLOW_START_S * 1000), "key_quiet_ms": int(KEY_PAUSE_S * 1000)},
            }
        )

    def record_completion(self, name: str, completion: Completion) -> None:
        """Record and count the completion of a message."""
        now = time.monotonic()
        state = completion.state.value
        self.history.record(MessageCompleted(now, name, state))
        self.counters.ends[state] += 1
        if state == "delivered":
            self.counters.latencies.append(now - self.submitted_at[name])

    async def run_client(self, number: int, address: Address, until: float) -> None:
        """Submit messages one after another until `until`; each client has its own ordering keys."""
        client = HttpClient(address)
        interval = CLIENTS / self.rate
        due = time.monotonic() + interval * number / CLIENTS
        while due < until:
            await asyncio.sleep(max(due - time.monotonic(), 0))
            due += interval
            name = f"{number}-{self.counters.sent}"
            key = f"k{number}.{self.rng.randrange(3)}"
            await self.submit(client, name, key, self.rng.randrange(DESTINATIONS))
        client.close()

    async def submit_commands(self, address: Address, until: float) -> None:
        """Submit the recorded commands at their times, but commands of one key only one after another."""
        started_at = time.monotonic()
        last_of_key: dict[str, asyncio.Task[None]] = {}
        for number, command in enumerate(self.commands):
            due = started_at + command.due * self.pace
            if due > until:
                break
            await asyncio.sleep(max(due - time.monotonic(), 0))
            before = last_of_key.get(command.key) if command.key else None
            key = command.key or f"g{number}"
            work = self.submit_command(address, number, command, key, before)
            last_of_key[key] = asyncio.create_task(work)
        await asyncio.gather(*last_of_key.values())

    async def submit_command(
        self,
        address: Address,
        number: int,
        command: RecordedCommand,
        key: str,
        before: asyncio.Task[None] | None,
    ) -> None:
        """Submit a recorded command once the task `before`, the previous command of its key, has ended."""
        if before:
            await before
        client = HttpClient(address)
        destination = command.destination % DESTINATIONS
        await self.submit(client, f"g-{number}", key, destination, command.body)
        client.close()

    async def submit(
        self, client: HttpClient, name: str, key: str, destination: int, body: bytes = b"start"
    ) -> None:
        """Submit a message, and record whether it was admitted."""
        self.counters.sent += 1
        ordering_key = f"{key}.{destination}"
        fields = {
            "X-Correlation-Id": name,
            "X-Service-Class": "command",
            "X-Time-Left": f"{DEADLINE_S:.3f}",
            "X-Route-To": f"dest={destination}",
            "X-Session-Key": ordering_key,
            "Idempotency-Key": f"i{name}",
        }
        self.submitted_at[name] = now = time.monotonic()
        status, _ = await client.post("/command", fields, body)
        if status == 202:
            deadline = now + DEADLINE_S
            self.history.record(MessageAdmitted(now, name, "command", destination, deadline, ordering_key))
        else:
            self.counters.rejected += 1
            self.history.record(MessageRejected(time.monotonic(), name))

    async def run_phases(self, endpoints: list[HttpEndpoint]) -> None:
        """Take one destination down and let it return."""
        first = ENDPOINTS_PER_DESTINATION * OUTAGE_DESTINATION
        affected = endpoints[first : first + ENDPOINTS_PER_DESTINATION]
        await asyncio.sleep(CALM_S * self.pace)
        self.counters.phase = "outage"
        down_at = time.monotonic()
        for endpoint in affected:
            endpoint.is_down = True
            endpoint.reset_connections()
        await asyncio.sleep(OUTAGE_S * self.pace)
        for endpoint in affected:
            endpoint.is_down = False
        self.counters.phase = "recovery"
        self.history.record(Outage(down_at, time.monotonic(), OUTAGE_DESTINATION))
        await asyncio.sleep(RECOVERY_S * self.pace)
        self.counters.phase = "settling"

    async def run(self, show: ShowCounters) -> list[Violation]:
        """Run all phases, and return the violations of the delivery rules."""
        async with contextlib.AsyncExitStack() as stack:
            answer = ScriptedAnswer(EndpointBehavior.SERVE, CALL_DURATION_S)
            scripts = [
                Script(rule=self.choose_answer, default=answer)
                for _ in range(ENDPOINTS_PER_DESTINATION * DESTINATIONS)
            ]
            endpoints = [
                await stack.enter_async_context(HttpEndpoint(f"e{number}", script, self.history))
                for number, script in enumerate(scripts)
            ]
            folder = stack.enter_context(tempfile.TemporaryDirectory())
            completions = CompletionWriter(io.StringIO(), self.record_completion)
            sender = StandaloneSender(self.sender_config(endpoints), Path(folder), completions)
            async with running(sender):
                await self.run_traffic(sender, endpoints, scripts, show)
        return HistoryChecker(self.rules()).check(self.history.events)

    async def run_traffic(
        self,
        sender: StandaloneSender,
        endpoints: list[HttpEndpoint],
        scripts: list[Script],
        show: ShowCounters,
    ) -> None:
        """Run the clients and the phases, and show the counters until every message is completed."""
        until = time.monotonic() + (CALM_S + OUTAGE_S + RECOVERY_S) * self.pace
        address = sender.server.address()[:2]
        if self.commands:
            tasks = [asyncio.create_task(self.submit_commands(address, until))]
        else:
            tasks = [
                asyncio.create_task(self.run_client(number, address, until)) for number in range(CLIENTS)
            ]
        tasks.append(asyncio.create_task(self.run_phases(endpoints)))
        latest = until + DEADLINE_S + 1.0
        while time.monotonic() < latest:
            await asyncio.sleep(min(REFRESH_INTERVAL_S, self.pace))
            self.counters.held = len(sender.engine.dispatcher.messages)
            self.counters.attempts = sum(sum(script.call_counts.values()) for script in scripts)
            show(self.counters)
            if all(task.done() for task in tasks) and not sender.engine.journal.entries:
                break
        await asyncio.gather(*tasks)

    def rules(self) -> Rules:
        """Return the rules against which the history is checked."""
        endpoints = range(ENDPOINTS_PER_DESTINATION * DESTINATIONS)
        return Rules(
            classes={"command": ClassRule(Effect.KEYED, IDEMPOTENCY_WINDOW_S, is_ordered=True)},
            destinations={f"e{number}": number // ENDPOINTS_PER_DESTINATION for number in endpoints},
            capacity=dict.fromkeys(range(DESTINATIONS), CAPACITY),
            key_pause=KEY_PAUSE_S,
            slow_start=SLOW_START_S,
        )


class PlainDisplay:
    """Prints the counters as lines of text."""

    def __init__(self) -> None:
        """Create a display that has not printed a line."""
        self.printed_at = 0.0

    def show(self, counters: DemoCounters) -> None:
        """Print the counters, unless a line was printed less than PLAIN_INTERVAL_S ago."""
        now = time.monotonic()
        if now - self.printed_at >= PLAIN_INTERVAL_S:
            self.printed_at = now
            print("  ".join(f"{name} {text}" for name, text in counters.row()), flush=True)


@contextlib.contextmanager
def live_display() -> Iterator[ShowCounters]:
    """Show the counters as a table on a terminal.

    Raises:
        ImportError: If rich is not installed.
    """
    from rich.live import Live
    from rich.table import Table

    def table(counters: DemoCounters) -> Table:
        columns = Table(title="message-sender demo")
        for name, _ in counters.row():
            columns.add_column(name, justify="right")
        columns.add_row(*(text for _, text in counters.row()))
        return columns

    with Live(table(DemoCounters()), refresh_per_second=4) as live:

        def show(counters: DemoCounters) -> None:
            live.update(table(counters))

        yield show


@contextlib.contextmanager
def display(plain: bool) -> Iterator[ShowCounters]:
    """Show the counters in a live table.

    Lines are printed instead if `plain` is set, if standard output is not a terminal or if rich is missing.
    """
    with contextlib.ExitStack() as stack:
        show: ShowCounters = PlainDisplay().show
        if not plain and sys.stdout.isatty():
            with contextlib.suppress(ImportError):
                show = stack.enter_context(live_display())
        yield show


def print_report(counters: DemoCounters, violations: list[Violation]) -> None:
    """Print the totals of a run and the violations of the delivery rules."""
    print(f"\n{'sent':12}{counters.sent:>8}")
    for name in ("delivered", "refused", "failed"):
        print(f"{name:12}{counters.ends[name]:>8}")
    print(f"{'rejected':12}{counters.rejected:>8}")
    print(f"{'calls':12}{counters.attempts:>8}")
    for share, name in ((0.5, "p50"), (0.99, "p99")):
        print(f"{'latency ' + name:12}{percentile(counters.latencies, share) * 1e3:>8.0f} ms")
    for violation in violations:
        print(f"violation: {violation.rule}: {violation.text}")
    print("history check: " + (f"{len(violations)} violations" if violations else "no violations"))


def demo(
    pace: float = 1.0,
    rate: float = 40.0,
    seed: int = 1,
    *,
    plain: bool = False,
    commands: Sequence[RecordedCommand] = (),
) -> int:
    """Run the demo.

    Args:
        pace: The factor by which the duration of each phase is multiplied.
        rate: The messages per second that the clients submit.
        seed: The seed of all random choices.
        plain: Prints the counters as lines even on a terminal.
        commands: Recorded commands to submit in place of the demo's own messages.

    Returns:
        The exit code: 0 if there was no violation and at least one message was delivered, else 1.
    """
    logger = logging.getLogger("message_sender")
    level = logger.level
    logger.setLevel(logging.ERROR)  # warnings about the outage would garble the display
    try:
        return run_and_report(Demo(pace, rate, seed, commands), plain)
    finally:
        logger.setLevel(level)


def run_and_report(run: Demo, plain: bool) -> int:
    """Run a demo with its display, print the report and return the exit code."""
    print("one sender, three destinations of two endpoints each; destination 1 goes down and returns")
    with display(plain) as show:
        violations = asyncio.run(run.run(show))
    print_report(run.counters, violations)
    return 1 if violations or not run.counters.ends["delivered"] else 0
