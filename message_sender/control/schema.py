"""The schema of a configuration: resources from TOML, their validation, their meaning for a sender. Pure.

Rules:

- A resource's name is its kind, a slash and its own name: `endpoints/hub-1`, `budgets/rate`. Other kinds are
  faults.
- Its value is a table as in a sender's own file, without the field that its name already contains (`id` of an
  endpoint, `name` of a budget), as canonical JSON: defaults left out, keys sorted, no blanks, addresses as
  text. Two tables with the same meaning have the same bytes.
- Validation reports every fault at once, each with its path: `endpoints/hub-1.dial: must be host:port, ...`.
- A control node doesn't know how many senders a fleet has: it checks a budget's floor against its total for
  one sender. A sender checks it for the size of its own fleet.
"""

import json
import tomllib
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from functools import lru_cache
from pathlib import Path
from typing import Any, NamedTuple

from message_sender.configuration.resources import (
    BudgetTable,
    Endpoints,
    EndpointTable,
    SharedBudget,
    find_budget_faults,
)
from message_sender.configuration.tables import ConfigError, ConfigFault, Table, validate_table
from message_sender.discovery.static import Dial, StaticEndpoint

ENDPOINTS = "endpoints"
BUDGETS = "budgets"
VALUE_CACHE_SIZE = 4096  # parsed resources


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of resource."""

    name: str
    table: type[Table]
    key: str  # the field of the table that the resource's name contains


KINDS = {
    ENDPOINTS: Kind(ENDPOINTS, EndpointTable, "id"),
    BUDGETS: Kind(BUDGETS, BudgetTable, "name"),
}


class Difference(NamedTuple):
    """The changes from one set of resources to another."""

    put: dict[str, bytes]
    delete: tuple[str, ...]


class ConfigurationTable(Endpoints):
    """A file with resources for the control plane; the field `endpoints` is inherited."""

    budgets: tuple[BudgetTable, ...] = ()


def encode_value(value: object) -> bytes:
    """Returns the canonical JSON of any JSON value."""
    text = json.dumps(value, sort_keys=True, separators=(",", ":"), ensure_ascii=False, allow_nan=False)
    return text.encode()


def format_dial(dial: Dial) -> str:
    """Returns an address in the form that a file has."""
    host, port = dial
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def encode_resource(kind: Kind, table: Table) -> tuple[str, bytes]:
    """Returns the name and the canonical value of a resource."""
    fields = table.model_dump(exclude_defaults=True)
    name = fields.pop(kind.key)
    if "dial" in fields:
        fields["dial"] = format_dial(fields["dial"])
    return f"{kind.name}/{name}", encode_value(fields)


# From a file.


def read_toml(source: Path | str) -> dict[str, bytes]:
    """Reads resources from a TOML file or a TOML text.

    Raises:
        ConfigError: With all faults.
        OSError: If the file cannot be read.
    """
    origin = str(source) if isinstance(source, Path) else "text"
    try:
        text = source.read_text() if isinstance(source, Path) else source
        fields = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigError([ConfigFault(origin, str(error))]) from None
    table = validate_table(ConfigurationTable, fields)
    faults = [
        ConfigFault(f"budgets[{fault.index}].{fault.field}", fault.text)
        for fault in find_budget_faults(table.budgets, 1)
    ]
    if faults:
        raise ConfigError(faults)
    resources = [encode_resource(KINDS[ENDPOINTS], endpoint) for endpoint in table.endpoints]
    resources += [encode_resource(KINDS[BUDGETS], budget) for budget in table.budgets]
    return dict(resources)


def write_toml(resources: Mapping[str, bytes]) -> str:
    """Returns a TOML text that `read_toml` reads as these resources.

    Raises:
        ConfigError: If a resource is invalid.
    """
    blocks = []
    for name in sorted(resources):
        kind, table = parse_resource(name, resources[name])
        fields = {kind.key: getattr(table, kind.key), **json.loads(resources[name])}
        rows = [f"{key} = {format_toml_value(value)}" for key, value in fields.items()]
        blocks.append("\n".join([f"[[{kind.name}]]", *rows]))
    return "\n\n".join(blocks) + "\n" if blocks else ""


def format_toml_value(value: object) -> str:
    """Formats a string, a number or a boolean: JSON equals TOML except for one control character."""
    return json.dumps(value, ensure_ascii=False).replace("\x7f", "\\u007f")


# Checking.


@lru_cache(VALUE_CACHE_SIZE)
def parse_resource(name: str, value: bytes) -> tuple[Kind, Any]:
    """Parses a resource.

    Returns:
        Its kind and its checked table.

    Raises:
        ConfigError: With all faults; their paths begin with the resource's name.
    """
    kind_name, _, own_name = name.partition("/")
    kind = KINDS.get(kind_name)
    if kind is None:
        known = ", ".join(f"{known_name}/NAME" for known_name in KINDS)
        raise ConfigError([ConfigFault(name, f"must be one of {known}")])
    try:
        fields = json.loads(value)
    except (ValueError, RecursionError) as error:
        raise ConfigError([ConfigFault(name, f"no JSON: {error}")]) from None
    if not isinstance(fields, dict):
        raise ConfigError([ConfigFault(name, "must be a table")])
    if kind.key in fields:
        raise ConfigError(
            [ConfigFault(f"{name}.{kind.key}", "is not known here: the resource's name tells it")]
        )
    try:
        return kind, validate_table(kind.table, {kind.key: own_name, **fields})
    except ConfigError as error:
        raise ConfigError([_with_resource_path(name, fault) for fault in error.faults]) from None


def _with_resource_path(name: str, fault: ConfigFault) -> ConfigFault:
    path = name if fault.path == "file" else f"{name}.{fault.path}"
    return ConfigFault(path, fault.text)


def find_faults(
    resources: Mapping[str, bytes], size: int = 1, known: Mapping[str, bytes] | None = None
) -> Iterator[ConfigFault]:
    """Yields every fault, those of single resources first.

    Args:
        resources: The complete configuration.
        size: The largest number of senders that share a budget.
        known: Resources that are known to be valid by themselves, which are not parsed again.
    """
    known = known or {}
    invalid: set[str] = set()
    for name in sorted(name for name, value in resources.items() if known.get(name) != value):
        try:
            parse_resource(name, resources[name])
        except ConfigError as error:
            invalid.add(name)
            yield from error.faults
    valid_budgets = {
        name: value for name, value in resources.items() if has_kind(name, BUDGETS) and name not in invalid
    }
    yield from interpret(valid_budgets).faults(size)


def validate(resources: Mapping[str, bytes], size: int = 1) -> tuple[str, ...]:
    """Returns all faults of a complete configuration as texts with their paths."""
    return tuple(str(fault) for fault in find_faults(resources, size))


class Validator:
    """Validates complete configurations one after another, as `validate` does.

    Resources that were valid the last time are not parsed again: a leader validates each change, and its
    heartbeats wait meanwhile.
    """

    def __init__(self) -> None:
        """Creates a validator that knows no resources."""
        self._valid_resources: Mapping[str, bytes] = {}

    def __call__(self, resources: Mapping[str, bytes]) -> tuple[str, ...]:
        """Returns all faults as texts with their paths."""
        faults = tuple(str(fault) for fault in find_faults(resources, known=self._valid_resources))
        if not faults:
            self._valid_resources = dict(resources)
        return faults


def read_values(values: Mapping[str, object]) -> dict[str, bytes]:
    """Returns resources in canonical form from JSON values.

    Raises:
        ConfigError: With all faults.
    """
    resources: dict[str, bytes] = {}
    faults: list[ConfigFault] = []
    for name, value in values.items():
        try:
            kind, table = parse_resource(name, encode_value(value))
        except ConfigError as error:
            faults += error.faults
        except ValueError as error:
            faults.append(ConfigFault(name, str(error)))
        else:
            canonical_name, encoded = encode_resource(kind, table)
            resources[canonical_name] = encoded
    if faults:
        raise ConfigError(faults)
    return resources


# What a sender uses.


@dataclass(frozen=True, slots=True)
class Interpretation:
    """The resources of a document as a sender uses them.

    A change costs as much as the resources it concerns, and a copy of the tables of names.
    """

    endpoints_by_name: dict[str, StaticEndpoint]
    budgets_by_name: dict[str, BudgetTable]

    def with_changes(self, put: Mapping[str, bytes], delete: Iterable[str]) -> "Interpretation":
        """Returns a copy with these changes applied.

        Raises:
            ConfigError: With all faults of the resources in `put`.
        """
        endpoints_by_name = dict(self.endpoints_by_name)
        budgets_by_name = dict(self.budgets_by_name)
        faults: list[ConfigFault] = []
        for name in delete:
            endpoints_by_name.pop(name, None)
            budgets_by_name.pop(name, None)
        for name, value in put.items():
            try:
                _, table = parse_resource(name, value)
            except ConfigError as error:
                faults += error.faults
                continue
            if isinstance(table, EndpointTable):
                endpoints_by_name[name] = table.build()
            elif isinstance(table, BudgetTable):
                budgets_by_name[name] = table
        if faults:
            raise ConfigError(faults)
        return Interpretation(endpoints_by_name, budgets_by_name)

    def faults(self, size: int) -> list[ConfigFault]:
        """Returns the faults of budgets that contradict each other or a fleet of `size` senders."""
        tables = [self.budgets_by_name[name] for name in sorted(self.budgets_by_name)]
        return [
            ConfigFault(f"{BUDGETS}/{tables[fault.index].name}.{fault.field}", fault.text)
            for fault in find_budget_faults(tables, size)
        ]

    def endpoints(self) -> tuple[StaticEndpoint, ...]:
        """Returns the endpoints in the order of their names."""
        return tuple(self.endpoints_by_name[name] for name in sorted(self.endpoints_by_name))

    def shared_budgets(self) -> tuple[SharedBudget, ...]:
        """Returns the shared budgets in the order of their names."""
        return tuple(self.budgets_by_name[name].build() for name in sorted(self.budgets_by_name))


def interpret(resources: Mapping[str, bytes]) -> Interpretation:
    """Interprets all resources of a document.

    Raises:
        ConfigError: With all faults of single resources.
    """
    return Interpretation({}, {}).with_changes(resources, ())


def read_endpoints(resources: Mapping[str, bytes]) -> tuple[StaticEndpoint, ...]:
    """Returns the endpoints in the order of their names.

    Raises:
        ConfigError: With all faults of single resources.
    """
    return interpret(resources).endpoints()


def read_budgets(resources: Mapping[str, bytes]) -> tuple[SharedBudget, ...]:
    """Returns the shared budgets in the order of their names.

    Raises:
        ConfigError: With all faults of single resources.
    """
    return interpret(resources).shared_budgets()


def has_kind(name: str, kind_name: str) -> bool:
    """Returns whether a resource's name is of that kind."""
    return name.startswith(f"{kind_name}/")


def compare_resources(old: Mapping[str, bytes], new: Mapping[str, bytes]) -> Difference:
    """Returns the changes from the old resources to the new ones."""
    put = {name: value for name, value in new.items() if old.get(name) != value}
    return Difference(put, tuple(sorted(old.keys() - new.keys())))
