"""Sessions of peers and their anti-replay windows: each datagram number is accepted once per session.

The window covers the `REPLAY_WINDOW` numbers up to the highest received one, as in RFC 4303, section 3.4.3.
"""

from dataclasses import dataclass

REPLAY_WINDOW = 64
WINDOW_MASK = (1 << REPLAY_WINDOW) - 1


@dataclass(slots=True)
class PeerSession:
    """The current session of a peer.

    Attributes:
        epoch: The start number (epoch) of the peer.
        session: The session number.
        highest_number: The highest received datagram number.
        window_bits: A bitmap of the received numbers in the window; the lowest bit is `highest_number`.
        received_at: When a datagram was last accepted, in seconds of the caller's clock.
    """

    epoch: int
    session: int
    highest_number: int = 0
    window_bits: int = 0
    received_at: float = 0.0

    def is_new(self, number: int) -> bool:
        """Records a datagram's number; returns False for a repeated number or one below the window."""
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
