"""A rate limit: events per second and key. Pure."""

from collections import Counter

WINDOW_S = 1.0


class RateLimit:
    """Limits the events per key in fixed windows of one second."""

    def __init__(self, window_started_at: float) -> None:
        """Creates a limit without events; times are seconds of the caller's clock."""
        self._counts: Counter[str] = Counter()
        self._window_started_at = window_started_at

    def allow(self, key: str, limit: int, now: float) -> bool:
        """Counts an event; returns False, uncounted, once `key` has `limit` events in this window."""
        if now - self._window_started_at >= WINDOW_S:
            self._counts.clear()
            self._window_started_at = now
        if self._counts[key] >= limit:
            return False
        self._counts[key] += 1
        return True
