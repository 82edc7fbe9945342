"""One sender to a state folder: two that share a journal would each send what is in it."""

import fcntl
import os
from pathlib import Path

FILE = "lock"


class LockTakenError(OSError):
    """Another process, or another sender in this one, has the folder."""


class Lock:
    """Held until `release`, or until the process ends however it ends (flock(2) goes with the descriptor)."""

    def __init__(self, folder: Path) -> None:
        """Raises LockTakenError if another one holds it, and OSError if the folder cannot be used."""
        self.file = os.open(folder / FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self.file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(self.file)
            raise LockTakenError(f"another sender uses {folder}") from None
        os.ftruncate(self.file, 0)
        os.pwrite(self.file, str(os.getpid()).encode(), 0)

    def release(self) -> None:
        os.close(self.file)


def holder(folder: Path) -> int | None:
    """The number of the process that holds the folder, as it wrote it; None where none is there."""
    try:
        return int((folder / FILE).read_text())
    except (OSError, ValueError):
        return None
