"""`message-sender serve|check|destinations|demo`."""

import asyncio
import contextlib
import json
import sys
from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import asdict
from datetime import UTC, datetime
from pathlib import Path
from typing import TYPE_CHECKING, TextIO

import click

from message_sender.cli.errors import exit_on_error
from message_sender.cli.parameters import ANY_PATH, FILE_PATH, FOLDER_PATH, LOG_FORMAT_OPTION
from message_sender.configuration.general import ConfigError, SenderConfig, load

if TYPE_CHECKING:
    from message_sender.core.inventory import DestinationRecord
    from message_sender.pcap.traffic_tap import TrafficTap

STATES_HELP = "Only those: open, half-open, waits, warming, closed, asleep, listed."
INVENTORY_COLUMNS = ("number", "state", "endpoints", "held", "out", "silent s", "gap ms", "bytes")


@click.command()
@click.argument("file", type=FILE_PATH)
@click.pass_context
def check(ctx: click.Context, file: Path) -> None:
    """Name every fault of a configuration."""
    try:
        config = load(file)
    except ConfigError as error:
        for fault in error.faults:
            click.echo(fault)
        ctx.exit(1)
    except OSError as error:
        raise click.ClickException(str(error)) from None
    classes = ", ".join(message_class.name for message_class in config.settings.classes)
    click.echo(f"{file}: good; classes {classes}; {len(config.endpoints)} endpoints")


@click.command(
    help="""Run a sender without the platform.

    \b
    message-sender serve --config deploy/serve.toml --state /var/lib/message-sender --log json
    """
)
@click.option("--config", "file", type=FILE_PATH, required=True, help="A TOML file.")
@click.option("--state", type=FOLDER_PATH, help="The lasting folder; else the file's.")
@click.option("--answers", type=FILE_PATH, help="Final answers go there; else to standard output.")
@LOG_FORMAT_OPTION
@click.pass_context
def serve(ctx: click.Context, file: Path, state: Path | None, answers: Path | None, form: str) -> None:
    """Runs a standalone sender until it is stopped; its exit code is the command's."""
    from message_sender.cli.log_format import configure_logging
    from message_sender.service.standalone import serve as run_sender

    configure_logging("json" if form == "json" else "people")
    with exit_on_error("configuration: "):
        config = load(file)
        folder = state or config.state
        if folder is None:
            raise click.ClickException("neither the configuration nor --state names a state folder")
        folder.mkdir(parents=True, exist_ok=True)
        with contextlib.ExitStack() as stack:
            output: TextIO = sys.stdout
            if answers:
                output = stack.enter_context(answers.open("a"))
            tap = stack.enter_context(open_traffic_tap(config)) if config.capture else None
            ctx.exit(asyncio.run(run_sender(file, config, folder, output, tap)))


@contextlib.contextmanager
def open_traffic_tap(config: SenderConfig) -> Iterator["TrafficTap"]:
    """Opens the writer of capture files that the configuration names, and closes it at the end."""
    from message_sender.pcap.traffic_tap import TrafficTap

    assert config.capture
    settings = config.capture
    tap = TrafficTap(
        settings.folder, settings.file_bytes_limit, settings.files_limit, settings.blanked_headers
    )
    try:
        yield tap
    finally:
        tap.close()


@click.command(
    help="""What a sender keeps for each destination.

    PATH is its state folder, or the file there that it writes on SIGUSR1.
    """
)
@click.argument("path", type=ANY_PATH)
@click.option("--state", help=STATES_HELP)
@click.option("--most", type=click.IntRange(0), default=50, help="Rows at the most, the most troubled first.")
@click.option("--json", "as_json", is_flag=True, help="All of it as JSON lines.")
def destinations(path: Path, state: str | None, most: int, as_json: bool) -> None:
    """Prints the records of the inventory file that a running sender wrote."""
    from message_sender.core.inventory import read

    with exit_on_error():
        written_at_s, all_records = read(path)
    records = [record for record in all_records if state in (None, record.state)]
    if as_json:
        for record in records:
            click.echo(json.dumps(asdict(record)))
        return
    states = Counter(record.state for record in all_records)
    print_inventory_summary(written_at_s, states, records)
    print_inventory_table(records, most)


def print_inventory_summary(
    written_at_s: float, states: Counter[str], records: Sequence["DestinationRecord"]
) -> None:
    """Prints one line: the time, destinations by state, and bytes of the selected ones.

    Args:
        written_at_s: Seconds since the epoch.
        states: Number of destinations in each state, also of those that are not selected.
        records: The selected destinations.
    """
    when = datetime.fromtimestamp(written_at_s, UTC).isoformat(timespec="seconds")
    by_state = ", ".join(f"{count} {name}" for name, count in sorted(states.items()))
    size_bytes = sum(record.bytes for record in records)
    click.echo(
        f"{when}: {sum(states.values())} destinations ({by_state or 'none'}); "
        f"{size_bytes:,} bytes of those asked for"
    )


def print_inventory_table(records: Sequence["DestinationRecord"], row_limit: int) -> None:
    """Prints a row for each destination, up to `row_limit` of them, those in the worst state first."""
    from message_sender.core.inventory import ORDER

    rank = {name: index for index, name in enumerate(ORDER)}
    ordered = sorted(
        records, key=lambda record: (rank.get(record.state, len(rank)), -record.held, record.number)
    )
    click.echo("{:>9} {:<10} {:>9} {:>6} {:>4} {:>10} {:>8} {:>7}".format(*INVENTORY_COLUMNS))
    for record in ordered[:row_limit]:
        silent = "never" if record.silent_s is None else f"{record.silent_s:,.1f}"
        row = f"{record.number:>9} {record.state:<10} {record.endpoints:>9} {record.held:>6} {record.out:>4}"
        click.echo(f"{row} {silent:>10} {record.gap_ms:>8.1f} {record.bytes:>7}")
    remaining = len(ordered) - row_limit
    if remaining > 0:
        click.echo(f"and {remaining} more; --most shows them")


@click.command()
@click.option("--pace", type=click.FloatRange(0.1, 1.2), default=1.0, help="Of its usual length of 30 s.")
@click.option("--rate", type=click.FloatRange(1, 200), default=40.0, help="Commands a second.")
@click.option("--seed", type=int, default=1)
@click.option("--pcap", "capture", type=FILE_PATH, help="Hand in the commands of a capture.")
@click.option("--plain", is_flag=True, help="Plain lines also on a terminal.")
@click.pass_context
def demo(ctx: click.Context, pace: float, rate: float, seed: int, capture: Path | None, plain: bool) -> None:
    """Stand-ins and one sender, through an outage and back."""
    from message_sender.testbed.demo import demo as run_demo

    if capture is None:
        ctx.exit(run_demo(pace, rate, seed, plain=plain))
    from message_sender.cli.recorded_commands import read_recorded_commands
    from message_sender.pcap.files import MalformedCaptureError

    try:
        commands = read_recorded_commands(capture)
    except (OSError, MalformedCaptureError) as error:
        raise click.ClickException(f"{capture}: {error}") from None
    if not commands:
        raise click.ClickException(f"{capture} holds no command that is whole")
    ctx.exit(run_demo(pace, rate, seed, plain=plain, commands=commands))
