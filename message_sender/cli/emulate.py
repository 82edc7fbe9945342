"""`message-sender emulate`: simulated runs of the sender, experiments and randomized fault search."""

import json
from pathlib import Path

import click

from message_sender.cli.emulate_experiments import compare, sweep
from message_sender.cli.emulate_scenario import (
    FILE_ARGUMENT,
    LEVEL_OPTION,
    POLICY_OPTION,
    PROCESSES_OPTION,
    SEED_OPTION,
    SET_OPTION,
    load_scenario,
    run_scenario,
)
from message_sender.cli.errors import exit_on_error
from message_sender.cli.parameters import FILE_PATH, FOLDER_PATH
from message_sender.emulator.fleet import Outcomes
from message_sender.emulator.scenario import Scenario

REPORTED_VIOLATIONS = 20
REPORTED_VIOLATIONS_PER_SEED = 5


@click.group()
def emulate() -> None:
    """Run the sender in simulated time.

    Exit codes: 0 no rule violated, 1 a rule violated or a run failed, 2 wrong usage.
    """


@emulate.command(
    help="""Run one scenario.

    \b
    message-sender emulate run scenarios/herd-on-return.toml --set fleet.senders=5
    """
)
@FILE_ARGUMENT
@SEED_OPTION
@POLICY_OPTION
@SET_OPTION
@LEVEL_OPTION
@click.option("--json", "output", type=FILE_PATH, help="Write all measures to this JSON file.")
@click.option(
    "--trace", type=FILE_PATH, help="Write every event as a JSON line; equal seeds give equal bytes."
)
@click.pass_context
def run(
    ctx: click.Context,
    file: Path,
    seed: int | None,
    policy: str,
    changes: tuple[str, ...],
    level: str,
    output: Path | None,
    trace: Path | None,
) -> None:
    """Runs one scenario, prints its measures and writes the files that the options name."""
    scenario = load_scenario(file, changes)
    chosen_seed = scenario.seed if seed is None else seed
    outcomes = run_scenario(scenario, chosen_seed, policy, is_traced=trace is not None, level=level)
    with exit_on_error():
        if output:
            output.write_text(json.dumps(outcomes.as_json(), indent=1) + "\n")
        if trace:
            trace.write_text("".join(line + "\n" for line in outcomes.trace))
    print_outcomes(scenario, outcomes)
    ctx.exit(1 if outcomes.breaches or outcomes.owed else 0)


def print_outcomes(scenario: Scenario, outcomes: Outcomes) -> None:
    """Prints the measures of a run, its rule violations and the messages that were not completed."""
    click.echo(scenario.title)
    for name, value in outcomes.figures.measures().items():
        click.echo(f"  {name:<14} {value:10.4g}")
    for violation in outcomes.breaches[:REPORTED_VIOLATIONS]:
        click.echo(f"  violation: {violation.at:.3f} s, {violation.rule}: {violation.text}")
    remaining = len(outcomes.breaches) - REPORTED_VIOLATIONS
    if remaining > 0:
        click.echo(f"  and {remaining} more")
    for message in outcomes.owed[:REPORTED_VIOLATIONS]:
        click.echo(f"  not completed: {message}")


@emulate.command()
@FILE_ARGUMENT
@SEED_OPTION
@POLICY_OPTION
@SET_OPTION
@click.option(
    "--out",
    "output",
    type=FILE_PATH,
    required=True,
    help="Write the page to this HTML file, which has no external references.",
)
@click.pass_context
def report(
    ctx: click.Context, file: Path, seed: int | None, policy: str, changes: tuple[str, ...], output: Path
) -> None:
    """Run one scenario and write a page with its measures and plots."""
    try:
        from message_sender.emulator.report import write as write_report
    except ImportError as error:
        raise click.ClickException(f"{error}; pip install 'message-sender[report]'") from None
    scenario = load_scenario(file, changes)
    chosen_seed = scenario.seed if seed is None else seed
    outcomes = run_scenario(scenario, chosen_seed, policy)
    with exit_on_error():
        write_report(output, scenario, chosen_seed, policy, outcomes)
    click.echo(f"{output}: {output.stat().st_size:,} bytes")
    ctx.exit(1 if outcomes.breaches or outcomes.owed else 0)


emulate.add_command(sweep)
emulate.add_command(compare)


@emulate.command()
@click.option(
    "--lives",
    type=click.IntRange(1),
    default=100,
    show_default=True,
    help="Number of runs, each with its own seed.",
)
@click.option("--seed", type=click.IntRange(0), default=0, help="Seed of the first run; the others follow.")
@PROCESSES_OPTION
@click.option(
    "--json",
    "as_json",
    is_flag=True,
    help="Print JSON: one object for each run that violates a rule, and the totals.",
)
@click.pass_context
def search(ctx: click.Context, lives: int, seed: int, processes: int, as_json: bool) -> None:
    """Run the sender with random faults and kills, and check the history of each run."""
    from message_sender.emulator.search import search as run_search

    ctx.exit(run_search(seed, lives, processes, json_lines=as_json))


@emulate.command(
    help="""Run random scenarios with fleets, faults, kills and pauses, and check the history of each.

    \b
    message-sender emulate hunt --count 1000 --processes 8 --level bytes --keep found
    """
)
@click.option("--count", type=click.IntRange(1), default=100, show_default=True, help="Number of scenarios.")
@click.option("--seed", type=click.IntRange(0), default=0, help="Seed of the first run; the others follow.")
@PROCESSES_OPTION
@LEVEL_OPTION
@click.option(
    "--keep",
    "folder",
    type=FOLDER_PATH,
    help="Write a minimized scenario file for each violation to this folder.",
)
@click.pass_context
def hunt(ctx: click.Context, count: int, seed: int, processes: int, level: str, folder: Path | None) -> None:
    """Runs random scenarios and prints those that violate a rule or fail."""
    from message_sender.emulator import fuzzing

    failures = 0
    calls = 0
    kills = 0
    for result in fuzzing.hunt(seed, count, processes, level):
        calls += result.calls
        kills += result.kills
        if not (result.breaches or result.error):
            continue
        failures += 1
        click.echo(f"seed {result.seed}: {result.error or 'rule violated'}")
        for violation in result.breaches[:REPORTED_VIOLATIONS_PER_SEED]:
            click.echo(f"  {violation.at:.3f} s, {violation.rule}: {violation.text}")
        if folder and result.breaches:
            with exit_on_error():
                click.echo(f"  written to {fuzzing.keep(folder, result, level)}")
    click.echo(f"scenarios {count}, failed {failures}, calls {calls}, kills {kills}")
    ctx.exit(1 if failures else 0)


@emulate.command()
@click.option("--seed", type=click.IntRange(0), required=True, help="Seed of a run that violates a rule.")
@click.argument("case", type=FILE_PATH)
@click.pass_context
def shrink(ctx: click.Context, seed: int, case: Path) -> None:
    """Minimize a run that violates a rule, and write the result to the file CASE."""
    from message_sender.emulator.search import cut_down

    with exit_on_error():
        ctx.exit(cut_down(seed, case))


@emulate.command()
@click.option("--seed", type=click.IntRange(0), help="Seed of the run; or use --case.")
@click.option("--case", "case_file", type=FILE_PATH, help="A case file written by `shrink`; or use --seed.")
@click.argument("trace", type=FILE_PATH)
@click.pass_context
def replay(ctx: click.Context, seed: int | None, case_file: Path | None, trace: Path) -> None:
    """Write the events of a run to the file TRACE; equal runs give equal bytes."""
    from message_sender.emulator.search import show
    from message_sender.emulator.shrink import Case

    if (seed is None) == (case_file is None):
        raise click.UsageError("exactly one of --seed and --case is needed")
    with exit_on_error():
        case = Case.read(case_file) if case_file else Case(seed or 0)
        ctx.exit(show(case, trace))
