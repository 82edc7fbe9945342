"""Experiments: many runs of scenarios, over settings, policies and seeds, with intervals for figures.

- `sweep`: a grid, or a Latin hypercube (McKay, Beckman and Conover, 1979), over any field of a scenario. Each
  run is a line in a file as soon as it is over; a sweep that ended early goes on where it was.
- `compare`: variants on the same draws. The difference from the first one is taken run by run, which takes
  the luck of the draw out, and its interval is a percentile bootstrap (Efron and Tibshirani, 1993, ch. 13).
"""

import itertools
import json
import multiprocessing
from collections.abc import Iterable, Iterator, Mapping, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from concurrent.futures.process import BrokenProcessPool
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import numpy as np

from message_sender.configuration.tables import ConfigError
from message_sender.emulator.play import play
from message_sender.emulator.policies import OWN_POLICY, POLICIES
from message_sender.emulator.scenario import Scenario, changed

RESAMPLES = 4000
LEVEL = 0.95
TRIES = 3  # of a run whose process died


@dataclass(frozen=True)
class Job:
    """One run. `changes` are values at dotted paths of the scenario."""

    scenario: Scenario
    seed: int
    policy: str = OWN_POLICY
    changes: tuple[tuple[str, Any], ...] = ()
    name: str = ""  # of the scenario's file

    def key(self) -> str:
        told = {"name": self.name, "seed": self.seed, "policy": self.policy, "changes": dict(self.changes)}
        return json.dumps(told, sort_keys=True)


@dataclass
class RunResult:
    key: str
    measures: dict[str, float] = field(default_factory=dict)
    breaches: list[str] = field(default_factory=list)  # their rules
    error: str = ""

    def line(self) -> str:
        return json.dumps(vars(self), sort_keys=True)


def run(job: Job) -> RunResult:
    """Never raises: a run that fails is a result like any other."""
    try:
        scenario = changed(job.scenario, dict(job.changes)) if job.changes else job.scenario
        outcomes = play(scenario, job.seed, POLICIES[job.policy])
    except Exception as error:
        return RunResult(job.key(), error=f"{type(error).__name__}: {error}")
    return RunResult(job.key(), outcomes.figures.measures(), [each.rule for each in outcomes.breaches])


def run_all(jobs: Sequence[Job], processes: int) -> Iterator[RunResult]:
    """As they end. A process that dies takes its runs with it: they are tried again, in new processes, and
    told as failed after `TRIES`."""
    if processes == 1:
        yield from map(run, jobs)
        return
    left = {job.key(): job for job in jobs}
    for _ in range(TRIES):
        context = multiprocessing.get_context("spawn")
        with ProcessPoolExecutor(processes, mp_context=context) as pool:
            waiting = [pool.submit(run, job) for job in left.values()]
            try:
                for each in as_completed(waiting):
                    ran = each.result()
                    del left[ran.key]
                    yield ran
            except BrokenProcessPool:
                continue
        break
    for key in left:
        yield RunResult(key, error="its process died")


def kept(file: Path) -> dict[str, RunResult]:
    """What an earlier sweep left in a file. A line that was cut off by its end is run again."""
    found: dict[str, RunResult] = {}
    if file.exists():
        for line in file.read_text().splitlines():
            try:
                ran = RunResult(**json.loads(line))
            except (ValueError, TypeError):
                continue
            found[ran.key] = ran
    return found


def sweep(jobs: Sequence[Job], processes: int, file: Path | None) -> Iterator[RunResult]:
    """All of them, those first that the file already holds. Raises OSError."""
    done = kept(file) if file else {}
    yield from (done[job.key()] for job in jobs if job.key() in done)
    left = [job for job in jobs if job.key() not in done]
    if file is None:
        yield from run_all(left, processes)
        return
    # What a cut-off line left would run into the next one.
    torn = file.exists() and file.stat().st_size and not file.read_bytes().endswith(b"\n")
    with file.open("a") as out:
        out.write("\n" if torn else "")
        for ran in run_all(left, processes):
            out.write(ran.line() + "\n")
            out.flush()
            yield ran


def grid(fields: Mapping[str, Sequence[Any]]) -> list[tuple[tuple[str, Any], ...]]:
    """Every combination."""
    return [tuple(zip(fields, values, strict=True)) for values in itertools.product(*fields.values())]


def hypercube(
    ranges: Mapping[str, tuple[float, float]], points: int, seed: int
) -> list[tuple[tuple[str, Any], ...]]:
    """`points` of them: each range is cut into as many parts, and each part is met once. Where both ends are
    whole numbers, so are the values."""
    rng = np.random.default_rng(seed)
    columns = []
    for low, high in ranges.values():
        parts = (rng.permutation(points) + rng.random(points)) / points
        values = low + (high - low) * parts
        whole = float(low).is_integer() and float(high).is_integer() and high - low >= points
        columns.append([round(x) if whole else round(float(x), 6) for x in values])
    return [tuple(zip(ranges, values, strict=True)) for values in zip(*columns, strict=True)]


@dataclass(frozen=True)
class Interval:
    """A mean, and where it lies with 95% confidence."""

    mean: float
    low: float
    high: float

    def __str__(self) -> str:
        return f"{self.mean:.4g} [{self.low:.4g}, {self.high:.4g}]"

    def apart(self) -> bool:
        """Whether nought is outside of it."""
        return self.low > 0 or self.high < 0


def interval(values: Sequence[float], seed: int = 0) -> Interval:
    """Of their mean; of one value nothing can be said but itself. Raises ValueError for none."""
    if not values:
        raise ValueError("an interval of nothing")
    told = np.asarray(values, dtype=float)
    if len(told) == 1:
        return Interval(float(told[0]), float("-inf"), float("inf"))
    picks = np.random.default_rng(seed).integers(0, len(told), (RESAMPLES, len(told)))
    means = told[picks].mean(axis=1)
    low, high = np.quantile(means, [(1 - LEVEL) / 2, (1 + LEVEL) / 2])
    return Interval(float(told.mean()), float(low), float(high))


@dataclass
class Compared:
    """One variant of one scenario: its measures, their difference from the first variant, and what broke."""

    name: str
    variant: str
    measures: dict[str, Interval]
    against: dict[str, Interval]
    broken: int  # runs in which a rule broke
    runs: int
    errors: list[str]


def compare(
    scenarios: Mapping[str, Scenario], variants: Mapping[str, Job], seeds: Sequence[int], processes: int
) -> list[Compared]:
    """`variants` are jobs whose policy and changes count. The others are held against the first one."""
    jobs = {
        (name, variant, seed): Job(scenario, seed, job.policy, job.changes, f"{name}: {variant}")
        for name, scenario in scenarios.items()
        for variant, job in variants.items()
        for seed in seeds
    }
    found = {ran.key: ran for ran in run_all(list(jobs.values()), processes)}
    first = next(iter(variants))
    rows = []
    for name, variant in itertools.product(scenarios, variants):
        own = [found[jobs[name, variant, seed].key()] for seed in seeds]
        other = [found[jobs[name, first, seed].key()] for seed in seeds]
        rows.append(row(name, variant, own, other))
    return rows


def row(name: str, variant: str, own: Sequence[RunResult], other: Sequence[RunResult]) -> Compared:
    good = [
        (mine, theirs) for mine, theirs in zip(own, other, strict=True) if not (mine.error or theirs.error)
    ]
    names = dict.fromkeys(each for mine, theirs in good for each in mine.measures if each in theirs.measures)
    measures, against = {}, {}
    for each in names:
        pairs = [
            (m.measures[each], t.measures[each]) for m, t in good if each in m.measures and each in t.measures
        ]
        measures[each] = interval([mine for mine, _ in pairs])
        against[each] = interval([mine - theirs for mine, theirs in pairs])
    broken = sum(bool(each.breaches) for each in own)
    return Compared(
        name, variant, measures, against, broken, len(own), [each.error for each in own if each.error]
    )


def value_of(text: str) -> Any:  # noqa: ANN401
    """A value as TOML would have it; what is none is a text."""
    try:
        return json.loads(text)
    except ValueError:
        return text


def field_of(text: str) -> tuple[str, list[Any]]:
    """`path=a,b,c`. Raises ConfigError."""
    path, found, values = text.partition("=")
    if not found or not values:
        raise ConfigError([])
    return path, [value_of(each) for each in values.split(",")]


def table(rows: Iterable[Compared], measures: Sequence[str]) -> str:
    """As a Markdown table: each figure with its interval, and in bold where it differs from the first."""
    lines = ["| scenario | variant | " + " | ".join(measures) + " | runs with a broken rule |"]
    lines.append("| --- " * (len(measures) + 3) + "|")
    for each in rows:
        cells = []
        for name in measures:
            told = str(each.measures[name]) if name in each.measures else "-"
            differs = name in each.against and each.against[name].apart()
            cells.append(f"**{told}**" if differs else told)
        lines.append(f"| {each.name} | {each.variant} | {' | '.join(cells)} | {each.broken} of {each.runs} |")
    return "\n".join(lines)
