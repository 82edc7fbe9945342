"""Sessions of peers and their replay windows: each number of a session counts once.

The window holds the `WINDOW` numbers up to the highest one that came, as in RFC 4303, section 3.4.3.
"""

from dataclasses import dataclass

REPLAY_WINDOW = 64  # numbers back from the highest that may still come


@dataclass(slots=True)
class PeerSession:
    """The present session of one peer."""

    epoch: int
    session: int
    highest_number: int = 0
    window_bits: int = 0  # bits: of the WINDOW numbers up to the highest
    received_at: float = 0.0  # s: when a datagram of it was believed last

    def is_new(self, number: int) -> bool:
        """Whether a datagram of this number has not come yet; notes it."""
        if number > self.highest_number:
            self.window_bits = (self.window_bits << min(number - self.highest_number, REPLAY_WINDOW) | 1) & (
                (1 << REPLAY_WINDOW) - 1
            )
            self.highest_number = number
            return True
        bit = 1 << (self.highest_number - number)
        if self.highest_number - number >= REPLAY_WINDOW or self.window_bits & bit:
            return False
        self.window_bits |= bit
        return True
