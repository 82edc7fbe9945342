"""The clock of the delivery policy."""

import time

from message_sender.journal.clock_record import wall_clock_base_ns


class Clock:
    """A monotonic clock that starts at the wall time.

    A process that takes over from a predecessor on the same machine uses the same `base`.

    Attributes:
        base: Nanoseconds that are added to the monotonic clock.
    """

    def __init__(self, base: int | None = None) -> None:
        """Starts the clock.

        Args:
            base: Nanoseconds to add to the monotonic clock; None: its current difference to the wall clock.
        """
        self.base = wall_clock_base_ns() if base is None else base

    def now(self) -> int:
        """Microseconds since the epoch."""
        return (self.base + time.monotonic_ns()) // 1000
