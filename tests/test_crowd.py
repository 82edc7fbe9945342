"""What changes where many senders share a destination."""

from helpers import MS, SECOND, World, ended, endpoint, sent

from elmglade import interface as face
from elmglade.breaker import FAILURE_THRESHOLD, RESET_TIMEOUT
from elmglade.interface import Outcome

CROWD = 200


def test_a_failed_trial_of_a_crowd_waits_as_long_as_a_cold_destination_needs() -> None:
    world = World(fleet_size=CROWD)
    for _ in range(FAILURE_THRESHOLD):
        world.take("once", after=100 * SECOND)
        world.answer(f"m{world.count}", Outcome.RESET)
    world.take()
    (trial,) = sent(world.step(face.WakeUp(), after=RESET_TIMEOUT))
    world.answer(trial, Outcome.CONNECT_FAILED)
    for _ in range(4):
        assert sent(world.step(face.WakeUp(), after=RESET_TIMEOUT)) == []


def test_two_failed_calls_start_the_warm_up_in_a_crowd_alone() -> None:
    for fleet, cold in ((2, False), (CROWD, True)):
        world = World(fleet_size=fleet)
        for _ in range(2):
            world.take("once")
            world.answer(f"m{world.count}", Outcome.RESET)
        (breaker,) = world.dispatcher.all_breakers()
        assert (breaker.cold_gap(world.now) > 0) == cold


def test_the_first_gap_of_a_crowd_is_wide() -> None:
    gaps = []
    for fleet in (2, CROWD):
        world = World(fleet_size=fleet)
        world.take()
        world.answer("m1", Outcome.FULL)
        gaps += [breaker.gap for breaker in world.dispatcher.all_breakers()]
    assert gaps[1] > 10 * gaps[0]


def test_senders_told_the_same_wait_do_not_come_back_together() -> None:
    ends = []
    for fleet in (1, CROWD, CROWD):
        world = World(fleet_size=fleet)
        world.dispatcher.random.seed(len(ends))
        world.take()
        world.answer("m1", Outcome.FULL, wait=SECOND)
        (breaker,) = world.dispatcher.all_breakers()
        ends.append(breaker.wait_until)
        assert breaker.wait_until >= 10 * MS + SECOND
    assert ends[0] == 10 * MS + SECOND and ends[1] != ends[2]


def test_the_gap_of_a_crowd_begins_at_the_told_rate() -> None:
    gaps = []
    for scale in (1.0, 40.0):
        world = World(endpoint("a", scale=scale), fleet_size=CROWD, rates_told=True)
        world.take()
        world.answer("m1", Outcome.FULL)
        gaps += [breaker.gap for breaker in world.dispatcher.all_breakers()]
    assert gaps[0] > gaps[1] > 0


def test_refused_connects_close_idle_connections_everywhere_in_a_crowd_alone() -> None:
    for fleet in (2, CROWD):
        world = World(endpoint("a"), endpoint("b", destination=2), fleet_size=fleet)
        world.take(after=SECOND)
        assert face.CloseIdle("a") not in world.answer("m1", Outcome.OK)
        world.take(destination=2)
        world.answer("m2", Outcome.CONNECT_FAILED)
        world.take(after=SECOND)
        assert (face.CloseIdle("a") in world.answer("m3", Outcome.OK)) == (fleet == CROWD)


def test_usual_time_is_learned_from_the_first_calls() -> None:
    world = World()
    for _ in range(3):
        world.take()
        world.answer(f"m{world.count}", Outcome.OK, after=50 * MS)
    (breaker,) = world.dispatcher.all_breakers()
    assert breaker.took < 200 * MS


def test_a_room_full_of_messages_that_cannot_go_does_not_turn_new_ones_away() -> None:
    world = World(endpoint("b", destination=2), max_open=5)
    for _ in range(4):
        world.take()
    actions = world.take(destination=2)
    assert sent(actions) == ["m5"]
    assert [each.message for each in ended(actions)] == ["m1"]
    assert [each.message for each in ended(world.take())] == ["m2"]
