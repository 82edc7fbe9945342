"""Control nodes as processes: kills, partitions, loss and pauses, as observed by watchers and operators."""

import asyncio
import base64
import signal
import socket
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from message_sender.configuration.tables import ConfigError
from message_sender.control import process
from message_sender.control.configuration import load
from message_sender.control.messages import Address
from message_sender.testbed.control_cluster import ControlCluster, address_of
from message_sender.testbed.relay import HOST

ACTIVE_WITHIN_S = 4.0  # the operators' limit
HEALED_WITHIN_S = 10.0  # after a fault, for the affected node
NORTH, SOUTH = ("c1", "c2"), ("c3", "c4")


def endpoint(number: int) -> dict[str, Any]:
    return {"destination": number, "dial": f"127.0.0.1:{9_000 + number}", "rate": 60.0, "zone": "a"}


class Operator:
    """Makes changes and records those that were confirmed."""

    def __init__(self, cluster: ControlCluster) -> None:
        self.cluster = cluster
        self.version = 0
        self.names: list[str] = []
        self.requested_at = self.confirmed_at = 0.0

    async def change(self, at: str) -> int:
        """Adds an endpoint at node `at`, and waits for the confirmation; returns the version."""
        number = self.version + 1
        name = f"endpoints/hub-{number}"
        self.requested_at = time.monotonic()
        result = await self.cluster.submit_change(
            at, f"request {number}", self.version, {name: endpoint(number)}
        )
        assert result == {"outcome": "applied", "version": number, "faults": []}
        self.confirmed_at = time.monotonic()
        self.version = number
        self.names.append(name)
        return number

    async def check_active_everywhere(
        self, label: str, names: tuple[str, ...] = (), regions: str = "north south"
    ) -> None:
        """Checks that all reachable nodes and watchers get the last confirmed version within the limit."""
        watchers = [watcher for watcher in self.cluster.watchers if watcher.region in regions]
        nodes = names or tuple(self.cluster.running_nodes())
        times = await self.cluster.measure_version_times(self.version, nodes, watchers)
        took = max(times.values())
        confirmed = self.confirmed_at - self.requested_at
        print(f"{label}: confirmed after {confirmed:.2f} s, active everywhere {took:.2f} s later")
        watched = {watcher.name: (watcher.watch.node, watcher.watch.counts) for watcher in watchers}
        assert took <= ACTIVE_WITHIN_S, (times, watched)

    async def check(self) -> None:
        """Checks that every node has all confirmed changes, and that versions only rose."""
        for name in self.cluster.running_nodes():
            document = await self.cluster.request(name, {"do": "get"})
            assert document["version"] == self.version
            assert sorted(document["resources"]) == sorted(self.names)
        for watcher in self.cluster.watchers:
            versions = watcher.applier.versions
            assert versions == sorted(set(versions))


def run_scenario(
    folder: Path, scenario: Callable[[ControlCluster, Operator], Awaitable[None]], seed: int = 0
) -> None:
    async def run() -> None:
        async with ControlCluster(folder, seed=seed) as cluster:
            await cluster.start()
            for number in range(4):
                await cluster.watch(f"w{number}", ("north", "south")[number % 2])
            await scenario(cluster, Operator(cluster))

    asyncio.run(run())


def test_kills_and_pauses_lose_no_confirmed_change(tmp_path: Path) -> None:
    async def scenario(cluster: ControlCluster, operator: Operator) -> None:
        leader = await cluster.wait_for_leader()
        for name in cluster.members:
            await operator.change(name)
            await operator.check_active_everywhere(f"calm, made at {name}")
        await cluster.kill(leader)
        other = next(name for name in cluster.members if name != leader)
        await operator.change(other)
        await operator.check_active_everywhere("the leader was killed")
        await cluster.start(leader)
        await operator.check_active_everywhere("it was restarted")
        paused = await cluster.wait_for_leader()
        cluster.signal(paused, signal.SIGSTOP)
        awake = tuple(name for name in cluster.members if name != paused)
        await operator.change(awake[0])
        watchers = [each for each in cluster.watchers if each.watch.node != paused]
        await cluster.wait_for_version(operator.version, awake, watchers, ACTIVE_WITHIN_S)
        cluster.signal(paused, signal.SIGCONT)
        await operator.check_active_everywhere("the paused leader resumed")
        await cluster.kill(*cluster.members)
        await cluster.start()
        await operator.change("c4")
        await operator.check_active_everywhere("all were killed")
        await operator.check()
        status = await cluster.request("c3", {"do": "status"})
        assert [each["role"] for each in status["nodes"]].count("leader") == 1
        assert {each["fault"] for each in status["nodes"]} == {""}

    run_scenario(tmp_path, scenario)


def test_changes_survive_loss_and_a_partition_between_regions(tmp_path: Path) -> None:
    async def scenario(cluster: ControlCluster, operator: Operator) -> None:
        relay = cluster.relay
        relay.loss, relay.delay, relay.duplication = 0.1, 0.03, 0.1
        await cluster.wait_for_leader()
        for name in cluster.members:
            await operator.change(name)
            await operator.check_active_everywhere(f"a tenth is lost, made at {name}")
        relay.heal()
        sides = [[*names, *(each.name for each in cluster.watchers if each.region == region)]
                 for names, region in ((NORTH, "north"), (SOUTH, "south"))]  # fmt: skip
        relay.split(*(" ".join(side) for side in sides))
        base = operator.version
        request = {"do": "set", "request_id": "south", "base_version": base, "delete": []}
        refused_request = cluster.request("c3", {**request, "put": {"endpoints/south": endpoint(99)}})
        result, _ = await asyncio.gather(refused_request, operator.change("c2"))
        assert result["outcome"] == "unavailable"
        await operator.check_active_everywhere("partitioned, the side with the majority", NORTH, "north")
        status = await cluster.request("c4", {"do": "status"})
        by_name = {each["name"]: each for each in status["nodes"]}
        assert by_name["c1"] == {"name": "c1", "is_reachable": False}
        assert by_name["c3"]["version"] == by_name["c4"]["version"] == base
        south = [each for each in cluster.watchers if each.region == "south"]
        assert {each.watch.document.version for each in south} == {base}
        relay.heal()
        await operator.check_active_everywhere("the partition healed")
        result = await cluster.request("c3", {**request, "put": {"endpoints/south": endpoint(99)}})
        assert result["outcome"] == "conflict" and result["version"] == operator.version
        await operator.check()

    run_scenario(tmp_path, scenario)


def send_forged(count: int, address: Address) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as forger:
        for _ in range(count):
            forger.sendto(b"EL1" + bytes(90), address)


async def count_refused_for_their_key(cluster: ControlCluster, name: str) -> int:
    status = await cluster.request(name, {"do": "status"})
    own = next(node for node in status["nodes"] if node["name"] == name)
    return sum(count for reason, count in own["refused_datagrams"].items() if "key" in reason)


def test_invalid_requests_forged_datagrams_key_rotation_and_shutdown(tmp_path: Path) -> None:
    async def scenario(cluster: ControlCluster, operator: Operator) -> None:
        await cluster.wait_for_leader()
        await operator.change("c1")
        await operator.check_active_everywhere("calm")
        bad = {"endpoints/a": {"destination": "x", "dial": "here"}, "nonsense/b": 1}
        result = await cluster.submit_change("c2", "bad", 1, bad)
        assert result["outcome"] == "invalid" and result["version"] == 1
        assert len(result["faults"]) >= 3, result
        with pytest.raises(ValueError, match="base_version"):
            await cluster.request("c2", {"do": "set", "request_id": "x"})
        send_forged(5, address_of(cluster.members["c2"]))
        async with asyncio.timeout(5.0):
            while await count_refused_for_their_key(cluster, "c2") < 5:
                pass
        # A key is changed in three rounds: the new key is second, then first, then the only one.
        old, new = (base64.b64encode(key).decode() for key in (cluster.key, bytes(range(32))))
        for keys in ((old, new), (new, old)):
            for name, member in cluster.members.items():
                (member.folder / "control.key").write_text("\n".join(keys) + "\n")
                cluster.signal(name, signal.SIGHUP)
                await operator.change(name)
        with pytest.raises(RuntimeError, match="another process uses"):
            member = cluster.members["c1"]
            running, reader = member.process, member.reader
            try:
                await cluster.start_process(member)
            finally:
                member.process, member.reader = running, reader
        cluster.signal("c1", signal.SIGTERM)
        assert await cluster.wait_for_exit("c1") == 0
        assert not (cluster.members["c1"].state / "control").exists()
        await operator.change("c2")
        await cluster.start("c1")
        assert await cluster.wait_for_leader()
        await cluster.wait_for_version(operator.version, tuple(cluster.members), [], HEALED_WITHIN_S)

    run_scenario(tmp_path, scenario)


def test_a_leader_that_gets_sigterm_transfers_its_leadership(tmp_path: Path) -> None:
    async def scenario(cluster: ControlCluster, operator: Operator) -> None:
        await cluster.wait_for_leader()
        await operator.change("c1")
        for _ in range(3):
            leader = await cluster.wait_for_leader()
            others = [name for name in cluster.members if name != leader]
            changes = asyncio.create_task(change_until_ended(cluster, operator, others[0], leader))
            cluster.signal(leader, signal.SIGTERM)
            signalled_at = time.monotonic()
            assert await cluster.wait_for_exit(leader) == 0
            took = time.monotonic() - signalled_at
            roles = [(await cluster.request(name, {"do": "get"}))["role"] for name in others]
            assert "leader" in roles, cluster.members[leader].log[-3:]
            longest = await changes
            print(f"{leader} ended after {took:.2f} s, the longest change meanwhile took {longest:.2f} s")
            await cluster.start(leader)
        await operator.check_active_everywhere("all are back")
        await operator.check()

    run_scenario(tmp_path, scenario)


async def change_until_ended(cluster: ControlCluster, operator: Operator, at: str, leader: str) -> float:
    """Makes changes one after another until the leader has ended; the last one begins after its end.

    Returns:
        The seconds that the longest change took.
    """
    longest, has_ended = 0.0, False
    while not has_ended:
        has_ended = cluster.members[leader].process is None
        await operator.change(at)
        longest = max(longest, operator.confirmed_at - operator.requested_at)
    return longest


def test_a_state_folder_is_initialised_only_once_and_for_one_node(tmp_path: Path) -> None:
    cluster = ControlCluster(tmp_path)
    member = cluster.members["c1"]
    member.folder.mkdir()
    for number, each in enumerate(cluster.members.values(), 1):
        each.relay_port = number
    cluster.configure(member)
    process.initialise(member.config)
    with pytest.raises(OSError, match="expected an empty folder, found identity"):
        process.initialise(member.config)
    text = member.config.read_text().replace(f"{HOST}:0", f"{HOST}:5")
    member.config.write_text(text.replace('name = "c1"', 'name = "c2"', 1))
    with pytest.raises(OSError, match="belongs to c1"):
        process.run(member.config)


def test_every_fault_of_a_configuration_is_reported(tmp_path: Path) -> None:
    path = tmp_path / "control.toml"
    path.write_text(
        'name = "c9"\ncluster = ""\nlisten = "here"\nstate = 4\nport = 3\n'
        '[[nodes]]\nname = "c1"\naddress = "a:1"\nvotes = 0\n'
        '[[nodes]]\nname = "c1"\naddress = "a:1"\nregions = "x"\n'
    )
    with pytest.raises(ConfigError) as caught:
        load(path)
    paths = [fault.path for fault in caught.value.faults]
    assert {"cluster", "listen", "state", "port", "key_file", "nodes[0].votes", "nodes[1].regions"} <= {
        *paths
    }
    path.write_text(
        'name = "c9"\ncluster = "a"\nlisten = "a:1"\nstate = "s"\nkey_file = "k"\n'
        '[[nodes]]\nname = "c1"\naddress = "10.0.0.1:1"\n[[nodes]]\nname = "c1"\naddress = "10.0.0.1:1"\n'
    )
    with pytest.raises(ConfigError) as caught:
        load(path)
    assert [fault.path for fault in caught.value.faults] == ["nodes[1].name", "nodes[1].address", "name"]
    path.write_text(
        'name = "c1"\ncluster = "a"\nlisten = "a:1"\nstate = "s"\nkey_file = "k"\n'
        '[[nodes]]\nname = "c1"\naddress = "10.0.0.1:1"\n'
    )
    with pytest.raises(ConfigError, match="key_file"):
        process.run(path)
    path.write_text(path.read_text().replace("10.0.0.1:1", "control-1.example:1"))
    with pytest.raises(ConfigError, match=r"nodes\[0\].address: must be an IP address"):
        load(path)


def test_the_example_configuration_is_valid() -> None:
    config = load(Path(__file__).parent.parent / "deploy" / "control.toml")
    assert config.votes == {"c1": 2, "c2": 1, "c3": 1, "c4": 1}
    assert len({each.region for each in config.nodes}) == 2
