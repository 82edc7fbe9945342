"""Plays outages of a destination with real senders: the calls at its return against what is allowed.

    python benchmarks/cold.py [--seeds 1:2] [--outages hung,silent] [--rates 6,20] [--planted NAME]

Prints one line for each run whose busiest window of 1.5 s after the return has more calls than the rule on
cold destinations allows, with the plan that plays it again, and the highest value of each kind of outage. The
exit code is 1 if there is such a run. `--planted` plays with a defect in the senders, which has to be found.
"""

import argparse
import asyncio
import itertools
import os
import signal
import sys
import tempfile
from collections import defaultdict
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from cold_fleet import REPLACED, Outage, Plan, play_all  # noqa: E402

KILL, TERM = signal.SIGKILL, signal.SIGTERM
#: What happens to the first sender: seconds after the begin of an outage of 8.5 s, and the signal.
LIVES: dict[str, tuple[tuple[float, int], ...]] = {
    "none": (),
    "killed at once": ((0.3, KILL),),
    "killed early": ((3.75, KILL),),
    "killed late": ((7.7, KILL),),
    "killed at the end": ((8.1, KILL),),
    "killed behind the return": ((9.5, KILL),),
    "killed twice": ((6.0, KILL), (8.2, KILL)),
    "told to end": ((4.7, TERM),),
    "replaced": ((8.0, REPLACED),),
}
RATES = (3.0, 6.0, 20.0, 40.0)  # messages a second, of all senders
ANNOUNCED = (1.25, 1.0)  # announced rates as multiples of the load, for the two kinds of destination
#: Defects, as code that each sender runs at its start.
PLANTED = {
    "forgotten-outage": """
from message_sender.policy.state_transfer import StateImporter
StateImporter.restore_outages = lambda self, event: None
""",
    "early-warm-up": """
from message_sender.policy.outage import OutageTracker
note_served = OutageTracker.note_served
def note_served_early(self, *arguments):
    was_out = self.is_out
    note_served(self, *arguments)
    if was_out:
        self.warm_up_since -= 4_000_000
OutageTracker.note_served = note_served_early
""",
}


def plans(seeds: range, outages: list[Outage], rates: list[float]) -> Iterator[Plan]:
    """Yields the plan of each run."""
    effects = ("by_key", "repeatable")
    for seed, outage, rate, kills in itertools.product(seeds, outages, rates, LIVES.values()):
        number = seed + int(rate)
        yield Plan(
            outage,
            rate,
            kills,
            seed,
            announced=ANNOUNCED[number % 2],
            has_separate_routes=number % 3 == 0,
            effect=effects[seed // 2 % 2],
        )


def plant(name: str, folder: Path) -> None:
    """Lets each Python process that is started from now on run the defect's code first."""
    (folder / "sitecustomize.py").write_text(PLANTED[name])
    os.environ["PYTHONPATH"] = f"{folder}:{ROOT}"


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seeds", default="1:2", help="first and last seed")
    parser.add_argument("--outages", default=",".join(each.value for each in Outage))
    parser.add_argument("--rates", default=",".join(map(str, RATES)))
    parser.add_argument("--parallel", type=int, default=16)
    parser.add_argument("--planted", choices=PLANTED)
    options = parser.parse_args()
    first, last = map(int, options.seeds.split(":"))
    outages = [Outage(each) for each in options.outages.split(",")]
    wanted = list(plans(range(first, last + 1), outages, [float(each) for each in options.rates.split(",")]))
    peaks: dict[str, list[float]] = defaultdict(list)
    with tempfile.TemporaryDirectory() as folder:
        if options.planted:
            plant(options.planted, Path(folder))
        for start in range(0, len(wanted), options.parallel):
            batch = wanted[start : start + options.parallel]
            for plan, result in asyncio.run(play_all(Path(folder) / str(start), batch)).items():
                peaks[plan.outage.value].append(result.peak)
                if result.peak > 1:
                    print(
                        f"{result.peak:.2f} at {result.peak_at_s:.1f} s {result.calls_by_sender} {plan}",
                        flush=True,
                    )
    for outage, each in peaks.items():
        broken = sum(peak > 1 for peak in each)
        print(f"{outage}: {len(each)} runs, {broken} above what is allowed, highest {max(each):.2f}")
    return 1 if any(max(each) > 1 for each in peaks.values()) else 0


if __name__ == "__main__":
    sys.exit(main())
