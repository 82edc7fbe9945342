"""`message-sender emulate`: the sender in simulated time, and experiments on it."""

import json
import sys
from pathlib import Path
from typing import Any

import click

from message_sender.cli.basic import FOLDER, complaints
from message_sender.configuration.tables import ConfigError
from message_sender.emulator import experiment
from message_sender.emulator.experiment import Job, RunResult
from message_sender.emulator.fleet import Outcomes
from message_sender.emulator.loop import EmulationError
from message_sender.emulator.play import play
from message_sender.emulator.policies import OWN_POLICY, POLICIES
from message_sender.emulator.scenario import Scenario, changed, load

OUT = click.Path(path_type=Path, dir_okay=False)
FILE = click.argument("file", type=click.Path(path_type=Path, dir_okay=False, exists=True))
FILES = click.argument(
    "files", type=click.Path(path_type=Path, dir_okay=False, exists=True), nargs=-1, required=True
)
SEED = click.option("--seed", type=click.IntRange(0), help="In place of the scenario's.")
SEEDS = click.option("--seeds", type=click.IntRange(1), default=5, show_default=True, help="From 1 on.")
POLICY = click.option("--policy", type=click.Choice(list(POLICIES)), default=OWN_POLICY, show_default=True)
LEVEL = click.option(
    "--level", type=click.Choice(["ports", "bytes"]), default="ports", show_default=True,
    help="bytes: the real doors and transports too, over sockets in memory.",
)  # fmt: skip
PROCESSES = click.option("--processes", type=click.IntRange(1), default=1, show_default=True)
SET = click.option("--set", "changes", multiple=True, metavar="PATH=VALUE", help="Another value of a field.")
MEASURES = ("goodput", "worst_10_s", "attempts", "refused_calls", "falls")


@click.group()
def emulate() -> None:
    """The sender in simulated time. Exit 0: no rule broke; 1: one did; 2: misused."""


def scenario_of(file: Path, changes: tuple[str, ...] = ()) -> Scenario:
    with complaints(f"{file}: "):
        scenario = load(file)
        told = dict(pair(each) for each in changes)
        return changed(scenario, told) if told else scenario


def pair(text: str) -> tuple[str, Any]:
    path, values = field_of(text)
    return path, values[0] if len(values) == 1 else values


def field_of(text: str) -> tuple[str, list[Any]]:
    try:
        return experiment.field_of(text)
    except ConfigError:
        raise click.BadParameter(f"{text!r} is not PATH=VALUE[,VALUE...]") from None


def played(
    scenario: Scenario, seed: int, policy: str, traced: bool = False, level: str = "ports"
) -> Outcomes:
    try:
        return play(scenario, seed, POLICIES[policy], traced, level)
    except (EmulationError, RuntimeError, OSError) as error:
        raise click.ClickException(f"seed {seed}: {type(error).__name__}: {error}") from None


@emulate.command()
@FILE
@SEED
@POLICY
@SET
@LEVEL
@click.option("--json", "out", type=OUT, help="All figures go there.")
@click.option("--trace", type=OUT, help="Every event as a JSON line, the same bytes for the same seed.")
@click.pass_context
def run(
    ctx: click.Context, file: Path, seed: int | None, policy: str, changes: tuple[str, ...], level: str,
    out: Path | None, trace: Path | None,
) -> None:  # fmt: skip
    """Play one scenario.

    \b
    message-sender emulate run scenarios/herd-on-return.toml --set fleet.senders=5
    """
    scenario = scenario_of(file, changes)
    outcomes = played(scenario, scenario.seed if seed is None else seed, policy, bool(trace), level)
    with complaints():
        if out:
            out.write_text(json.dumps(outcomes.as_json(), indent=1) + "\n")
        if trace:
            trace.write_text("".join(line + "\n" for line in outcomes.trace))
    tell(scenario, outcomes)
    ctx.exit(1 if outcomes.breaches or outcomes.owed else 0)


def tell(scenario: Scenario, outcomes: Outcomes) -> None:
    click.echo(scenario.title)
    for name, value in outcomes.figures.measures().items():
        click.echo(f"  {name:<14} {value:10.4g}")
    for each in outcomes.breaches[:20]:
        click.echo(f"  broken: {each.at:.3f} s, {each.rule}: {each.text}")
    if more := len(outcomes.breaches) - 20:
        click.echo(f"  and {more} more" if more > 0 else "", nl=more > 0)
    for text in outcomes.owed[:20]:
        click.echo(f"  still owed: {text}")


@emulate.command()
@FILE
@SEED
@POLICY
@SET
@click.option("--out", type=OUT, required=True, help="The page, one file that opens without a network.")
@click.pass_context
def report(
    ctx: click.Context, file: Path, seed: int | None, policy: str, changes: tuple[str, ...], out: Path
) -> None:
    """Play one scenario and show it as a page of figures and plots."""
    try:
        from message_sender.emulator.report import write
    except ImportError as error:
        raise click.ClickException(f"{error}; pip install 'message-sender[report]'") from None
    scenario = scenario_of(file, changes)
    chosen = scenario.seed if seed is None else seed
    outcomes = played(scenario, chosen, policy)
    with complaints():
        write(out, scenario, chosen, policy, outcomes)
    click.echo(f"{out}: {out.stat().st_size:,} bytes")
    ctx.exit(1 if outcomes.breaches or outcomes.owed else 0)


@emulate.command()
@FILE
@SEEDS
@PROCESSES
@POLICY
@click.option("--grid", "fields", multiple=True, metavar="PATH=V,V,...", help="Every combination of them.")
@click.option("--latin", multiple=True, metavar="PATH=LOW,HIGH", help="A Latin hypercube over ranges.")
@click.option("--points", type=click.IntRange(2), default=16, show_default=True, help="Of the hypercube.")
@click.option("--out", type=OUT, help="A line of JSON for each run; what it holds already is not run again.")
@click.pass_context
def sweep(
    ctx: click.Context, file: Path, seeds: int, processes: int, policy: str, fields: tuple[str, ...],
    latin: tuple[str, ...], points: int, out: Path | None,
) -> None:  # fmt: skip
    """Many values of a scenario's fields.

    \b
    message-sender emulate sweep scenarios/overload.toml --grid clients.rate=60,90,120 --out runs.jsonl
    message-sender emulate sweep scenarios/overload.toml --latin clients.rate=40,200 --processes 8
    """
    scenario = scenario_of(file)
    values = dict(field_of(each) for each in fields)
    ranges = {path: ends_of(path, ends) for path, ends in (field_of(each) for each in latin)}
    sets = [
        tuple({**dict(one), **dict(other)}.items())
        for one in experiment.grid(values)
        for other in (experiment.hypercube(ranges, points, 1) if ranges else [()])
    ]
    with complaints(f"{file}: "):
        for each in sets:
            if each:
                changed(scenario, dict(each))
    jobs = [Job(scenario, seed, policy, each, file.stem) for each in sets for seed in range(1, seeds + 1)]
    bad = 0
    with complaints(), click.progressbar(
        length=len(jobs), label="runs", file=sys.stderr, hidden=not sys.stderr.isatty()
    ) as bar:  # fmt: skip
        found: dict[str, list[RunResult]] = {}
        for ran in experiment.sweep(jobs, processes, out):
            told = json.loads(ran.key)
            found.setdefault(json.dumps(told["changes"], sort_keys=True), []).append(ran)
            bad += bool(ran.breaches or ran.error)
            bar.update(1)
    for key, runs in found.items():
        good = [each for each in runs if not each.error]
        told = {
            name: str(experiment.interval([each.measures[name] for each in good]))
            for name in MEASURES
            if good
        }
        click.echo(f"{key}: {told}, broken or failed {sum(bool(x.breaches or x.error) for x in runs)}")
    ctx.exit(1 if bad else 0)


def ends_of(path: str, told: list[Any]) -> tuple[float, float]:
    if len(told) != 2 or not all(isinstance(each, int | float) for each in told) or told[0] >= told[1]:
        raise click.BadParameter(f"{path} takes LOW,HIGH")
    return told[0], told[1]


@emulate.command()
@FILES
@SEEDS
@PROCESSES
@click.option(
    "--policy", "policies", multiple=True, type=click.Choice(list(POLICIES)),
    help="Several; the first is what the others are held against. All, if none is given.",
)  # fmt: skip
@click.option(
    "--vary", multiple=True, metavar="PATH=V,V,...", help="Values of one field, in place of policies."
)
@click.option("--json", "out", type=OUT)
@click.pass_context
def compare(
    ctx: click.Context, files: tuple[Path, ...], seeds: int, processes: int, policies: tuple[str, ...],
    vary: tuple[str, ...], out: Path | None,
) -> None:  # fmt: skip
    """Policies or settings on the same draws, with 95% intervals; bold is what differs from the first.

    \b
    message-sender emulate compare scenarios/*.toml --processes 8
    message-sender emulate compare scenarios/overload.toml --vary fleet.max_open=100,400
    """
    scenarios = {file.stem: scenario_of(file) for file in files}
    some = next(iter(scenarios.values()))
    variants = {each: Job(some, 0, each) for each in policies or (() if vary else POLICIES)}
    for path, values in (field_of(each) for each in vary):
        for value in values:
            variants[f"{path}={value}"] = Job(some, 0, changes=((path, value),))
    rows = experiment.compare(scenarios, variants, range(1, seeds + 1), processes)
    click.echo(experiment.table(rows, MEASURES))
    errors = [f"{each.name}, {each.variant}: {text}" for each in rows for text in each.errors]
    for text in errors:
        click.echo(text, err=True)
    if out:
        with complaints():
            out.write_text(json.dumps([plain(each) for each in rows], indent=1) + "\n")
    ctx.exit(1 if errors else 0)


def plain(row: experiment.Compared) -> dict[str, Any]:
    told = vars(row).copy()
    for name in ("measures", "against"):
        told[name] = {key: vars(value) for key, value in told[name].items()}
    return told


@emulate.command()
@click.option("--lives", type=click.IntRange(1), default=100, show_default=True, help="How many, one a seed.")
@click.option("--seed", type=click.IntRange(0), default=0, help="Of the first one.")
@PROCESSES
@click.option("--json", "as_json", is_flag=True, help="A JSON object for each broken life and the sums.")
@click.pass_context
def search(ctx: click.Context, lives: int, seed: int, processes: int, as_json: bool) -> None:
    """Random lives with troubles and kills, the referee after each."""
    from message_sender.emulator.search import search as run

    ctx.exit(run(seed, lives, processes, json_lines=as_json))


@emulate.command()
@click.option("--count", type=click.IntRange(1), default=100, show_default=True, help="One a seed.")
@click.option("--seed", type=click.IntRange(0), default=0, help="Of the first one.")
@PROCESSES
@LEVEL
@click.option("--keep", "folder", type=FOLDER, help="What breaks is cut down to a scenario file there.")
@click.pass_context
def hunt(ctx: click.Context, count: int, seed: int, processes: int, level: str, folder: Path | None) -> None:
    """Scenarios drawn at random: fleets, troubles, kills, pauses; the referee after each.

    \b
    message-sender emulate hunt --count 1000 --processes 8 --level bytes --keep found
    """
    from message_sender.emulator import fuzzing as hunting

    broken = calls = kills = 0
    for prey in hunting.hunt(seed, count, processes, level):
        calls, kills = calls + prey.calls, kills + prey.kills
        if not (prey.breaches or prey.error):
            continue
        broken += 1
        click.echo(f"seed {prey.seed}: {prey.error or 'a rule broke'}")
        for each in prey.breaches[:5]:
            click.echo(f"  {each.at:.3f} s, {each.rule}: {each.text}")
        if folder and prey.breaches:
            with complaints():
                click.echo(f"  kept as {hunting.keep(folder, prey, level)}")
    click.echo(f"scenarios {count}, broken {broken}, calls {calls}, kills {kills}")
    ctx.exit(1 if broken else 0)


@emulate.command()
@click.option("--seed", type=click.IntRange(0), required=True, help="Of a life that breaks a rule.")
@click.argument("case", type=OUT)
@click.pass_context
def shrink(ctx: click.Context, seed: int, case: Path) -> None:
    """Cut a broken life down to what it takes, and write it as a case."""
    from message_sender.emulator.search import cut_down

    with complaints():
        ctx.exit(cut_down(seed, case))


@emulate.command()
@click.option("--seed", type=click.IntRange(0), help="Of a life ...")
@click.option("--case", type=OUT, help="... or a case that `shrink` wrote.")
@click.argument("trace", type=OUT)
@click.pass_context
def replay(ctx: click.Context, seed: int | None, case: Path | None, trace: Path) -> None:
    """Write a life event by event, the same bytes each time."""
    from message_sender.emulator.search import show
    from message_sender.emulator.shrink import Case

    if (seed is None) == (case is None):
        raise click.UsageError("either --seed or --case")
    with complaints():
        ctx.exit(show(Case.read(case) if case else Case(seed or 0), trace))
