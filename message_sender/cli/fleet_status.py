"""Formats the state of a fleet, as one sender's control socket returns it, as text. Pure."""

from collections.abc import Mapping
from typing import Any

REACHABILITY = {True: "up", False: "down", None: "unknown"}


def format_duration(duration_s: float | None) -> str:
    """Returns seconds as text; `never` for None."""
    return "never" if duration_s is None else f"{duration_s:.1f} s"


def format_fleet(status: Mapping[str, Any]) -> list[str]:
    """Returns the lines on members, destinations, faults and the history of stages.

    Args:
        status: The value of the response to `fleet`; empty for a sender outside a fleet.
    """
    if not status:
        return ["it has no [fleet]: it serves alone"]
    lines = [f"as {status['name']} sees it"]
    lines += [format_member(name, member) for name, member in status["members"].items()]
    lines += [format_destination(number, state) for number, state in status["destinations"].items()]
    if status["behind"]:
        lines.append("  its disk was old or empty: others know a later start of its name")
    if status["namesake"]:
        lines.append(f"  another member at {status['namesake']} uses its name")
    for name, (owner, certainty) in status["doubtful"].items():
        lines.append(f"  {name} is known to {owner} ({certainty}): it may have run")
    lines += [f"  refused: {count} datagrams, {reason}" for reason, count in status["refused"].items()]
    lines += [f"  {at_s:8.2f} s {stage}: {reason}" for at_s, stage, reason in status["history"]]
    return lines


def format_member(name: str, member: Mapping[str, Any]) -> str:
    """Returns the line on one member: the sender itself, which states a reason, or another one."""
    owed = "?" if member["owed"] is None else member["owed"]
    if "why" in member:
        detail = f": {member['why']}, {format_duration(member['since_s'])} ago"
    else:
        detail = f", heard {format_duration(member['said_s'])} ago"
    return f"  {name:<12} {member['state']:<8} {member['stage']:<8} owes {owed}{detail}"


def format_destination(number: str, destination: Mapping[str, Any]) -> str:
    """Returns the line on one destination."""
    state = REACHABILITY[destination["up"]]
    callers = ", ".join(destination["tried_by"]) or "nobody"
    wait = f", to be left alone for {destination['wait_s']:.1f} s" if destination["wait_s"] else ""
    age = format_duration(destination["age_s"])
    return f"  destination {number}: {state}, seen {age} ago{wait}; tried by {callers}"
