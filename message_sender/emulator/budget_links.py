"""Shared budgets for the senders of an emulated fleet.

Each sender uses the code of a real process (service/budgets.py) with an in-memory link. The other senders
notice a killed one only after `DETECTION_DELAY`, as with real membership.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from message_sender.configuration.resources import SharedBudget
from message_sender.core.engine import Engine
from message_sender.fleet import wire
from message_sender.service.budgets import SharedBudgets

TICK = 0.05  # s between two steps of a sender's budgets
LINK_DELAY = (0.001, 0.008)  # s, lowest and highest
DETECTION_DELAY = 3.0  # s until the other senders notice that one was killed


@dataclass
class MemberName:
    """A sender's name and epoch, as `LinkEnd.members.me` provides them."""

    name: str
    epoch: int


@dataclass
class MemberView:
    """The part of a node's membership that service/budgets.py reads."""

    me: MemberName


class LinkEnd:
    """The link of one incarnation of a sender, as far as service/budgets.py uses a link and its node."""

    def __init__(self, hub: "LinkHub", name: str, epoch: int) -> None:
        """Creates the link of the incarnation `epoch` of a sender."""
        self.node, self.hub = self, hub
        self.name, self.members = name, MemberView(MemberName(name, epoch))
        self.on_lease_datagram: Callable[[str, wire.LeaseDatagram], None] = lambda sender, datagram: None
        self.on_epoch_raised: Callable[[int], None] = lambda epoch: None

    def others(self) -> list[str]:
        """Returns the other senders that are believed to be running."""
        now = self.hub.time()
        return [
            name
            for name, until in self.hub.running_until.items()
            if name != self.name and (not until or now < until)
        ]

    def send_to(self, name: str, datagram: wire.LeaseDatagram) -> None:
        """Sends a datagram to a sender; it may be lost."""
        if self.hub.rng.random() >= self.hub.loss:
            self.hub.later(self.hub.rng.uniform(*LINK_DELAY), self.hub.deliver, self.name, name, datagram)

    def flush(self) -> None:
        """Does nothing, as `send_to` sends at once."""


@dataclass
class LinkHub:
    """The links of all senders.

    Attributes:
        time: The virtual clock, in s.
        later: Calls a function after a delay in s.
        size: Number of senders.
        window_us: Window in us over which a destination's announced rate is counted.
        loss: Share of datagrams that are lost.
        seed: Seed of the random draws.
        running_until: 0 for each running sender, by name; for a killed one, the time in s at which the
            others notice.
        ends: The link and the budgets of each running sender, by name.
    """

    time: Callable[[], float]
    later: Callable[..., Any]
    size: int
    window_us: int
    loss: float
    seed: int
    running_until: dict[str, float] = field(default_factory=dict)
    ends: dict[str, tuple[LinkEnd, SharedBudgets]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Creates the random source from the seed."""
        self.rng = random.Random(f"links {self.seed}")

    def join(self, name: str, engine: Engine, incarnation: int) -> None:
        """Connects a sender that starts; call it before its engine starts."""
        end = LinkEnd(self, name, incarnation)
        # Leases last one second, as in the tests on sockets.
        shared_budget = SharedBudget(
            "rate", "calls", "destination", None, None, None, self.window_us, 0, 1_000_000, 10_000, 0
        )
        offset = self.rng.randrange(10**9)
        budgets = SharedBudgets(
            engine, end, (shared_budget,), self.size, lambda: offset + int(self.time() * 1e6)
        )
        self.running_until[name], self.ends[name] = 0.0, (end, budgets)
        budgets.bind()
        self.later(self.rng.uniform(0, TICK), self.tick, name, end)

    def leave(self, name: str) -> None:
        """Disconnects a sender that was killed."""
        self.running_until[name] = self.time() + DETECTION_DELAY
        self.ends.pop(name, None)

    def tick(self, name: str, end: LinkEnd) -> None:
        """Steps a sender's budgets and schedules the next step, as long as this incarnation runs."""
        entry = self.ends.get(name)
        if entry and entry[0] is end:
            entry[1].step(self.time())
            self.later(TICK, self.tick, name, end)

    def deliver(self, sender: str, receiver: str, datagram: wire.LeaseDatagram) -> None:
        """Hands a datagram to its receiver, if that runs."""
        if entry := self.ends.get(receiver):
            entry[0].on_lease_datagram(sender, datagram)
