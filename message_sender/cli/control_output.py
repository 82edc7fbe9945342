"""Prints the results of `message-sender control set` and `control status --wait`."""

import json
from collections.abc import Sequence
from dataclasses import asdict

import click

from message_sender.cli.configuration_change import ChangeOutcome, ChangeRequest, ChangeResult


def print_change(request: ChangeRequest, result: ChangeResult, as_json: bool) -> None:
    """Prints the outcome of a change as text or as a JSON object."""
    put = sorted(request.difference.put)
    deleted = list(request.difference.delete)
    if not as_json:
        print_change_text(request, result, len(put), len(deleted))
        return
    document = asdict(result) | {
        "request_id": request.request_id,
        "base_version": request.base_version,
        "put": put,
        "delete": deleted,
    }
    click.echo(json.dumps(document))


def print_change_text(
    request: ChangeRequest, result: ChangeResult, put_count: int, deleted_count: int
) -> None:
    """Prints the outcome of a change as text."""
    tries = f" after {result.attempts} attempts" if result.attempts > 1 else ""
    match result.outcome:
        case ChangeOutcome.APPLIED:
            click.echo(f"version {result.version}{tries}: {put_count} put, {deleted_count} deleted")
        case ChangeOutcome.UNCHANGED:
            click.echo(f"version {result.version} already has this content: nothing was changed")
        case ChangeOutcome.CONFLICT:
            click.echo(
                f"version {result.version} is in force, but {request.base_version} was expected: "
                "nothing was changed"
            )
        case ChangeOutcome.INVALID:
            click.echo("\n".join(result.faults))
            click.echo(f"nothing was changed; version {result.version} is in force")
        case ChangeOutcome.UNAVAILABLE:
            click.echo(f"outcome unknown{tries}: {result.reason}")
            click.echo(f"retry with --request-id {request.request_id}; the change is applied at most once")


def print_wait_result(
    version: int, sender_count: int, lagging: Sequence[str], elapsed_s: float, as_json: bool
) -> None:
    """Prints whether a version is in force everywhere.

    Args:
        version: The version that the command waited for.
        sender_count: The number of senders that the control nodes know.
        lagging: A line for each node and sender where the version is not in force.
        elapsed_s: How long the command waited, in seconds.
        as_json: Prints a JSON object instead of text.
    """
    if as_json:
        document = {
            "version": version,
            "is_everywhere": not lagging,
            "took_s": round(elapsed_s, 3),
            "senders": sender_count,
            "lagging": list(lagging),
        }
        click.echo(json.dumps(document))
    elif lagging:
        click.echo(
            "\n".join([f"version {version} is not in force everywhere after {elapsed_s:.1f} s:", *lagging])
        )
    else:
        click.echo(
            f"version {version} is in force everywhere, at {sender_count} senders, after {elapsed_s:.1f} s"
        )
