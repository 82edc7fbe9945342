"""The general configuration, for installations without the platform: a TOML file, or the same as a mapping.

Every fault is found at once, each with its path. The form, with units, is in docs/operate/serve.md.
"""

import re
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Literal, Self

from pydantic import AfterValidator, Field, PlainValidator, model_validator

from elmglade import interface as face
from elmglade.directory.eject import Terms
from elmglade.directory.static import Dial, Place
from elmglade.tables import ConfigError, Fault, Share, Table, check, parse, within

MS = 1000  # us
MOST = 1e12  # of any figure without a bound of its own
WHOLE = 10**9
HEADER_NAME = re.compile(r"[A-Za-z0-9!#$%&'*+.^_`|~-]{1,64}")
BLANK = ("authorization", "proxy-authorization", "cookie", "set-cookie")
BY = ("destination", "endpoint", "zone", "tenant")  # what a budget may be bound to
HELD = frozenset({"in_flight", "trials", "connections"})  # what is held at once, and has no rate
BUDGET_NAME = re.compile(r"[A-Za-z0-9.-]{1,48}")
ADDRESS = re.compile(r"(\[[0-9a-fA-F:.]+\]|[^:\s]+):([0-9]{1,5})")

__all__ = ["CaptureTo", "ConfigError", "Fault", "General", "Lists", "load", "read", "read_endpoints"]


@dataclass(frozen=True, slots=True)
class CaptureTo:
    """Where the traffic is written as capture files, and how much of it is kept."""

    folder: Path
    most_bytes: int  # of a file
    files: int
    blank: tuple[str, ...]  # headers whose values are not written


@dataclass(frozen=True, slots=True)
class Lists:
    """Files that name endpoints besides the configuration's own, the first one before the others."""

    files: tuple[Path, ...]
    share: float  # of a list that may vanish at once
    patience: int  # us for which more is doubted
    slow_start: int  # us over which the share of a new or returned endpoint grows; 0: not at all
    eject: Terms | None  # when an endpoint that fails among others is left out; None: never


@dataclass(frozen=True, slots=True)
class Durability:
    """What the journal survives."""

    sync: str  # none, group or each
    gather: float | None  # s between the beginnings of two syncs; None: nothing is synced


@dataclass(frozen=True, slots=True)
class Fleet:
    """The link to the other senders."""

    listen: Dial
    advertise: Dial  # what the others are told
    seeds: tuple[Dial, ...]
    key_file: Path
    size: int  # the most members expected


@dataclass(frozen=True, slots=True)
class Shared:
    """A budget that all senders of the fleet spend from. Times in us."""

    name: str
    of: str  # as in BudgetTable
    by: str  # what it is bound to: destination, endpoint, zone or tenant
    value: int | str | None  # which one; None: each of them has one of its own
    whole: int | None  # None: what the list, or an answer, tells of the destination's rate
    share: float | None  # of repeats, in place of a whole: so many for each first attempt
    span: int | None  # of a rate; None: things that are held
    floor: int
    lease: int
    slack: int
    held: int  # the longest that a thing is held

    def is_each(self) -> bool:
        return self.value is None


@dataclass(frozen=True, slots=True)
class General:
    name: str
    listen: Dial
    state: Path | None
    seed: int
    disk_bytes: int
    sockets: int
    settings: face.Settings
    places: tuple[Place, ...]
    capture: CaptureTo | None = None
    lists: "Lists | None" = None
    durability: Durability = Durability("none", None)
    fleet: Fleet | None = None
    budgets: tuple[Shared, ...] = ()


def as_dial(value: object) -> Dial:
    if not isinstance(value, str):
        raise ValueError(f"must be a text, not {value!r}")
    found = ADDRESS.fullmatch(value)
    if not found or int(found[2]) > 65535:
        raise ValueError(f"must be host:port, not {value!r}")
    return found[1].strip("[]"), int(found[2])


def texts(what: str, form: re.Pattern[str]) -> PlainValidator:
    """A list of texts of that form."""

    def check(value: object) -> object:
        if not isinstance(value, tuple) or not all(isinstance(x, str) and form.fullmatch(x) for x in value):
            raise ValueError(f"must be a list of {what}")
        return value

    return PlainValidator(check)


def some(classes: dict[str, "ClassTable"]) -> dict[str, "ClassTable"]:
    if not classes:
        raise ValueError("must name at least one class")
    return classes


def us(ms: float) -> int:
    return int(ms * MS)


def number_or_each(value: object) -> int | str:
    if value == "each" or (isinstance(value, int) and not isinstance(value, bool) and 0 <= value <= WHOLE):
        return value
    raise ValueError(f'must be a number or "each", not {value!r}')


def whole_or_told(value: object) -> int | str:
    if value == "told" or (isinstance(value, int) and not isinstance(value, bool) and 1 <= value <= WHOLE):
        return value
    raise ValueError(f'must be a whole number from 1 to {WHOLE} or "told", not {value!r}')


Address = Annotated[Dial, PlainValidator(as_dial)]
Figure = Annotated[float, within(0, MOST)]
Positive = Annotated[float, within(1, MOST)]
Whole = Annotated[int, within(1, WHOLE)]


class ClassTable(Table):
    effect: Literal["safe", "keyed", "unsafe"]
    aim_ms: Positive
    deadline_ms: Positive
    window_ms: Figure = 0.0
    window_by_zone: bool = False
    in_order: bool = False
    worth: Figure = 1.0
    late_worth: Share = 0.3

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

    def told(self, name: str) -> face.MessageClass:
        return face.MessageClass(
            name, us(self.aim_ms), us(self.deadline_ms), self.worth, self.late_worth,
            face.Effect(self.effect), us(self.window_ms), self.window_by_zone, self.in_order,
        )  # fmt: skip


class EndpointTable(Table):
    id: str
    destination: Annotated[int, within(0, WHOLE)]
    dial: Address
    state: Literal["ready", "draining"] = "ready"
    zone: str = ""
    rate: Figure = 1.0
    own_limit: bool = False

    @model_validator(mode="after")
    def consistent(self) -> Self:
        if not self.id:
            raise ValueError("id: must not be empty")
        return self

    def told(self) -> Place:
        state, kind = face.EndpointState(self.state), "apart" if self.own_limit else "plain"
        return Place(face.Endpoint(self.id, self.destination, state, kind, self.zone, self.rate), self.dial)


class Endpoints(Table):
    """What names endpoints."""

    endpoints: tuple[EndpointTable, ...] = ()

    @model_validator(mode="after")
    def once(self) -> Self:
        names = [each.id for each in self.endpoints]
        wrong = [
            f"endpoints[{at}].id: {name!r} is listed twice"
            for at, name in enumerate(names)
            if name in names[:at]
        ]
        if wrong:
            raise ValueError("\n".join(wrong))
        return self


class LimitsTable(Table):
    slots: Whole = 64
    max_open: Whole = 1000
    max_attempts: Annotated[int, within(1, 100)] = 6
    max_retry_after_ms: Figure = 2000.0
    idle_ms: Positive = 10_000.0
    connect_timeout_ms: Positive = 1500.0
    disk_mb: Annotated[float, within(0.01, MOST)] = 64.0
    sockets: Annotated[int, within(64, WHOLE)] = 1024


class RulesTable(Table):
    tick_ms: Annotated[float, within(1, 100)] = 5.0
    key_quiet_ms: Figure = 100.0
    drain_grace_ms: Figure = 500.0
    cold_ms: Positive = 13_000.0
    cold_from: Annotated[float, within(0.01, 1)] = 0.2
    fall_multiple: Figure = 2.0
    over_share_worth: Share = 1.0
    rates_told: bool = False
    fleet_size: Whole = 1


class EjectTable(Table):
    failures: Annotated[int, within(1, 1000)] = 5
    base_s: Annotated[float, within(0.1, 3600)] = 30.0
    longest_s: Annotated[float, within(0.1, 86_400)] = 300.0
    share: Share = 0.5

    def told(self) -> Terms:
        return Terms(self.failures, int(self.base_s * 1e6), int(self.longest_s * 1e6), self.share)


class DirectoryTable(Table):
    files: Annotated[tuple[str, ...], texts("paths", re.compile(r"(?s).+"))] = ()
    slow_start_s: Annotated[float, within(0, 3600)] = 0.0
    share: Share = 0.5
    patience_s: Annotated[float, within(0, 86_400)] = 300.0
    eject: EjectTable | None = None

    def told(self, folder: Path) -> Lists:
        return Lists(
            tuple(folder / each for each in self.files), self.share, int(self.patience_s * 1e6),
            int(self.slow_start_s * 1e6), self.eject.told() if self.eject else None,
        )  # fmt: skip


class CaptureTable(Table):
    folder: str
    most_mb: Annotated[float, within(0.1, 4096)] = 16.0
    files: Annotated[int, within(1, 1000)] = 4
    blank: Annotated[tuple[str, ...], texts("header names", HEADER_NAME)] = BLANK

    def told(self, folder: Path) -> CaptureTo:
        return CaptureTo(folder / self.folder, int(self.most_mb * 1e6), self.files, self.blank)


class DurabilityTable(Table):
    sync: Literal["none", "group", "each"] = "none"
    group_ms: Annotated[float, within(0, 1000)] = 5.0

    def told(self) -> Durability:
        gather = {"none": None, "group": self.group_ms / 1000, "each": 0.0}[self.sync]
        return Durability(self.sync, gather)


class FleetTable(Table):
    listen: Address
    key_file: str
    advertise: Address | None = None
    seeds: tuple[Address, ...] = ()
    size: Annotated[int, within(1, 1000)] = 8

    def told(self, folder: Path) -> Fleet:
        return Fleet(
            self.listen, self.advertise or self.listen, self.seeds, folder / self.key_file, self.size
        )


class BudgetTable(Table):
    name: str
    of: Literal["calls", "in_flight", "trials", "repeats", "connections", "handshakes", "tenant"]
    destination: Annotated[int | str, PlainValidator(number_or_each)] | None = None
    endpoint: str = ""
    zone: str = ""
    tenant: str = ""
    whole: Annotated[int | str, PlainValidator(whole_or_told)] | None = None
    share: Annotated[float, within(0.001, 100)] | None = None
    per_ms: Annotated[float, within(10, 3_600_000)] | None = None
    floor: Annotated[int, within(0, WHOLE)] = 0
    lease_ms: Annotated[float, within(200, 60_000)] = 2000.0
    slack_ms: Annotated[float, within(0, 1000)] = 10.0
    held_ms: Annotated[float, within(100, 600_000)] = 5000.0

    @model_validator(mode="after")
    def consistent(self) -> Self:
        wrong = []
        if not BUDGET_NAME.fullmatch(self.name):
            wrong.append("name: must be letters, digits, dots and dashes, 48 of them at the most")
        if (self.of in HELD) is not (self.per_ms is None):
            wrong.append("per_ms: must be told for what has a rate, and not for what is held at once")
        bound = [by for by in BY if getattr(self, by) not in ("", None)]
        if len(bound) != 1 or (self.of == "tenant") is not (bound == ["tenant"]):
            of = "tenant" if self.of == "tenant" else "destination, endpoint or zone"
            wrong.append(f'{bound[-1] if bound else "destination"}: must name one {of}, or "each"')
        if (self.whole is None) is (self.share is None) or (self.share and self.of != "repeats"):
            wrong.append("whole: must be told, or for repeats a share in its place")
        if self.whole == "told" and (self.of != "calls" or bound != ["destination"]):
            wrong.append("whole: can be told for the calls of a destination alone")
        if wrong:
            raise ValueError("\n".join(wrong))
        return self

    def place(self) -> tuple[str, str, object]:
        (by,) = (by for by in BY if getattr(self, by) not in ("", None))
        return self.of, by, getattr(self, by)

    def told(self) -> Shared:
        _, by, value = self.place()
        return Shared(
            self.name, self.of, by, None if value == "each" else value,  # type: ignore[arg-type]
            self.whole if isinstance(self.whole, int) else None, self.share,
            None if self.per_ms is None else us(self.per_ms), self.floor, us(self.lease_ms),
            us(self.slack_ms), us(self.held_ms),
        )  # fmt: skip


class GeneralTable(Endpoints):
    name: str = "elmglade"
    listen: Address = "127.0.0.1:0"  # type: ignore[assignment]  # read as what a file says
    state: str = ""
    seed: Annotated[int, within(0, 2**63)] = 0
    zone: str = ""
    classes: Annotated[dict[str, ClassTable], AfterValidator(some)] = Field(default_factory=dict)
    limits: LimitsTable = LimitsTable()
    rules: RulesTable = RulesTable()
    tenants: dict[str, Figure] = Field(default_factory=dict)
    directory: DirectoryTable | None = None
    capture: CaptureTable | None = None
    durability: DurabilityTable = DurabilityTable()
    fleet: FleetTable | None = None
    budgets: tuple[BudgetTable, ...] = ()

    @model_validator(mode="after")
    def shared(self) -> Self:
        wrong, names, places = [], set[str](), set[tuple[str, str, object]]()
        if self.budgets and not self.fleet:
            wrong.append("budgets: need a [fleet] to be shared in")
        for at, each in enumerate(self.budgets):
            if each.name in names:
                wrong.append(f"budgets[{at}].name: {each.name!r} is there twice")
            if each.place() in places:
                wrong.append(f"budgets[{at}].of: two budgets over one thing")
            size = self.fleet.size if self.fleet else 1
            if isinstance(each.whole, int) and each.floor * size > each.whole:
                wrong.append(f"budgets[{at}].floor: {each.floor} for each of {size} is over the whole")
            names.add(each.name)
            places.add(each.place())
        if wrong:
            raise ValueError("\n".join(wrong))
        return self

    def settings(self) -> face.Settings:
        limits, rules = self.limits, self.rules
        return face.Settings(
            classes=tuple(each.told(name) for name, each in self.classes.items()),
            kinds=(("plain", face.Kind()), ("apart", face.Kind(apart=True))),
            slots=limits.slots,
            max_open=limits.max_open,
            max_attempts=limits.max_attempts,
            max_retry_after=us(limits.max_retry_after_ms),
            conn_idle=us(limits.idle_ms),
            connect_timeout=us(limits.connect_timeout_ms),
            zone=self.zone,
            tick=us(rules.tick_ms),
            key_quiet=us(rules.key_quiet_ms),
            drain_grace=us(rules.drain_grace_ms),
            cold=us(rules.cold_ms),
            cold_from=rules.cold_from,
            fall_multiple=rules.fall_multiple,
            over_share_worth=rules.over_share_worth,
            rates_told=rules.rates_told,
            fleet_size=rules.fleet_size,
            tenants=tuple(self.tenants.items()),
            must_ask=True,
            ends_answered=True,
        )


def read(told: Mapping[str, Any], folder: Path = Path()) -> General:
    """The configuration in `told`, paths in it relative to `folder`. Raises ConfigError with all faults."""
    table = check(GeneralTable, told)
    try:
        settings = table.settings()
    except ValueError as error:
        raise ConfigError([Fault("rules", str(error))]) from None
    return General(
        table.name,
        table.listen,
        folder / table.state if table.state else None,
        table.seed,
        int(table.limits.disk_mb * 1e6),
        table.limits.sockets,
        settings,
        tuple(each.told() for each in table.endpoints),
        table.capture.told(folder) if table.capture else None,
        table.directory.told(folder) if table.directory else None,
        table.durability.told(),
        table.fleet.told(folder) if table.fleet else None,
        tuple(each.told() for each in table.budgets),
    )


def read_endpoints(path: Path) -> list[Place]:
    """The endpoints in a TOML file that holds nothing else. Raises ConfigError, also where it is no TOML,
    and OSError."""
    return [each.told() for each in check(Endpoints, parse(path)).endpoints]


def load(path: Path) -> General:
    """The configuration in a TOML file. Raises ConfigError, also where the file is no TOML, and OSError."""
    return read(parse(path), path.parent)
