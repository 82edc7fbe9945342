"""Compaction of the journal: a replacement file is written from memory and renamed over the old file.

- *The file named JOURNAL_FILE never holds less than was durable under that name.* The replacement is written
  to NEXT_FILE, synced, and only then renamed. Until then each record is written to both files, so that either
  file is complete after a power loss. The folder is synced before callbacks report success.
- *The replacement is written in steps* of `STEP_BYTES` per loop iteration, so that no other work has to wait
  until all unfinished messages are written. While a message is still in `pending_ids`, new records of it go
  to the old file only, because the message is written later with its state at that time. Other records are
  deferred until all messages are written, so that messages keep the order in which they were accepted. The
  replacement is synced and renamed only once it is complete. At start-up and after a failed sync, it is
  written in one go.
- *A replacement that misses a record* is dropped before it is synced. If the write fails while the
  replacement is being installed, this counts as a failed sync: the file may already have the journal's name,
  and the next file is written from memory again.
- *Older versions refuse to open this format*; otherwise they would find no record that they can read and
  start with an empty journal. They delete the file GUARD_FOLDER before they open the journal; a folder of
  that name makes the deletion fail.
"""

import asyncio
import logging
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass, field

from message_sender.journal.checkpoints import DecisiveDigest, frame_header
from message_sender.journal.contents import JournalContents
from message_sender.journal.disk import Disk
from message_sender.journal.process_journal import COMPACTED_FILE, JOURNAL_FILE

GUARD_FOLDER = COMPACTED_FILE
NEXT_FILE = "journal.next"
BALLAST_FILE = "journal.room"
STEP_BYTES = 16 * 1024  # takes about 1 ms to write
BALLAST_BYTES = 64 * 1024  # room for the end records of about 500 messages

log = logging.getLogger(__name__)


@dataclass(slots=True)
class ReplacementFile:
    """A file that will replace the journal file.

    Attributes:
        file: File descriptor.
        size_bytes: Number of bytes written to the file.
        is_installed: Whether the file has been synced, so that it may have the journal's name.
        is_complete: Whether all unfinished messages, and the records deferred until then, are in the file.
        is_installing: Whether `install_replacement` is running; the file must not be closed meanwhile.
        misses_record: Whether a record that was added meanwhile could not be written to the file.
        pending_ids: Ids of the unfinished messages that are not in the file yet.
        deferred_records: Records to write after all unfinished messages.
        digest: Digest of the records in the file.
    """

    file: int
    size_bytes: int = 0
    is_installed: bool = False
    is_complete: bool = False
    is_installing: bool = False
    misses_record: bool = False
    pending_ids: dict[str, None] = field(default_factory=dict)
    deferred_records: bytearray = field(default_factory=bytearray)
    digest: DecisiveDigest = field(default_factory=DecisiveDigest)


class CompactingJournal(JournalContents):
    """Journal contents in a file, with a second file during compaction.

    Attributes:
        step_bytes: Number of bytes to write to a replacement per loop iteration.
        disk: The file layer.
        sync_interval_s: Minimum time between the starts of two syncs, s; None disables syncing.
        replacement: The replacement file that is being written, if any.
        sync_task: The running sync, if any.
        durable_bytes: How many bytes of the file are durable.
        digest: Digest of the file's records; None if the file begins with records that were not counted.
    """

    step_bytes = STEP_BYTES
    disk: Disk
    sync_interval_s: float | None
    replacement: ReplacementFile | None
    sync_task: asyncio.Task[None] | None
    durable_bytes: int
    digest: DecisiveDigest | None

    def schedule_sync(self, within_s: float) -> None:
        """Schedules a sync to begin within `within_s` seconds."""
        raise NotImplementedError

    def compact(self) -> bool:
        """Starts a compaction, if possible; returns whether it has already completed."""
        if self.file < 0 or self.sync_task or self.replacement or self.size_bytes <= self.live_bytes:
            return False
        if self.sync_interval_s is None:
            return self.rewrite_now()
        if self.exceeds_limit(self.size_bytes, self.live_bytes):
            return False
        if replacement := self.open_replacement():
            replacement.pending_ids = dict.fromkeys(self.entries)
            self.write_step(replacement, self.snapshot_parts(replacement.pending_ids, replacement.digest))
        return False

    # Writing.

    def open_replacement(self) -> ReplacementFile | None:
        """Opens an empty replacement file; returns None if that fails."""
        try:
            self.replacement = ReplacementFile(self.disk.open(self.folder / NEXT_FILE, fresh=True))
        except OSError as error:
            log.error("journal not compacted: reason=%s", error)
            self.replacement = None
        return self.replacement

    def begin_complete_replacement(self) -> bool:
        """Writes a replacement with all contents in one go; from now on each record goes to both files.

        Returns:
            Whether there is a replacement file now.
        """
        if self.replacement and self.replacement.is_complete:
            return True
        self.discard_replacement()
        if replacement := self.open_replacement():
            replacement.is_complete = self.write_replacement(replacement, self.snapshot(replacement.digest))
        return self.replacement is not None

    def write_step(self, replacement: ReplacementFile, parts: Iterator[bytes]) -> None:
        """Writes the next `step_bytes` of the contents, then schedules the next step or the sync."""
        if self.replacement is not replacement or self.file < 0:
            return  # the replacement was discarded or the journal released since the last step
        data = bytearray()
        while len(data) < self.step_bytes and not replacement.is_complete:
            part = next(parts, None)
            if part is None:
                replacement.is_complete = True
                data += replacement.deferred_records
                part = frame_header(replacement.size_bytes + len(data), replacement.digest)
            data += part
        if not self.write_replacement(replacement, bytes(data)):
            return
        if replacement.is_complete:
            self.schedule_sync(0.0)
        else:
            asyncio.get_running_loop().call_soon(self.write_step, replacement, parts)

    def append_to_replacement(self, replacement: ReplacementFile, record: bytes) -> bool:
        """Writes or defers a record added during compaction; returns whether the replacement will hold it."""
        if replacement.is_complete:
            return self.write_replacement(replacement, record)
        replacement.deferred_records += record
        return True

    def write_replacement(self, replacement: ReplacementFile, data: bytes) -> bool:
        """Writes to the replacement; returns False and discards the replacement if the write fails."""
        try:
            self.disk.write(replacement.file, data)
        except OSError as error:
            log.error("journal not compacted: reason=%s", error)
            replacement.misses_record = True
            # While it is being installed, the file may already have the journal's name: the code that waits
            # for the installation handles the missing record.
            if not replacement.is_installing:
                self.discard_replacement()
            return False
        replacement.size_bytes += len(data)
        return True

    def discard_replacement(self) -> None:
        """Closes and removes the replacement file, if there is one."""
        if self.replacement:
            self.disk.close(self.replacement.file)
            self.replacement = None
            with suppress(OSError):
                self.disk.unlink(self.folder / NEXT_FILE)

    # Installing.

    def install_replacement(self, replacement: ReplacementFile) -> None:
        """Syncs the replacement and renames it over the journal file; runs outside the event loop.

        From the first sync on, every record that was reported as durable is in both files.
        """
        self.disk.sync(replacement.file)
        replacement.is_installed = True
        self.disk.replace(self.folder / NEXT_FILE, self.folder / JOURNAL_FILE)
        self.disk.sync_folder(self.folder)

    def switch_to(self, replacement: ReplacementFile, durable_bytes: int) -> None:
        """Makes an installed replacement the journal file; its first `durable_bytes` bytes are durable."""
        self.disk.close(self.file)
        self.file = replacement.file
        self.size_bytes = replacement.size_bytes
        self.digest = replacement.digest
        self.durable_bytes = durable_bytes
        self.replacement = None

    def rewrite_now(self) -> bool:
        """Writes and installs a replacement synchronously; for start-up and shutdown, when no work waits.

        Returns:
            Whether the journal file has been replaced.
        """
        if not self.begin_complete_replacement():
            return False
        assert self.replacement
        try:
            (self.folder / GUARD_FOLDER).mkdir(exist_ok=True)
            if self.sync_interval_s is None:
                self.disk.replace(self.folder / NEXT_FILE, self.folder / JOURNAL_FILE)
            else:
                self.disk.sync_folder(self.folder)
                self.install_replacement(self.replacement)
            self.create_ballast()
        except OSError as error:
            log.error("journal not rewritten: reason=%s", error)
            self.discard_replacement()
            return False
        durable_bytes = 0 if self.sync_interval_s is None else self.replacement.size_bytes
        self.switch_to(self.replacement, durable_bytes)
        return True

    # Reserved space.

    def create_ballast(self) -> None:
        """Writes the ballast file, whose space is released when the disk is full."""
        with suppress(OSError):
            (self.folder / BALLAST_FILE).write_bytes(bytes(min(BALLAST_BYTES, self.limit_bytes // 16)))

    def release_ballast(self) -> bool:
        """Deletes the ballast file to make room for end records; returns False if there is none."""
        path = self.folder / BALLAST_FILE
        if not path.exists():
            return False
        path.unlink()
        log.warning("disk full, the journal uses its reserved space")
        return True
