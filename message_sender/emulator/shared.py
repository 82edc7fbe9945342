"""A fleet that spends one budget, on virtual time: the desks of all members (budget/manager.py) on the link's
own ends (emulator/member_network.py), clocks that run apart, and a ledger that knows everything.

Each member has work that comes by a rate of its own; it spends as soon as it may. The ledger notes each call
at the receiver, at true time, and the parts of all at each of its looks. `how` tells by what a member spends:

- "budget": by its part; "guess": an even part of the whole by a `fleet_size` that may be wrong; "counter": as
  long as a counter that all can always ask has room: the best possible.
"""

import random
from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from functools import partial

from message_sender.budget.definition import Budget
from message_sender.budget.enforcer import LimitEnforcer
from message_sender.budget.manager import LeaseManager
from message_sender.emulator.member_network import MemberNetwork
from message_sender.fleet import wire
from message_sender.fleet.node import FleetNode
from message_sender.testbed.history import max_count_within

STEP = 0.01  # s between two looks for work
WAY = 0.009  # s that a call may take to the receiver
US = 1_000_000


@dataclass
class Ledger:
    """What really happened. Times in s."""

    span: float
    calls: list[tuple[float, str]] = field(default_factory=list)
    most_parts: int = 0  # that all might spend at one instant
    refused: int = 0
    lately: deque[float] = field(default_factory=deque)

    def arrives(self, at: float, by: str, whole: int) -> None:
        while self.lately and self.lately[0] <= at - self.span:
            self.lately.popleft()
        self.refused += len(self.lately) >= whole
        self.lately.append(at)
        self.calls.append((at, by))

    def most(self) -> int:
        """The most calls in any span."""
        return max_count_within((at for at, _ in self.calls), self.span)

    def used(self, since: float, until: float, whole: int) -> float:
        """The share of the whole."""
        return sum(since <= at < until for at, _ in self.calls) / (whole * (until - since) / self.span)

    def by(self, since: float, until: float) -> dict[str, int]:
        return Counter(name for at, name in self.calls if since <= at < until)


class Fleet:
    def __init__(
        self,
        budget: Budget,
        members: int,
        seed: int,
        works: Iterable[float],
        how: str = "budget",
        guess: int = 0,
        loss: float = 0.0,
        delay: float = 0.002,
    ) -> None:
        """`works`: calls a second that come at each; `guess`: the members that each believes in."""
        self.hall = MemberNetwork(max(budget.max_members, members), seed, loss, delay)
        self.budget, self.how, self.guess = budget, how, guess or members
        self.whole = budget.limit  # the receiver's
        self.rng = random.Random(f"shared {seed}")
        self.works = dict(enumerate(works))
        self.desks: dict[str, LeaseManager] = {}
        self.rates = {number: self.rng.uniform(0.99, 1.01) for number in range(members)}
        self.offsets = {number: self.rng.randrange(10**12) for number in range(members)}
        self.held: dict[str, float] = {}
        self.read: dict[int, int] = {}
        self.spenders: dict[str, LimitEnforcer] = {}
        self.ledger = Ledger((budget.window_us or US) / US)
        self.counter: deque[float] = deque()
        self.hall.step = self.step
        for number in range(members):
            self.start(number)

    def draw(self, until: float) -> None:
        """Faults at random times before `until`, s; each ends by then."""
        rng, count = self.rng, len(self.rates)
        for _ in range(rng.randint(2, 5)):
            at, lasts = rng.uniform(0, until), rng.uniform(0.1, until / 3)
            number = rng.randrange(count)
            name = f"n{number}"
            match rng.choice(["dies", "loses its disk", "stands still", "split", "loss", "all start"]):
                case "dies":
                    self.hall.later(at, partial(self.end, number))
                    self.hall.later(min(at + lasts, until), partial(self.begin_again, number))
                case "loses its disk":
                    self.hall.later(at, partial(self.begin_again, number, 1))
                case "stands still":
                    self.hall.later(at, partial(self.stand_still, name, min(lasts, until - at)))
                case "split":
                    names = [f"n{each}" for each in range(count)]
                    rng.shuffle(names)
                    cut = rng.randrange(1, count)
                    self.hall.later(at, partial(self.hall.split, names[:cut], names[cut:]))
                case "loss":
                    self.hall.later(at, partial(self.trouble, rng.uniform(0, 0.5), lasts))
                case "all start":
                    for each in range(count):
                        self.hall.later(at, partial(self.begin_again, each, rng.choice([None, 1])))
        self.hall.later(until, self.heal)

    def begin_again(self, number: int, epoch: int | None = None) -> None:
        self.end(number)
        self.start(number, epoch)

    def stand_still(self, name: str, lasts: float) -> None:
        if name in self.hall.nodes and name not in self.hall.frozen:
            self.hall.freeze(name)
            self.hall.later(lasts, lambda: self.hall.thaw(name))

    def trouble(self, loss: float, delay: float) -> None:
        self.hall.loss, self.hall.double, self.hall.delay = loss, 0.2, delay

    def heal(self) -> None:
        self.hall.split()
        self.hall.loss, self.hall.double, self.hall.delay = 0.0, 0.0, 0.002

    def clock(self, number: int) -> int:
        told = self.offsets[number] + int(self.hall.now * US * self.rates[number])
        self.read[number] = max(told, self.read.get(number, 0) + 1)  # no two reads tell the same
        return self.read[number]

    def start(self, number: int, epoch: int | None = None) -> None:
        node = self.hall.start(number, epoch)
        desk = self.desks[node.me.name] = LeaseManager(
            node.me.name, node.members.me.epoch, lambda: self.clock(number)
        )
        name = node.me.name
        desk.open(self.budget, lambda: int(self.held[name]))
        self.held.setdefault(name, 0.0)
        self.spenders[name] = LimitEnforcer(self.budget.usage_window_us)
        node.on_lease_datagram = lambda by, share: self.hear(name, desk, by, share)
        node.on_epoch_raised = lambda epoch: desk.restart_session(epoch)
        self.hall.later(self.rng.uniform(0, STEP), lambda: self.work(number, node))

    def end(self, number: int) -> None:
        """It dies; its work goes elsewhere, or waits."""
        self.hall.end(f"n{number}")
        self.desks.pop(f"n{number}", None)

    def hear(self, name: str, desk: LeaseManager, by: str, share: wire.LeaseDatagram) -> None:
        if self.desks.get(name) is desk:
            desk.handle_datagram(by, share)
            self.post(name)

    def step(self, name: str) -> None:
        if desk := self.desks.get(name):
            desk.tick(self.hall.nodes[name].others())
            self.post(name)
            self.look()

    def post(self, name: str) -> None:
        """What its desk says."""
        node, desk = self.hall.nodes[name], self.desks[name]
        out, desk.outbox = desk.outbox, []
        for each in out:
            node.send_to(each.receiver, each.datagram)
        self.hall.flush(name)

    def look(self) -> None:
        """Who stands still may spend as much as its clock lets it when it wakes."""
        there = (desk.ledgers[self.budget.name].share() for desk in self.desks.values())
        self.ledger.most_parts = max(self.ledger.most_parts, sum(there))

    def work(self, number: int, node: FleetNode) -> None:
        name = node.me.name
        if self.hall.nodes.get(name) is not node:
            return
        self.held[name] = min(self.held[name] + self.works[number] * STEP, 1e6)
        while name not in self.hall.frozen and self.held[name] >= 1 and self.may_spend(number, name):
            self.held[name] -= 1
            way = self.rng.uniform(0, WAY)
            self.hall.later(way, lambda: self.ledger.arrives(self.hall.now, name, self.whole))
        self.hall.later(STEP, lambda: self.work(number, node))

    def may_spend(self, number: int, name: str) -> bool:
        if self.how == "budget":
            return self.desks[name].try_spend([self.budget.name], "")
        now, span = self.hall.now, self.ledger.span
        if self.how == "guess":
            return self.spenders[name].try_spend(
                "", self.clock(number), max(self.budget.limit // self.guess, 1)
            )
        while self.counter and self.counter[0] <= now - span - WAY:
            self.counter.popleft()
        if len(self.counter) >= self.whole:
            return False
        self.counter.append(now)
        return True

    def lower(self, whole: int) -> None:
        """All are told another whole, and the receiver takes it from now on."""
        self.budget = replace(self.budget, limit=whole)
        for desk in self.desks.values():
            desk.update_budget(self.budget)
        self.whole = whole
