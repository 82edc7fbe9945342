"""What a process knows of outages reaches the next process of its folder, and makes it more careful only."""

import logging
from pathlib import Path

import pytest
from helpers import SECOND, World, endpoint, sent_messages

from message_sender.core.outage_record import OutageRecord
from message_sender.journal.entries import AttemptRecord, JournalEntry
from message_sender.journal.outage_file import (
    NEW_OUTAGE_FILE,
    OUTAGE_FILE,
    OutageFile,
    OutageLine,
    outage_space_bytes,
)
from message_sender.message import Message
from message_sender.policy.breaker import Breaker
from message_sender.policy.events import (
    AttemptEnded,
    MessageAccepted,
    MessageRestored,
    OutagesRestored,
    RestoredOutage,
    WakeUp,
)
from message_sender.policy.model import Outcome
from message_sender.policy.outage import OutagePhase

SPACE = 64 * 1024
OUT = RestoredOutage(1, "", True, 5)


def open_file(folder: Path, now: int = 100 * SECOND, space: int = SPACE) -> OutageFile:
    return OutageFile(folder, space, now)


def only_breaker(world: World) -> Breaker:
    (breaker,) = world.dispatcher.registry.all_breakers()
    return breaker


def restored_world(event: OutagesRestored, messages: int = 9, **changes: object) -> World:
    """Returns the world of a process that has restored messages for destination 1."""
    world = World(**changes)
    world.now = 100 * SECOND
    accepted = [MessageAccepted(f"k{each}", "safe", 1, 20 * SECOND) for each in range(messages)]
    world.first_actions = world.step(  # type: ignore[attr-defined]
        *(MessageRestored(each, 0, None, "") for each in accepted), event
    )
    return world


# The policy.


def test_a_destination_that_was_out_at_a_kill_gets_one_trial_and_warms_up_from_the_start() -> None:
    world = restored_world(OutagesRestored((OUT,)))
    assert sent_messages(world.first_actions) == ["k0"]  # type: ignore[attr-defined]
    assert only_breaker(world).trial and only_breaker(world).warm_up_since == world.now
    assert not sent_messages(world.step(AttemptEnded("k0", 0, Outcome.OK, True)))
    assert only_breaker(world).warm_up_gap(world.now)


def test_a_warm_up_goes_on_in_the_next_process() -> None:
    warming_up = RestoredOutage(1, "", False, 95 * SECOND)
    world = restored_world(OutagesRestored((warming_up,)))
    assert only_breaker(world).warm_up_since == 95 * SECOND and not only_breaker(world).is_open()
    assert len(sent_messages(world.first_actions)) == 1  # type: ignore[attr-defined]


def test_a_warm_up_that_has_ended_meanwhile_does_not_limit_the_next_process() -> None:
    ended = RestoredOutage(1, "", False, 10 * SECOND)
    world = restored_world(OutagesRestored((ended,)))
    assert len(sent_messages(world.first_actions)) == 9  # type: ignore[attr-defined]


def test_an_outage_of_one_route_leaves_the_others_alone() -> None:
    world = World(endpoint("a", kind="apart"), endpoint("b", kind="apart"))
    world.step(OutagesRestored((RestoredOutage(1, "b", True, 0),)))
    by_route = world.dispatcher.destinations[1].breakers_by_route
    assert by_route is not None and by_route["b"].is_open() and not by_route["a"].is_open()


def test_calls_that_an_earlier_process_had_in_flight_count_until_the_destination_answers() -> None:
    world = restored_world(OutagesRestored((), ("a", "a", "a")), messages=3, fleet_size=3)
    assert sent_messages(world.first_actions) == ["k0"]  # type: ignore[attr-defined]
    assert sent_messages(world.step(AttemptEnded("k0", 0, Outcome.OK, True))) == ["k1", "k2"]


@pytest.mark.parametrize(("outages", "first"), [((), ["k0", "k1", "k2"]), ((OUT,), [])])
def test_calls_that_an_earlier_process_gave_up_count_where_the_destination_is_out(
    outages: tuple[RestoredOutage, ...], first: list[str]
) -> None:
    world = restored_world(OutagesRestored(outages, (), ("a", "a", "a")), messages=3, fleet_size=3)
    assert sent_messages(world.first_actions) == first  # type: ignore[attr-defined]
    trial = sent_messages(world.step(WakeUp(), after=2 * SECOND))
    assert trial == ([] if first else ["k0"])


def test_an_unlisted_destination_of_a_record_does_no_harm() -> None:
    world = World()
    world.step(OutagesRestored((RestoredOutage(77, "", True, 0),), ("gone",)))
    world.step(WakeUp(), after=100 * SECOND)
    assert 77 not in world.dispatcher.destinations


# The file.


def test_changes_of_a_process_are_read_by_the_next_one(tmp_path: Path) -> None:
    world = World()
    record = OutageRecord(open_file(tmp_path))
    for step in ("fail", "fail", "fail", "recover"):
        if step == "fail":
            world.accept("once")
            world.end_attempt(f"m{world.count}", Outcome.RESET)
            record.record_changes(world.dispatcher.status.changes, world.now)
            continue
        (outage,) = open_file(tmp_path).restored()
        assert outage == RestoredOutage(1, "", True, world.now)
        world.accept("safe")
        (trial,) = sent_messages(world.step(WakeUp(), after=2 * SECOND))
        world.end_attempt(trial, Outcome.OK)
        record.record_changes(world.dispatcher.status.changes, world.now)
    (outage,) = open_file(tmp_path).restored()
    assert outage == RestoredOutage(1, "", False, int(only_breaker(world).warm_up_since))
    world.accept("safe", after=60 * SECOND)
    record.record_changes(world.dispatcher.status.changes, world.now)
    assert open_file(tmp_path).restored() == ()


@pytest.mark.parametrize(
    ("data", "expected", "warnings"),
    [
        (b'{"destination":2,"route":"","phase":"out","since":5}', ((2, "", True),), 1),
        (b'{"destination":2,"route":"r","pha', ((2, "r", True),), 1),
        (b'{"destination":2,"route":"r', (), 1),
        (b'{"destination":2,"route":"","phase":"lost","since":5}\n', ((2, "", True),), 1),
        (b'{"destination":2,"route":"","phase":"warming_up","since":101000000}\n', ((2, "", True),), 1),
        (b'{"destination":2,"route":"","phase":"warming_up"}\n', ((2, "", True),), 1),
        (b"\x00\xff\n[]\n7\n{}\n", (), 4),
        (
            b'nonsense\n{"destination":3,"route":"","phase":"warming_up","since":5}\n',
            ((3, "", False),),
            1,
        ),
        (b'{"destination":2,"route":"","phase":"out","since":' + b"9" * 5000 + b"}\n", ((2, "", True),), 1),
        (b"[" * 100_000 + b"\n", (), 1),
    ],
)
def test_a_damaged_record_costs_itself_and_a_warning_and_its_destination_counts_as_out(
    data: bytes,
    expected: tuple[tuple[int, str, bool], ...],
    warnings: int,
    tmp_path: Path,
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.WARNING)
    (tmp_path / OUTAGE_FILE).write_bytes(data)
    file = open_file(tmp_path)
    assert tuple((each.destination, each.route, each.is_out) for each in file.restored()) == expected
    assert len(caplog.records) == warnings
    file.record(OutageLine(9, "", OutagePhase.OUT, 50))
    assert open_file(tmp_path).restored()[-1] == RestoredOutage(9, "", True, 50)


def test_a_folder_without_the_file_is_read_as_before(tmp_path: Path) -> None:
    assert open_file(tmp_path).restored() == ()
    assert not (tmp_path / OUTAGE_FILE).exists()


def test_the_file_stays_within_its_space_and_keeps_the_newest_routes(tmp_path: Path) -> None:
    file = open_file(tmp_path, space=8 * 1024)
    for number in range(1000):
        file.record(OutageLine(number, "", OutagePhase.OUT, number))
        assert (tmp_path / OUTAGE_FILE).stat().st_size <= 4 * 1024
    kept = [each.destination for each in open_file(tmp_path).restored()]
    assert len(kept) > 40 and kept == list(range(1000 - len(kept), 1000))
    assert not (tmp_path / NEW_OUTAGE_FILE).exists()


def test_a_failing_write_costs_a_warning_alone(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.WARNING)
    file = open_file(tmp_path / "missing")
    file.record(OutageLine(1, "", OutagePhase.OUT, 1))
    assert [each.getMessage().split(":")[0] for each in caplog.records] == ["outage not recorded"]


@pytest.mark.parametrize(("disk_bytes", "space"), [(3_000_000, 64 * 1024), (100_000, 3072), (1000, 0)])
def test_a_small_folder_gives_a_small_part(disk_bytes: int, space: int) -> None:
    assert outage_space_bytes(disk_bytes) == space


def test_calls_without_an_answer_are_those_that_may_still_wait_at_the_destination(tmp_path: Path) -> None:
    message = Message("m", "c", 1, 0, "", "", "", False, b"")
    outcomes = (None, *Outcome)
    attempts = {number: AttemptRecord(0, f"e-{each}", "", each) for number, each in enumerate(outcomes)}
    record = OutageRecord(open_file(tmp_path))
    event = record.restored([JournalEntry(message, attempts)], 0)
    assert event.in_flight == ("e-None",)
    assert event.given_up == ("e-Outcome.TIMEOUT", "e-Outcome.CANCELLED")
