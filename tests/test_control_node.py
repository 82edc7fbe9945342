"""Control nodes on virtual time: a bad network, disks that are lost, old or full, kills at chosen points."""

import asyncio
import os
import random
import shutil
import stat
import time
from collections.abc import Awaitable, Callable, Coroutine, Mapping
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any, cast

import pytest

from message_sender.control import messages
from message_sender.control.channel import Channel, KnownStart
from message_sender.control.choice import ControlNodeAddress
from message_sender.control.configuration import NodeConfiguration
from message_sender.control.document import Document
from message_sender.control.driver import NodeDriver
from message_sender.control.folder import FolderError, Identity, StateFolder
from message_sender.control.folder_writer import FolderWriter
from message_sender.control.log_file import LogFile
from message_sender.control.messages import (
    Address,
    Change,
    ChangeResult,
    Delta,
    NodeStatus,
    Outcome,
    Resource,
    TimeoutNow,
)
from message_sender.control.node import ControlNode
from message_sender.control.process import build_node
from message_sender.control.raft import HardState, Role
from message_sender.control.replica import ELECTION_TIMEOUT_MIN_S, Replica
from message_sender.control.requests import ChangeRequests
from message_sender.control.store import ConfigurationStore
from message_sender.control.watch import Watch
from message_sender.emulator.loop import VirtualLoop
from message_sender.fleet.seal import Seal
from message_sender.testbed.simulated_disk import MemoryDisk, SimulatedDisk

KEY = bytes(32)
VOTES = {"c1": 2, "c2": 1, "c3": 1, "c4": 1}
REGIONS = {"c1": "north", "c2": "north", "c3": "south", "c4": "south"}
NODES = tuple(
    ControlNodeAddress(name, (name, 7000), region) for name, region in REGIONS.items()
)  # fmt: skip
YEAR_S = 365 * 86_400.0
STORY_LIMIT_S = 600.0  # of virtual time; one that goes on for longer has failed


def no_faults(resources: Mapping[str, bytes]) -> tuple[str, ...]:
    return tuple(f"{name}: is bad" for name, value in sorted(resources.items()) if value == b"bad")


def offset_time(loop: asyncio.AbstractEventLoop, offset: float) -> float:
    return loop.time() + offset


class Network:
    """Datagrams between names; a cut keeps sides apart."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.loss = self.double = 0.0
        self.delay = 0.002
        self.sides: tuple[frozenset[str], ...] = ()
        self.receivers: dict[str, Callable[[bytes, Address], None]] = {}

    def send(self, sender: str, address: Address, datagram: bytes) -> None:
        to = address[0]
        if self.sides and not any({sender, to} <= side for side in self.sides):
            return
        for _ in range(1 + (self.rng.random() < self.double)):
            if self.rng.random() >= self.loss:
                after = self.rng.uniform(0.0, self.delay)
                asyncio.get_running_loop().call_later(after, self.deliver, sender, to, datagram)

    def deliver(self, sender: str, to: str, datagram: bytes) -> None:
        if to in self.receivers:
            self.receivers[to](datagram, (sender, 7000))


class Recorder:
    """Takes every version."""

    def __init__(self) -> None:
        self.versions: list[int] = []

    def apply(self, document: Document, delta: Delta) -> None:
        self.versions.append(delta.to_version)


class Watcher:
    """A sender's watch."""

    def __init__(self, name: str, region: str, network: Network, rng: random.Random) -> None:
        loop = asyncio.get_running_loop()
        self.name, self.network, self.loop, self.recorder = name, network, loop, Recorder()
        addresses = {each.name: each.address for each in NODES}
        self.channel = Channel(name, 1, rng.getrandbits(60) + 1, Seal([KEY]), addresses)
        self.watch = Watch(name, NODES, region, Document(), self.recorder, rng, loop.time())
        network.receivers[name] = self.receive
        self.task = loop.create_task(self.run())

    def receive(self, datagram: bytes, source: Address) -> None:
        for sender, body in self.channel.receive(datagram, source, self.loop.time()):
            self.watch.receive(sender, body, self.loop.time())  # type: ignore[arg-type]
        self.flush()

    def flush(self) -> None:
        for to, message in self.watch.take_messages():
            self.channel.send(to, message, self.loop.time())
        for address, datagram in self.channel.take_datagrams():
            self.network.send(self.name, address, datagram)

    async def run(self) -> None:
        while True:
            self.watch.tick(self.loop.time())
            self.flush()
            await asyncio.sleep(0.05)


@dataclass
class Machine:
    """One node's machine: what outlasts its process."""

    name: str
    folder: Path
    platter: SimulatedDisk = field(default_factory=SimulatedDisk)
    driver: NodeDriver | None = None
    is_full: bool = False
    crash_after: str = ""  # an operation on the disk
    clock_offset: float = 0.0
    versions: list[int] = field(default_factory=list)  # of its document, as seen


class Cluster:
    """Control nodes, watchers and operators in one virtual time."""

    def __init__(self, folder: Path, seed: int = 0) -> None:
        self.folder, self.rng = folder, random.Random(seed)
        self.network = Network(random.Random(seed + 1))
        self.machines = {name: Machine(name, folder / name) for name in VOTES}
        self.defects: list[Exception] = []
        self.numbers = 0
        self.watchers: list[Watcher] = []
        self.confirmed: dict[str, int] = {}  # by request id: the version
        for machine in self.machines.values():
            self.initialise(machine)

    def initialise(self, machine: Machine) -> None:
        folder = StateFolder(machine.folder)
        folder.initialise(Identity("test", machine.name, "now"), MemoryDisk(machine.platter))

    def configuration(self, machine: Machine) -> NodeConfiguration:
        return NodeConfiguration(
            machine.name, "test", (machine.name, 7000), machine.folder, Path("none"), NODES, VOTES
        )

    def start(self, *names: str) -> None:
        for name in names or tuple(VOTES):
            machine = self.machines[name]
            machine.folder.mkdir(exist_ok=True)
            loop = asyncio.get_running_loop()
            log_file = LogFile(machine.folder, self.disk(machine))
            folder = StateFolder(machine.folder)
            clock = partial(offset_time, loop, machine.clock_offset)
            config = self.configuration(machine)
            rng = random.Random(self.rng.getrandbits(32))
            node = build_node(config, Seal([KEY]), folder, log_file, rng, clock())
            node.requests.validate = no_faults
            folder_writer = FolderWriter(folder, node)

            def send(address: Address, datagram: bytes, name: str = name) -> None:
                self.network.send(name, address, datagram)

            machine.driver = NodeDriver(node, log_file, folder_writer, send, self.defects.append, clock)
            self.network.receivers[name] = machine.driver.receive
            machine.driver.start()

    def disk(self, machine: Machine) -> MemoryDisk:
        def before(what: str) -> None:
            if machine.is_full and what in ("write", "sync"):
                raise OSError(28, "No space left on device")

        class Disk(MemoryDisk):
            async def run(disk, job: Callable[[], None]) -> None:  # noqa: N805
                await super().run(job)
                if machine.crash_after == "sync":
                    machine.crash_after = ""
                    self.kill(machine.name)

        return Disk(machine.platter, before)

    def kill(self, *names: str) -> None:
        for name in names:
            driver, self.machines[name].driver = self.machines[name].driver, None
            self.network.receivers.pop(name, None)
            if driver:
                driver.close()

    def cut_power(self, name: str, keeps: float = 0.0) -> None:
        self.kill(name)
        machine = self.machines[name]
        machine.platter = SimulatedDisk(machine.platter.cut(self.rng, keeps))

    def driver(self, name: str) -> NodeDriver:
        driver = self.machines[name].driver
        assert driver
        return driver

    def alive(self) -> list[str]:
        return [name for name, machine in self.machines.items() if machine.driver]

    def leader(self) -> str:
        leaders = [name for name in self.alive() if self.driver(name).node.replica.role is Role.LEADER]
        return max(leaders, key=lambda name: self.driver(name).node.replica.term, default="")

    def document(self, name: str) -> Document:
        return self.driver(name).node.store.document

    async def until(self, is_so: Callable[[], bool], within: float = 10.0) -> float:
        """Waits on virtual time; the seconds that it took."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        while not is_so():
            assert loop.time() < began + within, "not within the time"
            await asyncio.sleep(0.01)
        assert not self.defects
        return loop.time() - began

    async def until_led(self, names: tuple[str, ...] = ()) -> str:
        await self.until(lambda: self.leader() in (names or tuple(VOTES)))
        return self.leader()

    def change(self, base: int, value: bytes = b"{}", name: str = "endpoints/x") -> Change:
        self.numbers += 1
        return Change(f"request-{self.numbers}", base, (Resource(name, value),), ())

    async def submit(self, name: str, change: Change) -> ChangeResult:
        """Asks once."""
        future: asyncio.Future[ChangeResult] = asyncio.get_running_loop().create_future()
        self.driver(name).run_action(
            lambda now: self.driver(name).node.submit(change, future.set_result, now)
        )
        result = await future
        if result.outcome is Outcome.APPLIED:
            assert self.confirmed.setdefault(change.request_id, result.version) == result.version
        return result

    async def make(self, name: str, value: bytes = b"{}", resource: str = "endpoints/x") -> ChangeResult:
        return await self.submit(name, self.change(self.document(name).version, value, resource))

    async def status(self, name: str) -> dict[str, NodeStatus]:
        future: asyncio.Future[dict[str, NodeStatus]] = asyncio.get_running_loop().create_future()
        self.driver(name).run_action(lambda now: self.driver(name).node.query_status(future.set_result, now))
        return await future

    async def until_everywhere(self, within: float = 4.0) -> float:
        """All that run have the newest version that was confirmed."""
        version = max(self.confirmed.values(), default=0)
        return await self.until(
            lambda: (
                all(self.document(name).version >= version for name in self.alive())
                and all(each.watch.document.version >= version for each in self.watchers)
            ),
            within,
        )

    def watch(self, count: int) -> None:
        for number in range(len(self.watchers), len(self.watchers) + count):
            region = "north" if number % 2 else "south"
            rng = random.Random(self.rng.getrandbits(32))
            self.watchers.append(Watcher(f"w{number}", region, self.network, rng))

    def check(self) -> None:
        """No defect, one content for all, and versions that only rose."""
        assert not self.defects
        by_version: dict[int, int] = {}
        documents = [self.document(name) for name in self.alive()]
        documents += [each.watch.document for each in self.watchers]
        for document in documents:
            assert by_version.setdefault(document.version, document.digest) == document.digest
        for each in self.watchers:
            assert each.recorder.versions == sorted(set(each.recorder.versions))
        assert len(set(self.confirmed.values())) == len(self.confirmed)


Story = Callable[[Cluster], Awaitable[Any]]


def play(folder: Path, story: Callable[[Cluster], Coroutine[Any, Any, Any]], seed: int = 0) -> Any:  # noqa: ANN401
    """Runs a story on virtual time."""
    loop = VirtualLoop()
    cluster = Cluster(folder, seed)

    async def told() -> Any:  # noqa: ANN401
        try:
            async with asyncio.timeout(STORY_LIMIT_S):
                result = await story(cluster)
            cluster.check()
            return result
        finally:
            cluster.kill(*VOTES)
            for each in cluster.watchers:
                each.task.cancel()

    try:
        return loop.run_until_complete(told())
    finally:
        loop.close()


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


def test_faults_and_old_versions_are_refused_at_any_node(tmp_path: Path) -> None:
    async def story(cluster: Cluster) -> None:
        cluster.start()
        await cluster.until_led()
        assert (await cluster.make("c1")).version == 1
        await cluster.until_everywhere()
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

    play(tmp_path, story)


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
def test_what_has_no_form_on_the_wire_is_refused_and_the_node_goes_on(change: Change, tmp_path: Path) -> None:
    async def story(cluster: Cluster) -> None:
        cluster.start()
        leader = await cluster.until_led()
        other = next(name for name in VOTES if name != leader)
        for name in (leader, other):
            result = await cluster.submit(name, change)
            assert result.outcome is Outcome.INVALID and result.faults[0].startswith("no change: ")
            assert (await cluster.make(name)).outcome is Outcome.APPLIED
            await cluster.until_everywhere()

    play(tmp_path, story)


def test_of_two_operators_at_once_one_is_told_of_the_other(tmp_path: Path) -> None:
    async def story(cluster: Cluster) -> None:
        cluster.start()
        await cluster.until_led()
        for version in range(1, 11):
            first, second = (cluster.change(version - 1, value) for value in (b"1", b"2"))
            results = await asyncio.gather(cluster.submit("c2", first), cluster.submit("c3", second))
            assert sorted(each.outcome for each in results) == [Outcome.APPLIED, Outcome.CONFLICT]
            await cluster.until_everywhere()
            assert {each.version for each in results} <= {version - 1, version}

    play(tmp_path, story)


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


@pytest.mark.parametrize("is_initialised", [False, True])
def test_a_node_that_lost_its_disk_copies_the_log_and_counts_for_no_majority(
    is_initialised: bool, tmp_path: Path
) -> None:
    async def story(cluster: Cluster) -> None:
        cluster.start()
        leader = await cluster.until_led()
        await cluster.make(leader)
        lost = next(name for name in ("c2", "c3") if name != leader)
        machine = cluster.machines[lost]
        cluster.kill(lost)
        shutil.rmtree(machine.folder)
        machine.platter = SimulatedDisk()
        if is_initialised:
            cluster.initialise(machine)
        cluster.start(lost)
        await cluster.until(lambda: cluster.driver(lost).node.replica.role is Role.LEARNER)
        cluster.watch(4)
        await cluster.until_everywhere()
        assert (await cluster.make(lost)).version == 2
        await cluster.until_everywhere()
        status = (await cluster.status("c1"))[lost]
        assert status.role == "learner"
        assert ("older than what" if is_initialised else "not initialised") in status.fault
        others = [name for name in VOTES if name not in ("c1", lost)]
        cluster.kill(*others)
        result = await cluster.make("c1")
        assert result.outcome is Outcome.UNAVAILABLE
        cluster.kill(lost)
        cluster.start(lost, others[0])
        await cluster.until_led()
        assert cluster.driver(lost).node.replica.role is Role.LEARNER
        # A change is made against the version of the node that is asked: the learner copies it first.
        await cluster.until(lambda: cluster.document(lost).version >= 2)
        assert (await cluster.make(lost)).outcome is Outcome.APPLIED

    play(tmp_path, story)


def test_a_node_whose_disk_is_old_learns_so_from_the_others(tmp_path: Path) -> None:
    async def story(cluster: Cluster) -> None:
        cluster.start()
        await cluster.until_led()
        await cluster.make("c1")
        await cluster.until_everywhere()
        cluster.kill("c2")
        copy, platter = (
            tmp_path / "copy",
            SimulatedDisk(cluster.machines["c2"].platter.cut(random.Random(0), 1.0)),
        )
        shutil.copytree(cluster.machines["c2"].folder, copy)
        cluster.start("c2")
        await cluster.until_led()
        await cluster.make("c1")
        await cluster.until_everywhere()
        cluster.kill(*VOTES)
        shutil.rmtree(cluster.machines["c2"].folder)
        shutil.copytree(copy, cluster.machines["c2"].folder)
        cluster.machines["c2"].platter = platter
        cluster.start()
        await cluster.until(lambda: cluster.driver("c2").node.replica.role is Role.LEARNER)
        await cluster.until_led()
        await cluster.make("c1")
        await cluster.until_everywhere()
        assert not cluster.driver("c2").node.replica.is_voter
        cluster.kill("c2")
        cluster.start("c2")
        assert cluster.driver("c2").node.replica.role is Role.LEARNER, "also after its next start"

    play(tmp_path, story)


def test_a_damaged_log_makes_a_learner_that_names_the_offset(tmp_path: Path) -> None:
    async def story(cluster: Cluster) -> None:
        cluster.start()
        await cluster.until_led()
        for _ in range(5):
            await cluster.make("c1")
        await cluster.until_everywhere()
        cluster.kill("c3")
        left = cluster.machines["c3"].platter.cut(random.Random(0), 1.0)
        damaged = bytearray(left["log"])
        damaged[len(damaged) // 2] ^= 16
        cluster.machines["c3"].platter = SimulatedDisk({**left, "log": bytes(damaged)})
        for _ in range(2):
            cluster.start("c3")
            fault = cluster.driver("c3").node.fault()
            assert "damaged log" in fault and "at byte" in fault
            await cluster.make("c1")
            await cluster.until_everywhere()
            cluster.kill("c3")
        kept = cluster.machines["c3"].platter.cut(random.Random(0), 1.0)
        assert kept["log.damaged"] == bytes(damaged)
        cluster.start("c3")

    play(tmp_path, story)


@pytest.mark.parametrize("count", [1, 3])
def test_a_full_disk_confirms_nothing_and_watches_go_on(count: int, tmp_path: Path) -> None:
    async def story(cluster: Cluster) -> None:
        cluster.start()
        cluster.watch(4)
        leader = await cluster.until_led()
        await cluster.make(leader)
        await cluster.until_everywhere()
        others = [name for name in VOTES if name != leader]
        full = [leader, *others[: count - 1]]
        for name in full:
            cluster.machines[name].is_full = True
        result = await cluster.make(leader, b"2")
        if count == 1:
            assert result.outcome in (Outcome.UNAVAILABLE, Outcome.APPLIED)
            while (await cluster.make(others[0], b"3")).outcome is not Outcome.APPLIED:
                pass
            healthy = lambda: all(  # noqa: E731
                cluster.document(name).version == cluster.document(others[0]).version for name in others
            )
            await cluster.until(healthy)
        else:
            assert result.outcome is Outcome.UNAVAILABLE
            assert {cluster.document(name).version for name in VOTES} == {1}
        await asyncio.sleep(5.0)
        status = (await cluster.status(others[-1]))[leader]
        assert "takes no writes" in status.fault and "No space left" in status.fault
        cluster.watch(8)
        newest = max(cluster.confirmed.values())
        took = await cluster.until(
            lambda: all(each.watch.document.version >= newest for each in cluster.watchers), within=20.0
        )
        print(f"{len(cluster.watchers)} watchers have the newest version after {took:.1f} s")
        if count == 3:
            served = [cluster.driver(name).node.fanout for name in full]
            assert any(each.watchers(cluster.driver(leader).clock()) for each in served)
        for name in full:
            cluster.machines[name].is_full = False
        await cluster.until_led()
        while (await cluster.make("c1", b"4")).outcome is not Outcome.APPLIED:
            pass
        await cluster.until_everywhere()
        assert all(not cluster.driver(name).node.disk_fault for name in VOTES)

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


def test_a_new_leader_answers_once_it_has_applied_an_entry_of_its_term_and_proposes_once() -> None:
    leader, store = LeaderStub(), ConfigurationStore()
    requests = ChangeRequests(cast(Replica, leader), store, no_faults)
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


def test_a_leader_that_is_cut_off_does_not_say_that_a_change_against_a_later_version_was_not_made() -> None:
    """Another leader may have made that version, and the change behind it."""
    leader, store = LeaderStub(), ConfigurationStore()
    requests = ChangeRequests(cast(Replica, leader), store, no_faults)
    answers: list[ChangeResult] = []
    for index in (1, 2):
        store.apply(leader.entry(index))
    requests.submit(Change("later", 1, (Resource("a", b"2"),), ()), answers.append, 0.0)
    for now in (0.5, 1.0, 2.9):
        requests.tick(now)
    assert not answers and len(leader.proposed) == 1
    requests.tick(3.0)
    assert answers == [ChangeResult("later", Outcome.UNAVAILABLE, 0)]


def test_a_change_against_the_version_that_is_being_made_is_not_proposed_unchecked() -> None:
    leader, store = LeaderStub(), ConfigurationStore()
    requests = ChangeRequests(cast(Replica, leader), store, no_faults)
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


def test_a_folder_that_takes_no_writes_is_written_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def refuse(*_: object) -> None:
        raise OSError(28, "No space left on device")

    async def story(cluster: Cluster) -> None:
        with monkeypatch.context() as full:
            full.setattr(StateFolder, "write_starts", refuse)
            cluster.start()
            await cluster.until_led()
            assert (await cluster.make("c1")).outcome is Outcome.APPLIED
            assert not StateFolder(tmp_path / "c1").read_starts()
        known = cluster.driver("c1").node.channel.known_starts
        assert known
        await cluster.until(lambda: StateFolder(tmp_path / "c1").read_starts() == known)

    play(tmp_path, story)


def test_a_folder_is_initialised_once(tmp_path: Path) -> None:
    cluster = Cluster(tmp_path)
    with pytest.raises(FolderError, match="no empty folder"):
        cluster.initialise(cluster.machines["c1"])


@pytest.mark.parametrize("what", ["identity", "epoch", "starts", "learner"])
def test_what_the_folder_keeps_is_durable_under_its_name_once_it_is_written(
    what: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    done: list[str] = []
    replace, sync = os.replace, os.fsync

    def noted_replace(old: Path, new: Path) -> None:
        replace(old, new)
        done.append("name")

    def noted_sync(file: int) -> None:
        sync(file)
        done.append("folder" if stat.S_ISDIR(os.fstat(file).st_mode) else "content")

    folder = StateFolder(tmp_path / "c1")
    folder.path.mkdir()
    writes: dict[str, Callable[[], None]] = {
        "identity": lambda: folder.initialise(Identity("test", "c1", "now"), MemoryDisk(SimulatedDisk())),
        "epoch": lambda: folder.write_epoch(7),
        "starts": lambda: folder.write_starts({}),
        "learner": lambda: folder.mark_learner("lost"),
    }
    monkeypatch.setattr(os, "replace", noted_replace)
    monkeypatch.setattr(os, "fsync", noted_sync)
    writes[what]()
    assert done == ["content", "name", "folder"]


@pytest.mark.parametrize("method", [(LogFile, "store"), (StateFolder, "write_starts")], ids=["log", "folder"])
def test_a_defect_beside_the_loop_ends_the_node(
    method: tuple[type, str], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def defect(*_: object) -> None:
        raise RuntimeError("a defect")

    async def story(cluster: Cluster) -> None:
        with monkeypatch.context() as broken:
            broken.setattr(*method, defect)
            cluster.start()
            while not cluster.defects:
                await asyncio.sleep(0.01)
        assert str(cluster.defects[0]) == "a defect"
        ended = [name for name in VOTES if cluster.driver(name).is_closed]
        assert len(ended) == len(cluster.defects), "each is told of once"
        cluster.defects.clear()

    play(tmp_path, story)


class Wire:
    """A node between hand-made channels; what the channels are told is kept."""

    def __init__(self, node: ControlNode, *others: Channel) -> None:
        self.node, self.others = node, {each.name: each for each in others}
        self.told: dict[str, list[messages.Body]] = {each.name: [] for each in others}

    def exchange(self) -> None:
        """Until nobody has more to say."""
        is_busy = True
        while is_busy:
            is_busy = False
            for other in self.others.values():
                for _, datagram in other.take_datagrams():
                    is_busy = True
                    self.node.receive(datagram, (other.name, 7000), 0.0)
            for address, datagram in self.node.channel.take_datagrams():
                is_busy = True
                found = self.others[address[0]].receive(datagram, (self.node.name, 7000), 0.0)
                self.told[address[0]] += [body for _, body in found]


@pytest.mark.parametrize("is_behind", [False, True])
def test_a_vote_that_waits_for_the_disk_is_not_said_by_a_node_that_learns_that_its_disk_is_old(
    is_behind: bool,
) -> None:
    seal, votes = Seal([KEY]), dict.fromkeys(("a", "b", "c"), 1)
    addresses = {name: (name, 7000) for name in votes}
    known = {"b": KnownStart(9, 99)} if is_behind else {}
    candidate = Channel("a", 1, 11, seal, addresses)
    witness = Channel("c", 1, 33, seal, addresses, known)
    replica = Replica("b", votes, HardState(), (), random.Random(1), 0.0)
    channel = Channel("b", 1, 22, seal, {name: addresses[name] for name in ("a", "c")})
    node = ControlNode(channel, replica, ConfigurationStore(), no_faults, random.Random(2), 0.0)
    wire = Wire(node, candidate, witness)
    candidate.send("b", messages.VoteRequest(1, 0, 0, False), 0.0)
    wire.exchange()
    assert node.take_batch() is not None, "the vote"
    witness.send("b", messages.StatusRequest(1), 0.0)
    wire.exchange()
    assert (replica.role is Role.LEARNER) is is_behind
    node.stored(0.0)
    wire.exchange()
    vote = messages.VoteReply(1, True, False)
    assert wire.told["a"] == ([] if is_behind else [vote])


def test_what_waits_for_a_peer_is_not_said_by_one_that_learns_that_its_disk_is_old() -> None:
    seal = Seal([KEY])
    old = Channel("b", 1, 22, seal, {"c": ("c", 7000)})
    witness = Channel("c", 1, 33, seal, {"b": ("b", 7000)}, {"b": KnownStart(9, 99)})
    old.send("c", messages.VoteRequest(1, 0, 0, False), 0.0)
    told: list[tuple[str, messages.Body]] = []
    for _ in range(4):
        for _, datagram in old.take_datagrams():
            told += witness.receive(datagram, ("b", 7000), 0.0)
        for _, datagram in witness.take_datagrams():
            old.receive(datagram, ("c", 7000), 0.0)
    assert old.is_behind and not told
