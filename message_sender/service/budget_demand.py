"""What waits for a shared budget at this sender, and how much of the budget its endpoints can take."""

import math
from collections import deque
from collections.abc import Callable, Collection
from itertools import islice

from message_sender.budget.ledger import FULLY_WARM_PERMILLE
from message_sender.core.engine import Engine
from message_sender.policy.events import WakeUp
from message_sender.service.budget_registry import BoundValue, OpenBudget

MAX_TENANT_DEMAND = 64  # rejected messages that count as demand
MAX_MESSAGES_SCANNED = 256  # pending messages that are searched for retries


def bound_destinations(engine: Engine, by: str, value: BoundValue) -> Collection[int]:
    """Returns the destinations that a budget concerns; an endpoint's is the one where it is listed now."""
    endpoints = engine.dispatcher.endpoints
    if by == "destination":
        return (int(value or 0),)
    if by == "endpoint":
        return (endpoints[str(value)].listed.destination,) if value in endpoints else ()
    if by == "zone":
        return {each.listed.destination for each in endpoints.values() if each.listed.zone == value}
    return ()


def wake_policy(engine: Engine, destinations: Collection[int]) -> None:
    """Makes the delivery policy look again at destinations whose limits may have grown."""
    for destination in destinations:
        engine.dispatcher.registry.limits_raised(destination)
        engine.post(WakeUp())


class BudgetDemand:
    """Computes the demand for budgets from the delivery policy's tables.

    Attributes:
        tenant_rejections: When messages of a tenant were rejected lately, in us, by the budget's name.
        last_failure_us: When the last call to a destination was known to have failed, on the policy's clock.
    """

    def __init__(self, engine: Engine, clock: Callable[[], int]) -> None:
        """`clock`: the budgets' clock, in us."""
        self.engine = engine
        self.clock = clock
        self.tenant_rejections: dict[str, deque[int]] = {}
        self.last_failure_us: dict[int, int] = {}

    def record_tenant_rejection(self, name: str, now_us: int) -> None:
        """A message of the budget's tenant was rejected."""
        self.tenant_rejections.setdefault(name, deque(maxlen=MAX_TENANT_DEMAND)).append(now_us)

    def pending_demand(self, name: str, budget: OpenBudget) -> int:
        """Returns how many messages wait for the budget, or were rejected lately."""
        definition, value = budget
        if definition.of == "tenant":
            return self.count_tenant_rejections(name, self.clock() - definition.lease)
        known = self.engine.dispatcher.destinations
        numbers = bound_destinations(self.engine, definition.by, value)
        destinations = [known[number] for number in numbers if number in known]
        if definition.of == "trials":
            return sum(1 for each in destinations if each.pending and self.may_try(each.number))
        if definition.of == "repeats":
            messages = (message for each in destinations for message in (each.pending or {}).values())
            return sum(1 for message in islice(messages, MAX_MESSAGES_SCANNED) if message.attempts)
        return sum(len(each.pending or ()) for each in destinations)

    def count_tenant_rejections(self, name: str, since_us: int) -> int:
        """Returns how many messages of the budget's tenant were rejected since then."""
        rejections = self.tenant_rejections.get(name, deque())
        while rejections and rejections[0] < since_us:
            rejections.popleft()
        return len(rejections)

    def may_try(self, number: int) -> bool:
        """Whether a breaker of the destination is open, and this sender may try one of its endpoints."""
        destination = self.engine.dispatcher.destinations[number]
        if not any(each.is_open() for each in destination.breakers):
            return False
        return any(self.engine.hooks.may_call(each.listed.id) for each in destination.endpoints)

    def warm_permille(self, budget: OpenBudget) -> int:
        """Returns how much of its rate a destination that recovers can take, in thousandths.

        One failed call counts, because each sender of a large fleet sees few of them; the grantor goes by
        the median of all estimates.
        """
        definition, value = budget
        destination = self.engine.dispatcher.destinations.get(value) if isinstance(value, int) else None
        if definition.of != "calls" or definition.by != "destination":
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
