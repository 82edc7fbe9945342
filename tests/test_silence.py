"""Calls to a destination from which nothing comes back are limited to what it may get at its return."""

from helpers import MS, SECOND, World, endpoint, sent_messages

from message_sender.policy import silence
from message_sender.policy.actions import CancelAttempt, PolicyAction
from message_sender.policy.breaker import Breaker
from message_sender.policy.events import AttemptEnded, WakeUp
from message_sender.policy.model import Outcome

RATE = 25.0
LATENCY = 80 * MS


class SilentWorld(World):
    """One of three senders, whose destination has answered some calls."""

    def __init__(self, kind: str = "keyed", rate: float = RATE, interval: int = 50 * MS) -> None:
        super().__init__(endpoint("a", scale=rate), fleet_size=3, slots=64, announces_rates=True)
        self.kind = kind
        for _ in range(20):
            self.accept(kind, after=interval)
            self.end_attempt(f"m{self.count}", Outcome.OK, after=LATENCY)

    def breaker(self) -> Breaker:
        (breaker,) = self.dispatcher.registry.all_breakers()
        return breaker

    def submit_unanswered(self, seconds: float, interval: int = 150 * MS) -> list[PolicyAction]:
        """Accepts messages at an interval; given-up calls end, nothing else does. Returns all actions."""
        actions: list[PolicyAction] = []
        for _ in range(int(seconds * SECOND / interval)):
            new = self.accept(self.kind, after=interval, time_left_us=90 * SECOND)
            cancelled = [each for each in new if isinstance(each, CancelAttempt)]
            ended = (AttemptEnded(each.message, each.attempt, Outcome.CANCELLED) for each in cancelled)
            actions += new + self.step(*ended)
        return actions


def test_a_silent_destination_gets_no_more_calls_than_it_may_get_at_its_return() -> None:
    world = SilentWorld()
    sent = sent_messages(world.submit_unanswered(10))
    assert 3 <= len(sent) <= silence.part_of_return_calls(world.breaker())


def test_given_up_calls_count_and_the_last_one_waits_for_the_return() -> None:
    world = SilentWorld("safe")
    sent = sent_messages(world.submit_unanswered(30))
    assert 3 <= len(sent) <= silence.part_of_return_calls(world.breaker())
    assert world.breaker().in_flight == 1


def test_a_burst_at_a_destination_that_answers_is_not_limited() -> None:
    world = SilentWorld()
    sent = [name for _ in range(20) for name in sent_messages(world.accept("keyed"))]
    assert len(sent) == 20


def test_a_slow_call_does_not_limit_calls_to_a_destination_that_answers() -> None:
    world = SilentWorld()
    world.accept("once")
    for _ in range(40):
        assert sent_messages(world.accept("keyed", after=150 * MS))
        world.end_attempt(f"m{world.count}", Outcome.OK, after=LATENCY)


def test_a_call_is_possible_once_all_calls_have_ended_without_an_answer() -> None:
    world = SilentWorld()
    sent = sent_messages(world.submit_unanswered(20))
    assert not sent_messages(world.step(WakeUp(), after=10 * SECOND))
    ended = (AttemptEnded(each, 0, Outcome.TIMEOUT) for each in sent)
    assert len(sent_messages(world.step(*ended))) == 1


def test_a_destination_with_little_traffic_may_get_enough_calls_to_show_its_outage() -> None:
    world = SilentWorld(rate=0.5, interval=2 * SECOND)
    sent = sent_messages(world.submit_unanswered(30, interval=2 * SECOND))
    assert len(sent) == 3 and world.breaker().is_open()


def test_the_calls_that_a_destination_begins_at_its_return_are_paced_like_others() -> None:
    world = SilentWorld()
    sent = sent_messages(world.submit_unanswered(8))
    actions = world.step(*(AttemptEnded(each, 0, Outcome.OK, True) for each in sent))
    assert not sent_messages(actions)
    assert world.breaker().ready_at(world.now) == world.now + world.breaker().warm_up_gap(world.now)
