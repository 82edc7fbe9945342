"""Dimension `destinations`: the cost of the list of destinations for a sender, by its length.

Measured in this process with the endpoint list of the discovery client and the decision module, on virtual
time. The cost of connections is not included.
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
from message_sender.http.discovery import LINE_LIMIT
from message_sender.http.endpoint_list import EndpointList
from message_sender.policy.actions import PolicyAction
from message_sender.policy.events import EndpointsUpdated, PolicyEvent
from message_sender.policy.model import EndpointState, ListingKind

SLOTS, MAX_OPEN = 60, 1_000
CALL_US = 5_000  # virtual time between a message and the answer to its call
CHANGES = 40  # timed single changes per round
ROUNDS = 5  # the result is their median
OUTAGE_S = (10.0, 600.0)  # virtual time
UNITS_PER_S = {"s": 1.0, "us": 1e6}


@dataclass(frozen=True, slots=True)
class Sizes:
    """Lengths of the list; `used` are those of lists in which every destination gets a message."""

    listed: tuple[int, ...]
    used: tuple[int, ...]


SIZES = {
    Effort.SMALL: Sizes((250, 500, 1_000), (125, 250, 500)),
    Effort.FULL: Sizes((1_000, 5_000, 10_000, 25_000, 50_000), (1_000, 3_000, 6_000, 12_000)),
}


class SimulatedSender:
    """A dispatcher with a virtual clock; every call is answered as delivered."""

    def __init__(self) -> None:
        self.dispatcher = policy.make_dispatcher(SLOTS, MAX_OPEN)
        self.now_us = 0

    def handle(self, *events: PolicyEvent, after_us: int = 0) -> list[PolicyAction]:
        """Advances the clock and passes the events to the dispatcher."""
        self.now_us += after_us
        return self.dispatcher.handle(self.now_us, events)

    def use(self, destination: int) -> int:
        """Sends and delivers one message to the destination and returns the number of calls."""
        sends = policy.sends(self.handle(policy.accepted(f"m{destination}", destination), after_us=CALL_US))
        answers = [policy.delivered(send) for send in sends]
        self.handle(*answers, after_us=CALL_US)
        return len(sends)


def list_text(count: int) -> bytes:
    """Returns a line of the discovery stream that lists `count` destinations."""
    hosts = [
        {"host": f"e{number}", "dial": f"10.0.0.1:{1024 + number % 50_000}", "site": "z1", "class": "plain"}
        | {"block": number, "health": "ready", "share": 1.0}
        for number in range(count)
    ]
    return json.dumps({"seq": 1, "whole": True, "hosts": hosts}, separators=(",", ":")).encode()


def read_list(sender: SimulatedSender, text: bytes) -> EndpointList:
    """Passes a full list to the sender.

    Returns:
        The list as the discovery client keeps it; the decision module shares its endpoint records.
    """
    listed = EndpointList(json.loads(text))
    sender.handle(EndpointsUpdated(ListingKind.FULL, listed.endpoints))
    return listed


def listed_bytes(count: int) -> int:
    """Returns the traced bytes of an unused list, in the discovery client and the decision module."""
    sender, text = SimulatedSender(), list_text(count)
    with traced_memory() as traced:
        kept = read_list(sender, text)
    del kept
    return traced.allocated


def used_bytes(count: int) -> int:
    """Returns the traced bytes of a list of which every destination was used within the hour."""
    sender, text = SimulatedSender(), list_text(count)
    with traced_memory() as traced:
        kept = read_list(sender, text)
        calls = sum(sender.use(number) for number in range(count))
    del kept
    if calls != count:
        raise RuntimeError(f"{calls} calls for {count} messages")
    return traced.allocated


def cpu_s(work: Callable[[], object]) -> float:
    """Returns the CPU seconds of a call.

    Garbage collection is disabled meanwhile, as it would run at some sizes and not at others.
    """
    gc.collect()
    gc.disable()
    try:
        started_at = time.process_time()
        work()
        return time.process_time() - started_at
    finally:
        gc.enable()


def full_list_s(count: int) -> float:
    """Returns the median CPU seconds to parse and process a full list without changes, from its JSON text."""
    sender, text = SimulatedSender(), list_text(count)
    read_list(sender, text)
    return median(cpu_s(lambda: read_list(sender, text)) for _ in range(ROUNDS))


def one_change_us(count: int) -> float:
    """Returns the median CPU microseconds to process that one endpoint is draining, or ready again."""
    sender = SimulatedSender()
    sender.handle(policy.full_list(count))
    states = (EndpointState.DRAINING, EndpointState.READY)

    def change() -> None:
        for number in range(CHANGES):
            sender.handle(policy.one_change(number // 2, states[number % 2]), after_us=1_000)

    return median(cpu_s(change) for _ in range(ROUNDS)) / CHANGES * 1e6


def run(effort: Effort) -> Measured:
    """Measures the dimension."""
    sizes = SIZES[effort]
    return Measured(
        (
            line_quantity(sizes.listed),
            memory_quantity("listed_bytes", "listed and not used", listed_bytes, sizes.listed),
            memory_quantity("used_bytes", "listed and used within the hour", used_bytes, sizes.used),
            processor_quantity(
                "full_list_s", "CPU time to process a full list", "s", full_list_s, sizes.listed
            ),
            processor_quantity(
                "one_change_us", "CPU time to process one change", "us", one_change_us, sizes.listed
            ),
        ),
        outage_figures(),
    )


def line_quantity(sizes: tuple[int, ...]) -> Quantity:
    """Returns the size of a full list on the wire."""
    return quantity_of(
        "list_line_bytes",
        "bytes of a full list as the discovery service sends it, in compact JSON with short names",
        "B",
        "destinations",
        Source.COUNT,
        [Point(size, len(list_text(size))) for size in sizes],
        plan.DESTINATIONS,
        Allowance("full list in one line", LINE_LIMIT, "limit of the discovery client: 4 MiB per line"),
    )


def outage_figures() -> tuple[Figure, ...]:
    """Returns the calls of a sender of the planned fleet, without the link, to a destination that is down."""
    where = f"calls of one of {plan.SENDERS} senders to a destination that is down"
    first, later = (outage.calls_while_down(plan.SENDERS, seconds) for seconds in OUTAGE_S)
    return (
        Figure("calls_at_first", f"{where}, first {OUTAGE_S[0]:.0f} s", "", Source.COUNT, first),
        Figure("calls_later", f"{where}, first {OUTAGE_S[1]:.0f} s", "", Source.COUNT, later),
    )


def memory_quantity(name: str, title: str, measure: Callable[[int], int], sizes: tuple[int, ...]) -> Quantity:
    """Measures the memory of a list by its length."""
    allowance = Allowance(
        f"destinations {title}", plan.CONTROL_MEMORY_BYTES, "operators' plan: 32 MB per sender for control"
    )
    points = [Point(size, measure(size)) for size in sizes]
    full_title = f"bytes of destinations {title}"
    return quantity_of(
        name, full_title, "B", "destinations", Source.TRACED_MEMORY, points, plan.DESTINATIONS, allowance
    )


def processor_quantity(
    name: str, title: str, unit: str, measure: Callable[[int], float], sizes: tuple[int, ...]
) -> Quantity:
    """Measures a CPU time by the length of the list."""
    most = plan.LOOP_PAUSE_S * UNITS_PER_S[unit]
    allowance = Allowance(title, most, "own target: the event loop is blocked for at most 50 ms")
    points = [Point(size, round(measure(size), 6)) for size in sizes]
    return quantity_of(
        name, title, unit, "destinations", Source.CPU_TIME, points, plan.DESTINATIONS, allowance
    )
