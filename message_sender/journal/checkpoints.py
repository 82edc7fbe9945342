"""Identifies the messages that may have lost records in a gap, from the records around the gap. Pure.

A *decisive* record is one whose loss could cause a message to be sent again or to complete with a different
state: `sent`, `verdict` and `doubt`. The writer counts these records and combines the checksums of their
messages' ids. Each sync record and each header stores both numbers for the part of the file before it (a
`Checkpoint`). The reader compares the difference of the checkpoints on either side of a gap with the records
that it found between them:

- No decisive record is missing: no pending message is in doubt, whatever other records the gap contained.
- One is missing: the difference of the checksums is the checksum of its message's id, and only messages with
  this checksum are in doubt.
- More than one is missing, or there is no checkpoint (journals of an earlier version have none): all pending
  messages are in doubt.

If the last sync record is itself damaged, no checkpoint follows it. Its contents can be derived from the
records before it, so it is recognized by comparing the damaged bytes with them.
"""

from bisect import bisect_left
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import google_crc32c

from message_sender.journal import records
from message_sender.journal.records import Gap, GapKind, Record

#: Bytes in which a damaged sync record may differ from the expected one; other records differ in more.
MAX_SYNC_RECORD_DAMAGE_BYTES = 8
#: Kinds of decisive records, and the field of each kind that holds the message's id.
DECISIVE_KINDS = (("sent", "sent"), ("verdict", "of"), ("doubt", "doubt"))


def checksum_of_id(message_id: str) -> int:
    """Returns the CRC-32C of a message's id."""
    return int(google_crc32c.value(message_id.encode("utf-8", "surrogatepass")))


@dataclass(slots=True)
class DecisiveDigest:
    """Summary of the decisive records in a part of a file.

    Attributes:
        count: Number of decisive records.
        id_checksum: Exclusive or (XOR) of the checksums of their messages' ids.
    """

    count: int = 0
    id_checksum: int = 0

    def add(self, message_id: str) -> None:
        """Adds a record of the message."""
        self.count += 1
        self.id_checksum ^= checksum_of_id(message_id)

    def difference(self, earlier: "DecisiveDigest") -> "DecisiveDigest":
        """Returns the digest of the records that are in this digest and not in `earlier`."""
        return DecisiveDigest(self.count - earlier.count, self.id_checksum ^ earlier.id_checksum)

    def may_include(self, message_id: str) -> bool:
        """Whether one of the records may belong to this message."""
        if self.count == 1:
            return checksum_of_id(message_id) == self.id_checksum
        return self.count != 0


@dataclass(frozen=True, slots=True)
class Checkpoint:
    """The digest of the records written before byte `offset` of the file."""

    offset: int
    digest: DecisiveDigest


def frame_sync_record(durable_bytes: int, digest: DecisiveDigest | None) -> bytes:
    """Returns a sync record, which is written after a sync to prove how much of the file is durable.

    Earlier versions read only the durable size in its frame.

    Args:
        durable_bytes: How many bytes of the file are durable.
        digest: Digest of the file up to this record; None if it is not known.
    """
    counts = b',"decisive":%d,"names":%d' % (digest.count, digest.id_checksum) if digest else b""
    return records.frame_record(b'{"journal":2%s}' % counts, durable_bytes)


def frame_header(body_bytes: int, digest: DecisiveDigest) -> bytes:
    """Returns the header record, which makes a replacement file complete.

    Args:
        body_bytes: Size of the file without this record.
        digest: Digest of the whole file.
    """
    template = b'{"journal":2,"whole":%12d,"decisive":%12d,"names":%12d}'
    header_bytes = len(records.frame_record(template % (0, 0, 0), 0))
    payload = template % (body_bytes + header_bytes, digest.count, digest.id_checksum)
    return records.frame_record(payload, 0)


def decisive_message_id(payload: dict[str, Any]) -> str | None:
    """Returns the message id of a decisive record; None for any other record."""
    for kind, id_field in DECISIVE_KINDS:
        if kind in payload:
            return str(payload.get(id_field))
    return None


def parse_checkpoint(record: Record) -> Checkpoint | None:
    """Parses a sync record or header; returns None for other records and for those of earlier versions."""
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
    """Comparison of the decisive records found in a file with those that its checkpoints count."""

    def __init__(self, data: bytes, found_records: Sequence[Record]) -> None:
        """Indexes the file `data`; `found_records` are all its valid records, in file order."""
        self.data = data
        self.proven_bytes = max((records.proven_bytes_after(record) for record in found_records), default=0)
        self.offsets = [record.offset for record in found_records]
        self.digests = [DecisiveDigest()]  # digest before each record, and after the last one
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
        """Returns the digest of the decisive records that are missing between the checkpoints around a gap.

        Returns None if no checkpoint follows the gap, or if the checkpoints contradict the records found.
        """
        gap_end = gap.offset + gap.size_bytes
        before = next(point for point in reversed(self.checkpoints) if point.offset <= gap.offset)
        after = next((point for point in self.checkpoints if point.offset >= gap_end), None)
        if after is None:
            return DecisiveDigest() if self.is_damaged_sync_record(gap) else None
        written = after.digest.difference(before.digest)
        readable = self.digest_before(after.offset).difference(self.digest_before(before.offset))
        missing = written.difference(readable)
        return missing if missing.count >= 0 else None

    def is_damaged_sync_record(self, gap: Gap) -> bool:
        """Whether the gap is a sync record with a few damaged bytes, and any rest of it was never durable.

        The expected payload of the sync record is derived from the records before it.
        """
        expected = frame_sync_record(0, self.digest_before(gap.offset))
        content = self.data[gap.offset : gap.offset + gap.size_bytes]
        if len(content) < len(expected):
            return False
        pairs = zip(expected[records.FRAME_BYTES :], content[records.FRAME_BYTES :], strict=False)
        if sum(a != b for a, b in pairs) > MAX_SYNC_RECORD_DAMAGE_BYTES:
            return False
        rest = content[len(expected) :]
        is_rest_proven = gap.offset + len(expected) < self.proven_bytes
        return not rest or records.classify_gap(rest, is_rest_proven) is GapKind.NEVER_WRITTEN

    def digest_before(self, offset: int) -> DecisiveDigest:
        """Returns the digest of the records found before byte `offset`."""
        return self.digests[bisect_left(self.offsets, offset)]
