"""Lock on a state folder: two senders that shared a journal would both send the messages in it."""

import fcntl
import os
from pathlib import Path

LOCK_FILE = "lock"


class LockTakenError(OSError):
    """Another process, or another sender in this process, holds the lock on the folder."""


class Lock:
    """An exclusive lock on a folder, held until `release` or the end of the process (flock(2))."""

    def __init__(self, folder: Path) -> None:
        """Acquires the lock and writes the PID of this process to the lock file.

        Raises:
            LockTakenError: Another process or sender holds the lock.
            OSError: The lock file cannot be opened or written.
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
        """Releases the lock; must be called only once."""
        os.close(self.file)


def read_holder_pid(folder: Path) -> int | None:
    """Returns the PID in the folder's lock file; None if the file is missing or holds no number."""
    try:
        return int((folder / LOCK_FILE).read_text())
    except (OSError, ValueError):
        return None
