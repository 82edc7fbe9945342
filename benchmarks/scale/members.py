"""Dimension `members`: the cost of the link for one member at rest, by the number of members.

Counts come from hollow senders on virtual time. One size is also measured with real processes, which shows
how far the hollow senders differ from them.
"""

import time
from dataclasses import dataclass

from benchmarks.scale import plan
from benchmarks.scale.hollow import HollowFleet
from benchmarks.scale.memory import traced_memory
from benchmarks.scale.quantity import quantity_of
from benchmarks.scale.real import RealRest, measure_real_rest
from benchmarks.scale.results import Allowance, Effort, Figure, Measured, Point, Quantity, Source

ANNOUNCEMENT_BYTES = 200
LINEAR_UP_TO = 80  # members; the rate of announcements does not grow beyond this size (fleet/node.py)
SETTLING_S = 0.5  # virtual time before counting starts
LONG_WINDOW_S, SHORT_WINDOW_S = 10.0, 3.0  # virtual time of counting, in small and in large fleets
ALL_ANNOUNCED_S = 5.0  # virtual time in which all members of a small fleet receive every announcement
LOSS = 0.01  # share of lost datagrams in the measurement of the spread of a change
CHANGES = 5  # announcements changed at once, by different members
SPREAD_DRAWS = 200  # simulated members over all draws of one fleet size
LONGEST_SPREAD_S = 60.0  # virtual time
SEED = 1


@dataclass(frozen=True, slots=True)
class Sizes:
    """The fleet sizes that a run measures."""

    at_rest: tuple[int, ...]
    spread: tuple[int, ...]
    memory: tuple[int, ...]
    real: int  # members as real processes; 0: none


SIZES = {
    Effort.SMALL: Sizes((5, 10, 20), (5, 10, 20), (5, 10, 20), 0),
    Effort.FULL: Sizes((5, 10, 20, 40, 80, 160, 630), (20, 80, 160, 240), (10, 20, 40, 80), 8),
}


@dataclass(frozen=True, slots=True)
class Rest:
    """The cost of one member at rest, per second."""

    datagrams: float
    sent_bytes: float
    cpu_share: float


def measure_rest(size: int, announcement_bytes: int = ANNOUNCEMENT_BYTES) -> Rest:
    """Returns averages over all members; large fleets are measured for a shorter virtual time."""
    fleet = HollowFleet(size, announcement_bytes, SEED)
    fleet.join_all()
    fleet.run(SETTLING_S)
    fleet.reset_traffic()
    window = LONG_WINDOW_S if size <= LINEAR_UP_TO else SHORT_WINDOW_S
    started_at = time.process_time()
    fleet.run(window)
    spent = time.process_time() - started_at
    member_seconds = size * window
    return Rest(
        fleet.traffic.sent / member_seconds, fleet.traffic.sent_bytes / member_seconds, spent / member_seconds
    )


def measure_spread(size: int) -> float:
    """Returns the virtual seconds until all members know several changes, with lost datagrams.

    The result is the longest of several draws, so that some datagrams are lost in small fleets as well.
    """
    draws = max(SPREAD_DRAWS // size, 1)
    return max(spread_once(size, SEED + draw) for draw in range(draws))


def spread_once(size: int, seed: int) -> float:
    """Returns the virtual seconds until the changes are known to all members in one draw."""
    fleet = HollowFleet(size, ANNOUNCEMENT_BYTES, seed, LOSS)
    changed = [f"n{number}" for number in range(min(CHANGES, size))]
    fleet.join_all(len(changed))
    fleet.run(SETTLING_S)
    started_at = fleet.now
    for name in changed:
        fleet.nodes[name].publish(b"y" * ANNOUNCEMENT_BYTES, fleet.now)
        fleet.flush(name)
    while fleet.now < started_at + LONGEST_SPREAD_S:
        fleet.run(0.05)
        if all(fleet.count_informed(2, name) == size - 1 for name in changed):
            break
    return fleet.now - started_at


def measure_memory(size: int) -> float:
    """Returns the traced bytes of one member's node that has received the announcements of all others."""
    with traced_memory() as traced:
        fleet = HollowFleet(size, ANNOUNCEMENT_BYTES, SEED)
        fleet.join_all()
        fleet.run(ALL_ANNOUNCED_S)
        fleet.events.clear()
    return traced.allocated / size


def run(effort: Effort) -> Measured:
    """Measures the dimension."""
    sizes = SIZES[effort]
    rests = {size: measure_rest(size) for size in sizes.at_rest}
    quantities = (
        bytes_at_rest(rests),
        datagrams_at_rest(rests),
        processor_at_rest(rests),
        spread_time(sizes.spread),
        memory_of_members(sizes.memory),
    )
    if not sizes.real:
        return Measured(quantities)
    real = measure_real_rest(sizes.real)
    hollow = measure_rest(sizes.real, real.announcement_bytes)
    return Measured(quantities, compare(sizes.real, real, hollow))


def bytes_at_rest(rests: dict[int, Rest]) -> Quantity:
    """Returns the bytes per second at rest, by the number of members."""
    return quantity_of(
        "bytes_at_rest",
        f"bytes of UDP payload that a member sends at rest, and receives; announcements of "
        f"{ANNOUNCEMENT_BYTES} B (line up to {LINEAR_UP_TO} members, flat beyond)",
        "B/s",
        "members",
        Source.COUNT,
        [Point(size, round(rest.sent_bytes, 1)) for size, rest in rests.items()],
        plan.SENDERS,
        Allowance(
            "link's bytes at rest", plan.CONTROL_BYTES_PER_S, "operators' plan: 2 KB/s per sender for control"
        ),
        LINEAR_UP_TO,
    )


def datagrams_at_rest(rests: dict[int, Rest]) -> Quantity:
    """Returns the datagrams per second at rest, by the number of members."""
    return quantity_of(
        "datagrams_at_rest",
        f"datagrams that a member sends at rest, and receives (line up to {LINEAR_UP_TO} members)",
        "1/s",
        "members",
        Source.COUNT,
        [Point(size, round(rest.datagrams, 2)) for size, rest in rests.items()],
        plan.SENDERS,
        fit_up_to=LINEAR_UP_TO,
    )


def processor_at_rest(rests: dict[int, Rest]) -> Quantity:
    """Returns the share of a core at rest, by the number of members."""
    return quantity_of(
        "cpu_at_rest",
        f"share of a core that a hollow member's link uses at rest (line up to {LINEAR_UP_TO} members)",
        "core",
        "members",
        Source.CPU_TIME,
        [Point(size, round(rest.cpu_share, 6)) for size, rest in rests.items()],
        plan.SENDERS,
        Allowance(
            "link's CPU at rest", plan.CONTROL_CORE_SHARE, "operators' plan: 3.2% of a core per sender"
        ),
        LINEAR_UP_TO,
    )


def spread_time(sizes: tuple[int, ...]) -> Quantity:
    """Measures the time until changed announcements are known to all, by the number of members."""
    return quantity_of(
        "spread",
        f"time until {CHANGES} changed announcements are known to all, {LOSS:.0%} of datagrams lost",
        "s",
        "members",
        Source.VIRTUAL_TIME,
        [Point(size, round(measure_spread(size), 3)) for size in sizes],
        plan.SENDERS,
        Allowance(
            "announcement known to all", plan.IN_FORCE_WITHIN_S, "operators' plan: in force within 4 s"
        ),
    )


def memory_of_members(sizes: tuple[int, ...]) -> Quantity:
    """Measures the memory of a member's link, by the number of members."""
    return quantity_of(
        "memory",
        "memory of a member's link for all members",
        "B",
        "members",
        Source.TRACED_MEMORY,
        [Point(size, round(measure_memory(size))) for size in sizes],
        plan.SENDERS,
        Allowance(
            "link's memory", plan.CONTROL_MEMORY_BYTES, "operators' plan: 32 MB per sender for control"
        ),
    )


def compare(size: int, real: RealRest, hollow: Rest) -> tuple[Figure, ...]:
    """Returns the cost of the same fleet as hollow senders and as real processes, per member and second."""
    pairs = (
        ("datagrams", "datagrams", "1/s", Source.COUNT, real.datagrams, hollow.datagrams),
        ("bytes", "bytes", "B/s", Source.COUNT, real.sent_bytes, hollow.sent_bytes),
        ("cpu", "share of a core", "core", Source.CPU_TIME, real.cpu_share, hollow.cpu_share),
    )
    figures = []
    for name, title, unit, source, real_value, hollow_value in pairs:
        scope = f"{title} per member at rest, {size} members"
        figures.append(Figure(f"real_{name}", f"{scope}, real processes", unit, source, real_value))
        figures.append(Figure(f"hollow_{name}", f"{scope}, hollow", unit, source, hollow_value))
        ratio = hollow_value / real_value
        figures.append(Figure(f"ratio_{name}", f"{scope}, ratio of hollow to real", "", source, ratio))
    return tuple(figures)
