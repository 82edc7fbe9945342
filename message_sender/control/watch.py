"""A sender's watch of the configuration: the polled node, the versions applied and refused. No I/O, no clock.

Rules:

- **Versions only rise.** The watch starts with the document stored on this sender's disk; messages that lead
  to an older version are dropped. A node that lags, or is cut off from a majority, is replaced by the next
  one after the lag timeout (node_choice.py).
- **A delta is applied completely, once, to the version that it was made from**, and only if its digest equals
  the digest of the resulting document. Old and duplicate deltas are dropped; a delta from another version
  than the current one brings the next poll forward.
- **A digest mismatch** leads to a snapshot, which is turned into a delta by comparison with the document.
- **A refused version** changes nothing. Every poll reports it with its reason, and it is not tried again
  until another version arrives. A version that could not be stored is retried after `STORE_RETRY_INTERVAL_S`.
- **Poll** every `POLL_INTERVAL_MIN_S` to `POLL_INTERVAL_MAX_S` (random), and soon after a version was applied
  or refused: the poll is the acknowledgement. An unanswered poll is repeated every `POLL_RETRY_INTERVAL_S`;
  after `UNANSWERED_LIMIT` polls the next node is tried. A busy node is polled again after its Retry-After.
- **A pause** of the machine or the process does not count as a failure of a node: the watch polls immediately
  and restarts its counters.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from message_sender.control.document import DeltaMismatchError, Document, SnapshotError
from message_sender.control.messages import (
    REASON_LENGTH_LIMIT,
    Delta,
    Poll,
    SnapshotChunk,
    VersionNotice,
    WatchMessage,
)
from message_sender.control.node_choice import ControlNodeAddress, NodeChoice, order_nodes
from message_sender.control.snapshot_fetch import SnapshotFetch, compute_delta

FIRST_POLL_DELAY_MAX_S = 0.2  # random from 0, to spread the polls of senders that start together
POLL_INTERVAL_MIN_S = 0.8
POLL_INTERVAL_MAX_S = 1.2
POLL_RETRY_INTERVAL_S = 0.3
STALE_AGE_S = 5.0  # a node without a majority for longer than this lags
RETRY_AFTER_LIMIT_S = 10.0
PAUSE_THRESHOLD_S = 3.0  # a longer time between two ticks is a pause
STORE_RETRY_INTERVAL_S = 10.0
DAMAGED_SNAPSHOT_DELAY_S = 10.0

UNANSWERED_LIMIT = 3
FETCH_STALLS_LIMIT = 12  # requests without a chunk in reply, also across changes of node
MS_PER_SECOND = 1_000


class RefusedConfigurationError(ValueError):
    """This sender cannot activate a configuration; the text gives the reason."""


class Applier(Protocol):
    """Activates a configuration."""

    def apply(self, document: Document, delta: Delta) -> None:
        """Checks the result of `delta` on `document`, stores it durably and activates it; or changes nothing.

        Does not change `document`. `delta` may lead from a version to itself, to repair its content.

        Raises:
            RefusedConfigurationError: If the result cannot be activated; nothing was changed.
            OSError: If the result cannot be stored; nothing was changed.
        """


@dataclass(frozen=True, slots=True)
class WatchStatus:
    """The state of a sender's watch.

    Attributes:
        version: The active version.
        age: Seconds since a majority was last known to confirm the version, or since the start if never.
        refused_version: The refused version; 0 if there is none.
        reason: The reason why the version was refused; empty if there is none.
        node: The name of the control node that is watched.
    """

    version: int
    age: float
    refused_version: int
    reason: str
    node: str


@dataclass(slots=True)
class WatchCounts:
    """Counts of events since the start, for status reports and tests."""

    applied: int = 0
    refused: int = 0
    store_failures: int = 0
    old: int = 0  # deltas and chunks that do not lead to a newer version
    unfit: int = 0  # deltas from another version than the current one
    refused_again: int = 0  # repeated deltas to the refused version
    mismatches: int = 0  # deltas and notices whose digest differs from the document's
    snapshots: int = 0
    damaged_snapshots: int = 0
    unexpected: int = 0  # messages from unknown nodes, or of a type that nodes do not send
    pauses: int = 0


@dataclass(frozen=True, slots=True)
class RefusedVersion:
    """A version that was refused, its reason, and the time until which it is not tried again."""

    version: int
    reason: str
    until: float


class Watch:
    """Keeps the newest configuration active on one sender. `tick` must be called at least every 0.1 s."""

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
        """Creates a watch; it polls its first choice within FIRST_POLL_DELAY_MAX_S.

        Args:
            name: The name of the sender.
            nodes: The control nodes, in any order.
            region: The sender's region.
            document: The active document, which the watch changes.
            applier: Activates new versions.
            rng: Source of random intervals.
            now: Seconds of the monotonic clock.
        """
        self.name = name
        self.document = document
        self.counts = WatchCounts()
        self.choice = NodeChoice([node.name for node in order_nodes(name, nodes, region)], rng, now)
        self._applier = applier
        self._rng = rng
        self._outbox: list[tuple[str, WatchMessage]] = []
        self._ticked_at = now
        self._polled_at = now - POLL_RETRY_INTERVAL_S
        self._polled_version = document.version  # the version that the last poll reported
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
        """The name of the control node that is watched."""
        return self.choice.node

    def status(self, now: float) -> WatchStatus:
        """Returns the active and the refused version, and the watched node."""
        refusal = self._refusal
        return WatchStatus(
            version=self.document.version,
            age=max(0.0, now - self._confirmed_at),
            refused_version=refusal.version if refusal else 0,
            reason=refusal.reason if refusal else "",
            node=self.node,
        )

    def take_messages(self) -> list[tuple[str, WatchMessage]]:
        """Returns the messages to send now, each with its receiving node; each message is returned once."""
        messages = self._outbox
        self._outbox = []
        return messages

    # Time.

    def tick(self, now: float) -> None:
        """Sends the messages that are due at `now`, in seconds of the monotonic clock."""
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
        self.choice.reset_lag_timer()
        self._poll_due = now

    def _poll(self, now: float) -> None:
        if self._unanswered >= UNANSWERED_LIMIT:
            self.choice.select_next(now)
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
        """Begins to poll a newly selected node; a fetch in progress continues with it."""
        self._unanswered = 0
        self._poll_due = now
        self._fetch_due = now

    # Messages of nodes.

    def receive(self, node: str, message: WatchMessage, now: float) -> None:
        """Handles a message from a control node."""
        if node not in self.choice.names:
            self.counts.unexpected += 1
            return
        if node == self.choice.probed and self._permits_return(message):
            self.choice.select_probed(now)
            self._restart_polling(now)
            self._polled_at = now
            self._poll_due = now + POLL_RETRY_INTERVAL_S
            self._unanswered = 1
        if node == self.node:
            self._record_answer(now)
        if isinstance(message, Delta):
            self._handle_delta(message, now)
        elif isinstance(message, SnapshotChunk):
            self._handle_chunk(message, now)
        elif isinstance(message, VersionNotice) and node == self.node:
            self._handle_notice(message, now)
        else:
            self.counts.unexpected += 1

    def _record_answer(self, now: float) -> None:
        if self._unanswered:
            self._unanswered = 0
            self._poll_due = max(
                now, self._polled_at + self._rng.uniform(POLL_INTERVAL_MIN_S, POLL_INTERVAL_MAX_S)
            )

    def _permits_return(self, message: WatchMessage) -> bool:
        """Returns whether the answer of a probed node permits a return to it."""
        if isinstance(message, VersionNotice):
            return not self._is_lagging(message) and not message.retry_after_ms
        return isinstance(message, Delta) and message.to_version > self.document.version

    def _is_lagging(self, notice: VersionNotice) -> bool:
        return notice.version < self.document.version or notice.age_ms > STALE_AGE_S * MS_PER_SECOND

    def _handle_notice(self, notice: VersionNotice, now: float) -> None:
        if not self._is_lagging(notice):
            self.choice.record_up_to_date()
        elif self.choice.record_lagging(now):
            self.choice.select_next(now)
            self._restart_polling(now)
            return
        if notice.version >= self.document.version:
            self._confirmed_at = max(self._confirmed_at, now - notice.age_ms / MS_PER_SECOND)
        if notice.retry_after_ms:
            self._delay_poll(notice.retry_after_ms, now)
        is_newer = notice.version > self.document.version
        differs = notice.version == self.document.version and notice.digest != self.document.digest
        self.counts.mismatches += differs
        is_poll_current = self._polled_version == self.document.version  # if not, a poll is due soon
        if differs or (is_newer and notice.needs_snapshot and is_poll_current):
            self._start_fetch(notice.version, notice.digest, now)

    def _delay_poll(self, retry_after_ms: int, now: float) -> None:
        due = now + min(retry_after_ms / MS_PER_SECOND, RETRY_AFTER_LIMIT_S)
        self._poll_due = max(due, self._polled_at + POLL_RETRY_INTERVAL_S)
        if self._fetch:
            self._fetch_due = due
            self._fetch_stalls = 0

    # Deltas.

    def _handle_delta(self, delta: Delta, now: float) -> None:
        if delta.to_version <= self.document.version:
            self.counts.old += 1
        elif delta.from_version != self.document.version:
            self.counts.unfit += 1
            self._poll_soon(now)
        elif self._is_refused(delta.to_version):
            self.counts.refused_again += 1
        else:
            self._apply_if_digest_matches(delta, now)

    def _is_refused(self, version: int) -> bool:
        return self._refusal is not None and self._refusal.version == version

    def _apply_if_digest_matches(self, delta: Delta, now: float) -> None:
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
            self._activate(delta, now)
        self._poll_soon(now)

    def _refuse(self, version: int, reason: str, until: float) -> None:
        self._refusal = RefusedVersion(version, reason[:REASON_LENGTH_LIMIT], until)
        if self._fetch and self._fetch.version == version:
            self._fetch = None

    def _activate(self, delta: Delta, now: float) -> None:
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
        """Requests the missing chunks again, or aborts the fetch; a later poll may begin another one."""
        self._fetch_stalls += 1
        if self._fetch and self._fetch_stalls <= FETCH_STALLS_LIMIT:
            self._request_chunks(self._fetch, now)
        else:
            self._fetch = None

    def _handle_chunk(self, chunk: SnapshotChunk, now: float) -> None:
        if self._fetch is None or chunk.version < self._fetch.version:
            self.counts.old += 1
            return
        if chunk.version > self._fetch.version:  # the node no longer has the requested version
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
