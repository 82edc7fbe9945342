"""Opens the journal that survives the machine, and says what is believed of it."""

import logging
from collections.abc import Callable
from pathlib import Path

from message_sender.journal.disk import Disk, SystemDisk
from message_sender.journal.durable import DurableJournal
from message_sender.policy.model import Settings
from message_sender.recovery import trust
from message_sender.recovery.trust import PreviousEnd, StartConditions

BOOT = Path("/proc/sys/kernel/random/boot_id")

log = logging.getLogger(__name__)


def boot_id() -> str:
    """Names this run of the machine; another one after each power loss."""
    try:
        return BOOT.read_text().strip()
    except OSError:
        return ""


class RecoveryStart:
    """One start of a sender: its journal, and what came before."""

    def __init__(
        self,
        settings: Settings,
        gather: float | None,
        clock: Callable[[], int],
        disk: Disk | None = None,
        boot: str | None = None,
    ) -> None:
        """`gather`: s between two syncs, None: nothing is synced; `clock`: the wall clock in us, which
        `behind` is added to from the opening on."""
        self.settings, self.gather, self.clock = settings, gather, clock
        self.disk = disk or SystemDisk()
        self.boot = boot_id() if boot is None else boot
        self.start = StartConditions(PreviousEnd.FIRST)

    def now(self) -> int:
        """The wall clock, or what goes on from the latest time on record where that is later: it never stands
        before what it has said."""
        return self.clock() + self.start.behind

    def is_latest(self) -> bool:
        """Whether its disk tells all that the life before knew."""
        return self.start.ended in (PreviousEnd.CLEAN, PreviousEnd.PROCESS)

    def open(self, folder: Path, limit: int) -> DurableJournal:
        return DurableJournal(folder, limit, self.gather, self.disk, self.boot, self.now, self.trust)

    def trust(self, journal: DurableJournal) -> None:
        self.start = trust.judge(journal.previous_run, self.boot, self.clock())
        deadlines = {each.name: each.deadline for each in self.settings.classes}
        trust.owed(journal.entries, self.start, self.now(), deadlines)
        if self.start.ended is not PreviousEnd.FIRST:
            log.info(
                "the life before: %s; %d messages are owed, %d of them doubtful; %s",
                self.start.ended.value,
                len(journal.entries),
                sum(each.is_doubtful for each in journal.entries.values()),
                "nobody knows how much time has passed"
                if self.start.passed is None
                else f"{self.start.passed / 1e6:.3f} s have passed",
            )
