"""An inventory of a sender's destinations for operators: state, age and memory of each. No decision uses it.

The inventory file is one JSON object: `at` (Unix seconds) and `destinations` (objects with the fields of
`DestinationRecord`, ordered by number). The file is replaced atomically: a reader never sees a partial file.
"""

import json
import sys
from collections.abc import Iterator
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from message_sender.files import replace_json
from message_sender.policy.breaker import NEVER, Breaker
from message_sender.policy.destination import Destination
from message_sender.policy.dispatcher import Dispatcher

FILE_NAME = "destinations.json"
#: States of breakers, the most severe first.
SEVERITY_ORDER = ("open", "half-open", "waits", "warming", "closed")


@dataclass(frozen=True, slots=True)
class DestinationRecord:
    """One destination. The field names are written to the file.

    Attributes:
        number: Number of the destination.
        state: listed (never used), asleep (its breakers were removed when it was idle), or the most severe
            state of its breakers: open, half-open, waits (for a Retry-After), warming (slow start), closed.
        endpoints: Number of listed endpoints.
        held: Number of messages that wait.
        out: Number of calls in flight.
        silent_s: Seconds since the last call; None if there was none.
        gap_ms: Minimum interval between calls in milliseconds; the longest of its routes.
        bytes: Size by `sys.getsizeof` of the objects that belong to this destination alone; strings and
            shared objects are not counted.
    """

    number: int
    state: str
    endpoints: int
    held: int
    out: int
    silent_s: float | None
    gap_ms: float
    bytes: int


def inventory(dispatcher: Dispatcher, now: int) -> list[DestinationRecord]:
    """All destinations, ordered by number. `now`: microseconds on the policy's clock."""
    return [destination_record(each, now) for _, each in sorted(dispatcher.destinations.items())]


def destination_record(destination: Destination, now: int) -> DestinationRecord:
    """The record of one destination. `now`: microseconds on the policy's clock."""
    breakers = list((destination.breakers_by_route or {}).values())
    last_used = max((each.last_sent for each in breakers), default=-NEVER)
    if last_used == -NEVER and destination.inactive_since is not None:
        last_used = destination.inactive_since
    gaps = [max(each.gap, each.warm_up_gap(now)) for each in breakers]
    return DestinationRecord(
        number=destination.number,
        state=destination_state(destination, now),
        endpoints=len(destination.endpoints),
        held=len(destination.pending or ()),
        out=sum(each.in_flight for each in breakers),
        silent_s=None if last_used == -NEVER else round((now - last_used) / 1e6, 3),
        gap_ms=round(max(gaps, default=0.0) / 1e3, 1),
        bytes=sum(sys.getsizeof(each) for each in owned_objects(destination)),
    )


def destination_state(destination: Destination, now: int) -> str:
    """The state of a destination; with several routes, the most severe state."""
    if destination.breakers_by_route is None:
        return "listed" if destination.inactive_since is None else "asleep"
    states = [breaker_state(each, now) for each in destination.breakers_by_route.values()]
    return min(states, key=SEVERITY_ORDER.index, default="closed")


def breaker_state(breaker: Breaker, now: int) -> str:
    """The state of a breaker, one of `SEVERITY_ORDER`. `now`: microseconds on the policy's clock."""
    if breaker.is_open():
        return "half-open" if breaker.trial else "open"
    if breaker.wait_until > now:
        return "waits"
    return "warming" if breaker.warm_up_gap(now) else "closed"


def owned_objects(destination: Destination) -> Iterator[object]:
    """Yields the objects that belong to this destination alone."""
    yield destination
    for part in (
        destination.endpoints,
        destination.breakers_by_route,
        destination.breakers,
        destination.pending,
        destination.ready_groups,
    ):
        if part is not None:
            yield part
    for endpoint in destination.endpoints:
        yield from (endpoint, endpoint.listed)
    for breaker in (destination.breakers_by_route or {}).values():
        yield from (breaker, breaker.on_time_calls, breaker.overdue_calls)
    yield from (destination.pending or {}).values()
    for group in (destination.ready_groups or {}).values():
        yield from (group, group.messages)


def write(dispatcher: Dispatcher, now: int, folder: Path) -> Path:
    """Writes the inventory file.

    Args:
        dispatcher: The policy.
        now: Microseconds on the policy's clock.
        folder: The folder of the file.

    Returns:
        The path of the file.

    Raises:
        OSError: The file could not be written.
    """
    path = folder / FILE_NAME
    destinations = [asdict(each) for each in inventory(dispatcher, now)]
    replace_json(path, {"at": now / 1e6, "destinations": destinations}, sync=False)
    return path


def read(path: Path) -> tuple[float, list[DestinationRecord]]:
    """Reads an inventory file.

    Args:
        path: The file or its folder.

    Returns:
        When the file was written, in Unix seconds, and its records.

    Raises:
        OSError: The file cannot be read.
        ValueError: The content is not an inventory; the text is one line.
    """
    file = path / FILE_NAME if path.is_dir() else path
    try:
        content: dict[str, Any] = json.loads(file.read_text())
        return float(content["at"]), [DestinationRecord(**each) for each in content["destinations"]]
    except (KeyError, TypeError, AttributeError, ValueError) as error:
        raise ValueError(f"{file} is not a destination inventory: {' '.join(str(error).split())}") from None
