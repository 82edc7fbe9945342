"""Dimension `changes`: what the control plane costs, and how soon a change is in force, by senders.

Hollow senders and control nodes on virtual time (control_plane.py), with no loss and with 1% of the datagrams
lost:

- a day: changes at the rate of 980 a day for ten minutes, and 20 more at one moment;
- a node lost: the leader is killed and comes back a minute later, with a change each 5 s;
- a zone's return: its senders start at once with nothing stored, and its node with its disk;
- all senders start at once with nothing stored.

What is made of these runs for the page is in changes_report.py.
"""

import gc
import multiprocessing
import random
import tracemalloc
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial

import numpy as np

from benchmarks.scale import plan
from benchmarks.scale.control_plane import (
    ZONE_OF_NODE,
    ZONES,
    HollowControlPlane,
    HollowSender,
    Request,
    Terms,
)
from message_sender.control.document import Document, decode_snapshot, encode_snapshot
from message_sender.control.fanout import Fanout
from message_sender.control.messages import Poll
from message_sender.control.store import ConfigurationStore

SENDERS = (10, 40, 126, 315, plan.SENDERS)
SENDERS_SMALL = (10, 40)
LOSSES = (0.0, 0.01)
PROCESSES = 3  # runs at a time

# Seconds of virtual time.
SETTLED = 5  # a leader is there, and all have greeted
REST_FROM, REST_UNTIL = 10, 40  # no change: what rest costs
CHANGE_EACH = plan.SECONDS_PER_DAY / plan.CONFIGURATION_CHANGES_PER_DAY
DAY_SECONDS, DAY_SECONDS_SMALL = 600, 150
BURST_AT = 100.0
BURST = 20
LOST_AT, BACK_AT, LOST_SECONDS = 60.2, 120.0, 240
ZONE_AWAY_AT, ZONE_BACK_AT, ZONE_SECONDS = 20.0, 60.0, 120
START_AT, START_SECONDS = 40.0, 100
FAULT_CHANGE_EACH = 5.0


# Runs.


@dataclass(frozen=True, slots=True)
class Delays:
    """Seconds from a request until it is in force, over all changes and senders; of these how many."""

    p50: float
    p99: float
    most: float
    count: int
    missing: int  # senders that are there and do not have a change in force, over all changes


@dataclass(frozen=True, slots=True)
class Day:
    """A run without faults but loss."""

    terms: Terms
    in_force: Delays
    confirmed_most: float
    rest_bytes: float  # a sender and second
    rest_datagrams: float
    worst_bytes: int  # of any sender in any second
    worst_datagrams: int
    node_rest_bytes: float  # of all four, in a second
    node_worst_bytes: int  # of the busiest one in its worst second
    node_worst_datagrams: int
    sender_cpu_share: float  # of a core, a sender, over the whole run
    node_cpu_share: float  # of a core, the mean of the nodes


@dataclass(frozen=True, slots=True)
class Fault:
    """A run with a fault. `returned`: until who started anew has the newest version."""

    in_force: Delays
    returned: Delays
    worst_bytes: int
    node_worst_bytes: int
    node_worst_datagrams: int
    node_changes: int
    postponed: int


def measure_day(terms: Terms) -> Day:
    """Changes as on a day, and a burst."""
    plane = HollowControlPlane(terms)
    plane.run(REST_FROM)
    when = REST_UNTIL + plane.rng.uniform(0, CHANGE_EACH / 2)
    while when < terms.seconds - plan.IN_FORCE_WITHIN_S:
        plane.at(when, plane.request_change)
        when += CHANGE_EACH
    for _ in range(BURST):
        plane.at(BURST_AT, plane.request_change)
    before = plane.sender_time.spent, plane.node_time.spent
    plane.run(terms.seconds)
    seconds = terms.seconds - REST_FROM
    ends = [plane.traffic[name] for name in plane.senders]
    nodes = [plane.traffic[name] for name in ZONE_OF_NODE]
    rest = slice(REST_FROM, REST_UNTIL)
    shares = terms.senders * (REST_UNTIL - REST_FROM)
    return Day(
        terms=terms,
        in_force=in_force_delays(plane),
        confirmed_most=max(request.confirmed_after or float("inf") for request in plane.requests.values()),
        rest_bytes=sum(sum(end.bytes[rest]) for end in ends) / shares,
        rest_datagrams=sum(sum(end.datagrams[rest]) for end in ends) / shares,
        worst_bytes=max(max(end.bytes[SETTLED:]) for end in ends),
        worst_datagrams=max(max(end.datagrams[SETTLED:]) for end in ends),
        node_rest_bytes=sum(sum(node.bytes[rest]) for node in nodes) / (REST_UNTIL - REST_FROM),
        node_worst_bytes=max(max(node.bytes[SETTLED:]) for node in nodes),
        node_worst_datagrams=max(max(node.datagrams[SETTLED:]) for node in nodes),
        sender_cpu_share=(plane.sender_time.spent - before[0]) / seconds / terms.senders,
        node_cpu_share=(plane.node_time.spent - before[1]) / seconds / len(nodes),
    )


def measure_lost_node(terms: Terms) -> Fault:
    """The leader is killed and comes back with its disk."""
    plane = HollowControlPlane(terms)
    plan_changes(plane)

    def lose() -> None:
        leader = plane.leader()
        assert leader is not None
        lost = plane.kill_node(leader.name)
        plane.at(BACK_AT, partial(plane.start_node, lost.name, lost.hard_state, lost.log, 2))

    plane.at(LOST_AT, lose)
    plane.run(terms.seconds)
    return fault_of(plane, from_second=int(LOST_AT))


def measure_zone_return(terms: Terms) -> Fault:
    """A zone with a node is away, then its senders start at once with nothing stored."""
    plane = HollowControlPlane(terms)
    zone = ZONES[0]
    plan_changes(plane)

    def leave() -> None:
        for name in [name for name, sender in plane.senders.items() if sender.zone == zone]:
            plane.stop_sender(name)
            plane.at(ZONE_BACK_AT, partial(plane.start_sender, name, zone, Document(), 2))
        for name in [name for name, node in plane.nodes.items() if node.zone == zone]:
            lost = plane.kill_node(name)
            plane.at(ZONE_BACK_AT, partial(plane.start_node, name, lost.hard_state, lost.log, 2))

    plane.at(ZONE_AWAY_AT, leave)
    plane.run(terms.seconds)
    return fault_of(plane, from_second=int(ZONE_BACK_AT))


def measure_start(terms: Terms) -> Fault:
    """All senders start at once with nothing stored."""
    plane = HollowControlPlane(terms)
    plane.run(SETTLED)
    senders = list(plane.senders.values())
    for sender in senders:
        plane.stop_sender(sender.name)
        plane.at(START_AT, partial(plane.start_sender, sender.name, sender.zone, Document(), 2))
    plan_changes(plane, begin=START_AT)
    plane.run(terms.seconds)
    return fault_of(plane, from_second=int(START_AT))


def plan_changes(plane: HollowControlPlane, begin: float = 10.0) -> None:
    """One each `FAULT_CHANGE_EACH`, so that some fall into each part of a fault."""
    when = begin + 0.7
    while when < plane.terms.seconds - 2 * plan.IN_FORCE_WITHIN_S:
        plane.at(when, plane.request_change)
        when += FAULT_CHANGE_EACH


def in_force_delays(plane: HollowControlPlane) -> Delays:
    found: list[float] = []
    missing = 0
    for request in plane.requests.values():
        found += request.in_force_after.values()
        missing += sum(is_missing(request, sender) for sender in plane.senders.values())
    return delays_of(found, missing)


def is_missing(request: Request, sender: HollowSender) -> bool:
    was_there = sender.started_at <= request.asked_at
    return was_there and sender.watch.document.version < request.version


def delays_of(found: Sequence[float], missing: int = 0) -> Delays:
    if not found:
        return Delays(0.0, 0.0, 0.0, 0, missing)
    p50, p99 = np.percentile(found, (50, 99))
    return Delays(float(p50), float(p99), max(found), len(found), missing)


def fault_of(plane: HollowControlPlane, from_second: int) -> Fault:
    anew = [sender for sender in plane.senders.values() if sender.started_at > 0]
    reached = [
        each.reached_newest_at - each.started_at for each in anew if each.reached_newest_at is not None
    ]
    nodes = [plane.traffic[name] for name in ZONE_OF_NODE]
    return Fault(
        in_force=in_force_delays(plane),
        returned=delays_of(reached, len(anew) - len(reached)),
        worst_bytes=max(max(plane.traffic[name].bytes[from_second:]) for name in plane.senders),
        node_worst_bytes=max(max(node.bytes[from_second:]) for node in nodes),
        node_worst_datagrams=max(max(node.datagrams[from_second:]) for node in nodes),
        node_changes=sum(sender.watch.choice.changes for sender in plane.senders.values()),
        postponed=sum(node.fanout.counts.postponed for node in plane.nodes.values()),
    )


# Memory.


@dataclass(frozen=True, slots=True)
class Memory:
    """Bytes that Python allocates, by tracemalloc."""

    sender: float  # watch, channel and a document of its own, with the channel's part at the node
    document: float  # of these
    session: float  # the fan-out's part of one sender
    snapshot_bytes: int  # encoded


def measure_memory(senders: int) -> Memory:
    """Senders are started in a plane that runs already, and poll for some seconds."""
    plane = HollowControlPlane(Terms(0, 30))
    plane.run(SETTLED)
    encoded = encode_snapshot(plane.nodes["c1"].store.document)

    def start_senders() -> HollowControlPlane:
        for number in range(senders):
            name, zone = f"sender-{number:03}", ZONES[number % len(ZONES)]
            plane.start_sender(name, zone, decode_snapshot(encoded), 1)
        plane.run(2 * SETTLED)
        return plane

    def poll() -> Fanout:
        fanout = Fanout(ConfigurationStore(), random.Random(1), 0.0, lambda: 0)
        for number in range(senders):
            fanout.receive(f"sender-{number:03}", Poll(0, 0), 0.0)
        fanout.take_messages()
        return fanout

    return Memory(
        sender=traced_bytes(start_senders) / senders,
        document=traced_bytes(lambda: [decode_snapshot(encoded) for _ in range(10)]) / 10,
        session=traced_bytes(poll) / senders,
        snapshot_bytes=len(encoded),
    )


def traced_bytes(make: Callable[[], object]) -> int:
    """Bytes that are allocated by `make` and held by what it returns."""
    gc.collect()
    tracemalloc.start()
    try:
        kept = make()
        gc.collect()
        held, _ = tracemalloc.get_traced_memory()
        del kept
        return held
    finally:
        tracemalloc.stop()


# All of it.


@dataclass(frozen=True, slots=True)
class Run:
    """What one call of `run` found."""

    days: tuple[Day, ...]
    lost_node: tuple[Fault, ...]  # by loss, as `LOSSES`
    zone_return: tuple[Fault, ...]
    start: tuple[Fault, ...]
    memory: Memory


def measure(is_small: bool = False, processes: int = PROCESSES) -> Run:
    """Every scenario; what is on virtual time is the same in each run."""
    sizes = SENDERS_SMALL if is_small else SENDERS
    most = sizes[-1]
    day_seconds = DAY_SECONDS_SMALL if is_small else DAY_SECONDS
    days = [Terms(size, day_seconds, loss) for loss in LOSSES for size in reversed(sizes)]
    lost = [Terms(most, LOST_SECONDS, loss) for loss in LOSSES]
    zone = [Terms(most, ZONE_SECONDS, loss) for loss in LOSSES]
    start = [Terms(most, START_SECONDS, loss) for loss in LOSSES]
    with ProcessPoolExecutor(processes, multiprocessing.get_context("spawn")) as pool:
        measured_days = pool.map(measure_day, days)
        measured_lost = pool.map(measure_lost_node, lost)
        measured_zone = pool.map(measure_zone_return, zone)
        measured_start = pool.map(measure_start, start)
        return Run(
            days=tuple(measured_days),
            lost_node=tuple(measured_lost),
            zone_return=tuple(measured_zone),
            start=tuple(measured_start),
            memory=pool.submit(measure_memory, most).result(),
        )
