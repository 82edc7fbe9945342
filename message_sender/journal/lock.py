"""One sender to a state folder: two that share a journal would each send what is in it."""

import fcntl
import os
from pathlib import Path

LOCK_FILE = "lock"


class LockTakenError(OSError):
    """Another process, or another sender in this one, has the folder."""


class Lock:
    """An exclusive lock on a folder, until `release` or the end of the process (flock(2))."""

    def __init__(self, folder: Path) -> None:
        """Takes the lock and writes this process' number into its file.

        Raises:
            LockTakenError: Another one has it.
            OSError: The folder cannot be used.
        """
        self.file = os.open(folder / LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self.file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(self.file)
            raise LockTakenError(f"another sender uses {folder}") from None
        os.ftruncate(self.file, 0)
        os.pwrite(self.file, str(os.getpid()).encode(), 0)

    def release(self) -> None:
        """Lets go of the lock; to be called once."""
        os.close(self.file)


def read_holder_pid(folder: Path) -> int | None:
    """Returns the number of the process that has the folder, as it wrote it; None: there is none."""
    try:
        return int((folder / LOCK_FILE).read_text())
    except (OSError, ValueError):
        return None
