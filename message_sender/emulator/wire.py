"""A fleet over sockets in memory: the unchanged doors and transports too, between real bytes.

What `fleet.py` models at the ports is here what it is in service: the HTTP door and transport of the daemon,
on the network of `net.py`. Clients and destinations speak HTTP/1.1 by the lab's own reader. The same
scenarios, draws, referee and figures.
"""

import asyncio
import contextlib
import contextvars
import logging
import random
import tempfile
import warnings
from collections import defaultdict
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

from message_sender.core.hooks import EngineHooks
from message_sender.core.ports import AttemptResult
from message_sender.discovery.static import StaticEndpoint
from message_sender.emulator import fleet
from message_sender.emulator.fleet import ClientAttempt, Decide, ModelCompletionListener, Outcomes
from message_sender.emulator.isolation import sealed
from message_sender.emulator.net import HOST, REFUSED, SILENT, Net
from message_sender.emulator.receiver import Fate, Trouble
from message_sender.emulator.scenario import Scenario
from message_sender.emulator.simulated_run import EPOCH, RAN, SECOND
from message_sender.http.client import HttpTransport
from message_sender.message import Message
from message_sender.policy.dispatcher import Dispatcher
from message_sender.policy.model import Endpoint, Outcome
from message_sender.service.daemon import HttpSender
from message_sender.testbed import history as seen
from message_sender.testbed.history import EffectApplied
from message_sender.testbed.http import HttpClient, read_head

PORT = 80
SOCKETS = 1024  # descriptors that a sender may have
SEGMENT = 1460  # bytes that one write takes at most, as a TCP segment on Ethernet does
NOISE = b"\x00\x01 no answer\r\n\r\n"
REUSED = 0.5  # s for which a client keeps a connection


def answer(fate: Fate) -> bytes:
    """The protocol's words for a fate; none for one that has no answer."""
    match fate.outcome:
        case Outcome.OK:
            return b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        case Outcome.FULL if fate.wait:
            return f"HTTP/1.1 429 No\r\nContent-Length: 0\r\nRetry-After: {fate.wait:.3f}\r\n\r\n".encode()
        case Outcome.FULL:
            return b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"
        case Outcome.MALFORMED:
            return NOISE
        case Outcome.ERROR:
            return b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
        case _:
            return b""


class WireTransport:
    """The daemon's own, and a word to the world when a call is over for its sender."""

    def __init__(self, sender: "Sender", real: HttpTransport) -> None:
        self.sender, self.real = sender, real

    async def call(
        self, endpoint: str, message: Message, timeout: float, may_go: Callable[[], bool]
    ) -> AttemptResult:
        try:
            return await self.real.call(endpoint, message, timeout, may_go)
        finally:
            self.sender.world.given_up(message.id, endpoint)

    def __getattr__(self, name: str) -> Any:  # noqa: ANN401
        return getattr(self.real, name)


class Http(HttpSender):
    """The daemon's door and transport round an engine of this world."""

    def __init__(self, sender: "Sender") -> None:
        self.sender = sender
        super().__init__(sender.engine, (sender.name, PORT), SOCKETS)
        self.transport = WireTransport(sender, self.transport)  # type: ignore[assignment]

    def dial_addresses(self) -> dict[str, tuple[str, int]]:
        return self.sender.directory.dials()


class CallCounter(EngineHooks):
    """Counts the calls of one sender."""

    def __init__(self, world: fleet.World, name: str) -> None:
        """`name`: the sender's."""
        self.world = world
        self.name = name

    def attempt_finished(self, endpoint: str, outcome: Outcome) -> None:
        """A call has ended."""
        self.world.count_call(self.name, endpoint, outcome)


class Sender(fleet.Sender):
    def start(self) -> None:
        inside(self.name, super().start)
        inside(self.name, self.http.server.listen, self.name, PORT)
        self.http.server.is_ready = True

    def plug(self) -> None:
        taken = self.engine.journal.record_accepted

        def noted(message: Message) -> bool:
            written = taken(message)
            if written:
                self.world.note_taken(message, self)
            return written

        self.engine.journal.record_accepted = noted  # type: ignore[method-assign]
        self.engine.hooks.add(CallCounter(self.world, self.name))
        self.http = Http(self)
        self.http.plug(self.directory, ModelCompletionListener(self))

    def bury(self) -> None:
        super().bury()
        self.http.transport.unread.close()
        self.world.net.kill(self.name)

    def hear(self, places: Any, life: int) -> None:  # noqa: ANN401
        inside(self.name, super().hear, places, life)

    def end_heard(self, life: int, message: str) -> None:
        inside(self.name, super().end_heard, life, message)

    world: "World"


def inside(host: str, call: Callable[..., Any], *told: Any) -> None:  # noqa: ANN401
    """What it does from there on, and what follows from that, is that host's."""
    context = contextvars.copy_context()
    context.run(HOST.set, host)
    context.run(call, *told)


class World(fleet.World):
    def __init__(
        self, scenario: Scenario, seed: int, folder: Path, decide: Decide = Dispatcher, traced: bool = False
    ) -> None:
        super().__init__(scenario, seed, folder, decide, traced)
        self.rng = random.Random(seed)
        self.net = Net(self.time, self.way_of, SEGMENT)
        self.loop.virtual.net = self.net
        self.tasks: set[asyncio.Task[None]] = set()
        self.gone: dict[str, StaticEndpoint] = {}  # endpoints that drained: calls may still be there
        self.out: dict[tuple[str, str], int] = {}  # calls that senders wait for
        self.clients: dict[str, list[tuple[float, HttpClient]]] = defaultdict(list)
        self.zone_of = {each.name: each.zone for each in self.senders}

    def sender(self, number: int, folder: Path) -> fleet.Sender:
        return Sender(self, number, folder)

    def build(self) -> None:
        super().build()
        for name, each in self.places.items():
            self.places[name] = replace(each, dial=(name, PORT))

    def way_of(self, host: str, address: tuple[str, int], now: float) -> float:
        """Between a host and the one that listens at an address."""
        place = self.places.get(address[0])
        here = self.zone_of.get(host, "")
        if place is None:
            return self.way(self.rng.random())
        zone = place.endpoint.zone
        phase = self.receiver_of(place.endpoint).trouble(now, host, zone)
        if phase and phase.what in (Trouble.SHUT, Trouble.SILENT):
            return REFUSED if phase.what is Trouble.SHUT else SILENT
        return self.way(self.rng.random(), here, zone)

    # Destinations.

    def begin(self) -> None:
        self.spawn(self.open_all())

    def spawn(self, work: Any) -> None:  # noqa: ANN401
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.done)

    def done(self, task: "asyncio.Task[None]") -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            self.error = error
            self.loop.stop()

    async def open_all(self) -> None:
        for name in list(self.places):
            await self.open_endpoint(name)
        super().begin()

    async def open_endpoint(self, name: str) -> None:
        token = HOST.set(name)
        try:
            await asyncio.start_server(
                lambda reader, writer: self.connected(name, reader, writer), name, PORT
            )
        finally:
            HOST.reset(token)

    def stand_in(self, gone: list[Endpoint]) -> None:
        before = set(self.places)
        super().stand_in(gone)
        for name in set(self.places) - before:
            self.places[name] = replace(self.places[name], dial=(name, PORT))
            self.spawn(self.open_endpoint(name))

    async def connected(self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                _, fields = await read_head(reader)
                await reader.readexactly(int(fields.get("content-length", "0")))
                sender = writer.get_extra_info("peername")[0]
                if not await self.called(name, sender, fields["x-correlation-id"], reader, writer):
                    break
        except (asyncio.IncompleteReadError, OSError):
            pass
        writer.transport.abort()

    async def called(
        self,
        name: str,
        sender: str,
        message: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Whether the connection may be used again."""
        place = self.places.get(name) or self.gone[name]
        zone = place.endpoint.zone
        handed = Message(message, "", 0, 0, "", "", "", False, b"")
        if not self.remembers(handed):
            return False
        asked, attempt = self.attempt_of(handed)
        fate = self.receiver_of(place.endpoint).call(self.time(), sender, asked.luck(attempt), zone)
        call = self.history.record_start(message, name, sender)
        self.out[message, name] = call
        if fate.after is None:
            self.has_effect(asked)
        # One that closes meanwhile has given the call up, also where its last bytes were under way then.
        closes = asyncio.ensure_future(reader.read(1))
        await asyncio.wait({closes}, timeout=fate.after)
        early = closes.done()
        closes.cancel()
        await asyncio.wait({closes})  # lets go of the reader
        if early and fate.after is None:
            self.given_up(message, name)
            return False
        how = RAN[fate.outcome] if fate.connected and not early else EffectApplied.MAYBE
        self.arrived(fate.ran, asked, call, how, 0.0 if early else fate.wait)
        if early:
            return False
        data = answer(fate) if fate.connected else b""
        if data:
            writer.write(data)
        return bool(data) and data is not NOISE

    def given_up(self, message: str, endpoint: str) -> None:
        """A sender's call is over for it, also where the endpoint has not come to hear of that."""
        call = self.out.pop((message, endpoint), 0)
        if call and call not in self.over:
            self.over.add(call)
            self.history.record_end(call, EffectApplied.MAYBE)

    # Clients.

    def note_taken(self, message: Message, sender: fleet.Sender) -> None:
        until = (message.deadline_us - EPOCH) / SECOND - sender.wall
        told = message.id, message.message_class, message.destination, until, message.key
        self.history.record(seen.MessageAdmitted(self.time(), *told, sender.name))

    def send(self, one: ClientAttempt) -> None:
        self.spawn(self.ask_by_http(one))

    async def ask_by_http(self, one: ClientAttempt) -> None:
        asked, sender = one.asked, one.sender
        kind = self.scenario.classes[asked.message_class]
        fields = {
            "X-Correlation-Id": one.name,
            "X-Service-Class": asked.message_class,
            "X-Time-Left": f"{asked.at + kind.deadline_s - self.time():.3f}",
            "X-Route-To": f"dest={asked.destination}",
            "X-Session-Key": asked.key,
            "X-Account": asked.tenant,
            "X-Repeat": "1" if one.number else "",
            "Idempotency-Key": f"m{asked.number}",
        }
        client = self.client_of(sender.name)
        try:
            async with asyncio.timeout(self.scenario.clients.patience_s):
                status, told = await client.post(f"/{asked.message_class}", fields, b"body")
        except (TimeoutError, OSError):
            client.close()
            one.lose_patience()
            return
        if status not in (202, 404, 429, 503):  # 404: its sender has not heard of that destination yet
            raise AssertionError(f"{one.name}: an answer of {status}")
        if status != 202:
            self.history.record(seen.MessageRejected(self.time(), one.name))
        one.hear(status == 202, int(float(told.get("retry-after", 0)) * SECOND))
        self.clients[sender.name].append((self.time(), client))

    def client_of(self, name: str) -> HttpClient:
        """One with a connection that was used of late, or a new one."""
        kept = self.clients[name]
        while kept:
            at, client = kept.pop()
            if self.time() - at < REUSED:
                return client
            client.close()
        return HttpClient((name, PORT))

    # The end of a run.

    def drain(self, incident: Any) -> None:  # noqa: ANN401
        leaving = {n: x for n, x in self.places.items() if x.endpoint.destination == incident.destination}
        self.gone.update(leaving)
        super().drain(incident)

    def run(self) -> Outcomes:
        with self.net.installed():
            return super().run()

    def failed(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """As in the daemon: what one connection's callback raised ends that connection."""
        error = context.get("exception")
        if isinstance(error, OSError):
            with contextlib.suppress(KeyError, AttributeError):
                context["transport"].abort()
            return
        super().failed(loop, context)


def play(
    scenario: Scenario, seed: int | None = None, decide: Decide = Dispatcher, traced: bool = False
) -> Outcomes:
    """One run of a scenario over sockets in memory."""
    quiet = logging.root.manager.disable
    logging.disable(logging.CRITICAL)
    try:
        with tempfile.TemporaryDirectory() as folder, warnings.catch_warnings():
            warnings.simplefilter("ignore", RuntimeWarning)
            world = World(scenario, scenario.seed if seed is None else seed, Path(folder), decide, traced)
            with sealed(world.time):
                return world.run()
    finally:
        logging.disable(quiet)
