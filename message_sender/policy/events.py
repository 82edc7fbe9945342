"""Events: what happened to this sender, as the delivery policy is told it.

Durations and times are whole microseconds of the sender's own clock.
"""

from dataclasses import dataclass

from message_sender.policy.model import Endpoint, ListingKind, Outcome


@dataclass(frozen=True, slots=True)
class EndpointsUpdated:
    listing: ListingKind
    endpoints: tuple[Endpoint, ...] = ()
    returned: tuple[str, ...] = ()  # of these, ids that were kept out of service: to be warmed


@dataclass(frozen=True, slots=True)
class MessageAccepted:
    message: str
    message_class: str
    destination: int
    time_left: int
    tenant: str = ""
    key: str = ""  # empty: not kept in order
    is_repeat: bool = False  # the client says it was handed in before
    pinned_endpoint: str = ""  # the endpoint that it is to go to, as long as that one is there


@dataclass(frozen=True, slots=True)
class CallInFlight:
    """A call that the process before has out and will tell the end of."""

    endpoint: str
    zone: str
    sent: int
    trial: bool = False
    overdue: bool = False  # that it is has been counted


@dataclass(frozen=True, slots=True)
class MessageRestored:
    """A message that an earlier process of this sender took on."""

    taken: MessageAccepted
    attempts: int  # so far; one that was out when the process ended has ended as a reset
    risky_since: int | None  # sending of the first attempt that may have run
    risky_zone: str
    outcomes: tuple[tuple[str, Outcome], ...] = ()  # endpoint and outcome of each attempt that has one
    handed: bool = False  # by a process that still runs: nothing is in doubt, `InheritedState` tells the rest
    call: CallInFlight | None = None  # of its last attempt, with `handed`
    ended: bool = False  # its end is told and not answered yet, with `handed`
    share: float | None = None  # of its worth, as it was taken on; None: as is found now


@dataclass(frozen=True, slots=True)
class InheritedState:
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
class EndAcknowledged:
    """The refusal or failure of a message has been heard; see Settings.ends_answered."""

    message: str


@dataclass(frozen=True, slots=True)
class Stopping:
    """The process ends after `left`; a call that is out then ends as a reset."""

    left: int


@dataclass(frozen=True, slots=True)
class WakeUp:
    pass


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
