r"""Framed records with checksums, and the recovery of records from a damaged file. Pure.

    2 LENGTH CHECKSUM DURABLE PAYLOAD\n

The fields of a record are the format version 2, the length of the payload in bytes (8 hex digits), a CRC-32C
over length, durable size and payload (8 hex digits), the durable size in bytes (10 hex digits), and the
payload, one JSON object. After damage, the search for the next record tries every byte. A record is accepted
only if its checksum matches, and no record can start inside the payload of another one, because JSON escapes
the quotes in a string.

The durable size says how many bytes of the file were durable when the record was written. The first record of
a file is its header; its field `whole` says how many bytes were durable before the file got its name. A file
is proven durable up to the highest of these numbers. Bytes that belong to no valid record form a `Gap`, which
is of one of three kinds:

- `DURABLE`: the gap begins below the proven size. The sender may have acted on the lost records.
- `UNPROVEN`: the gap begins above the proven size, and valid records follow. It is treated as `DURABLE`,
  which is the safe choice.
- `NEVER_WRITTEN`: the gap begins above the proven size, valid records follow, and it contains zero bytes,
  which no record does. A power loss leaves such gaps where data was written and not synced; the sender never
  acted on these records.

Bytes at the end of the file that are neither valid records nor proven durable are the tail: a write that was
torn when the process ended.
"""

import json
import re
from dataclasses import dataclass
from enum import Enum
from typing import Any

import google_crc32c

FRAME_PATTERN = re.compile(rb"2 ([0-9a-f]{8}) ([0-9a-f]{8}) ([0-9a-f]{10}) ")
FRAME_BYTES = 31  # size of the frame before the payload
MAX_PAYLOAD_BYTES = 64 * 1024 * 1024  # a greater length means that the frame is damaged
UNWRITTEN_BYTES = bytes(8)  # 8 consecutive zero bytes cannot come from a flipped bit


class GapKind(Enum):
    """Whether the bytes of a gap were durable. The values are shown to operators."""

    DURABLE = "were durable"
    UNPROVEN = "may have been durable"
    NEVER_WRITTEN = "were never durable"


@dataclass(frozen=True, slots=True)
class Record:
    """A record whose checksum matches.

    Attributes:
        offset: Position of its first byte in the file.
        size_bytes: Size including the frame.
        durable_bytes: How many bytes of the file were durable when the record was written.
        payload: The decoded JSON object.
    """

    offset: int
    size_bytes: int
    durable_bytes: int
    payload: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Gap:
    """A range of bytes that belongs to no valid record."""

    offset: int
    size_bytes: int
    kind: GapKind = GapKind.DURABLE


@dataclass(frozen=True, slots=True)
class ScanResult:
    """The records and gaps of a file.

    Attributes:
        records: All valid records, in file order.
        gaps: The gaps of kind DURABLE or UNPROVEN; the sender may have acted on the lost records.
        unwritten_gaps: The gaps of kind NEVER_WRITTEN.
        tail_bytes: Number of bytes at the end that were never durable and are dropped.
    """

    records: tuple[Record, ...]
    gaps: tuple[Gap, ...]
    unwritten_gaps: tuple[Gap, ...]
    tail_bytes: int


def frame_record(payload: bytes, durable_bytes: int) -> bytes:
    """Returns the encoded record; `durable_bytes` is how many bytes of its file are durable."""
    checked = b"%08x %010x " % (len(payload), durable_bytes)
    checksum = google_crc32c.value(checked + payload)
    return b"2 %08x %08x %010x %s\n" % (len(payload), checksum, durable_bytes, payload)


def parse_record(data: bytes, offset: int) -> Record | None:
    """Parses the record that begins at `offset`; returns None if there is no valid one.

    The line end is not checked: it carries no information, and a check would let damage to this one byte cost
    a further record.
    """
    frame = FRAME_PATTERN.match(data, offset)
    if frame is None:
        return None
    length, checksum, durable_bytes = (int(digits, 16) for digits in frame.groups())
    begin = offset + FRAME_BYTES
    end = begin + length
    if length > MAX_PAYLOAD_BYTES or end >= len(data):
        return None
    if google_crc32c.value(b"%08x %010x " % (length, durable_bytes) + data[begin:end]) != checksum:
        return None
    try:
        payload = json.loads(data[begin:end])
    except ValueError:
        return None
    if not isinstance(payload, dict):
        return None
    return Record(offset, end + 1 - offset, durable_bytes, payload)


def scan_records(data: bytes) -> ScanResult:
    """Finds all valid records of a file and the gaps between them; damaged contents never raise an error."""
    records, ranges = _records_and_gaps(data)
    proven_bytes = max((proven_bytes_after(record) for record in records), default=0)
    tail_bytes = 0
    if ranges and ranges[-1][1] == len(data) and ranges[-1][0] >= proven_bytes:
        begin, end = ranges.pop()
        tail_bytes = end - begin
    gaps = [
        Gap(begin, end - begin, classify_gap(data[begin:end], begin < proven_bytes)) for begin, end in ranges
    ]
    return ScanResult(
        tuple(records),
        tuple(gap for gap in gaps if gap.kind is not GapKind.NEVER_WRITTEN),
        tuple(gap for gap in gaps if gap.kind is GapKind.NEVER_WRITTEN),
        tail_bytes,
    )


def _records_and_gaps(data: bytes) -> tuple[list[Record], list[tuple[int, int]]]:
    """Returns the valid records, and the start and end offset of each gap."""
    records: list[Record] = []
    gaps: list[tuple[int, int]] = []
    offset = 0
    while offset < len(data):
        record = parse_record(data, offset)
        if record is None:
            record = find_record(data, offset + 1)
            gaps.append((offset, record.offset if record else len(data)))
        if record is None:
            break
        records.append(record)
        offset = record.offset + record.size_bytes
    return records, gaps


def find_record(data: bytes, offset: int) -> Record | None:
    """Returns the first valid record that begins at or after `offset`."""
    while frame := FRAME_PATTERN.search(data, offset):
        if record := parse_record(data, frame.start()):
            return record
        offset = frame.start() + 1
    return None


def classify_gap(content: bytes, is_proven: bool) -> GapKind:
    """Returns the kind of a gap; `is_proven` says whether the gap begins below the proven size."""
    if is_proven:
        return GapKind.DURABLE
    if UNWRITTEN_BYTES in content or content.endswith(b"\0"):
        return GapKind.NEVER_WRITTEN
    return GapKind.UNPROVEN


def proven_bytes_after(record: Record) -> int:
    """Returns how many bytes of the file this record proves durable."""
    header_bytes = record.payload.get("whole", 0) if "journal" in record.payload else 0
    return max(record.durable_bytes, header_bytes if isinstance(header_bytes, int) else 0)
