"""Events: what happened to this sender, as the delivery policy receives it.

Durations and times are whole microseconds of the sender's own clock.
"""

from dataclasses import dataclass

from message_sender.policy.model import Endpoint, ListingKind, Outcome


@dataclass(frozen=True, slots=True)
class EndpointsUpdated:
    """The list of endpoints, or a change of it.

    Attributes:
        listing: What the list holds.
        endpoints: The entries.
        returned: Ids of entries that were out of service and have to warm up.
    """

    listing: ListingKind
    endpoints: tuple[Endpoint, ...] = ()
    returned: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class MessageAccepted:
    """A client submitted a message, and the sender accepted it.

    Attributes:
        message: Id of the message.
        message_class: Name of its class.
        destination: Number of its destination.
        time_left_us: Until its deadline.
        tenant: Whose quota it counts against; may be empty.
        key: Messages of one key are delivered in order; empty: it has no order.
        is_repeat: The client says that it submitted the message before.
        pinned_endpoint: The endpoint that it has to go to while that one is listed.
    """

    message: str
    message_class: str
    destination: int
    time_left_us: int
    tenant: str = ""
    key: str = ""
    is_repeat: bool = False
    pinned_endpoint: str = ""


@dataclass(frozen=True, slots=True)
class CallInFlight:
    """A call of the predecessor process, which will forward its result.

    The names of the fields are keys in the handover packet.

    Attributes:
        endpoint: Id of the endpoint.
        zone: The endpoint's zone.
        sent: When the call was sent.
        trial: It is the trial call of its breaker.
        overdue: It has been counted as overdue.
    """

    endpoint: str
    zone: str
    sent: int
    trial: bool = False
    overdue: bool = False


@dataclass(frozen=True, slots=True)
class MessageRestored:
    """A message that an earlier process of this sender accepted.

    Attributes:
        accepted: The message.
        attempts: Number of attempts so far; one in flight when the process ended has ended as a reset.
        uncertain_since: When the first attempt that may have run was sent; None if there is none.
        uncertain_zone: The zone of that attempt.
        outcomes: Endpoint and outcome of each attempt that has one.
        is_handed_over: By a process that still runs: no attempt is in doubt, and `InheritedState` follows.
        call: With `is_handed_over`, the call of its last attempt, if it is in flight.
        is_completed: With `is_handed_over`, its completion is sent and not acknowledged.
        weight_factor: As determined when it was accepted; None: determine it now.
    """

    accepted: MessageAccepted
    attempts: int
    uncertain_since: int | None
    uncertain_zone: str
    outcomes: tuple[tuple[str, Outcome], ...] = ()
    is_handed_over: bool = False
    call: CallInFlight | None = None
    is_completed: bool = False
    weight_factor: float | None = None


@dataclass(frozen=True, slots=True)
class InheritedState:
    """What the predecessor knew besides its messages; both processes share the clock.

    The names of the fields are keys in the handover packet.

    Attributes:
        breakers: Destination, route and the breaker's fields by recorded name, see `state_transfer`.
        endpoints: Endpoint id and its fields by recorded name.
        keys: Key and the end of its pause.
        credit: Tenant, its unused quota in messages, and as of when.
        silent: Inactive destinations, and since when.
    """

    breakers: tuple[tuple[int, str, dict[str, float]], ...] = ()
    endpoints: tuple[tuple[str, dict[str, float]], ...] = ()
    keys: tuple[tuple[str, int], ...] = ()
    credit: tuple[tuple[str, float, int], ...] = ()
    silent: tuple[tuple[int, float], ...] = ()


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has a result.

    Attributes:
        message: Id of the message.
        attempt: Number of the attempt, from 0.
        outcome: How it ended.
        finished: Nothing more is owed for the message.
        wait: With FULL: the Retry-After that the destination announced; 0 for none.
    """

    message: str
    attempt: int
    outcome: Outcome
    finished: bool = False
    wait: int = 0


@dataclass(frozen=True, slots=True)
class MessageWithdrawn:
    """The client no longer wants the message delivered."""

    message: str


@dataclass(frozen=True, slots=True)
class EndAcknowledged:
    """The client has the rejection or failure of a message, see Settings.acknowledges_completions."""

    message: str


@dataclass(frozen=True, slots=True)
class Stopping:
    """The process ends after this time; a call in flight then ends as a reset."""

    remaining_us: int


@dataclass(frozen=True, slots=True)
class WakeUp:
    """The time that the last `WakeAfter` set has come."""


PolicyEvent = (
    EndpointsUpdated
    | MessageAccepted
    | MessageRestored
    | InheritedState
    | AttemptEnded
    | MessageWithdrawn
    | EndAcknowledged
    | Stopping
    | WakeUp
)
