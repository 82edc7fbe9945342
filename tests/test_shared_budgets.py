"""Shared budgets of a simulated fleet, on virtual time.

The receiver never gets more calls than the limit in any window, also with random faults. Shares follow the
demand, and are redistributed when members start and fail.
"""

import multiprocessing
import os
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest
from helpers import World, sent_messages
from hypothesis import given
from hypothesis import strategies as st

from message_sender.budget import division, lease
from message_sender.budget.definition import Budget
from message_sender.budget.enforcer import NEVER_US, LimitEnforcer
from message_sender.budget.lease import LeaseMessageKind
from message_sender.budget.ledger import FULLY_WARM_PERMILLE
from message_sender.budget.manager import LeaseManager, grantor_rank
from message_sender.budget.retry_allowance import RetryAllowance
from message_sender.cli.budget_chart import BudgetSeries
from message_sender.configuration.resources import SharedBudget
from message_sender.core.hooks import HookChain
from message_sender.emulator.budget_links import LinkHub
from message_sender.emulator.shared_budget_fleet import Fleet
from message_sender.fleet.wire import LeaseDatagram
from message_sender.http.client import HttpTransport
from message_sender.http.response_mapping import announced_limit
from message_sender.policy.events import WakeUp
from message_sender.policy.model import DestinationKind, Endpoint, EndpointState, Outcome

SEEDS = int(os.environ.get("SHARED_SEEDS", "40"))
US = 1_000_000


def budget(size: int, limit: int = 30, floor: int = 0, lease_s: float = 1.0) -> Budget:
    return Budget("hub", "calls", limit, size, US, floor=floor, lease_us=int(lease_s * US))


def run_with_faults(seed: int) -> Fleet:
    """Runs three to six members with random faults in the first 12 s, and without faults until 26.2 s."""
    size = 3 + seed % 4
    demands = [60 / (1 + (each + seed) % size) for each in range(size)]
    fleet = Fleet(budget(size, floor=seed % 3), size, seed, demands)
    fleet.schedule_faults(12.0)
    fleet.network.run(26.2)
    return fleet


def find_violation(fleet: Fleet) -> str:
    ledger, limit = fleet.ledger, fleet.budget.limit
    if ledger.peak() > limit or ledger.peak_shares > limit:
        return f"{ledger.peak()} in a window and {ledger.peak_shares} at one instant, of {limit}"
    used = ledger.utilization(20, 20 + 6 * 1.0203, limit)  # complete windows, including their slack
    return "" if used > 0.9 else f"only {used:.2f} of the limit used long after the last fault"


def find_violation_of_seed(seed: int) -> str:
    return find_violation(run_with_faults(seed))


def test_usage_stays_within_the_limit_and_recovers_after_faults() -> None:
    with ProcessPoolExecutor(3, multiprocessing.get_context("spawn")) as pool:
        violations = dict(enumerate(pool.map(find_violation_of_seed, range(SEEDS))))
    assert not {seed: text for seed, text in violations.items() if text}


def test_a_planted_defect_exceeds_the_limit_for_some_seed(monkeypatch: pytest.MonkeyPatch) -> None:
    original_terms = Budget.terms
    defects: dict[str, Callable[[], None]] = {
        "usage under expired leases does not count": lambda: monkeypatch.setattr(
            Budget, "terms", property(lambda self: original_terms.func(self)._replace(usage_window=0))
        ),
        "a member spends at once after a start": lambda: monkeypatch.setattr(
            lease, "spendable_amount", lambda member, terms: terms.floor + member.leased
        ),
        "larger leases are released while in use": lambda: monkeypatch.setattr(
            LimitEnforcer, "usage", lambda self, now: 0
        ),
    }
    for name, plant in defects.items():
        plant()
        assert any("in a window" in find_violation(run_with_faults(seed)) for seed in range(24)), name
        monkeypatch.undo()


def test_shares_follow_demand_as_it_moves_between_members() -> None:
    fleet = Fleet(budget(5, 60, floor=2), 5, 1, [50, 5, 5, 5, 5])
    fleet.network.run(15.0)
    calls_before = fleet.ledger.calls_by_sender(10, 15)
    fleet.demands |= {0: 5.0, 3: 50.0}
    fleet.backlog = dict.fromkeys(fleet.backlog, 0.0)
    fleet.network.run(30.0)
    calls_after = fleet.ledger.calls_by_sender(22, 30)
    assert calls_before["n0"] >= 5 * 60 * 0.5 and calls_after["n3"] >= 8 * 60 * 0.5
    assert all(calls_before[f"n{each}"] >= 5 * 4 for each in range(1, 5)), "at least four of five a second"
    assert fleet.ledger.peak() <= 60


def test_the_share_of_a_dead_member_is_reused_after_its_lease() -> None:
    fleet = Fleet(budget(5, 60), 5, 2, [60.0] * 5)
    fleet.network.run(12.0)
    grantor = fleet.managers["n0"].ledgers["hub"].grantor()
    fleet.end(next(each for each in range(5) if f"n{each}" != grantor))
    fleet.network.run(20.0)
    assert fleet.ledger.utilization(12, 14, 60) < 0.9 < fleet.ledger.utilization(15.9, 20, 60)
    fleet.end(int(grantor[1:]))
    fleet.network.run(32.0)
    assert fleet.ledger.utilization(27.9, 32, 60) > 0.9 and fleet.ledger.peak() <= 60


def test_a_minority_partition_spends_only_its_floors() -> None:
    fleet = Fleet(budget(5, 60, floor=4), 5, 3, [60.0] * 5)
    fleet.network.run(10.0)
    fleet.network.split(["n0", "n1"], ["n2", "n3", "n4"])
    fleet.network.run(30.0)
    calls = fleet.ledger.calls_by_sender(20, 30)
    assert all(34 <= calls[name] <= 40 for name in ("n0", "n1")), "the floor is 4 calls per second"
    assert sum(calls[name] for name in ("n2", "n3", "n4")) >= (60 - 8) * 10 * 0.9
    assert fleet.ledger.peak() <= 60


def test_a_limit_of_three_rotates_among_fourteen_members() -> None:
    fleet = Fleet(budget(14, 3), 14, 4, [1.0] * 14)
    fleet.network.run(40.0)
    assert fleet.ledger.peak() <= 3 and fleet.ledger.utilization(15, 40, 3) > 0.8
    assert len(fleet.ledger.calls_by_sender(10, 40)) == 14


def test_a_lowered_limit_applies_after_the_leases_end() -> None:
    fleet = Fleet(budget(4, 40), 4, 5, [40.0] * 4)
    fleet.network.run(10.0)
    fleet.set_limit(20)
    fleet.network.run(13.2)  # for a lease, its margin and a window
    fleet.ledger.calls.clear()
    fleet.network.run(20.0)
    assert fleet.ledger.peak() <= 20 and fleet.ledger.utilization(14, 20, 20) > 0.9


def test_the_smallest_limit_applies_when_members_disagree() -> None:
    fleet = Fleet(budget(4, 40), 4, 6, [40.0] * 4)
    fleet.managers["n2"].update_budget(budget(4, 20))
    fleet.receiver_limit = 20
    fleet.network.run(20.0)
    assert fleet.ledger.peak() <= 20 and fleet.ledger.utilization(14, 20, 20) > 0.9


def test_an_idle_transient_budget_is_closed_and_can_be_opened_again() -> None:
    fleet = Fleet(budget(3, 30), 3, 7, [20.0] * 3)
    for manager in fleet.managers.values():
        manager.ledgers["hub"].is_transient = True
    fleet.network.run(8.0)
    fleet.demands = dict.fromkeys(fleet.demands, 0.0)
    fleet.network.run(90.0)
    sent_before = fleet.network.sent
    assert [manager.close_idle() for manager in fleet.managers.values()] == [["hub"]] * 3
    for name, manager in fleet.managers.items():
        manager.open(fleet.budget, lambda name=name: int(fleet.backlog[name]))  # type: ignore[misc]
    fleet.demands = dict.fromkeys(fleet.demands, 20.0)
    fleet.network.run(105.0)
    assert (
        fleet.network.sent > sent_before
        and fleet.ledger.utilization(98, 105, 30) > 0.9
        and fleet.ledger.peak() <= 30
    )


def single_manager(size: int = 3) -> tuple[LeaseManager, dict[str, int]]:
    """Returns the manager of one member with an open budget, and the time of its clock."""
    time = {"now": 10**9}
    manager = LeaseManager("a", 7, lambda: time["now"])
    manager.open(budget(size), lambda: 30)
    return manager, time


@pytest.mark.parametrize(
    ("changed_fields", "reason"),
    [
        ({"amount": 31}, "more than the whole"),
        ({"timing_checksum": 1}, "other times"),
        ({"kind": LeaseMessageKind.VOTE_REQUEST, "max_members": 2}, "2 members alone"),
    ],
)
def test_an_invalid_datagram_is_counted_and_has_no_effect(
    changed_fields: dict[str, Any], reason: str
) -> None:
    manager, time = single_manager()
    time["now"] += 5 * US
    fields = {
        "kind": LeaseMessageKind.GRANT,
        "session": 7,
        "requested_at": time["now"] - 1,
        "amount": 1,
        "limit": 30,
        "floor": 0,
        "max_members": 3,
        "timing_checksum": budget(3).timing_checksum,
        "warm_permille": FULLY_WARM_PERMILLE,
    }
    manager.handle_datagram("b", LeaseDatagram("hub", **fields | changed_fields))
    assert manager.available_at("hub") == NEVER_US
    assert any(reason in each for each in manager.ledgers["hub"].rejections)


def test_a_held_unit_counts_until_it_is_released() -> None:
    enforcer = LimitEnforcer(None)
    enforcer.reserve("a")
    assert enforcer.try_spend("a", 5, 1) and not enforcer.try_spend("b", 5, 1)
    assert enforcer.available_at(9, 1) == NEVER_US
    enforcer.release("a")
    assert enforcer.usage(9) == 0 and enforcer.available_at(9, 1) == 9


def test_a_rate_has_capacity_once_usage_leaves_the_window() -> None:
    rate = LimitEnforcer(100)
    assert [rate.try_spend("", at, 2) for at in (0, 30, 60, 100)] == [True, True, False, True]
    assert (rate.available_at(110, 2), rate.available_at(110, 1), rate.available_at(110, 3)) == (
        130,
        200,
        110,
    )


@pytest.mark.parametrize(
    ("limit", "demands", "shares"),
    [
        (10, {"a": 2, "b": 20, "c": 0}, {"a": 2, "b": 8, "c": 0}),
        (3, {"a": 9, "b": 9, "c": 9, "d": 9}, {"a": 1, "b": 1, "c": 1, "d": 0}),
        (20, {"a": 4, "b": 4}, {"a": 7, "b": 7}),
        (0, {"a": 4}, {"a": 0}),
    ],
)
def test_division_follows_demand(limit: int, demands: dict[str, int], shares: dict[str, int]) -> None:
    assert division.divide(limit, demands) == shares


def test_a_call_can_end_after_its_idle_budget_was_closed() -> None:
    listed = Endpoint("e", 3, EndpointState.READY, "plain", "", 8.0)
    destination = SimpleNamespace(pending={"m": 1}, endpoints=[SimpleNamespace(listed=listed)], breakers=())
    dispatcher = SimpleNamespace(
        endpoints={"e": destination.endpoints[0]}, destinations={3: destination},
        registry=SimpleNamespace(kinds={"plain": DestinationKind()}, recheck_destination=lambda number: None),
    )  # fmt: skip
    engine: Any = SimpleNamespace(
        dispatcher=dispatcher,
        config=SimpleNamespace(known=(listed,)),
        post=lambda event: None,
        transport=None,
        hooks=HookChain(),
    )
    time = {"now": 0.0}
    links = LinkHub(lambda: time["now"], lambda *arguments: None, 1, US, 0.0, 1)
    links.join("n0", engine, 1)
    _, budgets = links.ends["n0"]
    for second in range(200):
        time["now"] = second / 10
        budgets.step(time["now"])
        if budgets.reservations.available_at(listed, 0) <= 0 and not budgets.reservations.calls:
            budgets.reservations.reserve(listed, "m")
            assert budgets.reservations.reserve_limits("e", "m")
    assert budgets.reservations.calls["m"].names == ["rate/3"]
    destination.pending = {}
    for second in range(20, 100):
        time["now"] = float(second)
        budgets.step(time["now"])
    assert not budgets.manager.ledgers
    engine.hooks.release_limits("m")
    assert not budgets.reservations.calls and budgets.reservations.available_at(listed, 0) > 0, (
        "the budget is open again and its capacity is waited for"
    )


def test_grantors_are_spread_over_members() -> None:
    names = [f"n{each}" for each in range(10)]
    assert len({min(names, key=lambda x: grantor_rank(str(each), x)) for each in range(30)}) > 6


@given(st.lists(st.tuples(st.integers(0, 40), st.booleans()), max_size=80), st.integers(0, 2))
def test_retries_stay_within_their_allowance(steps: list[tuple[int, bool]], minimum: int) -> None:
    """Compares each decision with a plain count over the window that ends with the retry."""
    allowance, now = RetryAllowance(0.4, 100, minimum, 0), 100
    first_attempts, retries = list[int](), list[int]()
    for elapsed, is_retry in steps:
        now += elapsed
        if not is_retry:
            allowance.record_first_attempt(now)
            first_attempts.append(now)
            continue
        counted = [sum(now - 100 < each for each in times) for times in (first_attempts, retries)]
        is_allowed = counted[1] + 1 <= minimum + 0.4 * counted[0]
        assert allowance.has_capacity(now) is is_allowed
        assert (allowance.available_at(now) == now) is is_allowed
        if is_allowed:
            allowance.spend("", now)
            retries.append(now)


def test_a_new_session_allows_no_retry_for_one_window() -> None:
    allowance = RetryAllowance(1.0, 100, 5, 50)
    assert (
        allowance.available_at(149) == 150 and not allowance.has_capacity(149) and allowance.has_capacity(150)
    )


@pytest.mark.parametrize(
    ("policy", "limit"),
    [
        ('"burst";q=100;w=60', (100, 60_000_000)),
        ("100;w=60", (100, 60_000_000)),
        ('"day";q=9, "burst";q=5;w=1;pk=:eA==:', (5, 1_000_000)),
        ('"burst";w=2 ; q=7', (7, 2_000_000)),
        ('"burst";q=5;w=0', None),
        ('"burst";q=-5;w=1', None),
        ("five;w=1", None),
        ("", None),
    ],
)
def test_an_announced_limit_is_parsed(policy: str, limit: tuple[int, int] | None) -> None:
    response = SimpleNamespace(headers=[(b"ratelimit-policy", policy.encode())])
    assert announced_limit(response) == limit  # type: ignore[arg-type]


class DenyingLimits:
    """Limits without capacity for trials, or for retries; they record the reservations."""

    def __init__(self, denied: str) -> None:
        self.denied, self.reserved = denied, list[tuple[str, bool, bool]]()

    def available_at(
        self, endpoint: Endpoint, now: int, is_trial: bool = False, is_retry: bool = False
    ) -> float:
        return NEVER_US if {"trials": is_trial, "repeats": is_retry}[self.denied] else now

    def reserve(
        self, endpoint: Endpoint, message_id: str, is_trial: bool = False, is_retry: bool = False
    ) -> None:
        self.reserved.append((message_id, is_trial, is_retry))


def test_the_policy_respects_the_limit_of_trials() -> None:
    world = World()
    world.dispatcher.registry.shared_limits = limits = DenyingLimits("trials")
    world.open_breaker()
    assert not sent_messages(world.accept()) and not sent_messages(world.step(WakeUp(), after=3 * US))
    limits.denied = "repeats"
    world.dispatcher.registry.recheck_destination(1)
    assert len(sent_messages(world.step(WakeUp()))) == 1
    assert limits.reserved[-1][1:] == (True, False)


def test_a_retry_without_capacity_does_not_block_first_attempts() -> None:
    world = World()
    world.dispatcher.registry.shared_limits = limits = DenyingLimits("repeats")
    assert sent_messages(world.accept()) == ["m1"] and not sent_messages(
        world.end_attempt("m1", Outcome.ERROR)
    )
    assert sent_messages(world.accept(after=US)) == ["m2"] and not sent_messages(
        world.end_attempt("m2", Outcome.OK)
    )
    limits.denied = "trials"
    world.dispatcher.registry.recheck_destination(1)
    assert sent_messages(world.step(WakeUp(), after=US)) == ["m1"]
    assert limits.reserved == [("m1", False, False), ("m2", False, False), ("m1", False, True)]


def test_a_chart_counts_usage_across_restarts_and_gaps() -> None:
    series, sample = BudgetSeries(), {"part": 5, "whole": 9, "per_ms": 1000}
    for now, spent in enumerate((7, 9, None, 1, 4)):
        series.add(now, {} if spent is None else {"n0": sample | {"spent": spent}})
    assert series.granted["n0"] == [5, 5, 0, 5, 5] and series.limits == [9] * 5
    assert series.spent["n0"] == [0, 2, 2, 3, 6] and series.usage_per_period("n0") == [0, 2, 0, 1, 3]


def test_a_reported_larger_size_survives_a_change_of_the_limit() -> None:
    manager = LeaseManager("a", 1, lambda: 0)
    ledger = manager.open(budget(3), lambda: 0)
    manager.handle_datagram(
        "b",
        LeaseDatagram(
            "hub", LeaseMessageKind.LEASE_REQUEST, 1, 0, 1, 30, 0, 7, ledger.budget.timing_checksum, 1000
        ),
    )
    manager.update_budget(budget(3, limit=12))
    assert (ledger.budget.limit, ledger.budget.max_members) == (12, 7)


def test_a_new_configuration_changes_limits_and_opens_new_budgets(
    caplog: pytest.LogCaptureFixture,
) -> None:
    listed = Endpoint("e", 3, EndpointState.READY, "plain", "", 8.0)
    destination = SimpleNamespace(pending={}, endpoints=[SimpleNamespace(listed=listed)], breakers=())
    registry = SimpleNamespace(kinds={"plain": DestinationKind()}, recheck_destination=lambda number: None)
    dispatcher = SimpleNamespace(
        endpoints={"e": destination.endpoints[0]}, destinations={3: destination}, registry=registry
    )
    engine: Any = SimpleNamespace(
        dispatcher=dispatcher, post=lambda event: None, transport=None, hooks=HookChain()
    )
    links = LinkHub(lambda: 0.0, lambda *arguments: None, 1, US, 0.0, 1)
    links.join("n0", engine, 1)
    _, budgets = links.ends["n0"]
    calls = SharedBudget("calls", "calls", "destination", 3, 10, None, US, 0, US, 0, 0)
    in_flight = replace(calls, name="out", resource="in_flight", value=None, window_us=None)
    initial = tuple(budgets.registry.definitions.values())
    budgets.configure((*initial, calls, in_flight), 1)
    assert sorted(budgets.registry.budgets_of(listed).calls) == ["calls", "out/3", "rate/3"]
    budgets.configure((*initial, replace(calls, limit=4), replace(in_flight, lease_us=2 * US)), 1)
    assert budgets.manager.ledgers["calls"].budget.limit == 4
    assert budgets.manager.ledgers["out/3"].budget.lease_us == US
    assert "budget change waits for the next start: budget=out fields=lease_ms" in caplog.text
    engine.transport = transport = HttpTransport(10, 10, 4, dict)
    budgets.configure((*initial, replace(calls, name="new ones", resource="handshakes")), 1)
    assert (
        transport.reserve_connection == budgets.connections.open_connection
        and budgets.registry.budgets_of(listed).connections == ["new ones"]
    )
    transport.close()
    budgets.configure(initial, 1)
    assert "removed budget applies until the next start: budget=calls" in caplog.text
