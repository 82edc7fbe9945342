"""What a configuration may hold: resources from TOML, every fault at once, what a sender makes of them. Pure.

Rules:

- A resource's name is its kind, a slash and its own name: `endpoints/hub-1`, `budgets/rate`. Other kinds are
  faults.
- Its value is a table as in a sender's own file, without the field that its name already tells (`id` of an
  endpoint, `name` of a budget), as canonical JSON: defaults left out, keys sorted, no blanks, addresses as
  text. Two tables that mean the same have the same bytes.
- A fault names the path to what is wrong: `endpoints/hub-1.dial: must be host:port, not 'here'`.
- A control node doesn't know how many senders a fleet has: it checks a budget's floor against the whole for
  one. A sender checks it for its own fleet's size.
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

ENDPOINTS, BUDGETS = "endpoints", "budgets"
VALUE_CACHE_SIZE = 4096  # tables of resources that are kept, least recently used first out


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of resource."""

    name: str
    table: type[Table]
    key: str  # the field of the table that the resource's name tells


KINDS = {
    ENDPOINTS: Kind(ENDPOINTS, EndpointTable, "id"),
    BUDGETS: Kind(BUDGETS, BudgetTable, "name"),
}


class Difference(NamedTuple):
    """What leads from one set of resources to another."""

    put: dict[str, bytes]
    delete: tuple[str, ...]


class ConfigurationTable(Endpoints):
    """A file that is put into the control plane; `endpoints` comes from its base."""

    budgets: tuple[BudgetTable, ...] = ()


def encode_value(value: object) -> bytes:
    """Canonical JSON of any JSON value."""
    text = json.dumps(value, sort_keys=True, separators=(",", ":"), ensure_ascii=False, allow_nan=False)
    return text.encode()


def dial_text(dial: Dial) -> str:
    """An address as a file has it."""
    host, port = dial
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def resource_of(kind: Kind, table: Table) -> tuple[str, bytes]:
    """Name and canonical value."""
    fields = table.model_dump(exclude_defaults=True)
    name = fields.pop(kind.key)
    if "dial" in fields:
        fields["dial"] = dial_text(fields["dial"])
    return f"{kind.name}/{name}", encode_value(fields)


# From a file.


def read_toml(source: Path | str) -> dict[str, bytes]:
    """The resources in a TOML file, or in a text. Raises ConfigError with all faults, and OSError."""
    where = str(source) if isinstance(source, Path) else "text"
    try:
        text = source.read_text() if isinstance(source, Path) else source
        told = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigError([ConfigFault(where, str(error))]) from None
    table = validate_table(ConfigurationTable, told)
    faults = [
        ConfigFault(f"budgets[{each.index}].{each.field}", each.text)
        for each in find_budget_faults(table.budgets, 1)
    ]
    if faults:
        raise ConfigError(faults)
    found = [resource_of(KINDS[ENDPOINTS], each) for each in table.endpoints]
    found += [resource_of(KINDS[BUDGETS], each) for each in table.budgets]
    return dict(found)


def write_toml(resources: Mapping[str, bytes]) -> str:
    """The file that `read_toml` reads as these. Raises ConfigError for resources that are not in order."""
    blocks = []
    for name in sorted(resources):
        kind, table = parsed(name, resources[name])
        fields = {kind.key: getattr(table, kind.key), **json.loads(resources[name])}
        rows = [f"{key} = {toml_text(value)}" for key, value in fields.items()]
        blocks.append("\n".join([f"[[{kind.name}]]", *rows]))
    return "\n\n".join(blocks) + "\n" if blocks else ""


def toml_text(value: object) -> str:
    """A text, a number or a truth value: JSON's form is TOML's, but for one control character."""
    return json.dumps(value, ensure_ascii=False).replace("\x7f", "\\u007f")


# Checking.


@lru_cache(VALUE_CACHE_SIZE)
def parsed(name: str, value: bytes) -> tuple[Kind, Any]:
    """The kind and the checked table of a resource. Raises ConfigError with paths from its name on."""
    kind_name, _, own_name = name.partition("/")
    if (kind := KINDS.get(kind_name)) is None:
        known = ", ".join(f"{each}/NAME" for each in KINDS)
        raise ConfigError([ConfigFault(name, f"must be one of {known}")])
    try:
        told = json.loads(value)
    except (ValueError, RecursionError) as error:
        raise ConfigError([ConfigFault(name, f"no JSON: {error}")]) from None
    if not isinstance(told, dict):
        raise ConfigError([ConfigFault(name, "must be a table")])
    if kind.key in told:
        raise ConfigError(
            [ConfigFault(f"{name}.{kind.key}", "is not known here: the resource's name tells it")]
        )
    try:
        return kind, validate_table(kind.table, {kind.key: own_name, **told})
    except ConfigError as error:
        faults = [ConfigFault(name if x.path == "file" else f"{name}.{x.path}", x.text) for x in error.faults]
        raise ConfigError(faults) from None


def faults_in(
    resources: Mapping[str, bytes], size: int = 1, known: Mapping[str, bytes] | None = None
) -> Iterator[ConfigFault]:
    """Every fault, those of single resources first; `size`: the most senders that share a budget; `known`:
    resources that are in order by themselves, which are not read again."""
    known, wrong = known or {}, set[str]()
    for name in sorted(name for name, value in resources.items() if known.get(name) != value):
        try:
            parsed(name, resources[name])
        except ConfigError as error:
            wrong.add(name)
            yield from error.faults
    good = {name: resources[name] for name in resources if has_kind(name, BUDGETS) and name not in wrong}
    yield from interpret(good).faults(size)


def validate(resources: Mapping[str, bytes], size: int = 1) -> tuple[str, ...]:
    """All faults of a whole configuration as texts with their paths; none where it is in order."""
    return tuple(str(each) for each in faults_in(resources, size))


class Validator:
    """Checks whole configurations one after another, as `validate` does. What was in order the last time is
    not read again: a leader checks each change, and its heartbeats wait meanwhile."""

    def __init__(self) -> None:
        self._in_order: Mapping[str, bytes] = {}

    def __call__(self, resources: Mapping[str, bytes]) -> tuple[str, ...]:
        faults = tuple(str(each) for each in faults_in(resources, known=self._in_order))
        if not faults:
            self._in_order = dict(resources)
        return faults


def read_values(values: Mapping[str, object]) -> dict[str, bytes]:
    """Resources from JSON values, in canonical form. Raises ConfigError with all faults."""
    found, faults = dict[str, bytes](), list[ConfigFault]()
    for name, value in values.items():
        try:
            kind, table = parsed(name, encode_value(value))
        except ConfigError as error:
            faults += error.faults
        except ValueError as error:
            faults.append(ConfigFault(name, str(error)))
        else:
            own_name, encoded = resource_of(kind, table)
            found[own_name] = encoded
    if faults:
        raise ConfigError(faults)
    return found


# What a sender uses.


@dataclass(frozen=True, slots=True)
class Interpretation:
    """The resources of a document as a sender uses them. A change costs what it touches, and a copy of the
    tables of names."""

    places: dict[str, StaticEndpoint]
    budgets: dict[str, BudgetTable]

    def changed(self, put: Mapping[str, bytes], delete: Iterable[str]) -> "Interpretation":
        """With these changes. Raises ConfigError with all faults of what is put."""
        places, budgets, faults = dict(self.places), dict(self.budgets), list[ConfigFault]()
        for name in delete:
            places.pop(name, None)
            budgets.pop(name, None)
        for name, value in put.items():
            try:
                _, table = parsed(name, value)
            except ConfigError as error:
                faults += error.faults
                continue
            if isinstance(table, EndpointTable):
                places[name] = table.build()
            elif isinstance(table, BudgetTable):
                budgets[name] = table
        if faults:
            raise ConfigError(faults)
        return Interpretation(places, budgets)

    def faults(self, size: int) -> list[ConfigFault]:
        """Those of budgets held against one another, and against a fleet of `size` senders."""
        tables = [self.budgets[name] for name in sorted(self.budgets)]
        return [
            ConfigFault(f"{BUDGETS}/{tables[each.index].name}.{each.field}", each.text)
            for each in find_budget_faults(tables, size)
        ]

    def endpoints(self) -> tuple[StaticEndpoint, ...]:
        """In the order of their names."""
        return tuple(self.places[name] for name in sorted(self.places))

    def shared_budgets(self) -> tuple[SharedBudget, ...]:
        """In the order of their names."""
        return tuple(self.budgets[name].build() for name in sorted(self.budgets))


def interpret(resources: Mapping[str, bytes]) -> Interpretation:
    """Raises ConfigError with all faults of single resources."""
    return Interpretation({}, {}).changed(resources, ())


def places(resources: Mapping[str, bytes]) -> tuple[StaticEndpoint, ...]:
    """The endpoints, in the order of their names. Raises ConfigError."""
    return interpret(resources).endpoints()


def budgets(resources: Mapping[str, bytes]) -> tuple[SharedBudget, ...]:
    """The shared budgets, in the order of their names. Raises ConfigError."""
    return interpret(resources).shared_budgets()


def has_kind(name: str, kind_name: str) -> bool:
    """Whether a resource's name is of that kind."""
    return name.startswith(f"{kind_name}/")


def changes_between(old: Mapping[str, bytes], new: Mapping[str, bytes]) -> Difference:
    """What leads from the old resources to the new ones."""
    put = {name: value for name, value in new.items() if old.get(name) != value}
    return Difference(put, tuple(sorted(old.keys() - new.keys())))
