"""`message-sender fleet status|watch|budgets|explain|chart`.

Shows the members of a fleet, their stages and their shares of budgets, as reported by running senders on this
machine.
"""

import json
from pathlib import Path
from typing import Any

import click

from message_sender.cli import budget_chart
from message_sender.cli.budget_status import format_budget
from message_sender.cli.fleet_status import format_fleet
from message_sender.cli.parameters import (
    ANY_PATH,
    FILE_PATH,
    INTERVAL_OPTION,
    JSON_OPTION,
    REPETITIONS_OPTION,
)
from message_sender.cli.repetition import run_repeatedly
from message_sender.cli.sender_client import request_value

FOLDERS_ARGUMENT = click.argument("folders", type=ANY_PATH, metavar="STATE...", nargs=-1, required=True)


@click.group()
def fleet() -> None:
    """Show the members of a fleet, their stages and their budgets, as a sender knows them.

    STATE is the state folder of a sender on this machine.
    """


def print_fleet(folders: tuple[Path, ...], as_json: bool) -> None:
    """Prints the state of the fleet, as reported by the sender in each state folder."""
    status_by_folder = {str(folder): request_value(folder, {"do": "fleet"}) for folder in folders}
    if as_json:
        click.echo(json.dumps(status_by_folder))
        return
    for sender_status in status_by_folder.values():
        click.echo("\n".join(format_fleet(sender_status)))


@fleet.command()
@FOLDERS_ARGUMENT
@JSON_OPTION
def status(folders: tuple[Path, ...], as_json: bool) -> None:
    """Show members with stages and reasons, numbers of messages not completed, and destinations."""
    print_fleet(folders, as_json)


@fleet.command()
@FOLDERS_ARGUMENT
@JSON_OPTION
@INTERVAL_OPTION
@REPETITIONS_OPTION
def watch(folders: tuple[Path, ...], as_json: bool, every: float, times: int | None) -> None:
    """Show the output of `status` repeatedly."""

    def print_once() -> None:
        print_fleet(folders, as_json)

    run_repeatedly(print_once, every, times, has_header=not as_json)


# Budgets.


def read_budgets(folder: Path) -> dict[str, Any]:
    """Returns the budgets that the sender in a state folder reports, by name."""
    budgets_by_name: dict[str, Any] = request_value(folder, {"do": "budgets"})
    return budgets_by_name


def print_budgets(folders: tuple[Path, ...], names: tuple[str, ...], as_json: bool) -> None:
    """Prints the named budgets, or all budgets without names, as each sender reports them."""
    budgets_by_folder = {str(folder): read_budgets(folder) for folder in folders}
    if names:
        budgets_by_folder = {
            folder: {name: budget for name, budget in known.items() if name in names}
            for folder, known in budgets_by_folder.items()
        }
    if as_json:
        click.echo(json.dumps(budgets_by_folder))
        return
    for folder, known in budgets_by_folder.items():
        lines = [folder]
        for name, budget in known.items():
            lines += format_budget(name, budget)
        click.echo("\n".join(lines))


@fleet.command()
@FOLDERS_ARGUMENT
@JSON_OPTION
@click.option("--name", "names", multiple=True, help="Show only this budget; may be repeated.")
@click.option("--watch", "is_watched", is_flag=True, help="Repeat the output.")
@INTERVAL_OPTION
@REPETITIONS_OPTION
def budgets(
    folders: tuple[Path, ...],
    as_json: bool,
    names: tuple[str, ...],
    is_watched: bool,
    every: float,
    times: int | None,
) -> None:
    """Show the limit, grant and usage of each budget, and all grants if the sender is the grantor."""

    def print_once() -> None:
        print_budgets(folders, names, as_json)

    repetitions = times if is_watched else 1
    run_repeatedly(print_once, every, repetitions, has_header=is_watched and not as_json)


@fleet.command()
@click.argument("name")
@FOLDERS_ARGUMENT
def explain(name: str, folders: tuple[Path, ...]) -> None:
    """Show why a member has its share of the budget NAME."""
    for folder in folders:
        known = read_budgets(folder)
        lines = [f"no budget named {name}"]
        if name in known:
            lines = format_budget(name, known[name], with_reasons=True)
        click.echo("\n".join([str(folder), *lines]))


@fleet.command()
@click.argument("name")
@FOLDERS_ARGUMENT
@click.option("--to", type=FILE_PATH, required=True, help="The SVG file to write.")
@click.option(
    "--seconds", type=click.FloatRange(1, 3600), default=30.0, show_default=True, help="Duration in seconds."
)
@click.option(
    "--every", type=click.FloatRange(0.05, 60), default=0.2, show_default=True, help="Interval in seconds."
)
def chart(name: str, folders: tuple[Path, ...], to: Path, seconds: float, every: float) -> None:
    """Sample the budget NAME for some time, and chart grants and usage by member."""
    series = budget_chart.sample_budget(name, folders, duration_s=seconds, interval_s=every)
    if not series.granted:
        raise click.ClickException(f"no sender reported a budget named {name}")
    try:
        budget_chart.draw_chart(name, series, to)
    except ImportError:
        raise click.ClickException(
            "the chart needs matplotlib; pip install 'message-sender[report]'"
        ) from None
    except OSError as error:
        raise click.ClickException(f"{to}: {error.strerror}") from None
    highest = max(map(sum, zip(*series.granted.values(), strict=True)))
    click.echo(
        f"{to}: {len(series.sampled_at_s)} samples of {len(series.granted)} senders, "
        f"at most {highest} granted at once"
    )
