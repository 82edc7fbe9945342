"""Tables of a TOML file, checked whole: every fault at once, with its path and in plain words.

Stands on pydantic. A name that a table does not know is a fault, and so is a text where a number is wanted.
A check across fields raises ValueError with `field: what is wrong`, a line for each fault.
"""

import re
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, TypeVar

from pydantic import AfterValidator, BaseModel, ConfigDict, ValidationError

TYPE_NAMES = {
    "string_type": "a text",
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
FAULT_LINE = re.compile(r"([a-z_]+(?:\[\d+\])?(?:\.[a-z_]+(?:\[\d+\])?)*): (.*)", re.DOTALL)
Checked = TypeVar("Checked", bound=BaseModel)


@dataclass(frozen=True, slots=True)
class ConfigFault:
    """What is wrong, and where: a path such as `classes.command.aim_ms`."""

    path: str
    text: str

    def __str__(self) -> str:
        return f"{self.path}: {self.text}"


class ConfigError(ValueError):
    """The file cannot be used; `faults` has all that is wrong with it."""

    def __init__(self, faults: list[ConfigFault]) -> None:
        super().__init__("; ".join(map(str, faults)))
        self.faults = faults


class Table(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True, frozen=True, validate_default=True)


def number_between(low: float, high: float) -> Any:  # noqa: ANN401
    """A number from `low` to `high`."""

    def check(value: float) -> float:
        if not low <= value <= high:
            raise ValueError(
                f"must be from {format_number(low)} to {format_number(high)}, not {format_number(value)}"
            )
        return value

    return AfterValidator(check)


def format_number(value: float) -> str:
    return str(value) if isinstance(value, int) else f"{value:g}"


Fraction = Annotated[float, number_between(0, 1)]


def format_path(place: tuple[int | str, ...]) -> str:
    found = ""
    for each in place:
        if isinstance(each, int):
            found += f"[{each}]"
        else:
            found += f".{each}" if found else each
    return found


def describe_fault(error: Any) -> str:  # noqa: ANN401
    """What pydantic says of a fault, as this program says it."""
    kind, value = error["type"], error["input"]
    value = list(value) if isinstance(value, tuple) else value  # as the file has it
    if kind == "missing":
        return "is missing"
    if kind == "extra_forbidden":
        return "is not known here"
    if kind in TYPE_NAMES:
        return f"must be {TYPE_NAMES[kind]}, not {value!r}"
    if kind == "literal_error":
        choices = ", ".join(re.findall(r"'([^']*)'", error["ctx"]["expected"]))
        return f"must be one of {choices}, not {value!r}"
    if kind == "value_error":
        return str(error["ctx"]["error"])
    return f"{error['msg'][:1].lower()}{error['msg'][1:]}, not {value!r}"


def list_faults(error: ValidationError) -> list[ConfigFault]:
    found = []
    for each in error.errors():
        path = format_path(each["loc"])
        for line in describe_fault(each).split("\n"):
            own = FAULT_LINE.fullmatch(line) if each["type"] == "value_error" else None
            if own:
                found.append(ConfigFault(f"{path}.{own[1]}" if path else own[1], own[2]))
            else:
                found.append(ConfigFault(path or "file", line))
    return found


def freeze_lists(told: Any) -> Any:  # noqa: ANN401
    """TOML has arrays where the tables hold what cannot change."""
    if isinstance(told, Mapping):
        return {name: freeze_lists(value) for name, value in told.items()}
    return tuple(freeze_lists(each) for each in told) if isinstance(told, list) else told


def validate_table(kind: type[Checked], told: Mapping[str, Any]) -> Checked:
    """Raises ConfigError with all faults."""
    try:
        return kind.model_validate(freeze_lists(told))
    except ValidationError as error:
        raise ConfigError(list_faults(error)) from None


def parse(path: Path) -> dict[str, Any]:
    """Raises ConfigError where the file is no TOML, and OSError."""
    try:
        return tomllib.loads(path.read_text())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigError([ConfigFault(str(path), str(error))]) from None
