"""What a running sender receives and sends, as capture files: a witness of its connections.

The sender's turn only appends to a bounded queue; a thread of its own writes. Where that thread falls behind,
records are lost and counted, never time. Values of the headers that are named are blanked before they reach
the disk. Files rotate by size, and only so many are kept.
"""

import logging
import queue
import threading
import time
from collections.abc import Iterable
from pathlib import Path
from typing import BinaryIO

from elmglade.pcap.files import Writer
from elmglade.pcap.writer import Conversation, Place

WAITING = 4096  # records between the turn and the thread

log = logging.getLogger(__name__)

Record = tuple[str, int, int, int, bytes | tuple[Place, Place]]  # what, connection, side, ns, data


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


class Tap:
    """A witness (elmglade/core/ports.py). Its methods are called in the sender's turn and never wait."""

    def __init__(self, folder: Path, most_bytes: int, files: int = 4, secrets: Iterable[str] = ()) -> None:
        """At most `files` files of `most_bytes` each stand in the folder. Raises OSError where it cannot be
        used."""
        self.folder, self.most_bytes, self.files = folder, most_bytes, files
        self.secrets = tuple(secrets)
        folder.mkdir(parents=True, exist_ok=True)
        self.records: queue.Queue[Record | None] = queue.Queue(WAITING)
        self.lost = 0  # records that found no room
        self.failed = ""  # what ended the writing
        self.connections = 0
        self.talks: dict[int, Conversation] = {}
        self.places: dict[int, tuple[Place, Place]] = {}
        self.blankers: dict[tuple[int, int], Blanker] = {}
        self.number = max((int(each.stem.split("-")[1]) for each in self.written()), default=0)
        self.out = self.next_file()
        self.thread = threading.Thread(target=self.write_all, name="capture", daemon=True)
        self.thread.start()

    # In the sender's turn.

    def opened(self, client: Place, server: Place) -> int:
        """A connection has come up; its number."""
        self.connections += 1
        self.put(("open", self.connections, 0, time.time_ns(), (client, server)))
        return self.connections

    def passed(self, connection: int, side: int, data: bytes) -> None:
        """Bytes from the client (side 0) or from the server (1)."""
        self.put(("data", connection, side, time.time_ns(), data))

    def ended(self, connection: int, side: int, reset: bool) -> None:
        self.put(("end", connection, side, time.time_ns(), b"r" if reset else b""))

    def put(self, record: Record) -> None:
        try:
            self.records.put_nowait(record)
        except queue.Full:
            self.lost += 1

    def close(self) -> None:
        """Writes what waits. May take a moment: it is for the end of a process."""
        self.records.put(None)
        self.thread.join()
        if self.lost:
            log.warning("the capture lost %d records", self.lost)

    # In the thread.

    def written(self) -> list[Path]:
        found = [each for each in self.folder.glob("capture-*.pcap") if each.stem.split("-")[1].isdecimal()]
        return sorted(found, key=lambda each: int(each.stem.split("-")[1]))

    def next_file(self) -> Writer:
        self.number += 1
        for each in self.written()[: max(len(self.written()) - self.files + 1, 0)]:
            each.unlink()
        self.file: BinaryIO = (self.folder / f"capture-{self.number}.pcap").open("wb")
        return Writer(self.file)

    def write_all(self) -> None:
        try:
            while (record := self.records.get()) is not None:
                self.write(record)
                if self.records.empty():
                    self.file.flush()
            for connection in list(self.talks):
                self.flush_rest(connection, time.time_ns())
            self.file.close()
        except OSError as error:
            self.failed = str(error)
            log.error("nothing more is captured: %s", error)
            while self.records.get() is not None:
                self.lost += 1

    def write(self, record: Record) -> None:
        what, connection, side, at, told = record
        if what == "open":
            assert not isinstance(told, bytes)
            self.places[connection] = told
            self.begin(connection, at)
        elif connection not in self.places:
            return  # its beginning was lost, or it is over
        elif what == "data":
            assert isinstance(told, bytes)
            self.talk(connection, at).data(side, at, self.blanker(connection, side)(told))
        else:
            self.flush_rest(connection, at)
            self.talk(connection, at).end(side, at, told == b"r")
            for kind in (self.talks, self.places):
                kind.pop(connection, None)
        if self.out.size >= self.most_bytes:
            self.file.close()
            self.out = self.next_file()
            self.talks.clear()  # each begins anew in the new file, which can be read alone

    def begin(self, connection: int, at: int) -> None:
        client, server = self.places[connection]
        try:
            self.talks[connection] = Conversation(self.out, client, server, at, connection << 16)
        except ValueError:
            del self.places[connection]

    def talk(self, connection: int, at: int) -> Conversation:
        if connection not in self.talks:
            self.begin(connection, at)
        return self.talks[connection]

    def blanker(self, connection: int, side: int) -> Blanker:
        if (connection, side) not in self.blankers:
            self.blankers[connection, side] = Blanker(self.secrets)
        return self.blankers[connection, side]

    def flush_rest(self, connection: int, at: int) -> None:
        for side in (0, 1):
            if (found := self.blankers.pop((connection, side), None)) and (rest := found.rest()):
                self.talk(connection, at).data(side, at, rest)
