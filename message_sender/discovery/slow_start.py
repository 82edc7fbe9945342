"""Slow start: the weight of a new or returned endpoint grows to its full value over a period. Pure.

The weight grows linearly in equal steps, so that a process with cold caches does not get its full share of
the calls at once (like Envoy's slow start mode with linear growth). The only endpoint of a
destination has no other endpoints to take the remaining calls: for it the warm-up of the delivery policy
applies.
"""

STEPS = 8


class SlowStart:
    """The endpoints that are in slow start.

    Attributes:
        duration_us: The duration of a slow start; 0 disables it.
        started_at: When each slow start began, us, by endpoint id.
    """

    def __init__(self, duration_us: int = 0) -> None:
        """Creates the state without an endpoint in slow start."""
        self.duration_us = duration_us
        self.started_at: dict[str, int] = {}

    def start(self, name: str, now: int) -> None:
        """Starts the slow start of an endpoint, if enabled."""
        if self.duration_us:
            self.started_at[name] = now

    def factor(self, name: str, now: int) -> float:
        """Returns the factor to apply to the endpoint's weight: 1/8 to 1."""
        if name not in self.started_at:
            return 1.0
        step = (now - self.started_at[name]) * STEPS // self.duration_us
        return min(max(step + 1, 1), STEPS) / STEPS

    def advance(self, now: int) -> list[str]:
        """Removes the endpoints whose slow start is over.

        Returns:
            The ids of all endpoints that were in slow start, including the removed ones.
        """
        names = list(self.started_at)
        for name in names:
            if now - self.started_at[name] >= self.duration_us:
                del self.started_at[name]
        return names

    def next_change(self, now: int) -> int | None:
        """Returns when the next step is due; None if no endpoint is in slow start."""
        return min((self._next_step(start, now) for start in self.started_at.values()), default=None)

    def _next_step(self, start: int, now: int) -> int:
        step = (now - start) * STEPS // self.duration_us
        return start + self.duration_us * (step + 1) // STEPS + 1
