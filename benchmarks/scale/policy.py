"""All that the scale tests use of the decision module, in one place."""

from collections.abc import Sequence

from message_sender import Dispatcher
from message_sender.policy.actions import PolicyAction, Send, WakeAfter
from message_sender.policy.events import AttemptEnded, EndpointsUpdated, MessageAccepted, MessageRestored
from message_sender.policy.model import (
    DestinationKind,
    Effect,
    Endpoint,
    EndpointState,
    ListingKind,
    MessageClass,
    Outcome,
    Settings,
)

MICROSECONDS = 1_000_000
SEED = 1
DEADLINE_US = 3_600 * MICROSECONDS
ENDPOINTS_OF_ZONE = "z1"
MESSAGE_CLASS = MessageClass("safe", 2 * MICROSECONDS, DEADLINE_US, 1.0, 0.3, Effect.IDEMPOTENT)


def settings(slots: int, max_open: int, must_poll: bool = False, fleet_size: int = 1) -> Settings:
    """One class, one kind of destination with one endpoint each."""
    return Settings(
        classes=(MESSAGE_CLASS,),
        kinds=(("plain", DestinationKind()),),
        slots=slots,
        max_open=max_open,
        max_attempts=6,
        zone=ENDPOINTS_OF_ZONE,
        tick=5_000,
        must_poll=must_poll,
        fleet_size=fleet_size,
    )


def make_dispatcher(slots: int, max_open: int, must_poll: bool = False, fleet_size: int = 1) -> Dispatcher:
    """`must_poll`: the list of endpoints comes only when it is asked for."""
    return Dispatcher(settings(slots, max_open, must_poll, fleet_size), SEED)


def endpoint(number: int, state: EndpointState = EndpointState.READY) -> Endpoint:
    """The only endpoint of destination `number`."""
    return Endpoint(f"e{number}", number, state, "plain", ENDPOINTS_OF_ZONE)


def full_list(count: int) -> EndpointsUpdated:
    return EndpointsUpdated(ListingKind.FULL, tuple(endpoint(number) for number in range(count)))


def one_change(number: int, state: EndpointState) -> EndpointsUpdated:
    return EndpointsUpdated(ListingKind.CHANGES, (endpoint(number, state),))


def taken(name: str, destination: int) -> MessageAccepted:
    return MessageAccepted(name, MESSAGE_CLASS.name, destination, DEADLINE_US)


def restored(name: str, destination: int) -> MessageRestored:
    """A message that an earlier process took on and never sent."""
    return MessageRestored(taken(name, destination), 0, None, "")


def sends(actions: Sequence[PolicyAction]) -> list[Send]:
    return [action for action in actions if isinstance(action, Send)]


def delivered(send: Send) -> AttemptEnded:
    return AttemptEnded(send.message, send.attempt, Outcome.OK, finished=True)


def held_count(dispatcher: Dispatcher) -> int:
    """Messages that are owed."""
    return len(dispatcher.messages)


def refused(send: Send) -> AttemptEnded:
    """Nobody listens there."""
    return AttemptEnded(send.message, send.attempt, Outcome.CONNECT_FAILED)


def wake_after_us(actions: Sequence[PolicyAction]) -> int | None:
    """When the module asks to be called again; None: as it asked before, or not at all."""
    delays = [action.delay_us for action in actions if isinstance(action, WakeAfter)]
    return delays[-1] if delays else None
