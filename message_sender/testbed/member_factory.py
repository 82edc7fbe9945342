"""The members of a cluster, and the factory process that forks their sender processes."""

import asyncio
import json
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Self

STEP_TIMEOUT_S = 30.0  # a step of a cluster that takes longer has failed


class MemberStartError(RuntimeError):
    """The process of a member ended before the member was ready.

    Attributes:
        member: The name of the member.
        log: The last lines of the log of the process.
    """

    def __init__(self, member: str, log: list[str]) -> None:
        """Create the error."""
        super().__init__(f"{member} did not start: {log}")
        self.member = member
        self.log = log


@dataclass
class Member:
    """A member of a cluster, with a running or a stopped process.

    Attributes:
        name: The name in the cluster.
        folder: The folder with the configuration, the state, the answers and the logs.
        link_port: The port that the gossip link binds.
        relay_port: The port of the relay that the gossip link advertises.
        boot: The boot number of the simulated machine.
        port: The port on which the process listens for clients; 0 while it is stopped.
        clock_offset: The lead of the wall clock at the next start, in seconds.
        disk_fault: The fault of the disk: "", "eio" or "full".
        sync_delay: The duration of a sync of the disk, in seconds.
        durable: The durable content of the disk after the last power loss, by file.
        killed_at: When the process was killed, on the clock of the history; None after a start.
        pid: The id of the process, until the process has been waited for.
        starts: The number of starts.
        log: The lines that the processes of the member have logged.
        reader: The task that reads the log of the process.
    """

    name: str
    folder: Path
    link_port: int = 0
    relay_port: int = 0
    boot: int = 1
    port: int = 0
    clock_offset: float = 0.0
    disk_fault: str = ""
    sync_delay: float = 0.0
    durable: dict[str, bytes] = field(default_factory=dict)
    killed_at: float | None = None
    pid: int | None = None
    starts: int = 0
    log: list[str] = field(default_factory=list)
    reader: asyncio.Task[None] | None = None

    @property
    def state(self) -> Path:
        """The state folder of the sender."""
        return self.folder / "state"

    @property
    def config(self) -> Path:
        """The configuration file of the sender."""
        return self.folder / "config.toml"

    @property
    def answers(self) -> Path:
        """The file to which the sender writes completions."""
        return self.folder / "answers"

    @property
    def disk_operations(self) -> Path:
        """The file in which the simulated disk records its operations."""
        return self.folder / "ops"

    @property
    def is_alive(self) -> bool:
        """Whether the process of the member is running."""
        return self.pid is not None and self.reader is not None and not self.reader.done()

    def start_request(self, log_file: Path) -> dict[str, Any]:
        """Return the request that makes the factory start the process, which logs to `log_file`."""
        return {
            "start": {
                "config": str(self.config),
                "state": str(self.state),
                "answers": str(self.answers),
                "ops": str(self.disk_operations),
                "boot": f"{self.boot}",
                "clock": self.clock_offset,
                "fault": self.disk_fault,
                "slow": self.sync_delay,
                "log": str(log_file),
            }
        }


class MemberFactory:
    """The factory process (testbed/member.py), which forks members. Several clusters may share a factory."""

    async def __aenter__(self) -> Self:
        """Start the process."""
        command = [sys.executable, "-m", "message_sender.testbed.member"]
        pipe = asyncio.subprocess.PIPE
        self.process = await asyncio.create_subprocess_exec(*command, stdin=pipe, stdout=pipe)
        self.lock = asyncio.Lock()
        return self

    async def __aexit__(self, *_: object) -> None:
        """End the process."""
        assert self.process.stdin
        self.process.stdin.close()
        await self.process.wait()

    async def request(self, request: dict[str, Any]) -> int:
        """Send a request and return the answer: a process id or an exit status."""
        assert self.process.stdin and self.process.stdout
        async with self.lock, asyncio.timeout(STEP_TIMEOUT_S):
            self.process.stdin.write(json.dumps(request).encode() + b"\n")
            return int(await self.process.stdout.readline())
