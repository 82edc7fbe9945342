"""Enforces one member's share of a budget. Pure; times are microseconds of the member's own clock.

The usage of a rate is recorded call by call for its window, so that no window, wherever it begins, contains
more than the member's share. A unit that is held counts until it is released. A call reserves a unit first
and spends it with its first byte, so that calls that queue up on a slow connection cannot all start at once.
"""

from collections import deque

NEVER_US = 10**18


class LimitEnforcer:
    """Counts the usage of one budget at one member.

    Attributes:
        window_us: The window of a rate, in microseconds; None: units that are held count until their release.
        spent_at_us: When each unit within the window was spent, the oldest first.
        reserved: The names of calls that have reserved a unit and not spent it.
        active: The names under which units are held.
        spent_total: The number of units spent since the member started.
    """

    def __init__(self, window_us: int | None) -> None:
        """Initializes the enforcer without usage; `window_us`: see the class."""
        self.window_us = window_us
        self.spent_at_us: deque[int] = deque()
        self.reserved: set[str] = set()
        self.active: set[str] = set()
        self.spent_total = 0

    def count_spent(self, now_us: int) -> int:
        """Returns the number of units that count as spent at this time."""
        if self.window_us is None:
            return len(self.active)
        while self.spent_at_us and self.spent_at_us[0] <= now_us - self.window_us:
            self.spent_at_us.popleft()
        return len(self.spent_at_us)

    def usage(self, now_us: int) -> int:
        """Returns the number of units that are spent or reserved."""
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
        """Whether fewer units than the share are spent; reservations don't count."""
        return self.count_spent(now_us) < share

    def spend(self, name: str, now_us: int) -> None:
        """Spends one unit, and removes the name's reservation."""
        self.reserved.discard(name)
        self.spent_total += 1
        if self.window_us is None:
            self.active.add(name)
        else:
            self.spent_at_us.append(now_us)

    def release(self, name: str) -> None:
        """Ends the reservation or hold of this name; a spent unit of a rate still counts for its window."""
        self.reserved.discard(name)
        self.active.discard(name)

    def available_at(self, now_us: int, share: int) -> int:
        """Returns when one more unit is free if the share stays the same: now, a later time or NEVER_US."""
        excess = self.usage(now_us) - share
        if excess < 0:
            return now_us
        if self.window_us is None or share <= 0 or excess >= len(self.spent_at_us):
            return NEVER_US
        return self.spent_at_us[excess] + self.window_us
