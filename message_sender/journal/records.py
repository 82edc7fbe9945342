"""The form of a record that survives the machine, and what a damaged file still tells. Pure.

    2 LENGTH CHECKSUM MARK PAYLOAD\\n

Version, then length (8 hex digits, bytes of the payload), CRC-32C (8, over length, mark and payload), mark
(10) and one JSON object. After damage the next record is searched for at every byte: a record counts only if
its checksum is right, and none can stand inside another one's payload, as JSON escapes the quotes in a text.

`mark` says how many bytes of this file were durable when the record was written. The first record of a file
is its header; its `whole` says how much was durable before the file got its name. A file is proven durable up
to the highest of these numbers. Bytes that are no record are a `Hole`, of one of three kinds:

- `DURABLE`: it begins below the proven size. Something may have been done on the strength of what it held.
- `UNPROVEN`: it begins above, and whole records follow. It is treated as `DURABLE`, the more careful way.
- `NEVER_WRITTEN`: it begins above, whole records follow, and it holds zeros, which no record does. That is
  what a power loss leaves of what was written and not synced: nothing was done on its strength.

Bytes at the end that are no record and not proven are the `tail`: what was being written as the life ended.
"""

import json
import re
from dataclasses import dataclass
from enum import Enum
from typing import Any

import google_crc32c

HEAD = re.compile(rb"2 ([0-9a-f]{8}) ([0-9a-f]{8}) ([0-9a-f]{10}) ")
WIDTH = 31  # bytes before the payload
MOST = 64 * 1024 * 1024  # bytes of a payload; a length beyond is damage
ZEROS = bytes(8)  # so many zero bytes in a row are no flipped bit


class HoleKind(Enum):
    """Whether the bytes of a hole were durable; the texts are for people."""

    DURABLE = "were durable"
    UNPROVEN = "may have been durable"
    NEVER_WRITTEN = "were never durable"


@dataclass(frozen=True, slots=True)
class Record:
    at: int  # byte in the file
    size: int  # bytes with its frame
    mark: int
    told: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Hole:
    """Bytes that are no record."""

    at: int
    size: int
    kind: HoleKind = HoleKind.DURABLE


@dataclass(frozen=True, slots=True)
class Reading:
    records: tuple[Record, ...]  # all that are whole
    holes: tuple[Hole, ...]  # DURABLE or UNPROVEN: something may have been done on the strength of each
    unwritten: tuple[Hole, ...]  # NEVER_WRITTEN
    tail: int  # bytes at the end that were never durable, and are dropped


def frame(payload: bytes, mark: int) -> bytes:
    """The bytes of a record; `mark`: bytes of its file that are durable."""
    told = b"%08x %010x " % (len(payload), mark)
    return b"2 %08x %08x %010x %s\n" % (len(payload), google_crc32c.value(told + payload), mark, payload)


def one(data: bytes, at: int) -> Record | None:
    """The record that begins there, if it is whole. Its line end tells nothing, and may be damaged: else the
    next record would go with it."""
    head = HEAD.match(data, at)
    if head is None:
        return None
    length, checksum, mark = (int(each, 16) for each in head.groups())
    begin, end = at + WIDTH, at + WIDTH + length
    if length > MOST or end >= len(data):
        return None
    if google_crc32c.value(b"%08x %010x " % (length, mark) + data[begin:end]) != checksum:
        return None
    try:
        told = json.loads(data[begin:end])
    except ValueError:
        return None
    return Record(at, end + 1 - at, mark, told) if isinstance(told, dict) else None


def read(data: bytes) -> Reading:
    """Never raises for what the file holds."""
    found: list[Record] = []
    gaps: list[tuple[int, int]] = []  # the first byte of each, and the one after it
    at = 0
    while at < len(data):
        record = one(data, at)
        if record is None:
            record = next_whole(data, at + 1)
            gaps.append((at, record.at if record else len(data)))
        if record is None:
            break
        found.append(record)
        at = record.at + record.size
    durable = max((durable_after(each) for each in found), default=0)
    tail = 0
    if gaps and gaps[-1][1] == len(data) and gaps[-1][0] >= durable:
        begin, end = gaps.pop()
        tail = end - begin
    holes = [Hole(begin, end - begin, kind_of(data[begin:end], begin < durable)) for begin, end in gaps]
    return Reading(
        tuple(found),
        tuple(each for each in holes if each.kind is not HoleKind.NEVER_WRITTEN),
        tuple(each for each in holes if each.kind is HoleKind.NEVER_WRITTEN),
        tail,
    )


def next_whole(data: bytes, at: int) -> Record | None:
    """The first whole record that begins at this byte or behind it."""
    while head := HEAD.search(data, at):
        if record := one(data, head.start()):
            return record
        at = head.start() + 1
    return None


def kind_of(content: bytes, proven: bool) -> HoleKind:
    """`proven`: the file is proven durable beyond the first of these bytes."""
    if proven:
        return HoleKind.DURABLE
    lost = ZEROS in content or content.endswith(b"\0")
    return HoleKind.NEVER_WRITTEN if lost else HoleKind.UNPROVEN


def durable_after(record: Record) -> int:
    """Up to where the file was durable, as this record tells."""
    whole = record.told.get("whole", 0) if "journal" in record.told else 0
    return max(record.mark, whole if isinstance(whole, int) else 0)
