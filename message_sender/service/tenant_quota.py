"""Shared budgets of tenants, which limit the messages that a tenant may submit to the whole fleet."""

from collections.abc import Callable

from message_sender.budget.enforcer import NEVER_US
from message_sender.budget.manager import LeaseManager
from message_sender.core.engine import Engine
from message_sender.message import Message
from message_sender.service.budget_demand import BudgetDemand
from message_sender.service.budget_registry import BudgetRegistry

UNKNOWN_DELAY_US = 500_000  # the delay where the time of the next free capacity is not known
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
        """Initializes the admission check.

        Args:
            engine: The sender's engine.
            registry: The open budgets.
            manager: The leases of this sender.
            demand: Records rejections as demand.
            clock: The budgets' clock, in microseconds.
        """
        self.engine = engine
        self.registry = registry
        self.manager = manager
        self.demand = demand
        self.clock = clock

    def delay_us(self, message: Message) -> int:
        """Spends a message from its tenant's budgets.

        Returns:
            0 if the message is within the quota, else the microseconds after which it may be submitted again.
        """
        for name in self.budgets_of(message.tenant):
            now_us = self.clock()
            if self.manager.try_spend([name], ""):
                continue
            self.demand.record_tenant_rejection(name, now_us)
            available_at_us = self.manager.available_at(name)
            return (
                UNKNOWN_DELAY_US
                if available_at_us >= NEVER_US
                else max(available_at_us - now_us, MIN_DELAY_US)
            )
        return 0

    def budgets_of(self, tenant: str) -> list[str]:
        """Returns the names of the tenant's budgets.

        Templates open budgets only for tenants of the settings, so that clients cannot create budgets by
        sending arbitrary names.
        """
        if tenant in dict(self.engine.settings.tenants):
            return self.registry.names_for("tenant", tenant)
        return self.registry.names_by_binding.get(("tenant", tenant), [])
