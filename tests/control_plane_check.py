"""Checks watch, fan-out and store over a network that loses, duplicates, reorders, delays and damages.

The check has two senders, two control nodes that apply the same log at different speeds, and a simple model
of the content of each version. After each step these rules are checked: versions never fall, the active
content of a version equals the model, deltas follow each other without a gap, no refused value is active, no
node believes that a sender has a newer version than it has, and repeated requests get the same answer. Once
the faults end, all senders have activated or refused the newest version.

Hypothesis runs rules and invariants in the alphabetical order of their names, so a new name that changes this
order also changes the explored examples.
"""

import random
import sys
from itertools import pairwise

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)
from watch_helpers import BAD, RecordingApplier, copy_of

from message_sender.control.fanout import Fanout
from message_sender.control.messages import (
    Change,
    ChangeResult,
    Delta,
    LogEntry,
    Outcome,
    Poll,
    Resource,
    SnapshotChunk,
    SnapshotRequest,
    WatchMessage,
)
from message_sender.control.node_choice import ControlNodeAddress
from message_sender.control.store import ConfigurationStore, encode_change
from message_sender.control.watch import Watch

NODES = tuple(ControlNodeAddress(name, ("127.0.0.1", 1), "north") for name in ("c1", "c2"))
SENDERS = ("s1", "s2")
IN_FLIGHT = 60
VALUES = tuple(letter * 600 for letter in (b"a", b"b", b"c"))  # a snapshot has a few chunks


class Model:
    """The meaning of the log in the simplest form: keeps every version and every answer without limits."""

    def __init__(self) -> None:
        self.versions: list[dict[str, bytes]] = [{}]
        self.answers: dict[str, tuple[Outcome, int]] = {}

    def apply(self, change: Change) -> tuple[Outcome, int]:
        if change.request_id not in self.answers:
            self.answers[change.request_id] = self.make(change)
        return self.answers[change.request_id]

    def make(self, change: Change) -> tuple[Outcome, int]:
        newest = self.versions[-1]
        if change.base_version != len(self.versions) - 1:
            return Outcome.CONFLICT, len(self.versions) - 1
        if not set(change.delete) <= set(newest):
            return Outcome.INVALID, len(self.versions) - 1
        resources = {name: value for name, value in newest.items() if name not in change.delete}
        resources |= {resource.name: resource.value for resource in change.put}
        self.versions.append(resources)
        return Outcome.APPLIED, len(self.versions) - 1


def damaged(message: Delta | SnapshotChunk) -> Delta | SnapshotChunk:
    if isinstance(message, SnapshotChunk):
        data = message.data[:-20] + bytes(20)
        return SnapshotChunk(message.version, message.offset, message.total, data)
    put = (Resource("damaged", b"damaged"), *message.put)
    return Delta(message.from_version, message.to_version, put, message.delete, message.digest)


class ControlNode:
    """A store and a fan-out; `applied` is the number of applied log entries."""

    def __init__(self, now: float) -> None:
        self.store = ConfigurationStore(history_limit=2)
        self.fanout = Fanout(self.store, random.Random(1), now, lambda: 0)
        self.applied = 0


class Sender:
    """A watch, and the applier that survives its restarts."""

    def __init__(self, name: str, now: float, applier: RecordingApplier | None = None) -> None:
        self.name = name
        self.applier = applier or RecordingApplier()
        self.applier.attempts.clear()
        document = copy_of(self.applier.stored)
        self.watch = Watch(name, NODES, "north", document, self.applier, random.Random(name), now)
        self.seen_version = document.version


class ControlPlane(RuleBasedStateMachine):
    """The rules and invariants of the check."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.log: list[Change] = []
        self.model = Model()
        self.expected: list[tuple[Outcome, int]] = []
        self.nodes = {node.name: ControlNode(self.now) for node in NODES}
        self.senders = {name: Sender(name, self.now) for name in SENDERS}
        self.network: list[tuple[str, str, WatchMessage]] = []  # sending name, receiving name, message

    # Changes.

    def append(self, change: Change) -> None:
        self.log.append(change)
        self.expected.append(self.model.apply(change))

    @rule(
        name=st.sampled_from("xyz"),
        value=st.sampled_from((*VALUES, None)),
        behind=st.sampled_from((0, 0, 0, 1)),
    )
    def change(self, name: str, value: bytes | None, behind: int) -> None:
        put = () if value is None else (Resource(name, value),)
        delete = (name,) if value is None else ()
        base = max(0, len(self.model.versions) - 1 - behind)
        self.append(Change(f"request-{len(self.log)}", base, put, delete))

    @rule(name=st.sampled_from("xyz"))
    def two_operators_at_once(self, name: str) -> None:
        """Two changes with the same base; the base of the second one is outdated when it is applied."""
        base = len(self.model.versions) - 1
        for value in VALUES[:2]:
            self.append(Change(f"request-{len(self.log)}", base, (Resource(name, value),), ()))

    @rule(name=st.sampled_from("xyz"))
    def change_that_senders_refuse(self, name: str) -> None:
        """The change has a valid and an invalid value; a later change repairs it."""
        base = len(self.model.versions) - 1
        put = (Resource("a", VALUES[base % 3]), Resource(name, BAD))
        self.append(Change(f"request-{len(self.log)}", base, put, ()))

    @precondition(lambda self: any(BAD in version.values() for version in self.model.versions[-1:]))
    @rule()
    def make_values_valid(self) -> None:
        names = [name for name, value in self.model.versions[-1].items() if value == BAD]
        put = tuple(Resource(name, VALUES[0]) for name in names)
        self.append(Change(f"request-{len(self.log)}", len(self.model.versions) - 1, put, ()))

    @precondition(lambda self: self.log)
    @rule(back=st.integers(0, 3))
    def apply_again(self, back: int) -> None:
        self.append(self.log[max(0, len(self.log) - 1 - back)])

    @rule(name=st.sampled_from([node.name for node in NODES]), count=st.integers(1, 4))
    def node_applies(self, name: str, count: int) -> None:
        node = self.nodes[name]
        for index, change in list(enumerate(self.log))[node.applied : node.applied + count]:
            node.applied += 1
            result = node.store.apply(LogEntry(index + 1, 1, encode_change(change)))
            assert isinstance(result, ChangeResult)
            assert (result.outcome, result.version) == self.expected[index], "another answer than before"
            node.fanout.version_changed(self.now)
        self.collect()

    # Network and time.

    def collect(self) -> None:
        for sender in self.senders.values():
            self.network += [(sender.name, to, message) for to, message in sender.watch.take_messages()]
        for name, node in self.nodes.items():
            self.network += [(name, to, message) for to, message in node.fanout.take_messages()]
        del self.network[:-IN_FLIGHT]

    def deliver(self, source: str, to: str, message: WatchMessage) -> None:
        if to in self.senders:
            self.senders[to].watch.receive(source, message, self.now)
        elif isinstance(message, Poll | SnapshotRequest):
            self.nodes[to].fanout.receive(source, message, self.now)
        self.collect()

    @rule(rounds=st.integers(1, 4))
    def deliver_in_order(self, rounds: int) -> None:
        for _ in range(rounds):
            batch, self.network = self.network, []
            for sent in batch:
                self.deliver(*sent)

    @precondition(lambda self: self.network)
    @rule(data=st.data(), is_kept=st.booleans())
    def deliver_one(self, data: st.DataObject, is_kept: bool) -> None:
        index = data.draw(st.integers(0, len(self.network) - 1))
        sent = self.network[index] if is_kept else self.network.pop(index)
        self.deliver(*sent)

    @precondition(lambda self: self.network)
    @rule(data=st.data())
    def lose_one(self, data: st.DataObject) -> None:
        self.network.pop(data.draw(st.integers(0, len(self.network) - 1)))

    @rule()
    def lose_all(self) -> None:
        self.network.clear()

    @precondition(lambda self: any(isinstance(each[2], Delta | SnapshotChunk) for each in self.network))
    @rule()
    def damage_one(self) -> None:
        """A node sends content that differs from the leader's."""
        for sent in self.network:
            source, to, message = sent
            if isinstance(message, Delta | SnapshotChunk):
                self.network.remove(sent)
                self.deliver(source, to, damaged(message))
                return

    @rule()
    def advance_one_second_with_damage(self) -> None:
        """A second without faults, except that every delta and chunk is damaged."""
        for _ in range(6):
            self.now += 0.175
            self.tick()
            batch, self.network = self.network, []
            for source, to, message in batch:
                if isinstance(message, Delta | SnapshotChunk):
                    message = damaged(message)
                self.deliver(source, to, message)

    @rule(name=st.sampled_from(SENDERS))
    def sender_is_cut_off(self, name: str) -> None:
        """Cuts a sender off for long enough that it tries the next node."""
        for _ in range(4):
            self.now += 0.31
            self.tick()
            self.network = [each for each in self.network if name not in each[:2]]

    @rule()
    def advance_one_second(self) -> None:
        for _ in range(3):
            self.now += 0.35
            self.tick()
            self.deliver_in_order(2)

    @rule(seconds=st.sampled_from((0.1, 0.35, 0.35, 1.3, 1.3, 7.0, 70.0)))
    def time_passes(self, seconds: float) -> None:
        self.now += seconds
        self.tick()

    def tick(self) -> None:
        for sender in self.senders.values():
            sender.watch.tick(self.now)
        for node in self.nodes.values():
            node.fanout.tick(self.now)
        self.collect()
        self.versions_never_fall_and_match_the_model()
        self.watchers_acknowledge_only_active_versions()

    @rule(name=st.sampled_from(SENDERS))
    def sender_restarts(self, name: str) -> None:
        self.senders[name] = Sender(name, self.now, self.senders[name].applier)

    # Invariants.

    @invariant()
    def versions_never_fall_and_match_the_model(self) -> None:
        for sender in self.senders.values():
            document, applier = sender.watch.document, sender.applier
            assert document.version >= sender.seen_version, "the version fell"
            sender.seen_version = document.version
            assert document.resources == self.model.versions[document.version], "another content"
            assert applier.active_resources == document.resources, "half a change is in force"
            assert applier.stored.version == document.version
            assert BAD not in applier.active_resources.values(), "a refused value is in force"

    @invariant()
    def deltas_are_consecutive(self) -> None:
        for sender in self.senders.values():
            version = 0
            for from_version, to_version in sender.applier.steps:
                assert from_version == version < to_version, "applied twice, or to another version"
                version = to_version

    @invariant()
    def a_refused_version_is_not_retried(self) -> None:
        for sender in self.senders.values():
            attempts = sender.applier.attempts
            assert all(a != b for a, b in pairwise(attempts)), "tried again"

    @invariant()
    def watchers_acknowledge_only_active_versions(self) -> None:
        for node in self.nodes.values():
            for watcher in node.fanout.watchers(self.now):
                version = self.senders[watcher.name].watch.document.version
                assert watcher.version <= version, "acknowledged, not in force"

    @invariant()
    def stores_match_the_model(self) -> None:
        for node in self.nodes.values():
            assert node.store.document.resources == self.model.versions[node.store.document.version]

    def teardown(self) -> None:
        """Ends the faults, and checks that all senders activate or refuse the newest version."""
        if sys.exc_info()[0] is not None:
            return  # an invariant was already violated
        self.network.clear()
        for name in self.nodes:
            self.node_applies(name, len(self.log))
        for _ in range(60):
            self.now += 0.25
            self.tick()
            self.deliver_in_order(4)
        self.versions_never_fall_and_match_the_model()
        newest = len(self.model.versions) - 1
        for sender in self.senders.values():
            status = sender.watch.status(self.now)
            if BAD in self.model.versions[newest].values():
                assert status.refused_version == newest, "it never gets the newest version"
                assert "cannot be put in force" in status.reason
            else:
                assert status.version == newest, "it never gets the newest version"
