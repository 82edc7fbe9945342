"""Faults of a cluster as data: drawn by a test or read from a scenario file."""

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a scenario.

    Attributes:
        at: When it happens, in seconds from the start of the scenario.
        action: The method of `Cluster` that is called, or else that of its `Relay`.
        members: The positional arguments: names of members, none for all.
        arguments: The keyword arguments.
    """

    at: float
    action: str
    members: tuple[str, ...] = ()
    arguments: tuple[tuple[str, Any], ...] = ()


def load_faults(path: Path) -> list[Fault]:
    """Read the faults of a scenario file, in the order of their times.

    Each is a table with `at`, `do`, optionally `who`, and the arguments of the action.
    """
    faults = []
    for table in tomllib.loads(path.read_text())["faults"]:
        at = table.pop("at")
        action = table.pop("do")
        members = tuple(table.pop("who", ()))
        faults.append(Fault(at, action, members, tuple(sorted(table.items()))))
    return sorted(faults, key=lambda fault: fault.at)
