"""What a sender has learned of its destinations, written to the disk now and then, and believed by its age.

One file of one checked record (journal/records.py), replaced in one step. It is made in steps of a bounded
number of destinations, so that ten thousand of them cost no iteration of the loop; beyond MAX_BREAKERS those
heard of last are kept. What cannot be read is dropped: all of it can be learned again.
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
from message_sender.recovery.trust import Confidence, KnowledgeKind, StartConditions

LEARNED_FILE = "learned"
NEW_LEARNED_FILE = "learned.new"
MAX_BREAKERS = 4096
BREAKERS_PER_STEP = 256
SNAPSHOT_INTERVAL_S = 1.0  # from the end of one snapshot to the beginning of the next
#: Fields of a breaker, by the kind of knowledge that they are.
FIELDS_BY_KIND = {
    KnowledgeKind.BREAKERS: ("failures", "trial_at", "sick", "unserved"),
    KnowledgeKind.GAPS: ("gap", "gap_changed"),
    KnowledgeKind.WARM_UPS: ("cold_since", "last_sent", "last_served", "served_sent"),
    KnowledgeKind.USUAL_RATES: ("calls", "span", "took", "spread", "known"),
    KnowledgeKind.RETRY_AFTER: ("wait_until",),
}
#: Of these the higher value is the more careful.
HIGHER_IS_MORE_CAREFUL = frozenset(
    {"failures", "gap", "wait_until", "cold_since", "trial_at", "unserved", "sick"}
)
TIME_FIELDS = frozenset(
    {"trial_at", "gap_changed", "cold_since", "last_sent", "last_served", "served_sent", "wait_until"}
)

log = logging.getLogger(__name__)

BreakerValues = dict[str, float]  # by field
Breakers = tuple[tuple[int, str, BreakerValues], ...]  # destination, route, values
KnownBreaker = tuple[int, str, Any]  # destination, route, its breaker


def without_infinities(values: BreakerValues) -> BreakerValues:
    """Returns the finite values: JSON has no infinity, and such a field is at its default."""
    return {name: value for name, value in values.items() if math.isfinite(value)}


def encode(at_us: int, breakers: Breakers) -> bytes:
    """Returns the content of a snapshot made at `at_us`."""
    rows = [[number, route, without_infinities(values)] for number, route, values in breakers]
    return records.frame_record(json.dumps({"learned": 1, "at": at_us, "breakers": rows}).encode(), 0)


def decode(data: bytes) -> tuple[int, Breakers] | None:
    """Returns when a snapshot was made, us, and its breakers; None: it cannot be read."""
    record = records.parse_record(data, 0)
    if record is None or record.payload.get("learned") != 1:
        return None
    try:
        breakers = tuple(
            (int(number), str(route), {name: float(value) for name, value in values.items()})
            for number, route, values in record.payload["breakers"]
        )
        return int(record.payload["at"]), breakers
    except (KeyError, TypeError, ValueError, AttributeError):
        return None


def restore_believed(
    at_us: int, breakers: Breakers, conditions: StartConditions, now_us: int
) -> InheritedState:
    """Returns what of a snapshot is believed.

    Times are moved to the clock of now where nobody knows how much time has passed: what was to last is to
    last from now on.

    Args:
        at_us: When the snapshot was made.
        breakers: Its content.
        conditions: Of the start.
        now_us: A clock that goes on from the latest time on record.
    """
    is_time_unknown = conditions.elapsed_us is None
    shift_us = now_us - at_us if is_time_unknown else 0
    age_us = 0 if is_time_unknown else max(now_us - at_us, 0)
    confidences = {kind: conditions.confidence_in(kind, age_us) for kind in FIELDS_BY_KIND}
    restored = []
    for number, route, values in breakers:
        believed = _believed_values(values, confidences, shift_us)
        if "failures" in believed and "trial_at" not in believed:
            believed["trial_at"] = now_us
        restored.append((number, route, believed))
    return InheritedState(breakers=tuple(restored))


def _believed_values(
    values: BreakerValues, confidences: dict[KnowledgeKind, Confidence], shift_us: int
) -> BreakerValues:
    believed: BreakerValues = {}
    for kind, names in FIELDS_BY_KIND.items():
        if confidences[kind] is Confidence.DROPPED:
            continue
        is_believed = confidences[kind] is Confidence.BELIEVED
        for name in names:
            if name in values and (is_believed or name in HIGHER_IS_MORE_CAREFUL):
                believed[name] = values[name] + (shift_us if name in TIME_FIELDS else 0)
    return believed


class LearnedSnapshots:
    """Makes snapshots; `step` is called a few times a second from the loop.

    Attributes:
        folder, disk: Where they are written.
        list_breakers: Returns the breakers to be kept, MAX_BREAKERS at the most.
        export_fields: Returns the values of one.
        clock: us.
        is_synced: Whether a snapshot is durable before it takes the place of the one before.
        pending: Breakers of the snapshot being made that are not exported yet.
        exported: Those that are.
        next_at_us: When the next snapshot begins.
        is_writing: A snapshot is being written.
    """

    def __init__(
        self,
        folder: Path,
        disk: Disk,
        list_breakers: Callable[[], Sequence[KnownBreaker]],
        export_fields: Callable[[Any], BreakerValues],
        clock: Callable[[], int],
        is_synced: bool,
    ) -> None:
        """Begins without a snapshot."""
        self.folder = folder
        self.disk = disk
        self.list_breakers = list_breakers
        self.export_fields = export_fields
        self.clock = clock
        self.is_synced = is_synced
        self.pending: list[KnownBreaker] = []
        self.exported: list[tuple[int, str, BreakerValues]] = []
        self.next_at_us = 0
        self.is_writing = False

    def read(self) -> tuple[int, Breakers] | None:
        """Returns the snapshot on the disk, and when it was made; None: there is none that can be read."""
        data = self.disk.read(self.folder / LEARNED_FILE)
        if not data:
            return None
        snapshot = decode(data)
        if snapshot is None:
            log.error("learned state unreadable and dropped: bytes=%d", len(data))
        return snapshot

    def step(self) -> Callable[[], None] | None:
        """Exports some breakers. Returns a job for the disk once all are; call `write_finished` after it."""
        if self.is_writing or self.clock() < self.next_at_us:
            return None
        if not self.pending:
            self.pending = list(self.list_breakers())
        batch = self.pending[:BREAKERS_PER_STEP]
        self.pending = self.pending[BREAKERS_PER_STEP:]
        for number, route, breaker in batch:
            self.exported.append((number, route, without_infinities(self.export_fields(breaker))))
        if self.pending:
            return None
        breakers = tuple(self.exported)
        self.exported = []
        self.is_writing = True
        return partial(self.write, encode(self.clock(), breakers))

    def write(self, data: bytes) -> None:
        """Replaces the snapshot on the disk; called away from the loop.

        Raises:
            OSError: The disk refuses it.
        """
        new_path = self.folder / NEW_LEARNED_FILE
        file = self.disk.open(new_path, fresh=True)
        try:
            self.disk.write(file, data)
            if self.is_synced:
                self.disk.sync(file)
        finally:
            self.disk.close(file)
        self.disk.replace(new_path, self.folder / LEARNED_FILE)
        if self.is_synced:
            self.disk.sync_folder(self.folder)

    def write_finished(self) -> None:
        """The job that `step` returned is over, whether it succeeded or not."""
        self.is_writing = False
        self.next_at_us = self.clock() + int(SNAPSHOT_INTERVAL_S * 1e6)
