"""Simulates forty policies without shared state that call one rate-limited receiver, on a virtual clock."""

import heapq
import itertools
import random
from collections import Counter

from helpers import MS, SECOND, endpoint, settings

from message_sender import Dispatcher
from message_sender.policy.actions import PolicyAction, Send, WakeAfter
from message_sender.policy.events import AttemptEnded, EndpointsUpdated, MessageAccepted, PolicyEvent, WakeUp
from message_sender.policy.model import ListingKind, Outcome

ONE_WAY_DELAY = 25 * MS
#: Time, sequence number, index of the sender, event.
ScheduledEvent = tuple[int, int, int, PolicyEvent]


class WindowLimit:
    """A limit on the calls in each time window. Refused calls reduce the next window, by at most half."""

    def __init__(self, rate: float, length: int = 1_500 * MS) -> None:
        self.rate, self.length = rate, length
        self.window, self.used, self.refused = -1, 0, 0

    def call(self, now: int) -> tuple[Outcome, int]:
        """Returns the outcome of a call at this time, and its Retry-After, us."""
        if (window := now // self.length) != self.window:
            lost = self.refused if window == self.window + 1 else 0
            self.window, self.used, self.refused = window, int(min(lost, self.capacity() / 2)), 0
        if self.used < self.capacity():
            self.used += 1
            return Outcome.OK, 0
        self.refused += 1
        return Outcome.FULL, (window + 1) * self.length - now

    def capacity(self) -> float:
        return self.rate * self.length / SECOND


class LargeFleet:
    """Senders that receive messages at random; `rate` is the announced rate in calls a second."""

    def __init__(self, rate: float, senders: int = 40, seed: int = 1) -> None:
        self.receiver, self.rng, self.now = WindowLimit(rate), random.Random(seed), 0
        shared = settings(fleet_size=senders, announces_rates=True, slots=4, max_open=40)
        self.policies = [Dispatcher(shared, seed=100 * seed + each) for each in range(senders)]
        self.queue: list[ScheduledEvent] = []
        self.count = itertools.count()
        self.call_counts: Counter[tuple[str, int]] = Counter()  # by outcome and second
        for each in range(senders):
            listed = endpoint("a", scale=rate)
            self.post(each, 0, EndpointsUpdated(ListingKind.FULL, (listed,)))

    def post(self, sender: int, at: int, event: PolicyEvent) -> None:
        heapq.heappush(self.queue, (at, next(self.count), sender, event))

    def offer(self, rate: float, until: float) -> None:
        """Submits `rate` messages a second until the second `until`, and runs the simulation up to it."""
        at, end = self.now, int(until * SECOND)
        while (at := at + int(self.rng.expovariate(rate) * SECOND)) < end:
            name = f"m{next(self.count)}"
            event = MessageAccepted(name, "safe", 1, 12 * SECOND)
            self.post(self.rng.randrange(len(self.policies)), at, event)
        self.run(end)

    def run(self, end: int) -> None:
        while self.queue and self.queue[0][0] < end:
            self.now, _, sender, event = heapq.heappop(self.queue)
            for action in self.policies[sender].handle(self.now, (event,)):
                self.act(sender, action)
        self.now = end

    def act(self, sender: int, action: PolicyAction) -> None:
        if isinstance(action, WakeAfter):
            self.post(sender, self.now + action.delay_us, WakeUp())
        elif isinstance(action, Send):
            outcome, wait = self.receiver.call(self.now + ONE_WAY_DELAY)
            self.call_counts[outcome.value, self.now // SECOND] += 1
            ended = AttemptEnded(action.message, action.attempt, outcome, outcome is Outcome.OK, wait)
            self.post(sender, self.now + 2 * ONE_WAY_DELAY, ended)

    def rate(self, outcome: Outcome, since: int, until: int) -> float:
        """Returns the calls a second with this outcome, from the second `since` to the second `until`."""
        return sum(self.call_counts[outcome.value, each] for each in range(since, until)) / (until - since)
