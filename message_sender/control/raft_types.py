"""Types that the replica shares with its callers: roles, durable state, pending work and errors."""

from dataclasses import dataclass
from enum import StrEnum

from message_sender.control.messages import AppendRequest, LogEntry, RaftMessage


class Role(StrEnum):
    """The role of a node in the current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
    LEARNER = "learner"


class NotLeaderError(Exception):
    """A proposal at a node that is not the leader; `leader` is the leader's name, empty if unknown."""

    def __init__(self, leader: str) -> None:
        """Creates the error with the known leader."""
        super().__init__(f"not the leader; it is {leader or 'unknown'}")
        self.leader = leader


class ReplicaInvariantError(Exception):
    """A state that Raft rules out: a disk lost data, or two nodes use the same name. The node must stop."""


@dataclass(frozen=True, slots=True)
class HardState:
    """The state that a node must keep durable in addition to its log."""

    term: int = 0
    voted_for: str = ""


@dataclass(frozen=True, slots=True)
class Ready:
    """Pending work for the caller.

    The caller does it in this order: remove the log's entries from `truncate_from` on, append `entries`,
    store `hard_state`, and make all of it durable; then send `messages` (each with its receiver), call
    `persisted`, and apply `committed`.
    """

    hard_state: HardState | None
    truncate_from: int | None
    entries: tuple[LogEntry, ...]
    messages: tuple[tuple[str, RaftMessage], ...]
    committed: tuple[LogEntry, ...]


NOTHING_READY = Ready(None, None, (), (), ())


def is_well_formed(message: RaftMessage) -> bool:
    """Returns whether the entries of an AppendRequest follow its previous index without a gap."""
    if not isinstance(message, AppendRequest):
        return True
    first = message.previous_index + 1
    return all(entry.index == index for index, entry in enumerate(message.entries, first))
