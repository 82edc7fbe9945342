"""The definition of a shared budget at one member, and the terms of its leases."""

import zlib
from dataclasses import dataclass
from functools import cached_property

from message_sender.budget.lease import Terms

#: A clock that is 1% fast measures a duration as up to 1.0101 times as long as it is.
FAST_CLOCK_FACTOR = 1.0102
#: The greatest relative drift between two clocks, each of which is at most 1% fast or slow.
MAX_CLOCK_DRIFT = 0.021


@dataclass(frozen=True)
class Budget:
    """One budget as this member's configuration defines it.

    Attributes:
        name: The budget's name, the same at all members.
        resource: What is counted, such as calls or in_flight.
        limit: The most units that all members together may spend within a window, or hold at once.
        max_members: The largest number of members.
        window_us: The window of a rate, in microseconds; None: units that are held are counted.
        max_hold_us: The longest time that a unit is held, in microseconds.
        floor: The units that each member may spend without a lease.
        lease_us: How long a lease is valid, in microseconds.
        slack_us: The greatest difference between the transit times of two calls, in microseconds.
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
        """A checksum that differs between definitions whose leases cannot be combined."""
        text = f"{self.resource} {self.window_us} {self.max_hold_us} {self.lease_us} {self.slack_us}"
        return zlib.crc32(text.encode())

    @cached_property
    def usage_window_us(self) -> int:
        """How long usage counts, in microseconds of a fast clock; the slack applies to rates only."""
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
