"""A sender's watch: polls, selection of nodes, deltas, refused versions."""

from collections import Counter
from itertools import pairwise

from watch_harness import NODES, WatchHarness, delta_between, documents, notice_of, polls
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
    harness = WatchHarness()
    at = [at for at, *_ in polls(harness.run(100, notice_of(Document())))]
    gaps = [later - earlier for earlier, later in pairwise(at)]
    assert at[0] <= 1000.25
    assert 0.8 <= min(gaps) and max(gaps) <= 1.25, "1.2 s and one tick of 0.05 s"
    assert len({round(gap, 2) for gap in gaps}) > 4, "random intervals"


def test_after_three_unanswered_polls_the_next_node_is_tried() -> None:
    harness = WatchHarness()
    sent = polls(harness.run(4.0))
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
    harness = WatchHarness()
    first = harness.watch.node
    harness.run(1.3)
    second = harness.watch.node
    assert second != first
    started_at = harness.now
    while harness.watch.node != first and harness.now < started_at + 100:
        harness.now = round(harness.now + 0.05, 6)
        harness.watch.tick(harness.now)
        for node, message in harness.collect():
            if isinstance(message, Poll) and (node == second or harness.now > started_at + 65):
                harness.watch.receive(node, notice_of(Document()), harness.now)
    assert harness.watch.node == first
    assert 65 < harness.now - started_at <= 65 + 60.1, "the first probes were not answered"


def test_the_watch_does_not_return_to_a_node_that_lags_or_is_busy() -> None:
    old, new = documents(2)[1:]
    harness = WatchHarness(new)
    first = harness.watch.node
    harness.run(1.3)
    second = harness.watch.node
    for answer in (notice_of(old), notice_of(new, age_ms=60_000), notice_of(new, retry_after_ms=500)):
        probes = 0
        while not probes:
            harness.now = round(harness.now + 0.05, 6)
            harness.watch.tick(harness.now)
            for node, message in harness.collect():
                is_probe = node == first and isinstance(message, Poll)
                probes += is_probe
                harness.watch.receive(node, answer if is_probe else notice_of(new), harness.now)
        assert harness.watch.node == second


def test_a_lagging_node_gets_polls_with_the_newer_version_and_is_replaced_after_the_lag_timeout() -> None:
    old, new = documents(2)[1:]
    harness = WatchHarness(new)
    first = harness.watch.node
    sent = polls(harness.run(2.5, notice_of(old)))
    assert {node for _, node, _ in sent} == {first}
    assert all(message.version == 2 for *_, message in sent)
    harness.run(6, notice_of(old))
    assert harness.watch.node != first
    assert harness.watch.document.version == 2 and harness.applier.attempts == []


def test_if_all_nodes_lag_the_watch_changes_nodes_rarely() -> None:
    harness = WatchHarness()
    harness.run(600, notice_of(Document(), age_ms=60_000))
    assert 4 <= harness.watch.choice.changes <= 16


def test_a_busy_node_is_polled_after_its_retry_after_which_is_bounded() -> None:
    harness = WatchHarness()
    harness.run(0.3)
    harness.receive(notice_of(documents(1)[1], retry_after_ms=4_000))
    sent = polls(harness.run(4.2))
    assert len(sent) >= 1 and sent[0][0] >= harness.now - 0.3
    harness.receive(notice_of(Document(), retry_after_ms=10**9))
    assert polls(harness.run(11))


def test_after_a_pause_the_watch_polls_immediately_and_keeps_its_node() -> None:
    harness = WatchHarness()
    harness.run(5, notice_of(Document()))
    harness.run(0.75)
    node, harness.now = harness.watch.node, harness.now + 60
    harness.watch.tick(harness.now)
    assert [message for _, message in harness.collect()] == [Poll(0, 0)]
    assert harness.watch.node == node and harness.watch.counts.pauses == 1
    harness.run(0.5)
    assert harness.watch.node == node


def test_the_age_counts_from_the_last_confirmation_by_a_majority() -> None:
    harness = WatchHarness()
    harness.run(3, notice_of(Document(), age_ms=500))
    assert 0.5 <= harness.watch.status(harness.now).age <= 1.8
    harness.run(30)
    assert harness.watch.status(harness.now).age >= 30


# Deltas.


def test_a_delta_is_applied_once_and_acknowledged_soon() -> None:
    zero, one = documents(1)
    harness = WatchHarness()
    harness.run(2, notice_of(zero))
    harness.receive(delta_between(zero, one))
    assert harness.watch.document.resources == harness.applier.active_resources == one.resources
    acknowledged = polls(harness.run(0.4))
    assert acknowledged[0][2] == Poll(1, one.digest)
    harness.receive(delta_between(zero, one))
    assert harness.applier.steps == [(0, 1)] and harness.watch.counts.old == 1


def test_a_delta_out_of_order_is_dropped_and_a_poll_follows_soon() -> None:
    zero, one, two, _ = documents(3)
    harness = WatchHarness()
    harness.run(3, notice_of(zero))
    while not polls(harness.run(0.05, notice_of(zero))):
        pass  # the next poll is due in 0.8 s at the earliest
    harness.receive(delta_between(one, two))
    assert harness.watch.document.version == 0 and harness.watch.counts.unfit == 1
    assert polls(harness.run(0.4))
    harness.receive(delta_between(zero, two))
    harness.receive(delta_between(zero, one))
    assert harness.applier.steps == [(0, 2)]


def test_a_delta_whose_digest_differs_leads_to_a_snapshot() -> None:
    one = documents(1)[1]
    harness = WatchHarness()
    wrong = Delta(0, 1, (Resource("r0", b"2"),), (), one.digest)
    sent = harness.receive(wrong)
    assert sent == [(harness.watch.node, SnapshotRequest(1, 0))] and harness.applier.attempts == []
    harness.fetch_from(one)
    assert harness.watch.document.resources == harness.applier.active_resources == one.resources


def test_a_notice_whose_digest_differs_leads_to_a_snapshot_that_repairs_the_content() -> None:
    one = documents(1)[1]
    harness = WatchHarness(Document(1, {"r0": b"other", "more": b"1"}))
    assert harness.receive(notice_of(one)) == [(harness.watch.node, SnapshotRequest(1, 0))]
    harness.fetch_from(one)
    assert harness.watch.document.resources == harness.applier.active_resources == one.resources
    assert harness.watch.document.digest == one.digest
    assert harness.receive(notice_of(one)) == []


def test_messages_of_unknown_nodes_and_of_senders_are_counted_and_dropped() -> None:
    zero, one = documents(1)
    harness = WatchHarness()
    harness.receive(delta_between(zero, one), node="stranger")
    harness.receive(Poll(1, 1))
    assert harness.watch.counts.unexpected == 2 and harness.watch.document.version == 0


# Refusals.


def test_a_refused_version_changes_nothing_and_is_reported_with_its_reason() -> None:
    store = ChangedStore()
    store.change(a=b"1")
    harness = WatchHarness(copy_of(store.document))
    store.change(a=b"2", b=BAD)
    refused = store.delta_from(1)
    assert refused is not None
    harness.receive(refused)
    assert harness.watch.document.version == 1 and harness.applier.active_resources == {"a": b"1"}
    poll = polls(harness.run(0.4))[0][2]
    assert (poll.version, poll.refused_version) == (1, 2) and "b" in poll.reason
    for _ in range(3):
        harness.receive(refused)
        assert harness.receive(notice_of(store.document, needs_snapshot=True)) == []
    assert harness.applier.attempts == [2]
    status = harness.watch.status(harness.now)
    assert (status.version, status.refused_version, status.reason) == (1, 2, poll.reason)
    store.change(b=b"3")
    newer = store.delta_from(1)
    assert newer is not None
    harness.receive(newer)
    assert harness.applier.active_resources == {"a": b"2", "b": b"3"}
    assert polls(harness.run(0.5))[0][2].refused_version == 0


def test_a_long_reason_is_truncated() -> None:
    store = ChangedStore()
    store.change({f"{number:0100}": BAD for number in range(20)})
    harness = WatchHarness()
    delta = store.delta_from(0)
    assert delta is not None
    harness.receive(delta)
    assert len(polls(harness.run(0.5))[0][2].reason) == REASON_LENGTH_LIMIT


def test_a_snapshot_with_a_fault_is_refused_completely() -> None:
    store = ChangedStore()
    store.change(a=b"1", b=BAD)
    harness = WatchHarness()
    harness.receive(notice_of(store.document, needs_snapshot=True))
    harness.fetch_from(store.document)
    assert harness.watch.document.version == 0 and harness.applier.active_resources == {}
    assert harness.receive(notice_of(store.document, needs_snapshot=True)) == []
    assert harness.applier.attempts == [1]


def test_a_version_that_could_not_be_stored_is_retried_later() -> None:
    zero, one = documents(1)
    harness = WatchHarness()
    harness.applier.is_disk_full = True
    harness.receive(delta_between(zero, one))
    assert "no space left" in polls(harness.run(0.5))[0][2].reason
    harness.receive(delta_between(zero, one))
    assert harness.applier.attempts == [1]
    harness.applier.is_disk_full = False
    harness.run(11, notice_of(one))
    harness.receive(delta_between(zero, one))
    assert harness.watch.document.version == 1
