"""The limits of all mechanisms: the fraction of the planned size at which each exceeds its allowance."""

from collections.abc import Mapping
from dataclasses import dataclass
from itertools import pairwise
from math import inf, isfinite

from benchmarks.scale import fit, plan
from benchmarks.scale.results import Quantity, Result


@dataclass(frozen=True, slots=True)
class Limit:
    """The size at which one mechanism exceeds its allowance.

    `fraction` is that size relative to the planned one; it is infinite if the allowance is never exceeded.
    `is_extrapolated` is set if the size exceeds ten times the largest measured one.
    """

    mechanism: str
    planned_value: float | None  # at the planned size, in `unit`; None if nothing was measured
    is_planned_extrapolated: bool  # whether `planned_value` is extrapolated
    most: float  # the allowance, in `unit`
    unit: str
    fraction: float
    at_size: float
    size_of: str
    reason: str
    source: str
    is_extrapolated: bool


def unmeasured_limits(results: Mapping[str, Result]) -> list[Limit]:
    """Returns the limits of required mechanisms that no dimension reports on."""
    if "changes" in results:
        return []
    return [
        Limit(
            "configuration in force everywhere",
            None,
            False,
            plan.IN_FORCE_WITHIN_S,
            "s",
            0.0,
            0.0,
            "senders",
            "operators' plan: 980 changes per day within 4 s",
            "no mechanism: each process reads a file of its own on SIGHUP",
            False,
        )
    ]


def size_at_allowance(quantity: Quantity) -> float:
    """Returns the size at which the quantity first exceeds its allowance.

    The size is interpolated between the measured points if the allowance is exceeded there, and otherwise
    taken from the line beyond them. It is infinite if the allowance is never exceeded.

    Raises:
        ValueError: The quantity has no allowance.
    """
    if quantity.allowance is None:
        raise ValueError(f"{quantity.name} has no allowance")
    most, line = quantity.allowance.most, quantity.line
    for before, after in pairwise(quantity.points):
        if before.value > most:
            return before.size * most / before.value
        if after.value > most:
            share = (most - before.value) / (after.value - before.value)
            return before.size + share * (after.size - before.size)
    if quantity.is_measured_at_plan or line.slope <= 0:
        return inf
    return max((most - line.intercept) / line.slope, quantity.points[-1].size)


def limit_of(quantity: Quantity, result: Result) -> Limit:
    """Returns the limit that follows from a quantity.

    Raises:
        ValueError: The quantity has no allowance.
    """
    if quantity.allowance is None:
        raise ValueError(f"{quantity.name} has no allowance")
    size = size_at_allowance(quantity)
    return Limit(
        quantity.allowance.mechanism,
        quantity.planned_value,
        quantity.is_extrapolated,
        quantity.allowance.most,
        quantity.unit,
        size / quantity.planned_size,
        size,
        quantity.size_of,
        quantity.allowance.reason,
        f"{result.dimension}: {quantity.name}",
        isfinite(size) and fit.is_extrapolated(quantity.line, size) and size > quantity.points[-1].size,
    )


def limits_in_order(results: Mapping[str, Result]) -> list[Limit]:
    """Returns all limits by ascending fraction; mechanisms without measurements come first."""
    limits = unmeasured_limits(results)
    for result in results.values():
        limits += [
            limit_of(quantity, result) for quantity in result.measured.quantities if quantity.allowance
        ]
    return sorted(limits, key=lambda limit: limit.fraction)
