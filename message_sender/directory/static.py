"""A directory for who has no platform: a list that its owner gives, and may change while the sender runs."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from message_sender import interface as face

Dial = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Place:
    """An endpoint and where it is called."""

    endpoint: face.Endpoint
    dial: Dial


class StaticDirectory:
    """Implements the port `Directory` of the core. `told` is the engine's `list_told`."""

    def __init__(self, places: Iterable[Place]) -> None:
        self.places = {each.endpoint.id: each for each in places}
        self.destinations = {each.endpoint.destination for each in self.places.values()}
        self.told: Callable[[face.EndpointsListed], None] = lambda listed: None

    def endpoints(self) -> tuple[face.Endpoint, ...]:
        return tuple(each.endpoint for each in self.places.values())

    def dials(self) -> dict[str, Dial]:
        return {name: each.dial for name, each in self.places.items()}

    def replace(self, places: Iterable[Place]) -> None:
        """The whole list anew. What is not in it is gone from now on: no new attempt goes there."""
        self.places = {each.endpoint.id: each for each in places}
        self.destinations |= {each.endpoint.destination for each in self.places.values()}
        self.told(face.EndpointsListed(face.Listing.FULL, self.endpoints()))

    def configure(self, places: Iterable[Place]) -> None:
        """The configuration names these from now on."""
        self.replace(places)

    def drain(self, name: str) -> None:
        """An endpoint wants nothing new. Raises KeyError for one that is not listed."""
        place = self.places[name]
        endpoint = replace(place.endpoint, state=face.EndpointState.DRAINING)
        self.places[name] = Place(endpoint, place.dial)
        self.told(face.EndpointsListed(face.Listing.CHANGES, (endpoint,)))

    # The port.

    def look(self) -> None:
        """Nothing lies unread here."""

    async def watch(self) -> None:
        """Whoever changes the list tells it; there is nothing to wait for."""
        self.told(face.EndpointsListed(face.Listing.FULL, self.endpoints()))
        await asyncio.get_running_loop().create_future()

    def knows(self, destination: int) -> bool:
        return destination in self.destinations

    def remember(self, destination: int) -> None:
        self.destinations.add(destination)
