"""Changes that a control node refuses, and a leader's answers before it proposes a change."""

import asyncio
from pathlib import Path
from typing import cast

import pytest
from control_nodes import (
    VOTES,
    Cluster,
    find_bad_values,
    run_scenario,
)

from message_sender.control import messages
from message_sender.control.messages import (
    Change,
    ChangeResult,
    Outcome,
    Resource,
)
from message_sender.control.raft_types import Role
from message_sender.control.replica import Replica
from message_sender.control.requests import ChangeRequests
from message_sender.control.store import ConfigurationStore


def test_faults_and_other_base_versions_are_refused_at_any_node(tmp_path: Path) -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.start()
        await cluster.wait_for_leader()
        assert (await cluster.make_change("c1")).version == 1
        await cluster.wait_until_everywhere()
        for name in VOTES:
            change = cluster.change(1, b"bad")
            result = await cluster.submit(name, change)
            assert (result.outcome, result.version) == (Outcome.INVALID, 1)
            assert result.faults == ("endpoints/x: is bad",)
            for base in (0, 5):
                result = await cluster.submit(name, cluster.change(base))
                assert (result.outcome, result.version) == (Outcome.CONFLICT, 1)
            result = await cluster.submit(name, Change(f"delete {name}", 1, (), ("endpoints/none",)))
            assert result.outcome is Outcome.INVALID and "endpoints/none" in result.faults[0]
            result = await cluster.submit(name, Change(f"x{name}", 1, (Resource("a", b"x" * 40_000),), ()))
            assert result.outcome is Outcome.INVALID and "bytes" in result.faults[0]
        assert {cluster.document(name).version for name in VOTES} == {1}

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize(
    "change",
    [
        Change("huge", 10**30, (), ()),
        Change("half", 0, (), ("\ud800",)),
        Change("\ud800", 0, (), ()),
        Change("author", 0, (), (), "\udc80"),
    ],
    ids=["number", "deleted name", "request id", "author"],
)
def test_a_change_that_cannot_be_encoded_is_refused_and_the_node_continues(
    change: Change, tmp_path: Path
) -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.start()
        leader = await cluster.wait_for_leader()
        other = next(name for name in VOTES if name != leader)
        for name in (leader, other):
            result = await cluster.submit(name, change)
            assert result.outcome is Outcome.INVALID and result.faults[0].startswith("not a valid change: ")
            assert (await cluster.make_change(name)).outcome is Outcome.APPLIED
            await cluster.wait_until_everywhere()

    run_scenario(tmp_path, scenario)


def test_of_two_concurrent_changes_one_is_applied_and_the_other_gets_a_conflict(tmp_path: Path) -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.start()
        await cluster.wait_for_leader()
        for version in range(1, 11):
            first, second = (cluster.change(version - 1, value) for value in (b"1", b"2"))
            results = await asyncio.gather(cluster.submit("c2", first), cluster.submit("c3", second))
            assert sorted(each.outcome for each in results) == [Outcome.APPLIED, Outcome.CONFLICT]
            await cluster.wait_until_everywhere()
            assert {each.version for each in results} <= {version - 1, version}

    run_scenario(tmp_path, scenario)


class LeaderStub:
    """A leader of term 2 whose log begins with an entry of term 1."""

    role, term, leader = Role.LEADER, 2, "c1"

    def __init__(self) -> None:
        self.proposed: list[bytes] = []

    @property
    def last_index(self) -> int:
        return len(self.proposed) + 2

    def entry(self, index: int) -> messages.LogEntry:
        return messages.LogEntry(index, min(index, 2), b"")

    def propose(self, data: bytes, now: float) -> tuple[int, int]:
        self.proposed.append(data)
        return len(self.proposed) + 2, self.term


def test_a_new_leader_answers_after_it_applied_an_entry_of_its_term_and_proposes_once() -> None:
    leader, store = LeaderStub(), ConfigurationStore()
    requests = ChangeRequests(cast(Replica, leader), store, find_bad_values)
    answers: list[ChangeResult] = []
    store.apply(leader.entry(1))
    requests.submit(Change("early", 1, (Resource("a", b"1"),), ()), answers.append, 0.0)
    requests.submit(Change("right", 0, (Resource("a", b"1"),), ()), answers.append, 0.0)
    requests.tick(0.5)
    assert not answers and not leader.proposed
    entry = leader.entry(2)
    requests.entry_applied(entry, store.apply(entry))
    for now in (1.0, 1.5, 2.0):
        requests.tick(now)
    assert not answers and len(leader.proposed) == 2
    for index, data in enumerate(tuple(leader.proposed), 3):
        entry = messages.LogEntry(index, 2, data)
        requests.entry_applied(entry, store.apply(entry))
    early, right = ChangeResult("early", Outcome.CONFLICT, 0), ChangeResult("right", Outcome.APPLIED, 1)
    assert answers == [early, right]
    requests.submit(Change("right", 0, (Resource("a", b"1"),), ()), answers.append, 9.0)
    assert answers[2:] == [right] and len(leader.proposed) == 2


def test_an_isolated_leader_does_not_refuse_a_change_against_a_later_version() -> None:
    """Another leader may have created that version and applied the change to it."""
    leader, store = LeaderStub(), ConfigurationStore()
    requests = ChangeRequests(cast(Replica, leader), store, find_bad_values)
    answers: list[ChangeResult] = []
    for index in (1, 2):
        store.apply(leader.entry(index))
    requests.submit(Change("later", 1, (Resource("a", b"2"),), ()), answers.append, 0.0)
    for now in (0.5, 1.0, 2.9):
        requests.tick(now)
    assert not answers and len(leader.proposed) == 1
    requests.tick(3.0)
    assert answers == [ChangeResult("later", Outcome.UNAVAILABLE, 0)]


def test_a_change_against_a_version_in_progress_is_not_proposed_before_validation() -> None:
    leader, store = LeaderStub(), ConfigurationStore()
    requests = ChangeRequests(cast(Replica, leader), store, find_bad_values)
    answers: list[ChangeResult] = []
    for index in (1, 2):
        store.apply(leader.entry(index))
    requests.submit(Change("first", 0, (Resource("a", b"1"),), ()), answers.append, 0.0)
    requests.submit(Change("second", 1, (Resource("a", b"bad"),), ()), answers.append, 0.0)
    requests.tick(0.5)
    assert not answers and len(leader.proposed) == 1
    entry = messages.LogEntry(3, 2, leader.proposed[0])
    requests.entry_applied(entry, store.apply(entry))
    requests.tick(1.0)
    assert answers[0] == ChangeResult("first", Outcome.APPLIED, 1) and len(leader.proposed) == 1
    assert answers[1] == ChangeResult("second", Outcome.INVALID, 1, ("a: is bad",))
