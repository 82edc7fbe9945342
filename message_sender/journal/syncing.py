"""Group syncs of the journal: when a sync begins, what its end confirms, what follows a failed one.

- *One sync at a time*, away from the loop. What comes while one is running shares the next one. The sync
  interval is the least time from the beginning of one to that of the next: the first one after a rest waits
  for nobody.
- *A finished sync leaves its proof*, a record whose mark says how much of the file is durable, before anybody
  hears of the sync. So what was answered is proven also after the process has ended; a power loss can take
  the proof until the next sync, `MAX_SYNC_DELAY_S` later at the latest. A sync that covers nothing but a
  proof leaves none: a journal at rest is written and synced no more.
- *A failed sync is never tried again on the same pages*: the system may have dropped them and call the next
  one good. Everything is written again from memory; while that fails too, nothing new is accepted.
"""

import asyncio
import logging
import math
from collections import deque
from collections.abc import Callable
from functools import partial

from message_sender.journal.checkpoints import frame_proof
from message_sender.journal.compaction import CompactingJournal, ReplacementFile

MAX_SYNC_DELAY_S = 0.05  # after which what nobody waits for is synced too
RETRY_INTERVAL_S = 1.0  # between tries to write the journal again where the disk fails

log = logging.getLogger(__name__)

SyncCallback = Callable[[bool], None]


class SyncingJournal(CompactingJournal):
    """A compacting journal with its syncs.

    Attributes:
        written_records: Ever written, without proofs.
        synced_records: Of these, durable.
        is_proof_unsynced: A proof was written since the last sync began.
        waiters: Callbacks, each with the number of written records that it waits for.
        sync_timer: Begins the next sync, or the next try.
        failed_at_s: The loop's clock: when the journal could not be written again; None: it takes records.
        last_sync_at_s: The loop's clock: when the last sync began.
        is_last_sync_failed: The next sync is of a file that is written again.
    """

    def clear_sync_state(self) -> None:
        """Begins with nothing written."""
        self.durable_bytes = 0
        self.digest = None
        self.written_records = 0
        self.synced_records = 0
        self.is_proof_unsynced = False
        self.waiters: deque[tuple[int, SyncCallback]] = deque()
        self.replacement = None
        self.sync_timer: asyncio.TimerHandle | None = None
        self.sync_task = None
        self.failed_at_s: float | None = None
        self.last_sync_at_s = -math.inf
        self.is_last_sync_failed = False

    def write_framed(self, framed: bytes, is_end: bool) -> bool:
        """Writes a framed record to the file.

        Args:
            framed: The record.
            is_end: It belongs to the end of a message: the ballast is given up for it.
        """
        try:
            self.disk.write(self.file, framed)
        except OSError as error:
            log.error("journal write failed: reason=%s", error)
            if not (is_end and self.release_ballast()):
                return False
            return self.write_framed(framed, False)
        self.size_bytes += len(framed)
        return True

    # When a sync begins.

    def when_durable(self, callback: SyncCallback) -> None:
        """Calls `callback` once all that was written so far is durable; with False, if that failed."""
        if self.failed_at_s is not None:
            callback(False)
        elif self.sync_interval_s is None or self.synced_records >= self.written_records:
            callback(True)
        else:
            self.waiters.append((self.written_records, callback))
            self.schedule_sync(self.delay_until_next_sync_s())

    def delay_until_next_sync_s(self) -> float:
        """Returns the time until the next sync may begin, s."""
        next_at_s = self.last_sync_at_s + (self.sync_interval_s or 0.0)
        return max(next_at_s - asyncio.get_running_loop().time(), 0.0)

    def schedule_sync(self, within_s: float) -> None:
        """Lets a sync begin within so many seconds."""
        if self.sync_interval_s is None or self.sync_task or self.file < 0:
            return  # the end of the one that is running begins the next
        loop = asyncio.get_running_loop()
        due = loop.time() + within_s
        if self.sync_timer:
            if self.sync_timer.when() <= due:
                return
            self.sync_timer.cancel()
        self.sync_timer = loop.call_at(due, self.begin_sync)

    def begin_sync(self) -> None:
        """Begins a sync now, unless one is running."""
        self.sync_timer = None
        if self.sync_task is None and self.file >= 0:
            loop = asyncio.get_running_loop()
            self.last_sync_at_s = loop.time()
            self.sync_task = loop.create_task(self.run_sync())

    # What its end confirms.

    async def run_sync(self) -> None:
        """Syncs the file, or installs the replacement if it is complete."""
        replacement = self.replacement if self.replacement and self.replacement.is_complete else None
        written_records = self.written_records
        covered_bytes = replacement.size_bytes if replacement else self.size_bytes
        self.is_proof_unsynced = False
        try:
            await self._sync_away_from_loop(replacement)
        except OSError as error:
            self.sync_task = None
            self.handle_sync_failure(replacement, error)
            return
        self.sync_task = None
        if replacement:
            self.switch_to(replacement, covered_bytes)
        self.durable_bytes = covered_bytes
        self.is_last_sync_failed = False
        if replacement or written_records > self.synced_records:
            self.write_proof()
        self.synced_records = max(self.synced_records, written_records)
        while self.waiters and self.waiters[0][0] <= written_records:
            self.waiters.popleft()[1](True)
        if self._has_more_to_sync():
            self.schedule_sync(self.delay_until_next_sync_s() if self.waiters else MAX_SYNC_DELAY_S)

    async def _sync_away_from_loop(self, replacement: ReplacementFile | None) -> None:
        if replacement is None:
            await self.disk.run(partial(self.disk.sync, self.file))
            return
        replacement.is_installing = True
        await self.disk.run(partial(self.install_replacement, replacement))
        if replacement.misses_record:
            raise OSError("a record is missing from the replacement file")

    def _has_more_to_sync(self) -> bool:
        if self.synced_records < self.written_records or self.is_proof_unsynced:
            return True
        return self.replacement is not None and self.replacement.is_complete

    def write_proof(self) -> None:
        """Puts on record how much of the file is durable; without room the next record's mark says it."""
        proof = frame_proof(self.durable_bytes, self.digest)
        if not self.exceeds_limit(self.size_bytes + len(proof)):
            self.is_proof_unsynced = self.write_framed(proof, is_end=False)

    # What follows a failed one.

    def handle_sync_failure(self, replacement: ReplacementFile | None, error: OSError) -> None:
        """Writes everything into another file: the same pages are not synced again."""
        log.error("journal sync failed: reason=%s", error)
        if replacement and replacement.is_installed:
            self.switch_to(replacement, 0)
        elif replacement:
            self.discard_replacement()
        if self.is_last_sync_failed:
            self.stop_accepting()
        else:
            self._rewrite_or_stop()

    def _rewrite_or_stop(self) -> None:
        if not self.begin_complete_replacement():
            self.stop_accepting()
            return
        self.is_last_sync_failed = True
        self.begin_sync()

    def stop_accepting(self) -> None:
        """Refuses all records until the journal can be written again; tells those who wait."""
        loop = asyncio.get_running_loop()
        self.failed_at_s = loop.time()
        self.is_last_sync_failed = False
        self.discard_replacement()
        log.error("journal not durable, no messages are accepted: retry_in_s=%.0f", RETRY_INTERVAL_S)
        waiters, self.waiters = self.waiters, deque()
        for _, callback in waiters:
            callback(False)
        self.sync_timer = loop.call_later(RETRY_INTERVAL_S, self.retry_rewrite)

    def retry_rewrite(self) -> None:
        """Tries again to write the journal."""
        self.sync_timer = None
        self.failed_at_s = None
        if self.file >= 0:
            self._rewrite_or_stop()
