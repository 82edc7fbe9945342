"""What the platform has learned about the end of a message holds over SIGKILL and a failing folder."""

import asyncio
import errno
import json
import os
from pathlib import Path

import pytest
from completion_kills import play
from peers import Running, World, run_async_test, sample_message, with_timeout

from message_sender.core.ports import Completion, CompletionState
from message_sender.journal import process_journal
from message_sender.journal.entries import COMPLETION_STATES, AttemptRecord, RecordedCompletion
from message_sender.journal.process_journal import Journal

LIMIT_BYTES = 100_000
ORDERED = {"semantics": "once", "serial_by_key": True}
KILL_STEPS = [*range(0, 60, 3), *range(60, 220, 8)]


@pytest.mark.parametrize("step", KILL_STEPS)
def test_no_message_is_called_or_ended_otherwise_after_a_kill_once_its_notice_was_read(
    step: int, tmp_path: Path
) -> None:
    @run_async_test
    async def test(folder: Path) -> None:
        scenario = await play(folder, step)
        assert scenario.was_killed and len(scenario.accepted) > 3
        assert scenario.violations() == []

    test(tmp_path)


def test_a_completion_that_waits_for_its_acknowledgement_is_kept_by_a_compaction(tmp_path: Path) -> None:
    first = Journal(tmp_path, LIMIT_BYTES)
    for name in "ab":
        assert first.record_accepted(sample_message(name))
    assert first.record_completion("b", "refused", 500)
    first.record_end("a")
    assert first.compact() and first.size_bytes == first.live_bytes
    assert Journal(tmp_path, LIMIT_BYTES).entries["b"].completion == RecordedCompletion("refused", 500)


@pytest.mark.parametrize(
    "line",
    [
        b'{"verdict":"refused","of":"a","after":5',
        b'{"verdict":"unknown","of":"a","after":500}\n',
        b'{"verdict":"refused","of":"a","after":Infinity}\n',
        b'{"verdict":["refused"],"of":"a","after":500}\n',
        b'{"verdict":"refused"}\n',
        b'{"verdict":"refused","of":"other","after":500}\n',
    ],
)
def test_an_unusable_completion_record_costs_no_message(line: bytes, tmp_path: Path) -> None:
    first = Journal(tmp_path, LIMIT_BYTES)
    for name in "ab":
        assert first.record_accepted(sample_message(name))
    assert first.record_completion("b", "failed", 0)
    with (tmp_path / process_journal.JOURNAL_FILE).open("ab") as file:
        file.write(line)
    second = Journal(tmp_path, LIMIT_BYTES)
    assert list(second.entries) == ["a", "b"] and second.entries["a"].completion is None
    assert second.entries["b"].completion == RecordedCompletion("failed", 0)


def test_recorded_states_are_those_of_completions() -> None:
    assert {each.value for each in CompletionState} == COMPLETION_STATES


def test_attempts_leave_room_for_the_completions_of_all_messages(tmp_path: Path) -> None:
    journal = Journal(tmp_path, 8 * process_journal.BLOCK_BYTES)
    names = [str(number) for number in range(6) if journal.record_accepted(sample_message(str(number)))]
    number = 0
    while journal.record_attempt(names[0], number, AttemptRecord(1, "endpoint", "zone")):
        number += 1
    assert number and all(journal.record_completion(each, "refused", 2_000_000) for each in names)


class FailingWrites:
    """Makes writes of the journal fail while `is_failing`."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.is_failing = False
        self.write = os.write
        monkeypatch.setattr(os, "write", self.write_or_fail)

    def write_or_fail(self, file: int, data: bytes) -> int:
        if self.is_failing and data.startswith(b'{"'):
            raise OSError(errno.ENOSPC, "no space left on device")
        return self.write(file, data)


def test_no_notice_is_posted_while_a_completion_cannot_be_recorded(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    @run_async_test
    async def test(folder: Path) -> None:
        writes = FailingWrites(monkeypatch)
        async with World(folder, semantics="once") as world:
            await world.submit("m")
            call = await world.receiver.next()
            writes.is_failing = True
            call.abort()
            while not world.sender.engine.table.recorder.unrecorded:
                await asyncio.sleep(0.01)
            assert world.platform.requests.empty()
            writes.is_failing = False
            assert json.loads((await world.platform.next()).body) == {"id": "m", "state": "failed"}
            assert Journal(folder, LIMIT_BYTES).entries["m"].completion == RecordedCompletion("failed", 0)

    test(tmp_path)


def test_a_notice_is_posted_at_the_deadline_if_its_completion_cannot_be_recorded(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    @run_async_test
    async def test(folder: Path) -> None:
        writes = FailingWrites(monkeypatch)
        async with World(folder, semantics="once") as world:
            engine = world.sender.engine
            await world.submit("m", X_Time_Left="1")
            call = await world.receiver.next()
            deadline_us = engine.journal.entries["m"].message.deadline_us
            writes.is_failing = True
            call.abort()
            notice = await world.platform.next()
            assert 0 <= engine.now() - deadline_us < 300_000
            assert json.loads(notice.body) == {"id": "m", "state": "failed"}

    test(tmp_path)


@run_async_test
async def test_the_next_message_of_a_key_waits_over_a_restart_until_the_notice_is_acknowledged(
    tmp_path: Path,
) -> None:
    async with World(tmp_path, **ORDERED) as world:
        for name in ("m1", "m2"):
            await world.submit(name, X_Session_Key="k")
        (await world.receiver.next()).abort()
        assert json.loads((await world.platform.next()).body) == {"id": "m1", "state": "failed"}
        world.sender.stop(0)
        await world.running.task
        async with Running(world.config, tmp_path):
            again = await world.platform.next()
            assert json.loads(again.body) == {"id": "m1", "state": "failed"}
            await asyncio.sleep(0.05)  # less than the time after which the notice is posted again
            assert world.receiver.requests.empty()
            again.answer(204)
            call = await with_timeout(world.receiver.requests.get())
            assert call.id == "m2"
            call.answer(200)


@run_async_test
async def test_a_message_withdrawn_in_the_iteration_that_completes_it_ends_without_a_defect(
    tmp_path: Path,
) -> None:
    async with World(tmp_path, **ORDERED) as world:
        engine = world.sender.engine
        for name in ("m1", "m2"):
            await world.submit(name, X_Session_Key="k")
        call = await world.receiver.next()
        engine.journal.record_end("m1")
        engine.table.complete("m1", Completion(CompletionState.REFUSED))
        call.answer(200)
        assert (await world.receiver.next()).id == "m2" and not engine.defect
        assert "m1" not in engine.table.pending_completions and world.platform.requests.empty()
