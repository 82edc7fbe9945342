"""The tables of the general configuration; docs/operate/serve.md describes their format, with units.

Each table declares the settings of the file, and builds the values of sender_config.py from them.
"""

import re
from pathlib import Path
from typing import Annotated, Literal, Self

from pydantic import AfterValidator, Field, PlainValidator, model_validator

from message_sender.configuration.resources import (
    INTEGER_LIMIT,
    NUMBER_LIMIT,
    Address,
    AtLeastOne,
    BudgetTable,
    Endpoints,
    NonNegative,
    PositiveInt,
    find_budget_faults,
    find_node_faults,
    ms_to_us,
)
from message_sender.configuration.sender_config import (
    CaptureSettings,
    ControlNode,
    ControlPlane,
    Durability,
    FleetConfig,
    ListFiles,
)
from message_sender.configuration.tables import Fraction, Table, number_between
from message_sender.discovery.outlier import EjectionPolicy
from message_sender.policy.model import DestinationKind, Effect, MessageClass, Settings

DEFAULT_NAME = "elmglade"  # the name of a sender whose file sets none; the other senders see this name
HEADER_NAME = re.compile(r"[A-Za-z0-9!#$%&'*+.^_`|~-]{1,64}")
PATH = re.compile(r"(?s).+")
CONTROL_NAME_LENGTH_LIMIT = 64  # characters; the same limit as in message_sender/control/messages.py
CONTROL_NAME = re.compile(r"[A-Za-z0-9.-]{1,64}")
#: The default list of headers whose values are not captured.
BLANKED_HEADERS = ("authorization", "proxy-authorization", "cookie", "set-cookie")
US_PER_S = 1e6
BYTES_PER_MB = 1e6


def matching_strings(noun: str, pattern: re.Pattern[str]) -> PlainValidator:
    """Returns a validator for lists of strings that match the pattern.

    Args:
        noun: The name of the strings in a fault's text.
        pattern: The pattern that each string must match completely.
    """

    def check(value: object) -> object:
        if not isinstance(value, tuple) or not all(
            isinstance(item, str) and pattern.fullmatch(item) for item in value
        ):
            raise ValueError(f"must be a list of {noun}")
        return value

    return PlainValidator(check)


def check_control_name(value: str) -> str:
    """Validates the name of a control node."""
    if not CONTROL_NAME.fullmatch(value):
        raise ValueError(
            f"must be 1 to {CONTROL_NAME_LENGTH_LIMIT} letters, digits, dots and dashes, not {value!r}"
        )
    return value


def require_class(classes: dict[str, "ClassTable"]) -> dict[str, "ClassTable"]:
    """Validates that at least one class of messages is defined."""
    if not classes:
        raise ValueError("must define at least one class")
    return classes


class ClassTable(Table):
    """`[classes.NAME]`: a class of messages."""

    effect: Literal["safe", "keyed", "unsafe"]
    aim_ms: AtLeastOne
    deadline_ms: AtLeastOne
    window_ms: NonNegative = 0.0
    window_by_zone: bool = False
    in_order: bool = False
    worth: NonNegative = 1.0
    late_worth: Fraction = 0.3

    @model_validator(mode="after")
    def check_consistency(self) -> Self:
        """Checks that the durations are consistent with each other and with the effect."""
        faults = []
        if self.aim_ms > self.deadline_ms:
            faults.append(f"aim_ms: must be at most deadline_ms ({self.deadline_ms:g}), not {self.aim_ms:g}")
        if self.effect == "keyed" and self.window_ms <= 0:
            reason = "the time for which repeats are dropped"
            faults.append(f"window_ms: must be above 0 for a keyed class ({reason}), not {self.window_ms:g}")
        if faults:
            raise ValueError("\n".join(faults))
        return self

    def build(self, name: str) -> MessageClass:
        """Returns the message class under the given name."""
        return MessageClass(
            name=name,
            latency_objective=ms_to_us(self.aim_ms),
            deadline=ms_to_us(self.deadline_ms),
            priority_weight=self.worth,
            late_priority_weight=self.late_worth,
            effect=Effect(self.effect),
            idempotency_window=ms_to_us(self.window_ms),
            is_window_zonal=self.window_by_zone,
            is_ordered=self.in_order,
        )


class LimitsTable(Table):
    """`[limits]`: connections, attempts and sizes."""

    slots: PositiveInt = 64
    max_open: PositiveInt = 1000
    max_attempts: Annotated[int, number_between(1, 100)] = 6
    max_retry_after_ms: NonNegative = 2000.0
    idle_ms: AtLeastOne = 10_000.0
    connect_timeout_ms: AtLeastOne = 1500.0
    disk_mb: Annotated[float, number_between(0.01, NUMBER_LIMIT)] = 64.0
    sockets: Annotated[int, number_between(64, INTEGER_LIMIT)] = 1024


class RulesTable(Table):
    """`[rules]`: durations and factors of the delivery policy."""

    tick_ms: Annotated[float, number_between(1, 100)] = 5.0
    key_quiet_ms: NonNegative = 100.0
    drain_grace_ms: NonNegative = 500.0
    cold_ms: AtLeastOne = 13_000.0
    cold_from: Annotated[float, number_between(0.01, 1)] = 0.2
    fall_multiple: NonNegative = 2.0
    over_share_worth: Fraction = 1.0
    rates_told: bool = False
    fleet_size: PositiveInt = 1


class EjectTable(Table):
    """`[directory.eject]`: ejection of outliers, endpoints that fail while others of the destination work."""

    failures: Annotated[int, number_between(1, 1000)] = 5
    base_s: Annotated[float, number_between(0.1, 3600)] = 30.0
    longest_s: Annotated[float, number_between(0.1, 86_400)] = 300.0
    share: Fraction = 0.5

    def build(self) -> EjectionPolicy:
        """Returns the ejection policy that the table describes."""
        base_us, longest_us = int(self.base_s * US_PER_S), int(self.longest_s * US_PER_S)
        return EjectionPolicy(self.failures, base_us, longest_us, self.share)


class DirectoryTable(Table):
    """`[directory]`: files that list endpoints."""

    files: Annotated[tuple[str, ...], matching_strings("paths", PATH)] = ()
    slow_start_s: Annotated[float, number_between(0, 3600)] = 0.0
    share: Fraction = 0.5
    patience_s: Annotated[float, number_between(0, 86_400)] = 300.0
    eject: EjectTable | None = None

    def build(self, folder: Path) -> ListFiles:
        """Returns the files and the rules for reading them; paths are relative to `folder`."""
        return ListFiles(
            files=tuple(folder / file for file in self.files),
            vanished_share_limit=self.share,
            vanished_patience_us=int(self.patience_s * US_PER_S),
            slow_start_us=int(self.slow_start_s * US_PER_S),
            ejection=self.eject.build() if self.eject else None,
        )


class CaptureTable(Table):
    """`[capture]`: recording of the traffic in capture files."""

    folder: str
    most_mb: Annotated[float, number_between(0.1, 4096)] = 16.0
    files: Annotated[int, number_between(1, 1000)] = 4
    blank: Annotated[tuple[str, ...], matching_strings("header names", HEADER_NAME)] = BLANKED_HEADERS

    def build(self, folder: Path) -> CaptureSettings:
        """Returns the capture settings; the path is relative to `folder`."""
        file_bytes_limit = int(self.most_mb * BYTES_PER_MB)
        return CaptureSettings(folder / self.folder, file_bytes_limit, self.files, self.blank)


class DurabilityTable(Table):
    """`[durability]`: how far the journal survives a crash of the machine."""

    sync: Literal["none", "group", "each"] = "none"
    group_ms: Annotated[float, number_between(0, 1000)] = 5.0

    def build(self) -> Durability:
        """Returns the mode and interval of the journal's syncs."""
        intervals_s = {"none": None, "group": self.group_ms / 1000, "each": 0.0}
        return Durability(self.sync, intervals_s[self.sync])


class FleetTable(Table):
    """`[fleet]`: the link to the other senders."""

    listen: Address
    key_file: str
    advertise: Address | None = None
    seeds: tuple[Address, ...] = ()
    size: Annotated[int, number_between(1, 1000)] = 8

    def build(self, folder: Path) -> FleetConfig:
        """Returns the link's configuration; the path is relative to `folder`."""
        advertise = self.advertise or self.listen
        return FleetConfig(self.listen, advertise, self.seeds, folder / self.key_file, self.size)


class ControlNodeTable(Table):
    """An entry of `[[control.nodes]]`."""

    name: Annotated[str, AfterValidator(check_control_name)]
    address: Address
    region: str = ""

    def build(self) -> ControlNode:
        """Returns the control node that the table describes."""
        return ControlNode(self.name, self.address, self.region)


class ControlTable(Table):
    """`[control]`: the control plane from which a sender receives endpoints and budgets."""

    nodes: tuple[ControlNodeTable, ...]
    key_file: str
    region: str = ""
    listen: Address = "0.0.0.0:0"  # type: ignore[assignment]  # validated as a file's value

    @model_validator(mode="after")
    def check_nodes(self) -> Self:
        """Checks that there are nodes, and that their names and addresses are unique."""
        faults = find_node_faults([(node.name, node.address) for node in self.nodes])
        if not self.nodes:
            faults.append("nodes: must list at least one control node")
        if faults:
            raise ValueError("\n".join(faults))
        return self

    def build(self, folder: Path) -> ControlPlane:
        """Returns the control plane's configuration; the path is relative to `folder`."""
        nodes = tuple(node.build() for node in self.nodes)
        return ControlPlane(nodes, folder / self.key_file, self.region, self.listen)


class GeneralTable(Endpoints):
    """The root table of the general configuration file."""

    name: str = DEFAULT_NAME
    listen: Address = "127.0.0.1:0"  # type: ignore[assignment]  # validated as a file's value
    state: str = ""
    seed: Annotated[int, number_between(0, 2**63)] = 0
    zone: str = ""
    classes: Annotated[dict[str, ClassTable], AfterValidator(require_class)] = Field(default_factory=dict)
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
    def check_consistency(self) -> Self:
        """Checks the budgets against the fleet, and the sender's name against the control plane."""
        faults = []
        if self.budgets and not self.fleet:
            faults.append("budgets: require a [fleet] table")
        fleet_size = self.fleet.size if self.fleet else 1
        for fault in find_budget_faults(self.budgets, fleet_size):
            faults.append(f"budgets[{fault.index}].{fault.field}: {fault.text}")
        if self.control and len(self.name) > CONTROL_NAME_LENGTH_LIMIT:
            limit = CONTROL_NAME_LENGTH_LIMIT
            faults.append(f"name: must have at most {limit} characters with [control], not {len(self.name)}")
        if self.control and self.name in {node.name for node in self.control.nodes}:
            reason = "that node would treat its own disk as outdated"
            faults.append(f"name: must differ from the names of control nodes, not {self.name!r}: {reason}")
        if faults:
            raise ValueError("\n".join(faults))
        return self

    def settings(self) -> Settings:
        """Returns the settings of the policy.

        Raises:
            ValueError: The policy rejects the settings.
        """
        limits, rules = self.limits, self.rules
        return Settings(
            classes=tuple(table.build(name) for name, table in self.classes.items()),
            kinds=(("plain", DestinationKind()), ("apart", DestinationKind(has_separate_routes=True))),
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
