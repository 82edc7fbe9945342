"""Fault injection for sockets: a given system call on a given side of the sender fails once.

`faulty` replaces `socket.socket` by a subclass. The side of a socket follows from its ports: the sender's
listener, a client's connection (accepted there), a call to a receiver, or a connection to the platform. The
sockets of the scripted peers have no side and never fail. `register` stands for epoll_ctl(2).
"""

import asyncio
import contextlib
import os
import select
import selectors
import socket
import weakref
from collections.abc import Callable, Iterator
from typing import Any

import pytest

REAL = socket.socket
CALLED = ("receiver", "platform")
NOT_YET = "not connected yet"  # a socket of the sender; `connect` shows which of the `CALLED` sides it is for


class Faults:
    """The fault that is armed, and the sockets on which it can occur."""

    def __init__(self) -> None:
        self.sides: dict[int, str] = {}  # by port: the side of the sender's sockets that are connected to it
        self.listener = 0  # the sender's port
        self.armed: tuple[str, str, int] | None = None  # side, call, errno; None: no fault is armed
        self.fault_count = 0  # number of faults that occurred
        self.sockets: weakref.WeakSet[FaultySocket] = weakref.WeakSet()

    def arm(self, side: str, call: str, error: int) -> None:
        """Makes the next `call` on this side fail with `error`, once."""
        self.armed = side, call, error

    def due(self, side: str, call: str) -> int:
        """The error with which this call has to fail now, 0 for none; disarms the fault."""
        if self.armed is None or self.armed[1] != call:
            return 0
        if side != self.armed[0] and not (side == NOT_YET and self.armed[0] in CALLED):
            return 0
        error, self.armed = self.armed[2], None
        self.fault_count += 1
        return error

    def raise_if_due(self, side: str, call: str) -> None:
        """Raises the error that is due for this call, if any."""
        if error := self.due(side, call):
            raise OSError(error, os.strerror(error))

    def open(self, side: str) -> int:
        """Number of open sockets of this side."""
        return sum(1 for each in self.sockets if each.side == side and each.fileno() >= 0)

    def side_of(self, descriptor: int) -> str:
        """The side of the socket with this descriptor; empty for none."""
        return next((each.side for each in self.sockets if each.fileno() == descriptor), "")


class FaultySocket(REAL):
    """A socket whose calls fail when a fault is armed for them."""

    faults: Faults

    def __init__(self, *args: Any, **kwargs: Any) -> None:  # noqa: ANN401
        self.side = ""
        # Only the sender's outgoing calls create a plain TCP socket; their side is known on connect.
        if args == (socket.AF_INET, socket.SOCK_STREAM) and not kwargs:
            self.side = NOT_YET
            self.faults.raise_if_due(self.side, "socket")
        super().__init__(*args, **kwargs)
        self.faults.sockets.add(self)

    def accept(self) -> tuple[socket.socket, Any]:
        is_own_listener = super().getsockname()[1] == self.faults.listener
        if is_own_listener:
            self.faults.raise_if_due("listener", "accept")
        sock, address = super().accept()
        if is_own_listener and isinstance(sock, FaultySocket):
            sock.side = "client"
        return sock, address

    def connect(self, address: Any) -> None:  # noqa: ANN401
        self.side = self.faults.sides.get(address[1], "")
        self.faults.raise_if_due(self.side, "connect")
        super().connect(address)

    def getsockopt(self, level: int, option: int, *args: int) -> Any:  # type: ignore[override]  # noqa: ANN401
        if (level, option) == (socket.SOL_SOCKET, socket.SO_ERROR) and (
            error := self.faults.due(self.side, "so_error")
        ):
            return error
        return super().getsockopt(level, option, *args)

    def close(self) -> None:
        """Closes as close(2) does on Linux: the descriptor is released even if the call fails."""
        close_error = self.fileno() >= 0 and self.faults.due(self.side, "close")
        super().close()
        if close_error:
            raise OSError(close_error, os.strerror(close_error))


def failing(call: str) -> Callable[..., Any]:
    """A method that fails if a fault is armed for `call`, and otherwise calls the real method."""
    real = getattr(REAL, call)

    def method(self: FaultySocket, *args: Any, **kwargs: Any) -> Any:  # noqa: ANN401
        self.faults.raise_if_due(self.side, call)
        return real(self, *args, **kwargs)

    return method


for each in ("recv", "recv_into", "send", "shutdown"):
    setattr(FaultySocket, each, failing(each))
for each in ("getsockname", "getpeername", "setsockopt", "setblocking"):
    setattr(FaultySocket, each, failing(each))


class FaultySelector(selectors.EpollSelector):
    """A selector whose `register` fails when a fault is armed for it."""

    faults: Faults

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:  # noqa: ANN401
        descriptor = fileobj if isinstance(fileobj, int) else fileobj.fileno()
        self.faults.raise_if_due(self.faults.side_of(descriptor), "register")
        return super().register(fileobj, events, data)


@contextlib.contextmanager
def faulty() -> Iterator[tuple[Faults, asyncio.AbstractEventLoop]]:
    """Yields faults, and an event loop on which they occur."""
    faults = Faults()
    socket_class = type("Socket", (FaultySocket,), {"faults": faults})
    selector = type("Selector", (FaultySelector,), {"faults": faults})
    real_poll = select.poll

    def poll() -> object:
        faults.raise_if_due("client", "poll")
        return real_poll()

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(socket, "socket", socket_class)
        patch.setattr(select, "poll", poll)
        loop = asyncio.SelectorEventLoop(selector())
        try:
            yield faults, loop
        finally:
            loop.close()


async def next_iteration() -> None:
    """Lets the loop run one iteration, in which it polls its sockets again."""
    passed = asyncio.get_running_loop().create_future()
    asyncio.get_running_loop().call_soon(lambda: passed.done() or passed.set_result(None))
    await passed


async def until(condition: Callable[[], bool], max_iterations: int = 200_000) -> None:
    """Runs loop iterations until the condition holds; fails after `max_iterations`."""
    for _ in range(max_iterations):
        if condition():
            return
        await next_iteration()
    raise AssertionError("the condition did not hold within the bounded number of loop iterations")
