"""State machine for how a client connection ends, used by all code that closes one or stops reading it. Pure.

States: *silent* (connected, nothing received yet), *reading* (a request has been received in part),
*answering* (a request is complete and its response is pending), *idle* (between requests), *lingering* (our
side is shut down after the last response, or without one; bytes that still arrive are dropped).

Rules:

1. A pending response takes precedence: a complete request is not cut off by a time limit, to free capacity,
   or by the end of the process, which waits for the response as long as it can.
2. Unread bytes on a silent or idle connection are a request that was sent while we were about to close: it is
   read and answered. No silent or idle connection with unread bytes is closed.
3. A connection that ends by a time limit is shut down, not closed: closing it while bytes arrive would reset
   the connection, and the client might lose the previous response. The connection lingers until the other
   side has closed, or for `LINGER_TIMEOUT_S`.
4. Bytes read after the shutdown are never processed, since no response could follow. The client sees the end
   of the connection and may resend the request that crossed it.
5. A request that is not received in time is answered with an error, and so is one that is incomplete when the
   process ends, with a status saying that the request can be resubmitted safely.
6. Capacity is freed at once, by closing lingering connections and those silent or idle connections that have
   nothing unread or unwritten.
7. Memory is freed at once, by rejecting requests that are still being received. Complete ones are answered.
8. A connection that broke has ended, and so has one whose client has closed its sending side, once pending
   writes are done (which asyncio ensures): TCP does not distinguish a half-close from a close.

Times are in seconds.
"""

import math
from enum import Enum

READ_TIMEOUT_S = 2.0  # for receiving a complete request; for the first one, counted from connecting
IDLE_TIMEOUT_S = 3.0  # without an open request, after the first one
LINGER_TIMEOUT_S = 0.5  # for the other side to read the last response


class ConnectionState(Enum):
    """The phase that a connection is in."""

    SILENT = "silent"
    READING = "reading"
    ANSWERING = "taken"
    IDLE = "resting"
    LINGERING = "lingering"


class ConnectionEvent(Enum):
    """An event that may end a connection."""

    TIMED_OUT = "the time limit of the state has passed"
    CAPACITY_NEEDED = "its descriptor is needed for another connection"
    MEMORY_NEEDED = "its memory is needed for other requests"
    PROCESS_EXIT = "the process ends"
    DISCONNECTED = "the connection broke"


class ConnectionAction(Enum):
    """The action to take on a connection."""

    KEEP = "stay"
    REJECT = "answer that the request is not read to its end, and shut down"
    SHUT_DOWN = "shut"
    CLOSE = "close"


def timeout_s(state: ConnectionState, closing_idle: bool) -> float:
    """Returns how many seconds a connection may remain in a state.

    Args:
        state: The state of the connection.
        closing_idle: Idle connections are being closed too, as at the end of a drain.
    """
    match state:
        case ConnectionState.SILENT:
            return LINGER_TIMEOUT_S if closing_idle else READ_TIMEOUT_S
        case ConnectionState.READING:
            return READ_TIMEOUT_S
        case ConnectionState.IDLE:
            return 0.0 if closing_idle else IDLE_TIMEOUT_S
        case ConnectionState.LINGERING:
            return LINGER_TIMEOUT_S
    return math.inf


def decide(state: ConnectionState, event: ConnectionEvent, busy: bool) -> ConnectionAction:
    """Returns the action to take on a connection.

    Args:
        state: The state of the connection.
        event: The event that occurred.
        busy: Bytes are unread, or wait to be written.
    """
    if event is ConnectionEvent.DISCONNECTED:
        return ConnectionAction.CLOSE
    if event is ConnectionEvent.MEMORY_NEEDED:
        return ConnectionAction.REJECT if state is ConnectionState.READING else ConnectionAction.KEEP
    if state is ConnectionState.LINGERING:
        return ConnectionAction.KEEP if event is ConnectionEvent.PROCESS_EXIT else ConnectionAction.CLOSE
    if state is ConnectionState.READING and event is not ConnectionEvent.CAPACITY_NEEDED:
        return ConnectionAction.REJECT
    if state in (ConnectionState.ANSWERING, ConnectionState.READING) or busy:
        return ConnectionAction.KEEP
    return ConnectionAction.CLOSE if event is ConnectionEvent.CAPACITY_NEEDED else ConnectionAction.SHUT_DOWN
