"""What a sender keeps for each destination: its state, age and size. For people; nothing is decided by it.

A file of it is one JSON object: `at` (Unix seconds), `destinations` (objects as `DestinationRecord`, in the
order of their numbers). It is replaced in one step, so that who reads it never sees half of one.
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


@dataclass(frozen=True, slots=True)
class DestinationRecord:
    number: int
    state: str  # listed, asleep, or awake: closed, open, half-open, waits, warming
    endpoints: int
    held: int
    out: int
    silent_s: float | None  # since the last call; none if there was none
    gap_ms: float  # between calls, the widest of its routes'
    bytes: int  # of the objects kept for it alone, by sys.getsizeof; texts and what is shared are not counted


def inventory(dispatcher: Dispatcher, now: int) -> list[DestinationRecord]:
    """`now` in us, on the module's clock."""
    return [kept(each, now) for _, each in sorted(dispatcher.destinations.items())]


def kept(at: Destination, now: int) -> DestinationRecord:
    own = list((at.breakers_by_route or {}).values())
    used = max((each.last_sent for each in own), default=-NEVER)
    if used == -NEVER and at.inactive_since is not None:
        used = at.inactive_since
    gaps = [max(each.gap, each.warm_up_gap(now)) for each in own]
    return DestinationRecord(
        number=at.number,
        state=state_of(at, now),
        endpoints=len(at.endpoints),
        held=len(at.pending or ()),
        out=sum(each.in_flight for each in own),
        silent_s=None if used == -NEVER else round((now - used) / 1e6, 3),
        gap_ms=round(max(gaps, default=0.0) / 1e3, 1),
        bytes=sum(sys.getsizeof(each) for each in objects(at)),
    )


def state_of(at: Destination, now: int) -> str:
    """Of several routes the most troubled speaks."""
    if at.breakers_by_route is None:
        return "listed" if at.inactive_since is None else "asleep"
    states = [breaker_state(each, now) for each in at.breakers_by_route.values()]
    return min(states, key=ORDER.index, default="closed")


ORDER = ("open", "half-open", "waits", "warming", "closed")


def breaker_state(breaker: Breaker, now: int) -> str:
    if breaker.is_open():
        return "half-open" if breaker.trial else "open"
    if breaker.wait_until > now:
        return "waits"
    return "warming" if breaker.warm_up_gap(now) else "closed"


def objects(at: Destination) -> Iterator[object]:
    yield at
    for part in (at.endpoints, at.breakers_by_route, at.breakers, at.pending, at.ready_groups):
        if part is not None:
            yield part
    for endpoint in at.endpoints:
        yield from (endpoint, endpoint.listed)
    for breaker in (at.breakers_by_route or {}).values():
        yield from (breaker, breaker.on_time_calls, breaker.overdue_calls)
    yield from (at.pending or {}).values()
    for group in (at.ready_groups or {}).values():
        yield from (group, group.messages)


def write(dispatcher: Dispatcher, now: int, folder: Path) -> Path:
    """Writes the file into the folder and gives its path. Raises OSError."""
    path = folder / FILE
    told = {"at": now / 1e6, "destinations": [asdict(each) for each in inventory(dispatcher, now)]}
    replace_json(path, told, sync=False)
    return path


def read(path: Path) -> tuple[float, list[DestinationRecord]]:
    """When it was written, and what it says; `path` is the file or its folder. Raises OSError where it cannot
    be read, and ValueError, in one line, where it is something else."""
    file = path / FILE if path.is_dir() else path
    try:
        told: dict[str, Any] = json.loads(file.read_text())
        return float(told["at"]), [DestinationRecord(**each) for each in told["destinations"]]
    except (KeyError, TypeError, AttributeError, ValueError) as error:
        raise ValueError(f"{file} is no file of destinations: {' '.join(str(error).split())}") from None
