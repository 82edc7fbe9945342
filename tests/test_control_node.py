"""Control nodes on virtual time: a bad network, cuts, kills at chosen points, hand-overs, wrong clocks."""

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
    play,
)

from message_sender.control import messages
from message_sender.control.messages import (
    ChangeResult,
    Outcome,
    TimeoutNow,
)
from message_sender.control.raft import Role
from message_sender.control.replica import ELECTION_TIMEOUT_MIN_S


def test_a_change_made_at_any_node_is_in_force_everywhere(tmp_path: Path) -> None:
    async def story(cluster: Cluster) -> None:
        cluster.start()
        cluster.watch(6)
        await cluster.until_led()
        for number, name in enumerate(VOTES, 1):
            result = await cluster.make(name, b"%d" % number)
            assert (result.outcome, result.version) == (Outcome.APPLIED, number)
            assert cluster.document(name).version == number
            print(f"everywhere after {await cluster.until_everywhere():.3f} s")

    play(tmp_path, story)


@pytest.mark.parametrize("seed", range(12))
def test_a_leader_that_ends_hands_over_though_changes_come(seed: int, tmp_path: Path) -> None:
    """One change is under way as it begins to end, others come just behind, at the leader and elsewhere."""

    async def story(cluster: Cluster) -> None:
        cluster.start()
        cluster.network.delay = 0.02
        first = await cluster.until_led()
        await cluster.make("c1")
        other = next(name for name in VOTES if name != first)
        node = cluster.driver(first).node
        term = node.replica.term
        before = asyncio.create_task(cluster.submit(other, cluster.change(1)))
        await asyncio.sleep(0.02 * cluster.rng.random())
        cluster.driver(first).run_action(node.begin_shutdown)
        behind = [asyncio.create_task(cluster.submit(name, cluster.change(1))) for name in (first, other)]
        took = await cluster.until(lambda: node.replica.leader not in ("", first))
        assert took < ELECTION_TIMEOUT_MIN_S and node.replica.term == term + 1
        cluster.kill(first)
        results = await asyncio.gather(before, behind[1])
        assert sorted(each.outcome for each in results) == [Outcome.APPLIED, Outcome.CONFLICT]
        behind[0].cancel()  # its node has ended
        await cluster.until_everywhere()
        print(f"another node led after {took:.3f} s")

    play(tmp_path, story, seed)


@pytest.mark.parametrize("asked", VOTES)
def test_a_successor_is_elected_by_nodes_that_were_started_since_it_spoke_to_them(
    asked: str, tmp_path: Path
) -> None:
    async def story(cluster: Cluster) -> None:
        cluster.start()
        first = await cluster.until_led()
        await cluster.make("c1")
        await cluster.status(asked)  # it has spoken to each of them
        if asked == first:
            return
        for name in VOTES:
            if name not in (first, asked):
                cluster.kill(name)
                cluster.start(name)
                await cluster.until(lambda name=name: cluster.driver(name).node.replica.leader == first)  # type: ignore[misc]
        await cluster.until_everywhere()
        await asyncio.sleep(1.0)
        replica = cluster.driver(asked).node.replica
        cluster.driver(asked).run_action(lambda now: replica.receive(first, TimeoutNow(replica.term), now))
        took = await cluster.until(lambda: replica.role is Role.LEADER)
        print(f"{asked} in place of {first}: elected after {took:.3f} s")
        assert took < ELECTION_TIMEOUT_MIN_S

    play(tmp_path, story, 3)


@pytest.mark.parametrize("seed", range(6))
def test_over_a_bad_network_every_confirmed_change_survives_and_is_made_once(
    seed: int, tmp_path: Path
) -> None:
    """Loss, doubling, delay, kills and power losses; clients ask again under the same id."""

    async def story(cluster: Cluster) -> None:
        rng = random.Random(f"story {seed}")
        cluster.network.loss, cluster.network.double, cluster.network.delay = 0.1, 0.1, 0.05
        cluster.start()
        cluster.watch(4)
        await cluster.until_led()
        made: dict[int, bytes] = {}
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
            made[result.version] = value
        cluster.start(*(each for each in VOTES if each not in cluster.alive()))
        cluster.network.loss = 0.0
        await cluster.until_everywhere(10.0)
        await cluster.until(lambda: len({cluster.document(name).version for name in VOTES}) == 1)
        assert sorted(made) == list(range(1, 26))
        assert {cluster.document(name).resources["endpoints/x"] for name in VOTES} == {made[25]}
        assert all(cluster.driver(name).node.replica.is_voter for name in VOTES)

    play(tmp_path, story, seed)


@pytest.mark.parametrize("whom", ["leader", "asked"])
@pytest.mark.parametrize("again_at", ["another", "the same"])
def test_a_node_killed_between_its_sync_and_its_confirmation_makes_the_change_once(
    whom: str, again_at: str, tmp_path: Path
) -> None:
    async def story(cluster: Cluster) -> None:
        cluster.start()
        leader = await cluster.until_led()
        assert (await cluster.make(leader)).version == 1
        await cluster.until_everywhere()
        asked = next(name for name in VOTES if name != leader)
        killed = leader if whom == "leader" else asked
        cluster.machines[killed].crash_after = "sync"
        change = cluster.change(1, b"2")
        unanswered: list[ChangeResult] = []
        driver = cluster.driver(asked if whom == "asked" else leader)
        driver.run_action(lambda now: driver.node.submit(change, unanswered.append, now))
        await cluster.until(lambda: killed not in cluster.alive())
        name = killed if again_at == "the same" else next(each for each in VOTES if each != killed)
        if again_at == "the same":
            cluster.start(killed)
        while (result := await cluster.submit(name, change)).outcome is Outcome.UNAVAILABLE:
            pass
        assert (result.outcome, result.version) == (Outcome.APPLIED, 2)
        assert not unanswered
        if again_at == "another":
            cluster.start(killed)
        await cluster.until(lambda: all(cluster.document(each).version == 2 for each in VOTES))
        assert (await cluster.make(name)).version == 3

    play(tmp_path, story)


def test_in_a_cut_the_heavy_side_confirms_and_the_other_does_not(tmp_path: Path) -> None:
    async def story(cluster: Cluster) -> None:
        cluster.start()
        cluster.watch(6)
        await cluster.until_led()
        await cluster.make("c1")
        await cluster.until_everywhere()
        north, south = [{name for name in VOTES if REGIONS[name] == side} for side in ("north", "south")]
        for each in cluster.watchers:
            (south if int(each.name[1:]) % 2 == 0 else north).add(each.name)
        cluster.network.sides = frozenset(north), frozenset(south)
        await cluster.until_led(("c1", "c2"))
        heavy, light = await asyncio.gather(
            cluster.submit("c2", cluster.change(1, b"north")), cluster.submit("c3", cluster.change(1, b"s"))
        )
        assert heavy.outcome is Outcome.APPLIED and light.outcome is Outcome.UNAVAILABLE
        await asyncio.sleep(10.0)
        assert {cluster.document(name).version for name in ("c3", "c4")} == {1}
        status = await cluster.status("c3")
        assert set(status) == {"c3", "c4"} and status["c3"].age_ms > 9_000
        cluster.network.sides = ()
        print(f"everywhere {await cluster.until_everywhere():.3f} s after the cut")

    play(tmp_path, story)


def test_clocks_that_are_wrong_by_a_year_change_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The nodes' monotonic clocks begin anywhere, and the wall clock jumps: the run is the same."""

    def run(folder: Path, offsets: Mapping[str, float]) -> tuple[float, float, list[int]]:
        async def story(cluster: Cluster) -> tuple[float, float, list[int]]:
            for name, offset in offsets.items():
                cluster.machines[name].clock_offset = offset
            cluster.start()
            cluster.watch(2)
            await cluster.until_led()
            led_at = asyncio.get_running_loop().time()
            versions = []
            for name in ("c1", "c2", "c3"):
                versions.append((await cluster.make(name)).version)
                await cluster.until_everywhere()
            return led_at, asyncio.get_running_loop().time(), versions

        folder.mkdir()
        found: tuple[float, float, list[int]] = play(folder, story)
        return found

    straight = run(tmp_path / "straight", {})
    jumps = iter(range(1_000_000))
    monkeypatch.setattr(time, "time", lambda: (next(jumps) % 3 - 1) * YEAR_S + 2e9)
    crooked = run(tmp_path / "crooked", {"c1": YEAR_S, "c2": 0.0, "c3": 64.0, "c4": 2 * YEAR_S})
    assert straight[2] == crooked[2] == [1, 2, 3]
    assert crooked[0] == pytest.approx(straight[0], abs=0.05)
    assert crooked[1] == pytest.approx(straight[1], abs=0.5)


def test_a_status_names_as_many_watchers_as_fit(tmp_path: Path) -> None:
    async def story(cluster: Cluster) -> None:
        cluster.start()
        await cluster.until_led()
        node = cluster.driver("c2").node
        reason = "x" * messages.REASON_LENGTH_LIMIT
        for number in range(1_500):
            node.fanout.receive(
                f"{number:064d}", messages.Poll(0, 0, 7, reason), cluster.driver("c2").clock()
            )
        node.fanout.take_messages()
        status = (await cluster.status("c1"))["c2"]
        assert 200 < len(status.watchers) < 1_500

    play(tmp_path, story)


def test_who_is_no_control_node_may_watch_and_nothing_else(tmp_path: Path) -> None:
    async def story(cluster: Cluster) -> None:
        cluster.start()
        cluster.watch(1)
        leader = await cluster.until_led()
        await cluster.make(leader)
        await cluster.until_everywhere()
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

    play(tmp_path, story)
