"""The shared budgets that are open at this sender, and the resource that each of them is bound to.

A budget definition in the configuration is either bound to one destination, endpoint, zone or tenant, or it
is a template. For a template, each destination (endpoint, zone, tenant) has a budget of its own, which is
opened when it is first needed and closed when it is idle.
"""

import logging
from collections import defaultdict
from dataclasses import fields, replace
from functools import partial
from typing import NamedTuple, Protocol

from message_sender.budget.definition import Budget
from message_sender.budget.enforcer import LimitEnforcer
from message_sender.budget.manager import LeaseManager
from message_sender.budget.retry_allowance import RetryAllowance
from message_sender.configuration.resources import SharedBudget
from message_sender.core.engine import Engine
from message_sender.policy.model import Endpoint
from message_sender.service.route_rates import announced_rates

US_PER_S = 1e6

#: Resources that are spent when a connection is opened.
CONNECTION_RESOURCES = frozenset({"connections", "handshakes"})
#: Resources that every call spends.
CALL_RESOURCES = frozenset({"calls", "in_flight"})

#: Names of the settings behind fields of `SharedBudget`, for logs and refusals, where the two differ.
FILE_NAMES = {
    "resource": "of",
    "binding": "kind of binding",
    "value": "bound value",
    "retry_fraction": "share",
    "window_us": "per_ms",
    "lease_us": "lease_ms",
    "slack_us": "slack_ms",
    "max_hold_us": "held_ms",
}

log = logging.getLogger(__name__)

BoundValue = int | str | None


class OpenBudget(NamedTuple):
    """A budget's definition with the destination, endpoint, zone or tenant that the budget is bound to."""

    definition: SharedBudget
    value: BoundValue


class AnnouncedLimit(NamedTuple):
    """A rate limit that a response announced: a number of calls in a window of microseconds."""

    calls: int
    window_us: int


class EndpointBudgets(NamedTuple):
    """The names of the budgets that apply to an endpoint, grouped by what spends from them."""

    endpoint: Endpoint
    calls: list[str]
    trials: list[str]
    retries: list[str]
    connections: list[str]

    def for_call(self, is_trial: bool, is_retry: bool) -> list[str]:
        """Returns the budgets that a call spends from when its first byte is sent."""
        names = list(self.calls)
        if is_trial:
            names += self.trials
        if is_retry:
            names += self.retries
        return names


class DemandSource(Protocol):
    """Computes the demand for a budget."""

    def pending_demand(self, name: str, budget: OpenBudget) -> int:
        """Returns the number of units that wait for the budget, without those in use."""

    def warm_permille(self, budget: OpenBudget) -> int:
        """Returns the share of the limit that can be spent at present, in thousandths."""


def changed_fields(current: SharedBudget, definition: SharedBudget) -> list[str]:
    """Returns the setting names of the fields that differ, apart from the limit."""
    names = [each.name for each in fields(SharedBudget) if each.name != "limit"]
    return [
        FILE_NAMES.get(name, name) for name in names if getattr(current, name) != getattr(definition, name)
    ]


class BudgetRegistry:
    """Indexes the budgets of this sender by name, by binding and by endpoint.

    Attributes:
        max_members: The largest number of senders in the fleet.
        definitions: The definitions of the configuration, by name.
        open_budgets: The open budgets, by name.
        allowances: The open budgets that limit retries to a fraction of first attempts, by name.
        names_by_binding: The names of open budgets, by the kind and value that they are bound to.
        templates: Definitions of which each destination, endpoint, zone or tenant has its own budget, by kind
            of binding.
        announced_limits: The limit that a response announced last, by destination.
    """

    def __init__(self, engine: Engine, manager: LeaseManager, demand: DemandSource, max_members: int) -> None:
        """Initializes without budgets.

        Args:
            engine: The sender's engine.
            manager: Opens the leased budgets and counts their usage.
            demand: Computes the demand for budgets.
            max_members: The largest number of senders in the fleet.
        """
        self.engine = engine
        self.manager = manager
        self.demand = demand
        self.max_members = max_members
        self.definitions: dict[str, SharedBudget] = {}
        self.open_budgets: dict[str, OpenBudget] = {}
        self.allowances: dict[str, RetryAllowance] = {}
        self.names_by_binding: dict[tuple[str, BoundValue], list[str]] = {}
        self.templates: dict[str, list[SharedBudget]] = defaultdict(list)
        self.announced_limits: dict[int, AnnouncedLimit] = {}
        self._endpoint_budgets: dict[str, EndpointBudgets] = {}

    # Configuration.

    def add(self, definition: SharedBudget) -> None:
        """Adds a definition, and opens its budget unless it is a template."""
        self.definitions[definition.name] = definition
        if definition.is_template():
            self.templates[definition.binding].append(definition)
            self._endpoint_budgets.clear()
        else:
            self.open(definition, definition.value)

    def configure(self, definitions: tuple[SharedBudget, ...], max_members: int) -> None:
        """Applies a new configuration as far as that is possible without a restart.

        Changed limits and a larger number of members apply at once, and new budgets are opened. All other
        changes, and removals, apply at the next start: if a sender raised its floor before the grantor knew
        of it, the sum of all shares could exceed the limit.
        """
        self.max_members = max(max_members, self.max_members)
        for definition in definitions:
            self.update(definition)
        for binding, templates in list(self.templates.items()):
            self.templates[binding] = [self.definitions[each.name] for each in templates]
        for name, (previous, value) in self.open_budgets.items():
            definition = self.definitions[previous.name]
            self.open_budgets[name] = OpenBudget(definition, value)
            if definition.retry_fraction is None:
                self.manager.update_budget(self.budget_for(definition, name, value))
        for name in self.definitions.keys() - {each.name for each in definitions}:
            log.warning("removed budget applies until the next start: budget=%s", name)

    def update(self, definition: SharedBudget) -> None:
        """Applies a definition that is new or differs only in its limit; logs any other change."""
        current = self.definitions.get(definition.name)
        if current is None:
            self.add(definition)
        elif replace(definition, limit=current.limit) == current:
            self.definitions[definition.name] = definition
        else:
            changed = ", ".join(changed_fields(current, definition))
            log.warning(
                "budget change waits for the next start: budget=%s fields=%s", definition.name, changed
            )

    def changes_for_next_start(self, definitions: tuple[SharedBudget, ...]) -> list[str]:
        """Returns one text for each budget that `configure` would leave unchanged until the next start."""
        texts = []
        for definition in definitions:
            current = self.definitions.get(definition.name)
            if current is not None and (changed := changed_fields(current, definition)):
                names = ", ".join(changed)
                texts.append(f"budgets/{definition.name}: {names} cannot change before the next start")
        for name in sorted(self.definitions.keys() - {each.name for each in definitions}):
            texts.append(f"budgets/{name}: cannot be removed before the next start")
        return texts

    def has_connection_budgets(self) -> bool:
        """Whether any budget limits connections or handshakes."""
        return any(each.resource in CONNECTION_RESOURCES for each in self.definitions.values())

    def has_announced_limits(self) -> bool:
        """Whether the limit of any budget is the rate that endpoints announce."""
        return any(each.resource == "calls" and each.limit is None for each in self.definitions.values())

    # Open budgets.

    def open(self, definition: SharedBudget, value: BoundValue) -> None:
        """Opens the budget of a definition for one bound value, unless it is open."""
        name = f"{definition.name}/{value}" if definition.is_template() else definition.name
        if name in self.open_budgets:
            return
        opened = OpenBudget(definition, value)
        self.open_budgets[name] = opened
        self._endpoint_budgets.clear()
        self.names_by_binding.setdefault((definition.binding, value), []).append(name)
        if definition.retry_fraction is not None:
            self.allowances[name] = self.new_allowance(definition, definition.retry_fraction)
            return
        self.manager.open(
            self.budget_for(definition, name, value),
            partial(self.demand.pending_demand, name, opened),
            partial(self.demand.warm_permille, opened),
            is_transient=definition.is_template(),
        )

    def new_allowance(self, definition: SharedBudget, fraction: float) -> RetryAllowance:
        """Returns a retry allowance that permits at least one retry in its window.

        Without it, a sender whose pending messages have all been attempted before would never detect that the
        endpoint has recovered.
        """
        minimum = max(definition.floor, 1)
        return RetryAllowance(fraction, definition.window_us or 0, minimum, self.manager.session_started_us)

    def close_idle(self) -> list[str]:
        """Closes idle budgets of templates; returns their names."""
        closed = self.manager.close_idle()
        for name in closed:
            definition, value = self.open_budgets.pop(name)
            self._endpoint_budgets.clear()
            names = self.names_by_binding[definition.binding, value]
            names.remove(name)
            if not names:
                del self.names_by_binding[definition.binding, value]
            log.info("idle budget closed: budget=%s", name)
        return closed

    def budget_for(self, definition: SharedBudget, name: str, value: BoundValue) -> Budget:
        """Returns the budget as the lease manager takes it."""
        limit = definition.limit
        if limit is None:
            limit = self.announced_limit(int(value or 0), definition.window_us or 0)
        return Budget(
            name=name,
            resource=definition.resource,
            limit=limit,
            max_members=self.max_members,
            window_us=definition.window_us,
            max_hold_us=definition.max_hold_us,
            floor=min(definition.floor, limit // self.max_members),
            lease_us=definition.lease_us,
            slack_us=definition.slack_us,
        )

    def announced_limit(self, destination: int, window_us: int) -> int:
        """Returns the limit of a destination that the endpoint list and responses announce, per window.

        Where the settings say that the list announces rates, the smaller of the list's limit and the one in
        the latest response applies; otherwise the response takes precedence.
        """
        listed = int(sum(announced_rates(self.engine, destination).values()) * window_us / US_PER_S)
        if destination not in self.announced_limits:
            return listed
        announced = self.announced_limits[destination]
        limit = min(announced.calls * window_us // announced.window_us, announced.calls)
        return min(limit, listed) if self.engine.settings.announces_rates else limit

    def record_announced_limit(self, destination: int, limit: AnnouncedLimit) -> None:
        """Stores a limit that a response announced, and applies it to open budgets."""
        if self.announced_limits.get(destination) != limit:
            self.announced_limits[destination] = limit
            self.update_announced_limits()

    def update_announced_limits(self) -> None:
        """Recomputes the limits of open budgets that follow the announced rates."""
        for name, (definition, value) in self.open_budgets.items():
            if definition.limit is None and definition.retry_fraction is None:
                self.manager.update_budget(self.budget_for(definition, name, value))

    def open_reported(self, name: str) -> None:
        """Opens a template's budget that another sender named, if its bound value is known here."""
        template_name, _, text = name.partition("/")
        definition = self.definitions.get(template_name)
        if definition is None or not definition.is_template():
            return
        value = self.parse_value(definition, text)
        if value is not None:
            self.open(definition, value)

    def parse_value(self, definition: SharedBudget, text: str) -> BoundValue:
        """Parses the bound value in a budget's name; returns None where this sender does not know it."""
        if definition.binding == "destination":
            return int(text) if text.isdecimal() and text.isascii() else None
        endpoints = self.engine.dispatcher.endpoints
        if definition.binding == "endpoint":
            is_known = text in endpoints
        elif definition.binding == "zone":
            is_known = any(each.listed.zone == text for each in endpoints.values())
        else:
            is_known = text in dict(self.engine.settings.tenants)
        return text if is_known else None

    # Lookups.

    def names_for(self, binding: str, value: BoundValue) -> list[str]:
        """Returns the names of the budgets with this binding, after opening those of templates."""
        for definition in self.templates.get(binding, ()):
            self.open(definition, value)
        return self.names_by_binding.get((binding, value), [])

    def budgets_of(self, endpoint: Endpoint) -> EndpointBudgets:
        """Returns the budgets that apply to an endpoint.

        The result is cached until a budget is opened or closed or the endpoint's list entry changes.
        """
        cached = self._endpoint_budgets.get(endpoint.id)
        if cached is not None and cached.endpoint is endpoint:
            return cached
        names = [
            *self.names_for("destination", endpoint.destination),
            *self.names_for("endpoint", endpoint.id),
            *self.names_for("zone", endpoint.zone),
        ]
        budgets = EndpointBudgets(endpoint, [], [], [], [])
        for name in names:
            resource = self.open_budgets[name].definition.resource
            if resource in CALL_RESOURCES:
                budgets.calls.append(name)
            elif resource in CONNECTION_RESOURCES:
                budgets.connections.append(name)
            elif resource == "trials":
                budgets.trials.append(name)
            elif resource == "repeats":
                budgets.retries.append(name)
        self._endpoint_budgets[endpoint.id] = budgets
        return budgets

    def counter_of(self, name: str) -> LimitEnforcer | RetryAllowance:
        """Returns the counter of an open budget's usage."""
        return self.allowances.get(name) or self.manager.ledgers[name].enforcer
