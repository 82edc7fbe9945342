"""Shared budgets of connections and handshakes, which the transport reserves before it opens a connection."""

import math
from collections.abc import Callable
from functools import partial
from itertools import count

from message_sender.budget.manager import LeaseManager
from message_sender.core.engine import Engine
from message_sender.http.call import BODY_TIMEOUT_S
from message_sender.http.client import HttpTransport
from message_sender.service.budget_registry import AnnouncedLimit, BudgetRegistry
from message_sender.service.call_reservations import CallReservations

US_PER_S = 1e6


class ConnectionBudgets:
    """Spends from budgets for the connections of the transport.

    Attributes:
        transport: The bound transport; None while no budget limits connections.
    """

    def __init__(
        self,
        engine: Engine,
        registry: BudgetRegistry,
        manager: LeaseManager,
        reservations: CallReservations,
        clock: Callable[[], int],
    ) -> None:
        """Initializes without a transport.

        Args:
            engine: The sender's engine.
            registry: The open budgets.
            manager: The leases of this sender.
            reservations: The reservations of calls.
            clock: The budgets' clock, in microseconds.
        """
        self.engine = engine
        self.registry = registry
        self.manager = manager
        self.reservations = reservations
        self.clock = clock
        self.transport: HttpTransport | None = None
        self._connection_numbers = count()

    def bind(self, transport: HttpTransport) -> None:
        """Installs the transport callbacks that the configured budgets need."""
        if self.registry.has_connection_budgets():
            self.transport = transport
            self.reservations.transport = transport
            transport.reserve_connection = self.open_connection
            transport.max_age_s = self.max_age_s
        if self.registry.has_announced_limits():
            transport.on_limit_announced = self.record_announced_limit

    def connection_names(self, endpoint: str) -> list[str]:
        """Returns the names of the budgets that connections to the endpoint spend from."""
        known = self.engine.dispatcher.endpoints.get(endpoint)
        return self.registry.budgets_of(known.listed).connections if known else []

    def open_connection(self, endpoint: str, message_id: str) -> Callable[[], None] | None:
        """Spends from the budgets for a connection that is about to be opened.

        Returns:
            The callback for the connection's closing; None if the connection must not be opened.
        """
        known = self.engine.dispatcher.endpoints.get(endpoint)
        if known is None:
            return None
        names = self.registry.budgets_of(known.listed).connections
        token = f"connection {next(self._connection_numbers)}"
        if reservation := self.reservations.calls.get(message_id):
            self.reservations.drop_pool_claim(reservation)
            for name in reservation.connection_names:
                self.registry.counter_of(name).release(message_id)
            reservation.connection_names = []
        if not self.manager.try_spend(names, token):
            return None
        return partial(self.connection_closed, names, token)

    def connection_closed(self, names: list[str], token: str) -> None:
        """Releases a closed connection's units, and wakes calls that wait for them."""
        for name in names:
            if name in self.manager.ledgers:
                self.manager.ledgers[name].enforcer.release(token)
                self.reservations.share_increased(name)

    def max_age_s(self, endpoint: str) -> float:
        """Returns the age in seconds at which a connection stops taking new calls.

        It is half of the maximum hold time; the other half is left for a call that begins just before.
        """
        age_s = math.inf
        for name in self.connection_names(endpoint):
            budget = self.manager.ledgers[name].budget
            if budget.window_us is None:
                age_s = min(age_s, budget.max_hold_us / 2 / US_PER_S - BODY_TIMEOUT_S)
        return age_s

    def close_excess(self) -> None:
        """Closes idle connections in excess of a share that has decreased."""
        for name, ledger in list(self.manager.ledgers.items()):
            resource = self.registry.open_budgets[name].definition.resource
            excess = ledger.enforcer.usage(self.clock()) - ledger.share()
            if resource == "connections" and excess > 0 and self.transport:
                self.close_idle_connections(self.transport, name, excess)

    def close_idle_connections(self, transport: HttpTransport, name: str, number: int) -> None:
        """Closes up to `number` idle connections that spend from the budget."""
        bound = [
            connection
            for connection, endpoint in transport.idle.items()
            if name in self.connection_names(endpoint)
        ]
        for connection in bound[:number]:
            transport.close_idle_connection(connection)

    def record_announced_limit(self, endpoint: str, calls: int, window_us: int) -> None:
        """Records a limit that a response announced: `calls` in `window_us` microseconds."""
        if known := self.engine.dispatcher.endpoints.get(endpoint):
            self.registry.record_announced_limit(known.listed.destination, AnnouncedLimit(calls, window_us))
