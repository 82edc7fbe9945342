"""What the policy knows of an outage: when the destination was last out, and when its warm-up begins."""

import pytest
from helpers import MS, SECOND, World, sent_messages

from message_sender.policy.breaker import Breaker
from message_sender.policy.events import AttemptEnded, WakeUp
from message_sender.policy.model import Outcome

HUNG = ("m1", "m2", "m3")


def only_breaker(world: World) -> Breaker:
    (breaker,) = world.dispatcher.registry.all_breakers()
    return breaker


def world_with_hung_calls(kind: str = "keyed", **changes: object) -> World:
    """Returns a world in which three calls are overdue and have opened the breaker."""
    world = World(**changes)
    for _ in HUNG:
        world.accept(kind)
    world.step(WakeUp(), after=3 * SECOND)
    assert only_breaker(world).is_open()
    return world


def test_hung_calls_that_are_reset_at_the_return_begin_the_warm_up_then() -> None:
    world = world_with_hung_calls()
    world.step(*(AttemptEnded(each, 0, Outcome.RESET) for each in HUNG), after=8 * SECOND)
    returned_at = world.now
    (trial,) = sent_messages(world.accept("safe", after=SECOND))
    world.end_attempt(trial, Outcome.OK)
    assert only_breaker(world).warm_up_since == returned_at


def test_hung_calls_that_are_answered_at_the_return_begin_the_warm_up_then() -> None:
    world = world_with_hung_calls()
    world.step(*(AttemptEnded(each, 0, Outcome.OK, True) for each in HUNG), after=8 * SECOND)
    assert only_breaker(world).warm_up_since == world.now
    assert not only_breaker(world).is_open()


def test_a_slow_call_at_a_destination_that_serves_begins_no_warm_up() -> None:
    world = World()
    world.accept("keyed")
    world.step(WakeUp(), after=3 * SECOND)
    world.end_attempt("m1", Outcome.OK)
    assert not only_breaker(world).warm_up_gap(world.now)


def test_a_call_that_was_overtaken_by_a_success_begins_no_warm_up_at_its_end() -> None:
    world = World()
    world.accept("once")
    world.step(WakeUp(), after=3 * SECOND)
    world.accept("safe")
    world.end_attempt("m2", Outcome.OK)
    world.end_attempt("m1", Outcome.TIMEOUT, after=5 * SECOND)
    assert not only_breaker(world).warm_up_gap(world.now)


@pytest.mark.parametrize("wait_s", [5, 10])
def test_a_wait_over_the_end_of_the_outage_does_not_count_as_warm_up(wait_s: int) -> None:
    world = World()
    world.accept("safe", time_left_us=90 * SECOND)
    for _ in range(3):
        world.end_attempt("m1", Outcome.FULL, after=100 * MS, wait=wait_s * SECOND)
        assert sent_messages(world.step(WakeUp(), after=(wait_s + 3) * SECOND)) == ["m1"]
    assert only_breaker(world).outage.is_out
    sent_at = world.now
    world.end_attempt("m1", Outcome.OK)
    assert only_breaker(world).warm_up_since == sent_at - only_breaker(world).outage.longest_unknown()


@pytest.mark.parametrize(("slow_start_s", "unknown_s"), [(1, 0.2), (5, 1.0), (13, 2.5), (60, 2.5)])
def test_at_most_a_fifth_of_a_short_warm_up_is_taken_as_done(slow_start_s: int, unknown_s: float) -> None:
    world = World(slow_start=slow_start_s * SECOND)
    world.open_breaker()
    (trial,) = sent_messages(world.accept("safe", after=15 * SECOND))
    sent_at = world.now
    world.end_attempt(trial, Outcome.OK)
    assert only_breaker(world).warm_up_since == sent_at - unknown_s * SECOND


@pytest.mark.parametrize(("wait_s", "is_out"), [(1, False), (3, True), (10, True)])
def test_one_announced_wait_beyond_a_rate_limits_window_shows_an_outage_until_its_end(
    wait_s: int, is_out: bool
) -> None:
    world = World()
    for _ in range(6):
        world.accept("safe")
    refused = (AttemptEnded(f"m{each}", 0, Outcome.FULL, wait=wait_s * SECOND) for each in range(1, 7))
    world.step(*refused, after=100 * MS)
    wait_ends_at = world.now + wait_s * SECOND
    assert only_breaker(world).outage.is_out is is_out
    sent = sent_messages(world.step(WakeUp(), after=wait_s * SECOND + SECOND))
    assert sent
    world.end_attempt(sent[0], Outcome.OK)
    assert (only_breaker(world).warm_up_since >= wait_ends_at) is is_out
