"""The replicated log in memory: entries by index from 1 on, without gaps."""

from collections.abc import Sequence

from message_sender.control.messages import LogEntry


class ReplicatedLog:
    """All entries of a node's log. Index 0 stands for the beginning, before any entry, with term 0."""

    def __init__(self, entries: Sequence[LogEntry]) -> None:
        """Creates a log of these entries.

        Raises:
            ValueError: If an entry does not have the index of its position.
        """
        self._entries = list(entries)
        for index, entry in enumerate(self._entries, 1):
            if entry.index != index:
                raise ValueError(f"log entry {entry.index} stands where {index} should be")

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
            IndexError: If there is none.
        """
        if not 1 <= index <= len(self._entries):
            raise IndexError(f"no log entry {index}; the last one is {len(self._entries)}")
        return self._entries[index - 1]

    def has(self, index: int, term: int) -> bool:
        """Returns whether the log has an entry of this term at `index`, or `index` is the beginning."""
        return index <= len(self._entries) and self.term_at(index) == term

    def term_at(self, index: int) -> int:
        """Returns the term of the entry at `index`; 0 at the beginning."""
        return self._entries[index - 1].term if index else 0

    def append(self, entry: LogEntry) -> None:
        """Appends the next entry.

        Raises:
            ValueError: If its index does not follow the last one.
        """
        if entry.index != self.last_index + 1:
            raise ValueError(f"log entry {entry.index} does not follow {self.last_index}")
        self._entries.append(entry)

    def truncate_from(self, index: int) -> None:
        """Removes the entry at `index` and all after it."""
        del self._entries[index - 1 :]

    def between(self, first: int, last: int) -> tuple[LogEntry, ...]:
        """Returns the entries from `first` to `last`, both included, as far as they exist."""
        return tuple(self._entries[first - 1 : last])

    def batch(self, first: int, bytes_limit: int) -> tuple[LogEntry, ...]:
        """Returns entries from `first` on whose data fit `bytes_limit`, but at least one if one exists."""
        size = 0
        last = first - 1
        for entry in self._entries[first - 1 :]:
            size += len(entry.data)
            if size > bytes_limit and last >= first:
                break
            last = entry.index
        return self.between(first, last)

    def conflict_hint(self, index: int, commit_index: int) -> int:
        """Returns where a leader is to try next after this log did not have its entry at `index`.

        That is the log's end, or the last entry before those of the conflicting term, but never an entry
        before the committed ones.
        """
        if index > self.last_index:
            return self.last_index
        return max(commit_index, self._index_before_term_at(index))

    def _index_before_term_at(self, index: int) -> int:
        """Returns the last index before the run of entries that have the same term as the one at `index`."""
        term = self._entries[index - 1].term
        while index > 0 and self._entries[index - 1].term == term:
            index -= 1
        return index
