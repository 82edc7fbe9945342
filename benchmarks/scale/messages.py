"""Dimension `messages`: the CPU time of one complete sender, by the message rate.

The dimension measures three situations: all destinations up; 3.8% of the destinations down, with messages for
these as well; and a backlog held for the destinations that are down. The sender runs as the process that the
platform starts, with the journal that survives a process crash but does not sync. Messages have 200 B. The
size of a point is the rate of accepted messages per second, because a sender on a busy machine rejects some.
"""

import asyncio
from dataclasses import dataclass

from benchmarks.scale import load, plan
from benchmarks.scale.quantity import quantity_of
from benchmarks.scale.results import Allowance, Effort, Figure, Measured, Point, Quantity, Source

SECONDS = 3.0  # for which messages are offered at each rate
REPEATS = 2  # of each rate; the line is fitted to the points of all repeats


@dataclass(frozen=True, slots=True)
class Sizes:
    """The offered rates (messages/s), the duration of each (s) and the number of messages in the backlog."""

    rates: tuple[float, ...]
    seconds: float
    backlog: int


SIZES = {
    Effort.SMALL: Sizes((100.0, 200.0), 0.3, 50),
    Effort.FULL: Sizes((50.0, 100.0, 150.0, 225.0) * REPEATS, SECONDS, 3_000),
}


@dataclass(frozen=True, slots=True)
class Situation:
    """The destinations that are down and the load for them; the parameters of `load.run_load`."""

    name: str
    title: str
    down: int = 0
    include_down: bool = False
    has_backlog: bool = False


SITUATIONS = (
    Situation("calm", "all destinations up"),
    Situation("down", f"{plan.DOWN_SHARE:.1%} of destinations down", load.DOWN, include_down=True),
    Situation("backlog", "a backlog for destinations that are down", load.DOWN, has_backlog=True),
)


async def measure(
    stand_ins: load.StandIns, situation: Situation, rate: float, sizes: Sizes
) -> load.LoadResult:
    """Offers messages to a new sender at one rate (messages/s)."""
    count = int(rate * sizes.seconds)
    backlog = sizes.backlog if situation.has_backlog else 0
    return await load.run_load(stand_ins, rate, count, situation.down, situation.include_down, backlog)


def run(effort: Effort) -> Measured:
    """Measures the dimension."""
    sizes = SIZES[effort]
    quantities, all_runs = [], []
    with load.run_stand_ins() as stand_ins:
        for situation in SITUATIONS:
            runs = [asyncio.run(measure(stand_ins, situation, rate, sizes)) for rate in sizes.rates]
            all_runs += runs
            quantities.append(core_quantity(situation, sizes.backlog, runs))
    return Measured(tuple(quantities), accepted_figures(all_runs))


def core_quantity(situation: Situation, backlog: int, runs: list[load.LoadResult]) -> Quantity:
    """Returns the share of a core by the rate of accepted messages."""
    points = [
        Point(round(each.accepted / each.wall_s, 2), round(each.cpu_s / each.wall_s, 5)) for each in runs
    ]
    title = f"share of a core that a sender uses, {situation.title}"
    if situation.has_backlog:
        title += f" ({backlog} messages)"
    return quantity_of(
        f"core_{situation.name}",
        title,
        "core",
        "messages/s",
        Source.CPU_TIME,
        points,
        plan.EVENTS_PER_S_PER_SENDER,
        Allowance(f"CPU of a sender, {situation.title}", plan.SENDER_CORES, "platform: one core per sender"),
    )


def accepted_figures(runs: list[load.LoadResult]) -> tuple[Figure, ...]:
    """Returns the offered messages and the accepted share; a cost is meaningful only if most are accepted."""
    offered, accepted = sum(each.offered for each in runs), sum(each.accepted for each in runs)
    share = accepted / offered
    return (
        Figure("offered", "messages offered over all runs", "", Source.COUNT, offered),
        Figure("accepted_share", "share of them that was accepted", "", Source.COUNT, share),
    )
