"""Validation of a TOML file's tables: all faults are reported together, each with its path and a plain text.

The module is built on pydantic. An unknown name in a table is a fault, as is a string instead of a number.
A check across fields raises ValueError with one line `field: text` for each fault.
"""

import re
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, TypeVar

from pydantic import AfterValidator, BaseModel, ConfigDict, ValidationError

#: The expected type in a fault's text, by pydantic's type of error.
TYPE_NAMES = {
    "string_type": "a string",
    "int_type": "a whole number",
    "int_from_float": "a whole number",
    "float_type": "a number",
    "bool_type": "true or false",
    "tuple_type": "a list",
    "list_type": "a list",
    "dict_type": "a table",
    "model_type": "a table",
    "model_attributes_type": "a table",
}
#: A fault in the message of a check across fields: the path within the table, and the text.
FAULT_LINE = re.compile(r"([a-z_]+(?:\[\d+\])?(?:\.[a-z_]+(?:\[\d+\])?)*): (.*)", re.DOTALL)
#: A quoted choice in pydantic's message for an invalid literal.
QUOTED_CHOICE = re.compile(r"'([^']*)'")

TableType = TypeVar("TableType", bound=BaseModel)


@dataclass(frozen=True, slots=True)
class ConfigFault:
    """One fault of a file.

    Attributes:
        path: The place in the file, such as `classes.command.aim_ms`.
        text: A description of the fault.
    """

    path: str
    text: str

    def __str__(self) -> str:
        """Returns the path and the text."""
        return f"{self.path}: {self.text}"


class ConfigError(ValueError):
    """A configuration file that cannot be used.

    Attributes:
        faults: All faults of the file.
    """

    def __init__(self, faults: list[ConfigFault]) -> None:
        """Initializes the error with all faults of the file."""
        super().__init__("; ".join(map(str, faults)))
        self.faults = faults


class Table(BaseModel):
    """The base class of tables: names and types are strict, and values are immutable."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True, validate_default=True)


def number_between(low: float, high: float) -> Any:  # noqa: ANN401
    """Returns a validator for numbers from `low` to `high`, both included."""

    def check(value: float) -> float:
        if not low <= value <= high:
            limits = f"{format_number(low)} to {format_number(high)}"
            raise ValueError(f"must be from {limits}, not {format_number(value)}")
        return value

    return AfterValidator(check)


def format_number(value: float) -> str:
    """Formats a number for a fault's text."""
    return str(value) if isinstance(value, int) else f"{value:g}"


Fraction = Annotated[float, number_between(0, 1)]


def format_path(location: tuple[int | str, ...]) -> str:
    """Formats a location as a path: `("classes", "a", 0)` becomes `classes.a[0]`."""
    path = ""
    for part in location:
        if isinstance(part, int):
            path += f"[{part}]"
        else:
            path += f".{part}" if path else part
    return path


def describe_fault(error: Any) -> str:  # noqa: ANN401
    """Returns the text for one of pydantic's errors; a check across fields may yield several lines."""
    kind, value = error["type"], error["input"]
    value = list(value) if isinstance(value, tuple) else value  # the file has a list (see `freeze_lists`)
    if kind == "missing":
        return "is missing"
    if kind == "extra_forbidden":
        return "is not a known key"
    if kind in TYPE_NAMES:
        return f"must be {TYPE_NAMES[kind]}, not {value!r}"
    if kind == "literal_error":
        choices = ", ".join(QUOTED_CHOICE.findall(error["ctx"]["expected"]))
        return f"must be one of {choices}, not {value!r}"
    if kind == "value_error":
        return str(error["ctx"]["error"])
    return f"{error['msg'][:1].lower()}{error['msg'][1:]}, not {value!r}"


def list_faults(error: ValidationError) -> list[ConfigFault]:
    """Returns all faults that pydantic found; a fault without a path gets the path `file`."""
    faults = []
    for details in error.errors():
        path = format_path(details["loc"])
        for line in describe_fault(details).split("\n"):
            match = FAULT_LINE.fullmatch(line) if details["type"] == "value_error" else None
            if match:
                faults.append(ConfigFault(f"{path}.{match[1]}" if path else match[1], match[2]))
            else:
                faults.append(ConfigFault(path or "file", line))
    return faults


def freeze_lists(value: Any) -> Any:  # noqa: ANN401
    """Replaces lists by tuples, because tables have tuples where TOML has arrays."""
    if isinstance(value, Mapping):
        return {name: freeze_lists(item) for name, item in value.items()}
    return tuple(freeze_lists(item) for item in value) if isinstance(value, list) else value


def validate_table(table_type: type[TableType], values: Mapping[str, Any]) -> TableType:
    """Builds a table from a file's values.

    Raises:
        ConfigError: The values have faults; the error lists all of them.
    """
    try:
        return table_type.model_validate(freeze_lists(values))
    except ValidationError as error:
        raise ConfigError(list_faults(error)) from None


def parse(path: Path) -> dict[str, Any]:
    """Reads a TOML file.

    Raises:
        ConfigError: The file is not TOML.
        OSError: The file cannot be read.
    """
    try:
        return tomllib.loads(path.read_text())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigError([ConfigFault(str(path), str(error))]) from None
