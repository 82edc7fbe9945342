"""An overload test on loopback: more messages than one core can process, from clients with timeouts.

    python benchmarks/storm.py [--root FOLDER] [--runs 10] [--rate 1600] [--seconds 6] [--json FILE]

Starts one sender of FOLDER (a checkout with its .venv; this checkout by default) on one core, stand-ins for
receivers and the platform on a second, and the clients on a third. Messages are offered open loop: each is
sent on schedule, regardless of earlier answers. Half of the clients wait 0.4 s for an answer and half 2 s
before they close the connection. Afterwards half the rate is offered for 2 s, which shows whether the sender
recovers. A sender that exited is restarted with its journal, so that its accepted messages can still end.
Prints one line per run and the totals: exits, accepted messages that were neither delivered nor ended by a
notice (lost), the share without an answer, and the rate afterwards.
"""

import argparse
import asyncio
import json
import multiprocessing
import os
import subprocess
import sys
import tempfile
import time
from collections import Counter
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
DESTINATIONS = 20
SERVED_DESTINATIONS = 500  # the receiver listens at an address for each of them
DEADLINE = 8.0  # s
TIMEOUTS_S = (0.4, 2.0)  # of the clients, in turn
SENDER_CORE, PEERS_CORE, CLIENTS_CORE = 0, 1, 2
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


def pin(core: int, process: int = 0) -> None:
    """Pins a process (0: this one) to a core; core numbers wrap around if there are fewer cores."""
    cores = sorted(os.sched_getaffinity(0))
    os.sched_setaffinity(process, {cores[core % len(cores)]})


class RequestProtocol(asyncio.Protocol):
    """The server side of one connection: calls `request` for each complete HTTP request."""

    def __init__(self) -> None:
        self.unread = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.unread += data
        while (end := self.unread.find(b"\r\n\r\n")) >= 0:
            head = bytes(self.unread[:end])
            lines = head.decode("latin-1").lower().split("\r\n")[1:]
            fields = dict(line.split(": ", 1) for line in lines if ": " in line)
            size = end + 4 + int(fields.get("content-length", 0))
            if len(self.unread) < size:
                return
            body = bytes(self.unread[end + 4 : size])
            del self.unread[:size]
            self.request(head.split(b" ", 2)[1].decode(), fields, body)

    def request(self, target: str, fields: dict[str, str], body: bytes) -> None:
        """Handles a complete request; `target` is its path, `fields` are its headers in lower case."""
        raise NotImplementedError


class Receiver(RequestProtocol):
    """A receiver that counts the deliveries of each message."""

    delivered: Counter[str]

    def request(self, target: str, fields: dict[str, str], body: bytes) -> None:
        self.delivered[fields["x-correlation-id"]] += 1
        self.transport.write(OK)


class Platform(RequestProtocol):
    """The platform: answers the discovery watch with empty lines and collects notices of ended messages."""

    ended: dict[str, str]

    def request(self, target: str, fields: dict[str, str], body: bytes) -> None:
        if "watch" in target:
            self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.send_empty_line()
            return
        for line in body.splitlines():
            notice = json.loads(line)
            self.ended[notice["id"]] = notice["state"]
        self.transport.write(b"HTTP/1.1 204 It\r\n\r\n")

    def send_empty_line(self) -> None:
        """Keeps the watch alive with an empty line every 2 s."""
        if not self.transport.is_closing():
            self.transport.write(b"1\r\n\n\r\n")
            asyncio.get_running_loop().call_later(2.0, self.send_empty_line)


def receiver_host(destination: int) -> str:
    """Returns the loopback address of a destination's receiver: an address belongs to one endpoint."""
    return f"127.0.{1 + destination // 250}.{1 + destination % 250}"


async def serve_peers(pipe: Connection) -> None:
    """Runs the stand-ins, sends their ports over the pipe and answers each "report" with their counts."""
    delivered: Counter[str] = Counter()
    ended: dict[str, str] = {}
    receiver_kind = type("R", (Receiver,), {"delivered": delivered})
    loop = asyncio.get_running_loop()
    platform = await loop.create_server(type("P", (Platform,), {"ended": ended}), "127.0.0.1", 0)
    first, *others = map(receiver_host, range(SERVED_DESTINATIONS))
    receiver = await loop.create_server(receiver_kind, first, 0)
    ports = [each.sockets[0].getsockname()[1] for each in (receiver, platform)]
    rest = await loop.create_server(receiver_kind, others, ports[0])
    pipe.send(ports)
    assert rest.is_serving()
    while (await loop.run_in_executor(None, pipe.recv)) == "report":
        pipe.send((dict(delivered), dict(ended)))


def run_peers(pipe: Connection) -> None:
    """Runs the stand-ins on their core; the entry point of their process."""
    pin(PEERS_CORE)
    asyncio.run(serve_peers(pipe))


def config(port: int, receiver: int, platform: int, listed: int = DESTINATIONS) -> dict[str, Any]:
    """Returns the platform configuration of a sender with `listed` destinations, served by one stand-in."""
    hosts = [
        {
            "host": f"r{each}",
            "dial": f"{receiver_host(each)}:{receiver}",
            "site": "z",
            "class": "k",
            "block": each,
        }
        | {"health": "ready", "share": 1.0, "born_ms": 0}
        for each in range(listed)
    ]
    service = {"name": "c", "aim": 2_000_000, "deadline": int(DEADLINE * 1e6), "credit": 1.0}
    service |= {"late_worth": 0.1, "semantics": "repeatable"}
    settings = {
        "limits": {
            "conn_idle": 10_000_000,
            "attempts_cap": 6,
            "cancelling": True,
            "max_open": 400,
            "max_retry_after": 2_000_000,
        },
        "safety": {"ask_within": 10_000_000, "cold": 13_000_000, "cold_from": 0.2, "drain_grace": 500_000}
        | {"fall_multiple": 2},
        "specifics": {"batch_by_kind": [1], "own_limits": [False], "slots": 60, "loses_worth": "line"},
        "services": [service],
        "models": ["k"],
        "zones": ["z"],
        "locality": "z",
        "tick": 5000,
        "fleet_size": 1,
        "customers": [],
        "membership_mode": "on_request",
        "weight_kind": "none",
    }
    return {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{platform}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
        "known": {"seq": 41, "whole": True, "hosts": hosts},
        "settings": settings,
    }


class Client(asyncio.Protocol):
    """A persistent client connection; `LoadGenerator.pool` holds the idle ones."""

    def __init__(self, generator: "LoadGenerator") -> None:
        self.generator, self.data, self.name, self.sent_at = generator, b"", "", 0.0
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self.name:
            transport.write(self.generator.encode_request(self.name))
        else:
            transport.abort()

    def send_request(self, name: str, timeout_s: float) -> None:
        """Sends the request of a message; without a connection, `connection_made` sends it."""
        self.name, self.data, self.sent_at = name, b"", time.monotonic()
        self.timer = asyncio.get_running_loop().call_later(timeout_s, self.time_out)
        if hasattr(self, "transport"):
            self.transport.write(self.generator.encode_request(name))

    def finish(self, status: int) -> None:
        """Records the HTTP status of the answer; 0 for no answer."""
        if self.name:
            self.generator.answers[self.name] = status
            self.name = ""
        if self.timer:
            self.timer.cancel()

    def time_out(self) -> None:
        """Records that there was no answer in time and closes the connection."""
        self.finish(0)
        if hasattr(self, "transport"):
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        self.data += data
        if b"\r\n\r\n" not in self.data:
            return
        self.generator.latencies_s.append(time.monotonic() - self.sent_at)
        self.finish(int(self.data[9:12]))
        if b"connection: close" in self.data.lower():
            self.transport.close()
        else:
            self.generator.pool.append(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.finish(0)
        if self in self.generator.pool:
            self.generator.pool.remove(self)


class LoadGenerator:
    """An open-loop load generator with a pool of connections to one sender.

    `answers` maps the names of messages to the HTTP status, or to 0 if the client timed out before an answer.
    """

    def __init__(self, port: int, run: int) -> None:
        """`run` is the prefix of the message names; it distinguishes the messages of several runs."""
        self.port, self.run = port, run
        self.pool: list[Client] = []
        self.answers: dict[str, int] = {}
        self.latencies_s: list[float] = []  # from the request to the answer
        self.count = 0
        self.tasks: set[asyncio.Task[None]] = set()

    def encode_request(self, name: str) -> bytes:
        """Returns the HTTP request that submits the message."""
        number = int(name.rpartition("-")[2])
        head = f"POST /c HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {name}\r\nX-Service-Class: c\r\n"
        return (
            f"{head}X-Time-Left: {DEADLINE}\r\nX-Route-To: dest={number % DESTINATIONS}\r\n"
            f"Content-Length: 200\r\n\r\n{'x' * 200}"
        ).encode()

    async def connect(self, client: Client) -> None:
        """Opens a connection; a failure counts as a request without an answer."""
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: client, "127.0.0.1", self.port)
        except OSError:
            client.finish(0)

    def send(self) -> None:
        """Sends the next message on an idle connection, or on a new one if there is none."""
        self.count += 1
        name = f"{self.run}-{self.count}"
        timeout_s = TIMEOUTS_S[self.count % 2]
        while self.pool:
            client = self.pool.pop()
            if not client.transport.is_closing():
                client.send_request(name, timeout_s)
                return
        client = Client(self)
        client.send_request(name, timeout_s)
        task = asyncio.get_running_loop().create_task(self.connect(client))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def offer(self, rate: float, seconds: float) -> tuple[int, int, float]:
        """Offers messages open loop at `rate` messages/s.

        Returns:
            The number of sent messages, the number of those answered in time, and the longest delay in s with
            which a message was sent after its scheduled time.
        """
        started_at, first, late = time.monotonic(), self.count, 0.0
        for each in range(int(rate * seconds)):
            wait = started_at + each / rate - time.monotonic()
            late = max(late, -wait)
            if wait > 0.001:
                await asyncio.sleep(wait)
            elif each % 50 == 0:
                await asyncio.sleep(0)
            self.send()
        await asyncio.sleep(max(TIMEOUTS_S) + 0.2)
        names = [f"{self.run}-{each}" for each in range(first + 1, self.count + 1)]
        return len(names), sum(1 for each in names if self.answers.get(each)), late


def start(root: Path, config: dict[str, Any], state: Path, log: Path) -> subprocess.Popen[bytes]:
    """Starts the sender of the checkout `root` on its core, with standard error appended to `log`."""
    path = state.parent / "config.json"
    path.write_text(json.dumps(config))
    environment = os.environ | {"BALANCER_CONFIG": str(path), "BALANCER_STATE": str(state)}
    with open(log, "ab") as out:
        process = subprocess.Popen(
            [str(root / ".venv/bin/python"), "-m", "message_sender"], cwd=root, env=environment, stderr=out
        )
    pin(SENDER_CORE, process.pid)
    return process


async def wait_until_ready(port: int) -> None:
    """Waits until the port accepts connections.

    Raises:
        SystemExit: It does not within 20 s.
    """
    until = time.monotonic() + 20
    while time.monotonic() < until:
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.close()
            return
        except OSError:
            await asyncio.sleep(0.05)
    raise SystemExit(f"the sender did not accept connections on port {port} within 20 s")


def free_port() -> int:
    """Returns a free TCP port on loopback."""
    import socket

    with socket.create_server(("127.0.0.1", 0)) as sock:
        return int(sock.getsockname()[1])


async def one_run(
    number: int, options: argparse.Namespace, pipe: Connection, ports: list[int]
) -> dict[str, Any]:
    """Runs the test once and returns its results."""
    with tempfile.TemporaryDirectory() as folder:
        state, log, port = Path(folder) / "state", Path(folder) / "log", free_port()
        state.mkdir()
        settings = config(port, *ports)
        process = start(options.root, settings, state, log)
        await wait_until_ready(port)
        generator = LoadGenerator(port, number)
        sent, answered, late = await generator.offer(options.rate, options.seconds)
        statuses = Counter(generator.answers.values())
        exited = process.poll()
        if exited is not None:
            process = start(options.root, settings, state, log)
            await wait_until_ready(port)
        sent_afterwards, answered_afterwards, _ = await generator.offer(options.rate / 2, 2.0)
        await asyncio.sleep(DEADLINE + 1.0 if exited is not None else 1.0)
        pipe.send("report")
        delivered, ended = pipe.recv()
        accepted = [name for name, status in generator.answers.items() if status == 202]
        ended_names = [name for name in accepted if name in delivered or name in ended]
        if len(ended_names) < len(accepted):
            await asyncio.sleep(DEADLINE + 1.0)
            pipe.send("report")
            delivered, ended = pipe.recv()
        process.terminate()
        process.wait(10)
        last = log.read_text().splitlines()[-1:] if exited is not None else []
        return {
            "exit": exited,
            "taken": len(accepted),
            "lost": sum(1 for name in accepted if name not in delivered and name not in ended),
            "unanswered": round(1 - answered / sent, 4),
            "refused": round((statuses[429] + statuses[503]) / sent, 4),
            "afterwards": round(answered_afterwards / sent_afterwards * options.rate / 2),
            "late_ms": round(late * 1e3),
            "last_line": last,
        }


async def main_loop(options: argparse.Namespace) -> list[dict[str, Any]]:
    """Runs the test `options.runs` times, prints each result and returns them."""
    ours, theirs = multiprocessing.Pipe()
    stand_ins = multiprocessing.Process(target=run_peers, args=(theirs,), daemon=True)
    stand_ins.start()
    pin(CLIENTS_CORE)
    ports = ours.recv()
    runs = []
    for number in range(options.runs):
        runs.append(await one_run(number, options, ours, ports))
        print(json.dumps(runs[-1]), flush=True)
    ours.send("end")
    stand_ins.join(5)
    return runs


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--root", type=Path, default=ROOT)
    parser.add_argument("--runs", type=int, default=10)
    parser.add_argument("--rate", type=float, default=1600)
    parser.add_argument("--seconds", type=float, default=6)
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    options.root = options.root.resolve()
    runs = asyncio.run(main_loop(options))
    sums = {
        "exits": sum(1 for each in runs if each["exit"] is not None),
        "taken": sum(each["taken"] for each in runs),
        "lost": sum(each["lost"] for each in runs),
        "unanswered": sorted(each["unanswered"] for each in runs)[len(runs) // 2],
        "afterwards": sorted(each["afterwards"] for each in runs)[len(runs) // 2],
    }
    print(json.dumps(sums))
    if options.json:
        options.json.write_text(json.dumps({"sums": sums, "runs": runs}, indent=1) + "\n")
    return 1 if sums["exits"] or sums["lost"] else 0


if __name__ == "__main__":
    sys.exit(main())
