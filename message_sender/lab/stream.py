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

from message_sender import interface as face
from message_sender.interface import Effect, EndpointState, Listing, Outcome

MS, SECOND = 1_000, 1_000_000
Handle = Callable[[int, list[face.Event]], list[face.Action]]
TYPES: dict[str, Any] = {
    name: each
    for name, each in vars(face).items()
    if dataclasses.is_dataclass(each) or (isinstance(each, type) and issubclass(each, Enum))
}

CLASSES = (
    face.MessageClass("safe", 2 * SECOND, 20 * SECOND, 1.0, 0.3, Effect.SAFE),
    face.MessageClass("keyed", SECOND, 12 * SECOND, 1.0, 0.1, Effect.KEYED, 5 * SECOND, True, True),
    face.MessageClass("once", 4 * SECOND, 20 * SECOND, 3.0, 0.0, Effect.UNSAFE, in_order=True),
)


class Mood(Enum):
    """What a destination does with calls."""

    SERVES = "serves"
    REFUSES = "refuses"  # as full, often with a wait
    SHUT = "shut"  # connections fail at once
    SILENT = "silent"  # calls time out
    ERRS = "errs"  # most calls end in an error, some in a reset
    SLOW = "slow"  # serves, thirty times as slowly


@dataclass(frozen=True)
class Shape:
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

    def __init__(self, shape: Shape, seed: int) -> None:
        self.shape, self.chance = shape, random.Random(seed)
        told: dict[str, Any] = {
            "classes": CLASSES, "kinds": (("plain", face.Kind()), ("apart", face.Kind(apart=True))),
            "slots": 24, "max_open": 120, "max_attempts": 6, "zone": "z0", "tick": 5 * MS, "fleet_size": 3,
            "tenants": (("t0", 40.0), ("t1", 20.0)), "over_share_worth": 0.1, "halves": True,
            "rates_told": True, "max_retry_after": 2 * SECOND, "key_quiet": 100 * MS, "ends_answered": True,
        }  # fmt: skip
        self.settings = face.Settings(**told | shape.settings)
        self.now, self.count = 0, itertools.count()
        self.queue: list[tuple[int, int, face.Event | Callable[[], list[face.Event]]]] = []
        self.endpoints = {each.id: each for n in range(shape.destinations) for each in self.places(n)}
        self.moods: dict[int, Mood] = dict.fromkeys(range(shape.down), Mood.SHUT)
        self.out: set[tuple[str, int]] = set()
        self.told: Counter[str] = Counter()

    def places(self, number: int) -> Iterator[face.Endpoint]:
        kind = "apart" if number % 4 == 0 else "plain"
        for each in range(1 + number % 3):
            name = f"e{number}-{each}"
            yield face.Endpoint(name, number, EndpointState.READY, kind, f"z{each}", 5.0 + number % 7)

    def at(self, delay: float, what: "face.Event | Callable[[], list[face.Event]]") -> None:
        heapq.heappush(self.queue, (self.now + max(int(delay), 0), next(self.count), what))

    def run(self, handle: Handle, heard: Callable[[int, list[face.Event], list[face.Action]], None]) -> None:
        self.at(0, face.EndpointsListed(Listing.FULL, tuple(self.endpoints.values())))
        self.at(0, self.arrive)
        for what, rate in ((self.change_list, self.shape.lists), (self.change_mood, self.shape.moody)):
            if rate:
                self.at(SECOND, what)
        while self.queue and self.queue[0][0] < self.shape.seconds * SECOND:
            self.now = -(-self.queue[0][0] // MS) * MS  # events of one millisecond come together
            events: list[face.Event] = []
            while self.queue and self.queue[0][0] <= self.now:
                event = heapq.heappop(self.queue)[2]
                events += self.still(event) if isinstance(event, face.Event) else event()
            actions = handle(self.now, events)
            heard(self.now, events, actions)
            for action in actions:
                self.act(action)

    def still(self, event: face.Event) -> list[face.Event]:
        if isinstance(event, face.AttemptEnded):
            if (event.message, event.attempt) not in self.out:
                return []
            self.out.discard((event.message, event.attempt))
        return [event]

    def arrive(self) -> list[face.Event]:
        shape, chance, number = self.shape, self.chance, next(self.count)
        self.at(chance.expovariate(shape.rate) * SECOND, self.arrive)
        kind = chance.choice(CLASSES)
        if chance.random() < shape.withdrawn:
            self.at(chance.uniform(0, SECOND), face.MessageWithdrawn(f"m{number}"))
        return [
            face.MessageTaken(
                message=f"m{number}",
                message_class=kind.name,
                destination=int(shape.destinations * chance.random() ** 2),
                time_left=kind.deadline - chance.choice((0, chance.randrange(kind.deadline // 2))),
                tenant=f"t{chance.randrange(3)}",
                key=f"k{chance.randrange(shape.keys)}" if shape.keys else "",
            )
        ]

    def change_mood(self) -> list[face.Event]:
        shape, chance = self.shape, self.chance
        free = range(shape.down, shape.destinations)
        for each in free:
            if chance.random() < 1 / shape.mood:
                bad = chance.random() < shape.moody
                self.moods[each] = chance.choice(list(Mood)) if bad else Mood.SERVES
        self.at(SECOND, self.change_mood)
        return []

    def change_list(self) -> list[face.Event]:
        chance = self.chance
        self.at(chance.expovariate(self.shape.lists) * SECOND, self.change_list)
        if chance.random() < 0.1:
            ready = tuple(each for each in self.endpoints.values() if each.state is EndpointState.READY)
            return [face.EndpointsListed(Listing.FULL, ready)]
        name = chance.choice(list(self.endpoints))
        state = chance.choice((EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE))
        self.endpoints[name] = changed = dataclasses.replace(self.endpoints[name], state=state)
        return [face.EndpointsListed(Listing.CHANGES, (changed,))]

    def act(self, action: face.Action) -> None:
        self.told[type(action).__name__] += 1
        match action:
            case face.Send():
                self.out.add((action.message, action.attempt))
                self.call(action)
            case face.CancelAttempt(message, attempt):
                self.at(MS, face.AttemptEnded(message, attempt, Outcome.CANCELLED))
            case face.Refuse(message) | face.Fail(message):
                self.at(2 * MS, face.EndAnswered(message))
            case face.WakeAfter(delay):
                self.at(delay, face.WakeUp())

    def call(self, send: face.Send) -> None:
        chance, mood = self.chance, self.moods.get(self.endpoints[send.endpoint].destination, Mood.SERVES)
        took, outcome, wait = chance.expovariate(1 / 60) * MS + 10 * MS, Outcome.OK, 0
        if mood is Mood.REFUSES and chance.random() < 0.8:
            took, outcome, wait = 8 * MS, Outcome.FULL, chance.choice((0, 200 * MS, SECOND))
        elif mood is Mood.SHUT:
            took, outcome = 3 * MS, Outcome.CONNECT_FAILED
        elif mood is Mood.ERRS and chance.random() < 0.8:
            outcome = chance.choice((Outcome.ERROR, Outcome.SPOILT, Outcome.RESET, Outcome.STALE))
        elif mood is Mood.SLOW:
            took *= 30
        if mood is Mood.SILENT or took >= send.timeout:
            took, outcome = send.timeout, Outcome.TIMEOUT
        ended = face.AttemptEnded(send.message, send.attempt, outcome, outcome is Outcome.OK, wait)
        self.at(took, ended)


# The record: JSON lines, the settings first, then one line a call of the module.


def plain(value: Any) -> Any:  # noqa: ANN401
    if isinstance(value, Enum):
        return {"is": type(value).__name__, "value": value.value}
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        fields = {each.name: plain(getattr(value, each.name)) for each in dataclasses.fields(value)}
        return {"is": type(value).__name__, **fields}
    return [plain(each) for each in value] if isinstance(value, tuple | list) else value


def unplain(told: Any) -> Any:  # noqa: ANN401
    """Raises KeyError for a type that the interface does not have."""
    if isinstance(told, list):
        return tuple(unplain(each) for each in told)
    if not isinstance(told, dict):
        return told
    fields = {name: unplain(each) for name, each in told.items() if name != "is"}
    return TYPES[told["is"]](**fields)


class Recorder:
    """Writes what a module is told and says; wrap its `handle` with it."""

    def __init__(self, out: IO[str], settings: face.Settings, seed: int, handle: Handle) -> None:
        self.out, self.handle = out, handle
        print(json.dumps({"settings": plain(settings), "seed": seed}), file=out)

    def __call__(self, now: int, events: list[face.Event]) -> list[face.Action]:
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
