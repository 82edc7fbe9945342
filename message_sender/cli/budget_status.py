"""Formats a shared budget, as one sender's control socket returns it, as text. Pure."""

from collections.abc import Mapping
from typing import Any

from message_sender.cli.fleet_status import format_duration

UNITS = {
    "calls": "calls",
    "in_flight": "calls out at once",
    "trials": "trials at once",
    "repeats": "repeats",
    "connections": "connections",
    "handshakes": "new connections",
    "tenant": "messages",
}


def format_limit(budget: Mapping[str, Any]) -> str:
    """Returns the budget's limit with its unit, and the period of a rate."""
    limit = f"{budget['whole']} {UNITS[budget['of']]}"
    if budget["per_ms"]:
        limit += f" in {budget['per_ms']:g} ms"
    return limit


def format_budget(name: str, budget: Mapping[str, Any], with_reasons: bool = False) -> list[str]:
    """Returns the lines on one budget.

    Args:
        name: Of the budget.
        budget: Its entry in the value of the response to `budgets`.
        with_reasons: Adds why the member has its share.
    """
    holder = f"kept by {budget['keeper']}"
    if not budget["keeper"]:
        holder = "kept by nobody, as far as is known"
    lines = [
        f"{name}: {format_limit(budget)}, {holder}",
        f"  this one may spend {budget['part']}, needs {budget['needed']}, has {budget['in_use']} in use, "
        f"spent {budget['spent']} since its start; "
        f"its lease is over in {format_duration(budget['lease_left_s'])}",
    ]
    lines += [format_lease(member, lease) for member, lease in budget["by_member"].items()]
    if budget["keeps"]:
        granted = sum(lease["granted"] for lease in budget["by_member"].values())
        spare = budget["whole"] - budget["floor"] * budget["size"] - granted
        lines.append(f"  {'nobody':<12} {spare:>6} not given out")
    lines += [f"  refused: {count} words, {reason}" for reason, count in budget["refused"].items()]
    if with_reasons:
        lines += format_reasons(budget)
    return lines


def format_lease(member: str, lease: Mapping[str, Any]) -> str:
    """Returns the line on the lease of one member."""
    needed = "?" if lease["needed"] is None else lease["needed"]
    remaining = format_duration(lease["left_s"])
    return f"  {member:<12} {lease['granted']:>6} granted, {needed} needed, {remaining} left"


def format_reasons(budget: Mapping[str, Any]) -> list[str]:
    """Returns the lines on why the member has its share, and on recent changes of it."""
    lines = []
    if budget["spends_in_s"]:
        delay = format_duration(budget["spends_in_s"])
        lines.append(f"  it spends nothing for {delay}: its life before may have")
    if budget["silent_s"]:
        delay = format_duration(budget["silent_s"])
        lines.append(f"  it promises nobody for {delay}: its life before may have")
    if not budget["keeper"]:
        lines.append(f"  nobody is known to have more than half of {budget['size']} members: floors alone")
    if budget["gives_in_s"]:
        delay = format_duration(budget["gives_in_s"])
        lines.append(f"  it keeps it, and gives nothing for {delay}: others may have")
    return lines + [f"  {at_s:8.2f} s {text}" for at_s, text in budget["changes"]]
