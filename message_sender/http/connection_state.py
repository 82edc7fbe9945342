"""How a client's connection ends: one machine, asked by every path that closes one or stops reading it. Pure.

States: *silent* (connected, and nothing has come yet), *reading* (a request has begun to come), *taken* (a
request is whole, and its answer is owed), *resting* (between requests), *lingering* (our side is shut behind
the last answer, or behind none; what still comes is dropped).

Rules:

1. An answer that is owed goes first: a taken request is cut off neither by time, nor for room, nor by the
   process's end, which waits for it as long as it may.
2. What lies unread on a silent or resting connection is a request that has crossed our end of it: it is read
   and answered. Nothing is closed over it.
3. What ends for its time is shut, not closed: a close over bytes that come meanwhile would reset the
   connection, and might take the answer before with it. It lingers until the other side has closed, or for
   `LINGER`.
4. What is read after the shutdown is never acted on: no answer could follow. Its client sees the end, and may
   send once more what has crossed it.
5. A request that does not come in time is answered so, and so is one whose process ends, with a status that
   says that submitting it again does no harm.
6. Room is made at once, by what lingers, and by what is silent or rests with nothing unread or unwritten.
7. A client that has broken is gone, and so is one that has ended its sending, once what is under way to it is
   written (asyncio does that much): TCP does not tell a half-close from a close.

Times are seconds.
"""

import math
from enum import Enum

READ_LIMIT = 2.0  # for a request to come in whole; the first one's run from connecting
IDLE_LIMIT = 3.0  # that a connection may stand with no request open, after its first
LINGER = 0.5  # for the other side to read a last answer


class ConnectionState(Enum):
    """What a connection is doing."""

    SILENT = "silent"
    READING = "reading"
    TAKEN = "taken"
    RESTING = "resting"
    LINGERING = "lingering"


class ConnectionEvent(Enum):
    """What may end it."""

    DUE = "its time is over"
    ROOM = "its descriptor is wanted"
    LAST = "the process ends"
    GONE = "it has broken"


class ConnectionAction(Enum):
    """What becomes of it."""

    STAY = "stay"
    REFUSE = "answer that it is not read to its end, and shut"
    SHUT = "shut"
    CLOSE = "close"


def limit(state: ConnectionState, away: bool) -> float:
    """How long a connection may be in this state. `away`: idle connections are closed too."""
    match state:
        case ConnectionState.SILENT:
            return LINGER if away else READ_LIMIT
        case ConnectionState.READING:
            return READ_LIMIT
        case ConnectionState.RESTING:
            return 0.0 if away else IDLE_LIMIT
        case ConnectionState.LINGERING:
            return LINGER
    return math.inf


def decide(state: ConnectionState, event: ConnectionEvent, busy: bool) -> ConnectionAction:
    """What becomes of a connection. `busy`: bytes lie unread, or wait to be written."""
    if event is ConnectionEvent.GONE:
        return ConnectionAction.CLOSE
    if state is ConnectionState.LINGERING:
        return ConnectionAction.STAY if event is ConnectionEvent.LAST else ConnectionAction.CLOSE
    if state is ConnectionState.READING and event is not ConnectionEvent.ROOM:
        return ConnectionAction.REFUSE
    if state in (ConnectionState.TAKEN, ConnectionState.READING) or busy:
        return ConnectionAction.STAY
    return ConnectionAction.CLOSE if event is ConnectionEvent.ROOM else ConnectionAction.SHUT
