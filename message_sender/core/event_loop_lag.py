"""How late the loop is: a figure, and the bound past which what was read before is too old to act on.

A pass of the loop acts on what it found ready as it began. Where the process had no core meanwhile, that view
is as old as the pause. The samples are the loop's own: how long an event waited for its turn, and how long
after its time a timer ran.
"""

import logging
import math

#: s; a wait binds 100 ms after it was written, and half of that may pass on the way and in the turn.
OLD = 0.02
TOLD = 0.05  # s; a record is logged when the loop was later than this
SPAN = 10.0  # s between records at the least
GROWTH = 1.1  # of a bucket to the next: a percentile is at most a tenth too high
LEAST = 1e-4  # s, the first bucket's end
BUCKETS = 128  # up to 18 s

log = logging.getLogger(__name__)


class EventLoopLag:
    """Counts samples in buckets that grow by a tenth: bounded, and its error is stated. A library's histogram
    would do the same; the platform's daemon imports none."""

    def __init__(self, now: float) -> None:
        self.begin(now)

    def begin(self, now: float) -> None:
        self.began, self.count, self.longest = now, 0, 0.0
        self.buckets = [0] * BUCKETS

    def note(self, late: float) -> None:
        """One sample, in s; what came early counts as on time."""
        self.count += 1
        self.longest = max(self.longest, late)
        at = math.ceil(math.log(late / LEAST, GROWTH)) if late > LEAST else 0
        self.buckets[min(at, BUCKETS - 1)] += 1

    def percentile(self, share: float) -> float:
        """s that at least this share of the samples did not pass, at most a tenth too high."""
        wanted = math.ceil(share * self.count)
        for at, found in enumerate(self.buckets):
            wanted -= found
            if wanted <= 0:
                return min(LEAST * GROWTH**at, self.longest)
        return self.longest

    def record(self, now: float, held: int, out: int) -> None:
        """Now and then: logs the span's figures if the loop was late in it, and begins a new one."""
        if now - self.began < SPAN:
            return
        if self.longest > TOLD:
            most, usual = self.longest * 1e3, self.percentile(0.999) * 1e3
            text = "the loop was late: %.0f ms at most, 99.9%% within %.0f ms of %d samples; held %d, out %d"
            log.warning(text, most, usual, self.count, held, out)
        self.begin(now)
