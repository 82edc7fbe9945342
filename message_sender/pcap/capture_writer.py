"""Writes a sender's traffic as capture files; a process of its own, `python -m
message_sender.pcap.capture_writer`.

It hears records on its standard input (`HEAD` and data, message_sender/pcap/traffic_tap.py sends them) and
ends with it. Values of the headers that are named are blanked before they reach the disk. Files rotate by
size, and only so many are kept; each can be read alone. The sender pays for none of this, and what goes wrong
here ends here.
"""

import struct
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import BinaryIO

from message_sender.pcap.files import PcapWriter
from message_sender.pcap.writer import Address, ConnectionWriter

#: Of a record: what, connection, side, ns since the epoch, bytes of data that follow.
HEAD = struct.Struct("<BIBQI")
OPENED, PASSED, LOST, ENDED, RESET = range(5)


class Blanker:
    """Blanks the values of some headers in one direction of a connection, however its bytes are cut. They are
    replaced one by one, so that nothing moves; the beginning of a line that might still become such a header
    is kept back until that is known. Lines of a body that look like one are blanked too."""

    def __init__(self, names: Iterable[str]) -> None:
        self.names = tuple(name.lower().encode() + b":" for name in names)
        self.kept = b""
        self.fresh = True  # what comes next begins a line
        self.inside = False  # of a value that is being blanked
        self.folds = False  # the line before was blanked; one that begins with a space goes on with it

    def __call__(self, data: bytes) -> bytes:
        data, self.kept = self.kept + data, b""
        done = []
        for line in data.splitlines(keepends=True):
            ends = line.endswith((b"\r", b"\n"))
            if self.fresh:
                if not ends and self.may_become(line):
                    self.kept = line
                    break
                size = self.named(line)
                if line != b"\n":  # the second half of a line's end
                    self.inside = self.folds = size is not None
            else:
                size = 0 if self.inside else None
            done.append(line if size is None else line[:size] + hide(line[size:]))
            self.fresh = ends
            self.inside = self.inside and not ends
        return b"".join(done)

    def named(self, line: bytes) -> int | None:
        """How much of a line that begins here may be shown; None: all of it."""
        if self.folds and line[:1] in (b" ", b"\t"):
            return 0
        low = line.lower()
        return next((len(name) for name in self.names if low.startswith(name)), None)

    def may_become(self, line: bytes) -> bool:
        low = line.lower()
        return any(len(low) < len(name) and name.startswith(low) for name in self.names)

    def rest(self) -> bytes:
        """What is kept back, when nothing more comes."""
        kept, self.kept = self.kept, b""
        return kept


def hide(value: bytes) -> bytes:
    shown = value.rstrip(b"\r\n")
    return b"x" * len(shown) + value[len(shown) :]


class CaptureWriter:
    """What it is told, as files."""

    def __init__(self, folder: Path, most_bytes: int, files: int = 4, secrets: Iterable[str] = ()) -> None:
        """At most `files` files of `most_bytes` each stand in the folder. Raises OSError where it cannot be
        used."""
        self.folder, self.most_bytes, self.files = folder, most_bytes, files
        self.secrets = tuple(secrets)
        folder.mkdir(parents=True, exist_ok=True)
        self.talks: dict[int, ConnectionWriter] = {}  # in the file at hand
        self.places: dict[int, tuple[Address, Address]] = {}
        self.blankers: dict[tuple[int, int], Blanker] = {}
        self.number = max((int(each.stem.split("-")[1]) for each in self.written()), default=0)
        self.out = self.next_file()

    def written(self) -> list[Path]:
        """The files that stand there, the oldest first."""
        found = [each for each in self.folder.glob("capture-*.pcap") if each.stem.split("-")[1].isdecimal()]
        return sorted(found, key=lambda each: int(each.stem.split("-")[1]))

    def next_file(self) -> PcapWriter:
        self.number += 1
        for each in self.written()[: max(len(self.written()) - self.files + 1, 0)]:
            each.unlink()
        self.file: BinaryIO = (self.folder / f"capture-{self.number}.pcap").open("wb")
        return PcapWriter(self.file)

    def read(self, source: BinaryIO) -> None:
        """Writes records to the end of their source. Raises OSError as the disk does."""
        while len(head := source.read(HEAD.size)) == HEAD.size:
            what, connection, side, at, size = HEAD.unpack(head)
            self.write(what, connection, side, at, source.read(size))
        self.close()

    def write(self, what: int, connection: int, side: int, at: int, data: bytes) -> None:
        if what == OPENED:
            client, server = data.decode().split(" ")
            self.places[connection] = place(client), place(server)
            self.begin(connection, at)
        elif connection not in self.places:
            return  # its beginning was lost, or it is over
        elif what == PASSED:
            self.talk(connection, at).write_data(side, at, self.blanker(connection, side)(data))
        elif what == LOST:
            self.rest(connection, side, at)
            self.talk(connection, at).skip(side, int(data))
        else:
            self.over(connection, side, at, reset=what == RESET)
        if self.out.size >= self.most_bytes:
            self.file.close()
            self.out = self.next_file()
            self.talks.clear()  # each begins anew in the new file

    def begin(self, connection: int, at: int) -> None:
        client, server = self.places[connection]
        try:
            self.talks[connection] = ConnectionWriter(self.out, client, server, at, connection << 16)
        except ValueError:
            del self.places[connection]

    def talk(self, connection: int, at: int) -> ConnectionWriter:
        if connection not in self.talks:
            self.begin(connection, at)
        return self.talks[connection]

    def blanker(self, connection: int, side: int) -> Blanker:
        if (connection, side) not in self.blankers:
            self.blankers[connection, side] = Blanker(self.secrets)
        return self.blankers[connection, side]

    def rest(self, connection: int, side: int, at: int) -> None:
        """What a blanker has kept back: nothing more comes that could make it a header."""
        if (found := self.blankers.pop((connection, side), None)) and (rest := found.rest()):
            self.talk(connection, at).write_data(side, at, rest)

    def over(self, connection: int, side: int, at: int, reset: bool) -> None:
        for each in (0, 1):
            self.rest(connection, each, at)
        self.talk(connection, at).end(side, at, reset)
        del self.talks[connection], self.places[connection]

    def close(self) -> None:
        for connection, side in list(self.blankers):
            self.rest(connection, side, self.talk(connection, 0).last_packet_at_ns)
        self.file.close()


def place(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return host, int(port)


def main(words: list[str]) -> int:
    """FOLDER, bytes of a file, files, names of headers. 1 where the disk fails."""
    folder, most, files, *secrets = words
    try:
        CaptureWriter(Path(folder), int(most), int(files), secrets).read(sys.stdin.buffer)
    except OSError as error:
        print(f"message-sender: nothing more is captured: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
