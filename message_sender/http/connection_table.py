"""Clients' connections by what they serve, and which one makes room for another."""

from collections.abc import Iterator
from itertools import takewhile
from typing import Generic, Protocol, TypeVar

MIN_IDLE_S = 2.0  # for which a client may count on an idle connection, unless nothing else makes room
SILENT_SHARE = 1 / 3  # of the connections that may have just come and be silent


class TableEntry(Protocol):
    """What the table needs of a connection; it is hashed by identity."""

    since: float


Entry = TypeVar("Entry", bound=TableEntry)


class ConnectionTable(Generic[Entry]):
    """All connections, and those that serve nobody now in the order in which they came to be so.

    Attributes:
        all: Every connection.
        silent: Connections on which nothing has come yet.
        probing: Connections between requests that never submitted a message.
        idle: Other connections between requests.
        closing: Connections that have had their last answer.
    """

    def __init__(self) -> None:
        """Begins without connections."""
        self.all: set[Entry] = set()
        self.silent: dict[Entry, None] = {}
        self.probing: dict[Entry, None] = {}
        self.idle: dict[Entry, None] = {}
        self.closing: dict[Entry, None] = {}

    def add(self, connection: Entry) -> None:
        """A connection has been accepted."""
        self.all.add(connection)
        self.silent[connection] = None

    def forget(self, connection: Entry) -> None:
        """A connection has ended."""
        self.all.discard(connection)
        self.closing.pop(connection, None)
        self.mark_busy(connection)

    def mark_busy(self, connection: Entry) -> None:
        """A request has begun to come, or the connection ends."""
        self.silent.pop(connection, None)
        self.probing.pop(connection, None)
        self.idle.pop(connection, None)

    def mark_idle(self, connection: Entry, has_submitted: bool) -> None:
        """A request has been answered. `has_submitted`: the client has submitted messages."""
        (self.idle if has_submitted else self.probing)[connection] = None

    def mark_closing(self, connection: Entry) -> None:
        """The last answer has been written."""
        self.closing[connection] = None

    def candidates(self, now: float, limit: int) -> Iterator[Entry]:
        """Connections that serve nobody now, the ones missed least first, and of each kind the oldest.

        Args:
            now: Seconds on the loop's clock.
            limit: Connections that may be held at once.
        """
        yield from self.closing
        yield from self.probing
        yield from takewhile(lambda each: now - each.since > MIN_IDLE_S, self.idle)
        # Some usual clients connect well before they ask; only many that say nothing are a crowd.
        if len(self.silent) > limit * SILENT_SHARE:
            yield from self.silent
        yield from self.idle
        yield from self.silent
