"""`message-sender serve|check|destinations|demo`."""

import asyncio
import contextlib
import json
import sys
from collections import Counter
from collections.abc import Iterator
from dataclasses import asdict
from datetime import UTC, datetime
from pathlib import Path
from typing import TYPE_CHECKING, TextIO

import click

from message_sender.configuration.general import ConfigError, SenderConfig, load

if TYPE_CHECKING:
    from message_sender.pcap.traffic_tap import TrafficTap

FILE = click.Path(path_type=Path, dir_okay=False)
FOLDER = click.Path(path_type=Path, file_okay=False)


@contextlib.contextmanager
def complaints(prefix: str = "") -> Iterator[None]:
    """Every fault of a configuration is a line; what the system refuses is one; exit 1."""
    try:
        yield
    except ConfigError as error:
        raise click.ClickException("\n".join(f"{prefix}{fault}" for fault in error.faults)) from None
    except (OSError, ValueError) as error:
        raise click.ClickException(str(error)) from None


@click.command()
@click.argument("file", type=FILE)
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
    classes = ", ".join(each.name for each in config.settings.classes)
    click.echo(f"{file}: good; classes {classes}; {len(config.endpoints)} endpoints")


@click.command()
@click.option("--config", "file", type=FILE, required=True, help="A TOML file.")
@click.option("--state", type=FOLDER, help="The lasting folder; else the file's.")
@click.option("--answers", type=FILE, help="Final answers go there; else to standard output.")
@click.option("--log", "form", type=click.Choice(["people", "json"]), default="people", show_default=True)
@click.pass_context
def serve(ctx: click.Context, file: Path, state: Path | None, answers: Path | None, form: str) -> None:
    """Run a sender without the platform.

    \b
    message-sender serve --config deploy/serve.toml --state /var/lib/message-sender --log json
    """
    from message_sender.cli.records import begin
    from message_sender.service.standalone import serve as run

    begin("json" if form == "json" else "people")
    with complaints("configuration: "):
        config = load(file)
        folder = state or config.state
        if folder is None:
            raise click.ClickException("neither the configuration nor --state names a state folder")
        folder.mkdir(parents=True, exist_ok=True)
        with contextlib.ExitStack() as stack:
            out: TextIO = sys.stdout
            if answers:
                out = stack.enter_context(answers.open("a"))
            tap = stack.enter_context(capturing(config)) if config.capture else None
            ctx.exit(asyncio.run(run(file, config, folder, out, tap)))


@contextlib.contextmanager
def capturing(config: SenderConfig) -> Iterator["TrafficTap"]:
    """Has the sender's traffic written as capture files while it is held."""
    from message_sender.pcap.traffic_tap import TrafficTap

    assert config.capture
    to = config.capture
    tap = TrafficTap(to.folder, to.file_bytes_limit, to.files_limit, to.blanked_headers)
    try:
        yield tap
    finally:
        tap.close()


STATES = "Only those: open, half-open, waits, warming, closed, asleep, listed."


@click.command()
@click.argument("path", type=click.Path(path_type=Path))
@click.option("--state", help=STATES)
@click.option("--most", type=click.IntRange(0), default=50, help="Rows at the most, the most troubled first.")
@click.option("--json", "as_json", is_flag=True, help="All of it as JSON lines.")
def destinations(path: Path, state: str | None, most: int, as_json: bool) -> None:
    """What a sender keeps for each destination.

    PATH is its state folder, or the file there that it writes on SIGUSR1.
    """
    from message_sender.core.inventory import ORDER, read

    with complaints():
        at, kept = read(path)
    states = Counter(each.state for each in kept)
    kept = [each for each in kept if state in (None, each.state)]
    if as_json:
        for each in kept:
            click.echo(json.dumps(asdict(each)))
        return
    rank = {name: place for place, name in enumerate(ORDER)}
    kept.sort(key=lambda each: (rank.get(each.state, len(rank)), -each.held, each.number))
    when = datetime.fromtimestamp(at, UTC).isoformat(timespec="seconds")
    told = ", ".join(f"{count} {name}" for name, count in sorted(states.items()))
    size, count = sum(each.bytes for each in kept), sum(states.values())
    click.echo(f"{when}: {count} destinations ({told or 'none'}); {size:,} bytes of those asked for")
    names = ("number", "state", "endpoints", "held", "out", "silent s", "gap ms", "bytes")
    click.echo("{:>9} {:<10} {:>9} {:>6} {:>4} {:>10} {:>8} {:>7}".format(*names))
    for each in kept[:most]:
        silent = "never" if each.silent_s is None else f"{each.silent_s:,.1f}"
        row = f"{each.number:>9} {each.state:<10} {each.endpoints:>9} {each.held:>6} {each.out:>4}"
        click.echo(f"{row} {silent:>10} {each.gap_ms:>8.1f} {each.bytes:>7}")
    if (more := len(kept) - most) > 0:
        click.echo(f"and {more} more; --most shows them")


@click.command()
@click.option("--pace", type=click.FloatRange(0.1, 1.2), default=1.0, help="Of its usual length of 30 s.")
@click.option("--rate", type=click.FloatRange(1, 200), default=40.0, help="Commands a second.")
@click.option("--seed", type=int, default=1)
@click.option("--pcap", "capture", type=FILE, help="Hand in the commands of a capture.")
@click.option("--plain", is_flag=True, help="Plain lines also on a terminal.")
@click.pass_context
def demo(ctx: click.Context, pace: float, rate: float, seed: int, capture: Path | None, plain: bool) -> None:
    """Stand-ins and one sender, through an outage and back."""
    from message_sender.testbed.demo import demo as run

    if capture is None:
        ctx.exit(run(pace, rate, seed, plain=plain))
    from message_sender.cli.commands import given_in
    from message_sender.pcap.files import MalformedCaptureError

    try:
        given = given_in(capture)
    except (OSError, MalformedCaptureError) as error:
        raise click.ClickException(f"{capture}: {error}") from None
    if not given:
        raise click.ClickException(f"{capture} holds no command that is whole")
    ctx.exit(run(pace, rate, seed, plain=plain, given=given))
