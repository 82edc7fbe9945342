"""What the delivery policy decides about: settings, message classes, endpoints and outcomes.

Durations and times are whole microseconds unless a name says otherwise.
"""

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """What a repeat of a message does at its destination."""

    IDEMPOTENT = "safe"  # repeats do no harm
    KEYED = "keyed"  # repeats are dropped for a while, see MessageClass.window
    UNSAFE = "unsafe"  # must never run twice


class Outcome(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    STALE = "stale"  # a kept connection broke under it: that says nothing of the destination
    MALFORMED = "spoilt"  # answered, but the answer cannot be read
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"


#: Outcomes that speak against the destination's health.
FAILURES = frozenset(
    {Outcome.ERROR, Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.MALFORMED}
)

#: Outcomes that prove the attempt never ran at the destination.
NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})


class EndpointState(Enum):
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListingKind(Enum):
    """What a list of endpoints holds."""

    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


#: Names of fields in the platform's settings, where they differ from their own.
SETTING_NAMES = {"key_pause": "key_quiet", "poll_interval_limit": "ask_within", "slow_start": "cold"}


def setting_name(field: str) -> str:
    """The name under which whoever wrote the settings knows a field."""
    return SETTING_NAMES.get(field, field)


@dataclass(frozen=True, slots=True)
class MessageClass:
    name: str
    latency_objective: int
    deadline: int
    priority_weight: float
    late_priority_weight: float
    effect: Effect
    idempotency_window: int = (
        0  # KEYED: how long repeats are dropped, from the first sending that may have run
    )
    is_window_zonal: bool = False  # KEYED: only endpoints of the same zone drop repeats
    is_ordered: bool = False  # messages of one key go one at a time, as taken


@dataclass(frozen=True, slots=True)
class DestinationKind:
    """A kind of destination."""

    batch: int = 1  # messages that one call may carry
    apart: bool = False  # endpoints are routes apart, each with its own limit and outages


@dataclass(frozen=True, slots=True)
class Settings:
    classes: tuple[MessageClass, ...]
    kinds: tuple[tuple[str, DestinationKind], ...]
    slots: int
    max_open: int
    max_attempts: int
    zone: str
    tick: int
    fleet_size: int = 1
    tenants: tuple[tuple[str, float], ...] = ()  # name, messages a second within its share (all senders)
    over_quota_weight: float = 1.0
    halves_late_weight: bool = False  # late worth falls by half with each further aim, else evenly
    zone_fees: tuple[tuple[str, float], ...] = ()  # zone, worth lost per message on a route apart there
    must_poll: bool = False  # the list of endpoints comes only when asked for
    has_local_list: bool = False  # asking costs nobody anything, and what could be asked for counts as told
    poll_interval_limit: int = 10_000_000
    announces_rates: bool = False  # Endpoint.scale is the rate in calls a second that its destination takes
    may_cancel: bool = True
    max_retry_after: int = 0  # the longest wait a client honours; 0: it is told none
    slow_start: int = 10_000_000  # a destination back from an outage is warm after this
    slow_start_from: float = 0.2  # and starts at this share of its capacity
    fall_multiple: float = 2.0
    conn_idle: int = 10_000_000  # idle connections are closed after this
    connect_timeout: int = 1_500_000  # a connection not made by then has failed
    key_pause: int = 0
    drain_grace: int = 0
    acknowledges_completions: bool = False  # a message ended here is over only with its EndAnswered

    def __post_init__(self) -> None:
        if not isinstance(self.fleet_size, int) or isinstance(self.fleet_size, bool):
            # Guards every gap and spread, which are made of it: a NaN or an infinity would pass what follows.
            raise ValueError(f"fleet_size must be a whole number, not {self.fleet_size!r}")
        counts = ("slots", "max_open", "max_attempts", "fleet_size")
        for name in (*counts, "tick", "poll_interval_limit", "slow_start", "conn_idle", "connect_timeout"):
            if getattr(self, name) <= 0:
                raise ValueError(f"{setting_name(name)} must be above 0, not {getattr(self, name)}")
        for name in ("key_pause", "drain_grace", "max_retry_after", "fall_multiple"):
            if getattr(self, name) < 0:
                raise ValueError(f"{setting_name(name)} must not be negative, not {getattr(self, name)}")
        if not 0 < self.slow_start_from <= 1:
            raise ValueError(f"cold_from must be a share above 0, not {self.slow_start_from}")
        if not self.classes:
            raise ValueError("classes must not be empty")
        for each in self.classes:
            if not 0 < each.latency_objective <= each.deadline:
                raise ValueError(f"classes: {each.name}: aim must be above 0 and no more than deadline")
            if each.effect is Effect.KEYED and each.idempotency_window <= 0:
                raise ValueError(f"classes: {each.name}: window must be above 0 for a keyed class")


@dataclass(frozen=True, slots=True)
class Endpoint:
    id: str
    destination: int
    state: EndpointState
    kind: str
    zone: str
    scale: float = 1.0
    weight: float = 1.0  # its share of the calls, against the other endpoints of its destination
