"""`message-sender pcap info|requests|diff|replay`: HTTP/1.1 messages in packet captures."""

import asyncio
import contextlib
import json
import sys
from collections import Counter
from collections.abc import Iterator, Sequence
from typing import Any, BinaryIO

import click

from message_sender.pcap.capture import Capture, as_json, format_decimal_seconds, read_requests
from message_sender.pcap.compare import Difference, compare
from message_sender.pcap.files import MalformedCaptureError
from message_sender.pcap.replay import HttpReplayConnection, IdReplacer, Replay, ReplayOutcome, plan

CAPTURE_FILE = click.File("rb", lazy=False)
FILES_ARGUMENT = click.argument("files", type=CAPTURE_FILE, nargs=-1, required=True)
JSON_OPTION = click.option("--json", "as_lines", is_flag=True, help="Print one JSON object.")
REPORTED_NOTES = 50
NS_PER_MS = 1e6
LONGEST_LATENCY_US = 3_600_000_000
LATENCY_DIGITS = 3  # significant decimal digits
REPORTED_PERCENTILES = (50, 90, 99, 99.9)


@click.group()
def pcap() -> None:
    """Inspect, compare and replay HTTP traffic in packet captures.

    FILE is a pcap or pcapng file; - is standard input.
    """


@contextlib.contextmanager
def exit_on_capture_error() -> Iterator[None]:
    """Reports a malformed capture with exit code 1, and exits silently if standard output is closed.

    Raises:
        click.ClickException: The block raised MalformedCaptureError.
    """
    try:
        yield
    except MalformedCaptureError as error:
        raise click.ClickException(f"malformed capture: {error}") from None
    except BrokenPipeError:
        sys.stderr.close()  # the interpreter would report the failed flush of standard output there
        sys.exit(0)


def format_note(text: str, count: int) -> str:
    """Returns the line on an irregularity that occurs `count` times in a capture."""
    repetitions = f" ({count} times)" if count > 1 else ""
    return f"note: {text}{repetitions}"


@pcap.command()
@FILES_ARGUMENT
@JSON_OPTION
def info(files: Sequence[BinaryIO], as_lines: bool) -> None:
    """Summarize captures; several captures of the same period are merged by time."""
    with exit_on_capture_error():
        capture = Capture(*files)
        counts = Counter[str]()
        notes = Counter[str]()
        for _, message in capture.messages():
            counts["answers" if message.status else "requests"] += 1
            counts["not whole"] += not message.is_complete
            notes.update(message.notes)
    reported_notes = (capture.notes + notes).most_common(REPORTED_NOTES)
    summary = {
        "packets": capture.packets,
        "bytes": capture.bytes,
        "left_out": capture.decoder.skipped_packets,
        "first": format_decimal_seconds(capture.first_at_ns),
        "last": format_decimal_seconds(capture.last_at_ns),
        "connections": capture.flows.count,
        "requests": counts["requests"],
        "answers": counts["answers"],
        "not_whole": counts["not whole"],
    }
    if as_lines:
        click.echo(json.dumps(summary | {"notes": dict(reported_notes)}))
        return
    for name, value in summary.items():
        click.echo(f"{name.replace('_', ' '):12} {value}")
    for text, count in reported_notes:
        click.echo(format_note(text, count))


@pcap.command("requests")
@FILES_ARGUMENT
@click.option("--json", "as_lines", is_flag=True, help="Print one JSON object per line.")
@click.option("--answers", is_flag=True, help="Show responses too.")
def list_requests(files: Sequence[BinaryIO], as_lines: bool, answers: bool) -> None:
    """List the requests of captures, in the order in which they are complete."""
    with exit_on_capture_error():
        capture = Capture(*files)
        for captured in capture.messages():
            message = captured.message
            if message.status and not answers:
                continue
            if as_lines:
                click.echo(json.dumps(as_json(captured)))
                continue
            title = f"  {message.status}" if message.status else f"{message.method} {message.target}"
            notes = "".join(f"; {note}" for note in message.notes)
            at = format_decimal_seconds(message.first_at_ns)
            click.echo(f"{at} #{captured.flow.number} {title} {len(message.body)} bytes{notes}")
        for text, count in capture.notes.most_common():
            click.echo(format_note(text, count), err=True)


@pcap.command()
@click.argument("one", type=CAPTURE_FILE)
@click.argument("other", type=CAPTURE_FILE)
@click.option("--ignore", multiple=True, metavar="NAME", help="Header to ignore; may be repeated.")
@click.option(
    "--within", type=float, metavar="MS", help="Also report a difference if times differ by more than this."
)
@JSON_OPTION
@click.pass_context
def diff(
    context: click.Context,
    one: BinaryIO,
    other: BinaryIO,
    ignore: Sequence[str],
    within: float | None,
    as_lines: bool,
) -> None:
    """Compare the requests of two captures. Exit 0 if they are the same in the same order, 1 if not."""
    with exit_on_capture_error():
        difference = compare(read_requests([one]), read_requests([other]), ignore)
    print_difference(difference, as_lines)
    is_too_far_apart = within is not None and difference.max_apart_ns > within * NS_PER_MS
    context.exit(0 if difference.is_same() and not is_too_far_apart else 1)


def print_difference(difference: Difference, as_object: bool) -> None:
    """Prints the result of a comparison as lines or as a JSON object."""
    apart_ms = difference.max_apart_ns / NS_PER_MS
    if as_object:
        result = {
            "same": difference.is_same(),
            "requests": difference.requests,
            "apart_ms": apart_ms,
            "apart_at": difference.max_apart_request,
            "differ": difference.descriptions,
            "more": difference.omitted_descriptions,
        }
        click.echo(json.dumps(result))
        return
    for text in difference.descriptions:
        click.echo(text)
    if difference.omitted_descriptions:
        click.echo(f"and {difference.omitted_descriptions} more")
    one_count, other_count = difference.requests
    click.echo(f"{one_count} | {other_count} requests; times within {apart_ms:.6f} ms")


def parse_address(_: click.Context, __: click.Parameter, value: str) -> tuple[str, int]:
    """Returns the host and the port of `HOST:PORT`; an IPv6 address is in brackets.

    Raises:
        click.BadParameter: The value has another form.
    """
    host, separator, port = value.rpartition(":")
    if not separator or not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise click.BadParameter(f"{value!r} is not HOST:PORT")
    return host.strip("[]"), int(port)


@pcap.command()
@FILES_ARGUMENT
@click.option(
    "--to",
    "target",
    required=True,
    callback=parse_address,
    metavar="HOST:PORT",
    help="Server that receives the requests.",
)
@click.option(
    "--speed", type=click.FloatRange(0.001, 1000), default=1.0, help="Factor for the recorded pace."
)
@click.option("--new-ids", is_flag=True, help="Replace correlation ids and idempotency keys.")
@click.option("--seed", type=int, default=0, help="Seed of the new ids.")
@click.pass_context
def replay(
    context: click.Context,
    files: Sequence[BinaryIO],
    target: tuple[str, int],
    speed: float,
    new_ids: bool,
    seed: int,
) -> None:
    """Replay the recorded requests at their times, independent of the responses."""
    from hdrh.histogram import HdrHistogram

    latencies = HdrHistogram(1, LONGEST_LATENCY_US, LATENCY_DIGITS)

    async def open_connection() -> HttpReplayConnection:
        return await HttpReplayConnection.open(*target)

    with exit_on_capture_error():
        planned = plan(read_requests(files), speed, IdReplacer(seed) if new_ids else None)
        outcome = asyncio.run(Replay(open_connection, latencies).run(planned))
    print_outcome(outcome, latencies)
    context.exit(0 if outcome.sent and not outcome.not_sent else 1)


def print_outcome(outcome: ReplayOutcome, latencies: Any) -> None:  # noqa: ANN401
    """Prints the counts of a replay and percentiles of its latencies, an HdrHistogram in microseconds."""
    click.echo(f"sent {outcome.sent}, maximum delay {outcome.max_delay_s * 1e3:.1f} ms")
    click.echo(f"not sent because no connection was available {outcome.not_sent}")
    for name, count in sorted(outcome.responses.items()):
        click.echo(f"{name:>24} {count}")
    if outcome.responses:
        for percentile in REPORTED_PERCENTILES:
            latency_ms = latencies.get_value_at_percentile(percentile) / 1e3
            click.echo(f"latency p{percentile:<6g} {latency_ms:10.3f} ms")
