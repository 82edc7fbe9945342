"""The messages that clients submit: the time, class, tenant, destination, key and random numbers of each.

All of it is drawn ahead from one seed by numpy's PCG64, with an independent stream for the usual load and for
each burst (SeedSequence.spawn). Two senders that are compared on one seed therefore get the same messages,
and each call the same random numbers (common random numbers: Law, "Simulation Modeling and Analysis",
ch. 11). Messages are generated one by one, so that memory does not grow with the length of a run.
"""

import heapq
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

import numpy as np
import numpy.typing as npt

from message_sender.emulator.receiver import ReceiverRandom
from message_sender.emulator.scenario import Burst, Scenario

#: Attempts of a message with their own random numbers; the ninth uses those of the first again.
ATTEMPTS_WITH_DRAWS = 8
#: Service, fault, whether there is a Retry-After, delays of the request and the answer.
DRAWS_PER_ATTEMPT = 5


@dataclass(frozen=True, slots=True)
class ClientMessage:
    """A message as its client intends it.

    Attributes:
        number: Its number in the run, from 0.
        at: When the client intends to submit it, in seconds.
        message_class: Its class.
        tenant: Its tenant; empty for none.
        destination: The number of its destination.
        key: Its ordering key; empty for none.
        draws: The random numbers of its attempts, `DRAWS_PER_ATTEMPT` each, from 0 to 1.
    """

    number: int
    at: float
    message_class: str
    tenant: str
    destination: int
    key: str
    draws: npt.NDArray[np.float64]

    def receiver_random(self, attempt: int) -> ReceiverRandom:
        """Returns the random numbers that an attempt has at its receiver."""
        first = attempt % ATTEMPTS_WITH_DRAWS * DRAWS_PER_ATTEMPT
        return ReceiverRandom(*map(float, self.draws[first : first + 3]))

    def delay_draws(self, attempt: int) -> tuple[float, float]:
        """Returns the random numbers, from 0 to 1, for the network delays of an attempt and its answer."""
        first = attempt % ATTEMPTS_WITH_DRAWS * DRAWS_PER_ATTEMPT + 3
        return float(self.draws[first]), float(self.draws[first + 1])


class Choice:
    """Selects one of several items, with probabilities proportional to their shares."""

    def __init__(self, shares: Sequence[float]) -> None:
        """Computes the cumulative probabilities. At least one share must be above 0."""
        self.cumulative = np.cumsum(np.asarray(shares, dtype=float) / sum(shares))

    def __call__(self, draw: float) -> int:
        """Returns the index of the item that a random number from 0 to 1 selects."""
        return min(int(np.searchsorted(self.cumulative, draw, side="right")), len(self.cumulative) - 1)


def popularity(scenario: Scenario) -> list[float]:
    """Returns the relative popularity of each destination.

    It is the popularity of its group, divided by its rank to the power of the clients' zipf exponent. The
    rank is its position in the scenario, from 1.
    """
    group_popularity = [each.popularity for each in scenario.destinations for _ in range(each.count)]
    return [share / (index + 1) ** scenario.clients.zipf for index, share in enumerate(group_popularity)]


class Arrivals:
    """The messages of a run. Each iteration generates the same messages."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        """Prepares the random streams of the usual load and of each burst."""
        self.scenario = scenario
        self.seeds = np.random.SeedSequence(seed).spawn(1 + len(scenario.clients.bursts))
        self.classes = list(scenario.classes)
        self.choose_class = Choice([each.share for each in scenario.classes.values()])
        self.tenants = list(scenario.tenants) or [""]
        shares = [each.share for each in scenario.tenants.values()] or [1.0]
        self.choose_tenant, self.tenant_shares = Choice(shares), [each / sum(shares) for each in shares]
        self.popularity = popularity(scenario)
        self.choose_destination = Choice(self.popularity)

    def __iter__(self) -> Iterator[ClientMessage]:
        """Yields the messages in the order of their times."""
        clients = self.scenario.clients
        streams = [self.stream(self.seeds[0], clients.rate, 0.0, self.scenario.seconds, None)]
        for burst, seed in zip(clients.bursts, self.seeds[1:], strict=True):
            if (rate := (burst.times - 1) * self.affected_rate(burst)) > 0:
                until = min(burst.until, self.scenario.seconds)
                streams.append(self.stream(seed, rate, burst.at, until, burst))
        for number, (at, fields) in enumerate(heapq.merge(*streams, key=lambda each: each[0])):
            yield ClientMessage(number, at, *fields)

    def affected_rate(self, burst: Burst) -> float:
        """Returns the part of the usual rate, in messages a second, that a burst multiplies."""
        share = 1.0
        if burst.tenant:
            share *= self.tenant_shares[self.tenants.index(burst.tenant)]
        if burst.destination is not None:
            share *= self.popularity[burst.destination] / sum(self.popularity)
        return self.scenario.clients.rate * share

    def stream(
        self, seed: np.random.SeedSequence, rate: float, start: float, end: float, burst: Burst | None
    ) -> Iterator[tuple[float, tuple[str, str, int, str, npt.NDArray[np.float64]]]]:
        """Yields the times and fields of a Poisson process, whose intervals are exponentially distributed.

        Args:
            seed: Seed of its random numbers.
            rate: Messages a second.
            start: Its start in seconds.
            end: Its end in seconds.
            burst: The burst that the messages belong to; None for the usual load.
        """
        rng, at = np.random.Generator(np.random.PCG64(seed)), start
        while (at := at + float(rng.exponential(1 / rate))) < end:
            # The first five: class, tenant, destination, key, whether a burst below 1 drops the message.
            draws = rng.random(5 + ATTEMPTS_WITH_DRAWS * DRAWS_PER_ATTEMPT)
            if burst or not self.is_dropped(at, draws):
                yield at, self.message_fields(draws, burst)

    def is_dropped(self, at: float, draws: npt.NDArray[np.float64]) -> bool:
        """Returns whether a message of the usual load is left out, for a burst whose factor is below 1."""
        probability = 1.0  # of being kept
        for burst in self.scenario.clients.bursts:
            if burst.times < 1 and burst.at <= at < burst.until and self.is_affected(burst, draws):
                probability *= burst.times
        return bool(draws[4] >= probability)

    def is_affected(self, burst: Burst, draws: npt.NDArray[np.float64]) -> bool:
        """Returns whether a burst applies to the message with these random numbers."""
        is_tenant = not burst.tenant or self.tenants[self.choose_tenant(draws[1])] == burst.tenant
        return is_tenant and burst.destination in (None, self.choose_destination(draws[2]))

    def message_fields(
        self, draws: npt.NDArray[np.float64], burst: Burst | None
    ) -> tuple[str, str, int, str, npt.NDArray[np.float64]]:
        """Returns the fields of a message from its class on, for its random numbers."""
        name = self.classes[self.choose_class(draws[0])]
        tenant = burst.tenant if burst and burst.tenant else self.tenants[self.choose_tenant(draws[1])]
        destination = self.choose_destination(draws[2])
        if burst and burst.destination is not None:
            destination = burst.destination
        key = ""
        if self.scenario.classes[name].in_order:
            key = f"{destination}-{int(draws[3] * self.scenario.clients.keys)}"
        return name, tenant, destination, key, draws[5:]
