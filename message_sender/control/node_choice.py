"""Selects the control node that a sender watches. No I/O, no clock.

Rules:

- The nodes are in an order of preference: those of the sender's own region first, then the others, each group
  by rendezvous hashing. After a node fails, the sender selects the next one, cyclically.
- While a sender does not watch its first choice, it probes the nodes that it prefers to the current one, one
  every PROBE_INTERVAL_MIN_S to PROBE_INTERVAL_MAX_S (random), and returns only to a node that answered.
- A node that lags behind for longer than the lag timeout is replaced by the next one. The timeout doubles
  each time, up to LAG_TIMEOUT_LIMIT_S, until a node is found that does not lag: if all nodes lag, senders do
  not cycle through them quickly.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from message_sender.control.messages import Address

PROBE_INTERVAL_MIN_S = 30.0
PROBE_INTERVAL_MAX_S = 60.0
LAG_TIMEOUT_MIN_S = 3.0
LAG_TIMEOUT_MAX_S = 6.0
LAG_TIMEOUT_LIMIT_S = 60.0


@dataclass(frozen=True, slots=True)
class ControlNodeAddress:
    """A control node's name, its address and its region."""

    name: str
    address: Address
    region: str


def order_nodes(
    name: str, nodes: Sequence[ControlNodeAddress], region: str
) -> tuple[ControlNodeAddress, ...]:
    """Returns the nodes in the order of preference of the sender `name` in `region`."""

    def rank(node: ControlNodeAddress) -> tuple[bool, int]:
        return node.region != region, xxhash.xxh3_64_intdigest(f"{name}\0{node.name}".encode())

    return tuple(sorted(nodes, key=rank))


class NodeChoice:
    """The node that a sender watches, and the state of its probes."""

    def __init__(self, names: Sequence[str], rng: random.Random, now: float) -> None:
        """Selects the first choice.

        Args:
            names: The control nodes in the order of preference.
            rng: Draws probe intervals and lag timeouts.
            now: Seconds of the monotonic clock.

        Raises:
            ValueError: If `names` is empty.
        """
        if not names:
            raise ValueError("expected at least one control node to watch, got none")
        self.names = tuple(names)
        self.changes = 0
        self.probed = ""  # the node that is being probed
        self._rng = rng
        self._rank = 0
        self._probed_rank = -1
        self._lagging_since: float | None = None
        self._lag_timeout = 0.0
        self.record_up_to_date()
        self._draw_probe(now)

    @property
    def node(self) -> str:
        """The name of the node that is watched."""
        return self.names[self._rank]

    def select_next(self, now: float) -> None:
        """Selects the next node in the order of preference, cyclically."""
        self._select((self._rank + 1) % len(self.names), now)

    def select_probed(self, now: float) -> None:
        """Selects the preferred node that was probed."""
        self._select(self.names.index(self.probed), now)

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

    def record_up_to_date(self) -> None:
        """Records that the node does not lag, and draws a new lag timeout."""
        self._lagging_since = None
        self._lag_timeout = self._rng.uniform(LAG_TIMEOUT_MIN_S, LAG_TIMEOUT_MAX_S)

    def record_lagging(self, now: float) -> bool:
        """Records that the node lags; returns whether it has lagged for longer than the lag timeout."""
        if self._lagging_since is None:
            self._lagging_since = now
        if now - self._lagging_since <= self._lag_timeout:
            return False
        self._lag_timeout = min(2 * self._lag_timeout, LAG_TIMEOUT_LIMIT_S)
        return True

    def reset_lag_timer(self) -> None:
        """Restarts the lag timer after a pause of this process, in which it could not receive anything."""
        self._lagging_since = None

    def _select(self, rank: int, now: float) -> None:
        self.changes += rank != self._rank
        self._rank = rank
        self._lagging_since = None
        self.probed = ""
        self._probed_rank = -1
        self._draw_probe(now)

    def _draw_probe(self, now: float) -> None:
        self._probe_due = now + self._rng.uniform(PROBE_INTERVAL_MIN_S, PROBE_INTERVAL_MAX_S)
