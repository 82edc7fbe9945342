"""A directory with overrides applied to it: implements the core's port around another directory."""

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol

from message_sender.discovery.outlier import EjectionPolicy, OutlierDetector
from message_sender.discovery.override_layer import OverrideLayer
from message_sender.discovery.override_store import OverrideStore
from message_sender.discovery.overrides import Override, OverrideKind
from message_sender.discovery.slow_start import SlowStart
from message_sender.discovery.time_text import format_time
from message_sender.policy.events import EndpointsUpdated
from message_sender.policy.model import FAILURES, Outcome

US_PER_SECOND = 1_000_000
INEFFECTIVE_CHECK_DELAY_S = 0.2  # from an update of the list until overrides without effect are logged
TIMER_MARGIN_S = 0.001  # by which a timer runs late, so that the time has come by any clock

log = logging.getLogger(__name__)


class Source(Protocol):
    """The directory under the overrides; its methods are those of the core's port `Directory`."""

    def poll_unread(self) -> None:
        """Applies what lies unread."""

    async def watch(self) -> None:
        """Sends the list and its changes until it is cancelled."""

    def knows(self, destination: int) -> bool:
        """Whether the destination is or was listed."""
        ...

    def remember(self, destination: int) -> None:
        """Records a destination that an earlier process knew."""


class OverriddenDirectory:
    """A directory with overrides, slow start and ejection of outliers.

    Attributes:
        source: The directory; it sends its updates to `apply_update`.
        on_update: Receives the resulting updates; the engine's `endpoints_updated`.
        next_at: When the next override begins, warns or ends, us.
        warned: Overrides whose near end has been logged.
        ineffective: Overrides without effect, and why, as logged.
        unserved_destinations: Those without an endpoint in service, as logged.
        returned_endpoints: Endpoints whose time out of service ended while no sender ran.
    """

    def __init__(
        self,
        source: Source,
        store: OverrideStore,
        now: Callable[[], int],
        on_update: Callable[[EndpointsUpdated], None],
        slow_start_us: int = 0,
        ejection: EjectionPolicy | None = None,
    ) -> None:
        """Loads the overrides.

        Args:
            source: The directory.
            store: The overrides on disk.
            now: The engine's clock, us.
            on_update: Receives the resulting updates.
            slow_start_us: For how long the weight of an endpoint that is new or back grows; 0: not at all.
            ejection: When outliers are ejected; None: never.
        """
        self.source = source
        self.store = store
        self.now = now
        self.on_update = on_update
        outliers = OutlierDetector(ejection) if ejection else None
        self.layer = OverrideLayer(store.load(), SlowStart(slow_start_us), outliers)
        self.book = self.layer.book
        self.timer: asyncio.TimerHandle | None = None
        self.check_timer: asyncio.TimerHandle | None = None
        self.next_at: int | None = None
        self.warned: set[str] = set()
        self.ineffective: dict[str, str] = {}
        self.unserved_destinations: list[int] = []
        started_at = now()
        self.returned_endpoints = tuple(
            each.endpoint for each in self.expire(started_at) if each.kind is OverrideKind.OUT
        )
        self.layer.refresh(started_at)

    # The port.

    def poll_unread(self) -> None:
        """Applies what lies unread."""
        self.source.poll_unread()

    async def watch(self) -> None:
        """Sends the list and its changes until it is cancelled."""
        await self.source.watch()

    def knows(self, destination: int) -> bool:
        """Whether the destination is or was listed."""
        return self.source.knows(destination)

    def remember(self, destination: int) -> None:
        """Records a destination that an earlier process knew."""
        self.source.remember(destination)

    # What the source and the calls report.

    def apply_update(self, update: EndpointsUpdated) -> None:
        """Sends an update of the source on, under the overrides; costs only what it names."""
        if self.next_at is not None and self.next_at <= self.now():
            self.refresh()
        self.on_update(self.layer.apply_update(update, self.now()))
        if self.layer.slow_start.started_at and self.timer is None:
            self.schedule_refresh(self.now())
        if self.book.overrides and not self.check_timer:
            loop = asyncio.get_running_loop()
            self.check_timer = loop.call_later(INEFFECTIVE_CHECK_DELAY_S, self.check_effects)

    def record_outcome(self, endpoint: str, outcome: Outcome) -> None:
        """Records the outcome of a call: a failure may eject the endpoint."""
        if outcome is not Outcome.OK and outcome not in FAILURES:
            return
        if self.layer.record_outcome(endpoint, outcome is Outcome.OK, self.now()):
            log.warning("endpoint ejected for its failures: endpoint=%s", endpoint)
            self.refresh()

    def check_effects(self) -> None:
        """Logs overrides without effect, some time after an update."""
        self.check_timer = None
        self.log_warnings(self.now())

    # What operators change.

    def set(
        self, kind: OverrideKind, endpoint: str, who: str, why: str, begins: int, until: int,
        weight: float = 1.0, destination: int = -1, tenant: str = "", key: str = "",
    ) -> Override:  # fmt: skip
        """Sets an override; arguments as the fields of `Override`.

        Raises:
            OverrideError: It is invalid.
            OSError: It cannot be saved, and is not in force.
        """
        pin = (destination, tenant, key)
        new = self.book.set(kind, endpoint, who, why, begins, until, self.now(), weight, *pin)
        self.commit("set", new, who, "", lambda: self.book.end(new.name))
        return new

    def end(self, name: str, who: str, why: str = "") -> Override:
        """Ends an override.

        Raises:
            KeyError: There is no such override.
            OSError: It has ended, but cannot be saved: it would come back at the next start, until its time.
        """
        ended = self.book.end(name)
        self.refresh()
        self.store.record(self.now(), who, "ended", ended, why)
        self.store.save(self.book)
        return ended

    def extend(self, name: str, until: int, who: str, why: str = "") -> Override:
        """Gives an override another end.

        Raises:
            KeyError: There is no such override.
            OverrideError: The end is invalid.
            OSError: It cannot be saved, and its end stays.
        """
        before = self.book.overrides[name]
        extended = self.book.extend(name, until, self.now())
        self.commit("extended", extended, who, why, lambda: self.book.overrides.update({name: before}))
        return extended

    def commit(self, did: str, changed: Override, who: str, why: str, undo: Callable[[], object]) -> None:
        """Saves and applies a change. Raises OSError if it cannot be saved; then it is undone."""
        try:
            self.store.save(self.book)
        except OSError:
            undo()
            raise
        self.warned.discard(changed.name)
        self.store.record(self.now(), who, did, changed, why)
        self.refresh()

    # Time.

    def expire(self, now: int) -> list[Override]:
        """Removes the overrides that have ended, also on disk, and returns them.

        A failing disk is logged: an ended override that it still has ends again at the next start.
        """
        if not (expired := self.book.expire(now)):
            return []
        for each in expired:
            log.warning("override expired: name=%s override=%s", each.name, each.describe())
            self.store.record(now, each.who, "expired", each)
        try:
            self.store.save(self.book)
        except OSError as error:
            log.error("overrides not saved: reason=%s", error)
        return expired

    def refresh(self) -> None:
        """Applies overrides that were set, have begun or have ended.

        All of it happens at one reading of the clock: what is due between two readings would be seen by
        neither of the steps.
        """
        now = self.now()
        self.expire(now)
        if update := self.layer.refresh(now):
            self.on_update(update)
        self.log_warnings(now)
        self.schedule_refresh(now)

    def schedule_refresh(self, now: int) -> None:
        """Sets the timer for the next change."""
        if self.timer:
            self.timer.cancel()
            self.timer = None
        outliers = self.layer.outliers
        ejection_ends = outliers.next_change() if outliers else None
        times = (self.book.next_change(now), self.layer.slow_start.next_change(now), ejection_ends)
        self.next_at = min((at for at in times if at is not None), default=None)
        if self.next_at is not None:
            delay_s = (self.next_at - now) / US_PER_SECOND + TIMER_MARGIN_S
            self.timer = asyncio.get_running_loop().call_later(delay_s, self.refresh)

    def log_warnings(self, now: int) -> None:
        """Logs, once each, overrides that end soon or have no effect, and destinations without endpoint."""
        for each in self.book.active(now):
            if each.warns_at() <= now and each.name not in self.warned:
                self.warned.add(each.name)
                end = format_time(each.until, now)
                log.warning(
                    "override expires soon: name=%s end=%s override=%s", each.name, end, each.describe()
                )
        self.warned &= set(self.book.overrides)
        ineffective = self.layer.ineffective(now)
        for name, reason in ineffective.items():
            if self.ineffective.get(name) != reason:
                log.warning("override has no effect: name=%s reason=%s", name, reason)
        self.ineffective = ineffective
        unserved = self.layer.unserved_destinations()
        for destination in unserved:
            if destination not in self.unserved_destinations:
                log.error("all endpoints are out of service: destination=%d", destination)
        self.unserved_destinations = unserved

    def close(self) -> None:
        """Cancels the timers."""
        for timer in (self.timer, self.check_timer):
            if timer:
                timer.cancel()
