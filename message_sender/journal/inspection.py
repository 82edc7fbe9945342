"""Read-only inspection of a folder's journal, and repair of a damaged one into another folder."""

import os
from pathlib import Path

from message_sender.journal.checkpoints import DecisiveDigest
from message_sender.journal.compaction import GUARD_FOLDER
from message_sender.journal.contents import JournalContents
from message_sender.journal.disk import SystemDisk
from message_sender.journal.process_journal import JOURNAL_FILE


class InspectedJournal(JournalContents):
    """A read-only journal: its folder is never changed, and may be in use by a sender.

    Attributes:
        has_checksums: Whether the file has the durable journal's format.
    """

    def __init__(self, folder: Path) -> None:
        """Reads the journal in `folder`.

        Raises:
            OSError: There is no journal, or it cannot be read.
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
        """Writes the replayed state as a complete journal to another folder.

        The machine's boot is not recorded, so a process that starts from the copy does not know how much time
        has passed.

        Raises:
            OSError: The journal cannot be written, or the folder already has one.
        """
        (folder / GUARD_FOLDER).mkdir()
        with open(folder / JOURNAL_FILE, "xb") as file:
            file.write(self.snapshot(DecisiveDigest()))
            file.flush()
            os.fsync(file.fileno())
        SystemDisk().sync_folder(folder)
