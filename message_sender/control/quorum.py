"""Weighted votes: a majority has more than half of all configured votes, including those of absent nodes.

Any two majorities share at least one node, as Raft's proof requires.
"""

from collections.abc import Iterable, Mapping


class Quorum:
    """The votes of each node; they do not change while a node runs."""

    def __init__(self, votes: Mapping[str, int]) -> None:
        """Creates a quorum from the votes by node name.

        Raises:
            ValueError: If a node has no vote.
        """
        if any(weight < 1 for weight in votes.values()):
            raise ValueError("each node needs at least one vote")
        self._votes = dict(votes)
        self._total = sum(self._votes.values())

    @property
    def names(self) -> tuple[str, ...]:
        """The names of all configured nodes."""
        return tuple(self._votes)

    def is_majority(self, names: Iterable[str]) -> bool:
        """Returns whether these nodes, each named once, have more than half of all votes."""
        return 2 * sum(self._votes[name] for name in names) > self._total

    def majority_value(self, values: Mapping[str, int]) -> int:
        """Returns the highest number that a majority of the votes has reached, or 0 if there is none.

        Args:
            values: The number that each node has reached. A missing node has reached no number, but its votes
                still count in the total.
        """
        reached = 0
        for name in sorted(values, key=lambda name: -values[name]):
            reached += self._votes[name]
            if 2 * reached > self._total:
                return values[name]
        return 0
