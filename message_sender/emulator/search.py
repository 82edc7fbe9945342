"""Many lives, each from its seed, over several processes; and one of them event by event."""

import json
import multiprocessing
import sys
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import asdict, dataclass, field
from pathlib import Path

from message_sender.emulator.shrink import Case, shrink, told
from message_sender.emulator.simulated_run import live
from message_sender.testbed.history_checker import Violation

CHUNK = 20  # lives that a process is handed at once


@dataclass
class Found:
    """One life, as far as the search needs it."""

    seed: int
    breaches: list[Violation] = field(default_factory=list)
    error: str = ""  # the life did not come to its end
    ends: dict[str, int] = field(default_factory=dict)
    calls: int = 0
    kills: int = 0
    told_again: int = 0

    def broken(self) -> bool:
        return bool(self.breaches or self.error)


def one(seed: int) -> Found:
    """Never raises: a life that fails is a finding like any other."""
    try:
        outcomes = live(seed)
    except Exception as error:
        return Found(seed, error=f"{type(error).__name__}: {error}")
    counts = outcomes.ends, outcomes.calls, outcomes.kills, outcomes.told_again
    return Found(seed, outcomes.breaches, "", *counts)


def lives(first: int, count: int, processes: int) -> Iterator[Found]:
    """In the order of their seeds."""
    seeds = range(first, first + count)
    if processes == 1:
        yield from map(one, seeds)
        return
    with multiprocessing.get_context("spawn").Pool(processes) as pool:
        yield from pool.imap(one, seeds, CHUNK)


def search(first: int, count: int, processes: int, json_lines: bool = False) -> int:
    began, broken, sums = time.monotonic(), 0, Counter[str]()
    for found in lives(first, count, processes):
        sums.update(found.ends)
        sums.update(calls=found.calls, kills=found.kills, told_again=found.told_again)
        if found.broken():
            broken += 1
            tell_one(found, json_lines)
    passed = time.monotonic() - began
    total = {"lives": count, "broken": broken, **dict(sorted(sums.items())), "seconds": round(passed, 1)}
    if json_lines:
        print(json.dumps(total))
    else:
        print(", ".join(f"{name} {value}" for name, value in total.items()))
    return 1 if broken else 0


def tell_one(found: Found, json_lines: bool) -> None:
    if json_lines:
        print(json.dumps(asdict(found)), flush=True)
        return
    print(f"seed {found.seed}: {found.error or 'a rule broke'}", flush=True)
    for each in found.breaches:
        print(f"  {each.at:.3f} s, {each.rule}: {each.text}")


def show(case: Case, file: Path) -> int:
    """Writes the life's events, JSON lines, the same bytes each time."""
    outcomes = case.live()
    file.write_text("".join(line + "\n" for line in outcomes.trace))
    if outcomes.breaches:
        tell_one(Found(case.seed, outcomes.breaches), json_lines=False)
    print(f"{len(outcomes.trace)} events in {file}")
    return 1 if outcomes.breaches else 0


def cut_down(seed: int, file: Path) -> int:
    """Shrinks the life of that seed by the first rule that it breaks, and writes the case."""
    found = one(seed)
    if not found.breaches:
        print(f"seed {seed}: {found.error or 'no rule breaks'}", file=sys.stderr)
        return 1
    case = shrink(seed, found.breaches[0].rule)
    left = case.live()
    case.write(file, left)
    print(f"seed {seed}, rule {case.rule!r}: {len(left.scheduled)} happenings left, in {file}")
    for line in told(left.scheduled):
        print(f"  {line}")
    return 1
