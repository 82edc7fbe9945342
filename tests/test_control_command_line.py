"""Real control nodes and a real sender, operated with the command line."""

import asyncio
import contextlib
import io
import json
import re
import signal
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from peers import run_async_test
from sender_files import KEY_FILE, SENDER, control_section, nodes_line, write_key

from message_sender.cli import main
from message_sender.control_socket import send_request
from message_sender.testbed.history import History
from message_sender.testbed.http import HttpClient, HttpEndpoint
from message_sender.testbed.script import Script, ScriptedAnswer

TIMEOUT_S = 20.0  # only a failing test waits this long
HOST = "127.0.0.1"
NODES = ("c1", "c2", "c3")


class Process:
    """One process of the program; its log is read while it runs."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process
        self.lines: list[str] = []

    @classmethod
    async def start(cls, *arguments: str) -> "Process":
        pipe = asyncio.subprocess.PIPE
        arguments = (sys.executable, "-m", "message_sender", *arguments)
        return cls(await asyncio.create_subprocess_exec(*arguments, stderr=pipe, stdout=pipe))

    async def wait_for_log(self, pattern: str) -> re.Match[str]:
        """Waits for the next log line that matches `pattern`, and returns the match."""
        assert self.process.stderr
        async with asyncio.timeout(TIMEOUT_S):
            while line := (await self.process.stderr.readline()).decode():
                self.lines.append(line)
                if match := re.search(pattern, line):
                    return match
        raise AssertionError(f"ended without {pattern!r}: {''.join(self.lines)}")

    async def end(self, number: int = signal.SIGTERM) -> int:
        if self.process.returncode is None:
            self.process.send_signal(number)
        await asyncio.wait_for(self.process.communicate(), TIMEOUT_S)
        assert self.process.returncode is not None
        return self.process.returncode


def free_ports(count: int) -> list[int]:
    """Returns UDP ports that were free a moment ago."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket(type=socket.SOCK_DGRAM)) for _ in range(count)]
        for udp_socket in sockets:
            udp_socket.bind((HOST, 0))
        return [int(udp_socket.getsockname()[1]) for udp_socket in sockets]


class ControlPlane:
    """Three control nodes, and a sender that watches them."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        write_key(folder)
        self.ports = dict(zip(NODES, free_ports(len(NODES)), strict=True))
        self.nodes: dict[str, Process] = {}

    def write(self, name: str, text: str) -> str:
        path = self.folder / name
        path.write_text(text)
        return str(path)

    def state(self, name: str) -> str:
        return str(self.folder / f"state-{name}")

    def node_file(self, name: str) -> str:
        text = f'name = "{name}"\ncluster = "test"\nlisten = "{HOST}:{self.ports[name]}"\n'
        text += f'state = "state-{name}"\nkey_file = "{KEY_FILE}"\n{nodes_line(self.ports)}'
        return self.write(f"{name}.toml", text)

    def sender_file(self) -> str:
        return self.write("sender.toml", SENDER + control_section(self.ports))

    async def run(self, *arguments: str) -> tuple[int, str]:
        """Runs `message-sender control ...`; returns its exit code and its output."""

        def run() -> tuple[int, str]:
            out = io.StringIO()
            with contextlib.redirect_stdout(out), contextlib.redirect_stderr(out):
                code = main(["control", *arguments])
            return code, out.getvalue()

        return await asyncio.to_thread(run)


@asynccontextmanager
async def plane_at(folder: Path) -> AsyncIterator[tuple[ControlPlane, Process]]:
    plane = ControlPlane(folder)
    processes: list[Process] = []
    try:
        for name in NODES:
            code, out = await plane.run("init", "--config", plane.node_file(name))
            assert code == 0, out
            node = await Process.start("control", "serve", "--config", plane.node_file(name))
            processes.append(node)
            plane.nodes[name] = node
        arguments = ("serve", "--config", plane.sender_file(), "--state", plane.state("n1"))
        sender = await Process.start(*arguments)
        processes.append(sender)
        await asyncio.gather(*(node.wait_for_log("ready on") for node in plane.nodes.values()))
        yield plane, sender
    finally:
        for started in processes:
            if started.process.returncode is None:
                started.process.kill()
            await started.process.communicate()


def hub_text(port: int) -> str:
    return f'[[endpoints]]\nid = "hub"\ndestination = 5\ndial = "{HOST}:{port}"\n'


BUDGET = '[[budgets]]\nname = "out"\nof = "in_flight"\ndestination = 5\nwhole = 8\n'


@run_async_test
async def test_changes_are_activated_refused_and_survive_the_kill_of_the_watched_node(folder: Path) -> None:
    called = asyncio.Event()

    def rule(message: str) -> ScriptedAnswer | None:
        called.set()
        return None

    async with plane_at(folder) as (plane, sender), HttpEndpoint("hub", Script(rule=rule), History()) as hub:
        port = int((await sender.wait_for_log(r"ready on 127\.0\.0\.1:(\d+)"))[1])
        state = plane.state("c1")
        code, out = await plane.run("set", state, plane.write("hub.toml", hub_text(hub.port)))
        assert code == 0 and out.startswith("version 1"), out
        await sender.wait_for_log("version applied: version=1 ")
        code, out = await plane.run("status", plane.state("c2"), "--wait", "1", "--timeout", "10")
        assert code == 0 and "in force everywhere, at 1 senders" in out, out
        await deliver(port, called)

        code, out = await plane.run("set", state, plane.write("more.toml", BUDGET), "--patch")
        assert code == 0 and out.startswith("version 2"), out
        await sender.wait_for_log("version refused: version=2 ")
        code, out = await plane.run("status", plane.state("c3"), "--wait", "2", "--timeout", "1")
        reason = "budgets/out: needs a [fleet] to be shared in, and this sender has none"
        assert code == 1 and f"sender n1: version 1, refused 2: {reason}" in out, out
        status = (await asyncio.to_thread(send_request, Path(plane.state("n1")), {"do": "control"}))["value"]
        assert (status["version"], status["refused_version"], status["reason"]) == (1, 2, reason)

        watched = plane.nodes[status["node"]]
        await watched.end(signal.SIGKILL)
        remaining = next(name for name in NODES if name != status["node"])
        code, out = await plane.run("set", plane.state(remaining), "--patch", "--delete", "budgets/out")
        assert code == 0 and out.startswith("version 3"), out
        await sender.wait_for_log("version applied: version=3 ")
        code, out = await plane.run("get", plane.state(remaining), "--json")
        assert code == 0 and list(json.loads(out)["resources"]) == ["endpoints/hub"]
        arguments = ("status", plane.state(remaining), "--wait", "3", "--timeout", "10", "--reachable")
        code, out = await plane.run(*arguments)
        assert code == 0 and "at 1 senders" in out, out
        assert await sender.end() == 0


async def deliver(port: int, called: asyncio.Event) -> None:
    """Submits a message, and waits until the endpoint is called."""
    client = HttpClient((HOST, port))
    fields = {"X-Correlation-Id": "m1", "X-Service-Class": "c", "X-Time-Left": "8", "X-Route-To": "dest=5"}
    status, _ = await client.post("/c", fields, b"x")
    client.close()
    assert status == 202
    await asyncio.wait_for(called.wait(), TIMEOUT_S)
