"""The circuit breaker of a destination."""

import math

import pytest
from helpers import MS, SECOND, World, endpoint, rejected_or_failed, sent_messages

from message_sender.policy.actions import CancelAttempt, PolicyAction, Subscribe
from message_sender.policy.breaker import FAILURE_THRESHOLD, RESET_TIMEOUT_US
from message_sender.policy.events import EndpointsUpdated, MessageAccepted, MessageRestored, WakeUp
from message_sender.policy.model import ListingKind, Outcome


def test_the_breaker_opens_at_the_threshold_and_keeps_messages_pending() -> None:
    world = World()
    for number in range(FAILURE_THRESHOLD):
        assert sent_messages(world.accept("once")) == [f"m{number + 1}"]
        world.end_attempt(f"m{number + 1}", Outcome.RESET)
    actions = world.accept()
    assert sent_messages(actions) == [] and rejected_or_failed(actions) == []


def test_a_successful_call_resets_the_failure_count() -> None:
    world = World()
    for _ in range(FAILURE_THRESHOLD - 1):
        world.accept("once")
        world.end_attempt(f"m{world.count}", Outcome.RESET)
    (breaker,) = world.dispatcher.registry.all_breakers()
    assert breaker.failures == FAILURE_THRESHOLD - 1
    world.accept()
    world.end_attempt(f"m{world.count}", Outcome.OK)
    assert breaker.failures == 0


def test_one_trial_is_sent_at_a_time_and_its_success_closes_the_breaker() -> None:
    world = World()
    world.open_breaker()
    world.accept()
    world.accept()
    (trial,) = sent_messages(world.step(WakeUp(), after=RESET_TIMEOUT_US))
    assert sent_messages(world.accept(after=100 * MS)) == []
    actions = world.end_attempt(trial, Outcome.OK)
    later = sent_messages(world.step(WakeUp(), after=4 * SECOND))
    assert len(sent_messages(actions)) + len(later) >= 1


def test_a_failed_trial_restarts_the_reset_timeout() -> None:
    world = World()
    world.open_breaker()
    world.accept()
    (trial,) = sent_messages(world.step(WakeUp(), after=RESET_TIMEOUT_US))
    assert sent_messages(world.end_attempt(trial, Outcome.CONNECT_FAILED)) == []
    assert sent_messages(world.step(WakeUp(), after=RESET_TIMEOUT_US - 10 * MS)) == []
    assert len(sent_messages(world.step(WakeUp(), after=10 * MS))) == 1


def test_the_gap_grows_with_refusals_and_shrinks_with_successful_calls() -> None:
    world = World()
    world.accept()
    world.end_attempt("m1", Outcome.FULL)
    (breaker,) = world.dispatcher.registry.all_breakers()
    first = breaker.gap
    world.step(WakeUp(), after=SECOND)
    world.end_attempt("m1", Outcome.FULL)
    assert breaker.gap == 2 * first > 0
    world.step(WakeUp(), after=4 * SECOND)
    world.end_attempt("m1", Outcome.OK)
    assert breaker.gap < 2 * first


def test_refusals_do_not_count_as_failures() -> None:
    world = World()
    world.accept()
    for _ in range(FAILURE_THRESHOLD):
        world.end_attempt("m1", Outcome.FULL)
        assert sent_messages(world.step(WakeUp(), after=9 * SECOND // 2)) == ["m1"]


def test_overdue_calls_open_the_breaker_before_any_call_times_out() -> None:
    world = World()
    for _ in range(FAILURE_THRESHOLD):
        world.accept("once")
    world.step(WakeUp(), after=3 * SECOND)
    assert sent_messages(world.accept()) == []


def test_messages_sent_in_one_iteration_share_a_call_where_batches_are_accepted() -> None:
    world = World(endpoint("a", kind="apart"), slots=1)
    events = [MessageAccepted(f"x{each}", "safe", 1, 20 * SECOND) for each in range(7)]
    assert len(sent_messages(world.step(*events))) == 5


@pytest.mark.parametrize("polls", [1, 5])
def test_a_local_list_is_polled_again_within_the_grace_period_of_a_drain(polls: int) -> None:
    """A change that the local agent has counts as announced, also before the sender polls the agent."""

    def pause(**changes: object) -> int:
        world = World(must_poll=True, **changes)
        for _ in range(polls):
            world.step(EndpointsUpdated(ListingKind.FAILED), after=MS)
            failed_at, asked_at = world.now, math.ceil(world.dispatcher.registry.list_polling.next_poll_at)
            assert Subscribe() in world.step(WakeUp(), after=asked_at - failed_at)
        return asked_at - failed_at

    assert pause(has_local_list=True) <= 100 * MS < pause()


def test_same_events_give_the_same_actions() -> None:
    def run() -> list[list[PolicyAction]]:
        world = World(endpoint("a"), endpoint("b"), must_poll=True)
        batches = [world.step(EndpointsUpdated(ListingKind.FAILED))]
        for number in range(30):
            actions = world.accept(("safe", "once", "keyed")[number % 3], after=50 * MS)
            batches.append(actions)
            for name in sent_messages(actions):
                batches.append(world.end_attempt(name, (Outcome.OK, Outcome.FULL, Outcome.ERROR)[number % 3]))
        return batches

    assert run() == run()


def test_errors_weigh_less_than_other_failures() -> None:
    world = World()
    for _ in range(FAILURE_THRESHOLD):
        world.accept("once")
        world.end_attempt(f"m{world.count}", Outcome.ERROR)
    (breaker,) = world.dispatcher.registry.all_breakers()
    assert 0 < breaker.failures < FAILURE_THRESHOLD


def test_overdue_calls_do_not_occupy_every_slot() -> None:
    world = World(endpoint("a"), endpoint("b", destination=2), slots=4)
    for destination in (1, 1, 2, 2):
        world.accept("once", destination=destination)
    actions = world.step(WakeUp(), after=3 * SECOND) + world.step(WakeUp(), after=3 * SECOND)
    assert [each for each in actions if isinstance(each, CancelAttempt)] != []


def test_the_gap_may_grow_further_where_more_senders_share_a_limit() -> None:
    def gap_after_refusals(fleet: int) -> float:
        world = World(fleet_size=fleet, max_attempts=99)
        world.accept(time_left_us=20 * SECOND)
        (breaker,) = world.dispatcher.registry.all_breakers()
        for _ in range(30):
            world.end_attempt("m1", Outcome.FULL, after=MS)
            world.step(WakeUp(), after=round(breaker.gap))
            if "m1" not in world.dispatcher.messages:
                break
        return breaker.gap

    assert gap_after_refusals(12) > gap_after_refusals(2)


def test_failures_before_a_restart_open_the_breaker_for_a_trial_and_start_the_warm_up() -> None:
    world = World()
    accepted = [MessageAccepted(f"m{each}", "safe", 1, 20 * SECOND) for each in range(FAILURE_THRESHOLD)]
    failed = (("a", Outcome.CONNECT_FAILED),)
    actions = world.step(*[MessageRestored(each, 1, None, "", failed) for each in accepted])
    assert sent_messages(actions) == ["m0"]
    world.attempts["m0"] = 1
    assert sent_messages(world.end_attempt("m0", Outcome.OK)) == []
    assert sent_messages(world.step(WakeUp(), after=5 * SECOND)) == ["m1"]


def test_an_isolated_failure_before_a_restart_delays_nothing() -> None:
    world = World()
    accepted = [MessageAccepted(f"m{each}", "safe", 1, 20 * SECOND) for each in range(2)]
    actions = world.step(
        MessageRestored(accepted[0], 1, 0, "z1", (("a", Outcome.ERROR),)),
        MessageRestored(accepted[1], 0, None, ""),
    )
    assert sent_messages(actions) == ["m0", "m1"]


def test_a_call_overtaken_by_successful_ones_is_cancelled_and_retried_within_its_window() -> None:
    """Guards against connections that go silent: they held their messages, and these messages' keys, until
    the deadline.
    """
    world = World()
    world.accept("zoned")
    assert sent_messages(world.accept("zoned", after=100 * MS)) == ["m2"]
    world.end_attempt("m2", Outcome.OK)
    (breaker,) = world.dispatcher.registry.all_breakers()
    actions = world.step(WakeUp(), after=int(breaker.overdue_after()))
    assert [each for each in actions if isinstance(each, CancelAttempt)] == [CancelAttempt("m1", 0)]
    assert sent_messages(world.end_attempt("m1", Outcome.CANCELLED)) == ["m1"]


def test_an_overdue_call_is_not_cancelled_without_later_successes_or_if_it_may_not_be_retried() -> None:
    for kind, has_success in (("zoned", False), ("once", True)):
        world = World()
        world.accept(kind)
        world.accept("zoned", after=100 * MS)
        if has_success:
            world.end_attempt("m2", Outcome.OK)
        actions = world.step(WakeUp(), after=2 * SECOND)
        assert not [each for each in actions if isinstance(each, CancelAttempt)]


def test_the_gap_stays_within_the_bounds_of_the_announced_rate() -> None:
    """Guards against two faults. Refusals raised the gap to 2 s at a destination that accepts 58 calls a
    second. And with gaps far below the one at this sender's part of the rate, refused calls used up the limit
    too, so that a fifth of the attempts was refused.
    """
    world = World(endpoint("a", scale=50.0), fleet_size=2, announces_rates=True)
    (breaker,) = world.dispatcher.registry.activate(1).breakers
    gaps = []
    world.accept()
    for _ in range(5):
        world.end_attempt("m1", Outcome.FULL)
        gaps.append(breaker.gap)
        assert sent_messages(world.step(WakeUp(), after=SECOND)) == ["m1"]
    gap = 2 * SECOND / 50  # two senders share 50 calls a second; refusals for up to 2 s may be a rate limit
    assert gaps == [1.2 * gap, 1.2 * gap, 2.4 * gap, 4 * gap, 4 * gap]


def test_the_gap_shrinks_slowly_below_its_base_and_fast_above() -> None:
    world = World(endpoint("a", scale=1.0), announces_rates=True, max_attempts=99)
    (breaker,) = world.dispatcher.registry.activate(1).breakers

    def shrink(gap: float) -> float:
        breaker.gap = gap
        world.accept(after=9 * SECOND)
        world.end_attempt(f"m{world.count}", Outcome.OK)
        return breaker.gap / gap

    assert 0.95 < shrink(breaker.base_gap) < 1
    assert shrink(3 * breaker.base_gap) < 0.9


@pytest.mark.parametrize(
    ("pause", "wait", "is_outage"), [(100, 0, False), (100, 400, False), (700, 0, True), (100, 4_000, True)]
)
def test_only_refusals_beyond_a_limit_window_are_taken_for_an_outage(
    pause: int, wait: int, is_outage: bool
) -> None:
    """Guards against a fault: after three refusals in a row by a rate limit, a destination was warmed up for
    9 s as after an outage. A destination that is out of service refuses for longer than any limit window, or
    announces a longer wait; only such a destination is warmed up.
    """
    world = World(endpoint("a", scale=50.0), announces_rates=True, max_attempts=99)
    (breaker,) = world.dispatcher.registry.activate(1).breakers
    world.accept()
    for _ in range(FAILURE_THRESHOLD + 1):
        world.end_attempt("m1", Outcome.FULL, wait=wait * MS)
        world.step(WakeUp(), after=max(pause, wait) * MS)
    assert (breaker.warm_up_gap(world.now) > 0) is is_outage


def test_a_stale_connection_is_no_evidence_about_the_destination() -> None:
    world = World()
    (breaker,) = world.dispatcher.registry.activate(1).breakers
    for _ in range(FAILURE_THRESHOLD + 1):
        world.accept("once")
        world.end_attempt(f"m{world.count}", Outcome.STALE)
    assert breaker.failures == 0 and breaker.failure_rate == 0


def test_a_timeout_of_a_message_with_little_time_left_is_no_evidence() -> None:
    """Messages that are sent with little time left time out long before their calls are overdue."""
    world = World()
    for _ in range(2 * FAILURE_THRESHOLD):
        assert sent_messages(world.accept("safe", time_left_us=50 * MS))
        world.end_attempt(f"m{world.count}", Outcome.TIMEOUT, after=40 * MS)
    breaker = world.dispatcher.registry.all_breakers()[0]
    assert not breaker.failures and not breaker.failure_rate and not breaker.warm_up_gap(world.now)
    assert sent_messages(world.accept("safe"))


def test_a_trial_that_times_out_restarts_the_reset_timeout() -> None:
    world = World()
    world.open_breaker()
    trial = sent_messages(world.step(WakeUp(), after=RESET_TIMEOUT_US))
    assert len(trial) == 1
    world.end_attempt(trial[0], Outcome.TIMEOUT, after=40 * MS)
    assert not sent_messages(world.accept("safe"))
    assert sent_messages(world.step(WakeUp(), after=RESET_TIMEOUT_US))
