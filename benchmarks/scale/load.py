"""One complete sender as a process on loopback, with stand-ins for receivers, platform and clients.

The stand-ins of benchmarks/storm.py run outside the sender's process, so that they add nothing to its CPU
time.
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
CLIENT_TIMEOUT_S = 10.0
BODY_BYTES = 200
DISK_MB = 200
MAX_OPEN = 20_000
SETTLED_WITHIN_S = 10.0
HOST = "127.0.0.1"
ACCEPTED = 202  # HTTP status


@dataclass(frozen=True, slots=True)
class StandIns:
    """The ports of the stand-ins, and the pipe over which they report what they received."""

    receiver: int
    platform: int
    pipe: Connection
    loads: Iterator[int] = field(default_factory=lambda: itertools.count(1))  # prefixes of the message names

    def delivered(self) -> int:
        """Returns the number of distinct messages that reached a receiver."""
        self.pipe.send("report")
        return len(self.pipe.recv()[0])


@contextmanager
def run_stand_ins() -> Iterator[StandIns]:
    """Runs the stand-ins for receivers and platform in a separate process."""
    ours, theirs = multiprocessing.get_context("spawn").Pipe()
    process = multiprocessing.get_context("spawn").Process(
        target=storm.run_peers, args=(theirs,), daemon=True
    )
    process.start()
    try:
        receiver, platform = ours.recv()
        yield StandIns(receiver, platform, ours)
    finally:
        ours.send("end")
        process.join(5)


@contextmanager
def closed_port() -> Iterator[int]:
    """Reserves a port that refuses every connection."""
    with socket.socket() as bound:
        bound.bind((HOST, 0))
        yield int(bound.getsockname()[1])


def configuration(port: int, stand_ins: StandIns, down: int, closed: int) -> dict[str, Any]:
    """Returns the configuration of a sender whose first `down` destinations are at the closed port."""
    config = storm.config(port, stand_ins.receiver, stand_ins.platform, DESTINATIONS)
    for number, host in enumerate(config["known"]["hosts"][:down]):
        host["dial"] = f"{storm.receiver_host(number)}:{closed}"
    config["limits"]["disk_mb"] = DISK_MB
    config["settings"]["limits"]["max_open"] = MAX_OPEN
    config["settings"]["services"][0]["deadline"] = int(DEADLINE_S * 1e6)
    return config


class Load(storm.LoadGenerator):
    """Open-loop clients: each message is sent on schedule, regardless of earlier answers."""

    def __init__(self, port: int, prefix: int, destinations: range) -> None:
        """`prefix` distinguishes the message names of several loads of one sender."""
        super().__init__(port, prefix)
        self.destinations = destinations

    def destination(self, number: int) -> int:
        """Returns the destination of a message by its number, which counts from 1."""
        return self.destinations[number % len(self.destinations)]

    def encode_request(self, name: str) -> bytes:
        """Returns the HTTP request that submits the message."""
        destination = self.destination(int(name.rpartition("-")[2]))
        return (
            f"POST /c HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {name}\r\nX-Service-Class: c\r\n"
            f"X-Time-Left: {DEADLINE_S}\r\nX-Route-To: dest={destination}\r\n"
            f"Content-Length: {BODY_BYTES}\r\n\r\n{'x' * BODY_BYTES}"
        ).encode()

    def send(self) -> None:
        """Sends one message on an idle connection, or on a new one if there is none."""
        self.count += 1
        name = f"{self.run}-{self.count}"
        while self.pool:
            client = self.pool.pop()
            if not client.transport.is_closing():
                client.send_request(name, CLIENT_TIMEOUT_S)
                return
        client = storm.Client(self)
        client.send_request(name, CLIENT_TIMEOUT_S)
        task = asyncio.get_running_loop().create_task(self.connect(client))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def offer_at(self, rate: float, count: int) -> None:
        """Offers `count` messages at `rate` messages/s, open loop.

        Returns once every message was answered or its client timed out.
        """
        started_at = time.monotonic()
        for number in range(count):
            wait = started_at + number / rate - time.monotonic()
            if wait > 0.001 or number % 50 == 0:
                await asyncio.sleep(max(wait, 0.0))
            self.send()
        async with asyncio.timeout(CLIENT_TIMEOUT_S + 1):
            while len(self.answers) < self.count:
                await asyncio.sleep(0.005)

    def accepted_for(self, destinations: range) -> int:
        """Returns the number of accepted messages for these destinations."""
        names = [name for name, status in self.answers.items() if status == ACCEPTED]
        return sum(self.destination(int(name.rpartition("-")[2])) in destinations for name in names)


@dataclass(frozen=True, slots=True)
class LoadResult:
    """The counts of a load and its cost for the sender."""

    offered: int
    accepted: int
    delivered: int
    cpu_s: float
    wall_s: float


@asynccontextmanager
async def run_sender(stand_ins: StandIns, down: int) -> AsyncIterator[tuple[int, int]]:
    """Runs a sender as a process and yields its port and process id."""
    with tempfile.TemporaryDirectory() as name, closed_port() as closed:
        folder, port = Path(name), storm.free_port()
        (folder / "state").mkdir()
        path = folder / "config.json"
        path.write_text(json.dumps(configuration(port, stand_ins, down, closed)))
        environment = os.environ | {"BALANCER_CONFIG": str(path), "BALANCER_STATE": str(folder / "state")}
        command = [sys.executable, "-m", "message_sender"]
        process = subprocess.Popen(command, cwd=ROOT, env=environment, stderr=subprocess.DEVNULL)
        try:
            await storm.wait_until_ready(port)
            yield port, process.pid
        finally:
            process.kill()
            process.wait(10)


async def run_load(
    stand_ins: StandIns, rate: float, count: int, down: int = 0, include_down: bool = False, backlog: int = 0
) -> LoadResult:
    """Offers messages to a new sender and measures its CPU time.

    Args:
        stand_ins: The receivers and the platform.
        rate: Messages per second.
        count: The number of messages.
        down: The number of destinations that are down.
        include_down: Whether a proportional share of the messages goes to the destinations that are down.
        backlog: The number of messages for destinations that are down, sent before the measurement.
    """
    async with run_sender(stand_ins, down) as (port, process):
        if backlog:
            await Load(port, next(stand_ins.loads), range(down)).offer_at(1000.0, backlog)
        load = Load(port, next(stand_ins.loads), range(0 if include_down else down, DESTINATIONS))
        delivered_before = stand_ins.delivered()
        cpu_s, started_at = process_cpu_s(process), time.monotonic()
        await load.offer_at(rate, count)
        until = time.monotonic() + SETTLED_WITHIN_S
        expected_delivered = delivered_before + load.accepted_for(range(down, DESTINATIONS))
        while stand_ins.delivered() < expected_delivered and time.monotonic() < until:
            await asyncio.sleep(0.02)
        spent, wall = process_cpu_s(process) - cpu_s, time.monotonic() - started_at
        return LoadResult(
            load.count,
            load.accepted_for(range(DESTINATIONS)),
            stand_ins.delivered() - delivered_before,
            spent,
            wall,
        )
