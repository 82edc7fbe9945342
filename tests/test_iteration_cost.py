"""An iteration costs only what changed, and decides as a policy that examines everything would decide."""

import dataclasses
import io
import math
import random
import tracemalloc
from collections.abc import Callable
from typing import Any

import pytest
from helpers import MS, SECOND, World, endpoint, sent_messages
from hypothesis import given, settings
from hypothesis import strategies as st

from message_sender.policy import dispatcher, pending
from message_sender.policy import urgency as urgency_module
from message_sender.policy.actions import CancelAttempt, PolicyAction, Send, WakeAfter
from message_sender.policy.breaker import NEVER, ActiveCall
from message_sender.policy.destination import Destination
from message_sender.policy.dispatcher import Dispatcher
from message_sender.policy.endpoints import INACTIVE_DESTINATION_AGE_US, UNUSED_BREAKER_AGE_US
from message_sender.policy.events import EndpointsUpdated, MessageAccepted, PolicyEvent, WakeUp
from message_sender.policy.inflight import InFlightCalls
from message_sender.policy.model import Effect, EndpointState, ListingKind, MessageClass, Outcome, Settings
from message_sender.policy.pending import PendingQueue
from message_sender.policy.pending_message import PendingMessage
from message_sender.policy.timers import MAX_STALE_ENTRIES, TimerQueue
from message_sender.policy.urgency import ReadyGroup, urgency
from message_sender.testbed.event_stream import Recorder, StreamShape, StreamWorld, read


class ExhaustivePendingQueue(PendingQueue):
    def find_ready(self) -> None:
        super().find_ready()
        for each in self.messages.values():
            destination = self.registry.destinations[each.destination]
            if self.is_pending(each) and self.is_next_of_key(each) and not each.is_ready:
                destination.add_ready(each, self.settings.halves_late_weight)
            elif each.is_ready and not (self.is_pending(each) and self.is_next_of_key(each)):
                destination.remove_ready(each)

    def shed_excess(self, below: float = NEVER) -> None:
        self.shedding_order, self.shedding_order_until = [], -NEVER
        super().shed_excess(below)
        self.shedding_order, self.shedding_order_until = [], -NEVER


class ExhaustiveInFlightCalls(InFlightCalls):
    def process_overdue(self) -> None:
        now = self.loop.now
        on_time = [x for x in self.active if not (x.is_overdue or x.is_settled)]
        for call in on_time:
            if now >= call.sent_at + call.breaker.overdue_after():
                self.mark_overdue(call)
        needs_slot = len(self.active) >= self.settings.slots
        for call in sorted((x for x in self.active if x.is_overdue), key=ActiveCall.has_effects):
            if not call.is_cancelled and self.should_cancel(call, needs_slot):
                call.is_cancelled, needs_slot = True, False
                cancellations = [CancelAttempt(x.id, x.attempts - 1) for x in call.messages.values()]
                self.loop.actions += cancellations
        self.registry.changed_breakers = {}


class ExhaustiveDispatcher(Dispatcher):
    """A simple model of the policy: examines all messages, calls and endpoints in each iteration."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.pending.__class__, self.inflight.__class__ = ExhaustivePendingQueue, ExhaustiveInFlightCalls

    def find_available(self) -> list[Destination]:
        if len(self.active_calls) >= self.settings.slots:
            return []
        return [
            x for x in self.destinations.values() if x.ready_groups and any(map(self.may_call, x.breakers))
        ]

    def push_most_urgent(self, heap: list[Any], destination: Destination) -> None:
        now = self.loop.now
        ranked = [
            (
                urgency_module.Rank(
                    -urgency(*each.curve[:2], now - created_at, each.curve[2]), created_at, number
                ),
                message,
            )
            for each in (destination.ready_groups or {}).values()
            for created_at, number, message in each.messages
        ]
        if ranked:
            heap.append((*min(ranked), destination))
            heap.sort()

    def next_due(self) -> float:
        """Returns when something is due next, found by examining everything."""
        now = self.loop.now
        waiting = [x for x in self.destinations.values() if x.ready_groups]
        # With no slot free, the end of the next call is an event anyway.
        has_slot = len(self.active_calls) < self.settings.slots
        due = [x.earliest_ready_at(int(now)) for x in waiting if has_slot]
        due += [
            x.sent_at + x.breaker.overdue_after()
            for x in self.active_calls
            if not (x.is_overdue or x.is_settled)
        ]
        due += [x.deadline - self.settings.tick for x in self.messages.values() if not x.is_in_flight]
        return min((each for each in due if each > now), default=NEVER)


def without_wake_ups(actions: list[PolicyAction]) -> list[PolicyAction]:
    return [each for each in actions if not isinstance(each, WakeAfter)]


SMALL = StreamShape(seconds=7.0, list_change_rate=1.0)
SHAPES = {
    "defaults": SMALL,
    "few slots": dataclasses.replace(SMALL, settings={"slots": 3}),
    "no keys, most destinations faulty": dataclasses.replace(
        SMALL, keys=0, fault_share=0.9, behavior_seconds=1.5
    ),
    "one key": dataclasses.replace(SMALL, keys=1, rate=20.0),
    "a large fleet": dataclasses.replace(SMALL, settings={"fleet_size": 40, "announces_rates": False}),
    "late messages keep their weight": dataclasses.replace(
        SMALL, settings={"halves_late_weight": False, "max_open": 40}, rate=90.0
    ),
}


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("name", SHAPES)
def test_the_policy_decides_as_a_policy_that_examines_everything(
    name: str, seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Both decide at the wake-ups that the policy requests, and the policy never sleeps past a due time."""
    # Otherwise the shedding order of the policy may be some ms old.
    monkeypatch.setattr(pending, "SHEDDING_ORDER_AGE_US", 0)
    world = StreamWorld(SHAPES[name], seed)
    policy, model = Dispatcher(world.settings, seed), ExhaustiveDispatcher(world.settings, seed)

    def compare(now: int, events: list[PolicyEvent], actions: list[PolicyAction]) -> None:
        policy.pending.shedding_order_until = -NEVER
        assert without_wake_ups(model.handle(now, events)) == without_wake_ups(actions), (now, events)
        due = model.next_due()
        assert due == NEVER or policy.wake_at <= max(due, now + world.settings.tick), (now, due)

    world.run(policy.handle, compare)
    assert world.action_counts["Send"] > 20 and policy.messages.keys() == model.messages.keys()


def test_a_recorded_stream_replays_identically() -> None:
    world, sink = StreamWorld(dataclasses.replace(SMALL, seconds=3.0), 5), io.StringIO()
    recorder = Recorder(sink, world.settings, 5, Dispatcher(world.settings, 5).handle)
    world.run(recorder, lambda *_: None)
    lines = read(sink.getvalue().splitlines())
    recorded, seed = next(lines)
    assert recorded == world.settings
    replayed, calls = Dispatcher(recorded, seed), 0
    for now, events, actions in lines:
        assert replayed.handle(now, events) == actions
        calls += 1
    assert calls > 100


# Urgency: the most urgent message of a group, for any size of the group.

KINDS = [
    MessageClass(f"c{number}", aim, deadline, 1.0, late, Effect.IDEMPOTENT)
    for number, (aim, deadline, late) in enumerate(
        [(4 * SECOND, 20 * SECOND, 0.3), (1_000, 1_000, 0), (500, 9_000, 0), (2_000, 3_000, 1), (7, 90, 0.01)]
    )
]


@given(
    kind=st.sampled_from(KINDS),
    halves=st.booleans(),
    shares=st.lists(st.floats(-0.1, 1.3), min_size=1, max_size=60),
    base=st.integers(0, 10**9),
)
@settings(max_examples=300, deadline=None, derandomize=True)
def test_the_most_urgent_message_of_a_group_is_among_its_candidates(
    kind: MessageClass, halves: bool, shares: list[float], base: int
) -> None:
    now, group, messages = base + 2 * kind.deadline, ReadyGroup(kind, 0.1, halves), []
    for number, share in enumerate(shares):
        age = int(share * kind.deadline)
        accepted = MessageAccepted(f"m{number}", kind.name, 1, kind.deadline)
        message = PendingMessage(accepted, kind, now - age, 0.1)
        message.sequence = number
        group.add(message)
        messages.append(message)
    most_urgent = group.most_urgent(now)[1]
    assert len(group.candidates(now)) <= 2 * (len(group.breakpoints) + 1)

    def loss(each: PendingMessage) -> float:
        return urgency(kind, 0.1, now - each.created_at, halves)

    largest = max(map(loss, messages))
    assert math.isclose(loss(most_urgent), largest, rel_tol=1e-12, abs_tol=1e-15)
    equal = [x for x in messages if loss(x) == loss(most_urgent)]
    assert most_urgent is min(equal, key=lambda x: (x.created_at, x.sequence))


TIMES = st.integers(0, 50) | st.just(math.inf)


@given(st.lists(st.tuples(st.integers(0, 9), TIMES), max_size=200), st.integers(0, 50))
@settings(max_examples=200, deadline=None, derandomize=True)
def test_a_timer_queue_agrees_with_a_table_of_times(changes: list[tuple[int, float]], now: int) -> None:
    timers: TimerQueue[int] = TimerQueue()
    table: dict[int, float] = {}
    for item, at in changes:
        timers.schedule(item, at)
        table[item] = at
        assert timers.next_due() == min((x for x in table.values()), default=math.inf)
        assert len(timers.heap) <= 2 * len(timers.times) + MAX_STALE_ENTRIES + 1
    due = list(timers.pop_due(now))
    assert sorted(due) == sorted(item for item, at in table.items() if at <= now)
    assert [table[x] for x in due] == sorted(table[x] for x in due)


# Number of items examined.


def examined_items_per_event(shape: StreamShape, since: float) -> float:
    """Returns the items examined per event after `since` seconds. A failed trial counts as an event."""
    world = StreamWorld(shape, 3)
    policy, event_count, before = Dispatcher(world.settings, 3), 0, 0

    def count(now: int, events: list[PolicyEvent], actions: list[PolicyAction]) -> None:
        nonlocal event_count, before
        if now < since * SECOND:
            before = policy.loop.examined_items
        else:
            event_count += len(events)

    world.run(policy.handle, count)
    return (policy.loop.examined_items - before) / event_count


LARGE_LIMITS = {"max_open": 10**6, "slots": 64, "announces_rates": False, "fleet_size": 1}
CALM = StreamShape(fault_share=0, list_change_rate=0, keys=0, rate=100.0, seconds=4.0, settings=LARGE_LIMITS)


@pytest.mark.parametrize("count", [10, 100, 10_000])
def test_unused_destinations_add_no_examined_items(count: int) -> None:
    assert examined_items_per_event(dataclasses.replace(CALM, destinations=count), 1.0) < 6


@pytest.mark.parametrize("down", [5, 500, 9_990])
def test_destinations_that_are_down_add_no_examined_items(down: int) -> None:
    shape = dataclasses.replace(CALM, destinations=down + 10, down=down, seconds=14.0)
    assert examined_items_per_event(shape, 10.0) < 6


def test_a_key_used_once_leaves_no_state() -> None:
    world = World(slots=1000, max_open=10**6)
    for each in range(10_000):
        world.accept("ordered", key=f"k{each}", after=MS)
        world.end_attempt(f"m{each + 1}", Outcome.OK, after=MS)
    assert (
        not world.dispatcher.keys
        and not world.dispatcher.pending.to_examine
        and not world.dispatcher.messages
    )


def test_the_cost_of_a_key_does_not_depend_on_its_waiting_messages() -> None:
    world = World(max_open=10**6)
    for _ in range(3000):
        world.accept("ordered", key="k")
    before = world.dispatcher.loop.examined_items
    for each in range(100):
        assert sent_messages(world.end_attempt(f"m{each + 1}", Outcome.OK)) == [f"m{each + 2}"]
    assert world.dispatcher.loop.examined_items - before <= 100 * 8


def test_unknown_tenants_leave_no_state() -> None:
    world = World(tenants=(("known", 5.0),), over_quota_weight=0.5)
    for each in range(2000):
        world.accept(tenant=f"made up {each}", after=MS)
        world.end_attempt(f"m{each + 1}", Outcome.OK, after=MS)
    assert list(world.dispatcher.pending.credit) == ["known"]


def test_more_destinations_than_an_iteration_examines_are_all_served() -> None:
    count = dispatcher.MAX_EXAMINED * 2 + 40
    world = World(*(endpoint(f"e{each}", each) for each in range(count)), slots=1, max_open=10**6)
    for each in range(count):
        world.accept(destination=each)
    served = []
    for _ in range(count):
        (message,) = [name for name, _ in world.dispatcher.calls]
        served.append(message)
        before = world.dispatcher.loop.examined_items
        world.end_attempt(message, Outcome.OK, after=MS)
        assert world.dispatcher.loop.examined_items - before <= 2 * dispatcher.MAX_EXAMINED + 10
    assert sorted(served) == sorted(f"m{each + 1}" for each in range(count))


# Memory and age.


def bytes_allocated_by(make: Callable[[], object]) -> int:
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        result = make()
        return tracemalloc.get_traced_memory()[0] - before if result else 0
    finally:
        tracemalloc.stop()


DESTINATIONS = 2000
#: Bytes for a destination with one endpoint, as docs/design/quiet.md states them.
LISTED_ONLY_BYTES, ACTIVE_BYTES = 700, 3000


def test_the_memory_of_a_destination_stays_below_its_bound() -> None:
    listed = tuple(endpoint(f"e{each}", each) for each in range(DESTINATIONS))
    world = World()
    full = EndpointsUpdated(ListingKind.FULL, listed)
    listed_only = bytes_allocated_by(lambda: world.step(full, after=1) or world)
    assert listed_only / DESTINATIONS <= LISTED_ONLY_BYTES

    def use_all() -> World:
        for each in range(DESTINATIONS):
            world.accept(destination=each, after=MS)
            world.end_attempt(f"m{each + 1}", Outcome.OK, after=MS)
        return world

    active = bytes_allocated_by(use_all)
    assert active / DESTINATIONS <= ACTIVE_BYTES
    world.step(WakeUp(), after=25 * SECOND)
    assert len(world.dispatcher.registry.all_breakers()) == DESTINATIONS
    for _ in range(3):
        world.step(WakeUp(), after=INACTIVE_DESTINATION_AGE_US + UNUSED_BREAKER_AGE_US)
    assert not world.dispatcher.registry.all_breakers() and not world.dispatcher.pending.deadlines
    assert (
        len(world.dispatcher.destinations) == DESTINATIONS
        and not world.dispatcher.registry.overdue_checks.times
    )


def world_after_silence(silence: int, outcome: Outcome, **changes: object) -> World:
    """Returns a world with a destination that was used, and then unused for `silence` microseconds."""
    world = World(**changes)
    for _ in range(3):
        if sent_messages(world.accept("once", after=SECOND)):
            world.end_attempt(f"m{world.count}", outcome)
    while silence > 0:
        step = min(silence, INACTIVE_DESTINATION_AGE_US // 2)
        world.step(WakeUp(), after=step)
        silence -= step
    return world


@pytest.mark.parametrize("outcome", [Outcome.OK, Outcome.RESET, Outcome.ERROR])
@pytest.mark.parametrize("days", [1, 30])
def test_an_inactive_destination_is_warmed_up_and_not_judged_by_old_statistics(
    outcome: Outcome, days: int
) -> None:
    world = world_after_silence(days * 24 * 3600 * SECOND, outcome)
    assert not world.dispatcher.messages and not world.dispatcher.registry.all_breakers()
    assert len(sent_messages(world.accept())) == 1  # no outdated count of failures delays it
    for _ in range(30):
        world.accept()
    (breaker,) = world.dispatcher.registry.all_breakers()
    assert breaker.warm_up_since == world.now and breaker.failures == 0
    sent_at = []
    for _ in range(400):
        calls = list(world.dispatcher.calls)
        sent_at += [world.now] * len(calls)
        for name, _number in calls:
            world.end_attempt(name, Outcome.OK, after=0)
        world.step(WakeUp(), after=10 * MS)
    in_first_second = [each for each in sent_at if each - sent_at[0] <= SECOND]
    # One call, then more at the pace of a cold destination.
    assert 1 <= len(in_first_second) <= 2 and len(sent_at) >= 2


def test_a_destination_used_again_soon_keeps_its_statistics() -> None:
    world = world_after_silence(INACTIVE_DESTINATION_AGE_US // 2, Outcome.RESET)
    (breaker,) = world.dispatcher.registry.all_breakers()
    assert breaker.is_open() and len(sent_messages(world.accept())) == 1 and breaker.trial is not None


def test_a_destination_that_was_never_used_is_not_warmed_up() -> None:
    world = World()
    world.step(WakeUp(), after=30 * 24 * 3600 * SECOND)
    assert len(sent_messages(world.accept())) == 1 and len(sent_messages(world.accept())) == 1


def test_a_destination_listed_again_keeps_its_pending_messages_and_calls() -> None:
    world = World(slots=1)
    world.accept(), world.accept()
    gone = endpoint("a", state=EndpointState.GONE)
    world.step(EndpointsUpdated(ListingKind.CHANGES, (gone,)), after=MS)
    world.step(WakeUp(), after=2 * SECOND)
    world.step(EndpointsUpdated(ListingKind.CHANGES, (endpoint("a"),)), after=MS)
    assert sent_messages(world.end_attempt("m1", Outcome.OK)) == ["m2"]
    world.end_attempt("m2", Outcome.OK)
    assert world.dispatcher.destinations[1].breakers_by_route[""].in_flight == 0  # type: ignore[index]


def test_endpoints_that_swap_destinations_leave_their_messages_behind() -> None:
    world = World(endpoint("a", 1), endpoint("b", 2))
    world.accept(destination=1, message="x"), world.accept(destination=2, message="y")
    swapped = (endpoint("a", 2), endpoint("b", 1))
    world.step(EndpointsUpdated(ListingKind.CHANGES, swapped), after=MS)
    for name, other in (("x", "b"), ("y", "a")):
        actions = world.end_attempt(name, Outcome.CONNECT_FAILED)
        assert [x.endpoint for x in actions if isinstance(x, Send) and x.message == name] == [other]
    assert {each.destination for each in world.dispatcher.registry.all_breakers()} == {1, 2}


def test_ten_thousand_destinations_activated_within_a_minute_are_all_served() -> None:
    count, rng = 10_000, random.Random(1)
    world = World(*(endpoint(f"e{each}", each) for each in range(count)), slots=64, max_open=10**6)
    numbers = list(range(count))
    rng.shuffle(numbers)
    before, in_flight = world.dispatcher.loop.examined_items, []
    for number in numbers:
        in_flight += sent_messages(world.accept(destination=number, after=6 * MS))
        if len(in_flight) > 8:
            world.end_attempt(in_flight.pop(0), Outcome.OK, after=0)
    for name in in_flight:
        world.end_attempt(name, Outcome.OK)
    assert not world.dispatcher.messages and (world.dispatcher.loop.examined_items - before) / count < 10


def test_a_complete_list_sent_repeatedly_changes_nothing() -> None:
    listed = EndpointsUpdated(ListingKind.FULL, tuple(endpoint(f"e{each}", each) for each in range(10_000)))
    world = World()
    world.step(listed)
    world.accept(destination=7)
    for _ in range(20):
        assert without_wake_ups(world.step(listed, after=SECOND // 10)) == []
    assert (
        sent_messages(world.accept(destination=7)) == ["m2"]
        and len(world.dispatcher.registry.all_breakers()) == 1
    )


def test_a_credit_of_one_message_up_to_rounding_is_enough() -> None:
    """Guards against a rounding fault: 3 messages a second at multiples of 5 ms reach a credit of exactly 1,
    so that the last bit of the sum decided.
    """
    factors = []
    for steps in range(1, 60):
        world = World(tenants=(("t", 1.0),), over_quota_weight=0.1, slots=1)
        world.accept(tenant="t")
        # Messages over the quota, which leave the accumulated credit unchanged.
        for each in range(1, steps):
            world.accept(tenant="t", message=f"x{each}", after=SECOND * each // steps - world.now)
        world.accept(tenant="t", message="last", after=SECOND - world.now)
        factors.append(world.dispatcher.messages["last"].weight_factor)
    assert set(factors) == {1.0}
