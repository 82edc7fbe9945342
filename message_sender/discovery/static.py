"""A directory for who has no platform: a list that its owner gives, and may change while the sender runs."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from message_sender.policy.events import EndpointsUpdated
from message_sender.policy.model import Endpoint, EndpointState, ListingKind

Dial = tuple[str, int]


@dataclass(frozen=True, slots=True)
class StaticEndpoint:
    """An endpoint and where it is called."""

    endpoint: Endpoint
    dial: Dial


class StaticDirectory:
    """Implements the port `Directory` of the core. `told` is the engine's `endpoints_updated`."""

    def __init__(self, places: Iterable[StaticEndpoint]) -> None:
        self.places = {each.endpoint.id: each for each in places}
        self.destinations = {each.endpoint.destination for each in self.places.values()}
        self.told: Callable[[EndpointsUpdated], None] = lambda listed: None

    def endpoints(self) -> tuple[Endpoint, ...]:
        return tuple(each.endpoint for each in self.places.values())

    def dials(self) -> dict[str, Dial]:
        return {name: each.dial for name, each in self.places.items()}

    def replace(self, places: Iterable[StaticEndpoint]) -> None:
        """The whole list anew. What is not in it is gone from now on: no new attempt goes there."""
        self.places = {each.endpoint.id: each for each in places}
        self.destinations |= {each.endpoint.destination for each in self.places.values()}
        self.told(EndpointsUpdated(ListingKind.FULL, self.endpoints()))

    def configure(self, places: Iterable[StaticEndpoint]) -> None:
        """The configuration names these from now on."""
        self.replace(places)

    def drain(self, name: str) -> None:
        """An endpoint wants nothing new. Raises KeyError for one that is not listed."""
        place = self.places[name]
        endpoint = replace(place.endpoint, state=EndpointState.DRAINING)
        self.places[name] = StaticEndpoint(endpoint, place.dial)
        self.told(EndpointsUpdated(ListingKind.CHANGES, (endpoint,)))

    # The port.

    def poll_unread(self) -> None:
        """Nothing lies unread here."""

    async def watch(self) -> None:
        """Whoever changes the list tells it; there is nothing to wait for."""
        self.told(EndpointsUpdated(ListingKind.FULL, self.endpoints()))
        await asyncio.get_running_loop().create_future()

    def knows(self, destination: int) -> bool:
        return destination in self.destinations

    def remember(self, destination: int) -> None:
        self.destinations.add(destination)
