"""Hollow control plane: four control nodes and many senders in one process, on virtual time.

Real are Replica, ConfigurationStore, Fanout, Watch, and the Channel with the encoding, the sealing and the
sessions of every datagram. Simulated or omitted are sockets, disks (a sync takes `SYNC_S`), the engine, and
the work of a sender that puts a change in force. The operator's requests reach the leader without a network.

Senders and nodes are in five zones of two regions. A datagram takes 0.5 ms within a zone, 2 ms within a
region and 20 ms between the regions, plus a random delay of up to half of that, and is lost with a given
probability. Byte counts include `HEADER_BYTES` per datagram.
"""

import heapq
import itertools
import random
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial

from message_sender.control.channel import Channel
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
from message_sender.control.node_choice import ControlNodeAddress
from message_sender.control.raft_types import HardState, Ready, Role
from message_sender.control.replica import Replica
from message_sender.control.store import ConfigurationStore, encode_change
from message_sender.control.watch import Watch
from message_sender.fleet.seal import Seal

HEADER_BYTES = 28  # UDP and IPv4
STEP_S = 0.01  # between two rounds of ticks; datagrams are delivered at their exact time
SENDER_TICK_S = 0.1
NODE_TICK_S = 0.05
SYNC_S = 0.002
OPERATOR_RETRY_S = 0.1

IN_ZONE_S, IN_REGION_S, BETWEEN_REGIONS_S = 0.0005, 0.002, 0.020
DELAY_SPREAD = 0.5  # share of the delay that is added at most, at random

REGION_OF_ZONE = {"z1": "north", "z2": "north", "z3": "north", "z4": "south", "z5": "south"}
ZONES = tuple(REGION_OF_ZONE)
ZONE_OF_NODE = {"c1": "z1", "c2": "z2", "c3": "z4", "c4": "z5"}
VOTES = {"c1": 2, "c2": 1, "c3": 1, "c4": 1}

RESOURCES = 400  # in the initial document
RESOURCE_BYTES = 250
RESOURCES_PER_ENTRY = 100
CHANGE_BYTES = 250  # size of the value that a change writes

KEY = bytes(32)


@dataclass(frozen=True, slots=True)
class RunParameters:
    """The parameters of one run; `seconds` are virtual time, `loss` is a probability."""

    senders: int
    seconds: int
    loss: float = 0.0
    seed: int = 1


@dataclass(slots=True)
class Traffic:
    """Datagrams and bytes of one participant in each second, sent and received together."""

    datagrams: list[int]
    bytes: list[int]

    @classmethod
    def of_seconds(cls, seconds: int) -> "Traffic":
        """Returns empty counters for a run of this length."""
        return cls([0] * (seconds + 2), [0] * (seconds + 2))

    def count(self, now: float, size: int) -> None:
        """Counts one datagram of `size` bytes."""
        self.datagrams[int(now)] += 1
        self.bytes[int(now)] += size


@dataclass(slots=True)
class Request:
    """A change requested by an operator, with the times in s until it was confirmed and put in force."""

    change: Change
    version: int
    requested_at: float
    confirmed_after: float | None = None
    in_force_after: dict[str, float] = field(default_factory=dict)


class Stopwatch:
    """The CPU time in s that is spent within its `with` blocks."""

    def __init__(self) -> None:
        self.spent = 0.0

    def __enter__(self) -> None:
        self._started_at = time.process_time()

    def __exit__(self, *_: object) -> None:
        self.spent += time.process_time() - self._started_at


class HollowSender:
    """A sender's watch and channel; a change is put in force by recording the time."""

    def __init__(
        self, plane: "HollowControlPlane", name: str, zone: str, document: Document, epoch: int
    ) -> None:
        self.plane, self.name, self.zone = plane, name, zone
        self.started_at = plane.now
        self.reached_newest_at: float | None = None
        rng = random.Random(f"{plane.parameters.seed}-{name}-{epoch}")
        region = REGION_OF_ZONE[zone]
        self.watch = Watch(name, plane.node_addresses, region, document, self, rng, plane.now)
        self.channel = Channel(name, epoch, rng.getrandbits(62) + 1, plane.seal, plane.addresses)

    def apply(self, document: Document, delta: Delta) -> None:
        """Records that the versions of the delta are in force."""
        self.plane.record_in_force(self, delta)

    def receive(self, datagram: bytes, source: Address, now: float) -> None:
        """Processes a datagram and sends the replies."""
        for name, body in self.channel.receive(datagram, source, now):
            if isinstance(body, VersionNotice | Delta | SnapshotChunk):
                self.watch.receive(name, body, now)
        self.send(now)

    def tick(self, now: float) -> None:
        """Runs the periodic work of the watch."""
        self.watch.tick(now)
        self.send(now)

    def send(self, now: float) -> None:
        """Passes the messages of the watch to the channel."""
        for node, message in self.watch.take_messages():
            self.channel.send(node, message, now)


class HollowNode:
    """A control node: replica, store, fan-out, channel and disk content."""

    def __init__(
        self, plane: "HollowControlPlane", name: str, hard_state: HardState, log: list[LogEntry], epoch: int
    ) -> None:
        self.plane, self.name, self.zone = plane, name, ZONE_OF_NODE[name]
        self.hard_state, self.log = hard_state, log  # the content of its disk
        self.epoch = epoch
        rng = random.Random(f"{plane.parameters.seed}-{name}-{epoch}")
        self.replica = Replica(name, VOTES, hard_state, tuple(log), rng, plane.now)
        self.store = ConfigurationStore()
        self.fanout = Fanout(self.store, rng, plane.now, self.authority_age_ms)
        self.channel = Channel(name, epoch, rng.getrandbits(62) + 1, plane.seal, plane.addresses)

    def authority_age_ms(self) -> int:
        """Returns the time since the node last knew a leader with a majority, in ms."""
        return int(self.replica.authority_age(self.plane.now) * 1000)

    def receive(self, datagram: bytes, source: Address, now: float) -> None:
        """Processes a datagram and sends the replies."""
        for name, body in self.channel.receive(datagram, source, now):
            self.handle(name, body, now)
        self.process_ready(now)

    def handle(self, name: str, body: Body, now: float) -> None:
        """Passes a message to the fan-out or the replica, by its type."""
        if isinstance(body, Poll | SnapshotRequest):
            self.fanout.receive(name, body, now)
        elif isinstance(body, VoteRequest | VoteReply | AppendRequest | AppendReply):
            self.replica.receive(name, body, now)

    def tick(self, now: float) -> None:
        """Runs the periodic work of replica and fan-out."""
        self.replica.tick(now)
        self.fanout.tick(now)
        self.process_ready(now)

    def process_ready(self, now: float) -> None:
        """Processes the output of replica and fan-out; output that must be durable first waits for a sync."""
        while (ready := self.replica.take_ready()) is not None:
            if ready.entries or ready.hard_state or ready.truncate_from is not None:
                self.plane.after(SYNC_S, partial(self.end_sync, ready))
                break
            self.finish(ready, now)
        for sender, message in self.fanout.take_messages():
            self.channel.send(sender, message, now)

    def end_sync(self, ready: Ready) -> None:
        """Stores the output of the replica after a sync and continues, unless the node was killed."""
        if self.plane.nodes.get(self.name) is not self:
            return
        with self.plane.node_time:
            if ready.truncate_from is not None:
                del self.log[ready.truncate_from - 1 :]
            self.log += ready.entries
            self.hard_state = ready.hard_state or self.hard_state
            self.finish(ready, self.plane.now)
            self.process_ready(self.plane.now)
        self.plane.transmit(self)

    def finish(self, ready: Ready, now: float) -> None:
        """Sends the messages of a durable output and applies its committed entries."""
        for peer, message in ready.messages:
            self.channel.send(peer, message, now)
        self.replica.persisted(ready)
        for entry in ready.committed:
            result = self.store.apply(entry)
            if result is not None:
                self.plane.record_committed(result.request_id, self)
        if ready.committed:
            self.fanout.version_changed(now)


Participant = HollowSender | HollowNode


class HollowControlPlane:
    """The senders, nodes and network. `at` and `after` schedule actions; `run` advances the virtual time."""

    def __init__(self, parameters: RunParameters) -> None:
        self.parameters = parameters
        self.now = 0.0
        self.rng = random.Random(parameters.seed)
        self.seal = Seal([KEY], self.rng.randbytes)
        self.addresses = {name: ("10.0.0.1", 100 + index) for index, name in enumerate(ZONE_OF_NODE)}
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
        self._participants: dict[Address, Participant] = {}
        self.nodes: dict[str, HollowNode] = {}
        self.senders: dict[str, HollowSender] = {}
        self._start_all()

    def _start_all(self) -> None:
        log = list(initial_entries())
        store = ConfigurationStore()
        for entry in log:
            store.apply(entry)
        self.first_version = store.document.version
        for name in ZONE_OF_NODE:
            self.start_node(name, HardState(1, ""), list(log), epoch=1)
        for number in range(self.parameters.senders):
            document = Document(store.document.version, store.document.resources)
            self.start_sender(f"sender-{number:03}", ZONES[number % len(ZONES)], document, epoch=1)

    # Starting and stopping participants.

    def start_node(self, name: str, hard_state: HardState, log: list[LogEntry], epoch: int) -> None:
        """Starts a control node with the content of its disk."""
        node = HollowNode(self, name, hard_state, log, epoch)
        self.nodes[name] = node
        self._participants[self.addresses[name]] = node
        self.traffic.setdefault(name, Traffic.of_seconds(self.parameters.seconds))

    def kill_node(self, name: str) -> HollowNode:
        """Stops a control node.

        Returns:
            The node; its `hard_state` and `log` are the content of its disk.
        """
        del self._participants[self.addresses[name]]
        return self.nodes.pop(name)

    def start_sender(self, name: str, zone: str, document: Document, epoch: int) -> None:
        """Starts a sender with its stored document."""
        sender = HollowSender(self, name, zone, document, epoch)
        self.senders[name] = sender
        self._participants[address_of(name)] = sender
        self.traffic.setdefault(name, Traffic.of_seconds(self.parameters.seconds))

    def stop_sender(self, name: str) -> None:
        """Stops a sender."""
        del self.senders[name], self._participants[address_of(name)]

    def leader(self) -> HollowNode | None:
        """Returns the leader of the highest term, or None if there is no leader."""
        leaders = [node for node in self.nodes.values() if node.replica.role is Role.LEADER]
        return max(leaders, key=lambda node: node.replica.term, default=None)

    # Virtual time.

    def at(self, due: float, action: Callable[[], None]) -> None:
        """Schedules an action at the virtual time `due`, in s."""
        heapq.heappush(self._events, (due, next(self._order), action))

    def after(self, delay: float, action: Callable[[], None]) -> None:
        """Schedules an action after `delay` s of virtual time."""
        self.at(self.now + delay, action)

    def run(self, until: float) -> None:
        """Advances the virtual time to `until`, in s."""
        while self.now < until - STEP_S / 2:
            step = round(self.now / STEP_S) + 1
            step_end = step * STEP_S
            while self._events and self._events[0][0] <= step_end:
                self.now, _, action = heapq.heappop(self._events)
                action()
            self.now = step_end
            self._tick(step)

    def _tick(self, step: int) -> None:
        if step % round(NODE_TICK_S / STEP_S) == 0:
            for node in tuple(self.nodes.values()):
                with self.node_time:
                    node.tick(self.now)
                self.transmit(node)
        phases = round(SENDER_TICK_S / STEP_S)
        with self.sender_time:
            due = [
                sender
                for index, sender in enumerate(self.senders.values())
                if index % phases == step % phases
            ]
            for sender in due:
                sender.tick(self.now)
        for sender in due:
            self.transmit(sender)
        if step % round(OPERATOR_RETRY_S / STEP_S) == 0:
            self._propose()

    # Network.

    def transmit(self, source: Participant) -> None:
        """Sends the datagrams in the channel of a participant."""
        address = self.addresses.get(source.name) or address_of(source.name)
        for to, datagram in source.channel.take_datagrams():
            size = len(datagram) + HEADER_BYTES
            self.traffic[source.name].count(self.now, size)
            target = self._participants.get(to)
            if target is None or self.rng.random() < self.parameters.loss:
                continue
            self.after(self._delay(source, target), partial(self._deliver, target, datagram, address))

    def _delay(self, source: Participant, target: Participant) -> float:
        if source.zone == target.zone:
            delay = IN_ZONE_S
        elif REGION_OF_ZONE[source.zone] == REGION_OF_ZONE[target.zone]:
            delay = IN_REGION_S
        else:
            delay = BETWEEN_REGIONS_S
        return delay * (1 + self.rng.uniform(0, DELAY_SPREAD))

    def _deliver(self, target: Participant, datagram: bytes, source: Address) -> None:
        if target is not self.senders.get(target.name) and target is not self.nodes.get(target.name):
            return
        self.traffic[target.name].count(self.now, len(datagram) + HEADER_BYTES)
        with self.sender_time if isinstance(target, HollowSender) else self.node_time:
            target.receive(datagram, source, self.now)
        self.transmit(target)

    # Changes.

    def request_change(self) -> None:
        """Requests a change as an operator, who repeats the request until the change is confirmed."""
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
        """Proposes all unconfirmed changes again if there is a new leader."""
        leader = self.leader()
        if leader and self._unconfirmed and self._proposed != (leader.name, leader.replica.term):
            self._proposed = leader.name, leader.replica.term
            self._propose_to(leader, self._unconfirmed)

    def _propose_to(self, leader: HollowNode, requests: Iterable[Request]) -> None:
        with self.node_time:
            for request in requests:
                leader.replica.propose(encode_change(request.change), self.now)
            leader.process_ready(self.now)
        self.transmit(leader)

    def record_committed(self, request_id: str, node: HollowNode) -> None:
        """Records a change that a node applied; the operator sees it confirmed once the leader applied it."""
        request = self.requests.get(request_id)
        if request and request.confirmed_after is None and node.replica.role is Role.LEADER:
            request.confirmed_after = self.now - request.requested_at
            self._unconfirmed.remove(request)

    def record_in_force(self, sender: HollowSender, delta: Delta) -> None:
        """Records the delays of the versions that were requested since this start of the sender."""
        first = max(delta.from_version, self.first_version) + 1
        for version in range(first, delta.to_version + 1):
            request = self.requests.get(f"request-{version - self.first_version - 1}")
            if request and request.requested_at >= sender.started_at:
                request.in_force_after[sender.name] = self.now - request.requested_at
        newest = self.first_version + len(self.requests)
        if delta.to_version == newest and sender.reached_newest_at is None:
            sender.reached_newest_at = self.now


def address_of(sender: str) -> Address:
    """Returns the address of a sender by its name."""
    return "10.0.1.1", 1_000 + int(sender.rpartition("-")[2])


def initial_entries() -> Iterable[LogEntry]:
    """Yields the log entries that produce the initial document."""
    rng = random.Random(0)
    for start in range(0, RESOURCES, RESOURCES_PER_ENTRY):
        put = tuple(
            Resource(f"endpoints/hub-{number:04}", rng.randbytes(RESOURCE_BYTES // 2).hex().encode())
            for number in range(start, start + RESOURCES_PER_ENTRY)
        )
        base = start // RESOURCES_PER_ENTRY
        yield LogEntry(base + 1, 1, encode_change(Change(f"first-{base}", base, put, ())))
