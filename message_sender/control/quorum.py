"""Weighted votes: a majority is more than half of all votes of the configuration, absent ones included.

Any two majorities share at least one node, which is what Raft's proof requires of them.
"""

from collections.abc import Iterable, Mapping


class Quorum:
    """The votes of each node; they don't change while a node runs."""

    def __init__(self, votes: Mapping[str, int]) -> None:
        """Creates a quorum of these votes by node.

        Raises:
            ValueError: If a node has no vote.
        """
        if any(weight < 1 for weight in votes.values()):
            raise ValueError("each node needs at least one vote")
        self._votes = dict(votes)
        self._total = sum(self._votes.values())

    @property
    def names(self) -> tuple[str, ...]:
        """All nodes of the configuration."""
        return tuple(self._votes)

    def is_majority(self, names: Iterable[str]) -> bool:
        """Returns whether these nodes (each named once) have more than half of all votes."""
        return 2 * sum(self._votes[name] for name in names) > self._total

    def majority_value(self, values: Mapping[str, int]) -> int:
        """Returns the highest number that a majority has reached, or 0 if there is none.

        Args:
            values: What each node has reached. A node that is not in it has reached nothing, but its votes
                still count in the total.
        """
        reached = 0
        for name in sorted(values, key=lambda name: -values[name]):
            reached += self._votes[name]
            if 2 * reached > self._total:
                return values[name]
        return 0
