"""Hollow senders: many real FleetNode objects of the link in one process, on virtual time.

Real are the protocol code (membership, sessions, announcements) and the encoding and encryption of each
datagram. There are no sockets, processes, engine or recovery stages; the latter two send nothing of their own
at rest. The simulated network delivers each datagram after a fixed delay or loses it with a given
probability.
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
SEEDS = 2  # seed members, whose addresses are in the configuration of every member
PORT = 7946
ROUND_SHARE = 1.1 / 2.1  # share of the time that a member spends within a round of announcements


class CountingNode(FleetNode):
    """A FleetNode that counts the messages it sends by type of body."""

    body_counts: Counter[str]

    def send(
        self,
        address: Address,
        body: wire.Body,
        to_session: int = 0,
        updates: tuple[wire.MembershipUpdate, ...] = (),
    ) -> None:
        """Counts the body by its type and sends it."""
        self.body_counts[type(body).__name__] += 1
        super().send(address, body, to_session, updates)


@dataclass(slots=True)
class Traffic:
    """Datagrams and bytes of UDP payload: sent by all members, and received by each member."""

    sent: int = 0
    sent_bytes: int = 0
    received: Counter[str] = field(default_factory=Counter)
    received_bytes: Counter[str] = field(default_factory=Counter)

    def received_by(self, names: Iterable[str]) -> tuple[int, int]:
        """Returns the total datagrams and bytes that these members received."""
        chosen = list(names)
        datagrams = sum(self.received[name] for name in chosen)
        return datagrams, sum(self.received_bytes[name] for name in chosen)


class HollowFleet:
    """A fleet on virtual time; runs with the same seed are identical except for the nonces."""

    def __init__(self, size: int, announcement_bytes: int, seed: int = 1, loss: float = 0.0) -> None:
        """Creates `size` members.

        Args:
            size: The number of members.
            announcement_bytes: The size of each member's announcement.
            seed: The seed of all random choices.
            loss: The probability that a datagram is lost.
        """
        self.size, self.seed, self.loss = size, seed, loss
        self.announcement = b"x" * announcement_bytes
        self.now = 0.0
        self.traffic, self.body_counts = Traffic(), Counter[str]()
        self.rng = random.Random(f"hollow fleet {seed}")
        self.order = itertools.count()
        self.events: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self.nodes: dict[str, CountingNode] = {}
        self.names_by_address: dict[Address, str] = {}
        for number in range(size):
            self.add(f"n{number}", number)

    def address(self, number: int) -> Address:
        """Returns the address of a member by its number."""
        return f"10.0.{number // 250}.{number % 250 + 1}", PORT

    def add(self, name: str, number: int) -> None:
        """Adds a member and schedules its periodic ticks."""
        self.names_by_address[self.address(number)] = name
        self.nodes[name] = self.make_node(name, number, epoch=1)
        self.call_at(self.rng.uniform(0, TICK_INTERVAL_S), self.tick, name)

    def make_node(self, name: str, number: int, epoch: int) -> CountingNode:
        """Creates the node of a member's process with the given epoch."""
        seeds = tuple(self.address(each) for each in range(min(SEEDS, self.size)))
        me = LocalMember(name, self.address(number), seeds, self.size)
        rng = random.Random(f"{self.seed} {name} {epoch}")
        node = CountingNode(me, Seal([KEY]), epoch, rng.getrandbits(62) + 1, rng, self.now)
        node.body_counts = self.body_counts
        return node

    def join_all(self, announcing: int | None = None) -> None:
        """Puts the fleet into the state after all members have joined, without simulating the joins.

        Each member starts at a random position in its round of announcements. `announcing` is the number of
        members that have an announcement; None means all.
        """
        for node in list(self.nodes.values())[:announcing]:
            node.publish(self.announcement, self.now)  # no peers yet: later rounds carry it
        for node in self.nodes.values():
            for other in self.nodes.values():
                if other is not node:
                    self.add_peer(node, other)
            node.members.next_probe_at = self.now + self.rng.uniform(0, PROBE_INTERVAL_S)
            self.set_random_round_position(node)

    def set_random_round_position(self, node: FleetNode) -> None:
        """Puts a node at a random position in its cycle of announcement round and pause.

        A round lasts at most 22 steps of a twentieth of the announcement interval each; the pause between
        rounds follows (FleetNode.tick).
        """
        if self.rng.random() < ROUND_SHARE:
            node.announcement_round = node.others()
            self.rng.shuffle(node.announcement_round)
            del node.announcement_round[: int(self.rng.random() * len(node.announcement_round))]
            node.announcements_due = self.now + self.rng.uniform(0, node.announcement_interval() / 20)
        else:
            node.announcements_due = self.now + self.rng.uniform(0, node.announcement_interval())

    def add_peer(self, node: FleetNode, other: FleetNode) -> None:
        """Makes `other` a known, alive member with an established session at `node`."""
        epoch = other.members.me.epoch
        name, address = other.me.name, other.me.address
        node.members.others[name] = Member(name, address, epoch, 0, MemberState.ALIVE, self.now)
        node.peers[name] = PeerSession(epoch, other.session)

    def restart(self, name: str) -> None:
        """Replaces the member's process at once by one with the next epoch that knows no other member."""
        old = self.nodes[name]
        number = next(number for number in range(self.size) if self.address(number) == old.me.address)
        self.nodes[name] = self.make_node(name, number, old.members.me.epoch + 1)
        self.nodes[name].publish(self.announcement, self.now)

    # Events on virtual time.

    def call_at(self, due: float, callback: Callable[..., None], *arguments: object) -> None:
        """Schedules a call at the virtual time `due`, in s."""
        heapq.heappush(self.events, (due, next(self.order), callback, arguments))

    def run(self, seconds: float, is_over: Callable[[], bool] = lambda: False) -> None:
        """Processes events for `seconds` of virtual time, or until `is_over` returns True.

        `is_over` is checked before each event.
        """
        until = self.now + seconds
        while self.events and self.events[0][0] <= until and not is_over():
            self.now, _, callback, arguments = heapq.heappop(self.events)
            callback(*arguments)
        self.now = self.now if is_over() else until

    def tick(self, name: str) -> None:
        """Runs the periodic work of a member and schedules its next tick."""
        self.nodes[name].tick(self.now)
        self.flush(name)
        self.call_at(self.now + TICK_INTERVAL_S, self.tick, name)

    def flush(self, name: str) -> None:
        """Sends the datagrams in a member's outbox over the simulated network."""
        node = self.nodes[name]
        datagrams, node.outbox = node.outbox, []
        for address, data in datagrams:
            self.traffic.sent += 1
            self.traffic.sent_bytes += len(data)
            if self.loss and self.rng.random() < self.loss:
                continue
            if to := self.names_by_address.get(address):
                self.call_at(self.now + NETWORK_DELAY_S, self.deliver, to, data)

    def deliver(self, to: str, data: bytes) -> None:
        """Hands a datagram to a member and sends its replies."""
        self.traffic.received[to] += 1
        self.traffic.received_bytes[to] += len(data)
        self.nodes[to].receive(data, self.now)
        self.flush(to)

    # Observation.

    def count_informed(self, version: int, announcer: str) -> int:
        """Returns how many others have this version of the announcer's announcement, or a newer one."""
        received = [
            node.announcements.get(announcer) for name, node in self.nodes.items() if name != announcer
        ]
        return sum(1 for announcement in received if announcement and announcement.version >= version)

    def reset_traffic(self) -> None:
        """Resets all traffic counters."""
        self.traffic = Traffic()
        self.body_counts.clear()
