"""Consecutive real processes of one sender, on a listening socket that the test keeps open."""

import asyncio
import contextlib
import json
import os
import random
import re
import signal
import socket
import sys
from pathlib import Path
from typing import Any, Self

from peers import Reply, call, read_reply, with_timeout

ROOT = Path(__file__).parent.parent
KILLED_SENDER = str(Path(__file__).parent / "killed_sender.py")
KILLED_AFTER_COMPLETION = str(Path(__file__).parent / "killed_after_completion.py")
STEPPED_SENDER = str(Path(__file__).parent / "stepped_sender.py")
LOWEST_PORT = 10_000


class Process:
    """One sender process, with its log lines and the address of its management interface."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process, self.lines = process, []  # type: asyncio.subprocess.Process, list[str]
        self.management = ("127.0.0.1", 0)

    async def wait_for_log(self, pattern: str) -> re.Match[str]:
        """Reads the log until a line matches `pattern`; lines that were read earlier count too."""
        for line in self.lines:
            if match := re.search(pattern, line):
                return match
        assert self.process.stderr is not None
        while line := (await with_timeout(self.process.stderr.readline())).decode():
            self.lines.append(line)
            if match := re.search(pattern, line):
                return match
        raise AssertionError(f"the process ended without a log line that matches {pattern!r}: {self.lines}")

    def kill(self, signal_number: int = signal.SIGKILL) -> None:
        self.process.send_signal(signal_number)

    async def wait_for_exit(self) -> int:
        return int(await with_timeout(self.process.wait()))

    async def call(self, method: str, path: str) -> Reply:
        return await call(self.management, method, path)


def unused_address() -> tuple[str, int]:
    """Returns an address whose port is below those that the system gives to outgoing connections.

    A connection of any process may otherwise have the port by the time at which a new process binds it.
    """
    first_dynamic = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    while True:
        address = "127.0.0.1", random.randrange(LOWEST_PORT, first_dynamic)
        with contextlib.suppress(OSError), socket.create_server(address):
            return address


class Platform:
    """Keeps the listening socket for clients open, and starts sender processes that inherit it."""

    def __init__(self, state: Path, config: dict[str, Any]) -> None:
        self.state, self.config = state, config
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = self.listener.getsockname()
        self.processes: list[Process] = []

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *_: object) -> None:
        for process in self.processes:
            if process.process.returncode is None:
                process.kill()
                await process.process.wait()
        self.listener.close()

    async def start(
        self,
        wait_until_ready: bool = True,
        socket_fd: str = "",
        kill_step: str = "",
        clock_step_s: float | None = None,
        fatal_step: int | None = None,
    ) -> Process:
        """Starts a process.

        Args:
            wait_until_ready: Whether to wait until the process logs that it is ready.
            socket_fd: Value to pass instead of the number of the listening socket's descriptor.
            kill_step: Step of a handover at which the process kills itself; see killed_sender.py.
            clock_step_s: Step of the process' wall clock; see stepped_sender.py.
            fatal_step: Step after a completion at which it kills itself; see killed_after_completion.py.
        """
        management = unused_address()
        config_file = self.state.parent / "config.json"
        config_file.write_text(json.dumps(self.config | {"management": f"127.0.0.1:{management[1]}"}))
        fd = self.listener.fileno()
        environment = os.environ | {
            "BALANCER_CONFIG": str(config_file),
            "BALANCER_STATE": str(self.state),
            "BALANCER_SOCKET_FD": socket_fd or str(fd),
        }
        arguments = [KILLED_SENDER, kill_step] if kill_step else ["-m", "message_sender"]
        if clock_step_s is not None:
            arguments = [STEPPED_SENDER, str(clock_step_s)]
        if fatal_step is not None:
            arguments = [KILLED_AFTER_COMPLETION, str(fatal_step)]
        subprocess = await asyncio.create_subprocess_exec(
            sys.executable,
            *arguments,
            cwd=ROOT,
            env=environment,
            pass_fds=(fd,),
            stderr=asyncio.subprocess.PIPE,
        )
        process = Process(subprocess)
        process.management = management
        self.processes.append(process)
        if wait_until_ready:
            await process.wait_for_log("ready on")
        return process

    async def connect(self) -> "ClientConnection":
        return ClientConnection(*await asyncio.open_connection(*self.address))


class ClientConnection:
    """A persistent client connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def request(self, data: bytes) -> Reply:
        self.writer.write(data)
        return await read_reply(self.reader)
