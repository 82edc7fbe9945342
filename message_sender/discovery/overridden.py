"""A directory with overrides over it: implements the core's port round another one."""

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol

from message_sender.discovery.outlier import EjectionPolicy, OutlierDetector
from message_sender.discovery.override_store import OverrideStore
from message_sender.discovery.overrides import Override, OverrideKind, OverrideLayer
from message_sender.discovery.slow_start import SlowStart
from message_sender.discovery.time_text import show
from message_sender.policy.events import EndpointsUpdated
from message_sender.policy.model import FAILURES, Outcome

CHECK = 0.2  # s after news of the list until it is looked at for overrides that do nothing
LATE = 0.001  # s that a timer runs after its time, so that the time has come by any clock

log = logging.getLogger(__name__)


class Source(Protocol):
    """The directory under the overrides; as the core's port of that name."""

    def poll_unread(self) -> None: ...

    async def watch(self) -> None: ...

    def knows(self, destination: int) -> bool: ...

    def remember(self, destination: int) -> None: ...


class OverriddenDirectory:
    """`source` gives its lists to `hear`; `told` is the engine's `endpoints_updated`; `now`: its clock."""

    def __init__(
        self,
        source: Source,
        store: OverrideStore,
        now: Callable[[], int],
        told: Callable[[EndpointsUpdated], None],
        slow_start: int = 0,
        eject: EjectionPolicy | None = None,
    ) -> None:
        """`slow_start` in us: for so long the share of what is new or back grows; 0: not at all. `eject`:
        when outliers are left out; None: never."""
        self.source, self.store, self.now, self.told = source, store, now, told
        self.overlay = OverrideLayer(
            store.load(), SlowStart(slow_start), OutlierDetector(eject) if eject else None
        )
        self.book = self.overlay.book
        self.timer: asyncio.TimerHandle | None = None
        self.check: asyncio.TimerHandle | None = None
        self.next_at: int | None = None  # us: when the next override begins, warns or ends
        self.warned: set[str] = set()  # of an end that is near
        self.vain: dict[str, str] = {}
        self.empty: list[int] = []
        began = now()
        #: Endpoints whose time out of service ended while no sender ran.
        self.returned = tuple(each.endpoint for each in self.expire(began) if each.kind is OverrideKind.OUT)
        self.overlay.turn(began)

    # The port.

    def poll_unread(self) -> None:
        self.source.poll_unread()

    async def watch(self) -> None:
        await self.source.watch()

    def knows(self, destination: int) -> bool:
        return self.source.knows(destination)

    def remember(self, destination: int) -> None:
        self.source.remember(destination)

    # What changes.

    def hear(self, listed: EndpointsUpdated) -> None:
        """The source has news. It costs what is named in it."""
        if self.next_at is not None and self.next_at <= self.now():
            self.turn()
        self.told(self.overlay.hear(listed, self.now()))
        if self.overlay.ramp.began and self.timer is None:
            self.wake(self.now())
        if self.book.overrides and not self.check:
            self.check = asyncio.get_running_loop().call_later(CHECK, self.checked)

    def outcome(self, endpoint: str, outcome: Outcome) -> None:
        """A call has ended: what speaks against an endpoint's health may have it ejected."""
        if outcome is not Outcome.OK and outcome not in FAILURES:
            return
        if self.overlay.outcome(endpoint, outcome is Outcome.OK, self.now()):
            log.warning("%s is left out for a while: it fails where others serve", endpoint)
            self.turn()

    def checked(self) -> None:
        self.check = None
        self.warn(self.now())

    def set(
        self, kind: OverrideKind, endpoint: str, who: str, why: str, begins: int, until: int,
        weight: float = 1.0, destination: int = -1, tenant: str = "", key: str = "",
    ) -> Override:  # fmt: skip
        """Raises OverrideError, and OSError where it cannot be saved: then it is not in force."""
        pin = (destination, tenant, key)
        new = self.book.set(kind, endpoint, who, why, begins, until, self.now(), weight, *pin)
        self.keep("set", new, who, "", lambda: self.book.end(new.name))
        return new

    def end(self, name: str, who: str, why: str = "") -> Override:
        """Raises KeyError and OSError. It ends also where that cannot be saved: then it would come back at
        the next start, until its time."""
        over = self.book.end(name)
        self.turn()
        self.store.record(self.now(), who, "ended", over, why)
        self.store.save(self.book)
        return over

    def extend(self, name: str, until: int, who: str, why: str = "") -> Override:
        """Raises KeyError, OverrideError, and OSError where it cannot be saved: then its end stays."""
        before = self.book.overrides[name]
        longer = self.book.extend(name, until, self.now())
        self.keep("extended", longer, who, why, lambda: self.book.overrides.update({name: before}))
        return longer

    def keep(self, did: str, changed: Override, who: str, why: str, undo: Callable[[], object]) -> None:
        """A change that counts only once it is saved. Raises OSError; then it is undone."""
        try:
            self.store.save(self.book)
        except OSError:
            undo()
            raise
        self.warned.discard(changed.name)
        self.store.record(self.now(), who, did, changed, why)
        self.turn()

    def expire(self, now: int) -> list[Override]:
        """Those whose time is up are gone, on disk too. A disk that fails is logged: an ended one that it
        still holds ends again at the next start."""
        if not (over := self.book.expire(now)):
            return []
        for each in over:
            log.warning("override %s has ended: %s", each.name, each.text())
            self.store.record(now, each.who, "expired", each)
        try:
            self.store.save(self.book)
        except OSError as error:
            log.error("the overrides cannot be saved: %s", error)
        return over

    def turn(self) -> None:
        """Overrides were set, have begun or have ended. All of it at one instant: what came due between two
        looks at the clock would be seen by neither."""
        now = self.now()
        self.expire(now)
        if changed := self.overlay.turn(now):
            self.told(changed)
        self.warn(now)
        self.wake(now)

    def wake(self, now: int) -> None:
        """Sets the timer for the next change."""
        if self.timer:
            self.timer.cancel()
            self.timer = None
        ejector = self.overlay.ejector
        back = ejector.next_change() if ejector else None
        times = (self.book.next_change(now), self.overlay.ramp.next_change(now), back)
        self.next_at = min((at for at in times if at is not None), default=None)
        if self.next_at is not None:
            delay = (self.next_at - now) / 1e6 + LATE
            self.timer = asyncio.get_running_loop().call_later(delay, self.turn)

    def warn(self, now: int) -> None:
        for each in self.book.active(now):
            if each.warns_at() <= now and each.name not in self.warned:
                self.warned.add(each.name)
                log.warning("override %s ends at %s: %s", each.name, show(each.until, now), each.text())
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
        for each in (self.timer, self.check):
            if each:
                each.cancel()
