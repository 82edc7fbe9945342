"""This sender's demand for shared budgets, and the share of a rate that a recovering destination can take."""

import math
from collections import deque
from collections.abc import Callable, Collection
from itertools import islice

from message_sender.budget.ledger import FULLY_WARM_PERMILLE
from message_sender.core.engine import Engine
from message_sender.policy.events import WakeUp
from message_sender.service.budget_registry import BoundValue, OpenBudget

MAX_TENANT_DEMAND = 64  # rejected messages per tenant budget that count as demand
MAX_MESSAGES_SCANNED = 256  # pending messages that are examined to count retries


def bound_destinations(engine: Engine, binding: str, value: BoundValue) -> Collection[int]:
    """Returns the destinations that a budget applies to, by the current endpoint list."""
    endpoints = engine.dispatcher.endpoints
    if binding == "destination":
        return (int(value or 0),)
    if binding == "endpoint":
        return (endpoints[str(value)].listed.destination,) if value in endpoints else ()
    if binding == "zone":
        return {each.listed.destination for each in endpoints.values() if each.listed.zone == value}
    return ()


def wake_policy(engine: Engine, destinations: Collection[int]) -> None:
    """Makes the delivery policy reconsider destinations whose limits may have increased."""
    for destination in destinations:
        engine.dispatcher.registry.recheck_destination(destination)
        engine.post(WakeUp())


class BudgetDemand:
    """Computes the demand for budgets from the delivery policy's tables.

    Attributes:
        tenant_rejections: The times of the latest rejections of a tenant's messages, in microseconds of
            `clock`, by budget name.
        last_failure_us: The last time at which a breaker of a destination was open or had counted a failure,
            in microseconds of the policy's clock, by destination.
    """

    def __init__(self, engine: Engine, clock: Callable[[], int]) -> None:
        """Initializes without any recorded rejection or failure.

        Args:
            engine: The sender's engine.
            clock: The budgets' clock, in microseconds.
        """
        self.engine = engine
        self.clock = clock
        self.tenant_rejections: dict[str, deque[int]] = {}
        self.last_failure_us: dict[int, int] = {}

    def record_tenant_rejection(self, name: str, now_us: int) -> None:
        """Records the rejection of a message of the budget's tenant."""
        self.tenant_rejections.setdefault(name, deque(maxlen=MAX_TENANT_DEMAND)).append(now_us)

    def pending_demand(self, name: str, budget: OpenBudget) -> int:
        """Returns how many messages wait for the budget.

        For a tenant's budget, these are the messages that were rejected within the last lease duration.
        """
        definition, value = budget
        if definition.resource == "tenant":
            return self.count_tenant_rejections(name, self.clock() - definition.lease_us)
        known = self.engine.dispatcher.destinations
        numbers = bound_destinations(self.engine, definition.binding, value)
        destinations = [known[number] for number in numbers if number in known]
        if definition.resource == "trials":
            return sum(1 for each in destinations if each.pending and self.may_start_trial(each.number))
        if definition.resource == "repeats":
            messages = (message for each in destinations for message in (each.pending or {}).values())
            return sum(1 for message in islice(messages, MAX_MESSAGES_SCANNED) if message.attempts)
        return sum(len(each.pending or ()) for each in destinations)

    def count_tenant_rejections(self, name: str, since_us: int) -> int:
        """Returns how many messages of the budget's tenant were rejected since the given time."""
        rejections = self.tenant_rejections.get(name, deque())
        while rejections and rejections[0] < since_us:
            rejections.popleft()
        return len(rejections)

    def may_start_trial(self, number: int) -> bool:
        """Whether a breaker of the destination is open and this sender may call one of its endpoints."""
        destination = self.engine.dispatcher.destinations[number]
        if not any(each.is_open() for each in destination.breakers):
            return False
        return any(self.engine.hooks.may_call(each.listed.id) for each in destination.endpoints)

    def warm_permille(self, budget: OpenBudget) -> int:
        """Returns the share of its rate that a recovering destination can take, in thousandths.

        A single failed call restarts the slow start, because each sender of a large fleet sees only a few of
        them; the grantor uses the median of all senders' estimates.
        """
        definition, value = budget
        destination = self.engine.dispatcher.destinations.get(value) if isinstance(value, int) else None
        if definition.resource != "calls" or definition.binding != "destination":
            return FULLY_WARM_PERMILLE
        if destination is None or not destination.breakers:
            return FULLY_WARM_PERMILLE
        now_us = self.engine.now()
        settings = self.engine.settings
        if any(each.is_open() or each.failures >= 1 for each in destination.breakers):
            self.last_failure_us[destination.number] = now_us
        elapsed_us = now_us - self.last_failure_us.get(destination.number, -math.inf)
        progress = min(elapsed_us / settings.slow_start, 1.0)
        share = settings.slow_start_from + (1 - settings.slow_start_from) * progress
        return int(FULLY_WARM_PERMILLE * share)
