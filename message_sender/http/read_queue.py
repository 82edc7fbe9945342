"""Queue of connections whose received bytes wait to be parsed, processed for a limited time per iteration."""

import asyncio
from collections import deque

from message_sender.admission.backlog import Backlog
from message_sender.http.server_connection import ServerConnection

READ_BUDGET_S = 0.003  # per loop iteration, so that results of receivers and timers are processed too


class ReadQueue:
    """Serves connections whose last request was valid first, but at least one of the others per iteration.

    Attributes:
        is_frozen: Nothing is parsed.
        proven: Queued connections whose last request was valid.
        others: Other queued connections.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, backlog: Backlog) -> None:
        """Creates an empty queue; `backlog` counts the waiting requests."""
        self.loop = loop
        self.backlog = backlog
        self.is_frozen = False
        self.proven: deque[ServerConnection] = deque()
        self.others: deque[ServerConnection] = deque()

    def __len__(self) -> int:
        """Returns the number of queued connections."""
        return len(self.proven) + len(self.others)

    def add(self, connection: ServerConnection) -> None:
        """Queues a connection whose received bytes wait to be parsed."""
        if connection.is_queued:
            return
        connection.is_queued = True
        if not len(self):
            self.loop.call_soon(self.run)
        self.backlog.request_arrived(self.loop.time())
        (self.proven if connection.is_proven else self.others).append(connection)

    def run(self) -> None:
        """Parses requests for at most READ_BUDGET_S, so that a flood of requests does not delay calls."""
        if self.is_frozen:
            return
        deadline = self.loop.time() + READ_BUDGET_S
        while self.proven or self.others:
            self._read_first(self.proven or self.others)
            if self.loop.time() >= deadline:
                break
        else:
            return
        if self.proven and self.others:
            self._read_first(self.others)
        if len(self):
            self.loop.call_soon(self.run)

    def _read_first(self, queue: deque[ServerConnection]) -> None:
        connection = queue.popleft()
        connection.is_queued = False
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
