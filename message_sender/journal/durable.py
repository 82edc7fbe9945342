"""The journal that survives a power loss: records with checksums, synced before the sender acts on them.

- *Syncs.* `when_durable` calls back once all records written before are on the disk. Only then does the
  engine perform the actions that depend on them: the 202 answer (`taken`), the first byte of an attempt that
  is not safe to repeat (`sent`), the delivery of a completion (`outcome`, `verdict`). An `end` record, or an
  outcome that no delivery waits for, becomes durable with the next sync. If it is lost, the recorded
  completion is delivered again, or the attempt counts as one that may have run.
- *Reserved space.* A ballast file is deleted when the disk is full, so that outcomes, completions and ends of
  accepted messages can still be recorded.

syncing.py schedules the syncs, contents.py interprets the records, compaction.py compacts the file.
"""

import logging
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from message_sender.journal import records
from message_sender.journal.compaction import ReplacementFile
from message_sender.journal.disk import Disk, SystemDisk
from message_sender.journal.entries import AttemptRecord, FinishedMessage, RecordedCompletion
from message_sender.journal.payloads import attempt_line, completion_line, end_line, outcome_line
from message_sender.journal.process_journal import JOURNAL_FILE
from message_sender.journal.syncing import MAX_SYNC_DELAY_S, SyncingJournal
from message_sender.policy.model import Outcome

DAMAGED_FILE = "journal.damaged"

log = logging.getLogger(__name__)


def unknown_time_us() -> int:
    """Default clock of a journal without a wall clock; 0 means that the time is unknown."""
    return 0


def keep_replayed_state(journal: "DurableJournal") -> None:
    """Default of `on_replayed`: leaves the replayed state unchanged."""


class DurableJournal(SyncingJournal):
    """A journal that survives a power loss.

    Attributes:
        boot_id: Identifies the current boot of the machine.
        clock: The wall clock, us.
        on_replayed: Called after the replay, before the state is written to a new file; reduces the replayed
            state to what can still be trusted.
    """

    is_durable = True

    def __init__(
        self,
        folder: Path,
        limit_bytes: int,
        sync_interval_s: float | None = 0.005,
        disk: Disk | None = None,
        boot_id: str = "",
        clock: Callable[[], int] = unknown_time_us,
        on_replayed: Callable[["DurableJournal"], None] = keep_replayed_state,
    ) -> None:
        """Opens and replays the journal, and rewrites it to a new file.

        Args:
            folder: The state folder.
            limit_bytes: Maximum disk space of the journal's files.
            sync_interval_s: Minimum time between the starts of two syncs; None disables syncing.
            disk: The file layer; None selects the operating system's files.
            boot_id: Identifies the current boot of the machine.
            clock: The wall clock, us.
            on_replayed: Called after the replay, before the state is written to a new file; reduces the
                replayed state to what can still be trusted.

        Raises:
            OSError: The folder cannot be used.
        """
        self.disk = disk or SystemDisk()
        self.sync_interval_s = sync_interval_s
        self.boot_id = boot_id
        self.clock = clock
        self.on_replayed = on_replayed
        self.clear_contents()
        self.clear_sync_state()
        super().__init__(folder, limit_bytes)

    def open_file(self) -> int:
        """Opens the journal file through the file layer."""
        return self.disk.open(self.folder / JOURNAL_FILE)

    def replay(self) -> None:
        """Replays a file of either format, and writes the trusted state to a new file.

        Raises:
            OSError: The file cannot be read, or it has another format and no new file can be written.
        """
        data = self.disk.read(self.folder / JOURNAL_FILE)
        if data.startswith(b"{"):
            self.replay_process_format(data)
        else:
            self.replay_checksummed(data)
        if self.previous_run.damage:
            with suppress(OSError):  # the copy is for operators only; start-up continues without it
                (self.folder / DAMAGED_FILE).write_bytes(data)
        self.on_replayed(self)
        self.run_records.append({"began": self.boot_id, "at": max(self.clock(), self.latest_us)})
        if self.rewrite_now() or (self.release_ballast() and self.rewrite_now()):
            return
        if not data.startswith(b"2"):
            raise OSError(f"the journal in {self.folder} cannot be rewritten in the durable format")
        # The old file stays in use, although there may be no room for new records.
        self.size_bytes = len(data) - self.previous_run.dropped_bytes
        self.disk.truncate(self.file, self.size_bytes)

    # Appending.

    def append(
        self, record: bytes, is_end: bool = False, message_id: str = "", is_decisive: bool = False
    ) -> bool:
        """Appends a record to the file, and to the replacement during a compaction.

        Args:
            record: The payload with its line end.
            is_end: Whether the record belongs to the end of a message, so that the ballast is released for it
                if the disk is full.
            message_id: Id of the message, if the message was already recorded before.
            is_decisive: Whether the message could be sent again if the record were lost (checkpoints.py).

        Returns:
            Whether the record was written.
        """
        if self.failed_at_s is not None:
            return False
        framed = records.frame_record(record[:-1], self.durable_bytes)
        if self.exceeds_limit(self.size_bytes + len(framed)):
            self.compact()
            if not is_end:
                log.error("journal full: needed_bytes=%d", len(framed))
                return False
        if not self.write_framed(framed, is_end):
            return False
        if is_decisive and self.digest:
            self.digest.add(message_id)
        if (replacement := self.replacement) and message_id not in replacement.pending_ids:
            self._copy_to_replacement(replacement, record, message_id, is_decisive)
        self.written_records += 1
        self.schedule_sync(MAX_SYNC_DELAY_S)
        return True

    def _copy_to_replacement(
        self, replacement: ReplacementFile, record: bytes, message_id: str, is_decisive: bool
    ) -> None:
        # No byte of the replacement is durable yet, so the durable size in its frames is 0.
        framed = records.frame_record(record[:-1], 0)
        if self.append_to_replacement(replacement, framed) and is_decisive:
            replacement.digest.add(message_id)

    def record_attempt(self, message_id: str, number: int, attempt: AttemptRecord) -> bool:
        """Records the start of an attempt; returns whether the record was written."""
        self.latest_us = max(self.latest_us, attempt.started_us)
        record = attempt_line(message_id, number, attempt)
        if not self.append(record, message_id=message_id, is_decisive=True):
            return False
        self.entries[message_id].attempts[number] = attempt
        self.add_record_size(message_id, len(record) + records.FRAME_BYTES)
        return True

    def record_outcome(self, message_id: str, number: int, outcome: Outcome) -> None:
        """Records the outcome of an attempt."""
        entry = self.entries[message_id]
        if attempt := entry.attempts.get(number):
            attempt.outcome = outcome
            record = outcome_line(message_id, number, outcome)
            if self.append(record, is_end=True, message_id=message_id):
                self.add_record_size(message_id, len(record) + records.FRAME_BYTES)

    def record_completion(self, message_id: str, state: str, retry_after_us: int) -> bool:
        """Records a completion before it is delivered; returns whether the file has or will have it."""
        entry, completion = self.entries[message_id], RecordedCompletion(state, retry_after_us)
        if entry.completion == completion:
            return self.failed_at_s is None  # written before a sync failed, and again with the new file
        record = completion_line(message_id, state, retry_after_us)
        if not self.append(record, is_end=True, message_id=message_id, is_decisive=True):
            return False
        entry.completion = completion
        self.add_record_size(message_id, len(record) + records.FRAME_BYTES)
        return True

    def record_end(self, message_id: str, state: str = "") -> None:
        """Records that a message has finished, and keeps its id in `finished`."""
        entry = self.entries.pop(message_id)
        self.live_bytes -= entry.size_bytes
        finished = FinishedMessage(self.clock(), state, entry.message.key)
        self.remember_finished(message_id, finished)
        if self.replacement:
            self.replacement.pending_ids.pop(message_id, None)  # its end record replaces all others
        self.append(end_line(message_id, finished), is_end=True)
        self.compact_if_worthwhile()

    def has_room_for(self, record_bytes: int) -> bool:
        """Whether the journal accepts records and has room for those of a new message."""
        return self.failed_at_s is None and super().has_room_for(record_bytes + records.FRAME_BYTES)

    # Closing.

    def release(self) -> None:
        """Closes the file without recording a clean stop, as if the process had been killed."""
        if self.file >= 0:
            self.disk.close(self.file)
        self.file = -1

    def close(self) -> None:
        """Records a clean stop, syncs the file and closes it."""
        if self.file < 0:
            return
        self.disk.finish()
        is_complete = True
        if (replacement := self.replacement) and replacement.is_installed:
            self.switch_to(replacement, 0)
            is_complete = not replacement.misses_record or self.rewrite_now()
        self.discard_replacement()
        if is_complete and self.failed_at_s is None:
            self._record_clean_stop()
        if self.sync_task:
            self.sync_task.cancel()
        if self.sync_timer:
            self.sync_timer.cancel()
        self.release()

    def _record_clean_stop(self) -> None:
        self.write_sync_record()  # its digest also covers the records that are not synced yet
        try:
            if self.append(b'{"closed":1,"at":%d}\n' % self.clock()):
                self.disk.sync(self.file)
        except OSError as error:
            log.error("journal not closed cleanly: reason=%s", error)
