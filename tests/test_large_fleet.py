"""How the policy of a member of a large fleet differs from that of a small fleet."""

import random

import pytest
from helpers import ENV, MS, SECOND, World, endpoint, rejected_or_failed, sent_messages, settings

from message_sender import Dispatcher
from message_sender.configuration.settings import decode_settings
from message_sender.policy.actions import CloseIdle, Send, Subscribe
from message_sender.policy.breaker import FAILURE_THRESHOLD, RESET_TIMEOUT_US
from message_sender.policy.events import EndpointsUpdated, MessageAccepted, WakeUp
from message_sender.policy.list_polling import (
    LIST_RETRY_PAUSE_US,
    LIST_RETRY_SPREAD_US,
    LIST_START_SPREAD_US,
    ListPolling,
)
from message_sender.policy.model import ListingKind, Outcome

LARGE_FLEET_SIZE = 200


def test_in_a_large_fleet_a_failed_trial_extends_the_timeout_to_the_gap_of_a_cold_destination() -> None:
    world = World(fleet_size=LARGE_FLEET_SIZE)
    for _ in range(FAILURE_THRESHOLD):
        world.accept("once", after=100 * SECOND)
        world.end_attempt(f"m{world.count}", Outcome.RESET)
    world.accept()
    (trial,) = sent_messages(world.step(WakeUp(), after=RESET_TIMEOUT_US))
    world.end_attempt(trial, Outcome.CONNECT_FAILED)
    for _ in range(4):
        assert sent_messages(world.step(WakeUp(), after=RESET_TIMEOUT_US)) == []


def test_two_failures_start_the_warm_up_in_a_large_fleet_only() -> None:
    for fleet, is_warming_up in ((2, False), (LARGE_FLEET_SIZE, True)):
        world = World(fleet_size=fleet)
        for _ in range(2):
            world.accept("once")
            world.end_attempt(f"m{world.count}", Outcome.RESET)
        (breaker,) = world.dispatcher.registry.all_breakers()
        assert (breaker.warm_up_gap(world.now) > 0) == is_warming_up


def test_the_first_gap_is_wide_in_a_large_fleet() -> None:
    gaps = []
    for fleet in (2, LARGE_FLEET_SIZE):
        world = World(fleet_size=fleet)
        world.accept()
        world.end_attempt("m1", Outcome.FULL)
        gaps += [breaker.gap for breaker in world.dispatcher.registry.all_breakers()]
    assert gaps[1] > 10 * gaps[0]


def test_senders_with_the_same_retry_after_do_not_return_together() -> None:
    ends = []
    for fleet in (1, LARGE_FLEET_SIZE, LARGE_FLEET_SIZE):
        world = World(fleet_size=fleet)
        world.dispatcher.loop.random.seed(len(ends))
        world.accept()
        world.end_attempt("m1", Outcome.FULL, wait=SECOND)
        (breaker,) = world.dispatcher.registry.all_breakers()
        ends.append(breaker.wait_until)
        assert breaker.wait_until >= 10 * MS + SECOND
    assert ends[0] == 10 * MS + SECOND and ends[1] != ends[2]


def test_the_gap_of_a_large_fleet_begins_at_the_announced_rate() -> None:
    gaps = []
    for scale in (1.0, 40.0):
        world = World(endpoint("a", scale=scale), fleet_size=LARGE_FLEET_SIZE, announces_rates=True)
        world.accept()
        world.end_attempt("m1", Outcome.FULL)
        gaps += [breaker.gap for breaker in world.dispatcher.registry.all_breakers()]
    assert gaps[0] > gaps[1] > 0


def test_a_refused_connection_among_successes_closes_idle_connections_in_a_large_fleet_only() -> None:
    """A destination that refuses all connections, or serves again only after some time, is in an outage."""
    for fleet, refused, after, closes in (
        (LARGE_FLEET_SIZE, "a", 100 * MS, True),
        (2, "a", 100 * MS, False),
        (LARGE_FLEET_SIZE, "b", 100 * MS, False),
        (LARGE_FLEET_SIZE, "a", 5 * SECOND, False),
    ):
        world = World(endpoint("a"), endpoint("b", destination=2), fleet_size=fleet)
        world.accept(destination=1 if refused == "a" else 2)
        world.end_attempt("m1", Outcome.CONNECT_FAILED)  # and is sent again
        name = "m1" if refused == "a" else sent_messages(world.accept())[0]
        assert (CloseIdle("a") in world.end_attempt(name, Outcome.OK, after=after)) == closes


@pytest.mark.parametrize("fleet", [5, 40, 200])
def test_list_polls_are_spread_and_none_is_delayed_beyond_the_limit(fleet: int) -> None:
    """Each delay is in its range for a thousand seeds, and of forty senders that start together only a few
    poll in the same 100 ms. tests/test_list_freshness.py tests whether discovery can serve these polls.
    """
    times: dict[int, int] = {}
    for seed in range(1000):
        polling = ListPolling(settings(fleet_size=fleet, must_poll=True), random.Random(seed))
        polling.process_started(0)
        assert 0 <= polling.next_poll_at <= LIST_START_SPREAD_US
        if seed < fleet:
            times[int(polling.next_poll_at) // (100 * MS)] = (
                times.get(int(polling.next_poll_at) // (100 * MS), 0) + 1
            )
        for poll in range(5):
            started_at, duration = poll * 20 * SECOND, 2 * SECOND * (poll % 2)
            polling.next_poll_at = started_at
            assert polling.take_due(started_at)
            polling.poll_failed(started_at + duration)
            first, last = (
                (duration, duration + LIST_RETRY_SPREAD_US)
                if duration
                else (LIST_RETRY_PAUSE_US / 2, LIST_RETRY_PAUSE_US)
            )
            assert started_at + first <= polling.next_poll_at <= started_at + last
    assert fleet > 40 or max(times.values()) <= 5


def test_two_senders_poll_the_list_at_once_and_a_large_fleet_sends_with_its_cached_list() -> None:
    for fleet in (2, LARGE_FLEET_SIZE):
        policy = Dispatcher(settings(fleet_size=fleet, must_poll=True), seed=7)
        cached = EndpointsUpdated(ListingKind.CACHED, (endpoint("a"),))
        accepted = MessageAccepted("m1", "safe", 1, 20 * SECOND)
        actions = policy.handle(0, [cached, accepted])
        assert (Subscribe() in actions) == (fleet == 2)
        assert sent_messages(actions) == ["m1"]


def test_in_a_large_fleet_a_refused_connection_delays_nothing_while_another_endpoint_may_serve() -> None:
    """One of two endpoints is gone and the list is outdated; if both refuse, failures count as usual."""
    for fleet, gone, counted in ((4, "a", 1), (40, "a", 0), (40, "ab", 2)):
        world = World(endpoint("a"), endpoint("b"), fleet_size=fleet)
        max_failures, calls = 0.0, [each for each in world.accept(after=SECOND) if isinstance(each, Send)]
        for _ in range(8):
            if not calls or calls[0].endpoint not in gone:
                break
            actions = world.end_attempt(calls[0].message, Outcome.CONNECT_FAILED)
            calls = [each for each in actions if isinstance(each, Send)]
            (breaker,) = world.dispatcher.registry.all_breakers()
            max_failures = max(max_failures, breaker.failures)
        assert (max_failures >= counted) and (max_failures == 0) == (counted == 0)


def test_a_large_fleet_uses_separate_routes_by_rate_and_a_small_fleet_the_cheapest() -> None:
    for fleet, is_by_rate in ((4, False), (40, True)):
        rates = {"x": 60.0, "y": 30.0}
        routes = [endpoint(name, kind="apart", zone=name, scale=rate) for name, rate in rates.items()]
        world = World(*routes, fleet_size=fleet, announces_rates=True, zone_fees=(("x", 0.05), ("y", 0.0)))
        used = []
        for _ in range(60):
            used += [each.endpoint for each in world.accept(after=50 * MS) if isinstance(each, Send)]
            world.end_attempt(f"m{world.count}", Outcome.OK)
        assert (35 <= used.count("x") <= 45) == is_by_rate and (used.count("y") == 60) != is_by_rate


def test_the_mean_latency_is_learned_from_the_first_calls() -> None:
    world = World()
    for _ in range(3):
        world.accept()
        world.end_attempt(f"m{world.count}", Outcome.OK, after=50 * MS)
    (breaker,) = world.dispatcher.registry.all_breakers()
    assert breaker.mean_latency < 200 * MS


def test_a_queue_full_of_messages_that_cannot_be_sent_does_not_reject_new_ones() -> None:
    world = World(endpoint("b", destination=2), max_open=5)
    for _ in range(4):
        world.accept()
    actions = world.accept(destination=2)
    assert sent_messages(actions) == ["m5"]
    assert [each.message for each in rejected_or_failed(actions)] == ["m1"]
    assert [each.message for each in rejected_or_failed(world.accept())] == ["m2"]


@pytest.mark.parametrize(
    ("fleet", "passed", "shed"),
    [
        (LARGE_FLEET_SIZE, SECOND, "m7"),
        (LARGE_FLEET_SIZE, 13 * SECOND, "m7"),
        (LARGE_FLEET_SIZE, 14 * SECOND, "m3"),
        (4, SECOND, "m3"),
    ],
)
def test_a_large_fleet_does_not_shed_accepted_messages_before_seven_tenths_of_their_lifetime(
    fleet: int, passed: int, shed: str
) -> None:
    """Two long calls occupy all slots, so the new message would have to wait as well."""
    world = World(max_open=7, slots=2, max_attempts=1, fleet_size=fleet)
    for _ in range(6):
        world.accept("once")
    (first,) = rejected_or_failed(world.accept("once", after=passed))
    assert first.message == shed


def test_a_message_that_cannot_be_sent_before_its_deadline_is_shed_at_once() -> None:
    world = World(endpoint("a"), endpoint("b", destination=2), max_open=5, fleet_size=LARGE_FLEET_SIZE)
    assert sent_messages(world.accept())
    world.end_attempt("m1", Outcome.FULL, wait=40 * SECOND)
    for _ in range(3):
        world.accept()
    actions = world.accept(destination=2, after=SECOND)
    assert sent_messages(actions) == ["m5"] and len(rejected_or_failed(actions)) == 1


@pytest.mark.parametrize("size", [0, -3, None, "forty", 2.5, float("nan"), float("inf"), True, 1e308])
def test_an_invalid_fleet_size_raises_an_error_that_names_it(size: object) -> None:
    with pytest.raises(ValueError, match="fleet_size must be"):
        decode_settings(ENV | {"fleet_size": size}, on_sockets=True)


def test_a_refusal_limits_a_busy_member_of_a_large_fleet_to_its_usual_rate() -> None:
    """Its part of the traffic is several times the mean; in a small fleet the announced rate sets the gap."""
    for fleet, is_usual_rate in ((LARGE_FLEET_SIZE, True), (2, False)):
        listed = endpoint("a", scale=fleet / 4)  # the mean part of a member: one call in 4 s
        world = World(listed, fleet_size=fleet, announces_rates=True)
        for _ in range(60):
            assert sent_messages(world.accept(after=800 * MS))
            world.end_attempt(f"m{world.count}", Outcome.OK, after=0)
        (breaker,) = world.dispatcher.registry.all_breakers()
        assert sent_messages(world.accept(after=800 * MS))
        world.end_attempt(f"m{world.count}", Outcome.FULL)
        assert (700 * MS < breaker.gap < 900 * MS) == is_usual_rate
        assert is_usual_rate or breaker.gap == breaker.base_gap


@pytest.mark.parametrize(
    ("fleet", "tenant", "is_sent"),
    [(LARGE_FLEET_SIZE, "t", False), (LARGE_FLEET_SIZE, "", True), (4, "t", True), (4, "", True)],
)
def test_in_a_large_fleet_a_new_message_over_quota_does_not_pass_a_full_queue(
    fleet: int, tenant: str, is_sent: bool
) -> None:
    """A new message that has to wait finds no room in a full queue. Guards against a fault: a new message
    over quota that could be sent at once went ahead of such a message.
    """
    changes = {"fleet_size": fleet, "max_open": 5, "tenants": (("t", 1.0),), "over_quota_weight": 0.1}
    world = World(endpoint("a"), endpoint("b", destination=2), **changes)
    assert sent_messages(world.accept())
    world.end_attempt("m1", Outcome.FULL, wait=10 * SECOND)
    for _ in range(3):
        world.accept()
    actions = world.accept(destination=2, tenant=tenant)
    assert sent_messages(actions) == (["m5"] if is_sent else [])
    if not is_sent:
        assert [each.message for each in rejected_or_failed(actions)] == ["m5"]
