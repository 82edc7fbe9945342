"""Bounds the work on the bytes of one connection in one loop iteration, for each reader of a peer's bytes.

A peer decides how many bytes arrive, and how much work each of them is: a body in chunks of one byte takes a
thousand times longer to parse than the same body in one chunk. A reader that parses as long as there are
bytes therefore lets one peer hold up everything else. The rules:

- A connection has a turn of `TURN_UNITS` units of work. Parsing an event and reading `BYTES_PER_UNIT` bytes
  take one unit each, larger events more.
- A turn begins anew once the connection has waited for bytes. One whose turn is over while there is more to
  parse waits for its next turn in a queue, from which each iteration of the loop takes `TURNS_PER_ITERATION`.
- The unit is one event of the slowest reader, h11, about 10 us.
"""

import asyncio
from collections import deque
from collections.abc import Callable

TURN_UNITS = 128
BYTES_PER_UNIT = 512
TURNS_PER_ITERATION = 2
#: For readers that measure their work: per loop iteration, for all connections together.
ITERATION_BUDGET_S = 0.003


class ReadTurns:
    """The queue of the connections whose turn is over while there is more to parse."""

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._waiting: deque[Callable[[], None]] = deque()

    def call_later(self, resume: Callable[[], None]) -> None:
        """Calls `resume` when the next turn of its connection begins."""
        self._waiting.append(resume)
        if len(self._waiting) == 1:
            asyncio.get_running_loop().call_soon(self._run)

    async def wait(self) -> None:
        """Waits until the next turn of the caller's connection begins."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()

        def resume() -> None:
            if not future.done():
                future.set_result(None)

        self.call_later(resume)
        await future

    def _run(self) -> None:
        resumed = [self._waiting.popleft() for _ in range(min(TURNS_PER_ITERATION, len(self._waiting)))]
        if self._waiting:
            asyncio.get_running_loop().call_soon(self._run)
        for resume in resumed:
            resume()


class ReadTurn:
    """The turn of one connection."""

    def __init__(self, turns: ReadTurns) -> None:
        """Begins a turn; `turns` is the queue of its loop's readers."""
        self._turns = turns
        self._left = TURN_UNITS

    def spend(self, units: int) -> None:
        """Counts work that was done."""
        self._left -= units

    def spend_bytes(self, size: int) -> None:
        """Counts bytes that were read."""
        self._left -= -(-size // BYTES_PER_UNIT)

    def is_over(self) -> bool:
        """Whether no more work may be done in this turn."""
        return self._left <= 0

    def renew(self) -> None:
        """Begins a turn, since the connection has waited for bytes."""
        self._left = TURN_UNITS

    async def next(self) -> None:
        """Waits for the next turn."""
        await self._turns.wait()
        self.renew()

    def call_in_next(self, resume: Callable[[], None]) -> None:
        """Calls `resume` in the next turn."""
        self._turns.call_later(resume)
        self.renew()
