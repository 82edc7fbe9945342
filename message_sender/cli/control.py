"""`message-sender control serve|init|set|get|status`: control nodes, and the configuration that they keep.

Exit codes: 0 well, 1 not (refused, not known, not everywhere), 2 misused.
"""

import getpass
import json
import time
import uuid
from dataclasses import asdict
from pathlib import Path
from typing import Any

import click

from message_sender.cli import control_change as change
from message_sender.cli.basic import FILE, complaints
from message_sender.cli.control_change import (
    ChangeAnswer,
    ChangeRequest,
    CommandOutcome,
    ControlNodeError,
    Present,
)
from message_sender.cli.control_status import Overview, overview
from message_sender.cli.fleet import EVERY, TIMES, again
from message_sender.cli.override import JSON
from message_sender.control import schema

WAIT_INTERVAL_S = 0.2  # between two looks while a version is waited for
EXPECTED_BASE = "version {present} is in force, and {expected} was expected: nothing was changed"

STATE = click.argument("folder", metavar="STATE", type=click.Path(path_type=Path, file_okay=False))
CONFIG = click.option("--config", "file", type=FILE, required=True, help="The control node's TOML file.")


@click.group()
def control() -> None:
    """Control nodes, and the configuration that they keep for all senders.

    STATE is the state folder of a control node on this machine; any of them will do.
    """


@control.command()
@CONFIG
@click.option("--log", "form", type=click.Choice(["people", "json"]), default="people", show_default=True)
@click.pass_context
def serve(ctx: click.Context, file: Path, form: str) -> None:
    """Run a control node.

    \b
    message-sender control serve --config control-1.toml --log json
    """
    from message_sender.cli.records import begin
    from message_sender.control.process import run

    begin("json" if form == "json" else "people")
    with complaints("configuration: "):
        ctx.exit(run(file))


@control.command()
@CONFIG
def init(file: Path) -> None:
    """Make the state folder of a new control node, which may vote from then on.

    Once for each node, before it is first started. A node whose disk was lost is not made anew with this: it
    may have forgotten a vote.

    \b
    message-sender control init --config control-1.toml
    """
    from message_sender.control.process import initialise

    with complaints("configuration: "):
        initialise(file)
    click.echo(f"{file}: the state folder is made")


def asked_present(folder: Path) -> Present:
    """Exit 1 where no control node answers."""
    try:
        return change.present_of(folder)
    except ControlNodeError as error:
        raise click.ClickException(str(error)) from None


# Changing.


@control.command(name="set")
@STATE
@click.argument("file", type=FILE, required=False)
@click.option("--patch", is_flag=True, help="Put only what FILE names; the rest stays.")
@click.option("--delete", multiple=True, metavar="NAME", help="Delete it, as endpoints/hub-1; with --patch.")
@click.option("--expect", type=click.IntRange(0), help="Only if this version is in force.")
@click.option("--request-id", help="Of an earlier try whose outcome is not known: it is made once.")
@click.option("--author", default=getpass.getuser, show_default="you", help="Who changes it.")
@click.option("--timeout", type=click.FloatRange(0.1, 3600), default=30.0, show_default=True, help="Seconds.")
@JSON
@click.pass_context
def set_(
    ctx: click.Context,
    folder: Path,
    file: Path | None,
    patch: bool,
    delete: tuple[str, ...],
    expect: int | None,
    request_id: str | None,
    author: str,
    timeout: float,
    as_json: bool,
) -> None:
    """Change the configuration of all senders to what FILE holds.

    FILE has `[[endpoints]]` and `[[budgets]]` as a sender's own file has them; what it does not name is
    deleted, unless --patch is given.

    \b
    message-sender control set /var/lib/control-1 fleet.toml --expect 7
    message-sender control set /var/lib/control-1 hub-9.toml --patch
    message-sender control set /var/lib/control-1 --patch --delete endpoints/hub-1
    """
    if file is None and not (patch and delete):
        raise click.UsageError("FILE is missing; without it --patch and --delete are needed")
    if delete and not patch:
        raise click.UsageError("--delete needs --patch: without it all that FILE does not name is deleted")
    with complaints():
        wanted = schema.read_toml(file) if file else {}
    present = asked_present(folder)
    difference = difference_from(present, wanted, patch, delete)
    base = present.version if expect is None else expect
    request = ChangeRequest(request_id or uuid.uuid4().hex, base, difference, author)
    answer = plain_answer(request, present, request_id is not None) or asked_change(folder, request, timeout)
    tell_change(request, answer, as_json)
    ctx.exit(0 if answer.outcome in (CommandOutcome.APPLIED, CommandOutcome.UNCHANGED) else 1)


def difference_from(
    present: Present, wanted: dict[str, bytes], is_patch: bool, delete: tuple[str, ...]
) -> schema.Difference:
    """Exit 1 for a name to be deleted that is not there."""
    try:
        return change.difference_to(present.resources, wanted, is_patch, delete)
    except KeyError as error:
        raise click.ClickException(f"{error.args[0]}: is not in version {present.version}") from None


def plain_answer(request: ChangeRequest, present: Present, is_repeated: bool) -> ChangeAnswer | None:
    """The answer that needs no control node. One whose request id was given may have been made before: only
    the control nodes know. A node that knows no leader may be cut off, and its version an old one: that it
    holds this already says nothing of the one in force."""
    if request.base_version != present.version:
        return None if is_repeated else ChangeAnswer(CommandOutcome.CONFLICT, present.version, attempts=0)
    if not any(request.difference):
        if not present.told["leader"]:
            return ChangeAnswer(
                CommandOutcome.UNAVAILABLE, present.version, attempts=0, reason=change.NO_LEADER
            )
        return ChangeAnswer(CommandOutcome.UNCHANGED, present.version, attempts=0)
    return None


def asked_change(folder: Path, request: ChangeRequest, timeout: float) -> ChangeAnswer:
    """Exit 1 where the control node does not take the request for one."""
    try:
        return change.make_change(folder, request, timeout)
    except ControlNodeError as error:
        raise click.ClickException(str(error)) from None


def tell_change(request: ChangeRequest, answer: ChangeAnswer, as_json: bool) -> None:
    """What happened."""
    put, delete = sorted(request.difference.put), list(request.difference.delete)
    if as_json:
        told: dict[str, Any] = asdict(answer) | {"request_id": request.request_id}
        click.echo(json.dumps(told | {"base_version": request.base_version, "put": put, "delete": delete}))
        return
    tries = f" after {answer.attempts} tries" if answer.attempts > 1 else ""
    match answer.outcome:
        case CommandOutcome.APPLIED:
            click.echo(f"version {answer.version}{tries}: {len(put)} put, {len(delete)} deleted")
        case CommandOutcome.UNCHANGED:
            click.echo(f"version {answer.version} holds this already: nothing was changed")
        case CommandOutcome.CONFLICT:
            click.echo(EXPECTED_BASE.format(present=answer.version, expected=request.base_version))
        case CommandOutcome.INVALID:
            click.echo("\n".join(answer.faults))
            click.echo(f"nothing was changed; version {answer.version} is in force")
        case CommandOutcome.UNAVAILABLE:
            click.echo(f"not known whether it was made{tries}: {answer.reason}")
            click.echo(f"ask again with --request-id {request.request_id}: it is made once")


# Looking.


@control.command()
@STATE
@click.option("--toml", "as_toml", is_flag=True, help="As `set` takes it; the default.")
@JSON
def get(folder: Path, as_toml: bool, as_json: bool) -> None:
    """Show the configuration.

    \b
    message-sender control get /var/lib/control-1 > fleet.toml
    """
    if as_toml and as_json:
        raise click.UsageError("--toml and --json don't go together")
    present = asked_present(folder)
    if as_json:
        click.echo(json.dumps(present.told))
        return
    told = present.told
    click.echo(f"# version {told['version']}, digest {told['digest']}, {told['age_ms'] / 1000:.1f} s old")
    with complaints():
        click.echo(schema.write_toml(present.resources), nl=False)


def looked(folder: Path) -> tuple[dict[str, Any], Overview]:
    """The answer to `status`. Exit 1 where no control node answers."""
    try:
        told = change.ask_node(folder, {"do": "status"})
        return told, overview(told)
    except ControlNodeError as error:
        raise click.ClickException(str(error)) from None
    except (KeyError, TypeError) as error:
        raise click.ClickException(f"the answer is none: {error!r}") from None


@control.command()
@STATE
@JSON
@click.option("--wait", "version", type=click.IntRange(0), help="Until this version is in force everywhere.")
@click.option("--timeout", type=click.FloatRange(0.1, 3600), default=30.0, show_default=True, help="Seconds.")
@click.option("--reachable", is_flag=True, help="With --wait: leave out who does not answer or is silent.")
@click.option("--watch", "is_watched", is_flag=True, help="Again and again.")
@EVERY
@TIMES
@click.pass_context
def status(
    ctx: click.Context,
    folder: Path,
    as_json: bool,
    version: int | None,
    timeout: float,
    reachable: bool,
    is_watched: bool,
    every: float,
    times: int | None,
) -> None:
    """Which version is in force where, who lags and why.

    \b
    message-sender control status /var/lib/control-1
    message-sender control status /var/lib/control-1 --wait 8 --timeout 10
    """
    if version is not None and is_watched:
        raise click.UsageError("--wait and --watch don't go together")
    if version is not None:
        ctx.exit(wait_for(folder, version, timeout, reachable, as_json))

    def show() -> None:
        told, seen = looked(folder)
        click.echo(json.dumps(told) if as_json else "\n".join(seen.lines()))

    again(show, every, times if is_watched else 1, as_json or not is_watched)


def wait_for(folder: Path, version: int, timeout: float, only_reachable: bool, as_json: bool) -> int:
    """Looks until the version is in force everywhere, or the time is over; the exit code."""
    began = time.monotonic()
    while True:
        _, seen = looked(folder)
        lagging = seen.lagging(version, only_reachable)
        took = time.monotonic() - began
        if not lagging or took + WAIT_INTERVAL_S >= timeout:
            break
        time.sleep(WAIT_INTERVAL_S)
    senders = len(seen.senders)
    if as_json:
        told = {"version": version, "is_everywhere": not lagging, "took_s": round(took, 3)}
        click.echo(json.dumps(told | {"senders": senders, "lagging": lagging}))
    elif lagging:
        click.echo("\n".join([f"version {version} is not everywhere after {took:.1f} s:", *lagging]))
    else:
        click.echo(f"version {version} is in force everywhere, at {senders} senders, after {took:.1f} s")
    return 1 if lagging else 0
