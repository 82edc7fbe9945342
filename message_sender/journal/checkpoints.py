"""Which record a gap has taken, as far as the records around it tell. Pure.

A *decisive* record is one whose loss could let a message run again or complete in another way: `sent`,
`verdict` and `doubt`. The writer counts them and combines the checksums of their messages' ids; each proof
and each header carries these two numbers as of its place (a `Checkpoint`). The reader compares them with what
it found between the checkpoints on either side of a gap:

- none is missing: no message that is owed is in doubt, whatever else the gap held;
- one is missing: the difference of the checksums is that of its message's id, and only messages with this
  checksum are in doubt;
- more are missing, or a checkpoint is (a journal of an earlier version has none): all that are owed are.

The last proof may be the damaged record itself, with no checkpoint behind it. What it must have contained is
known then from the records before it, and it is recognized by that.
"""

from bisect import bisect_left
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import google_crc32c

from message_sender.journal import records
from message_sender.journal.records import Gap, GapKind, Record

MAX_PROOF_DAMAGE_BYTES = (
    8  # that a damaged proof may differ in to be known as one; other records differ in more
)
#: Kinds of decisive records, and the field of each that holds the message's id.
DECISIVE_KINDS = (("sent", "sent"), ("verdict", "of"), ("doubt", "doubt"))


def checksum_of_id(message_id: str) -> int:
    """Returns the CRC-32C of a message's id."""
    return int(google_crc32c.value(message_id.encode("utf-8", "surrogatepass")))


@dataclass(slots=True)
class DecisiveDigest:
    """Decisive records from the beginning of a file up to some place.

    Attributes:
        count: How many there are.
        id_checksum: Exclusive or of the checksums of their messages' ids.
    """

    count: int = 0
    id_checksum: int = 0

    def add(self, message_id: str) -> None:
        """Counts one more record."""
        self.count += 1
        self.id_checksum ^= checksum_of_id(message_id)

    def difference(self, earlier: "DecisiveDigest") -> "DecisiveDigest":
        """Returns the digest of the records behind `earlier`."""
        return DecisiveDigest(self.count - earlier.count, self.id_checksum ^ earlier.id_checksum)

    def may_include(self, message_id: str) -> bool:
        """Whether one of these records may be of this message."""
        if self.count == 1:
            return checksum_of_id(message_id) == self.id_checksum
        return self.count != 0


@dataclass(frozen=True, slots=True)
class Checkpoint:
    """The digest of what was written before byte `offset` of the file."""

    offset: int
    digest: DecisiveDigest


def frame_proof(durable_bytes: int, digest: DecisiveDigest | None) -> bytes:
    """Returns a proof: `durable_bytes` of the file are durable, and `digest` is that of the file up to it.

    Earlier versions read the mark alone. `digest` is None where it is not known.
    """
    counts = b',"decisive":%d,"names":%d' % (digest.count, digest.id_checksum) if digest else b""
    return records.frame_record(b'{"journal":2%s}' % counts, durable_bytes)


def frame_header(body_bytes: int, digest: DecisiveDigest) -> bytes:
    """Returns the record that makes a file complete.

    Args:
        body_bytes: Size of the file without this record.
        digest: Of all the file.
    """
    template = b'{"journal":2,"whole":%12d,"decisive":%12d,"names":%12d}'
    header_bytes = len(records.frame_record(template % (0, 0, 0), 0))
    payload = template % (body_bytes + header_bytes, digest.count, digest.id_checksum)
    return records.frame_record(payload, 0)


def decisive_message_id(payload: dict[str, Any]) -> str | None:
    """Returns the id of the message of a decisive record; None for any other record."""
    for kind, id_field in DECISIVE_KINDS:
        if kind in payload:
            return str(payload.get(id_field))
    return None


def parse_checkpoint(record: Record) -> Checkpoint | None:
    """Reads a proof or a header; None for any other record, and for those of earlier versions."""
    payload = record.payload
    if "journal" not in payload:
        return None
    count = payload.get("decisive")
    id_checksum = payload.get("names")
    offset = payload.get("whole", record.offset)
    if isinstance(count, int) and isinstance(id_checksum, int) and isinstance(offset, int):
        return Checkpoint(offset, DecisiveDigest(count, id_checksum))
    return None


class DigestComparison:
    """What was written, as the checkpoints tell, beside what was found."""

    def __init__(self, data: bytes, found_records: Sequence[Record]) -> None:
        """Prepares the comparison. `found_records`: all whole records of the file `data`, in its order."""
        self.data = data
        self.proven_bytes = max((records.proven_bytes_after(each) for each in found_records), default=0)
        self.offsets = [record.offset for record in found_records]
        self.digests = [DecisiveDigest()]  # before each record, and after the last one
        checkpoints = [Checkpoint(0, DecisiveDigest())]
        for record in found_records:
            before = self.digests[-1]
            after = DecisiveDigest(before.count, before.id_checksum)
            message_id = decisive_message_id(record.payload)
            if message_id is not None:
                after.add(message_id)
            self.digests.append(after)
            if checkpoint := parse_checkpoint(record):
                checkpoints.append(checkpoint)
        self.checkpoints = sorted(checkpoints, key=lambda checkpoint: checkpoint.offset)

    def missing_in(self, gap: Gap) -> DecisiveDigest | None:
        """Returns the digest of the decisive records missing between the checkpoints around a gap.

        None: there is no checkpoint behind it, or the checkpoints contradict what was found.
        """
        gap_end = gap.offset + gap.size_bytes
        first = next(each for each in reversed(self.checkpoints) if each.offset <= gap.offset)
        last = next((each for each in self.checkpoints if each.offset >= gap_end), None)
        if last is None:
            return DecisiveDigest() if self.is_damaged_proof(gap) else None
        written = last.digest.difference(first.digest)
        found = self.digest_before(last.offset).difference(self.digest_before(first.offset))
        missing = written.difference(found)
        return missing if missing.count >= 0 else None

    def is_damaged_proof(self, gap: Gap) -> bool:
        """Whether the gap is a proof with a few damaged bytes, and behind it at most what was never durable.

        The payload of such a proof is known from the records before it.
        """
        expected = frame_proof(0, self.digest_before(gap.offset))
        content = self.data[gap.offset : gap.offset + gap.size_bytes]
        if len(content) < len(expected):
            return False
        pairs = zip(expected[records.FRAME_BYTES :], content[records.FRAME_BYTES :], strict=False)
        if sum(a != b for a, b in pairs) > MAX_PROOF_DAMAGE_BYTES:
            return False
        rest = content[len(expected) :]
        is_rest_proven = gap.offset + len(expected) < self.proven_bytes
        return not rest or records.classify_gap(rest, is_rest_proven) is GapKind.NEVER_WRITTEN

    def digest_before(self, offset: int) -> DecisiveDigest:
        """Returns the digest of the records found before byte `offset`."""
        return self.digests[bisect_left(self.offsets, offset)]
