"""The six delivery rules: a test here fails if the code that enforces a rule is removed."""

import pytest
from helpers import MS, SECOND, World, endpoint, rejected_or_failed, sent_messages

from message_sender.policy.actions import Fail, Reject, Send
from message_sender.policy.endpoints import UNUSED_BREAKER_AGE_US
from message_sender.policy.events import (
    CompletionAcknowledged,
    EndpointsUpdated,
    MessageAccepted,
    MessageRestored,
    MessageWithdrawn,
    Stopping,
    WakeUp,
)
from message_sender.policy.model import EndpointState, ListingKind, Outcome
from message_sender.policy.outage import WARM_UP_LOAD_FACTOR


def test_a_pending_message_is_completed_before_its_deadline() -> None:
    world = World(endpoint("other", destination=2))
    assert sent_messages(world.accept(time_left_us=SECOND)) == []
    assert rejected_or_failed(world.step(WakeUp(), after=SECOND - 5 * MS)) == [Reject("m1")]


def test_a_message_refused_just_before_its_deadline_is_completed() -> None:
    world = World()
    world.accept(time_left_us=SECOND)
    world.step(WakeUp(), after=SECOND - 4 * MS)
    assert rejected_or_failed(world.end_attempt("m1", Outcome.FULL, after=0)) == [Reject("m1")]


def test_a_timeout_at_the_deadline_completes_the_message_at_once() -> None:
    world = World()
    world.accept(time_left_us=SECOND)
    assert len(rejected_or_failed(world.end_attempt("m1", Outcome.TIMEOUT, after=SECOND))) == 1


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED])
def test_an_unsafe_message_that_may_have_run_fails(outcome: Outcome) -> None:
    world = World()
    world.accept("once")
    actions = world.end_attempt("m1", outcome)
    assert rejected_or_failed(actions) == [Fail("m1")] and sent_messages(actions) == []


@pytest.mark.parametrize("outcome", [Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT])
def test_an_unsafe_message_that_never_ran_is_sent_again(outcome: Outcome) -> None:
    world = World()
    world.accept("once")
    actions = world.end_attempt("m1", outcome)
    assert sent_messages(actions + world.step(WakeUp(), after=3 * SECOND)) == ["m1"]


def test_a_keyed_message_is_repeated_only_within_its_window() -> None:
    world = World()
    world.accept("keyed")
    actions = world.end_attempt("m1", Outcome.ERROR, after=5 * SECOND)
    assert rejected_or_failed(actions) == [Reject("m1")] and sent_messages(actions) == []
    world.accept("keyed")
    assert sent_messages(world.end_attempt("m2", Outcome.ERROR)) == ["m2"]


def test_a_zonal_message_is_repeated_only_in_the_zone_that_drops_repeats() -> None:
    world = World(endpoint("a"), endpoint("b", zone="z2"))
    world.accept("zoned")
    again = [each for each in world.end_attempt("m1", Outcome.ERROR) if isinstance(each, Send)]
    assert [each.endpoint for each in again] == ["a"]


def test_a_zonal_message_past_its_window_fails_and_is_not_rejected() -> None:
    world = World()
    world.accept("zoned")
    assert rejected_or_failed(world.end_attempt("m1", Outcome.ERROR, after=5 * SECOND)) == [Fail("m1")]


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.GONE])
def test_no_call_is_sent_to_a_draining_or_removed_endpoint(state: EndpointState) -> None:
    world = World()
    world.step(EndpointsUpdated(ListingKind.CHANGES, (endpoint("a", state=state),)))
    assert sent_messages(world.accept()) == []


def test_a_full_list_replaces_the_previous_list() -> None:
    world = World()
    world.step(EndpointsUpdated(ListingKind.FULL, (endpoint("b"),)))
    (action,) = [each for each in world.accept() if isinstance(each, Send)]
    assert action.endpoint == "b"


def test_a_retry_after_delays_every_message_of_the_destination() -> None:
    world = World()
    world.accept()
    world.end_attempt("m1", Outcome.FULL, wait=4 * SECOND)
    assert sent_messages(world.accept("once", after=4 * SECOND - 10 * MS)) == []
    assert sent_messages(world.step(WakeUp(), after=10 * MS)) != []


def test_a_retry_after_delays_only_one_route_where_routes_are_separate() -> None:
    world = World(endpoint("a", kind="apart"), endpoint("b", kind="apart"))
    (first,) = [each for each in world.accept() if isinstance(each, Send)]
    (again,) = [each for each in world.end_attempt("m1", Outcome.FULL, wait=SECOND) if isinstance(each, Send)]
    assert {first.endpoint, again.endpoint} == {"a", "b"}


def test_messages_of_a_key_are_sent_one_at_a_time_in_order() -> None:
    world = World()
    assert sent_messages(world.accept("ordered", key="k")) == ["m1"]
    assert sent_messages(world.accept("ordered", key="k")) == []
    assert sent_messages(world.accept("ordered", key="other")) == ["m3"]
    assert sent_messages(world.end_attempt("m1", Outcome.OK)) == ["m2"]


def test_a_key_pauses_after_an_attempt_with_an_unknown_result() -> None:
    world = World()
    world.accept("ordered", key="k", time_left_us=SECOND)
    world.accept("ordered", key="k")
    assert sent_messages(world.end_attempt("m1", Outcome.TIMEOUT, after=SECOND)) == []
    assert sent_messages(world.step(WakeUp(), after=299 * MS)) == []
    assert sent_messages(world.step(WakeUp(), after=2 * MS)) == ["m2"]


def test_a_key_waits_for_the_result_of_a_withdrawn_message() -> None:
    world = World()
    world.accept("ordered", key="k")
    world.step(MessageWithdrawn("m1"))
    assert sent_messages(world.accept("ordered", key="k")) == []
    assert sent_messages(world.end_attempt("m1", Outcome.OK)) == ["m2"]


def test_a_returning_destination_gets_a_part_of_its_usual_rate() -> None:
    world = World()
    for _ in range(40):
        world.accept(after=90 * MS)
        world.end_attempt(f"m{world.count}", Outcome.OK)
    world.open_breaker()
    calls = 0
    for _ in range(20):
        actions = world.accept(after=100 * MS)
        while messages := sent_messages(actions):
            calls += len(messages)
            actions = [act for name in messages for act in world.end_attempt(name, Outcome.OK)]
    assert 1 <= calls
    before = calls
    for _ in range(20):
        actions = world.accept(after=100 * MS)
        while messages := sent_messages(actions):
            calls += len(messages)
            actions = [act for name in messages for act in world.end_attempt(name, Outcome.OK)]
    assert calls - before <= 10, "about twenty calls at the usual rate; a cold destination gets a part"


def restored(
    message: str, attempts: int = 1, uncertain_since: int | None = 0, **changes: object
) -> MessageRestored:
    values: dict[str, object] = {"message_class": "zoned", "destination": 1, "time_left_us": 20 * SECOND}
    accepted = MessageAccepted(message=message, **(values | changes))  # type: ignore[arg-type]
    return MessageRestored(accepted, attempts, uncertain_since, "z2" if uncertain_since is not None else "")


def test_a_restored_message_keeps_to_the_zone_and_window_of_its_first_uncertain_attempt() -> None:
    world = World(endpoint("a"), endpoint("b", zone="z2"))
    actions = world.step(restored("m1"))
    assert [each.endpoint for each in actions if isinstance(each, Send)] == ["b"]
    late = World(endpoint("a"), endpoint("b", zone="z2"))
    late.now = 6 * SECOND
    assert late.step(restored("m1"), WakeUp())[0] == Fail("m1")


def test_a_restored_unsafe_message_fails_if_it_may_have_run_and_is_sent_otherwise() -> None:
    world = World()
    actions = world.step(restored("m1", message_class="once"), restored("m2", 1, None, message_class="once"))
    assert rejected_or_failed(actions) == [Fail("m1")] and sent_messages(actions) == ["m2"]


def test_attempts_before_a_restart_count_towards_the_limit() -> None:
    world = World()
    world.step(restored("m1", 5, None))
    world.attempts["m1"] = 5
    assert len(rejected_or_failed(world.end_attempt("m1", Outcome.FULL))) == 1


def test_a_key_pauses_after_a_restart() -> None:
    world = World()
    world.step(restored("m1", 6, message_class="ordered", key="k"))
    assert sent_messages(world.accept("ordered", key="k")) == []
    assert sent_messages(world.step(WakeUp(), after=299 * MS)) == []
    assert sent_messages(world.step(WakeUp(), after=2 * MS)) == ["m1"]


def test_a_key_waits_for_the_acknowledged_completion_where_completions_are_acknowledged() -> None:
    world = World(acknowledges_completions=True)
    world.accept("ordered", key="k", destination=9, time_left_us=SECOND)
    world.accept("ordered", key="k")
    assert rejected_or_failed(world.step(WakeUp(), after=SECOND)) == [Reject("m1")]
    assert sent_messages(world.step(WakeUp(), after=5 * SECOND)) == []
    assert sent_messages(world.step(CompletionAcknowledged("m1"))) == ["m2"]


def test_no_call_starts_that_may_be_in_flight_when_the_process_ends() -> None:
    world = World()
    assert sent_messages(world.step(Stopping(3 * SECOND))) == []
    assert sent_messages(world.accept()) == ["m1"]
    assert sent_messages(world.accept(after=2800 * MS)) == []


def test_a_retry_after_or_drain_stops_a_call_that_is_still_connecting() -> None:
    world = World(endpoint("a"), endpoint("b", destination=2))
    world.accept()
    world.accept()
    assert world.dispatcher.may_start_call("a", world.now)
    world.end_attempt("m1", Outcome.FULL, wait=SECOND)
    assert not world.dispatcher.may_start_call("a", world.now + SECOND - 1)
    assert world.dispatcher.may_start_call("a", world.now + SECOND)
    world.step(EndpointsUpdated(ListingKind.CHANGES, (endpoint("b", state=EndpointState.GONE),)))
    assert not world.dispatcher.may_start_call("b", world.now)


def test_unused_state_expires_but_a_long_retry_after_is_kept() -> None:
    """Guards the memory of a long-lived process that sees ever new endpoints, keys and tenants."""
    world = World(endpoint("a"), endpoint("b", destination=2))
    world.accept("ordered", key="k", time_left_us=SECOND)
    world.end_attempt("m1", Outcome.TIMEOUT, after=SECOND)
    assert list(world.dispatcher.keys) == ["k"]
    world.accept(destination=2, time_left_us=SECOND, tenant="made up")
    world.end_attempt("m2", Outcome.FULL, wait=7200 * SECOND)
    world.accept(destination=77, time_left_us=SECOND)
    world.step(WakeUp(), after=SECOND)
    assert world.dispatcher.keys == {} and world.dispatcher.pending.credit == {}
    gone = [endpoint("a", state=EndpointState.GONE), endpoint("b", state=EndpointState.GONE)]
    world.step(EndpointsUpdated(ListingKind.CHANGES, tuple(gone)), after=5 * SECOND)
    assert len(world.dispatcher.registry.all_breakers()) == 2
    world.step(WakeUp(), after=UNUSED_BREAKER_AGE_US)
    assert [each.destination for each in world.dispatcher.registry.all_breakers()] == [2]
    assert list(world.dispatcher.destinations) == [2]


def test_the_end_of_a_key_pause_wakes_the_policy_up() -> None:
    world = World()
    world.accept("ordered", key="k")
    world.accept("ordered", key="k")
    assert sent_messages(world.end_attempt("m1", Outcome.TIMEOUT)) == ["m1"]
    assert sent_messages(world.end_attempt("m1", Outcome.OK)) == []
    assert sent_messages(world.step(WakeUp(), after=int(world.dispatcher.wake_at) - world.now)) == ["m2"]


def test_a_pending_message_is_completed_when_its_window_ends() -> None:
    world = World(slots=1)
    world.accept("keyed")
    world.end_attempt("m1", Outcome.ERROR, wait=60 * SECOND)
    for _ in range(10):
        if rejected_or_failed(actions := world.step(WakeUp(), after=SECOND)):
            break
    assert [each.message for each in rejected_or_failed(actions)] == ["m1"]
    assert 4 * SECOND <= world.now <= 6 * SECOND


def test_a_new_process_paces_a_returning_destination_by_its_part_of_the_announced_rate() -> None:
    """Guards against a fault: after a restart two busy destinations got one call every 2.8 s, a rate that was
    guessed because the new process had no history.
    """
    gaps = []
    for announces_rates in (False, True):
        world = World(endpoint("a", scale=40.0), fleet_size=2, announces_rates=announces_rates)
        (breaker,) = world.dispatcher.registry.activate(1).breakers
        for _ in range(3):
            breaker.record_failure(world.now)
        gaps.append(breaker.warm_up_gap(world.now))
    assert gaps[1] == 2 / 40 * SECOND / (2.0 * WARM_UP_LOAD_FACTOR * 0.2) < gaps[0]


def test_a_retry_after_stops_calls_about_to_start_before_its_event_is_handled() -> None:
    world = World()
    world.dispatcher.retry_after_received("a", world.now + SECOND)
    assert not world.dispatcher.may_start_call("a", world.now) and sent_messages(world.accept()) == []
    assert sent_messages(world.step(WakeUp(), after=SECOND)) == ["m1"]


def test_refusals_of_restored_messages_warm_a_destination_up_after_a_restart() -> None:
    """Guards against a fault found in simulation: a killed process lost its record of refusals, so that after
    the restart all messages pending for a destination out of service were sent to it at once.
    """
    for refusals, is_warming_up in ((1, False), (2, True)):
        world = World()
        accepted = MessageAccepted("m1", "safe", 1, 20 * SECOND)
        outcomes = (("a", Outcome.FULL),) * refusals
        world.step(MessageRestored(accepted, refusals, None, "", outcomes))
        (breaker,) = world.dispatcher.registry.all_breakers()
        assert (breaker.warm_up_gap(world.now) > 0) == is_warming_up


def test_a_repeat_is_not_started_if_connecting_outlasts_its_window() -> None:
    """Guards against a fault found in simulation: a repeat was within its window when the policy sent it, but
    no longer when its connection was established 0.3 s later.
    """
    world = World()
    world.accept("keyed")
    world.end_attempt("m1", Outcome.ERROR)
    message = world.dispatcher.messages["m1"]
    assert message.is_in_flight and message.uncertain_since is not None
    window_end = int(world.dispatcher.pending.repeat_until(message, message.uncertain_since))
    assert world.dispatcher.may_start_call("a", window_end - 1, "m1")
    assert not world.dispatcher.may_start_call("a", window_end, "m1")
    assert world.dispatcher.may_start_call("a", window_end, "another")
