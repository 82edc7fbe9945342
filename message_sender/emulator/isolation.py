"""Isolates emulated code from the real clock, threads, sockets and unseeded randomness.

While `sealed` is active, it replaces the standard library's functions for these, and a call from this package
raises an error. Calls from outside the package (the test runner, the logging module) work as usual, because
an emulated run does not depend on them.
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
EXEMPT_MODULES = ("message_sender.emulator.", "message_sender.testbed.history")
GUARDED_FUNCTIONS: tuple[tuple[Any, str], ...] = (
    *((time, name) for name in ("time", "time_ns", "monotonic", "monotonic_ns", "sleep", "perf_counter")),
    *((random, name) for name in ("random", "uniform", "choice", "randrange", "shuffle", "expovariate")),
    (os, "urandom"),
    (uuid, "uuid4"),
    (socket.socket, "connect"),
    (socket.socket, "bind"),
    (threading.Thread, "start"),
)

#: The clock functions that a virtual clock can replace, with the number of their units in a second.
CLOCK_UNITS = {"time": 1, "monotonic": 1, "perf_counter": 1, "time_ns": 10**9, "monotonic_ns": 10**9}


def virtual_clock_function(
    name: str, real: Callable[..., Any], clock: Callable[[], float]
) -> Callable[..., Any]:
    """Returns a clock function that gives this package the virtual time, and others the real one."""

    def read_clock() -> float:
        caller = sys._getframe(1).f_globals.get("__name__", "")
        if not caller.startswith(PACKAGE) or caller.startswith(EXEMPT_MODULES):
            return real()  # type: ignore[no-any-return]
        return int(clock() * CLOCK_UNITS[name]) if name.endswith("_ns") else clock()

    return read_clock


def guarded(name: str, real: Callable[..., Any]) -> Callable[..., Any]:
    """Returns a function that raises EmulationError for this package and calls `real` for other callers."""

    def guard(*args: Any, **kwargs: Any) -> Any:  # noqa: ANN401
        frame = sys._getframe(1)
        caller = frame.f_globals.get("__name__", "")
        if caller.startswith(PACKAGE) and not caller.startswith(EXEMPT_MODULES):
            raise EmulationError(
                f"{caller}, line {frame.f_lineno}: called the real {name} in an emulated run"
            )
        return real(*args, **kwargs)

    return guard


@contextlib.contextmanager
def sealed(clock: Callable[[], float] | None = None) -> Iterator[None]:
    """Isolates this package while the context is active; not reentrant, as it changes the whole process.

    Args:
        clock: Returns the time in s that the package's clock functions then give. Servers and transports need
            it, because they read the system's clock. None: reading a clock is an error, too.

    Yields:
        Nothing.
    """
    real = [(owner, name, getattr(owner, name)) for owner, name in GUARDED_FUNCTIONS]
    try:
        for owner, name, call in real:
            is_clock = clock and owner is time and name in CLOCK_UNITS
            guard = guarded(f"{getattr(owner, '__name__', owner)}.{name}", call)
            setattr(owner, name, virtual_clock_function(name, call, clock) if is_clock and clock else guard)
        yield
    finally:
        for owner, name, call in real:
            setattr(owner, name, call)
