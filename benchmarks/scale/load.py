"""One whole sender as a process on loopback, with stand-ins for receivers, platform and clients.

The stand-ins are those of benchmarks/storm.py; they run in processes of their own, so that the sender's CPU
time is its own alone.
"""

import asyncio
import itertools
import json
import multiprocessing
import os
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass, field
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

from benchmarks import storm
from benchmarks.scale import plan
from benchmarks.scale.real import process_cpu_s
from benchmarks.scale.results import ROOT

DESTINATIONS = 500
DOWN = round(DESTINATIONS * plan.DOWN_SHARE)
DEADLINE_S = 3_600.0
PATIENCE_S = 10.0  # of a client
BODY_BYTES = 200
DISK_MB = 200
MAX_OPEN = 20_000
SETTLED_WITHIN_S = 10.0
HOST = "127.0.0.1"
ACCEPTED = 202  # HTTP status


@dataclass(frozen=True, slots=True)
class Stand:
    """The ports of the stand-ins, and the pipe that asks them what they saw."""

    receiver: int
    platform: int
    pipe: Connection
    loads: Iterator[int] = field(default_factory=lambda: itertools.count(1))  # what tells loads' names apart

    def delivered(self) -> int:
        """Messages that reached a receiver."""
        self.pipe.send("told")
        return len(self.pipe.recv()[0])


@contextmanager
def stand_ins() -> Iterator[Stand]:
    """Runs receivers and platform in a process of their own."""
    ours, theirs = multiprocessing.get_context("spawn").Pipe()
    process = multiprocessing.get_context("spawn").Process(target=storm.peers, args=(theirs,), daemon=True)
    process.start()
    try:
        receiver, platform = ours.recv()
        yield Stand(receiver, platform, ours)
    finally:
        ours.send("end")
        process.join(5)


@contextmanager
def closed_port() -> Iterator[int]:
    """A port at which every connection is refused."""
    with socket.socket() as bound:
        bound.bind((HOST, 0))
        yield int(bound.getsockname()[1])


def configuration(port: int, stand: Stand, down: int, closed: int) -> dict[str, Any]:
    """Of a sender whose first `down` destinations are at the closed port."""
    told = storm.config(port, stand.receiver, stand.platform, DESTINATIONS)
    for host in told["known"]["hosts"][:down]:
        host["dial"] = f"{HOST}:{closed}"
    told["limits"]["disk_mb"] = DISK_MB
    told["settings"]["limits"]["max_open"] = MAX_OPEN
    told["settings"]["services"][0]["deadline"] = int(DEADLINE_S * 1e6)
    return told


class Load(storm.Storm):
    """Clients that offer messages at their times, whatever became of those before."""

    def __init__(self, port: int, first: int, destinations: range) -> None:
        """`first` distinguishes the names of several loads of one sender."""
        super().__init__(port, first)
        self.destinations = destinations

    def destination(self, number: int) -> int:
        """Where the message of this number goes; they are numbered from 1."""
        return self.destinations[number % len(self.destinations)]

    def text(self, name: str) -> bytes:
        """The request that hands the message in."""
        destination = self.destination(int(name.rpartition("-")[2]))
        return (
            f"POST /c HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {name}\r\nX-Service-Class: c\r\n"
            f"X-Time-Left: {DEADLINE_S}\r\nX-Route-To: dest={destination}\r\n"
            f"Content-Length: {BODY_BYTES}\r\n\r\n{'x' * BODY_BYTES}"
        ).encode()

    def send(self) -> None:
        """One message, on a connection that no request is out on."""
        self.count += 1
        name = f"{self.run}-{self.count}"
        while self.pool:
            client = self.pool.pop()
            if not client.transport.is_closing():
                client.ask(name, PATIENCE_S)
                return
        client = storm.Client(self)
        client.ask(name, PATIENCE_S)
        task = asyncio.get_running_loop().create_task(self.connect(client))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def offer_at(self, rate: float, count: int) -> None:
        """Open loop; returns once each message has its answer, or none within the clients' patience."""
        began = time.monotonic()
        for number in range(count):
            wait = began + number / rate - time.monotonic()
            if wait > 0.001 or number % 50 == 0:
                await asyncio.sleep(max(wait, 0.0))
            self.send()
        async with asyncio.timeout(PATIENCE_S + 1):
            while len(self.answers) < self.count:
                await asyncio.sleep(0.005)

    def accepted_for(self, destinations: range) -> int:
        """Messages for these destinations that the sender took on."""
        names = [name for name, status in self.answers.items() if status == ACCEPTED]
        return sum(self.destination(int(name.rpartition("-")[2])) in destinations for name in names)


@dataclass(frozen=True, slots=True)
class Served:
    """What became of a load, and what it cost the sender."""

    offered: int
    accepted: int
    delivered: int
    cpu_s: float
    wall_s: float


@asynccontextmanager
async def sender(stand: Stand, down: int) -> AsyncIterator[tuple[int, int]]:
    """A sender's process: its port and process id."""
    with tempfile.TemporaryDirectory() as name, closed_port() as closed:
        folder, port = Path(name), storm.free_port()
        (folder / "state").mkdir()
        path = folder / "config.json"
        path.write_text(json.dumps(configuration(port, stand, down, closed)))
        environment = os.environ | {"BALANCER_CONFIG": str(path), "BALANCER_STATE": str(folder / "state")}
        words = [sys.executable, "-m", "message_sender"]
        process = subprocess.Popen(words, cwd=ROOT, env=environment, stderr=subprocess.DEVNULL)
        try:
            await storm.ready(port)
            yield port, process.pid
        finally:
            process.kill()
            process.wait(10)


async def serve(
    stand: Stand, rate: float, count: int, down: int = 0, to_down: bool = False, backlog: int = 0
) -> Served:
    """Offers `count` messages to one sender, of whose destinations `down` are down, and `backlog` before that
    to those. `to_down`: whether the messages go to these too, by their share."""
    async with sender(stand, down) as (port, process):
        if backlog:
            await Load(port, next(stand.loads), range(down)).offer_at(1000.0, backlog)
        load = Load(port, next(stand.loads), range(0 if to_down else down, DESTINATIONS))
        delivered_before = stand.delivered()
        cpu_s, began = process_cpu_s(process), time.monotonic()
        await load.offer_at(rate, count)
        until = time.monotonic() + SETTLED_WITHIN_S
        expected = delivered_before + load.accepted_for(range(down, DESTINATIONS))
        while stand.delivered() < expected and time.monotonic() < until:
            await asyncio.sleep(0.02)
        spent, wall = process_cpu_s(process) - cpu_s, time.monotonic() - began
        return Served(
            load.count,
            load.accepted_for(range(DESTINATIONS)),
            stand.delivered() - delivered_before,
            spent,
            wall,
        )
