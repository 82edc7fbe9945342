"""How much of a replica's log and hard state is durable on its own disk. Pure."""

from dataclasses import dataclass, replace

from message_sender.control.log import ReplicatedLog
from message_sender.control.raft import HardState, Ready


@dataclass(frozen=True, slots=True)
class DurableState:
    """What the disk has.

    Attributes:
        hard_state: The hard state that was written last.
        index: Up to this index the disk's log equals the log in memory.
        disk_last_index: The last entry on the disk; those after `index` are yet to be removed there.
    """

    hard_state: HardState
    index: int
    disk_last_index: int

    def hard_state_to_write(self, hard_state: HardState) -> HardState | None:
        """Returns `hard_state` unless the disk has it."""
        return hard_state if hard_state != self.hard_state else None

    def truncate_from_to_write(self) -> int | None:
        """Returns the index from which the disk's entries are to be removed, or None."""
        return self.index + 1 if self.disk_last_index > self.index else None

    def with_log_truncated(self, index: int) -> "DurableState":
        """Returns the state after entries from `index` on were removed from the log in memory."""
        return replace(self, index=min(self.index, index - 1))

    def after(self, ready: Ready, log: ReplicatedLog) -> "DurableState":
        """Returns the state once all of `ready` is durable; `log` may have changed since it was made."""
        hard_state = self.hard_state if ready.hard_state is None else ready.hard_state
        index = self.index
        disk_last_index = self.disk_last_index
        if ready.truncate_from is not None:
            disk_last_index = ready.truncate_from - 1
        for entry in ready.entries:
            disk_last_index = entry.index
            if entry.index == index + 1 and log.has(entry.index, entry.term):
                index = entry.index
        return DurableState(hard_state, index, disk_last_index)


def restore_hard_state(hard_state: HardState, log: ReplicatedLog) -> HardState:
    """Returns the hard state on the disk, or a later term of the log, in which the node has not voted.

    A crash may leave entries of a term whose hard state was not written.
    """
    if log.last_term > hard_state.term:
        return HardState(log.last_term, "")
    return hard_state
