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

    COUNT = "count"  # of datagrams, bytes or items: the same in each run
    VIRTUAL_TIME = "virtual time"  # the same in each run
    CPU_TIME = "CPU time"  # user and system time of a process
    TRACED_MEMORY = "tracemalloc"  # bytes allocated by Python objects


class Effort(Enum):
    """How large a run is: SMALL for the tests, FULL for the figures of the page."""

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
    """What a quantity may be at most, in its unit, and who says so; `mechanism` is what it bounds."""

    mechanism: str
    most: float
    reason: str


class Quantity(msgspec.Struct, frozen=True):
    """A cost measured at several sizes.

    `planned_value` is the line's value at `planned_size`, or where `is_measured_at_plan` the measured one; of
    what is no line it follows from another quantity, and the title says so.
    Points beyond `line.largest` are not fitted: the quantity is not linear there, and the title says so.
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
    """What one dimension's run found."""

    quantities: tuple[Quantity, ...]
    figures: tuple[Figure, ...] = ()


class Environment(msgspec.Struct, frozen=True):
    """Where and when a run was made."""

    date: str  # UTC, ISO 8601
    python: str
    cores: int  # that the run could use
    processor: str
    duration_s: float


class Result(msgspec.Struct, frozen=True):
    """A dimension's file."""

    dimension: str
    title: str
    command: str
    environment: Environment
    measured: Measured


def processor_name() -> str:
    """From proc(5); empty where it does not tell."""
    try:
        lines = Path("/proc/cpuinfo").read_text().splitlines()
    except OSError:
        return ""
    names = [line.partition(":")[2].strip() for line in lines if line.startswith("model name")]
    return names[0] if names else ""


def environment_since(began: float) -> Environment:
    """`began`: s, of time.monotonic()."""
    return Environment(
        date=datetime.datetime.now(datetime.UTC).isoformat(timespec="minutes"),
        python=platform.python_version(),
        cores=len(os.sched_getaffinity(0)),
        processor=processor_name(),
        duration_s=round(time.monotonic() - began, 1),
    )


def write(result: Result, folder: Path = FOLDER) -> Path:
    """Writes a dimension's file and returns its path. Raises OSError."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{result.dimension}.json"
    path.write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=1) + b"\n")
    return path


def read(path: Path) -> Result:
    """Raises OSError and msgspec.ValidationError."""
    return msgspec.json.decode(path.read_bytes(), type=Result)


def read_all(folder: Path = FOLDER) -> dict[str, Result]:
    """Every dimension's result by its name, in order of names."""
    found = [read(path) for path in sorted(folder.glob("*.json"))]
    return {result.dimension: result for result in found}
