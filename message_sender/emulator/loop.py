"""An asyncio loop whose clock jumps to the next timer.

Nothing waits for real time, and no socket is looked at. The standard loop does all the work; only its
selector and its clock are replaced, so that the order of callbacks is the real one. A loop that can never
go on, or never lets time pass, ends with an error that names what it had.
"""

import asyncio
import selectors
import socket
from collections.abc import Mapping
from typing import Any

from message_sender.emulator.net import Net

NEVER = float("inf")
LIVELOCK = 100_000  # passes of the loop within one instant: far above what any turn needs
RESOLUTION = 1e-6  # s; timers due within it run together, as the module's clock counts microseconds


class EmulationError(RuntimeError):
    """The emulated program did what no emulated program may."""


class DeadlockError(EmulationError):
    """Nothing is left to run, and nothing will come."""


class LivelockError(EmulationError):
    """Callbacks without end at one instant."""


class Selector(selectors.BaseSelector):
    """Its events are the passing of time, and what happens on a network in memory where there is one."""

    def __init__(self, now: float) -> None:
        self.now, self.passes = now, 0
        self.keys: dict[int, selectors.SelectorKey] = {}
        self.net: Net | None = None

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:  # noqa: ANN401
        """The loop's own pipe is let in, and the network's sockets; anything else reaches for a real
        descriptor."""
        number = fileobj if isinstance(fileobj, int) else fileobj.fileno()
        if self.keys and not (self.net and number in self.net.sockets):
            raise EmulationError(f"a real descriptor ({number}) is waited for in emulated time")
        self.keys[number] = key = selectors.SelectorKey(fileobj, number, events, data)
        return key

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:  # noqa: ANN401
        return self.keys.pop(fileobj if isinstance(fileobj, int) else fileobj.fileno())

    def get_map(self) -> Mapping[Any, selectors.SelectorKey]:
        return self.keys

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        until = NEVER if timeout is None else self.now + max(timeout, 0.0)
        found = self.look()
        while not found and self.now < until:
            self.pass_time(min(until, self.net.next() if self.net else NEVER))
            found = self.look()
        self.passes += 1
        if self.passes > LIVELOCK:
            raise LivelockError(f"{self.passes} passes at {self.now:.6f} s: time does not go on")
        return found

    def pass_time(self, to: float) -> None:
        if to == NEVER:
            raise DeadlockError("nothing is left to run, and no timer is set")
        self.passes = 0 if to > self.now else self.passes
        self.now = max(self.now, to)

    def look(self) -> list[tuple[selectors.SelectorKey, int]]:
        """What is ready now."""
        if self.net is None:
            return []
        self.net.happen(self.now)
        return self.net.ready(self.keys)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Its time begins at `now` seconds and goes on only while nothing can run."""

    def __init__(self, now: float = 0.0) -> None:
        self.virtual = Selector(now)
        super().__init__(self.virtual)
        self._clock_resolution = RESOLUTION  # the standard loop asks the real clock for it

    def time(self) -> float:
        return self.virtual.now

    def pause(self, seconds: float) -> None:
        """The process has no core for so long, here in the middle of a pass: what is under way arrives
        meanwhile, and what the pass had found before is acted on after it."""
        self.virtual.now += seconds
        self.virtual.look()

    async def getaddrinfo(self, host: Any, port: Any, **more: Any) -> Any:  # noqa: ANN401
        """On a network in memory a name is an address."""
        if self.virtual.net is None:
            raise EmulationError(f"{host} was to be looked up, and there is no network here")
        return [(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP, "", (host, port))]

    def add_signal_handler(self, sig: int, callback: Any, *args: Any) -> None:  # type: ignore[override]  # noqa: ANN401
        """Nobody sends signals here."""

    def run_in_executor(self, executor: Any, func: Any, *args: Any) -> Any:  # type: ignore[override]  # noqa: ANN401
        raise EmulationError(f"{func} was to run in a thread, which has no emulated time")

    def _write_to_self(self) -> None:
        raise EmulationError("a thread or a signal called into emulated time")
