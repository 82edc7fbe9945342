"""The events that the delivery policy receives.

Durations and times are whole microseconds of the sender's own clock.
"""

from dataclasses import dataclass

from message_sender.policy.model import Endpoint, ListingKind, Outcome


@dataclass(frozen=True, slots=True)
class EndpointsUpdated:
    """An update of the endpoint list.

    Attributes:
        listing: What the update holds.
        endpoints: The entries.
        returned: Ids of endpoints that were out of service and have to warm up.
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
        time_left_us: Time left until its deadline.
        tenant: The tenant whose quota it counts against; empty for none.
        key: Messages of one key are delivered in order; empty for a message without order.
        is_repeat: The client declares that it submitted the message before.
        pinned_endpoint: Id of the endpoint that the message must be sent to while this endpoint is listed;
            empty for none.
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
    """A call that the predecessor process has in flight; that process forwards the result.

    The names of the fields are keys in the handover packet.

    Attributes:
        endpoint: Id of the endpoint.
        zone: The endpoint's zone.
        sent: When the call was sent.
        trial: Whether it is the trial call of its breaker.
        overdue: Whether it has been counted as overdue.
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
        attempts: Number of attempts so far. An attempt in flight when the process ended counts as a reset.
        uncertain_since: When the first attempt that may have run was sent; None if there is none.
        uncertain_zone: The zone of that attempt.
        outcomes: Endpoint id and outcome of each attempt that has an outcome.
        is_handed_over: A process that is still running hands the message over: the state of each attempt is
            known, and `InheritedState` follows.
        call: With `is_handed_over`: the call of the last attempt, if it is in flight.
        is_completed: Its completion is decided and not acknowledged.
        weight_factor: As determined when the message was accepted; None to determine it now.
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
    """The state of the predecessor process apart from its messages; both processes share the clock.

    The names of the fields are keys in the handover packet.

    Attributes:
        breakers: Destination, route, and the breaker's fields by recorded name (see `state_transfer`).
        endpoints: Endpoint id, and its fields by recorded name.
        keys: Key, and the end of its pause.
        credit: Tenant, its unused quota in messages, and the time of that figure.
        silent: Each inactive destination, and the time since which it is inactive.
    """

    breakers: tuple[tuple[int, str, dict[str, float]], ...] = ()
    endpoints: tuple[tuple[str, dict[str, float]], ...] = ()
    keys: tuple[tuple[str, int], ...] = ()
    credit: tuple[tuple[str, float, int], ...] = ()
    silent: tuple[tuple[int, float], ...] = ()


@dataclass(frozen=True, slots=True)
class RestoredOutage:
    """What an earlier process knew of a destination, or of a separate route.

    Attributes:
        destination: Number of the destination.
        route: Id of the endpoint, if the endpoints are separate routes; otherwise empty.
        is_out: No call was served since the outage began.
        since_us: When it was recorded as out, or when its warm-up began, us.
    """

    destination: int
    route: str
    is_out: bool
    since_us: int


@dataclass(frozen=True, slots=True)
class OutagesRestored:
    """What an earlier process, which has ended, knew of outages; follows the restored messages.

    Attributes:
        outages: The destinations that were out or warmed up.
        in_flight: Endpoint id of each call that was in flight when that process ended.
        given_up: Endpoint id of each call that it had given up, for messages that are not finished.
    """

    outages: tuple[RestoredOutage, ...] = ()
    in_flight: tuple[str, ...] = ()
    given_up: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The result of an attempt is known.

    Attributes:
        message: Id of the message.
        attempt: Number of the attempt, from 0.
        outcome: How it ended.
        finished: The message needs neither another attempt nor a completion by the policy.
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
class CompletionAcknowledged:
    """The client acknowledged a rejection or failure; see `Settings.acknowledges_completions`."""

    message: str


@dataclass(frozen=True, slots=True)
class Stopping:
    """The process ends after the given time; calls still in flight then end as resets."""

    remaining_us: int


@dataclass(frozen=True, slots=True)
class WakeUp:
    """The delay that the last `WakeAfter` requested has passed."""


PolicyEvent = (
    EndpointsUpdated
    | MessageAccepted
    | MessageRestored
    | InheritedState
    | OutagesRestored
    | AttemptEnded
    | MessageWithdrawn
    | CompletionAcknowledged
    | Stopping
    | WakeUp
)
