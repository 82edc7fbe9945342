"""Dimension `changes`: the cost of the control plane and the delay of a change, by the number of senders.

Hollow senders and control nodes run on virtual time (control_plane.py), without loss and with 1% of the
datagrams lost, in these scenarios:

- a day: changes at the rate of 980 per day for ten minutes, plus a burst of 20;
- a lost node: the leader is killed and restarts a minute later, with a change every 5 s;
- the return of a zone: its senders start at once without stored state, its node with its disk;
- all senders start at once without stored state.

changes_report.py derives the quantities and figures of the capacity page from these runs.
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
    RunParameters,
)
from message_sender.control.document import Document, decode_snapshot, encode_snapshot
from message_sender.control.fanout import Fanout
from message_sender.control.messages import Poll
from message_sender.control.store import ConfigurationStore

SENDERS = (10, 40, 126, 315, plan.SENDERS)
SENDERS_SMALL = (10, 40)
LOSSES = (0.0, 0.01)
PROCESSES = 3  # concurrent runs

# Seconds of virtual time.
SETTLED = 5  # by then there is a leader, and all senders have a session
REST_FROM, REST_UNTIL = 10, 40  # without changes: the cost at rest
CHANGE_INTERVAL = plan.SECONDS_PER_DAY / plan.CONFIGURATION_CHANGES_PER_DAY
DAY_SECONDS, DAY_SECONDS_SMALL = 600, 150
BURST_AT = 100.0
BURST = 20
NODE_LOST_AT, NODE_BACK_AT, LOST_NODE_SECONDS = 60.2, 120.0, 240
ZONE_LOST_AT, ZONE_BACK_AT, ZONE_SECONDS = 20.0, 60.0, 120
START_AT, START_SECONDS = 40.0, 100
FAULT_CHANGE_INTERVAL = 5.0


# Runs.


@dataclass(frozen=True, slots=True)
class Delays:
    """The delays in s over all changes and senders, and the number of delays.

    Attributes:
        p50: The median.
        p99: The 99th percentile.
        longest: The longest delay.
        count: The number of delays.
        missing: The number of cases in which a running sender lacks the awaited version.
    """

    p50: float
    p99: float
    longest: float
    count: int
    missing: int


@dataclass(frozen=True, slots=True)
class Day:
    """A run without faults other than lost datagrams."""

    parameters: RunParameters
    in_force: Delays
    confirmed_longest: float
    rest_bytes: float  # per sender and second
    rest_datagrams: float
    worst_bytes: int  # of any sender in any second
    worst_datagrams: int
    node_rest_bytes: float  # of all four nodes, per second
    node_worst_bytes: int  # of the busiest node in its worst second
    node_worst_datagrams: int
    sender_cpu_share: float  # of a core, per sender, over the whole run
    node_cpu_share: float  # of a core, the mean of the nodes


@dataclass(frozen=True, slots=True)
class Fault:
    """A run with a fault; `returned` are the delays from a restart to the newest version."""

    in_force: Delays
    returned: Delays
    worst_bytes: int
    node_worst_bytes: int
    node_worst_datagrams: int
    node_changes: int
    postponed: int


def measure_day(parameters: RunParameters) -> Day:
    """Runs the scenario of a day: changes at the planned rate and a burst."""
    plane = HollowControlPlane(parameters)
    plane.run(REST_FROM)
    when = REST_UNTIL + plane.rng.uniform(0, CHANGE_INTERVAL / 2)
    while when < parameters.seconds - plan.IN_FORCE_WITHIN_S:
        plane.at(when, plane.request_change)
        when += CHANGE_INTERVAL
    for _ in range(BURST):
        plane.at(BURST_AT, plane.request_change)
    before = plane.sender_time.spent, plane.node_time.spent
    plane.run(parameters.seconds)
    seconds = parameters.seconds - REST_FROM
    sender_traffic = [plane.traffic[name] for name in plane.senders]
    nodes = [plane.traffic[name] for name in ZONE_OF_NODE]
    rest = slice(REST_FROM, REST_UNTIL)
    sender_seconds = parameters.senders * (REST_UNTIL - REST_FROM)
    return Day(
        parameters=parameters,
        in_force=in_force_delays(plane),
        confirmed_longest=max(request.confirmed_after or float("inf") for request in plane.requests.values()),
        rest_bytes=sum(sum(traffic.bytes[rest]) for traffic in sender_traffic) / sender_seconds,
        rest_datagrams=sum(sum(traffic.datagrams[rest]) for traffic in sender_traffic) / sender_seconds,
        worst_bytes=max(max(traffic.bytes[SETTLED:]) for traffic in sender_traffic),
        worst_datagrams=max(max(traffic.datagrams[SETTLED:]) for traffic in sender_traffic),
        node_rest_bytes=sum(sum(node.bytes[rest]) for node in nodes) / (REST_UNTIL - REST_FROM),
        node_worst_bytes=max(max(node.bytes[SETTLED:]) for node in nodes),
        node_worst_datagrams=max(max(node.datagrams[SETTLED:]) for node in nodes),
        sender_cpu_share=(plane.sender_time.spent - before[0]) / seconds / parameters.senders,
        node_cpu_share=(plane.node_time.spent - before[1]) / seconds / len(nodes),
    )


def measure_lost_node(parameters: RunParameters) -> Fault:
    """Runs the scenario of a lost node: the leader is killed and restarts with its disk."""
    plane = HollowControlPlane(parameters)
    schedule_changes(plane)

    def kill_leader() -> None:
        leader = plane.leader()
        assert leader is not None
        lost = plane.kill_node(leader.name)
        plane.at(NODE_BACK_AT, partial(plane.start_node, lost.name, lost.hard_state, lost.log, 2))

    plane.at(NODE_LOST_AT, kill_leader)
    plane.run(parameters.seconds)
    return fault_of(plane, from_second=int(NODE_LOST_AT))


def measure_zone_return(parameters: RunParameters) -> Fault:
    """Runs the scenario of a zone's return: its node restarts with its disk, its senders without state."""
    plane = HollowControlPlane(parameters)
    zone = ZONES[0]
    schedule_changes(plane)

    def fail_zone() -> None:
        for name in [name for name, sender in plane.senders.items() if sender.zone == zone]:
            plane.stop_sender(name)
            plane.at(ZONE_BACK_AT, partial(plane.start_sender, name, zone, Document(), 2))
        for name in [name for name, node in plane.nodes.items() if node.zone == zone]:
            lost = plane.kill_node(name)
            plane.at(ZONE_BACK_AT, partial(plane.start_node, name, lost.hard_state, lost.log, 2))

    plane.at(ZONE_LOST_AT, fail_zone)
    plane.run(parameters.seconds)
    return fault_of(plane, from_second=int(ZONE_BACK_AT))


def measure_start(parameters: RunParameters) -> Fault:
    """Runs the scenario in which all senders start at once without stored state."""
    plane = HollowControlPlane(parameters)
    plane.run(SETTLED)
    senders = list(plane.senders.values())
    for sender in senders:
        plane.stop_sender(sender.name)
        plane.at(START_AT, partial(plane.start_sender, sender.name, sender.zone, Document(), 2))
    schedule_changes(plane, begin=START_AT)
    plane.run(parameters.seconds)
    return fault_of(plane, from_second=int(START_AT))


def schedule_changes(plane: HollowControlPlane, begin: float = 10.0) -> None:
    """Schedules a change every `FAULT_CHANGE_INTERVAL` s, so that some fall into each phase of a fault."""
    when = begin + 0.7
    while when < plane.parameters.seconds - 2 * plan.IN_FORCE_WITHIN_S:
        plane.at(when, plane.request_change)
        when += FAULT_CHANGE_INTERVAL


def in_force_delays(plane: HollowControlPlane) -> Delays:
    """Returns the delays from the request of a change until a sender has it in force."""
    delays: list[float] = []
    missing = 0
    for request in plane.requests.values():
        delays += request.in_force_after.values()
        missing += sum(is_missing(request, sender) for sender in plane.senders.values())
    return delays_of(delays, missing)


def is_missing(request: Request, sender: HollowSender) -> bool:
    """Returns whether a sender that ran at the time of the request does not have the change in force."""
    was_running = sender.started_at <= request.requested_at
    return was_running and sender.watch.document.version < request.version


def delays_of(delays: Sequence[float], missing: int = 0) -> Delays:
    """Returns the statistics of the delays; zeros if there are none."""
    if not delays:
        return Delays(0.0, 0.0, 0.0, 0, missing)
    p50, p99 = np.percentile(delays, (50, 99))
    return Delays(float(p50), float(p99), max(delays), len(delays), missing)


def fault_of(plane: HollowControlPlane, from_second: int) -> Fault:
    """Evaluates a run with a fault; the worst seconds are those from `from_second` on."""
    restarted = [sender for sender in plane.senders.values() if sender.started_at > 0]
    reached = [
        each.reached_newest_at - each.started_at for each in restarted if each.reached_newest_at is not None
    ]
    nodes = [plane.traffic[name] for name in ZONE_OF_NODE]
    return Fault(
        in_force=in_force_delays(plane),
        returned=delays_of(reached, len(restarted) - len(reached)),
        worst_bytes=max(max(plane.traffic[name].bytes[from_second:]) for name in plane.senders),
        node_worst_bytes=max(max(node.bytes[from_second:]) for node in nodes),
        node_worst_datagrams=max(max(node.datagrams[from_second:]) for node in nodes),
        node_changes=sum(sender.watch.choice.changes for sender in plane.senders.values()),
        postponed=sum(node.fanout.counts.postponed for node in plane.nodes.values()),
    )


# Memory.


@dataclass(frozen=True, slots=True)
class Memory:
    """Bytes allocated by Python objects, by tracemalloc."""

    sender: float  # watch, channel and its own document, including the state of the channel at the node
    document: float  # the share of the document in `sender`
    session: float  # the state of one sender in the fan-out
    snapshot_bytes: int  # size of the encoded document


def measure_memory(senders: int) -> Memory:
    """Starts senders in a running control plane, lets them poll for some seconds and returns their memory."""
    plane = HollowControlPlane(RunParameters(0, 30))
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
    """Returns the bytes that `make` allocates and that its result keeps in use."""
    gc.collect()
    tracemalloc.start()
    try:
        kept = make()
        gc.collect()
        traced, _ = tracemalloc.get_traced_memory()
        del kept
        return traced
    finally:
        tracemalloc.stop()


# All scenarios.


@dataclass(frozen=True, slots=True)
class Run:
    """The results of all scenarios; tuples of `Fault` are in the order of `LOSSES`."""

    days: tuple[Day, ...]
    lost_node: tuple[Fault, ...]
    zone_return: tuple[Fault, ...]
    start: tuple[Fault, ...]
    memory: Memory


def measure(is_small: bool = False, processes: int = PROCESSES) -> Run:
    """Runs every scenario; results on virtual time are identical in each run."""
    sizes = SENDERS_SMALL if is_small else SENDERS
    largest = sizes[-1]
    day_seconds = DAY_SECONDS_SMALL if is_small else DAY_SECONDS
    days = [RunParameters(size, day_seconds, loss) for loss in LOSSES for size in reversed(sizes)]
    lost = [RunParameters(largest, LOST_NODE_SECONDS, loss) for loss in LOSSES]
    zone = [RunParameters(largest, ZONE_SECONDS, loss) for loss in LOSSES]
    start = [RunParameters(largest, START_SECONDS, loss) for loss in LOSSES]
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
            memory=pool.submit(measure_memory, largest).result(),
        )
