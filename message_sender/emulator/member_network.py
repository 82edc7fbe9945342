"""Nodes of a fleet on virtual time, with an in-memory network that loses, delays and duplicates datagrams.

All random draws come from a seed, and the network can be partitioned.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Iterable

from message_sender.fleet.node import FleetNode, LocalMember
from message_sender.fleet.seal import Seal
from message_sender.fleet.wire import Address

TICK = 0.05  # s between two ticks of a node


class UnsealedDatagrams(Seal):
    """A seal without a cipher, so that many more runs fit into the same time.

    It does not authenticate anything: `open` returns the datagram as it is.
    """

    def __init__(self) -> None:
        """Creates the seal without keys or ciphers; the initializer of `Seal` is not called."""

    def seal(self, data: bytes) -> bytes:
        """Returns the data unchanged."""
        return data

    def open(self, datagram: bytes) -> bytes:
        """Returns the datagram unchanged."""
        return datagram


class MemberNetwork:
    """Running nodes and the network between them.

    Attributes:
        rng: Source of all random draws.
        size: Configured number of members.
        loss: Share of datagrams that are lost.
        delay: Highest delay of a datagram in s.
        duplication: Share of datagrams that are duplicated.
        now: Virtual time in s.
        nodes: The running nodes, by name.
        epochs: The epoch that each member used last, by name.
        names: Names of members, by address.
        sides: The sides of a partition; empty: there is none.
        frozen: Stalled members, each with the datagrams that wait for it.
        sent: Number of datagrams sent so far.
        step: Called with a node's name after each of its ticks.
    """

    def __init__(self, size: int, seed: int, loss: float = 0.0, delay: float = 0.002) -> None:
        """Prepares a network without nodes; see the class for the arguments."""
        self.rng = random.Random(seed)
        self.size, self.loss, self.delay, self.duplication = size, loss, delay, 0.0
        self.now = 0.0
        self.count = itertools.count()
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.nodes: dict[str, FleetNode] = {}
        self.epochs: dict[str, int] = {}
        self.names: dict[Address, str] = {}
        self.sides: tuple[frozenset[str], ...] = ()
        self.frozen: dict[str, list[bytes]] = {}
        self.sent = 0
        self.step: Callable[[str], None] = lambda name: None

    def address(self, number: int) -> Address:
        """Returns the address of a member."""
        return f"10.0.{number // 250}.{number % 250}", 7000

    def later(self, delay: float, callback: Callable[[], None]) -> None:
        """Calls `callback` after a delay in s."""
        heapq.heappush(self.heap, (self.now + delay, next(self.count), callback))

    def start(self, number: int, epoch: int | None = None) -> FleetNode:
        """Starts a member.

        Args:
            number: Number of the member.
            epoch: The epoch on its disk; None: one above its last.

        Returns:
            The member's node.
        """
        name, address = f"n{number}", self.address(number)
        self.names[address] = name
        epoch = self.epochs.get(name, 0) + 1 if epoch is None else epoch
        self.epochs[name] = epoch
        me = LocalMember(name, address, (self.address(0), self.address(1)), self.size)
        session = self.rng.randrange(1, 2**62)
        node = FleetNode(me, UnsealedDatagrams(), epoch, session, random.Random(self.rng.random()), self.now)
        self.nodes[name] = node
        self.later(self.rng.uniform(0, TICK), lambda: self.tick(name, node))
        return node

    def end(self, name: str) -> None:
        """Ends a member without notice to the others, as a crash does."""
        self.nodes.pop(name, None)
        self.frozen.pop(name, None)

    def tick(self, name: str, node: FleetNode) -> None:
        """Runs a node's periodic task and schedules the next one, as long as this node is the running one."""
        if self.nodes.get(name) is not node:
            return
        if name not in self.frozen:
            node.tick(self.now)
            self.step(name)
            self.flush(name)
        self.later(TICK, lambda: self.tick(name, node))

    def flush(self, name: str) -> None:
        """Sends the datagrams in a node's outbox."""
        node = self.nodes[name]
        outbox, node.outbox = node.outbox, []
        for address, data in outbox:
            self.transmit(name, address, data)

    def transmit(self, sender: str, address: Address, data: bytes) -> None:
        """Carries a datagram, which may be lost, duplicated or cut off by a partition."""
        self.sent += 1
        receiver = self.names.get(address, "")
        is_cut_off = self.sides and not any({sender, receiver} <= side for side in self.sides)
        if is_cut_off or self.rng.random() < self.loss:
            return
        for _ in range(1 + (self.rng.random() < self.duplication)):
            self.later(self.rng.uniform(0.0002, self.delay), lambda: self.deliver(receiver, data))

    def deliver(self, receiver: str, data: bytes) -> None:
        """Hands a datagram to its receiver; a stalled one receives it when it resumes."""
        if receiver in self.frozen:
            self.frozen[receiver].append(data)
        elif node := self.nodes.get(receiver):
            node.receive(data, self.now)
            self.flush(receiver)

    def freeze(self, name: str) -> None:
        """Stalls a member: it neither ticks nor receives until `thaw`."""
        self.frozen[name] = []

    def thaw(self, name: str) -> None:
        """Resumes a member and delivers the datagrams that waited for it."""
        for data in self.frozen.pop(name, []):
            self.deliver(name, data)

    def split(self, *sides: Iterable[str]) -> None:
        """Partitions the network into these sides; without arguments, ends the partition."""
        self.sides = tuple(frozenset(side) for side in sides)

    def run(self, until: float) -> None:
        """Runs all events up to a time in s."""
        while self.heap and self.heap[0][0] <= until:
            self.now, _, callback = heapq.heappop(self.heap)
            callback()
        self.now = until
