"""A directory with overrides over it: implements the core's port round another one."""

import asyncio
import logging
from collections.abc import Callable

from elmglade import interface as face
from elmglade.core.ports import Directory
from elmglade.directory.overrides import Kind, Overlay, Override
from elmglade.directory.store import Store
from elmglade.directory.when import show

LATE = 0.001  # s that a timer runs after its time, so that the time has come by any clock

log = logging.getLogger(__name__)


class OverriddenDirectory:
    """`source` tells its lists to `hear`; `told` is the engine's `list_told`, `now` its clock in us."""

    def __init__(
        self,
        source: Directory,
        store: Store,
        now: Callable[[], int],
        told: Callable[[face.EndpointsListed], None],
    ) -> None:
        self.source, self.store, self.now, self.told = source, store, now, told
        self.overlay = Overlay(store.load())
        self.book = self.overlay.book
        self.timer: asyncio.TimerHandle | None = None
        self.warned: set[str] = set()  # of an end that is near
        self.vain: dict[str, str] = {}
        self.empty: list[int] = []
        self.expire()

    # The port.

    def look(self) -> None:
        self.source.look()

    async def watch(self) -> None:
        await self.source.watch()

    def knows(self, destination: int) -> bool:
        return self.source.knows(destination)

    def remember(self, destination: int) -> None:
        self.source.remember(destination)

    # What changes.

    def hear(self, listed: face.EndpointsListed) -> None:
        """The source has news."""
        self.expire()
        self.told(self.overlay.hear(listed, self.now()))
        self.settle()

    def set(
        self, kind: Kind, endpoint: str, who: str, why: str, begins: int, until: int,
        weight: float = 1.0, destination: int = -1,
    ) -> Override:  # fmt: skip
        """Raises OverrideError, and OSError where it cannot be saved: then it is not in force either."""
        new = self.book.set(kind, endpoint, who, why, begins, until, self.now(), weight, destination)
        try:
            self.store.save(self.book)
        except OSError:
            self.book.end(new.name)
            raise
        self.store.record(self.now(), who, "set", new)
        self.turn()
        return new

    def end(self, name: str, who: str, why: str = "") -> Override:
        """Raises KeyError and OSError. It ends also where that cannot be saved: then it would come back at the
        next start, until its time."""
        over = self.book.end(name)
        self.turn()
        self.store.record(self.now(), who, "ended", over, why)
        self.store.save(self.book)
        return over

    def extend(self, name: str, until: int, who: str, why: str = "") -> Override:
        """Raises KeyError, OverrideError, and OSError where it cannot be saved: then its end stays."""
        before = self.book.overrides[name]
        longer = self.book.extend(name, until, self.now())
        try:
            self.store.save(self.book)
        except OSError:
            self.book.overrides[name] = before
            raise
        self.warned.discard(name)
        self.store.record(self.now(), who, "extended", longer, why)
        self.turn()
        return longer

    def expire(self) -> None:
        """Those whose time is up are gone, on disk too. A disk that fails is logged: an ended one that it still
        holds ends again at the next start."""
        if not (over := self.book.expire(self.now())):
            return
        for each in over:
            log.warning(
                "override %s (%s %s, by %s) has ended", each.name, each.kind.value, each.endpoint, each.who
            )
            self.store.record(self.now(), each.who, "expired", each)
        try:
            self.store.save(self.book)
        except OSError as error:
            log.error("the overrides cannot be saved: %s", error)

    def turn(self) -> None:
        """Overrides were set, have begun or have ended."""
        self.expire()
        if changed := self.overlay.turn(self.now()):
            self.told(changed)
        self.settle()

    def settle(self) -> None:
        """Warns of what has changed, and wakes at the next change."""
        self.warn()
        if self.timer:
            self.timer.cancel()
            self.timer = None
        if (at := self.book.next_change(now := self.now())) is not None:
            delay = (at - now) / 1e6 + LATE
            self.timer = asyncio.get_running_loop().call_later(delay, self.turn)

    def warn(self) -> None:
        now = self.now()
        for each in self.book.active(now):
            if each.warns_at() <= now and each.name not in self.warned:
                self.warned.add(each.name)
                log.warning(
                    "override %s (%s %s) ends at %s",
                    each.name,
                    each.kind.value,
                    each.endpoint,
                    show(each.until, now),
                )
        self.warned &= set(self.book.overrides)
        vain, empty = self.overlay.in_vain(now), self.overlay.all_out()
        for name, why in vain.items():
            if self.vain.get(name) != why:
                log.warning("override %s does nothing: %s", name, why)
        for destination in empty:
            if destination not in self.empty:
                log.error("all endpoints of destination %d are out of service", destination)
        self.vain, self.empty = vain, empty

    def close(self) -> None:
        if self.timer:
            self.timer.cancel()
