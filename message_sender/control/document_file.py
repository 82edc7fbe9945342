"""A document on a sender's disk: one file, replaced in one step, believed whole or not at all.

The file is a magic line, the length of the rest and its CRC-32C (8 and 4 bytes, big endian), and the document
as a snapshot. When `store` returns, content and name are durable.
"""

import struct
from pathlib import Path

import google_crc32c

from message_sender.control.document import Document, SnapshotError, decode_snapshot, encode_snapshot
from message_sender.journal.disk import Disk

MAGIC = b"elmglade document 1\n"
HEADER = struct.Struct(">QI")  # length of the body in bytes, its CRC-32C
BODY_OFFSET = len(MAGIC) + HEADER.size


class DamagedDocumentError(ValueError):
    """A file that is not believed."""

    def __init__(self, path: Path, offset: int, reason: str) -> None:
        super().__init__(f"{path}: damaged at byte {offset}: {reason}")
        self.path, self.offset, self.reason = path, offset, reason


class DocumentFile:
    """Keeps one document."""

    def __init__(self, path: Path, disk: Disk) -> None:
        self.path, self.disk = path, disk

    def load(self) -> Document | None:
        """What was stored last; None where nothing was. Raises DamagedDocumentError and OSError."""
        data = self.disk.read(self.path)
        if not data:
            return None
        if not data.startswith(MAGIC):
            raise self._make_error(0, "it does not begin as a document does")
        if len(data) < BODY_OFFSET:
            raise self._make_error(len(data), "it ends within its header")
        length, checksum = HEADER.unpack_from(data, len(MAGIC))
        body = data[BODY_OFFSET:]
        if len(body) != length:
            raise self._make_error(BODY_OFFSET, f"{length} bytes should follow, and {len(body)} do")
        if google_crc32c.value(body) != checksum:
            raise self._make_error(BODY_OFFSET, "the checksum of what follows is another one")
        try:
            return decode_snapshot(body)
        except SnapshotError as error:
            raise self._make_error(BODY_OFFSET, str(error)) from None

    def _make_error(self, offset: int, reason: str) -> DamagedDocumentError:
        """The error for this file."""
        return DamagedDocumentError(self.path, offset, reason)

    def store(self, document: Document) -> None:
        """Replaces what was there. Raises OSError; what was there before is then there still."""
        body = encode_snapshot(document)
        fresh = self.path.with_name(f"{self.path.name}.new")
        file = self.disk.open(fresh, fresh=True)
        try:
            self.disk.write(file, MAGIC + HEADER.pack(len(body), google_crc32c.value(body)) + body)
            self.disk.sync(file)
        finally:
            self.disk.close(file)
        self.disk.replace(fresh, self.path)
        self.disk.sync_folder(self.path.parent)

    def move_damaged_aside(self) -> Path:
        """Moves a damaged file out of the way, and tells where to. Raises OSError."""
        aside = self.path.with_name(f"{self.path.name}.damaged")
        self.disk.replace(self.path, aside)
        return aside

    def remove(self) -> None:
        """Removes it, if it is there. Raises OSError."""
        self.disk.unlink(self.path)
