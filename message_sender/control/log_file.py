"""The replicated log and the hard state of a control node in one append-only file.

Rules:

- The file begins with `MAGIC`, written when the folder is initialised, followed by frames. A frame has the
  length and the CRC-32C of its content, the CRC-32C of these two fields, and the content, a `LogBatch` in
  msgpack.
- A batch contains everything that the replica needs durable at the same time: entries to remove, entries to
  append, the hard state. It is applied completely or not at all, because a power loss tears at most one
  frame.
- Bytes that a failed write or sync may have left are truncated before the next write, so that no frame
  follows them.
- A frame at the end of the file that is cut short, or has a sector of zeros that never reached the disk, is a
  torn write: it was not confirmed, and is dropped. Any other invalid frame is damage: it is reported with its
  offset, and everything from that offset on is discarded. (The loss of complete frames at the end of a file
  cannot be distinguished from writes that were never made; the epochs of channel.py detect an old disk.)
- A damaged file is kept under another name; the frames before the damage are copied to a new file.
"""

import struct
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import google_crc32c
import msgspec

from message_sender.control.messages import Count, LogEntry
from message_sender.control.raft_types import HardState
from message_sender.journal.disk import Disk

LOG_FILE = "log"
DAMAGED_SUFFIX = ".damaged"
MAGIC = b"ELCLOG1\n"
FRAME_HEADER = struct.Struct(">III")  # length of the content, CRC of the content, CRC of these two fields
CHECKED_HEADER_BYTES = 8  # bytes of the header that its own CRC covers
FRAME_BYTES_LIMIT = 256 * 1024 * 1024
SECTOR_BYTES = 512
EMPTY_SECTOR_BYTES_MIN = 16  # fewer zeros are no evidence that a sector was never written


class LogBatch(msgspec.Struct, array_like=True, frozen=True):
    """Changes that become durable together.

    If `truncate_from` is not 0, entries with this index and later ones are removed first.
    """

    truncate_from: Count
    entries: tuple[LogEntry, ...]
    term: Count = 0  # with `voted_for`: the hard state, if `has_hard_state`
    voted_for: str = ""
    has_hard_state: bool = False


@dataclass(frozen=True, slots=True)
class LogDamage:
    """The offset of the first damaged frame, in bytes from the start of the file, and the reason."""

    offset: int
    reason: str


@dataclass(frozen=True, slots=True)
class LoadedLog:
    """The content of a log file; `torn_bytes` is the length in bytes of a torn write at its end."""

    hard_state: HardState
    entries: tuple[LogEntry, ...]
    damage: LogDamage | None = None
    torn_bytes: int = 0


def make_batch(
    hard_state: HardState | None, truncate_from: int | None, entries: Sequence[LogEntry]
) -> LogBatch:
    """Returns the batch that stores these parts of a `Ready`."""
    if hard_state is None:
        return LogBatch(truncate_from or 0, tuple(entries))
    return LogBatch(truncate_from or 0, tuple(entries), hard_state.term, hard_state.voted_for, True)


def encode_frame(batch: LogBatch) -> bytes:
    """Returns the encoded frame of a batch."""
    content = msgspec.msgpack.encode(batch)
    head = struct.pack(">II", len(content), google_crc32c.value(content))
    return head + struct.pack(">I", google_crc32c.value(head)) + content


class FrameError(ValueError):
    """Bytes that are not a valid frame; the text gives the reason."""


def decode_frame(data: bytes, offset: int) -> tuple[LogBatch, int]:
    """Decodes the frame at byte `offset`.

    Returns:
        The batch, and the offset of the next frame.

    Raises:
        FrameError: If there is no valid frame at `offset`.
    """
    if len(data) - offset < FRAME_HEADER.size:
        raise FrameError("the header is cut short")
    length, content_crc, header_crc = FRAME_HEADER.unpack_from(data, offset)
    if (
        google_crc32c.value(data[offset : offset + CHECKED_HEADER_BYTES]) != header_crc
        or length > FRAME_BYTES_LIMIT
    ):
        raise FrameError("the header does not match its checksum")
    begin = offset + FRAME_HEADER.size
    content = data[begin : begin + length]
    if len(content) < length:
        raise FrameError("the content is cut short")
    if google_crc32c.value(content) != content_crc:
        raise FrameError("the content does not match its checksum")
    try:
        return msgspec.msgpack.decode(content, type=LogBatch), begin + length
    except (msgspec.MsgspecError, ValueError) as error:
        raise FrameError(f"the content does not decode: {error}") from None


def is_torn(data: bytes, offset: int) -> bool:
    """Returns whether the bytes from `offset` to the end are a torn write.

    This is so if no valid frame follows, and the frame is cut short or has a sector of zeros.
    """
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
    is_header_valid = bool(google_crc32c.value(data[offset : offset + CHECKED_HEADER_BYTES]) == header_crc)
    return is_header_valid and len(data) - offset - FRAME_HEADER.size < length


def _has_empty_sector(data: bytes, offset: int) -> bool:
    start = offset
    while start < len(data):
        end = min((start // SECTOR_BYTES + 1) * SECTOR_BYTES, len(data))
        if end - start >= EMPTY_SECTOR_BYTES_MIN and not any(data[start:end]):
            return True
        start = end
    return False


@dataclass(slots=True)
class LogContent:
    """The entries and the hard state after a sequence of batches."""

    hard_state: HardState
    entries: list[LogEntry]

    def apply(self, batch: LogBatch) -> None:
        """Applies a batch.

        Raises:
            FrameError: If its entries leave a gap; nothing is changed in this case.
        """
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
    """The file of the log. Call `load` first, then `store` for each batch."""

    def __init__(self, folder: Path, disk: Disk) -> None:
        """Creates an accessor for the log in `folder`; the file need not exist."""
        self.folder = folder
        self.path = folder / LOG_FILE
        self.disk = disk
        self._file: int | None = None
        self._durable_size = 0
        # Whether a failed write may have left bytes after the durable ones.
        self._may_have_partial_write = False

    def create(self) -> None:
        """Creates an empty log and makes it durable.

        Raises:
            OSError: If it cannot be written.
        """
        file = self.disk.open(self.path, fresh=True)
        try:
            self.disk.write(file, MAGIC)
            self.disk.sync(file)
        finally:
            self.disk.close(file)
        self.disk.sync_folder(self.folder)

    def load(self) -> LoadedLog:
        """Reads the file, and opens it for `store` unless it is damaged.

        Raises:
            OSError: If the file cannot be read, or a torn write cannot be truncated.
        """
        data = self.disk.read(self.path)
        scan = read_log(data)
        torn_bytes = 0
        if scan.damage is None:
            torn_bytes = len(data) - scan.end
            self._file = self.disk.open(self.path)
            self._durable_size = scan.end
            if torn_bytes:
                self.disk.truncate(self._file, scan.end)
            self.disk.sync(self._file)  # a killed process may have left writes that were not synced
        return LoadedLog(scan.content.hard_state, tuple(scan.content.entries), scan.damage, torn_bytes)

    def store(self, batch: LogBatch) -> None:
        """Makes a batch durable; a slow disk can block this call for long.

        Raises:
            OSError: If the batch cannot be written. The caller may store the same batch again.
        """
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
        """Closes the file if it is open."""
        if self._file is not None:
            self.disk.close(self._file)
            self._file = None

    def replace_damaged(self, loaded: LoadedLog) -> None:
        """Replaces a damaged file by one with the content before the damage; the old file is renamed.

        The node must already be marked durably as a learner, because the new file does not show the damage.

        Raises:
            OSError: If the new file cannot be written.
        """
        new_path = self.folder / f"{LOG_FILE}.new"
        frame = encode_frame(make_batch(loaded.hard_state, None, loaded.entries))
        file = self.disk.open(new_path, fresh=True)
        self.disk.write(file, MAGIC + frame)
        self.disk.sync(file)
        self.disk.close(file)
        if self.disk.read(self.path):
            self.disk.replace(self.path, self.folder / (LOG_FILE + DAMAGED_SUFFIX))
        self.disk.replace(new_path, self.path)
        self.disk.sync_folder(self.folder)
        self._file = self.disk.open(self.path)
        self._durable_size = len(MAGIC) + len(frame)


@dataclass(frozen=True, slots=True)
class LogScan:
    """The result of parsing the bytes of a log.

    Attributes:
        content: The content of the valid frames.
        end: The offset in bytes at which the valid frames end.
        damage: The damage at `end`, or None if the rest is empty or a torn write.
    """

    content: LogContent
    end: int
    damage: LogDamage | None = None


def read_log(data: bytes) -> LogScan:
    """Parses the bytes of a log file."""
    content = LogContent(HardState(), [])
    if not data:
        return LogScan(content, 0, LogDamage(0, "the file is missing or empty"))
    if not data.startswith(MAGIC):
        return LogScan(content, 0, LogDamage(0, "the file does not begin with the log's magic bytes"))
    offset = len(MAGIC)
    while offset < len(data):
        try:
            batch, end = decode_frame(data, offset)
            content.apply(batch)
        except FrameError as error:
            damage = None if is_torn(data, offset) else LogDamage(offset, str(error))
            return LogScan(content, offset, damage)
        offset = end
    return LogScan(content, offset)
