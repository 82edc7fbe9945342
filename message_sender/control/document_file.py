"""A document on a sender's disk: one file, replaced atomically and protected by a checksum.

The file contains a magic line, the length of the body and its CRC-32C (8 and 4 bytes, big endian), and the
body, which is the document as a snapshot. When `store` returns, the content and the name of the file are
durable.
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
    """A file does not contain a valid document."""

    def __init__(self, path: Path, offset: int, reason: str) -> None:
        """Creates the error for the damage at byte `offset`."""
        super().__init__(f"{path}: damaged at byte {offset}: {reason}")
        self.path = path
        self.offset = offset
        self.reason = reason


class DocumentFile:
    """The file that stores one document."""

    def __init__(self, path: Path, disk: Disk) -> None:
        """Creates an accessor for the file at `path`, which need not exist."""
        self.path = path
        self.disk = disk

    def load(self) -> Document | None:
        """Returns the stored document, or None if the file does not exist or is empty.

        Raises:
            DamagedDocumentError: If the file does not contain a valid document.
            OSError: If it cannot be read.
        """
        data = self.disk.read(self.path)
        if not data:
            return None
        if not data.startswith(MAGIC):
            raise self._make_error(
                0, f"expected the file to begin with {MAGIC!r}, got {data[: len(MAGIC)]!r}"
            )
        if len(data) < BODY_OFFSET:
            raise self._make_error(
                len(data), f"expected a header of {BODY_OFFSET} bytes, got {len(data)} bytes"
            )
        length, checksum = HEADER.unpack_from(data, len(MAGIC))
        body = data[BODY_OFFSET:]
        if len(body) != length:
            raise self._make_error(BODY_OFFSET, f"expected a body of {length} bytes, got {len(body)}")
        if google_crc32c.value(body) != checksum:
            raise self._make_error(
                BODY_OFFSET,
                f"expected a body with CRC-32C {checksum:#010x}, got {google_crc32c.value(body):#010x}",
            )
        try:
            return decode_snapshot(body)
        except SnapshotError as error:
            raise self._make_error(BODY_OFFSET, str(error)) from None

    def _make_error(self, offset: int, reason: str) -> DamagedDocumentError:
        return DamagedDocumentError(self.path, offset, reason)

    def store(self, document: Document) -> None:
        """Replaces the stored document.

        Raises:
            OSError: If the file cannot be written; the previous document is still stored in this case.
        """
        body = encode_snapshot(document)
        new_path = self.path.with_name(f"{self.path.name}.new")
        file = self.disk.open(new_path, fresh=True)
        try:
            self.disk.write(file, MAGIC + HEADER.pack(len(body), google_crc32c.value(body)) + body)
            self.disk.sync(file)
        finally:
            self.disk.close(file)
        self.disk.replace(new_path, self.path)
        self.disk.sync_folder(self.path.parent)

    def move_damaged_aside(self) -> Path:
        """Renames a damaged file and returns its new path.

        Raises:
            OSError: If it cannot be renamed.
        """
        renamed = self.path.with_name(f"{self.path.name}.damaged")
        self.disk.replace(self.path, renamed)
        return renamed

    def remove(self) -> None:
        """Removes the file if it exists.

        Raises:
            OSError: If it cannot be removed.
        """
        self.disk.unlink(self.path)
