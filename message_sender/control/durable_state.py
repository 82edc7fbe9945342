"""Which part of a replica's log and hard state is durable on its own disk. No I/O."""

from dataclasses import dataclass, replace

from message_sender.control.log import ReplicatedLog
from message_sender.control.raft_types import HardState, Ready


@dataclass(frozen=True, slots=True)
class DurableState:
    """The content of the disk.

    Attributes:
        hard_state: The hard state that was written last.
        index: The log on the disk equals the log in memory up to this index.
        disk_last_index: The index of the last entry on the disk; entries after `index` must still be removed.
    """

    hard_state: HardState
    index: int
    disk_last_index: int

    def hard_state_to_write(self, hard_state: HardState) -> HardState | None:
        """Returns `hard_state` if it differs from the one on the disk, otherwise None."""
        return hard_state if hard_state != self.hard_state else None

    def truncate_from_to_write(self) -> int | None:
        """Returns the index of the first entry to remove from the disk, or None if there is none."""
        return self.index + 1 if self.disk_last_index > self.index else None

    def with_log_truncated(self, index: int) -> "DurableState":
        """Returns the state after the entries at `index` and later were removed from the log in memory."""
        return replace(self, index=min(self.index, index - 1))

    def after(self, ready: Ready, log: ReplicatedLog) -> "DurableState":
        """Returns the state once all of `ready` is durable; `log` may have changed since it was taken."""
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
    """Returns the hard state on the disk, or the log's last term without a vote if that term is later.

    A crash may leave entries of a term whose hard state was not written. The node has not voted in such a
    term.
    """
    if log.last_term > hard_state.term:
        return HardState(log.last_term, "")
    return hard_state
