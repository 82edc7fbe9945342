"""What the delivery policy decides about: settings, message classes, endpoints and outcomes.

Durations and times are whole microseconds unless a name says otherwise.
"""

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """What a repeated message does at its destination."""

    IDEMPOTENT = "safe"  # repeats do no harm
    KEYED = "keyed"  # repeats are dropped for a while, see MessageClass.idempotency_window
    UNSAFE = "unsafe"  # must never run twice


class Outcome(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    STALE = "stale"  # a reused connection was closed meanwhile: no evidence on the destination
    MALFORMED = "spoilt"  # answered, but the answer cannot be read
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"


#: Outcomes that are evidence against the health of the destination.
FAILURES = frozenset(
    {Outcome.ERROR, Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.MALFORMED}
)

#: Outcomes that prove the attempt never ran at the destination.
NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})


class EndpointState(Enum):
    """The state of an endpoint, as listed."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListingKind(Enum):
    """What an endpoint list holds: changes, everything, an old copy of everything, or nothing."""

    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


#: Names of fields in the platform's settings, where they differ from those here.
SETTING_NAMES = {"key_pause": "key_quiet", "poll_interval_limit": "ask_within", "slow_start": "cold"}


def setting_name(field: str) -> str:
    """Returns the name of a field in the platform's settings."""
    return SETTING_NAMES.get(field, field)


@dataclass(frozen=True, slots=True)
class MessageClass:
    """A class of messages.

    Attributes:
        name: Its name in the settings.
        latency_objective: Messages delivered within it keep their full weight.
        deadline: Messages must be delivered within it.
        priority_weight: Weight of a message.
        late_priority_weight: Fraction of the weight that is left at the deadline, 0 to 1.
        effect: What a repeat of a message does.
        idempotency_window: KEYED: repeats are dropped for so long after the first attempt that may have run.
        is_window_zonal: KEYED: only endpoints of the same zone drop repeats.
        is_ordered: Messages of one key go one at a time, in the order in which they were accepted.
    """

    name: str
    latency_objective: int
    deadline: int
    priority_weight: float
    late_priority_weight: float
    effect: Effect
    idempotency_window: int = 0
    is_window_zonal: bool = False
    is_ordered: bool = False


@dataclass(frozen=True, slots=True)
class DestinationKind:
    """A kind of destination.

    Attributes:
        batch_size: Messages that one call may carry.
        has_separate_routes: Each endpoint is a route with its own limit and outages.
    """

    batch_size: int = 1
    has_separate_routes: bool = False


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of the delivery policy.

    Attributes:
        classes: The classes of messages; at least one.
        kinds: Kinds of destinations by name.
        slots: Calls that may be in flight.
        max_open: Messages that may be accepted and not completed.
        max_attempts: Attempts of one message.
        zone: The sender's own zone.
        tick: Shortest delay of a `WakeAfter`, and the margin of deadlines.
        fleet_size: Number of senders that share the load.
        tenants: Name and quota in messages a second, of all senders together.
        over_quota_weight: Factor of the weight of messages over the quota.
        halves_late_weight: The weight of a late message halves with each latency objective, else it falls
            linearly.
        zone_fees: Zone and weight lost per message on a separate route there.
        must_poll: The endpoint list comes only by polls.
        has_local_list: Polls cost nothing, and a change counts as known once it could have been polled.
        poll_interval_limit: Longest pause between polls that fail at once.
        announces_rates: `Endpoint.scale` is the rate, in calls a second, that the destination takes.
        may_cancel: Attempts may be cancelled.
        max_retry_after: The longest wait that a client honours; 0: clients are told none.
        slow_start: Time for which a destination warms up after an outage.
        slow_start_from: Fraction of its capacity with which it begins, above 0 to 1.
        fall_multiple: Load, as a multiple of its warm capacity, under which a destination fails.
        conn_idle: Idle connections are closed after it.
        connect_timeout: A connection that is not established by then has failed.
        key_pause: Pause of a key after an attempt of unknown result.
        drain_grace: For how long after the announcement of a drain a new call is tolerated.
        acknowledges_completions: A message that was rejected or failed is finished only with the event
            `EndAcknowledged`.
    """

    classes: tuple[MessageClass, ...]
    kinds: tuple[tuple[str, DestinationKind], ...]
    slots: int
    max_open: int
    max_attempts: int
    zone: str
    tick: int
    fleet_size: int = 1
    tenants: tuple[tuple[str, float], ...] = ()
    over_quota_weight: float = 1.0
    halves_late_weight: bool = False
    zone_fees: tuple[tuple[str, float], ...] = ()
    must_poll: bool = False
    has_local_list: bool = False
    poll_interval_limit: int = 10_000_000
    announces_rates: bool = False
    may_cancel: bool = True
    max_retry_after: int = 0
    slow_start: int = 10_000_000
    slow_start_from: float = 0.2
    fall_multiple: float = 2.0
    conn_idle: int = 10_000_000
    connect_timeout: int = 1_500_000
    key_pause: int = 0
    drain_grace: int = 0
    acknowledges_completions: bool = False

    def __post_init__(self) -> None:
        """Validates the settings.

        Raises:
            ValueError: A value is out of its range; the text names it as the platform does.
        """
        if not isinstance(self.fleet_size, int) or isinstance(self.fleet_size, bool):
            # Gaps and spreads are multiples of it: NaN or infinity would pass the comparisons below.
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
        for message_class in self.classes:
            self._validate_class(message_class)

    @staticmethod
    def _validate_class(message_class: MessageClass) -> None:
        name = message_class.name
        if not 0 < message_class.latency_objective <= message_class.deadline:
            raise ValueError(f"classes: {name}: aim must be above 0 and no more than deadline")
        if message_class.effect is Effect.KEYED and message_class.idempotency_window <= 0:
            raise ValueError(f"classes: {name}: window must be above 0 for a keyed class")


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An endpoint of a destination, as listed.

    Attributes:
        id: Its name, unique among all endpoints.
        destination: Number of its destination.
        state: Whether it accepts calls.
        kind: Name of its `DestinationKind`.
        zone: Where it is.
        scale: With `Settings.announces_rates`, calls a second that it takes from all senders.
        weight: Its share of the calls, relative to the other endpoints of its destination.
    """

    id: str
    destination: int
    state: EndpointState
    kind: str
    zone: str
    scale: float = 1.0
    weight: float = 1.0
