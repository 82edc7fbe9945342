"""`message-sender emulate sweep|compare`: many simulated runs, with statistics of their measures."""

import json
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import click

from message_sender.cli.emulate_scenario import (
    FILE_ARGUMENT,
    POLICY_OPTION,
    PROCESSES_OPTION,
    SEEDS_OPTION,
    load_scenario,
    parse_field,
)
from message_sender.cli.errors import exit_on_error
from message_sender.cli.parameters import EXISTING_FILE_PATH, FILE_PATH
from message_sender.emulator import experiment
from message_sender.emulator.experiment import Job, RunResult
from message_sender.emulator.policies import POLICIES
from message_sender.emulator.scenario import Scenario, changed

MEASURES = ("goodput", "worst_10_s", "attempts", "refused_calls", "falls")
HYPERCUBE_SEED = 1

#: Pairs of a dotted path of a scenario and the value of that field.
Changes = tuple[tuple[str, Any], ...]


@click.command(
    help="""Run a scenario with many combinations of field values.

    \b
    message-sender emulate sweep scenarios/overload.toml --grid clients.rate=60,90,120 --out runs.jsonl
    message-sender emulate sweep scenarios/overload.toml --latin clients.rate=40,200 --processes 8
    """
)
@FILE_ARGUMENT
@SEEDS_OPTION
@PROCESSES_OPTION
@POLICY_OPTION
@click.option(
    "--grid", "fields", multiple=True, metavar="PATH=V,V,...", help="Field values; all combinations are run."
)
@click.option("--latin", multiple=True, metavar="PATH=LOW,HIGH", help="Range of a Latin hypercube.")
@click.option(
    "--points",
    type=click.IntRange(2),
    default=16,
    show_default=True,
    help="Number of points of the hypercube.",
)
@click.option(
    "--out",
    "output",
    type=FILE_PATH,
    help="Append a JSON line for each run; runs already in this file are skipped.",
)
@click.pass_context
def sweep(
    ctx: click.Context,
    file: Path,
    seeds: int,
    processes: int,
    policy: str,
    fields: tuple[str, ...],
    latin: tuple[str, ...],
    points: int,
    output: Path | None,
) -> None:
    """Runs a scenario with many combinations of values and prints the measures of each combination."""
    scenario = load_scenario(file)
    combinations = combine_changes(fields, latin, points)
    with exit_on_error(f"{file}: "):
        for changes in combinations:
            if changes:
                changed(scenario, dict(changes))
    jobs = [
        Job(scenario, seed, policy, changes, file.stem)
        for changes in combinations
        for seed in range(1, seeds + 1)
    ]
    results = run_jobs(jobs, processes, output)
    for changes_text, runs in results.items():
        click.echo(summarise(changes_text, runs))
    ctx.exit(1 if any(has_failed(result) for runs in results.values() for result in runs) else 0)


def combine_changes(fields: Sequence[str], latin: Sequence[str], points: int) -> list[Changes]:
    """Returns all combinations of the grid values, each combined with every point of the hypercube if any.

    Args:
        fields: The fields of the grid, each as `PATH=VALUE,VALUE,...`.
        latin: The ranges of the hypercube, each as `PATH=LOW,HIGH`.
        points: The number of points of the hypercube.

    Raises:
        click.BadParameter: A field or range has another form.
    """
    values = dict(parse_field(text) for text in fields)
    ranges = dict(parse_range(text) for text in latin)
    grid = experiment.grid(values)
    if not ranges:
        return [tuple(dict(grid_changes).items()) for grid_changes in grid]
    hypercube = experiment.hypercube(ranges, points, HYPERCUBE_SEED)
    combinations = []
    for grid_changes in grid:
        for point in hypercube:
            merged = {**dict(grid_changes), **dict(point)}
            combinations.append(tuple(merged.items()))
    return combinations


def parse_range(text: str) -> tuple[str, tuple[float, float]]:
    """Returns the path and the bounds of `PATH=LOW,HIGH`. Raises click.BadParameter."""
    path, ends = parse_field(text)
    has_two_numbers = len(ends) == 2 and all(isinstance(end, int | float) for end in ends)
    if not has_two_numbers or ends[0] >= ends[1]:
        raise click.BadParameter(f"{path}: expected LOW,HIGH with LOW below HIGH, got {text!r}")
    return path, (ends[0], ends[1])


def run_jobs(jobs: Sequence[Job], processes: int, output: Path | None) -> dict[str, list[RunResult]]:
    """Runs all jobs, with a progress bar on a terminal.

    Returns:
        The results, by the JSON text of the changes.
    """
    results: dict[str, list[RunResult]] = {}
    with (
        exit_on_error(),
        click.progressbar(
            length=len(jobs), label="runs", file=sys.stderr, hidden=not sys.stderr.isatty()
        ) as progress,
    ):
        for result in experiment.sweep(jobs, processes, output):
            changes = json.loads(result.key)["changes"]
            results.setdefault(json.dumps(changes, sort_keys=True), []).append(result)
            progress.update(1)
    return results


def has_failed(result: RunResult) -> bool:
    """Returns whether the run violated a rule or ended with an error."""
    return bool(result.breaches or result.error)


def summarise(changes_text: str, runs: Sequence[RunResult]) -> str:
    """Returns the line on the runs of one combination, with a confidence interval for each measure."""
    completed = [result for result in runs if not result.error]
    intervals = {}
    if completed:
        for name in MEASURES:
            intervals[name] = str(experiment.interval([result.measures[name] for result in completed]))
    failures = sum(has_failed(result) for result in runs)
    return f"{changes_text}: {intervals}, failed {failures}"


@click.command(
    help="""Compare policies or settings on the same seeds, with 95% confidence intervals.

    Values that differ from those of the first variant are bold.

    \b
    message-sender emulate compare scenarios/*.toml --processes 8
    message-sender emulate compare scenarios/overload.toml --vary fleet.max_open=100,400
    """
)
@click.argument("files", type=EXISTING_FILE_PATH, nargs=-1, required=True)
@SEEDS_OPTION
@PROCESSES_OPTION
@click.option(
    "--policy",
    "policies",
    multiple=True,
    type=click.Choice(list(POLICIES)),
    help="May be repeated; the first one is the baseline. Default: all policies.",
)
@click.option(
    "--vary", multiple=True, metavar="PATH=V,V,...", help="Compare values of one field instead of policies."
)
@click.option("--json", "output", type=FILE_PATH, help="Write the table to this JSON file.")
@click.pass_context
def compare(
    ctx: click.Context,
    files: tuple[Path, ...],
    seeds: int,
    processes: int,
    policies: tuple[str, ...],
    vary: tuple[str, ...],
    output: Path | None,
) -> None:
    """Compares policies or field values on the same scenarios and seeds, and prints a table."""
    scenarios = {file.stem: load_scenario(file) for file in files}
    variants = list_variants(scenarios, policies, vary)
    rows = experiment.compare(scenarios, variants, range(1, seeds + 1), processes)
    click.echo(experiment.table(rows, MEASURES))
    errors = [f"{row.name}, {row.variant}: {text}" for row in rows for text in row.errors]
    for text in errors:
        click.echo(text, err=True)
    if output:
        with exit_on_error():
            output.write_text(json.dumps([convert_row(row) for row in rows], indent=1) + "\n")
    ctx.exit(1 if errors else 0)


def list_variants(
    scenarios: Mapping[str, Scenario], policies: Sequence[str], vary: Sequence[str]
) -> dict[str, Job]:
    """Returns the variants to compare, by name: the policies and the field values.

    Without any option, all policies are compared.

    Raises:
        click.BadParameter: An element of `vary` is not `PATH=VALUE,VALUE,...`.
    """
    template = next(iter(scenarios.values()))  # each run replaces scenario and seed
    names = policies
    if not policies and not vary:
        names = list(POLICIES)
    variants = {name: Job(template, 0, name) for name in names}
    for text in vary:
        path, values = parse_field(text)
        for value in values:
            variants[f"{path}={value}"] = Job(template, 0, changes=((path, value),))
    return variants


def convert_row(row: experiment.Compared) -> dict[str, Any]:
    """Returns a row of the comparison as a JSON object."""
    document = vars(row).copy()
    for name in ("measures", "against"):
        document[name] = {key: vars(value) for key, value in document[name].items()}
    return document
