"""A disk that forgets: after a cut of the power it holds what was synced, and what a seed says of the rest.

`SimulatedDisk` is the model, pure and in memory. Content and names are apart: a file's content is durable as
of its last sync, a folder's names as of its last sync. Of what came after, a cut keeps any subset, in whole,
torn at 512 bytes or as zeros: content without its name and a name without its content too. `MemoryDisk` is a
file layer on a platter, for simulated time. `RecordingDisk` is one for a real process: it works on real files
and notes each operation in a file outside its folder, from which `cut` makes, once the process is killed,
what a power loss leaves.
"""

import asyncio
import json
import os
import random
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from message_sender.journal.disk import SystemDisk

JOURNAL = "journal"  # the one file that counts, by its name
SECTOR = 512  # bytes that a disk writes as one


@dataclass
class Content:
    stable: bytes = b""  # as of the last sync
    now: bytearray = field(default_factory=bytearray)
    pending: list[tuple[int, bytes | None]] = field(default_factory=list)  # offset, data; None: cut off there

    def write(self, data: bytes) -> None:
        self.pending.append((len(self.now), data))
        self.now += data

    def truncate(self, size: int) -> None:
        self.pending.append((size, None))
        del self.now[size:]

    def sync(self) -> None:
        self.stable, self.pending = bytes(self.now), []

    def survives(self, rng: random.Random, keeps: float) -> bytes:
        left = bytearray(self.stable)
        for at, data in self.pending:
            if rng.random() >= keeps:
                continue
            if data is None:
                del left[at:]
                continue
            fate = rng.random()
            if fate < 0.15:
                data = bytes(len(data))  # the length is on the disk, the content is not
            elif fate < 0.35:
                data = torn(data, at, rng)
            left += bytes(max(at + len(data) - len(left), 0))
            left[at : at + len(data)] = data
        return bytes(left)


def torn(data: bytes, at: int, rng: random.Random) -> bytes:
    """A part of it, up to a boundary between sectors; a write within one sector is whole."""
    edges = [edge - at for edge in range((at // SECTOR + 1) * SECTOR, at + len(data), SECTOR)]
    return data[: rng.choice([0, *edges])] if edges else data


class SimulatedDisk:
    def __init__(self, left: dict[str, bytes] | None = None) -> None:
        """`left`: the files on it, by name, all durable."""
        self.contents: dict[int, Content] = {}
        self.names: dict[str, int] = {}  # as of the last sync of the folder
        self.now: dict[str, int] = {}
        self.pending: list[dict[str, int | None]] = []  # changes of names, each made whole or not at all
        for name, data in (left or {}).items():
            self.names[name] = self.now[name] = number = len(self.contents)
            self.contents[number] = Content(data, bytearray(data))

    def open(self, name: str, fresh: bool = False) -> int:
        if name not in self.now:
            number = len(self.contents)
            self.contents[number] = Content()
            self.rename({name: number})
        elif fresh:
            self.contents[self.now[name]].truncate(0)
        return self.now[name]

    def rename(self, change: dict[str, int | None]) -> None:
        self.pending.append(change)
        apply(self.now, change)

    def replace(self, old: str, new: str) -> None:
        self.rename({new: self.now[old], old: None})

    def unlink(self, name: str) -> None:
        if name in self.now:
            self.rename({name: None})

    def sync_folder(self) -> None:
        self.names, self.pending = dict(self.now), []

    def cut(self, rng: random.Random, keeps: float | None = None) -> dict[str, bytes]:
        """What a power loss leaves, by name: some cuts keep all that was written, some nothing that was not
        synced, most of them a part; `keeps`: this share."""
        keeps = rng.choice((0.0, 0.3, 0.7, 1.0)) if keeps is None else keeps
        names = dict(self.names)
        for change in self.pending:
            if rng.random() < keeps:
                apply(names, change)
        survivors = {number: each.survives(rng, keeps) for number, each in self.contents.items()}
        return {name: survivors[number] for name, number in names.items()}


def apply(names: dict[str, int], change: dict[str, int | None]) -> None:
    for name, number in change.items():
        if number is None:
            names.pop(name, None)
        else:
            names[name] = number


class MemoryDisk:
    """A file layer on a platter. `before` is called before each operation and may raise: a cut of the power
    between any two of them. `run` does a job within the loop's time, `takes` seconds later."""

    def __init__(self, platter: SimulatedDisk, before: Callable[[str], None] = lambda what: None) -> None:
        self.platter, self.before = platter, before
        self.takes: Callable[[], float] = lambda: 0.002
        self.files: dict[int, int] = {}  # by descriptor
        self.last = 1000  # far from the system's own

    def open(self, path: Path, fresh: bool = False) -> int:
        self.before("open")
        self.last += 1
        self.files[self.last] = self.platter.open(path.name, fresh)
        return self.last

    def read(self, path: Path) -> bytes:
        number = self.platter.now.get(path.name)
        return b"" if number is None else bytes(self.platter.contents[number].now)

    def write(self, file: int, data: bytes) -> None:
        self.before("write")
        self.platter.contents[self.files[file]].write(data)

    def truncate(self, file: int, size: int) -> None:
        self.before("truncate")
        self.platter.contents[self.files[file]].truncate(size)

    def sync(self, file: int) -> None:
        self.before("sync")
        self.platter.contents[self.files[file]].sync()

    def sync_folder(self, path: Path) -> None:
        self.before("sync of the folder")
        self.platter.sync_folder()

    def replace(self, old: Path, new: Path) -> None:
        self.before("rename")
        self.platter.replace(old.name, new.name)

    def unlink(self, path: Path) -> None:
        self.before("unlink")
        self.platter.unlink(path.name)

    def close(self, file: int) -> None:
        self.files.pop(file, None)

    async def run(self, job: Callable[[], None]) -> None:
        await asyncio.sleep(self.takes())
        job()

    def finish(self) -> None: ...


class RecordingDisk(SystemDisk):
    """The real files of a process, each operation noted first. `ops` lies outside the folder."""

    def __init__(self, ops: Path, fault: str = "", slow: float = 0.0) -> None:
        """`fault`: "eio" fails each sync, "full" each write; `slow`: s that a sync takes."""
        super().__init__()
        self.ops = os.open(ops, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
        self.fault, self.slow = fault, slow
        self.paths: dict[int, tuple[int, str]] = {}  # by descriptor: the number of its opening, and its name
        self.opened = 0

    def note(self, what: str, data: bytes = b"", **told: object) -> None:
        head = json.dumps({"do": what, "size": len(data), "by": os.getpid(), **told}).encode()
        os.write(self.ops, head + b"\n" + data + b"\n")

    def open(self, path: Path, fresh: bool = False) -> int:
        self.opened += 1
        self.note("open", name=path.name, fresh=fresh, file=self.opened)
        file = super().open(path, fresh)
        self.paths[file] = self.opened, path.name
        return file

    def write(self, file: int, data: bytes) -> None:
        if self.fault == "full":
            raise OSError(28, "No space left on device")
        self.note("write", data, file=self.paths[file][0])
        super().write(file, data)

    def truncate(self, file: int, size: int) -> None:
        self.note("truncate", file=self.paths[file][0], to=size)
        super().truncate(file, size)

    def sync(self, file: int) -> None:
        if self.slow:
            time.sleep(self.slow)
        if self.fault == "eio":
            raise OSError(5, "Input/output error")
        self.note("sync", file=self.paths[file][0])

    def sync_folder(self, path: Path) -> None:
        self.note("sync folder")

    def replace(self, old: Path, new: Path) -> None:
        self.note("replace", old=old.name, new=new.name)
        super().replace(old, new)

    def unlink(self, path: Path) -> None:
        self.note("unlink", name=path.name)
        super().unlink(path)


def noted(ops: Path) -> Iterator[tuple[dict[str, Any], bytes]]:
    """The operations of all processes, as they came; one that the kill tore is none."""
    data, at = ops.read_bytes() if ops.exists() else b"", 0
    while (end := data.find(b"\n", at)) >= 0:
        told = json.loads(data[at:end])
        body = data[end + 1 : end + 1 + told["size"]]
        at = end + 2 + told["size"]
        if at > len(data):
            return
        yield told, body


def played(ops: Path, before: dict[str, bytes]) -> SimulatedDisk:
    """The platter after these operations; `before`: what was durable when the first of them came."""
    platter, files = SimulatedDisk(before), dict[tuple[int, int], int]()
    for told, data in noted(ops):
        file = files.get((told["by"], told.get("file", 0)), -1)
        match told["do"]:
            case "open":
                files[told["by"], told["file"]] = platter.open(told["name"], told["fresh"])
            case "write":
                platter.contents[file].write(data)
            case "truncate":
                platter.contents[file].truncate(told["to"])
            case "sync":
                platter.contents[file].sync()
            case "sync folder":
                platter.sync_folder()
            case "replace":
                platter.replace(told["old"], told["new"])
            case "unlink":
                platter.unlink(told["name"])
    return platter


def cut(
    folder: Path, ops: Path, before: dict[str, bytes], seed: int, keeps: float | None = None
) -> dict[str, bytes]:
    """The power of a killed process goes: the files that it wrote through its layer become what a cut leaves
    of them. A journal that it wrote past the layer was never synced; other such files in the folder are not
    of this disk. The answer is what is durable from now on."""
    platter = played(ops, before)
    if JOURNAL not in platter.now and (folder / JOURNAL).exists():
        platter.contents[platter.open(JOURNAL)].write((folder / JOURNAL).read_bytes())
    left = platter.cut(random.Random(seed), keeps)
    for name in {*platter.now, *platter.names, *left}:
        (folder / name).unlink(missing_ok=True)
    for name, data in left.items():
        (folder / name).write_bytes(data)
    ops.unlink(missing_ok=True)
    return left
