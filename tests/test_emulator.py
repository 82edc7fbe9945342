"""Simulated runs of a sender: reproducible to the byte, isolated from the system, searched for defects."""

import asyncio
import dataclasses
import itertools
import json
import os
import subprocess
import sys
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from message_sender.cli import main
from message_sender.core.attempts import Attempts
from message_sender.core.engine import Engine
from message_sender.emulator import search, shrink, simulated_run
from message_sender.emulator.isolation import sealed
from message_sender.emulator.loop import (
    LIVELOCK_ITERATIONS,
    DeadlockError,
    EmulationError,
    LivelockError,
    VirtualLoop,
)
from message_sender.journal.process_journal import Journal
from message_sender.policy.breaker import Breaker
from message_sender.policy.endpoints import EndpointRegistry
from message_sender.policy.pending import PendingQueue
from message_sender.policy.state_transfer import StateImporter

RUNS = 60


def test_runs_violate_no_rule_and_messages_end_in_every_state() -> None:
    results = list(search.run_seeds(0, RUNS, 1))
    assert [each for each in results if each.has_failed()] == []
    ends = {state for each in results for state in each.ends}
    assert ends >= {"delivered", "refused", "failed"} and sum(each.kills for each in results) > RUNS // 4


@pytest.mark.parametrize("hash_seed", ["1", "2"])
def test_a_seed_gives_the_same_trace_in_any_process(hash_seed: str, tmp_path: Path) -> None:
    """Another hash seed would show a dependency on the order of sets."""
    code = (
        "from message_sender.emulator.simulated_run import simulate; import hashlib; "
        "lines = (line for seed in range(20) for line in simulate(seed).trace); "
        "print(hashlib.sha256('\\n'.join(lines).encode()).hexdigest())"
    )
    environment = os.environ | {"PYTHONHASHSEED": hash_seed}
    command = [sys.executable, "-c", code]
    out = subprocess.run(
        command, env=environment, capture_output=True, check=True, text=True, cwd=ROOT
    ).stdout
    expected = [line for seed in range(20) for line in simulated_run.simulate(seed).trace]
    assert out.strip() == digest(expected)


ROOT = Path(__file__).parent.parent


def digest(lines: list[str]) -> str:
    import hashlib

    return hashlib.sha256("\n".join(lines).encode()).hexdigest()


# Planted defects: each disables a check of the code.


def allow_repeat(self: PendingQueue, now: float, message: Any, sent: Any) -> bool:  # noqa: ANN401
    return True


def allow_rejection(self: PendingQueue, message: Any) -> bool:  # noqa: ANN401
    return True


def skip_key_pause(self: PendingQueue, key: str) -> None:
    pass


def allow_any_order(self: PendingQueue, message: Any) -> bool:  # noqa: ANN401
    return True


def allow_send(self: Attempts, endpoint: str, name: str) -> bool:
    return True


def ignore_removal(self: EndpointRegistry, endpoint: Any) -> None:  # noqa: ANN401
    pass


def skip_attempt_record(self: Journal, name: str, number: int, attempt: Any) -> bool:  # noqa: ANN401
    return True


def skip_message_record(self: Journal, message: Any) -> bool:  # noqa: ANN401
    from message_sender.journal.entries import JournalEntry

    self.entries[message.id] = JournalEntry(message)
    return True


def ignore_early_retry_after(self: Engine, endpoint: str, wait: int) -> None:
    pass


def skip_slow_start(self: Breaker, now: int) -> float:
    return 0.0


original_restore_message = StateImporter.restore_message


def restore_without_outcomes(self: StateImporter, message: Any) -> None:  # noqa: ANN401
    original_restore_message(self, dataclasses.replace(message, outcomes=()))


def skip_expiry(self: PendingQueue) -> None:
    pass


DEFECTS: dict[str, tuple[Any, str, Callable[..., Any], set[str]]] = {
    "messages that may have run are sent again": (
        PendingQueue,
        "may_repeat_at",
        allow_repeat,
        {"no effect twice"},
    ),
    "messages that may have run are rejected": (
        PendingQueue,
        "may_reject",
        allow_rejection,
        {"no effect twice"},
    ),
    "keys are not paused": (PendingQueue, "pause_key", skip_key_pause, {"order"}),
    "messages of a key are sent concurrently": (PendingQueue, "is_next_of_key", allow_any_order, {"order"}),
    "waits and drains are ignored while a call connects": (Attempts, "may_send", allow_send, {"waits"}),
    "draining endpoints are not removed": (EndpointRegistry, "remove_endpoint", ignore_removal, {"drains"}),
    "attempts are not recorded": (
        Journal,
        "record_attempt",
        skip_attempt_record,
        {"no effect twice", "order"},
    ),
    "messages are not recorded": (Journal, "record_accepted", skip_message_record, {"one end"}),
    "a Retry-After applies only at the end of its attempt": (
        Engine,
        "retry_after_received",
        ignore_early_retry_after,
        {"waits"},
    ),
    "a recovered destination gets full load at once": (Breaker, "warm_up_gap", skip_slow_start, {"cold"}),
    "outcomes are not restored after a restart": (
        StateImporter,
        "restore_message",
        restore_without_outcomes,
        {"cold"},
    ),
    "messages do not expire at their deadline": (PendingQueue, "expire_due", skip_expiry, {"one end"}),
}
#: Number of runs in which each planted defect must be found.
MAX_RUNS = 150


@pytest.mark.parametrize("name", DEFECTS)
def test_a_planted_defect_is_found(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    owner, attribute, defect, rules = DEFECTS[name]
    monkeypatch.setattr(owner, attribute, defect)
    for result in search.run_seeds(0, MAX_RUNS, 1):
        if {each.rule for each in result.breaches} & rules:
            return
    raise AssertionError(f"not found in {MAX_RUNS} runs")


# The loop and the isolation.


def run(work: Callable[[VirtualLoop], Any]) -> Any:  # noqa: ANN401
    loop = VirtualLoop(5.0)
    try:
        return loop.run_until_complete(work(loop))
    finally:
        loop.close()


def test_time_jumps_to_the_next_timer_and_simultaneous_timers_have_a_fixed_order() -> None:
    """The order is the standard loop's own: not that of creation, but always the same."""

    async def work(loop: VirtualLoop) -> list[Any]:
        seen: list[Any] = []
        for each in range(5):
            loop.call_later(86_400.0, seen.append, each)
        passed = loop.create_future()
        loop.call_later(30 * 86_400.0, passed.set_result, None)
        await passed
        return [*seen, loop.time()]

    first = run(work)
    assert first == run(work) and set(first) == {0, 1, 2, 3, 4, 5.0 + 30 * 86_400.0}


def test_deadlocks_and_livelocks_are_reported() -> None:
    async def forever(loop: VirtualLoop) -> None:
        await loop.create_future()

    with pytest.raises(DeadlockError, match="no timer"):
        run(forever)

    async def spin(loop: VirtualLoop) -> None:
        def again() -> None:
            loop.call_soon(again)

        again()
        await loop.create_future()

    with pytest.raises(LivelockError, match=str(LIVELOCK_ITERATIONS + 1)):
        run(spin)


def test_sockets_and_threads_of_the_loop_are_blocked() -> None:
    async def run_in_executor(loop: VirtualLoop) -> None:
        await loop.run_in_executor(None, lambda: None)

    async def connect(loop: VirtualLoop) -> None:
        await asyncio.open_connection("127.0.0.1", 9)

    for work in (connect, run_in_executor):
        with pytest.raises(EmulationError):
            run(work)


@pytest.mark.parametrize(
    "expression",
    [
        *("time.time()", "time.monotonic_ns()", "random.random()", "os.urandom(1)", "uuid.uuid4()"),
        *("threading.Thread().start()", "socket.socket().connect(('127.0.0.1', 9))"),
    ],
)
def test_real_time_randomness_and_threads_fail_with_the_line_of_the_package(expression: str) -> None:
    code = compile(f"import os, random, socket, threading, time, uuid\n\n{expression}", "inner", "exec")
    with sealed(), pytest.raises(EmulationError, match=r"message_sender.core.inner, line 3"):
        exec(code, {"__name__": "message_sender.core.inner"})
    exec(compile("import time\ntime.time()", "outer", "exec"), {"__name__": "message_sender.core.inner"})
    thread = threading.Thread(target=lambda: None)
    with sealed():
        thread.start()  # code outside the package is not restricted
    thread.join()


# The command line.


def test_the_commands_count_runs_and_write_a_trace(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["emulate", "search", "--lives", "6", "--processes", "2", "--json"]) == 0
    totals = json.loads(capsys.readouterr().out)
    assert totals["lives"] == 6 and totals["broken"] == 0 and totals["delivered"] > 100
    files = [tmp_path / "one", tmp_path / "two"]
    for file in files:
        assert main(["emulate", "replay", "--seed", "3", str(file)]) == 0
    assert files[0].read_bytes() == files[1].read_bytes() != b""
    assert main(["emulate", "search", "--lives", "0"]) == 2
    assert main(["emulate", "replay", "--seed", "0", str(tmp_path / "no" / "folder")]) == 1
    assert main(["emulate", "replay", str(files[0])]) == 2


def test_a_run_with_a_defect_is_reduced_to_a_few_events_that_violate_the_same_rule(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(PendingQueue, "pause_key", skip_key_pause)
    (broken,) = itertools.islice((each for each in search.run_seeds(0, MAX_RUNS, 1) if each.has_failed()), 1)
    file, trace = tmp_path / "case.json", tmp_path / "trace"
    assert main(["emulate", "shrink", "--seed", str(broken.seed), str(file)]) == 1
    case = shrink.Case.read(file)
    reduced_run = case.run()
    assert case.rule == "order" and {each.rule for each in reduced_run.breaches} == {"order"}
    assert 2 <= len(reduced_run.scheduled) < 20 and "events left" in capsys.readouterr().out
    for each in reduced_run.scheduled:  # each one is needed
        assert not shrink.breaks(case.seed, case.rule, case.without | {each.number})
    assert main(["emulate", "replay", "--case", str(file), str(trace)]) == 1
    assert trace.read_text().splitlines() == reduced_run.trace
    monkeypatch.undo()
    assert main(["emulate", "replay", "--case", str(file), str(trace)]) == 0
    assert main(["emulate", "shrink", "--seed", str(broken.seed), str(file)]) == 1
    assert "no rule is violated" in capsys.readouterr().err
    for text in ("", "{}", '{"seed": 1, "rule": "order", "without": 3}'):
        file.write_text(text)
        assert main(["emulate", "replay", "--case", str(file), str(trace)]) == 1


def test_runs_that_violate_a_rule_or_fail_are_reported(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(PendingQueue, "pause_key", skip_key_pause)
    assert main(["emulate", "search", "--lives", "20"]) == 1
    assert "order: " in capsys.readouterr().out
    monkeypatch.setattr(Engine, "submit", lambda *_: asyncio.get_running_loop().call_soon(1 / 0))
    assert main(["emulate", "search", "--lives", "1"]) == 1
    assert "ZeroDivisionError" in capsys.readouterr().out
