"""The command line: runs dimensions, prints their points and lines and writes their files.

./with-env python benchmarks/scale.py                     # every dimension
./with-env python benchmarks/scale.py members held        # these
./with-env python benchmarks/scale.py --page              # the tables of docs/CAPACITY.md anew
./with-env python benchmarks/scale.py --check             # whether page and results agree
"""

import argparse
import time
from collections.abc import Sequence
from pathlib import Path

from benchmarks.scale import page, results
from benchmarks.scale.registry import DIMENSIONS
from benchmarks.scale.results import Effort, Quantity, Result

COMMAND = "./with-env python benchmarks/scale.py {name}"


def run_dimension(name: str, effort: Effort = Effort.FULL) -> Result:
    """Raises KeyError for a dimension that is not registered."""
    dimension = DIMENSIONS[name]
    began = time.monotonic()
    measured = dimension.run(effort)
    environment = results.environment_since(began)
    return Result(name, dimension.title, COMMAND.format(name=name), environment, measured)


def lines_of(result: Result) -> list[str]:
    """What a person reads of a result."""
    environment = result.environment
    lines = [f"{result.dimension}: {result.title} ({environment.duration_s} s, {environment.date})"]
    for quantity in result.measured.quantities:
        lines += lines_of_quantity(quantity)
    for figure in result.measured.figures:
        lines.append(f"  {figure.title}: {figure.value:.4g} {figure.unit} ({figure.source.value})")
    return lines


def lines_of_quantity(quantity: Quantity) -> list[str]:
    line = quantity.line
    points = "  ".join(f"{point.size:g}: {point.value:.4g}" for point in quantity.points)
    marks = " extrapolated" if quantity.is_extrapolated else ""
    marks += " measured" if quantity.is_measured_at_plan else ""
    return [
        f"  {quantity.title} ({quantity.source.value})",
        f"    points {points}",
        f"    slope {line.slope:.4g} {quantity.unit} a unit, at none {line.intercept:.4g}, "
        f"residual {line.relative_residual:.1%}, fitted over {line.smallest:g} to {line.largest:g}",
        f"    at {quantity.planned_size:g} {quantity.size_of}: {quantity.planned_value:.4g} "
        f"{quantity.unit}{marks}",
    ]


def parser() -> argparse.ArgumentParser:
    made = argparse.ArgumentParser(description="Measures how costs grow, and fits lines to them.")
    made.add_argument("dimensions", nargs="*", metavar="DIMENSION", help=", ".join(DIMENSIONS))
    made.add_argument("--small", action="store_true", help="the sizes of the tests; nothing is written")
    made.add_argument("--folder", type=Path, default=results.FOLDER, help="for the JSON files")
    made.add_argument("--page", action="store_true", help="only render the tables of the page")
    made.add_argument("--check", action="store_true", help="only compare the page with the results")
    return made


def main(arguments: Sequence[str] | None = None) -> int:
    """Returns the exit code: 1 where page and results differ, 2 for an unknown dimension."""
    options = parser().parse_args(arguments)
    if options.check or options.page:
        return page.update(write=options.page)
    unknown = [name for name in options.dimensions if name not in DIMENSIONS]
    if unknown:
        print(f"unknown: {', '.join(unknown)}; there are {', '.join(DIMENSIONS)}")
        return 2
    for name in options.dimensions or DIMENSIONS:
        result = run_dimension(name, Effort.SMALL if options.small else Effort.FULL)
        print("\n".join(lines_of(result)), flush=True)
        if not options.small:
            results.write(result, options.folder)
    return 0
