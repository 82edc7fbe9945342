"""A directory whose list is set by its owner, who may change it while the sender runs."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from message_sender.policy.events import EndpointsUpdated
from message_sender.policy.model import Endpoint, EndpointState, ListingKind

Dial = tuple[str, int]  # host and port


def ignore_update(update: EndpointsUpdated) -> None:
    """Ignores an update; the listener until another one is set."""


@dataclass(frozen=True, slots=True)
class StaticEndpoint:
    """An endpoint and the address at which it is called."""

    endpoint: Endpoint
    dial: Dial


class StaticDirectory:
    """Implements the core's port `Directory`.

    Attributes:
        static_endpoints: The list, by endpoint id.
        destinations: All destinations that are or were listed.
        on_update: Called with each update; usually the engine's `endpoints_updated`.
    """

    def __init__(self, endpoints: Iterable[StaticEndpoint]) -> None:
        """Creates a directory with the given endpoints."""
        self.static_endpoints = {each.endpoint.id: each for each in endpoints}
        self.destinations = {each.endpoint.destination for each in self.static_endpoints.values()}
        self.on_update: Callable[[EndpointsUpdated], None] = ignore_update

    def endpoints(self) -> tuple[Endpoint, ...]:
        """Returns the listed endpoints."""
        return tuple(each.endpoint for each in self.static_endpoints.values())

    def dials(self) -> dict[str, Dial]:
        """Returns the address of each endpoint, by id."""
        return {name: each.dial for name, each in self.static_endpoints.items()}

    def replace(self, endpoints: Iterable[StaticEndpoint]) -> None:
        """Replaces the complete list; endpoints that are not in it get no new attempts."""
        self.static_endpoints = {each.endpoint.id: each for each in endpoints}
        self.destinations |= {each.endpoint.destination for each in self.static_endpoints.values()}
        self.on_update(EndpointsUpdated(ListingKind.FULL, self.endpoints()))

    def configure(self, endpoints: Iterable[StaticEndpoint]) -> None:
        """Applies the endpoint list of a changed configuration."""
        self.replace(endpoints)

    def drain(self, name: str) -> None:
        """Marks an endpoint as draining. Raises KeyError if it is not listed."""
        current = self.static_endpoints[name]
        endpoint = replace(current.endpoint, state=EndpointState.DRAINING)
        self.static_endpoints[name] = StaticEndpoint(endpoint, current.dial)
        self.on_update(EndpointsUpdated(ListingKind.CHANGES, (endpoint,)))

    # Implementation of the port `Directory`.

    def poll_unread(self) -> None:
        """Does nothing, as updates are applied at once."""

    async def watch(self) -> None:
        """Sends the complete list and waits until cancelled; later changes are sent when they are made."""
        self.on_update(EndpointsUpdated(ListingKind.FULL, self.endpoints()))
        await asyncio.get_running_loop().create_future()

    def is_known(self, destination: int) -> bool:
        """Whether the destination is or was listed."""
        return destination in self.destinations

    def mark_known(self, destination: int) -> None:
        """Records a destination that was listed in an earlier process."""
        self.destinations.add(destination)
