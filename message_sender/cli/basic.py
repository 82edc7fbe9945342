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

STATES_HELP = "Show only destinations in this state: open, half-open, waits, warming, closed, asleep, listed."
INVENTORY_COLUMNS = ("number", "state", "endpoints", "held", "out", "silent s", "gap ms", "bytes")


@click.command()
@click.argument("file", type=FILE_PATH)
@click.pass_context
def check(ctx: click.Context, file: Path) -> None:
    """Check a configuration file and report every fault."""
    try:
        config = load(file)
    except ConfigError as error:
        for fault in error.faults:
            click.echo(fault)
        ctx.exit(1)
    except OSError as error:
        raise click.ClickException(str(error)) from None
    classes = ", ".join(message_class.name for message_class in config.settings.classes)
    click.echo(f"{file}: valid; classes {classes}; {len(config.endpoints)} endpoints")


@click.command(
    help="""Run a sender without the platform.

    \b
    message-sender serve --config deploy/serve.toml --state /var/lib/message-sender --log json
    """
)
@click.option("--config", "file", type=FILE_PATH, required=True, help="The TOML configuration file.")
@click.option(
    "--state", type=FOLDER_PATH, help="The state folder; default: the folder that the configuration names."
)
@click.option("--answers", type=FILE_PATH, help="Append completions to this file; default: standard output.")
@LOG_FORMAT_OPTION
@click.pass_context
def serve(ctx: click.Context, file: Path, state: Path | None, answers: Path | None, log_format: str) -> None:
    """Runs a standalone sender until it is stopped, and exits with the exit code of the sender."""
    from message_sender.cli.log_format import configure_logging
    from message_sender.service.standalone import serve as run_sender

    configure_logging("json" if log_format == "json" else "people")
    with exit_on_error("configuration: "):
        config = load(file)
        folder = state or config.state
        if folder is None:
            raise click.ClickException("no state folder: set `state` in the configuration or use --state")
        folder.mkdir(parents=True, exist_ok=True)
        with contextlib.ExitStack() as stack:
            output: TextIO = sys.stdout
            if answers:
                output = stack.enter_context(answers.open("a"))
            tap = stack.enter_context(open_traffic_tap(config)) if config.capture else None
            ctx.exit(asyncio.run(run_sender(file, config, folder, output, tap)))


@contextlib.contextmanager
def open_traffic_tap(config: SenderConfig) -> Iterator["TrafficTap"]:
    """Opens the traffic capture that the configuration sets up, and closes the capture at the end."""
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
    help="""Show the state that a sender holds for each destination.

    PATH is the state folder of the sender, or the inventory file that the sender writes there on SIGUSR1.
    """
)
@click.argument("path", type=ANY_PATH)
@click.option("--state", help=STATES_HELP)
@click.option(
    "--most",
    type=click.IntRange(0),
    default=50,
    help="Maximum number of rows; destinations in the worst state come first.",
)
@click.option("--json", "as_json", is_flag=True, help="Print all records as JSON lines.")
def destinations(path: Path, state: str | None, most: int, as_json: bool) -> None:
    """Prints the records of the inventory file that a running sender has written."""
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
    """Prints one line: the time, the destinations by state, and the memory of the selected destinations.

    Args:
        written_at_s: The time of the inventory, in seconds since the epoch.
        states: The number of destinations in each state, selected or not.
        records: The selected destinations.
    """
    when = datetime.fromtimestamp(written_at_s, UTC).isoformat(timespec="seconds")
    by_state = ", ".join(f"{count} {name}" for name, count in sorted(states.items()))
    size_bytes = sum(record.bytes for record in records)
    click.echo(
        f"{when}: {sum(states.values())} destinations ({by_state or 'none'}); "
        f"{size_bytes:,} bytes in the selected destinations"
    )


def print_inventory_table(records: Sequence["DestinationRecord"], row_limit: int) -> None:
    """Prints a table of up to `row_limit` destinations, with the worst state first."""
    from message_sender.core.inventory import SEVERITY_ORDER

    rank = {name: index for index, name in enumerate(SEVERITY_ORDER)}
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
        click.echo(f"and {remaining} more rows; use --most to show them")


@click.command()
@click.option(
    "--pace",
    type=click.FloatRange(0.1, 1.2),
    default=1.0,
    help="Factor for the duration, which is about 30 s at 1.",
)
@click.option("--rate", type=click.FloatRange(1, 200), default=40.0, help="Commands per second.")
@click.option("--seed", type=int, default=1, help="Seed of the random choices.")
@click.option("--pcap", "capture", type=FILE_PATH, help="Submit the commands of this packet capture.")
@click.option("--plain", is_flag=True, help="Print plain lines even on a terminal.")
@click.pass_context
def demo(ctx: click.Context, pace: float, rate: float, seed: int, capture: Path | None, plain: bool) -> None:
    """Run a sender with stand-in clients and endpoints through an outage of a destination."""
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
        raise click.ClickException(f"{capture}: no complete command with a class and a destination found")
    ctx.exit(run_demo(pace, rate, seed, plain=plain, commands=commands))
