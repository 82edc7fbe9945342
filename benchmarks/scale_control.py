"""Dimension `changes`: what the control plane costs, and how soon a change is in force, by senders.

Hollow senders and control nodes on virtual time (benchmarks/control_plane.py), with no loss and with 1% of
the datagrams lost:

- a day: changes at the rate of 980 a day for ten minutes, and 20 more at one moment;
- a node lost: the leader is killed and comes back a minute later, with a change each 5 s;
- a zone's return: its senders start at once with nothing stored, and its node with its disk;
- all senders start at once with nothing stored.

    ./with-env python -m benchmarks.scale_control [--small] [--processes 3]

prints a table and, unless small, writes docs/capacity/changes.json.
"""

import argparse
import datetime
import gc
import multiprocessing
import os
import platform
import random
import sys
import time
import tracemalloc
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import msgspec
import numpy as np

from benchmarks.control_plane import (
    ZONE_OF_NODE,
    ZONES,
    HollowControlPlane,
    HollowSender,
    Request,
    Terms,
)
from elmglade.control.document import Document, decode_snapshot, encode_snapshot
from elmglade.control.fanout import Fanout
from elmglade.control.messages import Poll
from elmglade.control.store import ConfigurationStore

FILE = Path(__file__).resolve().parents[1] / "docs" / "capacity" / "changes.json"
COMMAND = "./with-env python -m benchmarks.scale_control"

SENDERS_PLANNED = 630
CHANGES_A_DAY = 980
IN_FORCE_WITHIN_S = 4.0
SENDER_BYTES_A_SECOND = 2_000.0
SENDER_CORE_SHARE = 0.032
SENDER_MEMORY_BYTES = 32_000_000.0

SENDERS = (10, 40, 126, 315, SENDERS_PLANNED)
SENDERS_SMALL = (10, 40)
LOSSES = (0.0, 0.01)

# Seconds of virtual time.
SETTLED = 5  # a leader is there, and all have greeted
REST_FROM, REST_UNTIL = 10, 40  # no change: what rest costs
CHANGE_EACH = 86_400 / CHANGES_A_DAY
DAY_SECONDS, DAY_SECONDS_SMALL = 600, 150
BURST_AT = 100.0
BURST = 20
LOST_AT, BACK_AT, LOST_SECONDS = 60.2, 120.0, 240
ZONE_AWAY_AT, ZONE_BACK_AT, ZONE_SECONDS = 20.0, 60.0, 120
START_AT, START_SECONDS = 40.0, 100
FAULT_CHANGE_EACH = 5.0


# Results, in the form of the other dimensions' files.


class Point(msgspec.Struct, frozen=True):
    """One measurement."""

    size: float
    value: float


class Line(msgspec.Struct, frozen=True):
    """A line by least squares; the residual's root mean square over the mean of the absolute values."""

    slope: float
    intercept: float
    relative_residual: float
    smallest: float
    largest: float


class Allowance(msgspec.Struct, frozen=True):
    """What a quantity may be at most."""

    mechanism: str
    most: float
    reason: str


class Quantity(msgspec.Struct, frozen=True):
    """A cost measured at several numbers of senders."""

    name: str
    title: str
    unit: str
    size_of: str
    source: str
    points: tuple[Point, ...]
    line: Line
    planned_size: float
    planned_value: float
    is_measured_at_plan: bool
    is_extrapolated: bool
    allowance: Allowance | None = None


class Figure(msgspec.Struct, frozen=True):
    """A single measured value."""

    name: str
    title: str
    unit: str
    source: str
    value: float


class Measured(msgspec.Struct, frozen=True):
    """All that a run found."""

    quantities: tuple[Quantity, ...]
    figures: tuple[Figure, ...]


class Environment(msgspec.Struct, frozen=True):
    """Where and when."""

    date: str
    python: str
    cores: int
    processor: str
    duration_s: float


class Result(msgspec.Struct, frozen=True):
    """The file."""

    dimension: str
    title: str
    command: str
    environment: Environment
    measured: Measured


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
    when = REST_UNTIL + plane.chance.uniform(0, CHANGE_EACH / 2)
    while when < terms.seconds - IN_FORCE_WITHIN_S:
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
    while when < plane.terms.seconds - 2 * IN_FORCE_WITHIN_S:
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


def run(is_small: bool = False, processes: int = 1) -> Run:
    """Every scenario; the results on virtual time are the same in each run."""
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


def quantities_of(found: Run) -> tuple[Quantity, ...]:
    """Lines over the number of senders."""
    in_force = Allowance("control: a change in force everywhere", IN_FORCE_WITHIN_S, "the operators' 4 s")
    rest = Allowance("control: bytes of a sender", SENDER_BYTES_A_SECOND, "the operators' 2 KB a second")
    share = Allowance("control: processor of a sender", SENDER_CORE_SHARE, "the operators' 3.2% of a core")
    quantities = []
    for loss in LOSSES:
        days = [day for day in found.days if day.terms.loss == loss]
        suffix, told = (f"_loss_{loss * 100:.0f}", f", {loss:.0%} lost") if loss else ("", "")

        def add(
            name: str,
            title: str,
            unit: str,
            source: str,
            value: Callable[[Day], float],
            allowance: Allowance | None = None,
            days: Sequence[Day] = days,
            suffix: str = suffix,
            told: str = told,
        ) -> None:
            points = [Point(day.terms.senders, value(day)) for day in days]
            quantities.append(quantity_of(name + suffix, title + told, unit, source, points, allowance))

        add("rest_bytes", "bytes of a sender at rest", "B/s", "count", lambda day: day.rest_bytes, rest)
        add("rest_datagrams", "datagrams of a sender at rest", "1/s", "count", lambda day: day.rest_datagrams)
        add(
            "worst_bytes",
            "bytes of any sender in any second",
            "B/s",
            "count",
            lambda day: day.worst_bytes,
        )
        add(
            "worst_datagrams",
            "datagrams of any sender in any second",
            "1/s",
            "count",
            lambda day: day.worst_datagrams,
        )
        add(
            "nodes_rest_bytes",
            "bytes of all four nodes at rest",
            "B/s",
            "count",
            lambda day: day.node_rest_bytes,
        )
        add(
            "node_worst_bytes",
            "bytes of the busiest node in its worst second",
            "B/s",
            "count",
            lambda day: day.node_worst_bytes,
        )
        add(
            "node_worst_datagrams",
            "datagrams of the busiest node in its worst second",
            "1/s",
            "count",
            lambda day: day.node_worst_datagrams,
        )
        add("in_force_p50", "until in force, median", "s", "virtual time", lambda day: day.in_force.p50)
        add("in_force_p99", "until in force, p99", "s", "virtual time", lambda day: day.in_force.p99)
        add(
            "in_force_most",
            "until in force everywhere, longest",
            "s",
            "virtual time",
            lambda day: day.in_force.most,
            in_force,
        )
        add(
            "sender_cpu",
            "processor share of a sender, hollow",
            "core",
            "CPU time",
            lambda day: day.sender_cpu_share,
            share,
        )
        add(
            "node_cpu",
            "processor share of a node, hollow, mean of the four",
            "core",
            "CPU time",
            lambda day: day.node_cpu_share,
        )
    return tuple(quantities)


def quantity_of(
    name: str, title: str, unit: str, source: str, points: Iterable[Point], allowance: Allowance | None
) -> Quantity:
    """Fits a line. The value at the plan is the measured one where there is one."""
    ordered = tuple(sorted(points, key=lambda point: point.size))
    sizes = np.array([point.size for point in ordered], dtype=float)
    values = np.array([point.value for point in ordered], dtype=float)
    matrix = np.vstack([sizes, np.ones(len(sizes))]).T
    (slope, intercept), *_ = np.linalg.lstsq(matrix, values, rcond=None)
    residual = float(np.sqrt(((values - (slope * sizes + intercept)) ** 2).mean()))
    scale = float(np.abs(values).mean())
    line = Line(
        slope=float(slope),
        intercept=float(intercept),
        relative_residual=residual / scale if scale else 0.0,
        smallest=float(sizes[0]),
        largest=float(sizes[-1]),
    )
    at_plan = [point.value for point in ordered if point.size == SENDERS_PLANNED]
    return Quantity(
        name=name,
        title=title,
        unit=unit,
        size_of="senders",
        source=source,
        points=ordered,
        line=line,
        planned_size=SENDERS_PLANNED,
        planned_value=at_plan[0] if at_plan else line.slope * SENDERS_PLANNED + line.intercept,
        is_measured_at_plan=bool(at_plan),
        is_extrapolated=not at_plan and SENDERS_PLANNED > 10 * line.largest,
        allowance=allowance,
    )


def figures_of(found: Run) -> tuple[Figure, ...]:
    """Single values."""
    figures = [
        Figure("sender_memory", "memory of a sender's watch", "B", "tracemalloc", found.memory.sender),
        Figure("document_memory", "of these, its document", "B", "tracemalloc", found.memory.document),
        Figure("session_memory", "a node's session of a sender", "B", "tracemalloc", found.memory.session),
        Figure("snapshot_bytes", "the document, encoded", "B", "count", found.memory.snapshot_bytes),
        Figure(
            "confirmed_most",
            "until a change is confirmed, longest",
            "s",
            "virtual time",
            max(day.confirmed_most for day in found.days),
        ),
        Figure(
            "missing",
            "senders without a change at the end, all days",
            "",
            "count",
            sum(day.in_force.missing for day in found.days),
        ),
    ]
    scenarios = (
        ("lost_node", "the leader killed", found.lost_node),
        ("zone_return", "a zone's return", found.zone_return),
        ("start", "all start at once", found.start),
    )
    for name, title, faults in scenarios:
        for loss, fault in zip(LOSSES, faults, strict=True):
            suffix, told = (f"_loss_{loss * 100:.0f}", f", {loss:.0%} lost") if loss else ("", "")
            figures += fault_figures(name, title, fault, suffix, told)
    return tuple(figures)


def fault_figures(name: str, title: str, fault: Fault, suffix: str, told: str) -> list[Figure]:
    values: list[tuple[str, str, str, str, float]] = [
        ("in_force_p50", "until in force, median", "s", "virtual time", fault.in_force.p50),
        ("in_force_p99", "until in force, p99", "s", "virtual time", fault.in_force.p99),
        ("in_force_most", "until in force, longest", "s", "virtual time", fault.in_force.most),
        ("missing", "senders without a change at the end", "", "count", fault.in_force.missing),
        ("worst_bytes", "bytes of any sender in any second", "B/s", "count", fault.worst_bytes),
        ("node_worst_bytes", "bytes of the busiest node", "B/s", "count", fault.node_worst_bytes),
        ("node_worst_datagrams", "datagrams of the busiest node", "1/s", "count", fault.node_worst_datagrams),
        ("node_changes", "changes of node", "", "count", fault.node_changes),
    ]
    if fault.returned.count or fault.returned.missing:
        values += [
            (
                "returned_p50",
                "from a start to the newest version, median",
                "s",
                "virtual time",
                fault.returned.p50,
            ),
            (
                "returned_most",
                "from a start to the newest version, longest",
                "s",
                "virtual time",
                fault.returned.most,
            ),
            ("returned_missing", "starts that never had it", "", "count", fault.returned.missing),
            ("postponed", "answers that told to come again", "", "count", fault.postponed),
        ]
    return [
        Figure(f"{name}_{part}{suffix}", f"{title}: {what}{told}", unit, source, value)
        for part, what, unit, source, value in values
    ]


def processor_name() -> str:
    """From proc(5); empty where it does not tell."""
    try:
        lines = Path("/proc/cpuinfo").read_text().splitlines()
    except OSError:
        return ""
    names = [line.partition(":")[2].strip() for line in lines if line.startswith("model name")]
    return names[0] if names else ""


def result_of(found: Run, duration: float, arguments: Sequence[str] = ()) -> Result:
    """The file's content."""
    environment = Environment(
        date=datetime.datetime.now(datetime.UTC).isoformat(timespec="minutes"),
        python=platform.python_version(),
        cores=len(os.sched_getaffinity(0)),
        processor=processor_name(),
        duration_s=round(duration, 1),
    )
    measured = Measured(quantities_of(found), figures_of(found))
    command = " ".join([COMMAND, *arguments])
    return Result("changes", "the control plane, by the number of senders", command, environment, measured)


def print_table(measured: Measured) -> None:
    for each in measured.quantities:
        points = "  ".join(f"{point.size:.0f}: {point.value:.4g}" for point in each.points)
        fit = (
            f"{each.line.slope:.4g} x + {each.line.intercept:.4g}, residual {each.line.relative_residual:.1%}"
        )
        print(f"{each.title} ({each.unit}): {points}; {fit}; at the plan {each.planned_value:.4g}")
    for figure in measured.figures:
        print(f"{figure.title}: {figure.value:.4g} {figure.unit}")


def main(arguments: Sequence[str]) -> None:
    parser = argparse.ArgumentParser(description="The control plane, by the number of senders")
    parser.add_argument("--small", action="store_true", help="a short run; writes no file")
    parser.add_argument("--processes", type=int, default=1, help="runs at a time")
    options = parser.parse_args(arguments)
    began = time.monotonic()
    result = result_of(run(options.small, options.processes), time.monotonic() - began, arguments)
    print_table(result.measured)
    if not options.small:
        FILE.parent.mkdir(parents=True, exist_ok=True)
        FILE.write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=1) + b"\n")


if __name__ == "__main__":
    main(sys.argv[1:])
