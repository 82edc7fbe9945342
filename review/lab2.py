"""Stand-ins for clients, receivers, discovery and the platform, on loopback, for the cases 6 to 10.

Only the standard library is used. Every address is a loopback address. Times in the record are seconds since
the start of the script.
"""

# Scripts of a review: their names say what their parts do.
# ruff: noqa: ANN401, D102, D103, D107

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
LOCAL = "127.0.0.1"
CLIENT_PATIENCE_S = 0.4
SENDER_START_LIMIT_S = 30.0


class CouldNotRunError(Exception):
    """The case could not be played as it is meant."""


class Record:
    """What was sent, answered and run, with times; written to record.txt of the case's folder."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.began = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        return time.monotonic() - self.began

    def add(self, text: str) -> None:
        self.lines.append(f"{self.now():9.4f} {text}")

    def write(self) -> None:
        (self.folder / "record.txt").write_text("\n".join(self.lines) + "\n")


class Call:
    """One call to a receiver: times of its first and last byte, its answer and the end of its connection."""

    def __init__(self, receiver: "Receiver", connection: "ReceiverConnection", first_at: float) -> None:
        self.receiver, self.connection = receiver, connection
        self.first_at = first_at
        self.last_at: float | None = None
        self.answered_at: float | None = None
        self.ended_at: float | None = None
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""

    @property
    def id(self) -> str:
        return self.headers.get("x-correlation-id", "")

    def write(self, data: bytes) -> None:
        if not self.connection.transport.is_closing():
            self.connection.transport.write(data)

    def answer(self, status: int, extra: str = "") -> None:
        if self.connection.transport.is_closing():
            return
        self.status = status
        self.answered_at = self.receiver.record.now()
        self.receiver.record.add(f"receiver {self.receiver.name} answers {status} to {self.id}")
        self.write(f"HTTP/1.1 {status} x\r\nContent-Length: 0\r\n{extra}\r\n".encode())


Behaviour = Callable[[Call], Awaitable[None]]


class ReceiverConnection(asyncio.Protocol):
    """A connection of a sender to a receiver; one call at a time."""

    def __init__(self, receiver: "Receiver") -> None:
        self.receiver = receiver
        self.transport: Any = None
        self.data = b""
        self.call: Call | None = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.receiver.connections.add(self)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.receiver.is_cut:
            transport.pause_reading()

    def connection_lost(self, error: Exception | None) -> None:
        self.receiver.connections.discard(self)
        if self.call and self.call.ended_at is None:
            self.call.ended_at = self.receiver.record.now()
            self.receiver.record.add(
                f"receiver {self.receiver.name}: connection of {self.call.id or 'an unfinished call'} ended,"
                f" last byte {'came' if self.call.last_at else 'never came'}"
            )

    def data_received(self, data: bytes) -> None:
        record = self.receiver.record
        if not self.data:
            self.call = Call(self.receiver, self, record.now())
            self.receiver.began.append(self.call)
        self.data += data
        call = self.call
        assert call is not None
        head, end, rest = self.data.partition(b"\r\n\r\n")
        if not end:
            return
        if not call.headers:
            lines = head.decode("latin-1").split("\r\n")
            call.headers = {
                name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])
            }
            record.add(f"receiver {self.receiver.name}: first bytes of {call.id}")
            self.receiver.head_came(call)
        length = int(call.headers.get("content-length", "0"))
        if len(rest) < length:
            return
        call.body, self.data = rest[:length], b""
        call.last_at = record.now()
        record.add(f"receiver {self.receiver.name}: last byte of {call.id}")
        self.receiver.calls.append(call)
        self.receiver.spawn(self.receiver.behave(call))


class Receiver:
    """A receiver; what it does with a call is set by the case."""

    def __init__(self, record: Record, name: str, block: int, site: str, kind: str, share: float) -> None:
        self.record, self.name = record, name
        self.entry = {
            "host": name, "dial": "", "site": site, "class": kind, "block": block,
            "health": "ready", "share": share, "born_ms": 0,
        }  # fmt: skip
        self.calls: list[Call] = []
        self.began: list[Call] = []
        self.connections: set[ReceiverConnection] = set()
        self.is_cut = False
        self.head_came: Callable[[Call], None] = lambda call: None
        self.behave: Behaviour = self.deliver
        self.tasks: set[asyncio.Task[Any]] = set()
        self.server: asyncio.Server | None = None

    def spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def deliver(self, call: Call, after_s: float = 0.1) -> None:
        await asyncio.sleep(after_s)
        call.answer(200)

    async def start(self, options: tuple[tuple[int, int, int], ...] = (), port: int = 0) -> None:
        """Listens; `options` are socket options that accepted connections inherit."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        for option in options:
            sock.setsockopt(*option)
        sock.bind((LOCAL, port))
        self.entry["dial"] = f"{LOCAL}:{sock.getsockname()[1]}"
        self.server = await asyncio.get_running_loop().create_server(
            lambda: ReceiverConnection(self), sock=sock, backlog=128
        )

    def cut(self) -> None:
        """From now on nothing passes between the sender and this receiver; connections stay open."""
        self.is_cut = True
        self.record.add(f"receiver {self.name} is cut off")
        for connection in self.connections:
            connection.transport.pause_reading()

    def heal(self) -> None:
        self.is_cut = False
        self.record.add(f"receiver {self.name} is reachable again")
        for connection in list(self.connections):
            connection.transport.resume_reading()


class Discovery:
    """Discovery, and the platform that gets the notices."""

    def __init__(
        self, record: Record, receivers: list[Receiver], known: list[Receiver] | None = None
    ) -> None:
        self.record = record
        self.entries = {each.name: dict(each.entry) for each in receivers}
        self.seq = 41
        self.notices: list[tuple[float, dict[str, Any]]] = []
        self.changed = asyncio.Event()
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.port = 0
        self.keepalive_s = 2.0
        self.is_silent = False  # calls for the list are taken and not answered, and watches say nothing
        self.silent_before = -1.0  # watches that began before this time say nothing more
        self.server: asyncio.Server | None = None

    def list_object(self) -> dict[str, Any]:
        return {"seq": self.seq, "whole": True, "hosts": list(self.entries.values())}

    def change(self, name: str, **fields: Any) -> None:
        """Changes one entry and tells the watches."""
        self.seq += 1
        entry = self.entries.setdefault(name, {}) | fields
        self.entries[name] = entry
        if entry.get("health") == "gone":
            del self.entries[name]
        self.changes.append((self.seq, dict(entry)))
        self.record.add(f"discovery tells {name} {fields} seq {self.seq}")
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, LOCAL, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                line, *lines = head.split("\r\n")
                fields = dict(each.lower().split(": ", 1) for each in lines if ": " in each)
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                if line.startswith("POST /v1/notices"):
                    for each in body.decode().splitlines():
                        notice = json.loads(each)
                        self.notices.append((self.record.now(), notice))
                        self.record.add(f"notice {each}")
                    writer.write(b"HTTP/1.1 204 x\r\n\r\n")
                elif self.is_silent:
                    self.record.add("discovery is silent on a call")
                    await reader.read()
                    break
                elif "watch=1" in line:
                    await self.watch(writer, int(line.split("after=")[1].split()[0]))
                else:
                    text = json.dumps(self.list_object()).encode()
                    writer.write(b"HTTP/1.1 200 x\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text))
        writer.close()

    async def watch(self, writer: asyncio.StreamWriter, after: int) -> None:
        writer.write(b"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n")

        def put(text: str) -> None:
            data = text.encode() + b"\n"
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))

        put(json.dumps(self.list_object()))
        sent = self.seq
        began = self.record.now()
        self.record.add("discovery has a new watch")
        while not writer.is_closing():
            if self.is_silent or began < self.silent_before:
                await asyncio.sleep(0.05)
                continue
            changed = self.changed
            new = [entry for seq, entry in self.changes if seq > sent]
            if new:
                sent = self.seq
                put(json.dumps({"seq": sent, "whole": False, "hosts": new}))
            try:
                await asyncio.wait_for(changed.wait(), self.keepalive_s)
            except TimeoutError:
                if not self.is_silent and began >= self.silent_before:
                    put("")
            await writer.drain()


def settings(**overrides: Any) -> dict[str, Any]:
    """The settings of a small deployment, as the wire page shows them."""
    service = {
        "aim": 4000000, "credit": 1.0, "deadline": 20000000, "dedup_window": 5000000, "key_scope": "zone",
        "late_worth": 0.3, "name": "session-command", "semantics": "by_key", "serial_by_key": True,
        "stream": False,
    } | overrides.pop("service", {})  # fmt: skip
    limits = {
        "attempts_cap": 6, "cancelling": True, "conn_idle": 10000000, "connect_timeout": 1500000,
        "cpu_us_per_request": 0.0, "cpu_us_per_s": 500000, "max_open": 65, "max_retry_after": 2000000,
        "peers": False, "probes": False, "retry_after": False, "second_copies": False, "streams_per_conn": 8,
    }  # fmt: skip
    safety = {
        "answer_slack": 20000, "ask_within": 10000000, "cold": 13000000, "cold_from": 0.2,
        "drain_grace": 500000, "fall_multiple": 2.0, "key_quiet": 100000, "overload_for": 1500000,
    }  # fmt: skip
    customers = (("rhone-fleet", 14.0, 0.38), ("seeland-cars", 7.0, 0.2))
    return {
        "callers": {"marks_retry": True},
        "customers": [{"name": n, "quota_per_s": q, "share": s} for n, q, s in customers],
        "family": "deliver",
        "fleet_size": 3,
        "limits": limits | overrides.pop("limits", {}),
        "locality": "hall-b",
        "membership_mode": "on_request",
        "models": ["roaming-hub", "small-operator"],
        "my_number": 0,
        "over_share_worth": 0.1,
        "prices": {},
        "report": {"columns": [], "via": "none"},
        "safety": safety | overrides.pop("safety", {}),
        "services": [service, *overrides.pop("more_services", [])],
        "specifics": {
            "batch_by_kind": [1, 1], "loses_worth": "halves", "own_limits": [True, False], "slots": 8,
            "turned_away_price": 0.0, "zone_fee": [0.0, 0.05, 0.02],
        },
        "stage": 0,
        "tick": 5000,
        "tiers": ["operator-backends"],
        "value_by": "request",
        "weight_kind": "nominal",
        "zones": ["hall-a", "hall-b", "hall-c"],
    } | overrides  # fmt: skip


def free_port() -> int:
    with socket.create_server((LOCAL, 0)) as sock:
        return int(sock.getsockname()[1])


class Platform:
    """Starts, signals and ends the processes of one sender, with the commands of the deploy file."""

    def __init__(
        self, record: Record, discovery: Discovery, values: dict[str, Any], holds_socket: bool = False
    ) -> None:
        self.record, self.discovery, self.values = record, discovery, values
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.state = self.folder / "state"
        self.state.mkdir()
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        self.command = deploy["run"]
        self.listener: socket.socket | None = None
        if holds_socket:
            self.listener = socket.create_server((LOCAL, 0), backlog=128)
            self.port = self.listener.getsockname()[1]
        else:
            self.port = free_port()
        self.processes: list[asyncio.subprocess.Process] = []
        self.starts = 0

    def config(self, management: int, known: dict[str, Any] | None) -> dict[str, Any]:
        more = {"management": f"{LOCAL}:{management}"} if management else {}
        return {
            "name": "n3",
            "listen": f"{LOCAL}:{self.port}",
            "discovery": f"{LOCAL}:{self.discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "known": known or self.discovery.list_object(),
            "settings": self.values,
        } | more

    async def start(
        self, management: int = 0, known: dict[str, Any] | None = None
    ) -> asyncio.subprocess.Process:
        """Starts a process and waits until it is ready for clients; `known` is the list that it is given."""
        self.starts += 1
        config_file = self.folder / f"config-{self.starts}.json"
        config_file.write_text(json.dumps(self.config(management, known)))
        environment = dict(os.environ) | {
            "BALANCER_NAME": "n3",
            "BALANCER_LISTEN": f"{LOCAL}:{self.port}",
            "BALANCER_DISCOVERY": f"{LOCAL}:{self.discovery.port}",
            "BALANCER_STATE": str(self.state),
            "BALANCER_CONFIG": str(config_file),
            "TMPDIR": str(self.folder),
        }
        if management:
            environment["BALANCER_MANAGEMENT"] = f"{LOCAL}:{management}"
        inherited: tuple[int, ...] = ()
        if self.listener:
            environment["BALANCER_SOCKET_FD"] = str(self.listener.fileno())
            inherited = (self.listener.fileno(),)
        with open(self.folder / "log.txt", "ab") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", self.command,
                cwd=ROOT, env=environment, stdout=log, stderr=log, pass_fds=inherited,
            )  # fmt: skip
        self.processes.append(process)
        self.record.add(f"platform starts process {self.starts}")
        limit = time.monotonic() + SENDER_START_LIMIT_S
        while time.monotonic() < limit:
            if process.returncode is not None:
                raise CouldNotRunError(f"the sender ended: {self.log()}")
            if management and await get_status(management, "/healthcheck") == 200:
                self.record.add(f"process {self.starts} says yes")
                return process
            if not management and await get_status(self.port, "/health/ready") == 200:
                self.record.add(f"process {self.starts} is ready")
                return process
            await asyncio.sleep(0.05)
        raise CouldNotRunError("the sender was not ready within 30 s")

    def log(self) -> str:
        return (self.folder / "log.txt").read_text(errors="replace")

    async def send_signal(self, process: asyncio.subprocess.Process, number: signal.Signals) -> None:
        self.record.add(f"{number.name} to process {self.processes.index(process) + 1}")
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(number)

    async def close(self) -> None:
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
        if self.listener:
            self.listener.close()
        if os.environ.get("KEEP"):
            print(self.log(), file=sys.stderr)
        shutil.rmtree(self.folder, ignore_errors=True)


async def get_status(port: int, path: str, method: str = "GET") -> int:
    """Returns the status of a call without a body; 0 if there is no answer."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(LOCAL, port)
            try:
                writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
                return int((await reader.readline()).split()[1])
            finally:
                writer.close()
    except (OSError, IndexError, ValueError):
        return 0


class Client:
    """Hands in messages, each on a connection of its own, and waits 400 ms for the answer."""

    def __init__(self, record: Record, port: int) -> None:
        self.record, self.port = record, port
        self.number = 0
        self.taken: dict[str, float] = {}  # id: when the message's time is up
        self.taken_at: dict[str, float] = {}

    async def hand_in(
        self, dest: int, time_left_s: float, key: str = "", body: bytes = b"start", **more: str
    ) -> tuple[str, int]:
        """Returns the message's id and the status of the answer; 0 for none."""
        self.number += 1
        message = f"{self.number:016x}"
        head = {
            "Host": "app.svc",
            "X-Correlation-Id": message,
            "X-Service-Class": more.get("service", "session-command"),
            "X-Account": "rhone-fleet",
            "X-Session-Key": key,
            "X-Time-Left": f"{time_left_s:.3f}",
            "Idempotency-Key": f"{self.number:032x}",
            "Content-Length": str(len(body)),
            "X-Route-To": f"dest={dest}",
        }
        lines = "".join(f"{name}: {value}\r\n" for name, value in head.items() if value)
        request = f"POST /{head['X-Service-Class']} HTTP/1.1\r\n{lines}\r\n".encode() + body
        sent_at = self.record.now()
        self.record.add(f"client hands in {message} dest {dest} key {key or '-'} time left {time_left_s} s")
        status = 0
        try:
            async with asyncio.timeout(CLIENT_PATIENCE_S):
                reader, writer = await asyncio.open_connection(LOCAL, self.port)
                try:
                    writer.write(request)
                    status = int((await reader.readline()).split()[1])
                finally:
                    writer.close()
        except (OSError, IndexError, ValueError):
            pass
        self.record.add(f"client is answered {status} for {message}")
        if status in (200, 202):
            self.taken[message] = sent_at + time_left_s
            self.taken_at[message] = self.record.now()
        return message, status


def run_case(folder: Path, play: Callable[[Record, bool], Awaitable[int]], limit_s: float = 110.0) -> None:
    """Plays a case and exits with its result; TROUBLE=0 plays it without the disruption."""
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def bounded() -> int:
        async with asyncio.timeout(limit_s):
            return await play(record, has_trouble)

    try:
        result = asyncio.run(bounded())
        sys.unraisablehook = lambda _: None  # transports that outlive the loop
    except (CouldNotRunError, TimeoutError, OSError) as error:
        record.add(f"the case could not run: {error!r}")
        result = NOT_RUN
    record.add(f"result {result}")
    record.write()
    print(record.lines[-2] if len(record.lines) > 1 else "", result)
    sys.exit(result)
