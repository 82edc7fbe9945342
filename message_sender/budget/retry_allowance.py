"""Limits retries to a fraction of first attempts, at one member. Pure; times are microseconds of its clock.

No member has to ask another one: where each keeps its retries within the fraction of its own first attempts,
all members together do, whatever messages are lost and whichever members fail. At each retry, the retries in
the window that ends with it are at most `minimum` and `fraction` times the first attempts in that window.

A session begins without attempts, and allows no retry for one window, since retries of the previous session
may still count in it.
"""

from collections import deque

from message_sender.budget.enforcer import NEVER_US


class RetryAllowance:
    """Counts first attempts and retries of one budget at one member.

    Attributes:
        fraction: Retries for each first attempt.
        window_us: The window in which both are counted.
        minimum: Retries in a window that need no first attempt.
        blocked_until_us: When the first retry of this session is allowed.
        reserved: Names of calls that are about to be spent.
    """

    def __init__(self, fraction: float, window_us: int, minimum: int, started_at_us: int) -> None:
        """Begins without attempts; `started_at_us`: when the session started."""
        self.fraction = fraction
        self.window_us = window_us
        self.minimum = minimum
        self.blocked_until_us = started_at_us + window_us
        self.first_attempts_us: deque[int] = deque()
        self.retries_us: deque[int] = deque()
        self.reserved: set[str] = set()

    def record_first_attempt(self, now_us: int) -> None:
        """Counts a first attempt."""
        self.first_attempts_us.append(now_us)

    def remaining(self, now_us: int) -> float:
        """Returns how many retries are allowed now; reservations don't count."""
        for times in (self.first_attempts_us, self.retries_us):
            while times and times[0] <= now_us - self.window_us:
                times.popleft()
        return self.minimum + self.fraction * len(self.first_attempts_us) - len(self.retries_us)

    def free_at(self, now_us: int) -> int:
        """Returns when to ask again for a retry; NEVER_US: not before there are more first attempts."""
        if now_us < self.blocked_until_us:
            return self.blocked_until_us
        if self.remaining(now_us) - len(self.reserved) >= 1:
            return now_us
        return self.retries_us[0] + self.window_us if self.retries_us else NEVER_US

    def reserve(self, name: str) -> None:
        """Reserves one retry for the named call."""
        self.reserved.add(name)

    def release(self, name: str) -> None:
        """Ends the reservation of this name; a retry that was spent counts on."""
        self.reserved.discard(name)

    def has_capacity(self, now_us: int) -> bool:
        """Whether a retry may go now."""
        return now_us >= self.blocked_until_us and self.remaining(now_us) >= 1

    def spend(self, name: str, now_us: int) -> None:
        """Counts a retry, in place of the name's reservation."""
        self.reserved.discard(name)
        self.retries_us.append(now_us)
