"""A sender's watch of the configuration: each rule by itself."""

import random
from collections import Counter
from itertools import pairwise

import pytest
from watching import BAD, ChangedStore, RecordingApplier, copy_of

from message_sender.control.choice import ControlNodeAddress, order_nodes
from message_sender.control.document import Document, SnapshotError, encode_snapshot
from message_sender.control.fetch import SNAPSHOT_BYTES_LIMIT, SNAPSHOT_WINDOW_CHUNKS, SnapshotFetch
from message_sender.control.messages import (
    CHUNK_BYTES,
    REASON_LENGTH_LIMIT,
    Delta,
    Poll,
    Resource,
    SnapshotChunk,
    SnapshotRequest,
    VersionNotice,
    WatchMessage,
)
from message_sender.control.watch import Watch

NODES = tuple(
    ControlNodeAddress(name, ("127.0.0.1", 1), region)
    for name, region in (("c1", "north"), ("c2", "north"), ("c3", "south"), ("c4", "south"))
)


class Bench:
    """A watch on a clock of its own."""

    def __init__(self, document: Document | None = None, seed: int = 47) -> None:
        self.now = 1000.0
        self.applier = RecordingApplier(document)
        stored = copy_of(self.applier.stored)
        self.watch = Watch("s1", NODES, "north", stored, self.applier, random.Random(seed), self.now)
        self.sent: list[tuple[float, str, WatchMessage]] = []

    def run(
        self, seconds: float, answer: VersionNotice | None = None
    ) -> list[tuple[float, str, WatchMessage]]:
        """Ticks for so long; `answer` is given to each poll at once. What was sent meanwhile."""
        begin = len(self.sent)
        until = self.now + seconds
        while self.now < until:
            self.now = round(self.now + 0.05, 6)
            self.watch.tick(self.now)
            for node, message in self.collect():
                if answer and isinstance(message, Poll):
                    self.watch.receive(node, answer, self.now)
            self.collect()
        return self.sent[begin:]

    def collect(self) -> list[tuple[str, WatchMessage]]:
        out = self.watch.take_messages()
        self.sent += [(self.now, node, message) for node, message in out]
        return out

    def receive(self, message: WatchMessage, node: str = "") -> list[tuple[str, WatchMessage]]:
        """What is sent at once."""
        self.watch.receive(node or self.watch.node, message, self.now)
        return self.collect()

    def fetch_from(self, document: Document, node: str = "") -> None:
        """Serves the windows that are asked for until none is."""
        data = encode_snapshot(document)
        requests = [message for _, message in self.watch.take_messages()] or [
            message for *_, message in self.sent[-1:]
        ]
        while requests and isinstance(requests[-1], SnapshotRequest):
            offset = requests[-1].offset
            requests = []
            for at in range(
                offset, min(len(data), offset + SNAPSHOT_WINDOW_CHUNKS * CHUNK_BYTES), CHUNK_BYTES
            ):
                chunk = SnapshotChunk(document.version, at, len(data), data[at : at + CHUNK_BYTES])
                requests += [message for _, message in self.receive(chunk, node)]


def documents(count: int) -> list[Document]:
    """Versions 0 to `count`; each puts a resource."""
    store = ChangedStore()
    found = [copy_of(store.document)]
    for number in range(count):
        store.change({f"r{number}": b"1", "shared": b"%d" % number})
        found.append(copy_of(store.document))
    return found


def delta_between(old: Document, new: Document) -> Delta:
    put = tuple(Resource(n, v) for n, v in sorted(new.resources.items()) if old.resources.get(n) != v)
    delete = tuple(name for name in old.resources if name not in new.resources)
    return Delta(old.version, new.version, put, delete, new.digest)


def notice_of(document: Document, needs_snapshot: bool = False, **times: int) -> VersionNotice:
    return VersionNotice(document.version, document.digest, needs_snapshot, **times)


def polls(sent: list[tuple[float, str, WatchMessage]]) -> list[tuple[float, str, Poll]]:
    return [(at, node, message) for at, node, message in sent if isinstance(message, Poll)]


# Polls and nodes.


def test_it_polls_each_second_or_so() -> None:
    bench = Bench()
    at = [at for at, *_ in polls(bench.run(100, notice_of(Document())))]
    gaps = [later - earlier for earlier, later in pairwise(at)]
    assert at[0] <= 1000.25
    assert 0.8 <= min(gaps) and max(gaps) <= 1.25, "a tick of 0.05 s above"
    assert len({round(gap, 2) for gap in gaps}) > 4, "drawn"


def test_three_polls_without_an_answer_and_the_next_node_is_tried() -> None:
    bench = Bench()
    sent = polls(bench.run(4.0))
    order = [node.name for node in order_nodes("s1", NODES, "north")]
    assert {order[0], order[1]} == {"c1", "c2"}, "its own region first"
    assert [node for _, node, _ in sent[:12]] == [name for name in order for _ in range(3)]
    gaps = [later[0] - earlier[0] for earlier, later in pairwise(sent)]
    assert all(0.299 <= gap <= 0.401 for gap in gaps)


def test_rendezvous_hashing_spreads_the_senders_of_a_lost_node() -> None:
    orders = [[node.name for node in order_nodes(f"s{n}", NODES, "north")] for n in range(630)]
    first = Counter(order[0] for order in orders)
    third = Counter(order[2] for order in orders)
    assert set(first) == {"c1", "c2"} and min(first.values()) > 250
    assert set(third) == {"c3", "c4"} and min(third.values()) > 250


def test_it_goes_back_to_its_first_choice_once_that_answers_a_probe() -> None:
    bench = Bench()
    first = bench.watch.node
    bench.run(1.3)
    second = bench.watch.node
    assert second != first
    began = bench.now
    while bench.watch.node != first and bench.now < began + 100:
        bench.now = round(bench.now + 0.05, 6)
        bench.watch.tick(bench.now)
        for node, message in bench.collect():
            if isinstance(message, Poll) and (node == second or bench.now > began + 65):
                bench.watch.receive(node, notice_of(Document()), bench.now)
    assert bench.watch.node == first
    assert 65 < bench.now - began <= 65 + 60.1, "the first probes were not answered"


def test_it_does_not_go_back_to_a_node_that_is_behind_or_busy() -> None:
    old, new = documents(2)[1:]
    bench = Bench(new)
    first = bench.watch.node
    bench.run(1.3)
    second = bench.watch.node
    for answer in (notice_of(old), notice_of(new, age_ms=60_000), notice_of(new, retry_after_ms=500)):
        probes = 0
        while not probes:
            bench.now = round(bench.now + 0.05, 6)
            bench.watch.tick(bench.now)
            for node, message in bench.collect():
                is_probe = node == first and isinstance(message, Poll)
                probes += is_probe
                bench.watch.receive(node, answer if is_probe else notice_of(new), bench.now)
        assert bench.watch.node == second


def test_a_node_that_is_behind_is_told_the_version_and_left_after_a_while() -> None:
    old, new = documents(2)[1:]
    bench = Bench(new)
    first = bench.watch.node
    sent = polls(bench.run(2.5, notice_of(old)))
    assert {node for _, node, _ in sent} == {first}
    assert all(message.version == 2 for *_, message in sent)
    bench.run(6, notice_of(old))
    assert bench.watch.node != first
    assert bench.watch.document.version == 2 and bench.applier.attempts == []


def test_where_all_nodes_are_behind_it_does_not_run_in_circles() -> None:
    bench = Bench()
    bench.run(600, notice_of(Document(), age_ms=60_000))
    assert 4 <= bench.watch.choice.changes <= 16


def test_a_busy_node_is_asked_again_when_it_says_so_and_no_wait_is_longer_than_a_bound() -> None:
    bench = Bench()
    bench.run(0.3)
    bench.receive(notice_of(documents(1)[1], retry_after_ms=4_000))
    sent = polls(bench.run(4.2))
    assert len(sent) >= 1 and sent[0][0] >= bench.now - 0.3
    bench.receive(notice_of(Document(), retry_after_ms=10**9))
    assert polls(bench.run(11))


def test_it_polls_at_once_after_a_pause_and_leaves_nobody_for_it() -> None:
    bench = Bench()
    bench.run(5, notice_of(Document()))
    bench.run(0.75)
    node, bench.now = bench.watch.node, bench.now + 60
    bench.watch.tick(bench.now)
    assert [message for _, message in bench.collect()] == [Poll(0, 0)]
    assert bench.watch.node == node and bench.watch.counts.pauses == 1
    bench.run(0.5)
    assert bench.watch.node == node


def test_the_age_counts_since_a_majority_stood_behind_it() -> None:
    bench = Bench()
    bench.run(3, notice_of(Document(), age_ms=500))
    assert 0.5 <= bench.watch.status(bench.now).age <= 1.8
    bench.run(30)
    assert bench.watch.status(bench.now).age >= 30


# Deltas.


def test_a_delta_is_applied_once_and_acknowledged_soon() -> None:
    zero, one = documents(1)
    bench = Bench()
    bench.run(2, notice_of(zero))
    bench.receive(delta_between(zero, one))
    assert bench.watch.document.resources == bench.applier.in_force == one.resources
    acknowledged = polls(bench.run(0.4))
    assert acknowledged[0][2] == Poll(1, one.digest)
    bench.receive(delta_between(zero, one))
    assert bench.applier.steps == [(0, 1)] and bench.watch.counts.old == 1


def test_deltas_out_of_order_are_dropped_and_it_polls_soon() -> None:
    zero, one, two, _ = documents(3)
    bench = Bench()
    bench.run(3, notice_of(zero))
    while not polls(bench.run(0.05, notice_of(zero))):
        pass  # the next one is due in 0.8 s at the earliest
    bench.receive(delta_between(one, two))
    assert bench.watch.document.version == 0 and bench.watch.counts.unfit == 1
    assert polls(bench.run(0.4))
    bench.receive(delta_between(zero, two))
    bench.receive(delta_between(zero, one))
    assert bench.applier.steps == [(0, 2)]


def test_a_delta_whose_digest_differs_leads_to_a_snapshot() -> None:
    one = documents(1)[1]
    bench = Bench()
    wrong = Delta(0, 1, (Resource("r0", b"2"),), (), one.digest)
    out = bench.receive(wrong)
    assert out == [(bench.watch.node, SnapshotRequest(1, 0))] and bench.applier.attempts == []
    bench.fetch_from(one)
    assert bench.watch.document.resources == bench.applier.in_force == one.resources


def test_a_notice_whose_digest_differs_leads_to_a_snapshot_that_mends_the_content() -> None:
    one = documents(1)[1]
    bench = Bench(Document(1, {"r0": b"other", "more": b"1"}))
    assert bench.receive(notice_of(one)) == [(bench.watch.node, SnapshotRequest(1, 0))]
    bench.fetch_from(one)
    assert bench.watch.document.resources == bench.applier.in_force == one.resources
    assert bench.watch.document.digest == one.digest
    assert bench.receive(notice_of(one)) == []


def test_messages_of_unknown_nodes_and_of_senders_are_counted_and_dropped() -> None:
    zero, one = documents(1)
    bench = Bench()
    bench.receive(delta_between(zero, one), node="stranger")
    bench.receive(Poll(1, 1))
    assert bench.watch.counts.unexpected == 2 and bench.watch.document.version == 0


# Refusals.


def test_a_refused_version_changes_nothing_and_is_told_with_its_reason() -> None:
    store = ChangedStore()
    store.change(a=b"1")
    bench = Bench(copy_of(store.document))
    store.change(a=b"2", b=BAD)
    refused = store.delta_from(1)
    assert refused is not None
    bench.receive(refused)
    assert bench.watch.document.version == 1 and bench.applier.in_force == {"a": b"1"}
    poll = polls(bench.run(0.4))[0][2]
    assert (poll.version, poll.refused_version) == (1, 2) and "b" in poll.reason
    for _ in range(3):
        bench.receive(refused)
        assert bench.receive(notice_of(store.document, needs_snapshot=True)) == []
    assert bench.applier.attempts == [2]
    status = bench.watch.status(bench.now)
    assert (status.version, status.refused_version, status.reason) == (1, 2, poll.reason)
    store.change(b=b"3")
    newer = store.delta_from(1)
    assert newer is not None
    bench.receive(newer)
    assert bench.applier.in_force == {"a": b"2", "b": b"3"}
    assert polls(bench.run(0.5))[0][2].refused_version == 0


def test_a_reason_is_cut() -> None:
    store = ChangedStore()
    store.change({f"{number:0100}": BAD for number in range(20)})
    bench = Bench()
    delta = store.delta_from(0)
    assert delta is not None
    bench.receive(delta)
    assert len(polls(bench.run(0.5))[0][2].reason) == REASON_LENGTH_LIMIT


def test_a_snapshot_is_refused_whole() -> None:
    store = ChangedStore()
    store.change(a=b"1", b=BAD)
    bench = Bench()
    bench.receive(notice_of(store.document, needs_snapshot=True))
    bench.fetch_from(store.document)
    assert bench.watch.document.version == 0 and bench.applier.in_force == {}
    assert bench.receive(notice_of(store.document, needs_snapshot=True)) == []
    assert bench.applier.attempts == [1]


def test_what_could_not_be_stored_is_tried_again_after_a_while() -> None:
    zero, one = documents(1)
    bench = Bench()
    bench.applier.full_disk = True
    bench.receive(delta_between(zero, one))
    assert "no space left" in polls(bench.run(0.5))[0][2].reason
    bench.receive(delta_between(zero, one))
    assert bench.applier.attempts == [1]
    bench.applier.full_disk = False
    bench.run(11, notice_of(one))
    bench.receive(delta_between(zero, one))
    assert bench.watch.document.version == 1


# Snapshots.


def large(version_count: int = 1) -> ChangedStore:
    store = ChangedStore(history_limit=1)
    for number in range(version_count):
        store.change({f"r{number}-{at}": bytes([65 + at]) * 700 for at in range(40)})
    return store


def test_a_snapshot_comes_in_windows_and_is_checked_whole() -> None:
    store = large(2)
    bench = Bench()
    bench.receive(notice_of(store.document, needs_snapshot=True))
    bench.fetch_from(store.document)
    assert bench.applier.in_force == store.document.resources
    requests = [message for *_, message in bench.sent if isinstance(message, SnapshotRequest)]
    total = len(encode_snapshot(store.document))
    assert [each.offset for each in requests] == list(range(0, total, SNAPSHOT_WINDOW_CHUNKS * CHUNK_BYTES))


def test_chunks_out_of_order_and_doubled_are_joined_and_lost_ones_asked_for_again() -> None:
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
def test_chunks_that_do_not_fit_are_dropped(chunk: SnapshotChunk) -> None:
    fetch = SnapshotFetch(1)
    assert not fetch.add(chunk) and fetch.buffered_bytes == 0


def test_a_damaged_snapshot_is_dropped_whole_and_fetched_again_only_after_a_while() -> None:
    store = large()
    data = bytearray(encode_snapshot(store.document))
    data[20_000] ^= 1
    bench = Bench()
    notice = notice_of(store.document, needs_snapshot=True)
    bench.receive(notice)
    for _ in range(2):
        for at in range(0, len(data), 1000):
            bench.receive(SnapshotChunk(1, at, len(data), bytes(data[at : at + 1000])))
    assert bench.watch.counts.damaged_snapshots == 1 and bench.watch.document.version == 0
    assert bench.applier.attempts == []
    assert bench.receive(notice) == []
    bench.run(11, notice_of(Document()))
    assert bench.receive(notice) == [(bench.watch.node, SnapshotRequest(1, 0))]


def test_a_snapshot_begins_anew_where_the_node_has_another_version() -> None:
    old, new = large(1).document, large(2).document
    bench = Bench()
    bench.receive(notice_of(old, needs_snapshot=True))
    data = encode_snapshot(old)
    bench.receive(SnapshotChunk(1, 0, len(data), data[:1000]))
    bench.fetch_from(new)
    assert bench.watch.document.version in (0, 2)
    bench.run(0.5)
    bench.fetch_from(new)
    assert bench.applier.steps == [(0, 2)] and bench.applier.in_force == new.resources


def test_a_fetch_goes_on_at_the_next_node_and_ends_without_one() -> None:
    store = large()
    bench = Bench()
    bench.receive(notice_of(store.document, needs_snapshot=True))
    data = encode_snapshot(store.document)
    for at in range(0, 16_000, 1000):
        bench.receive(SnapshotChunk(1, at, len(data), data[at : at + 1000]))
    first = bench.watch.node
    sent = bench.run(3)
    assert any(
        node != first and message == SnapshotRequest(1, 16_000)
        for _, node, message in sent
        if isinstance(message, SnapshotRequest)
    )
    requests = [at for at, _, message in bench.run(30) if isinstance(message, SnapshotRequest)]
    assert len(requests) <= 12


def test_an_answer_to_a_poll_from_before_a_snapshot_does_not_begin_another_one() -> None:
    old, new = large(1).document, large(2).document
    bench = Bench()
    bench.run(1, notice_of(old, needs_snapshot=True))
    bench.fetch_from(old)
    assert bench.watch.document.version == 1
    late = notice_of(new, needs_snapshot=True)
    assert bench.receive(late) == []
    bench.run(0.5)
    assert bench.receive(late) == [(bench.watch.node, SnapshotRequest(2, 0))]


def test_a_snapshot_of_another_version_than_its_chunks_say_is_damaged() -> None:
    data = encode_snapshot(Document(1, {"a": b"1"}))
    fetch = SnapshotFetch(2)
    assert fetch.add(SnapshotChunk(2, 0, len(data), data)) and fetch.is_complete
    with pytest.raises(SnapshotError):
        fetch.document()


def test_the_memory_of_a_fetch_is_bounded_by_what_came_in_order_and_a_window() -> None:
    fetch = SnapshotFetch(1)
    total = SNAPSHOT_BYTES_LIMIT
    for at in range(1000, 200_000, 1000):
        fetch.add(SnapshotChunk(1, at, total, b"1" * 1000))
    assert fetch.buffered_bytes < SNAPSHOT_WINDOW_CHUNKS * CHUNK_BYTES
