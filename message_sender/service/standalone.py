"""The sender without the platform: its endpoints are configured, its completions go to a file or a pipe."""

import asyncio
import json
import logging
import signal
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, TextIO

from message_sender.configuration.general import ConfigError, SenderConfig, load
from message_sender.control_socket import Command, ControlSocket
from message_sender.core import inventory
from message_sender.core.clock import Clock
from message_sender.core.engine import Engine
from message_sender.core.engine_config import EngineConfig
from message_sender.core.ports import Completion
from message_sender.core.traffic_observer import TrafficObserver
from message_sender.discovery.overridden import OverriddenDirectory
from message_sender.discovery.override_store import OverrideStore
from message_sender.discovery.static import Dial
from message_sender.journal.clock_record import FolderClock
from message_sender.journal.lock import Lock
from message_sender.journal.process_journal import Journal
from message_sender.policy.events import EndpointsUpdated
from message_sender.policy.model import ListingKind
from message_sender.service.daemon import HttpSender
from message_sender.service.endpoint_overrides import OverriddenOutOfService, OverrideHooks
from message_sender.service.standalone_commands import StandaloneCommands
from message_sender.service.standalone_parts import (
    HostMachine,
    build_directory,
    has_durable_journal,
    open_control_plane,
    open_recovery,
)

if TYPE_CHECKING:
    from message_sender.recovery.startup import RecoveryStart
    from message_sender.service.learned_state import LearnedState
    from message_sender.service.membership import Membership

log = logging.getLogger(__name__)


def ignore_completion(message_id: str, completion: Completion) -> None:
    """Does nothing; the default callback of `CompletionWriter`."""


def ignore_update(update: EndpointsUpdated) -> None:
    """Does nothing; the callback of a directory whose engine does not exist yet."""


class CompletionWriter:
    """Writes each completion as a line with one JSON object.

    The object's keys are `id`, `state` (delivered, refused, failed, withdrawn), `at` (Unix seconds) and, for
    a refusal with a Retry-After, `retry_after_ms`.
    """

    def __init__(
        self, stream: TextIO, on_notified: Callable[[str, Completion], None] = ignore_completion
    ) -> None:
        """Initializes a writer to a text stream.

        Args:
            stream: The stream that receives the lines.
            on_notified: Called with message id and completion after each line.
        """
        self.stream = stream
        self.on_notified = on_notified

    def notify(self, message_id: str, completion: Completion) -> bool:
        """Writes a line; returns False, because no acknowledgement will follow."""
        line: dict[str, object] = {
            "id": message_id,
            "state": completion.state.value,
            "at": round(time.time(), 3),
        }
        if completion.retry_after_us:
            line["retry_after_ms"] = -(-completion.retry_after_us // 1000)
        print(json.dumps(line), file=self.stream, flush=True)
        self.on_notified(message_id, completion)
        return False

    async def run(self) -> None:
        """Waits until it is cancelled; the writer has no background work."""
        await asyncio.get_running_loop().create_future()


class StandaloneSender(HttpSender):
    """An HTTP sender over a static directory, with a control socket.

    Attributes:
        lock: The lock on the state folder.
        directory: The configured endpoints.
        overrides: The directory with the operators' overrides applied, which the engine uses.
        recovery_start: The recovery of this start; None if the journal does not survive a crash of the
            machine.
        control_plane: The sender's side of the control plane; None if the configuration has none.
        control_socket: The socket for the operators' commands.
        learned_state: The stored breakers and waits; None where `recovery_start` is None.
        membership: The membership in the fleet; None if there is no fleet or its link cannot be opened.
    """

    def __init__(
        self,
        config: SenderConfig,
        state: Path,
        completion_listener: CompletionWriter,
        traffic_observer: TrafficObserver | None = None,
        machine: HostMachine | None = None,
    ) -> None:
        """Opens the state folder and builds the sender.

        Args:
            config: The sender's configuration.
            state: The state folder.
            completion_listener: Receives the completions.
            traffic_observer: Observes the traffic on all connections; None for no observer.
            machine: The clock and disk to use; None for those of the real machine.

        Raises:
            LockTakenError: Another sender uses the state folder.
            OSError: The state folder cannot be used.
        """
        self.lock = Lock(state)
        machine = machine or HostMachine()
        self.folder_clock = None if machine.clock else FolderClock(state)
        base_ns = self.folder_clock.base_ns if self.folder_clock else None
        clock = (machine.clock or Clock(base_ns)).now
        self.recovery_start: RecoveryStart | None = None
        if config.durability.sync != "none" or has_durable_journal(state):
            self.recovery_start = open_recovery(config, machine, clock)
            clock = self.recovery_start.now
        wall_clock = clock if machine.clock else self._wall_clock()
        self.control_plane = open_control_plane(config, state, machine.disk)
        if self.control_plane:
            config = self.control_plane.configuration.effective_config()
        self.directory = build_directory(config, state, wall_clock)
        self.overrides = self._build_overrides(config, state, wall_clock)
        engine = self._build_engine(config, state, clock, wall_clock)
        self.overrides.on_update = engine.endpoints_updated
        self.directory.on_update = self.overrides.apply_update
        engine.hooks.add(OverrideHooks(self.overrides))
        self.control_socket = ControlSocket(state, self.commands())
        super().__init__(engine, config.listen, config.sockets)
        self.set_ports(self.overrides, completion_listener)
        if self.folder_clock:
            engine.periodic_tasks.append(self.folder_clock.save_if_needed)
        self.server.observer = self.transport.observer = traffic_observer
        self.learned_state = self._build_learned_state(state)
        self.membership = self._build_membership(config, state)

    def _wall_clock(self) -> Callable[[], int]:
        """Returns the clock for times that operators give, in microseconds since the epoch."""
        now = Clock().now
        return partial(self.recovery_start.shift, now) if self.recovery_start else now

    def _build_overrides(
        self, config: SenderConfig, state: Path, clock: Callable[[], int]
    ) -> OverriddenDirectory:
        store = OverrideStore(state)
        if config.lists is None:
            return OverriddenDirectory(self.directory, store, clock, ignore_update)
        slow_start_us, ejection = config.lists.slow_start_us, config.lists.ejection
        return OverriddenDirectory(self.directory, store, clock, ignore_update, slow_start_us, ejection)

    def _build_engine(
        self, config: SenderConfig, state: Path, clock: Callable[[], int], wall_clock: Callable[[], int]
    ) -> Engine:
        snapshot = EndpointsUpdated(ListingKind.FULL, self.directory.endpoints())
        effective = self.overrides.layer.apply_update(snapshot, wall_clock())
        engine_config = EngineConfig(
            config.name,
            state,
            config.seed,
            config.disk_bytes,
            config.settings,
            effective.endpoints,
            self.overrides.returned_endpoints,
        )
        open_journal = self.recovery_start.open_journal if self.recovery_start else Journal
        return Engine(engine_config, clock, open_journal=open_journal)

    def _build_learned_state(self, state: Path) -> "LearnedState | None":
        if self.recovery_start is None:
            return None
        from message_sender.service.learned_state import LearnedState

        return LearnedState(self.engine, self.recovery_start, state)

    def _build_membership(self, config: SenderConfig, state: Path) -> "Membership | None":
        if config.fleet is None:
            return None
        from message_sender.service.membership import join_fleet

        may_add_budgets = self.control_plane is not None
        membership = join_fleet(
            self.engine, config.fleet, state, self.set_ready, config.budgets, may_add_budgets
        )
        if membership:
            membership.view.out_of_service_endpoints = OverriddenOutOfService(
                self.overrides, membership.link, self.recovery_start
            )
        return membership

    def commands(self) -> dict[str, Command]:
        """Returns the commands of the control socket by name."""
        return StandaloneCommands(self).by_name()

    def dial_addresses(self) -> dict[str, Dial]:
        """Returns the address of each endpoint by its id."""
        return self.directory.dials()

    def set_ready(self, is_ready: bool) -> None:
        """Sets whether new messages are accepted; a server that is stopping or not listening accepts none."""
        self.server.is_ready = is_ready and self.server.listener is not None and not self.server.is_stopping

    async def start(self) -> None:
        """Joins the fleet, starts the sender, and then the control plane and the control socket."""
        waits = self.learned_state.load() if self.learned_state else {}
        if self.membership:
            try:
                await self.membership.start(waits)
            except OSError as error:
                log.error("fleet: sender runs without the fleet: reason=%s", error)
                self.membership = None
        await super().start()
        if self.membership:
            self.set_ready(self.membership.is_open())
        self.overrides.refresh()
        if self.control_plane:
            await self.control_plane.start(self.directory, self.membership, self.engine.task_ended)
        try:
            await self.control_socket.start()
        except OSError as error:  # for example, the path is too long for a socket
            log.error("control socket not opened: reason=%s", error)

    async def run(self) -> int:
        """Serves until the engine stops; returns the exit code."""
        try:
            return await super().run()
        finally:
            if self.control_plane:
                self.control_plane.close()
            if self.membership:
                self.membership.close()
            self.control_socket.close()
            self.overrides.close()
            self.lock.release()


def reload_configuration(sender: StandaloneSender, path: Path) -> None:
    """Rereads the endpoints, the link's keys and the limits of shared budgets, on SIGHUP.

    Each of the three is replaced completely or not at all; any other change needs a restart.
    """
    if sender.membership:
        sender.membership.link.reload_keys()
    try:
        config = load(path)
        if sender.control_plane:
            config = sender.control_plane.reload(config)
        sender.directory.configure(config.endpoints)
        if sender.membership and config.fleet:
            sender.membership.configure(config.budgets, config.fleet.size)
        log.info("configuration reloaded: endpoints=%d", len(sender.directory.static_endpoints))
    except (ConfigError, OSError) as error:
        log.error("configuration not reloaded: reason=%s", error)


def write_destination_inventory(sender: StandaloneSender) -> None:
    """Writes the tracked state of each destination to a file in the state folder, on SIGUSR1."""
    engine = sender.engine
    try:
        path = inventory.write(engine.dispatcher, engine.now(), engine.config.state)
        log.info("destination inventory written: path=%s", path)
    except OSError as error:
        log.error("destination inventory not written: reason=%s", error)


async def serve(
    path: Path,
    config: SenderConfig,
    state: Path,
    completions: TextIO,
    traffic_observer: TrafficObserver | None = None,
    machine: HostMachine | None = None,
) -> int:
    """Runs a standalone sender; returns the exit code.

    Args:
        path: The configuration file, which is reread on SIGHUP.
        config: The current configuration in that file.
        state: The state folder.
        completions: The stream that receives the completions.
        traffic_observer: Observes the traffic on all connections; None for no observer.
        machine: The clock and disk to use; None for those of the real machine.
    """
    sender = StandaloneSender(config, state, CompletionWriter(completions), traffic_observer, machine)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, reload_configuration, sender, path)
    loop.add_signal_handler(signal.SIGUSR1, write_destination_inventory, sender)
    await sender.start()
    return await sender.run()
