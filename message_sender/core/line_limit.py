"""Bounds the log lines of one kind of event, so that an outage does not fill the log."""

import time
from collections.abc import Callable

LINES_LIMIT = 20  # per interval
INTERVAL_S = 10.0


def monotonic_now() -> float:
    """The monotonic time in seconds; the clock is looked up at each call, since emulated time replaces it."""
    return time.monotonic()


class LineLimit:
    """Admits at most `LINES_LIMIT` lines per `INTERVAL_S`, and reports how many were suppressed.

    The number is reported with the first line of a later interval.
    """

    def __init__(
        self, report_suppressed: Callable[[int], None], clock: Callable[[], float] = monotonic_now
    ) -> None:
        """Starts the first interval.

        Args:
            report_suppressed: Called with the number of suppressed lines of an earlier interval.
            clock: Returns seconds.
        """
        self._report_suppressed = report_suppressed
        self._clock = clock
        self._interval_start = clock()
        self._lines = 0

    def admits_line(self) -> bool:
        """Counts a line, and returns whether it may be logged."""
        now = self._clock()
        if now - self._interval_start >= INTERVAL_S:
            suppressed = max(self._lines - LINES_LIMIT, 0)
            self._interval_start, self._lines = now, 0
            if suppressed:
                self._report_suppressed(suppressed)
        self._lines += 1
        return self._lines <= LINES_LIMIT
