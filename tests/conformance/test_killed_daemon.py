"""The daemon without the platform, as a process: SIGKILL in the middle of histories, judged by the
referee."""

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
    lines = ['name = "n"', 'listen = "127.0.0.1:0"']
    for name, kind in CLASSES.items():
        lines += [f"[classes.{name}]", "aim_ms = 2000", f"deadline_ms = {DEADLINE * 1000}"]
        lines += [f"{key} = {json.dumps(value)}" for key, value in kind.items()]
    lines += ["[[endpoints]]", 'id = "c"', "destination = 2", f'dial = "127.0.0.1:{port}"']
    return "\n".join(lines) + "\n"


class Daemon:
    def __init__(self, folder: Path, port: int) -> None:
        self.folder, self.file = folder, folder / "config.toml"
        self.file.write_text(toml(port))
        self.ends: list[dict[str, Any]] = []  # final answers that were told
        self.told = asyncio.Event()

    async def start(self) -> HttpClient:
        words = ["serve", "--config", str(self.file), "--state", str(self.folder / "state")]
        pipe = asyncio.subprocess.PIPE
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "message_sender", *words, cwd=ROOT, stdout=pipe, stderr=pipe
        )
        self.reader = asyncio.create_task(self.read(self.process.stdout))
        assert self.process.stderr is not None
        async with asyncio.timeout(PATIENCE):
            while not (found := re.search(rb"ready on (\S+):(\d+)", await self.process.stderr.readline())):
                assert self.process.returncode is None
        return HttpClient((found[1].decode(), int(found[2])))

    async def end(self, number: int) -> None:
        self.process.send_signal(number)
        await asyncio.wait_for(self.process.wait(), PATIENCE)
        await self.reader

    async def read(self, out: asyncio.StreamReader | None) -> None:
        assert out is not None
        while line := await out.readline():
            self.ends.append(json.loads(line))
            self.told.set()


async def until(event: asyncio.Event, is_so: Callable[[], bool]) -> None:
    """`event` is set whenever something has happened that may have made it so."""
    async with asyncio.timeout(PATIENCE):
        while not is_so():
            event.clear()
            await event.wait()


def has_come(script: Script, goal: int) -> bool:
    return sum(script.call_counts.values()) >= goal


async def hand_in(client: HttpClient, history: History, name: str, kind: str, key: str) -> None:
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
def test_sigkill_in_the_middle_of_a_history(seed: int, tmp_path: Path) -> None:
    async def test() -> None:
        rng, history = random.Random(seed), History()
        called = asyncio.Event()
        acts = {"m3": [ScriptedAnswer(EndpointBehavior.ERROR), ScriptedAnswer(EndpointBehavior.SERVE)]}
        script = Script(
            acts, lambda message: called.set(), default=ScriptedAnswer(EndpointBehavior.SERVE, 0.02)
        )
        names = []
        async with HttpEndpoint("c", script, history) as endpoint:
            daemon = Daemon(tmp_path, endpoint.port)
            for life in range(3):
                client, before = await daemon.start(), sum(script.call_counts.values())
                for _ in range(6):
                    names.append(f"m{len(names)}")
                    kind = rng.choice(list(CLASSES))
                    key = f"{kind}{rng.randrange(2)}" if kind != "safe" else ""
                    await hand_in(client, history, names[-1], kind, key)
                client.close()
                if life < 2:
                    goal = before + rng.randrange(1, 5)
                    await until(called, partial(has_come, script, goal))
                    await daemon.end(signal.SIGKILL)
                    history.record(SenderRestarted(history.clock()))
            await until(daemon.told, lambda: len({each["id"] for each in daemon.ends}) >= len(names))
            await daemon.end(signal.SIGTERM)
        assert daemon.process.returncode == 0
        # A line that was written as the process died may be written once more by the next one.
        ends = list({(each["id"], each["state"]): each for each in daemon.ends}.values())
        assert Counter(each["id"] for each in ends) == Counter(names), "one final answer for each"
        offset = history.clock() - time.time()
        for each in ends:
            history.record(MessageCompleted(each["at"] + offset, each["id"], each["state"]))
        assert HistoryChecker(Rules(KINDS, destinations={"c": 2})).check(history.events) == []

    asyncio.run(asyncio.wait_for(test(), 3 * PATIENCE))
