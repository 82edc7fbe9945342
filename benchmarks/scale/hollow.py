"""Hollow senders: many of the link's real Node objects in one process, on virtual time.

What is real: the protocol code (membership, sessions, announcements), the encoding and the encryption of each
datagram. What is not: sockets, processes, the engine and the recovery stages, which at rest send nothing of
their own. The network delivers each datagram after a fixed delay, or loses it with a given probability.
"""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from message_sender.fleet import wire
from message_sender.fleet.members import PROBE_INTERVAL_S, Member, MemberState
from message_sender.fleet.node import FleetNode, LocalMember
from message_sender.fleet.seal import Seal
from message_sender.fleet.session import PeerSession
from message_sender.fleet.udp import TICK_INTERVAL_S
from message_sender.fleet.wire import Address

KEY = bytes(32)
NETWORK_DELAY_S = 0.001
SEEDS = 2  # members whose addresses every member's configuration names
PORT = 7946
ROUND_SHARE = 1.1 / 2.1  # of the time, in which a member is within a round of announcements


class CountingNode(FleetNode):
    """A Node that counts what it sends by kind of body."""

    kinds: Counter[str]

    def send(
        self,
        address: Address,
        body: wire.Body,
        to_session: int = 0,
        updates: tuple[wire.MembershipUpdate, ...] = (),
    ) -> None:
        self.kinds[type(body).__name__] += 1
        super().send(address, body, to_session, updates)


@dataclass(slots=True)
class Traffic:
    """Datagrams and bytes (of UDP payload) that were sent, and received by each member."""

    sent: int = 0
    sent_bytes: int = 0
    received: Counter[str] = field(default_factory=Counter)
    received_bytes: Counter[str] = field(default_factory=Counter)

    def received_by(self, names: Iterable[str]) -> tuple[int, int]:
        """Datagrams and bytes that these members received together."""
        chosen = list(names)
        datagrams = sum(self.received[name] for name in chosen)
        return datagrams, sum(self.received_bytes[name] for name in chosen)


class HollowFleet:
    """A fleet on virtual time; the same seed gives the same run, but for the nonces."""

    def __init__(self, size: int, announcement_bytes: int, seed: int = 1, loss: float = 0.0) -> None:
        """`loss`: probability that a datagram is lost."""
        self.size, self.seed, self.loss = size, seed, loss
        self.announcement = b"x" * announcement_bytes
        self.now = 0.0
        self.traffic, self.kinds = Traffic(), Counter[str]()
        self.rng = random.Random(f"hollow fleet {seed}")
        self.order = itertools.count()
        self.events: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self.nodes: dict[str, CountingNode] = {}
        self.by_address: dict[Address, str] = {}
        for number in range(size):
            self.add(f"n{number}", number)

    def address(self, number: int) -> Address:
        return f"10.0.{number // 250}.{number % 250 + 1}", PORT

    def add(self, name: str, number: int) -> None:
        self.by_address[self.address(number)] = name
        self.nodes[name] = self.make_node(name, number, epoch=1)
        self.call_at(self.rng.uniform(0, TICK_INTERVAL_S), self.tick, name)

    def make_node(self, name: str, number: int, epoch: int) -> CountingNode:
        seeds = tuple(self.address(each) for each in range(min(SEEDS, self.size)))
        me = LocalMember(name, self.address(number), seeds, self.size)
        rng = random.Random(f"{self.seed} {name} {epoch}")
        node = CountingNode(me, Seal([KEY]), epoch, rng.getrandbits(62) + 1, rng, self.now)
        node.kinds = self.kinds
        return node

    def acquaint(self, announcing: int | None = None) -> None:
        """Gives each member what it knows once all have joined, without the joining itself, and a random
        place in its round of announcements. `announcing`: how many members have one; None: all."""
        for node in list(self.nodes.values())[:announcing]:
            node.publish(self.announcement, self.now)  # to nobody: the rounds carry it
        for node in self.nodes.values():
            for other in self.nodes.values():
                if other is not node:
                    self.introduce(node, other)
            node.members.next_probe_at = self.now + self.rng.uniform(0, PROBE_INTERVAL_S)
            self.place_in_round(node)

    def place_in_round(self, node: FleetNode) -> None:
        """A round lasts 22 parts of a twentieth of the rest at most, then comes the rest (Node.tick)."""
        if self.rng.random() < ROUND_SHARE:
            node.announcement_round = node.others()
            self.rng.shuffle(node.announcement_round)
            del node.announcement_round[: int(self.rng.random() * len(node.announcement_round))]
            node.announcements_due = self.now + self.rng.uniform(0, node.announcement_interval() / 20)
        else:
            node.announcements_due = self.now + self.rng.uniform(0, node.announcement_interval())

    def introduce(self, node: FleetNode, other: FleetNode) -> None:
        epoch = other.members.me.epoch
        name, address = other.me.name, other.me.address
        node.members.others[name] = Member(name, address, epoch, 0, MemberState.ALIVE, self.now)
        node.peers[name] = PeerSession(epoch, other.session)

    def restart(self, name: str) -> None:
        """The member's process is replaced in an instant by one with its next epoch that knows nobody."""
        old = self.nodes[name]
        number = next(number for number in range(self.size) if self.address(number) == old.me.address)
        self.nodes[name] = self.make_node(name, number, old.members.me.epoch + 1)
        self.nodes[name].publish(self.announcement, self.now)

    # Virtual time.

    def call_at(self, due: float, callback: Callable[..., None], *arguments: object) -> None:
        heapq.heappush(self.events, (due, next(self.order), callback, arguments))

    def run(self, seconds: float, is_over: Callable[[], bool] = lambda: False) -> None:
        """Until that much virtual time has passed, or `is_over`, asked between events."""
        until = self.now + seconds
        while self.events and self.events[0][0] <= until and not is_over():
            self.now, _, callback, arguments = heapq.heappop(self.events)
            callback(*arguments)
        self.now = self.now if is_over() else until

    def tick(self, name: str) -> None:
        self.nodes[name].tick(self.now)
        self.flush(name)
        self.call_at(self.now + TICK_INTERVAL_S, self.tick, name)

    def flush(self, name: str) -> None:
        node = self.nodes[name]
        out, node.outbox = node.outbox, []
        for address, data in out:
            self.traffic.sent += 1
            self.traffic.sent_bytes += len(data)
            if self.loss and self.rng.random() < self.loss:
                continue
            if to := self.by_address.get(address):
                self.call_at(self.now + NETWORK_DELAY_S, self.deliver, to, data)

    def deliver(self, to: str, data: bytes) -> None:
        self.traffic.received[to] += 1
        self.traffic.received_bytes[to] += len(data)
        self.nodes[to].receive(data, self.now)
        self.flush(to)

    # What is known.

    def know(self, version: int, of: str) -> int:
        """How many of the others have heard this version of a member's announcement, or a newer one."""
        heard = [node.announcements.get(of) for name, node in self.nodes.items() if name != of]
        return sum(1 for said in heard if said and said.version >= version)

    def forget_traffic(self) -> None:
        """Counts anew from here."""
        self.traffic = Traffic()
        self.kinds.clear()
