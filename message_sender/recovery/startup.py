"""Opens the durable journal at a start, and limits its content to what is trusted (trust.py)."""

import logging
from collections.abc import Callable
from pathlib import Path

from message_sender.journal.clock_record import read_boot_id
from message_sender.journal.disk import Disk, SystemDisk
from message_sender.journal.durable import DurableJournal
from message_sender.policy.model import Settings
from message_sender.recovery import trust
from message_sender.recovery.trust import PreviousEnd, StartConditions

log = logging.getLogger(__name__)


class RecoveryStart:
    """One start of a sender: its journal, and the end of the previous run.

    Attributes:
        settings: The policy settings of the sender.
        sync_interval_s: The time between two syncs of the journal, in seconds; None: it is not synced.
        clock: Returns the wall clock in microseconds.
        disk: The file layer.
        boot_id: The id of the machine's current boot.
        conditions: The conditions of this start; valid once the journal is open.
    """

    def __init__(
        self,
        settings: Settings,
        sync_interval_s: float | None,
        clock: Callable[[], int],
        disk: Disk | None = None,
        boot_id: str | None = None,
    ) -> None:
        """Prepares a start; see the class for the arguments. None for `disk` or `boot_id`: the system's."""
        self.settings = settings
        self.sync_interval_s = sync_interval_s
        self.clock = clock
        self.disk = disk or SystemDisk()
        self.boot_id = read_boot_id() if boot_id is None else boot_id
        self.conditions = StartConditions(PreviousEnd.FIRST)

    def now(self) -> int:
        """Returns the wall clock in microseconds, never earlier than a time recorded before the start.

        A clock that was behind the latest recorded time at the start is shifted to continue from it.
        """
        return self.shift(self.clock)

    def shift(self, clock: Callable[[], int]) -> int:
        """Returns another wall clock's time, shifted as that of `now`."""
        return clock() + self.conditions.clock_lag_us

    def is_state_current(self) -> bool:
        """Whether the disk has all that the previous run knew."""
        return self.conditions.previous_end in (PreviousEnd.CLEAN, PreviousEnd.PROCESS)

    def open_journal(self, folder: Path, limit_bytes: int) -> DurableJournal:
        """Opens the journal in `folder`, whose files take at most `limit_bytes`."""
        return DurableJournal(
            folder, limit_bytes, self.sync_interval_s, self.disk, self.boot_id, self.now, self.apply_trust
        )

    def apply_trust(self, journal: DurableJournal) -> None:
        """Limits the replayed entries to what is trusted, and logs the recovery; called by the journal."""
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
