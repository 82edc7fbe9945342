"""Types of the replication that its users share: roles, the durable state, what is to be done, errors."""

from dataclasses import dataclass
from enum import StrEnum

from message_sender.control.messages import AppendRequest, LogEntry, RaftMessage


class Role(StrEnum):
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
    LEARNER = "learner"


class NotLeaderError(Exception):
    """Only a leader takes proposals; `leader` is its name as far as known, or empty."""

    def __init__(self, leader: str) -> None:
        super().__init__(f"not the leader; it is {leader or 'unknown'}")
        self.leader = leader


class ReplicaInvariantError(Exception):
    """Something that Raft excludes: a disk that forgot, or two nodes of one name. The node must stop."""


@dataclass(frozen=True, slots=True)
class HardState:
    """What a node must never forget besides its log."""

    term: int = 0
    voted_for: str = ""


@dataclass(frozen=True, slots=True)
class Ready:
    """What the caller does next, in this order.

    It removes the log's entries from `truncate_from` on, appends `entries`, stores `hard_state`, and makes
    all of it durable; then it sends `messages` (each with its receiver), calls `persisted`, and applies
    `committed`.
    """

    hard_state: HardState | None
    truncate_from: int | None
    entries: tuple[LogEntry, ...]
    messages: tuple[tuple[str, RaftMessage], ...]
    committed: tuple[LogEntry, ...]


NOTHING_READY = Ready(None, None, (), (), ())


def is_well_formed(message: RaftMessage) -> bool:
    """Whether the entries of an AppendRequest follow its previous index without a gap."""
    if not isinstance(message, AppendRequest):
        return True
    first = message.previous_index + 1
    return all(entry.index == index for index, entry in enumerate(message.entries, first))
