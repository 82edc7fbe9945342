"""What a sender and the decision module say to each other: settings, events and actions.

Times are whole microseconds of the sender's own clock; durations are microseconds too.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class Effect(Enum):
    """What a repeat of a message does at its destination."""

    SAFE = "safe"  # repeats do no harm
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
    SPOILT = "spoilt"  # answered, but the answer cannot be read
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"


#: Outcomes that speak against the destination's health.
FAILURES = frozenset({Outcome.ERROR, Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.SPOILT})

#: Outcomes that prove the attempt never ran at the destination.
NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})


class EndpointState(Enum):
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Listing(Enum):
    """What a list of endpoints holds."""

    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class MessageClass:
    name: str
    aim: int
    deadline: int
    worth: float
    late_worth: float
    effect: Effect
    window: int = 0  # KEYED: how long repeats are dropped, from the first sending that may have run
    window_by_zone: bool = False  # KEYED: only endpoints of the same zone drop repeats
    in_order: bool = False  # messages of one key go one at a time, as taken


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of destination."""

    batch: int = 1  # messages that one call may carry
    apart: bool = False  # endpoints are routes apart, each with its own limit and outages


@dataclass(frozen=True, slots=True)
class Settings:
    classes: tuple[MessageClass, ...]
    kinds: tuple[tuple[str, Kind], ...]
    slots: int
    max_open: int
    max_attempts: int
    zone: str
    tick: int
    fleet_size: int = 1
    tenants: tuple[tuple[str, float], ...] = ()  # name, messages a second within its share (all senders)
    over_share_worth: float = 1.0
    halves: bool = False  # late worth falls by half with each further aim, else evenly
    zone_fees: tuple[tuple[str, float], ...] = ()  # zone, worth lost per message on a route apart there
    must_ask: bool = False  # the list of endpoints comes only when asked for
    list_at_hand: bool = False  # asking costs nobody anything, and what could be asked for counts as told
    ask_within: int = 10_000_000
    rates_told: bool = False  # Endpoint.scale is the rate in calls a second that its destination takes
    may_cancel: bool = True
    max_retry_after: int = 0  # the longest wait a client honours; 0: it is told none
    cold: int = 10_000_000  # a destination back from an outage is warm after this
    cold_from: float = 0.2  # and starts at this share of its capacity
    fall_multiple: float = 2.0
    conn_idle: int = 10_000_000  # idle connections are closed after this
    connect_timeout: int = 1_500_000  # a connection not made by then has failed
    key_quiet: int = 0
    drain_grace: int = 0
    ends_answered: bool = False  # a message ended here is over only with its EndAnswered

    def __post_init__(self) -> None:
        if not isinstance(self.fleet_size, int) or isinstance(self.fleet_size, bool):
            # Guards every gap and spread, which are made of it: a NaN or an infinity would pass what follows.
            raise ValueError(f"fleet_size must be a whole number, not {self.fleet_size!r}")
        counts = ("slots", "max_open", "max_attempts", "fleet_size")
        for name in (*counts, "tick", "ask_within", "cold", "conn_idle", "connect_timeout"):
            if getattr(self, name) <= 0:
                raise ValueError(f"{name} must be above 0, not {getattr(self, name)}")
        for name in ("key_quiet", "drain_grace", "max_retry_after", "fall_multiple"):
            if getattr(self, name) < 0:
                raise ValueError(f"{name} must not be negative, not {getattr(self, name)}")
        if not 0 < self.cold_from <= 1:
            raise ValueError(f"cold_from must be a share above 0, not {self.cold_from}")
        if not self.classes:
            raise ValueError("classes must not be empty")
        for each in self.classes:
            if not 0 < each.aim <= each.deadline:
                raise ValueError(f"classes: {each.name}: aim must be above 0 and no more than deadline")
            if each.effect is Effect.KEYED and each.window <= 0:
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


# Events: what happened to this sender.


@dataclass(frozen=True, slots=True)
class EndpointsListed:
    listing: Listing
    endpoints: tuple[Endpoint, ...] = ()
    returned: tuple[str, ...] = ()  # of these, ids that were kept out of service: to be warmed


@dataclass(frozen=True, slots=True)
class MessageTaken:
    message: str
    message_class: str
    destination: int
    time_left: int
    tenant: str = ""
    key: str = ""  # empty: not kept in order
    again: bool = False  # the client says it was handed in before
    pinned: str = ""  # the endpoint that it is to go to, as long as that one is there


@dataclass(frozen=True, slots=True)
class CallOut:
    """A call that the process before has out and will tell the end of."""

    endpoint: str
    zone: str
    sent: int
    trial: bool = False
    overdue: bool = False  # that it is has been counted


@dataclass(frozen=True, slots=True)
class MessageRestored:
    """A message that an earlier process of this sender took on."""

    taken: MessageTaken
    attempts: int  # so far; one that was out when the process ended has ended as a reset
    risky_since: int | None  # sending of the first attempt that may have run
    risky_zone: str
    outcomes: tuple[tuple[str, Outcome], ...] = ()  # endpoint and outcome of each attempt that has one
    handed: bool = False  # by a process that still runs: nothing is in doubt, `Inherited` tells the rest
    call: CallOut | None = None  # of its last attempt, with `handed`
    ended: bool = False  # its end is told and not answered yet, with `handed`
    share: float | None = None  # of its worth, as it was taken on; None: as is found now


@dataclass(frozen=True, slots=True)
class Inherited:
    """What the process before knew besides its messages; times are on the clock that both share."""

    breakers: tuple[tuple[int, str, dict[str, float]], ...] = ()  # destination, route, fields by name
    endpoints: tuple[tuple[str, dict[str, float]], ...] = ()
    keys: tuple[tuple[str, int], ...] = ()  # until when each one rests
    credit: tuple[tuple[str, float, int], ...] = ()  # tenant, left of its share, as of when
    silent: tuple[tuple[int, float], ...] = ()  # destinations that are asleep, and since when


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    message: str
    attempt: int  # attempts of a message are numbered from 0
    outcome: Outcome
    finished: bool = False  # nothing more is owed for the message
    wait: int = 0  # with FULL: how long the destination asked to be left alone


@dataclass(frozen=True, slots=True)
class MessageWithdrawn:
    message: str


@dataclass(frozen=True, slots=True)
class EndAnswered:
    """The refusal or failure of a message has been heard; see Settings.ends_answered."""

    message: str


@dataclass(frozen=True, slots=True)
class Stopping:
    """The process ends after `left`; a call that is out then ends as a reset."""

    left: int


@dataclass(frozen=True, slots=True)
class WakeUp:
    pass


Event = (
    EndpointsListed
    | MessageTaken
    | MessageRestored
    | Inherited
    | AttemptEnded
    | MessageWithdrawn
    | EndAnswered
    | Stopping
    | WakeUp
)

# Actions: what this sender should do, in this order.


@dataclass(frozen=True, slots=True)
class Send:
    message: str
    endpoint: str
    timeout: int
    attempt: int = 0


@dataclass(frozen=True, slots=True)
class Refuse:
    """End a message; the client may safely hand it in again."""

    message: str
    retry_after: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """End a message for good, with no promise about its effect."""

    message: str


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    message: str
    attempt: int


@dataclass(frozen=True, slots=True)
class WakeAfter:
    delay: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask for the list of endpoints and for its changes from now on."""


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close the idle connections to an endpoint."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class Note:
    """A line for the operators, such as a change of a breaker's state."""

    text: str


Action = Send | Refuse | Fail | CancelAttempt | WakeAfter | Subscribe | CloseIdle | Note


class Leave(Protocol):
    """What a budget that the fleet shares leaves this sender. Nothing here decides anything: the module asks,
    and reserves what it is about to use."""

    def free_at(self, listed: Endpoint, now: int, trial: bool = False, again: bool = False) -> float:
        """When one more call may go there: now, later, or not before a part grows or a call ends; what was
        denied is made known then (`EndpointRegistry.leave_grew`). `trial`: of a destination that is in doubt;
        `again`: of a message that went before."""

    def reserve(self, listed: Endpoint, message: str, trial: bool = False, again: bool = False) -> None: ...
