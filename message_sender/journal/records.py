r"""Framed records with checksums, and what a damaged file still tells. Pure.

    2 LENGTH CHECKSUM MARK PAYLOAD\n

Version, then length (8 hex digits, bytes of the payload), CRC-32C (8, over length, mark and payload), mark
(10) and one JSON object. After damage the next record is searched for at every byte: a record counts only if
its checksum is right, and none can stand inside another one's payload, as JSON escapes the quotes in a text.

The mark says how many bytes of the file were durable when the record was written. The first record of a file
is its header; its field `whole` says how much was durable before the file got its name. A file is proven
durable up to the highest of these numbers. Bytes that are no record are a `Gap`, of one of three kinds:

- `DURABLE`: it begins below the proven size. Something may have been done on the strength of what it held.
- `UNPROVEN`: it begins above, and whole records follow. It is treated as `DURABLE`, the more careful way.
- `NEVER_WRITTEN`: it begins above, whole records follow, and it holds zeros, which no record does. That is
  what a power loss leaves of what was written and not synced: nothing was done on its strength.

Bytes at the end that are no record and not proven are the tail: what was being written as the process ended.
"""

import json
import re
from dataclasses import dataclass
from enum import Enum
from typing import Any

import google_crc32c

FRAME_PATTERN = re.compile(rb"2 ([0-9a-f]{8}) ([0-9a-f]{8}) ([0-9a-f]{10}) ")
FRAME_BYTES = 31  # before the payload
MAX_PAYLOAD_BYTES = 64 * 1024 * 1024  # a greater length is damage
UNWRITTEN_BYTES = bytes(8)  # so many zero bytes in a row are no flipped bit


class GapKind(Enum):
    """Whether the bytes of a gap were durable. The texts are shown to people."""

    DURABLE = "were durable"
    UNPROVEN = "may have been durable"
    NEVER_WRITTEN = "were never durable"


@dataclass(frozen=True, slots=True)
class Record:
    """A record whose checksum is right.

    Attributes:
        offset: Its first byte in the file.
        size_bytes: With its frame.
        durable_bytes: Its mark: bytes of the file that were durable when it was written.
        payload: Its JSON object.
    """

    offset: int
    size_bytes: int
    durable_bytes: int
    payload: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Gap:
    """Bytes that are no record."""

    offset: int
    size_bytes: int
    kind: GapKind = GapKind.DURABLE


@dataclass(frozen=True, slots=True)
class ScanResult:
    """What a file holds.

    Attributes:
        records: All whole records, in the order of the file.
        gaps: Those of kind DURABLE or UNPROVEN: something may have been done on the strength of each.
        unwritten_gaps: Those of kind NEVER_WRITTEN.
        tail_bytes: Bytes at the end that were never durable, and are dropped.
    """

    records: tuple[Record, ...]
    gaps: tuple[Gap, ...]
    unwritten_gaps: tuple[Gap, ...]
    tail_bytes: int


def frame_record(payload: bytes, durable_bytes: int) -> bytes:
    """Returns the bytes of a record. `durable_bytes`: how much of its file is durable."""
    checked = b"%08x %010x " % (len(payload), durable_bytes)
    checksum = google_crc32c.value(checked + payload)
    return b"2 %08x %08x %010x %s\n" % (len(payload), checksum, durable_bytes, payload)


def parse_record(data: bytes, offset: int) -> Record | None:
    """Reads the record that begins at `offset`; None: there is no whole one.

    Its line end is not checked: it tells nothing, and damage to it would cost the next record too.
    """
    head = FRAME_PATTERN.match(data, offset)
    if head is None:
        return None
    length, checksum, durable_bytes = (int(digits, 16) for digits in head.groups())
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
    """Finds all whole records of a file, and the gaps between them. Never raises for what the file holds."""
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
    """The whole records, and of each gap the first byte and the one after it."""
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
    """Returns the first whole record that begins at `offset` or behind it."""
    while head := FRAME_PATTERN.search(data, offset):
        if record := parse_record(data, head.start()):
            return record
        offset = head.start() + 1
    return None


def classify_gap(content: bytes, is_proven: bool) -> GapKind:
    """Returns the kind of a gap. `is_proven`: the file is proven durable beyond its first byte."""
    if is_proven:
        return GapKind.DURABLE
    if UNWRITTEN_BYTES in content or content.endswith(b"\0"):
        return GapKind.NEVER_WRITTEN
    return GapKind.UNPROVEN


def proven_bytes_after(record: Record) -> int:
    """Returns how many bytes of the file were durable, as far as this record tells."""
    header_bytes = record.payload.get("whole", 0) if "journal" in record.payload else 0
    return max(record.durable_bytes, header_bytes if isinstance(header_bytes, int) else 0)
