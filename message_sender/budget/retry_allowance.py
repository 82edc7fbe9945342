"""Limits retries to a fraction of first attempts, at one member. Pure; times are microseconds of its clock.

This needs no communication: if each member keeps its retries within the fraction of its own first attempts,
so does the whole fleet, whichever datagrams are lost and members fail. At each retry, the number of retries
in the window that ends with it is at most `minimum` plus `fraction` times the first attempts in that window.

A session begins without attempts and allows no retry for one window, because retries of the previous session
may still count in it.
"""

from collections import deque

from message_sender.budget.enforcer import NEVER_US


class RetryAllowance:
    """Counts first attempts and retries of one budget at one member.

    Attributes:
        fraction: The number of retries that each first attempt allows.
        window_us: The window in which both are counted, in microseconds.
        minimum: The number of retries in a window that are allowed without first attempts.
        blocked_until_us: When the first retry of this session is allowed.
        first_attempts_us: When each first attempt within the window started, the oldest first.
        retries_us: When each retry within the window started, the oldest first.
        reserved: The names of calls that have reserved a retry and not started.
    """

    def __init__(self, fraction: float, window_us: int, minimum: int, started_at_us: int) -> None:
        """Initializes the allowance without attempts.

        Args:
            fraction: See the class.
            window_us: See the class.
            minimum: See the class.
            started_at_us: When the session started.
        """
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

    def available_at(self, now_us: int) -> int:
        """Returns when to check again for a retry; NEVER_US: not before there are more first attempts."""
        if now_us < self.blocked_until_us:
            return self.blocked_until_us
        if self.remaining(now_us) - len(self.reserved) >= 1:
            return now_us
        return self.retries_us[0] + self.window_us if self.retries_us else NEVER_US

    def reserve(self, name: str) -> None:
        """Reserves one retry for the named call."""
        self.reserved.add(name)

    def release(self, name: str) -> None:
        """Ends the reservation of this name; a counted retry still counts for its window."""
        self.reserved.discard(name)

    def has_capacity(self, now_us: int) -> bool:
        """Whether a retry is allowed now; reservations don't count."""
        return now_us >= self.blocked_until_us and self.remaining(now_us) >= 1

    def spend(self, name: str, now_us: int) -> None:
        """Counts a retry, and removes the name's reservation."""
        self.reserved.discard(name)
        self.retries_us.append(now_us)
