"""Senders of an emulated fleet that share budgets: the same joint as a process has (service/budgets.py), with
a link in memory. Who is killed is known to be gone after a while, as membership finds out."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from message_sender.configuration.resources import SharedBudget
from message_sender.core.engine import Engine
from message_sender.fleet import wire
from message_sender.service.budgets import SharedBudgets

TICK = 0.05  # s
WAY = (0.001, 0.008)  # s
UNNOTICED = 3.0  # s for which a killed one is still thought to be there


@dataclass
class MemberName:
    name: str
    epoch: int


@dataclass
class MemberView:
    me: MemberName


class LinkEnd:
    """One life's end of the link: what service/budgets.py needs of a link and of its node."""

    def __init__(self, hub: "LinkHub", name: str, epoch: int) -> None:
        self.node, self.hub = self, hub
        self.name, self.members = name, MemberView(MemberName(name, epoch))
        self.on_lease_datagram: Callable[[str, wire.LeaseDatagram], None] = lambda by, share: None
        self.on_epoch_raised: Callable[[int], None] = lambda epoch: None

    def others(self) -> list[str]:
        now = self.hub.time()
        return [
            name for name, until in self.hub.there.items() if name != self.name and (not until or now < until)
        ]

    def send_to(self, name: str, share: wire.LeaseDatagram) -> None:
        if self.hub.rng.random() >= self.hub.loss:
            self.hub.later(self.hub.rng.uniform(*WAY), self.hub.arrive, self.name, name, share)

    def flush(self) -> None: ...


@dataclass
class LinkHub:
    time: Callable[[], float]
    later: Callable[..., Any]
    size: int
    span: int  # us that a destination's told rate is counted over
    loss: float
    seed: int
    there: dict[str, float] = field(default_factory=dict)  # and until when, for one that was killed
    ends: dict[str, tuple[LinkEnd, SharedBudgets]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.rng = random.Random(f"links {self.seed}")

    def join(self, name: str, engine: Engine, life: int) -> None:
        """A start of a sender, before its engine's."""
        end = LinkEnd(self, name, life)
        # A lease of a second: the leases of tests on sockets, too.
        each = SharedBudget(
            "rate", "calls", "destination", None, None, None, self.span, 0, 1_000_000, 10_000, 0
        )
        offset = self.rng.randrange(10**9)
        budgets = SharedBudgets(engine, end, (each,), self.size, lambda: offset + int(self.time() * 1e6))
        self.there[name], self.ends[name] = 0.0, (end, budgets)
        budgets.bind()
        self.later(self.rng.uniform(0, TICK), self.tick, name, end)

    def gone(self, name: str) -> None:
        self.there[name] = self.time() + UNNOTICED
        self.ends.pop(name, None)

    def tick(self, name: str, end: LinkEnd) -> None:
        found = self.ends.get(name)
        if found and found[0] is end:
            found[1].step(self.time())
            self.later(TICK, self.tick, name, end)

    def arrive(self, by: str, to: str, share: wire.LeaseDatagram) -> None:
        if found := self.ends.get(to):
            found[0].on_lease_datagram(by, share)
