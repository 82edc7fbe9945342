"""The definition of a shared budget at one member, and the terms of its leases."""

import zlib
from dataclasses import dataclass
from functools import cached_property

from message_sender.budget.lease import Terms

#: A clock that is 1% fast shows a true duration as 1.0101 times as long.
FAST_CLOCK_FACTOR = 1.0102
#: The drift between two clocks of 1% each.
MAX_CLOCK_DRIFT = 0.021


@dataclass(frozen=True)
class Budget:
    """One budget as this member's configuration defines it.

    Attributes:
        name: The same at all members.
        resource: What is counted, such as calls or in_flight.
        limit: The most that all members may spend: in a window, or at once.
        max_members: The largest number of members.
        window_us: The window of a rate; None: things that are held are counted.
        max_hold_us: The longest that a thing is held.
        floor: What each member may spend without a lease.
        lease_us: How long a lease is valid.
        slack_us: By how much the transit times of two calls may differ.
    """

    name: str
    resource: str
    limit: int
    max_members: int
    window_us: int | None
    max_hold_us: int = 30_000_000
    floor: int = 0
    lease_us: int = 2_000_000
    slack_us: int = 10_000

    @cached_property
    def timing_checksum(self) -> int:
        """Differs between definitions whose leases cannot be combined."""
        text = f"{self.resource} {self.window_us} {self.max_hold_us} {self.lease_us} {self.slack_us}"
        return zlib.crc32(text.encode())

    @cached_property
    def usage_window_us(self) -> int:
        """How long usage counts, by a fast clock; the slack concerns rates alone."""
        counted_us = self.window_us + self.slack_us if self.window_us else self.max_hold_us
        return int(FAST_CLOCK_FACTOR * counted_us) + 1

    @cached_property
    def terms(self) -> Terms:
        """The terms of the budget's leases, in microseconds."""
        usage_window = self.usage_window_us
        margin = int(MAX_CLOCK_DRIFT * (self.lease_us + usage_window)) + 1
        return Terms(
            limit=self.limit,
            max_members=self.max_members,
            lease_duration=self.lease_us,
            grantor_term=self.lease_us,
            margin=margin,
            floor=self.floor,
            usage_window=usage_window,
        )
