"""Chooses the control node that a sender watches. Pure.

Rules:

- The nodes are in an order of preference: those of the sender's own region first, then the others, each group
  by rendezvous hashing. A node that fails is left for the next one, cyclically.
- While a sender is not with its first choice, it probes the nodes that it prefers to the present one, one
  each PROBE_INTERVAL_MIN_S to PROBE_INTERVAL_MAX_S (drawn), and returns only to one that answered.
- A node that is behind is left after some patience. The patience doubles each time, up to PATIENCE_LIMIT_S,
  until a node is found that is not behind: where all are behind, senders do not cycle through them quickly.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from message_sender.control.messages import Address

PROBE_INTERVAL_MIN_S = 30.0
PROBE_INTERVAL_MAX_S = 60.0
PATIENCE_MIN_S = 3.0
PATIENCE_MAX_S = 6.0
PATIENCE_LIMIT_S = 60.0


@dataclass(frozen=True, slots=True)
class ControlNodeAddress:
    """A control node's name, the address at which it is reached, and its region."""

    name: str
    address: Address
    region: str


def order_nodes(
    name: str, nodes: Sequence[ControlNodeAddress], region: str
) -> tuple[ControlNodeAddress, ...]:
    """Returns the nodes in the order in which the sender `name` of `region` prefers them."""

    def rank(node: ControlNodeAddress) -> tuple[bool, int]:
        return node.region != region, xxhash.xxh3_64_intdigest(f"{name}\0{node.name}".encode())

    return tuple(sorted(nodes, key=rank))


class NodeChoice:
    """The node that a sender watches, and the state of its probes."""

    def __init__(self, names: Sequence[str], rng: random.Random, now: float) -> None:
        """Begins with the first choice.

        Args:
            names: The control nodes in the order of preference.
            rng: Draws intervals and patience.
            now: Seconds of the monotonic clock.

        Raises:
            ValueError: If there is no node.
        """
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
        """Returns to the preferred node that was probed."""
        self._settle_on(self.names.index(self.probed), now)

    def next_probe(self, now: float) -> str | None:
        """Returns the node to probe now, or None if no probe is due."""
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
        """Notes that the node is not behind."""
        self._behind_since = None
        self._patience = self._rng.uniform(PATIENCE_MIN_S, PATIENCE_MAX_S)

    def note_behind(self, now: float) -> bool:
        """Notes that the node is behind; returns whether it has been for longer than the patience."""
        if self._behind_since is None:
            self._behind_since = now
        if now - self._behind_since <= self._patience:
            return False
        self._patience = min(2 * self._patience, PATIENCE_LIMIT_S)
        return True

    def reset_times(self) -> None:
        """Starts the patience anew after a pause in which nothing could be received."""
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
