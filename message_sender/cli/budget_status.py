"""Formats a shared budget, as returned by the control socket of a sender, as text. Pure."""

from collections.abc import Mapping
from typing import Any

from message_sender.cli.fleet_status import format_duration

UNITS = {
    "calls": "calls",
    "in_flight": "calls in flight",
    "trials": "concurrent trials",
    "repeats": "retries",
    "connections": "connections",
    "handshakes": "new connections",
    "tenant": "messages",
}


def format_limit(budget: Mapping[str, Any]) -> str:
    """Returns the limit of a budget with its unit, and for a rate limit its period."""
    limit = f"{budget['whole']} {UNITS[budget['of']]}"
    if budget["per_ms"]:
        limit += f" in {budget['per_ms']:g} ms"
    return limit


def format_budget(name: str, budget: Mapping[str, Any], with_reasons: bool = False) -> list[str]:
    """Returns the lines that describe one budget.

    Args:
        name: The name of the budget.
        budget: The entry of the budget in the response to `budgets`.
        with_reasons: Adds the reasons for the grant of the member.
    """
    holder = f"granted by {budget['keeper']}"
    if not budget["keeper"]:
        holder = "no grantor is known"
    lines = [
        f"{name}: {format_limit(budget)}, {holder}",
        f"  this member: granted {budget['part']}, needed {budget['needed']}, in use {budget['in_use']}, "
        f"spent {budget['spent']} since its start; "
        f"its lease ends in {format_duration(budget['lease_left_s'])}",
    ]
    lines += [format_lease(member, lease) for member, lease in budget["by_member"].items()]
    if budget["keeps"]:
        granted = sum(lease["granted"] for lease in budget["by_member"].values())
        spare = budget["whole"] - budget["floor"] * budget["size"] - granted
        lines.append(f"  {'unassigned':<12} {spare:>6}")
    lines += [
        f"  refused: {count} messages between members, {reason}"
        for reason, count in budget["refused"].items()
    ]
    if with_reasons:
        lines += format_reasons(budget)
    return lines


def format_lease(member: str, lease: Mapping[str, Any]) -> str:
    """Returns the line that describes the lease of one member."""
    needed = "?" if lease["needed"] is None else lease["needed"]
    remaining = format_duration(lease["left_s"])
    return f"  {member:<12} {lease['granted']:>6} granted, {needed} needed, {remaining} left"


def format_reasons(budget: Mapping[str, Any]) -> list[str]:
    """Returns the lines that give the reasons for the grant of the member, and its recent changes."""
    lines = []
    if budget["spends_in_s"]:
        delay = format_duration(budget["spends_in_s"])
        lines.append(f"  spends nothing for {delay}: a grant of its previous session may be valid")
    if budget["silent_s"]:
        delay = format_duration(budget["silent_s"])
        lines.append(f"  supports no grantor for {delay}: a promise of its previous session may be valid")
    if not budget["keeper"]:
        lines.append(f"  no grantor with a majority of {budget['size']} members is known: floor grants only")
    if budget["gives_in_s"]:
        delay = format_duration(budget["gives_in_s"])
        lines.append(
            f"  is the grantor, but grants nothing for {delay}: grants of an earlier grantor may be valid"
        )
    return lines + [f"  {at_s:8.2f} s {text}" for at_s, text in budget["changes"]]
