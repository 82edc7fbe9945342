"""Builds a Quantity from measured points."""

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
    """Fits a line to the points up to the size `fit_up_to`, inclusive.

    The planned value is `planned_value` if given, for quantities that are not linear and derived from others;
    otherwise the measured value if there is a point at the planned size, or else the value of the line.

    Raises:
        ValueError: No line can be fitted.
    """
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
