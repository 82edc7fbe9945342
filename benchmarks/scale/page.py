"""Renders the tables of docs/CAPACITY.md from the results, between marker comments:

<!-- table: NAME -->
...
<!-- end -->
"""

import difflib
import math
import re
from collections.abc import Callable, Iterable, Mapping, Sequence
from pathlib import Path

from benchmarks.scale import derived, plan
from benchmarks.scale import results as files
from benchmarks.scale.limits import Limit, limits_in_order
from benchmarks.scale.results import ROOT, Quantity, Result

PAGE = ROOT / "docs" / "CAPACITY.md"
MARKED = re.compile(r"(<!-- table: (\S+) -->\n).*?(<!-- end -->)", re.DOTALL)
FAR_BEYOND = 10  # times the planned size; larger fractions are shown without a figure
EXTRAPOLATED = " (extrapolated)"


class UnknownTableError(ValueError):
    """The page names a table that does not exist."""


def number(value: float) -> str:
    """Formats a value with three significant digits and thousands separators.

    Values that would need more than six decimals get an exponent.
    """
    if value == 0 or not math.isfinite(value):
        return "0" if value == 0 else str(value)
    digits = max(2 - math.floor(math.log10(abs(value))), 0)
    if digits > 6:
        return f"{value:.2e}"
    text = f"{round(value, 2 - math.floor(math.log10(abs(value)))):,.{digits}f}"
    return text.rstrip("0").rstrip(".") if "." in text else text


def table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Returns a Markdown table."""
    lines = ["| " + " | ".join(cells) + " |" for cells in (head, ["---"] * len(head), *rows)]
    return "\n".join(lines) + "\n"


def planned_value_text(quantity: Quantity) -> str:
    """Returns the value at the planned size, marked if it was measured there or extrapolated."""
    mark = EXTRAPOLATED if quantity.is_extrapolated else ""
    mark = " (measured)" if quantity.is_measured_at_plan else mark
    return f"{number(quantity.planned_value)} {quantity.unit}{mark}"


def slopes_table(results: Mapping[str, Result]) -> str:
    """Returns the table of all fitted lines."""
    head = (
        "dimension",
        "quantity",
        "slope",
        "intercept",
        "residual",
        "range",
        "planned size",
        "value there",
        "method",
    )
    rows = []
    for result in results.values():
        for quantity in result.measured.quantities:
            rows.append((result.dimension, *slope_cells(quantity)))
    return table(head, rows)


def slope_cells(quantity: Quantity) -> tuple[str, ...]:
    """Returns the cells of a fitted line in the table of slopes, without the dimension."""
    line = quantity.line
    return (
        quantity.title,
        f"{number(line.slope)} {quantity.unit}",
        number(line.intercept),
        f"{line.relative_residual:.1%}",
        f"{number(line.smallest)} to {number(line.largest)} {quantity.size_of}",
        number(quantity.planned_size),
        planned_value_text(quantity),
        quantity.source.value,
    )


def figures_table(results: Mapping[str, Result]) -> str:
    """Returns the table of all values without a fitted line."""
    rows = [
        (result.dimension, figure.title, f"{number(figure.value)} {figure.unit}".strip(), figure.source.value)
        for result in results.values()
        for figure in result.measured.figures
    ]
    return table(("dimension", "figure", "value", "method"), rows)


def runs_table(results: Mapping[str, Result]) -> str:
    """Returns the table of the runs that the results come from."""
    rows = []
    for result in results.values():
        run = result.environment
        cells = (result.dimension, f"`{result.command}`", run.date, run.python, str(run.cores))
        rows.append((*cells, run.processor, f"{run.duration_s:.0f} s"))
    return table(("dimension", "command", "date (UTC)", "Python", "cores", "processor", "duration"), rows)


def fraction_text(limit: Limit) -> str:
    """Returns the fraction of the planned size at which a limit is reached."""
    if math.isinf(limit.fraction):
        return "not reached"
    if limit.fraction > FAR_BEYOND:
        return f"beyond {FAR_BEYOND}"
    return number(limit.fraction) + (EXTRAPOLATED if limit.is_extrapolated else "")


def limits_table(results: Mapping[str, Result]) -> str:
    """Returns the table of all limits by ascending fraction."""
    head = [
        "mechanism",
        "share of the plan",
        "exceeded at",
        "allowance",
        "at the planned size",
        "origin",
        "source",
    ]
    rows = [limit_cells(limit) for limit in limits_in_order(results)]
    return table(head, rows)


def limit_cells(limit: Limit) -> tuple[str, ...]:
    """Returns the cells of a limit in the table of limits."""
    is_near = limit.fraction <= FAR_BEYOND
    planned = "-"
    if limit.planned_value is not None:
        mark = EXTRAPOLATED if limit.is_planned_extrapolated else ""
        planned = f"{number(limit.planned_value)} {limit.unit}{mark}"
    return (
        limit.mechanism,
        fraction_text(limit),
        f"{number(limit.at_size)} {limit.size_of}" if is_near else "-",
        f"{number(limit.most)} {limit.unit}",
        planned,
        limit.reason,
        limit.source,
    )


def hours_text(seconds: float) -> str:
    """Returns a duration in hours, or "never" if it is infinite."""
    return "never" if math.isinf(seconds) else f"in {number(seconds / 3600)} h"


def data_path_table(results: Mapping[str, Result]) -> str:
    """Returns the table of the capacity of the senders by situation."""
    head = [
        "situation",
        "CPU per message",
        f"messages/s per sender at {plan.SENDER_UTILISATION:.0%}",
        "senders needed",
        "needed without one zone",
        "needed without the larger region",
        f"spare capacity with {plan.SENDERS} senders",
        "backlog of 1.6 billion drained",
        "drained at full utilization",
    ]
    rows = []
    for each in derived.data_path(results):
        needed = (each.needed, each.needed_without_zone, each.needed_without_region)
        spare = f"{number(each.spare)} /s" if each.spare > 0 else "none"
        drain = (hours_text(each.drain_s), hours_text(each.drain_at_full_s))
        cells = (each.situation, f"{number(each.cpu_us)} us", number(each.per_core))
        rows.append((*cells, *(f"{count:,}" for count in needed), spare, *drain))
    return table(head, rows)


def returns_table(results: Mapping[str, Result]) -> str:
    """Returns the table of the load after correlated failures."""
    head = [
        "restarted",
        "senders",
        "bytes at each other sender",
        "bytes at each restarted sender",
        "handshake datagrams in total",
        "list calls",
        "messages that waited",
    ]
    rows = []
    for each in derived.restart_loads(results):
        values = (each.other_bytes, each.own_bytes, each.handshakes, each.list_calls, each.backlog)
        rows.append((each.event, str(each.senders), *(number(value) for value in values)))
    return table(head, rows)


def state_table(results: Mapping[str, Result]) -> str:
    """Returns the table of the state of one sender at the planned size."""
    rows = []
    for each in derived.states(results):
        total = f"{number(each.total / 1e6)} MB" + (EXTRAPOLATED if each.is_extrapolated else "")
        rows.append((each.item, number(each.count), f"{number(each.bytes_each)} B", total, each.source))
    return table(("state of one sender", "items", "bytes each", "total", "source"), rows)


def absent_table(results: Mapping[str, Result]) -> str:
    """Returns the table of the average number of unavailable senders on an ordinary day."""
    ready = derived.quantity(results, "held", "ready_s")
    return table(
        ("restarts and failures per day", "unavailable each time", "unavailable senders on average"),
        [
            (
                str(plan.RESTARTS_PER_DAY + plan.FAILED_MACHINES_PER_DAY),
                f"{number(ready.planned_value)} s" + (EXTRAPOLATED if ready.is_extrapolated else ""),
                number(derived.senders_absent(results)),
            )
        ],
    )


def shares_table(results: Mapping[str, Result]) -> str:
    """Returns the table of the load of each part of the deployment."""
    head = [
        "part",
        "senders",
        "events/s",
        "cores of the data path",
        "messages held",
        "their memory",
        "link, datagrams/s sent",
        "link, bytes/s sent",
    ]
    rows = []
    for each in derived.shares(results):
        traffic = (number(each.link_datagrams_per_s), number(each.link_bytes_per_s))
        mark = EXTRAPOLATED if each.is_held_extrapolated else ""
        held = (number(each.held), f"{number(each.held_bytes / 1e9)} GB{mark}")
        load = (number(each.events_per_s), number(each.data_path_cores))
        rows.append((each.part, f"{each.senders:.0f}", *load, *held, *traffic))
    return table(head, rows)


def destination_table(results: Mapping[str, Result]) -> str:
    """Returns the table of the calls to one destination that is down."""
    rows = [
        (each.window, number(each.calls_of_one), number(each.calls_of_all))
        for each in derived.destination_loads(results)
    ]
    return table(("one destination down", "calls of one sender", f"of {plan.SENDERS}"), rows)


TABLES: dict[str, Callable[[Mapping[str, Result]], str]] = {
    "runs": runs_table,
    "slopes": slopes_table,
    "figures": figures_table,
    "limits": limits_table,
    "data-path": data_path_table,
    "state": state_table,
    "returns": returns_table,
    "absent": absent_table,
    "shares": shares_table,
    "destination": destination_table,
}


def render(text: str, results: Mapping[str, Result]) -> str:
    """Returns the page with each marked table regenerated.

    Raises:
        UnknownTableError: The page names a table that does not exist.
    """

    def replacement(marker: re.Match[str]) -> str:
        name = marker[2]
        if name not in TABLES:
            raise UnknownTableError(f"the page names the table {name}; expected one of {', '.join(TABLES)}")
        return marker[1] + TABLES[name](results) + marker[3]

    return MARKED.sub(replacement, text)


def update(write: bool, path: Path = PAGE, folder: Path = files.FOLDER) -> int:
    """Writes the tables to the page, or only prints how page and results differ.

    Returns:
        The exit code: 1 if `write` is false and they differ, otherwise 0.
    """
    before = path.read_text()
    after = render(before, files.read_all(folder))
    if write:
        path.write_text(after)
        return 0
    changes = list(difflib.unified_diff(before.splitlines(), after.splitlines(), "page", "results"))
    print("\n".join(changes) or "page and results agree")
    return 1 if changes else 0
