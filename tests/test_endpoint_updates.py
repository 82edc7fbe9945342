"""An update of the endpoint list examines only the entries that it names, and agrees with a simple model."""

import random
from typing import Any

import pytest
from helpers import World, endpoint

from message_sender.policy.actions import Send
from message_sender.policy.events import EndpointsUpdated
from message_sender.policy.model import Endpoint, EndpointState, ListingKind

STATES = (EndpointState.READY, EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE)


class ListModel:
    """A simple model of the list: endpoints in the order in which they became known."""

    def __init__(self) -> None:
        self.endpoints: dict[str, Endpoint] = {}

    def apply(self, update: EndpointsUpdated) -> None:
        if update.listing is not ListingKind.CHANGES:
            self.endpoints = {}
        for each in update.endpoints:
            known = self.endpoints.get(each.id)
            if known and known.destination != each.destination:
                del self.endpoints[each.id]  # an endpoint that moved comes last at its new destination
            self.endpoints[each.id] = each
            if each.state is not EndpointState.READY:
                del self.endpoints[each.id]

    def by_destination(self) -> dict[int, list[Endpoint]]:
        grouped: dict[int, list[Endpoint]] = {}
        for each in self.endpoints.values():
            grouped.setdefault(each.destination, []).append(each)
        return grouped


def random_endpoints(rng: random.Random, max_count: int) -> tuple[Endpoint, ...]:
    names = rng.sample(range(30), rng.randint(0, max_count))
    return tuple(
        endpoint(
            f"e{name}",
            rng.choice((name % 7, rng.randrange(7))),
            state=rng.choice(STATES),
            kind=rng.choice(("plain", "apart")),
            scale=rng.choice((0.0, 2.0, 5.0)),
        )
        for name in names
    )


@pytest.mark.parametrize("seed", range(40))
def test_random_updates_result_in_the_same_list_as_a_simple_model(seed: int) -> None:
    rng, model, world = random.Random(seed), ListModel(), World(announces_rates=True)
    model.apply(EndpointsUpdated(ListingKind.FULL, (endpoint("a"),)))
    for _ in range(60):
        kind = rng.choice((ListingKind.CHANGES,) * 9 + (ListingKind.FULL,))
        update = EndpointsUpdated(kind, random_endpoints(rng, 25 if kind is ListingKind.FULL else 3))
        model.apply(update)
        world.step(update, after=1000)
        policy = world.dispatcher
        listed = {number: [each.listed for each in x.endpoints] for number, x in policy.destinations.items()}
        assert {number: entries for number, entries in listed.items() if entries} == model.by_destination()
        assert {name: each.listed for name, each in policy.endpoints.items()} == model.endpoints
        for destination in policy.destinations.values():
            breakers = tuple(dict.fromkeys(each.breaker for each in destination.endpoints if each.breaker))
            assert destination.breakers == breakers and (
                destination.endpoints or destination.breakers_by_route is not None
            )
            assert all(
                (x.breaker is None) == (destination.breakers_by_route is None) for x in destination.endpoints
            )
            expected = (
                [policy.registry.breaker_for(destination, x.listed) for x in destination.endpoints]
                if destination.breakers_by_route is not None
                else []
            )
            assert all(x.breaker is each for x, each in zip(destination.endpoints, expected, strict=False))
        policy.registry.activate(rng.randrange(7))


@pytest.mark.parametrize("size", [10, 10_000])
def test_a_change_examines_only_what_it_names(size: int) -> None:
    """Counts the endpoints of active destinations for which a change looks up the breaker."""
    world = World(*(endpoint(f"e{each}", each // 2) for each in range(size)))
    for each in range(4):
        world.dispatcher.registry.activate(each)
    visited: list[Any] = []
    breaker_for = world.dispatcher.registry.breaker_for
    world.dispatcher.registry.breaker_for = lambda destination, x: (
        visited.append(x.id),
        breaker_for(destination, x),
    )[1]  # type: ignore
    draining = endpoint("e4", 2, state=EndpointState.DRAINING)
    world.step(EndpointsUpdated(ListingKind.CHANGES, (draining, endpoint("new", 3))))
    assert visited == ["e5", "e6", "e7", "new"]


def test_a_retry_after_from_a_draining_endpoint_delays_its_destination_at_once() -> None:
    """The rest of the response may take half a second, and only then is the result of the attempt known."""
    world = World(endpoint("a"), endpoint("b"))
    world.accept()
    (first,) = [each for each in world.dispatcher.endpoints.values() if each.in_flight]
    name = first.listed.id
    draining = endpoint(name, state=EndpointState.DRAINING)
    world.step(EndpointsUpdated(ListingKind.CHANGES, (draining,)), after=1000)
    other = "b" if name == "a" else "a"
    assert world.dispatcher.may_start_call(other, world.now)
    world.dispatcher.retry_after_received(name, world.now + 500_000)
    assert not world.dispatcher.may_start_call(other, world.now)
    assert not [each for each in world.accept(after=1000) if isinstance(each, Send)]
