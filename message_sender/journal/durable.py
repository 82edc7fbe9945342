"""The journal that survives a power loss: checked records, synced before anything is done on their strength.

- *What a sync guards.* `when_durable` calls back once all that was written before is on the disk, and the
  engine does then, and not before, what rests on it: the 202 (`taken`), the first byte of an attempt whose
  effect is not safe (`sent`), the delivery of a completion (`outcome`, `verdict`). An end's own record and an
  outcome that nobody waits for go with the next sync: lost, the recorded completion is delivered again, or
  the attempt counts as may have run.
- *Room for ends.* A ballast is given up where the disk is full, so that ends still go on record.

When syncs begin is in syncing.py, what the records mean in contents.py, compaction in compaction.py.
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
    """A wall clock that is not known."""
    return 0


def trust_everything(journal: "DurableJournal") -> None:
    """Leaves what was replayed as it is."""


class DurableJournal(SyncingJournal):
    """A journal on a disk that is synced.

    Attributes:
        boot_id: Names the machine's boot.
        clock: The wall clock, us.
        on_replayed: Changes what was read to what is believed of it, before that is put on record.
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
        on_replayed: Callable[["DurableJournal"], None] = trust_everything,
    ) -> None:
        """Opens and replays the journal, and writes it into a new file.

        Args:
            folder: The state folder.
            limit_bytes: What its files may take on the disk.
            sync_interval_s: Between the beginnings of two syncs at least; None: nothing is ever synced.
            disk: The file layer; None: the operating system's.
            boot_id: Names the machine's boot.
            clock: The wall clock, us.
            on_replayed: Changes what was read to what is believed of it, before that is put on record.

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
        """Opens the file."""
        return self.disk.open(self.folder / JOURNAL_FILE)

    def replay(self) -> None:
        """Reads the file in either format, and writes what is believed of it into a new one.

        Raises:
            OSError: The file cannot be read, or has the process format and cannot be converted.
        """
        data = self.disk.read(self.folder / JOURNAL_FILE)
        if data.startswith(b"{"):
            self.replay_process_format(data)
        else:
            self.replay_checksummed(data)
        if self.previous_run.damage:
            with suppress(OSError):  # a copy for people; the start goes on without it
                (self.folder / DAMAGED_FILE).write_bytes(data)
        self.on_replayed(self)
        self.run_records.append({"began": self.boot_id, "at": max(self.clock(), self.latest_us)})
        if self.rewrite_now() or (self.release_ballast() and self.rewrite_now()):
            return
        if not data.startswith(b"2"):
            raise OSError(f"the journal in {self.folder} cannot be rewritten")
        self.size_bytes = (
            len(data) - self.previous_run.dropped_bytes
        )  # it goes on as it is; nothing new may fit
        self.disk.truncate(self.file, self.size_bytes)

    # Append.

    def append(
        self, record: bytes, is_end: bool = False, message_id: str = "", is_decisive: bool = False
    ) -> bool:
        """Appends a record to the file, and to the replacement while one is written.

        Args:
            record: Its payload, with a line end.
            is_end: It belongs to the end of a message, for which the ballast is given up.
            message_id: The message, where it has been on record for a while.
            is_decisive: Lost, the message could run again (checkpoints.py).
        """
        if self.failed_at_s is not None:
            return False
        framed = records.frame_record(record[:-1], self.durable_bytes)
        if self.exceeds_limit(self.size_bytes + len(framed)):
            self.compact()
            if not is_end:
                log.error("journal full: record_bytes=%d", len(framed))
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
        # Nothing of that file has been durable yet, and its marks say so.
        framed = records.frame_record(record[:-1], 0)
        if self.append_to_replacement(replacement, framed) and is_decisive:
            replacement.digest.add(message_id)

    def record_attempt(self, message_id: str, number: int, attempt: AttemptRecord) -> bool:
        """Puts the start of an attempt on record."""
        self.latest_us = max(self.latest_us, attempt.started_us)
        record = attempt_line(message_id, number, attempt)
        if not self.append(record, message_id=message_id, is_decisive=True):
            return False
        self.entries[message_id].attempts[number] = attempt
        self.add_record_size(message_id, len(record) + records.FRAME_BYTES)
        return True

    def record_outcome(self, message_id: str, number: int, outcome: Outcome) -> None:
        """Puts the outcome of an attempt on record."""
        entry = self.entries[message_id]
        if attempt := entry.attempts.get(number):
            attempt.outcome = outcome
            record = outcome_line(message_id, number, outcome)
            if self.append(record, is_end=True, message_id=message_id):
                self.add_record_size(message_id, len(record) + records.FRAME_BYTES)

    def record_completion(self, message_id: str, state: str, retry_after_us: int) -> None:
        """Puts a completion on record before it is delivered."""
        if entry := self.entries.get(message_id):
            entry.completion = RecordedCompletion(state, retry_after_us)
            record = completion_line(message_id, state, retry_after_us)
            if self.append(record, is_end=True, message_id=message_id, is_decisive=True):
                self.add_record_size(message_id, len(record) + records.FRAME_BYTES)

    def record_end(self, message_id: str, state: str = "") -> None:
        """Puts on record that a message is over, and keeps its id for a while."""
        entry = self.entries.pop(message_id)
        self.live_bytes -= entry.size_bytes
        finished = FinishedMessage(self.clock(), state, entry.message.key)
        self.remember_finished(message_id, finished)
        if self.replacement:
            self.replacement.pending_ids.pop(message_id, None)  # the record of its end tells all
        self.append(end_line(message_id, finished), is_end=True)
        self.compact_if_worthwhile()

    def has_room_for(self, record_bytes: int) -> bool:
        """Whether a new message fits, and the disk takes it."""
        return self.failed_at_s is None and super().has_room_for(record_bytes + records.FRAME_BYTES)

    # The end.

    def release(self) -> None:
        """Lets go of the file as the end of the process would."""
        if self.file >= 0:
            self.disk.close(self.file)
        self.file = -1

    def close(self) -> None:
        """Puts a clean stop on record, durably."""
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
        self.write_proof()  # its digest covers what was not synced yet
        try:
            if self.append(b'{"closed":1,"at":%d}\n' % self.clock()):
                self.disk.sync(self.file)
        except OSError as error:
            log.error("journal not closed cleanly: reason=%s", error)
