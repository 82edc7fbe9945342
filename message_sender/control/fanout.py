"""A control node's side of the watches: who watches, what each is sent, and how much at once. Pure.

Rules:

- A poll makes or renews a sender's session, and is answered: a delta where the sender's version is in the
  history, a notice otherwise. The notice says whether a snapshot is needed.
- A new version is pushed at once to all that polled lately and whose version is in the history. What was sent
  is assumed to be there until the next poll tells; a push that was lost is made good by that poll.
- The version that a sender refused isn't sent to it again.
- Bytes of deltas and snapshots are bounded by a token bucket; a part of it is for deltas alone, so that
  fetches of snapshots don't hold back changes. Who finds it empty gets a notice with a time of its own to
  come again: times are given out one behind the other, at the rate that the bucket fills.
- A snapshot is sent a window of chunks a request. Versions that were encoded are kept for some fetches to end
  with, as long as the history leads on from them; who asks for another version gets chunks of the newest.
- Sessions are bounded: silent ones are dropped after a day, the longest silent one when there are too many.
"""

import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from message_sender.control.document import encode_snapshot
from message_sender.control.fetch import SNAPSHOT_WINDOW_CHUNKS
from message_sender.control.messages import (
    CHUNK_BYTES,
    Delta,
    Poll,
    SnapshotChunk,
    SnapshotRequest,
    VersionNotice,
    WatcherStatus,
    WatchMessage,
)
from message_sender.control.store import RESOURCE_OVERHEAD_BYTES, ConfigurationStore

# Seconds.
PUSH_AGE_LIMIT_S = 5.0  # who hasn't polled for so long is not pushed to
SESSION_AGE_LIMIT_S = 86_400.0
SNAPSHOT_AGE_LIMIT_S = 60.0  # an encoded snapshot that nobody asked for so long is dropped
RETRY_AFTER_LIMIT_S = 10.0
RETRY_JITTER = 0.2  # of the wait, drawn

# Bytes.
BYTES_PER_SECOND = 8_000_000
BURST_BYTES = 1_000_000
DELTA_RESERVE_BYTES = 250_000  # what snapshots leave to deltas
DATAGRAM_OVERHEAD_BYTES = 130  # headers, seal, envelope

SESSIONS_LIMIT = 4_096
SNAPSHOTS_LIMIT = 2  # encoded ones that are kept
MS_PER_SECOND = 1_000


class ByteBudget:
    """A token bucket that tells who finds it empty when to come again."""

    def __init__(self, bytes_per_second: float, burst: float, now: float) -> None:
        self.bytes_per_second = bytes_per_second
        self.burst = burst
        self._tokens = burst
        self._filled_at = now
        self._next_slot = now

    def take(self, size: int, reserve: float, now: float) -> float:
        """Takes `size` and returns 0, or returns the seconds to wait; `reserve` is left for others."""
        if now > self._filled_at:
            filled = (now - self._filled_at) * self.bytes_per_second
            self._tokens = min(self.burst, self._tokens + filled)
            self._filled_at = now
        if self._tokens - reserve >= min(size, self.burst - reserve):
            self._tokens -= size
            return 0.0
        missing = max(0.0, size + reserve - self._tokens)
        refilled_at = now + missing / self.bytes_per_second
        next_slot = max(self._next_slot + size / self.bytes_per_second, refilled_at)
        self._next_slot = min(next_slot, now + RETRY_AFTER_LIMIT_S)
        return self._next_slot - now


@dataclass(slots=True)
class Session:
    """A sender that watches. `assumed_version`: what it has once all that was sent to it arrives."""

    polled_at: float
    version: int = 0
    assumed_version: int = 0
    refused_version: int = 0
    reason: str = ""


@dataclass(slots=True)
class EncodedSnapshot:
    """A snapshot's bytes, and when one last asked for it."""

    data: bytes
    used_at: float


@dataclass(slots=True)
class FanoutCounts:
    """What was sent, for figures and tests."""

    notices: int = 0
    deltas: int = 0
    chunks: int = 0
    postponed: int = 0
    snapshots_encoded: int = 0


class Fanout:
    """The senders that watch a control node, and what they are sent."""

    def __init__(
        self,
        store: ConfigurationStore,
        rng: random.Random,
        now: float,
        authority_age_ms: Callable[[], int],
        bytes_per_second: float = BYTES_PER_SECOND,
        sessions_limit: int = SESSIONS_LIMIT,
    ) -> None:
        self.store = store
        self.counts = FanoutCounts()
        self._rng = rng
        self._authority_age_ms = authority_age_ms
        self._budget = ByteBudget(bytes_per_second, BURST_BYTES, now)
        self._sessions_limit = sessions_limit
        self._sessions: OrderedDict[str, Session] = OrderedDict()  # the longest silent first
        self._snapshots: dict[int, EncodedSnapshot] = {}
        self._outbox: list[tuple[str, WatchMessage]] = []

    def take_messages(self) -> list[tuple[str, WatchMessage]]:
        """What is to be sent, each with the sender that it is for."""
        out, self._outbox = self._outbox, []
        return out

    def watchers(self, now: float) -> tuple[WatcherStatus, ...]:
        """The senders that are known here, by name."""
        return tuple(
            WatcherStatus(
                name=name,
                version=session.version,
                refused_version=session.refused_version,
                reason=session.reason,
                silent_ms=max(0, int((now - session.polled_at) * MS_PER_SECOND)),
            )
            for name, session in sorted(self._sessions.items())
        )

    # Time and versions.

    def tick(self, now: float) -> None:
        """Forgets what is long over."""
        while self._sessions:
            name, session = next(iter(self._sessions.items()))
            if now - session.polled_at <= SESSION_AGE_LIMIT_S:
                break
            del self._sessions[name]
        for version, snapshot in tuple(self._snapshots.items()):
            if now - snapshot.used_at > SNAPSHOT_AGE_LIMIT_S:
                del self._snapshots[version]

    def version_changed(self, now: float) -> None:
        """The store has a new version: it is pushed to all that can take it."""
        for name, session in self._sessions.items():
            if now - session.polled_at > PUSH_AGE_LIMIT_S or self._is_refused(session):
                continue
            delta = self.store.delta_from(session.assumed_version)
            if delta is not None:
                self._send_delta(name, session, delta, now)

    # What senders say.

    def receive(self, sender: str, message: Poll | SnapshotRequest, now: float) -> None:
        """Takes a message of a sender."""
        if isinstance(message, Poll):
            self._answer(sender, self._renew(sender, message, now), message, now)
        else:
            self._send_chunks(sender, message, now)

    def _renew(self, sender: str, poll: Poll, now: float) -> Session:
        session = self._sessions.setdefault(sender, Session(now))
        self._sessions.move_to_end(sender)
        while len(self._sessions) > self._sessions_limit:
            self._sessions.popitem(last=False)
        session.polled_at = now
        session.version = session.assumed_version = poll.version
        session.refused_version, session.reason = poll.refused_version, poll.reason
        return session

    def _answer(self, sender: str, session: Session, poll: Poll, now: float) -> None:
        present = self.store.document
        if poll.version > present.version or self._is_refused(session):
            self._notify(sender)
        elif poll.version == present.version:
            self._notify(sender, needs_snapshot=poll.digest != present.digest)
        elif (delta := self.store.delta_from(poll.version)) is not None:
            self._send_delta(sender, session, delta, now)
        else:
            self._notify(sender, needs_snapshot=True)

    def _is_refused(self, session: Session) -> bool:
        return session.refused_version == self.store.document.version > session.version

    # What senders are sent.

    def _notify(self, sender: str, needs_snapshot: bool = False, wait: float = 0.0) -> None:
        document = self.store.document
        spread = wait * (1 + self._rng.uniform(0, RETRY_JITTER))
        notice = VersionNotice(
            version=document.version,
            digest=document.digest,
            needs_snapshot=needs_snapshot,
            age_ms=self._authority_age_ms(),
            retry_after_ms=int(spread * MS_PER_SECOND) + 1 if wait else 0,
        )
        self.counts.notices += 1
        self.counts.postponed += wait > 0
        self._outbox.append((sender, notice))

    def _send_delta(self, sender: str, session: Session, delta: Delta, now: float) -> None:
        wait = self._budget.take(_estimate_size(delta), 0, now)
        if wait:
            self._notify(sender, wait=wait)
            return
        session.assumed_version = delta.to_version
        self.counts.deltas += 1
        self._outbox.append((sender, delta))

    def _send_chunks(self, sender: str, request: SnapshotRequest, now: float) -> None:
        if request.version > self.store.document.version:
            self._notify(sender)
            return
        version, data = self._snapshot_for(request.version, now)
        offset = request.offset if version == request.version else 0
        end = min(len(data), offset + SNAPSHOT_WINDOW_CHUNKS * CHUNK_BYTES)
        chunks = range(offset, end, CHUNK_BYTES)
        size = max(0, end - offset) + len(chunks) * DATAGRAM_OVERHEAD_BYTES
        wait = self._budget.take(size, DELTA_RESERVE_BYTES, now)
        if wait:
            self._notify(sender, wait=wait)
            return
        for at in chunks:
            chunk = SnapshotChunk(version, at, len(data), data[at : at + CHUNK_BYTES])
            self.counts.chunks += 1
            self._outbox.append((sender, chunk))

    def _snapshot_for(self, version: int, now: float) -> tuple[int, bytes]:
        """The encoded document at `version` if it is kept and of use, or at the newest version."""
        present = self.store.document
        if version != present.version and self.store.delta_from(version) is None:
            version = present.version
        snapshot = self._snapshots.get(version)
        if snapshot is None:
            version = present.version
            snapshot = self._snapshots.get(version) or self._encode(now)
        snapshot.used_at = now
        return version, snapshot.data

    def _encode(self, now: float) -> EncodedSnapshot:
        self.counts.snapshots_encoded += 1
        snapshot = EncodedSnapshot(encode_snapshot(self.store.document), now)
        self._snapshots[self.store.document.version] = snapshot
        while len(self._snapshots) > SNAPSHOTS_LIMIT:
            del self._snapshots[min(self._snapshots)]
        return snapshot


def _estimate_size(delta: Delta) -> int:
    """Bytes that a delta takes on the network, about."""
    size = DATAGRAM_OVERHEAD_BYTES + sum(len(name) + RESOURCE_OVERHEAD_BYTES for name in delta.delete)
    size += sum(len(each.name) + len(each.value) + RESOURCE_OVERHEAD_BYTES for each in delta.put)
    return size + size // CHUNK_BYTES * DATAGRAM_OVERHEAD_BYTES
