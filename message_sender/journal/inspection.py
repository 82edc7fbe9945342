"""What a folder's journal holds, for people; and a whole journal made of a damaged one."""

import os
from pathlib import Path

from message_sender.journal.checkpoints import Tally
from message_sender.journal.compaction import GUARD
from message_sender.journal.contents import JournalContents
from message_sender.journal.disk import SystemDisk
from message_sender.journal.process_journal import FILE


class InspectedJournal(JournalContents):
    """Nothing in the folder changes, and it may be in use."""

    def __init__(self, folder: Path) -> None:
        """Raises OSError where there is none to read."""
        self.folder, self.limit, self.spare, self.file = folder, 0, 0, -1
        self.entries, self.size, self.live = {}, 0, 0
        self.begin_contents()
        data = (folder / FILE).read_bytes()
        self.checked = not data.startswith(b"{")
        if self.checked:
            self.replay_checked(data)
        else:
            self.replay_old(data)

    def save(self, folder: Path) -> None:
        """What was read, as a whole journal in another folder. No mark of the machine's run goes with it: who
        starts on it knows no time that passed. Raises OSError, also where there is a journal."""
        (folder / GUARD).mkdir()
        with open(folder / FILE, "xb") as file:
            file.write(self.snapshot(Tally()))
            file.flush()
            os.fsync(file.fileno())
        SystemDisk().sync_folder(folder)
