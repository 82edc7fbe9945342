"""Real processes of one sender that follow each other, on a listening socket that the test holds."""

import asyncio
import json
import os
import re
import signal
import socket
import sys
from pathlib import Path
from typing import Any, Self

from peers import Reply, call, read_reply, soon

ROOT = Path(__file__).parent.parent
KILLED = str(Path(__file__).parent / "killed.py")


class Process:
    """One process: its lines, and where operators call it."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process, self.lines = process, []  # type: asyncio.subprocess.Process, list[str]
        self.management = ("127.0.0.1", 0)

    async def says(self, words: str) -> re.Match[str]:
        """Reads its log until a line holds `words`, a pattern; earlier lines count too."""
        for line in self.lines:
            if found := re.search(words, line):
                return found
        assert self.process.stderr is not None
        while line := (await soon(self.process.stderr.readline())).decode():
            self.lines.append(line)
            if found := re.search(words, line):
                return found
        raise AssertionError(f"ended without saying {words!r}: {self.lines}")

    def kill(self, number: int = signal.SIGKILL) -> None:
        self.process.send_signal(number)

    async def end(self) -> int:
        return int(await soon(self.process.wait()))

    async def call(self, method: str, path: str) -> Reply:
        return await call(self.management, method, path)


class Platform:
    """Holds the clients' listening socket and starts `run` with it, as often as a test asks."""

    def __init__(self, state: Path, config: dict[str, Any]) -> None:
        self.state, self.config = state, config
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = self.listener.getsockname()
        self.processes: list[Process] = []

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *_: object) -> None:
        for each in self.processes:
            if each.process.returncode is None:
                each.kill()
                await each.process.wait()
        self.listener.close()

    async def start(self, ready: bool = True, number: str = "", killed: str = "") -> Process:
        """`number`: what stands in place of the descriptor's; `killed`: see killed.py."""
        with socket.create_server(("127.0.0.1", 0)) as free:
            management = free.getsockname()
        config_file = self.state.parent / "config.json"
        config_file.write_text(json.dumps(self.config | {"management": f"127.0.0.1:{management[1]}"}))
        fd = self.listener.fileno()
        environment = os.environ | {
            "BALANCER_CONFIG": str(config_file),
            "BALANCER_STATE": str(self.state),
            "BALANCER_SOCKET_FD": number or str(fd),
        }
        words = [KILLED, killed] if killed else ["-m", "message_sender"]
        found = await asyncio.create_subprocess_exec(
            sys.executable, *words, cwd=ROOT, env=environment, pass_fds=(fd,), stderr=asyncio.subprocess.PIPE
        )
        process = Process(found)
        process.management = management
        self.processes.append(process)
        if ready:
            await process.says("ready on")
        return process

    async def connect(self) -> "Client":
        return Client(*await asyncio.open_connection(*self.address))


class Client:
    """One connection that is kept."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def ask(self, data: bytes) -> Reply:
        self.writer.write(data)
        return await read_reply(self.reader)
