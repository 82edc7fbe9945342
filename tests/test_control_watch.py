"""A sender's watch: polls, selection of nodes, deltas, refused versions."""

from collections import Counter
from itertools import pairwise

from watch_harness import NODES, Bench, delta_between, documents, notice_of, polls
from watch_helpers import BAD, ChangedStore, copy_of

from message_sender.control.document import Document
from message_sender.control.messages import (
    REASON_LENGTH_LIMIT,
    Delta,
    Poll,
    Resource,
    SnapshotRequest,
)
from message_sender.control.node_choice import order_nodes

# Polls and nodes.


def test_the_watch_polls_at_random_intervals_of_about_a_second() -> None:
    bench = Bench()
    at = [at for at, *_ in polls(bench.run(100, notice_of(Document())))]
    gaps = [later - earlier for earlier, later in pairwise(at)]
    assert at[0] <= 1000.25
    assert 0.8 <= min(gaps) and max(gaps) <= 1.25, "1.2 s and one tick of 0.05 s"
    assert len({round(gap, 2) for gap in gaps}) > 4, "random intervals"


def test_after_three_unanswered_polls_the_next_node_is_tried() -> None:
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


def test_the_watch_returns_to_its_first_choice_once_that_answers_a_probe() -> None:
    bench = Bench()
    first = bench.watch.node
    bench.run(1.3)
    second = bench.watch.node
    assert second != first
    started_at = bench.now
    while bench.watch.node != first and bench.now < started_at + 100:
        bench.now = round(bench.now + 0.05, 6)
        bench.watch.tick(bench.now)
        for node, message in bench.collect():
            if isinstance(message, Poll) and (node == second or bench.now > started_at + 65):
                bench.watch.receive(node, notice_of(Document()), bench.now)
    assert bench.watch.node == first
    assert 65 < bench.now - started_at <= 65 + 60.1, "the first probes were not answered"


def test_the_watch_does_not_return_to_a_node_that_lags_or_is_busy() -> None:
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


def test_a_lagging_node_gets_polls_with_the_newer_version_and_is_replaced_after_the_lag_timeout() -> None:
    old, new = documents(2)[1:]
    bench = Bench(new)
    first = bench.watch.node
    sent = polls(bench.run(2.5, notice_of(old)))
    assert {node for _, node, _ in sent} == {first}
    assert all(message.version == 2 for *_, message in sent)
    bench.run(6, notice_of(old))
    assert bench.watch.node != first
    assert bench.watch.document.version == 2 and bench.applier.attempts == []


def test_if_all_nodes_lag_the_watch_changes_nodes_rarely() -> None:
    bench = Bench()
    bench.run(600, notice_of(Document(), age_ms=60_000))
    assert 4 <= bench.watch.choice.changes <= 16


def test_a_busy_node_is_polled_after_its_retry_after_which_is_bounded() -> None:
    bench = Bench()
    bench.run(0.3)
    bench.receive(notice_of(documents(1)[1], retry_after_ms=4_000))
    sent = polls(bench.run(4.2))
    assert len(sent) >= 1 and sent[0][0] >= bench.now - 0.3
    bench.receive(notice_of(Document(), retry_after_ms=10**9))
    assert polls(bench.run(11))


def test_after_a_pause_the_watch_polls_immediately_and_keeps_its_node() -> None:
    bench = Bench()
    bench.run(5, notice_of(Document()))
    bench.run(0.75)
    node, bench.now = bench.watch.node, bench.now + 60
    bench.watch.tick(bench.now)
    assert [message for _, message in bench.collect()] == [Poll(0, 0)]
    assert bench.watch.node == node and bench.watch.counts.pauses == 1
    bench.run(0.5)
    assert bench.watch.node == node


def test_the_age_counts_from_the_last_confirmation_by_a_majority() -> None:
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
    assert bench.watch.document.resources == bench.applier.active_resources == one.resources
    acknowledged = polls(bench.run(0.4))
    assert acknowledged[0][2] == Poll(1, one.digest)
    bench.receive(delta_between(zero, one))
    assert bench.applier.steps == [(0, 1)] and bench.watch.counts.old == 1


def test_a_delta_out_of_order_is_dropped_and_a_poll_follows_soon() -> None:
    zero, one, two, _ = documents(3)
    bench = Bench()
    bench.run(3, notice_of(zero))
    while not polls(bench.run(0.05, notice_of(zero))):
        pass  # the next poll is due in 0.8 s at the earliest
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
    sent = bench.receive(wrong)
    assert sent == [(bench.watch.node, SnapshotRequest(1, 0))] and bench.applier.attempts == []
    bench.fetch_from(one)
    assert bench.watch.document.resources == bench.applier.active_resources == one.resources


def test_a_notice_whose_digest_differs_leads_to_a_snapshot_that_repairs_the_content() -> None:
    one = documents(1)[1]
    bench = Bench(Document(1, {"r0": b"other", "more": b"1"}))
    assert bench.receive(notice_of(one)) == [(bench.watch.node, SnapshotRequest(1, 0))]
    bench.fetch_from(one)
    assert bench.watch.document.resources == bench.applier.active_resources == one.resources
    assert bench.watch.document.digest == one.digest
    assert bench.receive(notice_of(one)) == []


def test_messages_of_unknown_nodes_and_of_senders_are_counted_and_dropped() -> None:
    zero, one = documents(1)
    bench = Bench()
    bench.receive(delta_between(zero, one), node="stranger")
    bench.receive(Poll(1, 1))
    assert bench.watch.counts.unexpected == 2 and bench.watch.document.version == 0


# Refusals.


def test_a_refused_version_changes_nothing_and_is_reported_with_its_reason() -> None:
    store = ChangedStore()
    store.change(a=b"1")
    bench = Bench(copy_of(store.document))
    store.change(a=b"2", b=BAD)
    refused = store.delta_from(1)
    assert refused is not None
    bench.receive(refused)
    assert bench.watch.document.version == 1 and bench.applier.active_resources == {"a": b"1"}
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
    assert bench.applier.active_resources == {"a": b"2", "b": b"3"}
    assert polls(bench.run(0.5))[0][2].refused_version == 0


def test_a_long_reason_is_truncated() -> None:
    store = ChangedStore()
    store.change({f"{number:0100}": BAD for number in range(20)})
    bench = Bench()
    delta = store.delta_from(0)
    assert delta is not None
    bench.receive(delta)
    assert len(polls(bench.run(0.5))[0][2].reason) == REASON_LENGTH_LIMIT


def test_a_snapshot_with_a_fault_is_refused_completely() -> None:
    store = ChangedStore()
    store.change(a=b"1", b=BAD)
    bench = Bench()
    bench.receive(notice_of(store.document, needs_snapshot=True))
    bench.fetch_from(store.document)
    assert bench.watch.document.version == 0 and bench.applier.active_resources == {}
    assert bench.receive(notice_of(store.document, needs_snapshot=True)) == []
    assert bench.applier.attempts == [1]


def test_a_version_that_could_not_be_stored_is_retried_later() -> None:
    zero, one = documents(1)
    bench = Bench()
    bench.applier.is_disk_full = True
    bench.receive(delta_between(zero, one))
    assert "no space left" in polls(bench.run(0.5))[0][2].reason
    bench.receive(delta_between(zero, one))
    assert bench.applier.attempts == [1]
    bench.applier.is_disk_full = False
    bench.run(11, notice_of(one))
    bench.receive(delta_between(zero, one))
    assert bench.watch.document.version == 1
