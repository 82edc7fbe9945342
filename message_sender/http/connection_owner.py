"""The interface through which a client connection uses its server."""

import asyncio
from typing import Protocol, TypeVar

from message_sender.core.socket_errors import ErrorReports
from message_sender.core.traffic_observer import TrafficObserver
from message_sender.http.connection_table import ConnectionTable, TableEntry
from message_sender.http.fast_path import FastRequest
from message_sender.message import Message
from message_sender.policy.model import MessageClass

Entry = TypeVar("Entry", bound=TableEntry)


class ConnectionOwner(Protocol[Entry]):
    """The part of the server that a client connection uses.

    Attributes:
        loop: The event loop.
        table: All connections.
        buffer: Receive buffer of all connections; bytes are copied out before another connection reads.
        connection_limit: Number of connections that are served. Further ones only get a response that they
            are rejected.
        classes: Message classes by name.
        reports: Logs errors of connections at a limited rate.
        observer: Observes the traffic of new connections; None if none does.
        is_ready: Clients may submit messages.
        is_stopping: Each response closes its connection.
        is_frozen: Nothing is read or processed until the server is thawed.
        is_closing_idle: Connections between requests are closed too.
    """

    loop: asyncio.AbstractEventLoop
    table: ConnectionTable[Entry]
    buffer: bytearray
    connection_limit: int
    classes: dict[str, MessageClass]
    reports: ErrorReports
    observer: TrafficObserver | None
    is_ready: bool
    is_stopping: bool
    is_frozen: bool
    is_closing_idle: bool

    def now(self) -> int:
        """Returns the time in microseconds since the epoch."""

    def submit(self, message: Message, connection: Entry) -> None:
        """Submits a message on behalf of a client."""

    def knows_destination(self, destination: int) -> bool:
        """Whether a destination has ever been listed."""

    def queue_for_reading(self, connection: Entry) -> None:
        """Queues a connection whose received bytes wait to be parsed."""

    def count_held(self, connection: Entry) -> None:
        """Counts the bytes that a connection holds; ends unfinished requests if all hold too many."""

    def rejected_unread(self, data: memoryview, is_proven: bool) -> FastRequest | None:
        """Returns the request in these bytes if it is to be rejected unread; otherwise None.

        Args:
            data: The received bytes.
            is_proven: The last request of the connection was valid.
        """

    def count_rejected(self, message_class: str) -> None:
        """Counts a request of this message class that was rejected unread."""

    def unread_answer(self, is_proven: bool) -> bytes:
        """Counts a request that is rejected unread, and returns the encoded response."""

    def forget(self, connection: Entry) -> None:
        """Removes a connection that has ended."""
