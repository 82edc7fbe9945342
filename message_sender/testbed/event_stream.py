"""Streams of events for the decision module: a world in module time that makes them, and their record.

The world is small and closed: what the module sends decides what it hears next. Everything comes from
one seed and no clock, so that a stream can be made again, written down, and heard by another version.
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
    EndAcknowledged,
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
#: Types whose name in recorded streams differs from their own: streams of every version are read.
RECORDED_NAMES: dict[type, str] = {
    CallInFlight: "CallOut",
    DestinationKind: "Kind",
    EndAcknowledged: "EndAnswered",
    EndpointsUpdated: "EndpointsListed",
    InheritedState: "Inherited",
    ListingKind: "Listing",
    LogLine: "Note",
    MessageAccepted: "MessageTaken",
    Reject: "Refuse",
}


def recorded_name(of: Any) -> str:  # noqa: ANN401
    """The name of a type in a recorded stream."""
    return RECORDED_NAMES.get(of) or str(of.__name__)


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
    """What a destination does with calls."""

    SERVES = "serves"
    REFUSES = "refuses"  # as full, often with a wait
    SHUT = "shut"  # connections fail at once
    SILENT = "silent"  # calls time out
    ERRS = "errs"  # most calls end in an error, some in a reset
    SLOW = "slow"  # serves, thirty times as slowly


@dataclass(frozen=True)
class StreamShape:
    """A world's size and troubles. Times in us, rates per second of module time."""

    destinations: int = 6
    rate: float = 60.0
    seconds: float = 20.0
    keys: int = 12  # 0: none
    moody: float = 0.3  # share of the destinations that are in trouble at a time
    mood: float = 3.0  # s that a mood lasts on the average
    down: int = 0  # so many destinations are shut for good
    lists: float = 0.5  # changes of the list a second
    withdrawn: float = 0.01  # share of the messages that are called off
    settings: dict[str, Any] = field(default_factory=dict)


class StreamWorld:
    """Run it with the module's `handle`; `heard` is told each call with its answer."""

    def __init__(self, shape: StreamShape, seed: int) -> None:
        self.shape, self.rng = shape, random.Random(seed)
        told: dict[str, Any] = {
            "classes": CLASSES,
            "kinds": (("plain", DestinationKind()), ("apart", DestinationKind(has_separate_routes=True))),
            "slots": 24, "max_open": 120, "max_attempts": 6, "zone": "z0", "tick": 5 * MS, "fleet_size": 3,
            "tenants": (("t0", 40.0), ("t1", 20.0)), "over_quota_weight": 0.1, "halves_late_weight": True,
            "announces_rates": True, "max_retry_after": 2 * SECOND, "key_pause": 100 * MS,
            "acknowledges_completions": True,
        }  # fmt: skip
        self.settings = Settings(**told | shape.settings)
        self.now, self.count = 0, itertools.count()
        self.queue: list[tuple[int, int, PolicyEvent | Callable[[], list[PolicyEvent]]]] = []
        self.endpoints = {each.id: each for n in range(shape.destinations) for each in self.places(n)}
        self.moods: dict[int, DestinationBehavior] = dict.fromkeys(
            range(shape.down), DestinationBehavior.SHUT
        )
        self.out: set[tuple[str, int]] = set()
        self.told: Counter[str] = Counter()

    def places(self, number: int) -> Iterator[Endpoint]:
        kind = "apart" if number % 4 == 0 else "plain"
        for each in range(1 + number % 3):
            name = f"e{number}-{each}"
            yield Endpoint(name, number, EndpointState.READY, kind, f"z{each}", 5.0 + number % 7)

    def at(self, delay: float, what: "PolicyEvent | Callable[[], list[PolicyEvent]]") -> None:
        heapq.heappush(self.queue, (self.now + max(int(delay), 0), next(self.count), what))

    def run(
        self, handle: Handle, heard: Callable[[int, list[PolicyEvent], list[PolicyAction]], None]
    ) -> None:
        self.at(0, EndpointsUpdated(ListingKind.FULL, tuple(self.endpoints.values())))
        self.at(0, self.arrive)
        for what, rate in ((self.change_list, self.shape.lists), (self.change_mood, self.shape.moody)):
            if rate:
                self.at(SECOND, what)
        while self.queue and self.queue[0][0] < self.shape.seconds * SECOND:
            self.now = -(-self.queue[0][0] // MS) * MS  # events of one millisecond come together
            events: list[PolicyEvent] = []
            while self.queue and self.queue[0][0] <= self.now:
                event = heapq.heappop(self.queue)[2]
                events += self.still(event) if isinstance(event, PolicyEvent) else event()
            actions = handle(self.now, events)
            heard(self.now, events, actions)
            for action in actions:
                self.act(action)

    def still(self, event: PolicyEvent) -> list[PolicyEvent]:
        if isinstance(event, AttemptEnded):
            if (event.message, event.attempt) not in self.out:
                return []
            self.out.discard((event.message, event.attempt))
        return [event]

    def arrive(self) -> list[PolicyEvent]:
        shape, rng, number = self.shape, self.rng, next(self.count)
        self.at(rng.expovariate(shape.rate) * SECOND, self.arrive)
        kind = rng.choice(CLASSES)
        if rng.random() < shape.withdrawn:
            self.at(rng.uniform(0, SECOND), MessageWithdrawn(f"m{number}"))
        return [
            MessageAccepted(
                message=f"m{number}",
                message_class=kind.name,
                destination=int(shape.destinations * rng.random() ** 2),
                time_left_us=kind.deadline - rng.choice((0, rng.randrange(kind.deadline // 2))),
                tenant=f"t{rng.randrange(3)}",
                key=f"k{rng.randrange(shape.keys)}" if shape.keys else "",
            )
        ]

    def change_mood(self) -> list[PolicyEvent]:
        shape, rng = self.shape, self.rng
        free = range(shape.down, shape.destinations)
        for each in free:
            if rng.random() < 1 / shape.mood:
                bad = rng.random() < shape.moody
                self.moods[each] = (
                    rng.choice(list(DestinationBehavior)) if bad else DestinationBehavior.SERVES
                )
        self.at(SECOND, self.change_mood)
        return []

    def change_list(self) -> list[PolicyEvent]:
        rng = self.rng
        self.at(rng.expovariate(self.shape.lists) * SECOND, self.change_list)
        if rng.random() < 0.1:
            ready = tuple(each for each in self.endpoints.values() if each.state is EndpointState.READY)
            return [EndpointsUpdated(ListingKind.FULL, ready)]
        name = rng.choice(list(self.endpoints))
        state = rng.choice((EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE))
        self.endpoints[name] = changed = dataclasses.replace(self.endpoints[name], state=state)
        return [EndpointsUpdated(ListingKind.CHANGES, (changed,))]

    def act(self, action: PolicyAction) -> None:
        self.told[type(action).__name__] += 1
        match action:
            case Send():
                self.out.add((action.message, action.attempt))
                self.call(action)
            case CancelAttempt(message, attempt):
                self.at(MS, AttemptEnded(message, attempt, Outcome.CANCELLED))
            case Reject(message) | Fail(message):
                self.at(2 * MS, EndAcknowledged(message))
            case WakeAfter(delay):
                self.at(delay, WakeUp())

    def call(self, send: Send) -> None:
        rng, mood = (
            self.rng,
            self.moods.get(self.endpoints[send.endpoint].destination, DestinationBehavior.SERVES),
        )
        took, outcome, wait = rng.expovariate(1 / 60) * MS + 10 * MS, Outcome.OK, 0
        if mood is DestinationBehavior.REFUSES and rng.random() < 0.8:
            took, outcome, wait = 8 * MS, Outcome.FULL, rng.choice((0, 200 * MS, SECOND))
        elif mood is DestinationBehavior.SHUT:
            took, outcome = 3 * MS, Outcome.CONNECT_FAILED
        elif mood is DestinationBehavior.ERRS and rng.random() < 0.8:
            outcome = rng.choice((Outcome.ERROR, Outcome.MALFORMED, Outcome.RESET, Outcome.STALE))
        elif mood is DestinationBehavior.SLOW:
            took *= 30
        if mood is DestinationBehavior.SILENT or took >= send.timeout_us:
            took, outcome = send.timeout_us, Outcome.TIMEOUT
        ended = AttemptEnded(send.message, send.attempt, outcome, outcome is Outcome.OK, wait)
        self.at(took, ended)


# The record: JSON lines, the settings first, then one line a call of the module.


def plain(value: Any) -> Any:  # noqa: ANN401
    if isinstance(value, Enum):
        return {"is": recorded_name(type(value)), "value": value.value}
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        fields = {
            RECORDED_FIELDS.get(each.name, each.name): plain(getattr(value, each.name))
            for each in dataclasses.fields(value)
        }
        return {"is": recorded_name(type(value)), **fields}
    return [plain(each) for each in value] if isinstance(value, tuple | list) else value


def unplain(told: Any) -> Any:  # noqa: ANN401
    """Raises KeyError for a type that the interface does not have."""
    if isinstance(told, list):
        return tuple(unplain(each) for each in told)
    if not isinstance(told, dict):
        return told
    fields = {FIELDS.get(name, name): unplain(each) for name, each in told.items() if name != "is"}
    return TYPES[told["is"]](**{str(name): value for name, value in fields.items()})


class Recorder:
    """Writes what a module is told and says; wrap its `handle` with it."""

    def __init__(self, out: IO[str], settings: Settings, seed: int, handle: Handle) -> None:
        self.out, self.handle = out, handle
        print(json.dumps({"settings": plain(settings), "seed": seed}), file=out)

    def __call__(self, now: int, events: list[PolicyEvent]) -> list[PolicyAction]:
        actions = self.handle(now, events)
        line = {"now": now, "events": plain(events), "actions": plain(actions)}
        print(json.dumps(line, separators=(",", ":")), file=self.out)
        return actions


def read(source: Iterable[str]) -> Iterator[Any]:
    """First the settings and the seed, then each call: time, events, actions."""
    lines = iter(source)
    head = json.loads(next(lines))
    yield unplain(head["settings"]), head["seed"]
    for line in lines:
        told = json.loads(line)
        yield told["now"], list(unplain(told["events"])), list(unplain(told["actions"]))
