"""Sessions of peers and their replay windows: each number of a session counts once.

The window has the `REPLAY_WINDOW` numbers up to the highest received one, as in RFC 4303, section 3.4.3.
"""

from dataclasses import dataclass

REPLAY_WINDOW = 64
WINDOW_MASK = (1 << REPLAY_WINDOW) - 1


@dataclass(slots=True)
class PeerSession:
    """The present session of one peer.

    Attributes:
        epoch: The epoch of the peer's start.
        session: The number of the session.
        highest_number: The highest received number.
        window_bits: The received numbers of the window; the lowest bit is the highest number.
        received_at: When a datagram was accepted last, in seconds of the caller's clock.
    """

    epoch: int
    session: int
    highest_number: int = 0
    window_bits: int = 0
    received_at: float = 0.0

    def is_new(self, number: int) -> bool:
        """Notes a datagram's number, and returns whether it was not received before."""
        if number > self.highest_number:
            shift = min(number - self.highest_number, REPLAY_WINDOW)
            self.window_bits = (self.window_bits << shift | 1) & WINDOW_MASK
            self.highest_number = number
            return True
        bit = 1 << (self.highest_number - number)
        if self.highest_number - number >= REPLAY_WINDOW or self.window_bits & bit:
            return False
        self.window_bits |= bit
        return True
