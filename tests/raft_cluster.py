"""Replicas in one process; the test controls their messages and syncs."""

from collections.abc import Iterable, Mapping
from random import Random

from message_sender.control.messages import (
    AppendReply,
    AppendRequest,
    LogEntry,
    VoteReply,
)
from message_sender.control.raft_types import HardState, Ready, Role
from message_sender.control.replica import (
    ELECTION_TIMEOUT_MAX_S,
    Replica,
)

FOUR = {"a": 2, "b": 1, "c": 1, "d": 1}
THREE = {"a": 1, "b": 1, "c": 1}
STEP_S = 0.01


class Cluster:
    """Replicas with disks that never fail; the network loses messages between nodes in different `parts`."""

    def __init__(self, votes: Mapping[str, int], learners: Iterable[str] = ()) -> None:
        self.now = 1000.0
        self.replicas = {
            name: Replica(
                name, votes, HardState(), (), Random(number), self.now, is_voter=name not in learners
            )
            for number, name in enumerate(votes)
        }
        self.parts: tuple[str, ...] = ("".join(votes),)
        self.requests: list[AppendRequest] = []
        self.committed: dict[str, list[bytes]] = {name: [] for name in votes}

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            for replica in self.replicas.values():
                replica.tick(self.now)
            self.exchange()

    def exchange(self) -> None:
        """Delivers messages until none is left to send."""
        while any([self.exchange_one(name) for name in self.replicas]):
            pass

    def exchange_one(self, name: str) -> bool:
        replica = self.replicas[name]
        ready = replica.take_ready()
        if ready is None:
            return False
        self.committed[name] += [entry.data for entry in ready.committed if entry.data]
        for receiver, message in ready.messages:
            if isinstance(message, AppendRequest):
                self.requests.append(message)
            if any(name in part and receiver in part for part in self.parts):
                self.replicas[receiver].receive(name, message, self.now)
        replica.persisted(ready)
        return True

    def leaders(self) -> list[Replica]:
        return [replica for replica in self.replicas.values() if replica.role is Role.LEADER]

    def leader(self) -> Replica:
        (leader,) = self.leaders()
        return leader

    def propose(self, data: bytes) -> None:
        self.leader().propose(data, self.now)


def with_leader(votes: Mapping[str, int], learners: Iterable[str] = ()) -> Cluster:
    cluster = Cluster(votes, learners)
    cluster.run(3.0)
    cluster.leader()
    return cluster


def follower(
    term: int = 1, entries: Iterable[LogEntry] = (), votes: Mapping[str, int] = THREE, now: float = 0.0
) -> Replica:
    return Replica("a", votes, HardState(term, ""), tuple(entries), Random(7), now)


def flush(replica: Replica) -> Ready | None:
    """Takes a Ready, reports it as persisted, and returns it."""
    ready = replica.take_ready()
    if ready is not None:
        replica.persisted(ready)
    return ready


def elected(replica: Replica, now: float) -> float:
    """Makes the replica the leader by the votes of all others; returns the time of its election."""
    now += ELECTION_TIMEOUT_MAX_S
    replica.tick(now)
    for is_pre_vote in (True, False):
        flush(replica)
        for peer in ("b", "c", "d"):
            term = replica.term + is_pre_vote
            replica.receive(peer, VoteReply(term, True, is_pre_vote), now)
    assert replica.role is Role.LEADER
    return now


def acknowledge(replica: Replica, peer: str, index: int, now: float, is_voter: bool = True) -> None:
    replica.receive(peer, AppendReply(replica.term, True, index, 1, is_voter), now)


def entries_of(*terms: int) -> tuple[LogEntry, ...]:
    return tuple(LogEntry(index, term, b"x") for index, term in enumerate(terms, 1))
