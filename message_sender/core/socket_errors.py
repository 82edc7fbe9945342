"""What a peer can cause, and what only a defect can: the one place that decides.

Three sorts of errors reach a sender through its sockets:

- A *peer* broke, reset, half-closed or vanished. Its connection ends; nobody else notices.
- There is a *shortage* of descriptors, ports or memory. It passes; idle connections make room.
- A *defect* of the sender's own. Where it touched one client's connection alone, that connection ends and
  the log shows where; anywhere else the process ends, with one line; the next one starts from the journal.

The errors are those that Linux documents for the calls on a TCP socket: socket(7), tcp(7), ip(7), accept(2),
connect(2), send(2), recv(2), shutdown(2), getpeername(2).
"""

import asyncio
import errno
import logging
import time
import traceback
from collections.abc import Callable
from enum import Enum
from pathlib import Path
from typing import Any

REPORTS_LIMIT = 20  # lines in an interval: protects the log from a storm of connections that break
REPORT_INTERVAL_S = 10.0
FRAMES_LIMIT = 4  # innermost calls named in a defect's line

log = logging.getLogger(__name__)


class Cause(Enum):
    """Who or what is to blame for an error."""

    PEER = "peer"
    SHORTAGE = "shortage"
    DEFECT = "defect"


SHORTAGE_ERRORS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.ENOSPC}
)
PEER_ERRORS = frozenset(
    {
        errno.ENOTCONN,
        errno.ECONNRESET,
        errno.ECONNABORTED,
        errno.ECONNREFUSED,
        errno.EPIPE,
        errno.ESHUTDOWN,
        errno.ETIMEDOUT,
        # What the network said of an earlier packet; accept(2) passes these on from the new connection.
        errno.EHOSTUNREACH,
        errno.EHOSTDOWN,
        errno.ENETUNREACH,
        errno.ENETDOWN,
        errno.ENETRESET,
        errno.ENONET,
        errno.EPROTO,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        # A firewall's rule.
        errno.EPERM,
        errno.EACCES,
        # Nothing went wrong at all.
        errno.EAGAIN,
        errno.EINTR,
        errno.EINPROGRESS,
        errno.EALREADY,
        errno.EISCONN,
    }
)


def cause_of(error: BaseException) -> Cause:
    """Who is to blame for an error raised by a call on a peer's socket.

    A timeout of the loop's own has no number and is the peer's. What is not an OSError (a state that the code
    did not reckon with, a descriptor of -1) and numbers such as EBADF, ENOTSOCK or EINVAL are a defect's.
    """
    if not isinstance(error, OSError):
        return Cause.DEFECT
    if error.errno in SHORTAGE_ERRORS:
        return Cause.SHORTAGE
    if error.errno in PEER_ERRORS or isinstance(error, TimeoutError):
        return Cause.PEER
    return Cause.DEFECT


def describe(error: BaseException | None, doing: str) -> str:
    """One line that names a defect.

    Args:
        error: What was raised; None where nothing was.
        doing: What was being done.

    Returns:
        What was being done, the error, and the calls that led there, the innermost first.
    """
    if error is None:
        return doing
    frames = traceback.extract_tb(error.__traceback__)[-FRAMES_LIMIT:]
    calls = " < ".join(f"{Path(each.filename).name}:{each.lineno} {each.name}" for each in reversed(frames))
    text = " ".join(str(error).split()) or "no text"
    place = f" (at {calls})" if calls else ""
    return f"{doing}: {type(error).__name__}: {text}{place}"


def monotonic_now() -> float:
    """Seconds; the clock is looked up at each call, since emulated time replaces it."""
    return time.monotonic()


class ErrorReports:
    """Log lines on connections that ended, at most `REPORTS_LIMIT` in each `REPORT_INTERVAL_S`.

    Lines that were left out are counted and reported with the first line of a later interval.
    """

    def __init__(self, clock: Callable[[], float] = monotonic_now) -> None:
        """`clock`: seconds."""
        self.clock = clock
        self.began = self.clock()
        self.lines = 0
        self.left_out = 0

    def report(self, error: BaseException, operation: str) -> None:
        """Logs on which error a connection ended. A defect is an error, the rest are information."""
        self._begin_interval_if_due()
        self.lines += 1
        if self.lines > REPORTS_LIMIT:
            self.left_out += 1
            return
        cause = cause_of(error)
        if cause is Cause.DEFECT:
            log.error("connection closed: cause=defect %s", describe(error, operation))
        else:
            log.info("connection closed: cause=%s operation=%s error=%s", cause.value, operation, error)

    def _begin_interval_if_due(self) -> None:
        now = self.clock()
        if now - self.began < REPORT_INTERVAL_S:
            return
        if self.left_out:
            log.warning("connections closed on errors: unreported=%d", self.left_out)
        self.began = now
        self.lines = 0
        self.left_out = 0


def transport_in(context: dict[str, Any]) -> asyncio.BaseTransport | None:
    """The transport that the context of the loop's exception handler is about.

    The loop names it where it closed the transport itself; where one of the transport's own callbacks raised
    (a delayed shutdown, say), it names only that callback's handle.

    Returns:
        None where the error is not one connection's alone.
    """
    transport = context.get("transport")
    if transport is None:
        callback = getattr(context.get("handle"), "_callback", None)
        transport = getattr(callback, "__self__", None)
    return transport if isinstance(transport, asyncio.BaseTransport) else None
