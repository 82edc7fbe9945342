"""Fleets of forty senders on virtual time: the scenarios `forty-*` with many random seeds.

    ./with-env python benchmarks/fleet.py                     # twenty seeds of each
    ./with-env python benchmarks/fleet.py --root OTHER        # compares with the policy of another checkout

With `--root` every seed also runs in a copy of this checkout whose policy modules (`POLICY_FILES`) are
replaced by those of the other checkout. The two runs with a seed have the same emulator, clients and
receivers. Prints the mean of each figure with its 95% confidence interval.
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

ROOT = Path(__file__).resolve().parent.parent
POLICY_FILES = (
    "policy/dispatcher.py",
    "policy/breaker.py",
    "policy/timers.py",
    "policy/list_polling.py",
    "policy/urgency.py",
    "policy/destination.py",
)
FIGURES = ("goodput", "worst_10_s", "refused_calls", "falls")


def run_scenario(root: Path, scenario: Path, seed: int) -> dict[str, float]:
    """Runs a scenario once.

    Returns:
        The value of each figure.

    Raises:
        RuntimeError: The run failed or did not print all figures.
    """
    command = [sys.executable, "-m", "message_sender", "emulate", "run", str(scenario), "--seed", str(seed)]
    completed = subprocess.run(command, cwd=root, capture_output=True, text=True, check=False)
    lines = [line.split() for line in completed.stdout.splitlines() if line.startswith("  ")]
    figures = {line[0]: line[1] for line in lines if len(line) == 2}
    if not set(FIGURES) <= set(figures):
        raise RuntimeError(
            f"{scenario.stem}, seed {seed}: {completed.stdout[-200:]}{completed.stderr[-500:]}"
        )
    return {name: float(figures[name]) for name in FIGURES}


def copy_with_policy(root: Path, folder: Path) -> Path:
    """Copies this checkout's package into `folder` with the policy modules of `root`; returns the copy."""
    copy = folder / "other"
    shutil.copytree(
        ROOT / "message_sender", copy / "message_sender", ignore=shutil.ignore_patterns("__pycache__")
    )
    for name in POLICY_FILES:
        shutil.copy(root / "message_sender" / name, copy / "message_sender" / name)
    return copy


def interval(values: list[float]) -> str:
    """Returns the mean of the values and half the width of its 95% confidence interval."""
    half = 1.96 * statistics.stdev(values) / math.sqrt(len(values)) if len(values) > 1 else math.inf
    return f"{statistics.fmean(values):.3f} +- {half:.3f}"


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("--root", type=Path, help="a checkout to compare with")
    parser.add_argument("--seeds", type=int, default=20, help="runs of each scenario")
    parser.add_argument("--processes", type=int, default=8, help="concurrent runs")
    parser.add_argument("--prefix", default="forty-", help="of the scenario files")
    options = parser.parse_args()
    scenarios = sorted((ROOT / "scenarios").glob(f"{options.prefix}*.toml"))
    with tempfile.TemporaryDirectory() as folder, ThreadPoolExecutor(options.processes) as pool:
        roots = {"this": ROOT}
        if options.root:
            roots["other"] = copy_with_policy(options.root, Path(folder))
        for scenario in scenarios:
            runs = {
                name: [pool.submit(run_scenario, root, scenario, seed) for seed in range(options.seeds)]
                for name, root in roots.items()
            }
            results = {name: [run.result() for run in runs_of_root] for name, runs_of_root in runs.items()}
            for figure in FIGURES:
                cells = [f"{name} {interval([each[figure] for each in results[name]])}" for name in results]
                if len(results) == 2:
                    pairs = zip(results["this"], results["other"], strict=True)
                    cells.append(f"this minus other {interval([a[figure] - b[figure] for a, b in pairs])}")
                print(f"{scenario.stem:26} {figure:14}", "   ".join(cells), flush=True)


if __name__ == "__main__":
    main()
