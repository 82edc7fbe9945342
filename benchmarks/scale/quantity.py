"""Makes a Quantity of measured points."""

from collections.abc import Iterable

from benchmarks.scale import fit
from benchmarks.scale.results import Allowance, Point, Quantity, Source


def quantity_of(
    name: str,
    title: str,
    unit: str,
    size_of: str,
    source: Source,
    points: Iterable[Point],
    planned_size: float,
    allowance: Allowance | None = None,
    fit_up_to: float = float("inf"),
    planned_value: float | None = None,
) -> Quantity:
    """Fits a line to the points whose size is `fit_up_to` at most. A point at the planned size itself gives
    the planned value; else the line does, or `planned_value` for what is no line and follows from others.
    Raises ValueError where no line can be fitted."""
    ordered = tuple(sorted(points, key=lambda point: point.size))
    line = fit.fit_line([point for point in ordered if point.size <= fit_up_to])
    at_plan = [point.value for point in ordered if point.size == planned_size]
    if planned_value is None:
        planned_value = at_plan[0] if at_plan else fit.value_at(line, planned_size)
    return Quantity(
        name=name,
        title=title,
        unit=unit,
        size_of=size_of,
        source=source,
        points=ordered,
        line=line,
        planned_size=planned_size,
        planned_value=planned_value,
        is_measured_at_plan=bool(at_plan),
        is_extrapolated=not at_plan and fit.is_extrapolated(line, planned_size),
        allowance=allowance,
    )
