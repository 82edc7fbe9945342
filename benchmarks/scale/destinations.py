"""Dimension `destinations`: what the list of destinations costs a sender, by its length.

Measured in this process on the directory's list and the decision module, on virtual time. What connections
take is not in it.
"""

import gc
import json
import time
from collections.abc import Callable
from dataclasses import dataclass
from statistics import median

from benchmarks.scale import outage, plan, policy
from benchmarks.scale.memory import traced_memory
from benchmarks.scale.quantity import quantity_of
from benchmarks.scale.results import Allowance, Effort, Figure, Measured, Point, Quantity, Source
from message_sender.http.discovery import LINE_LIMIT, EndpointList
from message_sender.policy.actions import PolicyAction
from message_sender.policy.events import EndpointsUpdated, PolicyEvent
from message_sender.policy.model import EndpointState, ListingKind

SLOTS, MAX_OPEN = 60, 1_000
CALL_US = 5_000  # virtual, between a message and the answer to its call
CHANGES = 40  # single changes that are timed
ROUNDS = 5  # of which the median counts
OUTAGE_S = (10.0, 600.0)  # virtual
UNITS_PER_S = {"s": 1.0, "us": 1e6}


@dataclass(frozen=True, slots=True)
class Sizes:
    """Lengths of the list; `used`: of those whose destinations all get a message."""

    listed: tuple[int, ...]
    used: tuple[int, ...]


SIZES = {
    Effort.SMALL: Sizes((250, 500, 1_000), (125, 250, 500)),
    Effort.FULL: Sizes((1_000, 5_000, 10_000, 25_000, 50_000), (1_000, 3_000, 6_000, 12_000)),
}


class World:
    """A dispatcher with a virtual clock, whose calls are answered as delivered."""

    def __init__(self) -> None:
        self.dispatcher = policy.make_dispatcher(SLOTS, MAX_OPEN)
        self.now_us = 0

    def handle(self, *events: PolicyEvent, after_us: int = 0) -> list[PolicyAction]:
        self.now_us += after_us
        return self.dispatcher.handle(self.now_us, events)

    def use(self, destination: int) -> int:
        """One message there and its delivery; how many calls began."""
        began = policy.sends(self.handle(policy.taken(f"m{destination}", destination), after_us=CALL_US))
        answers = [policy.delivered(send) for send in began]
        self.handle(*answers, after_us=CALL_US)
        return len(began)


def list_text(count: int) -> bytes:
    """A line of discovery that lists so many destinations."""
    hosts = [
        {"host": f"e{number}", "dial": f"10.0.0.1:{1024 + number % 50_000}", "site": "z1", "class": "plain"}
        | {"block": number, "health": "ready", "share": 1.0}
        for number in range(count)
    ]
    return json.dumps({"seq": 1, "whole": True, "hosts": hosts}, separators=(",", ":")).encode()


def hear_text(world: World, text: bytes) -> EndpointList:
    """What the directory keeps; the decision module shares its endpoint records."""
    listed = EndpointList(json.loads(text))
    world.handle(EndpointsUpdated(ListingKind.FULL, listed.endpoints))
    return listed


def listed_bytes(count: int) -> int:
    """Traced bytes of a sender's list, none of which is used: the directory's and the decision module's."""
    world, text = World(), list_text(count)
    with traced_memory() as traced:
        kept = hear_text(world, text)
    del kept
    return traced.allocated


def used_bytes(count: int) -> int:
    """Traced bytes of a sender's list all of which was used within the hour."""
    world, text = World(), list_text(count)
    with traced_memory() as traced:
        kept = hear_text(world, text)
        calls = sum(world.use(number) for number in range(count))
    del kept
    if calls != count:
        raise RuntimeError(f"{calls} calls for {count} messages")
    return traced.allocated


def cpu_s(work: Callable[[], object]) -> float:
    """The collector is kept out: a collection would fall on some sizes and not on others."""
    gc.collect()
    gc.disable()
    try:
        began = time.process_time()
        work()
        return time.process_time() - began
    finally:
        gc.enable()


def full_list_s(count: int) -> float:
    """Median CPU seconds to read a full list that says nothing new, from its JSON on."""
    world, text = World(), list_text(count)
    hear_text(world, text)
    return median(cpu_s(lambda: hear_text(world, text)) for _ in range(ROUNDS))


def one_change_us(count: int) -> float:
    """Median CPU microseconds to hear that one endpoint drains, or is ready again."""
    world = World()
    world.handle(policy.full_list(count))
    states = (EndpointState.DRAINING, EndpointState.READY)

    def change() -> None:
        for number in range(CHANGES):
            world.handle(policy.one_change(number // 2, states[number % 2]), after_us=1_000)

    return median(cpu_s(change) for _ in range(ROUNDS)) / CHANGES * 1e6


def run(effort: Effort) -> Measured:
    """Measures the dimension."""
    sizes = SIZES[effort]
    return Measured(
        (
            line_quantity(sizes.listed),
            memory_quantity("listed_bytes", "listed and not used", listed_bytes, sizes.listed),
            memory_quantity("used_bytes", "listed and used within the hour", used_bytes, sizes.used),
            processor_quantity("full_list_s", "CPU to hear a full list", "s", full_list_s, sizes.listed),
            processor_quantity("one_change_us", "CPU to hear one change", "us", one_change_us, sizes.listed),
        ),
        outage_figures(),
    )


def line_quantity(sizes: tuple[int, ...]) -> Quantity:
    return quantity_of(
        "list_line_bytes",
        "bytes of a full list as the directory sends it, in compact JSON with short names",
        "B",
        "destinations",
        Source.COUNT,
        [Point(size, len(list_text(size))) for size in sizes],
        plan.DESTINATIONS,
        Allowance("full list in one line", LINE_LIMIT, "limit of the directory's client: 4 MiB a line"),
    )


def outage_figures() -> tuple[Figure, ...]:
    """Calls of one sender of the planned fleet, without the link, to a destination that is down."""
    where = f"calls of one of {plan.SENDERS} senders to a destination that is down"
    first, later = (outage.calls_while_down(plan.SENDERS, seconds) for seconds in OUTAGE_S)
    return (
        Figure("calls_at_first", f"{where}, first {OUTAGE_S[0]:.0f} s", "", Source.COUNT, first),
        Figure("calls_later", f"{where}, first {OUTAGE_S[1]:.0f} s", "", Source.COUNT, later),
    )


def memory_quantity(name: str, title: str, measure: Callable[[int], int], sizes: tuple[int, ...]) -> Quantity:
    allowance = Allowance(
        f"destinations {title}", plan.CONTROL_MEMORY_BYTES, "letter: 32 MB a sender for control"
    )
    points = [Point(size, measure(size)) for size in sizes]
    full_title = f"bytes of destinations {title}"
    return quantity_of(
        name, full_title, "B", "destinations", Source.TRACED_MEMORY, points, plan.DESTINATIONS, allowance
    )


def processor_quantity(
    name: str, title: str, unit: str, measure: Callable[[int], float], sizes: tuple[int, ...]
) -> Quantity:
    most = plan.LOOP_PAUSE_S * UNITS_PER_S[unit]
    allowance = Allowance(title, most, "own aim: the event loop stands still for 50 ms at most")
    points = [Point(size, round(measure(size), 6)) for size in sizes]
    return quantity_of(
        name, title, unit, "destinations", Source.CPU_TIME, points, plan.DESTINATIONS, allowance
    )
