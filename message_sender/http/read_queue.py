"""Queue of connections whose received bytes wait to be parsed, processed for a limited time per iteration."""

import asyncio
from collections import deque

from message_sender.admission.backlog import Backlog
from message_sender.http.server_connection import ServerConnection

READ_BUDGET_S = 0.003  # per loop iteration, so that results of receivers and timers are processed too


class ReadQueue:
    """Serves connections whose last request was valid first, and those that continue a request last.

    Requests that need many steps thereby do not delay those that need one. Each iteration serves at least one
    connection of the first kind that waits, and one of each other kind.

    Attributes:
        is_frozen: Nothing is parsed.
        proven: Queued connections whose last request was valid.
        others: Other queued connections that begin a request.
        continuing: Other queued connections of whose request a part has been parsed. They are not counted in
            the backlog, whose requests wait for their first step.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, backlog: Backlog) -> None:
        """Creates an empty queue; `backlog` counts the waiting requests."""
        self.loop = loop
        self.backlog = backlog
        self.is_frozen = False
        self.proven: deque[ServerConnection] = deque()
        self.others: deque[ServerConnection] = deque()
        self.continuing: deque[ServerConnection] = deque()

    def __len__(self) -> int:
        """Returns the number of queued connections."""
        return len(self.proven) + len(self.others) + len(self.continuing)

    def add(self, connection: ServerConnection) -> None:
        """Queues a connection whose received bytes wait to be parsed."""
        if connection.is_queued:
            return
        connection.is_queued = True
        if not len(self):
            self.loop.call_soon(self.run)
        if connection.is_proven:
            queue = self.proven
        else:
            queue = self.continuing if connection.reader.has_begun() else self.others
        if queue is not self.continuing:
            self.backlog.request_arrived(self.loop.time())
        queue.append(connection)

    def run(self) -> None:
        """Parses requests for at most READ_BUDGET_S, so that a flood of requests does not delay calls."""
        if self.is_frozen:
            return
        deadline = self.loop.time() + READ_BUDGET_S
        while queue := self.proven or self.others or self.continuing:
            self._read_first(queue)
            if self.loop.time() >= deadline:
                break
        else:
            return
        has_preferred = bool(self.proven or self.others)
        if self.proven and self.others:
            self._read_first(self.others)
        if has_preferred and self.continuing:
            self._read_first(self.continuing)
        if len(self):
            self.loop.call_soon(self.run)

    def _read_first(self, queue: deque[ServerConnection]) -> None:
        connection = queue.popleft()
        connection.is_queued = False
        if queue is not self.continuing:
            self.backlog.request_read(self.loop.time())
        connection.advance()

    def freeze(self) -> None:
        """Stops parsing until `thaw`."""
        self.is_frozen = True

    def thaw(self) -> None:
        """Resumes parsing."""
        self.is_frozen = False
        if len(self):
            self.loop.call_soon(self.run)
