"""Enforces one member's share of a budget. Pure; times are microseconds of the member's own clock.

The usage of a rate is kept call by call for its window, so that no window, wherever it begins, holds more
than the member's share. A thing that is held counts until it ends. A call is reserved first and spent with
its first byte, so that calls that pile up on a slow connection cannot all go at once.
"""

from collections import deque

NEVER_US = 10**18


class LimitEnforcer:
    """Counts the usage of one budget at one member.

    Attributes:
        window_us: The window of a rate, in microseconds; None: things that are held count until they end.
        spent_at_us: When each use within the window was spent, the oldest first.
        reserved: Names of calls that are about to be spent.
        active: Names of things that are held.
        spent_total: How many were spent since the member started.
    """

    def __init__(self, window_us: int | None) -> None:
        """Begins without usage; `window_us`: see the class."""
        self.window_us = window_us
        self.spent_at_us: deque[int] = deque()
        self.reserved: set[str] = set()
        self.active: set[str] = set()
        self.spent_total = 0

    def count_spent(self, now_us: int) -> int:
        """Returns what counts as spent at this time."""
        if self.window_us is None:
            return len(self.active)
        while self.spent_at_us and self.spent_at_us[0] <= now_us - self.window_us:
            self.spent_at_us.popleft()
        return len(self.spent_at_us)

    def usage(self, now_us: int) -> int:
        """Returns what is spent or reserved."""
        return self.count_spent(now_us) + len(self.reserved)

    def reserve(self, name: str) -> None:
        """Reserves one unit for the named call."""
        self.reserved.add(name)

    def try_spend(self, name: str, now_us: int, share: int) -> bool:
        """Spends one unit if the share has one left; False: it has none."""
        if not self.has_capacity(now_us, share):
            return False
        self.spend(name, now_us)
        return True

    def has_capacity(self, now_us: int, share: int) -> bool:
        """Whether less than the share is spent; reservations don't count."""
        return self.count_spent(now_us) < share

    def spend(self, name: str, now_us: int) -> None:
        """Spends one unit, in place of the name's reservation."""
        self.reserved.discard(name)
        self.spent_total += 1
        if self.window_us is None:
            self.active.add(name)
        else:
            self.spent_at_us.append(now_us)

    def release(self, name: str) -> None:
        """Ends the reservation or the hold of this name; what was spent of a rate counts on."""
        self.reserved.discard(name)
        self.active.discard(name)

    def free_at(self, now_us: int, share: int) -> int:
        """Returns when one more unit is free if the share stays the same: now, later or NEVER_US."""
        excess = self.usage(now_us) - share
        if excess < 0:
            return now_us
        if self.window_us is None or share <= 0 or excess >= len(self.spent_at_us):
            return NEVER_US
        return self.spent_at_us[excess] + self.window_us
