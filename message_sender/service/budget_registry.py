"""The shared budgets that are open at this sender, and what each of them is bound to.

A definition of the configuration is bound to one destination, endpoint, zone or tenant, or is a template:
each destination (endpoint, zone, tenant) then has a budget of its own, which is opened when it is first
needed and closed when it is idle.
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
from message_sender.service.routes import announced_rates

US_PER_S = 1e6

#: Resources that are spent as a connection opens.
CONNECTION_RESOURCES = frozenset({"connections", "handshakes"})
#: Resources that any call spends.
CALL_RESOURCES = frozenset({"calls", "in_flight"})

#: The names that a configuration file has for fields of `SharedBudget`, where they differ.
FILE_NAMES = {
    "by": "what it is bound to",
    "value": "which one it is bound to",
    "span": "per_ms",
    "lease": "lease_ms",
    "slack": "slack_ms",
    "held": "held_ms",
}

log = logging.getLogger(__name__)

BoundValue = int | str | None


class OpenBudget(NamedTuple):
    """A budget's definition, and the destination, endpoint, zone or tenant that it is bound to."""

    definition: SharedBudget
    value: BoundValue


class AnnouncedLimit(NamedTuple):
    """A rate limit that a response announced."""

    calls: int
    window_us: int


class EndpointBudgets(NamedTuple):
    """The names of the budgets that apply to an endpoint, by what spends from them."""

    endpoint: Endpoint
    calls: list[str]
    trials: list[str]
    retries: list[str]
    connections: list[str]

    def for_call(self, is_trial: bool, is_retry: bool) -> list[str]:
        """Returns the budgets that a call spends from with its first byte."""
        names = list(self.calls)
        if is_trial:
            names += self.trials
        if is_retry:
            names += self.retries
        return names


class DemandSource(Protocol):
    """Knows what waits for a budget."""

    def pending_demand(self, name: str, budget: OpenBudget) -> int:
        """Returns what waits for the budget, besides what is in use."""

    def warm_permille(self, budget: OpenBudget) -> int:
        """Returns how much of the limit can be spent at present, in thousandths."""


def changed_fields(current: SharedBudget, definition: SharedBudget) -> list[str]:
    """Returns the fields besides the limit that differ, by their names in a configuration file."""
    names = [each.name for each in fields(SharedBudget) if each.name != "whole"]
    return [
        FILE_NAMES.get(name, name) for name in names if getattr(current, name) != getattr(definition, name)
    ]


class BudgetRegistry:
    """The budgets of this sender by name, by binding and by endpoint.

    Attributes:
        max_members: The largest number of senders in the fleet.
        definitions: The definitions of the configuration, by name.
        open_budgets: The open budgets, by name.
        allowances: Those of the open budgets that limit retries to a fraction of first attempts.
        names_by_binding: The names of open budgets, by what they are bound to.
        templates: Definitions that are opened for each destination, endpoint, zone or tenant.
        announced_limits: The limit that a response announced last, by destination.
    """

    def __init__(self, engine: Engine, manager: LeaseManager, demand: DemandSource, max_members: int) -> None:
        """Begins without budgets; see the class for the arguments."""
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
        if definition.is_each():
            self.templates[definition.by].append(definition)
            self._endpoint_budgets.clear()
        else:
            self.open(definition, definition.value)

    def configure(self, definitions: tuple[SharedBudget, ...], max_members: int) -> None:
        """Applies a new configuration as far as that is possible without a restart.

        A limit changes at once, a larger number of members too, and new budgets are opened. Other figures
        and removals wait for the next start: if a floor rose before the grantor knew of it, the sum could
        pass the limit.
        """
        self.max_members = max(max_members, self.max_members)
        for definition in definitions:
            self.update(definition)
        for by, templates in list(self.templates.items()):
            self.templates[by] = [self.definitions[each.name] for each in templates]
        for name, (previous, value) in self.open_budgets.items():
            definition = self.definitions[previous.name]
            self.open_budgets[name] = OpenBudget(definition, value)
            if definition.share is None:
                self.manager.update_budget(self.budget_for(definition, name, value))
        for name in self.definitions.keys() - {each.name for each in definitions}:
            log.warning("removed budget applies until the next start: budget=%s", name)

    def update(self, definition: SharedBudget) -> None:
        """Takes a definition that is new, or that differs in its limit alone."""
        current = self.definitions.get(definition.name)
        if current is None:
            self.add(definition)
        elif replace(definition, whole=current.whole) == current:
            self.definitions[definition.name] = definition
        else:
            changed = ", ".join(changed_fields(current, definition))
            log.warning(
                "budget change waits for the next start: budget=%s fields=%s", definition.name, changed
            )

    def changes_for_next_start(self, definitions: tuple[SharedBudget, ...]) -> list[str]:
        """Returns a text for each budget that `configure` would leave unchanged until the next start."""
        texts = []
        for definition in definitions:
            current = self.definitions.get(definition.name)
            if current is not None and (changed := changed_fields(current, definition)):
                names = ", ".join(changed)
                texts.append(f"budgets/{definition.name}: {names} cannot change before the next start")
        for name in sorted(self.definitions.keys() - {each.name for each in definitions}):
            texts.append(f"budgets/{name}: it cannot be taken away before the next start")
        return texts

    def has_connection_budgets(self) -> bool:
        """Whether connections spend from any budget."""
        return any(each.of in CONNECTION_RESOURCES for each in self.definitions.values())

    def has_announced_limits(self) -> bool:
        """Whether any limit is the one that endpoints announce."""
        return any(each.of == "calls" and each.whole is None for each in self.definitions.values())

    # Open budgets.

    def open(self, definition: SharedBudget, value: BoundValue) -> None:
        """Opens the budget of a definition for what it is bound to, unless it is open."""
        name = f"{definition.name}/{value}" if definition.is_each() else definition.name
        if name in self.open_budgets:
            return
        opened = OpenBudget(definition, value)
        self.open_budgets[name] = opened
        self._endpoint_budgets.clear()
        self.names_by_binding.setdefault((definition.by, value), []).append(name)
        if definition.share is not None:
            self.allowances[name] = self.new_allowance(definition, definition.share)
            return
        self.manager.open(
            self.budget_for(definition, name, value),
            partial(self.demand.pending_demand, name, opened),
            partial(self.demand.warm_permille, opened),
            is_transient=definition.is_each(),
        )

    def new_allowance(self, definition: SharedBudget, fraction: float) -> RetryAllowance:
        """Returns an allowance that permits at least one retry in its window.

        Where all pending messages have been attempted before, nothing else would find out that the endpoint
        has recovered.
        """
        minimum = max(definition.floor, 1)
        return RetryAllowance(fraction, definition.span or 0, minimum, self.manager.session_started_us)

    def close_idle(self) -> list[str]:
        """Closes the budgets that are idle and unused, and returns their names."""
        closed = self.manager.close_idle()
        for name in closed:
            definition, value = self.open_budgets.pop(name)
            self._endpoint_budgets.clear()
            names = self.names_by_binding[definition.by, value]
            names.remove(name)
            if not names:
                del self.names_by_binding[definition.by, value]
            log.info("idle budget closed: budget=%s", name)
        return closed

    def budget_for(self, definition: SharedBudget, name: str, value: BoundValue) -> Budget:
        """Returns the figures of a budget for the lease manager."""
        limit = definition.whole
        if limit is None:
            limit = self.announced_limit(int(value or 0), definition.span or 0)
        return Budget(
            name=name,
            resource=definition.of,
            limit=limit,
            max_members=self.max_members,
            window_us=definition.span,
            max_hold_us=definition.held,
            floor=min(definition.floor, limit // self.max_members),
            lease_us=definition.lease,
            slack_us=definition.slack,
        )

    def announced_limit(self, destination: int, window_us: int) -> int:
        """Returns the limit by the endpoint list and by the last announcement in a response.

        The smaller one applies. Where the list is not said to announce rates, the response takes precedence.
        """
        listed = int(sum(announced_rates(self.engine, destination).values()) * window_us / US_PER_S)
        if destination not in self.announced_limits:
            return listed
        announced = self.announced_limits[destination]
        limit = min(announced.calls * window_us // announced.window_us, announced.calls)
        return min(limit, listed) if self.engine.settings.announces_rates else limit

    def record_announced_limit(self, destination: int, limit: AnnouncedLimit) -> None:
        """Takes a limit that a response announced."""
        if self.announced_limits.get(destination) != limit:
            self.announced_limits[destination] = limit
            self.update_announced_limits()

    def update_announced_limits(self) -> None:
        """Recomputes the limits that endpoints announce."""
        for name, (definition, value) in self.open_budgets.items():
            if definition.whole is None and definition.share is None:
                self.manager.update_budget(self.budget_for(definition, name, value))

    def open_reported(self, name: str) -> None:
        """Opens the budget of a template that another sender named, if what it is bound to is known here."""
        template_name, _, text = name.partition("/")
        definition = self.definitions.get(template_name)
        if definition is None or not definition.is_each():
            return
        value = self.parse_value(definition, text)
        if value is not None:
            self.open(definition, value)

    def parse_value(self, definition: SharedBudget, text: str) -> BoundValue:
        """Returns what a budget's name says that it is bound to; None: that is not known here."""
        if definition.by == "destination":
            return int(text) if text.isdecimal() and text.isascii() else None
        endpoints = self.engine.dispatcher.endpoints
        if definition.by == "endpoint":
            is_known = text in endpoints
        elif definition.by == "zone":
            is_known = any(each.listed.zone == text for each in endpoints.values())
        else:
            is_known = text in dict(self.engine.settings.tenants)
        return text if is_known else None

    # Lookups.

    def names_for(self, by: str, value: BoundValue) -> list[str]:
        """Returns the budgets that are bound to this; those of templates are opened."""
        for definition in self.templates.get(by, ()):
            self.open(definition, value)
        return self.names_by_binding.get((by, value), [])

    def budgets_of(self, endpoint: Endpoint) -> EndpointBudgets:
        """Returns the budgets that apply to an endpoint.

        The result is cached until a budget is opened or closed, or the endpoint is listed differently.
        """
        cached = self._endpoint_budgets.get(endpoint.id)
        if cached is not None and cached.endpoint is endpoint:
            return cached
        names = [
            *self.names_for("destination", endpoint.destination),
            *self.names_for("endpoint", endpoint.id),
            *self.names_for("zone", endpoint.zone),
        ]
        found = EndpointBudgets(endpoint, [], [], [], [])
        for name in names:
            resource = self.open_budgets[name].definition.of
            if resource in CALL_RESOURCES:
                found.calls.append(name)
            elif resource in CONNECTION_RESOURCES:
                found.connections.append(name)
            elif resource == "trials":
                found.trials.append(name)
            elif resource == "repeats":
                found.retries.append(name)
        self._endpoint_budgets[endpoint.id] = found
        return found

    def counter_of(self, name: str) -> LimitEnforcer | RetryAllowance:
        """Returns what counts the usage of an open budget."""
        return self.allowances.get(name) or self.manager.ledgers[name].enforcer
