"""What of the package reaches for the real clock, a thread, a socket or unseeded chance fails loudly.

`sealed` replaces the standard library's doors to them while it is held. Callers outside the package (the
test runner, the logging module) go through as ever: an emulated life must not depend on what they do.
"""

import contextlib
import os
import random
import socket
import sys
import threading
import time
import uuid
from collections.abc import Callable, Iterator
from typing import Any

from message_sender.emulator.loop import EmulationError

PACKAGE = "message_sender."
OPEN_TO = ("message_sender.emulator.", "message_sender.testbed.history")
DOORS: tuple[tuple[Any, str], ...] = (
    *((time, name) for name in ("time", "time_ns", "monotonic", "monotonic_ns", "sleep", "perf_counter")),
    *((random, name) for name in ("random", "uniform", "choice", "randrange", "shuffle", "expovariate")),
    (os, "urandom"),
    (uuid, "uuid4"),
    (socket.socket, "connect"),
    (socket.socket, "bind"),
    (threading.Thread, "start"),
)


#: What stands in for the real clock where a world lends its own: times in s, and in ns.
CLOCKS = {"time": 1, "monotonic": 1, "perf_counter": 1, "time_ns": 10**9, "monotonic_ns": 10**9}


def lent(name: str, real: Callable[..., Any], clock: Callable[[], float]) -> Callable[..., Any]:
    """The package hears the world's time."""

    def told() -> float:
        caller = sys._getframe(1).f_globals.get("__name__", "")
        if not caller.startswith(PACKAGE) or caller.startswith(OPEN_TO):
            return real()  # type: ignore[no-any-return]
        return int(clock() * CLOCKS[name]) if name.endswith("_ns") else clock()

    return told


def guarded(name: str, real: Callable[..., Any]) -> Callable[..., Any]:
    def door(*told: Any, **more: Any) -> Any:  # noqa: ANN401
        frame = sys._getframe(1)
        caller = frame.f_globals.get("__name__", "")
        if caller.startswith(PACKAGE) and not caller.startswith(OPEN_TO):
            raise EmulationError(f"{caller}, line {frame.f_lineno}: {name} is real, and time here is not")
        return real(*told, **more)

    return door


@contextlib.contextmanager
def sealed(clock: Callable[[], float] | None = None) -> Iterator[None]:
    """Not for two at once in one process. With a `clock` (s), who of the package asks for the time hears that
    one's: doors and transports as they are ask the system."""
    real = [(owner, name, getattr(owner, name)) for owner, name in DOORS]
    try:
        for owner, name, call in real:
            lends = clock and owner is time and name in CLOCKS
            door = guarded(f"{getattr(owner, '__name__', owner)}.{name}", call)
            setattr(owner, name, lent(name, call, clock) if lends and clock else door)
        yield
    finally:
        for owner, name, call in real:
            setattr(owner, name, call)
