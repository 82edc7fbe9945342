"""`message-sender journal show|verify|repair`.

Shows the messages in a state folder that are not completed, verifies the journal's checksums, and writes a
repaired journal into a new folder.
"""

import itertools
import json
import logging
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import click

from message_sender.cli.errors import exit_on_error
from message_sender.cli.parameters import ANY_PATH, FOLDER_PATH
from message_sender.journal.entries import JournalEntry
from message_sender.journal.inspection import InspectedJournal
from message_sender.journal.process_journal import JOURNAL_FILE

US_PER_SECOND = 1e6
FOLDER_ARGUMENT = click.argument("folder", type=FOLDER_PATH, metavar="DIR")


@click.group()
def journal() -> None:
    """Inspect, verify and repair the journal of a sender, which may be running."""
    logging.basicConfig(format="%(message)s", level=logging.WARNING)


def inspect_journal(folder: Path) -> InspectedJournal:
    """Reads the journal of a state folder; a failure is reported with exit code 1."""
    with exit_on_error():
        return InspectedJournal(folder)


def format_time(time_us: int) -> str:
    """Returns a time in microseconds since the epoch as ISO 8601; `unknown` for 0."""
    if not time_us:
        return "unknown"
    return datetime.fromtimestamp(time_us / US_PER_SECOND, UTC).isoformat(timespec="milliseconds")


def print_damage(inspected: InspectedJournal, label: str) -> None:
    """Prints a line for each damaged part of the journal, after `label`."""
    scan_result = inspected.scan_result
    for gap in (*scan_result.gaps, *scan_result.unwritten_gaps):
        click.echo(f"{label}: {gap.size_bytes} bytes at byte {gap.offset}, which {gap.kind.value}")
    if scan_result.tail_bytes:
        click.echo(f"{label}: {scan_result.tail_bytes} bytes at the end, which were never durable")


@journal.command()
@FOLDER_ARGUMENT
@click.pass_context
def verify(ctx: click.Context, folder: Path) -> None:
    """Verify the checksums in the state folder DIR. Exit 0 if every record is intact, 1 if not."""
    inspected = inspect_journal(folder)
    if not inspected.has_checksums:
        click.echo("old journal format without checksums: the records cannot be verified")
    print_damage(inspected, "damaged")
    scan_result = inspected.scan_result
    doubtful = sum(entry.is_doubtful for entry in inspected.entries.values())
    click.echo(
        f"{len(scan_result.records)} records intact; "
        f"{len(inspected.entries)} messages not completed, {doubtful} doubtful"
    )
    is_damaged = bool(scan_result.gaps or scan_result.unwritten_gaps or scan_result.tail_bytes)
    ctx.exit(0 if inspected.has_checksums and not is_damaged else 1)


@journal.command()
@FOLDER_ARGUMENT
@click.option("--json", "as_json", is_flag=True, help="Print all messages as JSON lines.")
@click.option(
    "--most", type=click.IntRange(0), default=50, help="Maximum number of rows, in the order of acceptance."
)
def show(folder: Path, as_json: bool, most: int) -> None:
    """Show the messages in the state folder DIR that are not completed."""
    inspected = inspect_journal(folder)
    entries = inspected.entries
    if as_json:
        for message_id, entry in entries.items():
            click.echo(json.dumps(describe_entry(message_id, entry)))
        return
    previous = inspected.previous_run
    ending = "closed cleanly" if previous.was_closed else "not closed: the sender is running or was killed"
    latest = format_time(previous.latest_us)
    click.echo(f"{len(entries)} messages not completed; {ending}; latest recorded time {latest}")
    for message_id, entry in itertools.islice(entries.items(), most):
        click.echo(format_row(describe_entry(message_id, entry)))
    if len(entries) > most:
        click.echo(f"and {len(entries) - most} more rows; use --most to show them")


def describe_entry(message_id: str, entry: JournalEntry) -> dict[str, Any]:
    """Returns the JSON object of `show --json` for one message that is not completed."""
    completion = ""
    if entry.completion:
        completion = entry.completion[0]
    elif entry.is_delivered():
        completion = "delivered"
    return {
        "id": message_id,
        "class": entry.message.message_class,
        "destination": entry.message.destination,
        "key": entry.message.key,
        "until": format_time(entry.message.deadline_us),
        "attempts": len(entry.attempts),
        "may_have_run": entry.first_uncertain_attempt() is not None,
        "doubtful": entry.is_doubtful,
        "end": completion,
    }


def format_row(row: dict[str, Any]) -> str:
    """Returns the line of `show` for the JSON object of one message."""
    state = "may have run" if row["may_have_run"] else "has not run"
    if row["end"]:
        state = row["end"]
    if row["doubtful"]:
        state = "doubtful"
    return f"{row['id']}  {row['class']}  to {row['destination']}  until {row['until']}  {state}"


@journal.command(
    help="""Write the readable records of the journal in DIR as a valid journal into a new folder.

    DIR is not changed. A message whose records may be among the damaged ones is treated as one that may have
    run. Exit 1 if anything could not be saved."""
)
@FOLDER_ARGUMENT
@click.option("--to", type=ANY_PATH, required=True, help="The state folder to create.")
@click.pass_context
def repair(ctx: click.Context, folder: Path, to: Path) -> None:
    """Writes the readable records into a new state folder and prints what is lost or doubtful."""
    inspected = inspect_journal(folder)
    if not inspected.has_checksums:
        raise click.ClickException(
            "cannot repair the old journal format without checksums; a start of the sender converts it"
        )
    with exit_on_error():
        to.mkdir(parents=True)
        inspected.save(to)
    print_damage(inspected, "not saved")
    for message_id in inspected.lost_ids:
        click.echo(f"lost: {message_id}, whose own record cannot be read")
    for message_id, entry in inspected.entries.items():
        if entry.is_doubtful:
            click.echo(f"doubtful: {message_id}, which may have run")
    click.echo(
        f"{to / JOURNAL_FILE}: {len(inspected.entries)} messages not completed, "
        f"{len(inspected.finished)} known to be completed"
    )
    ctx.exit(1 if inspected.scan_result.gaps else 0)
