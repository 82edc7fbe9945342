"""Many ends of the link on virtual time: datagrams in memory, lost, late, doubled and split by a seed."""

import heapq
import itertools
import random
from collections.abc import Callable, Iterable

from message_sender.fleet.node import FleetNode, LocalMember
from message_sender.fleet.seal import Seal
from message_sender.fleet.wire import Address

TICK = 0.05  # s


class UnsealedDatagrams(Seal):
    """No cipher: many more draws in the same time. What it opens is what was sealed."""

    def __init__(self) -> None: ...

    def seal(self, data: bytes) -> bytes:
        return data

    def open(self, datagram: bytes) -> bytes:
        return datagram


class MemberNetwork:
    """`ends` by name; whoever is not in it is not there. `step` is called after each end's tick."""

    def __init__(self, size: int, seed: int, loss: float = 0.0, delay: float = 0.002) -> None:
        self.rng = random.Random(seed)
        self.size, self.loss, self.delay, self.double = size, loss, delay, 0.0
        self.now = 0.0
        self.count = itertools.count()
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.nodes: dict[str, FleetNode] = {}
        self.epochs: dict[str, int] = {}
        self.names: dict[Address, str] = {}
        self.sides: tuple[frozenset[str], ...] = ()
        self.frozen: dict[str, list[bytes]] = {}  # who stands still, and what waits for it
        self.sent = 0
        self.step: Callable[[str], None] = lambda name: None

    def address(self, number: int) -> Address:
        return f"10.0.{number // 250}.{number % 250}", 7000

    def later(self, delay: float, act: Callable[[], None]) -> None:
        heapq.heappush(self.heap, (self.now + delay, next(self.count), act))

    def start(self, number: int, epoch: int | None = None) -> FleetNode:
        """A start of this member; `epoch`: what its disk tells."""
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
        self.nodes.pop(name, None)
        self.frozen.pop(name, None)

    def tick(self, name: str, node: FleetNode) -> None:
        if self.nodes.get(name) is not node:
            return
        if name not in self.frozen:
            node.tick(self.now)
            self.step(name)
            self.flush(name)
        self.later(TICK, lambda: self.tick(name, node))

    def flush(self, name: str) -> None:
        node = self.nodes[name]
        out, node.outbox = node.outbox, []
        for address, data in out:
            self.carry(name, address, data)

    def carry(self, by: str, address: Address, data: bytes) -> None:
        self.sent += 1
        to = self.names.get(address, "")
        apart = self.sides and not any({by, to} <= side for side in self.sides)
        if apart or self.rng.random() < self.loss:
            return
        for _ in range(1 + (self.rng.random() < self.double)):
            self.later(self.rng.uniform(0.0002, self.delay), lambda: self.arrive(to, data))

    def arrive(self, to: str, data: bytes) -> None:
        if to in self.frozen:
            self.frozen[to].append(data)
        elif node := self.nodes.get(to):
            node.receive(data, self.now)
            self.flush(to)

    def freeze(self, name: str) -> None:
        self.frozen[name] = []

    def thaw(self, name: str) -> None:
        for data in self.frozen.pop(name, []):
            self.arrive(name, data)

    def split(self, *sides: Iterable[str]) -> None:
        self.sides = tuple(frozenset(side) for side in sides)

    def run(self, until: float) -> None:
        while self.heap and self.heap[0][0] <= until:
            self.now, _, act = heapq.heappop(self.heap)
            act()
        self.now = until
