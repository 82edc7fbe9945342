"""What clients ask for, decided ahead: when, of which class, tenant, destination and key, with what luck.

Everything is drawn from one seed by numpy's PCG64, a stream of its own for each part (SeedSequence.spawn), so
that two senders compared on one seed meet the same messages, and a call the same luck (common random
numbers: Law, "Simulation Modeling and Analysis", ch. 11). Nothing here is kept: a day takes no more room.
"""

import heapq
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

import numpy as np
import numpy.typing as npt

from message_sender.emulator.receiver import ReceiverRandom
from message_sender.emulator.scenario import Burst, Scenario

ATTEMPTS = 8  # of a message that have luck of their own; later ones begin again with the first's
DRAWS = 5  # a call: service, trouble, whether a wait is told, way there, way back


@dataclass(frozen=True, slots=True)
class ClientMessage:
    """One message, as its client means it."""

    number: int
    at: float  # s, when it is wanted to go
    message_class: str
    tenant: str
    destination: int
    key: str
    draws: npt.NDArray[np.float64]

    def luck(self, attempt: int) -> ReceiverRandom:
        at = attempt % ATTEMPTS * DRAWS
        return ReceiverRandom(*map(float, self.draws[at : at + 3]))

    def ways(self, attempt: int) -> tuple[float, float]:
        """Draws for the way there and back, each from 0 to 1."""
        at = attempt % ATTEMPTS * DRAWS + 3
        return float(self.draws[at]), float(self.draws[at + 1])


class Choice:
    """One of several by their shares."""

    def __init__(self, shares: Sequence[float]) -> None:
        self.ends = np.cumsum(np.asarray(shares, dtype=float) / sum(shares))

    def __call__(self, draw: float) -> int:
        return min(int(np.searchsorted(self.ends, draw, side="right")), len(self.ends) - 1)


def popularity(scenario: Scenario) -> list[float]:
    """Of each destination: its group's, times one over its place to the power of zipf."""
    told = [each.popularity for each in scenario.destinations for _ in range(each.count)]
    return [share / (place + 1) ** scenario.clients.zipf for place, share in enumerate(told)]


class Arrivals:
    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.seeds = np.random.SeedSequence(seed).spawn(1 + len(scenario.clients.bursts))
        self.classes = list(scenario.classes)
        self.class_of = Choice([each.share for each in scenario.classes.values()])
        self.tenants = list(scenario.tenants) or [""]
        shares = [each.share for each in scenario.tenants.values()] or [1.0]
        self.tenant_of, self.tenant_share = Choice(shares), [each / sum(shares) for each in shares]
        self.popular = popularity(scenario)
        self.destination_of = Choice(self.popular)

    def __iter__(self) -> Iterator[ClientMessage]:
        """In the order of their times."""
        clients = self.scenario.clients
        streams = [self.stream(self.seeds[0], clients.rate, 0.0, self.scenario.seconds, None)]
        for burst, seed in zip(clients.bursts, self.seeds[1:], strict=True):
            if (rate := (burst.times - 1) * self.rate_of(burst)) > 0:
                until = min(burst.until, self.scenario.seconds)
                streams.append(self.stream(seed, rate, burst.at, until, burst))
        for number, (at, made) in enumerate(heapq.merge(*streams, key=lambda each: each[0])):
            yield ClientMessage(number, at, *made)

    def rate_of(self, burst: Burst) -> float:
        """What of the usual rate a burst is about."""
        share = 1.0
        if burst.tenant:
            share *= self.tenant_share[self.tenants.index(burst.tenant)]
        if burst.destination is not None:
            share *= self.popular[burst.destination] / sum(self.popular)
        return self.scenario.clients.rate * share

    def stream(
        self, seed: np.random.SeedSequence, rate: float, begins: float, ends: float, burst: Burst | None
    ) -> Iterator[tuple[float, tuple[str, str, int, str, npt.NDArray[np.float64]]]]:
        """A Poisson stream: the times between two are exponential."""
        rng, at = np.random.Generator(np.random.PCG64(seed)), begins
        while (at := at + float(rng.exponential(1 / rate))) < ends:
            draws = rng.random(5 + ATTEMPTS * DRAWS)
            if burst or not self.thinned(at, draws):
                yield at, self.made(draws, burst)

    def thinned(self, at: float, draws: npt.NDArray[np.float64]) -> bool:
        """Whether a quiet stretch (a burst below 1) leaves this one out."""
        kept = 1.0
        for each in self.scenario.clients.bursts:
            if each.times < 1 and each.at <= at < each.until and self.concerns(each, draws):
                kept *= each.times
        return bool(draws[4] >= kept)

    def concerns(self, burst: Burst, draws: npt.NDArray[np.float64]) -> bool:
        tenant = not burst.tenant or self.tenants[self.tenant_of(draws[1])] == burst.tenant
        return tenant and burst.destination in (None, self.destination_of(draws[2]))

    def made(
        self, draws: npt.NDArray[np.float64], burst: Burst | None
    ) -> tuple[str, str, int, str, npt.NDArray[np.float64]]:
        name = self.classes[self.class_of(draws[0])]
        tenant = burst.tenant if burst and burst.tenant else self.tenants[self.tenant_of(draws[1])]
        destination = self.destination_of(draws[2])
        if burst and burst.destination is not None:
            destination = burst.destination
        key = ""
        if self.scenario.classes[name].in_order:
            key = f"{destination}-{int(draws[3] * self.scenario.clients.keys)}"
        return name, tenant, destination, key, draws[5:]
