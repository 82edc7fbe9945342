"""Breakers and waits that a standalone sender has learned, stored on disk for its next start.

The module is imported only where the journal survives a crash of the machine.
"""

import heapq
import logging
from collections.abc import Callable
from pathlib import Path

from message_sender.core.engine import Engine
from message_sender.core.hooks import EngineHooks
from message_sender.policy.events import InheritedState
from message_sender.policy.state_transfer import BREAKER_FIELDS, export_fields
from message_sender.recovery.learned_snapshot import (
    MAX_BREAKERS,
    Breakers,
    KnownBreaker,
    LearnedSnapshots,
    restore_trusted,
)
from message_sender.recovery.startup import RecoveryStart

log = logging.getLogger(__name__)


def last_sent(known: KnownBreaker) -> float:
    """Returns the time of the last call on a breaker's route, in microseconds."""
    _number, _route, breaker = known
    return float(breaker.last_sent)


class LearnedState(EngineHooks):
    """Stores breakers and waits periodically, and passes the stored ones to the engine at its start.

    Attributes:
        loaded: The part of an earlier process's state that is still trusted.
    """

    def __init__(self, engine: Engine, recovery_start: RecoveryStart, state: Path) -> None:
        """Adds the object to the engine's hooks and periodic tasks.

        Args:
            engine: The engine whose breakers are stored.
            recovery_start: Provides the disk and the conditions of this start, such as a prior power loss.
            state: The state folder.
        """
        self.engine = engine
        self.recovery_start = recovery_start
        self.snapshots = LearnedSnapshots(
            state,
            recovery_start.disk,
            self.list_breakers,
            encode_breaker,
            engine.now,
            recovery_start.sync_interval_s is not None,
        )
        self.loaded = InheritedState()
        engine.periodic_tasks.append(self.start_due_write)
        engine.hooks.add(self)

    def list_breakers(self) -> list[KnownBreaker]:
        """Returns destination, route and breaker of each route.

        If there are more than `MAX_BREAKERS`, the result has those whose routes were called most recently.
        """
        breakers = [
            (destination.number, route, breaker)
            for destination in self.engine.dispatcher.destinations.values()
            for route, breaker in (destination.breakers_by_route or {}).items()
        ]
        if len(breakers) <= MAX_BREAKERS:
            return breakers
        return heapq.nlargest(MAX_BREAKERS, breakers, key=last_sent)

    def load(self) -> dict[int, float]:
        """Loads the state that an earlier process stored.

        Returns:
            The seconds for which each destination must not be called, by its number.
        """
        snapshot = self.snapshots.read()
        if snapshot is None:
            return {}
        now = self.engine.now()
        self.loaded = restore_trusted(*snapshot, self.recovery_start.conditions, now)
        waits = remaining_waits(self.loaded.breakers, now)
        log.info("learned state loaded: breakers=%d waits=%d", len(self.loaded.breakers), len(waits))
        return waits

    def messages_restored(self) -> None:
        """Passes the loaded breakers to the policy, before the engine's first iteration."""
        if self.loaded.breakers:
            self.engine.post(self.loaded)

    def retry_after_received(self, endpoint: str, delay_us: int) -> None:
        """Makes the next write due at once, because only the disk keeps the wait through a power loss."""
        self.snapshots.next_at_us = 0

    def start_due_write(self) -> None:
        """Starts a write in the background if one is due."""
        if write_snapshot := self.snapshots.step():
            self.engine.spawn(self.write(write_snapshot))

    async def write(self, write_snapshot: Callable[[], None]) -> None:
        """Runs a write outside the event loop."""
        try:
            await self.recovery_start.disk.run(write_snapshot)
        except OSError as error:
            log.error("learned state not written: reason=%s", error)
        self.snapshots.write_finished()


def encode_breaker(breaker: object) -> dict[str, float]:
    """Returns the stored fields of a breaker."""
    return export_fields(breaker, BREAKER_FIELDS)


def remaining_waits(breakers: Breakers, now_us: int) -> dict[int, float]:
    """Returns the seconds for which each destination must not be called: the longest wait of its routes."""
    waits: dict[int, float] = {}
    for number, _route, values in breakers:
        remaining_us = values.get("wait_until", 0) - now_us
        if remaining_us > 0:
            waits[number] = max(waits.get(number, 0.0), remaining_us / 1e6)
    return waits
