"""Lives of a sender whose machine loses its power, again and again, between any two operations on its disk.

The engine, the module and the journal that survives the machine are the real ones; the disk forgets what a
seed says of all that was not synced (testbed/simulated_disk.py). A life goes on over its cuts with the same
clients and destinations, and is judged as any other.
"""

import random
from dataclasses import dataclass
from pathlib import Path

from message_sender.emulator.run_plan import RunSpec
from message_sender.emulator.simulated_run import Outcomes, ProcessKilled, SimulatedRun, quietly
from message_sender.journal.durable import DurableJournal
from message_sender.journal.process_journal import Journal
from message_sender.testbed.simulated_disk import MemoryDisk, SimulatedDisk

SMALL = RunSpec(seconds=1.0, rate=25.0, destinations=2, keys=2, trouble=0.3, drains=0, kills=0)


@dataclass(frozen=True)
class Cuts:
    """How often the power goes, and what is asked of the journal."""

    most: int = 8
    apart: int = 25  # operations between two cuts at the most; an early one catches a start
    before: str = ""  # the power goes right before such an operation, and only these are counted; "": any
    gather: float | None = 0.005  # s; None: nothing is synced
    journal: type[DurableJournal] = DurableJournal


class PowerLife(SimulatedRun):
    def __init__(self, seed: int, spec: RunSpec, state: Path, cuts: Cuts) -> None:
        super().__init__(seed, spec, state)
        self.cuts, self.power = cuts, random.Random(f"power {seed}")
        self.platter = SimulatedDisk()
        self.left, self.next = cuts.most, 0
        self.draw_next()

    def draw_next(self) -> None:
        self.next = self.power.randrange(1, self.cuts.apart) if self.left else 0

    def before(self, what: str) -> None:
        """An operation on the disk comes next."""
        if self.next and self.cuts.before in ("", what):
            self.next -= 1
            if not self.next:
                raise ProcessKilled

    def open_journal(self, folder: Path, limit_bytes: int) -> Journal:
        disk = MemoryDisk(self.platter, self.before)
        disk.takes = lambda: self.power.choice((0.0005, 0.002, 0.02))
        return self.cuts.journal(
            folder, limit_bytes, self.cuts.gather, disk, f"boot {self.kill_count}", self.read_clock_us
        )

    def run_process(self) -> bool:
        if super().run_process():
            return True
        self.left -= 1
        self.platter = SimulatedDisk(self.platter.cut(self.power))
        self.draw_next()
        return False

    def terminate(self) -> None:
        if hasattr(self, "engine"):  # a cut in the very first start leaves none
            super().terminate()


def live(seed: int, cuts: Cuts | None = None, spec: RunSpec = SMALL) -> Outcomes:
    """One life, from its seed."""
    with quietly() as folder:
        return PowerLife(seed, spec, folder, cuts or Cuts()).run()
