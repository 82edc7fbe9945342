"""The sender without the platform: endpoints listed in its configuration, final answers to a file or a
pipe."""

import asyncio
import json
import logging
import signal
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any, TextIO

from message_sender.configuration.general import ConfigError, SenderConfig, load, read_endpoints
from message_sender.control_socket import Command, ControlSocket
from message_sender.core import explain, inventory
from message_sender.core.clock import Clock
from message_sender.core.engine import Engine
from message_sender.core.engine_config import EngineConfig
from message_sender.core.hooks import EngineHooks
from message_sender.core.ports import Completion
from message_sender.core.traffic_observer import TrafficObserver
from message_sender.discovery.file import FileDirectory
from message_sender.discovery.overridden import OverriddenDirectory
from message_sender.discovery.override_store import OverrideStore
from message_sender.discovery.overrides import OverrideError, OverrideKind
from message_sender.discovery.static import Dial, StaticDirectory
from message_sender.journal.disk import Disk
from message_sender.journal.lock import Lock
from message_sender.journal.process_journal import FILE, Journal
from message_sender.message import Message
from message_sender.policy.events import EndpointsUpdated
from message_sender.policy.model import EndpointState, ListingKind, Outcome
from message_sender.service.daemon import HttpSender

if TYPE_CHECKING:
    from message_sender.recovery.startup import RecoveryStart
    from message_sender.service.control_link import SenderControl
    from message_sender.service.learned_state import LearnedState
    from message_sender.service.membership import Membership

log = logging.getLogger(__name__)


class CompletionWriter:
    """Writes each final answer as one JSON object a line: `id`, `state` (delivered, refused, failed,
    withdrawn), `at` (Unix seconds) and, with a refusal that says so, `retry_after_ms`."""

    def __init__(
        self, out: TextIO, heard: Callable[[str, Completion], None] = lambda name, end: None
    ) -> None:
        self.out, self.on_notified = out, heard

    def notify(self, message: str, end: Completion) -> bool:
        told: dict[str, object] = {"id": message, "state": end.state.value, "at": round(time.time(), 3)}
        if end.retry_after:
            told["retry_after_ms"] = -(-end.retry_after // 1000)
        print(json.dumps(told), file=self.out, flush=True)
        self.on_notified(message, end)
        return False

    async def run(self) -> None:
        await asyncio.get_running_loop().create_future()


def build_directory(config: SenderConfig, state: Path, now: Callable[[], int]) -> StaticDirectory:
    """The configuration's own list, or that and the files which it names."""
    if (lists := config.lists) is None or not lists.files:
        return StaticDirectory(config.endpoints)
    return FileDirectory(
        lists.files,
        read_endpoints,
        state,
        now,
        config.endpoints,
        lists.vanished_share_limit,
        lists.vanished_patience_us,
    )


@dataclass
class HostMachine:
    """What a sender stands on; a test gives it another one."""

    clock: Clock = field(default_factory=Clock)
    disk: Disk | None = None  # None: the system's files
    boot: str | None = None  # names its run; None: as the system says


def has_durable_journal(state: Path) -> bool:
    """Whether the journal there has the form that survives the machine."""
    try:
        with (state / FILE).open("rb") as file:
            return file.read(1) == b"2"
    except OSError:
        return False


def open_recovery(config: SenderConfig, machine: HostMachine) -> "RecoveryStart":
    """Imported only where it is asked for: it needs the extra `fleet`."""
    try:
        from message_sender.recovery.startup import RecoveryStart
    except ImportError as error:
        raise OSError(f"{error}; pip install 'message-sender[fleet]'") from None
    return RecoveryStart(
        config.settings, config.durability.sync_interval_s, machine.clock.now, machine.disk, machine.boot
    )


def open_control_plane(config: SenderConfig, state: Path, disk: Disk | None) -> "SenderControl | None":
    """Imported only where it is asked for: it needs the extra `fleet`."""
    if config.control is None:
        return None
    try:
        from message_sender.service.control_link import SenderControl
    except ImportError as error:
        raise OSError(f"{error}; pip install 'message-sender[fleet]'") from None
    return SenderControl(config, state, disk)


DRAINED_ENDPOINT_OUT_S = (
    60.0  # s for which an endpoint that another one's list drains is left alone after a power loss
)
OUT_OF_SERVICE_LIMIT_S = 6 * 86_400.0  # s


class OverrideHooks(EngineHooks):
    """Pins messages as overrides say, and tells the overrides of outcomes."""

    def __init__(self, overrides: OverriddenDirectory) -> None:
        """`overrides`: the sender's."""
        self.overrides = overrides

    def pinned_endpoint(self, message: Message) -> str:
        """The endpoint to which the message's key or tenant is pinned."""
        return self.overrides.overlay.pin_of(message.tenant, message.key)

    def attempt_finished(self, endpoint: str, outcome: Outcome) -> None:
        """Outlier detection counts the outcome."""
        self.overrides.outcome(endpoint, outcome)


class StandaloneSender(HttpSender):
    """An HTTP sender over a static directory."""

    def __init__(
        self,
        config: SenderConfig,
        state: Path,
        completion_listener: CompletionWriter,
        witness: TrafficObserver | None = None,
        machine: "HostMachine | None" = None,
    ) -> None:
        """Raises LockTakenError where another sender uses the state folder, OSError where it is no use."""
        self.lock = Lock(state)
        machine = machine or HostMachine()
        clock, open_journal = machine.clock.now, Journal
        self.recovery_start: RecoveryStart | None = None
        if config.durability.sync != "none" or has_durable_journal(state):
            self.recovery_start = open_recovery(config, machine)
            clock, open_journal = self.recovery_start.now, self.recovery_start.open  # type: ignore[assignment]
        self.control_plane = open_control_plane(config, state, machine.disk)
        if self.control_plane:
            config = self.control_plane.configuration.effective_config()
        self.directory = build_directory(config, state, clock)
        more = (config.lists.slow_start_us, config.lists.ejection) if config.lists else (0, None)
        self.overrides = over = OverriddenDirectory(
            self.directory, OverrideStore(state), clock, lambda listed: None, *more
        )
        whole = EndpointsUpdated(ListingKind.FULL, self.directory.endpoints())
        listed = over.overlay.hear(whole, clock())
        engine = Engine(
            EngineConfig(
                config.name, state, config.seed, config.disk_bytes, config.settings, listed.endpoints,
                over.returned,
            ),
            clock,
            open_journal=open_journal,
        )  # fmt: skip
        over.told, self.directory.told = engine.endpoints_updated, over.hear
        engine.hooks.add(OverrideHooks(over))
        self.control_socket = ControlSocket(state, self.commands())
        super().__init__(engine, config.listen, config.sockets)
        self.plug(self.overrides, completion_listener)
        self.server.witness = self.transport.witness = witness
        self.learned_state: LearnedState | None = None
        if self.recovery_start:
            from message_sender.service import learned_state

            self.learned_state = learned_state.LearnedState(engine, self.recovery_start, state)
        self.membership: Membership | None = None
        if config.fleet:
            from message_sender.service.membership import join_fleet

            may_come = self.control_plane is not None
            self.membership = join_fleet(
                engine, config.fleet, state, self.set_ready, config.budgets, may_come
            )
        if self.membership:
            self.membership.view.away, self.membership.view.keep_away = self.away, self.keep_away

    def dial_addresses(self) -> dict[str, Dial]:
        return self.directory.dials()

    def away(self) -> dict[str, float]:
        """Endpoints that are out of service here, by an override or as the list drains them, s left."""
        now, overlay = self.engine.now(), self.overrides.overlay
        listed = overlay.listed.values()
        found = {each.id: DRAINED_ENDPOINT_OUT_S for each in listed if each.state is EndpointState.DRAINING}
        return found | {name: max(x.until - now, 0) / 1e6 for name, x in overlay.force.out.items()}

    def keep_away(self, endpoint: str, left: float, by: str) -> None:
        """Another one keeps it out of service: that counts where this one's disk may not tell the latest."""
        assert self.membership
        if self.recovery_start and self.recovery_start.is_latest() and not self.membership.link.node.behind:
            return
        now = self.engine.now()
        until = now + int(min(left, OUT_OF_SERVICE_LIMIT_S) * 1e6)
        try:
            self.overrides.set(OverrideKind.OUT, endpoint, by, "it keeps it out of service", now, until)
        except (OverrideError, OSError) as error:
            log.warning("fleet: %s keeps %s out of service, which is not done here: %s", by, endpoint, error)

    def set_ready(self, ready: bool) -> None:
        self.server.ready = ready and self.server.listener is not None and not self.server.stopping

    async def start(self) -> None:
        waits = self.learned_state.load() if self.learned_state else {}
        if self.membership:
            try:
                await self.membership.start(waits)
            except OSError as error:
                log.error("fleet: this sender serves alone: %s", error)
                self.membership = None
        await super().start()
        if self.membership:
            self.set_ready(self.membership.is_open())
        self.overrides.turn()
        if self.control_plane:
            await self.control_plane.start(self.directory, self.membership, self.engine.task_ended)
        try:
            await self.control_socket.start()
        except OSError as error:  # such as a path that is too long for a socket
            log.error("no control socket: %s", error)

    async def run(self) -> int:
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

    # What is asked over the control socket.

    def commands(self) -> dict[str, Command]:
        return {
            "set": self.set_override,
            "list": lambda asked: self.list_overrides(),
            "end": lambda asked: self.overrides.end(
                asked["name"], asked["who"], asked.get("why", "")
            ).as_json(),
            "extend": lambda asked: self.overrides.extend(
                asked["name"], asked["until"], asked["who"], asked.get("why", "")
            ).as_json(),
            "endpoints": lambda asked: {"endpoints": self.endpoints(), "lists": self.lists()},
            "fleet": lambda asked: self.membership.coordinator.status() if self.membership else {},
            "budgets": lambda asked: self.membership.describe_budgets() if self.membership else {},
            "control": lambda asked: self.control_plane.status() if self.control_plane else {},
            "confirm": lambda asked: isinstance(self.directory, FileDirectory) and self.directory.confirm(),
            "explain": lambda asked: explain.explain(
                self.engine.dispatcher, asked["destination"], asked.get("key", ""), self.engine.now()
            ),
        }

    def set_override(self, asked: Mapping[str, Any]) -> dict[str, Any]:
        new = self.overrides.set(
            OverrideKind(asked["kind"]), asked["endpoint"], asked["who"], asked["why"], asked["begins"],
            asked["until"], asked.get("weight", 1.0), asked.get("destination", -1),
            asked.get("tenant", ""), asked.get("key", ""),
        )  # fmt: skip
        return {"override": new.as_json(), "in_vain": self.overrides.vain.get(new.name, "")}

    def list_overrides(self) -> dict[str, Any]:
        found = [each.as_json() for each in self.overrides.book.overrides.values()]
        return {"overrides": found, "in_vain": self.overrides.vain, "all_out": self.overrides.empty}

    def lists(self) -> list[dict[str, object]]:
        return self.directory.lists() if isinstance(self.directory, FileDirectory) else []

    def endpoints(self) -> list[dict[str, Any]]:
        believed = {each["id"]: each for each in explain.endpoints(self.engine.dispatcher, self.engine.now())}
        overlay = self.overrides.overlay
        found = []
        for name, listed in overlay.listed.items():
            shown = overlay.shown.get(name, listed)
            told = {"id": name, "destination": listed.destination, "listed": listed.state.value}
            over = overlay.force.out.get(name) or overlay.force.weights.get(name)
            over = over or overlay.force.pins.get(listed.destination)
            told |= {"told": shown.state.value, "override": over.name if over else None}
            found.append(believed.get(name, {}) | told)
        return sorted(found, key=lambda each: (each["destination"], each["id"]))


def reload_configuration(sender: StandaloneSender, path: Path) -> None:
    """SIGHUP: the list of endpoints is read anew, and the keys of the link, each whole or not at all, and the
    wholes of shared budgets; the rest waits for the next start."""
    if sender.membership:
        sender.membership.link.reread_keys()
    try:
        config = load(path)
        if sender.control_plane:
            config = sender.control_plane.reload(config)
        sender.directory.configure(config.endpoints)
        if sender.membership and config.fleet:
            sender.membership.configure(config.budgets, config.fleet.size)
        log.info("%d endpoints from now on", len(sender.directory.places))
    except (ConfigError, OSError) as error:
        log.error("the new configuration is not used: %s", error)


def write_destination_inventory(sender: StandaloneSender) -> None:
    """SIGUSR1: what is kept for each destination, as a file in the state folder."""
    engine = sender.engine
    try:
        path = inventory.write(engine.dispatcher, engine.now(), engine.config.state)
        log.info("what is kept for each destination is in %s", path)
    except OSError as error:
        log.error("what is kept for each destination is not told: %s", error)


async def serve(
    path: Path,
    config: SenderConfig,
    state: Path,
    out: TextIO,
    witness: TrafficObserver | None = None,
    machine: HostMachine | None = None,
) -> int:
    sender = StandaloneSender(config, state, CompletionWriter(out), witness, machine)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, reload_configuration, sender, path)
    loop.add_signal_handler(signal.SIGUSR1, write_destination_inventory, sender)
    await sender.start()
    return await sender.run()
