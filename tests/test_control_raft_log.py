"""The rules of the replicated log: commitment, a follower's log, and the order of durable writes."""

from random import Random

import pytest
from raft_cluster import THREE, acknowledge, elected, entries_of, flush, follower, with_leader

from message_sender.control import leadership
from message_sender.control.log import ReplicatedLog
from message_sender.control.messages import (
    AppendReply,
    AppendRequest,
    LogEntry,
    VoteRequest,
)
from message_sender.control.progress import IN_FLIGHT_REQUESTS_LIMIT
from message_sender.control.raft_types import HardState, NotLeaderError, Ready, ReplicaInvariantError, Role
from message_sender.control.replica import (
    ELECTION_TIMEOUT_MAX_S,
    HEARTBEAT_INTERVAL_S,
    Replica,
)

# Commitment.


def test_a_leader_begins_with_an_empty_entry_and_commits_older_entries_only_with_it() -> None:
    replica = follower(term=2, entries=entries_of(1, 2))
    now = elected(replica, 0.0)
    ready = flush(replica)
    assert ready is not None and ready.entries == (LogEntry(3, 3, b""),)
    acknowledge(replica, "b", 2, now)
    assert replica.commit_index == 0
    acknowledge(replica, "b", 3, now)
    assert replica.commit_index == 3


def test_a_leader_counts_itself_only_after_its_own_sync() -> None:
    replica = follower(votes={"a": 3, "b": 1, "c": 1})
    now = ELECTION_TIMEOUT_MAX_S
    replica.tick(now)  # its own votes are a majority
    assert replica.role is Role.LEADER and replica.commit_index == 0
    ready = replica.take_ready()
    assert ready is not None and ready.entries and not ready.committed
    assert replica.commit_index == 0
    replica.persisted(ready)
    assert replica.commit_index == 1
    replica.propose(b"change", now)
    assert replica.commit_index == 1


def test_a_higher_commit_index_is_sent_immediately() -> None:
    replica = follower()
    now = elected(replica, 0.0)
    flush(replica)
    acknowledge(replica, "b", 1, now)
    ready = flush(replica)
    assert ready is not None and [entry.index for entry in ready.committed] == [1]
    requests = [(to, message) for to, message in ready.messages if isinstance(message, AppendRequest)]
    assert [(to, request.commit_index) for to, request in requests] == [("b", 1), ("c", 1)]
    assert flush(replica) is None


def test_batches_are_bounded_in_bytes_and_in_number() -> None:
    cluster = with_leader(THREE)
    data = bytes(leadership.BATCH_BYTES_LIMIT // 3)
    for _ in range(50):
        cluster.propose(data)
    cluster.propose(bytes(2 * leadership.BATCH_BYTES_LIMIT))
    ready = cluster.leader().take_ready()
    assert ready is not None
    sent = [
        message for to, message in ready.messages if isinstance(message, AppendRequest) and message.entries
    ]
    assert len(sent) == 2 * IN_FLIGHT_REQUESTS_LIMIT
    assert all(len(request.entries) == 3 for request in sent)
    cluster.leader().persisted(ready)  # all of these requests are lost
    cluster.run(1.0)
    assert all(each.last_index == each.commit_index == 52 for each in cluster.replicas.values())
    sizes = [sum(len(entry.data) for entry in request.entries) for request in cluster.requests]
    assert sorted(sizes)[-2:] == [2 * leadership.BATCH_BYTES_LIMIT] * 2
    assert sorted(sizes)[-3] <= leadership.BATCH_BYTES_LIMIT


def test_a_lost_request_is_repeated_after_the_next_heartbeat() -> None:
    cluster = with_leader(THREE)
    cluster.propose(b"change")
    cluster.parts = ()
    cluster.exchange()
    cluster.parts = ("abc",)
    cluster.run(2 * HEARTBEAT_INTERVAL_S)
    assert all(each == [b"change"] for each in cluster.committed.values())


def test_an_absent_follower_gets_only_heartbeats_without_entries() -> None:
    cluster = with_leader(THREE)
    leader = cluster.leader().name
    isolated = next(name for name in THREE if name != leader)
    cluster.parts = ("".join(set(THREE) - {isolated}),)
    cluster.propose(b"change")
    cluster.exchange()
    cluster.requests.clear()
    cluster.run(5.0)
    assert cluster.requests and not any(request.entries for request in cluster.requests)


# A follower's log.


def test_only_conflicting_entries_are_truncated() -> None:
    replica = follower(term=2, entries=entries_of(1, 1, 2, 2))
    replica.receive("b", AppendRequest(3, 1, 1, 0, 1, (LogEntry(2, 1, b"x"), LogEntry(3, 3, b"y"))), 0.0)
    ready = flush(replica)
    assert ready is not None and ready.truncate_from == 3 and ready.entries == (LogEntry(3, 3, b"y"),)
    assert ready.messages == (("b", AppendReply(3, True, 3, 1, True)),)
    replica.receive("b", AppendRequest(3, 0, 0, 0, 1, (LogEntry(1, 1, b"x"),)), 0.0)
    assert replica.last_index == 3


@pytest.mark.parametrize(
    ("previous", "hint"), [((9, 3), 5), ((5, 3), 2), ((2, 3), 0)], ids=["behind the end", "a term", "first"]
)
def test_a_rejection_contains_the_index_to_try_next(previous: tuple[int, int], hint: int) -> None:
    replica = follower(term=2, entries=entries_of(1, 1, 2, 2, 2))
    replica.receive("b", AppendRequest(3, *previous, 0, 4, ()), 0.0)
    ready = flush(replica)
    assert ready is not None and ready.messages == (("b", AppendReply(3, False, hint, 4, True)),)


def test_the_commit_index_rises_only_as_far_as_the_logs_are_known_to_match() -> None:
    replica = follower(term=2, entries=entries_of(1, 1, 2, 2))
    replica.receive("b", AppendRequest(3, 2, 1, 4, 1, ()), 0.0)
    assert replica.commit_index == 2
    replica.receive("b", AppendRequest(3, 1, 1, 1, 1, ()), 0.0)
    assert replica.commit_index == 2


def test_a_committed_entry_is_never_replaced() -> None:
    replica = follower(term=1, entries=entries_of(1, 1))
    replica.receive("b", AppendRequest(1, 2, 1, 2, 1, ()), 0.0)
    with pytest.raises(ReplicaInvariantError):
        replica.receive("c", AppendRequest(2, 1, 1, 0, 1, (LogEntry(2, 2, b"y"),)), 0.0)


def test_a_second_leader_of_one_term_stops_the_node() -> None:
    replica = follower()
    now = elected(replica, 0.0)
    with pytest.raises(ReplicaInvariantError):
        replica.receive("b", AppendRequest(replica.term, 0, 0, 0, 1, ()), now)


def test_a_request_of_an_older_term_changes_nothing_and_gets_the_current_term() -> None:
    replica = follower(term=5, entries=entries_of(1))
    replica.receive("b", AppendRequest(4, 0, 0, 1, 2, (LogEntry(1, 4, b"y"),)), 0.0)
    ready = flush(replica)
    assert ready == Ready(None, None, (), (("b", AppendReply(5, False, 1, 2, True)),), ())
    assert replica.entry(1).term == 1


def test_requests_of_unknown_nodes_and_entries_with_a_gap_are_ignored() -> None:
    replica = follower()
    replica.receive("x", AppendRequest(9, 0, 0, 0, 1, ()), 0.0)
    replica.receive("a", AppendRequest(9, 0, 0, 0, 1, ()), 0.0)
    replica.receive("b", AppendRequest(9, 0, 0, 0, 1, (LogEntry(2, 9, b"x"),)), 0.0)
    assert replica.term == 1 and replica.take_ready() is None


# Ready.


def test_only_one_ready_is_outstanding_and_later_events_wait_for_the_next() -> None:
    replica = follower()
    replica.receive("b", AppendRequest(1, 0, 0, 0, 1, entries_of(1, 1)), 0.0)
    first = replica.take_ready()
    assert first is not None and first.entries == entries_of(1, 1)
    replica.receive("c", AppendRequest(2, 1, 1, 0, 1, (LogEntry(2, 2, b"y"),)), 0.0)
    assert replica.take_ready() is None
    replica.persisted(first)
    second = replica.take_ready()
    assert second is not None and second.hard_state == HardState(2, "")
    assert second.truncate_from == 2 and second.entries == (LogEntry(2, 2, b"y"),)
    with pytest.raises(ValueError):
        replica.persisted(first)
    replica.persisted(second)
    assert replica.take_ready() is None


def test_after_a_crash_between_entries_and_hard_state_the_term_is_that_of_the_entries() -> None:
    replica = Replica("a", THREE, HardState(1, "b"), entries_of(1, 3), Random(1), 0.0)
    assert replica.term == 3
    replica.receive("c", VoteRequest(3, 2, 3, False), 0.0)
    ready = flush(replica)
    assert ready is not None and ready.hard_state == HardState(3, "c")


def test_a_log_with_a_gap_is_rejected() -> None:
    with pytest.raises(ValueError):
        ReplicatedLog((LogEntry(1, 1, b""), LogEntry(3, 1, b"")))


def test_a_proposal_at_a_follower_fails_with_the_name_of_the_leader() -> None:
    replica = follower()
    replica.receive("b", AppendRequest(1, 0, 0, 0, 1, ()), 0.0)
    with pytest.raises(NotLeaderError) as caught:
        replica.propose(b"change", 0.0)
    assert caught.value.leader == "b"
    with pytest.raises(ValueError):
        replica.propose(b"", 0.0)
