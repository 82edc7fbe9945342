"""Shared budgets of connections and handshakes: the transport asks before it opens a connection."""

import math
from collections.abc import Callable
from functools import partial
from itertools import count

from message_sender.budget.manager import LeaseManager
from message_sender.core.engine import Engine
from message_sender.http.call import BODY_PATIENCE
from message_sender.http.client import HttpTransport
from message_sender.service.budget_registry import AnnouncedLimit, BudgetRegistry
from message_sender.service.call_reservations import CallReservations

US_PER_S = 1e6


class ConnectionBudgets:
    """Spends from budgets for the connections of the transport.

    Attributes:
        transport: The transport that it is bound to; None before `bind`.
    """

    def __init__(
        self,
        engine: Engine,
        registry: BudgetRegistry,
        manager: LeaseManager,
        reservations: CallReservations,
        clock: Callable[[], int],
    ) -> None:
        """`clock`: the budgets' clock, in us."""
        self.engine = engine
        self.registry = registry
        self.manager = manager
        self.reservations = reservations
        self.clock = clock
        self.transport: HttpTransport | None = None
        self._connection_numbers = count()

    def bind(self, transport: HttpTransport) -> None:
        """Hooks into the transport, as far as the configured budgets need it."""
        if self.registry.has_connection_budgets():
            self.transport = transport
            self.reservations.transport = transport
            transport.reserve_connection = self.open_connection
            transport.max_age_s = self.max_age_s
        if self.registry.has_announced_limits():
            transport.on_limit_announced = self.record_announced_limit

    def connection_names(self, endpoint: str) -> list[str]:
        """Returns the budgets that connections to the endpoint spend from."""
        known = self.engine.dispatcher.endpoints.get(endpoint)
        return self.registry.budgets_of(known.listed).connections if known else []

    def open_connection(self, endpoint: str, message_id: str) -> Callable[[], None] | None:
        """Spends a connection that is about to open.

        Returns:
            What is to be called once it is closed; None: it must not be opened.
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
        """A connection has been closed."""
        for name in names:
            if name in self.manager.ledgers:
                self.manager.ledgers[name].enforcer.release(token)
                self.reservations.share_increased(name)

    def max_age_s(self, endpoint: str) -> float:
        """Returns the age in seconds from which on a connection takes no more calls.

        It is half of the longest hold, since the other half is for a call that begins just before.
        """
        age_s = math.inf
        for name in self.connection_names(endpoint):
            budget = self.manager.ledgers[name].budget
            if budget.window_us is None:
                age_s = min(age_s, budget.max_hold_us / 2 / US_PER_S - BODY_PATIENCE)
        return age_s

    def close_excess(self) -> None:
        """Closes idle connections above a share that has shrunk."""
        for name, ledger in list(self.manager.ledgers.items()):
            resource = self.registry.open_budgets[name].definition.of
            excess = ledger.enforcer.usage(self.clock()) - ledger.share()
            if resource == "connections" and excess > 0 and self.transport:
                self.close_idle_connections(self.transport, name, excess)

    def close_idle_connections(self, transport: HttpTransport, name: str, number: int) -> None:
        """Closes up to so many idle connections that spend from the budget."""
        bound = [
            connection
            for connection, endpoint in transport.idle.items()
            if name in self.connection_names(endpoint)
        ]
        for connection in bound[:number]:
            transport.close_one(connection)

    def record_announced_limit(self, endpoint: str, calls: int, window_us: int) -> None:
        """A response has announced a limit."""
        if known := self.engine.dispatcher.endpoints.get(endpoint):
            self.registry.record_announced_limit(known.listed.destination, AnnouncedLimit(calls, window_us))
