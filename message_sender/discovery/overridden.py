"""A directory with overrides: implements the core's port `Directory` around another directory."""

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
INEFFECTIVE_CHECK_DELAY_S = 0.2  # between a list update and the logging of overrides without effect
TIMER_MARGIN_S = 0.001  # added to timers, so that the time has also passed on the engine's clock

log = logging.getLogger(__name__)


class Source(Protocol):
    """The wrapped directory; its methods are those of the core's port `Directory`."""

    def poll_unread(self) -> None:
        """Applies updates that have been received but not read yet."""

    async def watch(self) -> None:
        """Sends the list and its changes until cancelled."""

    def is_known(self, destination: int) -> bool:
        """Whether the destination is or was listed."""
        ...

    def mark_known(self, destination: int) -> None:
        """Records a destination that an earlier process knew."""


class OverriddenDirectory:
    """A directory with overrides, slow start and ejection of outliers.

    Attributes:
        source: The wrapped directory; it sends its updates to `apply_update`.
        on_update: Called with the resulting updates; the engine's `endpoints_updated`.
        next_at: When the next change by time is due (override, slow start or ejection), us; None if none is.
        warned: Names of the overrides whose approaching end has been logged.
        ineffective: The logged reason of each override without effect, by name.
        unserved_destinations: Destinations without an endpoint in service, as logged.
        returned_endpoints: Endpoints whose out-of-service override ended while no sender ran.
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
        """Loads the overrides and removes those that have ended.

        Args:
            source: The wrapped directory.
            store: Stores the overrides on disk.
            now: Returns the engine's time, us.
            on_update: Called with the resulting updates.
            slow_start_us: Duration of the slow start of new and returned endpoints; 0 disables it.
            ejection: When outliers are ejected; None disables ejection.
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

    # Implementation of the port `Directory`.

    def poll_unread(self) -> None:
        """Applies updates that have been received but not read yet."""
        self.source.poll_unread()

    async def watch(self) -> None:
        """Sends the list and its changes until cancelled."""
        await self.source.watch()

    def is_known(self, destination: int) -> bool:
        """Whether the destination is or was listed."""
        return self.source.is_known(destination)

    def mark_known(self, destination: int) -> None:
        """Records a destination that an earlier process knew."""
        self.source.mark_known(destination)

    # Updates of the source and outcomes of calls.

    def apply_update(self, update: EndpointsUpdated) -> None:
        """Forwards an update of the source with the overrides applied.

        The cost is proportional to the size of the update.
        """
        if self.next_at is not None and self.next_at <= self.now():
            self.refresh()
        self.on_update(self.layer.apply_update(update, self.now()))
        if self.layer.slow_start.started_at and self.timer is None:
            self.schedule_refresh(self.now())
        if self.book.overrides and not self.check_timer:
            loop = asyncio.get_running_loop()
            self.check_timer = loop.call_later(INEFFECTIVE_CHECK_DELAY_S, self.check_effects)

    def record_outcome(self, endpoint: str, outcome: Outcome) -> None:
        """Records the outcome of a call; a failure may eject the endpoint."""
        if outcome is not Outcome.OK and outcome not in FAILURES:
            return
        if self.layer.record_outcome(endpoint, outcome is Outcome.OK, self.now()):
            log.warning("endpoint ejected for its failures: endpoint=%s", endpoint)
            self.refresh()

    def check_effects(self) -> None:
        """Logs overrides without effect; runs `INEFFECTIVE_CHECK_DELAY_S` after an update."""
        self.check_timer = None
        self.log_warnings(self.now())

    # Changes by operators.

    def set(
        self, kind: OverrideKind, endpoint: str, who: str, why: str, begins: int, until: int,
        weight: float = 1.0, destination: int = -1, tenant: str = "", key: str = "",
    ) -> Override:  # fmt: skip
        """Sets an override; the arguments are the fields of `Override`.

        Raises:
            OverrideError: If the override is invalid.
            OSError: If the override cannot be saved; it is then not in force.
        """
        pin = (destination, tenant, key)
        new = self.book.set(kind, endpoint, who, why, begins, until, self.now(), weight, *pin)
        self.commit("set", new, who, "", lambda: self.book.end(new.name))
        return new

    def end(self, name: str, who: str, why: str = "") -> Override:
        """Ends an override.

        Raises:
            KeyError: If there is no override of this name.
            OSError: If the end cannot be saved; the override has ended, but would be in force again after a
                restart, until its end.
        """
        ended = self.book.end(name)
        self.refresh()
        self.store.record(self.now(), who, "ended", ended, why)
        self.store.save(self.book)
        return ended

    def extend(self, name: str, until: int, who: str, why: str = "") -> Override:
        """Changes the end of an override.

        Raises:
            KeyError: If there is no override of this name.
            OverrideError: If the end is invalid.
            OSError: If the change cannot be saved; the end is then unchanged.
        """
        before = self.book.overrides[name]
        extended = self.book.extend(name, until, self.now())
        self.commit("extended", extended, who, why, lambda: self.book.overrides.update({name: before}))
        return extended

    def commit(self, action: str, changed: Override, who: str, why: str, undo: Callable[[], object]) -> None:
        """Saves and applies a change. Raises OSError if it cannot be saved, after calling `undo`."""
        try:
            self.store.save(self.book)
        except OSError:
            undo()
            raise
        self.warned.discard(changed.name)
        self.store.record(self.now(), who, action, changed, why)
        self.refresh()

    # Changes by time.

    def expire(self, now: int) -> list[Override]:
        """Removes the overrides that have ended, in memory and on disk, and returns them.

        A disk error is logged only: an ended override that is still on disk ends again at the next start.
        """
        if not (expired := self.book.expire(now)):
            return []
        for override in expired:
            log.warning("override expired: name=%s override=%s", override.name, override.describe())
            self.store.record(now, override.who, "expired", override)
        try:
            self.store.save(self.book)
        except OSError as error:
            log.error("overrides not saved: reason=%s", error)
        return expired

    def refresh(self) -> None:
        """Applies overrides that were set, have begun or have ended.

        All steps use one reading of the clock: with two readings, a change that becomes due between them
        would be missed by both the step that applies changes and the step that sets the timer.
        """
        now = self.now()
        self.expire(now)
        if update := self.layer.refresh(now):
            self.on_update(update)
        self.log_warnings(now)
        self.schedule_refresh(now)

    def schedule_refresh(self, now: int) -> None:
        """Sets the timer for the next change by time."""
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
        """Logs once each: overrides that end soon or have no effect, and destinations without an endpoint."""
        for override in self.book.active(now):
            if override.warns_at() <= now and override.name not in self.warned:
                self.warned.add(override.name)
                end = format_time(override.until, now)
                log.warning(
                    "override expires soon: name=%s end=%s override=%s",
                    override.name,
                    end,
                    override.describe(),
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
