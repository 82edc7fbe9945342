"""What first attempts leave for repeats, at one member: a share of them, and a few without any. Pure: times
are the member's own clock, us.

Nobody has to be asked: where each member repeats no more than its share of its own first attempts, all
together repeat no more than that share of theirs, through whatever loss, split or death. A life begins with
neither, and repeats nothing for a span: what the one before repeated in it may still count.

- At each repeat, those in the span that ends with it are at most `least` and `share` times the first
  attempts in the same span.
"""

from collections import deque

from message_sender.budget.enforcer import NEVER_US


class RetryAllowance:
    def __init__(self, share: float, span: int, least: int, since: int) -> None:
        """`span`: us; `since`: when this life began."""
        self.share, self.window_us, self.minimum, self.blocked_until_us = share, span, least, since + span
        self.first_attempts_us: deque[int] = deque()
        self.retries_us: deque[int] = deque()
        self.reserved: set[str] = set()

    def record_first_attempt(self, now: int) -> None:
        self.first_attempts_us.append(now)

    def remaining(self, now: int) -> float:
        """Repeats that may go now, besides those that are reserved."""
        for times in (self.first_attempts_us, self.retries_us):
            while times and times[0] <= now - self.window_us:
                times.popleft()
        return self.minimum + self.share * len(self.first_attempts_us) - len(self.retries_us)

    def free_at(self, now: int) -> int:
        """When one more is to be asked for again; NEVER: not before there are more first attempts."""
        if now < self.blocked_until_us:
            return self.blocked_until_us
        if self.remaining(now) - len(self.reserved) >= 1:
            return now
        return self.retries_us[0] + self.window_us if self.retries_us else NEVER_US

    def reserve(self, name: str) -> None:
        self.reserved.add(name)

    def release(self, name: str) -> None:
        self.reserved.discard(name)

    def has_capacity(self, now: int) -> bool:
        return now >= self.blocked_until_us and self.remaining(now) >= 1

    def spend(self, name: str, now: int) -> None:
        self.reserved.discard(name)
        self.retries_us.append(now)
