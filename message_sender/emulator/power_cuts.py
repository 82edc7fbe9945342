"""Runs of a sender whose machine loses power repeatedly, between any two operations on its disk.

The engine, the policy and the durable journal are the real ones. At a power cut the disk loses a part, drawn
from the seed, of all data that was not synced (testbed/simulated_disk.py). The run continues after each cut
with the same clients and destinations, and is checked as any other run.
"""

import random
from dataclasses import dataclass
from pathlib import Path

from message_sender.emulator.run_plan import RunSpec
from message_sender.emulator.simulated_run import Outcomes, ProcessKilled, SimulatedRun, isolated_folder
from message_sender.journal.durable import DurableJournal
from message_sender.journal.process_journal import Journal
from message_sender.testbed.simulated_disk import MemoryDisk, SimulatedDisk

SMALL = RunSpec(seconds=1.0, rate=25.0, destinations=2, keys=2, trouble=0.3, drains=0, kills=0)


@dataclass(frozen=True)
class Cuts:
    """How often the power fails, and the journal that is used.

    Attributes:
        max_cuts: Number of power cuts in a run.
        max_operations_between: Upper bound of the operations between two cuts; an early cut hits a start.
        before: Kind of operation before which the power fails, the only one that is counted; "": any.
        sync_interval_s: Seconds for which the journal gathers records before a sync; None: nothing is synced.
        journal: The journal's class.
    """

    max_cuts: int = 8
    max_operations_between: int = 25
    before: str = ""
    sync_interval_s: float | None = 0.005
    journal: type[DurableJournal] = DurableJournal


class PowerCutRun(SimulatedRun):
    """A run with power cuts."""

    def __init__(self, seed: int, spec: RunSpec, state: Path, cuts: Cuts) -> None:
        """Prepares a run; see `SimulatedRun` for the other arguments."""
        super().__init__(seed, spec, state)
        self.cuts, self.power_rng = cuts, random.Random(f"power {seed}")
        self.disk = SimulatedDisk()
        self.cuts_left, self.operations_left = cuts.max_cuts, 0
        self.draw_next_cut()

    def draw_next_cut(self) -> None:
        """Draws the number of operations until the next cut; 0: there is none."""
        self.operations_left = (
            self.power_rng.randrange(1, self.cuts.max_operations_between) if self.cuts_left else 0
        )

    def before_operation(self, kind: str) -> None:
        """Cuts the power if the disk's next operation, of this kind, is the one that was drawn."""
        if self.operations_left and self.cuts.before in ("", kind):
            self.operations_left -= 1
            if not self.operations_left:
                raise ProcessKilled

    def open_journal(self, folder: Path, limit_bytes: int) -> Journal:
        """Returns a journal on what the disk holds after the last cut."""
        process_disk = MemoryDisk(self.disk, self.before_operation)
        process_disk.job_duration = lambda: self.power_rng.choice((0.0005, 0.002, 0.02))
        return self.cuts.journal(
            folder,
            limit_bytes,
            self.cuts.sync_interval_s,
            process_disk,
            f"boot {self.kill_count}",
            self.read_clock_us,
        )

    def run_process(self) -> bool:
        """Runs one process; returns whether the run is over, False: the power failed."""
        if super().run_process():
            return True
        self.cuts_left -= 1
        self.disk = SimulatedDisk(self.disk.cut(self.power_rng))
        self.draw_next_cut()
        return False

    def terminate(self) -> None:
        """Ends the process."""
        if hasattr(self, "engine"):  # a cut during the first start leaves no engine
            super().terminate()


def run_with_power_cuts(seed: int, cuts: Cuts | None = None, spec: RunSpec = SMALL) -> Outcomes:
    """Runs a sender with power cuts; all draws come from the seed."""
    with isolated_folder() as folder:
        return PowerCutRun(seed, spec, folder, cuts or Cuts()).run()
