"""Which control node a sender watches: its first choice, the next one, and the way back. Pure.

Rules:

- The nodes are in an order of preference. A node that fails is left for the next one, round and round.
- While a sender isn't with its first choice, it probes the nodes that it prefers to the present one, one each
  `PROBE_INTERVAL_MIN_S` to `PROBE_INTERVAL_MAX_S` seconds (drawn), and goes back only to one that answered.
- A node that is behind is given some patience, then left. The patience doubles each time, up to
  `PATIENCE_LIMIT_S`, until a node is met that isn't behind: where all are, senders don't run in circles.
"""

import random
from collections.abc import Sequence

# Seconds.
PROBE_INTERVAL_MIN_S, PROBE_INTERVAL_MAX_S = 30.0, 60.0
PATIENCE_MIN_S, PATIENCE_MAX_S = 3.0, 6.0  # the first time
PATIENCE_LIMIT_S = 60.0


class NodeChoice:
    """`names`: the control nodes in the order of preference."""

    def __init__(self, names: Sequence[str], rng: random.Random, now: float) -> None:
        if not names:
            raise ValueError("a watch needs a control node")
        self.names = tuple(names)
        self.changes = 0
        self.probed = ""  # the node that is being probed
        self._rng = rng
        self._rank = 0
        self._probed_rank = -1
        self._behind_since: float | None = None
        self._patience = 0.0
        self.note_up_to_date()
        self._draw_probe(now)

    @property
    def node(self) -> str:
        """The node that is watched."""
        return self.names[self._rank]

    def move_on(self, now: float) -> None:
        """Leaves the node for the next one."""
        self._settle_on((self._rank + 1) % len(self.names), now)

    def return_to_probed(self, now: float) -> None:
        """Settles on the node that was probed."""
        self._settle_on(self.names.index(self.probed), now)

    def next_probe(self, now: float) -> str | None:
        """The node to be probed, if one is due."""
        if now < self._probe_due:
            return None
        self._draw_probe(now)
        self.probed = ""
        if not self._rank:
            return None
        self._probed_rank = (self._probed_rank + 1) % self._rank
        self.probed = self.names[self._probed_rank]
        return self.probed

    def note_up_to_date(self) -> None:
        """The node isn't behind."""
        self._behind_since = None
        self._patience = self._rng.uniform(PATIENCE_MIN_S, PATIENCE_MAX_S)

    def note_behind(self, now: float) -> bool:
        """The node is behind; whether it has been for longer than the patience."""
        if self._behind_since is None:
            self._behind_since = now
        if now - self._behind_since <= self._patience:
            return False
        self._patience = min(2 * self._patience, PATIENCE_LIMIT_S)
        return True

    def reset_times(self) -> None:
        """Time passed in which nothing could be heard."""
        self._behind_since = None

    def _settle_on(self, rank: int, now: float) -> None:
        self.changes += rank != self._rank
        self._rank = rank
        self._behind_since = None
        self.probed = ""
        self._probed_rank = -1
        self._draw_probe(now)

    def _draw_probe(self, now: float) -> None:
        self._probe_due = now + self._rng.uniform(PROBE_INTERVAL_MIN_S, PROBE_INTERVAL_MAX_S)
