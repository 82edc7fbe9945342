"""Disk operations of the durable journal, kept to a small set so that a simulated disk can replace them.

The contents and the name of a file become durable separately: `sync` makes the data written to a file
durable, `sync_folder` the entries of its directory. A file system guarantees no order between the two
(docs/design/power.md). Each operation raises OSError if the operating system reports an error.
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
        """Opens a file for reading and appending; creates it if missing, truncates it if `fresh`."""

    def read(self, path: Path) -> bytes:
        """Returns the contents of a file; b"" if the file does not exist."""

    def write(self, file: int, data: bytes) -> None:
        """Appends all of `data`.

        Raises:
            OSError: The write failed or was short; a partial write is truncated again.
        """

    def truncate(self, file: int, size: int) -> None:
        """Truncates a file to `size` bytes."""

    def sync(self, file: int) -> None:
        """Makes the data written to the file durable; may block for a long time."""

    def sync_folder(self, path: Path) -> None:
        """Makes the directory entries of the folder durable; may block for a long time."""

    def replace(self, old: Path, new: Path) -> None:
        """Atomically renames a file, replacing an existing one."""

    def unlink(self, path: Path) -> None:
        """Removes a directory entry, if it exists."""

    def close(self, file: int) -> None:
        """Closes a file descriptor."""

    async def run(self, job: Callable[[], None]) -> None:
        """Runs a blocking job outside the event loop, one at a time; raises what the job raises."""

    def finish(self) -> None:
        """Waits for the running job, if any; no further jobs are accepted."""


class SystemDisk:
    """Files of the operating system, with one thread for blocking operations."""

    def __init__(self) -> None:
        """Creates the executor; its thread starts with the first `run`."""
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
