"""A fleet that spends one shared budget on virtual time.

Each member runs a lease manager (budget/manager.py) on a node of the simulated network
(emulator/member_network.py), and its clock drifts from the others. Calls arise at each member at a rate of
its own, and it makes them as soon as it may. A ledger records each call at the receiver, at true time, and
the sum of all shares after each step of a member. `limiter` selects what limits a member:

- "budget": its leased share.
- "guess": an even part of the limit, by a configured fleet size that may be wrong.
- "counter": a counter that all members can query at any time; no real scheme can do better.
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

STEP = 0.01  # s between two attempts of a member to make calls
MAX_CALL_DELAY = 0.009  # s that a call takes to the receiver, at most
US = 1_000_000


@dataclass
class Ledger:
    """What happened at the receiver, and the shares that members held.

    Attributes:
        window: Length of the budget's window in s.
        calls: Arrival time in s and sender of each call.
        peak_shares: The highest sum of all members' shares at one instant.
        rejected: Calls that arrived while the window was full.
        recent: Arrival times in s within the last window.
    """

    window: float
    calls: list[tuple[float, str]] = field(default_factory=list)
    peak_shares: int = 0
    rejected: int = 0
    recent: deque[float] = field(default_factory=deque)

    def record_arrival(self, at: float, sender: str, limit: int) -> None:
        """Records a call that arrives at time `at` (s), under the receiver's limit."""
        while self.recent and self.recent[0] <= at - self.window:
            self.recent.popleft()
        self.rejected += len(self.recent) >= limit
        self.recent.append(at)
        self.calls.append((at, sender))

    def peak(self) -> int:
        """Returns the highest number of calls in any window."""
        return max_count_within((at for at, _ in self.calls), self.window)

    def utilization(self, since: float, until: float, limit: int) -> float:
        """Returns the share of the limit that was used between two times in s."""
        return sum(since <= at < until for at, _ in self.calls) / (limit * (until - since) / self.window)

    def calls_by_sender(self, since: float, until: float) -> dict[str, int]:
        """Returns the number of calls of each sender between two times in s."""
        return Counter(name for at, name in self.calls if since <= at < until)


class Fleet:
    """Members that share one budget, on a simulated network.

    Attributes:
        network: The network between the members.
        budget: The budget as the members know it.
        receiver_limit: The limit that the receiver applies.
        demands: Calls per second that arise at each member, by number.
        managers: The lease manager of each running member, by name.
        rates: Speed of each member's clock, by number.
        offsets: Offset of each member's clock in us, by number.
        backlog: Calls that wait at each member, by name.
        enforcers: Limits by which members spend if `limiter` is "guess", by name.
        ledger: What happened at the receiver.
    """

    def __init__(
        self,
        budget: Budget,
        members: int,
        seed: int,
        demands: Iterable[float],
        limiter: str = "budget",
        guess: int = 0,
        loss: float = 0.0,
        delay: float = 0.002,
    ) -> None:
        """Starts all members.

        Args:
            budget: The shared budget.
            members: Number of members.
            seed: Seed of all random draws.
            demands: Calls per second that arise at each member.
            limiter: What limits a member; see the module's docstring.
            guess: Fleet size that members assume if `limiter` is "guess"; 0: the true one.
            loss: Share of datagrams that the network loses.
            delay: Highest delay of a datagram in s.
        """
        self.network = MemberNetwork(max(budget.max_members, members), seed, loss, delay)
        self.budget, self.limiter, self.guess = budget, limiter, guess or members
        self.receiver_limit = budget.limit
        self.rng = random.Random(f"shared {seed}")
        self.demands = dict(enumerate(demands))
        self.managers: dict[str, LeaseManager] = {}
        self.rates = {number: self.rng.uniform(0.99, 1.01) for number in range(members)}
        self.offsets = {number: self.rng.randrange(10**12) for number in range(members)}
        self.backlog: dict[str, float] = {}
        self.last_reading_us: dict[int, int] = {}
        self.enforcers: dict[str, LimitEnforcer] = {}
        self.ledger = Ledger((budget.window_us or US) / US)
        self.recent_calls: deque[float] = deque()
        self.network.step = self.step
        for number in range(members):
            self.start(number)

    def schedule_faults(self, until: float) -> None:
        """Schedules faults at random times before `until` (s); each of them ends by then."""
        rng, count = self.rng, len(self.rates)
        for _ in range(rng.randint(2, 5)):
            at, duration = rng.uniform(0, until), rng.uniform(0.1, until / 3)
            number = rng.randrange(count)
            name = f"n{number}"
            match rng.choice(["crash", "disk loss", "stall", "split", "loss", "restart of all"]):
                case "crash":
                    self.network.later(at, partial(self.end, number))
                    self.network.later(min(at + duration, until), partial(self.restart, number))
                case "disk loss":
                    self.network.later(at, partial(self.restart, number, 1))
                case "stall":
                    self.network.later(at, partial(self.stall, name, min(duration, until - at)))
                case "split":
                    names = [f"n{each}" for each in range(count)]
                    rng.shuffle(names)
                    cut = rng.randrange(1, count)
                    self.network.later(at, partial(self.network.split, names[:cut], names[cut:]))
                case "loss":
                    self.network.later(at, partial(self.impair_network, rng.uniform(0, 0.5), duration))
                case "restart of all":
                    for each in range(count):
                        self.network.later(at, partial(self.restart, each, rng.choice([None, 1])))
        self.network.later(until, self.repair_network)

    def restart(self, number: int, epoch: int | None = None) -> None:
        """Ends a member and starts it again; `epoch` as in `start`."""
        self.end(number)
        self.start(number, epoch)

    def stall(self, name: str, duration: float) -> None:
        """Freezes a member for a duration in s."""
        if name in self.network.nodes and name not in self.network.frozen:
            self.network.freeze(name)
            self.network.later(duration, lambda: self.network.thaw(name))

    def impair_network(self, loss: float, delay: float) -> None:
        """Makes the network lose and duplicate datagrams and delay them by up to `delay` s."""
        self.network.loss, self.network.duplication, self.network.delay = loss, 0.2, delay

    def repair_network(self) -> None:
        """Ends all faults of the network."""
        self.network.split()
        self.network.loss, self.network.duplication, self.network.delay = 0.0, 0.0, 0.002

    def clock(self, number: int) -> int:
        """Reads a member's clock in us; each reading is higher than the one before."""
        reading = self.offsets[number] + int(self.network.now * US * self.rates[number])
        self.last_reading_us[number] = max(reading, self.last_reading_us.get(number, 0) + 1)
        return self.last_reading_us[number]

    def start(self, number: int, epoch: int | None = None) -> None:
        """Starts a member; `epoch`: the epoch on its disk, None: one above its last."""
        node = self.network.start(number, epoch)
        manager = self.managers[node.me.name] = LeaseManager(
            node.me.name, node.members.me.epoch, lambda: self.clock(number)
        )
        name = node.me.name
        manager.open(self.budget, lambda: int(self.backlog[name]))
        self.backlog.setdefault(name, 0.0)
        self.enforcers[name] = LimitEnforcer(self.budget.usage_window_us)
        node.on_lease_datagram = lambda sender, datagram: self.receive(name, manager, sender, datagram)
        node.on_epoch_raised = lambda epoch: manager.restart_session(epoch)
        self.network.later(self.rng.uniform(0, STEP), lambda: self.make_calls(number, node))

    def end(self, number: int) -> None:
        """Ends a member; its backlog waits for the next start."""
        self.network.end(f"n{number}")
        self.managers.pop(f"n{number}", None)

    def receive(self, name: str, manager: LeaseManager, sender: str, datagram: wire.LeaseDatagram) -> None:
        """Hands a datagram to a member's manager, unless the member has been restarted or has ended."""
        if self.managers.get(name) is manager:
            manager.handle_datagram(sender, datagram)
            self.flush(name)

    def step(self, name: str) -> None:
        """Runs a member's manager; the network calls this after each tick of the member's node."""
        if manager := self.managers.get(name):
            manager.tick(self.network.nodes[name].others())
            self.flush(name)
            self.record_shares()

    def flush(self, name: str) -> None:
        """Sends the datagrams in the outbox of a member's manager."""
        node, manager = self.network.nodes[name], self.managers[name]
        outbox, manager.outbox = manager.outbox, []
        for each in outbox:
            node.send_to(each.receiver, each.datagram)
        self.network.flush(name)

    def record_shares(self) -> None:
        """Records the sum of all shares.

        A stalled member is included: it may spend its share when it resumes, as far as its clock allows.
        """
        shares = (manager.ledgers[self.budget.name].share() for manager in self.managers.values())
        self.ledger.peak_shares = max(self.ledger.peak_shares, sum(shares))

    def make_calls(self, number: int, node: FleetNode) -> None:
        """Makes the calls of one step at a member, as far as its limit allows."""
        name = node.me.name
        if self.network.nodes.get(name) is not node:
            return
        self.backlog[name] = min(self.backlog[name] + self.demands[number] * STEP, 1e6)
        while name not in self.network.frozen and self.backlog[name] >= 1 and self.may_spend(number, name):
            self.backlog[name] -= 1
            delay = self.rng.uniform(0, MAX_CALL_DELAY)
            self.network.later(
                delay, lambda: self.ledger.record_arrival(self.network.now, name, self.receiver_limit)
            )
        self.network.later(STEP, lambda: self.make_calls(number, node))

    def may_spend(self, number: int, name: str) -> bool:
        """Whether a member may make a call now; if so, the call counts as made."""
        if self.limiter == "budget":
            return self.managers[name].try_spend([self.budget.name], "")
        now, window = self.network.now, self.ledger.window
        if self.limiter == "guess":
            return self.enforcers[name].try_spend(
                "", self.clock(number), max(self.budget.limit // self.guess, 1)
            )
        while self.recent_calls and self.recent_calls[0] <= now - window - MAX_CALL_DELAY:
            self.recent_calls.popleft()
        if len(self.recent_calls) >= self.receiver_limit:
            return False
        self.recent_calls.append(now)
        return True

    def set_limit(self, limit: int) -> None:
        """Changes the limit for all members and, from now on, for the receiver."""
        self.budget = replace(self.budget, limit=limit)
        for manager in self.managers.values():
            manager.update_budget(self.budget)
        self.receiver_limit = limit
