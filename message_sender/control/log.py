"""The replicated log in memory: entries with consecutive indexes that start at 1."""

from collections.abc import Sequence

from message_sender.control.messages import LogEntry


class ReplicatedLog:
    """All entries of a node's log. Index 0, with term 0, is the position before the first entry."""

    def __init__(self, entries: Sequence[LogEntry]) -> None:
        """Creates a log with these entries.

        Raises:
            ValueError: If the indexes of the entries are not 1, 2, 3 and so on.
        """
        self._entries = list(entries)
        for index, entry in enumerate(self._entries, 1):
            if entry.index != index:
                raise ValueError(f"expected log entry {index}, got {entry.index}")

    @property
    def last_index(self) -> int:
        """The index of the last entry; 0 for an empty log."""
        return len(self._entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry; 0 for an empty log."""
        return self._entries[-1].term if self._entries else 0

    def entry(self, index: int) -> LogEntry:
        """Returns the entry at `index`.

        Raises:
            IndexError: If there is no such entry.
        """
        if not 1 <= index <= len(self._entries):
            raise IndexError(f"expected the index of a log entry from 1 to {len(self._entries)}, got {index}")
        return self._entries[index - 1]

    def has(self, index: int, term: int) -> bool:
        """Returns whether the log has an entry of `term` at `index`; index 0 has term 0."""
        return index <= len(self._entries) and self.term_at(index) == term

    def term_at(self, index: int) -> int:
        """Returns the term of the entry at `index`; 0 for index 0."""
        return self._entries[index - 1].term if index else 0

    def append(self, entry: LogEntry) -> None:
        """Appends the next entry.

        Raises:
            ValueError: If its index is not the last index plus 1.
        """
        if entry.index != self.last_index + 1:
            raise ValueError(f"expected log entry {self.last_index + 1}, got {entry.index}")
        self._entries.append(entry)

    def truncate_from(self, index: int) -> None:
        """Removes the entry at `index` and all later entries."""
        del self._entries[index - 1 :]

    def between(self, first: int, last: int) -> tuple[LogEntry, ...]:
        """Returns the existing entries from index `first` to `last`, both included."""
        return tuple(self._entries[first - 1 : last])

    def batch(self, first: int, bytes_limit: int) -> tuple[LogEntry, ...]:
        """Returns the entries from `first` on whose data fit `bytes_limit`, at least one if one exists."""
        size = 0
        last = first - 1
        for entry in self._entries[first - 1 :]:
            size += len(entry.data)
            if size > bytes_limit and last >= first:
                break
            last = entry.index
        return self.between(first, last)

    def conflict_hint(self, index: int, commit_index: int) -> int:
        """Returns the index that a leader should try next if this log lacks the leader's entry at `index`.

        The hint is the end of the log, or the last entry before those of the conflicting term, but never less
        than `commit_index`.
        """
        if index > self.last_index:
            return self.last_index
        return max(commit_index, self._index_before_term_at(index))

    def _index_before_term_at(self, index: int) -> int:
        """Returns the last index before the run of entries with the same term as the entry at `index`."""
        term = self._entries[index - 1].term
        while index > 0 and self._entries[index - 1].term == term:
            index -= 1
        return index
