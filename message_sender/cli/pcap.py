"""`message-sender pcap`: what packet captures hold, as HTTP/1.1 messages; replayed and compared."""

import asyncio
import contextlib
import json
import sys
from collections import Counter
from collections.abc import Iterator, Sequence
from typing import Any, BinaryIO

import click

from message_sender.pcap.capture import Capture, as_json, decimal, requests
from message_sender.pcap.compare import compare
from message_sender.pcap.files import MalformedCaptureError
from message_sender.pcap.replay import HttpLine, NewIds, Outcome, Replay, plan

FILE = click.File("rb", lazy=False)


@click.group()
def pcap() -> None:
    """Packet captures as traffic. FILE is pcap or pcapng; - is standard input."""


@contextlib.contextmanager
def complaints() -> Iterator[None]:
    """What cannot be read is one line and exit 1."""
    try:
        yield
    except MalformedCaptureError as error:
        raise click.ClickException(f"no capture that can be read: {error}") from None
    except BrokenPipeError:
        sys.stderr.close()  # whoever read our output has enough
        sys.exit(0)


def tell_notes(capture: Capture) -> None:
    for text, count in capture.notes.most_common():
        click.echo(f"note: {text}" + (f" ({count} times)" if count > 1 else ""), err=True)


@pcap.command()
@click.argument("files", type=FILE, nargs=-1, required=True)
@click.option("--json", "as_lines", is_flag=True, help="One JSON object.")
def info(files: Sequence[BinaryIO], as_lines: bool) -> None:
    """What a capture holds; several of one moment are merged by time."""
    with complaints():
        capture = Capture(*files)
        kinds, notes = Counter[str](), Counter[str]()
        for _, message in capture.messages():
            kinds["answers" if message.status else "requests"] += 1
            kinds["not whole"] += not message.whole
            notes.update(message.notes)
    told = {
        "packets": capture.packets, "bytes": capture.bytes, "left_out": capture.layers.left_out,
        "first": decimal(capture.first), "last": decimal(capture.last),
        "connections": capture.flows.count, "requests": kinds["requests"], "answers": kinds["answers"],
        "not_whole": kinds["not whole"], "notes": dict((capture.notes + notes).most_common(50)),
    }  # fmt: skip
    if as_lines:
        click.echo(json.dumps(told))
        return
    for name, value in told.items():
        if name != "notes":
            click.echo(f"{name.replace('_', ' '):12} {value}")
    for text, count in (capture.notes + notes).most_common(50):
        click.echo(f"note: {text}" + (f" ({count} times)" if count > 1 else ""))


@pcap.command("requests")
@click.argument("files", type=FILE, nargs=-1, required=True)
@click.option("--json", "as_lines", is_flag=True, help="One JSON object a line.")
@click.option("--answers", is_flag=True, help="The answers too.")
def list_requests(files: Sequence[BinaryIO], as_lines: bool, answers: bool) -> None:
    """The requests of a capture, each as its last byte is read."""
    with complaints():
        capture = Capture(*files)
        for found in capture.messages():
            message = found.message
            if message.status and not answers:
                continue
            if as_lines:
                click.echo(json.dumps(as_json(found)))
                continue
            what = f"  {message.status}" if message.status else f"{message.method} {message.target}"
            notes = "".join(f"; {each}" for each in message.notes)
            click.echo(f"{decimal(message.at)} #{found.flow.number} {what} {len(message.body)} bytes{notes}")
        tell_notes(capture)


@pcap.command()
@click.argument("one", type=FILE)
@click.argument("other", type=FILE)
@click.option("--ignore", multiple=True, metavar="NAME", help="A header that does not count.")
@click.option("--within", type=float, metavar="MS", help="Differ too where a time is further apart.")
@click.option("--json", "as_lines", is_flag=True, help="One JSON object.")
@click.pass_context
def diff(
    context: click.Context, one: BinaryIO, other: BinaryIO, ignore: Sequence[str], within: float | None,
    as_lines: bool,
) -> None:  # fmt: skip
    """The same requests in the same order? Exit 0 if so, 1 if not."""
    with complaints():
        found = compare(requests([one]), requests([other]), ignore)
    far = within is not None and found.apart > within * 1e6
    if as_lines:
        told = {"same": found.same(), "requests": found.requests, "apart_ms": found.apart / 1e6}
        told |= {"apart_at": found.apart_at, "differ": found.differ, "more": found.more}
        click.echo(json.dumps(told))
    else:
        for text in found.differ:
            click.echo(text)
        if found.more:
            click.echo(f"and {found.more} more")
        one_has, other_has = found.requests
        click.echo(f"{one_has} | {other_has} requests; times within {found.apart / 1e6:.6f} ms")
    context.exit(0 if found.same() and not far else 1)


def place(_: click.Context, __: click.Parameter, value: str) -> tuple[str, int]:
    host, found, port = value.rpartition(":")
    if not found or not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise click.BadParameter(f"{value!r} is not HOST:PORT")
    return host.strip("[]"), int(port)


@pcap.command()
@click.argument("files", type=FILE, nargs=-1, required=True)
@click.option("--to", "target", required=True, callback=place, metavar="HOST:PORT", help="Where they go.")
@click.option("--speed", type=click.FloatRange(0.001, 1000), default=1.0, help="Times the recorded pace.")
@click.option("--new-ids", is_flag=True, help="Other correlation ids and idempotency keys.")
@click.option("--seed", type=int, default=0, help="Of the new ids.")
@click.pass_context
def replay(
    context: click.Context, files: Sequence[BinaryIO], target: tuple[str, int], speed: float, new_ids: bool,
    seed: int,
) -> None:  # fmt: skip
    """Sends the recorded requests again at their times, whatever becomes of the answers."""
    from hdrh.histogram import HdrHistogram

    latencies = HdrHistogram(1, 3_600_000_000, 3)
    with complaints():
        planned = plan(requests(files), speed, NewIds(seed) if new_ids else None)
        outcome = asyncio.run(Replay(lambda: HttpLine.open(*target), latencies).run(planned))
    tell_outcome(outcome, latencies)
    context.exit(0 if outcome.sent and not outcome.not_sent else 1)


def tell_outcome(outcome: Outcome, latencies: Any) -> None:  # noqa: ANN401
    late = outcome.late * 1e3
    click.echo(f"sent {outcome.sent}, {late:.1f} ms late at most")
    click.echo(f"not sent for want of connections {outcome.not_sent}")
    for name, count in sorted(outcome.answers.items()):
        click.echo(f"{name:>24} {count}")
    if outcome.answers:
        for share in (50, 90, 99, 99.9):
            value = latencies.get_value_at_percentile(share) / 1e3
            click.echo(f"latency p{share:<6g} {value:10.3f} ms")
