"""Reads a folder's journal for people, and makes a complete journal of a damaged one."""

import os
from pathlib import Path

from message_sender.journal.checkpoints import DecisiveDigest
from message_sender.journal.compaction import GUARD_FOLDER
from message_sender.journal.contents import JournalContents
from message_sender.journal.disk import SystemDisk
from message_sender.journal.process_journal import JOURNAL_FILE


class InspectedJournal(JournalContents):
    """A journal that is only read: nothing in the folder changes, and it may be in use.

    Attributes:
        has_checksums: Whether it has the format that survives a power loss.
    """

    def __init__(self, folder: Path) -> None:
        """Reads the journal in `folder`.

        Raises:
            OSError: There is none that can be read.
        """
        self.folder = folder
        self.limit_bytes = 0
        self.reserve_bytes = 0
        self.file = -1
        self.entries = {}
        self.size_bytes = 0
        self.live_bytes = 0
        self.clear_contents()
        data = (folder / JOURNAL_FILE).read_bytes()
        self.has_checksums = not data.startswith(b"{")
        if self.has_checksums:
            self.replay_checksummed(data)
        else:
            self.replay_process_format(data)

    def save(self, folder: Path) -> None:
        """Writes what was read as a complete journal into another folder.

        No record of the machine's boot goes with it: a start from it does not know how much time has passed.

        Raises:
            OSError: It cannot be written, or the folder has a journal.
        """
        (folder / GUARD_FOLDER).mkdir()
        with open(folder / JOURNAL_FILE, "xb") as file:
            file.write(self.snapshot(DecisiveDigest()))
            file.flush()
            os.fsync(file.fileno())
        SystemDisk().sync_folder(folder)
