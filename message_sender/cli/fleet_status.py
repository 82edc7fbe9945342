"""Formats the state of a fleet, as returned by the control socket of a sender, as text. Pure."""

from collections.abc import Mapping
from typing import Any

REACHABILITY = {True: "up", False: "down", None: "unknown"}


def format_duration(duration_s: float | None) -> str:
    """Returns a duration in seconds as text; `never` for None."""
    return "never" if duration_s is None else f"{duration_s:.1f} s"


def format_fleet(status: Mapping[str, Any]) -> list[str]:
    """Returns the lines on members, destinations, faults and past stages.

    Args:
        status: The value of the response to `fleet`; empty for a sender without a fleet.
    """
    if not status:
        return ["no [fleet] section in the configuration: the sender runs alone"]
    lines = [f"as reported by {status['name']}"]
    lines += [format_member(name, member) for name, member in status["members"].items()]
    lines += [format_destination(number, state) for number, state in status["destinations"].items()]
    if status["behind"]:
        lines.append("  old or empty disk: other members know a later start under this name")
    if status["namesake"]:
        lines.append(f"  name conflict: another member at {status['namesake']} uses the same name")
    for name, (owner, certainty) in status["doubtful"].items():
        lines.append(f"  {name} is known to {owner} ({certainty}) and may have run")
    lines += [f"  rejected: {count} datagrams, {reason}" for reason, count in status["refused"].items()]
    lines += [f"  {at_s:8.2f} s {stage}: {reason}" for at_s, stage, reason in status["history"]]
    return lines


def format_member(name: str, member: Mapping[str, Any]) -> str:
    """Returns the line on one member; only the reporting sender states the reason for its stage."""
    owed = "?" if member["owed"] is None else member["owed"]
    if "why" in member:
        detail = f": {member['why']}, {format_duration(member['since_s'])} ago"
    else:
        detail = f", last update {format_duration(member['said_s'])} ago"
    return f"  {name:<12} {member['state']:<8} {member['stage']:<8} {owed} not completed{detail}"


def format_destination(number: str, destination: Mapping[str, Any]) -> str:
    """Returns the line on one destination."""
    state = REACHABILITY[destination["up"]]
    callers = ", ".join(destination["tried_by"]) or "no member"
    wait = f", Retry-After {destination['wait_s']:.1f} s" if destination["wait_s"] else ""
    age = format_duration(destination["age_s"])
    return f"  destination {number}: {state}, seen {age} ago{wait}; tried by {callers}"
