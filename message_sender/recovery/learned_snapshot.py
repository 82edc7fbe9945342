"""What a sender has learned of its destinations, put on the disk now and then, and believed by its age.

One file of one checked record (journal/records.py), replaced in one step. It is made in steps of a bounded
number of destinations a tick, so that ten thousand of them cost no turn; beyond `MOST` those heard of last
are kept. What cannot be read is dropped: all of it can be learned anew.
"""

import json
import logging
import math
from collections.abc import Callable, Sequence
from functools import partial
from pathlib import Path
from typing import Any

from message_sender.journal import records
from message_sender.journal.disk import Disk
from message_sender.policy.events import InheritedState
from message_sender.recovery.trust import Confidence, StartConditions

FILE, FRESH = "learned", "learned.new"
MOST = 4096  # breakers
STEP = 256  # breakers a tick
EVERY = 1.0  # s between two snapshots, from the end of one to the beginning of the next
#: What is believed of a breaker, by the kind of knowledge that it is.
FIELDS = {
    "breakers": ("failures", "trial_at", "sick", "unserved"),
    "gaps": ("gap", "gap_changed"),
    "warm-ups": ("cold_since", "last_sent", "last_served", "served_sent"),
    "usual rates": ("calls", "span", "took", "spread", "known"),
    "told waits": ("wait_until",),
}
#: Of these the higher one is the more careful.
MORE = frozenset({"failures", "gap", "wait_until", "cold_since", "trial_at", "unserved", "sick"})
TIMES = frozenset(
    {"trial_at", "gap_changed", "cold_since", "last_sent", "last_served", "served_sent", "wait_until"}
)

log = logging.getLogger(__name__)
Breakers = tuple[tuple[int, str, dict[str, float]], ...]
Known = tuple[int, str, Any]  # destination, route, its breaker


def finite(values: dict[str, float]) -> dict[str, float]:
    """JSON has no infinity; a field at its default is not told."""
    return {name: value for name, value in values.items() if math.isfinite(value)}


def encode(at: int, breakers: Breakers) -> bytes:
    told = [[number, route, finite(values)] for number, route, values in breakers]
    return records.frame_record(json.dumps({"learned": 1, "at": at, "breakers": told}).encode(), 0)


def decode(data: bytes) -> tuple[int, Breakers] | None:
    """When it was made, us, and what it tells; None: it cannot be read."""
    record = records.parse_record(data, 0)
    if record is None or record.payload.get("learned") != 1:
        return None
    try:
        told = [
            (int(n), str(r), {k: float(v) for k, v in x.items()}) for n, r, x in record.payload["breakers"]
        ]
        return int(record.payload["at"]), tuple(told)
    except (KeyError, TypeError, ValueError, AttributeError):
        return None


def believed(at: int, breakers: Breakers, start: StartConditions, now: int) -> InheritedState:
    """What of it is believed at `now`, on a clock that goes on from the latest time on record. Times are
    moved to that clock where nobody knows how much time has passed: what was to last is to last from now
    on."""
    shift = now - at if start.passed is None else 0
    age = 0 if start.passed is None else max(now - at, 0)
    found = []
    for number, route, values in breakers:
        kept: dict[str, float] = {}
        for kind, names in FIELDS.items():
            belief = start.belief(kind, age)
            if belief is Confidence.DROPPED:
                continue
            for name in names:
                if name in values and (belief is Confidence.BELIEVED or name in MORE):
                    kept[name] = values[name] + (shift if name in TIMES else 0)
        if "failures" in kept and "trial_at" not in kept:
            kept["trial_at"] = now
        found.append((number, route, kept))
    return InheritedState(breakers=tuple(found))


class LearnedSnapshots:
    """Asked a few times a second by `tick`, from the loop."""

    def __init__(
        self,
        folder: Path,
        disk: Disk,
        known: Callable[[], Sequence[Known]],
        fields: Callable[[Any], dict[str, float]],
        now: Callable[[], int],
        sync: bool,
    ) -> None:
        """`known`: the breakers to be kept, MOST at the most; `fields` tells one; `now`: us."""
        self.folder, self.disk, self.known, self.fields = folder, disk, known, fields
        self.now, self.sync = now, sync
        self.left: list[Known] = []
        self.made: list[tuple[int, str, dict[str, float]]] = []
        self.next_at = 0
        self.writing = False

    def read(self) -> tuple[int, Breakers] | None:
        data = self.disk.read(self.folder / FILE)
        found = decode(data) if data else None
        if data and found is None:
            log.error("what was learned before cannot be read and is dropped: %d bytes", len(data))
        return found

    def tick(self) -> Callable[[], None] | None:
        """A step; a job for the disk when one is whole, to be told of by `wrote`."""
        if self.writing or self.now() < self.next_at:
            return None
        if not self.left:
            self.left = list(self.known())
        step, self.left = self.left[:STEP], self.left[STEP:]
        self.made += [(number, route, finite(self.fields(each))) for number, route, each in step]
        if self.left:
            return None
        made, self.made = tuple(self.made), []
        self.writing = True
        return partial(self.write, encode(self.now(), made))

    def write(self, data: bytes) -> None:
        """Away from the loop."""
        file = self.disk.open(self.folder / FRESH, fresh=True)
        try:
            self.disk.write(file, data)
            if self.sync:
                self.disk.sync(file)
        finally:
            self.disk.close(file)
        self.disk.replace(self.folder / FRESH, self.folder / FILE)
        if self.sync:
            self.disk.sync_folder(self.folder)

    def wrote(self) -> None:
        self.writing, self.next_at = False, self.now() + int(EVERY * 1e6)
