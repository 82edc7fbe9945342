"""The server side of the watches: sessions, pushes, snapshots and the byte budget."""

import random

from watch_helpers import ChangedStore

from message_sender.control.document import Document, encode_snapshot
from message_sender.control.fanout import (
    BURST_BYTES,
    DELTA_RESERVE_BYTES,
    RETRY_AFTER_LIMIT_S,
    SESSION_AGE_LIMIT_S,
    ByteBudget,
    Fanout,
)
from message_sender.control.messages import (
    CHUNK_BYTES,
    Delta,
    Poll,
    SnapshotChunk,
    SnapshotRequest,
    VersionNotice,
    WatchMessage,
)
from message_sender.control.snapshot_fetch import SNAPSHOT_WINDOW_CHUNKS


class FanoutHarness:
    """A fan-out whose clock the test controls."""

    def __init__(self, store: ChangedStore | None = None, sessions_limit: int = 1_000) -> None:
        self.store = store or ChangedStore()
        self.now = 1000.0
        self.fanout = Fanout(
            self.store, random.Random(47), self.now, lambda: 7, sessions_limit=sessions_limit
        )

    def poll(self, sender: str, document: Document, refused: int = 0, reason: str = "") -> WatchMessage:
        """Delivers a poll, and returns the answer, of which there must be exactly one."""
        message = Poll(document.version, document.digest, refused, reason)
        self.fanout.receive(sender, message, self.now)
        ((to, answer),) = self.fanout.take_messages()
        assert to == sender
        return answer

    def request_chunks(self, sender: str, version: int, offset: int) -> list[WatchMessage]:
        self.fanout.receive(sender, SnapshotRequest(version, offset), self.now)
        return [message for _, message in self.fanout.take_messages()]

    def push(self) -> list[tuple[str, WatchMessage]]:
        self.fanout.version_changed(self.now)
        return self.fanout.take_messages()


def version(document: Document) -> Document:
    return Document(document.version, document.resources)


def test_a_poll_with_the_current_version_gets_a_notice() -> None:
    harness = FanoutHarness()
    harness.store.change(a=b"1")
    current = harness.store.document
    assert harness.poll("s1", current) == VersionNotice(1, current.digest, age_ms=7)


def test_a_poll_with_the_current_version_and_another_digest_gets_a_notice_to_fetch_a_snapshot() -> None:
    harness = FanoutHarness()
    harness.store.change(a=b"1")
    answer = harness.poll("s1", Document(1, {"a": b"2"}))
    assert isinstance(answer, VersionNotice) and answer.needs_snapshot


def test_a_poll_with_an_older_version_gets_a_delta_or_a_notice_to_fetch_a_snapshot() -> None:
    harness = FanoutHarness(ChangedStore(history_limit=2))
    for number in range(4):
        harness.store.change({f"r{number}": b"1"})
    answer = harness.poll("s1", Document(2))
    assert isinstance(answer, Delta) and (answer.from_version, answer.to_version) == (2, 4)
    answer = harness.poll("s1", Document(1))
    assert isinstance(answer, VersionNotice) and answer.needs_snapshot and answer.version == 4


def test_a_poll_with_a_newer_version_gets_a_notice_with_the_older_version() -> None:
    harness = FanoutHarness()
    assert harness.poll("s1", Document(9)) == VersionNotice(0, 0, age_ms=7)
    assert harness.request_chunks("s1", 9, 0) == [VersionNotice(0, 0, age_ms=7)]


def test_a_new_version_is_pushed_immediately_to_all_senders_that_polled_recently() -> None:
    harness = FanoutHarness()
    for name in ("s1", "s2", "paused"):
        harness.poll(name, Document())
    harness.now += 20
    for name in ("s1", "s2"):
        harness.poll(name, Document())
    harness.store.change(a=b"1")
    pushed = harness.push()
    assert [name for name, _ in pushed] == ["s1", "s2"]
    assert all(message == harness.store.delta_from(0) for _, message in pushed)


def test_successive_versions_are_pushed_without_waiting_for_polls() -> None:
    harness = FanoutHarness()
    harness.poll("s1", Document())
    for _ in range(3):
        harness.store.change(a=b"1")
        ((_, message),) = harness.push()
        assert isinstance(message, Delta) and message.from_version == message.to_version - 1
    assert harness.fanout.watchers(harness.now)[0].version == 0, "not acknowledged"
    answer = harness.poll("s1", Document())
    assert isinstance(answer, Delta) and (answer.from_version, answer.to_version) == (0, 3)


def test_a_refused_version_is_not_sent_again_and_a_newer_one_is() -> None:
    harness = FanoutHarness()
    harness.store.change(a=b"1")
    harness.poll("s1", Document(), 1, "bad")
    assert harness.push() == []
    assert isinstance(harness.poll("s1", Document(), 1, "bad"), VersionNotice)
    (watcher,) = harness.fanout.watchers(harness.now)
    assert (watcher.version, watcher.refused_version, watcher.reason) == (0, 1, "bad")
    harness.store.change(a=b"2")
    ((_, message),) = harness.push()
    assert isinstance(message, Delta) and message.to_version == 2


def test_a_silent_session_is_reported_and_dropped_after_a_day() -> None:
    harness = FanoutHarness()
    harness.poll("s1", Document())
    harness.now += 60
    harness.fanout.tick(harness.now)
    assert harness.fanout.watchers(harness.now)[0].silent_ms == 60_000
    harness.now += SESSION_AGE_LIMIT_S
    harness.fanout.tick(harness.now)
    assert harness.fanout.watchers(harness.now) == ()


def test_sessions_are_bounded_and_the_longest_silent_one_is_dropped_first() -> None:
    harness = FanoutHarness(sessions_limit=3)
    for name in ("s1", "s2", "s3", "s1", "s4"):
        harness.now += 1
        harness.poll(name, Document())
    assert [watcher.name for watcher in harness.fanout.watchers(harness.now)] == ["s1", "s3", "s4"]


def large_store() -> ChangedStore:
    store = ChangedStore(history_limit=2)
    for number in range(3):
        store.change({f"r{number}-{at}": bytes([65 + at]) * 700 for at in range(40)})
    return store


def test_each_request_is_answered_with_one_window_of_chunks() -> None:
    harness = FanoutHarness(large_store())
    data = encode_snapshot(harness.store.document)
    messages = harness.request_chunks("s1", 3, 16_000)
    chunks = [message for message in messages if isinstance(message, SnapshotChunk)]
    assert len(chunks) == len(messages) == SNAPSHOT_WINDOW_CHUNKS
    assert b"".join(chunk.data for chunk in chunks) == data[16_000:32_000]
    assert {(chunk.version, chunk.total) for chunk in chunks} == {(3, len(data))}
    assert len(harness.request_chunks("s1", 3, len(data) // CHUNK_BYTES * CHUNK_BYTES)) == 1
    assert harness.request_chunks("s1", 3, 10**12) == []


def test_a_snapshot_in_progress_is_served_while_its_version_is_in_the_history() -> None:
    harness = FanoutHarness(large_store())
    first_encoding = encode_snapshot(harness.store.document)
    harness.request_chunks("s1", 3, 0)
    harness.store.change(a=b"1")
    first = harness.request_chunks("s1", 3, 16_000)[0]
    assert isinstance(first, SnapshotChunk) and first.data == first_encoding[16_000:17_000]
    for _ in range(2):
        harness.store.change(a=b"1")
    first = harness.request_chunks("s1", 3, 16_000)[0]
    assert isinstance(first, SnapshotChunk) and (first.version, first.offset) == (6, 0)
    assert harness.fanout.counts.snapshots_encoded == 2


def test_an_encoded_snapshot_without_requests_is_dropped() -> None:
    harness = FanoutHarness(large_store())
    harness.request_chunks("s1", 3, 0)
    harness.now += 61
    harness.fanout.tick(harness.now)
    harness.request_chunks("s1", 3, 0)
    assert harness.fanout.counts.snapshots_encoded == 2


def test_concurrent_fetches_are_bounded_and_get_spread_retry_times() -> None:
    harness = FanoutHarness(large_store())
    messages = [harness.request_chunks(f"s{number}", 3, 0) for number in range(630)]
    served = [each for each in messages if len(each) == SNAPSHOT_WINDOW_CHUNKS]
    sent = sum(len(each) for each in served) * (CHUNK_BYTES + 130)
    assert sent <= BURST_BYTES - DELTA_RESERVE_BYTES
    waits = [m.retry_after_ms for each in messages for m in each if isinstance(m, VersionNotice)]
    assert len(served) + len(waits) == 630 and min(waits) > 0
    assert max(waits) <= 1.2 * RETRY_AFTER_LIMIT_S * 1000 + 1
    assert len({wait // 100 for wait in waits}) > 10, "spread"


def test_deltas_are_sent_when_fetches_have_used_their_part_of_the_budget() -> None:
    harness = FanoutHarness(large_store())
    for number in range(630):
        harness.poll(f"s{number}", harness.store.document)
        harness.request_chunks(f"s{number}", 3, 0)
    harness.store.change(a=b"1")
    pushed = harness.push()
    assert len(pushed) == 630 and all(isinstance(message, Delta) for _, message in pushed)


def test_deltas_are_also_bounded_by_the_budget() -> None:
    harness = FanoutHarness()
    for number in range(630):
        harness.poll(f"s{number}", Document())
    harness.store.change(a=b"1" * 30_000)
    pushed = [message for _, message in harness.push()]
    deltas = [message for message in pushed if isinstance(message, Delta)]
    assert len(deltas) * 30_000 <= BURST_BYTES and len(pushed) == 630
    assert all(m.retry_after_ms for m in pushed if isinstance(m, VersionNotice))


def test_the_bucket_enforces_its_rate_and_assigns_distinct_retry_times() -> None:
    budget = ByteBudget(1_000, 500, 0.0)
    taken = now = 0.0
    while now < 60:
        taken += 100 * (budget.take(100, 0, now) == 0)
        now += 0.01
    assert 59_000 <= taken <= 60_600
    budget = ByteBudget(1_000, 500, 0.0)
    waits = [budget.take(100, 0, 0.0) for _ in range(20)]
    assert waits[:5] == [0] * 5 and 0 not in waits[5:]
    waits = waits[5:]
    assert waits == sorted(waits) and len(set(waits)) == len(waits)


def test_a_request_larger_than_the_bucket_succeeds_when_the_bucket_is_full() -> None:
    budget = ByteBudget(1_000, 500, 0.0)
    assert budget.take(800, 100, 0.0) == 0
    assert budget.take(800, 100, 0.5) > 0
    assert budget.take(800, 100, 0.81) == 0
