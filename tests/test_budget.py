"""The sum of what all may spend never passes the whole: the machine itself, explored to the end."""

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
from message_sender.emulator.explore import Limits, explore, quiet

TWO = Terms(limit=1, max_members=2, lease_duration=1, grantor_term=2, margin=1)
STATES = int(os.environ.get("BUDGET_STATES", "40000"))  # the rest on request
ALL = 150_000  # above any of these worlds' number
SPENT = TWO._replace(usage_window=2)  # what was spent counts on for two ticks


#: Terms, limits, and whether all of it is seen.
WORLDS = {
    "a member starts anew": (SPENT, Limits(words=1, lags=0, states=STATES), STATES > ALL),
    "a clock falls behind": (TWO, Limits(words=1, restarts=0, lags=1), True),
    "a whole of three": (TWO._replace(limit=3), Limits(words=1, restarts=0, lags=0), True),
    "the whole falls": (TWO._replace(limit=2), Limits(words=1, restarts=0, lags=0, falls=True), True),
    "three members": (TWO._replace(max_members=3, limit=2), Limits(words=2, lags=1, states=20_000), False),
}


def seen(name: str) -> tuple[list[str], bool, int, int]:
    """The way to a breach, whether all was seen, worlds, and those of a sample from which, once faults end,
    not all of the whole can be given again."""
    terms, limits, _ = WORLDS[name]
    found = explore(terms, limits)
    ends = [quiet(world, terms, wants) for world in found.some for wants in range(terms.max_members)]
    return found.trace, found.whole, found.states, sum(each != terms.limit for each in ends)


@pytest.fixture(scope="module")
def worlds() -> dict[str, tuple[list[str], bool, int, int]]:
    with ProcessPoolExecutor(3, multiprocessing.get_context("spawn")) as pool:
        return dict(zip(WORLDS, pool.map(seen, WORLDS), strict=True))


@pytest.mark.parametrize("name", WORLDS)
def test_no_world_spends_more_than_the_whole(
    name: str, worlds: dict[str, tuple[list[str], bool, int, int]]
) -> None:
    trace, whole, states, stuck = worlds[name]
    print(f"{states} states")
    assert not trace, "\n".join(trace)
    assert whole is WORLDS[name][2] and states > 5_000
    assert not stuck


def forgets(member: Member, terms: Terms, word: LeaseMessage, amount: int) -> Member:
    return member


def keeps_what_it_gives_back(
    member: Member, terms: Terms, keeper: int
) -> tuple[Member, tuple[LeaseMessage, ...]]:
    return member, (
        LeaseMessage(LeaseMessageKind.RELEASE, member.number, keeper, member.session, member.clock),
    )


@pytest.mark.parametrize(
    ("what", "defect", "terms", "limits"),
    [
        ("", None, TWO._replace(margin=0), Limits(words=1, restarts=0)),
        ("record_grant", forgets, TWO, Limits(words=1, restarts=0, lags=0)),
        ("release_lease", keeps_what_it_gives_back, TWO, Limits(words=1, restarts=0, lags=0)),
        (
            "has_previous_usage_expired",
            lambda member, terms: True,
            SPENT,
            Limits(words=1, restarts=1, lags=0),
        ),
        (
            "max_usage_duration",
            lambda terms: terms.lease_duration + terms.margin,
            SPENT,
            Limits(words=1, restarts=0, lags=1),
        ),
        (
            "message_sender.emulator.explore.in_use",
            lambda world, number, terms: False,
            SPENT._replace(limit=2),
            Limits(words=1, restarts=0, lags=0),
        ),
        (
            "Terms.leasable_amount",
            lambda terms: terms.limit,
            TWO._replace(limit=2, floor=1),
            Limits(words=1, restarts=0),
        ),
        (
            "message_sender.emulator.explore.told_terms",
            lambda world, terms: terms,
            TWO._replace(limit=2),
            Limits(words=1, restarts=0, lags=0, falls=True),
        ),
        pytest.param(
            "has_previous_promise_expired",
            lambda member, terms: True,
            TWO._replace(max_members=3, grantor_term=3),
            Limits(words=2, lags=0),
            marks=pytest.mark.skipif(STATES < ALL, reason="on request: BUDGET_STATES"),
        ),
    ],
    ids=[
        "no margin",
        "grant not on record",
        "spent after it is back",
        "a start spends and gives back at once",
        "what ran out counts no longer",
        "settled while in use",
        "floor twice",
        "a fall of the whole is not heeded",
        "a promise is forgotten by a start",
    ],
)
def test_a_planted_defect_has_a_shortest_way(
    what: str, defect: Callable[..., Any], terms: Terms, limits: Limits, monkeypatch: pytest.MonkeyPatch
) -> None:
    if what:
        monkeypatch.setattr(
            what if what.startswith("message_sender.") else f"message_sender.budget.lease.{what}", defect
        )
    found = explore(terms, limits)
    assert found.trace and found.trace[0] == "all have been up for long"
    print("\n".join(found.trace))


TERMS = Terms(limit=5, max_members=3, lease_duration=100, grantor_term=200, margin=7)


@given(st.integers(-300, 300), st.integers(-5, 10**9), st.integers(0, 2), st.sampled_from(LeaseMessageKind))
def test_nothing_that_comes_gives_more_than_the_whole(
    asked: int, amount: int, session: int, kind: LeaseMessageKind
) -> None:
    member = lease.advance_clock(lease.new_member(0, 1), 150)
    after, out = lease.handle_message(member, TERMS, LeaseMessage(kind, 1, 0, session, asked, amount))
    assert lease.spendable_amount(after, TERMS) <= TERMS.limit
    assert all(each.kind is LeaseMessageKind.PROMISE for each in out), "who is no keeper gives nothing"
    if session != 1 or asked + TERMS.lease_duration <= 150:
        assert lease.spendable_amount(after, TERMS) == 0


def test_what_is_held_runs_out_by_the_holders_own_clock() -> None:
    member, _ = lease.handle_message(
        lease.advance_clock(lease.new_member(0, 1), 10),
        TERMS,
        LeaseMessage(LeaseMessageKind.GRANT, 1, 0, 1, 10, 3),
    )
    assert [
        lease.spendable_amount(lease.advance_clock(member, now), TERMS) for now in (10, 109, 110, 500)
    ] == [3, 3, 0, 0]
