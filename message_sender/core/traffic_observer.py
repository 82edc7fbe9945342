"""Who sees what goes over a sender's connections: a port for records of the traffic.

A witness is called in the sender's turn and may neither wait nor raise. Without one, nothing is paid but the
question whether there is one.
"""

from typing import Protocol

Place = tuple[str, int]  # address and port


class TrafficObserver(Protocol):
    """Sides: 0 the client's, who opened the connection, and 1 the server's."""

    def opened(self, client: Place, server: Place) -> int:
        """A connection is up. The answer is its number from now on."""

    def passed(self, connection: int, side: int, data: bytes) -> None:
        """Bytes from that side."""

    def ended(self, connection: int, side: int, reset: bool) -> None:
        """That side ended it; nothing more passes. Told more than once, the first counts."""


class ObservedConnection:
    """One connection and its witness."""

    __slots__ = ("number", "witness")

    def __init__(self, witness: TrafficObserver, client: object, server: object) -> None:
        """The two ends as the socket tells them; what is no address of IP is not seen (number 0)."""
        self.witness = witness
        self.number = 0
        if isinstance(client, tuple) and isinstance(server, tuple):
            self.number = witness.opened(client[:2], server[:2])

    def passed(self, side: int, data: bytes) -> None:
        if self.number:
            self.witness.passed(self.number, side, data)

    def ended(self, side: int, reset: bool) -> None:
        if self.number:
            self.witness.ended(self.number, side, reset)
            self.number = 0
