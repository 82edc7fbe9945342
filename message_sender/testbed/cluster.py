"""A cluster of real sender processes on loopback, with fault injection.

Each process has its own simulated disk (testbed/simulated_disk.py), clock and boot id (testbed/member.py).
Datagrams between the processes pass through a relay (testbed/relay.py). The history checker checks the
cluster as a whole, from what receivers and clients observed.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import time
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from typing import Any, Self

from message_sender.control_socket import send_request
from message_sender.testbed import simulated_disk
from message_sender.testbed.faults import Fault
from message_sender.testbed.history import History, MessageAdmitted, MessageCompleted, SenderRestarted
from message_sender.testbed.history_checker import HistoryChecker, Rules, Violation
from message_sender.testbed.http import HttpClient
from message_sender.testbed.member_factory import STEP_TIMEOUT_S, Member, MemberFactory, MemberStartError
from message_sender.testbed.relay import HOST, Relay

POLL_INTERVAL_S = 0.02
SEED_MEMBERS = 2  # number of members that each configuration lists as seeds of the gossip link
STARTED = re.compile(r"ready on \S+:(\d+)")


def message_fields(
    name: str, message_class: str, destination: int, time_left: float, key: str, tenant: str
) -> dict[str, str]:
    """Return the header fields of a message, whose id is also its idempotency key.

    Args:
        name: The message id.
        message_class: The name of the message class.
        destination: The number of the destination.
        time_left: The time until the deadline, in seconds.
        key: The ordering key; empty for none.
        tenant: The tenant; empty for none.
    """
    return {
        "X-Correlation-Id": name,
        "X-Service-Class": message_class,
        "X-Time-Left": str(time_left),
        "X-Route-To": f"dest={destination}",
        "X-Session-Key": key,
        "Idempotency-Key": name,
        "X-Account": tenant,
    }


class Cluster:
    """Sender processes on loopback.

    The cluster is an async context manager, which kills all processes when its block ends.
    """

    def __init__(
        self,
        folder: Path,
        size: int = 5,
        seed: int = 0,
        sync: str = "group",
        has_link: bool = True,
        extra_config: str = "",
        member_factory: MemberFactory | None = None,
    ) -> None:
        """Create a cluster without starting a process.

        Args:
            folder: The parent of the members' folders.
            size: The number of members. They are named n0, n1, and so on.
            seed: The seed of the power losses, the relay faults and the key of the gossip link.
            sync: The durability of each journal: "none", "group" or "each".
            has_link: Whether the members exchange gossip.
            extra_config: Further TOML for every configuration, such as classes and endpoints. The attribute
                can be changed until the cluster is entered.
            member_factory: A running factory that clusters share. By default the cluster runs its own.
        """
        self.sync = sync
        self.has_link = has_link
        self.extra_config = extra_config
        self.rng = random.Random(f"cluster {seed}")
        self.relay = Relay(seed)
        self.history = History()
        self.members = {f"n{number}": Member(f"n{number}", folder / f"n{number}") for number in range(size)}
        self.key = base64.b64encode(random.Random(f"key {seed}").randbytes(32)).decode()
        self.accepted_by: dict[str, str] = {}  # by message: the member that answered 202
        self.clients: dict[str, HttpClient] = {}
        self.owns_factory = member_factory is None
        self.member_factory = member_factory or MemberFactory()

    async def __aenter__(self) -> Self:
        """Write the configurations without starting a member."""
        if self.owns_factory:
            await self.member_factory.__aenter__()
        for member in self.members.values():
            member.state.mkdir(parents=True)
            member.link_port, member.relay_port = await self.relay.add(member.name)
        for member in self.members.values():
            self.configure(member)
        return self

    async def __aexit__(self, *_: object) -> None:
        """Kill all processes."""
        for client in self.clients.values():
            client.close()
        for member in self.members.values():
            await self.end_process(member)
        self.relay.close()
        if self.owns_factory:
            await self.member_factory.__aexit__()

    def configure(self, member: Member) -> None:
        """Write the key and the configuration of a member."""
        key = member.folder / "fleet.key"
        key.write_text(self.key + "\n")
        key.chmod(0o600)
        lines = [
            f'name = "{member.name}"',
            f'listen = "{HOST}:0"',
            "",
            "[durability]",
            f'sync = "{self.sync}"',
        ]
        if self.has_link:
            lines += self.link_config(member)
        member.config.write_text("\n".join([*lines, self.extra_config]) + "\n")

    def link_config(self, member: Member) -> list[str]:
        """Return the lines of a member's configuration that set up the gossip link."""
        seeds = [f"{HOST}:{seed.relay_port}" for seed in self.members.values()][:SEED_MEMBERS]
        return [
            "",
            "[fleet]",
            f'listen = "{HOST}:{member.link_port}"',
            f'advertise = "{HOST}:{member.relay_port}"',
            f"seeds = {json.dumps(seeds)}",
            'key_file = "fleet.key"',
            f"size = {len(self.members)}",
        ]

    def select_members(self, names: Iterable[str] = ()) -> list[Member]:
        """Return the members with these names, or all members if no name is given."""
        return [self.members[name] for name in names] or list(self.members.values())

    # Processes.

    async def start(self, *names: str) -> None:
        """Start the processes of these members (default: all) that are not running."""
        stopped = [member for member in self.select_members(names) if not member.is_alive]
        await asyncio.gather(*(self.start_member(member) for member in stopped))

    async def start_member(self, member: Member) -> None:
        """Start a process and wait until it serves clients and operators.

        Raises:
            MemberStartError: If the process ends before it is ready.
        """
        member.starts += 1
        # Each start has its own FIFO: a late reader of the previous FIFO would consume lines of this start.
        log_file = member.folder / f"log {member.starts}"
        request = member.start_request(log_file)
        if member.pid is not None:  # the process exited without being killed by the cluster
            await self.end_process(member)
        os.mkfifo(log_file)
        loop = asyncio.get_running_loop()
        lines = asyncio.StreamReader()
        started: asyncio.Future[int] = loop.create_future()
        log = os.fdopen(os.open(log_file, os.O_RDONLY | os.O_NONBLOCK), "rb")
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), log)
        member.pid = await self.member_factory.request(request)
        member.reader = asyncio.create_task(self.read_log(member, lines, started))
        async with asyncio.timeout(STEP_TIMEOUT_S):
            member.port = await started
        await self.request(member.name, {"do": "fleet"})
        if member.killed_at is not None:
            self.history.record(SenderRestarted(member.killed_at, member.name, self.history.clock()))
            member.killed_at = None
        self.clients.pop(member.name, None)

    async def read_log(
        self, member: Member, lines: asyncio.StreamReader, started: asyncio.Future[int]
    ) -> None:
        """Collect the log of a process until it ends.

        `started` is resolved with the port on which the process listens, or fails with a MemberStartError.
        """
        while line := (await lines.readline()).decode(errors="replace"):
            member.log.append(line.rstrip())
            if (match := STARTED.search(line)) and not started.done():
                started.set_result(int(match[1]))
        if not started.done():
            started.set_exception(MemberStartError(member.name, member.log[-5:]))

    def signal(self, member: Member, number: int) -> None:
        """Send a signal to the process of a member, if the member has a process."""
        if member.pid is not None:  # the process id remains valid until the process has been waited for
            os.kill(member.pid, number)

    async def end_process(self, member: Member) -> None:
        """Kill the process of a member, if the member has one, and wait until the process has ended."""
        if member.pid is None:
            return
        self.signal(member, signal.SIGCONT)
        self.signal(member, signal.SIGKILL)
        await self.member_factory.request({"wait": member.pid})
        if member.reader:
            await member.reader
        member.pid = None
        member.port = 0

    # Faults. Scenario files refer to them by method name.

    async def kill(self, *names: str) -> None:
        """Kill the processes of these members (default: all).

        Their machines and disks keep running, so no write is lost.
        """
        members = [member for member in self.select_members(names) if member.pid is not None]
        for member in members:
            self.signal(member, signal.SIGKILL)
            member.port = 0  # another process may listen on this port from now on
        for member in members:
            await self.end_process(member)
            member.killed_at = self.history.clock()

    async def cut(self, *names: str, keeps: float | None = None) -> None:
        """Cut the power of these members (default: all).

        Args:
            names: The members.
            keeps: The probability with which an unsynced write survives; by default drawn from the seed.
        """
        await self.kill(*names)
        for member in self.select_members(names):
            seed = self.rng.randrange(2**32)
            member.durable = simulated_disk.cut(
                member.state, member.disk_operations, member.durable, seed, keeps
            )
            member.boot += 1

    async def stop(self, *names: str) -> None:
        """Pause the processes of these members (default: all)."""
        for member in self.select_members(names):
            self.signal(member, signal.SIGSTOP)

    async def wake(self, *names: str) -> None:
        """Resume the processes of these members (default: all)."""
        for member in self.select_members(names):
            self.signal(member, signal.SIGCONT)

    async def lose_disk(self, *names: str) -> None:
        """Delete the state of these members (default: all)."""
        for member in self.select_members(names):
            for file in member.state.iterdir():
                if file.is_file():
                    file.unlink()
            member.disk_operations.unlink(missing_ok=True)
            member.durable = {}

    async def run(self, faults: Iterable[Fault]) -> None:
        """Apply faults at their times, in seconds after the call of this method."""
        started_at = time.monotonic()
        for fault in sorted(faults, key=lambda fault: fault.at):
            await asyncio.sleep(max(started_at + fault.at - time.monotonic(), 0.0))
            owner: Any = self if hasattr(self, fault.action) else self.relay
            result = getattr(owner, fault.action)(*fault.members, **dict(fault.arguments))
            if isinstance(result, Awaitable):
                await result

    # Clients and operators.

    async def submit(
        self,
        name: str,
        message_class: str,
        destination: int,
        time_left: float,
        key: str = "",
        to: Iterable[str] = (),
        tenant: str = "",
    ) -> str | None:
        """Submit a message to the members `to` (default: all) in turn until one of them accepts it.

        The deadline is `time_left` seconds after each attempt to submit the message.

        Returns:
            The name of the member that accepted it, or None.
        """
        fields = message_fields(name, message_class, destination, time_left, key, tenant)
        for member in self.select_members(to):
            now = self.history.clock()
            if not member.port:
                continue
            client = self.clients.setdefault(member.name, HttpClient((HOST, member.port)))
            try:
                async with asyncio.timeout(STEP_TIMEOUT_S):
                    status, _ = await client.post(f"/{message_class}", fields, b"x")
            except OSError:  # no response: the member may still have accepted the message
                client.close()
                continue
            if status == 202:
                self.accepted_by[name] = member.name
                deadline = now + time_left
                self.history.record(
                    MessageAdmitted(now, name, message_class, destination, deadline, key, member.name)
                )
                return member.name
        return None

    def completions(self) -> list[dict[str, Any]]:
        """Return the completions that the members wrote, without duplicates.

        Each has the name of its member under `by`.
        """
        completions: dict[tuple[str, str, str], dict[str, Any]] = {}
        for member in self.members.values():
            lines = member.answers.read_text().splitlines() if member.answers.exists() else []
            for line in lines:
                completion = json.loads(line)
                identity = (member.name, completion["id"], completion["state"])
                completions.setdefault(identity, completion | {"by": member.name})
        return list(completions.values())

    def check_history(self, rules: Rules) -> list[Violation]:
        """Check all rules for the cluster as a whole.

        The completion of a message is the one written by the member that answered 202. Another member that
        stored the message without answering the client also completes it, but no client waits for that
        completion.
        """
        offset = self.history.clock() - time.time()
        for completion in self.completions():
            if self.accepted_by.get(completion["id"]) == completion["by"]:
                at = completion["at"] + offset
                self.history.record(MessageCompleted(at, completion["id"], completion["state"]))
        return HistoryChecker(rules).check(self.history.events)

    async def request(self, name: str, request: dict[str, Any]) -> Any:  # noqa: ANN401
        """Return a member's answer over its control socket.

        Retries while the socket is closed, since it opens shortly after the HTTP port.
        """
        async with asyncio.timeout(STEP_TIMEOUT_S):
            while True:
                try:
                    return send_request(self.members[name].state, request)["value"]
                except OSError:
                    await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_until(self, condition: Callable[[], bool], timeout: float = STEP_TIMEOUT_S) -> None:
        """Wait until a condition holds.

        Raises:
            TimeoutError: If the condition does not hold within `timeout` seconds.
        """
        async with asyncio.timeout(timeout):
            while not condition():
                await asyncio.sleep(POLL_INTERVAL_S)
