"""Compaction of the journal: a replacement file is written from memory, and takes the old one's place.

- *A name never stands for less than was durable under it.* The replacement is written into NEXT_FILE, synced,
  and only then renamed; until then each record is written to both files, so that whichever a power loss
  leaves is complete. The folder is synced before anybody hears of it.
- *In steps* of `STEP_BYTES` in an iteration of the loop, so that nobody waits for all that is owed. A record
  of a message that is still pending goes to the old file alone: the message is written as it is then. Other
  records come behind all of these, so that messages keep the order in which they were accepted. The
  replacement is synced and renamed only once all is there. At a start, and after a failed sync, it is written
  at once.
- *A replacement that misses a record* is dropped before it is synced. Where that begins while it is being
  installed, it counts as a failed sync: it may have the name, and the next file is written from memory again.
- *The format refuses an older program*, which would read no record and begin with nothing: the folder
  GUARD_FOLDER stands where it deletes a file before anything else.
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
STEP_BYTES = 16 * 1024  # about a millisecond's work
BALLAST_BYTES = 64 * 1024  # the ends of some five hundred messages

log = logging.getLogger(__name__)


@dataclass(slots=True)
class ReplacementFile:
    """A file that is to take the journal's place.

    Attributes:
        file: Its descriptor.
        size_bytes: What was written to it.
        is_installed: It was synced, and may have the journal's name.
        is_complete: All that is owed is there.
        is_installing: `install_replacement` is running: nobody else may close it.
        misses_record: A record that came meanwhile could not be written to it.
        pending_ids: Messages that are not there yet.
        deferred_records: Records that come behind what is owed.
        digest: Of its records.
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
    """Contents with a file on a disk, and a second one while it is compacted.

    Attributes:
        step_bytes: What is written in an iteration of the loop.
        disk: The file layer.
        sync_interval_s: From the beginning of one sync to that of the next at least; None: nothing is synced.
        replacement: The file that is being written, if any.
        sync_task: The sync that is running, if any.
        durable_bytes: How much of the file is durable.
        digest: Of the file's records; None: it begins with records that were not counted.
    """

    step_bytes = STEP_BYTES
    disk: Disk
    sync_interval_s: float | None
    replacement: ReplacementFile | None
    sync_task: asyncio.Task[None] | None
    durable_bytes: int
    digest: DecisiveDigest | None

    def schedule_sync(self, within_s: float) -> None:
        """Lets a sync begin within so many seconds."""
        raise NotImplementedError

    def compact(self) -> bool:
        """Begins to compact the file. Returns whether it is compacted already."""
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
        """Opens an empty replacement; None: the disk refuses it."""
        try:
            self.replacement = ReplacementFile(self.disk.open(self.folder / NEXT_FILE, fresh=True))
        except OSError as error:
            log.error("journal not compacted: reason=%s", error)
            self.replacement = None
        return self.replacement

    def begin_complete_replacement(self) -> bool:
        """Writes a replacement with all contents at once; from now on each record goes to both files."""
        if self.replacement and self.replacement.is_complete:
            return True
        self.discard_replacement()
        if replacement := self.open_replacement():
            replacement.is_complete = self.write_replacement(replacement, self.snapshot(replacement.digest))
        return self.replacement is not None

    def write_step(self, replacement: ReplacementFile, parts: Iterator[bytes]) -> None:
        """Writes some more of the contents, and schedules the next step or the sync."""
        if self.replacement is not replacement or self.file < 0:
            return  # it was discarded meanwhile
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
        """Adds a record that came while the replacement is written; returns whether it will be there."""
        if replacement.is_complete:
            return self.write_replacement(replacement, record)
        replacement.deferred_records += record
        return True

    def write_replacement(self, replacement: ReplacementFile, data: bytes) -> bool:
        """Writes to the replacement, which is discarded where the disk refuses it."""
        try:
            self.disk.write(replacement.file, data)
        except OSError as error:
            log.error("journal not compacted: reason=%s", error)
            replacement.misses_record = True
            # While it is installed the end of that sees to it: it may have the journal's name already.
            if not replacement.is_installing:
                self.discard_replacement()
            return False
        replacement.size_bytes += len(data)
        return True

    def discard_replacement(self) -> None:
        """Drops the replacement, if there is one, with its file."""
        if self.replacement:
            self.disk.close(self.replacement.file)
            self.replacement = None
            with suppress(OSError):
                self.disk.unlink(self.folder / NEXT_FILE)

    # Installing.

    def install_replacement(self, replacement: ReplacementFile) -> None:
        """Syncs the replacement and gives it the journal's name; called away from the loop.

        From the first sync on, all that anybody heard of is in either file.
        """
        self.disk.sync(replacement.file)
        replacement.is_installed = True
        self.disk.replace(self.folder / NEXT_FILE, self.folder / JOURNAL_FILE)
        self.disk.sync_folder(self.folder)

    def switch_to(self, replacement: ReplacementFile, durable_bytes: int) -> None:
        """Goes on with an installed replacement, of which so many bytes are durable."""
        self.disk.close(self.file)
        self.file = replacement.file
        self.size_bytes = replacement.size_bytes
        self.digest = replacement.digest
        self.durable_bytes = durable_bytes
        self.replacement = None

    def rewrite_now(self) -> bool:
        """Writes and installs a replacement at once; for a start, when nobody waits."""
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

    # Room for ends.

    def create_ballast(self) -> None:
        """Writes the file that is given up where the disk is full."""
        with suppress(OSError):
            (self.folder / BALLAST_FILE).write_bytes(bytes(min(BALLAST_BYTES, self.limit_bytes // 16)))

    def release_ballast(self) -> bool:
        """Gives up the ballast, so that ends still go on record; False: there is none."""
        path = self.folder / BALLAST_FILE
        if not path.exists():
            return False
        path.unlink()
        log.warning("disk full, the journal uses its reserved space")
        return True
