"""Requests that are written, but that the system of their receiver has not acknowledged in whole.

The operating system keeps written bytes until the peer has acknowledged them, and delivers them even after
the socket was closed. A request whose permission has ended meanwhile is therefore revoked, and the close of
its connection discards these bytes (see `ClientConnection.close`).
"""

import asyncio
import fcntl
import socket
import sys
import termios
from typing import Protocol

CHECK_INTERVAL_S = 0.025
#: A receiver's system may delay the acknowledgement of bytes that it has received by 0.04 s.
ACKNOWLEDGEMENT_DELAY_S = 0.05
COUNT_BYTES = 4  # of the C int that the ioctl writes


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Returns how many written bytes the peer has not acknowledged; 0 if the system does not tell."""
    try:
        count = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(COUNT_BYTES))
    except (OSError, ValueError):
        return 0
    return int.from_bytes(count, sys.byteorder, signed=True)


class WrittenRequest(Protocol):
    """A call whose request is written.

    Attributes:
        written_at: When its last byte was written; seconds on the loop's clock.
    """

    written_at: float

    def has_unacknowledged_bytes(self) -> bool:
        """Whether the receiver has not acknowledged all of the request."""

    def may_continue(self) -> bool:
        """Whether the request may still arrive."""

    def revoke(self) -> None:
        """Ends the call, and discards what the receiver has not acknowledged."""


class UnacknowledgedRequests:
    """Revokes written requests whose permission ends before their receiver has acknowledged them.

    Attributes:
        requests: The requests that are not known to be acknowledged, the earliest written first.
    """

    def __init__(self) -> None:
        """Starts without requests."""
        self.requests: dict[WrittenRequest, None] = {}
        self._timer: asyncio.TimerHandle | None = None

    def add(self, request: WrittenRequest) -> None:
        """Adds a request whose last byte has just been written."""
        self.requests[request] = None
        if self._timer is None:
            self._schedule()

    def discard(self, request: WrittenRequest) -> None:
        """Removes a request whose call has ended."""
        self.requests.pop(request, None)

    def close(self) -> None:
        """Ends the checks."""
        self.requests.clear()
        if self._timer:
            self._timer.cancel()

    def _schedule(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self._timer = None
        now = asyncio.get_running_loop().time()
        for request in list(self.requests):
            if not request.has_unacknowledged_bytes():
                self.discard(request)
            elif now - request.written_at >= ACKNOWLEDGEMENT_DELAY_S and not request.may_continue():
                self.discard(request)
                request.revoke()
        if self.requests:
            self._schedule()
