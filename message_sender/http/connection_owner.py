"""What a client's connection needs of its server."""

import asyncio
from typing import Protocol, TypeVar

from message_sender.admission.backlog import Backlog
from message_sender.core.socket_errors import ErrorReports
from message_sender.core.traffic_observer import TrafficObserver
from message_sender.http.connection_table import ConnectionTable, TableEntry
from message_sender.http.fast_path import FastRequest
from message_sender.message import Message
from message_sender.policy.model import MessageClass

Entry = TypeVar("Entry", bound=TableEntry)


class ConnectionOwner(Protocol[Entry]):
    """What a connection needs of its server.

    Attributes:
        table: All connections.
        buffer: Shared by all of them: what came is copied before another one reads.
        connection_limit: Connections that are served; further ones are only told that they are rejected.
        classes: Message classes by name.
        is_ready: Whether clients may submit messages.
        is_stopping: Each answer closes its connection.
        is_frozen: Nothing is read or acted on for now.
        is_closing_idle: What is between requests is closed too.
    """

    loop: asyncio.AbstractEventLoop
    table: ConnectionTable[Entry]
    buffer: bytearray
    connection_limit: int
    classes: dict[str, MessageClass]
    backlog: Backlog
    reports: ErrorReports
    observer: TrafficObserver | None
    is_ready: bool
    is_stopping: bool
    is_frozen: bool
    is_closing_idle: bool

    def now(self) -> int:
        """Microseconds since the epoch."""

    def submit(self, message: Message, connection: Entry) -> None:
        """A client submits a message."""

    def knows_destination(self, destination: int) -> bool:
        """Whether there ever was such a destination."""

    def queue_for_reading(self, connection: Entry) -> None:
        """Reads on from the connection in its turn."""

    def rejected_unread(self, data: memoryview) -> FastRequest | None:
        """The request, where it is rejected without a further look."""

    def count_rejected(self, message_class: str) -> None:
        """Counts a request that was rejected unread."""

    def unread_answer(self) -> bytes:
        """The answer to a request that is rejected unread."""

    def forget(self, connection: Entry) -> None:
        """The connection has ended."""
