"""Experiments: runs of scenarios over settings, policies and seeds, with confidence intervals.

- `sweep`: a grid, or a Latin hypercube (McKay, Beckman and Conover, 1979), over any fields of a scenario.
  Each result is appended to a file when its run ends; an interrupted sweep continues with the runs that are
  missing.
- `compare`: variants on the same random numbers. The difference from the first variant is taken run by run,
  which removes the variance between seeds. Its interval is a percentile bootstrap (Efron and Tibshirani,
  1993, ch. 13).
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
from message_sender.emulator.policies import OWN_POLICY, POLICIES
from message_sender.emulator.scenario import Scenario, changed
from message_sender.emulator.scenario_run import play

RESAMPLES = 4000
CONFIDENCE = 0.95
MAX_TRIES = 3  # of runs whose process died


@dataclass(frozen=True)
class Job:
    """One run.

    Attributes:
        scenario: The scenario before the changes.
        seed: The seed of the run.
        policy: The name of the delivery policy.
        changes: New values at dotted paths of the scenario.
        name: The name of the scenario's file.
    """

    scenario: Scenario
    seed: int
    policy: str = OWN_POLICY
    changes: tuple[tuple[str, Any], ...] = ()
    name: str = ""

    def key(self) -> str:
        """Returns a JSON text that identifies the run in a file of results."""
        parts = {"name": self.name, "seed": self.seed, "policy": self.policy, "changes": dict(self.changes)}
        return json.dumps(parts, sort_keys=True)


@dataclass
class RunResult:
    """The result of a run.

    Attributes:
        key: The key of its job.
        measures: The figures by which runs are compared, by name.
        breaches: The violated rules, once for each violation.
        error: Why the run failed; empty if it did not.
    """

    key: str
    measures: dict[str, float] = field(default_factory=dict)
    breaches: list[str] = field(default_factory=list)
    error: str = ""

    def line(self) -> str:
        """Returns the line of JSON that a file of results has for the run."""
        return json.dumps(vars(self), sort_keys=True)


def run(job: Job) -> RunResult:
    """Plays the scenario of a job.

    Never raises: an exception of the run is reported in the result.
    """
    try:
        scenario = changed(job.scenario, dict(job.changes)) if job.changes else job.scenario
        outcomes = play(scenario, job.seed, POLICIES[job.policy])
    except Exception as error:
        return RunResult(job.key(), error=f"{type(error).__name__}: {error}")
    return RunResult(job.key(), outcomes.figures.measures(), [each.rule for each in outcomes.breaches])


def run_all(jobs: Sequence[Job], processes: int) -> Iterator[RunResult]:
    """Yields the results of jobs as their runs end.

    A process that dies loses its runs. They are repeated in new processes, and reported as failed after
    `MAX_TRIES` tries.
    """
    if processes == 1:
        yield from map(run, jobs)
        return
    left = {job.key(): job for job in jobs}
    for _ in range(MAX_TRIES):
        context = multiprocessing.get_context("spawn")
        with ProcessPoolExecutor(processes, mp_context=context) as pool:
            futures = [pool.submit(run, job) for job in left.values()]
            try:
                for future in as_completed(futures):
                    result = future.result()
                    del left[result.key]
                    yield result
            except BrokenProcessPool:
                continue
        break
    for key in left:
        yield RunResult(key, error="its process died")


def read_results(file: Path) -> dict[str, RunResult]:
    """Returns the results in the file of an earlier sweep, by key.

    A torn line, which an interrupted sweep leaves, is skipped, so that its run is repeated.
    """
    results: dict[str, RunResult] = {}
    if file.exists():
        for line in file.read_text().splitlines():
            try:
                result = RunResult(**json.loads(line))
            except (ValueError, TypeError):
                continue
            results[result.key] = result
    return results


def sweep(jobs: Sequence[Job], processes: int, file: Path | None) -> Iterator[RunResult]:
    """Runs jobs and appends their results to a file.

    Args:
        jobs: The jobs.
        processes: Number of worker processes.
        file: The file of results; None for none.

    Yields:
        The results of all jobs, first those that the file already has.

    Raises:
        OSError: The file cannot be read or written.
    """
    done = read_results(file) if file else {}
    yield from (done[job.key()] for job in jobs if job.key() in done)
    left = [job for job in jobs if job.key() not in done]
    if file is None:
        yield from run_all(left, processes)
        return
    # Without a line break, the next result would continue a torn line.
    is_torn = file.exists() and file.stat().st_size and not file.read_bytes().endswith(b"\n")
    with file.open("a") as output:
        output.write("\n" if is_torn else "")
        for result in run_all(left, processes):
            output.write(result.line() + "\n")
            output.flush()
            yield result


def grid(fields: Mapping[str, Sequence[Any]]) -> list[tuple[tuple[str, Any], ...]]:
    """Returns the changes of each combination of the fields' values."""
    return [tuple(zip(fields, values, strict=True)) for values in itertools.product(*fields.values())]


def hypercube(
    ranges: Mapping[str, tuple[float, float]], points: int, seed: int
) -> list[tuple[tuple[str, Any], ...]]:
    """Returns the changes of a Latin hypercube.

    Each range is divided into as many parts as there are points, and each part contains one point. If both
    ends of a range are integers and it is at least as long as the number of points, its values are integers.

    Args:
        ranges: Lower and upper end, by the dotted path of a field.
        points: Number of points.
        seed: Seed of the random numbers.
    """
    rng = np.random.default_rng(seed)
    columns = []
    for low, high in ranges.values():
        parts = (rng.permutation(points) + rng.random(points)) / points
        values = low + (high - low) * parts
        is_integer_range = float(low).is_integer() and float(high).is_integer() and high - low >= points
        columns.append([round(x) if is_integer_range else round(float(x), 6) for x in values])
    return [tuple(zip(ranges, values, strict=True)) for values in zip(*columns, strict=True)]


@dataclass(frozen=True)
class Interval:
    """A mean with its 95% confidence interval."""

    mean: float
    low: float
    high: float

    def __str__(self) -> str:
        """Returns the mean and the interval, with four significant digits."""
        return f"{self.mean:.4g} [{self.low:.4g}, {self.high:.4g}]"

    def excludes_zero(self) -> bool:
        """Returns whether 0 is outside the interval."""
        return self.low > 0 or self.high < 0


def interval(values: Sequence[float], seed: int = 0) -> Interval:
    """Returns the mean of values with its confidence interval, which is unbounded for a single value.

    Args:
        values: The values.
        seed: Seed of the bootstrap.

    Raises:
        ValueError: There are no values.
    """
    if not values:
        raise ValueError("an interval needs at least one value, got none")
    sample = np.asarray(values, dtype=float)
    if len(sample) == 1:
        return Interval(float(sample[0]), float("-inf"), float("inf"))
    picks = np.random.default_rng(seed).integers(0, len(sample), (RESAMPLES, len(sample)))
    means = sample[picks].mean(axis=1)
    low, high = np.quantile(means, [(1 - CONFIDENCE) / 2, (1 + CONFIDENCE) / 2])
    return Interval(float(sample.mean()), float(low), float(high))


@dataclass
class Compared:
    """One variant of one scenario.

    Attributes:
        name: The scenario.
        variant: The variant.
        measures: Its figures by name.
        against: Their differences from the first variant.
        broken: Number of runs that violated a rule.
        runs: Number of runs.
        errors: The errors of runs that failed.
    """

    name: str
    variant: str
    measures: dict[str, Interval]
    against: dict[str, Interval]
    broken: int
    runs: int
    errors: list[str]


def compare(
    scenarios: Mapping[str, Scenario], variants: Mapping[str, Job], seeds: Sequence[int], processes: int
) -> list[Compared]:
    """Runs variants of scenarios with the same seeds.

    Args:
        scenarios: The scenarios by name.
        variants: By name, jobs of which only the policy and the changes are used. The others are compared
            with the first one.
        seeds: The seeds of the runs.
        processes: Number of worker processes.

    Returns:
        One entry for each scenario and variant.
    """
    jobs = {
        (name, variant, seed): Job(scenario, seed, job.policy, job.changes, f"{name}: {variant}")
        for name, scenario in scenarios.items()
        for variant, job in variants.items()
        for seed in seeds
    }
    results = {result.key: result for result in run_all(list(jobs.values()), processes)}
    baseline = next(iter(variants))
    rows = []
    for name, variant in itertools.product(scenarios, variants):
        own = [results[jobs[name, variant, seed].key()] for seed in seeds]
        other = [results[jobs[name, baseline, seed].key()] for seed in seeds]
        rows.append(compare_runs(name, variant, own, other))
    return rows


def compare_runs(name: str, variant: str, own: Sequence[RunResult], other: Sequence[RunResult]) -> Compared:
    """Compares the runs of a variant with those of the first variant, which have the same seeds.

    Pairs in which a run failed are left out of the figures.
    """
    pairs = [
        (mine, theirs) for mine, theirs in zip(own, other, strict=True) if not (mine.error or theirs.error)
    ]
    names = dict.fromkeys(each for mine, theirs in pairs for each in mine.measures if each in theirs.measures)
    measures, against = {}, {}
    for measure in names:
        values = [
            (mine.measures[measure], theirs.measures[measure])
            for mine, theirs in pairs
            if measure in mine.measures and measure in theirs.measures
        ]
        measures[measure] = interval([mine for mine, _ in values])
        against[measure] = interval([mine - theirs for mine, theirs in values])
    broken = sum(bool(each.breaches) for each in own)
    return Compared(
        name, variant, measures, against, broken, len(own), [each.error for each in own if each.error]
    )


def value_of(text: str) -> Any:  # noqa: ANN401
    """Returns a value from the command line: parsed as JSON, or the text itself if it is not JSON."""
    try:
        return json.loads(text)
    except ValueError:
        return text


def field_of(text: str) -> tuple[str, list[Any]]:
    """Parses a field with its values, such as `path=a,b,c`.

    Returns:
        The dotted path and the values.

    Raises:
        ConfigError: The text does not have this form.
    """
    path, separator, values = text.partition("=")
    if not separator or not values:
        raise ConfigError([])
    return path, [value_of(each) for each in values.split(",")]


def table(rows: Iterable[Compared], measures: Sequence[str]) -> str:
    """Returns a Markdown table of measures with their intervals.

    A figure is bold if its difference from the first variant is significant.
    """
    lines = ["| scenario | variant | " + " | ".join(measures) + " | runs with violations |"]
    lines.append("| --- " * (len(measures) + 3) + "|")
    for row in rows:
        cells = []
        for name in measures:
            text = str(row.measures[name]) if name in row.measures else "-"
            differs = name in row.against and row.against[name].excludes_zero()
            cells.append(f"**{text}**" if differs else text)
        lines.append(f"| {row.name} | {row.variant} | {' | '.join(cells)} | {row.broken} of {row.runs} |")
    return "\n".join(lines)
