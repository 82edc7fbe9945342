"""A port for records of the traffic on a sender's connections.

An observer is called on the sender's loop and may neither wait nor raise. Without one, nothing is paid but
the question whether there is one.
"""

from typing import Protocol

SocketAddress = tuple[str, int]  # IP address and port

CLIENT_SIDE = 0  # the side that opened the connection
SERVER_SIDE = 1


class TrafficObserver(Protocol):
    """Hears of connections and of the bytes of either side (`CLIENT_SIDE`, `SERVER_SIDE`)."""

    def opened(self, client: SocketAddress, server: SocketAddress) -> int:
        """A connection is up. Returns its number, from 1 on."""

    def passed(self, connection: int, side: int, data: bytes) -> None:
        """Bytes that this side sent."""

    def ended(self, connection: int, side: int, reset: bool) -> None:
        """This side ended the connection; of several calls the first counts."""


class ObservedConnection:
    """One connection and its observer."""

    __slots__ = ("number", "observer")

    def __init__(self, observer: TrafficObserver, client: object, server: object) -> None:
        """Announces the connection.

        Args:
            observer: Hears of its traffic.
            client: The client's end as the socket tells it.
            server: The server's end; where either is no IP address, the connection is not observed.
        """
        self.observer = observer
        self.number = 0
        if isinstance(client, tuple) and isinstance(server, tuple):
            self.number = observer.opened(client[:2], server[:2])

    def passed(self, side: int, data: bytes) -> None:
        """Bytes that this side sent."""
        if self.number:
            self.observer.passed(self.number, side, data)

    def ended(self, side: int, reset: bool) -> None:
        """This side ended the connection."""
        if self.number:
            self.observer.ended(self.number, side, reset)
            self.number = 0
