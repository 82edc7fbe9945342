"""Helpers through which the scale tests use the decision module (message_sender.policy)."""

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
    """Returns settings with one message class and one kind of destination, with one endpoint each."""
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
    """Returns a dispatcher; with `must_poll` it receives the list of endpoints only on request."""
    return Dispatcher(settings(slots, max_open, must_poll, fleet_size), SEED)


def endpoint(number: int, state: EndpointState = EndpointState.READY) -> Endpoint:
    """Returns the only endpoint of destination `number`."""
    return Endpoint(f"e{number}", number, state, "plain", ENDPOINTS_OF_ZONE)


def full_list(count: int) -> EndpointsUpdated:
    """Returns a full list of `count` destinations."""
    return EndpointsUpdated(ListingKind.FULL, tuple(endpoint(number) for number in range(count)))


def one_change(number: int, state: EndpointState) -> EndpointsUpdated:
    """Returns a list update that changes the state of one endpoint."""
    return EndpointsUpdated(ListingKind.CHANGES, (endpoint(number, state),))


def accepted(name: str, destination: int) -> MessageAccepted:
    """Returns the event of a newly accepted message."""
    return MessageAccepted(name, MESSAGE_CLASS.name, destination, DEADLINE_US)


def restored(name: str, destination: int) -> MessageRestored:
    """Returns the event of a message that an earlier process accepted and never sent."""
    return MessageRestored(accepted(name, destination), 0, None, "")


def sends(actions: Sequence[PolicyAction]) -> list[Send]:
    """Returns the attempts that the actions start."""
    return [action for action in actions if isinstance(action, Send)]


def delivered(send: Send) -> AttemptEnded:
    """Returns the event of a successful attempt."""
    return AttemptEnded(send.message, send.attempt, Outcome.OK, finished=True)


def held_count(dispatcher: Dispatcher) -> int:
    """Returns the number of accepted messages that are neither delivered nor ended."""
    return len(dispatcher.messages)


def connection_refused(send: Send) -> AttemptEnded:
    """Returns the event of an attempt that failed because nothing listens at the endpoint."""
    return AttemptEnded(send.message, send.attempt, Outcome.CONNECT_FAILED)


def wake_after_us(actions: Sequence[PolicyAction]) -> int | None:
    """Returns the requested delay until the next call in us, or None if the actions do not change it."""
    delays = [action.delay_us for action in actions if isinstance(action, WakeAfter)]
    return delays[-1] if delays else None
