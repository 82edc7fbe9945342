"""The clock of the delivery policy."""

import time


class Clock:
    """Wall time as it was at the start, and from there on a time that never goes back.

    A process that takes over from another one on this machine counts from the same `base`.
    """

    def __init__(self, base: int | None = None) -> None:
        """Begins at the present wall time.

        Args:
            base: Nanoseconds to add to the monotonic clock; None: the present difference to the wall clock.
        """
        self.base = time.time_ns() - time.monotonic_ns() if base is None else base

    def now(self) -> int:
        """Microseconds since the epoch."""
        return (self.base + time.monotonic_ns()) // 1000
