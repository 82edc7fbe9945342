"""Ends unfinished requests of clients while all connections together hold too many bytes."""

import asyncio
import logging

from message_sender.admission.read_budget import ReadBudget
from message_sender.core.line_limit import LineLimit
from message_sender.http.connection_state import ConnectionEvent, ConnectionState
from message_sender.http.server_connection import ServerConnection

log = logging.getLogger(__name__)


class MemoryGuard:
    """Keeps the bytes that client connections hold below a limit.

    Attributes:
        budget: Counts the bytes, and decides whose requests are ended.
        is_frozen: Requests are not ended, because another process is about to continue them.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, limit_bytes: int) -> None:
        """Creates a guard that counts no connection yet; `limit_bytes` limits what all of them hold."""
        self.budget: ReadBudget[ServerConnection] = ReadBudget(limit_bytes)
        self.is_frozen = False
        self._line_limit = LineLimit(self._report_suppressed, loop.time)

    def count(self, connection: ServerConnection) -> None:
        """Counts the bytes that a connection holds; ends unfinished requests if all hold too many."""
        self.budget.update(connection)
        if self.budget.is_exceeded() and not self.is_frozen:
            self._end_excess_requests()

    def forget(self, connection: ServerConnection) -> None:
        """Stops counting a connection that has ended."""
        self.budget.forget(connection)

    def _end_excess_requests(self) -> None:
        budget = self.budget
        for connection in list(budget.held):
            budget.update(connection)  # responses may have been written meanwhile
        held_bytes, ended = budget.total_bytes, 0
        for connection in budget.excess_holders() if budget.is_exceeded() else ():
            if connection.transport and connection.state() is ConnectionState.READING:
                connection.handle(ConnectionEvent.MEMORY_NEEDED)
                ended += 1
        if ended and self._line_limit.admits_line():
            log.warning(
                "unfinished requests rejected: requests=%d held_bytes=%d limit_bytes=%d",
                ended,
                held_bytes,
                budget.limit_bytes,
            )

    def _report_suppressed(self, count: int) -> None:
        log.warning("unfinished requests rejected often: unreported=%d", count)
