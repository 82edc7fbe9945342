"""The general configuration, for installations without the platform: a TOML file, or the same as a mapping.

Every fault is found at once, each with its path. The form, with units, is in docs/operate/serve.md.
"""

import re
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Literal, Self

from pydantic import AfterValidator, Field, PlainValidator, model_validator

from message_sender.configuration.resources import (
    FIGURE_LIMIT,
    INTEGER_LIMIT,
    Address,
    BudgetTable,
    Endpoints,
    EndpointTable,
    NonNegative,
    Positive,
    PositiveInt,
    SharedBudget,
    find_budget_faults,
    find_node_faults,
    ms_to_us,
)
from message_sender.configuration.tables import (
    ConfigError,
    ConfigFault,
    Fraction,
    Table,
    number_between,
    parse,
    validate_table,
)
from message_sender.discovery.outlier import EjectionPolicy
from message_sender.discovery.static import Dial, StaticEndpoint
from message_sender.policy.model import DestinationKind, Effect, MessageClass, Settings

DEFAULT_NAME = "elmglade"  # of a sender whose file has none; its peers know it by that
HEADER_NAME = re.compile(r"[A-Za-z0-9!#$%&'*+.^_`|~-]{1,64}")
CONTROL_NAME_LENGTH_LIMIT = 64  # characters, as message_sender/control/messages.py has it
CONTROL_NAME = re.compile(r"[A-Za-z0-9.-]{1,64}")
BLANK = ("authorization", "proxy-authorization", "cookie", "set-cookie")

__all__ = [
    "BudgetTable",
    "CaptureSettings",
    "ConfigError",
    "ConfigFault",
    "ControlNode",
    "ControlPlane",
    "EndpointTable",
    "ListFiles",
    "SenderConfig",
    "SharedBudget",
    "load",
    "read",
    "read_endpoints",
]


@dataclass(frozen=True, slots=True)
class CaptureSettings:
    """Where the traffic is written as capture files, and how much of it is kept."""

    folder: Path
    file_bytes_limit: int  # of a file
    files_limit: int
    blanked_headers: tuple[str, ...]  # headers whose values are not written


@dataclass(frozen=True, slots=True)
class ListFiles:
    """Files that name endpoints besides the configuration's own, the first one before the others."""

    files: tuple[Path, ...]
    vanished_share_limit: float  # of a list that may vanish at once
    vanished_patience_us: int  # us for which more is doubted
    slow_start_us: int  # us over which the share of a new or returned endpoint grows; 0: not at all
    ejection: EjectionPolicy | None  # when an endpoint that fails among others is left out; None: never


@dataclass(frozen=True, slots=True)
class Durability:
    """What the journal survives."""

    sync: str  # none, group or each
    sync_interval_s: float | None  # s between the beginnings of two syncs; None: nothing is synced


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """The link to the other senders."""

    listen: Dial
    advertise: Dial  # what the others are told
    seeds: tuple[Dial, ...]
    key_file: Path
    size: int  # the most members expected


@dataclass(frozen=True, slots=True)
class ControlNode:
    """A control node that a sender may watch."""

    name: str
    address: Dial
    region: str


@dataclass(frozen=True, slots=True)
class ControlPlane:
    """Where a sender gets endpoints and budgets from, in place of its own file's."""

    nodes: tuple[ControlNode, ...]
    key_file: Path
    region: str  # the sender's own: nodes of it are watched before the others
    listen: Dial  # UDP address that is bound


@dataclass(frozen=True, slots=True)
class SenderConfig:
    name: str
    listen: Dial
    state: Path | None
    seed: int
    disk_bytes: int
    sockets: int
    settings: Settings
    endpoints: tuple[StaticEndpoint, ...]
    capture: CaptureSettings | None = None
    lists: "ListFiles | None" = None
    durability: Durability = Durability("none", None)
    fleet: FleetConfig | None = None
    budgets: tuple[SharedBudget, ...] = ()
    control: ControlPlane | None = None


def matching_strings(what: str, form: re.Pattern[str]) -> PlainValidator:
    """A list of texts of that form."""

    def check(value: object) -> object:
        if not isinstance(value, tuple) or not all(isinstance(x, str) and form.fullmatch(x) for x in value):
            raise ValueError(f"must be a list of {what}")
        return value

    return PlainValidator(check)


def check_control_name(value: str) -> str:
    if not CONTROL_NAME.fullmatch(value):
        raise ValueError(f"must be letters, digits, dots and dashes, {CONTROL_NAME_LENGTH_LIMIT} at the most")
    return value


def at_least_one(classes: dict[str, "ClassTable"]) -> dict[str, "ClassTable"]:
    if not classes:
        raise ValueError("must name at least one class")
    return classes


class ClassTable(Table):
    effect: Literal["safe", "keyed", "unsafe"]
    aim_ms: Positive
    deadline_ms: Positive
    window_ms: NonNegative = 0.0
    window_by_zone: bool = False
    in_order: bool = False
    worth: NonNegative = 1.0
    late_worth: Fraction = 0.3

    @model_validator(mode="after")
    def consistent(self) -> Self:
        wrong = []
        if self.aim_ms > self.deadline_ms:
            wrong.append("aim_ms: must be no more than deadline_ms")
        if self.effect == "keyed" and self.window_ms <= 0:
            wrong.append("window_ms: must be above 0 for a keyed class: how long repeats are dropped")
        if wrong:
            raise ValueError("\n".join(wrong))
        return self

    def build(self, name: str) -> MessageClass:
        return MessageClass(
            name, ms_to_us(self.aim_ms), ms_to_us(self.deadline_ms), self.worth, self.late_worth,
            Effect(self.effect), ms_to_us(self.window_ms), self.window_by_zone, self.in_order,
        )  # fmt: skip


class LimitsTable(Table):
    slots: PositiveInt = 64
    max_open: PositiveInt = 1000
    max_attempts: Annotated[int, number_between(1, 100)] = 6
    max_retry_after_ms: NonNegative = 2000.0
    idle_ms: Positive = 10_000.0
    connect_timeout_ms: Positive = 1500.0
    disk_mb: Annotated[float, number_between(0.01, FIGURE_LIMIT)] = 64.0
    sockets: Annotated[int, number_between(64, INTEGER_LIMIT)] = 1024


class RulesTable(Table):
    tick_ms: Annotated[float, number_between(1, 100)] = 5.0
    key_quiet_ms: NonNegative = 100.0
    drain_grace_ms: NonNegative = 500.0
    cold_ms: Positive = 13_000.0
    cold_from: Annotated[float, number_between(0.01, 1)] = 0.2
    fall_multiple: NonNegative = 2.0
    over_share_worth: Fraction = 1.0
    rates_told: bool = False
    fleet_size: PositiveInt = 1


class EjectTable(Table):
    failures: Annotated[int, number_between(1, 1000)] = 5
    base_s: Annotated[float, number_between(0.1, 3600)] = 30.0
    longest_s: Annotated[float, number_between(0.1, 86_400)] = 300.0
    share: Fraction = 0.5

    def build(self) -> EjectionPolicy:
        return EjectionPolicy(self.failures, int(self.base_s * 1e6), int(self.longest_s * 1e6), self.share)


class DirectoryTable(Table):
    files: Annotated[tuple[str, ...], matching_strings("paths", re.compile(r"(?s).+"))] = ()
    slow_start_s: Annotated[float, number_between(0, 3600)] = 0.0
    share: Fraction = 0.5
    patience_s: Annotated[float, number_between(0, 86_400)] = 300.0
    eject: EjectTable | None = None

    def build(self, folder: Path) -> ListFiles:
        return ListFiles(
            tuple(folder / each for each in self.files), self.share, int(self.patience_s * 1e6),
            int(self.slow_start_s * 1e6), self.eject.build() if self.eject else None,
        )  # fmt: skip


class CaptureTable(Table):
    folder: str
    most_mb: Annotated[float, number_between(0.1, 4096)] = 16.0
    files: Annotated[int, number_between(1, 1000)] = 4
    blank: Annotated[tuple[str, ...], matching_strings("header names", HEADER_NAME)] = BLANK

    def build(self, folder: Path) -> CaptureSettings:
        return CaptureSettings(folder / self.folder, int(self.most_mb * 1e6), self.files, self.blank)


class DurabilityTable(Table):
    sync: Literal["none", "group", "each"] = "none"
    group_ms: Annotated[float, number_between(0, 1000)] = 5.0

    def build(self) -> Durability:
        gather = {"none": None, "group": self.group_ms / 1000, "each": 0.0}[self.sync]
        return Durability(self.sync, gather)


class FleetTable(Table):
    listen: Address
    key_file: str
    advertise: Address | None = None
    seeds: tuple[Address, ...] = ()
    size: Annotated[int, number_between(1, 1000)] = 8

    def build(self, folder: Path) -> FleetConfig:
        return FleetConfig(
            self.listen, self.advertise or self.listen, self.seeds, folder / self.key_file, self.size
        )


class ControlNodeTable(Table):
    name: Annotated[str, AfterValidator(check_control_name)]
    address: Address
    region: str = ""

    def build(self) -> ControlNode:
        return ControlNode(self.name, self.address, self.region)


class ControlTable(Table):
    nodes: tuple[ControlNodeTable, ...]
    key_file: str
    region: str = ""
    listen: Address = "0.0.0.0:0"  # type: ignore[assignment]  # read as what a file says

    @model_validator(mode="after")
    def consistent(self) -> Self:
        wrong = find_node_faults([(each.name, each.address) for each in self.nodes])
        if not self.nodes:
            wrong.append("nodes: must name at least one control node")
        if wrong:
            raise ValueError("\n".join(wrong))
        return self

    def build(self, folder: Path) -> ControlPlane:
        nodes = tuple(each.build() for each in self.nodes)
        return ControlPlane(nodes, folder / self.key_file, self.region, self.listen)


class GeneralTable(Endpoints):
    name: str = DEFAULT_NAME
    listen: Address = "127.0.0.1:0"  # type: ignore[assignment]  # read as what a file says
    state: str = ""
    seed: Annotated[int, number_between(0, 2**63)] = 0
    zone: str = ""
    classes: Annotated[dict[str, ClassTable], AfterValidator(at_least_one)] = Field(default_factory=dict)
    limits: LimitsTable = LimitsTable()
    rules: RulesTable = RulesTable()
    tenants: dict[str, NonNegative] = Field(default_factory=dict)
    directory: DirectoryTable | None = None
    capture: CaptureTable | None = None
    durability: DurabilityTable = DurabilityTable()
    fleet: FleetTable | None = None
    budgets: tuple[BudgetTable, ...] = ()
    control: ControlTable | None = None

    @model_validator(mode="after")
    def shared(self) -> Self:
        size = self.fleet.size if self.fleet else 1
        wrong = ["budgets: need a [fleet] to be shared in"] if self.budgets and not self.fleet else []
        wrong += [f"budgets[{x.index}].{x.field}: {x.text}" for x in find_budget_faults(self.budgets, size)]
        if self.control and len(self.name) > CONTROL_NAME_LENGTH_LIMIT:
            wrong.append(f"name: must be {CONTROL_NAME_LENGTH_LIMIT} characters at the most with [control]")
        if self.control and self.name in {each.name for each in self.control.nodes}:
            wrong.append(f"name: {self.name!r} is a control node's, which would take this for its old disk")
        if wrong:
            raise ValueError("\n".join(wrong))
        return self

    def settings(self) -> Settings:
        limits, rules = self.limits, self.rules
        return Settings(
            classes=tuple(each.build(name) for name, each in self.classes.items()),
            kinds=(("plain", DestinationKind()), ("apart", DestinationKind(apart=True))),
            slots=limits.slots,
            max_open=limits.max_open,
            max_attempts=limits.max_attempts,
            max_retry_after=ms_to_us(limits.max_retry_after_ms),
            conn_idle=ms_to_us(limits.idle_ms),
            connect_timeout=ms_to_us(limits.connect_timeout_ms),
            zone=self.zone,
            tick=ms_to_us(rules.tick_ms),
            key_pause=ms_to_us(rules.key_quiet_ms),
            drain_grace=ms_to_us(rules.drain_grace_ms),
            slow_start=ms_to_us(rules.cold_ms),
            slow_start_from=rules.cold_from,
            fall_multiple=rules.fall_multiple,
            over_quota_weight=rules.over_share_worth,
            announces_rates=rules.rates_told,
            fleet_size=rules.fleet_size,
            tenants=tuple(self.tenants.items()),
            must_poll=True,
            acknowledges_completions=True,
        )


def read(told: Mapping[str, Any], folder: Path = Path()) -> SenderConfig:
    """The configuration in `told`, paths in it relative to `folder`. Raises ConfigError with all faults."""
    table = validate_table(GeneralTable, told)
    try:
        settings = table.settings()
    except ValueError as error:
        raise ConfigError([ConfigFault("rules", str(error))]) from None
    return SenderConfig(
        table.name,
        table.listen,
        folder / table.state if table.state else None,
        table.seed,
        int(table.limits.disk_mb * 1e6),
        table.limits.sockets,
        settings,
        tuple(each.build() for each in table.endpoints),
        table.capture.build(folder) if table.capture else None,
        table.directory.build(folder) if table.directory else None,
        table.durability.build(),
        table.fleet.build(folder) if table.fleet else None,
        tuple(each.build() for each in table.budgets),
        table.control.build(folder) if table.control else None,
    )


def read_endpoints(path: Path) -> list[StaticEndpoint]:
    """The endpoints in a TOML file that holds nothing else. Raises ConfigError, also where it is no TOML,
    and OSError."""
    return [each.build() for each in validate_table(Endpoints, parse(path)).endpoints]


def load(path: Path) -> SenderConfig:
    """The configuration in a TOML file. Raises ConfigError, also where the file is no TOML, and OSError."""
    return read(parse(path), path.parent)
