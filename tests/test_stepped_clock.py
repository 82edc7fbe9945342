"""Steps of the wall clock between two processes change no deadline, window or Retry-After."""

import asyncio
import json
import time
from collections import Counter
from pathlib import Path

import pytest
from peers import run_async_test
from repeated_answers import WINDOW_S, Load

from message_sender.journal.clock_record import CLOCK_FILE, FolderClock, wall_clock_base_ns
from message_sender.testbed.history import (
    AttemptFinished,
    AttemptStarted,
    MessageAdmitted,
    MessageCompleted,
    add_deliveries,
)
from message_sender.testbed.http import HttpClient
from message_sender.testbed.script import EndpointBehavior, ScriptedAnswer

STEPS_S = [0.0, -1.0, -5.0, -3600.0, 1.0, 5.0, 3600.0]
MESSAGES = 12
TIME_LEFT_S = 4.0
RETRY_AFTER_S = 1.0


async def owe_messages(load: Load, service: str) -> None:
    """Submits messages behind the rejection of the first one, and kills the sender before the next call.

    A second rejection on record would make the next process start slowly, whatever its clock says.
    """
    load.copies.share = 0.0
    load.time_left_s = TIME_LEFT_S
    load.script.rule = lambda message: ScriptedAnswer(EndpointBehavior.FULL, RETRY_AFTER_S)
    client = HttpClient(load.host.address)
    await load.submit(client, "m0", service, "")
    while not any(isinstance(each, AttemptFinished) for each in load.history.events):
        await asyncio.sleep(0.001)
    for number in range(1, MESSAGES):
        await load.submit(client, f"m{number}", service, "")
    client.close()
    await load.kill_sender()


def states(load: Load) -> Counter[str]:
    """Returns how many messages ended in each state."""
    return Counter(each.state for each in add_deliveries(load.history) if isinstance(each, MessageCompleted))


@pytest.mark.parametrize("step_s", STEPS_S)
def test_owed_messages_are_delivered_after_a_step_of_the_wall_clock(step_s: float, tmp_path: Path) -> None:
    @run_async_test
    async def test(folder: Path) -> None:
        load = Load(folder, 0, (0.0, 0.0), destinations=(3,))
        async with load.running():
            await owe_messages(load, "safe")
            load.script.rule = lambda message: ScriptedAnswer(EndpointBehavior.SERVE)
            await load.start_sender(step_s)
            await load.wait_for_completions()
        assert sum(isinstance(each, MessageAdmitted) for each in load.history.events) == MESSAGES
        assert load.violations() == [] and states(load) == {"delivered": MESSAGES}

    test(tmp_path)


@pytest.mark.parametrize("step_s", STEPS_S)
def test_messages_that_cannot_be_delivered_end_in_their_time_after_a_step(
    step_s: float, tmp_path: Path
) -> None:
    @run_async_test
    async def test(folder: Path) -> None:
        load = Load(folder, 0, (0.0, 0.0), destinations=(3,))
        async with load.running():
            await owe_messages(load, "once")
            await load.start_sender(step_s)
            await load.wait_for_completions()
        assert load.violations() == [] and sum(states(load).values()) == MESSAGES

    test(tmp_path)


@pytest.mark.parametrize("step_s", [0.0, -5.0, -3600.0])
def test_a_call_in_flight_at_the_kill_is_not_repeated_after_its_window_and_a_step_back(
    step_s: float, tmp_path: Path
) -> None:
    @run_async_test
    async def test(folder: Path) -> None:
        load = Load(folder, 0, (0.0, 0.0), destinations=(3,))
        async with load.running():
            load.copies.share, load.time_left_s = 0.0, 3 * WINDOW_S
            load.script.rule = lambda message: ScriptedAnswer(EndpointBehavior.STALL)
            client = HttpClient(load.host.address)
            await load.submit(client, "m", "keyed", "")
            while not any(isinstance(each, AttemptStarted) for each in load.history.events):
                await asyncio.sleep(0.01)
            client.close()
            await load.kill_sender()
            load.script.rule = lambda message: ScriptedAnswer(EndpointBehavior.SERVE)
            await asyncio.sleep(WINDOW_S)
            await load.start_sender(step_s)
            await load.wait_for_completions()
        assert load.violations() == []

    test(tmp_path)


def test_the_base_is_kept_in_one_boot(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    first = FolderClock(tmp_path, boot_id="a")
    monkeypatch.setattr(time, "time_ns", lambda: 0)
    assert FolderClock(tmp_path, boot_id="a").base_ns == first.base_ns
    assert FolderClock(tmp_path, boot_id="b").base_ns < 0
    assert FolderClock(tmp_path, boot_id="a").base_ns < 0


@pytest.mark.parametrize(
    "content", ["", "[]", "{", '{"boot": "a"}', '{"boot": "a", "base_ns": "x", "monotonic_ns": 1}']
)
def test_a_record_that_cannot_be_read_is_replaced_with_a_warning(
    content: str, tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    (tmp_path / CLOCK_FILE).write_text(content)
    clock = FolderClock(tmp_path, boot_id="a")
    assert abs(clock.base_ns - wall_clock_base_ns()) < 1e9 and clock.is_saved
    assert "clock record not read" in caplog.text
    assert FolderClock(tmp_path, boot_id="a").base_ns == clock.base_ns


def test_a_monotonic_clock_before_the_record_does_not_use_it(tmp_path: Path) -> None:
    later_ns = time.monotonic_ns() + 10**12
    (tmp_path / CLOCK_FILE).write_text(json.dumps({"boot": "a", "base_ns": 1, "monotonic_ns": later_ns}))
    assert FolderClock(tmp_path, boot_id="a").base_ns != 1


def test_a_predecessors_base_prevails_and_is_saved(tmp_path: Path) -> None:
    FolderClock(tmp_path, boot_id="a")
    assert FolderClock(tmp_path, base_ns=5, boot_id="a").base_ns == 5
    assert FolderClock(tmp_path, boot_id="a").base_ns == 5


def test_a_record_that_cannot_be_written_is_written_later(tmp_path: Path) -> None:
    (tmp_path / "clock.new").mkdir()
    clock = FolderClock(tmp_path, boot_id="a")
    assert not clock.is_saved
    (tmp_path / "clock.new").rmdir()
    clock.save_if_needed()
    assert clock.is_saved and FolderClock(tmp_path, boot_id="a").base_ns == clock.base_ns
