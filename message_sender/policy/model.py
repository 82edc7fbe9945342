"""The data types of the delivery policy: settings, message classes, endpoints and outcomes.

Durations and times are whole microseconds unless a name says otherwise.
"""

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """The effect of a repeated message at its destination."""

    IDEMPOTENT = "safe"  # idempotent: a repeat has no further effect
    KEYED = "keyed"  # the destination drops repeats within MessageClass.idempotency_window
    UNSAFE = "unsafe"  # not idempotent: must never run twice


class Outcome(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"  # refused: the destination is at capacity
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    STALE = "stale"  # a reused connection had been closed: not evidence about the destination
    MALFORMED = "spoilt"  # the destination answered, but the answer cannot be parsed
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"


#: Outcomes that count as evidence that the destination is unhealthy.
FAILURES = frozenset(
    {Outcome.ERROR, Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.MALFORMED}
)

#: Outcomes that prove the attempt never ran at the destination.
NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})


class EndpointState(Enum):
    """The state of an endpoint, as the endpoint list reports it."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListingKind(Enum):
    """What an update of the endpoint list holds.

    CHANGES holds changed entries only, FULL the whole list, CACHED an old copy of the whole list, and FAILED
    nothing: the poll or watch ended without a list.
    """

    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


#: Names of fields in the platform's settings where they differ from the names in `Settings`.
SETTING_NAMES = {
    "key_pause": "key_quiet",
    "poll_interval_limit": "ask_within",
    "slow_start": "cold",
    "overload_window": "overload_for",
}


def setting_name(field: str) -> str:
    """Returns the name that a field of `Settings` has in the platform's settings."""
    return SETTING_NAMES.get(field, field)


@dataclass(frozen=True, slots=True)
class MessageClass:
    """A class of messages.

    Attributes:
        name: Name of the class in the settings.
        latency_objective: A message delivered within this time keeps its full weight.
        deadline: Time within which a message must be delivered.
        priority_weight: Weight of a message of the class.
        late_priority_weight: Fraction of the weight that is left at the deadline, 0 to 1.
        effect: The effect of a repeated message.
        idempotency_window: For KEYED: how long after the first attempt that may have run the destination
            drops repeats.
        is_window_zonal: For KEYED: only endpoints in the zone of that attempt drop repeats.
        is_ordered: Messages of one key are sent one at a time, in the order in which they were accepted.
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
        batch_size: Largest number of messages that one call may carry.
        has_separate_routes: Each endpoint is a separate route, with its own rate limit and outages.
    """

    batch_size: int = 1
    has_separate_routes: bool = False


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of the delivery policy.

    Attributes:
        classes: The message classes; at least one.
        kinds: Name and properties of each kind of destination.
        slots: Maximum number of calls in flight.
        max_open: Maximum number of messages that are accepted and not completed.
        max_attempts: Maximum number of attempts of one message.
        zone: The sender's own zone.
        tick: Shortest delay of a `WakeAfter`, and the safety margin before deadlines.
        fleet_size: Number of senders that share the load.
        tenants: Name and quota of each tenant; the quota is in messages a second, over all senders together.
        over_quota_weight: Factor applied to the weight of a message over its tenant's quota.
        halves_late_weight: The weight of a late message halves with each latency objective; otherwise it
            falls linearly.
        zone_fees: Zone, and the weight that each message on a separate route in this zone costs.
        must_poll: The endpoint list is available only by polling.
        has_local_list: Polls cost nothing, and a change counts as known as soon as a poll could have
            returned it.
        poll_interval_limit: Longest pause between polls that fail at once.
        announces_rates: `Endpoint.scale` is the rate, in calls a second, that the destination accepts.
        may_cancel: Attempts may be cancelled.
        max_retry_after: Longest Retry-After that clients honour; with 0, none is suggested to them.
        slow_start: How long a destination warms up after an outage.
        slow_start_from: Fraction of its capacity that a destination has when it begins to warm up; above 0
            and at most 1.
        fall_multiple: Load, as a multiple of its warm capacity, under which a destination fails.
        overload_window: How long a cold destination bears such a load.
        conn_idle: Time after which an idle connection is closed.
        connect_timeout: Time after which a connection that is not established counts as failed.
        key_pause: Pause of a key after an attempt with an unknown result.
        drain_grace: How long after the announcement of a drain a new call is still tolerated.
        acknowledges_completions: A message that was rejected or failed is finished only when the event
            `CompletionAcknowledged` arrives.
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
    overload_window: int = 1_500_000
    conn_idle: int = 10_000_000
    connect_timeout: int = 1_500_000
    key_pause: int = 0
    drain_grace: int = 0
    acknowledges_completions: bool = False

    def __post_init__(self) -> None:
        """Validates the settings.

        Raises:
            ValueError: A value is out of its range; the text has its name in the platform's settings.
        """
        if not isinstance(self.fleet_size, int) or isinstance(self.fleet_size, bool):
            # Gaps and spreads are multiples of the fleet size: NaN or infinity would pass the checks below.
            raise ValueError(f"fleet_size must be a whole number, not {self.fleet_size!r}")
        counts = ("slots", "max_open", "max_attempts", "fleet_size")
        for name in (*counts, "tick", "poll_interval_limit", "slow_start", "conn_idle", "connect_timeout"):
            if getattr(self, name) <= 0:
                raise ValueError(f"{setting_name(name)} must be above 0, not {getattr(self, name)}")
        for name in ("key_pause", "drain_grace", "max_retry_after", "fall_multiple", "overload_window"):
            if getattr(self, name) < 0:
                raise ValueError(f"{setting_name(name)} must not be negative, not {getattr(self, name)}")
        if not 0 < self.slow_start_from <= 1:
            raise ValueError(f"cold_from must be above 0 and at most 1, not {self.slow_start_from}")
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
    """An endpoint of a destination, as the endpoint list describes it.

    Attributes:
        id: Name of the endpoint, unique among all endpoints.
        destination: Number of its destination.
        state: Whether it accepts calls.
        kind: Name of its `DestinationKind`.
        zone: Zone in which it runs.
        scale: With `Settings.announces_rates`: calls a second that it accepts from all senders together.
        weight: Its share of the calls, relative to the other endpoints of its destination.
    """

    id: str
    destination: int
    state: EndpointState
    kind: str
    zone: str
    scale: float = 1.0
    weight: float = 1.0
