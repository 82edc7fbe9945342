"""The sum of all shares never exceeds the limit: an exhaustive exploration of the lease protocol's states."""

import multiprocessing
import os
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from message_sender.budget import lease
from message_sender.budget.lease import LeaseMessage, LeaseMessageKind, Member, Terms
from message_sender.emulator.lease_exploration import Limits, amount_after_faults, explore

TWO = Terms(limit=1, max_members=2, lease_duration=1, grantor_term=2, margin=1)
STATES = int(os.environ.get("BUDGET_STATES", "40000"))  # BUDGET_STATES above ALL_STATES visits all states
ALL_STATES = 150_000  # more states than any of these worlds has
WITH_USAGE = TWO._replace(usage_window=2)  # usage counts for two ticks


#: The terms, the limits of the exploration, and whether it visits all states, by world.
WORLDS = {
    "a member restarts": (WITH_USAGE, Limits(messages=1, lags=0, states=STATES), STATES > ALL_STATES),
    "a clock falls behind": (TWO, Limits(messages=1, restarts=0, lags=1), True),
    "a limit of three": (TWO._replace(limit=3), Limits(messages=1, restarts=0, lags=0), True),
    "the limit falls": (
        TWO._replace(limit=2),
        Limits(messages=1, restarts=0, lags=0, limit_may_fall=True),
        True,
    ),
    "three members": (TWO._replace(max_members=3, limit=2), Limits(messages=2, lags=1, states=20_000), False),
}


def explore_world(name: str) -> tuple[list[str], bool, int, int]:
    """Returns the trace of a violation, whether all states were visited, and the number of visited states.

    The last item is the number of sampled states from which the limit cannot be granted completely after all
    faults have ended.
    """
    terms, limits, _ = WORLDS[name]
    result = explore(terms, limits)
    ends = [
        amount_after_faults(world, terms, wants)
        for world in result.samples
        for wants in range(terms.max_members)
    ]
    return result.trace, result.is_complete, result.states, sum(each != terms.limit for each in ends)


@pytest.fixture(scope="module")
def worlds() -> dict[str, tuple[list[str], bool, int, int]]:
    with ProcessPoolExecutor(3, multiprocessing.get_context("spawn")) as pool:
        return dict(zip(WORLDS, pool.map(explore_world, WORLDS), strict=True))


@pytest.mark.parametrize("name", WORLDS)
def test_no_state_spends_more_than_the_limit(
    name: str, worlds: dict[str, tuple[list[str], bool, int, int]]
) -> None:
    trace, is_complete, states, stuck = worlds[name]
    print(f"{states} states")
    assert not trace, "\n".join(trace)
    assert is_complete is WORLDS[name][2] and states > 5_000
    assert not stuck


def record_no_grant(member: Member, terms: Terms, message: LeaseMessage, amount: int) -> Member:
    return member


def release_and_keep(member: Member, terms: Terms, grantor: int) -> tuple[Member, tuple[LeaseMessage, ...]]:
    return member, (
        LeaseMessage(LeaseMessageKind.RELEASE, member.number, grantor, member.session, member.clock),
    )


@pytest.mark.parametrize(
    ("target", "defect", "terms", "limits"),
    [
        ("", None, TWO._replace(margin=0), Limits(messages=1, restarts=0)),
        ("record_grant", record_no_grant, TWO, Limits(messages=1, restarts=0, lags=0)),
        ("release_lease", release_and_keep, TWO, Limits(messages=1, restarts=0, lags=0)),
        (
            "has_previous_usage_expired",
            lambda member, terms: True,
            WITH_USAGE,
            Limits(messages=1, restarts=1, lags=0),
        ),
        (
            "max_usage_duration",
            lambda terms: terms.lease_duration + terms.margin,
            WITH_USAGE,
            Limits(messages=1, restarts=0, lags=1),
        ),
        (
            "message_sender.emulator.lease_exploration.in_use",
            lambda world, number, terms: False,
            WITH_USAGE._replace(limit=2),
            Limits(messages=1, restarts=0, lags=0),
        ),
        (
            "Terms.leasable_amount",
            lambda terms: terms.limit,
            TWO._replace(limit=2, floor=1),
            Limits(messages=1, restarts=0),
        ),
        (
            "message_sender.emulator.lease_exploration.effective_terms",
            lambda world, terms: terms,
            TWO._replace(limit=2),
            Limits(messages=1, restarts=0, lags=0, limit_may_fall=True),
        ),
        pytest.param(
            "has_previous_promise_expired",
            lambda member, terms: True,
            TWO._replace(max_members=3, grantor_term=3),
            Limits(messages=2, lags=0),
            marks=pytest.mark.skipif(STATES < ALL_STATES, reason="on request: BUDGET_STATES"),
        ),
    ],
    ids=[
        "no margin",
        "grant not recorded",
        "lease spent after its release",
        "a new session spends and releases at once",
        "expired leases no longer count",
        "lease released while in use",
        "floor counted twice",
        "a lower limit is ignored",
        "a restart forgets a promise",
    ],
)
def test_a_planted_defect_is_found_with_a_shortest_trace(
    target: str, defect: Callable[..., Any], terms: Terms, limits: Limits, monkeypatch: pytest.MonkeyPatch
) -> None:
    if target:
        monkeypatch.setattr(
            target if target.startswith("message_sender.") else f"message_sender.budget.lease.{target}",
            defect,
        )
    result = explore(terms, limits)
    assert result.trace and result.trace[0] == "all members have been up for long"
    print("\n".join(result.trace))


TERMS = Terms(limit=5, max_members=3, lease_duration=100, grantor_term=200, margin=7)


@given(st.integers(-300, 300), st.integers(-5, 10**9), st.integers(0, 2), st.sampled_from(LeaseMessageKind))
def test_no_message_lets_a_member_spend_more_than_the_limit(
    requested_at: int, amount: int, session: int, kind: LeaseMessageKind
) -> None:
    member = lease.advance_clock(lease.new_member(0, 1), 150)
    after, replies = lease.handle_message(
        member, TERMS, LeaseMessage(kind, 1, 0, session, requested_at, amount)
    )
    assert lease.spendable_amount(after, TERMS) <= TERMS.limit
    assert all(each.kind is LeaseMessageKind.PROMISE for each in replies), "only a grantor grants"
    if session != 1 or requested_at + TERMS.lease_duration <= 150:
        assert lease.spendable_amount(after, TERMS) == 0


def test_a_lease_expires_by_the_clock_of_its_holder() -> None:
    member, _ = lease.handle_message(
        lease.advance_clock(lease.new_member(0, 1), 10),
        TERMS,
        LeaseMessage(LeaseMessageKind.GRANT, 1, 0, 1, 10, 3),
    )
    assert [
        lease.spendable_amount(lease.advance_clock(member, now), TERMS) for now in (10, 109, 110, 500)
    ] == [3, 3, 0, 0]
