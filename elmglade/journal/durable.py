"""The journal that survives the machine: checked records, synced before anything is done on their strength.

The rules:

- *What a sync guards.* `when_durable` calls back once all that was written before is on the disk, and the
  engine does then, and not before, what rests on it: the 202 (`taken`), the first byte of an attempt whose
  effect is not safe (`sent`), the telling of an end (`outcome`, `verdict`). An end's own record and an
  outcome that nobody waits for go with the next sync: lost, the message is told its recorded end again, or
  counts as may have run.
- *One sync at a time*, away from the loop. What comes while one is out shares the next one. `gather` is the
  least time from the beginning of one to that of the next: the first one after a rest waits for nobody.
- *A name never stands for less than was durable under it.* The file is written anew into NEXT, synced, and
  only then named; while that goes on each record is written to both, so that whichever a power loss leaves is
  whole. The folder is synced before anybody hears of it.
- *Written anew in steps*, `STEP` bytes in a pass of the loop, so that nobody waits for all that is owed. A
  record of a message whose turn has not come goes to the old file alone: its turn tells it as it is then. The
  new file is synced and named only once all is there. At a start, and after a failed sync, it is written at
  once.
- *A failed sync is never tried again on the same pages*: the system may have dropped them and call the next
  one good. Everything is written anew from memory; while that fails too, nothing new is taken on.
- *Room for ends.* A ballast is given up where the disk is full, so that ends still go on record.
- *Another form refuses an older program*, which would read no record and begin with nothing: the folder GUARD
  stands where it deletes a file before anything else.
"""

import asyncio
import json
import logging
import math
import os
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

from elmglade.interface import Outcome
from elmglade.journal import records
from elmglade.journal.disk import Disk, Files
from elmglade.journal.file import (
    COMPACTED,
    FILE,
    Attempt,
    Entry,
    Journal,
    attempt_line,
    end_line,
    lines_of,
    outcome_line,
    quoted,
)

GUARD = COMPACTED
NEXT, BALLAST, DAMAGED = "journal.next", "journal.room", "journal.damaged"
LAZY = 0.05  # s after which what nobody waits for is synced all the same
STEP = 16 * 1024  # bytes that are written anew in a pass of the loop: about a millisecond's work
AGAIN = 1.0  # s between tries to write the journal anew where the disk fails
OVER = 4096  # messages that are over and still known by their ids
BALLAST_SIZE = 64 * 1024  # bytes: the ends of some five hundred messages
TORN = 30  # bytes of a name of a message in the log

log = logging.getLogger(__name__)


@dataclass(slots=True)
class Anew:
    """A file that takes the journal's place."""

    file: int
    size: int = 0
    named: bool = False
    whole: bool = False  # all that is owed is there
    left: dict[str, None] = field(default_factory=dict)  # messages that are not there yet


@dataclass(frozen=True, slots=True)
class Over:
    """What is kept of a message that has ended."""

    at: int  # us, wall clock
    state: str
    key: str


@dataclass(frozen=True, slots=True)
class Before:
    """What the file tells of the life before."""

    boot: str  # the machine's, "" where none is told
    clean: bool  # it was closed
    last: int  # us, wall clock: the latest time on record; 0: none
    damage: tuple[records.Hole, ...] = ()
    dropped: int = 0  # bytes at the end that were never durable


class DurableJournal(Journal):
    durable = True
    step_size = STEP

    def __init__(
        self,
        folder: Path,
        limit: int,
        gather: float | None = 0.005,
        disk: Disk | None = None,
        boot: str = "",
        now: Callable[[], int] = lambda: 0,
        trust: Callable[["DurableJournal"], None] = lambda journal: None,
    ) -> None:
        """`gather`: s between the beginnings of two syncs, None: nothing is ever synced; `boot` names the
        machine's run, `now` tells the wall clock in us. `trust` changes what was read to what is believed of
        it, before that is put on record. Raises OSError where the folder cannot be used."""
        self.disk, self.gather, self.boot, self.now = disk or Files(), gather, boot, now
        self.trust = trust
        self.begin_empty()
        super().__init__(folder, limit)

    def begin_empty(self) -> None:
        self.over_ids: dict[str, Over] = {}  # the oldest first
        self.marks: list[dict[str, Any]] = []
        self.last = self.mark = 0
        self.written = self.synced = 0  # records, ever
        self.waiting: deque[tuple[int, Callable[[bool], None]]] = deque()
        self.anew: Anew | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[None] | None = None
        self.failed_at: float | None = None  # s, the loop's clock: when the journal could not be written anew
        self.began_at = -math.inf  # s, the loop's clock: of the last sync
        self.failing = False  # the last sync failed: the next one is of a file that is written anew

    # Start: what the file tells, carried over into a new one.

    def open(self) -> int:
        return self.disk.open(self.folder / FILE)

    def replay(self) -> None:
        data = self.disk.read(self.folder / FILE)
        if data.startswith(b"{"):
            self.replay_old(data)
        else:
            self.replay_checked(data)
        if self.before.damage:
            with suppress(OSError):  # for who looks into it
                (self.folder / DAMAGED).write_bytes(data)
        self.trust(self)
        self.marks.append({"began": self.boot, "at": max(self.now(), self.last)})
        if self.rewrite() or (self.give_up_ballast() and self.rewrite()):
            return
        if not data.startswith(b"2"):
            raise OSError(f"the journal in {self.folder} cannot be written anew")
        self.size = len(data) - self.before.dropped  # it goes on as it is; nothing new may fit
        self.disk.truncate(self.file, self.size)

    def replay_old(self, data: bytes) -> None:
        """The form that survives a process."""
        for line in data.split(b"\n")[:-1]:
            try:
                self.apply(json.loads(line), len(line) + 1)
            except (ValueError, KeyError, TypeError, AttributeError) as error:
                log.warning("journal: a record of the old form is dropped: %s", error)
        self.before = Before("", False, self.last)
        log.info("journal: %d messages carried over from the old form", len(self.entries))

    def replay_checked(self, data: bytes) -> None:
        found = records.read(data)
        holes = deque(found.holes)
        for record in found.records:
            while holes and holes[0].at < record.at:
                self.doubt(holes.popleft())
            try:
                self.apply(record.told, record.size)
            except (ValueError, KeyError, TypeError, AttributeError) as error:
                self.doubt(records.Hole(record.at, record.size), f"cannot be applied: {error!r}")
        for hole in holes:
            self.doubt(hole)
        if found.tail:
            log.warning("journal: %d bytes at the end were never durable and are dropped", found.tail)
        nothing: dict[str, Any] = {}
        began = next((each for each in reversed(self.marks) if "began" in each), nothing)
        clean = bool(self.marks) and "closed" in self.marks[-1]
        self.before = Before(str(began.get("began", "")), clean, self.last, found.holes, found.tail)
        self.marks = []

    def doubt(self, hole: records.Hole, why: str = "cannot be read") -> None:
        """Any message held at that point may have had an attempt there that nobody knows of."""
        held = [name for name, entry in self.entries.items() if not entry.doubtful]
        for name in held:
            self.entries[name].doubtful = True
        names = ", ".join(held[:TORN]) + (f" and {len(held) - TORN} more" if len(held) > TORN else "")
        log.error(
            "journal: %d bytes at byte %d %s; may have run: %s", hole.size, hole.at, why, names or "none"
        )

    def apply(self, record: dict[str, Any], size: int) -> None:
        self.last = max(self.last, record.get("at", 0))
        if "verdict" in record:
            if entry := self.entries.get(record["of"]):
                entry.verdict = str(record["verdict"]), int(record["after"])
                self.grow(record["of"], size)
        elif "over" in record:
            self.know_over(record["over"], Over(record["at"], record["state"], record["key"]))
        elif "doubt" in record:
            self.entries[record["doubt"]].doubtful = True
        elif "began" in record or "closed" in record:
            self.marks.append(record)
        elif "journal" not in record:
            if "end" in record and "state" in record:
                self.know_over(record["end"], Over(record["at"], record["state"], record["key"]))
            elif (name := record.get("sent")) and name not in self.entries:
                raise KeyError(f"{name} was never taken on")
            super().apply(record, size)

    def know_over(self, name: str, over: Over) -> None:
        self.over_ids[name] = over
        if len(self.over_ids) > OVER:
            del self.over_ids[next(iter(self.over_ids))]

    # Append.

    def append(self, record: bytes, last: bool = False, of: str = "") -> bool:
        """`last`: the end of a message, for which the ballast goes where there is no other room. `of`: the
        message, where it has been held for a while."""
        if self.failed_at is not None:
            return False
        framed = records.frame(record[:-1], self.mark)
        if self.over(self.size + len(framed)):
            self.compact()
            if not last:
                log.error("journal: no room for %d bytes", len(framed))
                return False
        if not self.write(framed, last):
            return False
        if self.anew and of not in self.anew.left:
            # Nothing of that file has been durable yet, as its marks would say.
            self.write_anew(self.anew, records.frame(record[:-1], 0))
        self.written += 1
        self.want(LAZY)
        return True

    def write(self, framed: bytes, last: bool) -> bool:
        try:
            self.disk.write(self.file, framed)
        except OSError as error:
            log.error("journal: not written: %s", error)
            if not (last and self.give_up_ballast()):
                return False
            return self.write(framed, False)
        self.size += len(framed)
        return True

    def write_anew(self, anew: Anew, data: bytes) -> bool:
        try:
            self.disk.write(anew.file, data)
        except OSError as error:
            log.error("journal: not written anew: %s", error)
            self.drop_anew()
            return False
        anew.size += len(data)
        return True

    def give_up_ballast(self) -> bool:
        path = self.folder / BALLAST
        if not path.exists():
            return False
        path.unlink()
        log.warning("journal: the disk is full: the room kept for ends is used from now on")
        return True

    def sent(self, name: str, number: int, attempt: Attempt) -> bool:
        self.last = max(self.last, attempt.at)
        record = attempt_line(name, number, attempt)
        if not self.append(record, of=name):
            return False
        self.entries[name].attempts[number] = attempt
        self.grow(name, len(record) + records.WIDTH)
        return True

    def outcome(self, name: str, number: int, outcome: Outcome) -> None:
        entry = self.entries[name]
        if attempt := entry.attempts.get(number):
            attempt.outcome = outcome
            record = outcome_line(name, number, outcome)
            if self.append(record, last=True, of=name):
                self.grow(name, len(record) + records.WIDTH)

    def verdict(self, name: str, state: str, retry_after: int) -> None:
        if entry := self.entries.get(name):
            entry.verdict = state, retry_after
            record = verdict_line(name, state, retry_after)
            if self.append(record, last=True, of=name):
                self.grow(name, len(record) + records.WIDTH)

    def ended(self, name: str, state: str = "") -> None:
        entry = self.entries.pop(name)
        self.live -= entry.size
        over = Over(self.now(), state, entry.message.key)
        self.know_over(name, over)
        if self.anew:
            self.anew.left.pop(name, None)  # its turn need not come: its end tells all
        self.append(end_line(name)[:-2] + over_text(over) + b"\n", last=True)
        if self.size > 2 * self.live + self.spare:
            self.compact()

    # Syncs.

    def when_durable(self, then: Callable[[bool], None]) -> None:
        if self.failed_at is not None:
            then(False)
        elif self.gather is None or self.synced >= self.written:
            then(True)
        else:
            self.waiting.append((self.written, then))
            self.want(self.pause())

    def pause(self) -> float:
        """s until the next sync may begin: `gather` after the one before began, so that the first one after a
        rest waits for nobody."""
        return max(self.began_at + (self.gather or 0.0) - asyncio.get_running_loop().time(), 0.0)

    def want(self, within: float) -> None:
        """A sync begins after so many seconds at the latest."""
        if self.gather is None or self.task or self.file < 0:
            return  # the end of the one that is out begins the next
        loop = asyncio.get_running_loop()
        due = loop.time() + within
        if self.timer:
            if self.timer.when() <= due:
                return
            self.timer.cancel()
        self.timer = loop.call_at(due, self.begin)

    def begin(self) -> None:
        self.timer = None
        if self.task is None and self.file >= 0:
            self.began_at = asyncio.get_running_loop().time()
            self.task = asyncio.get_running_loop().create_task(self.sync())

    async def sync(self) -> None:
        written, size, anew = self.written, self.size, self.anew
        anew = anew if anew and anew.whole else None
        job = partial(self.name_anew, anew) if anew else partial(self.disk.sync, self.file)
        try:
            await self.disk.run(job)
        except OSError as error:
            self.task = None
            self.sync_failed(anew, error)
            return
        self.task = None
        if anew:
            self.take_place(anew)
        else:
            self.mark = size
        self.failing = False
        self.synced = max(self.synced, written)
        while self.waiting and self.waiting[0][0] <= written:
            self.waiting.popleft()[1](True)
        if self.synced < self.written or (self.anew and self.anew.whole):
            self.want(self.pause() if self.waiting else LAZY)

    def name_anew(self, anew: Anew) -> None:
        """Away from the loop. From the first sync on, all that anybody heard of is in either file."""
        self.disk.sync(anew.file)
        anew.named = True
        self.disk.replace(self.folder / NEXT, self.folder / FILE)
        self.disk.sync_folder(self.folder)

    def take_place(self, anew: Anew) -> None:
        self.disk.close(self.file)
        self.file, self.size, self.anew = anew.file, anew.size, None
        self.mark = 0  # until its next sync; its header tells what was whole before

    def sync_failed(self, anew: Anew | None, error: OSError) -> None:
        """The same pages are not synced again: what is written anew from memory is another file."""
        log.error("journal: a sync failed: %s", error)
        if anew and anew.named:
            self.take_place(anew)
        elif anew:
            self.drop_anew()
        if self.failing or not self.start_anew():
            self.give_up()
            return
        self.failing = True
        self.begin()

    def give_up(self) -> None:
        """No disk takes it: nothing new is taken on, and nothing unsafe goes out, until it is written
        anew."""
        loop = asyncio.get_running_loop()
        self.failed_at, self.failing = loop.time(), False
        self.drop_anew()
        log.error("journal: it cannot be made durable: nothing new is taken on for %.0f s", AGAIN)
        waiting, self.waiting = self.waiting, deque()
        for _, then in waiting:
            then(False)
        self.timer = loop.call_later(AGAIN, self.try_again)

    def try_again(self) -> None:
        self.timer, self.failed_at = None, None
        if self.file < 0:
            return
        if not self.start_anew():
            self.give_up()
            return
        self.failing = True
        self.begin()

    # The file written anew.

    def told(self, left: dict[str, None]) -> Iterator[bytes]:
        """All that is owed, as records, those of a message together: it leaves `left` with its turn."""
        yield b"".join(records.frame(json.dumps(each).encode(), 0) for each in self.marks[-2:])
        for name, over in list(self.over_ids.items()):
            yield records.frame(over_line(name, over)[:-1], 0)
        for name in list(left):
            if name in left:
                del left[name]
                yield self.told_of(name, self.entries[name])

    def told_of(self, name: str, entry: Entry) -> bytes:
        lines = [each[:-1] for each in lines_of(entry)]
        if entry.doubtful:
            lines.append(b'{"doubt":%s}' % quoted(name).encode())
        if entry.verdict:
            lines.append(verdict_line(name, *entry.verdict)[:-1])
        found = b"".join(records.frame(each, 0) for each in lines)
        self.live += len(found) - entry.size
        entry.size = len(found)
        return found

    def snapshot(self) -> bytes:
        """The bytes of a file whose header says that it is whole."""
        body = b"".join(self.told(dict.fromkeys(self.entries)))
        return whole_record(len(body)) + body

    def start_anew(self) -> bool:
        """Begins a file that is to take the journal's place; from now on each record goes to both."""
        if self.anew and self.anew.whole:
            return True
        self.drop_anew()
        if anew := self.open_anew():
            anew.whole = self.write_anew(anew, self.snapshot())
        return self.anew is not None

    def open_anew(self) -> Anew | None:
        try:
            self.anew = Anew(self.disk.open(self.folder / NEXT, fresh=True))
        except OSError as error:
            log.error("journal: not written anew: %s", error)
            self.anew = None
        return self.anew

    def step(self, anew: Anew, parts: Iterator[bytes]) -> None:
        """Writes some more of it."""
        if self.anew is not anew or self.file < 0:
            return  # it was given up meanwhile
        data = bytearray()
        while len(data) < self.step_size and not anew.whole:
            part = next(parts, None)
            anew.whole = part is None
            data += whole_record(anew.size + len(data)) if part is None else part
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
        self.take_place(self.anew)
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
            self.step(anew, self.told(anew.left))
        return False

    def fits(self, size: int) -> bool:
        return self.failed_at is None and super().fits(size + records.WIDTH)

    def release(self) -> None:
        if self.file >= 0:
            self.disk.close(self.file)
        self.file = -1

    def resting(self, quiet: int) -> set[str]:
        """Keys of messages that had ended so shortly before, in us, that they may rest still. How long the
        power was away is not asked: the machine's clock may have lost that."""
        over = {each.key for each in self.over_ids.values() if each.at >= self.last - quiet}
        return (over | {each.message.key for each in self.entries.values() if each.verdict}) - {""}

    def close(self) -> None:
        """A clean stop says so, durably."""
        if self.file < 0:
            return
        self.disk.finish()
        if self.anew and self.anew.named:
            self.take_place(self.anew)
        self.drop_anew()
        try:
            if self.failed_at is None and self.append(b'{"closed":1,"at":%d}\n' % self.now()):
                self.disk.sync(self.file)
        except OSError as error:
            log.error("journal: not closed cleanly: %s", error)
        if self.task:
            self.task.cancel()
        if self.timer:
            self.timer.cancel()
        self.release()


class Inspected(DurableJournal):
    """What a folder's journal holds, for people: nothing in the folder changes, and it may be in use."""

    def __init__(self, folder: Path) -> None:
        """Raises OSError where there is none to read."""
        self.folder, self.limit, self.spare, self.file = folder, 0, 0, -1
        self.entries, self.size, self.live = {}, 0, 0
        self.begin_empty()
        data = (folder / FILE).read_bytes()
        self.checked = not data.startswith(b"{")
        self.reading = records.read(data if self.checked else b"")
        if self.checked:
            self.replay_checked(data)
        else:
            self.replay_old(data)

    def save(self, folder: Path) -> None:
        """What was read, as a whole journal in another folder. No mark of the machine's run goes with it: who
        starts on it knows no time that passed. Raises OSError, also where there is a journal."""
        (folder / GUARD).mkdir()
        with open(folder / FILE, "xb") as file:
            file.write(self.snapshot())
            file.flush()
            os.fsync(file.fileno())
        Files().sync_folder(folder)


def verdict_line(name: str, state: str, retry_after: int) -> bytes:
    return f'{{"verdict":{quoted(state)},"of":{quoted(name)},"after":{retry_after}}}\n'.encode()


def whole_record(size: int) -> bytes:
    """Says that with it, beside so many bytes, a file is whole."""
    told = b'{"journal":2,"whole":%12d}'
    return records.frame(told % (size + len(records.frame(told % 0, 0))), 0)


def over_line(name: str, over: Over) -> bytes:
    return f'{{"over":{quoted(name)}'.encode() + over_text(over) + b"\n"


def over_text(over: Over) -> bytes:
    """The rest of a record."""
    return f',"at":{over.at},"state":{quoted(over.state)},"key":{quoted(over.key)}}}'.encode()
