"""Values of the page that follow from several slopes and the planned sizes."""

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
    """Raises KeyError for what was not measured."""
    for each in results[dimension].measured.quantities:
        if each.name == name:
            return each
    raise KeyError(f"{dimension} has no quantity {name}")


def figure(results: Mapping[str, Result], dimension: str, name: str) -> Figure:
    """Raises KeyError for what was not measured."""
    for each in results[dimension].measured.figures:
        if each.name == name:
            return each
    raise KeyError(f"{dimension} has no figure {name}")


@dataclass(frozen=True, slots=True)
class DataPath:
    """What the senders bear in one situation."""

    situation: str
    cpu_us: float  # a message
    per_core: float  # messages a second that keep a sender within its utilisation
    needed: int  # senders, for all arrivals
    needed_without_zone: int  # the same in all, so that those of the other zones suffice
    needed_without_region: int
    spare: float  # messages a second that the planned senders bear beside the arrivals
    drain_s: float  # for the planned backlog; infinite where nothing is spare
    drain_at_full_s: float  # the same with the whole of each core in use


def data_path(results: Mapping[str, Result]) -> list[DataPath]:
    """One for each situation."""
    return [
        data_path_of(quantity(results, "messages", name), title, plan.SENDERS)
        for name, title in SITUATIONS.items()
    ]


def data_path_of(core: Quantity, situation: str, senders: float) -> DataPath:
    """`core`: the share of a core by messages a second; `senders`: that there are."""
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
    """What a sender serves with this share of a core."""
    return (share - core.line.intercept) / core.line.slope


def drain_s(spare: float) -> float:
    """For the planned backlog, with so many messages a second beside the arrivals."""
    return plan.BACKLOG_EVENTS / spare if spare > 0 else inf


def senders_absent(results: Mapping[str, Result]) -> float:
    """On average over an ordinary day: each restart and each failure keeps a sender away until it is ready
    with its backlog."""
    away_s = quantity(results, "held", "ready_s").planned_value
    events = plan.RESTARTS_PER_DAY + plan.FAILED_MACHINES_PER_DAY
    return events * away_s / plan.SECONDS_PER_DAY


@dataclass(frozen=True, slots=True)
class Returned:
    """What so many senders cost that come back at once, in the first ten seconds."""

    event: str
    senders: int
    other_bytes: float  # received by each other sender
    own_bytes: float  # received by each that comes back
    handshakes: float  # datagrams in all
    list_calls: float
    backlog: float  # messages that wait until they are back


def returns(results: Mapping[str, Result]) -> list[Returned]:
    """Upper bounds: so many times the cost of one that comes back alone."""
    events = (
        ("one sender (machine or restart)", 1),
        (f"rack ({plan.SENDERS_PER_RACK} senders assumed)", plan.SENDERS_PER_RACK),
        ("zone", round(plan.SENDERS_PER_ZONE)),
        ("all in turn (a rolling restart, in sum)", plan.SENDERS),
    )
    return [returned(results, event, count) for event, count in events]


def returned(results: Mapping[str, Result], event: str, count: int) -> Returned:
    def planned(name: str) -> float:
        return quantity(results, "restarts", name).planned_value

    others = plan.SENDERS - 1
    calls = figure(results, "restarts", "list_calls").value
    return Returned(
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
    """Something that a sender keeps, at the planned size."""

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
    """What one sender keeps."""
    found = []
    for item, dimension, name in STATES:
        each = quantity(results, dimension, name)
        found.append(
            StateItem(
                item,
                each.planned_size,
                each.line.slope,
                each.planned_value,
                each.is_extrapolated,
                f"{dimension}: {name}",
            )
        )
    return found


@dataclass(frozen=True, slots=True)
class Share:
    """What a part of the deployment carries at the planned size."""

    part: str
    senders: float
    events_per_s: float
    data_path_cores: float  # with the planned share of destinations down
    held: float  # messages
    held_bytes: float  # in memory
    is_held_extrapolated: bool
    link_datagrams_per_s: float  # sent, and as many received
    link_bytes_per_s: float


def shares(results: Mapping[str, Result]) -> list[Share]:
    """Of a sender, a zone, the larger region and all."""
    parts = (
        ("one sender", 1.0),
        ("zone", plan.SENDERS_PER_ZONE),
        ("larger region", plan.SENDERS_PER_ZONE * plan.ZONES_OF_LARGER_REGION),
        ("all", float(plan.SENDERS)),
    )
    return [share_of(results, part, senders) for part, senders in parts]


def share_of(results: Mapping[str, Result], part: str, senders: float) -> Share:
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
class AtDestination:
    """What one destination that is down sees of all senders, if each has messages for it."""

    window: str
    calls_of_one: float
    calls_of_all: float


def at_destination(results: Mapping[str, Result]) -> list[AtDestination]:
    """Calls are connection attempts too, as each is refused."""
    windows = (("first 10 s", "calls_at_first"), ("first 600 s", "calls_later"))
    found = []
    for window, name in windows:
        calls = figure(results, "destinations", name).value
        found.append(AtDestination(window, calls, calls * plan.SENDERS))
    return found
