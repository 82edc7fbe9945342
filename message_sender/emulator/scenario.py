"""Scenario files: what a fleet of senders lives through, in TOML, checked whole.

Times are seconds of the emulated clock, rates messages or calls a second; units stand in the names. Every
fault of a file is named at once, with its path. The form is in docs/operate/emulator.md.
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
SECOND = 1_000_000  # us


class ClassTable(Table):
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    aim_s: Positive = 2.0
    deadline_s: Positive = 8.0
    window_s: Seconds = 0.0
    in_order: bool = False
    share: Positive = 1.0  # of the messages, against the other classes
    worth: Annotated[float, number_between(0, 1e12)] = 1.0
    late_worth: Fraction = 0.3

    @model_validator(mode="after")
    def consistent(self) -> Self:
        if self.aim_s > self.deadline_s:
            raise ValueError("aim_s: must be no more than deadline_s")
        if self.effect == "keyed" and not self.window_s:
            raise ValueError("window_s: must be above 0 for a keyed class: how long repeats are dropped")
        return self


class TenantTable(Table):
    share: Positive = 1.0  # of the messages, against the other tenants
    quota: Annotated[float, number_between(0, 1e12)] = 0.0  # messages a second within its share; 0: no quota


class Burst(Table):
    """The rate is `times` as high from `at` until `until`; for one tenant or destination if it names one."""

    at: Seconds
    until: Positive
    times: Rate
    tenant: str = ""
    destination: int | None = None


class Clients(Table):
    rate: Rate = 50.0
    bursts: tuple[Burst, ...] = ()
    patience_s: Positive = 1.0  # for an answer that says whether it is taken on
    retries: Annotated[int, number_between(0, 100)] = 2  # after it was turned away, or nobody answered
    honours: Literal["told", "ignores"] = "told"
    backoff_s: Seconds = 0.5  # where no time is told, or it is ignored
    keys: Annotated[int, number_between(1, 1_000_000)] = 50
    zipf: Annotated[float, number_between(0, 5)] = 0.8  # of the destinations' popularity; 0: all alike


class Fleet(Table):
    senders: Annotated[int, number_between(1, 64)] = 1
    zones: tuple[str, ...] = ("a",)  # of the senders, in turn
    slots: Count = 40
    max_open: Count = 400
    max_attempts: Annotated[int, number_between(1, 100)] = 6
    disk_mb: Positive = 3.0
    told_rates: bool = False  # the list tells what each destination takes
    key_rest_s: Seconds = 0.1
    grace_s: Seconds = 0.5  # of a drain
    budget_span_s: Seconds = 0.0  # told rates are budgets that all share, over such a span; 0: no budgets
    link_loss: Annotated[float, number_between(0, 1)] = 0.0  # of what senders say to one another
    max_retry_after_s: Seconds = 2.0


class Network(Table):
    """One way; `jitter` is the most that a way takes longer, as a share."""

    same_zone_ms: Seconds = 1.0
    cross_zone_ms: Seconds = 8.0
    jitter: Annotated[float, number_between(0, 100)] = 0.3


class ServiceTable(Table):
    mean_ms: Positive = 60.0
    spread: Literal["constant", "exponential", "lognormal", "pareto"] = "lognormal"
    cv: Positive = 0.5

    @model_validator(mode="after")
    def consistent(self) -> Self:
        if self.spread == "pareto" and self.cv <= 1:
            raise ValueError("cv: must be above 1 for pareto, whose index it is: there is no mean else")
        return self


class LimitTable(Table):
    rate: Rate
    span_s: Seconds = 0.0
    burst: Positive = 1.0
    refused_count: bool = False
    carried: Fraction = 0.0
    tells: Fraction = 1.0


class Destinations(Table):
    """`count` destinations alike."""

    count: Count = 1
    endpoints: Annotated[int, number_between(1, 64)] = 1
    zones: tuple[str, ...] = ("a",)  # of the endpoints, in turn
    apart: bool = False
    popularity: Annotated[float, number_between(0, 1e12)] = (
        1.0  # of each, besides the clients' zipf; 0: gets no message
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
        service = Service(self.service.mean_ms / 1e3, Spread(self.service.spread), self.service.cv)
        limit = Limit(**self.limit.model_dump()) if self.limit else None
        return Terms(
            service, self.workers, self.queue, limit, self.cold_s, self.cold_from, self.push, self.push_s,
            self.fallen_s,
        )  # fmt: skip


class TroubleTable(Table):
    at: Seconds
    until: Positive
    what: Literal[
        "shut", "silent", "hangs", "errors", "full", "slow", "degrades", "spoilt", "resets", "limit"
    ]
    size: Annotated[float, number_between(0, 1e12)] = 1.0
    destinations: tuple[int, ...] = ()  # by number; none: all
    zone: str = ""  # only endpoints there
    seen_by: tuple[int, ...] = ()  # senders, by number; none: all
    every_s: Seconds = 0.0  # it comes again after so long, to the end; 0: once

    @model_validator(mode="after")
    def consistent(self) -> Self:
        if self.until <= self.at:
            raise ValueError("until: must be later than at")
        if self.every_s and self.every_s <= self.until - self.at:
            raise ValueError("every_s: must be longer than the trouble itself")
        return self

    def phases(self, end: float) -> list[Phase]:
        seen = frozenset(f"n{each}" for each in self.seen_by)
        found, later = [], 0.0
        while self.at + later < end:
            found.append(
                Phase(self.at + later, self.until + later, Trouble(self.what), self.size, seen, self.zone)
            )
            if not self.every_s:
                break
            later += self.every_s
        return found


class Incident(Table):
    """What happens to senders, the list of endpoints and the network.

    `kill`: SIGKILL of `sender` (none: all), up again after `for_s`; the `write`-th record after `at` is the
    moment, where that is above 0. `drain`: endpoints of `destination` drain, and others stand in for them
    after `for_s`. `empty`: the list told is empty for `for_s`. `deaf`: senders hear nothing of the list.
    `full_disk`: the disk of `sender` takes nothing. `clock`: the wall clock of `sender` is set by `by_s` at
    its next start. `pause`: no process has a core; at the level of bytes the network goes on meanwhile.
    """

    at: Seconds
    what: Literal["kill", "drain", "empty", "deaf", "full_disk", "clock", "pause"]
    sender: Annotated[int, number_between(0, 1e12)] | None = None
    destination: Annotated[int, number_between(0, 1e12)] | None = None
    for_s: Seconds = 1.0
    write: Annotated[int, number_between(0, 1e12)] = 0
    by_s: float = 0.0


class Lists(Table):
    delay_s: Seconds = 0.5  # from a change to when a sender hears of it
    spread_s: Seconds = 0.2  # the most that one sender hears of it later than another


class Expect(Table):
    """What a run of the sender in this scenario is to reach."""

    goodput: Fraction = 0.0  # worth delivered in time over worth asked for
    breaches: Annotated[int, number_between(0, 1e12)] = 0


class Scenario(Table):
    title: str
    about: str  # what happens
    source: str = ""  # where such a thing is described publicly
    good: str = ""  # what a good sender does
    seconds: Annotated[float, Field(gt=0, le=2_592_000)] = 30.0  # in which messages come
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
        """What contradicts across tables."""
        wrong = [text for text in self.contradictions() if text]
        if wrong:
            raise ValueError("\n".join(wrong))
        return self

    def contradictions(self) -> list[str]:
        count = sum(each.count for each in self.destinations)
        found = ["destinations: must name at least one"] if not count else []
        found += ["classes: must name at least one"] if not self.classes else []
        if not any(each.popularity for each in self.destinations):
            found.append("destinations: none of them gets messages")
        for number, trouble in enumerate(self.troubles):
            found += [
                f"troubles[{number}].destinations: there is no destination {each}"
                for each in trouble.destinations
                if each >= count
            ]
            found += [
                f"troubles[{number}].seen_by: there is no sender {each}"
                for each in trouble.seen_by
                if each >= self.fleet.senders
            ]
        for number, incident in enumerate(self.incidents):
            found += self.unfit(number, incident, count)
        for number, burst in enumerate(self.clients.bursts):
            if burst.until <= burst.at:
                found.append(f"clients.bursts[{number}].until: must be later than at")
            if burst.tenant and burst.tenant not in self.tenants:
                found.append(f"clients.bursts[{number}].tenant: there is no tenant {burst.tenant!r}")
        return found

    def unfit(self, number: int, incident: Incident, count: int) -> list[str]:
        found, at = [], f"incidents[{number}]"
        if incident.sender is not None and incident.sender >= self.fleet.senders:
            found.append(f"{at}.sender: there is no sender {incident.sender}")
        if incident.destination is not None and incident.destination >= count:
            found.append(f"{at}.destination: there is no destination {incident.destination}")
        if incident.what == "drain" and incident.destination is None:
            found.append(f"{at}.destination: a drain needs one")
        return found

    def settings(self, sender: int) -> Settings:
        """What that sender is told."""
        fleet, clients = self.fleet, self.tenants
        cold = max((each.cold_s for each in self.destinations), default=0) or 10.0
        classes = tuple(
            MessageClass(
                name, int(each.aim_s * SECOND), int(each.deadline_s * SECOND), each.worth, each.late_worth,
                Effect(each.effect), int(each.window_s * SECOND), False, each.in_order,
            )
            for name, each in self.classes.items()
        )  # fmt: skip
        return Settings(
            classes=classes,
            kinds=(("plain", DestinationKind()), ("apart", DestinationKind(apart=True))),
            slots=fleet.slots,
            max_open=fleet.max_open,
            max_attempts=fleet.max_attempts,
            zone=fleet.zones[sender % len(fleet.zones)],
            tick=5_000,
            fleet_size=fleet.senders,
            tenants=tuple((name, each.quota) for name, each in clients.items() if each.quota),
            announces_rates=fleet.told_rates,
            must_poll=True,
            max_retry_after=int(fleet.max_retry_after_s * SECOND),
            slow_start=int(cold * SECOND),
            slow_start_from=min(each.cold_from for each in self.destinations),
            fall_multiple=min(each.push for each in self.destinations),
            key_pause=int(fleet.key_rest_s * SECOND),
            drain_grace=int(fleet.grace_s * SECOND),
            acknowledges_completions=True,
        )


def read(told: Mapping[str, Any]) -> Scenario:
    """Raises ConfigError with all faults."""
    return validate_table(Scenario, told)


def load(path: Path) -> Scenario:
    """Raises ConfigError, also where the file is no TOML, and OSError."""
    return read(parse(path))


def changed(scenario: Scenario, changes: Mapping[str, Any]) -> Scenario:
    """The scenario with other values at dotted paths, such as `fleet.senders` or `destinations.0.workers`.
    Raises ConfigError where a path or a value does not fit."""
    told = scenario.model_dump()
    for path, value in changes.items():
        *way, last = path.split(".")
        at: Any = told
        try:
            for step in way:
                at = at[int(step)] if isinstance(at, list | tuple) else at[step]
            if isinstance(at, tuple | list):
                raise KeyError(last)
            if last not in at:
                raise KeyError(last)
            at[last] = value
        except (KeyError, IndexError, TypeError, ValueError):
            raise ConfigError([ConfigFault(path, "is not in the scenario")]) from None
    return read(told)
