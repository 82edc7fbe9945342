"""Sockets that fail on request: one system call, on one side of the sender, raises one error once.

`Faults` puts a socket class of its own in place of `socket.socket`. A socket's side follows from its ports:
the sender's listener, a client's connection (accepted there), a call to a receiver, a connection to the
platform. The scripted peers' own sockets have no side and never fail. `register` stands for epoll_ctl(2).
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
NOT_YET = "not connected yet"  # one of the sides that the sender calls, which one is not known


class Faults:
    def __init__(self) -> None:
        self.sides: dict[int, str] = {}  # port -> side of the sender's sockets that are connected to it
        self.listener = 0  # the sender's port
        self.armed: tuple[str, str, int] | None = None  # side, call, errno
        self.struck = 0
        self.sockets: weakref.WeakSet[FaultySocket] = weakref.WeakSet()

    def arm(self, side: str, call: str, error: int) -> None:
        """From now on the next such call on that side raises `error`, once."""
        self.armed = side, call, error

    def due(self, side: str, call: str) -> int:
        """The error that this call has to raise now, 0 for none."""
        if self.armed is None or self.armed[1] != call:
            return 0
        if side != self.armed[0] and not (side == NOT_YET and self.armed[0] in CALLED):
            return 0
        error, self.armed = self.armed[2], None
        self.struck += 1
        return error

    def strike(self, side: str, call: str) -> None:
        if error := self.due(side, call):
            raise OSError(error, os.strerror(error))

    def open(self, side: str) -> int:
        """How many sockets of that side are open."""
        return sum(1 for each in self.sockets if each.side == side and each.fileno() >= 0)

    def side_of(self, descriptor: int) -> str:
        return next((each.side for each in self.sockets if each.fileno() == descriptor), "")


class FaultySocket(REAL):
    faults: Faults

    def __init__(self, *told: Any, **more: Any) -> None:  # noqa: ANN401
        self.side = ""
        # Only the sender's calls open a plain TCP socket by hand; whom for shows when they connect.
        if told == (socket.AF_INET, socket.SOCK_STREAM) and not more:
            self.side = NOT_YET
            self.faults.strike(self.side, "socket")
        super().__init__(*told, **more)
        self.faults.sockets.add(self)

    def accept(self) -> tuple[socket.socket, Any]:
        ours = super().getsockname()[1] == self.faults.listener
        if ours:
            self.faults.strike("listener", "accept")
        sock, address = super().accept()
        if ours and isinstance(sock, FaultySocket):
            sock.side = "client"
        return sock, address

    def connect(self, address: Any) -> None:  # noqa: ANN401
        self.side = self.faults.sides.get(address[1], "")
        self.faults.strike(self.side, "connect")
        super().connect(address)

    def getsockopt(self, level: int, option: int, *more: int) -> Any:  # type: ignore[override]  # noqa: ANN401
        if (level, option) == (socket.SOL_SOCKET, socket.SO_ERROR) and (
            error := self.faults.due(self.side, "so_error")
        ):
            return error
        return super().getsockopt(level, option, *more)

    def close(self) -> None:
        """As close(2) on Linux: the descriptor is free again, whatever it raises."""
        fails = self.fileno() >= 0 and self.faults.due(self.side, "close")
        super().close()
        if fails:
            raise OSError(fails, os.strerror(fails))


def failing(call: str) -> Callable[..., Any]:
    real = getattr(REAL, call)

    def method(self: FaultySocket, *told: Any, **more: Any) -> Any:  # noqa: ANN401
        self.faults.strike(self.side, call)
        return real(self, *told, **more)

    return method


for each in ("recv", "recv_into", "send", "shutdown"):
    setattr(FaultySocket, each, failing(each))
for each in ("getsockname", "getpeername", "setsockopt", "setblocking"):
    setattr(FaultySocket, each, failing(each))


class FaultySelector(selectors.EpollSelector):
    faults: Faults

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:  # noqa: ANN401
        descriptor = fileobj if isinstance(fileobj, int) else fileobj.fileno()
        self.faults.strike(self.faults.side_of(descriptor), "register")
        return super().register(fileobj, events, data)


@contextlib.contextmanager
def faulty() -> Iterator[tuple[Faults, asyncio.AbstractEventLoop]]:
    """Faults, and a loop under which they happen."""
    faults = Faults()
    kind = type("Socket", (FaultySocket,), {"faults": faults})
    selector = type("Selector", (FaultySelector,), {"faults": faults})
    real_poll = select.poll

    def poll() -> object:
        faults.strike("client", "poll")
        return real_poll()

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(socket, "socket", kind)
        patch.setattr(select, "poll", poll)
        loop = asyncio.SelectorEventLoop(selector())
        try:
            yield faults, loop
        finally:
            loop.close()


async def turn() -> None:
    """One turn of the loop, so that it looks at its sockets once more."""
    passed = asyncio.get_running_loop().create_future()
    asyncio.get_running_loop().call_soon(lambda: passed.done() or passed.set_result(None))
    await passed


async def until(condition: Callable[[], bool], turns: int = 200_000) -> None:
    """Waits for what the loop's next turns bring about; counted, so that a failing test ends."""
    for _ in range(turns):
        if condition():
            return
        await turn()
    raise AssertionError("it did not come about")
