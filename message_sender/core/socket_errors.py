"""Classification of socket errors by their cause: the peer, a resource shortage, or a defect of the sender.

- A *peer* broke, reset, half-closed or lost the connection. That connection is closed; no other is affected.
- There is a *shortage* of descriptors, ports or memory. It is temporary; idle connections are closed to free
  resources.
- There is a *defect* in the sender. If it affects one client's connection alone, that connection is closed
  and the log shows the place; otherwise the process ends with one log line, and the next process starts from
  the journal.

The errors are those that Linux documents for the calls on a TCP socket: socket(7), tcp(7), ip(7), accept(2),
connect(2), send(2), recv(2), shutdown(2), getpeername(2).
"""

import asyncio
import errno
import logging
import traceback
from collections.abc import Callable
from enum import Enum
from pathlib import Path
from typing import Any

from message_sender.core.line_limit import LineLimit, monotonic_now

FRAMES_LIMIT = 4  # innermost stack frames in a defect's log line

log = logging.getLogger(__name__)


class Cause(Enum):
    """The cause of an error."""

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
        # Network errors of earlier packets; accept(2) passes pending errors of the new connection on.
        errno.EHOSTUNREACH,
        errno.EHOSTDOWN,
        errno.ENETUNREACH,
        errno.ENETDOWN,
        errno.ENETRESET,
        errno.ENONET,
        errno.EPROTO,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        # Caused by a firewall rule.
        errno.EPERM,
        errno.EACCES,
        # Not failures: the call has to be repeated, or is in progress or done.
        errno.EAGAIN,
        errno.EINTR,
        errno.EINPROGRESS,
        errno.EALREADY,
        errno.EISCONN,
    }
)


def cause_of(error: BaseException) -> Cause:
    """The cause of an error raised by a call on a peer's socket.

    A timeout raised by the event loop has no error number and is attributed to the peer. Exceptions other
    than OSError (an unexpected state, a descriptor of -1) and error numbers such as EBADF, ENOTSOCK or EINVAL
    are attributed to a defect.
    """
    if not isinstance(error, OSError):
        return Cause.DEFECT
    if error.errno in SHORTAGE_ERRORS:
        return Cause.SHORTAGE
    if error.errno in PEER_ERRORS or isinstance(error, TimeoutError):
        return Cause.PEER
    return Cause.DEFECT


def describe_defect(error: BaseException | None, operation: str) -> str:
    """Describes a defect in one line.

    Args:
        error: The exception; None if none was raised.
        operation: What failed.

    Returns:
        The operation, the exception, and the stack frames that led to it, the innermost first.
    """
    if error is None:
        return operation
    frames = traceback.extract_tb(error.__traceback__)[-FRAMES_LIMIT:]
    calls = " < ".join(f"{Path(each.filename).name}:{each.lineno} {each.name}" for each in reversed(frames))
    text = " ".join(str(error).split()) or "no text"
    place = f" (at {calls})" if calls else ""
    return f"{operation}: {type(error).__name__}: {text}{place}"


class ErrorReports:
    """Logs connections that ended on errors, as many as a `LineLimit` admits."""

    def __init__(self, clock: Callable[[], float] = monotonic_now) -> None:
        """Starts the first interval. `clock`: returns seconds."""
        self._limit = LineLimit(self._report_suppressed, clock)

    def report(self, error: BaseException, operation: str) -> None:
        """Logs the error that ended a connection; a defect at level ERROR, other causes at level INFO.

        Args:
            error: The exception.
            operation: What failed.
        """
        if not self._limit.admits_line():
            return
        cause = cause_of(error)
        if cause is Cause.DEFECT:
            log.error("connection closed: cause=defect %s", describe_defect(error, operation))
        else:
            log.info("connection closed: cause=%s operation=%s error=%s", cause.value, operation, error)

    def _report_suppressed(self, count: int) -> None:
        log.warning("connections closed on errors: unreported=%d", count)


def transport_in(context: dict[str, Any]) -> asyncio.BaseTransport | None:
    """The transport that an exception handler's context refers to.

    If the loop closed the transport, the context has the transport itself. If a callback of the transport
    raised (such as a delayed shutdown), the context has only the handle of that callback.

    Args:
        context: The context that the loop passes to its exception handler.

    Returns:
        None if the error is not limited to one connection.
    """
    transport = context.get("transport")
    if transport is None:
        callback = getattr(context.get("handle"), "_callback", None)
        transport = getattr(callback, "__self__", None)
    return transport if isinstance(transport, asyncio.BaseTransport) else None
