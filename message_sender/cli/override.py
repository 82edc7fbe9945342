"""`message-sender override|endpoints|explain`: query and control a running sender over its control socket."""

import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import click

from message_sender.cli.parameters import (
    AUTHOR_OPTION,
    JSON_OPTION,
    STATE_OPTION,
    TimeParameter,
    now_us,
)
from message_sender.cli.sender_client import request_value
from message_sender.discovery.time_text import format_time

REASON_OPTION = click.option(
    "--why", required=True, help="Reason for the override, shown by `override list`."
)
OPTIONAL_REASON_OPTION = click.option("--why", default="", help="Reason for the change.")
PIN_FIELDS = ("destination", "tenant", "key")
UNSET_VALUES = (-1, "")


def print_override(override: Mapping[str, Any], warning: str = "") -> None:
    """Prints one override.

    Args:
        override: The override as returned by the control socket.
        warning: Why the override has no effect; empty if it has an effect.
    """
    now = now_us()
    detail = ""
    if override["kind"] == "weight":
        detail = f" weight {override['weight']:g}"
    elif override["kind"] == "pin":
        subjects = [f"{name} {override[name]}" for name in PIN_FIELDS if override[name] not in UNSET_VALUES]
        detail = " for " + "".join(subjects)
    begins = f" from {format_time(override['begins'], now)}" if override["begins"] > now else ""
    click.echo(f"{override['name']}: {override['kind']} {override['endpoint']}{detail}{begins}")
    click.echo(f"    until {format_time(override['until'], now)}, by {override['who']}: {override['why']}")
    if warning:
        click.echo(f"    no effect: {warning}")


@click.group()
def override() -> None:
    """Take endpoints out of service, weigh them or pin traffic to them, for a limited time."""


@override.command("set")
@click.argument("kind", type=click.Choice(["out", "weight", "pin"]))
@click.argument("endpoint")
@click.option(
    "--until",
    type=TimeParameter(),
    required=True,
    help="End: 22:30, +45m or ISO 8601; at most 7 days from the start.",
)
@click.option("--from", "begins", type=TimeParameter(), help="Start, in the same format; default: now.")
@click.option(
    "--weight", type=float, default=1.0, help="With weight: weight relative to other endpoints, up to 100."
)
@click.option(
    "--destination", type=int, default=-1, help="With pin: destination whose messages go to ENDPOINT."
)
@click.option("--tenant", default="", help="With pin: tenant whose messages go to ENDPOINT.")
@click.option("--key", default="", help="With pin: ordering key whose messages go to ENDPOINT.")
@AUTHOR_OPTION
@REASON_OPTION
@STATE_OPTION
@JSON_OPTION
def set_override(folder: Path, as_json: bool, begins: int | None, **fields: Any) -> None:  # noqa: ANN401
    """Take ENDPOINT out of service, set its weight, or pin a destination, tenant or key to it."""
    begins_us = now_us() if begins is None else begins
    value = request_value(folder, fields | {"do": "set", "begins": begins_us})
    if as_json:
        click.echo(json.dumps(value))
    else:
        print_override(value["override"], value["in_vain"])


@override.command("list")
@STATE_OPTION
@JSON_OPTION
def list_overrides(folder: Path, as_json: bool) -> None:
    """List all overrides with author, end and reason, and those without effect."""
    value = request_value(folder, {"do": "list"})
    if as_json:
        click.echo(json.dumps(value))
        return
    for entry in value["overrides"]:
        print_override(entry, value["in_vain"].get(entry["name"], ""))
    for destination in value["all_out"]:
        click.echo(f"all endpoints of destination {destination} are out of service")
    if not value["overrides"]:
        click.echo("no overrides")


@override.command()
@click.argument("name")
@AUTHOR_OPTION
@OPTIONAL_REASON_OPTION
@STATE_OPTION
def end(folder: Path, name: str, who: str, why: str) -> None:
    """End the override NAME now."""
    print_override(request_value(folder, {"do": "end", "name": name, "who": who, "why": why}))


@override.command()
@click.argument("name")
@click.option(
    "--until",
    type=TimeParameter(),
    required=True,
    help="New end: 22:30, +45m or ISO 8601; at most 7 days from the start.",
)
@AUTHOR_OPTION
@OPTIONAL_REASON_OPTION
@STATE_OPTION
def extend(folder: Path, name: str, until: int, who: str, why: str) -> None:
    """Change the end of the override NAME."""
    request = {"do": "extend", "name": name, "until": until, "who": who, "why": why}
    print_override(request_value(folder, request))


@click.command()
@click.option(
    "--confirm",
    is_flag=True,
    help="Confirm that the endpoint lists are correct, including their missing entries.",
)
@STATE_OPTION
@JSON_OPTION
def endpoints(folder: Path, as_json: bool, confirm: bool) -> None:
    """Show all endpoints with their listed state, override and breaker state, and the endpoint lists."""
    if confirm:
        is_confirmed = request_value(folder, {"do": "confirm"})
        click.echo("confirmed" if is_confirmed else "no entries to confirm")
        return
    value = request_value(folder, {"do": "endpoints"})
    if as_json:
        click.echo(json.dumps(value))
        return
    head = f"{'id':<16}{'dest':>6} {'listed':<9}{'override':<9}{'told':<9}{'breaker':<10}"
    click.echo(f"{head}{'ready ms':>9}{'out':>4}")
    for endpoint in value["endpoints"]:
        click.echo(format_endpoint(endpoint))
    for source in value["lists"]:
        click.echo(format_endpoint_list(source))


def format_endpoint(endpoint: Mapping[str, Any]) -> str:
    """Returns the table row of an endpoint that the control socket returned."""
    ready = "-" if endpoint.get("ready_ms") is None else f"{endpoint['ready_ms']:.0f}"
    return (
        f"{endpoint['id']:<16}{endpoint['destination']:>6} {endpoint['listed']:<9}"
        f"{endpoint['override'] or '-':<9}{endpoint['told']:<9}{endpoint.get('state', '-'):<10}"
        f"{ready:>9}{endpoint.get('out', 0):>4}"
    )


def format_endpoint_list(source: Mapping[str, Any]) -> str:
    """Returns the line on one source of endpoints, a file or a resolver."""
    age = "never valid" if source["age_s"] is None else f"{source['age_s']:.0f} s old"
    doubt = f", {len(source['doubted'])} unconfirmed" if source["doubted"] else ""
    return f"{source['file']}: {age}, {source['endpoints']} endpoints{doubt} {source['wrong']}".rstrip()


@click.command()
@click.argument("destination", type=int)
@click.option("--key", default="", help="The ordering key of the message.")
@STATE_OPTION
@JSON_OPTION
def explain(folder: Path, destination: int, key: str, as_json: bool) -> None:
    """Show which endpoint would receive a message now, and why the others would not."""
    value = request_value(folder, {"do": "explain", "destination": destination, "key": key})
    if as_json:
        click.echo(json.dumps(value))
        return
    click.echo(f"sent to {value['goes_to']}" if value["goes_to"] else "held")
    if value["waits_for"]:
        click.echo(f"    {value['waits_for']}")
    for name, reason in value["why_not"].items():
        click.echo(f"    not {name}: {reason}")
