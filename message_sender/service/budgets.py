"""Connects the budgets that a fleet shares (budget/manager.py) to the engine, policy and link of one sender.

The module is imported only where the configuration has a budget.
"""

import logging
import time
from collections.abc import Callable
from typing import Any, Protocol

from message_sender.budget.manager import LeaseManager
from message_sender.configuration.resources import SharedBudget
from message_sender.core.engine import Engine
from message_sender.fleet import wire
from message_sender.http.client import HttpTransport
from message_sender.message import Message
from message_sender.service.budget_demand import BudgetDemand
from message_sender.service.budget_registry import BudgetRegistry
from message_sender.service.call_reservations import CallReservations
from message_sender.service.connection_budgets import ConnectionBudgets
from message_sender.service.tenant_quota import TenantQuota

MAINTENANCE_INTERVAL_S = 0.1

log = logging.getLogger(__name__)


def boottime_us() -> int:
    """Returns the time of a clock that keeps running while the machine is suspended, in microseconds."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


class FleetNodePort(Protocol):
    """The operations of this sender's node in the fleet that budgets need (fleet/node.py)."""

    on_lease_datagram: Callable[[str, wire.LeaseDatagram], None]
    on_epoch_raised: Callable[[int], None]

    @property
    def members(self) -> Any:  # noqa: ANN401
        """The members of the fleet."""

    def others(self) -> list[str]:
        """Returns the names of the other live members."""

    def send_to(self, name: str, body: wire.LeaseDatagram) -> None:
        """Queues a datagram for a member."""


class FleetLinkPort(Protocol):
    """The operations of the link to the fleet that budgets need (fleet/udp.py)."""

    @property
    def node(self) -> FleetNodePort:
        """This sender's node."""

    def flush(self) -> None:
        """Sends the queued datagrams."""


class SharedBudgets:
    """The shared budgets of one sender.

    Attributes:
        manager: The leases of this sender.
        demand: Computes the demand for budgets.
        registry: The open budgets.
        reservations: Spends from budgets for calls; a port of the policy and the engine.
        connections: Spends from budgets for connections; a port of the transport.
        tenants: Spends from budgets for new messages.
    """

    def __init__(
        self,
        engine: Engine,
        link: FleetLinkPort,
        definitions: tuple[SharedBudget, ...],
        max_members: int,
        clock: Callable[[], int] = boottime_us,
    ) -> None:
        """Opens the budgets; they apply once `bind` has been called.

        Args:
            engine: The sender's engine.
            link: The link to the fleet.
            definitions: The budgets of the configuration.
            max_members: The largest number of senders in the fleet.
            clock: Returns the time of a clock that keeps running while the machine is suspended, in
                microseconds.
        """
        self.engine = engine
        self.link = link
        member = link.node.members.me
        self.manager = LeaseManager(member.name, member.epoch, clock)
        self.demand = BudgetDemand(engine, clock)
        self.registry = BudgetRegistry(engine, self.manager, self.demand, max_members)
        self.reservations = CallReservations(engine, self.registry, self.manager, clock)
        self.connections = ConnectionBudgets(engine, self.registry, self.manager, self.reservations, clock)
        self.tenants = TenantQuota(engine, self.registry, self.manager, self.demand, clock)
        self.manager.share_increased = self.reservations.share_increased
        self._next_maintenance = 0.0
        self._logged_until_us: dict[str, float] = {}
        for definition in definitions:
            self.registry.add(definition)
        link.node.on_lease_datagram = self.handle_datagram
        self._next_epoch_listener = link.node.on_epoch_raised
        link.node.on_epoch_raised = self.epoch_raised

    def bind(self) -> None:
        """Connects the budgets to the engine, the policy and the transport."""
        self.engine.dispatcher.registry.shared_limits = self.reservations
        self.engine.hooks.add(self.reservations)
        if isinstance(self.engine.transport, HttpTransport):
            self.connections.bind(self.engine.transport)

    def configure(self, definitions: tuple[SharedBudget, ...], max_members: int) -> None:
        """Applies a new configuration; see `BudgetRegistry.configure`."""
        self.registry.configure(definitions, max_members)
        self.bind()  # a new budget may be the first that applies to the transport

    def changes_for_next_start(self, definitions: tuple[SharedBudget, ...]) -> list[str]:
        """Returns one text for each budget that `configure` would leave unchanged until the next start."""
        return self.registry.changes_for_next_start(definitions)

    def tenant_delay_us(self, message: Message) -> int:
        """Returns the microseconds after which a tenant's message may be submitted again; 0 admits it."""
        return self.tenants.delay_us(message)

    # The link.

    def handle_datagram(self, sender: str, datagram: wire.LeaseDatagram) -> None:
        """Handles a datagram of another sender."""
        self.registry.open_reported(datagram.budget)
        self.manager.handle_datagram(sender, datagram)
        self.send_datagrams()

    def epoch_raised(self, epoch: int) -> None:
        """Handles a report that another sender has seen a later epoch of this sender's name."""
        self._next_epoch_listener(epoch)
        self.manager.restart_session(epoch)

    def send_datagrams(self) -> None:
        """Sends the datagrams that the lease manager has queued."""
        outgoing, self.manager.outbox = self.manager.outbox, []
        for each in outgoing:
            self.link.node.send_to(each.receiver, each.datagram)
        self.link.flush()

    def step(self, now: float) -> None:
        """Does the periodic work.

        Args:
            now: The loop's time in seconds; the link calls this several times a second.
        """
        self.manager.tick(self.link.node.others())
        self.send_datagrams()
        self.reservations.wake_denied()
        if now >= self._next_maintenance:
            self._next_maintenance = now + MAINTENANCE_INTERVAL_S
            for name in self.registry.close_idle():
                self._logged_until_us.pop(name, None)
            self.registry.update_announced_limits()
            self.connections.close_excess()
            self.log_changes()

    def log_changes(self) -> None:
        """Logs the changes of budgets since the last call."""
        for name, ledger in self.manager.ledgers.items():
            for change in ledger.changes:
                if change.at_us > self._logged_until_us.get(name, 0):
                    log.info("budget changed: budget=%s change=%r", name, change.text)
            if ledger.changes:
                self._logged_until_us[name] = ledger.changes[-1].at_us

    def close(self) -> None:
        """Releases the unused leases, and sends the datagrams that say so."""
        self.manager.release_all()
        self.send_datagrams()
