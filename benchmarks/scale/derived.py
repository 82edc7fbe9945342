"""Values of the capacity page that are derived from several slopes and the planned sizes."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from math import ceil, inf

from benchmarks.scale import plan
from benchmarks.scale.results import Figure, Quantity, Result

SITUATIONS = {
    "core_calm": "calm",
    "core_down": f"{plan.DOWN_SHARE:.1%} of destinations down",
    "core_backlog": "backlog held",
}


def quantity(results: Mapping[str, Result], dimension: str, name: str) -> Quantity:
    """Returns a measured quantity.

    Raises:
        KeyError: The dimension or the quantity was not measured.
    """
    for each in results[dimension].measured.quantities:
        if each.name == name:
            return each
    raise KeyError(f"{dimension} has no quantity {name}")


def figure(results: Mapping[str, Result], dimension: str, name: str) -> Figure:
    """Returns a measured figure.

    Raises:
        KeyError: The dimension or the figure was not measured.
    """
    for each in results[dimension].measured.figures:
        if each.name == name:
            return each
    raise KeyError(f"{dimension} has no figure {name}")


@dataclass(frozen=True, slots=True)
class DataPath:
    """The capacity of the senders in one situation."""

    situation: str
    cpu_us: float  # per message
    per_core: float  # messages per second at which a sender reaches its target utilisation
    needed: int  # senders that serve all arrivals
    needed_without_zone: int  # total senders, so that the others suffice after the loss of a zone
    needed_without_region: (
        int  # total senders, so that the others suffice after the loss of the larger region
    )
    spare: float  # messages per second that the planned senders can serve beyond the arrivals
    drain_s: float  # for the planned backlog; infinite if there is no spare capacity
    drain_at_full_s: float  # the same at full utilisation of each core


def data_path(results: Mapping[str, Result]) -> list[DataPath]:
    """Returns the capacity in each situation."""
    return [
        data_path_of(quantity(results, "messages", name), title, plan.SENDERS)
        for name, title in SITUATIONS.items()
    ]


def data_path_of(core: Quantity, situation: str, senders: float) -> DataPath:
    """Derives the capacity in one situation.

    Args:
        core: The share of a core by messages per second.
        situation: The title of the situation.
        senders: The number of senders.
    """
    per_core = messages_per_s(core, plan.SENDER_UTILISATION * plan.SENDER_CORES)
    needed = plan.EVENTS_PER_S / per_core
    spare = senders * per_core - plan.EVENTS_PER_S
    spare_at_full = senders * messages_per_s(core, plan.SENDER_CORES) - plan.EVENTS_PER_S
    larger_region = plan.ZONES_OF_LARGER_REGION / plan.ZONES
    return DataPath(
        situation,
        core.line.slope * 1e6,
        per_core,
        ceil(needed),
        ceil(needed / (1 - 1 / plan.ZONES)),
        ceil(needed / (1 - larger_region)),
        spare,
        drain_s(spare),
        drain_s(spare_at_full),
    )


def messages_per_s(core: Quantity, share: float) -> float:
    """Returns the messages per second that a sender serves with this share of a core."""
    return (share - core.line.intercept) / core.line.slope


def drain_s(spare: float) -> float:
    """Returns the time to drain the planned backlog with `spare` messages/s beyond the arrivals."""
    return plan.BACKLOG_EVENTS / spare if spare > 0 else inf


def senders_absent(results: Mapping[str, Result]) -> float:
    """Returns the average number of unavailable senders on an ordinary day.

    After each restart and each failure a sender is unavailable until it has restored its backlog.
    """
    unavailable_s = quantity(results, "held", "ready_s").planned_value
    events = plan.RESTARTS_PER_DAY + plan.FAILED_MACHINES_PER_DAY
    return events * unavailable_s / plan.SECONDS_PER_DAY


@dataclass(frozen=True, slots=True)
class RestartLoad:
    """The load that senders cause in the first ten seconds after they restart at once."""

    event: str
    senders: int
    other_bytes: float  # received by each other sender
    own_bytes: float  # received by each restarted sender
    handshakes: float  # datagrams in total
    list_calls: float
    backlog: float  # messages that wait until the senders have restarted


def restart_loads(results: Mapping[str, Result]) -> list[RestartLoad]:
    """Returns upper bounds: the cost of a single restart, times the number of senders."""
    events = (
        ("one sender (machine or restart)", 1),
        (f"rack ({plan.SENDERS_PER_RACK} senders assumed)", plan.SENDERS_PER_RACK),
        ("zone", round(plan.SENDERS_PER_ZONE)),
        ("all in turn (a rolling restart, in total)", plan.SENDERS),
    )
    return [restart_load(results, event, count) for event, count in events]


def restart_load(results: Mapping[str, Result], event: str, count: int) -> RestartLoad:
    """Returns the upper bound for `count` senders that restart at once."""

    def planned(name: str) -> float:
        return quantity(results, "restarts", name).planned_value

    others = plan.SENDERS - 1
    calls = figure(results, "restarts", "list_calls").value
    return RestartLoad(
        event,
        count,
        count * planned("one_other_bytes"),
        planned("one_restarted_bytes"),
        count * others * planned("one_pair_hellos"),
        count * calls,
        count * plan.BACKLOG_PER_SENDER,
    )


@dataclass(frozen=True, slots=True)
class StateItem:
    """One kind of state in a sender at the planned size."""

    item: str
    count: float
    bytes_each: float
    total: float
    is_extrapolated: bool
    source: str


STATES: Sequence[tuple[str, str, str]] = (
    ("destinations listed, none used", "destinations", "listed_bytes"),
    ("destinations listed, all used within the hour", "destinations", "used_bytes"),
    ("held messages, in memory", "held", "held_bytes"),
    ("held messages, on disk", "held", "disk_bytes"),
    ("members known by the link", "members", "memory"),
)


def states(results: Mapping[str, Result]) -> list[StateItem]:
    """Returns the state of one sender."""
    items = []
    for item, dimension, name in STATES:
        each = quantity(results, dimension, name)
        items.append(
            StateItem(
                item,
                each.planned_size,
                each.line.slope,
                each.planned_value,
                each.is_extrapolated,
                f"{dimension}: {name}",
            )
        )
    return items


@dataclass(frozen=True, slots=True)
class Share:
    """The load of a part of the deployment at the planned size."""

    part: str
    senders: float
    events_per_s: float
    data_path_cores: float  # with the planned share of destinations down
    held: float  # messages
    held_bytes: float  # in memory
    is_held_extrapolated: bool
    link_datagrams_per_s: float  # sent; the same number is received
    link_bytes_per_s: float


def shares(results: Mapping[str, Result]) -> list[Share]:
    """Returns the load of one sender, a zone, the larger region and the whole deployment."""
    parts = (
        ("one sender", 1.0),
        ("zone", plan.SENDERS_PER_ZONE),
        ("larger region", plan.SENDERS_PER_ZONE * plan.ZONES_OF_LARGER_REGION),
        ("all", float(plan.SENDERS)),
    )
    return [share_of(results, part, senders) for part, senders in parts]


def share_of(results: Mapping[str, Result], part: str, senders: float) -> Share:
    """Returns the load of `senders` senders."""

    def planned(dimension: str, name: str) -> float:
        return senders * quantity(results, dimension, name).planned_value

    return Share(
        part,
        senders,
        senders * plan.EVENTS_PER_S_PER_SENDER,
        planned("messages", "core_down"),
        senders * plan.BACKLOG_PER_SENDER,
        planned("held", "held_bytes"),
        quantity(results, "held", "held_bytes").is_extrapolated,
        planned("members", "datagrams_at_rest"),
        planned("members", "bytes_at_rest"),
    )


@dataclass(frozen=True, slots=True)
class DestinationLoad:
    """The calls to one destination that is down, if every sender has messages for it."""

    window: str
    calls_of_one: float
    calls_of_all: float


def destination_loads(results: Mapping[str, Result]) -> list[DestinationLoad]:
    """Returns the calls by window; each call is also a connection attempt, because each one is refused."""
    windows = (("first 10 s", "calls_at_first"), ("first 600 s", "calls_later"))
    loads = []
    for window, name in windows:
        calls = figure(results, "destinations", name).value
        loads.append(DestinationLoad(window, calls, calls * plan.SENDERS))
    return loads
