"""Scenario files in TOML: the load, the fleet, the destinations, and the faults of an emulated run.

Times are in seconds of the emulated clock, rates in messages or calls a second; the units of other values
are in their names. All faults of a file are reported together, each with its path. The format is described
in docs/operate/emulator.md.
"""

from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any, Literal, Self

from pydantic import Field, model_validator

from message_sender.configuration.tables import (
    ConfigError,
    ConfigFault,
    Fraction,
    Table,
    number_between,
    parse,
    validate_table,
)
from message_sender.emulator.receiver import Limit, Phase, Service, Spread, Terms, Trouble
from message_sender.policy.model import DestinationKind, Effect, MessageClass, Settings

Seconds = Annotated[float, number_between(0, 2_592_000)]
Positive = Annotated[float, number_between(1e-6, 2_592_000)]
Rate = Annotated[float, number_between(1e-9, 100_000)]
Count = Annotated[int, number_between(1, 100_000)]
SECOND_US = 1_000_000


class ClassTable(Table):
    """A message class."""

    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    aim_s: Positive = 2.0  # the latency objective: a message delivered within it earns its full weight
    deadline_s: Positive = 8.0
    window_s: Seconds = 0.0  # the idempotency window of a keyed class
    in_order: bool = False  # messages with the same ordering key are sent one at a time, in order
    share: Positive = 1.0  # of the messages, relative to the shares of the other classes
    worth: Annotated[float, number_between(0, 1e12)] = 1.0  # the weight of a message
    late_worth: Fraction = 0.3  # the fraction of the weight that is left at the deadline

    @model_validator(mode="after")
    def consistent(self) -> Self:
        """Rejects values that contradict each other.

        Raises:
            ValueError: The text names the field.
        """
        if self.aim_s > self.deadline_s:
            raise ValueError(f"aim_s: must be at most deadline_s ({self.deadline_s:g}), not {self.aim_s:g}")
        if self.effect == "keyed" and not self.window_s:
            raise ValueError(
                "window_s: must be above 0 for a keyed class (the time for which repeats are dropped), not 0"
            )
        return self


class TenantTable(Table):
    """A tenant."""

    share: Positive = 1.0  # of the messages, relative to the shares of the other tenants
    quota: Annotated[float, number_between(0, 1e12)] = 0.0  # messages a second, over all senders; 0: none


class Burst(Table):
    """A period in which the message rate is `times` the usual rate.

    It applies to one tenant, to one destination, or to all messages if neither is given.
    """

    at: Seconds
    until: Positive
    times: Rate
    tenant: str = ""
    destination: int | None = None


class Clients(Table):
    """The clients that submit messages."""

    rate: Rate = 50.0  # messages a second
    bursts: tuple[Burst, ...] = ()
    patience_s: Positive = 1.0  # how long a client waits for a sender's answer
    retries: Annotated[int, number_between(0, 100)] = 2  # after a rejection or a missing answer
    honours: Literal["told", "ignores"] = "told"  # told: clients wait for the Retry-After of an answer
    backoff_s: Seconds = 0.5  # without a Retry-After, or where it is ignored; doubles with each retry
    keys: Annotated[int, number_between(1, 1_000_000)] = 50  # ordering keys of each destination
    zipf: Annotated[float, number_between(0, 5)] = 0.8  # exponent of the destinations' popularity; 0: equal


class Fleet(Table):
    """The senders and their settings."""

    senders: Annotated[int, number_between(1, 64)] = 1
    zones: tuple[str, ...] = ("a",)  # assigned to the senders round robin
    slots: Count = 40  # maximum number of calls in flight, of each sender
    max_open: Count = 400  # maximum number of messages that a sender has accepted and not completed
    max_attempts: Annotated[int, number_between(1, 100)] = 6  # of one message
    disk_mb: Positive = 3.0  # disk space of each sender's journal
    told_rates: bool = False  # the endpoint list contains the rate that each destination accepts
    key_rest_s: Seconds = 0.1  # pause of a key after an attempt with an unknown result
    grace_s: Seconds = 0.5  # how long after the announcement of a drain a new call is tolerated
    budget_span_s: Seconds = 0.0  # window of the budgets that all senders share; 0: no budgets
    link_loss: Annotated[float, number_between(0, 1)] = 0.0  # share of the messages lost between senders
    max_retry_after_s: Seconds = 2.0  # longest Retry-After that a sender suggests


class Network(Table):
    """One-way network delays. `jitter` is the largest extra delay, as a share of the delay."""

    same_zone_ms: Seconds = 1.0
    cross_zone_ms: Seconds = 8.0
    jitter: Annotated[float, number_between(0, 100)] = 0.3


class ServiceTable(Table):
    """The distribution of a destination's service times."""

    mean_ms: Positive = 60.0
    spread: Literal["constant", "exponential", "lognormal", "pareto"] = "lognormal"
    cv: Positive = 0.5  # lognormal: the coefficient of variation; pareto: the index

    @model_validator(mode="after")
    def consistent(self) -> Self:
        """Rejects values that contradict each other.

        Raises:
            ValueError: The text names the field.
        """
        if self.spread == "pareto" and self.cv <= 1:
            raise ValueError(
                "cv: must be above 1 for pareto, where it is the index: the mean is infinite otherwise"
            )
        return self


class LimitTable(Table):
    """The rate limit of a destination; receiver.Limit describes the values."""

    rate: Rate
    span_s: Seconds = 0.0
    burst: Positive = 1.0
    refused_count: bool = False
    carried: Fraction = 0.0
    tells: Fraction = 1.0


class Destinations(Table):
    """A group of `count` identical destinations; receiver.Terms describes the values of their capacity."""

    count: Count = 1
    endpoints: Annotated[int, number_between(1, 64)] = 1
    zones: tuple[str, ...] = ("a",)  # assigned to the endpoints round robin
    apart: bool = False  # each endpoint is a separate route, with its own limit and outages
    popularity: Annotated[float, number_between(0, 1e12)] = (
        1.0  # of each destination, before the clients' zipf is applied; 0: it gets no messages
    )
    service: ServiceTable = ServiceTable()
    workers: Count = 4
    queue: Annotated[int, number_between(0, 100_000)] = 16
    limit: LimitTable | None = None
    cold_s: Seconds = 10.0
    cold_from: Annotated[float, number_between(0.01, 1)] = 0.2
    push: Positive = 2.0
    push_s: Positive = 1.5
    fallen_s: Seconds = 0.0

    def terms(self) -> Terms:
        """Returns the parameters of the group's receivers."""
        service = Service(self.service.mean_ms / 1e3, Spread(self.service.spread), self.service.cv)
        limit = Limit(**self.limit.model_dump()) if self.limit else None
        return Terms(
            service, self.workers, self.queue, limit, self.cold_s, self.cold_from, self.push, self.push_s,
            self.fallen_s,
        )  # fmt: skip


class TroubleTable(Table):
    """A fault of destinations from `at` until `until`; receiver.Trouble describes its kinds and sizes."""

    at: Seconds
    until: Positive
    what: Literal[
        "shut", "silent", "hangs", "errors", "full", "slow", "degrades", "spoilt", "resets", "limit"
    ]
    size: Annotated[float, number_between(0, 1e12)] = 1.0
    destinations: tuple[int, ...] = ()  # numbers of the affected destinations; empty: all
    zone: str = ""  # the fault affects only endpoints in this zone; empty: in all zones
    seen_by: tuple[int, ...] = ()  # numbers of the affected senders; empty: all
    every_s: Seconds = 0.0  # the period with which the fault recurs until the end of the run; 0: once

    @model_validator(mode="after")
    def consistent(self) -> Self:
        """Rejects values that contradict each other.

        Raises:
            ValueError: The text names the field.
        """
        if self.until <= self.at:
            raise ValueError(f"until: must be later than at ({self.at:g}), not {self.until:g}")
        if self.every_s and self.every_s <= self.until - self.at:
            raise ValueError(
                f"every_s: must be above {self.until - self.at:g} (until - at), not {self.every_s:g}"
            )
        return self

    def phases(self, end: float) -> list[Phase]:
        """Returns the fault's occurrences that begin before `end`, in seconds."""
        senders = frozenset(f"n{number}" for number in self.seen_by)
        phases, offset = [], 0.0
        while self.at + offset < end:
            phases.append(
                Phase(
                    self.at + offset, self.until + offset, Trouble(self.what), self.size, senders, self.zone
                )
            )
            if not self.every_s:
                break
            offset += self.every_s
        return phases


class Incident(Table):
    """A fault of senders, of the endpoint list or of the machine at the time `at`.

    Without `sender`, an incident that concerns senders affects all of them. Values of `what`:

    - `kill`: the sender is killed (SIGKILL) and starts again after `for_s`. With `write` above 0 it is killed
      not at `at` but while it writes the `write`-th journal record after it.
    - `drain`: the endpoints of `destination` drain and are replaced by new ones after `for_s`.
    - `empty`: the endpoint list is empty for `for_s`.
    - `deaf`: the sender receives no endpoint lists for `for_s`.
    - `full_disk`: the sender's disk accepts no data for `for_s`.
    - `clock`: the sender's wall clock is shifted by `by_s` from its next start on.
    - `pause`: no process runs for `for_s`. At the level of bytes the network continues meanwhile.
    """

    at: Seconds
    what: Literal["kill", "drain", "empty", "deaf", "full_disk", "clock", "pause"]
    sender: Annotated[int, number_between(0, 1e12)] | None = None
    destination: Annotated[int, number_between(0, 1e12)] | None = None
    for_s: Seconds = 1.0
    write: Annotated[int, number_between(0, 1e12)] = 0
    by_s: float = 0.0


class Lists(Table):
    """How endpoint lists reach the senders."""

    delay_s: Seconds = 0.5  # from a change until the first sender receives it
    spread_s: Seconds = 0.2  # from the first sender that receives it until the last


class Expect(Table):
    """The required result of a run with the sender's own policy."""

    goodput: Fraction = 0.0  # minimum of the weight earned, divided by the weight of all messages
    breaches: Annotated[int, number_between(0, 1e12)] = 0  # maximum number of violations


class Scenario(Table):
    """A scenario file."""

    title: str
    about: str  # what happens in the scenario
    source: str = ""  # a publication that describes such a situation
    good: str = ""  # what a good sender does
    seconds: Annotated[float, Field(gt=0, le=2_592_000)] = 30.0  # the period in which messages arrive
    seed: Annotated[int, number_between(0, 1e12)] = 1
    classes: dict[str, ClassTable] = Field(default_factory=lambda: {"command": ClassTable()})
    tenants: dict[str, TenantTable] = Field(default_factory=dict)
    clients: Clients = Clients()
    fleet: Fleet = Fleet()
    network: Network = Network()
    lists: Lists = Lists()
    destinations: tuple[Destinations, ...] = (Destinations(count=8),)
    troubles: tuple[TroubleTable, ...] = ()
    incidents: tuple[Incident, ...] = ()
    expect: Expect = Expect()

    @model_validator(mode="after")
    def consistent(self) -> Self:
        """Rejects tables that contradict each other.

        Raises:
            ValueError: The text has one line for each contradiction.
        """
        faults = [text for text in self.find_contradictions() if text]
        if faults:
            raise ValueError("\n".join(faults))
        return self

    def find_contradictions(self) -> list[str]:
        """Returns the contradictions between tables, each as a path and a text."""
        count = sum(each.count for each in self.destinations)
        faults = ["destinations: must list at least one destination"] if not count else []
        faults += ["classes: must define at least one class"] if not self.classes else []
        if not any(each.popularity for each in self.destinations):
            faults.append("destinations: at least one must have a popularity above 0, but all have 0")
        for number, trouble in enumerate(self.troubles):
            faults += [
                f"troubles[{number}].destinations: there is no destination {each}"
                for each in trouble.destinations
                if each >= count
            ]
            faults += [
                f"troubles[{number}].seen_by: there is no sender {each}"
                for each in trouble.seen_by
                if each >= self.fleet.senders
            ]
        for number, incident in enumerate(self.incidents):
            faults += self.find_incident_faults(number, incident, count)
        for number, burst in enumerate(self.clients.bursts):
            if burst.until <= burst.at:
                path = f"clients.bursts[{number}].until"
                faults.append(f"{path}: must be later than at ({burst.at:g}), not {burst.until:g}")
            if burst.tenant and burst.tenant not in self.tenants:
                faults.append(f"clients.bursts[{number}].tenant: there is no tenant {burst.tenant!r}")
        return faults

    def find_incident_faults(self, number: int, incident: Incident, count: int) -> list[str]:
        """Returns the faults of incident `number` in a scenario with `count` destinations."""
        faults, path = [], f"incidents[{number}]"
        if incident.sender is not None and incident.sender >= self.fleet.senders:
            faults.append(f"{path}.sender: there is no sender {incident.sender}")
        if incident.destination is not None and incident.destination >= count:
            faults.append(f"{path}.destination: there is no destination {incident.destination}")
        if incident.what == "drain" and incident.destination is None:
            faults.append(f"{path}.destination: a drain needs a destination")
        return faults

    def settings(self, sender: int) -> Settings:
        """Returns the policy settings of the sender with this number."""
        fleet, tenants = self.fleet, self.tenants
        slow_start_s = max((each.cold_s for each in self.destinations), default=0) or 10.0
        classes = tuple(
            MessageClass(
                name, int(each.aim_s * SECOND_US), int(each.deadline_s * SECOND_US), each.worth,
                each.late_worth, Effect(each.effect), int(each.window_s * SECOND_US), False, each.in_order,
            )
            for name, each in self.classes.items()
        )  # fmt: skip
        return Settings(
            classes=classes,
            kinds=(("plain", DestinationKind()), ("apart", DestinationKind(has_separate_routes=True))),
            slots=fleet.slots,
            max_open=fleet.max_open,
            max_attempts=fleet.max_attempts,
            zone=fleet.zones[sender % len(fleet.zones)],
            tick=5_000,
            fleet_size=fleet.senders,
            tenants=tuple((name, each.quota) for name, each in tenants.items() if each.quota),
            announces_rates=fleet.told_rates,
            must_poll=True,
            max_retry_after=int(fleet.max_retry_after_s * SECOND_US),
            slow_start=int(slow_start_s * SECOND_US),
            slow_start_from=min(each.cold_from for each in self.destinations),
            fall_multiple=min(each.push for each in self.destinations),
            key_pause=int(fleet.key_rest_s * SECOND_US),
            drain_grace=int(fleet.grace_s * SECOND_US),
            acknowledges_completions=True,
        )


def read(tables: Mapping[str, Any]) -> Scenario:
    """Returns the scenario that the tables of a file describe.

    Raises:
        ConfigError: The tables are not a valid scenario; it contains all faults.
    """
    return validate_table(Scenario, tables)


def load(path: Path) -> Scenario:
    """Returns the scenario of a file.

    Raises:
        ConfigError: The file is not TOML, or not a valid scenario.
        OSError: The file cannot be read.
    """
    return read(parse(path))


def changed(scenario: Scenario, changes: Mapping[str, Any]) -> Scenario:
    """Returns the scenario with other values.

    Args:
        scenario: The scenario, which stays unchanged.
        changes: New values by dotted path, such as `fleet.senders` or `destinations.0.workers`.

    Raises:
        ConfigError: A path is not in the scenario, or a value is not valid there.
    """
    tables = scenario.model_dump()
    for path, value in changes.items():
        *parents, last = path.split(".")
        table: Any = tables
        try:
            for key in parents:
                table = table[int(key)] if isinstance(table, list | tuple) else table[key]
            if isinstance(table, tuple | list):
                raise KeyError(last)
            if last not in table:
                raise KeyError(last)
            table[last] = value
        except (KeyError, IndexError, TypeError, ValueError):
            raise ConfigError([ConfigFault(path, "is not in the scenario")]) from None
    return read(tables)
