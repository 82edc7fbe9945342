"""The clock of a state folder, which steps of the machine's wall clock between two processes do not change.

Times in the journal are wall times of the process that wrote them: its monotonic clock plus a base. If the
wall clock is stepped while no process runs, the next process would read every deadline, window and
Retry-After against another base. The monotonic clock goes on until the machine boots again, so the folder
keeps the base together with the boot to which it belongs. Rules:

- In the same boot, a process uses the base of the folder.
- In another boot, without a record (a folder of an older version), or with a record that cannot be used, the
  base is the present difference between the two clocks.
"""

import contextlib
import json
import logging
import os
import time
from dataclasses import dataclass
from pathlib import Path

BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")
CLOCK_FILE = "clock"
NEW_CLOCK_FILE = "clock.new"
CLOCK_SPACE_BYTES = 1024  # of the state folder: the file and its replacement, one block each

log = logging.getLogger(__name__)


def read_boot_id() -> str:
    """Returns the id of the machine's current boot; "" if it cannot be read."""
    try:
        return BOOT_ID_PATH.read_text().strip()
    except OSError:
        return ""


def wall_clock_base_ns() -> int:
    """Returns the present difference between the wall clock and the monotonic clock, in nanoseconds."""
    return time.time_ns() - time.monotonic_ns()


@dataclass(frozen=True, slots=True)
class ClockRecord:
    """The clock that the times in a state folder refer to.

    Attributes:
        boot_id: The boot in which the base holds.
        base_ns: Nanoseconds to add to the monotonic clock.
        monotonic_ns: The monotonic clock when the record was made, in nanoseconds.
    """

    boot_id: str
    base_ns: int
    monotonic_ns: int

    def is_current(self, boot_id: str, monotonic_ns: int) -> bool:
        """Whether the base holds in this boot, at this reading of the monotonic clock."""
        return bool(boot_id) and self.boot_id == boot_id and monotonic_ns >= self.monotonic_ns

    def encode(self) -> str:
        """Returns the content of the file."""
        return json.dumps({"boot": self.boot_id, "base_ns": self.base_ns, "monotonic_ns": self.monotonic_ns})


def load_clock_record(folder: Path) -> ClockRecord | None:
    """Returns the record in the folder; None, with a warning unless there is no file, if none can be read."""
    try:
        values = json.loads((folder / CLOCK_FILE).read_text())
        return ClockRecord(str(values["boot"]), int(values["base_ns"]), int(values["monotonic_ns"]))
    except FileNotFoundError:
        return None
    except (OSError, ValueError, KeyError, TypeError, ArithmeticError) as error:
        log.warning("clock record not read: reason=%s", str(error) or type(error).__name__)
        return None


def save_clock_record(folder: Path, record: ClockRecord) -> bool:
    """Replaces the record in the folder; returns whether it could be written.

    Without a sync: it is of use only until the machine boots again.
    """
    new_path = folder / NEW_CLOCK_FILE
    try:
        new_path.write_text(record.encode())
        os.replace(new_path, folder / CLOCK_FILE)
    except FileNotFoundError:
        return False  # there is no folder, which opening the journal reports
    except OSError as error:
        log.warning("clock record not written: reason=%s", error)
        with contextlib.suppress(OSError):
            new_path.unlink()
        return False
    return True


class FolderClock:
    """Determines the base of a process's clock, and keeps it in the state folder.

    Attributes:
        base_ns: Nanoseconds to add to the monotonic clock.
        is_saved: The folder has the base.
    """

    def __init__(self, folder: Path, base_ns: int | None = None, boot_id: str | None = None) -> None:
        """Determines the base by the rules of this module, and saves it.

        Args:
            folder: The state folder.
            base_ns: The base of a predecessor that hands over; None: there is no predecessor.
            boot_id: The machine's current boot; None: the system's.
        """
        self.folder = folder
        self.boot_id = read_boot_id() if boot_id is None else boot_id
        record = load_clock_record(folder)
        is_current = record is not None and record.is_current(self.boot_id, time.monotonic_ns())
        if base_ns is None and record is not None and is_current:
            self.base_ns = record.base_ns
        else:
            self.base_ns = wall_clock_base_ns() if base_ns is None else base_ns
        self.is_saved = record is not None and is_current and record.base_ns == self.base_ns
        self.save_if_needed()

    def save_if_needed(self) -> None:
        """Saves the base unless the folder has it; called again after a failure."""
        if not self.is_saved and self.boot_id:
            record = ClockRecord(self.boot_id, self.base_ns, time.monotonic_ns())
            self.is_saved = save_clock_record(self.folder, record)
