"""What the records of the journal that survives the machine mean: what is owed, what is over, what is in
doubt. Records are read into it, and all of it is told as records again. It writes nothing.

Every whole record is used, also behind damage, and also one that was never durable. The last is harmless:

- `taken`, not answered 202: the message is done once more than its client knows of. If the client comes again
  with the same id it is answered as a repeat; if it went elsewhere, the fleet is asked for the id at a start.
- `sent`: the attempt counts as one that may have run, which is the more careful way.
- `outcome`: it was written after the attempt had ended so, and says what happened, durable or not.
- `verdict`: the end was decided and told to nobody. The same end is told now.
- `end`: it was written after the end had been told.
"""

import json
import logging
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from message_sender.journal import records
from message_sender.journal.checkpoints import Comparison, Tally
from message_sender.journal.payloads import FinishedMessage, doubt_line, over_line, verdict_line, whole_record
from message_sender.journal.process_journal import AttemptRecord, Journal, JournalEntry, lines_of
from message_sender.policy.model import Outcome

OVER = 4096  # messages that are over and still known by their ids
NAMED = 30  # messages that are named in a line of the log

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class PreviousRun:
    """What the file tells of the life before."""

    boot: str  # the machine's, "" where none is told
    clean: bool  # it was closed
    last: int  # us, wall clock: the latest time on record; 0: none
    damage: tuple[records.Hole, ...] = ()
    dropped: int = 0  # bytes at the end that were never durable


class JournalContents(Journal):
    """State and its records; where and when they are written is its subclasses' part."""

    def begin_contents(self) -> None:
        """Begins with nothing."""
        self.over_ids: dict[str, FinishedMessage] = {}  # the oldest first
        self.marks: list[dict[str, Any]] = []
        self.lost: dict[str, None] = {}  # ids of messages whose `taken` cannot be read, as far as known
        self.last = 0
        self.before = PreviousRun("", False, 0)
        self.reading = records.read(b"")

    # What a file tells.

    def replay_old(self, data: bytes) -> None:
        """The form that survives a process."""
        for line in data.split(b"\n")[:-1]:
            try:
                self.apply(json.loads(line), len(line) + 1)
            except (ValueError, KeyError, TypeError, AttributeError) as error:
                log.warning("journal: a record of the old form is dropped: %s", error)
        self.before = PreviousRun("", False, self.last)
        log.info("journal: %d messages carried over from the old form", len(self.entries))

    def replay_checked(self, data: bytes) -> None:
        """The form that survives the machine."""
        self.reading = found = records.read(data)
        holes = deque(found.holes)
        compared = Comparison(data, found.records if holes else ())
        for record in found.records:
            while holes and holes[0].at < record.at:
                hole = holes.popleft()
                self.doubt(hole, compared.missing(hole))
            self.replay_record(record)
        for hole in holes:
            self.doubt(hole, compared.missing(hole))
        self.say_what_is_lost(found)
        nothing: dict[str, Any] = {}
        began = next((each for each in reversed(self.marks) if "began" in each), nothing)
        clean = bool(self.marks) and "closed" in self.marks[-1]
        self.before = PreviousRun(str(began.get("began", "")), clean, self.last, found.holes, found.tail)
        self.marks = []

    def replay_record(self, record: records.Record) -> None:
        try:
            self.apply(record.told, record.size)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            self.doubt(records.Hole(record.at, record.size), None, f"cannot be applied: {error!r}")

    def say_what_is_lost(self, found: records.Reading) -> None:
        for hole in found.unwritten:
            log.warning("journal: %d bytes at byte %d were never durable", hole.size, hole.at)
        if found.tail:
            log.warning("journal: %d bytes at the end were never durable and are dropped", found.tail)
        if self.lost:
            log.error("journal: what these messages were cannot be read: %s", named(list(self.lost)))

    def doubt(self, hole: records.Hole, missing: Tally | None, why: str = "cannot be read") -> None:
        """A message held at that point may have had an attempt there that nobody knows of. `missing`: the
        decisive records that the hole may have held, None where that is not known."""
        held = [
            name
            for name, entry in self.entries.items()
            if not entry.doubtful and (missing is None or missing.may_hold(name))
        ]
        for name in held:
            self.entries[name].doubtful = True
        log.error("journal: %d bytes at byte %d %s; may have run: %s", hole.size, hole.at, why, named(held))

    def apply(self, record: dict[str, Any], size: int) -> None:
        """Raises ValueError, KeyError, TypeError or AttributeError for what is no record of this form."""
        self.last = max(self.last, record.get("at", 0))
        if "verdict" in record:
            if entry := self.entries.get(record["of"]):
                entry.verdict = str(record["verdict"]), int(record["after"])
                self.grow(record["of"], size)
        elif "over" in record:
            self.know_over(record["over"], FinishedMessage(record["at"], record["state"], record["key"]))
        elif "doubt" in record:
            if entry := self.entries.get(record["doubt"]):
                entry.doubtful = True
        elif "began" in record or "closed" in record:
            self.marks.append(record)
        elif "sent" in record and record["sent"] not in self.entries:
            self.lost[str(record["sent"])] = None  # it tells nothing of any other message
        elif "outcome" in record and record["of"] in self.entries:
            self.apply_outcome(record, size)
        elif "journal" not in record:
            if "end" in record and "state" in record:
                self.know_over(record["end"], FinishedMessage(record["at"], record["state"], record["key"]))
            super().apply(record, size)

    def apply_outcome(self, record: dict[str, Any], size: int) -> None:
        """Also of an attempt whose `sent` cannot be read: when it began is not known then."""
        attempts = self.entries[record["of"]].attempts
        attempt = attempts.setdefault(int(record["number"]), AttemptRecord(0, "", ""))
        attempt.outcome = Outcome(record["outcome"])
        self.grow(record["of"], size)

    def know_over(self, name: str, over: FinishedMessage) -> None:
        self.lost.pop(name, None)
        self.over_ids[name] = over
        if len(self.over_ids) > OVER:
            del self.over_ids[next(iter(self.over_ids))]

    # All of it as records.

    def told(self, left: dict[str, None], tally: Tally) -> Iterator[bytes]:
        """All that is owed, as records, those of a message together: it leaves `left` with its turn. `tally`
        counts what has been told."""
        yield b"".join(records.frame(json.dumps(each).encode(), 0) for each in self.marks[-2:])
        for name, over in list(self.over_ids.items()):
            yield records.frame(over_line(name, over)[:-1], 0)
        for name in list(left):
            if name in left:
                del left[name]
                yield self.told_of(name, self.entries[name], tally)

    def told_of(self, name: str, entry: JournalEntry, tally: Tally) -> bytes:
        lines = list(lines_of(entry))
        if entry.doubtful:
            lines.append(doubt_line(name))
        if entry.verdict:
            lines.append(verdict_line(name, *entry.verdict))
        for _ in range(len(entry.attempts) + entry.doubtful + bool(entry.verdict)):
            tally.add(name)
        found = b"".join(records.frame(each[:-1], 0) for each in lines)
        self.live += len(found) - entry.size
        entry.size = len(found)
        return found

    def snapshot(self, tally: Tally) -> bytes:
        """The bytes of a file whose header says that it is whole; `tally` counts them."""
        body = b"".join(self.told(dict.fromkeys(self.entries), tally))
        return whole_record(len(body), tally) + body

    def resting_keys(self, quiet: int) -> set[str]:
        """Keys of messages that had ended so shortly before, in us, that they may rest still. How long the
        power was away is not asked: the machine's clock may have lost that."""
        over = {each.key for each in self.over_ids.values() if each.at >= self.last - quiet}
        return (over | {each.message.key for each in self.entries.values() if each.verdict}) - {""}


def named(names: list[str]) -> str:
    """For the log: the first `NAMED` of them."""
    more = f" and {len(names) - NAMED} more" if len(names) > NAMED else ""
    return (", ".join(names[:NAMED]) + more) or "none"
