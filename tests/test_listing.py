"""An update of the endpoint list costs what it names, and results in what a plain model does."""

import random
from typing import Any

import pytest
from helpers import World, endpoint

from message_sender.policy.actions import Send
from message_sender.policy.events import EndpointsUpdated
from message_sender.policy.model import Endpoint, EndpointState, ListingKind

STATES = (EndpointState.READY, EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE)


class Plain:
    """A plain model of the list: endpoints in the order in which they became known."""

    def __init__(self) -> None:
        self.endpoints: dict[str, Endpoint] = {}

    def hear(self, listed: EndpointsUpdated) -> None:
        if listed.listing is not ListingKind.CHANGES:
            self.endpoints = {}
        for each in listed.endpoints:
            known = self.endpoints.get(each.id)
            if known and known.destination != each.destination:
                del self.endpoints[each.id]  # one that moved is the newest where it has come to
            self.endpoints[each.id] = each
            if each.state is not EndpointState.READY:
                del self.endpoints[each.id]

    def by_destination(self) -> dict[int, list[Endpoint]]:
        found: dict[int, list[Endpoint]] = {}
        for each in self.endpoints.values():
            found.setdefault(each.destination, []).append(each)
        return found


def some(rng: random.Random, most: int) -> tuple[Endpoint, ...]:
    names = rng.sample(range(30), rng.randint(0, most))
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
def test_any_stream_of_lists_results_in_the_list_of_a_plain_model(seed: int) -> None:
    rng, plain, world = random.Random(seed), Plain(), World(announces_rates=True)
    plain.hear(EndpointsUpdated(ListingKind.FULL, (endpoint("a"),)))
    for _ in range(60):
        kind = rng.choice((ListingKind.CHANGES,) * 9 + (ListingKind.FULL,))
        listed = EndpointsUpdated(kind, some(rng, 25 if kind is ListingKind.FULL else 3))
        plain.hear(listed)
        world.step(listed, after=1000)
        module = world.dispatcher
        found = {name: [each.listed for each in at.endpoints] for name, at in module.destinations.items()}
        assert {name: line for name, line in found.items() if line} == plain.by_destination()
        assert {name: each.listed for name, each in module.endpoints.items()} == plain.endpoints
        for at in module.destinations.values():
            breakers = tuple(dict.fromkeys(each.breaker for each in at.endpoints if each.breaker))
            assert at.breakers == breakers and (at.endpoints or at.breakers_by_route is not None)
            assert all((x.breaker is None) == (at.breakers_by_route is None) for x in at.endpoints)
            own = (
                [module.registry.breaker_for(at, x.listed) for x in at.endpoints]
                if at.breakers_by_route is not None
                else []
            )
            assert all(x.breaker is each for x, each in zip(at.endpoints, own, strict=False))
        module.registry.activate(rng.randrange(7))


@pytest.mark.parametrize("size", [10, 10_000])
def test_a_change_examines_only_what_it_names(size: int) -> None:
    """Counted: the endpoints that a change looks up a breaker for, of active destinations."""
    world = World(*(endpoint(f"e{each}", each // 2) for each in range(size)))
    for each in range(4):
        world.dispatcher.registry.activate(each)
    visited: list[Any] = []
    breaker_for = world.dispatcher.registry.breaker_for
    world.dispatcher.registry.breaker_for = lambda at, x: (visited.append(x.id), breaker_for(at, x))[1]  # type: ignore
    draining = endpoint("e4", 2, state=EndpointState.DRAINING)
    world.step(EndpointsUpdated(ListingKind.CHANGES, (draining, endpoint("new", 3))))
    assert visited == ["e5", "e6", "e7", "new"]


def test_a_retry_after_of_a_drained_endpoint_binds_its_destination_at_once() -> None:
    """Its answer's rest may take half a second to come, and only then is the attempt's result known."""
    world = World(endpoint("a"), endpoint("b"))
    world.take()
    (first,) = [each for each in world.dispatcher.endpoints.values() if each.in_flight]
    name = first.listed.id
    drained = endpoint(name, state=EndpointState.DRAINING)
    world.step(EndpointsUpdated(ListingKind.CHANGES, (drained,)), after=1000)
    other = "b" if name == "a" else "a"
    assert world.dispatcher.may_start_call(other, world.now)
    world.dispatcher.retry_after_received(name, world.now + 500_000)
    assert not world.dispatcher.may_start_call(other, world.now)
    assert not [each for each in world.take(after=1000) if isinstance(each, Send)]
