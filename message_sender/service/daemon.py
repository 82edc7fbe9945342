"""The sender as the platform runs it: an engine with an HTTP server, an HTTP transport and discovery.

Besides assembling these parts, this module handles the process signals, drains the process at shutdown and
divides the file descriptors that the configuration allows.
"""

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
from message_sender.discovery.maintenance import FILE_SPACE_BYTES, Maintenance, MaintenanceFile
from message_sender.handover.drain import EXIT_DELAY_S, GRACE_S, Drain, DrainPhase
from message_sender.handover.takeover import OwnershipHandover
from message_sender.http.client import HttpTransport
from message_sender.http.common import Address
from message_sender.http.discovery import (
    CALL_TIMEOUT_S,
    LOCAL_CALL_TIMEOUT_S,
    Discovery,
)
from message_sender.http.endpoint_list import EndpointList
from message_sender.http.server import DEFAULT_MEMORY_BYTES, MAX_ACCEPTS_PER_ITERATION, Server
from message_sender.journal.clock_record import CLOCK_SPACE_BYTES, FolderClock
from message_sender.management import server as management
from message_sender.policy.events import EndpointsUpdated, Stopping
from message_sender.policy.model import ListingKind, Settings
from message_sender.service.handover_state import PredecessorState
from message_sender.service.operator_commands import OperatorCommands
from message_sender.service.process_handover import ProcessHandover

#: The time for the last responses when the process ends, EXIT_DELAY_S after SIGTERM. The platform sends
#: SIGKILL 3.7 s after SIGTERM.
FINAL_RESPONSES_S = 0.3
#: Added to a timer's delay, so that it does not run before its intended time.
TIMER_SLACK_S = 0.001

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class DaemonConfig:
    """The platform's configuration of a sender.

    Attributes:
        name: The sender's name on the platform.
        listen: The address that clients connect to.
        discovery: The address of the platform's discovery service.
        state: The state folder.
        seed: The seed of the policy's random choices.
        disk_bytes: The maximum size of the state folder, in bytes.
        sockets: The number of file descriptors that the process may open.
        memory_bytes: The memory limit of the process, in bytes.
        known: The endpoint list at the start.
        settings: The policy's settings.
        management: The address of the management API; None if there is none.
    """

    name: str
    listen: Address
    discovery: Address
    state: Path
    seed: int
    disk_bytes: int
    sockets: int
    memory_bytes: int
    known: EndpointList
    settings: Settings
    management: Address | None = None


@dataclass(frozen=True, slots=True)
class DescriptorBudget:
    """The division of the file descriptors that the configuration allows; every descriptor is counted.

    Attributes:
        clients: Client connections.
        rejected_clients: Connections in excess of `clients`, which only receive a rejection.
        calls: Connections to endpoints, including idle ones that are kept open for later calls.
    """

    # Descriptors of the process itself: the standard streams, three of the event loop, the listener, the
    # journal and its copy, the configuration, the watch and the notices, each with its replacement at a new
    # address, and the poll: 15 in all. In addition, connections that are accepted in one loop iteration may
    # replace others, which are closed only after that iteration.
    OWN_DESCRIPTORS: ClassVar[int] = 20 + MAX_ACCEPTS_PER_ITERATION

    clients: int
    rejected_clients: int
    calls: int

    @classmethod
    def divide(cls, sockets: int, slots: int) -> "DescriptorBudget":
        """Divides `sockets` descriptors: about half for clients, the rest for calls.

        Calls get at least enough for `slots` of them.
        """
        rejected_clients = sockets // 16
        calls = max(sockets - cls.OWN_DESCRIPTORS - sockets // 2, slots + 4)
        clients = max(sockets - cls.OWN_DESCRIPTORS - rejected_clients - calls, 1)
        return cls(clients, rejected_clients, calls)


class HttpSender(EngineHooks):
    """An engine with an HTTP server and an HTTP transport.

    A subclass provides the dial addresses, and sets a directory and a completion listener (`set_ports`).

    Attributes:
        inherited_listener: The listening socket, if another process opened it; else None.
    """

    inherited_listener: socket.socket | None = None

    def __init__(
        self, engine: Engine, listen: Address, sockets: int, memory_bytes: int = DEFAULT_MEMORY_BYTES
    ) -> None:
        """Builds server and transport.

        Args:
            engine: Makes the decisions about messages.
            listen: The address that clients connect to.
            sockets: The number of file descriptors that the process may open.
            memory_bytes: The memory limit of the process, in bytes.
        """
        self.engine = engine
        self.listen = listen
        self.drain = Drain()
        descriptors = DescriptorBudget.divide(sockets, engine.settings.slots)
        self.server = self._build_server(descriptors, memory_bytes)
        self.transport = self._build_transport(descriptors)
        engine.periodic_tasks += [self.server.expire, self.stop_if_drained]
        engine.hooks.add(self)

    def _build_server(self, descriptors: DescriptorBudget, memory_bytes: int) -> Server:
        engine = self.engine
        server = Server(
            {each.name: each for each in engine.settings.classes},
            engine.submit,
            engine.now,
            descriptors.clients,
            descriptors.rejected_clients,
            self.knows_destination,
            engine.is_known,
            engine.settings.max_retry_after,
            memory_bytes,
        )
        server.count_rejected = self._count_rejected_unread
        return server

    def _build_transport(self, descriptors: DescriptorBudget) -> HttpTransport:
        engine = self.engine
        transport = HttpTransport(
            engine.settings.conn_idle / 1e6,
            engine.settings.connect_timeout / 1e6,
            descriptors.calls,
            self.dial_addresses,
            engine.retry_after_received,
        )
        transport.on_sent = engine.table.counts.count_request
        return transport

    def _count_rejected_unread(self, message_class: str) -> None:
        self.engine.table.counts.count_completion(message_class, CompletionState.REFUSED)

    def work_finished(self) -> None:
        """Stops the sender if its drain is complete, after messages or calls have ended."""
        self.stop_if_drained()

    def dial_addresses(self) -> dict[str, Address]:
        """Returns the address of each endpoint by its id."""
        raise NotImplementedError

    def inherited_state(self) -> HandoverState | None:
        """Returns the state that a running predecessor has handed over; None if there is no predecessor."""
        return None

    def knows_destination(self, destination: int) -> bool:
        """Whether any endpoint list so far has named this destination."""
        return self.engine.directory.is_known(destination)

    def set_ports(self, directory: Directory, completion_listener: CompletionListener) -> None:
        """Connects the engine with its ports; must be called before `start`."""
        self.engine.set_ports(self.transport, directory, completion_listener)

    async def start(self) -> None:
        """Takes over the journal's messages, then listens and becomes ready for clients."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._loop_exception_raised)
        loop.add_signal_handler(signal.SIGTERM, self.terminate)
        loop.add_signal_handler(signal.SIGINT, self.terminate)
        self.engine.start(self.inherited_state())
        self.server.listen(*self.listen, self.inherited_listener)
        self.server.is_ready = not self.server.is_stopping
        host, port = self.server.address()[:2]
        log.info("%s: ready on %s:%d", self.engine.config.name, host, port)

    async def run(self) -> int:
        """Serves until the engine stops; returns the exit code."""
        exit_code = await self.engine.stopped
        try:
            if self.drain.exit_at_s() is None or self.engine.defect:
                self.server.close()
            else:
                self.engine.post(Stopping(0))  # received requests are answered; no more calls are started
                await self.server.finish(FINAL_RESPONSES_S)
        finally:
            self.engine.close()
        if self.engine.defect:
            log.critical("%s: ended by a defect: %s", self.engine.config.name, self.engine.defect)
        return exit_code

    def terminate(self) -> None:
        """Drains and then stops the sender, on SIGTERM.

        Messages that arrive meanwhile are still accepted, because the journal keeps them.
        """
        loop = asyncio.get_running_loop()
        if self.drain.exit_at_s() is not None:
            return
        log.info("%s: stopping", self.engine.config.name)
        self.drain.terminate(loop.time())
        self.engine.post(Stopping(int(EXIT_DELAY_S * 1e6)))
        self.start_drain()
        loop.call_later(EXIT_DELAY_S, self.engine.stop, 0)
        self.stop_if_drained()

    def start_drain(self) -> None:
        """Asks clients to connect to another sender; idle connections are closed after the grace period."""
        self.server.start_drain()
        asyncio.get_running_loop().call_later(GRACE_S + TIMER_SLACK_S, self.end_drain_grace)

    def end_drain_grace(self) -> None:
        """Closes the connections and the listener as far as the drain's phase allows."""
        now = asyncio.get_running_loop().time()
        if self.drain.phase(now) is DrainPhase.DRAINED:
            self.server.end_grace()
        if not self.drain.is_listening(now):
            self.server.close()
            self.stop_if_drained()

    def stop_if_drained(self) -> None:
        """Stops a terminating sender without calls, messages or responses, whose predecessor has no calls."""
        engine, server = self.engine, self.server
        if (
            self.drain.exit_at_s() is None
            or server.listener
            or engine.attempts.calls
            or engine.attempts.predecessor_calls
            or engine.journal.entries
        ):
            return
        if not server.has_clients():
            engine.stop(0)

    def stop(self, code: int) -> None:
        """Ends the process with this exit code."""
        self.engine.stop(code)

    def _loop_exception_raised(self, _loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        self.handle_loop_exception(context)

    def handle_loop_exception(self, context: dict[str, Any]) -> None:
        """Handles an exception of a callback; `context` is that of `loop.call_exception_handler`.

        An exception that belongs to one connection closes that connection. Any other exception, including an
        OSError, is a defect that ends the sender, because the callback did not complete its work.
        """
        error = context.get("exception")
        if transport := transport_in(context):
            if isinstance(error, Exception):
                self.server.reports.report(error, str(context.get("message")))
            if isinstance(transport, asyncio.WriteTransport):
                transport.abort()
            return
        self.engine.fail(str(context.get("message")), error)


class PlatformSender(HttpSender):
    """An HTTP sender with the platform's discovery, the operators' management API and process handover."""

    def __init__(
        self,
        config: DaemonConfig,
        ownership: OwnershipHandover | None = None,
        predecessor: PredecessorState | None = None,
        inherited_listener: socket.socket | None = None,
        management_server: management.ManagementServer | None = None,
    ) -> None:
        """Opens the state folder and builds the sender.

        Args:
            config: The platform's configuration.
            ownership: Passes ownership of the state folder on to the next process; None without handover.
            predecessor: The state of the process that handed over; None if there is no predecessor.
            inherited_listener: The listening socket, if another process opened it.
            management_server: The management server, if it already listens.

        Raises:
            OSError: The state folder cannot be used.
        """
        self.config = config
        self.predecessor = predecessor
        self.inherited_listener = inherited_listener
        maintenance_file = MaintenanceFile(config.state)
        out_of_service, is_draining = maintenance_file.load()
        self.maintenance = Maintenance(out_of_service, predecessor.returned if predecessor else ())
        self.operator_commands = OperatorCommands(self, maintenance_file, is_draining)
        self.folder_clock = FolderClock(config.state, predecessor.clock_base_ns if predecessor else None)
        self.clock = Clock(self.folder_clock.base_ns)
        endpoint_list = predecessor.endpoint_list if predecessor else config.known
        engine = self._build_engine(endpoint_list)
        self.discovery = self._build_discovery(engine, endpoint_list)
        management_sockets = management.MAX_DESCRIPTORS if config.management else 0
        super().__init__(engine, config.listen, config.sockets - management_sockets, config.memory_bytes)
        engine.periodic_tasks.append(self.folder_clock.save_if_needed)
        self.set_ports(self.discovery, self.discovery)
        self.management_server = self._use_management_server(management_server)
        self.process_handover = ProcessHandover(self, ownership) if ownership else None

    def _build_engine(self, endpoint_list: EndpointList) -> Engine:
        config = self.config
        cached = EndpointsUpdated(ListingKind.CACHED, endpoint_list.callable_endpoints())
        listed = self.maintenance.apply_update(cached)
        engine_config = EngineConfig(
            config.name,
            config.state,
            config.seed,
            config.disk_bytes - CLOCK_SPACE_BYTES - (FILE_SPACE_BYTES if config.management else 0),
            config.settings,
            listed.endpoints,
            listed.returned,
        )
        return Engine(engine_config, self.clock.now)

    def _build_discovery(self, engine: Engine, endpoint_list: EndpointList) -> Discovery:
        discovery = Discovery(
            self.config.discovery,
            endpoint_list,
            self.receive_endpoints,
            engine.completion_acknowledged,
            LOCAL_CALL_TIMEOUT_S if self.config.settings.has_local_list else CALL_TIMEOUT_S,
            fetches_list=self.config.settings.has_local_list,
        )
        discovery.on_silence = engine.watch_fell_silent
        if self.predecessor:
            discovery.version = self.predecessor.list_sequence
            discovery.destinations |= {*self.predecessor.destinations}
        return discovery

    def _use_management_server(
        self, management_server: management.ManagementServer | None
    ) -> management.ManagementServer | None:
        """Returns the management server, if any, after connecting it to this sender's commands."""
        if management_server is None and self.config.management:
            management_server = management.ManagementServer(self.operator_commands.execute)
        if management_server:
            management_server.handler = self.operator_commands.execute
        return management_server

    async def start(self) -> None:
        """Starts the management server, the sender and the handover to the next process."""
        if self.management_server and self.config.management and not self.management_server.listener:
            self.management_server.listen(*self.config.management)
        if self.operator_commands.is_draining:
            ordered_at = self.predecessor.drain_ordered_at if self.predecessor else None
            self.drain.start(ordered_at or asyncio.get_running_loop().time())
            self.start_drain()
        await super().start()
        if self.process_handover:
            self.process_handover.start()

    def inherited_state(self) -> HandoverState | None:
        """Returns the engine's state from the process that handed over; None if there is no predecessor."""
        return self.predecessor.engine_state if self.predecessor else None

    async def run(self) -> int:
        """Serves until the engine stops; returns the exit code."""
        try:
            return await super().run()
        finally:
            if self.management_server:
                self.management_server.close()
            if self.process_handover:
                self.process_handover.ownership.close()

    def receive_endpoints(self, update: EndpointsUpdated) -> None:
        """Passes discovery's update to the engine, with the operators' maintenance orders applied."""
        self.engine.endpoints_updated(self.maintenance.apply_update(update))

    def dial_addresses(self) -> dict[str, Address]:
        """Returns the address of each endpoint by its id, as discovery listed it."""
        return self.discovery.dials

    def reconfigure(self, config: DaemonConfig) -> None:
        """Applies a new address of discovery; any other change needs a restart."""
        if config.discovery != self.discovery.address:
            log.info("%s: discovery moved: address=%s:%d", self.config.name, *config.discovery)
            self.discovery.move(config.discovery)
            # The watch at the old address continues until this one has received a list.
            self.engine.watch_task = self.engine.spawn(self.discovery.watch())
