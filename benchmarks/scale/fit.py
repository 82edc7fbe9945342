"""Least-squares lines through measured points, and their values at the planned sizes."""

from collections.abc import Sequence

import numpy as np

from benchmarks.scale import plan
from benchmarks.scale.results import Line, Point


def fit_line(points: Sequence[Point]) -> Line:
    """Returns the least-squares line through the points.

    `relative_residual` is the root mean square of the residuals, divided by the mean of the absolute values;
    it is 0 if all points lie on the line.

    Raises:
        ValueError: There are fewer than two different sizes.
    """
    sizes = np.array([point.size for point in points], dtype=float)
    values = np.array([point.value for point in points], dtype=float)
    if len(set(sizes.tolist())) < 2:
        raise ValueError(
            f"a line needs points of at least two different sizes, got {sorted(set(sizes.tolist()))}"
        )
    slope, intercept = np.polynomial.Polynomial.fit(sizes, values, 1).convert(domain=[-1, 1]).coef[::-1]
    residuals = values - (slope * sizes + intercept)
    scale = float(np.abs(values).mean())
    root_mean_square = float(np.sqrt((residuals**2).mean()))
    return Line(
        slope=float(slope),
        intercept=float(intercept),
        relative_residual=root_mean_square / scale if scale else 0.0,
        smallest=float(sizes.min()),
        largest=float(sizes.max()),
    )


def value_at(line: Line, size: float) -> float:
    """Returns the value of the line at a size, in the unit of the points."""
    return line.slope * size + line.intercept


def is_extrapolated(line: Line, size: float) -> bool:
    """Returns whether a size exceeds ten times the largest size that the line was fitted to."""
    return size > plan.EXTRAPOLATION_LIMIT * line.largest
