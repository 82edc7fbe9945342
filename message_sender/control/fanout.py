"""The server side of watches on a control node: sessions, pushes, snapshots, rate limits. No I/O, no clock.

Rules:

- A poll creates or renews a sender's session. The answer is a delta if the sender's version is in the
  history, otherwise a notice, which states whether a snapshot is needed.
- A new version is pushed immediately to all senders that polled within PUSH_AGE_LIMIT_S and whose version is
  in the history. The push counts as delivered until the next poll; that poll also repairs a lost push.
- The version that a sender refused is not sent to it again.
- The bytes of deltas and snapshots are bounded by a token bucket. A part of the bucket is reserved for
  deltas, so that fetches of snapshots don't delay changes. If the bucket is empty, the sender gets a notice
  with an individual Retry-After: these times are spaced at the rate at which the bucket fills.
- A snapshot is sent one window of chunks per request. Encoded versions are cached until the fetches that
  use them have ended, as long as they are in the history; a request for another version gets chunks of the
  newest one.
- The number of sessions is bounded. A session is dropped after a day without a poll; if there are too many,
  the one that has been silent longest is dropped.
"""

import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from message_sender.control.document import encode_snapshot
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
from message_sender.control.snapshot_fetch import SNAPSHOT_WINDOW_CHUNKS
from message_sender.control.store import RESOURCE_OVERHEAD_BYTES, ConfigurationStore

PUSH_AGE_LIMIT_S = 5.0  # since the last poll
SESSION_AGE_LIMIT_S = 86_400.0  # since the last poll
SNAPSHOT_AGE_LIMIT_S = 60.0  # since the last request
RETRY_AFTER_LIMIT_S = 10.0
RETRY_JITTER = 0.2  # largest random extension, as a share of the wait
BYTES_PER_SECOND = 8_000_000
BURST_BYTES = 1_000_000
DELTA_RESERVE_BYTES = 250_000  # reserved for deltas, not available to snapshots
DATAGRAM_OVERHEAD_BYTES = 130  # per datagram: headers, seal, envelope
SESSIONS_LIMIT = 4_096
SNAPSHOTS_LIMIT = 2  # encoded snapshots in the cache
MS_PER_SECOND = 1_000


class ByteBudget:
    """A token bucket that assigns a retry time to each request that it cannot serve."""

    def __init__(self, bytes_per_second: float, burst: float, now: float) -> None:
        """Creates a full bucket of `burst` bytes; `now` is in seconds of the monotonic clock."""
        self.bytes_per_second = bytes_per_second
        self.burst = burst
        self._tokens = burst
        self._filled_at = now
        self._next_slot = now

    def take(self, size: int, reserve: float, now: float) -> float:
        """Takes `size` bytes from the bucket, if it has enough.

        A request larger than the available part of the bucket succeeds once that part is full.

        Args:
            size: Bytes to send.
            reserve: Bytes that must remain in the bucket for other requests.
            now: Seconds of the monotonic clock.

        Returns:
            0 if the bytes were taken, otherwise the seconds to wait before the next attempt.
        """
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
    """The session of a watching sender.

    `assumed_version` is the version that the sender has if all messages to it have arrived.
    """

    polled_at: float
    version: int = 0
    assumed_version: int = 0
    refused_version: int = 0
    reason: str = ""


@dataclass(slots=True)
class EncodedSnapshot:
    """The bytes of an encoded snapshot, and the time of the last request for it."""

    data: bytes
    used_at: float


@dataclass(slots=True)
class FanoutCounts:
    """Counts of messages, for benchmarks and tests."""

    notices: int = 0
    deltas: int = 0
    chunks: int = 0
    postponed: int = 0
    snapshots_encoded: int = 0


class Fanout:
    """The sessions of the senders that watch a control node, and the messages to them."""

    def __init__(
        self,
        store: ConfigurationStore,
        rng: random.Random,
        now: float,
        authority_age_ms: Callable[[], int],
        bytes_per_second: float = BYTES_PER_SECOND,
        sessions_limit: int = SESSIONS_LIMIT,
    ) -> None:
        """Creates a fan-out without sessions.

        Args:
            store: The configuration to send.
            rng: Source of the random jitter.
            now: Seconds of the monotonic clock.
            authority_age_ms: Returns the milliseconds since the node's last contact with a majority.
            bytes_per_second: Limit for deltas and snapshots to all senders together.
            sessions_limit: Largest number of sessions.
        """
        self.store = store
        self.counts = FanoutCounts()
        self._rng = rng
        self._authority_age_ms = authority_age_ms
        self._budget = ByteBudget(bytes_per_second, BURST_BYTES, now)
        self._sessions_limit = sessions_limit
        self._sessions: OrderedDict[str, Session] = OrderedDict()  # ordered by the last poll, oldest first
        self._snapshots: dict[int, EncodedSnapshot] = {}
        self._outbox: list[tuple[str, WatchMessage]] = []

    def take_messages(self) -> list[tuple[str, WatchMessage]]:
        """Returns the messages to send now, each with its receiving sender; each message is returned once."""
        messages = self._outbox
        self._outbox = []
        return messages

    def watchers(self, now: float) -> tuple[WatcherStatus, ...]:
        """Returns the status of the known senders, in the order of their names."""
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
        """Drops sessions and snapshots that have expired."""
        while self._sessions:
            name, session = next(iter(self._sessions.items()))
            if now - session.polled_at <= SESSION_AGE_LIMIT_S:
                break
            del self._sessions[name]
        for version, snapshot in tuple(self._snapshots.items()):
            if now - snapshot.used_at > SNAPSHOT_AGE_LIMIT_S:
                del self._snapshots[version]

    def version_changed(self, now: float) -> None:
        """Pushes the store's new version to all senders that polled recently and can apply a delta."""
        for name, session in self._sessions.items():
            if now - session.polled_at > PUSH_AGE_LIMIT_S or self._is_refused(session):
                continue
            delta = self.store.delta_from(session.assumed_version)
            if delta is not None:
                self._send_delta(name, session, delta, now)

    # Messages of senders.

    def receive(self, sender: str, message: Poll | SnapshotRequest, now: float) -> None:
        """Handles a message from a sender."""
        if isinstance(message, Poll):
            self._answer(sender, self._renew_session(sender, message, now), message, now)
        else:
            self._send_chunks(sender, message, now)

    def _renew_session(self, sender: str, poll: Poll, now: float) -> Session:
        session = self._sessions.setdefault(sender, Session(now))
        self._sessions.move_to_end(sender)
        while len(self._sessions) > self._sessions_limit:
            self._sessions.popitem(last=False)
        session.polled_at = now
        session.version = poll.version
        session.assumed_version = poll.version
        session.refused_version = poll.refused_version
        session.reason = poll.reason
        return session

    def _answer(self, sender: str, session: Session, poll: Poll, now: float) -> None:
        current = self.store.document
        if poll.version > current.version or self._is_refused(session):
            self._notify(sender)
        elif poll.version == current.version:
            self._notify(sender, needs_snapshot=poll.digest != current.digest)
        elif (delta := self.store.delta_from(poll.version)) is not None:
            self._send_delta(sender, session, delta, now)
        else:
            self._notify(sender, needs_snapshot=True)

    def _is_refused(self, session: Session) -> bool:
        return session.refused_version == self.store.document.version > session.version

    # Messages to senders.

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
        for start in chunks:
            chunk = SnapshotChunk(version, start, len(data), data[start : start + CHUNK_BYTES])
            self.counts.chunks += 1
            self._outbox.append((sender, chunk))

    def _snapshot_for(self, version: int, now: float) -> tuple[int, bytes]:
        """Returns the version and the bytes of the cached snapshot of `version`, or of the newest version."""
        current = self.store.document
        if version != current.version and self.store.delta_from(version) is None:
            version = current.version
        snapshot = self._snapshots.get(version)
        if snapshot is None:
            version = current.version
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
    """Returns the approximate number of bytes that a delta takes on the network."""
    size = DATAGRAM_OVERHEAD_BYTES + sum(len(name) + RESOURCE_OVERHEAD_BYTES for name in delta.delete)
    size += sum(len(put.name) + len(put.value) + RESOURCE_OVERHEAD_BYTES for put in delta.put)
    return size + size // CHUNK_BYTES * DATAGRAM_OVERHEAD_BYTES
