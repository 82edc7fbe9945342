"""A sender's watch: fetches of snapshots in chunks."""

import pytest
from watch_harness import WatchHarness, notice_of
from watch_helpers import ChangedStore

from message_sender.control.document import Document, SnapshotError, encode_snapshot
from message_sender.control.messages import (
    CHUNK_BYTES,
    SnapshotChunk,
    SnapshotRequest,
)
from message_sender.control.snapshot_fetch import SNAPSHOT_BYTES_LIMIT, SNAPSHOT_WINDOW_CHUNKS, SnapshotFetch

# Snapshots.


def large(version_count: int = 1) -> ChangedStore:
    store = ChangedStore(history_limit=1)
    for number in range(version_count):
        store.change({f"r{number}-{at}": bytes([65 + at]) * 700 for at in range(40)})
    return store


def test_a_snapshot_is_fetched_in_windows_and_applied() -> None:
    store = large(2)
    harness = WatchHarness()
    harness.receive(notice_of(store.document, needs_snapshot=True))
    harness.fetch_from(store.document)
    assert harness.applier.active_resources == store.document.resources
    requests = [message for *_, message in harness.sent if isinstance(message, SnapshotRequest)]
    total = len(encode_snapshot(store.document))
    assert [each.offset for each in requests] == list(range(0, total, SNAPSHOT_WINDOW_CHUNKS * CHUNK_BYTES))


def test_reordered_and_duplicated_chunks_are_joined_and_lost_ones_requested_again() -> None:
    data = encode_snapshot(large().document)
    chunks = [SnapshotChunk(1, at, len(data), data[at : at + 1000]) for at in range(0, len(data), 1000)]
    fetch = SnapshotFetch(1)
    fetch.request()
    assert not fetch.add(chunks[SNAPSHOT_WINDOW_CHUNKS]), "outside the window"
    assert [fetch.add(chunks[at]) for at in (3, 1, 1, 2, 5)] == [True, True, False, True, True]
    assert fetch.request() == SnapshotRequest(1, 0)
    fetch.add(chunks[0])
    assert fetch.request() == SnapshotRequest(1, 4000)
    for chunk in chunks[:20]:
        fetch.add(chunk)
    assert fetch.is_window_complete and fetch.buffered_bytes == 20_000
    fetch.request()
    for chunk in reversed(chunks):
        fetch.add(chunk)
    assert fetch.is_complete and fetch.document().digest == large().document.digest


@pytest.mark.parametrize(
    "chunk",
    [
        SnapshotChunk(1, 0, SNAPSHOT_BYTES_LIMIT + 1, b"1" * 1000),
        SnapshotChunk(1, 0, 5000, b"1" * 999),
        SnapshotChunk(1, 500, 5000, b"1" * 1000),
        SnapshotChunk(1, 4000, 4500, b"1" * 1000),
        SnapshotChunk(1, 50_000, 90_000, b"1" * 1000),
    ],
)
def test_chunks_with_invalid_sizes_or_offsets_are_dropped(chunk: SnapshotChunk) -> None:
    fetch = SnapshotFetch(1)
    assert not fetch.add(chunk) and fetch.buffered_bytes == 0


def test_a_damaged_snapshot_is_dropped_completely_and_fetched_again_only_after_a_delay() -> None:
    store = large()
    data = bytearray(encode_snapshot(store.document))
    data[20_000] ^= 1
    harness = WatchHarness()
    notice = notice_of(store.document, needs_snapshot=True)
    harness.receive(notice)
    for _ in range(2):
        for at in range(0, len(data), 1000):
            harness.receive(SnapshotChunk(1, at, len(data), bytes(data[at : at + 1000])))
    assert harness.watch.counts.damaged_snapshots == 1 and harness.watch.document.version == 0
    assert harness.applier.attempts == []
    assert harness.receive(notice) == []
    harness.run(11, notice_of(Document()))
    assert harness.receive(notice) == [(harness.watch.node, SnapshotRequest(1, 0))]


def test_a_fetch_restarts_if_the_node_has_another_version() -> None:
    old, new = large(1).document, large(2).document
    harness = WatchHarness()
    harness.receive(notice_of(old, needs_snapshot=True))
    data = encode_snapshot(old)
    harness.receive(SnapshotChunk(1, 0, len(data), data[:1000]))
    harness.fetch_from(new)
    assert harness.watch.document.version in (0, 2)
    harness.run(0.5)
    harness.fetch_from(new)
    assert harness.applier.steps == [(0, 2)] and harness.applier.active_resources == new.resources


def test_a_fetch_continues_at_the_next_node_and_ends_if_no_node_answers() -> None:
    store = large()
    harness = WatchHarness()
    harness.receive(notice_of(store.document, needs_snapshot=True))
    data = encode_snapshot(store.document)
    for at in range(0, 16_000, 1000):
        harness.receive(SnapshotChunk(1, at, len(data), data[at : at + 1000]))
    first = harness.watch.node
    sent = harness.run(3)
    assert any(
        node != first and message == SnapshotRequest(1, 16_000)
        for _, node, message in sent
        if isinstance(message, SnapshotRequest)
    )
    requests = [at for at, _, message in harness.run(30) if isinstance(message, SnapshotRequest)]
    assert len(requests) <= 12


def test_an_answer_to_a_poll_from_before_a_snapshot_does_not_start_another_fetch() -> None:
    old, new = large(1).document, large(2).document
    harness = WatchHarness()
    harness.run(1, notice_of(old, needs_snapshot=True))
    harness.fetch_from(old)
    assert harness.watch.document.version == 1
    late = notice_of(new, needs_snapshot=True)
    assert harness.receive(late) == []
    harness.run(0.5)
    assert harness.receive(late) == [(harness.watch.node, SnapshotRequest(2, 0))]


def test_a_snapshot_of_another_version_than_its_chunks_is_damaged() -> None:
    data = encode_snapshot(Document(1, {"a": b"1"}))
    fetch = SnapshotFetch(2)
    assert fetch.add(SnapshotChunk(2, 0, len(data), data)) and fetch.is_complete
    with pytest.raises(SnapshotError):
        fetch.document()


def test_the_memory_of_a_fetch_is_bounded_by_the_bytes_in_order_and_one_window() -> None:
    fetch = SnapshotFetch(1)
    total = SNAPSHOT_BYTES_LIMIT
    for at in range(1000, 200_000, 1000):
        fetch.add(SnapshotChunk(1, at, total, b"1" * 1000))
    assert fetch.buffered_bytes < SNAPSHOT_WINDOW_CHUNKS * CHUNK_BYTES
