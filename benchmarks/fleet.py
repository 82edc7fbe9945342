"""Forty senders in simulated time: the scenarios `forty-*`, drawn again and again.

    ./with-env python benchmarks/fleet.py                     # twenty draws of each
    ./with-env python benchmarks/fleet.py --root OTHER        # the decisions of another checkout beside these

With `--root` the policy of that checkout (its dispatcher.py, breaker.py, schedule.py) takes the place of this
one's, in the emulator of this one, and every draw is a pair: the same clients, receivers and chance.
"""

import argparse
import math
import shutil
import statistics
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

HERE = Path(__file__).resolve().parent.parent
DECISIONS = (
    "policy/dispatcher.py",
    "policy/breaker.py",
    "policy/timers.py",
    "policy/list_polling.py",
    "policy/urgency.py",
    "policy/destination.py",
)
FIGURES = ("goodput", "worst_10_s", "refused_calls", "falls")


def play(root: Path, scenario: Path, seed: int) -> dict[str, float]:
    """The figures of one draw. Raises RuntimeError where the run itself failed."""
    command = [sys.executable, "-m", "message_sender", "emulate", "run", str(scenario), "--seed", str(seed)]
    ran = subprocess.run(command, cwd=root, capture_output=True, text=True, check=False)
    lines = [line.split() for line in ran.stdout.splitlines() if line.startswith("  ")]
    found = {line[0]: line[1] for line in lines if len(line) == 2}
    if not set(FIGURES) <= set(found):
        raise RuntimeError(f"{scenario.stem}, seed {seed}: {ran.stdout[-200:]}{ran.stderr[-500:]}")
    return {name: float(found[name]) for name in FIGURES}


def with_decisions(root: Path, folder: Path) -> Path:
    """A copy of this program with the decision module of `root`."""
    copy = folder / "other"
    shutil.copytree(
        HERE / "message_sender", copy / "message_sender", ignore=shutil.ignore_patterns("__pycache__")
    )
    for name in DECISIONS:
        shutil.copy(root / "message_sender" / name, copy / "message_sender" / name)
    return copy


def interval(values: list[float]) -> str:
    """Mean and half of its 95% interval."""
    half = 1.96 * statistics.stdev(values) / math.sqrt(len(values)) if len(values) > 1 else math.inf
    return f"{statistics.fmean(values):.3f} +- {half:.3f}"


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("--root", type=Path)
    parser.add_argument("--draws", type=int, default=20)
    parser.add_argument("--processes", type=int, default=8)
    parser.add_argument("--only", default="forty-")
    options = parser.parse_args()
    scenarios = sorted((HERE / "scenarios").glob(f"{options.only}*.toml"))
    with tempfile.TemporaryDirectory() as folder, ThreadPoolExecutor(options.processes) as pool:
        roots = {"this": HERE}
        if options.root:
            roots["other"] = with_decisions(options.root, Path(folder))
        for scenario in scenarios:
            runs = {
                name: [pool.submit(play, root, scenario, seed) for seed in range(options.draws)]
                for name, root in roots.items()
            }
            found = {name: [each.result() for each in ran] for name, ran in runs.items()}
            for figure in FIGURES:
                told = [f"{name} {interval([x[figure] for x in found[name]])}" for name in found]
                if len(found) == 2:
                    pairs = zip(found["this"], found["other"], strict=True)
                    told.append(f"this less other {interval([a[figure] - b[figure] for a, b in pairs])}")
                print(f"{scenario.stem:26} {figure:14}", "   ".join(told), flush=True)


if __name__ == "__main__":
    main()
