"""Hollow control plane: four control nodes and many senders in one process, on virtual time.

What is real: Replica, ConfigurationStore, Fanout, Watch, and the Channel with the encoding, the sealing and
the sessions of every datagram. What is not: sockets, disks (a sync takes `SYNC_S`), the engine, and what a
sender does to put a change in force. The operator's requests reach the leader without a network between.

Senders and nodes are in five zones of two regions. A datagram takes 0.5 ms within a zone, 2 ms within a
region and 20 ms between the regions, each up to half as long again, and is lost with a given probability.
Bytes are those of the datagrams and `HEADER_BYTES` each.
"""

import heapq
import itertools
import random
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial

from message_sender.control.channel import Channel
from message_sender.control.choice import ControlNodeAddress
from message_sender.control.document import Document
from message_sender.control.fanout import Fanout
from message_sender.control.messages import (
    Address,
    AppendReply,
    AppendRequest,
    Body,
    Change,
    Delta,
    LogEntry,
    Poll,
    Resource,
    SnapshotChunk,
    SnapshotRequest,
    VersionNotice,
    VoteReply,
    VoteRequest,
)
from message_sender.control.raft import HardState, Ready, Role
from message_sender.control.replica import Replica
from message_sender.control.store import ConfigurationStore, encode_change
from message_sender.control.watch import Watch
from message_sender.fleet.seal import Seal

HEADER_BYTES = 28  # UDP and IPv4
STEP_S = 0.01  # between two rounds of ticks; a datagram is delivered at its own time
SENDER_TICK_S = 0.1
NODE_TICK_S = 0.05
SYNC_S = 0.002
OPERATOR_RETRY_S = 0.1

IN_ZONE_S, IN_REGION_S, BETWEEN_REGIONS_S = 0.0005, 0.002, 0.020
DELAY_SPREAD = 0.5  # of the delay, drawn

REGION_OF_ZONE = {"z1": "north", "z2": "north", "z3": "north", "z4": "south", "z5": "south"}
ZONES = tuple(REGION_OF_ZONE)
ZONE_OF_NODE = {"c1": "z1", "c2": "z2", "c3": "z4", "c4": "z5"}
VOTES = {"c1": 2, "c2": 1, "c3": 1, "c4": 1}

RESOURCES = 400  # of the document at the beginning
RESOURCE_BYTES = 250
RESOURCES_AN_ENTRY = 100
CHANGE_BYTES = 250  # of the value that a change puts

KEY = bytes(32)


@dataclass(frozen=True, slots=True)
class Terms:
    """One run: `seconds` of virtual time."""

    senders: int
    seconds: int
    loss: float = 0.0
    seed: int = 1


@dataclass(slots=True)
class Traffic:
    """Datagrams and bytes of one end in each second, sent and received together."""

    datagrams: list[int]
    bytes: list[int]

    @classmethod
    def of_seconds(cls, seconds: int) -> "Traffic":
        return cls([0] * (seconds + 2), [0] * (seconds + 2))

    def count(self, now: float, size: int) -> None:
        self.datagrams[int(now)] += 1
        self.bytes[int(now)] += size


@dataclass(slots=True)
class Request:
    """A change that an operator asked for, and what it led to."""

    change: Change
    version: int
    asked_at: float
    confirmed_after: float | None = None
    in_force_after: dict[str, float] = field(default_factory=dict)


class Stopwatch:
    """Processor time that is spent within its blocks."""

    def __init__(self) -> None:
        self.spent = 0.0

    def __enter__(self) -> None:
        self._began = time.process_time()

    def __exit__(self, *_: object) -> None:
        self.spent += time.process_time() - self._began


class HollowSender:
    """A sender's watch and channel; puts in force by noting the time."""

    def __init__(
        self, plane: "HollowControlPlane", name: str, zone: str, document: Document, epoch: int
    ) -> None:
        self.plane, self.name, self.zone = plane, name, zone
        self.started_at = plane.now
        self.reached_newest_at: float | None = None
        rng = random.Random(f"{plane.terms.seed}-{name}-{epoch}")
        region = REGION_OF_ZONE[zone]
        self.watch = Watch(name, plane.node_addresses, region, document, self, rng, plane.now)
        self.channel = Channel(name, epoch, rng.getrandbits(62) + 1, plane.seal, plane.addresses)

    def apply(self, document: Document, delta: Delta) -> None:
        self.plane.note_in_force(self, delta)

    def receive(self, datagram: bytes, source: Address, now: float) -> None:
        for name, body in self.channel.receive(datagram, source, now):
            if isinstance(body, VersionNotice | Delta | SnapshotChunk):
                self.watch.receive(name, body, now)
        self.send(now)

    def tick(self, now: float) -> None:
        self.watch.tick(now)
        self.send(now)

    def send(self, now: float) -> None:
        for node, message in self.watch.take_messages():
            self.channel.send(node, message, now)


class HollowNode:
    """A control node: replica, store, fan-out and channel."""

    def __init__(
        self, plane: "HollowControlPlane", name: str, hard_state: HardState, log: list[LogEntry], epoch: int
    ) -> None:
        self.plane, self.name, self.zone = plane, name, ZONE_OF_NODE[name]
        self.hard_state, self.log = hard_state, log  # on its disk
        self.epoch = epoch
        rng = random.Random(f"{plane.terms.seed}-{name}-{epoch}")
        self.replica = Replica(name, VOTES, hard_state, tuple(log), rng, plane.now)
        self.store = ConfigurationStore()
        self.fanout = Fanout(self.store, rng, plane.now, self.authority_age_ms)
        self.channel = Channel(name, epoch, rng.getrandbits(62) + 1, plane.seal, plane.addresses)

    def authority_age_ms(self) -> int:
        return int(self.replica.authority_age(self.plane.now) * 1000)

    def receive(self, datagram: bytes, source: Address, now: float) -> None:
        for name, body in self.channel.receive(datagram, source, now):
            self.take(name, body, now)
        self.work(now)

    def take(self, name: str, body: Body, now: float) -> None:
        if isinstance(body, Poll | SnapshotRequest):
            self.fanout.receive(name, body, now)
        elif isinstance(body, VoteRequest | VoteReply | AppendRequest | AppendReply):
            self.replica.receive(name, body, now)

    def tick(self, now: float) -> None:
        self.replica.tick(now)
        self.fanout.tick(now)
        self.work(now)

    def work(self, now: float) -> None:
        """Does what is ready; what must be durable first is gone on with after a sync."""
        while (ready := self.replica.take_ready()) is not None:
            if ready.entries or ready.hard_state or ready.truncate_from is not None:
                self.plane.after(SYNC_S, partial(self.end_sync, ready))
                break
            self.finish(ready, now)
        for sender, message in self.fanout.take_messages():
            self.channel.send(sender, message, now)

    def end_sync(self, ready: Ready) -> None:
        if self.plane.nodes.get(self.name) is not self:
            return
        with self.plane.node_time:
            if ready.truncate_from is not None:
                del self.log[ready.truncate_from - 1 :]
            self.log += ready.entries
            self.hard_state = ready.hard_state or self.hard_state
            self.finish(ready, self.plane.now)
            self.work(self.plane.now)
        self.plane.transmit(self)

    def finish(self, ready: Ready, now: float) -> None:
        for peer, message in ready.messages:
            self.channel.send(peer, message, now)
        self.replica.persisted(ready)
        for entry in ready.committed:
            result = self.store.apply(entry)
            if result is not None:
                self.plane.note_committed(result.request_id, self)
        if ready.committed:
            self.fanout.version_changed(now)


End = HollowSender | HollowNode


class HollowControlPlane:
    """All of it. `at` and `after` plan what happens; `run` lets time pass."""

    def __init__(self, terms: Terms) -> None:
        self.terms = terms
        self.now = 0.0
        self.rng = random.Random(terms.seed)
        self.seal = Seal([KEY], self.rng.randbytes)
        self.addresses = {name: ("10.0.0.1", 100 + at) for at, name in enumerate(ZONE_OF_NODE)}
        self.node_addresses = tuple(
            ControlNodeAddress(name, self.addresses[name], REGION_OF_ZONE[zone])
            for name, zone in ZONE_OF_NODE.items()
        )
        self.sender_time, self.node_time = Stopwatch(), Stopwatch()
        self.requests: dict[str, Request] = {}
        self.traffic: dict[str, Traffic] = {}
        self._unconfirmed: list[Request] = []
        self._proposed: tuple[str, int] = ("", 0)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._ends: dict[Address, End] = {}
        self.nodes: dict[str, HollowNode] = {}
        self.senders: dict[str, HollowSender] = {}
        self._begin()

    def _begin(self) -> None:
        log = list(first_entries())
        store = ConfigurationStore()
        for entry in log:
            store.apply(entry)
        self.first_version = store.document.version
        for name in ZONE_OF_NODE:
            self.start_node(name, HardState(1, ""), list(log), epoch=1)
        for number in range(self.terms.senders):
            document = Document(store.document.version, store.document.resources)
            self.start_sender(f"sender-{number:03}", ZONES[number % len(ZONES)], document, epoch=1)

    # Starts and ends.

    def start_node(self, name: str, hard_state: HardState, log: list[LogEntry], epoch: int) -> None:
        node = HollowNode(self, name, hard_state, log, epoch)
        self.nodes[name] = node
        self._ends[self.addresses[name]] = node
        self.traffic.setdefault(name, Traffic.of_seconds(self.terms.seconds))

    def kill_node(self, name: str) -> HollowNode:
        """Its disk stays: the node that is returned has it."""
        del self._ends[self.addresses[name]]
        return self.nodes.pop(name)

    def start_sender(self, name: str, zone: str, document: Document, epoch: int) -> None:
        sender = HollowSender(self, name, zone, document, epoch)
        self.senders[name] = sender
        self._ends[address_of(name)] = sender
        self.traffic.setdefault(name, Traffic.of_seconds(self.terms.seconds))

    def stop_sender(self, name: str) -> None:
        del self.senders[name], self._ends[address_of(name)]

    def leader(self) -> HollowNode | None:
        """The leader of the highest term."""
        leaders = [node for node in self.nodes.values() if node.replica.role is Role.LEADER]
        return max(leaders, key=lambda node: node.replica.term, default=None)

    # Time.

    def at(self, when: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), act))

    def after(self, delay: float, act: Callable[[], None]) -> None:
        self.at(self.now + delay, act)

    def run(self, until: float) -> None:
        """Lets time pass up to `until`."""
        while self.now < until - STEP_S / 2:
            step = round(self.now / STEP_S) + 1
            end = step * STEP_S
            while self._events and self._events[0][0] <= end:
                self.now, _, act = heapq.heappop(self._events)
                act()
            self.now = end
            self._tick(step)

    def _tick(self, step: int) -> None:
        if step % round(NODE_TICK_S / STEP_S) == 0:
            for node in tuple(self.nodes.values()):
                with self.node_time:
                    node.tick(self.now)
                self.transmit(node)
        phases = round(SENDER_TICK_S / STEP_S)
        with self.sender_time:
            due = [sender for at, sender in enumerate(self.senders.values()) if at % phases == step % phases]
            for sender in due:
                sender.tick(self.now)
        for sender in due:
            self.transmit(sender)
        if step % round(OPERATOR_RETRY_S / STEP_S) == 0:
            self._propose()

    # Network.

    def transmit(self, source: End) -> None:
        """Sends what a channel has."""
        address = self.addresses.get(source.name) or address_of(source.name)
        for to, datagram in source.channel.take_datagrams():
            size = len(datagram) + HEADER_BYTES
            self.traffic[source.name].count(self.now, size)
            target = self._ends.get(to)
            if target is None or self.rng.random() < self.terms.loss:
                continue
            self.after(self._delay(source, target), partial(self._deliver, target, datagram, address))

    def _delay(self, source: End, target: End) -> float:
        if source.zone == target.zone:
            delay = IN_ZONE_S
        elif REGION_OF_ZONE[source.zone] == REGION_OF_ZONE[target.zone]:
            delay = IN_REGION_S
        else:
            delay = BETWEEN_REGIONS_S
        return delay * (1 + self.rng.uniform(0, DELAY_SPREAD))

    def _deliver(self, target: End, datagram: bytes, source: Address) -> None:
        if target is not self.senders.get(target.name) and target is not self.nodes.get(target.name):
            return
        self.traffic[target.name].count(self.now, len(datagram) + HEADER_BYTES)
        with self.sender_time if isinstance(target, HollowSender) else self.node_time:
            target.receive(datagram, source, self.now)
        self.transmit(target)

    # Changes.

    def request_change(self) -> None:
        """An operator asks for a change, and asks again until it is confirmed."""
        number = len(self.requests)
        value = self.rng.randbytes(CHANGE_BYTES // 2).hex().encode()
        put = (Resource(f"endpoints/hub-{self.rng.randrange(RESOURCES):04}", value),)
        base = self.first_version + number
        change = Change(f"request-{number}", base, put, (), "operator")
        request = self.requests[change.request_id] = Request(change, base + 1, self.now)
        self._unconfirmed.append(request)
        leader = self.leader()
        if leader and self._proposed == (leader.name, leader.replica.term):
            self._propose_to(leader, [request])

    def _propose(self) -> None:
        """To a new leader all is proposed again that isn't confirmed."""
        leader = self.leader()
        if leader and self._unconfirmed and self._proposed != (leader.name, leader.replica.term):
            self._proposed = leader.name, leader.replica.term
            self._propose_to(leader, self._unconfirmed)

    def _propose_to(self, leader: HollowNode, requests: Iterable[Request]) -> None:
        with self.node_time:
            for request in requests:
                leader.replica.propose(encode_change(request.change), self.now)
            leader.work(self.now)
        self.transmit(leader)

    def note_committed(self, request_id: str, node: HollowNode) -> None:
        """A node applied a change; its leader's operator hears that it is confirmed."""
        request = self.requests.get(request_id)
        if request and request.confirmed_after is None and node.replica.role is Role.LEADER:
            request.confirmed_after = self.now - request.asked_at
            self._unconfirmed.remove(request)

    def note_in_force(self, sender: HollowSender, delta: Delta) -> None:
        """Times of the versions that were asked for since this start of the sender."""
        first = max(delta.from_version, self.first_version) + 1
        for version in range(first, delta.to_version + 1):
            request = self.requests.get(f"request-{version - self.first_version - 1}")
            if request and request.asked_at >= sender.started_at:
                request.in_force_after[sender.name] = self.now - request.asked_at
        newest = self.first_version + len(self.requests)
        if delta.to_version == newest and sender.reached_newest_at is None:
            sender.reached_newest_at = self.now


def address_of(sender: str) -> Address:
    """A sender's address."""
    return "10.0.1.1", 1_000 + int(sender.rpartition("-")[2])


def first_entries() -> Iterable[LogEntry]:
    """The log that makes the document at the beginning."""
    rng = random.Random(0)
    for at in range(0, RESOURCES, RESOURCES_AN_ENTRY):
        put = tuple(
            Resource(f"endpoints/hub-{number:04}", rng.randbytes(RESOURCE_BYTES // 2).hex().encode())
            for number in range(at, at + RESOURCES_AN_ENTRY)
        )
        base = at // RESOURCES_AN_ENTRY
        yield LogEntry(base + 1, 1, encode_change(Change(f"first-{base}", base, put, ())))
