"""A timer queue: finds the items that are due without examining the others."""

import itertools
from collections.abc import Hashable, Iterator
from heapq import heapify, heappop, heappush
from typing import Generic, TypeVar

from message_sender.policy.breaker import NEVER

MAX_STALE_ENTRIES = 64  # the heap is rebuilt above two entries per item plus this number

Item = TypeVar("Item", bound=Hashable)


class TimerQueue(Generic[Item]):
    """A heap of due times with at most one valid due time for each item; superseded entries are skipped."""

    def __init__(self) -> None:
        """Creates an empty queue."""
        self.times: dict[Item, float] = {}
        self.heap: list[tuple[float, int, Item]] = []
        self.sequence = itertools.count()

    def schedule(self, item: Item, at: float) -> None:
        """Sets the due time of an item, replacing an earlier one; NEVER removes the item."""
        if at == NEVER:
            self.times.pop(item, None)
        elif self.times.get(item) != at:
            self.times[item] = at
            heappush(self.heap, (at, next(self.sequence), item))
        if len(self.heap) > 2 * len(self.times) + MAX_STALE_ENTRIES:
            self.heap = [each for each in self.heap if self.times.get(each[2]) == each[0]]
            heapify(self.heap)

    def next_due(self) -> float:
        """Returns when the next item is due; NEVER if the queue is empty."""
        while self.heap and self.times.get(self.heap[0][2]) != self.heap[0][0]:
            heappop(self.heap)
        return self.heap[0][0] if self.heap else NEVER

    def pop_due(self, now: float) -> Iterator[Item]:
        """Removes and yields the items that are due, the earliest first."""
        while self.next_due() <= now:
            item = heappop(self.heap)[2]
            del self.times[item]
            yield item
