"""The command line: runs dimensions, prints their points and fitted lines and writes their JSON files.

./with-env python benchmarks/scale.py                     # every dimension
./with-env python benchmarks/scale.py members held        # only the named ones
./with-env python benchmarks/scale.py --page              # regenerates the tables of docs/CAPACITY.md
./with-env python benchmarks/scale.py --check             # checks that the page matches the results
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
    """Runs one dimension.

    Raises:
        KeyError: The dimension is not registered.
    """
    dimension = DIMENSIONS[name]
    started_at = time.monotonic()
    measured = dimension.run(effort)
    environment = results.environment_since(started_at)
    return Result(name, dimension.title, COMMAND.format(name=name), environment, measured)


def result_lines(result: Result) -> list[str]:
    """Returns the printed lines of a result."""
    environment = result.environment
    lines = [f"{result.dimension}: {result.title} ({environment.duration_s} s, {environment.date})"]
    for quantity in result.measured.quantities:
        lines += quantity_lines(quantity)
    for figure in result.measured.figures:
        lines.append(f"  {figure.title}: {figure.value:.4g} {figure.unit} ({figure.source.value})")
    return lines


def quantity_lines(quantity: Quantity) -> list[str]:
    """Returns the printed lines of one quantity: its points, the fitted line and the planned value."""
    line = quantity.line
    points = "  ".join(f"{point.size:g}: {point.value:.4g}" for point in quantity.points)
    marks = " extrapolated" if quantity.is_extrapolated else ""
    marks += " measured" if quantity.is_measured_at_plan else ""
    return [
        f"  {quantity.title} ({quantity.source.value})",
        f"    points {points}",
        f"    slope {line.slope:.4g} {quantity.unit} per unit of size, intercept {line.intercept:.4g}, "
        f"residual {line.relative_residual:.1%}, fitted over {line.smallest:g} to {line.largest:g}",
        f"    at {quantity.planned_size:g} {quantity.size_of}: {quantity.planned_value:.4g} "
        f"{quantity.unit}{marks}",
    ]


def argument_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = argparse.ArgumentParser(
        description="Measures how the costs of a sender grow, and fits lines to them."
    )
    parser.add_argument("dimensions", nargs="*", metavar="DIMENSION", help=", ".join(DIMENSIONS))
    parser.add_argument(
        "--small", action="store_true", help="measure the small sizes of the tests and write nothing"
    )
    parser.add_argument("--folder", type=Path, default=results.FOLDER, help="of the JSON files")
    parser.add_argument("--page", action="store_true", help="only render the tables of the page")
    parser.add_argument("--check", action="store_true", help="only compare the page with the results")
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the command line.

    Returns:
        The exit code: 0 for success, 1 if page and results differ, 2 for an unknown dimension.
    """
    options = argument_parser().parse_args(arguments)
    if options.check or options.page:
        return page.update(write=options.page)
    unknown = [name for name in options.dimensions if name not in DIMENSIONS]
    if unknown:
        print(f"unknown dimension: {', '.join(unknown)}; expected one of {', '.join(DIMENSIONS)}")
        return 2
    for name in options.dimensions or DIMENSIONS:
        result = run_dimension(name, Effort.SMALL if options.small else Effort.FULL)
        print("\n".join(result_lines(result)), flush=True)
        if not options.small:
            results.write(result, options.folder)
    return 0
