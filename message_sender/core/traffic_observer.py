"""A port for recording the traffic on a sender's connections.

An observer is called on the sender's loop and must neither block nor raise. Without an observer, the only
cost is the check whether one is set.
"""

from typing import Protocol

SocketAddress = tuple[str, int]  # IP address and port

CLIENT_SIDE = 0  # the side that opened the connection
SERVER_SIDE = 1


class TrafficObserver(Protocol):
    """Receives the connections and the bytes of each side (`CLIENT_SIDE`, `SERVER_SIDE`)."""

    def connection_opened(self, client: SocketAddress, server: SocketAddress) -> int:
        """Called when a connection is open; returns its number, counted from 1."""

    def data_sent(self, connection: int, side: int, data: bytes) -> None:
        """Called with bytes that a side sent."""

    def connection_closed(self, connection: int, side: int, reset: bool) -> None:
        """Called when a side closed the connection; only the first call for a connection counts.

        Args:
            connection: Its number.
            side: The side that closed the connection.
            reset: The connection was reset.
        """


class ObservedConnection:
    """One connection and its observer.

    Attributes:
        observer: The observer.
        number: The connection's number; 0: it is not observed, or is closed.
    """

    __slots__ = ("number", "observer")

    def __init__(self, observer: TrafficObserver, client: object, server: object) -> None:
        """Announces the connection.

        Args:
            observer: Receives the connection's traffic.
            client: The client's address, as returned by the socket.
            server: The server's address; if either is not an IP address, the connection is not observed.
        """
        self.observer = observer
        self.number = 0
        if isinstance(client, tuple) and isinstance(server, tuple):
            self.number = observer.connection_opened(client[:2], server[:2])

    def report_data(self, side: int, data: bytes) -> None:
        """Reports bytes that a side sent."""
        if self.number:
            self.observer.data_sent(self.number, side, data)

    def report_closed(self, side: int, reset: bool) -> None:
        """Reports that a side closed the connection, and stops observing it."""
        if self.number:
            self.observer.connection_closed(self.number, side, reset)
            self.number = 0
