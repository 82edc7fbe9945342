"""What a journal that survives the machine asks of the disk: few operations, so that another disk can stand
in.

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
    def open(self, path: Path, fresh: bool = False) -> int:
        """A file to read and append to, made if there is none; `fresh`: emptied."""

    def read(self, path: Path) -> bytes:
        """All of a file; b"" where there is none."""

    def write(self, file: int, data: bytes) -> None:
        """Appends all of it. Raises OSError also where only a part went; that part is cut off again."""

    def truncate(self, file: int, size: int) -> None: ...

    def sync(self, file: int) -> None:
        """What was written to the file is durable when this returns; may take long."""

    def sync_folder(self, path: Path) -> None:
        """The names in the folder are durable when this returns; may take long."""

    def replace(self, old: Path, new: Path) -> None: ...
    def unlink(self, path: Path) -> None: ...
    def close(self, file: int) -> None: ...

    async def run(self, job: Callable[[], None]) -> None:
        """Does what may take long away from the loop; raises what the job raises. One at a time."""

    def finish(self) -> None:
        """Waits for a job that is under way. None is run after it."""


class SystemDisk:
    """The operating system's."""

    def __init__(self) -> None:
        self.thread = ThreadPoolExecutor(1, "sync")

    def open(self, path: Path, fresh: bool = False) -> int:
        flags = os.O_RDWR | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
        return os.open(path, flags | (os.O_TRUNC if fresh else 0), 0o600)

    def read(self, path: Path) -> bytes:
        try:
            return path.read_bytes()
        except FileNotFoundError:
            return b""

    def write(self, file: int, data: bytes) -> None:
        before = os.fstat(file).st_size
        written = 0
        try:
            while written < len(data):
                written += os.write(file, data[written:] if written else data)
        except OSError:
            if written:
                os.ftruncate(file, before)
            raise

    def truncate(self, file: int, size: int) -> None:
        os.ftruncate(file, size)

    def sync(self, file: int) -> None:
        os.fdatasync(file)

    def sync_folder(self, path: Path) -> None:
        folder = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def replace(self, old: Path, new: Path) -> None:
        os.replace(old, new)

    def unlink(self, path: Path) -> None:
        path.unlink(missing_ok=True)

    def close(self, file: int) -> None:
        os.close(file)

    async def run(self, job: Callable[[], None]) -> None:
        await asyncio.get_running_loop().run_in_executor(self.thread, job)

    def finish(self) -> None:
        self.thread.shutdown()
