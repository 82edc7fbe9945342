"""How late the event loop is: figures, and the bound past which what was read before is too old to act on.

An iteration of the loop acts on what it found ready as it began. Where the process had no core meanwhile,
that view is as old as the pause. Samples are the loop's own: how long an event waited for its iteration, and
how long after its time a timer ran.
"""

import logging
import math

#: A Retry-After binds 0.1 s after it was written; half of that may pass on the way and in the iteration.
STALE_AFTER_S = 0.02
REPORTED_LAG_S = 0.05  # a longer one is logged
REPORT_INTERVAL_S = 10.0
BUCKET_GROWTH = 1.1  # of a bucket to the next: a percentile is at most a tenth too high
FIRST_BUCKET_S = 1e-4
BUCKETS = 128  # up to 18 s
REPORTED_SHARE = 0.999

log = logging.getLogger(__name__)


class EventLoopLag:
    """Counts samples in buckets that grow by a tenth: its memory is bounded and its error is stated.

    A library's histogram would do the same; the platform's daemon imports none.
    """

    def __init__(self, now: float) -> None:
        """`now`: seconds on the loop's clock."""
        self.begin(now)

    def begin(self, now: float) -> None:
        """Begins a new interval without samples."""
        self.began = now
        self.count = 0
        self.longest = 0.0
        self.buckets = [0] * BUCKETS

    def note(self, lag_s: float) -> None:
        """Adds one sample; what came early counts as on time."""
        self.count += 1
        self.longest = max(self.longest, lag_s)
        index = 0
        if lag_s > FIRST_BUCKET_S:
            index = math.ceil(math.log(lag_s / FIRST_BUCKET_S, BUCKET_GROWTH))
        self.buckets[min(index, BUCKETS - 1)] += 1

    def percentile(self, share: float) -> float:
        """Seconds that at least this share of the samples did not exceed, at most a tenth too high."""
        remaining = math.ceil(share * self.count)
        for index, samples in enumerate(self.buckets):
            remaining -= samples
            if remaining <= 0:
                return min(FIRST_BUCKET_S * BUCKET_GROWTH**index, self.longest)
        return self.longest

    def record(self, now: float, messages: int, calls: int) -> None:
        """Once an interval is over: logs its figures if the loop was late in it, and begins a new one.

        Args:
            now: Seconds on the loop's clock.
            messages: Messages that are accepted and not completed.
            calls: Calls in flight.
        """
        if now - self.began < REPORT_INTERVAL_S:
            return
        if self.longest > REPORTED_LAG_S:
            log.warning(
                "event loop late: max_ms=%.0f p999_ms=%.0f samples=%d messages=%d calls=%d",
                self.longest * 1e3,
                self.percentile(REPORTED_SHARE) * 1e3,
                self.count,
                messages,
                calls,
            )
        self.begin(now)
