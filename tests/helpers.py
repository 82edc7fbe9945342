"""Settings, endpoints and a simulated dispatcher for the tests of the decision module."""

from message_sender import Dispatcher
from message_sender.policy.actions import Fail, PolicyAction, Reject, Send
from message_sender.policy.events import AttemptEnded, EndpointsUpdated, MessageAccepted, PolicyEvent
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

MS = 1_000
SECOND = 1_000_000
SAFE = MessageClass("safe", 2 * SECOND, 20 * SECOND, 1.0, 0.3, Effect.IDEMPOTENT)
KEYED = MessageClass("keyed", 2 * SECOND, 20 * SECOND, 1.0, 0.3, Effect.KEYED, idempotency_window=5 * SECOND)
ZONED = MessageClass("zoned", 2 * SECOND, 20 * SECOND, 1.0, 0.3, Effect.KEYED, 5 * SECOND, True)
ONCE = MessageClass("once", 2 * SECOND, 20 * SECOND, 3.0, 0.3, Effect.UNSAFE)
ORDERED = MessageClass("ordered", 2 * SECOND, 20 * SECOND, 1.0, 0.3, Effect.IDEMPOTENT, is_ordered=True)


def settings(**changes: object) -> Settings:
    """Returns settings with all classes of this module, with `changes` applied."""
    values: dict[str, object] = {
        "classes": (SAFE, KEYED, ZONED, ONCE, ORDERED),
        "kinds": (
            ("plain", DestinationKind()),
            ("apart", DestinationKind(batch_size=5, has_separate_routes=True)),
        ),
        "slots": 20,
        "max_open": 100,
        "max_attempts": 6,
        "zone": "z1",
        "tick": 5 * MS,
        "key_pause": 300 * MS,
    }
    return Settings(**(values | changes))  # type: ignore[arg-type]


def endpoint(name: str, destination: int = 1, **changes: object) -> Endpoint:
    """Returns a ready endpoint in zone z1, with `changes` applied."""
    values: dict[str, object] = {"state": EndpointState.READY, "kind": "plain", "zone": "z1"}
    return Endpoint(name, destination, **(values | changes))  # type: ignore[arg-type]


class World:
    """A dispatcher with its clock, in microseconds, and the number of the latest attempt of each message."""

    def __init__(self, *endpoints: Endpoint, **changes: object) -> None:
        self.dispatcher = Dispatcher(settings(**changes), seed=7)
        self.now = 0
        self.attempts: dict[str, int] = {}
        self.count = 0
        self.step(EndpointsUpdated(ListingKind.FULL, endpoints or (endpoint("a"),)))

    def step(self, *events: PolicyEvent, after: int = 0) -> list[PolicyAction]:
        """Advances the clock by `after` microseconds, handles the events and returns the actions."""
        self.now += after
        actions = self.dispatcher.handle(self.now, events)
        for action in actions:
            if isinstance(action, Send):
                self.attempts[action.message] = self.attempts.get(action.message, -1) + 1
        return actions

    def accept(self, kind: str = "safe", after: int = 0, **changes: object) -> list[PolicyAction]:
        """Accepts a new message of the class `kind` after `after` microseconds and returns the actions."""
        self.count += 1
        values: dict[str, object] = {
            "message": f"m{self.count}",
            "destination": 1,
            "time_left_us": 20 * SECOND,
        }
        return self.step(MessageAccepted(message_class=kind, **(values | changes)), after=after)  # type: ignore[arg-type]

    def end_attempt(
        self, message: str, outcome: Outcome, after: int = 10 * MS, wait: int = 0
    ) -> list[PolicyAction]:
        """Ends the latest attempt of a message after `after` microseconds and returns the actions."""
        ok = outcome is Outcome.OK
        return self.step(AttemptEnded(message, self.attempts[message], outcome, ok, wait), after=after)

    def open_breaker(self) -> None:
        """Fail unsafe messages until the breaker of destination 1 opens; no message stays held."""
        for _ in range(5):
            if not sent_messages(self.accept("once")):
                return
            self.end_attempt(f"m{self.count}", Outcome.RESET)
        raise AssertionError("the breaker did not open")


def sent_messages(actions: list[PolicyAction]) -> list[str]:
    """Returns the messages that are sent by these actions."""
    return [each.message for each in actions if isinstance(each, Send)]


def rejected_or_failed(actions: list[PolicyAction]) -> list[PolicyAction]:
    """Returns the actions that reject or fail a message."""
    return [each for each in actions if isinstance(each, Reject | Fail)]


#: A settings object as the platform passes it to an instance.
ENV = {
    "limits": {
        "conn_idle": 10000000,
        "attempts_cap": 6,
        "cancelling": True,
        "max_open": 50,
        "max_retry_after": 2000000,
        "retry_after": True,
    },
    "safety": {
        "ask_within": 10000000,
        "cold": 13000000,
        "cold_from": 0.2,
        "drain_grace": 1,
        "fall_multiple": 2,
    },
    "specifics": {"batch_by_kind": [1], "own_limits": [False], "slots": 9, "loses_worth": "line", "new": 1},
    "services": [
        {
            "name": "c",
            "aim": 800000,
            "deadline": 8000000,
            "credit": 1.0,
            "late_worth": 0.1,
            "semantics": "repeatable",
        }
    ],
    "models": ["k"],
    "zones": ["z"],
    "locality": "z",
    "tick": 5000,
    "fleet_size": 2,
    "customers": [],
    "membership_mode": "pushed",
    "weight_kind": "none",
}
