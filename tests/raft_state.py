"""The state of replicas in the form that the explorer in raft_model.py compares."""

import copy
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from message_sender.control.messages import (
    AppendReply,
    AppendRequest,
    LogEntry,
    RaftMessage,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from message_sender.control.progress import Progress
from message_sender.control.raft_types import HardState, Ready, Role
from message_sender.control.replica import Replica

NOW = 0.0  # time does not pass in an exploration
NO_HARD_STATE = HardState()


class ViolationError(Exception):
    """An invariant is violated."""


@dataclass(frozen=True)
class Disk:
    """The state of a node that survives a crash."""

    hard_state: HardState = NO_HARD_STATE
    entries: tuple[LogEntry, ...] = ()

    def written(self, ready: Ready, has_hard_state: bool = True, has_entries: bool = True) -> "Disk":
        """Returns the disk after all or a part of a Ready was written."""
        hard_state, entries = self.hard_state, self.entries
        if has_hard_state and ready.hard_state is not None:
            hard_state = ready.hard_state
        if has_entries:
            if ready.truncate_from is not None:
                entries = entries[: ready.truncate_from - 1]
            entries += ready.entries
        return Disk(hard_state, entries)


@dataclass(frozen=True)
class World:
    """The bounds of an exploration, and the planted defects that are not patches."""

    votes: tuple[tuple[str, int], ...] = (("a", 1), ("b", 1), ("c", 1))
    candidates: tuple[str, ...] = ("ab", "ab")  # for each term the nodes that may be candidates
    learners: frozenset[str] = frozenset()
    disks: tuple[Disk, ...] = (Disk(), Disk(), Disk())
    proposals: int = 1
    crashes: int = 0
    has_transfers: bool = False  # a leader may transfer leadership at any time, also to non-candidates
    is_sync_separate: bool = False
    has_events_before_sync: bool = False  # a node handles further events before the sync of the last event
    is_sent_before_sync: bool = False  # a planted defect: messages are sent before the sync
    replica_class: type[Replica] = Replica
    states_limit: int = 2_000_000


class Local(NamedTuple):
    """The state of one node; `is_dirty` if it has data to make durable or messages to send."""

    replica: Replica
    disk: Disk
    is_dirty: bool


class Global(NamedTuple):
    """The state of all nodes, as numbers: local states, sent messages (a bit each), the confirmed log.

    The only history is each node's last vote, which a correct node's own state also has, and the leaders.
    """

    nodes: tuple[int, ...]
    messages: int
    votes: tuple[tuple[int, int], ...]  # for each node the term and the candidate
    leaders: tuple[int, ...]  # by term
    confirmed: int
    proposals: int
    crashes: int


class Step(NamedTuple):
    """The result of an event at a node: its local state and the messages that it sent, by their numbers."""

    node: int
    sent: tuple[int, ...] = ()
    mask: int = 0  # the sent messages, a bit each
    receivers: tuple[int, ...] = ()


Confirmed = tuple[tuple[LogEntry, int], ...]  # each entry with the term in which it was first confirmed
Event = tuple[str, int, int]  # the kind, the node, the number of a message or a variant


@dataclass
class Result:
    """The result of an exploration."""

    states: int = 0
    is_complete: bool = False
    violation: str = ""
    trace: list[str] = field(default_factory=list)
    confirmed: int = 0  # largest number of confirmed entries in a state
    leaders: int = 0  # the highest term with a leader


def clone(replica: Replica) -> Replica:
    """Returns a copy that shares no mutable state except the random number generator."""
    other = copy.copy(replica)
    other._messages = list(replica._messages)
    other._log = copy.copy(replica._log)
    other._log._entries = list(replica._log._entries)
    if replica._leadership is not None:
        other._leadership = leadership = copy.copy(replica._leadership)
        leadership._log = other._log
        leadership._progress = {
            name: copy.copy(progress) for name, progress in replica._leadership._progress.items()
        }
    return other


def settle(replica: Replica) -> None:
    """Resets state that depends only on time or on data that was already returned to the caller."""
    replica._delivered_index = replica.commit_index
    replica.leader = ""
    if replica._leadership is not None:
        for progress in replica._leadership._progress.values():
            progress.in_flight = 0
            progress.answered_round = 0


def key(replica: Replica) -> tuple[object, ...]:
    """Returns the part of a replica's state by which the explorer distinguishes states."""
    leadership = replica._leadership
    return (
        replica.role,
        replica._hard_state,
        tuple(replica._log._entries),
        replica.commit_index,
        replica._durable.index,
        replica._durable.disk_last_index,
        replica._votes_granted,
        tuple(replica._messages),
        tuple(tuple(_fields(progress)) for progress in leadership._progress.values()) if leadership else (),
    )


def _fields(progress: object) -> Iterator[object]:
    for name in type(progress).__slots__:  # type: ignore[attr-defined]
        yield getattr(progress, name)


def is_dead(replica: Replica, sender: str, message: RaftMessage, is_sync_separate: bool) -> bool:
    """Returns whether a message can no longer change its receiver, except for repeating an answer."""
    if message.term != replica.term:
        return message.term < replica.term
    match message:
        case VoteRequest():
            voted_for = replica._hard_state.voted_for
            if replica.role is Role.LEARNER or voted_for not in ("", sender):
                return True
            return (voted_for == sender and not is_sync_separate) or not replica._is_log_new_enough(message)
        case VoteReply():
            return replica.role is not Role.CANDIDATE or not message.is_granted
        case AppendRequest():
            return not is_sync_separate and is_merged(replica, message)
        case AppendReply():
            return replica._leadership is None or is_known(replica._leadership._progress[sender], message)
        case TimeoutNow():
            return replica.role is Role.LEARNER


def is_merged(replica: Replica, request: AppendRequest) -> bool:
    last = request.previous_index + len(request.entries)
    return (
        replica.role in (Role.FOLLOWER, Role.LEARNER)
        and replica._log.has(request.previous_index, request.previous_term)
        and replica._log.between(request.previous_index + 1, last) == request.entries
        and replica.commit_index >= min(request.commit_index, last)
    )


def is_known(progress: Progress, reply: AppendReply) -> bool:
    if reply.is_voter != progress.is_voter:
        return False
    if reply.is_match:
        return reply.match_index <= progress.match_index and not progress.is_probing
    return progress.is_voter and max(reply.match_index, progress.match_index) + 1 >= progress.next_index


def is_log_matching(one: Sequence[LogEntry], other: Sequence[LogEntry]) -> bool:
    """Returns whether two logs are equal up to the last index at which they have entries of the same term."""
    shared = min(len(one), len(other))
    while shared and one[shared - 1].term != other[shared - 1].term:
        shared -= 1
    return one[:shared] == other[:shared]


def bits(mask: int) -> Iterator[int]:
    """Yields the numbers of the bits that are set."""
    while mask:
        lowest = mask & -mask
        yield lowest.bit_length() - 1
        mask ^= lowest
