"""Client connections by activity, and the order in which unused ones are closed to free capacity."""

from collections.abc import Iterator
from itertools import takewhile
from typing import Generic, Protocol, TypeVar

MIN_IDLE_S = 2.0  # an idle connection is kept for at least this long unless no other one can be closed
MAX_SILENT_FRACTION = 1 / 3  # of the connection limit; above it, silent connections are evicted earlier


class TableEntry(Protocol):
    """The part of a connection that the table uses; connections are hashed by identity.

    Attributes:
        since: When the connection's current wait began, in seconds on the loop's clock.
    """

    since: float


Entry = TypeVar("Entry", bound=TableEntry)


class ConnectionTable(Generic[Entry]):
    """All connections, and the unused ones in the order in which they became unused.

    Attributes:
        all: Every connection.
        silent: Connections on which nothing has been received yet.
        probing: Connections between requests that never submitted a message, such as those of health checks.
        idle: Other connections between requests.
        closing: Connections whose last response has been written.
    """

    def __init__(self) -> None:
        """Creates an empty table."""
        self.all: set[Entry] = set()
        self.silent: dict[Entry, None] = {}
        self.probing: dict[Entry, None] = {}
        self.idle: dict[Entry, None] = {}
        self.closing: dict[Entry, None] = {}

    def add(self, connection: Entry) -> None:
        """Adds an accepted connection, on which nothing has been received yet."""
        self.all.add(connection)
        self.silent[connection] = None

    def forget(self, connection: Entry) -> None:
        """Removes a connection that has ended."""
        self.all.discard(connection)
        self.closing.pop(connection, None)
        self.mark_busy(connection)

    def mark_busy(self, connection: Entry) -> None:
        """Marks a connection as used: a request is being received, or the connection is ending."""
        self.silent.pop(connection, None)
        self.probing.pop(connection, None)
        self.idle.pop(connection, None)

    def mark_idle(self, connection: Entry, has_submitted: bool) -> None:
        """Marks a connection as between requests.

        Args:
            connection: The connection whose request has been answered.
            has_submitted: The client has submitted messages on it.
        """
        (self.idle if has_submitted else self.probing)[connection] = None

    def mark_closing(self, connection: Entry) -> None:
        """Marks a connection whose last response has been written."""
        self.closing[connection] = None

    def candidates(self, now: float, limit: int) -> Iterator[Entry]:
        """Yields the connections that may be closed to free capacity, least valuable kind first.

        Within a kind, the oldest comes first. A connection may be yielded twice.

        Args:
            now: Seconds on the loop's clock.
            limit: Maximum number of connections.
        """
        yield from self.closing
        yield from self.probing
        yield from takewhile(lambda each: now - each.since > MIN_IDLE_S, self.idle)
        # Some normal clients connect well before their first request; only a large number of silent
        # connections indicates a flood.
        if len(self.silent) > limit * MAX_SILENT_FRACTION:
            yield from self.silent
        yield from self.idle
        yield from self.silent
