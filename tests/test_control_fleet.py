"""Four control nodes and four senders as separate processes, with faults between them in a fixed order.

The test observes the processes through their control sockets and checks these rules:

- Every confirmed change is present at the end exactly once, also if it was requested again.
- No sender ever reports a lower version than before, also after restarts; nor does a control node while its
  process runs.
- The active endpoints of a sender are those of the document of its version: a change is never half applied.
- All running senders activate a version within 4 s of its confirmation, or of the end of the fault (a healed
  partition, a resumed or restarted process) if that was later.
"""

import asyncio
import contextlib
import json
import random
import signal
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from message_sender.testbed.control_cluster import ControlCluster
from message_sender.testbed.member_factory import STEP_TIMEOUT_S

ACTIVE_WITHIN_S = 4.0  # the operators' limit
OBSERVE_INTERVAL_S = 0.1
REGIONS = ("north", "south")
SENDERS = {"s1": "north", "s2": "south", "s3": "north", "s4": "south"}
NORTH_NODES, SOUTH_NODES = ("c1", "c2"), ("c3", "c4")  # with three votes and two votes
PAIR = ("pair-a", "pair-b")  # two endpoints whose zones every change changes together
SEED = 47


def zones_at(version: int) -> dict[str, str]:
    """Returns the zone of each endpoint in the document of `version`.

    Each change adds a hub and moves the pair to another zone.
    """
    if version == 0:
        return {"own": ""}  # the document has no endpoints, so those of the sender's own file are active
    zones = {f"hub-{number}": "z" for number in range(1, version + 1)}
    return zones | dict.fromkeys(PAIR, f"zone-{version}")


def resources_at(version: int) -> dict[str, Any]:
    """Returns the endpoints of the document of `version` as resources of the control plane."""
    return {
        f"endpoints/{name}": {"destination": 1, "dial": "127.0.0.1:1", "zone": zone}
        for name, zone in zones_at(version).items()
    }


def put_by(version: int) -> dict[str, Any]:
    """Returns the resources that the change to `version` puts."""
    changed = {f"endpoints/{name}" for name in (f"hub-{version}", *PAIR)}
    return {name: value for name, value in resources_at(version).items() if name in changed}


def zones_of(endpoints: list[dict[str, Any]]) -> dict[str, str]:
    """Returns the zone of each endpoint in a sender's answer."""
    return {endpoint["id"]: endpoint["zone"] for endpoint in endpoints}


@dataclass
class Observations:
    """The observations of one process, in order."""

    versions: list[int] = field(default_factory=list)  # recorded at each change
    first_seen: dict[int, float] = field(default_factory=dict)  # time by version, since the last start
    starts: int = 0
    comparisons: int = 0  # of a version with the endpoints
    breaches: list[str] = field(default_factory=list)

    def note_start(self) -> None:
        self.starts += 1
        self.first_seen.clear()

    def note_version(self, version: int) -> None:
        self.first_seen.setdefault(version, time.monotonic())
        if self.versions and version < self.versions[-1]:
            self.breaches.append(f"version {version} after {self.versions[-1]}, in start {self.starts}")
        if not self.versions or version != self.versions[-1]:
            self.versions.append(version)

    def note_endpoints(self, version: int, endpoints: list[dict[str, Any]]) -> None:
        """Compares `endpoints`, which were requested while `version` was active, with that version."""
        self.comparisons += 1
        if zones_of(endpoints) != zones_at(version):
            self.breaches.append(f"version {version} with {zones_of(endpoints)}, in start {self.starts}")

    def note_pair(self, endpoints: list[dict[str, Any]]) -> None:
        """Checks that both endpoints of the pair are in the same zone in one answer, at any version."""
        zones = {endpoint["zone"] for endpoint in endpoints if endpoint["id"] in PAIR}
        if len(zones) > 1:
            self.breaches.append(f"half a change: {sorted(zones)}, in start {self.starts}")


class Fleet:
    """An operator who makes changes, and an observer of all processes."""

    def __init__(self, cluster: ControlCluster) -> None:
        self.cluster = cluster
        self.rng = random.Random(f"fleet {SEED}")
        self.version = 0  # the last confirmed version
        self.confirmed_at = self.fault_ended_at = 0.0
        self.longest_s = 0.0  # from a confirmation or the end of a fault to activation at all running senders
        self.observations = {name: Observations() for name in (*cluster.members, *cluster.senders)}
        self.observers: set[asyncio.Task[None]] = set()
        self.paused: set[str] = set()

    # Processes.

    async def start(self, *names: str) -> None:
        """Starts processes; of their earlier observations only the order of versions still counts."""
        for name in names:
            self.observations[name].note_start()
            if name in self.cluster.members:  # a node learns from a leader how far its log is confirmed
                self.observations[name].versions.clear()
        await self.cluster.start(*names)
        for name in names:
            self.observers.add(asyncio.create_task(self.observe(name)))
        self.fault_ended_at = time.monotonic()

    def pause(self, *names: str) -> None:
        for name in names:
            self.cluster.signal(name, signal.SIGSTOP)
        self.paused |= {*names}

    def resume(self, *names: str) -> None:
        for name in names:
            self.cluster.signal(name, signal.SIGCONT)
        self.paused -= {*names}
        self.fault_ended_at = time.monotonic()

    def partition(self) -> None:
        sides = {
            region: list(nodes) for region, nodes in zip(REGIONS, (NORTH_NODES, SOUTH_NODES), strict=True)
        }
        for name, region in SENDERS.items():
            sides[region].append(name)
        self.cluster.relay.split(*(" ".join(side) for side in sides.values()))

    def heal(self) -> None:
        self.cluster.relay.heal()
        self.fault_ended_at = time.monotonic()

    def any_node(self) -> str:
        """Returns a random control node that runs and is not paused."""
        return self.rng.choice(sorted({*self.cluster.running_nodes()} - self.paused))

    def running_senders(self) -> list[str]:
        return [name for name, sender in self.cluster.senders.items() if sender.process is not None]

    # Observation.

    async def observe(self, name: str) -> None:
        """Queries one process periodically until it is started again."""
        observations = self.observations[name]
        start = observations.starts
        query = self.query_sender if name in self.cluster.senders else self.query_node
        while observations.starts == start:
            with contextlib.suppress(OSError, json.JSONDecodeError):  # the process is paused or has ended
                await query(name, start)
            await asyncio.sleep(OBSERVE_INTERVAL_S)

    async def request_in_start(self, name: str, start: int, command: str) -> dict[str, Any]:
        """Requests a command; raises OSError if the process was started again before the answer arrived."""
        answer: dict[str, Any] = await self.cluster.request(name, {"do": command})
        if self.observations[name].starts != start:
            raise ConnectionResetError(f"{name} was started again")
        return answer

    async def query_sender(self, name: str, start: int) -> None:
        """Records the version; compares endpoints if the version did not change while they were requested."""
        observations = self.observations[name]
        version = (await self.request_in_start(name, start, "control"))["version"]
        observations.note_version(version)
        endpoints = (await self.request_in_start(name, start, "endpoints"))["endpoints"]
        observations.note_pair(endpoints)
        if (await self.request_in_start(name, start, "control"))["version"] == version:
            observations.note_endpoints(version, endpoints)

    async def query_node(self, name: str, start: int) -> None:
        self.observations[name].note_version((await self.request_in_start(name, start, "get"))["version"])

    # Changes.

    async def change(self, at: str = "") -> None:
        """Makes the next change at node `at`, or at a random node, and waits until it is confirmed."""
        number = self.version + 1
        answer = await self.request(number, at or self.any_node())
        assert answer == {"outcome": "applied", "version": number, "faults": []}
        self.version, self.confirmed_at = number, time.monotonic()

    async def request(self, number: int, at: str) -> dict[str, Any]:
        """Returns the answer to a change; if a node ends or has no leader, retries the same id at others."""
        async with asyncio.timeout(STEP_TIMEOUT_S):
            while True:
                with contextlib.suppress(OSError, json.JSONDecodeError):
                    answer = await self.request_once(number, at)
                    if answer["outcome"] != "unavailable":
                        return answer
                at = self.any_node()

    async def request_once(self, number: int, at: str) -> dict[str, Any]:
        request = {"do": "set", "request_id": f"request {number}", "base_version": number - 1, "delete": []}
        answer: dict[str, Any] = await self.cluster.request(at, {**request, "put": put_by(number)})
        return answer

    async def request_again(self, number: int, at: str) -> None:
        """Requests a confirmed change again: the answer must be the same, without a new version."""
        answer = await self.request(number, at)
        assert answer == {"outcome": "applied", "version": number, "faults": []}
        assert (await self.cluster.request(at, {"do": "get"}))["version"] <= self.version

    # Checks.

    async def wait_until_active(self, names: list[str]) -> float:
        """Waits until these senders have activated the last version.

        Returns:
            The seconds since the confirmation, or since the last fault ended.
        """
        began = max(self.confirmed_at, self.fault_ended_at)
        async with asyncio.timeout(STEP_TIMEOUT_S):
            while not all(self.version in self.observations[name].first_seen for name in names):
                await asyncio.sleep(OBSERVE_INTERVAL_S / 2)
        return max(0.0, *(self.observations[name].first_seen[self.version] - began for name in names))

    async def check_active_in_time(self, label: str) -> None:
        """Checks that all running senders activate the last version in time; there must be no fault."""
        took = await self.wait_until_active(self.running_senders())
        self.longest_s = max(self.longest_s, took)
        print(f"{label}: version {self.version} is active at all running senders {took:.2f} s later")
        assert took <= ACTIVE_WITHIN_S, label
        self.check_order()

    def check_order(self) -> None:
        breaches = {name: seen.breaches for name, seen in self.observations.items() if seen.breaches}
        assert not breaches

    async def check_version_after_start(self, version: int, names: list[str]) -> None:
        """Checks that these senders, just started, have activated `version` from their disks."""
        for name in names:
            assert (await self.cluster.request(name, {"do": "control"}))["version"] == version
            endpoints = (await self.cluster.request(name, {"do": "endpoints"}))["endpoints"]
            assert zones_of(endpoints) == zones_at(version)

    async def check_end(self) -> None:
        """Checks, with all processes running, that every confirmed change is present everywhere, once."""
        await self.check_active_in_time("at the end")
        for name in self.cluster.members:
            await self.cluster.wait_for_node_version(name, self.version)
            answer = await self.cluster.request(name, {"do": "get"})
            assert (answer["version"], answer["resources"]) == (self.version, resources_at(self.version))
        for name in self.cluster.senders:
            endpoints = (await self.cluster.request(name, {"do": "endpoints"}))["endpoints"]
            assert zones_of(endpoints) == zones_at(self.version)
            assert self.observations[name].comparisons > 0
        self.check_order()
        print(f"{self.version} changes; the longest activation took {self.longest_s:.2f} s")


def run_scenario(folder: Path, scenario: Callable[[Fleet], Awaitable[None]]) -> None:
    """Runs a scenario after all eight processes were started."""

    async def run() -> None:
        async with ControlCluster(folder, seed=SEED) as cluster:
            for name, region in SENDERS.items():
                await cluster.add_sender(name, region)
            fleet = Fleet(cluster)
            try:
                await fleet.start(*cluster.members, *cluster.senders)
                await scenario(fleet)
            finally:
                for task in fleet.observers:
                    task.cancel()

    asyncio.run(run())


async def kill_leader_and_sender(fleet: Fleet) -> None:
    """Kills the leader during a change, and a sender with it."""
    leader = await fleet.cluster.wait_for_leader()
    await asyncio.gather(fleet.change(leader), fleet.cluster.kill(leader, "s1"))
    await fleet.check_active_in_time("the leader and a sender were killed")
    await fleet.change()
    await fleet.check_active_in_time("without them")
    await fleet.start(leader, "s1")
    await fleet.check_active_in_time("they were restarted")
    await fleet.request_again(fleet.version - 1, leader)


async def pause_leader_and_sender(fleet: Fleet) -> None:
    """Pauses the leader and a sender during a change."""
    leader = await fleet.cluster.wait_for_leader()
    fleet.pause(leader, "s2")
    await fleet.change()
    await fleet.wait_until_active([name for name in SENDERS if name != "s2"])
    fleet.resume(leader, "s2")
    await fleet.check_active_in_time("the paused leader and sender resumed")
    await fleet.request_again(fleet.version, leader)
    await fleet.change(leader)
    await fleet.check_active_in_time("a change at the node that was paused")


async def partition_regions(fleet: Fleet) -> None:
    """Partitions the regions and requests the same change on both sides; kills senders of both sides."""
    before = fleet.version
    fleet.partition()
    minority, _ = await asyncio.gather(fleet.request_once(before + 1, "c3"), fleet.change("c1"))
    assert minority["outcome"] == "unavailable"
    await fleet.wait_until_active(["s1", "s3"])
    await fleet.cluster.kill("s3", "s4", "c4")
    await fleet.start("s3", "s4", "c4")
    await fleet.check_version_after_start(before + 1, ["s3"])
    await fleet.check_version_after_start(before, ["s4"])
    fleet.heal()
    await fleet.check_active_in_time("the partition healed")
    await fleet.request_again(fleet.version, "c3")


async def lose_datagrams(fleet: Fleet) -> None:
    """Loses a tenth of all datagrams, duplicates a tenth, delays all; kills the leader and a sender."""
    relay = fleet.cluster.relay
    relay.loss, relay.delay, relay.duplication = 0.1, 0.03, 0.1
    for name in fleet.cluster.members:
        await fleet.change(name)
        await fleet.check_active_in_time(f"a tenth is lost, made at {name}")
    leader = await fleet.cluster.wait_for_leader()
    await asyncio.gather(fleet.change(leader), fleet.cluster.kill(leader, "s4"))
    await fleet.check_active_in_time("a tenth is lost, the leader and a sender were killed")
    await fleet.start(leader, "s4")
    await fleet.check_active_in_time("a tenth is lost, they were restarted")
    fleet.heal()


def test_changes_survive_kills_pauses_a_partition_and_loss(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        await fleet.cluster.wait_for_leader()
        for name in fleet.cluster.members:
            await fleet.change(name)
            await fleet.check_active_in_time(f"calm, made at {name}")
        for fault in (
            kill_leader_and_sender,
            pause_leader_and_sender,
            partition_regions,
            lose_datagrams,
        ):
            await fault(fleet)
        await fleet.check_end()

    run_scenario(tmp_path, scenario)


def test_after_a_kill_of_all_processes_senders_start_from_their_disks(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        cluster = fleet.cluster
        for name in ("c1", "c4"):
            await fleet.change(name)
        await fleet.check_active_in_time("calm")
        await cluster.kill(*cluster.members, *cluster.senders)
        await fleet.start(*SENDERS, *SOUTH_NODES)  # two votes of five: no majority
        await fleet.check_version_after_start(fleet.version, [*SENDERS])
        await wait_until_all_watch(cluster, SOUTH_NODES)
        for name in SOUTH_NODES:
            assert (await cluster.request(name, {"do": "get"}))["role"] != "leader"
        fleet.check_order()
        await fleet.start(*NORTH_NODES)
        await fleet.change("c3")
        await fleet.check_active_in_time("all were killed")
        await fleet.check_end()

    run_scenario(tmp_path, scenario)


async def wait_until_all_watch(cluster: ControlCluster, names: tuple[str, ...]) -> None:
    """Waits until these control nodes together know every sender."""
    async with asyncio.timeout(STEP_TIMEOUT_S):
        known: set[str] = set()
        while known != set(SENDERS):
            nodes = (await cluster.request(names[0], {"do": "status"}))["nodes"]
            known = {
                watcher["name"] for node in nodes if node["is_reachable"] for watcher in node["watchers"]
            }
