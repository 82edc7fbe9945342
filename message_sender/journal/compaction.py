"""The journal's file written anew from memory, beside the old one, until it takes its place.

- *A name never stands for less than was durable under it.* The file is written anew into NEXT, synced, and
  only then named; while that goes on each record is written to both, so that whichever a power loss leaves is
  whole. The folder is synced before anybody hears of it.
- *In steps*, `STEP` bytes in a pass of the loop, so that nobody waits for all that is owed. A record of a
  message whose turn has not come goes to the old file alone: its turn tells it as it is then. Other records
  come behind all of these, so that messages keep the order in which they were taken. The new file is synced
  and named only once all is there. At a start, and after a failed sync, it is written at once.
- *A file that a record is missing from* is dropped before it is synced. Where that begins while it is being
  named, it counts as a failed sync: it may have the name, and the next file is written anew from memory.
- *Another form refuses an older program*, which would read no record and begin with nothing: the folder GUARD
  stands where it deletes a file before anything else.
"""

import asyncio
import logging
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass, field

from message_sender.journal.checkpoints import Tally
from message_sender.journal.contents import JournalContents
from message_sender.journal.disk import Disk
from message_sender.journal.payloads import whole_record
from message_sender.journal.process_journal import COMPACTED, FILE

GUARD = COMPACTED
NEXT, BALLAST = "journal.next", "journal.room"
STEP = 16 * 1024  # bytes that are written anew in a pass of the loop: about a millisecond's work
BALLAST_SIZE = 64 * 1024  # bytes: the ends of some five hundred messages

log = logging.getLogger(__name__)


@dataclass(slots=True)
class ReplacementFile:
    """A file that takes the journal's place."""

    file: int
    size: int = 0
    named: bool = False
    whole: bool = False  # all that is owed is there
    naming: bool = False  # `name_anew` is out: nobody else may close it
    incomplete: bool = False  # a record that came meanwhile could not be written to it
    left: dict[str, None] = field(default_factory=dict)  # messages that are not there yet
    later: bytearray = field(default_factory=bytearray)  # records that come behind what is owed
    tally: Tally = field(default_factory=Tally)  # of its records


class CompactingJournal(JournalContents):
    """Contents with a file on a disk, and a second one while it is written anew."""

    step_size = STEP
    disk: Disk
    gather: float | None
    anew: ReplacementFile | None
    task: asyncio.Task[None] | None
    mark: int  # bytes of the file that are durable
    tally: Tally | None  # of the file's records; None: it goes on with records that were not counted

    def want(self, within: float) -> None:
        """A sync begins after so many seconds at the latest."""
        raise NotImplementedError

    def write_anew(self, anew: ReplacementFile, data: bytes) -> bool:
        try:
            self.disk.write(anew.file, data)
        except OSError as error:
            log.error("journal: not written anew: %s", error)
            anew.incomplete = True
            if not anew.naming:  # else the end of `name_anew` sees to it: the name may stand for it already
                self.drop_anew()
            return False
        anew.size += len(data)
        return True

    def add_to_anew(self, anew: ReplacementFile, record: bytes) -> bool:
        """A record that came meanwhile."""
        if anew.whole:
            return self.write_anew(anew, record)
        anew.later += record
        return True

    def give_up_ballast(self) -> bool:
        path = self.folder / BALLAST
        if not path.exists():
            return False
        path.unlink()
        log.warning("journal: the disk is full: the room kept for ends is used from now on")
        return True

    def name_anew(self, anew: ReplacementFile) -> None:
        """Away from the loop. From the first sync on, all that anybody heard of is in either file."""
        self.disk.sync(anew.file)
        anew.named = True
        self.disk.replace(self.folder / NEXT, self.folder / FILE)
        self.disk.sync_folder(self.folder)

    def take_place(self, anew: ReplacementFile, durable: int) -> None:
        """`durable`: bytes of it that are."""
        self.disk.close(self.file)
        self.file, self.size, self.anew = anew.file, anew.size, None
        self.mark, self.tally = durable, anew.tally

    def start_anew(self) -> bool:
        """Begins a file that is to take the journal's place; from now on each record goes to both."""
        if self.anew and self.anew.whole:
            return True
        self.drop_anew()
        if anew := self.open_anew():
            anew.whole = self.write_anew(anew, self.snapshot(anew.tally))
        return self.anew is not None

    def open_anew(self) -> ReplacementFile | None:
        try:
            self.anew = ReplacementFile(self.disk.open(self.folder / NEXT, fresh=True))
        except OSError as error:
            log.error("journal: not written anew: %s", error)
            self.anew = None
        return self.anew

    def step(self, anew: ReplacementFile, parts: Iterator[bytes]) -> None:
        """Writes some more of it."""
        if self.anew is not anew or self.file < 0:
            return  # it was given up meanwhile
        data = bytearray()
        while len(data) < self.step_size and not anew.whole:
            part = next(parts, None)
            if part is None:
                anew.whole = True
                data += anew.later
                part = whole_record(anew.size + len(data), anew.tally)
            data += part
        if not self.write_anew(anew, bytes(data)):
            return
        if anew.whole:
            self.want(0.0)
        else:
            asyncio.get_running_loop().call_soon(self.step, anew, parts)

    def drop_anew(self) -> None:
        if self.anew:
            self.disk.close(self.anew.file)
            self.anew = None
            with suppress(OSError):
                self.disk.unlink(self.folder / NEXT)

    def rewrite(self) -> bool:
        """At a start, before anybody hears: all of it here and now."""
        if not self.start_anew():
            return False
        assert self.anew
        try:
            (self.folder / GUARD).mkdir(exist_ok=True)
            if self.gather is None:
                self.disk.replace(self.folder / NEXT, self.folder / FILE)
            else:
                self.disk.sync_folder(self.folder)
                self.name_anew(self.anew)
            self.make_ballast()
        except OSError as error:
            log.error("journal: not written anew: %s", error)
            self.drop_anew()
            return False
        self.take_place(self.anew, 0 if self.gather is None else self.anew.size)
        return True

    def make_ballast(self) -> None:
        with suppress(OSError):
            (self.folder / BALLAST).write_bytes(bytes(min(BALLAST_SIZE, self.limit // 16)))

    def compact(self) -> bool:
        """Begins to; there is no room of it yet."""
        if self.file < 0 or self.task or self.anew or self.size <= self.live:
            return False
        if self.gather is None:
            return self.rewrite()
        if not self.over(self.size, self.live) and (anew := self.open_anew()):
            anew.left = dict.fromkeys(self.entries)
            self.step(anew, self.told(anew.left, anew.tally))
        return False
