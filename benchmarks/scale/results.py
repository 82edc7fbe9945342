"""The types of a dimension's results, and their JSON files in docs/capacity/."""

import datetime
import os
import platform
import time
from enum import Enum
from pathlib import Path

import msgspec

ROOT = Path(__file__).resolve().parents[2]
FOLDER = ROOT / "docs" / "capacity"


class Source(Enum):
    """How a value was obtained."""

    COUNT = "count"  # a count of datagrams, bytes or items; identical in every run
    VIRTUAL_TIME = "virtual time"  # identical in every run
    CPU_TIME = "CPU time"  # user and system time of a process
    TRACED_MEMORY = "tracemalloc"  # bytes allocated by Python objects


class Effort(Enum):
    """The extent of a run: SMALL for the tests, FULL for the figures of the capacity page."""

    SMALL = "small"
    FULL = "full"


class Point(msgspec.Struct, frozen=True):
    """One measurement."""

    size: float
    value: float


class Line(msgspec.Struct, frozen=True):
    """A fitted line and the range of sizes that it was fitted to."""

    slope: float
    intercept: float
    relative_residual: float
    smallest: float
    largest: float


class Allowance(msgspec.Struct, frozen=True):
    """The upper bound of a quantity.

    Attributes:
        mechanism: The mechanism whose cost is bounded.
        most: The bound, in the unit of the quantity.
        reason: The origin of the bound.
    """

    mechanism: str
    most: float
    reason: str


class Quantity(msgspec.Struct, frozen=True):
    """A cost measured at several sizes.

    `planned_value` is the value of the line at `planned_size`, or the measured value if `is_measured_at_plan`
    is set. The planned value of a quantity that does not grow linearly is derived from another quantity,
    which its title names. Points beyond `line.largest` are excluded from the fit because the quantity is not
    linear there; the title states the range.
    """

    name: str
    title: str
    unit: str
    size_of: str  # what `Point.size` counts
    source: Source
    points: tuple[Point, ...]
    line: Line
    planned_size: float
    planned_value: float
    is_measured_at_plan: bool
    is_extrapolated: bool
    allowance: Allowance | None = None


class Figure(msgspec.Struct, frozen=True):
    """A single measured value that no line is fitted to."""

    name: str
    title: str
    unit: str
    source: Source
    value: float


class Measured(msgspec.Struct, frozen=True):
    """The results of one run of a dimension."""

    quantities: tuple[Quantity, ...]
    figures: tuple[Figure, ...] = ()


class Environment(msgspec.Struct, frozen=True):
    """The machine, the date and the duration of a run."""

    date: str  # UTC, ISO 8601
    python: str
    cores: int  # available to the run
    processor: str
    duration_s: float


class Result(msgspec.Struct, frozen=True):
    """The content of the JSON file of a dimension."""

    dimension: str
    title: str
    command: str
    environment: Environment
    measured: Measured


def processor_name() -> str:
    """Returns the processor model from /proc/cpuinfo (proc(5)), or "" if it is not available."""
    try:
        lines = Path("/proc/cpuinfo").read_text().splitlines()
    except OSError:
        return ""
    names = [line.partition(":")[2].strip() for line in lines if line.startswith("model name")]
    return names[0] if names else ""


def environment_since(started_at: float) -> Environment:
    """Describes this machine and the run that started at `started_at` (time.monotonic(), s)."""
    return Environment(
        date=datetime.datetime.now(datetime.UTC).isoformat(timespec="minutes"),
        python=platform.python_version(),
        cores=len(os.sched_getaffinity(0)),
        processor=processor_name(),
        duration_s=round(time.monotonic() - started_at, 1),
    )


def write(result: Result, folder: Path = FOLDER) -> Path:
    """Writes the file of a dimension.

    Returns:
        The path of the file.

    Raises:
        OSError: The file cannot be written.
    """
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{result.dimension}.json"
    path.write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=1) + b"\n")
    return path


def read(path: Path) -> Result:
    """Reads the file of a dimension.

    Raises:
        OSError: The file cannot be read.
        msgspec.DecodeError: The file is not valid JSON.
        msgspec.ValidationError: The file does not match the type `Result`.
    """
    return msgspec.json.decode(path.read_bytes(), type=Result)


def read_all(folder: Path = FOLDER) -> dict[str, Result]:
    """Returns the results of all dimensions by name, sorted by name."""
    all_results = [read(path) for path in sorted(folder.glob("*.json"))]
    return {result.dimension: result for result in all_results}
