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

from elmglade.emulator.loop import EmulationError

PACKAGE = "elmglade."
OPEN_TO = ("elmglade.emulator.", "elmglade.lab.history")
DOORS: tuple[tuple[Any, str], ...] = (
    *((time, name) for name in ("time", "time_ns", "monotonic", "monotonic_ns", "sleep", "perf_counter")),
    *((random, name) for name in ("random", "uniform", "choice", "randrange", "shuffle", "expovariate")),
    (os, "urandom"),
    (uuid, "uuid4"),
    (socket.socket, "connect"),
    (socket.socket, "bind"),
    (threading.Thread, "start"),
)


def guarded(name: str, real: Callable[..., Any]) -> Callable[..., Any]:
    def door(*told: Any, **more: Any) -> Any:  # noqa: ANN401
        frame = sys._getframe(1)
        caller = frame.f_globals.get("__name__", "")
        if caller.startswith(PACKAGE) and not caller.startswith(OPEN_TO):
            raise EmulationError(f"{caller}, line {frame.f_lineno}: {name} is real, and time here is not")
        return real(*told, **more)

    return door


@contextlib.contextmanager
def sealed() -> Iterator[None]:
    """Not for two at once in one process."""
    real = [(owner, name, getattr(owner, name)) for owner, name in DOORS]
    try:
        for owner, name, call in real:
            setattr(owner, name, guarded(f"{getattr(owner, '__name__', owner)}.{name}", call))
        yield
    finally:
        for owner, name, call in real:
            setattr(owner, name, call)
