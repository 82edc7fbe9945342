"""Opens the journal that survives a power loss, and decides what is believed of it."""

import logging
from collections.abc import Callable
from pathlib import Path

from message_sender.journal.disk import Disk, SystemDisk
from message_sender.journal.durable import DurableJournal
from message_sender.policy.model import Settings
from message_sender.recovery import trust
from message_sender.recovery.trust import PreviousEnd, StartConditions

BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")

log = logging.getLogger(__name__)


def read_boot_id() -> str:
    """Returns the id of this boot of the machine; "" if there is none."""
    try:
        return BOOT_ID_PATH.read_text().strip()
    except OSError:
        return ""


class RecoveryStart:
    """One start of a sender: its journal, and what came before.

    Attributes:
        settings: Of the sender.
        sync_interval_s: Between two syncs of the journal; None: nothing is synced.
        clock: The wall clock, us.
        disk: The file layer.
        boot_id: Names the machine's boot.
        conditions: Of this start; known once the journal is open.
    """

    def __init__(
        self,
        settings: Settings,
        sync_interval_s: float | None,
        clock: Callable[[], int],
        disk: Disk | None = None,
        boot_id: str | None = None,
    ) -> None:
        """Prepares a start. A `disk` or `boot_id` of None is the system's."""
        self.settings = settings
        self.sync_interval_s = sync_interval_s
        self.clock = clock
        self.disk = disk or SystemDisk()
        self.boot_id = read_boot_id() if boot_id is None else boot_id
        self.conditions = StartConditions(PreviousEnd.FIRST)

    def now(self) -> int:
        """Returns the wall clock, us, or what goes on from the latest time on record where that is later.

        It never stands before a time that it has returned before the start.
        """
        return self.clock() + self.conditions.clock_lag_us

    def is_state_current(self) -> bool:
        """Whether the disk tells all that the run before knew."""
        return self.conditions.previous_end in (PreviousEnd.CLEAN, PreviousEnd.PROCESS)

    def open_journal(self, folder: Path, limit_bytes: int) -> DurableJournal:
        """Opens the journal in `folder`; its files take at most `limit_bytes`."""
        return DurableJournal(
            folder, limit_bytes, self.sync_interval_s, self.disk, self.boot_id, self.now, self.apply_trust
        )

    def apply_trust(self, journal: DurableJournal) -> None:
        """Changes what the journal replayed to what is believed of it."""
        self.conditions = trust.judge_start(journal.previous_run, self.boot_id, self.clock())
        deadlines_us = {each.name: each.deadline for each in self.settings.classes}
        trust.limit_entries(journal.entries, self.conditions, self.now(), deadlines_us)
        if self.conditions.previous_end is not PreviousEnd.FIRST:
            self._log_start(journal)

    def _log_start(self, journal: DurableJournal) -> None:
        elapsed_us = self.conditions.elapsed_us
        log.info(
            "journal recovered: previous_end=%s messages=%d doubtful=%d elapsed_s=%s",
            self.conditions.previous_end.name.lower(),
            len(journal.entries),
            sum(entry.is_doubtful for entry in journal.entries.values()),
            "unknown" if elapsed_us is None else f"{elapsed_us / 1e6:.3f}",
        )
