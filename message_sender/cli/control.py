"""`message-sender control serve|init|set|get|status`: control nodes and the configuration of all senders.

Exit codes: 0 success, 1 failure (refused, outcome not known, not in force everywhere), 2 wrong usage.
"""

import getpass
import json
import time
import uuid
from pathlib import Path
from typing import Any

import click

from message_sender.cli.configuration_change import (
    NO_LEADER_REASON,
    ChangeOutcome,
    ChangeRequest,
    ChangeResult,
    ControlNodeError,
    CurrentConfiguration,
    UnknownResourceError,
    compute_difference,
    read_configuration,
    request_change,
    request_node,
)
from message_sender.cli.control_output import print_change, print_wait_result
from message_sender.cli.deployment_status import DeploymentStatus, parse_status
from message_sender.cli.errors import exit_on_error
from message_sender.cli.parameters import (
    FILE_PATH,
    FOLDER_PATH,
    INTERVAL_OPTION,
    JSON_OPTION,
    LOG_FORMAT_OPTION,
    REPETITIONS_OPTION,
)
from message_sender.cli.repetition import run_repeatedly
from message_sender.control import schema

WAIT_INTERVAL_S = 0.2  # between two polls while a version is awaited

STATE_ARGUMENT = click.argument("folder", metavar="STATE", type=FOLDER_PATH)
CONFIG_OPTION = click.option(
    "--config", "file", type=FILE_PATH, required=True, help="The control node's TOML file."
)
TIMEOUT_OPTION = click.option(
    "--timeout", type=click.FloatRange(0.1, 3600), default=30.0, show_default=True, help="Seconds."
)


@click.group()
def control() -> None:
    """Control nodes, and the configuration that they keep for all senders.

    STATE is the state folder of a control node on this machine; any of them will do.
    """


@control.command(
    help="""Run a control node.

    \b
    message-sender control serve --config control-1.toml --log json
    """
)
@CONFIG_OPTION
@LOG_FORMAT_OPTION
@click.pass_context
def serve(ctx: click.Context, file: Path, form: str) -> None:
    """Runs a control node until SIGTERM; its exit code is the command's."""
    from message_sender.cli.log_format import configure_logging
    from message_sender.control.process import run

    configure_logging("json" if form == "json" else "people")
    with exit_on_error("configuration: "):
        ctx.exit(run(file))


@control.command(
    help="""Make the state folder of a new control node, which may vote from then on.

    Once for each node, before it is first started. A node whose disk was lost is not made anew with this: it
    may have forgotten a vote.

    \b
    message-sender control init --config control-1.toml
    """
)
@CONFIG_OPTION
def init(file: Path) -> None:
    """Creates the state folder of a new control node."""
    from message_sender.control.process import initialise

    with exit_on_error("configuration: "):
        initialise(file)
    click.echo(f"{file}: the state folder is made")


def read_current(folder: Path) -> CurrentConfiguration:
    """Returns the configuration that a control node has in force; without a response the exit code is 1."""
    try:
        return read_configuration(folder)
    except ControlNodeError as error:
        raise click.ClickException(str(error)) from None


# Changing.


@control.command(
    name="set",
    help="""Change the configuration of all senders to what FILE holds.

    FILE has `[[endpoints]]` and `[[budgets]]` as a sender's own file has them; what it does not name is
    deleted, unless --patch is given.

    \b
    message-sender control set /var/lib/control-1 fleet.toml --expect 7
    message-sender control set /var/lib/control-1 hub-9.toml --patch
    message-sender control set /var/lib/control-1 --patch --delete endpoints/hub-1
    """,
)
@STATE_ARGUMENT
@click.argument("file", type=FILE_PATH, required=False)
@click.option("--patch", is_flag=True, help="Put only what FILE names; the rest stays.")
@click.option("--delete", multiple=True, metavar="NAME", help="Delete it, as endpoints/hub-1; with --patch.")
@click.option("--expect", type=click.IntRange(0), help="Only if this version is in force.")
@click.option("--request-id", help="Of an earlier try whose outcome is not known: it is made once.")
@click.option("--author", default=getpass.getuser, show_default="you", help="Who changes it.")
@TIMEOUT_OPTION
@JSON_OPTION
@click.pass_context
def set_configuration(
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
    """Requests a change of the configuration and prints its outcome."""
    if file is None and not (patch and delete):
        raise click.UsageError("FILE is missing; without it --patch and --delete are needed")
    if delete and not patch:
        raise click.UsageError("--delete needs --patch: without it all that FILE does not name is deleted")
    with exit_on_error():
        requested = schema.read_toml(file) if file else {}
    current = read_current(folder)
    difference = find_difference(current, requested, patch, delete)
    base_version = current.version if expect is None else expect
    request = ChangeRequest(request_id or uuid.uuid4().hex, base_version, difference, author)
    result = decide_without_request(request, current, is_repeated=request_id is not None)
    if result is None:
        result = apply_change(folder, request, timeout)
    print_change(request, result, as_json)
    ctx.exit(0 if result.outcome in (ChangeOutcome.APPLIED, ChangeOutcome.UNCHANGED) else 1)


def find_difference(
    current: CurrentConfiguration, requested: dict[str, bytes], is_patch: bool, deleted: tuple[str, ...]
) -> schema.Difference:
    """Returns what is to be put and deleted; the exit code is 1 if a name to delete is not in force."""
    try:
        return compute_difference(current.resources, requested, is_patch, deleted)
    except UnknownResourceError as error:
        raise click.ClickException(f"{error.name}: is not in version {current.version}") from None


def decide_without_request(
    request: ChangeRequest, current: CurrentConfiguration, is_repeated: bool
) -> ChangeResult | None:
    """Returns the result of a change that no control node needs to decide; None for any other change.

    Args:
        request: The change.
        current: The configuration that a control node has in force. Where the node knows no leader, it may be
            cut off with an old version, which shows nothing of the one in force.
        is_repeated: The operator gave the request id: the control nodes may have applied the change already.
    """
    if request.base_version != current.version:
        if is_repeated:
            return None
        return ChangeResult(ChangeOutcome.CONFLICT, current.version, attempts=0)
    if any(request.difference):
        return None
    if not current.has_leader:
        return ChangeResult(ChangeOutcome.UNAVAILABLE, current.version, attempts=0, reason=NO_LEADER_REASON)
    return ChangeResult(ChangeOutcome.UNCHANGED, current.version, attempts=0)


def apply_change(folder: Path, request: ChangeRequest, timeout_s: float) -> ChangeResult:
    """Requests a change until its outcome is known; the exit code is 1 if the node refuses the request."""
    try:
        return request_change(folder, request, timeout_s)
    except ControlNodeError as error:
        raise click.ClickException(str(error)) from None


# Reading.


@control.command(
    help="""Show the configuration.

    \b
    message-sender control get /var/lib/control-1 > fleet.toml
    """
)
@STATE_ARGUMENT
@click.option("--toml", "as_toml", is_flag=True, help="As `set` takes it; the default.")
@JSON_OPTION
def get(folder: Path, as_toml: bool, as_json: bool) -> None:
    """Prints the configuration that a control node has in force."""
    if as_toml and as_json:
        raise click.UsageError("--toml and --json don't go together")
    current = read_current(folder)
    response = current.response
    if as_json:
        click.echo(json.dumps(response))
        return
    age_s = response["age_ms"] / 1000
    click.echo(f"# version {response['version']}, digest {response['digest']}, {age_s:.1f} s old")
    with exit_on_error():
        click.echo(schema.write_toml(current.resources), nl=False)


def read_status(folder: Path) -> tuple[dict[str, Any], DeploymentStatus]:
    """Returns the value of the response to `status`, and what it means; without one the exit code is 1."""
    try:
        response = request_node(folder, {"do": "status"})
        return response, parse_status(response)
    except ControlNodeError as error:
        raise click.ClickException(str(error)) from None
    except (KeyError, TypeError) as error:
        raise click.ClickException(f"the answer is none: {error!r}") from None


def print_status(folder: Path, as_json: bool) -> None:
    """Prints the status once."""
    response, deployment = read_status(folder)
    click.echo(json.dumps(response) if as_json else "\n".join(deployment.format_lines()))


@control.command(
    help="""Which version is in force where, who lags and why.

    \b
    message-sender control status /var/lib/control-1
    message-sender control status /var/lib/control-1 --wait 8 --timeout 10
    """
)
@STATE_ARGUMENT
@JSON_OPTION
@click.option("--wait", "version", type=click.IntRange(0), help="Until this version is in force everywhere.")
@TIMEOUT_OPTION
@click.option("--reachable", is_flag=True, help="With --wait: leave out who does not answer or is silent.")
@click.option("--watch", "is_watched", is_flag=True, help="Again and again.")
@INTERVAL_OPTION
@REPETITIONS_OPTION
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
    """Prints the status once, repeatedly, or when a version is in force everywhere."""
    if version is not None and is_watched:
        raise click.UsageError("--wait and --watch don't go together")
    if version is not None:
        ctx.exit(wait_for_version(folder, version, timeout, reachable, as_json))

    def print_once() -> None:
        print_status(folder, as_json)

    repetitions = times if is_watched else 1
    run_repeatedly(print_once, every, repetitions, has_header=is_watched and not as_json)


def wait_for_version(
    folder: Path, version: int, timeout_s: float, only_reachable: bool, as_json: bool
) -> int:
    """Polls until a version is in force everywhere or the time is over; returns the exit code."""
    began = time.monotonic()
    while True:
        _, deployment = read_status(folder)
        lagging = deployment.find_lagging(version, only_reachable)
        elapsed_s = time.monotonic() - began
        if not lagging or elapsed_s + WAIT_INTERVAL_S >= timeout_s:
            break
        time.sleep(WAIT_INTERVAL_S)
    print_wait_result(version, len(deployment.senders), lagging, elapsed_s, as_json)
    return 1 if lagging else 0
