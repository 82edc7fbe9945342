"""The schema of a configuration: reads resources from TOML, validates them, and interprets them for a sender.

Rules:

- A resource's full name is its kind, a slash and its own name: `endpoints/hub-1`, `budgets/rate`. Any other
  kind is a fault.
- Its value is a table as in a sender's own file, without the field that the name already contains (`id` of an
  endpoint, `name` of a budget), as canonical JSON: without defaults, keys sorted, no whitespace, addresses as
  text. Two tables with the same meaning have the same bytes.
- Validation reports all faults together, each with its path: `endpoints/hub-1.dial: must be host:port, ...`.
- A control node does not know how many senders a fleet has, so it checks a budget's floor against its total
  for one sender. A sender checks it for the size of its own fleet.

The only I/O of this module is that `read_toml` reads a file if it is given a path.
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
VALUE_CACHE_SIZE = 4096  # number of cached parsed resources


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of resource."""

    name: str
    table: type[Table]
    key: str  # the field of the table that is part of the resource's name instead of its value


KINDS = {
    ENDPOINTS: Kind(ENDPOINTS, EndpointTable, "id"),
    BUDGETS: Kind(BUDGETS, BudgetTable, "name"),
}


class Difference(NamedTuple):
    """The changes from one set of resources to another."""

    put: dict[str, bytes]
    delete: tuple[str, ...]


class ConfigurationTable(Endpoints):
    """The tables of a file with resources for the control plane; the field `endpoints` is inherited."""

    budgets: tuple[BudgetTable, ...] = ()


def encode_value(value: object) -> bytes:
    """Returns the canonical JSON encoding of any JSON value."""
    text = json.dumps(value, sort_keys=True, separators=(",", ":"), ensure_ascii=False, allow_nan=False)
    return text.encode()


def format_dial(dial: Dial) -> str:
    """Returns an address as it is written in a configuration file."""
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
    """Reads resources from a TOML file, if `source` is a path, or from a TOML text.

    Raises:
        ConfigError: If there are faults; it lists all of them.
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
    """Returns a TOML text from which `read_toml` reads the same resources.

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
    """Formats a string, a number or a boolean; JSON equals TOML except for the control character U+007F."""
    return json.dumps(value, ensure_ascii=False).replace("\x7f", "\\u007f")


# Validation.


@lru_cache(VALUE_CACHE_SIZE)
def parse_resource(name: str, value: bytes) -> tuple[Kind, Any]:
    """Parses a resource.

    Returns:
        The kind and the validated table of the resource.

    Raises:
        ConfigError: If there are faults; it lists all of them, with paths that begin with `name`.
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
        raise ConfigError([ConfigFault(f"{name}.{kind.key}", "must not be set: it is the resource's name")])
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
    """Yields all faults, the faults of single resources first.

    Args:
        resources: The complete configuration.
        size: The largest number of senders that share a budget.
        known: Resources that are known to be valid individually; they are not parsed again.
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
    """Returns all faults of a complete configuration as texts with their paths.

    `size` is the largest number of senders that share a budget.
    """
    return tuple(str(fault) for fault in find_faults(resources, size))


class Validator:
    """Validates complete configurations one after another, as `validate` does.

    Resources of the last valid configuration are not parsed again, because a leader validates each change and
    its heartbeats are delayed meanwhile.
    """

    def __init__(self) -> None:
        """Creates a validator without any resources known to be valid."""
        self._valid_resources: Mapping[str, bytes] = {}

    def __call__(self, resources: Mapping[str, bytes]) -> tuple[str, ...]:
        """Returns all faults of a complete configuration as texts with their paths."""
        faults = tuple(str(fault) for fault in find_faults(resources, known=self._valid_resources))
        if not faults:
            self._valid_resources = dict(resources)
        return faults


def read_values(values: Mapping[str, object]) -> dict[str, bytes]:
    """Returns the resources with these JSON values, in canonical form.

    Raises:
        ConfigError: If there are faults; it lists all of them.
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


# Interpretation by a sender.


@dataclass(frozen=True, slots=True)
class Interpretation:
    """The resources of a document as a sender uses them.

    The cost of a change is that of parsing the changed resources and of copying the tables of names.
    """

    endpoints_by_name: dict[str, StaticEndpoint]
    budgets_by_name: dict[str, BudgetTable]

    def with_changes(self, put: Mapping[str, bytes], delete: Iterable[str]) -> "Interpretation":
        """Returns a copy with these changes applied.

        Raises:
            ConfigError: If resources in `put` have faults; it lists all of them.
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
        ConfigError: If single resources have faults; it lists all of them.
    """
    return Interpretation({}, {}).with_changes(resources, ())


def read_endpoints(resources: Mapping[str, bytes]) -> tuple[StaticEndpoint, ...]:
    """Returns the endpoints in the order of their names.

    Raises:
        ConfigError: If single resources have faults; it lists all of them.
    """
    return interpret(resources).endpoints()


def read_budgets(resources: Mapping[str, bytes]) -> tuple[SharedBudget, ...]:
    """Returns the shared budgets in the order of their names.

    Raises:
        ConfigError: If single resources have faults; it lists all of them.
    """
    return interpret(resources).shared_budgets()


def has_kind(name: str, kind_name: str) -> bool:
    """Returns whether the resource `name` is of the kind `kind_name`."""
    return name.startswith(f"{kind_name}/")


def compare_resources(old: Mapping[str, bytes], new: Mapping[str, bytes]) -> Difference:
    """Returns the changes that lead from the old resources to the new ones."""
    put = {name: value for name, value in new.items() if old.get(name) != value}
    return Difference(put, tuple(sorted(old.keys() - new.keys())))
