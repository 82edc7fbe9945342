"""What a peer can cause, and what only a defect can: the one place that decides.

Three sorts of trouble reach a sender through its sockets:

- A **peer** broke, reset, half-closed or vanished. Its connection ends; nobody else notices.
- There is a **shortage** of descriptors, ports or memory. It passes; what serves nobody makes room.
- A **defect** of the sender's own. Where it touched one client's connection alone, that connection ends and
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

REPORTS = 20  # lines in a span: guards the log, and whoever reads it, from a storm of connections that break
REPORT_SPAN = 10.0  # s
FRAMES = 4  # innermost calls named in a defect's line

log = logging.getLogger(__name__)


class Cause(Enum):
    PEER = "peer"
    SHORTAGE = "shortage"
    DEFECT = "defect"


SHORTAGES = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.ENOSPC}
)
PEERS = frozenset(
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
    """Who is to blame for `error`, raised by a call on a peer's socket. A time-out of the loop's own has no
    number and is the peer's. What is not an OSError (a state that the code did not reckon with, a descriptor
    of -1) and numbers such as EBADF, ENOTSOCK or EINVAL are a defect's."""
    if not isinstance(error, OSError):
        return Cause.DEFECT
    if error.errno in SHORTAGES:
        return Cause.SHORTAGE
    return Cause.PEER if error.errno in PEERS or isinstance(error, TimeoutError) else Cause.DEFECT


def describe(error: BaseException | None, doing: str) -> str:
    """One line that names a defect: what was being done, the error, and the calls that led there, the
    innermost first."""
    if error is None:
        return doing
    frames = traceback.extract_tb(error.__traceback__)[-FRAMES:]
    where = " < ".join(f"{Path(each.filename).name}:{each.lineno} {each.name}" for each in reversed(frames))
    text = " ".join(str(error).split()) or "no text"
    return f"{doing}: {type(error).__name__}: {text}" + (f" (at {where})" if where else "")


class ErrorReports:
    """Lines on connections that ended, at most `REPORTS` in each `REPORT_SPAN`; those left out are counted
    and told with the first line of a later span."""

    def __init__(self, clock: Callable[[], float] | None = None) -> None:
        self.clock = clock or (lambda: time.monotonic())  # looked up anew: emulated time replaces it
        self.began, self.lines, self.left_out = self.clock(), 0, 0

    def tell(self, error: BaseException, doing: str) -> None:
        """Logs in which trouble a connection ended. A defect is an error, the rest are information."""
        now = self.clock()
        if now - self.began >= REPORT_SPAN:
            if self.left_out:
                log.warning("%d more connections ended in trouble", self.left_out)
            self.began, self.lines, self.left_out = now, 0, 0
        self.lines += 1
        if self.lines > REPORTS:
            self.left_out += 1
            return
        cause = cause_of(error)
        if cause is Cause.DEFECT:
            log.error("a connection was closed on a defect: %s", describe(error, doing))
        else:
            log.info("a connection ended (%s), %s: %s", cause.value, doing, error)


def transport_in(context: dict[str, Any]) -> asyncio.BaseTransport | None:
    """The transport of which the loop's exception handler is told, none where the trouble is not one
    connection's alone. The loop names it where it closed the transport itself; where one of the transport's
    own callbacks raised (a delayed shutdown, say), it names only that callback's handle."""
    told = context.get("transport")
    if told is None:
        told = getattr(getattr(context.get("handle"), "_callback", None), "__self__", None)
    return told if isinstance(told, asyncio.BaseTransport) else None
