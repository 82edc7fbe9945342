"""Requests that have come and wait to be read: which are turned away unread, and when they may come again.

Past what one core can do, reading everything in turn serves nobody: each request waits longer than its
client, and the core's time goes into answers that nobody hears. Two states:

- **reading**: every request is read in its turn.
- **turning away**: new requests are refused at the door, unread, at a small part of what a message costs;
  those that wait already are read. It begins when the one read next has waited `MOST`, and ends when what
  is read next came less than `LEAST` ago: between the two the state stays, so that it does not flap with
  every request.

Weighed against it: a bound on the count that waits (wrong whenever the speed of the core changes, which it
does on a shared machine) and CoDel's drop rate, which grows while a queue stays long (it drops from what
has waited, late; at a door nothing has been spent yet on the newest). The measure is CoDel's: the time that
what leaves the queue has spent in it.

Pure: times are seconds that the caller tells.
"""

from collections import deque

MOST = 0.12  # s; clients wait 0.4 s at least, and a message takes some passes of the loop more
LEAST = 0.03  # s
SPAN = 1.0  # s over which offered and read are compared
SOONEST = 0.25  # s, the least time told: below it a client would come again into the same crowd


class Backlog:
    def __init__(self, now: float, many: int = 10**9) -> None:
        """Where `many` wait, the one read next is turned away for after `LEAST` already."""
        self.many = many
        self.waiting: deque[float] = deque()  # when each came, the oldest first
        self.turning_away = False
        self.began, self.offered, self.read = now, 0, 0
        self.excess = 1.0  # offered over read in the last whole span
        self.turned_away = 0  # ever

    def came(self, now: float) -> None:
        """A request waits to be read from now on."""
        self.count(now)
        self.offered += 1
        self.waiting.append(now)

    def taken_up(self, now: float) -> None:
        """The one that waited for longest is read now, or has gone."""
        self.count(now)
        self.read += 1
        if self.waiting:
            self.turning_away = now - self.waiting.popleft() >= (LEAST if self.turning_away else MOST)
        if not self.waiting:
            self.turning_away = False

    def refuses(self, now: float) -> bool:
        """Whether a request that comes now is to be turned away unread."""
        if self.waiting and now - self.waiting[0] >= (LEAST if len(self.waiting) >= self.many else MOST):
            self.turning_away = True
        return self.turning_away

    def turned_one_away(self, now: float) -> None:
        self.count(now)
        self.offered += 1
        self.turned_away += 1

    def count(self, now: float) -> None:
        """Begins a new span where this one is over."""
        if now - self.began < SPAN:
            return
        whole = now - self.began < 2 * SPAN and self.read > 0
        self.excess = max(self.offered / self.read, 1.0) if whole else 1.0
        self.began, self.offered, self.read = now, 0, 0

    def come_again(self, most: float) -> float:
        """Seconds after which one that is turned away may come again, `most` at the most. Where twice as much
        comes as is read, half of it has to wait for a span that is not offered yet."""
        return min(max(SPAN * (self.excess - 0.5), SOONEST), most)
