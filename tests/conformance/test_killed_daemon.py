"""Kills a standalone daemon process with SIGKILL during histories that the history checker then checks."""

import asyncio
import json
import random
import re
import signal
import sys
import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from conformance.sides import PATIENCE
from message_sender.policy.model import Effect
from message_sender.testbed.history import History, MessageAdmitted, MessageCompleted, SenderRestarted
from message_sender.testbed.history_checker import ClassRule, HistoryChecker, Rules
from message_sender.testbed.http import HttpClient, HttpEndpoint
from message_sender.testbed.script import EndpointBehavior, Script, ScriptedAnswer

ROOT = Path(__file__).parent.parent.parent
CLASSES = {
    "keyed": {"effect": "keyed", "window_ms": 6000, "in_order": True},
    "unsafe": {"effect": "unsafe", "in_order": True},
    "safe": {"effect": "safe"},
}
KINDS = {
    "keyed": ClassRule(Effect.KEYED, 6.0, is_ordered=True),
    "unsafe": ClassRule(Effect.UNSAFE, is_ordered=True),
    "safe": ClassRule(),
}
DEADLINE = 8.0


def toml(port: int) -> str:
    """Returns the configuration file of the daemon."""
    lines = ['name = "n"', 'listen = "127.0.0.1:0"']
    for name, kind in CLASSES.items():
        lines += [f"[classes.{name}]", "aim_ms = 2000", f"deadline_ms = {DEADLINE * 1000}"]
        lines += [f"{key} = {json.dumps(value)}" for key, value in kind.items()]
    lines += ["[[endpoints]]", 'id = "c"', "destination = 2", f'dial = "127.0.0.1:{port}"']
    return "\n".join(lines) + "\n"


class Daemon:
    """A daemon process on a folder, which can be killed and started again."""

    def __init__(self, folder: Path, port: int) -> None:
        self.folder, self.file = folder, folder / "config.toml"
        self.file.write_text(toml(port))
        self.ends: list[dict[str, Any]] = []  # the completions that the daemon printed
        self.end_event = asyncio.Event()

    async def start(self) -> HttpClient:
        """Starts a process and returns a client of it once it is ready."""
        arguments = ["serve", "--config", str(self.file), "--state", str(self.folder / "state")]
        pipe = asyncio.subprocess.PIPE
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "message_sender", *arguments, cwd=ROOT, stdout=pipe, stderr=pipe
        )
        self.reader = asyncio.create_task(self.read(self.process.stdout))
        assert self.process.stderr is not None
        async with asyncio.timeout(PATIENCE):
            while not (match := re.search(rb"ready on (\S+):(\d+)", await self.process.stderr.readline())):
                assert self.process.returncode is None
        return HttpClient((match[1].decode(), int(match[2])))

    async def end(self, signal_number: int) -> None:
        """Ends the process with a signal and reads the rest of its output."""
        self.process.send_signal(signal_number)
        await asyncio.wait_for(self.process.wait(), PATIENCE)
        await self.reader

    async def read(self, stdout: asyncio.StreamReader | None) -> None:
        """Collects the completions that the process prints."""
        assert stdout is not None
        while line := await stdout.readline():
            self.ends.append(json.loads(line))
            self.end_event.set()


async def until(event: asyncio.Event, condition: Callable[[], bool]) -> None:
    """Waits for a condition; `event` is set whenever it may have become true."""
    async with asyncio.timeout(PATIENCE):
        while not condition():
            event.clear()
            await event.wait()


def has_received_calls(script: Script, goal: int) -> bool:
    return sum(script.call_counts.values()) >= goal


async def submit(client: HttpClient, history: History, name: str, kind: str, key: str) -> None:
    """Submits a message, which must be admitted, and records it."""
    fields = {
        "X-Correlation-Id": name,
        "X-Service-Class": kind,
        "X-Time-Left": str(DEADLINE),
        "X-Route-To": "dest=2",
        "X-Session-Key": key,
        "Idempotency-Key": name,
    }
    now = history.clock()
    status, _ = await client.post(f"/{kind}", fields, b"x")
    assert status == 202
    history.record(MessageAdmitted(now, name, kind, 2, now + DEADLINE, key))


@pytest.mark.parametrize("seed", range(4))
def test_each_message_has_one_end_after_sigkill_during_a_history(seed: int, tmp_path: Path) -> None:
    async def test() -> None:
        rng, history = random.Random(seed), History()
        call_event = asyncio.Event()
        acts = {"m3": [ScriptedAnswer(EndpointBehavior.ERROR), ScriptedAnswer(EndpointBehavior.SERVE)]}
        script = Script(
            acts, lambda message: call_event.set(), default=ScriptedAnswer(EndpointBehavior.SERVE, 0.02)
        )
        names = []
        async with HttpEndpoint("c", script, history) as endpoint:
            daemon = Daemon(tmp_path, endpoint.port)
            for start in range(3):
                client, before = await daemon.start(), sum(script.call_counts.values())
                for _ in range(6):
                    names.append(f"m{len(names)}")
                    kind = rng.choice(list(CLASSES))
                    key = f"{kind}{rng.randrange(2)}" if kind != "safe" else ""
                    await submit(client, history, names[-1], kind, key)
                client.close()
                if start < 2:
                    goal = before + rng.randrange(1, 5)
                    await until(call_event, partial(has_received_calls, script, goal))
                    await daemon.end(signal.SIGKILL)
                    history.record(SenderRestarted(history.clock()))
            await until(daemon.end_event, lambda: len({each["id"] for each in daemon.ends}) >= len(names))
            await daemon.end(signal.SIGTERM)
        assert daemon.process.returncode == 0
        # A completion that was printed while the process was killed may be printed again by the next process.
        ends = list({(each["id"], each["state"]): each for each in daemon.ends}.values())
        assert Counter(each["id"] for each in ends) == Counter(names), "each message has one final state"
        offset = history.clock() - time.time()
        for each in ends:
            history.record(MessageCompleted(each["at"] + offset, each["id"], each["state"]))
        assert HistoryChecker(Rules(KINDS, destinations={"c": 2})).check(history.events) == []

    asyncio.run(asyncio.wait_for(test(), 3 * PATIENCE))
