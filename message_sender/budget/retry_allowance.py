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
        self.share, self.span, self.least, self.rests_until = share, span, least, since + span
        self.firsts: deque[int] = deque()
        self.repeats: deque[int] = deque()
        self.reserved: set[str] = set()

    def first(self, now: int) -> None:
        self.firsts.append(now)

    def left(self, now: int) -> float:
        """Repeats that may go now, besides those that are reserved."""
        for times in (self.firsts, self.repeats):
            while times and times[0] <= now - self.span:
                times.popleft()
        return self.least + self.share * len(self.firsts) - len(self.repeats)

    def free_at(self, now: int) -> int:
        """When one more is to be asked for again; NEVER: not before there are more first attempts."""
        if now < self.rests_until:
            return self.rests_until
        if self.left(now) - len(self.reserved) >= 1:
            return now
        return self.repeats[0] + self.span if self.repeats else NEVER_US

    def reserve(self, name: str) -> None:
        self.reserved.add(name)

    def ended(self, name: str) -> None:
        self.reserved.discard(name)

    def has_room(self, now: int) -> bool:
        return now >= self.rests_until and self.left(now) >= 1

    def take(self, name: str, now: int) -> None:
        self.reserved.discard(name)
        self.repeats.append(now)
