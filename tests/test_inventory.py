"""The destination inventory: its content, its file and the command that prints it."""

import io
import json
from pathlib import Path

import pytest
from helpers import MS, SECOND, World, endpoint
from peers import run_async_test

from message_sender.cli import main
from message_sender.core import inventory
from message_sender.policy.endpoints import INACTIVE_DESTINATION_AGE_US, UNUSED_BREAKER_AGE_US
from message_sender.policy.events import WakeUp
from message_sender.policy.model import Outcome
from message_sender.service.standalone import CompletionWriter, StandaloneSender, write_destination_inventory


def world_with_all_states() -> World:
    """A sender with one destination in each state.

    The breaker of 1 is open, 2 waits for a Retry-After, 3 has a call in flight, 4 was used a day ago and is
    asleep, 5 was never used, and 6 has a message but no endpoint.
    """
    world = World(*(endpoint(f"e{each}", each) for each in range(1, 6)))
    world.accept(destination=4)
    world.end_attempt("m1", Outcome.OK)
    for _ in range(3):
        world.step(WakeUp(), after=INACTIVE_DESTINATION_AGE_US + UNUSED_BREAKER_AGE_US)
    for _ in range(3):
        world.accept("once", destination=1)
        world.end_attempt(f"m{world.count}", Outcome.RESET)
    world.accept(destination=1)
    world.accept(destination=2)
    world.end_attempt(f"m{world.count}", Outcome.FULL, wait=5 * SECOND)
    world.accept(destination=3)
    world.accept(destination=6)
    world.step(WakeUp(), after=MS)
    return world


def test_inventory_has_state_and_message_counts_of_each_destination() -> None:
    world = world_with_all_states()
    rows = {each.number: each for each in inventory.inventory(world.dispatcher, world.now)}
    states = {number: each.state for number, each in rows.items()}
    assert states == {1: "open", 2: "waits", 3: "closed", 4: "asleep", 5: "listed", 6: "closed"}
    assert (rows[1].held, rows[1].out, rows[3].held, rows[3].out, rows[6].held) == (1, 0, 0, 1, 1)
    assert rows[4].silent_s and rows[4].silent_s > 3600 and rows[5].silent_s is None
    assert rows[6].endpoints == 0 and rows[5].bytes < rows[3].bytes < 3000
    world.step(WakeUp(), after=2 * SECOND)
    trial = {each.number: each for each in inventory.inventory(world.dispatcher, world.now)}[1]
    assert trial.state == "half-open" and trial.out == 1


def test_written_file_is_read_back_and_other_content_is_rejected(tmp_path: Path) -> None:
    world = world_with_all_states()
    path = inventory.write(world.dispatcher, world.now, tmp_path)
    for path_or_folder in (path, tmp_path):
        at, rows = inventory.read(path_or_folder)
        assert at == world.now / 1e6 and rows == inventory.inventory(world.dispatcher, world.now)
    assert list(tmp_path.iterdir()) == [path]
    ends = ('[{"number": 1}]}', "3}")
    for text in ("", "[]", "{}", *('{"at": 1, "destinations": ' + each for each in ends)):
        path.write_text(text)
        with pytest.raises(ValueError, match="not a destination inventory"):
            inventory.read(path)


def test_command_lists_the_most_severe_states_first(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    world = world_with_all_states()
    inventory.write(world.dispatcher, world.now, tmp_path)
    assert main(["destinations", str(tmp_path), "--most", "2"]) == 0
    head, _, first, second, more = capsys.readouterr().out.splitlines()
    assert "6 destinations (1 asleep, 2 closed, 1 listed, 1 open, 1 waits)" in head
    assert first.split()[:2] == ["1", "open"] and second.split()[:2] == ["2", "waits"]
    assert more.startswith("and 4 more")
    assert main(["destinations", str(tmp_path), "--state", "asleep", "--json"]) == 0
    (line,) = capsys.readouterr().out.splitlines()
    assert json.loads(line)["number"] == 4
    assert main(["destinations", str(tmp_path / "none")]) == 1
    assert "none" in capsys.readouterr().err


@run_async_test
async def test_sender_writes_the_file_on_request_and_survives_a_write_error(state: Path) -> None:
    from message_sender.configuration import general

    listed = {"id": "a", "destination": 1, "dial": "127.0.0.1:9"}
    classes = {"c": {"effect": "safe", "aim_ms": 1000, "deadline_ms": 2000}}
    configuration = general.read(
        {"name": "n", "classes": classes, "endpoints": [listed], "listen": "127.0.0.1:0"}
    )
    sender = StandaloneSender(configuration, state, CompletionWriter(io.StringIO()))
    sender.engine.start()
    write_destination_inventory(sender)
    assert [each.number for each in inventory.read(state)[1]] == [1]
    (state / (inventory.FILE_NAME + ".new")).mkdir()
    write_destination_inventory(sender)  # the file cannot be written: the sender continues
    assert not sender.engine.defect
    sender.engine.close()
    sender.lock.release()
