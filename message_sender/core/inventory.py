"""What a sender keeps for each destination: its state, age and size; for people. Nothing is decided by it.

A file of it is one JSON object: `at` (Unix seconds) and `destinations` (objects with the fields of
`DestinationRecord`, in the order of their numbers). It is replaced in one step, so that who reads it never
sees half of one.
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

FILE = "destinations.json"
#: States of breakers, the most troubled first.
ORDER = ("open", "half-open", "waits", "warming", "closed")


@dataclass(frozen=True, slots=True)
class DestinationRecord:
    """One destination. The names of its fields are those in the file.

    Attributes:
        number: Of the destination.
        state: listed, asleep, or of its breakers: closed, open, half-open, waits, warming.
        endpoints: How many are listed.
        held: Messages that wait.
        out: Calls in flight.
        silent_s: Since the last call; None if there was none.
        gap_ms: Between calls, the widest of its routes'.
        bytes: Of the objects kept for it alone, by `sys.getsizeof`; texts and what is shared are not counted.
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
    """All destinations by number. `now`: microseconds on the policy's clock."""
    return [record_of(each, now) for _, each in sorted(dispatcher.destinations.items())]


def record_of(destination: Destination, now: int) -> DestinationRecord:
    """What is kept for one destination."""
    breakers = list((destination.breakers_by_route or {}).values())
    last_used = max((each.last_sent for each in breakers), default=-NEVER)
    if last_used == -NEVER and destination.inactive_since is not None:
        last_used = destination.inactive_since
    gaps = [max(each.gap, each.warm_up_gap(now)) for each in breakers]
    return DestinationRecord(
        number=destination.number,
        state=state_of(destination, now),
        endpoints=len(destination.endpoints),
        held=len(destination.pending or ()),
        out=sum(each.in_flight for each in breakers),
        silent_s=None if last_used == -NEVER else round((now - last_used) / 1e6, 3),
        gap_ms=round(max(gaps, default=0.0) / 1e3, 1),
        bytes=sum(sys.getsizeof(each) for each in objects_of(destination)),
    )


def state_of(destination: Destination, now: int) -> str:
    """The destination's state; of several routes the most troubled one's."""
    if destination.breakers_by_route is None:
        return "listed" if destination.inactive_since is None else "asleep"
    states = [breaker_state(each, now) for each in destination.breakers_by_route.values()]
    return min(states, key=ORDER.index, default="closed")


def breaker_state(breaker: Breaker, now: int) -> str:
    """One of `ORDER`."""
    if breaker.is_open():
        return "half-open" if breaker.trial else "open"
    if breaker.wait_until > now:
        return "waits"
    return "warming" if breaker.warm_up_gap(now) else "closed"


def objects_of(destination: Destination) -> Iterator[object]:
    """The objects that are kept for the destination alone."""
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
    """Writes the file into the folder and returns its path.

    Raises:
        OSError: It could not be written.
    """
    path = folder / FILE
    destinations = [asdict(each) for each in inventory(dispatcher, now)]
    replace_json(path, {"at": now / 1e6, "destinations": destinations}, sync=False)
    return path


def read(path: Path) -> tuple[float, list[DestinationRecord]]:
    """When the file was written, and its records.

    Args:
        path: The file or its folder.

    Raises:
        OSError: It cannot be read.
        ValueError: It is something else; the text is one line.
    """
    file = path / FILE if path.is_dir() else path
    try:
        content: dict[str, Any] = json.loads(file.read_text())
        return float(content["at"]), [DestinationRecord(**each) for each in content["destinations"]]
    except (KeyError, TypeError, AttributeError, ValueError) as error:
        raise ValueError(f"{file} is no file of destinations: {' '.join(str(error).split())}") from None
