"""What a sender of our own has learned of its destinations, kept on its disk and taken up at its next start.
Imported only where the journal survives the machine."""

import heapq
import logging
from collections.abc import Callable
from pathlib import Path

from message_sender.core.engine import Engine
from message_sender.core.hooks import EngineHooks
from message_sender.policy.events import InheritedState
from message_sender.policy.state_transfer import BREAKER, fields
from message_sender.recovery.learned_snapshot import MOST, Breakers, Known, LearnedSnapshots, believed
from message_sender.recovery.startup import RecoveryStart

log = logging.getLogger(__name__)


class LearnedState(EngineHooks):
    def __init__(self, engine: Engine, beginning: RecoveryStart, state: Path) -> None:
        self.engine, self.recovery_start = engine, beginning
        sync = beginning.gather is not None
        self.snapshots = LearnedSnapshots(
            state, beginning.disk, self.list_breakers, encode_breaker, engine.now, sync
        )
        self.loaded = InheritedState()
        engine.periodic_tasks.append(self.start_due_write)
        engine.hooks.add(self)

    def list_breakers(self) -> list[Known]:
        """Those that were called last, where there are too many."""
        found = [
            (at.number, route, each)
            for at in self.engine.dispatcher.destinations.values()
            for route, each in (at.own or {}).items()
        ]
        if len(found) <= MOST:
            return found
        return heapq.nlargest(MOST, found, key=lambda each: each[2].last_sent)

    def load(self) -> dict[int, float]:
        """At the start; the destinations that are to be left alone, and for how long, s."""
        if (found := self.snapshots.read()) is None:
            return {}
        now = self.engine.now()
        self.loaded = believed(*found, self.recovery_start.start, now)
        waits = remaining_waits(self.loaded.breakers, now)
        log.info("learned before: %d breakers, %d waits", len(self.loaded.breakers), len(waits))
        return waits

    def messages_restored(self) -> None:
        """Before the engine's first turn."""
        if self.loaded.breakers:
            self.engine.post(self.loaded)

    def retry_after_received(self, endpoint: str, delay_us: int) -> None:
        """Waits are put down at the next chance: nobody else could tell them after a power loss."""
        self.snapshots.next_at = 0

    def start_due_write(self) -> None:
        if job := self.snapshots.tick():
            self.engine.spawn(self.write(job))

    async def write(self, job: Callable[[], None]) -> None:
        try:
            await self.recovery_start.disk.run(job)
        except OSError as error:
            log.error("what was learned is not written: %s", error)
        self.snapshots.wrote()


def encode_breaker(breaker: object) -> dict[str, float]:
    return fields(breaker, BREAKER)


def remaining_waits(breakers: Breakers, now: int) -> dict[int, float]:
    """s for which each destination is to be left alone."""
    found: dict[int, float] = {}
    for number, _, values in breakers:
        if (left := values.get("wait_until", 0) - now) > 0:
            found[number] = max(found.get(number, 0.0), left / 1e6)
    return found
