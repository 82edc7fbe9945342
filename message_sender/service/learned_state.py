"""What a sender of our own has learned of its destinations, kept on its disk and taken up at its next start.
Imported only where the journal survives the machine."""

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


class LearnedState(EngineHooks):
    def __init__(self, engine: Engine, beginning: RecoveryStart, state: Path) -> None:
        self.engine, self.beginning = engine, beginning
        sync = beginning.sync_interval_s is not None
        self.snapshots = LearnedSnapshots(state, beginning.disk, self.known, told, engine.now, sync)
        self.inherited = InheritedState()
        engine.periodic_tasks.append(self.chore)
        engine.hooks.add(self)

    def known(self) -> list[KnownBreaker]:
        """Those that were called last, where there are too many."""
        found = [
            (at.number, route, each)
            for at in self.engine.dispatcher.destinations.values()
            for route, each in (at.breakers_by_route or {}).items()
        ]
        if len(found) <= MAX_BREAKERS:
            return found
        return heapq.nlargest(MAX_BREAKERS, found, key=lambda each: each[2].last_sent)

    def read(self) -> dict[int, float]:
        """At the start; the destinations that are to be left alone, and for how long, s."""
        if (found := self.snapshots.read()) is None:
            return {}
        now = self.engine.now()
        self.inherited = restore_believed(*found, self.beginning.conditions, now)
        waits = waiting(self.inherited.breakers, now)
        log.info("learned before: %d breakers, %d waits", len(self.inherited.breakers), len(waits))
        return waits

    def messages_restored(self) -> None:
        """Before the engine's first turn."""
        if self.inherited.breakers:
            self.engine.post(self.inherited)

    def retry_after_received(self, endpoint: str, delay_us: int) -> None:
        """Waits are put down at the next chance: nobody else could tell them after a power loss."""
        self.snapshots.next_at_us = 0

    def chore(self) -> None:
        if job := self.snapshots.step():
            self.engine.spawn(self.write(job))

    async def write(self, job: Callable[[], None]) -> None:
        try:
            await self.beginning.disk.run(job)
        except OSError as error:
            log.error("what was learned is not written: %s", error)
        self.snapshots.write_finished()


def told(breaker: object) -> dict[str, float]:
    return export_fields(breaker, BREAKER_FIELDS)


def waiting(breakers: Breakers, now: int) -> dict[int, float]:
    """s for which each destination is to be left alone."""
    found: dict[int, float] = {}
    for number, _, values in breakers:
        if (left := values.get("wait_until", 0) - now) > 0:
            found[number] = max(found.get(number, 0.0), left / 1e6)
    return found
