"""The replicated log and the hard state of a control node in one file that only grows.

Rules:

- The file begins with `MAGIC`, written when the folder is initialised. Behind it stand frames: the length and
  the CRC-32C of the content, the CRC-32C of these two, then the content, a `LogBatch` in msgpack.
- A batch is what the replica wants durable at once: entries to remove, entries to append, the hard state. It
  counts whole or not at all, so that one write that a power loss tears is one frame.
- What a write or sync that failed may have left is cut off before the next one: nothing stands behind it.
- A frame that ends the file and is cut short, or has a sector of zeros that never reached the disk, is a torn
  write: it was not confirmed, and is dropped. Anything else that does not check is damage, named by its
  offset, and nothing from there on is believed. (The loss of whole frames at the end of a file can't be told
  from writes that were never made; the epochs of channel.py are what notices an old disk.)
- A damaged file is kept under another name; the frames before the damage go on in a new one.
"""

import struct
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import google_crc32c
import msgspec

from message_sender.control.messages import Count, LogEntry
from message_sender.control.raft import HardState
from message_sender.journal.disk import Disk

LOG_FILE = "log"
DAMAGED_SUFFIX = ".damaged"
MAGIC = b"ELCLOG1\n"
FRAME_HEADER = struct.Struct(">III")  # length, CRC of the content, CRC of these two
FRAME_BYTES_LIMIT = 256 * 1024 * 1024
SECTOR_BYTES = 512
EMPTY_SECTOR_BYTES_MIN = 16  # bytes of a sector that must be zeros for it to count as never written


class LogBatch(msgspec.Struct, array_like=True, frozen=True):
    """What becomes durable at once. Entries from `truncate_from` on are removed first; 0: none are."""

    truncate_from: Count
    entries: tuple[LogEntry, ...]
    term: Count = 0  # with `voted_for`: the hard state, if `has_hard_state`
    voted_for: str = ""
    has_hard_state: bool = False


@dataclass(frozen=True, slots=True)
class LogDamage:
    """Where a log ceases to be believed, in bytes from its beginning, and why."""

    offset: int
    reason: str


@dataclass(frozen=True, slots=True)
class LoadedLog:
    """What a log holds. `torn_bytes`: of a write at the end that was never whole."""

    hard_state: HardState
    entries: tuple[LogEntry, ...]
    damage: LogDamage | None = None
    torn_bytes: int = 0


def make_batch(
    hard_state: HardState | None, truncate_from: int | None, entries: Sequence[LogEntry]
) -> LogBatch:
    """The batch of a `Ready`."""
    if hard_state is None:
        return LogBatch(truncate_from or 0, tuple(entries))
    return LogBatch(truncate_from or 0, tuple(entries), hard_state.term, hard_state.voted_for, True)


def encode_frame(batch: LogBatch) -> bytes:
    content = msgspec.msgpack.encode(batch)
    head = struct.pack(">II", len(content), google_crc32c.value(content))
    return head + struct.pack(">I", google_crc32c.value(head)) + content


class FrameError(ValueError):
    """Bytes that are no whole frame; the text says why."""


def decode_frame(data: bytes, offset: int) -> tuple[LogBatch, int]:
    """The frame at `offset` and where the next one begins. Raises FrameError."""
    if len(data) - offset < FRAME_HEADER.size:
        raise FrameError("the header is cut short")
    length, content_crc, header_crc = FRAME_HEADER.unpack_from(data, offset)
    if google_crc32c.value(data[offset : offset + 8]) != header_crc or length > FRAME_BYTES_LIMIT:
        raise FrameError("the header does not fit its checksum")
    begin = offset + FRAME_HEADER.size
    content = data[begin : begin + length]
    if len(content) < length:
        raise FrameError("the content is cut short")
    if google_crc32c.value(content) != content_crc:
        raise FrameError("the content does not fit its checksum")
    try:
        return msgspec.msgpack.decode(content, type=LogBatch), begin + length
    except (msgspec.MsgspecError, ValueError) as error:
        raise FrameError(f"the content does not decode: {error}") from None


def is_torn(data: bytes, offset: int) -> bool:
    """Whether the bytes from `offset` to the end are a write that a power loss tore: no whole frame stands
    behind them, and they are cut short or have a sector of zeros."""
    for later in range(offset + 1, len(data) - FRAME_HEADER.size + 1):
        try:
            decode_frame(data, later)
        except FrameError:
            continue
        return False
    return _is_cut_short(data, offset) or _has_empty_sector(data, offset)


def _is_cut_short(data: bytes, offset: int) -> bool:
    if len(data) - offset < FRAME_HEADER.size:
        return True
    length, _, header_crc = FRAME_HEADER.unpack_from(data, offset)
    is_header_whole = bool(google_crc32c.value(data[offset : offset + 8]) == header_crc)
    return is_header_whole and len(data) - offset - FRAME_HEADER.size < length


def _has_empty_sector(data: bytes, offset: int) -> bool:
    at = offset
    while at < len(data):
        end = min((at // SECTOR_BYTES + 1) * SECTOR_BYTES, len(data))
        if end - at >= EMPTY_SECTOR_BYTES_MIN and not any(data[at:end]):
            return True
        at = end
    return False


@dataclass(slots=True)
class LogContent:
    """Entries and hard state as batches make them."""

    hard_state: HardState
    entries: list[LogEntry]

    def apply(self, batch: LogBatch) -> None:
        """Raises FrameError for entries that leave a gap; nothing is changed then."""
        last = len(self.entries)
        if batch.truncate_from:
            last = min(last, batch.truncate_from - 1)
        for index, entry in enumerate(batch.entries, last + 1):
            if entry.index != index:
                raise FrameError(f"entry {entry.index} follows entry {index - 1}")
        del self.entries[last:]
        self.entries.extend(batch.entries)
        if batch.has_hard_state:
            self.hard_state = HardState(batch.term, batch.voted_for)


class LogFile:
    """The log's file; `load` comes first, then batches by `store`."""

    def __init__(self, folder: Path, disk: Disk) -> None:
        self.folder, self.path, self.disk = folder, folder / LOG_FILE, disk
        self._file: int | None = None
        self._durable_size = 0
        self._may_have_partial_write = (
            False  # a write that failed may have left bytes behind the durable ones
        )

    def create(self) -> None:
        """Makes an empty log, durable. Raises OSError."""
        file = self.disk.open(self.path, fresh=True)
        try:
            self.disk.write(file, MAGIC)
            self.disk.sync(file)
        finally:
            self.disk.close(file)
        self.disk.sync_folder(self.folder)

    def load(self) -> LoadedLog:
        """What the file holds; a whole one is open for `store` then. Raises OSError."""
        data = self.disk.read(self.path)
        content, end, damage = read_log(data)
        torn = 0 if damage else len(data) - end
        if damage is None:
            self._file = self.disk.open(self.path)
            self._durable_size = end
            if torn:
                self.disk.truncate(self._file, end)
            self.disk.sync(self._file)  # what a process that was killed had written, but not synced
        return LoadedLog(content.hard_state, tuple(content.entries), damage, torn)

    def store(self, batch: LogBatch) -> None:
        """Makes a batch durable; may take long. Raises OSError, and the batch may be stored again then."""
        assert self._file is not None
        if self._may_have_partial_write:
            self.disk.truncate(self._file, self._durable_size)
        self._may_have_partial_write = True
        frame = encode_frame(batch)
        self.disk.write(self._file, frame)
        self.disk.sync(self._file)
        self._durable_size += len(frame)
        self._may_have_partial_write = False

    def close(self) -> None:
        if self._file is not None:
            self.disk.close(self._file)
            self._file = None

    def replace_damaged(self, loaded: LoadedLog) -> None:
        """Goes on with what stood before the damage in a new file, and keeps the damaged one beside it. The
        node is to be marked as a learner before, durably: the new file does not show it."""
        new = self.folder / f"{LOG_FILE}.new"
        kept = encode_frame(make_batch(loaded.hard_state, None, loaded.entries))
        file = self.disk.open(new, fresh=True)
        self.disk.write(file, MAGIC + kept)
        self.disk.sync(file)
        self.disk.close(file)
        if self.disk.read(self.path):
            self.disk.replace(self.path, self.folder / (LOG_FILE + DAMAGED_SUFFIX))
        self.disk.replace(new, self.path)
        self.disk.sync_folder(self.folder)
        self._file = self.disk.open(self.path)
        self._durable_size = len(MAGIC) + len(kept)


def read_log(data: bytes) -> tuple[LogContent, int, LogDamage | None]:
    """What a log's bytes hold, where the whole frames end, and the damage there unless it is a torn write."""
    content = LogContent(HardState(), [])
    if not data.startswith(MAGIC):
        return content, 0, LogDamage(0, "there is no log" if not data else "it does not begin as a log does")
    offset = len(MAGIC)
    while offset < len(data):
        try:
            batch, end = decode_frame(data, offset)
            content.apply(batch)
        except FrameError as error:
            damage = None if is_torn(data, offset) else LogDamage(offset, str(error))
            return content, offset, damage
        offset = end
    return content, offset, None
