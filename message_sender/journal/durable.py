"""The journal that survives the machine: checked records, synced before anything is done on their strength.

The rules:

- *What a sync guards.* `when_durable` calls back once all that was written before is on the disk, and the
  engine does then, and not before, what rests on it: the 202 (`taken`), the first byte of an attempt whose
  effect is not safe (`sent`), the telling of an end (`outcome`, `verdict`). An end's own record and an
  outcome that nobody waits for go with the next sync: lost, the message is told its recorded end again, or
  counts as may have run.
- *One sync at a time*, away from the loop. What comes while one is out shares the next one. `gather` is the
  least time from the beginning of one to that of the next: the first one after a rest waits for nobody.
- *A finished sync leaves its proof*, a record whose mark says how much of the file is durable, before anybody
  hears of the sync. So what was answered is proven also after the process has ended; a power loss can take
  the proof until the next sync, `LAZY` s later at the latest. A sync that covers nothing but a proof leaves
  none: a journal at rest is written and synced no more.
- *A failed sync is never tried again on the same pages*: the system may have dropped them and call the next
  one good. Everything is written anew from memory; while that fails too, nothing new is taken on.
- *Room for ends.* A ballast is given up where the disk is full, so that ends still go on record.

What the records mean is in contents.py, how the file is written anew in rewriting.py.
"""

import asyncio
import logging
import math
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from pathlib import Path

from message_sender.journal import records
from message_sender.journal.checkpoints import proof_record
from message_sender.journal.compaction import CompactingJournal, ReplacementFile
from message_sender.journal.disk import Disk, SystemDisk
from message_sender.journal.payloads import FinishedMessage, over_text, verdict_line
from message_sender.journal.process_journal import FILE, AttemptRecord, attempt_line, end_line, outcome_line
from message_sender.policy.model import Outcome

DAMAGED = "journal.damaged"
LAZY = 0.05  # s after which what nobody waits for is synced all the same
AGAIN = 1.0  # s between tries to write the journal anew where the disk fails

log = logging.getLogger(__name__)


class DurableJournal(CompactingJournal):
    durable = True

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
        self.disk, self.gather, self.boot, self.now = disk or SystemDisk(), gather, boot, now
        self.trust = trust
        self.begin_contents()
        self.begin_syncs()
        super().__init__(folder, limit)

    def begin_syncs(self) -> None:
        self.mark = 0
        self.tally = None
        self.written = self.synced = 0  # records, ever, without proofs
        self.proof_waits = False  # one was written since the last sync began
        self.waiting: deque[tuple[int, Callable[[bool], None]]] = deque()
        self.anew = None
        self.timer: asyncio.TimerHandle | None = None
        self.task = None
        self.failed_at: float | None = None  # s, the loop's clock: when the journal could not be written anew
        self.began_at = -math.inf  # s, the loop's clock: of the last sync
        self.failing = False  # the last sync failed: the next one is of a file that is written anew

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

    # Append.

    def append(self, record: bytes, last: bool = False, of: str = "", decisive: bool = False) -> bool:
        """`last`: the end of a message, for which the ballast goes where there is no other room. `of`: the
        message, where it has been held for a while. `decisive`: lost, the message could run again
        (tally.py)."""
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
        if decisive and self.tally:
            self.tally.add(of)
        if (anew := self.anew) and of not in anew.left:
            # Nothing of that file has been durable yet, as its marks would say.
            if self.add_to_anew(anew, records.frame(record[:-1], 0)) and decisive:
                anew.tally.add(of)
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

    def record_attempt(self, name: str, number: int, attempt: AttemptRecord) -> bool:
        self.last = max(self.last, attempt.at)
        record = attempt_line(name, number, attempt)
        if not self.append(record, of=name, decisive=True):
            return False
        self.entries[name].attempts[number] = attempt
        self.grow(name, len(record) + records.WIDTH)
        return True

    def record_outcome(self, name: str, number: int, outcome: Outcome) -> None:
        entry = self.entries[name]
        if attempt := entry.attempts.get(number):
            attempt.outcome = outcome
            record = outcome_line(name, number, outcome)
            if self.append(record, last=True, of=name):
                self.grow(name, len(record) + records.WIDTH)

    def record_completion(self, name: str, state: str, retry_after: int) -> None:
        if entry := self.entries.get(name):
            entry.verdict = state, retry_after
            record = verdict_line(name, state, retry_after)
            if self.append(record, last=True, of=name, decisive=True):
                self.grow(name, len(record) + records.WIDTH)

    def record_end(self, name: str, state: str = "") -> None:
        entry = self.entries.pop(name)
        self.live -= entry.size
        over = FinishedMessage(self.now(), state, entry.message.key)
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
        anew = self.anew if self.anew and self.anew.whole else None
        written, size = self.written, anew.size if anew else self.size
        self.proof_waits = False
        job = partial(self.name_anew, anew) if anew else partial(self.disk.sync, self.file)
        if anew:
            anew.naming = True
        try:
            await self.disk.run(job)
            if anew and anew.incomplete:
                raise OSError("a record is missing from the file that was written anew")
        except OSError as error:
            self.task = None
            self.sync_failed(anew, error)
            return
        self.task = None
        if anew:
            self.take_place(anew, size)
        self.mark, self.failing = size, False
        if anew or written > self.synced:
            self.prove()
        self.synced = max(self.synced, written)
        while self.waiting and self.waiting[0][0] <= written:
            self.waiting.popleft()[1](True)
        if self.synced < self.written or self.proof_waits or (self.anew and self.anew.whole):
            self.want(self.pause() if self.waiting else LAZY)

    def prove(self) -> None:
        """Says on record how much of the file is durable. Without room it is left out: then the next record's
        mark says it."""
        proof = proof_record(self.mark, self.tally)
        if not self.over(self.size + len(proof)):
            self.proof_waits = self.write(proof, last=False)

    def sync_failed(self, anew: ReplacementFile | None, error: OSError) -> None:
        """The same pages are not synced again: what is written anew from memory is another file."""
        log.error("journal: a sync failed: %s", error)
        if anew and anew.named:
            self.take_place(anew, 0)
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

    def fits(self, size: int) -> bool:
        return self.failed_at is None and super().fits(size + records.WIDTH)

    def release(self) -> None:
        if self.file >= 0:
            self.disk.close(self.file)
        self.file = -1

    def close(self) -> None:
        """A clean stop says so, durably."""
        if self.file < 0:
            return
        self.disk.finish()
        complete = True
        if (anew := self.anew) and anew.named:
            self.take_place(anew, 0)
            complete = not anew.incomplete or self.rewrite()
        self.drop_anew()
        if complete and self.failed_at is None:
            self.prove()  # its counts tell what was not synced yet
        try:
            if complete and self.failed_at is None and self.append(b'{"closed":1,"at":%d}\n' % self.now()):
                self.disk.sync(self.file)
        except OSError as error:
            log.error("journal: not closed cleanly: %s", error)
        if self.task:
            self.task.cancel()
        if self.timer:
            self.timer.cancel()
        self.release()
