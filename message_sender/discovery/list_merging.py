"""What to accept of lists that are read: several of them, old ones, and one that suddenly shrinks. Pure.

- *Merging*: of several lists the first that names an endpoint counts.
- *Doubt*: a list that misses more than a share of its entries at once may be a fault of its writer. What it
  adds and changes is accepted at once; what it misses is kept until it has been missing for some time, until
  someone confirms the list, or until it is listed again. Drains that the list states are never doubted.
- *Age*: how long ago a list was last read that was valid.

Times are microseconds.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Generic, TypeVar

SECOND = 1_000_000
MIN_DOUBTABLE_SIZE = 4  # entries; of fewer, half is one or two

Item = TypeVar("Item")


def merge_lists(lists: Iterable[Mapping[str, Item]]) -> dict[str, Item]:
    """Merges lists by id; the first one that names an id counts."""
    merged: dict[str, Item] = {}
    for entries in lists:
        merged |= {name: item for name, item in entries.items() if name not in merged}
    return merged


@dataclass(slots=True)
class MergedList(Generic[Item]):
    """What is accepted of one list.

    Attributes:
        max_missing_share: Share of the entries that may vanish at once without doubt.
        doubt_duration_us: How long missing entries are kept.
        entries: What is accepted, by id.
        doubted: Of these, what the list does not name.
        doubted_since: When the doubt began.
        read_at: When a valid list was last read; None: never.
    """

    max_missing_share: float = 0.5
    doubt_duration_us: int = 300 * SECOND
    entries: dict[str, Item] = field(default_factory=dict)
    doubted: dict[str, Item] = field(default_factory=dict)
    doubted_since: int = 0
    read_at: int | None = None

    def update(self, listed: Mapping[str, Item], now: int) -> bool:
        """Applies a list that was read, and returns whether the accepted entries have changed."""
        before = self.entries
        self.read_at = now
        missing = {name: item for name, item in before.items() if name not in listed}
        if not missing or self.doubted:
            self.doubted = missing
        elif len(before) >= MIN_DOUBTABLE_SIZE and len(missing) > self.max_missing_share * len(before):
            self.doubted = missing
            self.doubted_since = now
        if self.doubted and now - self.doubted_since >= self.doubt_duration_us:
            self.doubted = {}
        self.entries = dict(listed) | self.doubted
        return self.entries != before

    def confirm(self) -> bool:
        """Drops the doubted entries: the list is right. Returns whether there were any."""
        if not self.doubted:
            return False
        self.entries = {name: item for name, item in self.entries.items() if name not in self.doubted}
        self.doubted = {}
        return True

    def expire_doubt(self, now: int) -> bool:
        """Drops the doubted entries if their time is over; returns whether it was."""
        is_over = bool(self.doubted) and now - self.doubted_since >= self.doubt_duration_us
        return is_over and self.confirm()

    def age(self, now: int) -> int | None:
        """Returns the time since a valid list was read; None if none ever was."""
        return None if self.read_at is None else now - self.read_at
