"""Applies overrides, slow start and ejections to an endpoint list; `overrides` has the rules. Pure."""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import TypeVar

from message_sender.discovery.outlier import OutlierDetector
from message_sender.discovery.overrides import Override, OverrideBook, OverrideKind
from message_sender.discovery.slow_start import SlowStart
from message_sender.policy.events import EndpointsUpdated
from message_sender.policy.model import Endpoint, EndpointState, ListingKind

Key = TypeVar("Key", str, int)


def changed_keys(before: dict[Key, Override], after: dict[Key, Override]) -> list[Key]:
    """Returns the keys whose effective override has changed."""
    return [key for key in before | after if before.get(key) != after.get(key)]


@dataclass(slots=True)
class ActiveOverrides:
    """The effective overrides at a point in time.

    Attributes:
        out: Out-of-service overrides by endpoint.
        weights: Weight overrides by endpoint.
        pins: Pins of a destination's messages, by destination.
        tenants: Pins of a tenant's messages, by tenant.
        keys: Pins of a key's messages, by key.
    """

    out: dict[str, Override]
    weights: dict[str, Override]
    pins: dict[int, Override]
    tenants: dict[str, Override]
    keys: dict[str, Override]

    @classmethod
    def from_overrides(cls, overrides: Iterable[Override]) -> "ActiveOverrides":
        """Selects the effective overrides; of two for the same kind and subject the later takes effect."""
        active = cls({}, {}, {}, {}, {})
        for override in overrides:
            if override.kind is OverrideKind.OUT:
                active.out[override.endpoint] = override
            elif override.kind is OverrideKind.WEIGHT:
                active.weights[override.endpoint] = override
            elif override.destination >= 0:
                active.pins[override.destination] = override
            elif override.tenant:
                active.tenants[override.tenant] = override
            else:
                active.keys[override.key] = override
        return active


class OverrideLayer:
    """The directory's list as changed by overrides, slow start and ejections.

    Attributes:
        now: The time of the last update or refresh, us.
        active: The effective overrides.
        listed: The directory's list, by endpoint id.
        members: The endpoint ids of each destination, in an ordered set.
        published: The resulting list as last published, by endpoint id.
        newly_ejected: Endpoint ids whose ejection is not published yet.
    """

    def __init__(
        self,
        book: OverrideBook,
        slow_start: SlowStart | None = None,
        outliers: OutlierDetector | None = None,
    ) -> None:
        """Creates a layer on an empty list."""
        self.book = book
        self.slow_start = slow_start or SlowStart()
        self.outliers = outliers
        self.now = 0
        self.newly_ejected: list[str] = []
        self.listed: dict[str, Endpoint] = {}
        self.members: dict[int, dict[str, None]] = {}
        self.published: dict[str, Endpoint] = {}
        self.active = ActiveOverrides.from_overrides(())

    # Updates of the directory.

    def apply_update(self, update: EndpointsUpdated, now: int = 0) -> EndpointsUpdated:
        """Returns the directory's update with the overrides in effect at the last `refresh` applied.

        The cost is proportional to the endpoints in the update and in the pinned destinations that it
        affects.
        """
        if update.listing is ListingKind.FAILED:
            return update
        self.now = max(self.now, now)
        new = self.new_endpoints(update) if self.slow_start.duration_us else []
        if update.listing is not ListingKind.CHANGES:
            self.clear()
        destinations: set[int] = set()
        for endpoint in update.endpoints:
            destinations |= self.register(endpoint)
        names = dict.fromkeys(each.id for each in update.endpoints)
        for name in new:
            self.begin_slow_start(name)
        for destination in sorted(destinations & self.active.pins.keys()):
            names |= dict.fromkeys(self.members.get(destination, ()))
        removed = {each.id: each for each in update.endpoints if each.id not in self.listed}
        return replace(update, endpoints=tuple(removed.get(name) or self.publish(name) for name in names))

    def new_endpoints(self, update: EndpointsUpdated) -> list[str]:
        """Returns the ready endpoints that were not listed before; empty for the first list."""
        if not self.listed:
            return []
        return [
            each.id
            for each in update.endpoints
            if each.id not in self.listed and each.state is EndpointState.READY
        ]

    def clear(self) -> None:
        """Drops all endpoints before a complete list is applied."""
        self.listed = {}
        self.members = {}
        self.published = {}

    def register(self, endpoint: Endpoint) -> set[int]:
        """Applies one entry of an update.

        Returns:
            The affected destinations. They include the previous destination of a moved endpoint, as that
            destination may have been pinned to it.
        """
        before = self.listed.pop(endpoint.id, None)
        if before:
            del self.members[before.destination][endpoint.id]
        if endpoint.state is not EndpointState.GONE:
            self.listed[endpoint.id] = endpoint
            self.members.setdefault(endpoint.destination, {})[endpoint.id] = None
        else:
            self.published.pop(endpoint.id, None)
            if self.outliers:
                self.outliers.remove(endpoint.id)
        return {endpoint.destination, before.destination if before else endpoint.destination}

    # The resulting list.

    def publish(self, name: str) -> Endpoint:
        """Returns the effective endpoint for a listed one and records it as published."""
        self.published[name] = endpoint = self.effective(self.listed[name])
        return endpoint

    def effective(self, listed: Endpoint) -> Endpoint:
        """Returns the effective endpoint: a listed one with overrides, slow start and ejections applied."""
        if listed.state is not EndpointState.READY:
            return listed
        pin = self.active.pins.get(listed.destination)
        is_pinned_away = pin and pin.endpoint != listed.id and self.is_pin_effective(pin)
        if not self.is_in_service(listed) or is_pinned_away:
            return replace(listed, state=EndpointState.DRAINING)
        override = self.active.weights.get(listed.id)
        weight = override.weight if override else listed.weight
        weight *= self.slow_start.factor(listed.id, self.now)
        return listed if weight == listed.weight else replace(listed, weight=weight)

    def is_in_service(self, listed: Endpoint) -> bool:
        """Whether a listed endpoint is ready, and neither out of service nor ejected."""
        is_ejected = self.outliers is not None and listed.id in self.outliers.ejected_until
        is_out = listed.id in self.active.out
        return listed.state is EndpointState.READY and not is_out and not is_ejected

    def is_pin_effective(self, pin: Override) -> bool:
        """Whether the pinned endpoint is one of the pin's destination and in service."""
        endpoint = self.listed.get(pin.endpoint)
        if endpoint is None or endpoint.destination != pin.destination:
            return False
        return self.is_in_service(endpoint)

    def pinned_endpoint(self, tenant: str, key: str) -> str:
        """Returns the endpoint that messages of a tenant and key are pinned to; empty if there is none.

        A pin of the key takes precedence over one of the tenant. The delivery policy checks whether the
        endpoint belongs to the message's destination.
        """
        pin = self.active.keys.get(key) or self.active.tenants.get(tenant)
        return pin.endpoint if pin else ""

    # Changes by time and by results of calls.

    def begin_slow_start(self, name: str) -> None:
        """Puts an endpoint into slow start if its destination has another ready endpoint."""
        others = self.members[self.listed[name].destination]
        if any(
            each != name and each in self.published and self.published[each].state is EndpointState.READY
            for each in others
        ):
            self.slow_start.start(name, self.now)

    def record_outcome(self, name: str, is_success: bool, now: int) -> bool:
        """Records the result of a call.

        Returns:
            Whether an endpoint was ejected; `refresh` then returns an update.
        """
        if self.outliers is None or name not in self.listed:
            return False
        if is_success:
            self.outliers.record_success(name, now)
            return False
        members = self.members[self.listed[name].destination]
        in_service = [each for each in members if self.published[each].state is EndpointState.READY]
        ejected_others = sum(each in self.outliers.ejected_until for each in members)
        if self.outliers.record_failure(name, now, in_service, ejected_others):
            self.newly_ejected.append(name)
        return bool(self.newly_ejected)

    def refresh(self, now: int) -> EndpointsUpdated | None:
        """Applies overrides that were set, have begun or have ended, slow starts and ejections.

        Returns:
            The resulting update; None if nothing changes. Endpoints that return to service are marked as
            returned, so that they are warmed up.
        """
        self.now = max(self.now, now)
        before = self.active
        self.active = ActiveOverrides.from_overrides(self.book.active(now))
        changes: list[Endpoint] = []
        returned: list[str] = []
        for name in self.affected_endpoints(before, now):
            published = self.published.get(name)
            effective = self.effective(self.listed[name])
            if effective == published:
                continue
            was_unavailable = published and published.state is not EndpointState.READY
            if was_unavailable and effective.state is EndpointState.READY:
                returned.append(name)
                self.begin_slow_start(name)
            changes.append(self.publish(name))
        if not changes:
            return None
        return EndpointsUpdated(ListingKind.CHANGES, tuple(changes), tuple(returned))

    def affected_endpoints(self, before: ActiveOverrides, now: int) -> list[str]:
        """Returns the listed endpoints whose effective state may have changed since the last refresh."""
        names = dict.fromkeys([*self.slow_start.advance(now), *self.newly_ejected])
        names |= dict.fromkeys(self.outliers.expire(now) if self.outliers else ())
        names |= dict.fromkeys(changed_keys(before.out, self.active.out))
        names |= dict.fromkeys(changed_keys(before.weights, self.active.weights))
        self.newly_ejected = []
        destinations = set(changed_keys(before.pins, self.active.pins))
        destinations |= {self.listed[name].destination for name in names if name in self.listed}
        for destination in destinations:
            names |= dict.fromkeys(self.members.get(destination, ()))
        return [name for name in names if name in self.listed]

    # Information for operators.

    def ineffective(self, now: int) -> dict[str, str]:
        """Returns the reason of each override in force that has no effect, by name."""
        reasons = {each.name: self.ineffective_reason(each) for each in self.book.active(now)}
        return {name: reason for name, reason in reasons.items() if reason}

    def ineffective_reason(self, override: Override) -> str:
        """Returns why an override in force has no effect; empty if it has one."""
        listed = self.listed.get(override.endpoint)
        if listed is None:
            return "its endpoint is not listed"
        if override.destination >= 0 and listed.destination != override.destination:
            return f"its endpoint is one of destination {listed.destination}"
        if listed.state is not EndpointState.READY:
            return "its endpoint drains"
        if override.kind is not OverrideKind.OUT and override.endpoint in self.active.out:
            return f"its endpoint is out of service by {self.active.out[override.endpoint].name}"
        effective = self._effective_override(override)
        return f"{effective.name} counts in its place" if effective and effective != override else ""

    def _effective_override(self, override: Override) -> Override | None:
        """Returns the effective override for the endpoint, destination, tenant or key of this one."""
        if override.kind is OverrideKind.OUT:
            return self.active.out.get(override.endpoint)
        if override.kind is OverrideKind.WEIGHT:
            return self.active.weights.get(override.endpoint)
        return (
            self.active.pins.get(override.destination)
            or self.active.tenants.get(override.tenant)
            or self.active.keys.get(override.key)
        )

    def unserved_destinations(self) -> list[int]:
        """Returns destinations with no ready endpoint in service, of which an override took one out."""
        destinations = {self.listed[name].destination for name in self.active.out if name in self.listed}
        return sorted(each for each in destinations if self._is_unserved(each))

    def _is_unserved(self, destination: int) -> bool:
        names = self.members[destination]
        return any(self.listed[name].state is EndpointState.READY for name in names) and not any(
            self.published[name].state is EndpointState.READY for name in names
        )
