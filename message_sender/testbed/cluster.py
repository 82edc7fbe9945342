"""A proving ground: N real processes of the sender on loopback, and faults between them.

Each process has a disk that forgets (testbed/simulated_disk.py), a clock and a boot of its own
(testbed/member.py); all that they say to one another goes through a relay, which loses, delays, doubles and
splits as it is told. Faults are data (`Fault`), drawn from a seed or read from a file; the referee judges the
whole fleet by what the receivers and clients saw.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import sys
import threading
import time
import tomllib
from collections import defaultdict
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, ClassVar, Self

from message_sender.control_socket import send_request
from message_sender.testbed import simulated_disk
from message_sender.testbed.history import (
    History,
    MessageAdmitted,
    MessageCompleted,
    SenderRestarted,
    most_in,
)
from message_sender.testbed.history_checker import HistoryChecker, Rules, Violation
from message_sender.testbed.http import HttpClient, HttpEndpoint
from message_sender.testbed.script import EndpointBehavior, Script, ScriptedAnswer

PATIENCE = 30.0  # s that a step may take before the run is a failure
HOST = "127.0.0.1"


@dataclass(frozen=True, slots=True)
class Fault:
    """One thing that happens. `who`: names of members, none for all; `more`: its own figures."""

    at: float  # s
    do: str  # a method of the cluster or of its relay
    who: tuple[str, ...] = ()
    more: tuple[tuple[str, Any], ...] = ()


def faults(path: Path) -> list[Fault]:
    """The faults of a scenario file: a list of tables with `at`, `do`, `who` and what else a fault takes."""
    found = []
    for told in tomllib.loads(path.read_text())["faults"]:
        at, do, who = told.pop("at"), told.pop("do"), tuple(told.pop("who", ()))
        found.append(Fault(at, do, who, tuple(sorted(told.items()))))
    return sorted(found, key=lambda each: each.at)


class Relay:
    """Every datagram between members. A member is known by the port that it sends from, and called at a port
    of the relay's own, which it tells others in place of its own."""

    promised: ClassVar[set[int]] = set()  # to members, who bind them as they start

    def __init__(self, seed: int = 0) -> None:
        self.rng = random.Random(f"relay {seed}")
        self.loss = self.delay = self.double = 0.0  # shares, and s
        self.sides: tuple[frozenset[str], ...] = ()  # whom a split keeps together; none: everybody
        self.deaf: set[tuple[str, str]] = set()  # pairs (from, to) that one way only does not work for
        self.ports: dict[str, int] = {}  # of each member's own
        self.names: dict[int, str] = {}
        self.public: dict[str, asyncio.DatagramTransport] = {}
        self.timers: set[asyncio.TimerHandle] = set()

    async def add(self, name: str) -> tuple[int, int]:
        """The member's own port, and the one that it tells others."""
        own = self.own_port()
        loop = asyncio.get_running_loop()
        while True:
            transport, _ = await loop.create_datagram_endpoint(
                lambda: RelayPort(self, name), local_addr=(HOST, 0)
            )
            public = int(transport.get_extra_info("sockname")[1])
            if public not in self.promised:
                break
            transport.close()  # a member of some cluster will bind it
        self.ports[name], self.names[own], self.public[name] = own, name, transport
        return own, public

    def own_port(self) -> int:
        """A free one, which no member of any cluster of this process was told."""
        while True:
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
                probe.bind((HOST, 0))
                own = int(probe.getsockname()[1])
            if own not in self.promised:
                self.promised.add(own)
                return own

    def received(self, to: str, data: bytes, source: int) -> None:
        by = self.names.get(source, "")
        apart = self.sides and not any({by, to} <= side for side in self.sides)
        if apart or (by, to) in self.deaf or self.rng.random() < self.loss:
            return
        for _ in range(1 + (self.rng.random() < self.double)):
            later = self.rng.uniform(0, self.delay)
            if later:
                loop = asyncio.get_running_loop()
                self.timers.add(loop.call_later(later, self.forward, to, data, by))
            else:
                self.forward(to, data, by)

    def forward(self, to: str, data: bytes, by: str) -> None:
        """It comes from where its sender is called, so that it can be answered there."""
        source = self.public.get(by, self.public[to])
        if not source.is_closing():
            source.sendto(data, (HOST, self.ports[to]))

    def split(self, *sides: str) -> None:
        """Each side: its members' names, with blanks between."""
        self.sides = tuple(frozenset(side.split()) for side in sides)

    def heal(self) -> None:
        self.sides, self.deaf, self.loss, self.delay, self.double = (), set(), 0.0, 0.0, 0.0

    def close(self) -> None:
        for timer in self.timers:
            timer.cancel()
        for each in self.public.values():
            each.close()


class RelayPort(asyncio.DatagramProtocol):
    def __init__(self, relay: Relay, name: str) -> None:
        self.relay, self.name = relay, name

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        self.relay.received(self.name, data, addr[1])


class ReceiverStub(HttpEndpoint):
    """A receiver that may be down, and that turns away what comes above its limit, by the second."""

    def __init__(self, name: str, history: History, rate: float) -> None:
        super().__init__(name, Script(rule=self.rule), history)
        self.rate, self.takes = rate, 0.0  # s that a call takes
        self.fails = 0.0  # s after which every call is answered as failed
        self.wait = 0.0  # s that every call is told to wait, refused
        self.calls: list[float] = []  # when each call came
        self.refused = 0
        self.ran: dict[str, list[float]] = defaultdict(list)
        self.seen: set[str] = set()
        self.again: list[float] = []  # when a message came that had come before

    def rule(self, message: str) -> ScriptedAnswer | None:
        now = time.monotonic()
        self.calls.append(now)
        if message in self.seen:
            self.again.append(now)
        self.seen.add(message)
        if self.fails:
            return ScriptedAnswer(EndpointBehavior.ERROR, self.fails)
        if self.wait:
            return ScriptedAnswer(EndpointBehavior.FULL, self.wait)
        lately = sum(1 for each in self.calls[-int(self.rate * 2 + 10) :] if each > now - 1.0)
        if lately > self.rate:
            self.refused += 1
            return ScriptedAnswer(EndpointBehavior.FULL)
        self.ran[message].append(now)
        return ScriptedAnswer(EndpointBehavior.SERVE, self.takes) if self.takes else None

    def most_in(self, span: float) -> int:
        """The most calls in any such span, s."""
        return most_in(self.calls, span)

    def listed(self) -> str:
        """As it stands in a configuration: the only endpoint of destination 1."""
        told = {
            "id": self.name,
            "zone": "a",
            "destination": 1,
            "dial": f"{HOST}:{self.port}",
            "rate": self.rate,
        }
        return "\n".join(["[[endpoints]]", *(f"{key} = {json.dumps(value)}" for key, value in told.items())])


class ThreadedReceiverStub(ReceiverStub):
    """On a thread and a loop of its own: what else this process does makes no call late."""

    def there(self, work: Coroutine[Any, Any, Any]) -> asyncio.Future[Any]:
        return asyncio.wrap_future(asyncio.run_coroutine_threadsafe(work, self.loop))

    async def __aenter__(self) -> Self:
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.thread.start()
        await self.there(super().__aenter__())
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.there(super().__aexit__())
        self.loop.call_soon_threadsafe(self.loop.stop)
        await asyncio.to_thread(self.thread.join)
        self.loop.close()


@dataclass
class Member:
    name: str
    folder: Path
    own: int = 0  # ports of its link
    public: int = 0
    boots: int = 1
    port: int = 0
    clock: float = 0.0  # s that its wall clock is ahead at its next start
    fault: str = ""
    slow: float = 0.0
    durable: dict[str, bytes] = field(default_factory=dict)
    ended: float | None = None  # when its process was killed, on the history's clock
    pid: int | None = None
    starts: int = 0
    log: list[str] = field(default_factory=list)
    reader: asyncio.Task[None] | None = None

    @property
    def state(self) -> Path:
        return self.folder / "state"

    @property
    def alive(self) -> bool:
        return self.pid is not None and self.reader is not None and not self.reader.done()


class MemberFactory:
    """Makes members (testbed/member.py); several clusters may share one."""

    async def __aenter__(self) -> Self:
        words = [sys.executable, "-m", "message_sender.testbed.member"]
        pipe = asyncio.subprocess.PIPE
        self.process = await asyncio.create_subprocess_exec(*words, stdin=pipe, stdout=pipe)
        self.lock = asyncio.Lock()
        return self

    async def __aexit__(self, *_: object) -> None:
        assert self.process.stdin
        self.process.stdin.close()
        await self.process.wait()

    async def ask(self, request: dict[str, Any]) -> int:
        assert self.process.stdin and self.process.stdout
        async with self.lock, asyncio.timeout(PATIENCE):
            self.process.stdin.write(json.dumps(request).encode() + b"\n")
            return int(await self.process.stdout.readline())


class Cluster:
    def __init__(
        self,
        folder: Path,
        size: int = 5,
        seed: int = 0,
        sync: str = "group",
        link: bool = True,
        more: str = "",
        nursery: MemberFactory | None = None,
    ) -> None:
        """`more`: what else stands in each member's configuration, its classes and endpoints above all."""
        self.sync, self.link, self.more = sync, link, more
        self.rng, self.relay = random.Random(f"cluster {seed}"), Relay(seed)
        self.history = History()
        self.members = {f"n{number}": Member(f"n{number}", folder / f"n{number}") for number in range(size)}
        self.key = base64.b64encode(random.Random(f"key {seed}").randbytes(32)).decode()
        self.accepted: dict[str, str] = {}  # by message: who answered 202
        self.clients: dict[str, HttpClient] = {}
        self.nursery, self.own_nursery = nursery or MemberFactory(), nursery is None

    async def __aenter__(self) -> Self:
        if self.own_nursery:
            await self.nursery.__aenter__()
        for each in self.members.values():
            each.state.mkdir(parents=True)
            each.own, each.public = await self.relay.add(each.name)
        for each in self.members.values():
            self.configure(each)
        return self

    async def __aexit__(self, *_: object) -> None:
        for client in self.clients.values():
            client.close()
        for each in self.members.values():
            await self.end(each)
        self.relay.close()
        if self.own_nursery:
            await self.nursery.__aexit__()

    async def end(self, member: Member) -> None:
        """Of the process; one that is not there has no end."""
        if member.pid is None:
            return
        self.signal(member, signal.SIGCONT)
        self.signal(member, signal.SIGKILL)
        await self.nursery.ask({"wait": member.pid})
        if member.reader:
            await member.reader
        member.pid, member.port = None, 0

    def configure(self, member: Member) -> None:
        key = member.folder / "fleet.key"
        key.write_text(self.key + "\n")
        key.chmod(0o600)
        lines = [
            f'name = "{member.name}"',
            f'listen = "{HOST}:0"',
            "",
            "[durability]",
            f'sync = "{self.sync}"',
        ]
        if self.link:
            seeds = [f"{HOST}:{x.public}" for x in self.members.values()][:2]
            lines += [
                "",
                "[fleet]",
                f'listen = "{HOST}:{member.own}"',
                f'advertise = "{HOST}:{member.public}"',
            ]
            lines += [f"seeds = {json.dumps(seeds)}", 'key_file = "fleet.key"', f"size = {len(self.members)}"]
        (member.folder / "config.toml").write_text("\n".join([*lines, self.more]) + "\n")

    def some(self, names: Iterable[str] = ()) -> list[Member]:
        return [self.members[name] for name in names] or list(self.members.values())

    # What happens to them.

    async def start(self, *names: str) -> None:
        await asyncio.gather(*(self.start_one(each) for each in self.some(names) if not each.alive))

    async def start_one(self, member: Member) -> None:
        folder = member.folder
        member.starts += 1
        # One for each: a late reader of the last one would take its lines.
        log_file = folder / f"log {member.starts}"
        told = {
            "config": str(folder / "config.toml"), "state": str(member.state), "answers": str(folder /
            "answers"), "ops": str(folder / "ops"), "boot": f"{member.boots}", "clock": member.clock,
            "fault": member.fault, "slow": member.slow, "log": str(log_file),
        }  # fmt: skip
        if member.pid is not None:  # it ended by itself
            await self.end(member)
        os.mkfifo(log_file)
        loop = asyncio.get_running_loop()
        lines, listening = asyncio.StreamReader(), loop.create_future()
        log = os.fdopen(os.open(log_file, os.O_RDONLY | os.O_NONBLOCK), "rb")
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), log)
        member.pid = await self.nursery.ask({"start": told})
        member.reader = asyncio.create_task(self.read(member, lines, listening))
        async with asyncio.timeout(PATIENCE):
            member.port = await listening
        await self.ask(member.name, {"do": "fleet"})
        if member.ended is not None:
            self.history.note(SenderRestarted(member.ended, member.name, self.history.clock()))
            member.ended = None
        self.clients.pop(member.name, None)

    async def read(self, member: Member, lines: asyncio.StreamReader, listening: asyncio.Future[int]) -> None:
        while line := (await lines.readline()).decode(errors="replace"):
            member.log.append(line.rstrip())
            if (found := re.search(r"ready on \S+:(\d+)", line)) and not listening.done():
                listening.set_result(int(found[1]))
        if not listening.done():
            listening.set_exception(RuntimeError(f"{member.name} did not start: {member.log[-5:]}"))

    def signal(self, member: Member, number: int) -> None:
        if member.pid is not None:  # it is there until it is waited for
            os.kill(member.pid, number)

    async def kill(self, *names: str) -> None:
        """The processes end; their machines go on."""
        members = [each for each in self.some(names) if each.pid is not None]
        for each in members:
            self.signal(each, signal.SIGKILL)
            each.port = 0  # from here on it may be another process's
        for each in members:
            await self.end(each)
            each.ended = self.history.clock()

    async def cut(self, *names: str, keeps: float | None = None) -> None:
        """The power goes: what was not synced is lost or not, as the seed says, or in this share."""
        await self.kill(*names)
        for each in self.some(names):
            seed = self.rng.randrange(2**32)
            each.durable = simulated_disk.cut(each.state, each.folder / "ops", each.durable, seed, keeps)
            each.boots += 1

    async def stop(self, *names: str) -> None:
        """They stand still."""
        for each in self.some(names):
            self.signal(each, signal.SIGSTOP)

    async def wake(self, *names: str) -> None:
        for each in self.some(names):
            self.signal(each, signal.SIGCONT)

    async def lose_disk(self, *names: str) -> None:
        for each in self.some(names):
            for file in each.state.iterdir():
                if file.is_file():
                    file.unlink()
            (each.folder / "ops").unlink(missing_ok=True)
            each.durable = {}

    async def run(self, plan: Iterable[Fault]) -> None:
        """Has these faults happen at their times from now on."""
        began = time.monotonic()
        for fault in sorted(plan, key=lambda each: each.at):
            await asyncio.sleep(max(began + fault.at - time.monotonic(), 0.0))
            owner: Any = self if hasattr(self, fault.do) else self.relay
            done = getattr(owner, fault.do)(*fault.who, **dict(fault.more))
            if isinstance(done, Awaitable):
                await done

    # Clients, who come again elsewhere.

    async def hand_in(
        self,
        name: str,
        kind: str,
        destination: int,
        left: float,
        key: str = "",
        to: Iterable[str] = (),
        tenant: str = "",
    ) -> str | None:
        """Who took it on; None: nobody did."""
        fields = {
            "X-Correlation-Id": name, "X-Service-Class": kind, "X-Time-Left": str(left),
            "X-Route-To": f"dest={destination}", "X-Session-Key": key, "Idempotency-Key": name,
            "X-Account": tenant,
        }  # fmt: skip
        for each in self.some(to):
            now = self.history.clock()
            if not each.port:
                continue  # it is down
            client = self.clients.setdefault(each.name, HttpClient((HOST, each.port)))
            try:
                async with asyncio.timeout(PATIENCE):
                    status, _ = await client.post(f"/{kind}", fields, b"x")
            except OSError:  # with no answer read, it may have been taken on there
                client.close()
                continue
            if status == 202:
                self.accepted[name] = each.name
                self.history.note(MessageAdmitted(now, name, kind, destination, now + left, key, each.name))
                return each.name
        return None

    def ends(self) -> list[dict[str, Any]]:
        """Every final answer that was told, one told twice alike once."""
        found: dict[tuple[str, str, str], dict[str, Any]] = {}
        for each in self.members.values():
            file = each.folder / "answers"
            for line in file.read_text().splitlines() if file.exists() else ():
                told = json.loads(line)
                found.setdefault((each.name, told["id"], told["state"]), told | {"by": each.name})
        return list(found.values())

    def judged(self, rules: Rules) -> list[Violation]:
        """Every rule over the whole fleet. The final answer is that of the sender that answered 202: another
        one that had the message on its disk without having said so ends it too, and nobody waits for that."""
        offset = self.history.clock() - time.time()
        for each in self.ends():
            if self.accepted.get(each["id"]) == each["by"]:
                self.history.note(MessageCompleted(each["at"] + offset, each["id"], each["state"]))
        return HistoryChecker(rules).judge(self.history.events)

    async def ask(self, name: str, request: dict[str, Any]) -> Any:  # noqa: ANN401
        """A member's answer over its control socket, which opens a moment after its door."""
        async with asyncio.timeout(PATIENCE):
            while True:
                try:
                    return send_request(self.members[name].state, request)["value"]
                except OSError:
                    await asyncio.sleep(0.02)

    async def until(self, is_so: Callable[[], bool], within: float = PATIENCE) -> None:
        async with asyncio.timeout(within):
            while not is_so():
                await asyncio.sleep(0.02)
