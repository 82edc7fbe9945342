"""`message-sender journal show|verify|repair`: what a state folder owes, whether its records are whole, and a
whole journal beside a damaged one."""

import json
import logging
from datetime import UTC, datetime
from pathlib import Path

import click

from message_sender.cli.basic import FOLDER, complaints
from message_sender.journal.inspection import InspectedJournal
from message_sender.journal.process_journal import JOURNAL_FILE


@click.group()
def journal() -> None:
    """What a sender's journal holds; it may be running."""
    logging.basicConfig(format="%(message)s", level=logging.WARNING)


def inspected(folder: Path) -> InspectedJournal:
    with complaints():
        return InspectedJournal(folder)


def at(us: int) -> str:
    return datetime.fromtimestamp(us / 1e6, UTC).isoformat(timespec="milliseconds") if us else "unknown"


@journal.command()
@click.argument("folder", type=FOLDER, metavar="DIR")
@click.pass_context
def verify(ctx: click.Context, folder: Path) -> None:
    """Exit 0 if every record in the state folder DIR is whole, 1 if any is damaged."""
    found = inspected(folder)
    if not found.has_checksums:
        click.echo("the old form, whose records have no checksum: nothing can be said of them")
    reading = found.reading
    for hole in (*reading.gaps, *reading.unwritten_gaps):
        click.echo(f"damaged: {hole.size_bytes} bytes at byte {hole.offset}, which {hole.kind.value}")
    if reading.tail_bytes:
        click.echo(f"damaged: {reading.tail_bytes} bytes at the end, which were never durable")
    doubtful = sum(each.is_doubtful for each in found.entries.values())
    click.echo(
        f"{len(reading.records)} records are whole; {len(found.entries)} messages owed, {doubtful} doubtful"
    )
    whole = found.has_checksums and not (reading.gaps or reading.unwritten_gaps or reading.tail_bytes)
    ctx.exit(0 if whole else 1)


@journal.command()
@click.argument("folder", type=FOLDER, metavar="DIR")
@click.option("--json", "as_json", is_flag=True, help="All of it as JSON lines.")
@click.option("--most", type=click.IntRange(0), default=50, help="Rows at the most, the first taken first.")
def show(folder: Path, as_json: bool, most: int) -> None:
    """What is owed in the state folder DIR."""
    found = inspected(folder)
    before = found.previous_run
    if not as_json:
        how = "closed cleanly" if before.was_closed else "not closed: it runs, or ended without a word"
        click.echo(f"{len(found.entries)} messages owed; {how}; latest time on record {at(before.latest_us)}")
    for number, (name, entry) in enumerate(found.entries.items()):
        told = {
            "id": name,
            "class": entry.message.message_class,
            "destination": entry.message.destination,
            "key": entry.message.key,
            "until": at(entry.message.deadline_us),
            "attempts": len(entry.attempts),
            "may_have_run": entry.first_risky_attempt() is not None,
            "doubtful": entry.is_doubtful,
            "end": entry.completion[0] if entry.completion else "delivered" if entry.is_delivered() else "",
        }
        if as_json:
            click.echo(json.dumps(told))
        elif number < most:
            risk = "may have run" if told["may_have_run"] else "has not run"
            state = "doubtful" if entry.is_doubtful else told["end"] or risk
            click.echo(f"{name}  {told['class']}  to {told['destination']}  until {told['until']}  {state}")
    if not as_json and len(found.entries) > most:
        click.echo(f"and {len(found.entries) - most} more; --most shows them")


@journal.command()
@click.argument("folder", type=FOLDER, metavar="DIR")
@click.option("--to", type=click.Path(path_type=Path), required=True, help="A state folder that is made.")
@click.pass_context
def repair(ctx: click.Context, folder: Path, to: Path) -> None:
    """Write what can be read of the journal in DIR as a whole one into a new folder; DIR stays as it is.

    A message that was held where records are damaged counts as one that may have run. Exit 1 if anything
    could not be saved."""
    found = inspected(folder)
    if not found.has_checksums:
        raise click.ClickException("the old form has no checksums to go by; a start carries it over")
    with complaints():
        to.mkdir(parents=True)
        found.save(to)
    reading = found.reading
    for hole in (*reading.gaps, *reading.unwritten_gaps):
        click.echo(f"not saved: {hole.size_bytes} bytes at byte {hole.offset}, which {hole.kind.value}")
    if reading.tail_bytes:
        click.echo(f"not saved: {reading.tail_bytes} bytes at the end, which were never durable")
    for name in found.lost_ids:
        click.echo(f"lost: {name}, whose own record cannot be read")
    for name, entry in found.entries.items():
        if entry.is_doubtful:
            click.echo(f"doubtful: {name}, which may have run")
    click.echo(
        f"{to / JOURNAL_FILE}: {len(found.entries)} messages owed, {len(found.finished)} known to be over"
    )
    ctx.exit(1 if reading.gaps else 0)
