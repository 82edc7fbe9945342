"""Stand-ins for the platform, the receivers and the clients of one sender, and the record of what passed.

Written from the operators' pages. Everything listens on loopback addresses with free ports. One `Lab` runs
one sender with the `run` command of the deploy file and records each request, answer, call and notice.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
SLACK_S = 0.35  # a notice may come 300 ms after the message's time is up; each limit is 50 ms longer
READY_SLACK_S = 1.5  # no notice is overdue until so long after a restarted sender is ready again
CLIENT_WAIT_S = 0.4  # a client waits so long for its answer


def free_port() -> int:
    """Returns a port that nothing listens on, outside the range of the ports that clients get."""
    while True:
        port = random.randrange(12_000, 32_000)
        with contextlib.suppress(OSError), socket.create_server((HOST, port)):
            return port


@dataclass
class Sent:
    """A message that a client has handed in.

    Attributes:
        id: Its correlation id.
        dest: Its destination.
        message_class: Its class.
        key: Its session key; empty for none.
        sent_at: When its first byte was written by the client.
        until: When its time is up.
        answer: The status that the client has heard; 0 for none.
        closed_unanswered: The sender ended the connection without an answer.
        calls: Its calls: when the last byte came, the receiver, the zone and what came back.
        delivered_at: When a first line with 200 was written for it; None if it was not.
        notices: Its notices: when and which state.
        idempotency_key: Its key for repeats, kept when it is handed in again; empty: made from its id.
    """

    id: str
    dest: int
    message_class: str
    key: str
    sent_at: float
    until: float
    answer: int = 0
    closed_unanswered: bool = False
    calls: list[dict[str, Any]] = field(default_factory=list)
    delivered_at: float | None = None
    notices: list[tuple[float, str]] = field(default_factory=list)
    idempotency_key: str = ""


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self) -> None:
        """Starts the record's clock."""
        self.began = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self.began

    def add(self, text: str) -> None:
        """Adds a line."""
        self.lines.append(f"{self.now():9.4f} {text}")


Plan = Callable[["Call"], Awaitable[None]]


class Call:
    """One call at a receiver: the request, and the means to answer it."""

    def __init__(
        self,
        receiver: "Receiver",
        head: dict[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Wraps a complete request."""
        self.receiver, self.head, self.reader, self.writer = receiver, head, reader, writer
        self.id = head.get("x-correlation-id", "")
        self.entry: dict[str, Any] = {
            "at": receiver.lab.record.now(),
            "receiver": receiver.name,
            "zone": receiver.zone,
            "outcome": "open",
        }

    def write(self, data: bytes, outcome: str) -> None:
        """Writes raw bytes, and notes what they mean."""
        lab, message = self.receiver.lab, self.receiver.lab.messages.get(self.id)
        self.entry["outcome"] = outcome
        if outcome == "200" and message and message.delivered_at is None and not self.writer.is_closing():
            message.delivered_at = lab.record.now()
        lab.record.add(f"answered {self.id} {self.receiver.name} {outcome}")
        self.writer.write(data)

    def answer(self, status: int, extra: str = "", body: bytes = b"") -> None:
        """Answers with a status line, headers and a body."""
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{extra}\r\n"
        self.write(head.encode() + body, str(status))

    def reset(self) -> None:
        """Breaks the connection."""
        self.entry["outcome"] = "reset"
        self.receiver.lab.record.add(f"reset {self.id} {self.receiver.name}")
        self.writer.transport.abort()


async def read_request(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Reads one request: its first line, its headers by lower-case name, and its body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return head[0], headers, body


class Receiver:
    """A receiver: takes calls on kept connections, and lets its plan answer each."""

    def __init__(
        self, lab: "Lab", name: str, dest: int, zone: str, plan: Plan, kind: str = "small-operator"
    ) -> None:
        """Creates a receiver that does not listen yet."""
        self.lab, self.name, self.dest, self.zone, self.plan, self.kind = lab, name, dest, zone, plan, kind
        self.port = 0
        self.state = "ready"
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listens on its port, or on a free one."""
        self.port = self.port or free_port()
        self.server = await asyncio.start_server(self.serve, HOST, self.port)

    def entry(self) -> dict[str, Any]:
        """The receiver's entry in discovery's list."""
        return {
            "host": self.name, "dial": f"{HOST}:{self.port}", "site": self.zone, "class": self.kind,
            "block": self.dest, "health": self.state, "share": 50.0, "born_ms": 0,
        }  # fmt: skip

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection until it ends."""
        self.writers.add(writer)
        try:
            while True:
                first, head, body = await read_request(reader)
                call = Call(self, head, reader, writer)
                self.lab.called(call, first, body)
                await self.plan(call)
                if writer.is_closing():
                    return
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


class Platform:
    """Discovery, with the list, watches and notices."""

    def __init__(self, lab: "Lab") -> None:
        """Creates a platform at sequence number 1."""
        self.lab = lab
        self.seq = 1
        self.changed = asyncio.Condition()
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.port = 0
        self.notice_plan: Callable[[bytes], Awaitable[bool]] | None = None

    async def start(self) -> None:
        """Listens on a free port."""
        self.port = free_port()
        self.server = await asyncio.start_server(self.serve, HOST, self.port)

    def whole(self) -> dict[str, Any]:
        """The whole list."""
        hosts = [each.entry() for each in self.lab.receivers.values() if each.state != "gone"]
        return {"seq": self.seq, "whole": True, "hosts": hosts}

    async def change(self, receiver: Receiver, state: str) -> None:
        """Changes the state of a receiver on the list."""
        receiver.state = state
        async with self.changed:
            self.seq += 1
            self.changes.append((self.seq, receiver.entry()))
            self.changed.notify_all()
        self.lab.record.add(f"listed {receiver.name} {state}")

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection until it ends."""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                first, _, body = await read_request(reader)
                target = first.split(" ")[1]
                if target == "/v1/notices":
                    await self.take_notices(writer, body)
                elif "watch=1" in target:
                    await self.watch(writer, int(target.rpartition("after=")[2]))
                else:
                    data = json.dumps(self.whole()).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(data) + data)
                await writer.drain()
        writer.transport.abort()

    async def take_notices(self, writer: asyncio.StreamWriter, body: bytes) -> None:
        """Records the notices of a request, and answers it at once."""
        for line in body.splitlines():
            fields = json.loads(line)
            self.lab.noticed(fields["id"], fields["state"])
        if self.notice_plan and not await self.notice_plan(body):
            return
        writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")

    async def watch(self, writer: asyncio.StreamWriter, after: int) -> None:
        """Writes the changes after a version, then each further one, and an empty line every 2 s."""
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

        def chunk(data: bytes) -> None:
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))

        while not writer.is_closing():
            if after < self.seq:
                entries = {each["host"]: each for seq, each in self.changes if seq > after}
                after = self.seq
                line = {"seq": after, "whole": False, "hosts": list(entries.values())}
                chunk(json.dumps(line).encode() + b"\n")
            try:
                async with asyncio.timeout(2.0), self.changed:
                    while after >= self.seq:
                        await self.changed.wait()
            except TimeoutError:
                chunk(b"\n")
            await writer.drain()


def service(name: str, semantics: str, **values: Any) -> dict[str, Any]:  # noqa: ANN401
    """A class of messages, as the settings state it."""
    base = {
        "aim": 4_000_000, "credit": 1.0, "deadline": 12_000_000, "dedup_window": 5_000_000,
        "key_scope": "zone", "late_worth": 0.3, "name": name, "semantics": semantics,
        "serial_by_key": False, "stream": False,
    }  # fmt: skip
    return base | values


def settings(services: list[dict[str, Any]], **limits: Any) -> dict[str, Any]:  # noqa: ANN401
    """The settings of a small deployment, with the figures of the protocol pages' example."""
    return {
        "callers": {"marks_retry": True},
        "customers": [{"name": "rhone-fleet", "quota_per_s": 300.0, "share": 1.0}],
        "family": "deliver",
        "fleet_size": 3,
        "limits": {
            "attempts_cap": 6, "cancelling": True, "conn_idle": 10_000_000, "connect_timeout": 1_500_000,
            "cpu_us_per_request": 0.0, "cpu_us_per_s": 500_000, "max_open": 65, "max_retry_after": 2_000_000,
            "peers": False, "probes": False, "retry_after": False, "second_copies": False,
            "streams_per_conn": 1,
        } | limits,
        "locality": "hall-b",
        "membership_mode": "on_request",
        "models": ["roaming-hub", "small-operator"],
        "my_number": 0,
        "over_share_worth": 0.1,
        "prices": {},
        "report": {"columns": [], "via": "none"},
        "safety": {
            "answer_slack": 20_000, "ask_within": 10_000_000, "cold": 13_000_000, "cold_from": 0.2,
            "drain_grace": 500_000, "fall_multiple": 2.0, "key_quiet": 100_000, "overload_for": 1_500_000,
        },
        "score_parts": {"whole": 0.6, "worst_class": 0.0, "worst_tenant": 0.1, "worst_window": 0.3},
        "services": services,
        "specifics": {
            "batch_by_kind": [1, 1], "loses_worth": "halves", "own_limits": [True, False], "slots": 8,
            "turned_away_price": 0.0, "zone_fee": [0.0, 0.05, 0.02],
        },
        "stage": 0, "tick": 5000, "tiers": ["operator-backends"], "value_by": "request",
        "weight_kind": "nominal", "zones": ["hall-a", "hall-b", "hall-c"],
    }  # fmt: skip


class Lab:
    """One sender with its platform, receivers and clients."""

    def __init__(
        self, values: dict[str, Any], disk_mb: float = 3, memory_mb: int = 192, sockets: int = 1024
    ) -> None:
        """Creates a lab without processes."""
        self.values = values
        self.limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets, "disk_mb": disk_mb}
        self.record = Record()
        self.messages: dict[str, Sent] = {}
        self.receivers: dict[str, Receiver] = {}
        self.platform = Platform(self)
        self.folder = tempfile.TemporaryDirectory()
        self.port = free_port()
        self.processes: list[asyncio.subprocess.Process] = []
        self.process: asyncio.subprocess.Process | None = None
        self.outages: list[tuple[float, float]] = []  # from the signal of a restart to 1.5 s after ready
        self.faults: list[str] = []
        self.expected_ends: set[int] = set()
        self.counter = 0
        self.clients: list[asyncio.Task[None]] = []
        self.listener: socket.socket | None = None
        self.management = 0
        self.starts = 0
        self.on_notice: Callable[[Sent, str], None] = lambda _message, _state: None

    # What came in.

    def called(self, call: Call, first: str, body: bytes) -> None:
        """Records a complete call, and checks that somebody sent it to this destination."""
        message = self.messages.get(call.id)
        self.record.add(f"called {call.id} {call.receiver.name} left={call.head.get('x-time-left')}")
        if not first.startswith("POST /hook ") or message is None:
            self.faults.append(
                f"foreign: {call.receiver.name} got a call that nobody sent: {first} {call.id}"
            )
            return
        if message.dest != call.receiver.dest or body != body_of(message.id):
            self.faults.append(f"foreign: {call.receiver.name} got {call.id} of destination {message.dest}")
        message.calls.append(call.entry)

    def noticed(self, message_id: str, state: str) -> None:
        """Records a notice."""
        self.record.add(f"notice {message_id} {state}")
        if message := self.messages.get(message_id):
            message.notices.append((self.record.now(), state))
            self.on_notice(message, state)

    # The sender.

    def write_config(self, known: dict[str, Any] | None = None) -> Path:
        """Writes the configuration file as a platform would; `known`: None for the present list."""
        path = Path(self.folder.name) / "config.json"
        config = {
            "name": "n0", "listen": f"{HOST}:{self.port}", "discovery": f"{HOST}:{self.platform.port}",
            "seed": "8c1f30d27a5be964", "limits": self.limits, "known": known or self.platform.whole(),
            "settings": self.values,
        }  # fmt: skip
        if self.management:
            config["management"] = f"{HOST}:{self.management}"
        new = path.with_suffix(".new")
        new.write_text(json.dumps(config))
        new.replace(path)
        return path

    async def start_sender(self, known: dict[str, Any] | None = None) -> None:
        """Starts `run`, and waits until the sender says that it is ready; `known`: see `write_config`."""
        state = Path(self.folder.name) / "state"
        state.mkdir(exist_ok=True)
        scratch = Path(self.folder.name) / f"tmp{self.starts}"
        scratch.mkdir()
        self.starts += 1
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = os.environ | {
            "BALANCER_NAME": "n0",
            "BALANCER_LISTEN": f"{HOST}:{self.port}",
            "BALANCER_DISCOVERY": f"{HOST}:{self.platform.port}",
            "BALANCER_STATE": str(state),
            "BALANCER_CONFIG": str(self.write_config(known)),
            "TMPDIR": str(scratch),
        }
        if self.listener:
            environment["BALANCER_SOCKET_FD"] = str(self.listener.fileno())
        log = (Path(self.folder.name) / "sender.log").open("ab")
        began = self.record.now()
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=log, stderr=log,
            pass_fds=(self.listener.fileno(),) if self.listener else (),
        )  # fmt: skip
        self.processes.append(self.process)
        while not await self.is_ready():
            if self.process.returncode is not None or self.record.now() - began > 30:
                self.faults.append(f"crash: the sender was not ready: exit={self.process.returncode}")
                raise RuntimeError("the sender does not start")
            await asyncio.sleep(0.02)
        self.record.add(f"ready {self.process.pid}")

    async def is_ready(self) -> bool:
        """Asks the sender whether it is ready."""
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.transport.abort()
                return line.startswith(b"HTTP/1.1 200")
        return False

    def signal(self, number: int, process: asyncio.subprocess.Process | None = None) -> None:
        """Sends a signal to the sender, which may then end."""
        process = process or self.process
        assert process is not None
        self.record.add(f"signal {signal.Signals(number).name} {process.pid}")
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.expected_ends.add(process.pid)
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(number)

    async def restart(self, gently: bool = False) -> None:
        """Restarts the sender as the platform does: with SIGKILL alone, or with SIGTERM before it."""
        assert self.process is not None
        began = self.record.now()
        if gently:
            self.signal(signal.SIGTERM)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(3.7):
                    await self.process.wait()
            await asyncio.sleep(max(0.0, began + 3.7 - self.record.now()))
        if self.process.returncode is None:
            self.signal(signal.SIGKILL)
        await self.process.wait()
        await asyncio.sleep(0.6)
        await self.start_sender()
        self.outages.append((began, self.record.now() + READY_SLACK_S))

    # Clients.

    def add_message(self, message_class: str, dest: int, time_left: float, key: str = "") -> Sent:
        """Creates a message that is about to be handed in."""
        self.counter += 1
        message_id = f"{self.counter:016x}"
        now = self.record.now()
        sent = Sent(message_id, dest, message_class, key, now, now + time_left)
        self.messages[message_id] = sent
        return sent

    def request_of(self, sent: Sent, time_left: float) -> bytes:
        """The request that hands a message in."""
        body = body_of(sent.id)
        lines = [
            f"POST /{sent.message_class} HTTP/1.1", "Host: app.svc", f"X-Correlation-Id: {sent.id}",
            f"X-Service-Class: {sent.message_class}", "X-Account: rhone-fleet",
            f"X-Time-Left: {time_left:.3f}", f"Idempotency-Key: {sent.idempotency_key or sent.id * 2}",
            f"Content-Length: {len(body)}", f"X-Route-To: dest={sent.dest}",
        ]  # fmt: skip
        if sent.key:
            lines.append(f"X-Session-Key: {sent.key}")
        if sent.idempotency_key:
            lines.append("X-Repeat: 1")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    async def hand_in(
        self,
        client: "Client",
        message_class: str,
        dest: int,
        time_left: float,
        key: str = "",
        idempotency_key: str = "",
    ) -> Sent:
        """Hands a message in on a client's connection, and waits for its answer as a client does."""
        sent = self.add_message(message_class, dest, time_left, key)
        sent.idempotency_key = idempotency_key
        data = self.request_of(sent, time_left)
        self.record.add(
            f"handed in {sent.id} class={message_class} dest={dest} left={time_left:.3f} key={key}"
        )
        await client.exchange(sent, data)
        self.record.add(f"client heard {sent.id} {sent.answer or 'nothing'}")
        return sent

    # The check.

    def excused(self, at: float) -> float:
        """When a notice that is due at a time is overdue, as restarts move that."""
        for began, ended in self.outages:
            if began <= at <= ended:
                at = ended
        return at

    def lost(self, message: Sent) -> str:
        """Says why a message is lost; empty if it is not."""
        if message.closed_unanswered:
            is_excused = self.excused(message.sent_at) != message.sent_at
            return "" if is_excused else "the client's connection ended with no answer"
        if not 200 <= message.answer < 300 or message.delivered_at is not None:
            return ""
        due = self.excused(message.until + SLACK_S)
        if self.record.now() < due:
            return ""
        if not message.notices:
            return "taken on, neither delivered nor ended by a notice"
        return "" if message.notices[0][0] <= due else "its notice came too late"

    def check_ends(self) -> None:
        """Adds a fault for each sender process that has ended without a signal."""
        for process in self.processes:
            if process.returncode is not None and process.pid not in self.expected_ends:
                self.faults.append(f"crash: process {process.pid} ended with {process.returncode}")

    def log_text(self) -> str:
        """The sender's log."""
        path = Path(self.folder.name) / "sender.log"
        return path.read_text(errors="replace") if path.exists() else ""

    async def close(self) -> None:
        """Ends all processes and removes the folder."""
        asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
        for task in self.clients:
            task.cancel()
        self.check_ends()
        for process in self.processes:
            if process.returncode is None:
                process.kill()
                await process.wait()
        if self.listener:
            self.listener.close()
        self.log = self.log_text()
        self.folder.cleanup()


def body_of(message_id: str) -> bytes:
    """The body of a message."""
    return (message_id * 12).encode()


class Client:
    """A client's kept connection: one request at a time, sent once more if it crossed the sender's close."""

    def __init__(self, lab: Lab) -> None:
        """Creates a client without a connection."""
        self.lab = lab
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.answers = 0

    async def exchange(self, sent: Sent, data: bytes) -> None:
        """Sends a request and reads its answer; a kept connection that the sender closed is replaced once."""
        try:
            async with asyncio.timeout(CLIENT_WAIT_S):
                if self.writer and self.answers and await self.try_once(sent, data):
                    return
                self.close()
                self.reader, self.writer = await asyncio.open_connection(HOST, self.lab.port)
                if not await self.try_once(sent, data):
                    sent.closed_unanswered = True
                    self.close()
        except TimeoutError:
            self.close()
        except OSError:
            self.close()

    async def try_once(self, sent: Sent, data: bytes) -> bool:
        """Sends a request; returns whether it was answered, False if the connection ended instead."""
        assert self.reader and self.writer
        try:
            self.writer.write(data)
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            length = int(head.partition("content-length: ")[2].partition("\r\n")[0] or 0)
            await self.reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return False
        sent.answer = int(head.split(" ")[1])
        self.answers += 1
        if "connection: close" in head:
            self.close()
        return True

    def close(self) -> None:
        """Closes the connection."""
        if self.writer:
            self.writer.transport.abort()
        self.reader = self.writer = None
        self.answers = 0


def trouble() -> bool:
    """Whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(case: Callable[[], Awaitable[tuple[Lab, list[str]]]], folder: Path) -> int:
    """Runs a case: returns 1 if the rule was broken, 0 if it held, 2 if the case could not run.

    Args:
        case: Plays the day; returns the lab, closed, and what broke the rule, a line each.
        folder: The case's folder, which gets `record.txt`.
    """

    async def limited() -> tuple[Lab, list[str]]:
        async with asyncio.timeout(110):
            return await case()

    try:
        lab, breaks = asyncio.run(limited())
    except Exception as error:  # the boundary of the script: whatever stopped it, the case could not run
        print(f"the case could not run: {error!r}")
        return 2
    verdict = [f"BROKEN {line}" for line in breaks] or ["HELD"]
    heard = sum(200 <= each.answer < 300 for each in lab.messages.values())
    delivered = sum(each.delivered_at is not None for each in lab.messages.values())
    verdict.append(f"messages={len(lab.messages)} taken_on={heard} delivered={delivered}")
    text = "\n".join([*lab.record.lines, *verdict, "", "the sender's log:", lab.log])
    (folder / "record.txt").write_text(text)
    print("\n".join(verdict))
    return 1 if breaks else 0
