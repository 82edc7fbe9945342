"""A sender's watch of the configuration: which node it asks, what it takes and what it refuses. Pure.

Rules:

- **Versions only rise.** It starts with the document that is stored here; whatever leads to an older version
  is dropped. A node that is behind, or cut off from a majority, is told our version; after some patience it
  is left (choice.py).
- **A delta is applied whole, once, to the version that it was made from**, and only if its digest is that of
  the document it leads to. Old and doubled ones are dropped; one from a version not here makes it poll soon.
- **A digest that differs** leads to a snapshot, which becomes a delta by comparison with what is here.
- **A refused version** changes nothing. Every poll tells it with its reason, and it is not tried again until
  another version comes. What could not be stored is tried again after `STORE_RETRY_INTERVAL_S`.
- **Poll** each second (drawn from `POLL_INTERVAL_MIN_S` to `POLL_INTERVAL_MAX_S`), and soon after anything
  was applied or refused: the poll is the acknowledgement. Without an answer it is repeated each
  `POLL_RETRY_INTERVAL_S`; after
  `UNANSWERED_LIMIT` the next node is tried. A busy node is asked again when it says so.
- **First choice**: the nodes of one's own region, then the others, each by rendezvous hashing.
- **A pause** (the machine or the process stood still) is nobody's failure: it polls at once and counts anew.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

import xxhash

from message_sender.control.choice import NodeChoice
from message_sender.control.document import DeltaMismatchError, Document, SnapshotError
from message_sender.control.fetch import SnapshotFetch, compute_delta
from message_sender.control.messages import (
    REASON_LENGTH_LIMIT,
    Address,
    Delta,
    Poll,
    SnapshotChunk,
    VersionNotice,
    WatchMessage,
)

# Seconds.
FIRST_POLL_DELAY_MAX_S = 0.2  # drawn from 0, so that senders that start at once don't poll at once
POLL_INTERVAL_MIN_S, POLL_INTERVAL_MAX_S = 0.8, 1.2
POLL_RETRY_INTERVAL_S = 0.3
STALE_AGE_S = 5.0  # a node without a majority for so long is behind
RETRY_AFTER_LIMIT_S = 10.0
PAUSE_THRESHOLD_S = 3.0  # without a tick
STORE_RETRY_INTERVAL_S = 10.0
DAMAGED_SNAPSHOT_DELAY_S = 10.0

UNANSWERED_LIMIT = 3
FETCH_STALLS_LIMIT = 12  # requests without a chunk, over changes of node
MS_PER_SECOND = 1_000


class RefusedConfigurationError(ValueError):
    """A configuration that cannot be put in force here; the text says why."""


@dataclass(frozen=True, slots=True)
class ControlNodeAddress:
    """A control node by name, where it is heard, and the region that it is in."""

    name: str
    address: Address
    region: str


class Applier(Protocol):
    """Puts a configuration in force."""

    def apply(self, document: Document, delta: Delta) -> None:
        """Checks, stores durably and puts in force what `delta` makes of `document`, whole or not at all.

        Leaves `document` as it is. Raises RefusedConfigurationError, or OSError where it cannot be stored;
        nothing was changed then. `delta` may lead from a version to itself: its content is mended.
        """


@dataclass(frozen=True, slots=True)
class WatchStatus:
    """What a sender has in force.

    `age`: seconds since a majority is known to have stood behind it, or since the start if that is not known.
    """

    version: int
    age: float
    refused_version: int
    reason: str
    node: str


@dataclass(slots=True)
class WatchCounts:
    """What happened, for figures and tests."""

    applied: int = 0
    refused: int = 0
    store_failures: int = 0
    old: int = 0  # deltas and chunks that lead to a version that is here already
    unfit: int = 0  # deltas from a version that is not here
    refused_again: int = 0  # deltas to the refused version
    mismatches: int = 0  # digests that differ
    snapshots: int = 0
    damaged_snapshots: int = 0
    unexpected: int = 0  # messages of unknown nodes, or that no node sends
    pauses: int = 0


@dataclass(frozen=True, slots=True)
class RefusedVersion:
    """A version that is not in force here, and until when it isn't tried again."""

    version: int
    reason: str
    until: float


def order_nodes(
    name: str, nodes: Sequence[ControlNodeAddress], region: str
) -> tuple[ControlNodeAddress, ...]:
    """Nodes in the order in which the sender `name` prefers them."""

    def rank(node: ControlNodeAddress) -> tuple[bool, int]:
        return node.region != region, xxhash.xxh3_64_intdigest(f"{name}\0{node.name}".encode())

    return tuple(sorted(nodes, key=rank))


class Watch:
    """What a sender does to have the newest configuration in force. `tick` at least each 0.1 s."""

    def __init__(
        self,
        name: str,
        nodes: Sequence[ControlNodeAddress],
        region: str,
        document: Document,
        applier: Applier,
        rng: random.Random,
        now: float,
    ) -> None:
        self.name = name
        self.document = document
        self.counts = WatchCounts()
        self.choice = NodeChoice([node.name for node in order_nodes(name, nodes, region)], rng, now)
        self._applier = applier
        self._rng = rng
        self._outbox: list[tuple[str, WatchMessage]] = []
        self._ticked_at = now
        self._polled_at = now - POLL_RETRY_INTERVAL_S
        self._polled_version = document.version  # that the last poll told
        self._poll_due = now + rng.uniform(0, FIRST_POLL_DELAY_MAX_S)
        self._unanswered = 0
        self._refusal: RefusedVersion | None = None
        self._fetch: SnapshotFetch | None = None
        self._fetch_due = now
        self._fetch_stalls = 0
        self._fetch_not_before = now
        self._confirmed_at = now

    @property
    def node(self) -> str:
        """The control node that is watched."""
        return self.choice.node

    def status(self, now: float) -> WatchStatus:
        """What is in force, and from whom."""
        refusal = self._refusal
        return WatchStatus(
            version=self.document.version,
            age=max(0.0, now - self._confirmed_at),
            refused_version=refusal.version if refusal else 0,
            reason=refusal.reason if refusal else "",
            node=self.node,
        )

    def take_messages(self) -> list[tuple[str, WatchMessage]]:
        """What is to be sent, each with the control node that it is for."""
        out, self._outbox = self._outbox, []
        return out

    # Time.

    def tick(self, now: float) -> None:
        """Sends what is due."""
        if now - self._ticked_at > PAUSE_THRESHOLD_S:
            self._resume_after_pause(now)
        self._ticked_at = now
        if self._refusal and now >= self._refusal.until:
            self._refusal = None
        if now >= self._poll_due:
            self._poll(now)
        if self._fetch and now >= self._fetch_due:
            self._repeat_fetch(now)
        probed = self.choice.next_probe(now)
        if probed:
            self._outbox.append((probed, self._poll_message()))

    def _resume_after_pause(self, now: float) -> None:
        self.counts.pauses += 1
        self._unanswered = 0
        self._fetch_stalls = 0
        self.choice.reset_times()
        self._poll_due = now

    def _poll(self, now: float) -> None:
        if self._unanswered >= UNANSWERED_LIMIT:
            self.choice.move_on(now)
            self._restart_polling(now)
        self._outbox.append((self.node, self._poll_message()))
        self._unanswered += 1
        self._polled_at = now
        self._polled_version = self.document.version
        self._poll_due = now + POLL_RETRY_INTERVAL_S

    def _poll_message(self) -> Poll:
        refusal = self._refusal
        if refusal is None:
            return Poll(self.document.version, self.document.digest)
        return Poll(self.document.version, self.document.digest, refusal.version, refusal.reason)

    def _poll_soon(self, now: float) -> None:
        self._poll_due = min(self._poll_due, max(now, self._polled_at + POLL_RETRY_INTERVAL_S))

    def _restart_polling(self, now: float) -> None:
        """Another node is watched; a fetch goes on there."""
        self._unanswered = 0
        self._poll_due = now
        self._fetch_due = now

    # What nodes say.

    def receive(self, node: str, message: WatchMessage, now: float) -> None:
        """Takes a message of a control node."""
        if node not in self.choice.names:
            self.counts.unexpected += 1
            return
        if node == self.choice.probed and self._is_good_answer(message):
            self.choice.return_to_probed(now)
            self._restart_polling(now)
            self._polled_at, self._poll_due = now, now + POLL_RETRY_INTERVAL_S
            self._unanswered = 1
        if node == self.node:
            self._note_answer(now)
        if isinstance(message, Delta):
            self._take_delta(message, now)
        elif isinstance(message, SnapshotChunk):
            self._take_chunk(message, now)
        elif isinstance(message, VersionNotice) and node == self.node:
            self._take_notice(message, now)
        else:
            self.counts.unexpected += 1

    def _note_answer(self, now: float) -> None:
        if self._unanswered:
            self._unanswered = 0
            self._poll_due = max(
                now, self._polled_at + self._rng.uniform(POLL_INTERVAL_MIN_S, POLL_INTERVAL_MAX_S)
            )

    def _is_good_answer(self, message: WatchMessage) -> bool:
        """Whether a probed node has answered and is worth going back to."""
        if isinstance(message, VersionNotice):
            return not self._is_behind(message) and not message.retry_after_ms
        return isinstance(message, Delta) and message.to_version > self.document.version

    def _is_behind(self, notice: VersionNotice) -> bool:
        return notice.version < self.document.version or notice.age_ms > STALE_AGE_S * MS_PER_SECOND

    def _take_notice(self, notice: VersionNotice, now: float) -> None:
        if not self._is_behind(notice):
            self.choice.note_up_to_date()
        elif self.choice.note_behind(now):
            self.choice.move_on(now)
            self._restart_polling(now)
            return
        if notice.version >= self.document.version:
            self._confirmed_at = max(self._confirmed_at, now - notice.age_ms / MS_PER_SECOND)
        if notice.retry_after_ms:
            self._delay_poll(notice.retry_after_ms, now)
        is_newer = notice.version > self.document.version
        differs = notice.version == self.document.version and notice.digest != self.document.digest
        self.counts.mismatches += differs
        is_of_this_version = self._polled_version == self.document.version  # else a poll is due soon
        if differs or (is_newer and notice.needs_snapshot and is_of_this_version):
            self._start_fetch(notice.version, notice.digest, now)

    def _delay_poll(self, retry_after_ms: int, now: float) -> None:
        due = now + min(retry_after_ms / MS_PER_SECOND, RETRY_AFTER_LIMIT_S)
        self._poll_due = max(due, self._polled_at + POLL_RETRY_INTERVAL_S)
        if self._fetch:
            self._fetch_due = due
            self._fetch_stalls = 0

    # Deltas.

    def _take_delta(self, delta: Delta, now: float) -> None:
        if delta.to_version <= self.document.version:
            self.counts.old += 1
        elif delta.from_version != self.document.version:
            self.counts.unfit += 1
            self._poll_soon(now)
        elif self._is_refused(delta.to_version):
            self.counts.refused_again += 1
        else:
            self._apply_if_equal(delta, now)

    def _is_refused(self, version: int) -> bool:
        return self._refusal is not None and self._refusal.version == version

    def _apply_if_equal(self, delta: Delta, now: float) -> None:
        try:
            self.document.check(delta)
        except DeltaMismatchError:
            self.counts.mismatches += 1
            self._start_fetch(delta.to_version, delta.digest, now)
        else:
            self._apply(delta, now)

    def _apply(self, delta: Delta, now: float) -> None:
        try:
            self._applier.apply(self.document, delta)
        except RefusedConfigurationError as error:
            self.counts.refused += 1
            self._refuse(delta.to_version, str(error), float("inf"))
        except OSError as error:
            self.counts.store_failures += 1
            self._refuse(delta.to_version, f"cannot be stored: {error}", now + STORE_RETRY_INTERVAL_S)
        else:
            self._put_in_force(delta, now)
        self._poll_soon(now)

    def _refuse(self, version: int, reason: str, until: float) -> None:
        self._refusal = RefusedVersion(version, reason[:REASON_LENGTH_LIMIT], until)
        if self._fetch and self._fetch.version == version:
            self._fetch = None

    def _put_in_force(self, delta: Delta, now: float) -> None:
        self.document.apply(delta)
        self.counts.applied += 1
        self._confirmed_at = now
        if self._refusal and self._refusal.version <= delta.to_version:
            self._refusal = None
        if self._fetch and self._fetch.version <= delta.to_version:
            self._fetch = None

    # Snapshots.

    def _start_fetch(self, version: int, digest: int, now: float) -> None:
        if self._fetch or self._is_refused(version) or now < self._fetch_not_before:
            return
        self._fetch = SnapshotFetch(version, digest)
        self._fetch_stalls = 0
        self._request_chunks(self._fetch, now)

    def _request_chunks(self, fetch: SnapshotFetch, now: float) -> None:
        self._outbox.append((self.node, fetch.request()))
        self._fetch_due = now + POLL_RETRY_INTERVAL_S

    def _repeat_fetch(self, now: float) -> None:
        """Nothing came for a while. Whether the node is there the polls tell; they begin a fetch anew too."""
        self._fetch_stalls += 1
        if self._fetch and self._fetch_stalls <= FETCH_STALLS_LIMIT:
            self._request_chunks(self._fetch, now)
        else:
            self._fetch = None

    def _take_chunk(self, chunk: SnapshotChunk, now: float) -> None:
        if self._fetch is None or chunk.version < self._fetch.version:
            self.counts.old += 1
            return
        if chunk.version > self._fetch.version:  # the node has no other one any more
            if self._is_refused(chunk.version):
                self._fetch = None
                return
            self._fetch = SnapshotFetch(chunk.version)
        fetch = self._fetch
        if not fetch.add(chunk):
            self.counts.old += 1
            return
        self._fetch_stalls = 0
        self._fetch_due = now + POLL_RETRY_INTERVAL_S
        if fetch.is_complete:
            self._fetch = None
            self._install(fetch, now)
        elif fetch.is_window_complete:
            self._request_chunks(fetch, now)

    def _install(self, fetch: SnapshotFetch, now: float) -> None:
        try:
            document = fetch.document()
        except SnapshotError:
            self.counts.damaged_snapshots += 1
            self._fetch_not_before = now + DAMAGED_SNAPSHOT_DELAY_S
            return
        self.counts.snapshots += 1
        delta = compute_delta(self.document, document)
        is_same = document.version == self.document.version and document.digest == self.document.digest
        if document.version >= self.document.version and not is_same:
            self._apply(delta, now)
