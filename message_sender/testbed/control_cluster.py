"""A cluster of control nodes and senders on loopback, with watchers in this process and a relay.

A control node runs as `python -m message_sender.control.process`, a sender as `message-sender serve` with a
`[control]` section. A kill ends only the process: the disk keeps everything that was written.
"""

import asyncio
import base64
import random
import re
import signal
import sys
import time
from collections.abc import Awaitable, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Self

from message_sender.control import process as control_process
from message_sender.control.messages import Address
from message_sender.control.node_choice import ControlNodeAddress
from message_sender.control_socket import send_request
from message_sender.testbed.control_watcher import LabWatcher
from message_sender.testbed.member_factory import STEP_TIMEOUT_S, MemberStartError
from message_sender.testbed.relay import HOST, Relay

POLL_INTERVAL_S = 0.02  # between two requests over a control socket
LEADER_AGE_LIMIT_MS = 1_000  # a leader with an older majority contact does not count as confirmed
READY = re.compile(r"ready on \S+:\d+")
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
    """The configuration entry of a control node: its name, its region and its number of votes."""

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
    """A process of the cluster with its own folder, running or stopped.

    Attributes:
        name: The name in the cluster.
        folder: The folder with the configuration, the key and the state.
        listen_port: The UDP port that the process binds.
        relay_port: The port of the relay through which other processes reach this one.
        process: The operating system process; None while it is stopped.
        reader: The task that reads the log of the process.
        log: The lines that the process has logged.
    """

    name: str
    folder: Path
    listen_port: int = 0
    relay_port: int = 0
    process: asyncio.subprocess.Process | None = None
    reader: asyncio.Task[None] | None = None
    log: list[str] = field(default_factory=list)

    @property
    def config(self) -> Path:
        """The configuration file."""
        return self.folder / "control.toml"

    @property
    def state(self) -> Path:
        """The state folder."""
        return self.folder / "state"

    def command(self) -> tuple[str, ...]:
        """Return the arguments of the Python interpreter for this process."""
        raise NotImplementedError


@dataclass
class ControlMember(LabProcess):
    """A control node."""

    plan: NodePlan = field(kw_only=True)

    def command(self) -> tuple[str, ...]:
        """Return the arguments of the Python interpreter for this process."""
        return "-m", "message_sender.control.process", str(self.config)


@dataclass
class SenderMember(LabProcess):
    """A sender that watches the control nodes."""

    region: str = field(kw_only=True)

    def command(self) -> tuple[str, ...]:
        """Return the arguments of the Python interpreter for this process."""
        return "-m", "message_sender", "serve", "--config", str(self.config), "--state", str(self.state)


class ControlCluster:
    """Control nodes, senders and watchers.

    The cluster is an async context manager, which ends all of them when its block ends.
    """

    def __init__(self, folder: Path, plans: Sequence[NodePlan] = FOUR_NODES, seed: int = 0) -> None:
        """Create a cluster of these control nodes without starting a process.

        Args:
            folder: The parent of the processes' folders.
            plans: The control nodes.
            seed: The seed of the key and of the relay faults.
        """
        self.relay = Relay(seed)
        self.key = random.Random(f"control key {seed}").randbytes(32)
        self.folder = folder
        self.members = {
            plan.name: ControlMember(plan.name, folder / plan.name, plan=plan) for plan in plans
        }  # fmt: skip
        self.senders: dict[str, SenderMember] = {}
        self.watchers: list[LabWatcher] = []

    async def __aenter__(self) -> Self:
        """Initialise the state of the control nodes without starting a process."""
        for name, member in self.members.items():
            member.folder.mkdir()
            member.listen_port, member.relay_port = await self.relay.add(name)
        for member in self.members.values():
            self.configure(member)
            control_process.initialise(member.config)
        return self

    async def __aexit__(self, *_: object) -> None:
        """Close the watchers and kill all processes."""
        for watcher in self.watchers:
            watcher.close()
        await self.kill(*self.members, *self.senders)
        self.relay.close()

    def configure(self, member: ControlMember) -> None:
        """Write the configuration and the key of a control node."""
        self.write_key(member)
        lines = [
            f'name = "{member.plan.name}"',
            'cluster = "lab"',
            f'listen = "{HOST}:{member.listen_port}"',
            'state = "state"',
            'key_file = "control.key"',
        ]
        for node in self.members.values():
            lines += [
                "[[nodes]]",
                f'name = "{node.plan.name}"',
                f'address = "{HOST}:{node.relay_port}"',
                f'region = "{node.plan.region}"',
                f"votes = {node.plan.votes}",
            ]
        member.config.write_text("\n".join(lines) + "\n")

    def write_key(self, member: LabProcess) -> None:
        """Write the key of the cluster to the folder of a process."""
        key = member.folder / "control.key"
        key.write_text(base64.b64encode(self.key).decode() + "\n")
        key.chmod(0o600)

    async def add_sender(self, name: str, region: str) -> None:
        """Create the folder and the configuration of a sender, without starting it."""
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
        """Return the addresses of the control nodes for the configuration of a sender or a watcher."""
        return tuple(
            ControlNodeAddress(name, (HOST, each.relay_port), each.plan.region)
            for name, each in self.members.items()
        )

    async def watch(self, name: str, region: str) -> LabWatcher:
        """Start a watcher in this process."""
        port, _ = await self.relay.add(name)
        config = next(iter(self.members.values())).config
        watcher = LabWatcher(name, region, self.addresses(), config)
        self.watchers.append(watcher)
        await watcher.start(port)
        return watcher

    # Processes.

    def process_of(self, name: str) -> LabProcess:
        """Return the control node or sender with this name."""
        return self.members.get(name) or self.senders[name]

    async def start(self, *names: str) -> None:
        """Start these control nodes and senders (default: all control nodes), and wait until they serve."""
        await asyncio.gather(*(self.start_process(self.process_of(name)) for name in names or self.members))

    async def start_process(self, member: LabProcess) -> None:
        """Start a process and wait until it serves."""
        command = [sys.executable, *member.command()]
        pipe, devnull = asyncio.subprocess.PIPE, asyncio.subprocess.DEVNULL
        member.process = await asyncio.create_subprocess_exec(
            *command, stdin=devnull, stdout=devnull, stderr=pipe
        )
        ready: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        member.reader = asyncio.create_task(self.read_log(member, member.process, ready))
        async with asyncio.timeout(STEP_TIMEOUT_S):
            await ready
            if isinstance(member, SenderMember):
                await self.wait_until_responsive(member)

    async def wait_until_responsive(self, sender: SenderMember) -> None:
        """Wait until a sender answers on its control socket, which opens shortly after the HTTP port."""
        while True:
            try:
                await self.request(sender.name, {"do": "control"})
            except OSError:
                await asyncio.sleep(POLL_INTERVAL_S)
            else:
                return

    async def read_log(
        self, member: LabProcess, process: asyncio.subprocess.Process, ready: asyncio.Future[None]
    ) -> None:
        """Collect the log of a process until it ends; `ready` is resolved when the process serves."""
        assert process.stderr
        while line := (await process.stderr.readline()).decode(errors="replace"):
            member.log.append(line.rstrip())
            if READY.search(line) and not ready.done():
                ready.set_result(None)
        if not ready.done():
            ready.set_exception(MemberStartError(member.name, member.log[-5:]))

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process, if the process is running."""
        process = self.process_of(name).process
        if process is not None and process.returncode is None:
            process.send_signal(number)

    async def kill(self, *names: str) -> None:
        """Kill these processes and wait until they have ended."""
        for name in names:
            self.signal(name, signal.SIGKILL)
        for name in names:
            await self.wait_for_exit(name)

    async def wait_for_exit(self, name: str) -> int | None:
        """Wait until a process has ended.

        Returns:
            The exit code, or None if the process was not running.
        """
        member = self.process_of(name)
        process, member.process = member.process, None
        if process is None:
            return None
        code = await process.wait()
        if member.reader:
            await member.reader
        return code

    def running_nodes(self) -> list[str]:
        """Return the names of the control nodes whose processes are running."""
        return [name for name, each in self.members.items() if each.process is not None]

    # Operators.

    async def request(self, name: str, request: Mapping[str, Any]) -> Any:  # noqa: ANN401
        """Return the value of the answer of a control node or sender to a request.

        Raises:
            OSError: If the process does not answer.
            ValueError: If the process rejects the request, or ends before it has answered.
        """
        answer = await asyncio.to_thread(send_request, self.process_of(name).state, request)
        if not answer["ok"]:
            raise ValueError(answer["faults"])
        return answer["value"]

    async def submit_change(
        self, name: str, request_id: str, base: int, put: Mapping[str, Any], within: float = STEP_TIMEOUT_S
    ) -> dict[str, Any]:
        """Submit a change repeatedly until its outcome is known, and return the outcome.

        Raises:
            TimeoutError: If the outcome is not known after `within` seconds.
        """
        request = {"do": "set", "request_id": request_id, "base_version": base, "put": put, "delete": []}
        async with asyncio.timeout(within):
            while True:
                answer: dict[str, Any] = await self.request(name, request)
                if answer["outcome"] != "unavailable":
                    return answer

    async def wait_for_version(
        self,
        version: int,
        names: Sequence[str],
        watchers: Sequence[LabWatcher],
        within: float = STEP_TIMEOUT_S,
    ) -> float:
        """Wait until all these nodes and watchers have `version` in force; return the duration in seconds."""
        return max((await self.measure_version_times(version, names, watchers, within)).values())

    async def measure_version_times(
        self,
        version: int,
        names: Sequence[str],
        watchers: Sequence[LabWatcher],
        within: float = STEP_TIMEOUT_S,
    ) -> dict[str, float]:
        """Wait until all these nodes and watchers have `version` in force; return the seconds by name."""
        started_at = time.monotonic()

        async def timed(work: Awaitable[None]) -> float:
            await work
            return time.monotonic() - started_at

        waits = {each.name: timed(each.wait_for_version(version)) for each in watchers}
        waits |= {name: timed(self.wait_for_node_version(name, version)) for name in names}
        async with asyncio.timeout(within):
            return dict(zip(waits, await asyncio.gather(*waits.values()), strict=True))

    async def wait_for_node_version(self, name: str, version: int) -> None:
        """Wait until a control node has `version` or a later one."""
        while (await self.request(name, {"do": "get"}))["version"] < version:
            pass

    async def wait_for_leader(self) -> str:
        """Wait until a running control node is a confirmed leader, and return its name."""
        async with asyncio.timeout(STEP_TIMEOUT_S):
            while True:
                for name in self.running_nodes():
                    status = await self.request(name, {"do": "get"})
                    if status["role"] == "leader" and status["age_ms"] < LEADER_AGE_LIMIT_MS:
                        return name


def address_of(member: ControlMember) -> Address:
    """Return the address that the process itself binds, which bypasses the relay."""
    return HOST, member.listen_port
