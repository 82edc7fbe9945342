"""`message-sender control serve|init|set|get|status`: control nodes and the configuration of all senders.

Exit codes: 0 success, 1 failure (refused, outcome unknown, not in force everywhere), 2 wrong usage.
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

WAIT_INTERVAL_S = 0.2  # between two polls of `status --wait`

STATE_ARGUMENT = click.argument("folder", metavar="STATE", type=FOLDER_PATH)
CONFIG_OPTION = click.option(
    "--config", "file", type=FILE_PATH, required=True, help="The control node's TOML file."
)
TIMEOUT_OPTION = click.option(
    "--timeout",
    type=click.FloatRange(0.1, 3600),
    default=30.0,
    show_default=True,
    help="Time limit in seconds.",
)


@click.group()
def control() -> None:
    """Run control nodes, and read or change the configuration of all senders.

    STATE is the state folder of any control node on this machine.
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
def serve(ctx: click.Context, file: Path, log_format: str) -> None:
    """Runs a control node until SIGTERM, and exits with the exit code of the node."""
    from message_sender.cli.log_format import configure_logging
    from message_sender.control.process import run

    configure_logging("json" if log_format == "json" else "people")
    with exit_on_error("configuration: "):
        ctx.exit(run(file))


@control.command(
    help="""Create the state folder of a new control node, which makes the node a voter.

    Run this once for each node, before its first start. Do not use it to replace a node whose disk was lost,
    since that node may have given a vote that the new folder does not record.

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
    click.echo(f"{file}: state folder created")


def read_current(folder: Path) -> CurrentConfiguration:
    """Returns the configuration in force at a control node; exits with 1 if the node does not respond."""
    try:
        return read_configuration(folder)
    except ControlNodeError as error:
        raise click.ClickException(str(error)) from None


# Changing.


@control.command(
    name="set",
    help="""Replace the configuration of all senders with the content of FILE.

    FILE has `[[endpoints]]` and `[[budgets]]` in the format of a sender's configuration file. Resources that
    FILE does not name are deleted, unless --patch is given.

    \b
    message-sender control set /var/lib/control-1 fleet.toml --expect 7
    message-sender control set /var/lib/control-1 hub-9.toml --patch
    message-sender control set /var/lib/control-1 --patch --delete endpoints/hub-1
    """,
)
@STATE_ARGUMENT
@click.argument("file", type=FILE_PATH, required=False)
@click.option("--patch", is_flag=True, help="Change only the resources that FILE names; keep all others.")
@click.option(
    "--delete",
    multiple=True,
    metavar="NAME",
    help="With --patch: delete a resource, such as endpoints/hub-1.",
)
@click.option("--expect", type=click.IntRange(0), help="Change only if this version is in force.")
@click.option("--request-id", help="Id of an earlier request with unknown outcome; applied at most once.")
@click.option("--author", default=getpass.getuser, show_default="you", help="Author of the change.")
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
        raise click.UsageError("FILE is missing; it may be left out only with --patch and --delete")
    if delete and not patch:
        raise click.UsageError(
            "--delete needs --patch; without --patch, all resources that FILE does not name are deleted"
        )
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
    """Returns the resources to put and to delete; exits with 1 if a name to delete is not in force."""
    try:
        return compute_difference(current.resources, requested, is_patch, deleted)
    except UnknownResourceError as error:
        raise click.ClickException(f"{error.name}: is not in version {current.version}") from None


def decide_without_request(
    request: ChangeRequest, current: CurrentConfiguration, is_repeated: bool
) -> ChangeResult | None:
    """Returns the result of a change if it is known without a request to the control nodes, else None.

    Args:
        request: The change.
        current: The configuration that a control node has in force. A node that knows no leader may be
            partitioned from the others, so that its version may be outdated.
        is_repeated: The operator gave the request id, so the control nodes may have applied the change.
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
    """Requests a change until its outcome is known; exits with 1 if the node refuses the request."""
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
@click.option("--toml", "as_toml", is_flag=True, help="Print TOML, the input format of `set`; the default.")
@JSON_OPTION
def get(folder: Path, as_toml: bool, as_json: bool) -> None:
    """Prints the configuration that a control node has in force."""
    if as_toml and as_json:
        raise click.UsageError("--toml and --json cannot be used together")
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
    """Returns the response to `status` and its parsed form; exits with 1 if the node does not respond."""
    try:
        response = request_node(folder, {"do": "status"})
        return response, parse_status(response)
    except ControlNodeError as error:
        raise click.ClickException(str(error)) from None
    except (KeyError, TypeError) as error:
        raise click.ClickException(f"malformed response to status: {error!r}") from None


def print_status(folder: Path, as_json: bool) -> None:
    """Prints the status once."""
    response, deployment = read_status(folder)
    click.echo(json.dumps(response) if as_json else "\n".join(deployment.format_lines()))


@control.command(
    help="""Show the versions in force at control nodes and senders, and why some lag behind.

    \b
    message-sender control status /var/lib/control-1
    message-sender control status /var/lib/control-1 --wait 8 --timeout 10
    """
)
@STATE_ARGUMENT
@JSON_OPTION
@click.option(
    "--wait", "version", type=click.IntRange(0), help="Wait until this version is in force everywhere."
)
@TIMEOUT_OPTION
@click.option("--reachable", is_flag=True, help="With --wait: ignore unreachable nodes and silent senders.")
@click.option("--watch", "is_watched", is_flag=True, help="Repeat the output.")
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
    """Prints the status once or repeatedly, or waits until a version is in force everywhere."""
    if version is not None and is_watched:
        raise click.UsageError("--wait and --watch cannot be used together")
    if version is not None:
        ctx.exit(wait_for_version(folder, version, timeout, reachable, as_json))

    def print_once() -> None:
        print_status(folder, as_json)

    repetitions = times if is_watched else 1
    run_repeatedly(print_once, every, repetitions, has_header=is_watched and not as_json)


def wait_for_version(
    folder: Path, version: int, timeout_s: float, only_reachable: bool, as_json: bool
) -> int:
    """Polls until a version is in force everywhere or the time limit is reached; returns the exit code."""
    started_at = time.monotonic()
    while True:
        _, deployment = read_status(folder)
        lagging = deployment.find_lagging(version, only_reachable)
        elapsed_s = time.monotonic() - started_at
        if not lagging or elapsed_s + WAIT_INTERVAL_S >= timeout_s:
            break
        time.sleep(WAIT_INTERVAL_S)
    print_wait_result(version, len(deployment.senders), lagging, elapsed_s, as_json)
    return 1 if lagging else 0
