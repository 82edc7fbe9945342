"""Searches simulated runs, one for each seed, for violations; replays and reduces single runs.

The output calls the simulated run of one seed, with its faults and kills, a life.
"""

import json
import multiprocessing
import sys
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import asdict, dataclass, field
from pathlib import Path

from message_sender.emulator.shrink import Case, format_events, shrink
from message_sender.emulator.simulated_run import simulate
from message_sender.testbed.history_checker import Violation

SEEDS_PER_TASK = 20  # number of seeds that a worker process gets at a time


@dataclass
class Found:
    """The result of one simulated run.

    Attributes:
        seed: The seed.
        breaches: The violations of rules.
        error: The exception that ended the run; empty if it came to its end.
        ends: Number of messages by how they ended.
        calls: Number of calls.
        kills: Number of times that the sender was killed.
        told_again: Number of completions that were reported again.
    """

    seed: int
    breaches: list[Violation] = field(default_factory=list)
    error: str = ""
    ends: dict[str, int] = field(default_factory=dict)
    calls: int = 0
    kills: int = 0
    told_again: int = 0

    def has_failed(self) -> bool:
        """Returns whether the run violated a rule or failed."""
        return bool(self.breaches or self.error)


def run_seed(seed: int) -> Found:
    """Runs the simulation of a seed.

    Never raises: an exception of the run is reported in the result.
    """
    try:
        outcomes = simulate(seed)
    except Exception as error:
        return Found(seed, error=f"{type(error).__name__}: {error}")
    counts = outcomes.ends, outcomes.calls, outcomes.kills, outcomes.told_again
    return Found(seed, outcomes.breaches, "", *counts)


def run_seeds(first: int, count: int, processes: int) -> Iterator[Found]:
    """Yields the results of `count` seeds from `first` on, in the order of the seeds."""
    seeds = range(first, first + count)
    if processes == 1:
        yield from map(run_seed, seeds)
        return
    with multiprocessing.get_context("spawn").Pool(processes) as pool:
        yield from pool.imap(run_seed, seeds, SEEDS_PER_TASK)


def search(first: int, count: int, processes: int, json_lines: bool = False) -> int:
    """Runs `count` seeds from `first` on; prints those that violate a rule or fail, and the totals.

    Args:
        first: The first seed.
        count: Number of seeds.
        processes: Number of worker processes.
        json_lines: Prints JSON objects instead of text.

    Returns:
        The exit code: 1 if any run violated a rule or failed, else 0.
    """
    start, broken, sums = time.monotonic(), 0, Counter[str]()
    for result in run_seeds(first, count, processes):
        sums.update(result.ends)
        sums.update(calls=result.calls, kills=result.kills, told_again=result.told_again)
        if result.has_failed():
            broken += 1
            print_result(result, json_lines)
    elapsed_s = time.monotonic() - start
    total = {"lives": count, "broken": broken, **dict(sorted(sums.items())), "seconds": round(elapsed_s, 1)}
    if json_lines:
        print(json.dumps(total))
    else:
        print(", ".join(f"{name} {value}" for name, value in total.items()))
    return 1 if broken else 0


def print_result(result: Found, json_lines: bool) -> None:
    """Prints the violations or the error of a run, as text or as a JSON object."""
    if json_lines:
        print(json.dumps(asdict(result)), flush=True)
        return
    print(f"seed {result.seed}: {result.error or 'rules were violated'}", flush=True)
    for violation in result.breaches:
        print(f"  {violation.at:.3f} s, {violation.rule}: {violation.text}")


def show(case: Case, file: Path) -> int:
    """Replays a run and writes its events as lines of JSON. The same case always gives the same bytes.

    Returns:
        The exit code: 1 if the run violated a rule, else 0.

    Raises:
        OSError: The file cannot be written.
    """
    outcomes = case.run()
    file.write_text("".join(line + "\n" for line in outcomes.trace))
    if outcomes.breaches:
        print_result(Found(case.seed, outcomes.breaches), json_lines=False)
    print(f"{len(outcomes.trace)} events in {file}")
    return 1 if outcomes.breaches else 0


def cut_down(seed: int, file: Path) -> int:
    """Reduces the run of a seed by the first rule that it violates, and writes it as a case file.

    Returns:
        The exit code, which is always 1: a run without a violation cannot be reduced, which is an error, too.

    Raises:
        OSError: The file cannot be written.
    """
    result = run_seed(seed)
    if not result.breaches:
        print(f"seed {seed}: {result.error or 'no rule is violated'}", file=sys.stderr)
        return 1
    case = shrink(seed, result.breaches[0].rule)
    outcomes = case.run()
    case.write(file, outcomes)
    print(f"seed {seed}, rule {case.rule!r}: {len(outcomes.scheduled)} events left, in {file}")
    for line in format_events(outcomes.scheduled):
        print(f"  {line}")
    return 1
