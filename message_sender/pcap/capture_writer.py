"""Writes a sender's traffic as capture files, in a process of its own.

The process (`python -m message_sender.pcap.capture_writer`) reads records from its standard input (a
`RECORD_HEADER` and data, sent by message_sender/pcap/traffic_tap.py) and ends when its input ends. The values
of configured headers are blanked before they are written to disk. Files rotate by size, and a limited number
is kept; each can be read without the others. A failure ends this process and does not affect the sender.
"""

import enum
import struct
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import BinaryIO

from message_sender.pcap.files import PcapWriter
from message_sender.pcap.writer import Address, ConnectionWriter

#: Kind, connection, side, time in ns since the epoch, and size in bytes of the data that follows.
RECORD_HEADER = struct.Struct("<BIBQI")
DEFAULT_FILES_LIMIT = 4
CLIENT_SEQ_SHIFT = 16  # a client's first sequence number is its connection's number, shifted by these bits


class RecordKind(enum.IntEnum):
    """The kinds of events of a connection that a record reports."""

    OPENED = 0  # data: client and server address
    DATA = 1
    LOST = 2  # data: the number of lost bytes
    ENDED = 3
    RESET = 4


class HeaderBlanker:
    """Blanks the values of some headers in one direction of a connection, however its bytes are split.

    Values are replaced byte by byte, so that the positions of other bytes do not change. The beginning of a
    line that may still become such a header is held back until more of the line is known. Lines of a body
    that look like such a header are blanked too.
    """

    def __init__(self, names: Iterable[str]) -> None:
        """Creates a blanker of the headers with these names, which are compared without regard to case."""
        self._prefixes = tuple(name.lower().encode() + b":" for name in names)
        self._held_back = b""
        self._is_line_start = True  # the next byte begins a line
        self._is_in_value = False  # the next byte belongs to a blanked value
        self._may_fold = False  # the next line continues a blanked value if it begins with white space

    def blank(self, data: bytes) -> bytes:
        """Takes the next bytes and returns those that can be written by now, with values blanked."""
        data = self._held_back + data
        self._held_back = b""
        lines = []
        for line in data.splitlines(keepends=True):
            is_terminated = line.endswith((b"\r", b"\n"))
            if self._is_line_start and not is_terminated and self._may_become_header(line):
                self._held_back = line
                break
            lines.append(self._blank_line(line))
            self._is_line_start = is_terminated
            self._is_in_value = self._is_in_value and not is_terminated
        return b"".join(lines)

    def flush(self) -> bytes:
        """Returns the bytes held back, at the end of the direction."""
        data = self._held_back
        self._held_back = b""
        return data

    def _blank_line(self, line: bytes) -> bytes:
        if self._is_line_start:
            shown_size = self._find_value(line)
            if line != b"\n":  # the second half of a CRLF changes nothing
                self._is_in_value = shown_size is not None
                self._may_fold = self._is_in_value
        else:
            shown_size = 0 if self._is_in_value else None
        if shown_size is None:
            return line
        return line[:shown_size] + blank_value(line[shown_size:])

    def _find_value(self, line: bytes) -> int | None:
        """Returns the offset of the value to blank in a line; None if there is none."""
        if self._may_fold and line[:1] in (b" ", b"\t"):
            return 0
        lower_line = line.lower()
        return next((len(prefix) for prefix in self._prefixes if lower_line.startswith(prefix)), None)

    def _may_become_header(self, line: bytes) -> bool:
        lower_line = line.lower()
        return any(
            len(lower_line) < len(prefix) and prefix.startswith(lower_line) for prefix in self._prefixes
        )


def blank_value(value: bytes) -> bytes:
    """Returns a value with each byte replaced, except for its line terminator."""
    content = value.rstrip(b"\r\n")
    return b"x" * len(content) + value[len(content) :]


def file_number(path: Path) -> int:
    """Returns the number in the name of a capture file."""
    return int(path.stem.split("-")[1])


def parse_address(text: str) -> Address:
    """Returns host and port of `host:port`."""
    host, _, port = text.rpartition(":")
    return host, int(port)


class CaptureWriter:
    """Writes records to rotating capture files.

    Attributes:
        folder: Where the files are written.
        file_bytes_limit: Size at which a file is closed.
        files_limit: Number of files that are kept.
        blanked_headers: Names of headers whose values are blanked.
        number: Number of the current file.
    """

    def __init__(
        self,
        folder: Path,
        file_bytes_limit: int,
        files_limit: int = DEFAULT_FILES_LIMIT,
        blanked_headers: Iterable[str] = (),
    ) -> None:
        """Opens the first file.

        Args:
            folder: Where the files are written; created if it does not exist.
            file_bytes_limit: Size at which a file is closed.
            files_limit: Number of files that are kept.
            blanked_headers: Names of headers whose values are blanked.

        Raises:
            OSError: The folder cannot be used.
        """
        self.folder = folder
        self.file_bytes_limit = file_bytes_limit
        self.files_limit = files_limit
        self.blanked_headers = tuple(blanked_headers)
        folder.mkdir(parents=True, exist_ok=True)
        self._connections: dict[int, ConnectionWriter] = {}  # in the current file
        self._addresses: dict[int, tuple[Address, Address]] = {}
        self._blankers: dict[tuple[int, int], HeaderBlanker] = {}
        self.number = max((file_number(path) for path in self.list_files()), default=0)
        self._file, self._capture = self._open_next_file()

    def list_files(self) -> list[Path]:
        """Returns the capture files in the folder, the oldest first."""
        paths = self.folder.glob("capture-*.pcap")
        return sorted((path for path in paths if path.stem.split("-")[1].isdecimal()), key=file_number)

    def read_records(self, source: BinaryIO) -> None:
        """Writes the records of a source until it ends.

        Raises:
            OSError: A file cannot be written.
        """
        while len(header := source.read(RECORD_HEADER.size)) == RECORD_HEADER.size:
            kind, connection, side, at_ns, size = RECORD_HEADER.unpack(header)
            self.write(kind, connection, side, at_ns, source.read(size))
        self.close()

    def write(self, kind: int, connection: int, side: int, at_ns: int, data: bytes) -> None:
        """Writes a record; a record of an unknown connection is ignored."""
        if kind == RecordKind.OPENED:
            client, server = data.decode().split(" ")
            self._addresses[connection] = (parse_address(client), parse_address(server))
            self._begin_connection(connection, at_ns)
        elif connection not in self._addresses:
            return  # its record `OPENED` was lost, or the connection has ended
        elif kind == RecordKind.DATA:
            blanked_data = self._blanker(connection, side).blank(data)
            self._connection(connection, at_ns).write_data(side, at_ns, blanked_data)
        elif kind == RecordKind.LOST:
            self._flush_blanker(connection, side, at_ns)
            self._connection(connection, at_ns).skip(side, int(data))
        else:
            self._end_connection(connection, side, at_ns, is_reset=kind == RecordKind.RESET)
        if self._capture.size >= self.file_bytes_limit:
            self._rotate()

    def close(self) -> None:
        """Writes the bytes that the blankers hold back, and closes the file."""
        for connection, side in list(self._blankers):
            self._flush_blanker(connection, side, self._connection(connection, 0).last_packet_at_ns)
        self._file.close()

    def _open_next_file(self) -> tuple[BinaryIO, PcapWriter]:
        self.number += 1
        files = self.list_files()
        for path in files[: max(len(files) - self.files_limit + 1, 0)]:
            path.unlink()
        file = (self.folder / f"capture-{self.number}.pcap").open("wb")
        return file, PcapWriter(file)

    def _rotate(self) -> None:
        self._file.close()
        self._file, self._capture = self._open_next_file()
        self._connections.clear()  # each gets a new handshake in the new file

    def _begin_connection(self, connection: int, at_ns: int) -> None:
        client, server = self._addresses[connection]
        client_seq = connection << CLIENT_SEQ_SHIFT
        try:
            writer = ConnectionWriter(self._capture, client, server, at_ns, client_seq)
        except ValueError:
            del self._addresses[connection]
        else:
            self._connections[connection] = writer

    def _connection(self, connection: int, at_ns: int) -> ConnectionWriter:
        if connection not in self._connections:
            self._begin_connection(connection, at_ns)
        return self._connections[connection]

    def _blanker(self, connection: int, side: int) -> HeaderBlanker:
        if (connection, side) not in self._blankers:
            self._blankers[connection, side] = HeaderBlanker(self.blanked_headers)
        return self._blankers[connection, side]

    def _flush_blanker(self, connection: int, side: int, at_ns: int) -> None:
        """Writes the bytes that a blanker holds back, when no bytes follow that could make them a header."""
        blanker = self._blankers.pop((connection, side), None)
        if blanker and (data := blanker.flush()):
            self._connection(connection, at_ns).write_data(side, at_ns, data)

    def _end_connection(self, connection: int, side: int, at_ns: int, is_reset: bool) -> None:
        for flushed_side in (0, 1):
            self._flush_blanker(connection, flushed_side, at_ns)
        self._connection(connection, at_ns).end(side, at_ns, is_reset)
        del self._connections[connection]
        del self._addresses[connection]


def main(arguments: list[str]) -> int:
    """Writes the records on standard input.

    Args:
        arguments: Folder, maximum bytes of a file, maximum number of files, names of headers to blank.

    Returns:
        The exit code: 1 if a file cannot be written, otherwise 0.
    """
    folder, file_bytes_limit, files_limit, *blanked_headers = arguments
    try:
        writer = CaptureWriter(Path(folder), int(file_bytes_limit), int(files_limit), blanked_headers)
        writer.read_records(sys.stdin.buffer)
    except OSError as error:
        print(f"message-sender: nothing more is captured: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
