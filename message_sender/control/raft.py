"""Types that the replication shares with its users: roles, the durable state, pending work and errors."""

from dataclasses import dataclass
from enum import StrEnum

from message_sender.control.messages import AppendRequest, LogEntry, RaftMessage


class Role(StrEnum):
    """The role of a node in the present term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
    LEARNER = "learner"


class NotLeaderError(Exception):
    """A proposal at a node that does not lead; `leader` is the leader's name, or empty if it is unknown."""

    def __init__(self, leader: str) -> None:
        """Creates the error with the known leader."""
        super().__init__(f"not the leader; it is {leader or 'unknown'}")
        self.leader = leader


class ReplicaInvariantError(Exception):
    """A state that Raft excludes: a disk lost data, or two nodes use one name. The node must stop."""


@dataclass(frozen=True, slots=True)
class HardState:
    """What a node must keep durable besides its log."""

    term: int = 0
    voted_for: str = ""


@dataclass(frozen=True, slots=True)
class Ready:
    """What the caller does next.

    In this order: it removes the log's entries from `truncate_from` on, appends `entries`, stores
    `hard_state`, and makes all of it durable; then it sends `messages` (each with its receiver), calls
    `persisted`, and applies `committed`.
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
