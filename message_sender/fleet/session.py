"""Sessions of peers and their replay windows: each number of a session counts once.

The window holds the `WINDOW` numbers up to the highest one that came, as in RFC 4303, section 3.4.3.
"""

from dataclasses import dataclass

WINDOW = 64  # numbers back from the highest that may still come


@dataclass(slots=True)
class PeerSession:
    """The present session of one peer."""

    epoch: int
    session: int
    highest: int = 0
    seen: int = 0  # bits: of the WINDOW numbers up to the highest
    heard: float = 0.0  # s: when a datagram of it was believed last

    def is_new(self, number: int) -> bool:
        """Whether a datagram of this number has not come yet; notes it."""
        if number > self.highest:
            self.seen = (self.seen << min(number - self.highest, WINDOW) | 1) & ((1 << WINDOW) - 1)
            self.highest = number
            return True
        bit = 1 << (self.highest - number)
        if self.highest - number >= WINDOW or self.seen & bit:
            return False
        self.seen |= bit
        return True
