"""`message-sender fleet status|watch|budgets|explain|chart`: how service returns and who may spend what, as
running senders of this machine tell it."""

import json
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from message_sender.cli import chart as charts
from message_sender.cli.override import JSON, tell

FOLDERS = click.argument(
    "folders", type=click.Path(path_type=Path), metavar="STATE...", nargs=-1, required=True
)


@click.group()
def fleet() -> None:
    """The members that a sender knows, the stage of each, and who tries which destination.

    STATE is a sender's state folder; one tells of all members, as far as it has heard."""


def seconds(value: float | None) -> str:
    return "never" if value is None else f"{value:.1f} s"


def lines(told: dict[str, Any]) -> list[str]:
    """What a person reads of one sender's word."""
    if not told:
        return ["it has no [fleet]: it serves alone"]
    found = [f"as {told['name']} sees it"]
    for name, each in told["members"].items():
        owed = "?" if each["owed"] is None else each["owed"]
        why = f": {each['why']}, {seconds(each['since_s'])} ago" if "why" in each else ""
        heard = f", heard {seconds(each['said_s'])} ago" if "why" not in each else ""
        found.append(f"  {name:<12} {each['state']:<8} {each['stage']:<8} owes {owed}{heard}{why}")
    for number, each in told["destinations"].items():
        state = {True: "up", False: "down", None: "unknown"}[each["up"]]
        by = ", ".join(each["tried_by"]) or "nobody"
        wait = f", to be left alone for {each['wait_s']:.1f} s" if each["wait_s"] else ""
        found.append(
            f"  destination {number}: {state}, seen {seconds(each['age_s'])} ago{wait}; tried by {by}"
        )
    if told["behind"]:
        found.append("  its disk was old or empty: others know a later start of its name")
    if told["namesake"]:
        found.append(f"  another member at {told['namesake']} uses its name")
    found += [
        f"  {name} is known to {by} ({how}): it may have run" for name, (by, how) in told["doubtful"].items()
    ]
    found += [f"  refused: {count} datagrams, {why}" for why, count in told["refused"].items()]
    found += [f"  {at:8.2f} s {stage}: {why}" for at, stage, why in told["history"]]
    return found


def show(folders: tuple[Path, ...], as_json: bool) -> None:
    told = {str(folder): tell(folder, {"do": "fleet"}) for folder in folders}
    if as_json:
        click.echo(json.dumps(told))
        return
    for each in told.values():
        click.echo("\n".join(lines(each)))


def again(act: Callable[[], None], every: float, times: int | None, as_json: bool) -> None:
    """So many times; for ever with none."""
    count = 0
    while times is None or count < times:
        if count:
            time.sleep(every)
        elif not as_json:
            click.echo(time.strftime("%H:%M:%S"))
        act()
        count += 1


EVERY = click.option(
    "--every", type=click.FloatRange(0.1, 60), default=1.0, show_default=True, help="Seconds."
)
TIMES = click.option("--times", type=click.IntRange(1), help="So many times; for ever, if not given.")


@fleet.command()
@FOLDERS
@JSON
def status(folders: tuple[Path, ...], as_json: bool) -> None:
    """Members, stages since when and why, what is owed, what was asked and answered, destinations."""
    show(folders, as_json)


@fleet.command()
@FOLDERS
@JSON
@EVERY
@TIMES
def watch(folders: tuple[Path, ...], as_json: bool, every: float, times: int | None) -> None:
    """The same, again and again."""
    again(lambda: show(folders, as_json), every, times, as_json)


# Budgets.


def whole_of(told: dict[str, Any]) -> str:
    what = {
        "calls": "calls", "in_flight": "calls out at once", "trials": "trials at once", "repeats": "repeats",
        "connections": "connections", "handshakes": "new connections", "tenant": "messages",
    }[told["of"]]  # fmt: skip
    return f"{told['whole']} {what}" + (f" in {told['per_ms']:g} ms" if told["per_ms"] else "")


def budget_lines(name: str, told: dict[str, Any], why: bool = False) -> list[str]:
    kept = f"kept by {told['keeper']}" if told["keeper"] else "kept by nobody, as far as is known"
    found = [
        f"{name}: {whole_of(told)}, {kept}",
        f"  this one may spend {told['part']}, needs {told['needed']}, has {told['in_use']} in use, "
        f"spent {told['spent']} since its start; its lease is over in {seconds(told['lease_left_s'])}",
    ]
    for member, each in told["by_member"].items():
        needs = "?" if each["needed"] is None else each["needed"]
        found.append(
            f"  {member:<12} {each['granted']:>6} granted, {needs} needed, {seconds(each['left_s'])} left"
        )
    if told["keeps"]:
        granted = sum(each["granted"] for each in told["by_member"].values())
        spare = told["whole"] - told["floor"] * told["size"] - granted
        found.append(f"  {'nobody':<12} {spare:>6} not given out")
    found += [f"  refused: {count} words, {what}" for what, count in told["refused"].items()]
    return found + (reasons(told) if why else [])


def reasons(told: dict[str, Any]) -> list[str]:
    """Why this member has what it has."""
    found = []
    if told["spends_in_s"]:
        found.append(f"  it spends nothing for {seconds(told['spends_in_s'])}: its life before may have")
    if told["silent_s"]:
        found.append(f"  it promises nobody for {seconds(told['silent_s'])}: its life before may have")
    if not told["keeper"]:
        found.append(f"  nobody is known to have more than half of {told['size']} members: floors alone")
    if told["gives_in_s"]:
        found.append(f"  it keeps it, and gives nothing for {seconds(told['gives_in_s'])}: others may have")
    return found + [f"  {at:8.2f} s {text}" for at, text in told["changes"]]


def show_budgets(folders: tuple[Path, ...], names: tuple[str, ...], as_json: bool) -> None:
    told = {str(folder): tell(folder, {"do": "budgets"}) for folder in folders}
    if names:
        told = {at: {x: y for x, y in each.items() if x in names} for at, each in told.items()}
    if as_json:
        click.echo(json.dumps(told))
        return
    for folder, each in told.items():
        click.echo("\n".join([folder, *(x for name, y in each.items() for x in budget_lines(name, y))]))


@fleet.command()
@FOLDERS
@JSON
@click.option("--name", "names", multiple=True, help="Of these alone.")
@click.option("--watch", "on", is_flag=True, help="Again and again.")
@EVERY
@TIMES
def budgets(
    folders: tuple[Path, ...],
    as_json: bool,
    names: tuple[str, ...],
    on: bool,
    every: float,
    times: int | None,
) -> None:
    """What is whole, granted, spent and left of each budget, by member where this one keeps it."""
    again(lambda: show_budgets(folders, names, as_json), every, times if on else 1, as_json or not on)


@fleet.command()
@click.argument("name")
@FOLDERS
def explain(name: str, folders: tuple[Path, ...]) -> None:
    """Why a member has what it has of the budget NAME."""
    for folder in folders:
        told = tell(folder, {"do": "budgets"})
        found = budget_lines(name, told[name], why=True) if name in told else [f"no budget named {name}"]
        click.echo("\n".join([str(folder), *found]))


@fleet.command()
@click.argument("name")
@FOLDERS
@click.option(
    "--to", type=click.Path(path_type=Path, dir_okay=False), required=True, help="The SVG that is written."
)
@click.option("--seconds", type=click.FloatRange(1, 3600), default=30.0, show_default=True)
@click.option("--every", type=click.FloatRange(0.05, 60), default=0.2, show_default=True, help="Seconds.")
def chart(name: str, folders: tuple[Path, ...], to: Path, seconds: float, every: float) -> None:
    """Watches the budget NAME for a while, and draws who might spend and who spent how much of the whole."""
    run = charts.sampled(name, folders, seconds, every)
    if not run.granted:
        raise click.ClickException(f"no sender told of a budget named {name}")
    try:
        charts.draw(name, run, to)
    except ImportError:
        raise click.ClickException("a chart needs message-sender[report]") from None
    except OSError as error:
        raise click.ClickException(f"{to}: {error.strerror}") from None
    most = max(map(sum, zip(*run.granted.values(), strict=True)))
    click.echo(f"{to}: {len(run.at)} samples of {len(run.granted)} senders, at most {most} granted at once")
