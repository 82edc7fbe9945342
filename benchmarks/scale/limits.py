"""Limits in order: for each mechanism the fraction of the planned size at which it passes its allowance."""

from collections.abc import Mapping
from dataclasses import dataclass
from itertools import pairwise
from math import inf, isfinite

from benchmarks.scale import fit, plan
from benchmarks.scale.results import Quantity, Result


@dataclass(frozen=True, slots=True)
class Limit:
    """One mechanism; `fraction` is of the planned size, infinite where the allowance is never passed.
    `is_extrapolated`: the size at which it is passed lies beyond ten times the measured ones."""

    mechanism: str
    planned_value: float | None  # at the planned size, in `unit`; None: there is nothing to measure
    is_planned_extrapolated: bool  # the value at the planned size
    most: float  # the allowance, in `unit`
    unit: str
    fraction: float
    at_size: float
    size_of: str
    reason: str
    source: str
    is_extrapolated: bool


def missing(results: Mapping[str, Result]) -> list[Limit]:
    """Mechanisms of which there is nothing to measure: no dimension reports on them."""
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
            "letter: 980 changes a day within 4 s",
            "no mechanism: each process reads a file of its own on SIGHUP",
            False,
        )
    ]


def size_at_allowance(quantity: Quantity) -> float:
    """The size at which the quantity first passes its allowance: between measured points where it does there,
    else on the line beyond them. Raises ValueError for a quantity without an allowance."""
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
    """Raises ValueError for a quantity without an allowance."""
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
    """The smallest fraction first: what is missing first."""
    found = missing(results)
    for result in results.values():
        found += [limit_of(each, result) for each in result.measured.quantities if each.allowance]
    return sorted(found, key=lambda limit: limit.fraction)
