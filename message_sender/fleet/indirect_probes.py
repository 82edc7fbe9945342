"""Probes that a member sends on behalf of others. Pure."""

from dataclasses import dataclass

INDIRECT_PROBES_LIMIT = 64


@dataclass(frozen=True, slots=True)
class IndirectProbe:
    """A probe on behalf of `requester`, which knows it under `number`."""

    requester: str
    number: int


class IndirectProbeTable:
    """The latest probes on behalf of others, by a number of their own."""

    def __init__(self) -> None:
        """Creates an empty table."""
        self._number = 0
        self._probes: dict[int, IndirectProbe] = {}

    def add(self, requester: str, number: int) -> int:
        """Adds a probe and returns its own number; the oldest one is dropped if there are too many."""
        self._number += 1
        self._probes[self._number] = IndirectProbe(requester, number)
        if len(self._probes) > INDIRECT_PROBES_LIMIT:
            del self._probes[next(iter(self._probes))]
        return self._number

    def take(self, number: int) -> IndirectProbe | None:
        """Removes the probe with this own number and returns it, or None if it is unknown."""
        return self._probes.pop(number, None)
