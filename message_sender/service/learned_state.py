"""What a standalone sender has learned of its destinations, stored on disk for its next start.

Imported only where the journal survives the machine.
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
    restore_believed,
)
from message_sender.recovery.startup import RecoveryStart

log = logging.getLogger(__name__)


def last_sent(known: KnownBreaker) -> float:
    """When the route of a breaker was last called, in microseconds."""
    _number, _route, breaker = known
    return float(breaker.last_sent)


class LearnedState(EngineHooks):
    """Stores breakers and waits periodically, and gives them to the engine at its start.

    Attributes:
        loaded: What an earlier process stored, as far as it is still trusted.
    """

    def __init__(self, engine: Engine, recovery_start: RecoveryStart, state: Path) -> None:
        """Adds itself to the engine's hooks and periodic tasks.

        Args:
            engine: Whose breakers are stored.
            recovery_start: Has the disk, and the power loss that may have come before this start.
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
        """Destination, route and breaker of each route; where there are too many, those called last."""
        breakers = [
            (destination.number, route, breaker)
            for destination in self.engine.dispatcher.destinations.values()
            for route, breaker in (destination.breakers_by_route or {}).items()
        ]
        if len(breakers) <= MAX_BREAKERS:
            return breakers
        return heapq.nlargest(MAX_BREAKERS, breakers, key=last_sent)

    def load(self) -> dict[int, float]:
        """Reads what an earlier process stored.

        Returns:
            Seconds for which each destination must not be called, by its number.
        """
        snapshot = self.snapshots.read()
        if snapshot is None:
            return {}
        now = self.engine.now()
        self.loaded = restore_believed(*snapshot, self.recovery_start.conditions, now)
        waits = remaining_waits(self.loaded.breakers, now)
        log.info("learned state loaded: breakers=%d waits=%d", len(self.loaded.breakers), len(waits))
        return waits

    def messages_restored(self) -> None:
        """Gives the loaded breakers to the policy, before the engine's first iteration."""
        if self.loaded.breakers:
            self.engine.post(self.loaded)

    def retry_after_received(self, endpoint: str, delay_us: int) -> None:
        """Has the next write come at once: after a power loss nothing else would know of the wait."""
        self.snapshots.next_at_us = 0

    def start_due_write(self) -> None:
        """Starts a write in the background if one is due."""
        if write_snapshot := self.snapshots.step():
            self.engine.spawn(self.write(write_snapshot))

    async def write(self, write_snapshot: Callable[[], None]) -> None:
        """Runs a write beside the loop."""
        try:
            await self.recovery_start.disk.run(write_snapshot)
        except OSError as error:
            log.error("learned state not written: reason=%s", error)
        self.snapshots.write_finished()


def encode_breaker(breaker: object) -> dict[str, float]:
    """The fields of a breaker that are stored."""
    return export_fields(breaker, BREAKER_FIELDS)


def remaining_waits(breakers: Breakers, now_us: int) -> dict[int, float]:
    """Seconds for which each destination must not be called: the longest of its routes'."""
    waits: dict[int, float] = {}
    for number, _route, values in breakers:
        remaining_us = values.get("wait_until", 0) - now_us
        if remaining_us > 0:
            waits[number] = max(waits.get(number, 0.0), remaining_us / 1e6)
    return waits
