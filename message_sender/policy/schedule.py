"""Timers, and which message goes next, found from what changed: nothing here walks over everything.

- `TimerQueue`: items with one time each; what is due comes out, and nothing else is looked at.
- `Destination`: its endpoints, its breakers while it is awake, and what is held for it.
- `ListPolling`: when the list of endpoints is asked for.
- `ReadyGroup`: messages of one destination, class and share that may go next, by age. All of them lose worth by
  one curve, which rises and falls between a few known ages (`cuts`): the most urgent one stands at an end
  of such a stretch, whatever the number of messages.
"""

import itertools
import math
import random
from bisect import bisect_left, bisect_right, insort
from collections.abc import Hashable, Iterator
from heapq import heapify, heappop, heappush
from typing import Generic, NamedTuple, TypeVar

from message_sender.policy.actions import PolicyAction
from message_sender.policy.breaker import SMALL_FLEET_SIZE, NEVER, Breaker, BreakerContext, PendingMessage, TrackedEndpoint
from message_sender.policy.model import MessageClass, Settings

LATER_SERVICE_CHANCE = 0.9  # guessed chance that a message passed over now is still served one aim later
LOCAL_LIST_RETRY_US = 50_000  # us until a list at hand is asked for again: well within the grace of a drain
LIST_RETRY_PAUSE_US = 2_000_000  # us from one call for the list to the next at the most, where it failed at once
LIST_RETRY_SPREAD_US = 500_000  # us over which senders whose calls, or watches, ended at one time ask again
LIST_START_SPREAD_US = 4_000_000  # us over which a crowd that has started at one time asks
MAX_STALE_ENTRIES = 64  # entries of a timer queue that may be stale, above one for each that is not
LINEAR_SEARCH_LIMIT = 8  # messages that are compared one by one

Item = TypeVar("Item", bound=Hashable)


class LoopState:
    """What the parts of the policy share: the time of the iteration, random numbers, the actions so far."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.settings, self.random, self.pace = settings, rng, BreakerContext.of(settings, rng)
        self.now, self.count = -NEVER, itertools.count()
        self.looks = 0  # items looked at, ever: what an iteration costs is counted by it
        self.actions: list[PolicyAction] = []


class TimerQueue(Generic[Item]):
    """A heap in which an item has one due time at most; superseded entries are skipped."""

    def __init__(self) -> None:
        self.times: dict[Item, float] = {}
        self.heap: list[tuple[float, int, Item]] = []
        self.count = itertools.count()

    def set(self, item: Item, at: float) -> None:
        """From now on the item is due at `at`; NEVER takes it out."""
        if at == NEVER:
            self.times.pop(item, None)
        elif self.times.get(item) != at:
            self.times[item] = at
            heappush(self.heap, (at, next(self.count), item))
        if len(self.heap) > 2 * len(self.times) + MAX_STALE_ENTRIES:
            self.heap = [each for each in self.heap if self.times.get(each[2]) == each[0]]
            heapify(self.heap)

    def next(self) -> float:
        """When the next item is due; NEVER with none."""
        while self.heap and self.times.get(self.heap[0][2]) != self.heap[0][0]:
            heappop(self.heap)
        return self.heap[0][0] if self.heap else NEVER

    def due(self, now: float) -> Iterator[Item]:
        """Takes out what is due, the earliest first."""
        while self.next() <= now:
            item = heappop(self.heap)[2]
            del self.times[item]
            yield item


class ListPolling:
    """When the list is asked for next. Rule: what discovery has had for 6 s, and could be reached for, counts
    as told, whatever call failed. It takes calls of all senders in turn, one from each in 2 to 8 s, and turns
    away what has waited for 2 s; one given up sooner is worked on in vain. So a call that had to wait is made
    again at once, one that failed at once after a pause, and not by all at one time."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.settings, self.rng, self.pause = settings, rng, min(LIST_RETRY_PAUSE_US, settings.poll_interval_limit)
        self.at: float = -NEVER if settings.must_poll else NEVER
        self.begun: float = -NEVER  # the newest call, or watch

    def start(self, now: float) -> None:
        """The process has just started, as all others may have."""
        if self.at < NEVER and self.settings.fleet_size > SMALL_FLEET_SIZE and not self.settings.has_local_list:
            self.at = now + self.rng.uniform(0, LIST_START_SPREAD_US)

    def failed(self, now: float) -> None:
        spread, pause = self.rng.uniform(0, LIST_RETRY_SPREAD_US), self.rng.uniform(0.5, 1) * self.pause
        self.at = (
            now + LOCAL_LIST_RETRY_US if self.settings.has_local_list else max(now + spread, self.begun + pause)
        )

    def is_due(self, now: float) -> bool:
        """Whether to ask now; asked once for each time."""
        if self.at > now:
            return False
        self.begun, self.at = now, NEVER
        return True


def weight_at_age(kind: MessageClass, share: float, age: float, halves: bool) -> float:
    """What a message is worth at that age, in us since its full deadline began to run."""
    if age >= kind.deadline:
        return 0.0
    late = max(age - kind.latency_objective, 0)
    even = 1 - (1 - kind.late_priority_weight) * late / max(kind.deadline - kind.latency_objective, 1)
    left = max(0.5 ** (late / kind.latency_objective), kind.late_priority_weight) if halves else even
    return kind.priority_weight * share * left


def urgency(kind: MessageClass, share: float, age: float, halves: bool) -> float:
    """What is lost by passing a message over now."""
    return weight_at_age(kind, share, age, halves) - LATER_SERVICE_CHANCE * weight_at_age(
        kind, share, age + kind.latency_objective, halves
    )


def urgency_breakpoints(kind: MessageClass, halves: bool) -> tuple[float, ...]:
    """The ages between which `urgency` only rises, only falls or stays. Worth begins to fall at the aim and
    ends at the deadline, halving worth stops at its least; one aim ahead the same holds."""
    ends = [float(kind.latency_objective), float(kind.deadline)]
    if halves and 0 < kind.late_priority_weight < 1:
        ends.append(kind.latency_objective * (1 - math.log2(kind.late_priority_weight)))
    return tuple(sorted({cut for each in ends for cut in (each, each - kind.latency_objective) if cut >= 0}))


class Rank(NamedTuple):
    """How messages are ordered: the most urgent, then the oldest, then as they came to be held."""

    urgency: float  # negative
    born: int
    number: int


class ReadyGroup:
    __slots__ = ("curve", "cuts", "line")

    def __init__(self, kind: MessageClass, share: float, halves: bool) -> None:
        self.curve, self.cuts = (kind, share, halves), urgency_breakpoints(kind, halves)
        self.line: list[tuple[int, int, PendingMessage]] = []  # born and number, the oldest first

    def add(self, message: PendingMessage) -> None:
        insort(self.line, (message.born, message.number, message))

    def remove(self, message: PendingMessage) -> None:
        del self.line[bisect_left(self.line, (message.born, message.number))]

    def best(self, now: int) -> tuple[Rank, PendingMessage]:
        """The message that goes first. There is one at least."""
        if len(self.line) <= LINEAR_SEARCH_LIMIT:
            return min(self.ranked(now, range(len(self.line))))
        return min(self.ranked(now, self.ends(now)))

    def ranked(self, now: int, places: "range | set[int]") -> Iterator[tuple[Rank, PendingMessage]]:
        kind, share, halves = self.curve
        for place in places:
            born, number, message = self.line[place]
            yield Rank(-urgency(kind, share, now - born, halves), born, number), message

    def ends(self, now: int) -> set[int]:
        """Where a best one can stand: the first of each stretch, and the first of its youngest."""
        found, last = set(), len(self.line)
        for cut in (*self.cuts, NEVER):
            first = bisect_right(self.line, (now - cut, NEVER)) if cut < NEVER else 0
            if first < last:
                youngest = bisect_left(self.line, (self.line[last - 1][0], -1))
                found |= {first, max(first, youngest)}
            last = min(first, last)
        return found


class Destination:
    """One destination. It is *listed only* until a message comes for it, *awake* from then on, and *asleep*
    after a long idle time: then its breakers are dropped, and only the time of its last use is kept."""

    __slots__ = ("breakers", "endpoints", "groups", "held", "number", "own", "silent_since", "weighted")

    def __init__(self, number: int) -> None:
        self.number = number
        self.endpoints: list[TrackedEndpoint] = []
        #: By route where its endpoints are apart, else one under "". None while asleep.
        self.own: dict[str, Breaker] | None = None
        self.breakers: tuple[Breaker, ...] = ()  # of the endpoints that are listed
        self.held: dict[str, PendingMessage] | None = None  # none as long as nothing is
        self.groups: dict[tuple[str, float], ReadyGroup] | None = None
        self.weighted = False  # some of its endpoints are to get more calls than others
        self.silent_since: float | None = None  # the last call before it fell asleep

    def hold(self, message: PendingMessage) -> None:
        self.held = self.held or {}
        self.held[message.id] = message

    def release(self, message: PendingMessage) -> None:
        """Stop holding a message, if it was held."""
        self.leave(message)
        if self.held and self.held.pop(message.id, None) and not self.held:
            self.held = None

    def queue(self, message: PendingMessage, halves: bool) -> None:
        """Add a message to those that may go next."""
        if self.groups is None:
            self.groups = {}
        name = message.kind.name, message.share
        if name not in self.groups:
            self.groups[name] = ReadyGroup(message.kind, message.share, halves)
        self.groups[name].add(message)
        message.queued = True

    def leave(self, message: PendingMessage) -> None:
        """Remove a message from those that may go next, if it is one."""
        if not message.queued:
            return
        assert self.groups is not None
        name = message.kind.name, message.share
        self.groups[name].remove(message)
        message.queued = False
        if not self.groups[name].line:
            del self.groups[name]
        if not self.groups:
            self.groups = None

    def best(self, now: int) -> tuple[Rank, PendingMessage] | None:
        return min((each.best(now) for each in self.groups.values()), default=None) if self.groups else None

    def ready_at(self, now: int) -> float:
        return min((each.ready_at(now) for each in self.breakers), default=NEVER)

    def free_at(self, now: int) -> float:
        return min((each.free_at(now) for each in self.breakers), default=NEVER)
