"""Members of a cluster as this process keeps them, and the factory process that forks theirs."""

import asyncio
import json
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Self

STEP_TIMEOUT_S = 30.0  # after which a step of a cluster has failed


class MemberStartError(RuntimeError):
    """A process of a member ended before it was ready.

    Attributes:
        member: The name of the member.
        log: The last lines that the process logged.
    """

    def __init__(self, member: str, log: list[str]) -> None:
        """Create the error."""
        super().__init__(f"{member} did not start: {log}")
        self.member = member
        self.log = log


@dataclass
class Member:
    """A member of a cluster, whether or not its process runs.

    Attributes:
        name: Its name in the cluster.
        folder: Its configuration, state, answers and logs.
        link_port: The port that its link binds.
        relay_port: The port of the relay that its link announces.
        boot: The number of the boot of its machine.
        port: Where its process listens for clients; 0 if it does not run.
        clock_offset: How far its wall clock is ahead at its next start, in seconds.
        disk_fault: The fault of its disk: "", "eio" or "full".
        sync_delay: How long a sync of its disk takes, in seconds.
        durable: The durable content of its disk at the last power loss, by file.
        killed_at: When its process was killed, on the clock of the history.
        pid: The id of its process, until the process has been waited for.
        starts: How often it was started.
        log: The lines that its processes logged.
        reader: The task that reads the log of its process.
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
        """The state folder of its sender."""
        return self.folder / "state"

    @property
    def config(self) -> Path:
        """The configuration file of its sender."""
        return self.folder / "config.toml"

    @property
    def answers(self) -> Path:
        """The file to which its sender writes completions."""
        return self.folder / "answers"

    @property
    def disk_operations(self) -> Path:
        """The file to which its disk records operations."""
        return self.folder / "ops"

    @property
    def is_alive(self) -> bool:
        """Whether its process runs."""
        return self.pid is not None and self.reader is not None and not self.reader.done()

    def start_request(self, log_file: Path) -> dict[str, Any]:
        """Return the request with which the factory starts its process, which logs to `log_file`."""
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
    """The factory process (testbed/member.py), which forks members; several clusters may share one."""

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
        """Send a request and return its answer: a process id or an exit status."""
        assert self.process.stdin and self.process.stdout
        async with self.lock, asyncio.timeout(STEP_TIMEOUT_S):
            self.process.stdin.write(json.dumps(request).encode() + b"\n")
            return int(await self.process.stdout.readline())
