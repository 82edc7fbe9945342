"""`message-sender override|endpoints|explain`: a running sender, asked and told over its control socket."""

import getpass
import json
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import click

from message_sender.control_socket import send_request
from message_sender.discovery.time_text import format_time, parse_time

STATE = click.option(
    "--state", "folder", type=click.Path(path_type=Path), required=True, help="The sender's state folder."
)
JSON = click.option("--json", "as_json", is_flag=True, help="As JSON.")
WHO = click.option("--who", default=getpass.getuser, help="Who it is that says so.", show_default="you")
WHY = click.option("--why", required=True, help="The reason, for whoever reads the list.")


def now_us() -> int:
    return time.time_ns() // 1000


class TimeParameter(click.ParamType[int]):
    """22:30, +45m or ISO."""

    name = "TIME"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> int:  # noqa: ANN401
        if isinstance(value, int):
            return value
        try:
            return parse_time(value, now_us())
        except (ValueError, OverflowError) as error:
            self.fail(str(error), param, ctx)


def tell(folder: Path, request: Mapping[str, Any]) -> Any:  # noqa: ANN401
    """The answer's value. What was refused is a line for each fault, and exit 1."""
    try:
        told = send_request(folder, request)
    except (OSError, ValueError) as error:
        raise click.ClickException(f"no sender answers in {folder}: {error}") from None
    if not told.get("ok"):
        raise click.ClickException("\n".join(map(str, told.get("faults", ["refused"]))))
    return told["value"]


def show_one(each: Mapping[str, Any], note: str = "") -> None:
    now = now_us()
    whose = [
        f"{name} {each[name]}" for name in ("destination", "tenant", "key") if each[name] not in (-1, "")
    ]
    what = {"weight": f" weight {each['weight']:g}", "pin": " for " + "".join(whose)}
    begins = f" from {format_time(each['begins'], now)}" if each["begins"] > now else ""
    click.echo(f"{each['name']}: {each['kind']} {each['endpoint']}{what.get(each['kind'], '')}{begins}")
    click.echo(f"    until {format_time(each['until'], now)}, by {each['who']}: {each['why']}")
    if note:
        click.echo(f"    does nothing: {note}")


@click.group()
def override() -> None:
    """Out of service, weights and pins, each with an end."""


@override.command("set")
@click.argument("kind", type=click.Choice(["out", "weight", "pin"]))
@click.argument("endpoint")
@click.option("--until", type=TimeParameter(), required=True, help="22:30, +45m or ISO; at most 7 days on.")
@click.option("--from", "begins", type=TimeParameter(), help="Now, if not given.")
@click.option("--weight", type=float, default=1.0, help="With weight: its share against the others', to 100.")
@click.option("--destination", type=int, default=-1, help="With pin: whose messages go to the endpoint.")
@click.option("--tenant", default="", help="With pin: or those of a tenant ...")
@click.option("--key", default="", help="... or of a key.")
@WHO
@WHY
@STATE
@JSON
def set_one(folder: Path, as_json: bool, begins: int | None, **told: Any) -> None:  # noqa: ANN401
    """Takes ENDPOINT out of service, weighs it, or pins a destination to it."""
    value = tell(folder, told | {"do": "set", "begins": now_us() if begins is None else begins})
    click.echo(json.dumps(value)) if as_json else show_one(value["override"], value["in_vain"])


@override.command("list")
@STATE
@JSON
def list_all(folder: Path, as_json: bool) -> None:
    """Who set what, until when, and what does nothing."""
    value = tell(folder, {"do": "list"})
    if as_json:
        click.echo(json.dumps(value))
        return
    for each in value["overrides"]:
        show_one(each, value["in_vain"].get(each["name"], ""))
    for destination in value["all_out"]:
        click.echo(f"all endpoints of destination {destination} are out of service")
    if not value["overrides"]:
        click.echo("no overrides")


@override.command()
@click.argument("name")
@WHO
@click.option("--why", default="", help="The reason.")
@STATE
def end(folder: Path, name: str, who: str, why: str) -> None:
    """Ends one now."""
    show_one(tell(folder, {"do": "end", "name": name, "who": who, "why": why}))


@override.command()
@click.argument("name")
@click.option(
    "--until",
    type=TimeParameter(),
    required=True,
    help="22:30, +45m or ISO; 7 days from its beginning at most.",
)
@WHO
@click.option("--why", default="", help="The reason.")
@STATE
def extend(folder: Path, name: str, until: int, who: str, why: str) -> None:
    """Moves its end."""
    show_one(tell(folder, {"do": "extend", "name": name, "until": until, "who": who, "why": why}))


@click.command()
@click.option("--confirm", is_flag=True, help="The lists are right, also in what they miss.")
@STATE
@JSON
def endpoints(folder: Path, as_json: bool, confirm: bool) -> None:
    """What is listed, what is overridden, and what is believed of each."""
    if confirm:
        click.echo("confirmed" if tell(folder, {"do": "confirm"}) else "nothing was doubted")
        return
    value = tell(folder, {"do": "endpoints"})
    if as_json:
        click.echo(json.dumps(value))
        return
    head = f"{'id':<16}{'dest':>6} {'listed':<9}{'override':<9}{'told':<9}{'breaker':<10}"
    click.echo(f"{head}{'ready ms':>9}{'out':>4}")
    for each in value["endpoints"]:
        ready = "-" if each.get("ready_ms") is None else f"{each['ready_ms']:.0f}"
        row = f"{each['id']:<16}{each['destination']:>6} {each['listed']:<9}{each['override'] or '-':<9}"
        click.echo(f"{row}{each['told']:<9}{each.get('state', '-'):<10}{ready:>9}{each.get('out', 0):>4}")
    for each in value["lists"]:
        age = "never in order" if each["age_s"] is None else f"{each['age_s']:.0f} s old"
        doubt = f", {len(each['doubted'])} doubted" if each["doubted"] else ""
        click.echo(f"{each['file']}: {age}, {each['endpoints']} endpoints{doubt} {each['wrong']}".rstrip())


@click.command()
@click.argument("destination", type=int)
@click.option("--key", default="", help="Of a message that keeps an order.")
@STATE
@JSON
def explain(folder: Path, destination: int, key: str, as_json: bool) -> None:
    """Where a message would go now, and why not elsewhere."""
    value = tell(folder, {"do": "explain", "destination": destination, "key": key})
    if as_json:
        click.echo(json.dumps(value))
        return
    click.echo(f"goes to {value['goes_to']}" if value["goes_to"] else "is held")
    if value["waits_for"]:
        click.echo(f"    {value['waits_for']}")
    for name, why in value["why_not"].items():
        click.echo(f"    not {name}: {why}")
