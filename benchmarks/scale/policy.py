"""All that the scale tests use of the decision module, in one place."""

from collections.abc import Sequence

from message_sender import Dispatcher
from message_sender import interface as face

MICROSECONDS = 1_000_000
SEED = 1
DEADLINE_US = 3_600 * MICROSECONDS
ENDPOINTS_OF_ZONE = "z1"
MESSAGE_CLASS = face.MessageClass("safe", 2 * MICROSECONDS, DEADLINE_US, 1.0, 0.3, face.Effect.SAFE)


def settings(slots: int, max_open: int, must_ask: bool = False, fleet_size: int = 1) -> face.Settings:
    """One class, one kind of destination with one endpoint each."""
    return face.Settings(
        classes=(MESSAGE_CLASS,),
        kinds=(("plain", face.Kind()),),
        slots=slots,
        max_open=max_open,
        max_attempts=6,
        zone=ENDPOINTS_OF_ZONE,
        tick=5_000,
        must_ask=must_ask,
        fleet_size=fleet_size,
    )


def make_dispatcher(slots: int, max_open: int, must_ask: bool = False, fleet_size: int = 1) -> Dispatcher:
    """`must_ask`: the list of endpoints comes only when it is asked for."""
    return Dispatcher(settings(slots, max_open, must_ask, fleet_size), SEED)


def endpoint(number: int, state: face.EndpointState = face.EndpointState.READY) -> face.Endpoint:
    """The only endpoint of destination `number`."""
    return face.Endpoint(f"e{number}", number, state, "plain", ENDPOINTS_OF_ZONE)


def full_list(count: int) -> face.EndpointsListed:
    return face.EndpointsListed(face.Listing.FULL, tuple(endpoint(number) for number in range(count)))


def one_change(number: int, state: face.EndpointState) -> face.EndpointsListed:
    return face.EndpointsListed(face.Listing.CHANGES, (endpoint(number, state),))


def taken(name: str, destination: int) -> face.MessageTaken:
    return face.MessageTaken(name, MESSAGE_CLASS.name, destination, DEADLINE_US)


def restored(name: str, destination: int) -> face.MessageRestored:
    """A message that an earlier process took on and never sent."""
    return face.MessageRestored(taken(name, destination), 0, None, "")


def sends(actions: Sequence[face.Action]) -> list[face.Send]:
    return [action for action in actions if isinstance(action, face.Send)]


def delivered(send: face.Send) -> face.AttemptEnded:
    return face.AttemptEnded(send.message, send.attempt, face.Outcome.OK, finished=True)


def held_count(dispatcher: Dispatcher) -> int:
    """Messages that are owed."""
    return len(dispatcher.messages)


def refused(send: face.Send) -> face.AttemptEnded:
    """Nobody listens there."""
    return face.AttemptEnded(send.message, send.attempt, face.Outcome.CONNECT_FAILED)


def wake_after_us(actions: Sequence[face.Action]) -> int | None:
    """When the module asks to be called again; None: as it asked before, or not at all."""
    delays = [action.delay for action in actions if isinstance(action, face.WakeAfter)]
    return delays[-1] if delays else None
