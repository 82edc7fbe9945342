"""Control nodes on virtual time: faulty networks, partitions, kills, leadership transfer, wrong clocks."""

import asyncio
import random
import time
from collections.abc import Mapping
from pathlib import Path

import pytest
from control_nodes import (
    REGIONS,
    VOTES,
    YEAR_S,
    Cluster,
    run_scenario,
)

from message_sender.control import messages
from message_sender.control.messages import (
    ChangeResult,
    Outcome,
    TimeoutNow,
)
from message_sender.control.raft_types import Role
from message_sender.control.replica import ELECTION_TIMEOUT_MIN_S


def test_a_change_made_at_any_node_becomes_active_everywhere(tmp_path: Path) -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.start()
        cluster.watch(6)
        await cluster.wait_for_leader()
        for number, name in enumerate(VOTES, 1):
            result = await cluster.make_change(name, b"%d" % number)
            assert (result.outcome, result.version) == (Outcome.APPLIED, number)
            assert cluster.document(name).version == number
            print(f"everywhere after {await cluster.wait_until_everywhere():.3f} s")

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("seed", range(12))
def test_a_leader_that_shuts_down_transfers_leadership_while_changes_arrive(
    seed: int, tmp_path: Path
) -> None:
    """One change is in progress when the leader begins to shut down; two others follow immediately."""

    async def scenario(cluster: Cluster) -> None:
        cluster.start()
        cluster.network.delay = 0.02
        first = await cluster.wait_for_leader()
        await cluster.make_change("c1")
        other = next(name for name in VOTES if name != first)
        node = cluster.driver(first).node
        term = node.replica.term
        earlier = asyncio.create_task(cluster.submit(other, cluster.change(1)))
        await asyncio.sleep(0.02 * cluster.rng.random())
        cluster.driver(first).run_action(node.begin_shutdown)
        later = [asyncio.create_task(cluster.submit(name, cluster.change(1))) for name in (first, other)]
        took = await cluster.wait_until(lambda: node.replica.leader not in ("", first))
        assert took < ELECTION_TIMEOUT_MIN_S and node.replica.term == term + 1
        cluster.kill(first)
        results = await asyncio.gather(earlier, later[1])
        assert sorted(each.outcome for each in results) == [Outcome.APPLIED, Outcome.CONFLICT]
        later[0].cancel()  # its node was killed
        await cluster.wait_until_everywhere()
        print(f"another node led after {took:.3f} s")

    run_scenario(tmp_path, scenario, seed)


@pytest.mark.parametrize("successor", VOTES)
def test_a_successor_is_elected_by_nodes_that_restarted_after_its_last_contact(
    successor: str, tmp_path: Path
) -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.start()
        first = await cluster.wait_for_leader()
        await cluster.make_change("c1")
        await cluster.status(successor)  # now it has a session with each node
        if successor == first:
            return
        for name in VOTES:
            if name not in (first, successor):
                cluster.kill(name)
                cluster.start(name)
                await cluster.wait_until(lambda name=name: cluster.driver(name).node.replica.leader == first)  # type: ignore[misc]
        await cluster.wait_until_everywhere()
        await asyncio.sleep(1.0)
        replica = cluster.driver(successor).node.replica
        cluster.driver(successor).run_action(
            lambda now: replica.receive(first, TimeoutNow(replica.term), now)
        )
        took = await cluster.wait_until(lambda: replica.role is Role.LEADER)
        print(f"{successor} in place of {first}: elected after {took:.3f} s")
        assert took < ELECTION_TIMEOUT_MIN_S

    run_scenario(tmp_path, scenario, 3)


@pytest.mark.parametrize("seed", range(6))
def test_over_a_faulty_network_every_confirmed_change_survives_and_is_made_once(
    seed: int, tmp_path: Path
) -> None:
    """Loss, duplication, delay, kills and power losses; clients retry with the same request id."""

    async def scenario(cluster: Cluster) -> None:
        rng = random.Random(f"story {seed}")
        cluster.network.loss, cluster.network.duplication, cluster.network.delay = 0.1, 0.1, 0.05
        cluster.start()
        cluster.watch(4)
        await cluster.wait_for_leader()
        confirmed_values: dict[int, bytes] = {}
        for number in range(25):
            if rng.random() < 0.3:
                name = rng.choice(list(VOTES))
                if name in cluster.alive():
                    cluster.cut_power(name, rng.choice((0.0, 0.5, 1.0)))
                down = [each for each in VOTES if each not in cluster.alive()]
                for each in down[:-1]:
                    cluster.start(each)
            value = b"%d" % number
            base = max(cluster.document(name).version for name in cluster.alive())
            change = cluster.change(base, value)
            while (result := await cluster.submit(rng.choice(cluster.alive()), change)).outcome:
                if result.outcome is Outcome.CONFLICT:
                    change = cluster.change(result.version, value)
            confirmed_values[result.version] = value
        cluster.start(*(each for each in VOTES if each not in cluster.alive()))
        cluster.network.loss = 0.0
        await cluster.wait_until_everywhere(10.0)
        await cluster.wait_until(lambda: len({cluster.document(name).version for name in VOTES}) == 1)
        assert sorted(confirmed_values) == list(range(1, 26))
        assert {cluster.document(name).resources["endpoints/x"] for name in VOTES} == {confirmed_values[25]}
        assert all(cluster.driver(name).node.replica.is_voter for name in VOTES)

    run_scenario(tmp_path, scenario, seed)


@pytest.mark.parametrize("killed_node", ["leader", "asked"])
@pytest.mark.parametrize("retried_at", ["another", "the same"])
def test_a_node_killed_between_its_sync_and_its_confirmation_makes_the_change_once(
    killed_node: str, retried_at: str, tmp_path: Path
) -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.start()
        leader = await cluster.wait_for_leader()
        assert (await cluster.make_change(leader)).version == 1
        await cluster.wait_until_everywhere()
        asked = next(name for name in VOTES if name != leader)
        killed = leader if killed_node == "leader" else asked
        cluster.machines[killed].crash_after = "sync"
        change = cluster.change(1, b"2")
        unanswered: list[ChangeResult] = []
        driver = cluster.driver(asked if killed_node == "asked" else leader)
        driver.run_action(lambda now: driver.node.submit(change, unanswered.append, now))
        await cluster.wait_until(lambda: killed not in cluster.alive())
        name = killed if retried_at == "the same" else next(other for other in VOTES if other != killed)
        if retried_at == "the same":
            cluster.start(killed)
        while (result := await cluster.submit(name, change)).outcome is Outcome.UNAVAILABLE:
            pass
        assert (result.outcome, result.version) == (Outcome.APPLIED, 2)
        assert not unanswered
        if retried_at == "another":
            cluster.start(killed)
        await cluster.wait_until(lambda: all(cluster.document(each).version == 2 for each in VOTES))
        assert (await cluster.make_change(name)).version == 3

    run_scenario(tmp_path, scenario)


def test_in_a_partition_only_the_side_with_the_majority_of_votes_confirms(tmp_path: Path) -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.start()
        cluster.watch(6)
        await cluster.wait_for_leader()
        await cluster.make_change("c1")
        await cluster.wait_until_everywhere()
        north, south = [{name for name in VOTES if REGIONS[name] == side} for side in ("north", "south")]
        for watcher in cluster.watchers:
            (south if int(watcher.name[1:]) % 2 == 0 else north).add(watcher.name)
        cluster.network.sides = frozenset(north), frozenset(south)
        await cluster.wait_for_leader(("c1", "c2"))
        majority, minority = await asyncio.gather(
            cluster.submit("c2", cluster.change(1, b"north")), cluster.submit("c3", cluster.change(1, b"s"))
        )
        assert majority.outcome is Outcome.APPLIED and minority.outcome is Outcome.UNAVAILABLE
        await asyncio.sleep(10.0)
        assert {cluster.document(name).version for name in ("c3", "c4")} == {1}
        status = await cluster.status("c3")
        assert set(status) == {"c3", "c4"} and status["c3"].age_ms > 9_000
        cluster.network.sides = ()
        print(f"everywhere {await cluster.wait_until_everywhere():.3f} s after the cut")

    run_scenario(tmp_path, scenario)


def test_clocks_that_are_wrong_by_a_year_do_not_change_the_results(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The nodes' monotonic clocks have offsets and the wall clock jumps; the results must not change."""

    def run(folder: Path, offsets: Mapping[str, float]) -> tuple[float, float, list[int]]:
        async def scenario(cluster: Cluster) -> tuple[float, float, list[int]]:
            for name, offset in offsets.items():
                cluster.machines[name].clock_offset = offset
            cluster.start()
            cluster.watch(2)
            await cluster.wait_for_leader()
            led_at = asyncio.get_running_loop().time()
            versions = []
            for name in ("c1", "c2", "c3"):
                versions.append((await cluster.make_change(name)).version)
                await cluster.wait_until_everywhere()
            return led_at, asyncio.get_running_loop().time(), versions

        folder.mkdir()
        result: tuple[float, float, list[int]] = run_scenario(folder, scenario)
        return result

    correct = run(tmp_path / "correct", {})
    jumps = iter(range(1_000_000))
    monkeypatch.setattr(time, "time", lambda: (next(jumps) % 3 - 1) * YEAR_S + 2e9)
    skewed = run(tmp_path / "skewed", {"c1": YEAR_S, "c2": 0.0, "c3": 64.0, "c4": 2 * YEAR_S})
    assert correct[2] == skewed[2] == [1, 2, 3]
    assert skewed[0] == pytest.approx(correct[0], abs=0.05)
    assert skewed[1] == pytest.approx(correct[1], abs=0.5)


def test_a_status_contains_as_many_watchers_as_fit(tmp_path: Path) -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.start()
        await cluster.wait_for_leader()
        node = cluster.driver("c2").node
        reason = "x" * messages.REASON_LENGTH_LIMIT
        for number in range(1_500):
            node.fanout.receive(
                f"{number:064d}", messages.Poll(0, 0, 7, reason), cluster.driver("c2").clock()
            )
        node.fanout.take_messages()
        status = (await cluster.status("c1"))["c2"]
        assert 200 < len(status.watchers) < 1_500

    run_scenario(tmp_path, scenario)


def test_a_name_that_is_not_a_control_node_can_only_watch(tmp_path: Path) -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.start()
        cluster.watch(1)
        leader = await cluster.wait_for_leader()
        await cluster.make_change(leader)
        await cluster.wait_until_everywhere()
        (watcher,), term = cluster.watchers, cluster.driver(leader).node.replica.term
        change = cluster.change(1, b"forged")
        for body in (
            messages.StatusRequest(1),
            messages.ForwardedChange(change),
            messages.ForwardedResult(ChangeResult(change.request_id, Outcome.APPLIED, 9)),
            messages.VoteRequest(term + 5, 100, term + 5, False),
            messages.AppendRequest(term + 5, 0, 0, 9, 1, ()),
        ):
            for name in VOTES:
                watcher.channel.send(name, body, asyncio.get_running_loop().time())
            watcher.flush()
            await asyncio.sleep(0.5)
        assert all(watcher.channel.has_session(name) for name in VOTES)
        await asyncio.sleep(3.0)
        assert {cluster.document(name).version for name in VOTES} == {1}
        assert cluster.driver(leader).node.replica.term == term

    run_scenario(tmp_path, scenario)
