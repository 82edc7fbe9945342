"""Periodic snapshots of what a sender has learned about its destinations, trusted by age after a restart.

A snapshot is one file with one checksummed record (journal/records.py), replaced atomically. It is built in
steps of a bounded number of destinations, so that ten thousand of them don't delay a loop iteration. Beyond
MAX_BREAKERS, the most recently called breakers are kept. An unreadable snapshot is dropped, because all of
its content can be learned again.
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
#: The fields of a breaker, by kind of knowledge.
FIELDS_BY_KIND = {
    KnowledgeKind.BREAKERS: ("failures", "trial_at", "sick", "unserved"),
    KnowledgeKind.GAPS: ("gap", "gap_changed"),
    KnowledgeKind.SLOW_STARTS: ("cold_since", "last_sent", "last_served", "served_sent"),
    KnowledgeKind.USUAL_RATES: ("calls", "span", "took", "spread", "known"),
    KnowledgeKind.RETRY_AFTER: ("wait_until",),
}
#: Fields for which a higher value makes the sender more cautious.
HIGHER_IS_MORE_CAUTIOUS = frozenset(
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
    """Returns the finite values: JSON has no infinity, and an infinite field has its default value."""
    return {name: value for name, value in values.items() if math.isfinite(value)}


def encode(at_us: int, breakers: Breakers) -> bytes:
    """Returns the content of a snapshot that was made at `at_us`, in microseconds of the clock."""
    rows = [[number, route, without_infinities(values)] for number, route, values in breakers]
    return records.frame_record(json.dumps({"learned": 1, "at": at_us, "breakers": rows}).encode(), 0)


def decode(data: bytes) -> tuple[int, Breakers] | None:
    """Returns when a snapshot was made, in microseconds, and its breakers; None: it is unreadable."""
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


def restore_trusted(
    at_us: int, breakers: Breakers, conditions: StartConditions, now_us: int
) -> InheritedState:
    """Returns the part of a snapshot that is trusted.

    When the elapsed time is unknown, times are shifted by the snapshot's distance from the current time: a
    duration that was running when the snapshot was made continues from now.

    Args:
        at_us: When the snapshot was made, in microseconds.
        breakers: The content of the snapshot.
        conditions: The conditions of the start.
        now_us: The time, in microseconds, of a clock that continues from the latest recorded time.
    """
    is_time_unknown = conditions.elapsed_us is None
    shift_us = now_us - at_us if is_time_unknown else 0
    age_us = 0 if is_time_unknown else max(now_us - at_us, 0)
    confidences = {kind: conditions.confidence_in(kind, age_us) for kind in FIELDS_BY_KIND}
    restored = []
    for number, route, values in breakers:
        trusted = _trusted_values(values, confidences, shift_us)
        if "failures" in trusted and "trial_at" not in trusted:
            trusted["trial_at"] = now_us
        restored.append((number, route, trusted))
    return InheritedState(breakers=tuple(restored))


def _trusted_values(
    values: BreakerValues, confidences: dict[KnowledgeKind, Confidence], shift_us: int
) -> BreakerValues:
    trusted: BreakerValues = {}
    for kind, names in FIELDS_BY_KIND.items():
        if confidences[kind] is Confidence.DROPPED:
            continue
        is_trusted = confidences[kind] is Confidence.TRUSTED
        for name in names:
            if name in values and (is_trusted or name in HIGHER_IS_MORE_CAUTIOUS):
                trusted[name] = values[name] + (shift_us if name in TIME_FIELDS else 0)
    return trusted


class LearnedSnapshots:
    """Makes snapshots; the event loop calls `step` a few times a second.

    Attributes:
        folder: The folder of the snapshot file.
        disk: The file layer.
        list_breakers: Returns the breakers to be stored, at most MAX_BREAKERS.
        export_fields: Returns the values of one breaker.
        clock: Returns the time in microseconds.
        is_synced: Whether a snapshot is durable before it replaces the previous one.
        pending: The breakers that the current snapshot still has to export.
        exported: The breakers that it has exported.
        next_at_us: When the next snapshot begins.
        is_writing: Whether a snapshot is being written.
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
        """Initializes the state without a snapshot; see the class for the arguments."""
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
        """Returns when the stored snapshot was made, and its breakers; None: it is missing or unreadable."""
        data = self.disk.read(self.folder / LEARNED_FILE)
        if not data:
            return None
        snapshot = decode(data)
        if snapshot is None:
            log.error("learned state unreadable and dropped: bytes=%d", len(data))
        return snapshot

    def step(self) -> Callable[[], None] | None:
        """Exports up to BREAKERS_PER_STEP breakers, if a snapshot is due.

        Returns:
            The job that writes the snapshot, once all breakers are exported; the caller runs it away from the
            loop and calls `write_finished` after it. None: there is nothing to write yet.
        """
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
        """Replaces the stored snapshot; called outside the event loop.

        Raises:
            OSError: The snapshot cannot be written.
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
        """Schedules the next snapshot; called when the job of `step` has ended, successfully or not."""
        self.is_writing = False
        self.next_at_us = self.clock() + int(SNAPSHOT_INTERVAL_S * 1e6)
