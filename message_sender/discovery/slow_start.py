"""Slow start: the weight of an endpoint that is new, or back, grows for a while. Pure.

It grows in equal steps, so that a process with cold caches does not get its full share at once (Envoy has a
slow start mode of this kind; here it is linear). An endpoint that is alone at its destination has no others
to take the rest: there the warm-up of the delivery policy applies.
"""

STEPS = 8


class SlowStart:
    """The endpoints whose weight is growing.

    Attributes:
        duration_us: How long a slow start takes; 0: there is none.
        started_at: When each slow start began, by endpoint id.
    """

    def __init__(self, duration_us: int = 0) -> None:
        """Creates a slow start of that duration, with no endpoint in it."""
        self.duration_us = duration_us
        self.started_at: dict[str, int] = {}

    def start(self, name: str, now: int) -> None:
        """Begins the slow start of an endpoint."""
        if self.duration_us:
            self.started_at[name] = now

    def factor(self, name: str, now: int) -> float:
        """Returns the factor of the endpoint's weight: 1/8 to 1."""
        if name not in self.started_at:
            return 1.0
        step = (now - self.started_at[name]) * STEPS // self.duration_us
        return min(max(step + 1, 1), STEPS) / STEPS

    def advance(self, now: int) -> list[str]:
        """Removes the endpoints whose slow start is over.

        Returns:
            All endpoints that were in slow start, those removed included.
        """
        names = list(self.started_at)
        for name in names:
            if now - self.started_at[name] >= self.duration_us:
                del self.started_at[name]
        return names

    def next_change(self, now: int) -> int | None:
        """Returns when the next step is due; None with no endpoint in slow start."""
        return min((self._next_step(start, now) for start in self.started_at.values()), default=None)

    def _next_step(self, start: int, now: int) -> int:
        step = (now - start) * STEPS // self.duration_us
        return start + self.duration_us * (step + 1) // STEPS + 1
