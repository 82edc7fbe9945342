"""What to believe of lists that are read: several of them, old ones, and one that suddenly empties. Pure.

- *Merged*: of several lists the first that names an endpoint counts.
- *Doubt*: a list from which more than a share of what was believed is missing at once may be a fault of
  whoever wrote it. What it adds and changes is believed at once; what is missing from it is believed to be
  there until the list has said so for a while, until someone confirms it, or until it comes back. Drains that
  it states are never doubted.
- *Stale*: how old what is believed is, by the last time that a list was read and was in order.

Times are us.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Generic, TypeVar

SECOND = 1_000_000
FEW = 4  # believed endpoints from which a list is doubted: of fewer, half is one or two

Item = TypeVar("Item")


def merged(lists: Iterable[Mapping[str, Item]]) -> dict[str, Item]:
    """By id; where two name one, the first list counts."""
    found: dict[str, Item] = {}
    for each in lists:
        found |= {name: item for name, item in each.items() if name not in found}
    return found


@dataclass(slots=True)
class MergedList(Generic[Item]):
    """What is believed of one list. `share` may vanish at once; more is doubted for `patience` us."""

    share: float = 0.5
    patience: int = 300 * SECOND
    believed: dict[str, Item] = field(default_factory=dict)
    doubted: dict[str, Item] = field(default_factory=dict)  # believed, though the list does not name them
    since: int = 0  # when the doubt began
    read_at: int | None = None  # when a list was last in order

    def hear(self, told: Mapping[str, Item], now: int) -> bool:
        """A list has been read. True: what is believed has changed."""
        before, self.read_at = self.believed, now
        known = {name: item for name, item in before.items() if name not in told}
        if not known:
            self.doubted = {}
        elif not self.doubted:
            if len(before) >= FEW and len(known) > self.share * len(before):
                self.doubted, self.since = known, now
        else:
            self.doubted = known
        if self.doubted and now - self.since >= self.patience:
            self.doubted = {}
        self.believed = dict(told) | self.doubted
        return self.believed != before

    def confirm(self) -> bool:
        """Someone says that the list is right. True: something was doubted."""
        if not self.doubted:
            return False
        self.believed = {name: item for name, item in self.believed.items() if name not in self.doubted}
        self.doubted = {}
        return True

    def turn(self, now: int) -> bool:
        """The doubt ends by its time. True: what is believed has changed."""
        return bool(self.doubted) and now - self.since >= self.patience and self.confirm()

    def age(self, now: int) -> int | None:
        """us since a list was in order; None if none ever was."""
        return None if self.read_at is None else now - self.read_at
