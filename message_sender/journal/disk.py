"""The disk operations of a journal that survives a power loss: few, so that a simulated disk can stand in.

Content and names are durable apart: `sync` makes what was written to a file durable, `sync_folder` which
names stand for which files. A file system promises nothing between the two (docs/design/power.md). Each
operation raises OSError where the system refuses it.
"""

import asyncio
import os
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Protocol


class Disk(Protocol):
    """Operations on the files of one folder."""

    def open(self, path: Path, fresh: bool = False) -> int:
        """Opens a file to read and append to, made if there is none. `fresh`: emptied."""

    def read(self, path: Path) -> bytes:
        """Returns all of a file; b"" where there is none."""

    def write(self, file: int, data: bytes) -> None:
        """Appends all of `data`.

        Raises:
            OSError: It was not all written; a part that was written is cut off again.
        """

    def truncate(self, file: int, size: int) -> None:
        """Cuts a file to `size` bytes."""

    def sync(self, file: int) -> None:
        """Makes durable what was written to the file; may take long."""

    def sync_folder(self, path: Path) -> None:
        """Makes durable the names in the folder; may take long."""

    def replace(self, old: Path, new: Path) -> None:
        """Renames a file over another one, in one step."""

    def unlink(self, path: Path) -> None:
        """Removes a name, if it is there."""

    def close(self, file: int) -> None:
        """Closes a descriptor."""

    async def run(self, job: Callable[[], None]) -> None:
        """Runs what may take long away from the loop, one job at a time; raises what the job raises."""

    def finish(self) -> None:
        """Waits for a job that is running. None is run after it."""


class SystemDisk:
    """The operating system's files, and a thread for what takes long."""

    def __init__(self) -> None:
        """Starts no thread before the first `run`."""
        self.thread = ThreadPoolExecutor(1, "sync")

    def open(self, path: Path, fresh: bool = False) -> int:
        """See `Disk`."""
        flags = os.O_RDWR | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
        if fresh:
            flags |= os.O_TRUNC
        return os.open(path, flags, 0o600)

    def read(self, path: Path) -> bytes:
        """See `Disk`."""
        try:
            return path.read_bytes()
        except FileNotFoundError:
            return b""

    def write(self, file: int, data: bytes) -> None:
        """See `Disk`."""
        size_before = os.fstat(file).st_size
        written = 0
        try:
            while written < len(data):
                written += os.write(file, data[written:] if written else data)
        except OSError:
            if written:
                os.ftruncate(file, size_before)
            raise

    def truncate(self, file: int, size: int) -> None:
        """See `Disk`."""
        os.ftruncate(file, size)

    def sync(self, file: int) -> None:
        """See `Disk`."""
        os.fdatasync(file)

    def sync_folder(self, path: Path) -> None:
        """See `Disk`."""
        folder = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def replace(self, old: Path, new: Path) -> None:
        """See `Disk`."""
        os.replace(old, new)

    def unlink(self, path: Path) -> None:
        """See `Disk`."""
        path.unlink(missing_ok=True)

    def close(self, file: int) -> None:
        """See `Disk`."""
        os.close(file)

    async def run(self, job: Callable[[], None]) -> None:
        """See `Disk`."""
        await asyncio.get_running_loop().run_in_executor(self.thread, job)

    def finish(self) -> None:
        """See `Disk`."""
        self.thread.shutdown()
