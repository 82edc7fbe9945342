"""Probes that this member sends on behalf of other members. Pure."""

from dataclasses import dataclass

INDIRECT_PROBES_LIMIT = 64


@dataclass(frozen=True, slots=True)
class IndirectProbe:
    """A probe on behalf of `requester`; `number` is the requester's number of it."""

    requester: str
    number: int


class IndirectProbeTable:
    """The latest probes sent on behalf of other members, by local probe number."""

    def __init__(self) -> None:
        """Creates an empty table."""
        self._number = 0
        self._probes: dict[int, IndirectProbe] = {}

    def add(self, requester: str, number: int) -> int:
        """Adds a probe and returns its local number; above `INDIRECT_PROBES_LIMIT` the oldest is dropped."""
        self._number += 1
        self._probes[self._number] = IndirectProbe(requester, number)
        if len(self._probes) > INDIRECT_PROBES_LIMIT:
            del self._probes[next(iter(self._probes))]
        return self._number

    def take(self, number: int) -> IndirectProbe | None:
        """Removes and returns the probe with this local number; None if there is none."""
        return self._probes.pop(number, None)
