"""A standalone daemon process is killed with SIGKILL while it delivers; the history must break no rule."""

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

from conformance.sides import TIMEOUT_S
from message_sender.policy.model import Effect
from message_sender.testbed.history import History, MessageAdmitted, MessageCompleted, SenderRestarted
from message_sender.testbed.history_checker import ClassRule, HistoryChecker, Rules
from message_sender.testbed.http import HttpClient, HttpEndpoint
from message_sender.testbed.script import EndpointBehavior, Script, ScriptedAnswer

ROOT = Path(__file__).parent.parent.parent
CLASS_SETTINGS = {
    "keyed": {"effect": "keyed", "window_ms": 6000, "in_order": True},
    "unsafe": {"effect": "unsafe", "in_order": True},
    "safe": {"effect": "safe"},
}
CLASS_RULES = {
    "keyed": ClassRule(Effect.KEYED, 6.0, is_ordered=True),
    "unsafe": ClassRule(Effect.UNSAFE, is_ordered=True),
    "safe": ClassRule(),
}
DEADLINE_S = 8.0


def build_config(port: int) -> str:
    """Returns the text of the daemon's configuration file."""
    lines = ['name = "n"', 'listen = "127.0.0.1:0"']
    for name, settings in CLASS_SETTINGS.items():
        lines += [f"[classes.{name}]", "aim_ms = 2000", f"deadline_ms = {DEADLINE_S * 1000}"]
        lines += [f"{key} = {json.dumps(value)}" for key, value in settings.items()]
    lines += ["[[endpoints]]", 'id = "c"', "destination = 2", f'dial = "127.0.0.1:{port}"']
    return "\n".join(lines) + "\n"


class Daemon:
    """A daemon process that can be killed and started again on the same folder."""

    def __init__(self, folder: Path, port: int) -> None:
        self.folder, self.config_file = folder, folder / "config.toml"
        self.config_file.write_text(build_config(port))
        self.completions: list[dict[str, Any]] = []  # printed by all processes so far
        self.completion_event = asyncio.Event()

    async def start(self) -> HttpClient:
        """Starts a process and returns a client of it once it is ready."""
        arguments = ["serve", "--config", str(self.config_file), "--state", str(self.folder / "state")]
        pipe = asyncio.subprocess.PIPE
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "message_sender", *arguments, cwd=ROOT, stdout=pipe, stderr=pipe
        )
        self.reader_task = asyncio.create_task(self.read_completions(self.process.stdout))
        assert self.process.stderr is not None
        async with asyncio.timeout(TIMEOUT_S):
            while not (match := re.search(rb"ready on (\S+):(\d+)", await self.process.stderr.readline())):
                assert self.process.returncode is None
        return HttpClient((match[1].decode(), int(match[2])))

    async def stop(self, signal_number: int) -> None:
        """Stops the process with a signal and reads the rest of its output."""
        self.process.send_signal(signal_number)
        await asyncio.wait_for(self.process.wait(), TIMEOUT_S)
        await self.reader_task

    async def read_completions(self, stdout: asyncio.StreamReader | None) -> None:
        """Collects the completions that the process prints."""
        assert stdout is not None
        while line := await stdout.readline():
            self.completions.append(json.loads(line))
            self.completion_event.set()


async def wait_until(event: asyncio.Event, condition: Callable[[], bool]) -> None:
    """Waits for a condition; `event` is set whenever it may have become true."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            event.clear()
            await event.wait()


def has_received_calls(script: Script, count: int) -> bool:
    return sum(script.call_counts.values()) >= count


async def submit(client: HttpClient, history: History, message_id: str, message_class: str, key: str) -> None:
    """Submits a message, which must be admitted, and records it."""
    fields = {
        "X-Correlation-Id": message_id,
        "X-Service-Class": message_class,
        "X-Time-Left": str(DEADLINE_S),
        "X-Route-To": "dest=2",
        "X-Session-Key": key,
        "Idempotency-Key": message_id,
    }
    now = history.clock()
    status, _ = await client.post(f"/{message_class}", fields, b"x")
    assert status == 202
    history.record(MessageAdmitted(now, message_id, message_class, 2, now + DEADLINE_S, key))


@pytest.mark.parametrize("seed", range(4))
def test_each_message_has_one_end_after_sigkill_during_a_history(seed: int, tmp_path: Path) -> None:
    async def test() -> None:
        rng, history = random.Random(seed), History()
        call_event = asyncio.Event()
        answers = {"m3": [ScriptedAnswer(EndpointBehavior.ERROR), ScriptedAnswer(EndpointBehavior.SERVE)]}
        script = Script(
            answers, lambda message: call_event.set(), default=ScriptedAnswer(EndpointBehavior.SERVE, 0.02)
        )
        message_ids = []
        async with HttpEndpoint("c", script, history) as endpoint:
            daemon = Daemon(tmp_path, endpoint.port)
            for start in range(3):
                client, before = await daemon.start(), sum(script.call_counts.values())
                for _ in range(6):
                    message_ids.append(f"m{len(message_ids)}")
                    message_class = rng.choice(list(CLASS_SETTINGS))
                    key = f"{message_class}{rng.randrange(2)}" if message_class != "safe" else ""
                    await submit(client, history, message_ids[-1], message_class, key)
                client.close()
                if start < 2:
                    count = before + rng.randrange(1, 5)
                    await wait_until(call_event, partial(has_received_calls, script, count))
                    await daemon.stop(signal.SIGKILL)
                    history.record(SenderRestarted(history.clock()))
            await wait_until(
                daemon.completion_event,
                lambda: len({each["id"] for each in daemon.completions}) >= len(message_ids),
            )
            await daemon.stop(signal.SIGTERM)
        assert daemon.process.returncode == 0
        # A completion that was printed while the process was killed may be printed again by the next process.
        completions = list({(each["id"], each["state"]): each for each in daemon.completions}.values())
        assert Counter(each["id"] for each in completions) == Counter(message_ids), (
            "each message has one final state"
        )
        offset = history.clock() - time.time()
        for each in completions:
            history.record(MessageCompleted(each["at"] + offset, each["id"], each["state"]))
        assert HistoryChecker(Rules(CLASS_RULES, destinations={"c": 2})).check(history.events) == []

    asyncio.run(asyncio.wait_for(test(), 3 * TIMEOUT_S))
