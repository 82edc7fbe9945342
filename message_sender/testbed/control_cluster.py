"""Control nodes and senders as processes on loopback, watchers in this process, and between all of them the
relay of testbed/cluster.py.

A node's process is `python -m message_sender.control.process`, a sender's is `message-sender serve` with
`[control]`. Its end by a signal is all that a kill does: its disk keeps what it wrote.
"""

import asyncio
import base64
import random
import re
import signal
import sys
import time
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Self

from message_sender.control import process as control_process
from message_sender.control.channel import Channel
from message_sender.control.choice import ControlNodeAddress
from message_sender.control.configuration import load
from message_sender.control.document import Document
from message_sender.control.messages import Address, Delta
from message_sender.control.watch import Watch
from message_sender.control.watch_link import WatchLink
from message_sender.control_socket import send_request
from message_sender.testbed.member_factory import STEP_TIMEOUT_S
from message_sender.testbed.relay import HOST, Relay

WATCH_TICK_S = 0.05
ASK_AGAIN_S = 0.02  # between two questions over a control socket
SENDER_CLASS_AND_ENDPOINT = f"""
[classes.c]
effect = "safe"
aim_ms = 4000
deadline_ms = 8000
[[endpoints]]
id = "own"
destination = 1
dial = "{HOST}:1"
"""


@dataclass(frozen=True, slots=True)
class NodePlan:
    """A control node as it is listed."""

    name: str
    region: str
    votes: int = 1


FOUR_NODES = (
    NodePlan("c1", "north", 2),
    NodePlan("c2", "north"),
    NodePlan("c3", "south"),
    NodePlan("c4", "south"),
)


@dataclass
class LabProcess:
    """A folder, and the process that works in it while it runs."""

    name: str
    folder: Path
    listen_port: int = 0  # the port that it binds, and the one at which it is called
    relay_port: int = 0
    process: asyncio.subprocess.Process | None = None
    reader: asyncio.Task[None] | None = None
    log: list[str] = field(default_factory=list)

    @property
    def config(self) -> Path:
        return self.folder / "control.toml"

    @property
    def state(self) -> Path:
        return self.folder / "state"

    def command(self) -> tuple[str, ...]:
        """What python is started with."""
        raise NotImplementedError


@dataclass
class ControlMember(LabProcess):
    """A control node."""

    plan: NodePlan = field(kw_only=True)

    def command(self) -> tuple[str, ...]:
        return "-m", "message_sender.control.process", str(self.config)


@dataclass
class SenderMember(LabProcess):
    """A sender that watches the control nodes."""

    region: str = field(kw_only=True)

    def command(self) -> tuple[str, ...]:
        return "-m", "message_sender", "serve", "--config", str(self.config), "--state", str(self.state)


class RecordingApplier:
    """Accepts every version, records it and calls `on_version`, right before it is in force."""

    def __init__(self, on_version: Callable[[], None]) -> None:
        self.versions: list[int] = []
        self.on_version = on_version

    def apply(self, document: Document, delta: Delta) -> None:
        self.versions.append(delta.to_version)
        self.on_version()


class LabWatcher:
    """A sender's watch on a socket of its own."""

    def __init__(self, name: str, region: str, nodes: Sequence[ControlNodeAddress], config: Path) -> None:
        """`config`: of any control node, whose key it has."""
        rng = random.Random(name)
        self.loop = asyncio.get_running_loop()
        self.name, self.region = name, region
        self.applier = RecordingApplier(self.version_changed)
        addresses = {each.name: each.address for each in nodes}
        seal = control_process.read_seal(load(config))
        channel = Channel(name, 1, rng.getrandbits(60) + 1, seal, addresses)
        self.watch = Watch(name, nodes, region, Document(), self.applier, rng, self.loop.time())
        self.changed = asyncio.Condition()
        self.link = WatchLink(channel, self.watch, self.loop.time)
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self, port: int) -> None:
        await self.link.open((HOST, port))
        self.spawn(self.run())

    def spawn(self, work: Any) -> None:  # noqa: ANN401
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def version_changed(self) -> None:
        """Notifies those that wait for a version, once the event loop goes on and it is in force."""
        self.spawn(self.notify_changed())

    async def notify_changed(self) -> None:
        async with self.changed:
            self.changed.notify_all()

    async def wait_for_version(self, version: int) -> None:
        """Waits until `version` or a later one is in force here."""
        async with self.changed:
            await self.changed.wait_for(lambda: self.watch.document.version >= version)

    async def run(self) -> None:
        while True:
            self.link.tick(self.loop.time())
            await asyncio.sleep(WATCH_TICK_S)

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        self.link.close()


class ControlCluster:
    """Control nodes, senders and watchers, with what is done to them."""

    def __init__(self, folder: Path, plans: Sequence[NodePlan] = FOUR_NODES, seed: int = 0) -> None:
        self.relay = Relay(seed)
        self.key = random.Random(f"control key {seed}").randbytes(32)
        self.folder = folder
        self.members = {
            plan.name: ControlMember(plan.name, folder / plan.name, plan=plan) for plan in plans
        }  # fmt: skip
        self.senders: dict[str, SenderMember] = {}
        self.watchers: list[LabWatcher] = []

    async def __aenter__(self) -> Self:
        for name, member in self.members.items():
            member.folder.mkdir()
            member.listen_port, member.relay_port = await self.relay.add(name)
        for member in self.members.values():
            self.configure(member)
            control_process.initialise(member.config)
        return self

    async def __aexit__(self, *_: object) -> None:
        for watcher in self.watchers:
            watcher.close()
        await self.kill(*self.members, *self.senders)
        self.relay.close()

    def configure(self, member: ControlMember) -> None:
        """Writes its configuration and key."""
        self.write_key(member)
        lines = [
            f'name = "{member.plan.name}"',
            'cluster = "lab"',
            f'listen = "{HOST}:{member.listen_port}"',
            'state = "state"',
            'key_file = "control.key"',
        ]
        for each in self.members.values():
            lines += [
                "[[nodes]]",
                f'name = "{each.plan.name}"',
                f'address = "{HOST}:{each.relay_port}"',
                f'region = "{each.plan.region}"',
                f"votes = {each.plan.votes}",
            ]
        member.config.write_text("\n".join(lines) + "\n")

    def write_key(self, member: LabProcess) -> None:
        key = member.folder / "control.key"
        key.write_text(base64.b64encode(self.key).decode() + "\n")
        key.chmod(0o600)

    async def add_sender(self, name: str, region: str) -> None:
        """Makes a sender's folder; `start` starts it."""
        member = self.senders[name] = SenderMember(name, self.folder / name, region=region)
        member.folder.mkdir()
        member.listen_port, member.relay_port = await self.relay.add(name)
        self.write_key(member)
        nodes = [
            f'{{ name = "{each.name}", address = "{HOST}:{each.address[1]}", region = "{each.region}" }}'
            for each in self.addresses()
        ]
        lines = [
            f'name = "{name}"',
            f'listen = "{HOST}:0"',
            SENDER_CLASS_AND_ENDPOINT,
            "[control]",
            'key_file = "control.key"',
            f'listen = "{HOST}:{member.listen_port}"',
            f'region = "{region}"',
            f"nodes = [{', '.join(nodes)}]",
        ]
        member.config.write_text("\n".join(lines) + "\n")

    def addresses(self) -> tuple[ControlNodeAddress, ...]:
        return tuple(
            ControlNodeAddress(name, (HOST, each.relay_port), each.plan.region)
            for name, each in self.members.items()
        )

    async def watch(self, name: str, region: str) -> LabWatcher:
        """Starts a watcher."""
        own, _ = await self.relay.add(name)
        config = next(iter(self.members.values())).config
        watcher = LabWatcher(name, region, self.addresses(), config)
        self.watchers.append(watcher)
        await watcher.start(own)
        return watcher

    # Processes.

    def process_of(self, name: str) -> LabProcess:
        return self.members.get(name) or self.senders[name]

    async def start(self, *names: str) -> None:
        """Starts these nodes and senders, or all nodes, and waits until they serve."""
        await asyncio.gather(*(self.start_process(self.process_of(name)) for name in names or self.members))

    async def start_process(self, member: LabProcess) -> None:
        words = [sys.executable, *member.command()]
        pipe, nothing = asyncio.subprocess.PIPE, asyncio.subprocess.DEVNULL
        member.process = await asyncio.create_subprocess_exec(
            *words, stdin=nothing, stdout=nothing, stderr=pipe
        )
        ready: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        member.reader = asyncio.create_task(self.read_log(member, member.process, ready))
        async with asyncio.timeout(STEP_TIMEOUT_S):
            await ready
            if isinstance(member, SenderMember):
                await self.wait_until_responsive(member)

    async def wait_until_responsive(self, sender: SenderMember) -> None:
        """A sender's control socket opens a moment after its door."""
        while True:
            try:
                await self.request(sender.name, {"do": "control"})
            except OSError:
                await asyncio.sleep(ASK_AGAIN_S)
            else:
                return

    async def read_log(
        self, member: LabProcess, process: asyncio.subprocess.Process, ready: asyncio.Future[None]
    ) -> None:
        assert process.stderr
        while line := (await process.stderr.readline()).decode(errors="replace"):
            member.log.append(line.rstrip())
            if re.search(r"ready on \S+:\d+", line) and not ready.done():
                ready.set_result(None)
        if not ready.done():
            ready.set_exception(RuntimeError(f"{member.name} did not start: {member.log[-5:]}"))

    def signal(self, name: str, number: int) -> None:
        process = self.process_of(name).process
        if process is not None and process.returncode is None:
            process.send_signal(number)

    async def kill(self, *names: str) -> None:
        for name in names:
            self.signal(name, signal.SIGKILL)
        for name in names:
            await self.wait_for_exit(name)

    async def wait_for_exit(self, name: str) -> int | None:
        """Waits for the end of a process; its exit code."""
        member = self.process_of(name)
        process, member.process = member.process, None
        if process is None:
            return None
        code = await process.wait()
        if member.reader:
            await member.reader
        return code

    def running_nodes(self) -> list[str]:
        """The control nodes whose processes run."""
        return [name for name, each in self.members.items() if each.process is not None]

    # Operators.

    async def request(self, name: str, request: Mapping[str, Any]) -> Any:  # noqa: ANN401
        """The value of a node's or sender's answer. Raises OSError where it does not answer, and ValueError
        where it ends before it has."""
        told = await asyncio.to_thread(send_request, self.process_of(name).state, request)
        if not told["ok"]:
            raise ValueError(told["faults"])
        return told["value"]

    async def submit_change(
        self, name: str, request_id: str, base: int, put: Mapping[str, Any], within: float = STEP_TIMEOUT_S
    ) -> dict[str, Any]:
        """Asks for a change until its outcome is known."""
        request = {"do": "set", "request_id": request_id, "base_version": base, "put": put, "delete": []}
        async with asyncio.timeout(within):
            while True:
                told: dict[str, Any] = await self.request(name, request)
                if told["outcome"] != "unavailable":
                    return told

    async def wait_for_version(
        self,
        version: int,
        names: Sequence[str],
        watchers: Sequence[LabWatcher],
        within: float = STEP_TIMEOUT_S,
    ) -> float:
        """Waits until these have `version` in force; the seconds that it took."""
        return max((await self.measure_version_times(version, names, watchers, within)).values())

    async def measure_version_times(
        self,
        version: int,
        names: Sequence[str],
        watchers: Sequence[LabWatcher],
        within: float = STEP_TIMEOUT_S,
    ) -> dict[str, float]:
        """The same, for each by name."""
        began = time.monotonic()

        async def timed(work: Awaitable[None]) -> float:
            await work
            return time.monotonic() - began

        waits = {each.name: timed(each.wait_for_version(version)) for each in watchers}
        waits |= {name: timed(self.wait_for_node_version(name, version)) for name in names}
        async with asyncio.timeout(within):
            return dict(zip(waits, await asyncio.gather(*waits.values()), strict=True))

    async def wait_for_node_version(self, name: str, version: int) -> None:
        while (await self.request(name, {"do": "get"}))["version"] < version:
            pass

    async def wait_for_leader(self) -> str:
        """Waits until a node that runs leads."""
        async with asyncio.timeout(STEP_TIMEOUT_S):
            while True:
                for name in self.running_nodes():
                    told = await self.request(name, {"do": "get"})
                    if told["role"] == "leader" and told["age_ms"] < 1_000:
                        return name


def address_of(member: ControlMember) -> Address:
    """Where the process itself listens, past the relay."""
    return HOST, member.listen_port
