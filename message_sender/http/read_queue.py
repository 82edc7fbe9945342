"""Connections whose bytes wait to be read on, and the part of an iteration that goes to that."""

import asyncio
from collections import deque

from message_sender.admission.backlog import Backlog
from message_sender.http.server_connection import ServerConnection

READ_BUDGET_S = 0.003  # of an iteration; then results of receivers and timers have their turn


class ReadQueue:
    """Reads requests of clients that have asked well before first, but one of the others in any case."""

    def __init__(self, loop: asyncio.AbstractEventLoop, backlog: Backlog) -> None:
        """`backlog`: counts what waits."""
        self.loop = loop
        self.backlog = backlog
        self.is_frozen = False
        self.proven: deque[ServerConnection] = deque()
        self.others: deque[ServerConnection] = deque()

    def __len__(self) -> int:
        """Connections that wait."""
        return len(self.proven) + len(self.others)

    def add(self, connection: ServerConnection) -> None:
        """Bytes of this connection wait to be read on."""
        if connection.is_queued:
            return
        connection.is_queued = True
        if not len(self):
            self.loop.call_soon(self.run)
        self.backlog.request_arrived(self.loop.time())
        (self.proven if connection.is_proven else self.others).append(connection)

    def run(self) -> None:
        """Reads for a part of this iteration, so that a flood of requests does not hold up calls."""
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

    def _read_first(self, line: deque[ServerConnection]) -> None:
        connection = line.popleft()
        connection.is_queued = False
        self.backlog.request_taken(self.loop.time())
        connection.advance()

    def freeze(self) -> None:
        """Nothing is read until `thaw`."""
        self.is_frozen = True

    def thaw(self) -> None:
        """Goes on reading."""
        self.is_frozen = False
        if len(self):
            self.loop.call_soon(self.run)
