"""Four control nodes and four senders, each a process of its own, and faults between them in a fixed order.

What is checked, of all that they tell over their control sockets:

- Every change that was confirmed is there at the end, once, also where it was asked for again.
- No sender ever tells a lower version than before, also over its restarts; nor does a control node while its
  process runs.
- The endpoints in force at a sender are those of the document of its version: never half a change.
- All senders that run are in force within 4 s, counted from the confirmation, or from the end of the fault (a
  cut that heals, a process that goes on or serves again) where that came later.
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

IN_FORCE_WITHIN_S = 4.0  # the operators' allowance
OBSERVE_INTERVAL_S = 0.1
REGIONS = ("north", "south")
SENDERS = {"s1": "north", "s2": "south", "s3": "north", "s4": "south"}
NORTH_NODES, SOUTH_NODES = ("c1", "c2"), ("c3", "c4")  # three votes, and two
PAIR = ("pair-a", "pair-b")  # two endpoints that every change changes together, by their zones
SEED = 47


def zones_at(version: int) -> dict[str, str]:
    """The endpoints of the document of `version`, with zones: each change adds a hub and moves the pair."""
    if version == 0:
        return {"own": ""}  # the document holds no endpoints, so the sender's own file is in force
    zones = {f"hub-{number}": "z" for number in range(1, version + 1)}
    return zones | dict.fromkeys(PAIR, f"zone-{version}")


def resources_at(version: int) -> dict[str, Any]:
    """The same as resources of the control plane."""
    return {
        f"endpoints/{name}": {"destination": 1, "dial": "127.0.0.1:1", "zone": zone}
        for name, zone in zones_at(version).items()
    }


def put_by(version: int) -> dict[str, Any]:
    """What the change that leads to `version` puts."""
    changed = {f"endpoints/{name}" for name in (f"hub-{version}", *PAIR)}
    return {name: value for name, value in resources_at(version).items() if name in changed}


def zones_of(endpoints: list[dict[str, Any]]) -> dict[str, str]:
    """The same of a sender's answer."""
    return {each["id"]: each["zone"] for each in endpoints}


@dataclass
class Told:
    """What one process told of itself, in order."""

    versions: list[int] = field(default_factory=list)  # each time that it was another one
    first_told: dict[int, float] = field(default_factory=dict)  # by version: when; since its last start
    lives: int = 0
    observations: int = 0  # in which version and endpoints were compared
    breaches: list[str] = field(default_factory=list)

    def begin_life(self) -> None:
        self.lives += 1
        self.first_told.clear()

    def note_version(self, version: int) -> None:
        self.first_told.setdefault(version, time.monotonic())
        if self.versions and version < self.versions[-1]:
            self.breaches.append(f"version {version} after {self.versions[-1]}, in life {self.lives}")
        if not self.versions or version != self.versions[-1]:
            self.versions.append(version)

    def note_endpoints(self, version: int, endpoints: list[dict[str, Any]]) -> None:
        """`endpoints`: asked for while `version` was in force."""
        self.observations += 1
        if zones_of(endpoints) != zones_at(version):
            self.breaches.append(f"version {version} with {zones_of(endpoints)}, in life {self.lives}")

    def note_pair(self, endpoints: list[dict[str, Any]]) -> None:
        """`endpoints`: in one answer, whichever version was in force."""
        zones = {each["zone"] for each in endpoints if each["id"] in PAIR}
        if len(zones) > 1:
            self.breaches.append(f"half a change: {sorted(zones)}, in life {self.lives}")


class Fleet:
    """An operator, and an observer of all that is told."""

    def __init__(self, cluster: ControlCluster) -> None:
        self.cluster = cluster
        self.rng = random.Random(f"fleet {SEED}")
        self.version = 0  # the last that was confirmed
        self.confirmed_at = self.calm_since = 0.0
        self.longest_s = 0.0  # from a confirmation, or the end of a fault, until in force at all that run
        self.told = {name: Told() for name in (*cluster.members, *cluster.senders)}
        self.observers: set[asyncio.Task[None]] = set()
        self.paused: set[str] = set()

    # Processes.

    async def start(self, *names: str) -> None:
        """Starts these; what their lives before told counts for nothing from then on but the order."""
        for name in names:
            self.told[name].begin_life()
            if name in self.cluster.members:  # it learns from a leader how far its log is confirmed
                self.told[name].versions.clear()
        await self.cluster.start(*names)
        for name in names:
            self.observers.add(asyncio.create_task(self.observe(name)))
        self.calm_since = time.monotonic()

    def pause(self, *names: str) -> None:
        for name in names:
            self.cluster.signal(name, signal.SIGSTOP)
        self.paused |= {*names}

    def go_on(self, *names: str) -> None:
        for name in names:
            self.cluster.signal(name, signal.SIGCONT)
        self.paused -= {*names}
        self.calm_since = time.monotonic()

    def cut_between_regions(self) -> None:
        sides = {
            region: list(nodes) for region, nodes in zip(REGIONS, (NORTH_NODES, SOUTH_NODES), strict=True)
        }
        for name, region in SENDERS.items():
            sides[region].append(name)
        self.cluster.relay.split(*(" ".join(side) for side in sides.values()))

    def heal(self) -> None:
        self.cluster.relay.heal()
        self.calm_since = time.monotonic()

    def any_node(self) -> str:
        """A control node that runs and does not stand still."""
        return self.rng.choice(sorted({*self.cluster.running_nodes()} - self.paused))

    def running_senders(self) -> list[str]:
        return [name for name, each in self.cluster.senders.items() if each.process is not None]

    # What they tell.

    async def observe(self, name: str) -> None:
        """Asks one process again and again until its end."""
        told = self.told[name]
        life = told.lives
        look = self.look_at_sender if name in self.cluster.senders else self.look_at_node
        while told.lives == life:
            with contextlib.suppress(OSError, json.JSONDecodeError):  # it is paused, or has ended
                await look(name, life)
            await asyncio.sleep(OBSERVE_INTERVAL_S)

    async def ask_in_life(self, name: str, life: int, what: str) -> dict[str, Any]:
        """Raises OSError for an answer that comes when the process that gave it has been replaced."""
        answer: dict[str, Any] = await self.cluster.request(name, {"do": what})
        if self.told[name].lives != life:
            raise ConnectionResetError(f"{name} was started again")
        return answer

    async def look_at_sender(self, name: str, life: int) -> None:
        """Endpoints are compared where no other version came in force while they were asked for."""
        told = self.told[name]
        version = (await self.ask_in_life(name, life, "control"))["version"]
        told.note_version(version)
        endpoints = (await self.ask_in_life(name, life, "endpoints"))["endpoints"]
        told.note_pair(endpoints)
        if (await self.ask_in_life(name, life, "control"))["version"] == version:
            told.note_endpoints(version, endpoints)

    async def look_at_node(self, name: str, life: int) -> None:
        self.told[name].note_version((await self.ask_in_life(name, life, "get"))["version"])

    # Changes.

    async def change(self, at: str = "") -> None:
        """The next change, asked for at the node `at`, or at one that is drawn, until it is confirmed."""
        number = self.version + 1
        answer = await self.request(number, at or self.any_node())
        assert answer == {"outcome": "applied", "version": number, "faults": []}
        self.version, self.confirmed_at = number, time.monotonic()

    async def request(self, number: int, at: str) -> dict[str, Any]:
        """The answer to a change. Where a node ends or has no leader, others are asked under the same id."""
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
        """A change that was confirmed, asked for again: the same answer, and nothing is written."""
        answer = await self.request(number, at)
        assert answer == {"outcome": "applied", "version": number, "faults": []}
        assert (await self.cluster.request(at, {"do": "get"}))["version"] <= self.version

    # Judgement.

    async def until_in_force(self, names: list[str]) -> float:
        """Waits until these senders have the last version in force; the seconds since the confirmation, or
        since the last fault ended."""
        began = max(self.confirmed_at, self.calm_since)
        async with asyncio.timeout(STEP_TIMEOUT_S):
            while not all(self.version in self.told[name].first_told for name in names):
                await asyncio.sleep(OBSERVE_INTERVAL_S / 2)
        return max(0.0, *(self.told[name].first_told[self.version] - began for name in names))

    async def in_force_in_time(self, what: str) -> None:
        """Nothing is cut or paused: all senders that run have the last version, in time."""
        took = await self.until_in_force(self.running_senders())
        self.longest_s = max(self.longest_s, took)
        print(f"{what}: version {self.version} is in force at all that run {took:.2f} s later")
        assert took <= IN_FORCE_WITHIN_S, what
        self.check_order()

    def check_order(self) -> None:
        breaches = {name: told.breaches for name, told in self.told.items() if told.breaches}
        assert not breaches

    async def check_begun(self, version: int, names: list[str]) -> None:
        """These senders, just started, have this version in force from their disks."""
        for name in names:
            assert (await self.cluster.request(name, {"do": "control"}))["version"] == version
            endpoints = (await self.cluster.request(name, {"do": "endpoints"}))["endpoints"]
            assert zones_of(endpoints) == zones_at(version)

    async def check_end(self) -> None:
        """All run and nothing is cut: every confirmed change is everywhere, once."""
        await self.in_force_in_time("at the end")
        for name in self.cluster.members:
            await self.cluster.wait_for_node_version(name, self.version)
            answer = await self.cluster.request(name, {"do": "get"})
            assert (answer["version"], answer["resources"]) == (self.version, resources_at(self.version))
        for name in self.cluster.senders:
            endpoints = (await self.cluster.request(name, {"do": "endpoints"}))["endpoints"]
            assert zones_of(endpoints) == zones_at(self.version)
            assert self.told[name].observations > 0
        self.check_order()
        print(f"{self.version} changes; the longest until in force was {self.longest_s:.2f} s")


def play(folder: Path, story: Callable[[Fleet], Awaitable[None]]) -> None:
    """Runs a story with all eight processes up."""

    async def told() -> None:
        async with ControlCluster(folder, seed=SEED) as cluster:
            for name, region in SENDERS.items():
                await cluster.add_sender(name, region)
            fleet = Fleet(cluster)
            try:
                await fleet.start(*cluster.members, *cluster.senders)
                await story(fleet)
            finally:
                for task in fleet.observers:
                    task.cancel()

    asyncio.run(told())


async def killed(fleet: Fleet) -> None:
    """The leader is killed while it is asked for a change, and a sender with it."""
    leader = await fleet.cluster.wait_for_leader()
    await asyncio.gather(fleet.change(leader), fleet.cluster.kill(leader, "s1"))
    await fleet.in_force_in_time("the leader and a sender were killed")
    await fleet.change()
    await fleet.in_force_in_time("without them")
    await fleet.start(leader, "s1")
    await fleet.in_force_in_time("they are back")
    await fleet.request_again(fleet.version - 1, leader)


async def paused(fleet: Fleet) -> None:
    """The leader and a sender stand still."""
    leader = await fleet.cluster.wait_for_leader()
    fleet.pause(leader, "s2")
    await fleet.change()
    await fleet.until_in_force([name for name in SENDERS if name != "s2"])
    fleet.go_on(leader, "s2")
    await fleet.in_force_in_time("the paused leader and sender went on")
    await fleet.request_again(fleet.version, leader)
    await fleet.change(leader)
    await fleet.in_force_in_time("a change by the one that was paused")


async def cut(fleet: Fleet) -> None:
    """The regions are cut apart, and both sides are asked for the same change; senders of both sides end."""
    before = fleet.version
    fleet.cut_between_regions()
    light, _ = await asyncio.gather(fleet.request_once(before + 1, "c3"), fleet.change("c1"))
    assert light["outcome"] == "unavailable"
    await fleet.until_in_force(["s1", "s3"])
    await fleet.cluster.kill("s3", "s4", "c4")
    await fleet.start("s3", "s4", "c4")
    await fleet.check_begun(before + 1, ["s3"])
    await fleet.check_begun(before, ["s4"])
    fleet.heal()
    await fleet.in_force_in_time("the cut healed")
    await fleet.request_again(fleet.version, "c3")


async def lossy(fleet: Fleet) -> None:
    """A tenth of all datagrams is lost, a tenth doubled, and all are late; then a leader and a sender end."""
    relay = fleet.cluster.relay
    relay.loss, relay.delay, relay.duplication = 0.1, 0.03, 0.1
    for name in fleet.cluster.members:
        await fleet.change(name)
        await fleet.in_force_in_time(f"a tenth is lost, made at {name}")
    leader = await fleet.cluster.wait_for_leader()
    await asyncio.gather(fleet.change(leader), fleet.cluster.kill(leader, "s4"))
    await fleet.in_force_in_time("a tenth is lost, the leader and a sender were killed")
    await fleet.start(leader, "s4")
    await fleet.in_force_in_time("a tenth is lost, they are back")
    fleet.heal()


def test_kills_pauses_a_cut_and_loss(tmp_path: Path) -> None:
    async def story(fleet: Fleet) -> None:
        await fleet.cluster.wait_for_leader()
        for name in fleet.cluster.members:
            await fleet.change(name)
            await fleet.in_force_in_time(f"calm, made at {name}")
        for fault in (killed, paused, cut, lossy):
            await fault(fleet)
        await fleet.check_end()

    play(tmp_path, story)


def test_all_eight_are_killed_and_senders_begin_from_their_disks(tmp_path: Path) -> None:
    async def story(fleet: Fleet) -> None:
        cluster = fleet.cluster
        for name in ("c1", "c4"):
            await fleet.change(name)
        await fleet.in_force_in_time("calm")
        await cluster.kill(*cluster.members, *cluster.senders)
        await fleet.start(*SENDERS, *SOUTH_NODES)  # two votes of five: no majority
        await fleet.check_begun(fleet.version, [*SENDERS])
        await until_all_watch(cluster, SOUTH_NODES)
        for name in SOUTH_NODES:
            assert (await cluster.request(name, {"do": "get"}))["role"] != "leader"
        fleet.check_order()
        await fleet.start(*NORTH_NODES)
        await fleet.change("c3")
        await fleet.in_force_in_time("all were killed")
        await fleet.check_end()

    play(tmp_path, story)


async def until_all_watch(cluster: ControlCluster, names: tuple[str, ...]) -> None:
    """Waits until these control nodes have heard of every sender."""
    async with asyncio.timeout(STEP_TIMEOUT_S):
        heard: set[str] = set()
        while heard != set(SENDERS):
            told = (await cluster.request(names[0], {"do": "status"}))["nodes"]
            heard = {each["name"] for node in told if node["is_reachable"] for each in node["watchers"]}
