"""Forty policies on one virtual clock, in front of one receiver with a rate limit; they share no state."""

import heapq
import itertools
import random
from collections import Counter

from helpers import MS, SECOND, endpoint, settings

from message_sender import Dispatcher
from message_sender.policy.actions import PolicyAction, Send, WakeAfter
from message_sender.policy.events import AttemptEnded, EndpointsUpdated, MessageAccepted, PolicyEvent, WakeUp
from message_sender.policy.model import ListingKind, Outcome

TRIP = 25 * MS  # one way
Due = tuple[int, int, int, PolicyEvent]


class WindowLimit:
    """A limit of calls in each window of time. Refused calls reduce the next window, by half at the most."""

    def __init__(self, rate: float, length: int = 1_500 * MS) -> None:
        self.rate, self.length = rate, length
        self.span, self.taken, self.refused = -1, 0, 0

    def call(self, now: int) -> tuple[Outcome, int]:
        """Returns the outcome, and the Retry-After."""
        if (span := now // self.length) != self.span:
            lost = self.refused if span == self.span + 1 else 0
            self.span, self.taken, self.refused = span, int(min(lost, self.room() / 2)), 0
        if self.taken < self.room():
            self.taken += 1
            return Outcome.OK, 0
        self.refused += 1
        return Outcome.FULL, (span + 1) * self.length - now

    def room(self) -> float:
        return self.rate * self.length / SECOND


class LargeFleet:
    """Senders that get messages at random. `rate`: as announced by the list, in calls a second."""

    def __init__(self, rate: float, senders: int = 40, seed: int = 1) -> None:
        self.receiver, self.rng, self.now = WindowLimit(rate), random.Random(seed), 0
        shared = settings(fleet_size=senders, announces_rates=True, slots=4, max_open=40)
        self.modules = [Dispatcher(shared, seed=100 * seed + each) for each in range(senders)]
        self.queue: list[Due] = []
        self.count = itertools.count()
        self.seen: Counter[tuple[str, int]] = Counter()  # by outcome and second
        for each in range(senders):
            listed = endpoint("a", scale=rate)
            self.post(each, 0, EndpointsUpdated(ListingKind.FULL, (listed,)))

    def post(self, sender: int, at: int, event: PolicyEvent) -> None:
        heapq.heappush(self.queue, (at, next(self.count), sender, event))

    def offer(self, rate: float, until: float) -> None:
        """Sends messages at that rate, per second, until that second, and plays up to then."""
        at, end = self.now, int(until * SECOND)
        while (at := at + int(self.rng.expovariate(rate) * SECOND)) < end:
            name = f"m{next(self.count)}"
            event = MessageAccepted(name, "safe", 1, 12 * SECOND)
            self.post(self.rng.randrange(len(self.modules)), at, event)
        self.play(end)

    def play(self, end: int) -> None:
        while self.queue and self.queue[0][0] < end:
            self.now, _, sender, event = heapq.heappop(self.queue)
            for action in self.modules[sender].handle(self.now, (event,)):
                self.act(sender, action)
        self.now = end

    def act(self, sender: int, action: PolicyAction) -> None:
        if isinstance(action, WakeAfter):
            self.post(sender, self.now + action.delay_us, WakeUp())
        elif isinstance(action, Send):
            outcome, wait = self.receiver.call(self.now + TRIP)
            self.seen[outcome.value, self.now // SECOND] += 1
            ended = AttemptEnded(action.message, action.attempt, outcome, outcome is Outcome.OK, wait)
            self.post(sender, self.now + 2 * TRIP, ended)

    def rate(self, outcome: Outcome, since: int, until: int) -> float:
        """Calls a second with that outcome, from one second to another."""
        return sum(self.seen[outcome.value, each] for each in range(since, until)) / (until - since)
