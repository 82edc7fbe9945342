"""The rules of Raft with weighted votes: quorums, elections, learners, leadership transfer."""

from random import Random

import pytest
from raft_cluster import FOUR, THREE, acknowledge, elected, entries_of, flush, follower, with_leader

from message_sender.control.messages import (
    AppendReply,
    AppendRequest,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from message_sender.control.quorum import Quorum
from message_sender.control.raft_types import HardState, NotLeaderError, Role
from message_sender.control.replica import (
    ELECTION_TIMEOUT_MAX_S,
    ELECTION_TIMEOUT_MIN_S,
    HEARTBEAT_INTERVAL_S,
    QUEUED_MESSAGES_LIMIT,
    Replica,
)

# Quorum.


def test_a_majority_has_more_than_half_of_all_votes_including_absent_ones() -> None:
    quorum = Quorum(FOUR)
    assert quorum.is_majority(("a", "d")) and quorum.is_majority(("b", "c", "d"))
    assert not quorum.is_majority(("b", "c")) and not quorum.is_majority(("a",))
    assert not Quorum(dict.fromkeys("abcd", 1)).is_majority(("a", "b"))
    assert quorum.majority_value({"a": 7, "b": 3, "c": 5}) == 5
    assert quorum.majority_value({"a": 7}) == 0
    assert quorum.majority_value({"a": 2, "b": 9, "c": 9, "d": 9}) == 9


def test_each_node_needs_a_vote() -> None:
    with pytest.raises(ValueError):
        Quorum({"a": 1, "b": 0})
    with pytest.raises(ValueError):
        Replica("e", FOUR, HardState(), (), Random(1), 0.0)


@pytest.mark.parametrize("lost", FOUR)
def test_changes_are_confirmed_after_the_loss_of_any_one_node(lost: str) -> None:
    cluster = with_leader(FOUR)
    cluster.parts = ("".join(set(FOUR) - {lost}),)
    cluster.run(4.0)
    assert cluster.leader().name in cluster.parts[0]
    cluster.propose(b"change")
    cluster.exchange()
    assert all(cluster.committed[name] == [b"change"] for name in cluster.parts[0])


def test_in_a_partition_between_regions_only_the_side_with_more_votes_confirms() -> None:
    cluster = with_leader(FOUR)
    cluster.parts = ("ab", "cd")
    cluster.run(4.0)
    assert cluster.leader().name in "ab"
    cluster.propose(b"change")
    cluster.exchange()
    assert cluster.committed["a"] == cluster.committed["b"] == [b"change"]
    assert cluster.committed["c"] == cluster.committed["d"] == []
    assert cluster.replicas["c"].authority_age(cluster.now) > 3.9
    cluster.parts = ("abcd",)
    cluster.run(1.0)
    assert all(each == [b"change"] for each in cluster.committed.values())


# Elections.


def test_election_timeouts_are_random_between_their_bounds() -> None:
    drawn = []
    for seed in range(200):
        replica = Replica("a", THREE, HardState(), (), Random(seed), 0.0)
        replica.tick(ELECTION_TIMEOUT_MIN_S - 0.001)
        assert replica.role is Role.FOLLOWER
        drawn.append(replica._election_timeout)
        replica.tick(ELECTION_TIMEOUT_MAX_S)
        assert replica.role is Role.PRE_CANDIDATE
    assert max(drawn) - min(drawn) > 0.55


def test_a_pre_vote_does_not_raise_the_term_and_needs_no_durable_write() -> None:
    replica = follower(term=3)
    for now in (1.2, 2.4, 3.6):
        replica.tick(now)
        ready = flush(replica)
        assert ready is not None and ready.hard_state is None
        assert {message for _, message in ready.messages} == {VoteRequest(4, 0, 0, True)}
    assert replica.term == 3


def test_a_follower_that_recently_received_from_a_leader_grants_no_pre_vote() -> None:
    replica = follower()
    replica.receive("b", AppendRequest(1, 0, 0, 0, 1, ()), 5.0)
    flush(replica)
    for now, is_granted in ((5.0 + ELECTION_TIMEOUT_MIN_S - 0.01, False), (5.0 + 0.61, True)):
        replica.receive("c", VoteRequest(2, 0, 0, True), now)
        ready = flush(replica)
        assert ready is not None
        assert ready.messages == (("c", VoteReply(2 if is_granted else 1, is_granted, True)),)
    assert replica.term == 1


def test_a_leader_grants_no_pre_vote() -> None:
    replica = follower()
    now = elected(replica, 0.0)
    flush(replica)
    replica.receive("b", VoteRequest(9, 9, 9, True), now + 50)
    ready = flush(replica)
    assert ready is not None and ready.messages == (("b", VoteReply(2, False, True)),)


def test_a_node_that_returns_from_a_partition_does_not_disturb_the_leader() -> None:
    cluster = with_leader(THREE)
    leader, term = cluster.leader().name, cluster.leader().term
    isolated = next(name for name in THREE if name != leader)
    cluster.parts = ("".join(set(THREE) - {isolated}),)
    cluster.run(10.0)
    cluster.parts = ("abc",)
    cluster.run(3.0)
    assert (cluster.leader().name, cluster.leader().term) == (leader, term)


def test_a_vote_is_durable_before_the_reply_and_granted_once_per_term() -> None:
    replica = follower()
    replica.receive("b", VoteRequest(2, 0, 0, False), 0.0)
    ready = flush(replica)
    assert ready is not None and ready.hard_state == HardState(2, "b")
    assert ready.messages == (("b", VoteReply(2, True, False)),)
    restarted = Replica("a", THREE, HardState(2, "b"), (), Random(1), 0.0)
    for each in (replica, restarted):
        each.receive("c", VoteRequest(2, 0, 0, False), 0.0)
        each.receive("b", VoteRequest(2, 0, 0, False), 0.0)
        ready = flush(each)
        assert ready is not None
        assert [message.is_granted for _, message in ready.messages if isinstance(message, VoteReply)] == [
            False,
            True,
        ]


@pytest.mark.parametrize(
    ("last_index", "last_term", "is_granted"), [(3, 1, False), (1, 2, False), (2, 2, True), (1, 3, True)]
)
def test_a_vote_is_granted_only_if_the_log_of_the_candidate_is_at_least_as_new(
    last_index: int, last_term: int, is_granted: bool
) -> None:
    replica = follower(term=3, entries=entries_of(1, 2))
    replica.receive("b", VoteRequest(4, last_index, last_term, False), 0.0)
    ready = flush(replica)
    assert ready is not None and ready.messages == (("b", VoteReply(4, is_granted, False)),)


def test_replies_to_other_vote_requests_are_not_counted() -> None:
    replica = follower()
    replica.tick(1.2)
    replica.receive("b", VoteReply(2, True, False), 1.2)
    replica.receive("b", VoteReply(1, True, True), 1.2)
    replica.receive("x", VoteReply(2, True, True), 1.2)
    assert replica.role is Role.PRE_CANDIDATE
    replica.receive("b", VoteReply(2, True, True), 1.2)
    assert (replica.role, replica.term) == (Role.CANDIDATE, 2)
    replica.receive("c", VoteReply(2, True, True), 1.2)
    assert replica.role is Role.CANDIDATE
    replica.receive("c", VoteReply(2, True, False), 1.2)
    assert replica.role is Role.LEADER


def test_a_leader_without_answers_from_a_majority_steps_down() -> None:
    cluster = with_leader(FOUR)
    cluster.parts = ("ab", "cd")
    cluster.run(3.0)
    leader = cluster.leader()
    assert leader.authority_age(cluster.now) < 2 * HEARTBEAT_INTERVAL_S
    cluster.parts = ("a", "b", "c", "d")
    cluster.run(ELECTION_TIMEOUT_MAX_S + 0.1)
    assert not cluster.leaders()
    assert leader.authority_age(cluster.now) >= ELECTION_TIMEOUT_MAX_S
    with pytest.raises(NotLeaderError):
        leader.propose(b"change", cluster.now)


def test_heartbeats_are_sent_at_their_interval() -> None:
    replica = follower()
    now = elected(replica, 0.0)
    flush(replica)
    replica.tick(now + HEARTBEAT_INTERVAL_S - 0.01)
    assert flush(replica) is None
    replica.tick(now + HEARTBEAT_INTERVAL_S + 0.001)
    ready = flush(replica)
    assert ready is not None and {to for to, _ in ready.messages} == {"b", "c"}
    assert {message.round for _, message in ready.messages if isinstance(message, AppendRequest)} == {2}


# Learners.


def test_a_learner_copies_the_log_and_is_not_counted_but_its_votes_stay_in_the_total() -> None:
    cluster = with_leader(THREE, learners="c")
    leader = cluster.leader().name
    cluster.propose(b"one")
    cluster.exchange()
    assert cluster.committed["c"] == [b"one"]
    cluster.parts = (leader + "c",)
    cluster.propose(b"two")
    cluster.exchange()
    assert cluster.replicas["c"].last_index == cluster.replicas[leader].last_index == 3
    assert cluster.committed[leader] == cluster.committed["c"] == [b"one"]
    cluster.run(ELECTION_TIMEOUT_MAX_S + 0.1)
    assert not cluster.leaders()


def test_a_learner_never_votes_and_is_never_a_candidate() -> None:
    replica = Replica("a", THREE, HardState(1, ""), (), Random(1), 0.0, is_voter=False)
    replica.receive("b", VoteRequest(2, 5, 1, False), 0.0)
    replica.receive("b", VoteRequest(2, 5, 1, True), 0.0)
    replica.tick(100.0)
    assert replica.role is Role.LEARNER and replica.take_ready() is None
    replica.receive("b", AppendRequest(2, 0, 0, 0, 1, ()), 100.0)
    ready = flush(replica)
    assert ready is not None and ready.messages == (("b", AppendReply(2, True, 0, 1, False)),)
    assert (replica.role, replica.leader) == (Role.LEARNER, "b")


def test_a_node_that_reported_to_be_a_learner_is_not_counted_for_the_rest_of_the_term() -> None:
    replica = follower()
    now = elected(replica, 0.0)
    flush(replica)
    acknowledge(replica, "b", 1, now, is_voter=False)
    acknowledge(replica, "b", 1, now)
    assert replica.commit_index == 0
    acknowledge(replica, "c", 1, now)
    assert replica.commit_index == 1


def test_a_learner_with_an_empty_disk_gets_the_complete_log() -> None:
    cluster = with_leader(THREE)
    isolated = next(name for name in THREE if name != cluster.leader().name)
    cluster.propose(b"one")
    cluster.exchange()
    cluster.replicas[isolated] = Replica(
        isolated, THREE, HardState(), (), Random(1), cluster.now, is_voter=False
    )
    cluster.committed[isolated].clear()
    cluster.run(3 * HEARTBEAT_INTERVAL_S)
    assert cluster.committed[isolated] == [b"one"]


def test_a_leader_that_becomes_a_learner_stops_leading() -> None:
    replica = follower()
    now = elected(replica, 0.0)
    flush(replica)
    replica.become_learner("peers know a later start of this node")
    assert (replica.role, replica.leader, replica.is_voter) == (Role.LEARNER, "", False)
    acknowledge(replica, "b", 1, now)
    assert replica.commit_index == 0 and not replica.authority_age(now)
    with pytest.raises(NotLeaderError):
        replica.propose(b"change", now)


def test_while_a_disk_hangs_the_message_queue_is_bounded_and_keeps_the_latest() -> None:
    replica = follower()
    replica.receive("b", AppendRequest(1, 0, 0, 0, 0, entries_of(1)), 0.0)
    hanging = replica.take_ready()
    assert hanging is not None and hanging.entries
    rounds = 4 * QUEUED_MESSAGES_LIMIT
    for number in range(1, rounds + 1):
        replica.receive("b", AppendRequest(1, 1, 1, 0, number, ()), number * HEARTBEAT_INTERVAL_S)
    replica.persisted(hanging)
    ready = replica.take_ready()
    assert ready is not None and len(ready.messages) == QUEUED_MESSAGES_LIMIT
    assert ready.messages[-1] == ("b", AppendReply(1, True, 1, rounds, True))


# Leadership transfer.


def test_a_leadership_transfer_needs_no_election_timeout() -> None:
    cluster = with_leader(FOUR)
    first = cluster.leader()
    cluster.propose(b"x")
    cluster.exchange()
    term = first.term
    first.transfer_leadership()
    cluster.exchange()
    second = cluster.leader()
    assert second is not first and second.term == term + 1
    assert {each.leader for each in cluster.replicas.values()} == {second.name}
    cluster.propose(b"y")
    cluster.exchange()
    cluster.run(2 * HEARTBEAT_INTERVAL_S)
    assert cluster.leader() is second
    assert set(map(tuple, cluster.committed.values())) == {(b"x", b"y")}


def test_leadership_is_transferred_only_to_a_voter_with_the_complete_log() -> None:
    replica = follower(votes=THREE)
    now = elected(replica, 0.0)
    flush(replica)
    assert not replica.transfer_leadership() and flush(replica) is None  # no peer has answered yet
    acknowledge(replica, "b", replica.last_index, now, is_voter=False)
    flush(replica)
    assert not replica.transfer_leadership() and flush(replica) is None
    acknowledge(replica, "c", replica.last_index, now)
    flush(replica)
    replica.transfer_leadership()
    ready = flush(replica)
    assert ready and ready.messages == (("c", TimeoutNow(replica.term)),)


def test_leadership_is_transferred_to_the_node_that_answered_the_latest_round() -> None:
    replica = follower(votes=THREE)
    now = elected(replica, 0.0)
    flush(replica)
    for peer in ("b", "c"):
        acknowledge(replica, peer, replica.last_index, now)
    now += HEARTBEAT_INTERVAL_S
    replica.tick(now)
    replica.receive("c", AppendReply(replica.term, True, replica.last_index, 2, True), now)
    flush(replica)
    replica.transfer_leadership()
    ready = flush(replica)
    assert ready and ready.messages == (("c", TimeoutNow(replica.term)),)


def test_a_timeout_now_request_is_effective_only_in_its_own_term_and_for_a_follower() -> None:
    replica = follower(term=3)
    for term in (2, 4):
        replica.receive("b", TimeoutNow(term), 0.0)
        assert replica.role is Role.FOLLOWER and replica.term == 3
    replica.receive("b", TimeoutNow(3), 0.0)
    assert replica.role is Role.CANDIDATE and replica.term == 4
    replica.receive("b", TimeoutNow(4), 0.0)
    assert replica.term == 4  # it is already a candidate
    learner = Replica("a", THREE, HardState(3, ""), (), Random(7), 0.0, is_voter=False)
    learner.receive("b", TimeoutNow(3), 0.0)
    assert learner.role is Role.LEARNER and learner.term == 3
