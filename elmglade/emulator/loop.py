"""An asyncio loop whose clock jumps to the next timer.

Nothing waits for real time, and no socket is looked at. The standard loop does all the work; only its
selector and its clock are replaced, so that the order of callbacks is the real one. A loop that can never
go on, or never lets time pass, ends with an error that names what it had.
"""

import asyncio
import selectors
from collections.abc import Mapping
from typing import Any

LIVELOCK = 100_000  # passes of the loop within one instant: far above what any turn needs
RESOLUTION = 1e-6  # s; timers due within it run together, as the module's clock counts microseconds


class EmulationError(RuntimeError):
    """The emulated program did what no emulated program may."""


class DeadlockError(EmulationError):
    """Nothing is left to run, and nothing will come."""


class LivelockError(EmulationError):
    """Callbacks without end at one instant."""


class Selector(selectors.BaseSelector):
    """Its only event is the passing of time."""

    def __init__(self, now: float) -> None:
        self.now, self.passes = now, 0
        self.keys: dict[int, selectors.SelectorKey] = {}

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:  # noqa: ANN401
        """The loop's own pipe is let in; anything else reaches for a real descriptor."""
        number = fileobj if isinstance(fileobj, int) else fileobj.fileno()
        if self.keys:
            raise EmulationError(f"a real descriptor ({number}) is waited for in emulated time")
        self.keys[number] = key = selectors.SelectorKey(fileobj, number, events, data)
        return key

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:  # noqa: ANN401
        return self.keys.pop(fileobj if isinstance(fileobj, int) else fileobj.fileno())

    def get_map(self) -> Mapping[Any, selectors.SelectorKey]:
        return self.keys

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise DeadlockError("nothing is left to run, and no timer is set")
        self.passes += 1
        if timeout > 0:
            self.now += timeout
            self.passes = 0
        elif self.passes > LIVELOCK:
            raise LivelockError(f"{self.passes} passes at {self.now:.6f} s: time does not go on")
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Its time begins at `now` seconds and goes on only while nothing can run."""

    def __init__(self, now: float = 0.0) -> None:
        self.virtual = Selector(now)
        super().__init__(self.virtual)
        self._clock_resolution = RESOLUTION  # the standard loop asks the real clock for it

    def time(self) -> float:
        return self.virtual.now

    def run_in_executor(self, executor: Any, func: Any, *args: Any) -> Any:  # type: ignore[override]  # noqa: ANN401
        raise EmulationError(f"{func} was to run in a thread, which has no emulated time")

    def _write_to_self(self) -> None:
        raise EmulationError("a thread or a signal called into emulated time")
