"""A time limit for a peer's silence that the lateness of this process does not use up.

`asyncio.timeout` compares clock times: if the loop stood still meanwhile, it gives up a peer whose answer
lies unread in a socket. The rules:

- The limit is counted in slices, by one timer each. A slice that ends late counts only its nominal length, so
  time in which the loop stood still is not the peer's.
- If the last slice ends late, what has arrived meanwhile is not read yet: `LATE_GRACE_S` follow, once.

Limits that others rely on, such as the deadline of a message, are not of this kind.
"""

import asyncio
from types import TracebackType
from typing import Self

SLICES = 8
MIN_SLICE_S = 0.01
LATE_S = 0.005  # a slice that ends so much later has ended late
LATE_GRACE_S = 0.02  # for the reader, and for a peer that was answered late


class PeerTimeout:
    """An asynchronous context that raises TimeoutError once the peer has been silent for the limit."""

    def __init__(self, limit_s: float) -> None:
        """Creates the context; its time runs from when it is entered.

        Args:
            limit_s: Seconds in which the loop is on time; at least `LATE_GRACE_S` are given.
        """
        self._left_s = max(limit_s, LATE_GRACE_S)
        self._slice_s = max(limit_s / SLICES, MIN_SLICE_S)
        self._has_had_grace = False
        self._has_expired = False
        self._handle: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[object] | None = None
        self._cancelling = 0

    async def __aenter__(self) -> Self:
        """Starts the first slice."""
        self._task = asyncio.current_task()
        assert self._task
        self._cancelling = self._task.cancelling()
        self._start_slice()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Ends the slices.

        Raises:
            TimeoutError: The peer was silent for the limit.
        """
        assert self._task and self._handle
        self._handle.cancel()
        if not self._has_expired:
            return
        is_cancelled_by_others = self._task.uncancel() > self._cancelling
        if kind is asyncio.CancelledError and not is_cancelled_by_others:
            raise TimeoutError from error

    def _start_slice(self) -> None:
        loop = asyncio.get_running_loop()
        length_s = min(self._slice_s, self._left_s)
        self._left_s -= length_s
        due = loop.time() + length_s
        self._handle = loop.call_at(due, self._slice_ended, due)

    def _slice_ended(self, due: float) -> None:
        is_late = asyncio.get_running_loop().time() - due > LATE_S
        if self._left_s <= 0 and is_late and not self._has_had_grace:
            self._has_had_grace = True
            self._left_s = LATE_GRACE_S
        if self._left_s > 0:
            self._start_slice()
            return
        assert self._task
        self._has_expired = True
        self._task.cancel()
