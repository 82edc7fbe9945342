"""The sender as the platform runs it: the engine behind an HTTP door, an HTTP transport and the platform's
watch and notices; signals, and how the descriptors are shared out."""

import asyncio
import logging
import signal
import socket
from dataclasses import dataclass
from pathlib import Path
from typing import Any, ClassVar

from message_sender.core.clock import Clock
from message_sender.core.engine import Engine
from message_sender.core.engine_config import EngineConfig, HandoverState
from message_sender.core.hooks import EngineHooks
from message_sender.core.ports import CompletionListener, CompletionState, Directory
from message_sender.core.socket_errors import transport_in
from message_sender.discovery.maintenance import ROOM, Maintenance, MaintenanceFile
from message_sender.handover.drain import GRACE, STOP, Drain, DrainPhase
from message_sender.handover.takeover import OwnershipHandover
from message_sender.http.client import HttpTransport
from message_sender.http.codec import Address
from message_sender.http.discovery import CALL, CALL_AT_HAND, Discovery, EndpointList
from message_sender.http.server import ACCEPTS, Server
from message_sender.management import server as manage
from message_sender.policy.events import EndpointsUpdated, Stopping
from message_sender.policy.model import ListingKind, Settings
from message_sender.service.operator_commands import OperatorCommands
from message_sender.service.process_handover import PredecessorState, ProcessHandover

FINAL_ANSWERS_S = (
    0.3  # s for the last answers as the process ends, STOP after SIGTERM; SIGKILL comes 3.7 s after it
)
TIMER_SLACK_S = 0.001  # s: a timer must not run before the time that it was set for

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class DaemonConfig:
    name: str
    listen: Address
    discovery: Address
    state: Path
    seed: int
    disk_bytes: int
    sockets: int
    known: EndpointList
    settings: Settings
    management: Address | None = None  # where operators call


@dataclass(frozen=True, slots=True)
class DescriptorBudget:
    """How the descriptors that the configuration allows are shared out: all that opens one counts here."""

    # The standard streams, the loop's three, the listener, the journal and its copy, the configuration, the
    # watch and the notices with their successors at a new address, the look: 15; and a turn's accepted ones,
    # which push out others that close only after it.
    OWN_DESCRIPTORS: ClassVar[int] = 20 + ACCEPTS

    clients: int
    rejected_clients: int  # clients above these that only hear that they are turned away
    calls: int  # with the connections that are kept for the next ones

    @classmethod
    def divide(cls, sockets: int, slots: int) -> "DescriptorBudget":
        """Clients get half; they may need a third. Calls get the rest, all slots in any case."""
        lingering = sockets // 16
        calls = max(sockets - cls.OWN_DESCRIPTORS - sockets // 2, slots + 4)
        return cls(max(sockets - cls.OWN_DESCRIPTORS - lingering - calls, 1), lingering, calls)


class HttpSender(EngineHooks):
    """An engine with an HTTP door and an HTTP transport. Its directory and completion_listener are given by
    who builds it."""

    inherited: socket.socket | None = None  # the listening socket, where somebody else holds it

    def __init__(self, engine: Engine, listen: Address, sockets: int) -> None:
        self.engine, self.listen = engine, listen
        self.drain = Drain()
        settings = engine.settings
        share = DescriptorBudget.divide(sockets, settings.slots)
        classes = {each.name: each for each in settings.classes}
        self.server = Server(
            classes, engine.take, engine.now, share.clients, share.rejected_clients, self.knows_destination,
            engine.is_known, settings.max_retry_after,
        )  # fmt: skip
        self.transport = HttpTransport(
            settings.conn_idle / 1e6,
            settings.connect_timeout / 1e6,
            share.calls,
            self.dial_addresses,
            engine.retry_after_received,
        )
        self.transport.sent = engine.table.counts.sent
        self.server.refused_unread = lambda name: engine.table.counts.ended(name, CompletionState.REFUSED)
        engine.periodic_tasks += [self.server.expire, self.stop_if_drained]
        engine.hooks.add(self)

    def work_finished(self) -> None:
        """A sender that is to end may be done now."""
        self.stop_if_drained()

    def dial_addresses(self) -> dict[str, Address]:
        raise NotImplementedError

    def inherited_state(self) -> HandoverState | None:
        """What a process that still runs has handed over."""
        return None

    def knows_destination(self, destination: int) -> bool:
        return self.engine.directory.knows(destination)

    def plug(self, directory: Directory, completion_listener: CompletionListener) -> None:
        self.engine.plug(self.transport, directory, completion_listener)

    async def start(self) -> None:
        """Takes over what the journal holds; only then do clients hear that the sender is ready."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: self.handle_loop_exception(context))
        loop.add_signal_handler(signal.SIGTERM, self.terminate)
        loop.add_signal_handler(signal.SIGINT, self.terminate)
        self.engine.start(self.inherited_state())
        self.server.listen(*self.listen, self.inherited)
        self.server.ready = not self.server.stopping
        host, port = self.server.address()[:2]
        log.info("%s: ready on %s:%d", self.engine.config.name, host, port)

    async def run(self) -> int:
        """Serves until it is told to stop; the answer is the exit code."""
        code = await self.engine.stopped
        try:
            if self.drain.ends_at() is None or self.engine.defect:
                self.server.close()
            else:
                self.engine.post(Stopping(0))  # what has come is answered, and nothing new goes
                await self.server.finish(FINAL_ANSWERS_S)
        finally:
            self.engine.close()
        if self.engine.defect:
            log.critical("%s: ended by a defect: %s", self.engine.config.name, self.engine.defect)
        return code

    def terminate(self) -> None:
        """SIGTERM. Clients are still answered, and what they hand in is taken on: the journal keeps it."""
        loop = asyncio.get_running_loop()
        if self.drain.ends_at() is not None:
            return
        log.info("%s: stopping", self.engine.config.name)
        self.drain.stop(loop.time())
        self.engine.post(Stopping(int(STOP * 1e6)))
        self.start_drain()
        loop.call_later(STOP, self.engine.stop, 0)
        self.stop_if_drained()

    def start_drain(self) -> None:
        self.server.send_away()
        asyncio.get_running_loop().call_later(GRACE + TIMER_SLACK_S, self.end_drain_grace)

    def end_drain_grace(self) -> None:
        now = asyncio.get_running_loop().time()
        if self.drain.phase(now) is DrainPhase.AWAY:
            self.server.grace_over()
        if not self.drain.listens(now):
            self.server.close()
            self.stop_if_drained()

    def stop_if_drained(self) -> None:
        engine, server = self.engine, self.server
        if self.drain.ends_at() is None or server.listener or engine.attempts.calls or engine.journal.entries:
            return
        if not server.owes():
            engine.stop(0)

    def stop(self, code: int) -> None:
        self.engine.stop(code)

    def handle_loop_exception(self, context: dict[str, Any]) -> None:
        """What a callback raised. Where it is one connection's own, that connection ends; an OSError of any
        other one is a defect like the rest: what it was about to do is not done."""
        error = context.get("exception")
        if transport := transport_in(context):
            if isinstance(error, Exception):
                self.server.reports.tell(error, str(context.get("message")))
            if isinstance(transport, asyncio.WriteTransport):
                transport.abort()
            return
        self.engine.fail(str(context.get("message")), error)


class PlatformSender(HttpSender):
    """The same on the platform."""

    def __init__(
        self,
        config: DaemonConfig,
        seat: OwnershipHandover | None = None,
        told: PredecessorState | None = None,
        inherited: socket.socket | None = None,
        desk: manage.ManagementServer | None = None,
    ) -> None:
        """With a seat it is handed on to the next process; `told` is what the one before told. `inherited`:
        the listening socket that the platform holds; `desk`: where operators call, if it is open already.
        Raises OSError where the state folder cannot be used."""
        self.config, self.predecessor, self.inherited = config, told, inherited
        record = MaintenanceFile(config.state)
        out, away = record.load()
        self.maintenance = Maintenance(out, told.returned if told else ())
        self.operator_commands = OperatorCommands(self, record, away)
        self.clock = Clock(told.clock_base_ns if told else None)
        known = told.endpoint_list if told else config.known
        listed = self.maintenance.hear(EndpointsUpdated(ListingKind.CACHED, known.endpoints))
        room, sockets = (ROOM, manage.DESCRIPTORS) if config.management else (0, 0)
        engine = Engine(
            EngineConfig(
                config.name, config.state, config.seed, config.disk_bytes - room, config.settings,
                listed.endpoints, listed.returned,
            ),
            self.clock.now,
        )  # fmt: skip
        call = CALL_AT_HAND if config.settings.has_local_list else CALL
        self.discovery = Discovery(
            config.discovery, known, self.receive_endpoints, engine.completion_acknowledged, call
        )
        if told:
            self.discovery.seq = told.list_sequence
            self.discovery.destinations |= {*told.destinations}
        super().__init__(engine, config.listen, config.sockets - sockets)
        self.plug(self.discovery, self.discovery)
        self.management_server = desk or (
            manage.ManagementServer(self.operator_commands.execute) if config.management else None
        )
        if self.management_server:
            self.management_server.act = self.operator_commands.execute
        self.process_handover = ProcessHandover(self, seat) if seat else None

    async def start(self) -> None:
        if self.management_server and self.config.management and not self.management_server.listener:
            self.management_server.listen(*self.config.management)
        if self.operator_commands.is_draining:
            since = self.predecessor.drain_ordered_at if self.predecessor else None
            self.drain.fail(since or asyncio.get_running_loop().time())
            self.start_drain()
        await super().start()
        if self.process_handover:
            self.process_handover.start()

    def inherited_state(self) -> HandoverState | None:
        return self.predecessor.engine_state if self.predecessor else None

    async def run(self) -> int:
        try:
            return await super().run()
        finally:
            if self.management_server:
                self.management_server.close()
            if self.process_handover:
                self.process_handover.ownership.close()

    def receive_endpoints(self, news: EndpointsUpdated) -> None:
        self.engine.endpoints_updated(self.maintenance.hear(news))

    def dial_addresses(self) -> dict[str, Address]:
        return self.discovery.dials

    def reconfigure(self, config: DaemonConfig) -> None:
        """SIGHUP. Discovery may have moved; anything else that has changed waits for the next start."""
        if config.discovery != self.discovery.address:
            log.info("%s: discovery is at %s:%d from now on", self.config.name, *config.discovery)
            self.discovery.move(config.discovery)
            # The watch at the old address goes on until this one has a list.
            self.engine.watch_task = self.engine.spawn(self.discovery.watch())
