"""Dimension `messages`: the CPU time that one whole sender takes, by the messages a second offered to it.

In three situations: calm; with 3.8% of its destinations down, to which messages go as well; and with a
backlog held for those. The sender is the process that the platform starts, with the journal that outlasts a
process and no syncs; messages have 200 B. Sizes are the messages a second that it took on: on a busy machine
it turns some away.
"""

import asyncio
from dataclasses import dataclass

from benchmarks.scale import load, plan
from benchmarks.scale.quantity import quantity_of
from benchmarks.scale.results import Allowance, Effort, Figure, Measured, Point, Quantity, Source

SECONDS = 3.0  # that messages are offered at each rate
REPEATS = 2  # of each rate; all points go into the line


@dataclass(frozen=True, slots=True)
class Sizes:
    """Messages a second, and the messages of the backlog."""

    rates: tuple[float, ...]
    seconds: float
    backlog: int


SIZES = {
    Effort.SMALL: Sizes((100.0, 200.0), 0.3, 50),
    Effort.FULL: Sizes((50.0, 100.0, 150.0, 225.0) * REPEATS, SECONDS, 3_000),
}


@dataclass(frozen=True, slots=True)
class Situation:
    """What is down, and what is held for it."""

    name: str
    title: str
    down: int = 0
    to_down: bool = False
    has_backlog: bool = False


SITUATIONS = (
    Situation("calm", "all destinations up"),
    Situation("down", f"{plan.DOWN_SHARE:.1%} of destinations down", load.DOWN, to_down=True),
    Situation("backlog", "a backlog for those that are down", load.DOWN, has_backlog=True),
)


async def measure(stand: load.Stand, situation: Situation, rate: float, sizes: Sizes) -> load.Served:
    count = int(rate * sizes.seconds)
    backlog = sizes.backlog if situation.has_backlog else 0
    return await load.serve(stand, rate, count, situation.down, situation.to_down, backlog)


def run(effort: Effort) -> Measured:
    """Measures the dimension."""
    sizes = SIZES[effort]
    quantities, served = [], []
    with load.stand_ins() as stand:
        for situation in SITUATIONS:
            found = [asyncio.run(measure(stand, situation, rate, sizes)) for rate in sizes.rates]
            served += found
            quantities.append(quantity(situation, sizes.backlog, found))
    return Measured(tuple(quantities), figures(served))


def quantity(situation: Situation, backlog: int, found: list[load.Served]) -> Quantity:
    points = [
        Point(round(each.accepted / each.wall_s, 2), round(each.cpu_s / each.wall_s, 5)) for each in found
    ]
    title = f"share of a core that a sender takes, {situation.title}"
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
        Allowance(f"CPU of a sender, {situation.title}", plan.SENDER_CORES, "platform: one core a sender"),
    )


def figures(served: list[load.Served]) -> tuple[Figure, ...]:
    """Whether the load was served, without which its cost would mean nothing."""
    offered, accepted = sum(each.offered for each in served), sum(each.accepted for each in served)
    share = accepted / offered
    return (
        Figure("offered", "messages offered over all runs", "", Source.COUNT, offered),
        Figure("accepted_share", "share of them that was taken on", "", Source.COUNT, share),
    )
