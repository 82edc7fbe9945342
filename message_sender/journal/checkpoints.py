"""Which record a hole has taken, as far as the records around it tell. Pure.

A *decisive* record is one whose loss could let a message run again or end in another way: `sent`, `verdict`
and `doubt`. The writer counts them and combines the checksums of their messages' ids; each proof and each
header carries these two numbers as of its place (a `Checkpoint`). The reader compares them with what it found
whole between the checkpoints on either side of a hole:

- none is missing: no held message is in doubt, whatever else the hole held;
- one is missing: the difference of the checksums is that of its message's id, and only messages with this
  checksum are in doubt;
- more are missing, or a checkpoint is (a journal of an earlier version has none): all that are held are.

The last proof may be the damaged record itself, with no checkpoint behind it. What it must have said is known
then from the records before it, and it is recognized by that.
"""

from bisect import bisect_left
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import google_crc32c

from message_sender.journal import records
from message_sender.journal.records import Hole, Record

PROOF_DAMAGE = (
    8  # bytes of a damaged proof that may differ for it to be known as one; other records differ in more
)


def checksum_of(name: str) -> int:
    """Of a message's id: its CRC-32C."""
    return int(google_crc32c.value(name.encode("utf-8", "surrogatepass")))


@dataclass(slots=True)
class Tally:
    """Decisive records from the beginning of a file up to some place."""

    count: int = 0
    names: int = 0  # exclusive or of the checksums of their messages' ids

    def add(self, name: str) -> None:
        self.count += 1
        self.names ^= checksum_of(name)

    def without(self, other: "Tally") -> "Tally":
        return Tally(self.count - other.count, self.names ^ other.names)

    def may_hold(self, name: str) -> bool:
        """Whether one of these records may be of this message."""
        if self.count == 1:
            return checksum_of(name) == self.names
        return self.count != 0


@dataclass(frozen=True, slots=True)
class Checkpoint:
    at: int  # byte in the file
    tally: Tally  # of what was written before that byte


def proof_record(mark: int, tally: Tally | None) -> bytes:
    """Says that `mark` bytes of the file are durable, and what it holds up to this record; None: not known.
    Earlier versions heed the mark and pass over the rest."""
    counted = b',"decisive":%d,"names":%d' % (tally.count, tally.names) if tally else b""
    return records.frame(b'{"journal":2%s}' % counted, mark)


def decisive(told: dict[str, Any]) -> str | None:
    """The id of the message of a decisive record, None for any other record."""
    for kind, field in (("sent", "sent"), ("verdict", "of"), ("doubt", "doubt")):
        if kind in told:
            return str(told.get(field))
    return None


def checkpoint(record: Record) -> Checkpoint | None:
    """What a proof or a header tells; None for any other record, and for those of earlier versions."""
    told = record.told
    if "journal" not in told:
        return None
    numbers = told.get("decisive"), told.get("names"), told.get("whole", record.at)
    count, names, at = numbers
    if isinstance(count, int) and isinstance(names, int) and isinstance(at, int):
        return Checkpoint(at, Tally(count, names))
    return None


class Comparison:
    """What was written, as the checkpoints tell, beside what was found whole."""

    def __init__(self, data: bytes, found: Sequence[Record]) -> None:
        """`found`: the whole records of the file whose bytes are `data`, in their order."""
        self.data = data
        self.durable = max((records.durable_after(each) for each in found), default=0)
        self.starts = [each.at for each in found]
        self.seen = [Tally()]  # before each record, and after the last one
        told = [Checkpoint(0, Tally())]
        for each in found:
            before = self.seen[-1]
            after = Tally(before.count, before.names)
            name = decisive(each.told)
            if name is not None:
                after.add(name)
            self.seen.append(after)
            if here := checkpoint(each):
                told.append(here)
        self.checkpoints = sorted(told, key=lambda each: each.at)

    def missing(self, hole: Hole) -> Tally | None:
        """The decisive records that are missing between the checkpoints on either side of it; None: there is
        no checkpoint behind it, or what is told contradicts what was found."""
        first = next(each for each in reversed(self.checkpoints) if each.at <= hole.at)
        last = next((each for each in self.checkpoints if each.at >= hole.at + hole.size), None)
        if last is None:
            return Tally() if self.was_proof(hole) else None
        written = last.tally.without(first.tally)
        found = self.seen_before(last.at).without(self.seen_before(first.at))
        missing = written.without(found)
        return missing if missing.count >= 0 else None

    def was_proof(self, hole: Hole) -> bool:
        """Whether the hole is a proof of which a few bytes are damaged, and behind it at the most what was
        never durable. Its payload is known but for the damage."""
        expected = proof_record(0, self.seen_before(hole.at))
        content = self.data[hole.at : hole.at + hole.size]
        pairs = zip(expected[records.WIDTH :], content[records.WIDTH :], strict=False)
        if len(content) < len(expected) or sum(a != b for a, b in pairs) > PROOF_DAMAGE:
            return False
        rest, proven = content[len(expected) :], hole.at + len(expected) < self.durable
        return not rest or records.kind_of(rest, proven) is records.HoleKind.NEVER_WRITTEN

    def seen_before(self, at: int) -> Tally:
        return self.seen[bisect_left(self.starts, at)]
