"""Group commit of the journal: when a sync starts, what its completion confirms, how a failure is handled.

- *One sync runs at a time*, outside the event loop. Records written while it runs share the next sync. The
  sync interval is the minimum time between the starts of two syncs, so the first sync after an idle period
  starts without delay.
- *Each completed sync is followed by a sync record*, whose frame says how much of the file is durable. It is
  written before callbacks report success, so the records of every answered message are proven durable even
  after the process has been killed. The sync record itself can be lost in a power loss until the next sync,
  at most `MAX_SYNC_DELAY_S` later. A sync that covers nothing but a sync record is not followed by another
  one, so that an idle journal is neither written nor synced.
- *A failed sync is never retried on the same file*: the kernel may have dropped the dirty pages, and a second
  sync would report success without having written them. All contents are written from memory to a new file;
  if that fails too, the journal accepts no new records until a retry succeeds.
"""

import asyncio
import logging
import math
from collections import deque
from collections.abc import Callable
from functools import partial

from message_sender.journal.checkpoints import frame_sync_record
from message_sender.journal.compaction import CompactingJournal, ReplacementFile

MAX_SYNC_DELAY_S = 0.05  # maximum delay of the sync of records without a waiting callback
RETRY_INTERVAL_S = 1.0  # between attempts to rewrite the journal after disk errors

log = logging.getLogger(__name__)

SyncCallback = Callable[[bool], None]


class SyncingJournal(CompactingJournal):
    """A compacting journal that syncs its file.

    Attributes:
        written_records: Number of records written since the start, without sync records.
        synced_records: Number of these records that are durable.
        is_sync_record_unsynced: Whether a sync record was written since the last sync began.
        waiters: Callbacks, each with the value of `written_records` that must be durable before its call.
        sync_timer: Timer of the next sync or of the next rewrite after a failure.
        failed_at_s: When the journal could not be rewritten, s on the loop's clock; None while it accepts
            records.
        last_sync_at_s: When the last sync began, s on the loop's clock.
        is_last_sync_failed: Whether the last sync failed and the next one syncs a rewritten file.
    """

    def clear_sync_state(self) -> None:
        """Initializes the state of a journal in which nothing has been written."""
        self.durable_bytes = 0
        self.digest = None
        self.written_records = 0
        self.synced_records = 0
        self.is_sync_record_unsynced = False
        self.waiters: deque[tuple[int, SyncCallback]] = deque()
        self.replacement = None
        self.sync_timer: asyncio.TimerHandle | None = None
        self.sync_task = None
        self.failed_at_s: float | None = None
        self.last_sync_at_s = -math.inf
        self.is_last_sync_failed = False

    def write_framed(self, framed: bytes, is_end: bool) -> bool:
        """Writes a framed record to the file; returns whether that succeeded.

        Args:
            framed: The record with its frame.
            is_end: Whether the record belongs to the end of a message, so that the ballast is released for it
                if the disk is full.
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

    # Start of a sync.

    def when_durable(self, callback: SyncCallback) -> None:
        """Calls `callback` with True once all records written so far are durable, with False on failure."""
        if self.failed_at_s is not None:
            callback(False)
        elif self.sync_interval_s is None or self.synced_records >= self.written_records:
            callback(True)
        else:
            self.waiters.append((self.written_records, callback))
            self.schedule_sync(self.delay_until_next_sync_s())

    def delay_until_next_sync_s(self) -> float:
        """Returns the time until the next sync may begin, in seconds."""
        next_at_s = self.last_sync_at_s + (self.sync_interval_s or 0.0)
        return max(next_at_s - asyncio.get_running_loop().time(), 0.0)

    def schedule_sync(self, within_s: float) -> None:
        """Schedules a sync to begin within `within_s` seconds."""
        if self.sync_interval_s is None or self.sync_task or self.file < 0:
            return  # a running sync schedules the next one when it completes
        loop = asyncio.get_running_loop()
        due = loop.time() + within_s
        if self.sync_timer:
            if self.sync_timer.when() <= due:
                return
            self.sync_timer.cancel()
        self.sync_timer = loop.call_at(due, self.begin_sync)

    def begin_sync(self) -> None:
        """Begins a sync now, unless one is already running."""
        self.sync_timer = None
        if self.sync_task is None and self.file >= 0:
            loop = asyncio.get_running_loop()
            self.last_sync_at_s = loop.time()
            self.sync_task = loop.create_task(self.run_sync())

    # Completion of a sync.

    async def run_sync(self) -> None:
        """Syncs the file, or installs the replacement if it is complete, and calls the waiting callbacks."""
        replacement = self.replacement if self.replacement and self.replacement.is_complete else None
        written_records = self.written_records
        covered_bytes = replacement.size_bytes if replacement else self.size_bytes
        self.is_sync_record_unsynced = False
        try:
            await self._sync_outside_loop(replacement)
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
            self.write_sync_record()
        self.synced_records = max(self.synced_records, written_records)
        while self.waiters and self.waiters[0][0] <= written_records:
            self.waiters.popleft()[1](True)
        if self._has_more_to_sync():
            self.schedule_sync(self.delay_until_next_sync_s() if self.waiters else MAX_SYNC_DELAY_S)

    async def _sync_outside_loop(self, replacement: ReplacementFile | None) -> None:
        if replacement is None:
            await self.disk.run(partial(self.disk.sync, self.file))
            return
        replacement.is_installing = True
        await self.disk.run(partial(self.install_replacement, replacement))
        if replacement.misses_record:
            raise OSError("a record is missing from the replacement file")

    def _has_more_to_sync(self) -> bool:
        if self.synced_records < self.written_records or self.is_sync_record_unsynced:
            return True
        return self.replacement is not None and self.replacement.is_complete

    def write_sync_record(self) -> None:
        """Records how much of the file is durable.

        If the record would exceed the size limit, it is omitted; the frame of the next record has the same
        information.
        """
        framed = frame_sync_record(self.durable_bytes, self.digest)
        if not self.exceeds_limit(self.size_bytes + len(framed)):
            self.is_sync_record_unsynced = self.write_framed(framed, is_end=False)

    # Failure of a sync.

    def handle_sync_failure(self, replacement: ReplacementFile | None, error: OSError) -> None:
        """Rewrites the journal to another file, or stops accepting; the same file is never synced again."""
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
        """Rejects all records until the journal can be rewritten; calls the waiting callbacks with False."""
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
        """Tries again to rewrite the journal; if that fails, no records are accepted until the next try."""
        self.sync_timer = None
        self.failed_at_s = None
        if self.file >= 0:
            self._rewrite_or_stop()
