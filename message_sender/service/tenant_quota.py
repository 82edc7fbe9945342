"""Shared budgets of tenants: how many messages each tenant may submit to the fleet."""

from collections.abc import Callable

from message_sender.budget.enforcer import NEVER_US
from message_sender.budget.manager import LeaseManager
from message_sender.core.engine import Engine
from message_sender.message import Message
from message_sender.service.budget_demand import BudgetDemand
from message_sender.service.budget_registry import BudgetRegistry

UNKNOWN_DELAY_US = 500_000  # where nobody can say when there is capacity
MIN_DELAY_US = 1000


class TenantQuota:
    """Admits messages within their tenants' budgets."""

    def __init__(
        self,
        engine: Engine,
        registry: BudgetRegistry,
        manager: LeaseManager,
        demand: BudgetDemand,
        clock: Callable[[], int],
    ) -> None:
        """`clock`: the budgets' clock, in us."""
        self.engine = engine
        self.registry = registry
        self.manager = manager
        self.demand = demand
        self.clock = clock

    def delay_us(self, message: Message) -> int:
        """Spends a message of its tenant; else returns after how many us it may be submitted again.

        0: it is within the quota.
        """
        for name in self.budgets_of(message.tenant):
            now_us = self.clock()
            if self.manager.try_spend([name], ""):
                continue
            self.demand.record_tenant_rejection(name, now_us)
            free_at_us = self.manager.free_at(name)
            return UNKNOWN_DELAY_US if free_at_us >= NEVER_US else max(free_at_us - now_us, MIN_DELAY_US)
        return 0

    def budgets_of(self, tenant: str) -> list[str]:
        """Returns the tenant's budgets; none is opened for a name that a client has made up."""
        if tenant in dict(self.engine.settings.tenants):
            return self.registry.names_for("tenant", tenant)
        return self.registry.names_by_binding.get(("tenant", tenant), [])
