"""Derives the quantities and figures of the dimension `changes` from its runs."""

from collections.abc import Callable
from dataclasses import dataclass

from benchmarks.scale import plan
from benchmarks.scale.changes import LOSSES, Day, Fault, Run, measure
from benchmarks.scale.quantity import quantity_of
from benchmarks.scale.results import Allowance, Effort, Figure, Measured, Point, Quantity, Source

IN_FORCE = Allowance(
    "control plane: a change in force everywhere",
    plan.IN_FORCE_WITHIN_S,
    "operators' plan: 980 changes per day within 4 s",
)
REST_BYTES = Allowance(
    "control plane: bytes of a sender at rest",
    plan.CONTROL_BYTES_PER_S,
    "operators' plan: 2 KB/s per sender for control",
)
SENDER_CORE = Allowance(
    "control plane: CPU share of a sender",
    plan.CONTROL_CORE_SHARE,
    "operators' plan: 3.2% of a core per sender",
)


@dataclass(frozen=True, slots=True)
class DayValue:
    """One value of the day scenario, by the number of senders; `value_of` takes it from a run."""

    name: str
    title: str
    unit: str
    source: Source
    value_of: Callable[[Day], float]
    allowance: Allowance | None = None


DAY_VALUES = (
    DayValue(
        "rest_bytes", "bytes of a sender at rest", "B/s", Source.COUNT, lambda day: day.rest_bytes, REST_BYTES
    ),
    DayValue(
        "rest_datagrams", "datagrams of a sender at rest", "1/s", Source.COUNT, lambda day: day.rest_datagrams
    ),
    DayValue(
        "worst_bytes", "bytes of any sender in any second", "B/s", Source.COUNT, lambda day: day.worst_bytes
    ),
    DayValue(
        "worst_datagrams",
        "datagrams of any sender in any second",
        "1/s",
        Source.COUNT,
        lambda day: day.worst_datagrams,
    ),
    DayValue(
        "nodes_rest_bytes",
        "bytes of all four nodes at rest",
        "B/s",
        Source.COUNT,
        lambda day: day.node_rest_bytes,
    ),
    DayValue(
        "node_worst_bytes",
        "bytes of the busiest node in its worst second",
        "B/s",
        Source.COUNT,
        lambda day: day.node_worst_bytes,
    ),
    DayValue(
        "node_worst_datagrams",
        "datagrams of the busiest node in its worst second",
        "1/s",
        Source.COUNT,
        lambda day: day.node_worst_datagrams,
    ),
    DayValue(
        "in_force_p50", "delay until in force, median", "s", Source.VIRTUAL_TIME, lambda day: day.in_force.p50
    ),
    DayValue(
        "in_force_p99", "delay until in force, p99", "s", Source.VIRTUAL_TIME, lambda day: day.in_force.p99
    ),
    DayValue(
        "in_force_most",
        "delay until in force everywhere, longest",
        "s",
        Source.VIRTUAL_TIME,
        lambda day: day.in_force.longest,
        IN_FORCE,
    ),
    DayValue(
        "sender_cpu",
        "CPU share of a sender, hollow",
        "core",
        Source.CPU_TIME,
        lambda day: day.sender_cpu_share,
        SENDER_CORE,
    ),
    DayValue(
        "node_cpu",
        "CPU share of a node, hollow, mean of the four",
        "core",
        Source.CPU_TIME,
        lambda day: day.node_cpu_share,
    ),
)


def run(effort: Effort) -> Measured:
    """Measures the dimension."""
    measured = measure(is_small=effort is Effort.SMALL)
    return Measured(quantities_of(measured), figures_of(measured))


def loss_suffixes(loss: float) -> tuple[str, str]:
    """Returns the suffixes of the name and the title of a value that was measured with this loss."""
    return (f"_loss_{loss * 100:.0f}", f", {loss:.0%} lost") if loss else ("", "")


def quantities_of(measured: Run) -> tuple[Quantity, ...]:
    """Returns the quantities with lines over the number of senders."""
    quantities = []
    for loss in LOSSES:
        days = [day for day in measured.days if day.parameters.loss == loss]
        name_suffix, title_suffix = loss_suffixes(loss)
        for each in DAY_VALUES:
            quantities.append(
                quantity_of(
                    each.name + name_suffix,
                    each.title + title_suffix,
                    each.unit,
                    "senders",
                    each.source,
                    [Point(day.parameters.senders, each.value_of(day)) for day in days],
                    plan.SENDERS,
                    each.allowance,
                )
            )
    return tuple(quantities)


def figures_of(measured: Run) -> tuple[Figure, ...]:
    """Returns the single values: memory, delays and the scenarios with faults."""
    figures = [
        Figure(
            "sender_memory", "memory of a sender's watch", "B", Source.TRACED_MEMORY, measured.memory.sender
        ),
        Figure(
            "document_memory", "of these, its document", "B", Source.TRACED_MEMORY, measured.memory.document
        ),
        Figure(
            "session_memory",
            "memory of a sender's session at a node",
            "B",
            Source.TRACED_MEMORY,
            measured.memory.session,
        ),
        Figure("snapshot_bytes", "the document, encoded", "B", Source.COUNT, measured.memory.snapshot_bytes),
        Figure(
            "confirmed_most",
            "delay until a change is confirmed, longest",
            "s",
            Source.VIRTUAL_TIME,
            max(day.confirmed_longest for day in measured.days),
        ),
        Figure(
            "missing",
            "senders without a change at the end, all days",
            "",
            Source.COUNT,
            sum(day.in_force.missing for day in measured.days),
        ),
    ]
    scenarios = (
        ("lost_node", "the leader killed", measured.lost_node),
        ("zone_return", "a zone's return", measured.zone_return),
        ("start", "all start at once", measured.start),
    )
    for name, title, faults in scenarios:
        for loss, fault in zip(LOSSES, faults, strict=True):
            name_suffix, title_suffix = loss_suffixes(loss)
            figures += fault_figures(name, title, fault, name_suffix, title_suffix)
    return tuple(figures)


def fault_figures(name: str, title: str, fault: Fault, name_suffix: str, title_suffix: str) -> list[Figure]:
    """Returns the values of a scenario with a fault."""
    values: list[tuple[str, str, str, Source, float]] = [
        ("in_force_p50", "delay until in force, median", "s", Source.VIRTUAL_TIME, fault.in_force.p50),
        ("in_force_p99", "delay until in force, p99", "s", Source.VIRTUAL_TIME, fault.in_force.p99),
        ("in_force_most", "delay until in force, longest", "s", Source.VIRTUAL_TIME, fault.in_force.longest),
        ("missing", "senders without a change at the end", "", Source.COUNT, fault.in_force.missing),
        ("worst_bytes", "bytes of any sender in any second", "B/s", Source.COUNT, fault.worst_bytes),
        ("node_worst_bytes", "bytes of the busiest node", "B/s", Source.COUNT, fault.node_worst_bytes),
        (
            "node_worst_datagrams",
            "datagrams of the busiest node",
            "1/s",
            Source.COUNT,
            fault.node_worst_datagrams,
        ),
        ("node_changes", "changes of a sender's node", "", Source.COUNT, fault.node_changes),
    ]
    if fault.returned.count or fault.returned.missing:
        values += [
            (
                "returned_p50",
                "from a start to the newest version, median",
                "s",
                Source.VIRTUAL_TIME,
                fault.returned.p50,
            ),
            (
                "returned_most",
                "from a start to the newest version, longest",
                "s",
                Source.VIRTUAL_TIME,
                fault.returned.longest,
            ),
            (
                "returned_missing",
                "starts that never reached the newest version",
                "",
                Source.COUNT,
                fault.returned.missing,
            ),
            ("postponed", "answers that postponed a sender", "", Source.COUNT, fault.postponed),
        ]
    return [
        Figure(f"{name}_{part}{name_suffix}", f"{title}: {what}{title_suffix}", unit, source, value)
        for part, what, unit, source, value in values
    ]
