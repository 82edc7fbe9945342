"""Lives in simulated time: the same to the byte, sealed off from the real world, and a search that finds."""

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

LIVES = 60


def test_lives_break_no_rule_and_see_every_kind_of_end() -> None:
    found = list(search.run_seeds(0, LIVES, 1))
    assert [each for each in found if each.has_failed()] == []
    ends = {state for each in found for state in each.ends}
    assert ends >= {"delivered", "refused", "failed"} and sum(each.kills for each in found) > LIVES // 4


@pytest.mark.parametrize("hashes", ["1", "2"])
def test_a_seed_gives_the_same_bytes_in_any_process(hashes: str, tmp_path: Path) -> None:
    """Also under another seed of the hashes, on which the order of sets would show."""
    code = (
        "from message_sender.emulator.simulated_run import simulate; import hashlib; "
        "lines = (line for seed in range(20) for line in simulate(seed).trace); "
        "print(hashlib.sha256('\\n'.join(lines).encode()).hexdigest())"
    )
    environment = os.environ | {"PYTHONHASHSEED": hashes}
    words = [sys.executable, "-c", code]
    out = subprocess.run(words, env=environment, capture_output=True, check=True, text=True, cwd=ROOT).stdout
    here = [line for seed in range(20) for line in simulated_run.simulate(seed).trace]
    assert out.strip() == digest(here)


ROOT = Path(__file__).parent.parent


def digest(lines: list[str]) -> str:
    import hashlib

    return hashlib.sha256("\n".join(lines).encode()).hexdigest()


# Planted defects: each is one that a guard in the code is there for.


def forget_the_risk(self: PendingQueue, now: float, message: Any, sent: Any) -> bool:  # noqa: ANN401
    return True


def refuse_anything(self: PendingQueue, message: Any) -> bool:  # noqa: ANN401
    return True


def no_rest(self: PendingQueue, key: str) -> None:
    pass


def any_turn(self: PendingQueue, message: Any) -> bool:  # noqa: ANN401
    return True


def go_anyway(self: Attempts, endpoint: str, name: str) -> bool:
    return True


def keep_the_endpoint(self: EndpointRegistry, endpoint: Any) -> None:  # noqa: ANN401
    pass


def no_record_of_the_attempt(self: Journal, name: str, number: int, attempt: Any) -> bool:  # noqa: ANN401
    return True


def no_record_of_the_message(self: Journal, message: Any) -> bool:  # noqa: ANN401
    from message_sender.journal.entries import JournalEntry

    self.entries[message.id] = JournalEntry(message)
    return True


def wait_binds_with_the_fate(self: Engine, endpoint: str, wait: int) -> None:
    pass


def no_gap(self: Breaker, now: int) -> float:
    return 0.0


restored = StateImporter.restore_message


def restore_alone(self: StateImporter, kept: Any) -> None:  # noqa: ANN401
    restored(self, dataclasses.replace(kept, outcomes=()))


def nothing_is_due(self: PendingQueue) -> None:
    pass


DEFECTS: dict[str, tuple[Any, str, Callable[..., Any], set[str]]] = {
    "what may have run is sent again": (PendingQueue, "may_repeat_at", forget_the_risk, {"no effect twice"}),
    "what may have run is refused": (PendingQueue, "may_reject", refuse_anything, {"no effect twice"}),
    "a key does not rest": (PendingQueue, "pause_key", no_rest, {"order"}),
    "a key's messages go at once": (PendingQueue, "is_next_of_key", any_turn, {"order"}),
    "waits and drains do not bind while connecting": (Attempts, "may_send", go_anyway, {"waits"}),
    "an endpoint that drains stays": (EndpointRegistry, "remove_endpoint", keep_the_endpoint, {"drains"}),
    "an attempt is not on record": (
        Journal,
        "record_attempt",
        no_record_of_the_attempt,
        {"no effect twice", "order"},
    ),
    "a message is not on record": (Journal, "record_accepted", no_record_of_the_message, {"one end"}),
    "a wait binds only with the fate": (Engine, "retry_after_received", wait_binds_with_the_fate, {"waits"}),
    "one that is back is taken for warm": (Breaker, "warm_up_gap", no_gap, {"cold"}),
    "refusals are forgotten with the process": (StateImporter, "restore_message", restore_alone, {"cold"}),
    "nothing ends when its time is up": (PendingQueue, "expire_due", nothing_is_due, {"one end"}),
}
#: Lives within which each is found.
WITHIN = 150


@pytest.mark.parametrize("name", DEFECTS)
def test_a_planted_defect_is_found(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    owner, attribute, wrong, rules = DEFECTS[name]
    monkeypatch.setattr(owner, attribute, wrong)
    for found in search.run_seeds(0, WITHIN, 1):
        if {each.rule for each in found.breaches} & rules:
            return
    raise AssertionError(f"not found in {WITHIN} lives")


# The loop and the seal.


def run(work: Callable[[VirtualLoop], Any]) -> Any:  # noqa: ANN401
    loop = VirtualLoop(5.0)
    try:
        return loop.run_until_complete(work(loop))
    finally:
        loop.close()


def test_time_jumps_to_the_next_timer_and_timers_of_one_instant_run_in_one_order() -> None:
    """The standard loop's own order, which is not that in which they were set, but always the same."""

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


def test_a_task_cancelled_at_any_await_ends_and_a_deadlock_and_a_livelock_are_named() -> None:
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


def test_the_real_world_is_out_of_reach() -> None:
    async def thread(loop: VirtualLoop) -> None:
        await loop.run_in_executor(None, lambda: None)

    async def connect(loop: VirtualLoop) -> None:
        await asyncio.open_connection("127.0.0.1", 9)

    for work in (connect, thread):
        with pytest.raises(EmulationError):
            run(work)


@pytest.mark.parametrize(
    "reach",
    [
        *("time.time()", "time.monotonic_ns()", "random.random()", "os.urandom(1)", "uuid.uuid4()"),
        *("threading.Thread().start()", "socket.socket().connect(('127.0.0.1', 9))"),
    ],
)
def test_what_the_package_reaches_for_fails_with_its_line(reach: str) -> None:
    code = compile(f"import os, random, socket, threading, time, uuid\n\n{reach}", "inner", "exec")
    with sealed(), pytest.raises(EmulationError, match=r"message_sender.core.inner, line 3"):
        exec(code, {"__name__": "message_sender.core.inner"})
    exec(compile("import time\ntime.time()", "outer", "exec"), {"__name__": "message_sender.core.inner"})
    thread = threading.Thread(target=lambda: None)
    with sealed():
        thread.start()  # who is not of the package goes through
    thread.join()


# The command.


def test_the_command_counts_lives_and_writes_a_trace(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["emulate", "search", "--lives", "6", "--processes", "2", "--json"]) == 0
    sums = json.loads(capsys.readouterr().out)
    assert sums["lives"] == 6 and sums["broken"] == 0 and sums["delivered"] > 100
    files = [tmp_path / "one", tmp_path / "two"]
    for file in files:
        assert main(["emulate", "replay", "--seed", "3", str(file)]) == 0
    assert files[0].read_bytes() == files[1].read_bytes() != b""
    assert main(["emulate", "search", "--lives", "0"]) == 2
    assert main(["emulate", "replay", "--seed", "0", str(tmp_path / "no" / "folder")]) == 1
    assert main(["emulate", "replay", str(files[0])]) == 2


def test_a_defect_is_cut_to_a_few_happenings_that_break_the_same_rule_again(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(PendingQueue, "pause_key", no_rest)
    (broken,) = itertools.islice((each for each in search.run_seeds(0, WITHIN, 1) if each.has_failed()), 1)
    file, trace = tmp_path / "case.json", tmp_path / "trace"
    assert main(["emulate", "shrink", "--seed", str(broken.seed), str(file)]) == 1
    case = shrink.Case.read(file)
    left = case.run()
    assert case.rule == "order" and {each.rule for each in left.breaches} == {"order"}
    assert 2 <= len(left.scheduled) < 20 and "events left" in capsys.readouterr().out
    for each in left.scheduled:  # none can be spared
        assert not shrink.breaks(case.seed, case.rule, case.without | {each.number})
    assert main(["emulate", "replay", "--case", str(file), str(trace)]) == 1
    assert trace.read_text().splitlines() == left.trace
    monkeypatch.undo()
    assert main(["emulate", "replay", "--case", str(file), str(trace)]) == 0
    assert main(["emulate", "shrink", "--seed", str(broken.seed), str(file)]) == 1
    assert "no rule is violated" in capsys.readouterr().err
    for text in ("", "{}", '{"seed": 1, "rule": "order", "without": 3}'):
        file.write_text(text)
        assert main(["emulate", "replay", "--case", str(file), str(trace)]) == 1


def test_a_broken_life_and_one_that_fails_are_told_and_counted(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(PendingQueue, "pause_key", no_rest)
    assert main(["emulate", "search", "--lives", "20"]) == 1
    assert "order: " in capsys.readouterr().out
    monkeypatch.setattr(Engine, "submit", lambda *_: asyncio.get_running_loop().call_soon(1 / 0))
    assert main(["emulate", "search", "--lives", "1"]) == 1
    assert "ZeroDivisionError" in capsys.readouterr().out
