"""Measures the lag of the event loop, and bounds the age of data that decisions may be based on.

A loop iteration acts on the sockets that were ready when it began. If the process was then not scheduled on
a core, that view is as old as the pause. The samples come from the loop itself: how long an event waited for
its iteration, and how long after its due time a timer ran.
"""

import logging
import math

#: Lag above which the data read from sockets may be too old to act on. A Retry-After has to be observed from
#: 0.1 s after it was written; half of that time may pass on the network and in the loop iteration.
STALE_AFTER_S = 0.02
REPORTED_LAG_S = 0.05  # a longer lag is logged
REPORT_INTERVAL_S = 10.0
BUCKET_GROWTH = 1.1  # ratio of the bounds of adjacent buckets: a percentile is at most 10 % too high
FIRST_BUCKET_S = 1e-4
BUCKETS = 128  # up to 18 s
REPORTED_SHARE = 0.999  # the logged percentile, as a fraction

log = logging.getLogger(__name__)


class EventLoopLag:
    """Histogram of lag samples: each bucket's bound is 10 % above the one before.

    Its memory and its relative error are bounded. A library's histogram would do the same, but the platform's
    daemon does not depend on such a library.

    Attributes:
        interval_start: Start of the interval; seconds on the loop's clock.
        count: Number of samples in the interval.
        max_lag_s: The longest lag in the interval, in seconds.
        buckets: Number of samples by bucket.
    """

    def __init__(self, now: float) -> None:
        """Starts the first interval. `now`: seconds on the loop's clock."""
        self.begin(now)

    def begin(self, now: float) -> None:
        """Starts a new interval without samples. `now`: seconds on the loop's clock."""
        self.interval_start = now
        self.count = 0
        self.max_lag_s = 0.0
        self.buckets = [0] * BUCKETS

    def note(self, lag_s: float) -> None:
        """Adds a sample, in seconds; a negative lag counts as on time."""
        self.count += 1
        self.max_lag_s = max(self.max_lag_s, lag_s)
        index = 0
        if lag_s > FIRST_BUCKET_S:
            index = math.ceil(math.log(lag_s / FIRST_BUCKET_S, BUCKET_GROWTH))
        self.buckets[min(index, BUCKETS - 1)] += 1

    def percentile(self, share: float) -> float:
        """The lag in seconds that this share of the samples does not exceed; at most 10 % too high."""
        remaining = math.ceil(share * self.count)
        for index, samples in enumerate(self.buckets):
            remaining -= samples
            if remaining <= 0:
                return min(FIRST_BUCKET_S * BUCKET_GROWTH**index, self.max_lag_s)
        return self.max_lag_s

    def record(self, now: float, messages: int, calls: int) -> None:
        """At the end of an interval, logs its figures if the loop was late, and starts a new interval.

        Args:
            now: Seconds on the loop's clock.
            messages: Number of messages that are accepted and not completed.
            calls: Number of calls in flight.
        """
        if now - self.interval_start < REPORT_INTERVAL_S:
            return
        if self.max_lag_s > REPORTED_LAG_S:
            log.warning(
                "event loop late: max_ms=%.0f p999_ms=%.0f samples=%d messages=%d calls=%d",
                self.max_lag_s * 1e3,
                self.percentile(REPORTED_SHARE) * 1e3,
                self.count,
                messages,
                calls,
            )
        self.begin(now)
