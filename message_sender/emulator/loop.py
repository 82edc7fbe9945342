"""An asyncio loop whose clock jumps to the next timer.

It never waits for real time and polls no real socket. Everything else is the standard loop: only its selector
and its clock are replaced, so that callbacks run in the real order. A loop that can never continue, or in
which time never advances, ends with an error that says so.
"""

import asyncio
import selectors
import socket
from collections.abc import Mapping
from typing import Any

from message_sender.emulator.memory_network import Net

NEVER = float("inf")
LIVELOCK_ITERATIONS = 100_000  # loop iterations at one instant; far more than any correct program needs
RESOLUTION = 1e-6  # s; timers due within it run together, because the policy's clock counts microseconds


class EmulationError(RuntimeError):
    """The emulated program did something that is not possible in an emulation."""


class DeadlockError(EmulationError):
    """The loop has nothing to run, no timer and no network event to wait for."""


class LivelockError(EmulationError):
    """Callbacks keep running at one instant, so that time does not advance."""


class Selector(selectors.BaseSelector):
    """A selector that advances the virtual time, and reports events of an in-memory network if there is one.

    Attributes:
        now: Virtual time in s.
        iterations: Loop iterations at this instant so far.
        net: The in-memory network, if there is one.
    """

    def __init__(self, now: float) -> None:
        """Starts at a time in s."""
        self.now, self.iterations = now, 0
        self.keys: dict[int, selectors.SelectorKey] = {}
        self.net: Net | None = None

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:  # noqa: ANN401
        """Registers the loop's own pipe or a socket of the in-memory network.

        Raises:
            EmulationError: The descriptor is a real one.
        """
        number = fileobj if isinstance(fileobj, int) else fileobj.fileno()
        if self.keys and not (self.net and number in self.net.sockets):
            raise EmulationError(f"a real descriptor ({number}) was registered with a loop in virtual time")
        self.keys[number] = key = selectors.SelectorKey(fileobj, number, events, data)
        return key

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:  # noqa: ANN401
        """Removes a registered descriptor."""
        return self.keys.pop(fileobj if isinstance(fileobj, int) else fileobj.fileno())

    def get_map(self) -> Mapping[Any, selectors.SelectorKey]:
        """Returns the registered descriptors."""
        return self.keys

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Returns the ready descriptors, after advancing the time to the next event or by `timeout` s.

        Raises:
            DeadlockError: There is neither an event nor a timeout.
            LivelockError: Time has not advanced for `LIVELOCK_ITERATIONS` calls.
        """
        until = NEVER if timeout is None else self.now + max(timeout, 0.0)
        ready = self.poll_network()
        while not ready and self.now < until:
            self.advance_time(min(until, self.net.next_event_at() if self.net else NEVER))
            ready = self.poll_network()
        self.iterations += 1
        if self.iterations > LIVELOCK_ITERATIONS:
            raise LivelockError(
                f"{self.iterations} loop iterations at {self.now:.6f} s: time does not advance"
            )
        return ready

    def advance_time(self, to: float) -> None:
        """Advances the virtual time to a time in s."""
        if to == NEVER:
            raise DeadlockError("nothing is left to run, and no timer is set")
        self.iterations = 0 if to > self.now else self.iterations
        self.now = max(self.now, to)

    def poll_network(self) -> list[tuple[selectors.SelectorKey, int]]:
        """Runs the network's events that are due, and returns the descriptors that are ready then."""
        if self.net is None:
            return []
        self.net.run_events(self.now)
        return self.net.ready(self.keys)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time starts at `now` s and advances only while nothing can run."""

    def __init__(self, now: float = 0.0) -> None:
        """Creates a loop without a network."""
        self.virtual = Selector(now)
        super().__init__(self.virtual)
        self._clock_resolution = RESOLUTION  # the standard loop takes it from the real clock

    def time(self) -> float:
        """Returns the virtual time in s."""
        return self.virtual.now

    def pause(self, seconds: float) -> None:
        """Stalls the process for a time in s in the middle of a loop iteration, as if it got no CPU time.

        Data in flight arrives meanwhile, and the events that this iteration had already found are handled
        afterwards.
        """
        self.virtual.now += seconds
        self.virtual.poll_network()

    async def getaddrinfo(self, host: Any, port: Any, **kwargs: Any) -> Any:  # noqa: ANN401
        """Returns the name itself, because host names are addresses on an in-memory network."""
        if self.virtual.net is None:
            raise EmulationError(f"the name {host} was looked up on a loop without a network")
        return [(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP, "", (host, port))]

    def add_signal_handler(self, sig: int, callback: Any, *args: Any) -> None:  # type: ignore[override]  # noqa: ANN401
        """Does nothing: an emulated process receives no signals."""

    def run_in_executor(self, executor: Any, func: Any, *args: Any) -> Any:  # type: ignore[override]  # noqa: ANN401
        """Raises EmulationError, because threads cannot run in virtual time."""
        raise EmulationError(f"{func} was started in a thread, which cannot run in virtual time")

    def _write_to_self(self) -> None:
        raise EmulationError("a thread or a signal called into a loop in virtual time")
