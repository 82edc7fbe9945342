"""What of a budget is in use at one member. Pure: times are the member's own clock, us.

A rate's spending is kept call by call for its span, so that no span of any beginning holds more than the
member's part; a thing that is held is in use until it ends. What is about to be spent is reserved, and spent
at the moment of its first byte: what a slow connection let pile up cannot go all at once.
"""

from collections import deque

NEVER_US = 10**18


class LimitEnforcer:
    def __init__(self, span: int | None) -> None:
        """`span`: us of a rate's; None: things are held."""
        self.window_us = span
        self.spent_at_us: deque[int] = deque()
        self.reserved: set[str] = set()
        self.active: set[str] = set()
        self.spent_total = 0  # ever

    def count_spent(self, now: int) -> int:
        """What counts as spent."""
        if self.window_us is None:
            return len(self.active)
        while self.spent_at_us and self.spent_at_us[0] <= now - self.window_us:
            self.spent_at_us.popleft()
        return len(self.spent_at_us)

    def usage(self, now: int) -> int:
        return self.count_spent(now) + len(self.reserved)

    def reserve(self, name: str) -> None:
        self.reserved.add(name)

    def try_spend(self, name: str, now: int, part: int) -> bool:
        """Whether it may go now, as its first byte is about to; then it is spent."""
        if room := self.has_capacity(now, part):
            self.spend(name, now)
        return room

    def has_capacity(self, now: int, part: int) -> bool:
        return self.count_spent(now) < part

    def spend(self, name: str, now: int) -> None:
        self.reserved.discard(name)
        self.spent_total += 1
        if self.window_us is None:
            self.active.add(name)
        else:
            self.spent_at_us.append(now)

    def release(self, name: str) -> None:
        self.reserved.discard(name)
        self.active.discard(name)

    def free_at(self, now: int, part: int) -> int:
        """When one more may go if the part stays as it is: now, later, or NEVER."""
        excess = self.usage(now) - part
        if excess < 0:
            return now
        if self.window_us is None or part <= 0 or excess >= len(self.spent_at_us):
            return NEVER_US
        return self.spent_at_us[excess] + self.window_us
