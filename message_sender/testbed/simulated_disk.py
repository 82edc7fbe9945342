"""A simulated disk with power loss: synced data survives, unsynced data survives as drawn from a seed.

`SimulatedDisk` is the model, pure and in memory. The content of a file is durable as of its last sync, and
the names in a folder are durable as of the last sync of the folder. Any subset of the later changes survives
a power loss; a surviving write is kept in full, torn at a sector boundary or zeroed. The content of a file
can survive without its name, and the name without the content.

`MemoryDisk` is a file layer on that model for simulated time. `RecordingDisk` is a file layer for a real
process: it works on real files and records each operation in a file outside their folder. Once the process
has been killed, `cut` computes from the record the files that survive a power loss.
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

JOURNAL = "journal"  # file name; the only file that `cut` also handles if no operation on it was recorded
SECTOR_BYTES = 512  # unit that a disk writes atomically
SYNC_DELAY_S = 0.002
ZEROED_SHARE = 0.15  # share of surviving writes whose length is durable but whose content is zeroed
TORN_SHARE = 0.2  # share of surviving writes that are torn


@dataclass
class Content:
    """The content of a file as of its last sync, its present content, and the changes in between."""

    stable: bytes = b""
    now: bytearray = field(default_factory=bytearray)
    pending: list[tuple[int, bytes | None]] = field(
        default_factory=list
    )  # offset and data of each change; None as data stands for a truncation at the offset

    def write(self, data: bytes) -> None:
        """Append data."""
        self.pending.append((len(self.now), data))
        self.now += data

    def truncate(self, size: int) -> None:
        """Truncate the content to `size` bytes."""
        self.pending.append((size, None))
        del self.now[size:]

    def sync(self) -> None:
        """Make the present content durable."""
        self.stable = bytes(self.now)
        self.pending = []

    def surviving(self, rng: random.Random, keeps: float) -> bytes:
        """Return the content after a power loss if an unsynced change survives with probability `keeps`."""
        survivor = bytearray(self.stable)
        for at, data in self.pending:
            if rng.random() >= keeps:
                continue
            if data is None:
                del survivor[at:]
                continue
            draw = rng.random()
            if draw < ZEROED_SHARE:
                data = bytes(len(data))
            elif draw < ZEROED_SHARE + TORN_SHARE:
                data = tear(data, at, rng)
            survivor += bytes(max(at + len(data) - len(survivor), 0))
            survivor[at : at + len(data)] = data
        return bytes(survivor)


def tear(data: bytes, at: int, rng: random.Random) -> bytes:
    """Return the part of a write at offset `at` that precedes a random sector boundary.

    A write within one sector is kept in full.
    """
    edges = [
        edge - at for edge in range((at // SECTOR_BYTES + 1) * SECTOR_BYTES, at + len(data), SECTOR_BYTES)
    ]
    return data[: rng.choice([0, *edges])] if edges else data


class SimulatedDisk:
    """A folder on a simulated disk that can lose power."""

    def __init__(self, files: dict[str, bytes] | None = None) -> None:
        """Create a folder that holds `files`, by name; all of them are durable."""
        self.contents: dict[int, Content] = {}
        self.names: dict[str, int] = {}  # by name: number of the content; as of the last sync of the folder
        self.now: dict[str, int] = {}  # by name: number of the content; at present
        self.pending: list[dict[str, int | None]] = []  # unsynced changes of names, each atomic
        for name, data in (files or {}).items():
            self.names[name] = self.now[name] = number = len(self.contents)
            self.contents[number] = Content(data, bytearray(data))

    def open(self, name: str, fresh: bool = False) -> int:
        """Open or create a file and return the number of its content; `fresh` truncates the file."""
        if name not in self.now:
            number = len(self.contents)
            self.contents[number] = Content()
            self.rename({name: number})
        elif fresh:
            self.contents[self.now[name]].truncate(0)
        return self.now[name]

    def rename(self, change: dict[str, int | None]) -> None:
        """Atomically change which content each name refers to; None removes the name."""
        self.pending.append(change)
        apply(self.now, change)

    def replace(self, old: str, new: str) -> None:
        """Rename a file over another."""
        self.rename({new: self.now[old], old: None})

    def unlink(self, name: str) -> None:
        """Remove a file, if it exists."""
        if name in self.now:
            self.rename({name: None})

    def sync_folder(self) -> None:
        """Make the present file names durable."""
        self.names = dict(self.now)
        self.pending = []

    def cut(self, rng: random.Random, keeps: float | None = None) -> dict[str, bytes]:
        """Return the files that survive a power loss, by name.

        Args:
            rng: Decides which changes survive.
            keeps: The probability with which an unsynced change survives; by default drawn from 0, 0.3, 0.7
                and 1.
        """
        keeps = rng.choice((0.0, 0.3, 0.7, 1.0)) if keeps is None else keeps
        names = dict(self.names)
        for change in self.pending:
            if rng.random() < keeps:
                apply(names, change)
        survivors = {number: content.surviving(rng, keeps) for number, content in self.contents.items()}
        return {name: survivors[number] for name, number in names.items()}


def apply(names: dict[str, int], change: dict[str, int | None]) -> None:
    """Apply a change of names to a mapping of names to contents."""
    for name, number in change.items():
        if number is None:
            names.pop(name, None)
        else:
            names[name] = number


def no_fault(operation: str) -> None:
    """Accept an operation without a fault."""


def default_duration() -> float:
    """Return the default duration of a job of a `MemoryDisk`, in seconds."""
    return SYNC_DELAY_S


class MemoryDisk:
    """A file layer on a simulated disk.

    `job_duration` returns the simulated duration of a job of `run`, in seconds.
    """

    def __init__(self, disk: SimulatedDisk, before: Callable[[str], None] = no_fault) -> None:
        """Create a file layer.

        Args:
            disk: The simulated disk.
            before: Called before each operation with the name of the operation. The function may raise an
                exception to simulate a fault.
        """
        self.disk = disk
        self.before = before
        self.job_duration: Callable[[], float] = default_duration
        self.files: dict[int, int] = {}  # by descriptor: number of the content
        self.last_descriptor = 1000  # latest descriptor; all are above the descriptors of real files

    def open(self, path: Path, fresh: bool = False) -> int:
        """Open or create a file and return its descriptor; `fresh` truncates the file."""
        self.before("open")
        self.last_descriptor += 1
        self.files[self.last_descriptor] = self.disk.open(path.name, fresh)
        return self.last_descriptor

    def read(self, path: Path) -> bytes:
        """Return the content of a file; empty if the file does not exist."""
        number = self.disk.now.get(path.name)
        return b"" if number is None else bytes(self.disk.contents[number].now)

    def write(self, file: int, data: bytes) -> None:
        """Append data to a file."""
        self.before("write")
        self.disk.contents[self.files[file]].write(data)

    def truncate(self, file: int, size: int) -> None:
        """Truncate a file to `size` bytes."""
        self.before("truncate")
        self.disk.contents[self.files[file]].truncate(size)

    def sync(self, file: int) -> None:
        """Make the content of a file durable."""
        self.before("sync")
        self.disk.contents[self.files[file]].sync()

    def sync_folder(self, path: Path) -> None:
        """Make the file names in a folder durable."""
        self.before("sync of the folder")
        self.disk.sync_folder()

    def replace(self, old: Path, new: Path) -> None:
        """Rename a file over another."""
        self.before("rename")
        self.disk.replace(old.name, new.name)

    def unlink(self, path: Path) -> None:
        """Remove a file, if it exists."""
        self.before("unlink")
        self.disk.unlink(path.name)

    def close(self, file: int) -> None:
        """Close a descriptor."""
        self.files.pop(file, None)

    async def run(self, job: Callable[[], None]) -> None:
        """Run a job after its simulated duration."""
        await asyncio.sleep(self.job_duration())
        job()

    def finish(self) -> None:
        """Do nothing, since `run` leaves no job unfinished."""


class RecordingDisk(SystemDisk):
    """A file layer on real files, which records each operation before it is performed."""

    def __init__(self, ops: Path, fault: str = "", slow: float = 0.0) -> None:
        """Create a file layer.

        Args:
            ops: The file in which operations are recorded, outside the folder of the files.
            fault: "eio" makes each sync fail, "full" makes each write fail.
            slow: The duration of a sync, in seconds.
        """
        super().__init__()
        self.ops = os.open(ops, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
        self.fault = fault
        self.slow = slow
        self.paths: dict[int, tuple[int, str]] = {}  # by descriptor: number of the open operation, file name
        self.opened = 0

    def record(self, operation: str, data: bytes = b"", **fields: object) -> None:
        """Append an operation to the file of recorded operations."""
        head = json.dumps({"do": operation, "size": len(data), "by": os.getpid(), **fields}).encode()
        os.write(self.ops, head + b"\n" + data + b"\n")

    def open(self, path: Path, fresh: bool = False) -> int:
        """Open or create a file and return its descriptor; `fresh` truncates the file."""
        self.opened += 1
        self.record("open", name=path.name, fresh=fresh, file=self.opened)
        file = super().open(path, fresh)
        self.paths[file] = self.opened, path.name
        return file

    def write(self, file: int, data: bytes) -> None:
        """Append data to a file."""
        if self.fault == "full":
            raise OSError(28, "No space left on device")
        self.record("write", data, file=self.paths[file][0])
        super().write(file, data)

    def truncate(self, file: int, size: int) -> None:
        """Truncate a file to `size` bytes."""
        self.record("truncate", file=self.paths[file][0], to=size)
        super().truncate(file, size)

    def sync(self, file: int) -> None:
        """Make the content of a file durable."""
        if self.slow:
            time.sleep(self.slow)
        if self.fault == "eio":
            raise OSError(5, "Input/output error")
        self.record("sync", file=self.paths[file][0])

    def sync_folder(self, path: Path) -> None:
        """Make the file names in a folder durable."""
        self.record("sync folder")

    def replace(self, old: Path, new: Path) -> None:
        """Rename a file over another."""
        self.record("replace", old=old.name, new=new.name)
        super().replace(old, new)

    def unlink(self, path: Path) -> None:
        """Remove a file, if it exists."""
        self.record("unlink", name=path.name)
        super().unlink(path)


def read_operations(ops: Path) -> Iterator[tuple[dict[str, Any], bytes]]:
    """Yield the recorded operations of all processes in order.

    An incomplete last record, which a kill leaves behind, is skipped.
    """
    data = ops.read_bytes() if ops.exists() else b""
    at = 0
    while (end := data.find(b"\n", at)) >= 0:
        operation = json.loads(data[at:end])
        body = data[end + 1 : end + 1 + operation["size"]]
        at = end + 2 + operation["size"]
        if at > len(data):
            return
        yield operation, body


def replay(ops: Path, before: dict[str, bytes]) -> SimulatedDisk:
    """Return the disk after the recorded operations.

    Args:
        ops: The file of recorded operations.
        before: The durable files before the first operation, by name.
    """
    disk = SimulatedDisk(before)
    files: dict[tuple[int, int], int] = {}
    for operation, data in read_operations(ops):
        file = files.get((operation["by"], operation.get("file", 0)), -1)
        match operation["do"]:
            case "open":
                files[operation["by"], operation["file"]] = disk.open(operation["name"], operation["fresh"])
            case "write":
                disk.contents[file].write(data)
            case "truncate":
                disk.contents[file].truncate(operation["to"])
            case "sync":
                disk.contents[file].sync()
            case "sync folder":
                disk.sync_folder()
            case "replace":
                disk.replace(operation["old"], operation["new"])
            case "unlink":
                disk.unlink(operation["name"])
    return disk


def cut(
    folder: Path, ops: Path, before: dict[str, bytes], seed: int, keeps: float | None = None
) -> dict[str, bytes]:
    """Apply a power loss to the files of a killed process.

    Files that the process wrote through its `RecordingDisk` are replaced by the parts that survive. A journal
    that the process wrote in another way was never synced, so it is treated as one unsynced write. Other
    files that the process wrote in another way do not belong to this disk and are left alone.

    Args:
        folder: The folder with the files.
        ops: The file of recorded operations, which is deleted.
        before: The durable files before the first recorded operation, by name.
        seed: The seed that decides which changes survive.
        keeps: The probability with which an unsynced change survives; by default drawn from the seed.

    Returns:
        The files that are durable after the power loss, by name.
    """
    disk = replay(ops, before)
    if JOURNAL not in disk.now and (folder / JOURNAL).exists():
        disk.contents[disk.open(JOURNAL)].write((folder / JOURNAL).read_bytes())
    survivors = disk.cut(random.Random(seed), keeps)
    for name in {*disk.now, *disk.names, *survivors}:
        (folder / name).unlink(missing_ok=True)
    for name, data in survivors.items():
        (folder / name).write_bytes(data)
    ops.unlink(missing_ok=True)
    return survivors
