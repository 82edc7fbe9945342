"""Queue of connections whose received bytes wait to be parsed, processed for a limited time per iteration."""

import asyncio
from collections import deque

from message_sender.admission.backlog import Backlog
from message_sender.core.read_turns import ITERATION_BUDGET_S
from message_sender.http.server_connection import ServerConnection


class ReadQueue:
    """Serves connections whose last request was valid first, then complete first requests, all others last.

    Requests that need many steps, and clients that send one invalid request after another, thereby do not
    delay others. Each iteration serves at least one connection of the first kind that waits, and one of each
    other kind.

    Attributes:
        is_frozen: Nothing is parsed.
        is_scheduled: The loop is about to call `run`, or is in it.
        proven: Queued connections whose last request was valid.
        others: Queued connections whose first request seems to be complete.
        deferred: Queued connections whose first request is incomplete or has a long head, of whose request a
            part has been parsed, or whose last request was not valid. They are in no backlog.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, backlog: Backlog, unproven_backlog: Backlog) -> None:
        """Creates an empty queue.

        Args:
            loop: The event loop.
            backlog: Counts the waiting requests of connections whose last request was valid.
            unproven_backlog: Counts the waiting requests of other connections.
        """
        self.loop = loop
        self.backlog = backlog
        self.unproven_backlog = unproven_backlog
        self.is_frozen = False
        self.is_scheduled = False
        self.proven: deque[ServerConnection] = deque()
        self.others: deque[ServerConnection] = deque()
        self.deferred: deque[ServerConnection] = deque()

    def __len__(self) -> int:
        """Returns the number of queued connections."""
        return len(self.proven) + len(self.others) + len(self.deferred)

    def add(self, connection: ServerConnection) -> None:
        """Queues a connection whose received bytes wait to be parsed."""
        if connection.is_queued:
            return
        connection.is_queued = True
        if connection.is_proven:
            self.backlog.request_arrived(self.loop.time())
            self.proven.append(connection)
        elif connection.reader.has_begun() or connection.has_failed or not connection.reader.looks_complete():
            self.deferred.append(connection)
        else:
            self.unproven_backlog.request_arrived(self.loop.time())
            self.others.append(connection)
        self._schedule()

    def _schedule(self) -> None:
        """Makes the loop call `run` in its next iteration, once."""
        if len(self) and not self.is_scheduled:
            self.is_scheduled = True
            self.loop.call_soon(self.run)

    def run(self) -> None:
        """Parses requests for at most ITERATION_BUDGET_S: a flood of requests does not delay calls."""
        if self.is_frozen:
            self.is_scheduled = False
            return
        self.is_scheduled = True  # connections that are queued meanwhile are served below, or in the next run
        self._run()
        self.is_scheduled = False
        self._schedule()

    def _run(self) -> None:
        deadline = self.loop.time() + ITERATION_BUDGET_S
        while queue := self.proven or self.others or self.deferred:
            self._read_first(queue)
            if self.loop.time() >= deadline:
                break
        has_preferred = bool(self.proven or self.others)
        if self.proven and self.others:
            self._read_first(self.others)
        if has_preferred and self.deferred:
            self._read_first(self.deferred)

    def _read_first(self, queue: deque[ServerConnection]) -> None:
        connection = queue.popleft()
        connection.is_queued = False
        if queue is self.proven:
            self.backlog.request_read(self.loop.time())
        elif queue is self.others:
            self.unproven_backlog.request_read(self.loop.time())
        connection.advance()

    def freeze(self) -> None:
        """Stops parsing until `thaw`."""
        self.is_frozen = True

    def thaw(self) -> None:
        """Resumes parsing."""
        self.is_frozen = False
        self._schedule()
