"""Slow start: an endpoint that is new, or back, among others of its destination gets a growing share. Pure.

Its weight grows in equal steps over a span, so that a process with cold caches is not given a full share at
once (Envoy has the like as its slow start mode; here it is linear). Where it is alone there is nothing to
share out: then the decision module's warm-up counts.
"""

STEPS = 8


class SlowStart:
    def __init__(self, span: int = 0) -> None:
        """`span` in us; 0: there is no slow start."""
        self.span = span
        self.began: dict[str, int] = {}

    def start(self, name: str, now: int) -> None:
        if self.span:
            self.began[name] = now

    def factor(self, name: str, now: int) -> float:
        """Of the endpoint's weight: from 1/8 to 1."""
        if name not in self.began:
            return 1.0
        step = (now - self.began[name]) * STEPS // self.span
        return min(max(step + 1, 1), STEPS) / STEPS

    def turn(self, now: int) -> list[str]:
        """Those that are under way; one that has ended is named a last time."""
        found = list(self.began)
        over = [name for name in found if now - self.began[name] >= self.span]
        for name in over:
            del self.began[name]
        return found

    def next_change(self, now: int) -> int | None:
        """When the next step is due."""
        times = (
            at + self.span * ((now - at) * STEPS // self.span + 1) // STEPS + 1 for at in self.began.values()
        )
        return min(times, default=None)
