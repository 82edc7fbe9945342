"""Four control nodes and watchers in one process, on virtual time and simulated disks and networks."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine, Mapping
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

from message_sender.control.channel import Channel
from message_sender.control.configuration import NodeConfiguration
from message_sender.control.document import Document
from message_sender.control.driver import NodeDriver
from message_sender.control.folder import Identity, StateFolder
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
)
from message_sender.control.node_choice import ControlNodeAddress
from message_sender.control.process import build_node
from message_sender.control.raft_types import Role
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
SCENARIO_TIMEOUT_S = 600.0  # of virtual time; a scenario that takes longer has failed


def find_bad_values(resources: Mapping[str, bytes]) -> tuple[str, ...]:
    """Validates a configuration for these tests: only the value `bad` is a fault."""
    return tuple(f"{name}: is bad" for name, value in sorted(resources.items()) if value == b"bad")


def offset_time(loop: asyncio.AbstractEventLoop, offset: float) -> float:
    return loop.time() + offset


class Network:
    """Delivers datagrams with loss, duplication and delay; `sides` are the parts of a partition."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.loss = self.duplication = 0.0
        self.delay = 0.002
        self.sides: tuple[frozenset[str], ...] = ()
        self.receivers: dict[str, Callable[[bytes, Address], None]] = {}

    def send(self, sender: str, address: Address, datagram: bytes) -> None:
        to = address[0]
        if self.sides and not any({sender, to} <= side for side in self.sides):
            return
        for _ in range(1 + (self.rng.random() < self.duplication)):
            if self.rng.random() >= self.loss:
                delay = self.rng.uniform(0.0, self.delay)
                asyncio.get_running_loop().call_later(delay, self.deliver, sender, to, datagram)

    def deliver(self, sender: str, to: str, datagram: bytes) -> None:
        if to in self.receivers:
            self.receivers[to](datagram, (sender, 7000))


class Recorder:
    """An applier that accepts and records every version."""

    def __init__(self) -> None:
        self.versions: list[int] = []

    def apply(self, document: Document, delta: Delta) -> None:
        self.versions.append(delta.to_version)


class Watcher:
    """A sender's watch with its channel on the simulated network."""

    def __init__(self, name: str, region: str, network: Network, rng: random.Random) -> None:
        loop = asyncio.get_running_loop()
        self.name, self.network, self.loop, self.recorder = name, network, loop, Recorder()
        addresses = {node.name: node.address for node in NODES}
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
    """The machine of one node: the state that survives its process."""

    name: str
    folder: Path
    simulated_disk: SimulatedDisk = field(default_factory=SimulatedDisk)
    driver: NodeDriver | None = None
    is_full: bool = False
    crash_after: str = ""  # the disk operation after which the process is killed; empty for none
    clock_offset: float = 0.0
    versions: list[int] = field(default_factory=list)  # versions of its document, as observed


class Cluster:
    """Control nodes, watchers and operators that share one virtual clock."""

    def __init__(self, folder: Path, seed: int = 0) -> None:
        self.folder, self.rng = folder, random.Random(seed)
        self.network = Network(random.Random(seed + 1))
        self.machines = {name: Machine(name, folder / name) for name in VOTES}
        self.defects: list[Exception] = []
        self.request_count = 0
        self.watchers: list[Watcher] = []
        self.confirmed: dict[str, int] = {}  # the confirmed version by request id
        for machine in self.machines.values():
            self.initialise(machine)

    def initialise(self, machine: Machine) -> None:
        folder = StateFolder(machine.folder)
        folder.initialise(Identity("test", machine.name, "now"), MemoryDisk(machine.simulated_disk))

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
            node.requests.validate = find_bad_values
            folder_writer = FolderWriter(folder, node)

            def send(address: Address, datagram: bytes, name: str = name) -> None:
                self.network.send(name, address, datagram)

            machine.driver = NodeDriver(node, log_file, folder_writer, send, self.defects.append, clock)
            self.network.receivers[name] = machine.driver.receive
            machine.driver.start()

    def disk(self, machine: Machine) -> MemoryDisk:
        def before(operation: str) -> None:
            if machine.is_full and operation in ("write", "sync"):
                raise OSError(28, "No space left on device")

        class Disk(MemoryDisk):
            async def run(disk, job: Callable[[], None]) -> None:  # noqa: N805
                await super().run(job)
                if machine.crash_after == "sync":
                    machine.crash_after = ""
                    self.kill(machine.name)

        return Disk(machine.simulated_disk, before)

    def kill(self, *names: str) -> None:
        for name in names:
            driver, self.machines[name].driver = self.machines[name].driver, None
            self.network.receivers.pop(name, None)
            if driver:
                driver.close()

    def cut_power(self, name: str, keeps: float = 0.0) -> None:
        self.kill(name)
        machine = self.machines[name]
        machine.simulated_disk = SimulatedDisk(machine.simulated_disk.cut(self.rng, keeps))

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

    async def wait_until(self, condition: Callable[[], bool], within: float = 10.0) -> float:
        """Waits until `condition` holds; returns the seconds of virtual time that it took."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        while not condition():
            assert loop.time() < began + within, f"condition not met within {within} s"
            await asyncio.sleep(0.01)
        assert not self.defects
        return loop.time() - began

    async def wait_for_leader(self, names: tuple[str, ...] = ()) -> str:
        """Waits until one of `names`, or any node, leads; returns its name."""
        await self.wait_until(lambda: self.leader() in (names or tuple(VOTES)))
        return self.leader()

    def change(self, base: int, value: bytes = b"{}", name: str = "endpoints/x") -> Change:
        self.request_count += 1
        return Change(f"request-{self.request_count}", base, (Resource(name, value),), ())

    async def submit(self, name: str, change: Change) -> ChangeResult:
        """Submits a change once and returns its result."""
        future: asyncio.Future[ChangeResult] = asyncio.get_running_loop().create_future()
        self.driver(name).run_action(
            lambda now: self.driver(name).node.submit(change, future.set_result, now)
        )
        result = await future
        if result.outcome is Outcome.APPLIED:
            assert self.confirmed.setdefault(change.request_id, result.version) == result.version
        return result

    async def make_change(
        self, name: str, value: bytes = b"{}", resource: str = "endpoints/x"
    ) -> ChangeResult:
        """Submits at node `name` a change that is based on that node's version."""
        return await self.submit(name, self.change(self.document(name).version, value, resource))

    async def status(self, name: str) -> dict[str, NodeStatus]:
        future: asyncio.Future[dict[str, NodeStatus]] = asyncio.get_running_loop().create_future()
        self.driver(name).run_action(lambda now: self.driver(name).node.query_status(future.set_result, now))
        return await future

    async def wait_until_everywhere(self, within: float = 4.0) -> float:
        """Waits until all running nodes and watchers have the newest confirmed version; returns seconds."""
        version = max(self.confirmed.values(), default=0)
        return await self.wait_until(
            lambda: (
                all(self.document(name).version >= version for name in self.alive())
                and all(watcher.watch.document.version >= version for watcher in self.watchers)
            ),
            within,
        )

    def watch(self, count: int) -> None:
        for number in range(len(self.watchers), len(self.watchers) + count):
            region = "north" if number % 2 else "south"
            rng = random.Random(self.rng.getrandbits(32))
            self.watchers.append(Watcher(f"w{number}", region, self.network, rng))

    def check(self) -> None:
        """Checks for defects, that equal versions have equal content, and that versions only rose."""
        assert not self.defects
        by_version: dict[int, int] = {}
        documents = [self.document(name) for name in self.alive()]
        documents += [watcher.watch.document for watcher in self.watchers]
        for document in documents:
            assert by_version.setdefault(document.version, document.digest) == document.digest
        for watcher in self.watchers:
            assert watcher.recorder.versions == sorted(set(watcher.recorder.versions))
        assert len(set(self.confirmed.values())) == len(self.confirmed)


Scenario = Callable[[Cluster], Awaitable[Any]]


def run_scenario(folder: Path, scenario: Callable[[Cluster], Coroutine[Any, Any, Any]], seed: int = 0) -> Any:  # noqa: ANN401
    """Runs a scenario on virtual time, checks the cluster at its end, and returns its result."""
    loop = VirtualLoop()
    cluster = Cluster(folder, seed)

    async def run() -> Any:  # noqa: ANN401
        try:
            async with asyncio.timeout(SCENARIO_TIMEOUT_S):
                result = await scenario(cluster)
            cluster.check()
            return result
        finally:
            cluster.kill(*VOTES)
            for watcher in cluster.watchers:
                watcher.task.cancel()

    try:
        return loop.run_until_complete(run())
    finally:
        loop.close()
