"""Spending of shared budgets by calls.

Capacity is reserved when the policy chooses a call, and spent when the first byte of the call is sent.
"""

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from message_sender.budget.enforcer import NEVER_US, LimitEnforcer
from message_sender.budget.manager import LeaseManager
from message_sender.core.engine import Engine
from message_sender.core.hooks import EngineHooks
from message_sender.http.client import HttpTransport
from message_sender.policy.model import Endpoint
from message_sender.service.budget_demand import bound_destinations, wake_policy
from message_sender.service.budget_registry import CALL_RESOURCES, BudgetRegistry


@dataclass(slots=True)
class CallReservation:
    """The reservation of a message's call, from the policy's choice to the end of the call.

    Attributes:
        endpoint: The endpoint's id.
        names: The names of the budgets that the call spends from when its first byte is sent.
        is_retry: Whether the message was attempted before.
        connection_names: The names of the budgets in which a new connection for the call is reserved.
        has_pool_claim: Whether an idle connection of the pool is set aside for the call.
    """

    endpoint: str
    names: list[str]
    is_retry: bool
    connection_names: list[str] = field(default_factory=list)
    has_pool_claim: bool = False


class CallReservations(EngineHooks):
    """Implements the policy's `SharedLimits` and the engine's hooks for calls.

    Attributes:
        transport: The transport with the connection pool; None while no budget limits connections.
        calls: The reservations by message id.
        pool_claims: The number of reserved calls that use an idle connection of the pool, by endpoint.
        retry_times_us: The time at which a denied call may be tried again, in microseconds of `clock`, by
            destination.
    """

    def __init__(
        self, engine: Engine, registry: BudgetRegistry, manager: LeaseManager, clock: Callable[[], int]
    ) -> None:
        """Initializes without reservations.

        Args:
            engine: The sender's engine.
            registry: The open budgets.
            manager: The leases of this sender.
            clock: The budgets' clock, in microseconds.
        """
        self.engine = engine
        self.registry = registry
        self.manager = manager
        self.clock = clock
        self.transport: HttpTransport | None = None
        self.calls: dict[str, CallReservation] = {}
        self.pool_claims: Counter[str] = Counter()
        self.retry_times_us: dict[int, int] = {}

    # The delivery policy's port.

    def available_at(
        self, endpoint: Endpoint, now: int, is_trial: bool = False, is_retry: bool = False
    ) -> float:
        """Returns the earliest time of another call to the endpoint, in microseconds of the policy's clock.

        The result is infinity where the call has to wait until a share increases or another call ends.
        """
        budgets = self.registry.budgets_of(endpoint)
        names = budgets.for_call(is_trial, is_retry)
        if self.needs_connection(endpoint.id):
            names += budgets.connections
        available_times_us = [self.budget_available_at_us(name) for name in names]
        available_at_us = max(available_times_us, default=0)
        clock_us = self.clock()
        if available_at_us <= clock_us:
            return now
        if any(
            clock_us < time_us < NEVER_US and not self.is_retried_by_policy(name)
            for name, time_us in zip(names, available_times_us, strict=True)
        ):
            earlier_us = self.retry_times_us.get(endpoint.destination, NEVER_US)
            self.retry_times_us[endpoint.destination] = min(available_at_us, earlier_us)
        return math.inf if available_at_us >= NEVER_US else now + available_at_us - clock_us

    def reserve(
        self, endpoint: Endpoint, message_id: str, is_trial: bool = False, is_retry: bool = False
    ) -> None:
        """Reserves capacity for the call that the policy has chosen for a message."""
        budgets = self.registry.budgets_of(endpoint)
        reservation = CallReservation(endpoint.id, budgets.for_call(is_trial, is_retry), is_retry)
        self.calls[message_id] = reservation
        if self.needs_connection(endpoint.id):
            reservation.connection_names = budgets.connections
        elif self.transport:
            reservation.has_pool_claim = True
            self.pool_claims[endpoint.id] += 1
        for name in reservation.names + reservation.connection_names:
            self.registry.counter_of(name).reserve(message_id)

    def budget_available_at_us(self, name: str) -> int:
        """Returns the time at which one more unit of the budget is free, in microseconds of `clock`."""
        allowance = self.registry.allowances.get(name)
        return allowance.available_at(self.clock()) if allowance else self.manager.available_at(name)

    def needs_connection(self, endpoint: str) -> bool:
        """Whether the next call to the endpoint needs a new connection that spends from a budget."""
        if self.transport is None:
            return False
        return self.pool_claims[endpoint] >= len(self.transport.pool.get(endpoint, ()))

    def is_retried_by_policy(self, name: str) -> bool:
        """Whether the policy itself reconsiders a denied call once the budget has capacity.

        The policy does so for calls that a destination's budget limits, but not for trials, retries or single
        endpoints.
        """
        definition = self.registry.open_budgets[name].definition
        return definition.resource in CALL_RESOURCES and definition.binding == "destination"

    def wake_denied(self) -> None:
        """Makes the policy reconsider the destinations whose denied calls may be tried again now."""
        now_us = self.clock()
        due = [number for number, time_us in self.retry_times_us.items() if time_us <= now_us]
        for number in due:
            del self.retry_times_us[number]
        wake_policy(self.engine, due)

    def share_increased(self, name: str) -> None:
        """Makes the policy reconsider the destinations of a budget whose local share has increased."""
        definition, value = self.registry.open_budgets[name]
        wake_policy(self.engine, bound_destinations(self.engine, definition.binding, value))

    # The engine's hooks.

    def reserve_limits(self, endpoint: str, message_id: str) -> bool:
        """Spends a call from its budgets just before its first byte is sent.

        Returns:
            False if one of the budgets has no capacity, or if the endpoint is not known.
        """
        known = self.engine.dispatcher.endpoints.get(endpoint)
        if known is None:
            return False
        reservation = self.calls.get(message_id)
        if reservation is None:
            names = self.registry.budgets_of(known.listed).for_call(is_trial=False, is_retry=False)
            reservation = CallReservation(endpoint, names, is_retry=False)
        now_us = self.clock()
        if not self.try_spend(reservation, message_id, now_us):
            return False
        if not reservation.is_retry:
            self.record_first_attempt(known.listed, now_us)
        self.calls[message_id] = reservation
        return True

    def try_spend(self, reservation: CallReservation, message_id: str, now_us: int) -> bool:
        """Spends from all budgets of the call or from none; returns whether it spent."""
        known = self.registry.allowances
        allowances = [known[name] for name in reservation.names if name in known]
        leased = [name for name in reservation.names if name not in known]
        self.drop_pool_claim(reservation)
        if not all(each.has_capacity(now_us) for each in allowances):
            return False
        if not self.manager.try_spend(leased, message_id):
            return False
        for allowance in allowances:
            allowance.spend(message_id, now_us)
        return True

    def record_first_attempt(self, endpoint: Endpoint, now_us: int) -> None:
        """Counts a first attempt for the budgets that limit retries to a fraction of them."""
        for name in self.registry.budgets_of(endpoint).retries:
            if name in self.registry.allowances:
                self.registry.allowances[name].record_first_attempt(now_us)
                self.share_increased(name)

    def drop_pool_claim(self, reservation: CallReservation) -> None:
        """Ends the claim on a pooled connection: the call has its connection or needs none."""
        if reservation.has_pool_claim:
            reservation.has_pool_claim = False
            self.pool_claims[reservation.endpoint] -= 1

    def release_limits(self, message_id: str) -> None:
        """Releases all that the message's call holds, after its end."""
        reservation = self.calls.pop(message_id, None)
        if reservation is None:
            return
        self.drop_pool_claim(reservation)
        for name in reservation.names + reservation.connection_names:
            if name in self.registry.open_budgets:  # an idle budget may have been closed during a long call
                self.release(name, message_id)

    def release(self, name: str, message_id: str) -> None:
        """Releases what the message holds of one budget."""
        counter = self.registry.counter_of(name)
        was_held = isinstance(counter, LimitEnforcer) and message_id in counter.active
        counter.release(message_id)
        if was_held:
            self.share_increased(name)

    def call_timeout_us(self, endpoint: str, message_id: str) -> float:
        """Returns the maximum duration of the call in microseconds.

        A budget of concurrent use counts a unit as held only up to its maximum hold time, so the call must
        end by then.
        """
        known = self.engine.dispatcher.endpoints.get(endpoint)
        reservation = self.calls.get(message_id)
        names = list(reservation.names) if reservation else []
        if known:
            names += self.registry.budgets_of(known.listed).connections
        timeout_us = math.inf
        for name in names:
            if name in self.registry.allowances:
                continue
            budget = self.manager.ledgers[name].budget
            if budget.window_us is None:
                # A connection takes new calls during the first half of its hold time (`max_age_s`); the
                # second half is left for a call that begins at the end of the first.
                divisor = 2 if budget.resource == "connections" else 1
                timeout_us = min(timeout_us, budget.max_hold_us / divisor)
        return timeout_us
