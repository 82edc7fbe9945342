"""Rules for accepting endpoint lists: merging of several lists, shrink protection, and age. Pure.

- *Merging*: if several lists contain an endpoint, the first list takes precedence.
- *Shrink protection*: a list that loses more than a share of its entries at once may be a fault of its
  writer. Additions and changes are accepted at once. Missing entries are retained until the retention time is
  over, an operator confirms the list, or they are listed again. Drains in a list are always accepted at once.
- *Age*: the time since a valid list was last read.

Times are microseconds.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Generic, TypeVar

SECOND = 1_000_000
MIN_PROTECTED_SIZE = 4  # entries; in a shorter list, half is only one or two entries

Item = TypeVar("Item")


def merge_lists(lists: Iterable[Mapping[str, Item]]) -> dict[str, Item]:
    """Merges lists by id; the first list that contains an id takes precedence."""
    merged: dict[str, Item] = {}
    for entries in lists:
        merged |= {name: item for name, item in entries.items() if name not in merged}
    return merged


@dataclass(slots=True)
class ShrinkProtectedList(Generic[Item]):
    """The accepted entries of one list, protected against sudden shrinking.

    Attributes:
        max_missing_share: The largest share of the entries that is dropped at once when missing.
        retention_us: How long missing entries are retained.
        entries: The accepted entries by id, including retained ones.
        retained: The accepted entries that the last list does not contain, by id.
        retained_since: When the list shrank.
        read_at: When a valid list was last read; None if never.
    """

    max_missing_share: float = 0.5
    retention_us: int = 300 * SECOND
    entries: dict[str, Item] = field(default_factory=dict)
    retained: dict[str, Item] = field(default_factory=dict)
    retained_since: int = 0
    read_at: int | None = None

    def update(self, listed: Mapping[str, Item], now: int) -> bool:
        """Applies a newly read list and returns whether the accepted entries have changed."""
        before = self.entries
        self.read_at = now
        missing = {name: item for name, item in before.items() if name not in listed}
        if not missing or self.retained:
            self.retained = missing
        elif len(before) >= MIN_PROTECTED_SIZE and len(missing) > self.max_missing_share * len(before):
            self.retained = missing
            self.retained_since = now
        if self.retained and now - self.retained_since >= self.retention_us:
            self.retained = {}
        self.entries = dict(listed) | self.retained
        return self.entries != before

    def confirm(self) -> bool:
        """Drops the retained entries, as the list is confirmed; returns whether there were any."""
        if not self.retained:
            return False
        self.entries = {name: item for name, item in self.entries.items() if name not in self.retained}
        self.retained = {}
        return True

    def expire_retained(self, now: int) -> bool:
        """Drops the retained entries if their retention time is over; returns whether any were dropped."""
        is_over = bool(self.retained) and now - self.retained_since >= self.retention_us
        return is_over and self.confirm()

    def age(self, now: int) -> int | None:
        """Returns the time since a valid list was last read; None if there was none."""
        return None if self.read_at is None else now - self.read_at
