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
        self.span = span
        self.times: deque[int] = deque()
        self.reserved: set[str] = set()
        self.held: set[str] = set()
        self.spent = 0  # ever

    def lately(self, now: int) -> int:
        """What counts as spent."""
        if self.span is None:
            return len(self.held)
        while self.times and self.times[0] <= now - self.span:
            self.times.popleft()
        return len(self.times)

    def used(self, now: int) -> int:
        return self.lately(now) + len(self.reserved)

    def reserve(self, name: str) -> None:
        self.reserved.add(name)

    def begins(self, name: str, now: int, part: int) -> bool:
        """Whether it may go now, as its first byte is about to; then it is spent."""
        if room := self.has_room(now, part):
            self.take(name, now)
        return room

    def has_room(self, now: int, part: int) -> bool:
        return self.lately(now) < part

    def take(self, name: str, now: int) -> None:
        self.reserved.discard(name)
        self.spent += 1
        if self.span is None:
            self.held.add(name)
        else:
            self.times.append(now)

    def ended(self, name: str) -> None:
        self.reserved.discard(name)
        self.held.discard(name)

    def free_at(self, now: int, part: int) -> int:
        """When one more may go if the part stays as it is: now, later, or NEVER."""
        excess = self.used(now) - part
        if excess < 0:
            return now
        if self.span is None or part <= 0 or excess >= len(self.times):
            return NEVER_US
        return self.times[excess] + self.span
