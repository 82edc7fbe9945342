"""Event streams for the decision module: a simulated world that generates them, and a format to record them.

The world is a closed loop: the actions of the module decide the next events. All random choices come from one
seed and no clock is read, so that a stream can be generated again, recorded, and replayed with another
version of the module.
"""

import dataclasses
import heapq
import itertools
import json
import random
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import IO, Any

from message_sender.policy import actions, events, model
from message_sender.policy.actions import CancelAttempt, Fail, LogLine, PolicyAction, Reject, Send, WakeAfter
from message_sender.policy.events import (
    AttemptEnded,
    CallInFlight,
    CompletionAcknowledged,
    EndpointsUpdated,
    InheritedState,
    MessageAccepted,
    MessageWithdrawn,
    PolicyEvent,
    WakeUp,
)
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

MS, SECOND = 1_000, 1_000_000
Handle = Callable[[int, list[PolicyEvent]], list[PolicyAction]]
Observer = Callable[[int, list[PolicyEvent], list[PolicyAction]], None]
Scheduled = PolicyEvent | Callable[[], list[PolicyEvent]]
#: Types whose name in recorded streams differs from their own. The recorded names never change, so that
#: streams of every version can be read.
RECORDED_NAMES: dict[type, str] = {
    CallInFlight: "CallOut",
    DestinationKind: "Kind",
    CompletionAcknowledged: "EndAnswered",
    EndpointsUpdated: "EndpointsListed",
    InheritedState: "Inherited",
    ListingKind: "Listing",
    LogLine: "Note",
    MessageAccepted: "MessageTaken",
    Reject: "Refuse",
}


def recorded_name(recorded_type: Any) -> str:  # noqa: ANN401
    """Return the name of a type in a recorded stream."""
    return RECORDED_NAMES.get(recorded_type) or str(recorded_type.__name__)


#: Fields whose name in recorded streams differs from their own.
RECORDED_FIELDS = {
    "accepted": "taken",
    "acknowledges_completions": "ends_answered",
    "announces_rates": "rates_told",
    "batch_size": "batch",
    "delay_us": "delay",
    "halves_late_weight": "halves",
    "has_local_list": "list_at_hand",
    "has_separate_routes": "apart",
    "idempotency_window": "window",
    "is_completed": "ended",
    "is_handed_over": "handed",
    "is_ordered": "in_order",
    "is_repeat": "again",
    "is_window_zonal": "window_by_zone",
    "key_pause": "key_quiet",
    "late_priority_weight": "late_worth",
    "latency_objective": "aim",
    "must_poll": "must_ask",
    "over_quota_weight": "over_share_worth",
    "pinned_endpoint": "pinned",
    "poll_interval_limit": "ask_within",
    "priority_weight": "worth",
    "remaining_us": "left",
    "retry_after_us": "retry_after",
    "slow_start": "cold",
    "slow_start_from": "cold_from",
    "time_left_us": "time_left",
    "timeout_us": "timeout",
    "uncertain_since": "risky_since",
    "uncertain_zone": "risky_zone",
    "weight_factor": "share",
}
FIELDS: dict[str, str] = {recorded: name for name, recorded in RECORDED_FIELDS.items()}
TYPES: dict[str, Any] = {
    recorded_name(each): each
    for module in (actions, events, model)
    for each in vars(module).values()
    if dataclasses.is_dataclass(each) or (isinstance(each, type) and issubclass(each, Enum))
}

CLASSES = (
    MessageClass("safe", 2 * SECOND, 20 * SECOND, 1.0, 0.3, Effect.IDEMPOTENT),
    MessageClass("keyed", SECOND, 12 * SECOND, 1.0, 0.1, Effect.KEYED, 5 * SECOND, True, True),
    MessageClass("once", 4 * SECOND, 20 * SECOND, 3.0, 0.0, Effect.UNSAFE, is_ordered=True),
)


class DestinationBehavior(Enum):
    """The behavior of a destination towards calls."""

    SERVES = "serves"
    REFUSES = "refuses"  # rejects most calls as full, often with a Retry-After
    SHUT = "shut"  # connections fail at once
    SILENT = "silent"  # calls time out
    ERRS = "errs"  # most calls end in an error, some in a reset
    SLOW = "slow"  # serves, but takes thirty times as long


@dataclass(frozen=True)
class StreamShape:
    """The size and the faults of a simulated world; rates are per second of simulated time."""

    destinations: int = 6
    rate: float = 60.0
    seconds: float = 20.0
    keys: int = 12  # number of ordering keys; 0 for messages without a key
    fault_share: float = 0.3  # probability that a changed behavior is drawn from all behaviors, else SERVES
    behavior_seconds: float = 3.0  # mean duration of a behavior, in seconds
    down: int = 0  # number of destinations that refuse all connections
    list_change_rate: float = 0.5
    withdrawn_share: float = 0.01  # share of the messages that are withdrawn
    settings: dict[str, Any] = field(default_factory=dict)


class StreamWorld:
    """A simulated world of destinations and messages; its time is in microseconds."""

    def __init__(self, shape: StreamShape, seed: int) -> None:
        """Create a world; all its random choices come from `seed`."""
        self.shape = shape
        self.rng = random.Random(seed)
        settings: dict[str, Any] = {
            "classes": CLASSES,
            "kinds": (("plain", DestinationKind()), ("apart", DestinationKind(has_separate_routes=True))),
            "slots": 24, "max_open": 120, "max_attempts": 6, "zone": "z0", "tick": 5 * MS, "fleet_size": 3,
            "tenants": (("t0", 40.0), ("t1", 20.0)), "over_quota_weight": 0.1, "halves_late_weight": True,
            "announces_rates": True, "max_retry_after": 2 * SECOND, "key_pause": 100 * MS,
            "acknowledges_completions": True,
        }  # fmt: skip
        self.settings = Settings(**settings | shape.settings)
        self.now = 0
        self.count = itertools.count()
        self.queue: list[tuple[int, int, Scheduled]] = []
        self.endpoints = {each.id: each for n in range(shape.destinations) for each in self.list_endpoints(n)}
        self.behaviors: dict[int, DestinationBehavior] = dict.fromkeys(
            range(shape.down), DestinationBehavior.SHUT
        )
        self.in_flight: set[tuple[str, int]] = set()
        self.action_counts: Counter[str] = Counter()

    def list_endpoints(self, number: int) -> Iterator[Endpoint]:
        """Yield the endpoints of a destination."""
        kind = "apart" if number % 4 == 0 else "plain"
        for each in range(1 + number % 3):
            name = f"e{number}-{each}"
            yield Endpoint(name, number, EndpointState.READY, kind, f"z{each}", 5.0 + number % 7)

    def schedule(self, delay: float, event: Scheduled) -> None:
        """Schedule an event, or a function that returns events, after `delay` microseconds."""
        heapq.heappush(self.queue, (self.now + max(int(delay), 0), next(self.count), event))

    def run(self, handle: Handle, observe: Observer) -> None:
        """Run the world with the `handle` function of a module, and report each call to `observe`."""
        self.schedule(0, EndpointsUpdated(ListingKind.FULL, tuple(self.endpoints.values())))
        self.schedule(0, self.arrive)
        for change, rate in (
            (self.change_list, self.shape.list_change_rate),
            (self.change_behaviors, self.shape.fault_share),
        ):
            if rate:
                self.schedule(SECOND, change)
        while self.queue and self.queue[0][0] < self.shape.seconds * SECOND:
            self.now = -(-self.queue[0][0] // MS) * MS  # deliver all events of one millisecond together
            events: list[PolicyEvent] = []
            while self.queue and self.queue[0][0] <= self.now:
                event = heapq.heappop(self.queue)[2]
                events += self.if_current(event) if isinstance(event, PolicyEvent) else event()
            actions = handle(self.now, events)
            observe(self.now, events, actions)
            for action in actions:
                self.apply(action)

    def if_current(self, event: PolicyEvent) -> list[PolicyEvent]:
        """Return the event, or no event if it reports the end of an attempt that has already ended."""
        if isinstance(event, AttemptEnded):
            if (event.message, event.attempt) not in self.in_flight:
                return []
            self.in_flight.discard((event.message, event.attempt))
        return [event]

    def arrive(self) -> list[PolicyEvent]:
        """Return the acceptance of a new message, and schedule the next arrival."""
        shape = self.shape
        rng = self.rng
        number = next(self.count)
        self.schedule(rng.expovariate(shape.rate) * SECOND, self.arrive)
        message_class = rng.choice(CLASSES)
        if rng.random() < shape.withdrawn_share:
            self.schedule(rng.uniform(0, SECOND), MessageWithdrawn(f"m{number}"))
        return [
            MessageAccepted(
                message=f"m{number}",
                message_class=message_class.name,
                destination=int(shape.destinations * rng.random() ** 2),
                time_left_us=message_class.deadline
                - rng.choice((0, rng.randrange(message_class.deadline // 2))),
                tenant=f"t{rng.randrange(3)}",
                key=f"k{rng.randrange(shape.keys)}" if shape.keys else "",
            )
        ]

    def change_behaviors(self) -> list[PolicyEvent]:
        """Change the behavior of some destinations, which returns no event."""
        shape = self.shape
        rng = self.rng
        for destination in range(shape.down, shape.destinations):
            if rng.random() >= 1 / shape.behavior_seconds:
                continue
            behavior = DestinationBehavior.SERVES
            if rng.random() < shape.fault_share:
                behavior = rng.choice(list(DestinationBehavior))
            self.behaviors[destination] = behavior
        self.schedule(SECOND, self.change_behaviors)
        return []

    def change_list(self) -> list[PolicyEvent]:
        """Return a change of the endpoint list or the full list, and schedule the next change."""
        rng = self.rng
        self.schedule(rng.expovariate(self.shape.list_change_rate) * SECOND, self.change_list)
        if rng.random() < 0.1:
            ready = tuple(each for each in self.endpoints.values() if each.state is EndpointState.READY)
            return [EndpointsUpdated(ListingKind.FULL, ready)]
        name = rng.choice(list(self.endpoints))
        state = rng.choice((EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE))
        self.endpoints[name] = changed = dataclasses.replace(self.endpoints[name], state=state)
        return [EndpointsUpdated(ListingKind.CHANGES, (changed,))]

    def apply(self, action: PolicyAction) -> None:
        """Schedule the events that follow from an action."""
        self.action_counts[type(action).__name__] += 1
        match action:
            case Send():
                self.in_flight.add((action.message, action.attempt))
                self.call(action)
            case CancelAttempt(message, attempt):
                self.schedule(MS, AttemptEnded(message, attempt, Outcome.CANCELLED))
            case Reject(message) | Fail(message):
                self.schedule(2 * MS, CompletionAcknowledged(message))
            case WakeAfter(delay):
                self.schedule(delay, WakeUp())

    def call(self, send: Send) -> None:
        """Schedule the end of an attempt according to the behavior of its destination."""
        rng = self.rng
        destination = self.endpoints[send.endpoint].destination
        behavior = self.behaviors.get(destination, DestinationBehavior.SERVES)
        took = rng.expovariate(1 / 60) * MS + 10 * MS
        outcome = Outcome.OK
        wait = 0
        if behavior is DestinationBehavior.REFUSES and rng.random() < 0.8:
            took, outcome, wait = 8 * MS, Outcome.FULL, rng.choice((0, 200 * MS, SECOND))
        elif behavior is DestinationBehavior.SHUT:
            took, outcome = 3 * MS, Outcome.CONNECT_FAILED
        elif behavior is DestinationBehavior.ERRS and rng.random() < 0.8:
            outcome = rng.choice((Outcome.ERROR, Outcome.MALFORMED, Outcome.RESET, Outcome.STALE))
        elif behavior is DestinationBehavior.SLOW:
            took *= 30
        if behavior is DestinationBehavior.SILENT or took >= send.timeout_us:
            took, outcome = send.timeout_us, Outcome.TIMEOUT
        ended = AttemptEnded(send.message, send.attempt, outcome, outcome is Outcome.OK, wait)
        self.schedule(took, ended)


# The recording format: JSON lines. The first holds the settings, each further line one call of the module.


def encode(value: Any) -> Any:  # noqa: ANN401
    """Return a value of the module's interface as JSON values, with the recorded names."""
    if isinstance(value, Enum):
        return {"is": recorded_name(type(value)), "value": value.value}
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        fields = {
            RECORDED_FIELDS.get(each.name, each.name): encode(getattr(value, each.name))
            for each in dataclasses.fields(value)
        }
        return {"is": recorded_name(type(value)), **fields}
    return [encode(each) for each in value] if isinstance(value, tuple | list) else value


def decode(recorded: Any) -> Any:  # noqa: ANN401
    """Return the value that `encode` turned into these JSON values.

    Raises:
        KeyError: If the interface has no type with a recorded name.
    """
    if isinstance(recorded, list):
        return tuple(decode(each) for each in recorded)
    if not isinstance(recorded, dict):
        return recorded
    fields = {FIELDS.get(name, name): decode(each) for name, each in recorded.items() if name != "is"}
    return TYPES[recorded["is"]](**{str(name): value for name, value in fields.items()})


class Recorder:
    """Records the calls of a module; an instance is called in place of the module's `handle` function."""

    def __init__(self, out: IO[str], settings: Settings, seed: int, handle: Handle) -> None:
        """Write the settings and the seed of the stream to `out`."""
        self.out = out
        self.handle = handle
        print(json.dumps({"settings": encode(settings), "seed": seed}), file=out)

    def __call__(self, now: int, events: list[PolicyEvent]) -> list[PolicyAction]:
        """Call the module, record its events and actions, and return the actions."""
        actions = self.handle(now, events)
        line = {"now": now, "events": encode(events), "actions": encode(actions)}
        print(json.dumps(line, separators=(",", ":")), file=self.out)
        return actions


def read(source: Iterable[str]) -> Iterator[Any]:
    """Yield the settings and the seed of a recording, then the time, events and actions of each call."""
    lines = iter(source)
    head = json.loads(next(lines))
    yield decode(head["settings"]), head["seed"]
    for line in lines:
        call = json.loads(line)
        yield call["now"], list(decode(call["events"])), list(decode(call["actions"]))
