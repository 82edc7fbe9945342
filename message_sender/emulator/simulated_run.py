"""One life of a sender at its ports: the real engine, module and journal between models of everything else.

A life is decided by its seed alone: what clients hand in, what each destination does and for how long,
which endpoints drain, and when the process is killed (at an instant, or between two writes to its disk). It
ends when every message's time is up; then the referee judges what the models saw. A kill ends the loop with
all that was on it, as SIGKILL ends a process; the next one starts on the same folder, and the world goes on
where it was.
"""

import asyncio
import contextlib
import gc
import json
import logging
import random
import tempfile
import warnings
from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass, field
from enum import Enum
from functools import partial
from pathlib import Path

from message_sender.core.engine import Engine
from message_sender.core.engine_config import EngineConfig
from message_sender.core.ports import AttemptResult, Completion, Rejected
from message_sender.discovery.static import StaticDirectory, StaticEndpoint
from message_sender.emulator.isolation import sealed
from message_sender.emulator.loop import VirtualLoop
from message_sender.journal.process_journal import Journal
from message_sender.message import Message
from message_sender.policy.events import EndpointsUpdated
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
from message_sender.testbed import history as seen
from message_sender.testbed.event_stream import DestinationBehavior
from message_sender.testbed.history import EffectApplied, History
from message_sender.testbed.history_checker import ClassRule, HistoryChecker, Rules, Violation

SECOND = 1_000_000
EPOCH = 1_700_000_000 * SECOND  # us; wall time at the beginning of every life
QUIET, WINDOW, DEADLINE, COLD = 0.1, 3.0, 6.0, 5.0  # s
WAY = (0.001, 0.02)  # s, one way to an endpoint
SLOWLY = 0.15  # share of connections and answers that take up to SLOW longer: a drain or a wait may cross
SLOW = 0.4  # s
CAPACITY = 10.0  # calls a second that a warm destination takes; above what is offered to one on the average
OUTAGES = frozenset(
    {
        DestinationBehavior.SHUT,
        DestinationBehavior.SILENT,
        DestinationBehavior.REFUSES,
        DestinationBehavior.ERRS,
    }
)
SHORTEST = 0.5  # s; what is over sooner is no outage that a sender could tell from a stray failure
DISK = 2_000_000  # bytes


def kinds(window: float) -> dict[str, ClassRule]:
    """Every sort of message that the rules tell apart; `window` in s."""
    return {
        "safe": ClassRule(),
        "keyed": ClassRule(Effect.KEYED, window),
        "zoned": ClassRule(Effect.KEYED, window, is_zonal=True),
        "unsafe": ClassRule(Effect.UNSAFE),
        "ordered": ClassRule(Effect.KEYED, window, is_ordered=True),
        "ordered-unsafe": ClassRule(Effect.UNSAFE, is_ordered=True),
    }


KINDS = kinds(WINDOW)


#: Names of events in traces, where they differ from those of their types.
TRACE_NAMES: dict[type, str] = {
    seen.AttemptFinished: "Over",
    seen.AttemptStarted: "Began",
    seen.EndpointDrained: "Drained",
    seen.EndpointRestored: "Listed",
    seen.MessageAdmitted: "Taken",
    seen.MessageCompleted: "Ended",
    seen.MessageRejected: "Refused",
    seen.SenderRestarted: "Restarted",
}


class ProcessKilled(SystemExit):
    """SIGKILL: the loop ends here and now. Only SystemExit is let through by tasks and handles."""


@dataclass(frozen=True)
class RunSpec:
    """A life's size. Everything else is drawn from the seed."""

    seconds: float = 2.0  # in which messages come
    rate: float = 30.0  # messages a second
    destinations: int = 4
    keys: int = 4
    trouble: float = 0.5  # chance that a destination is in trouble for a while
    drains: int = 1
    kills: int = 1


@dataclass
class Outcomes:
    """What came of a life."""

    breaches: list[Violation]
    trace: list[str]  # JSON lines
    ends: dict[str, int] = field(default_factory=dict)
    calls: int = 0
    kills: int = 0
    told_again: int = 0  # ends that a later process told once more
    happenings: list["ScheduledFault"] = field(default_factory=list)  # what the seed decided and was kept


def settings() -> Settings:
    classes = tuple(
        MessageClass(
            name, 2 * SECOND, int(DEADLINE * SECOND), 1.0, 0.3, kind.effect,
            int(kind.idempotency_window * SECOND), kind.is_zonal, kind.is_ordered,
        )
        for name, kind in KINDS.items()
    )  # fmt: skip
    return Settings(
        classes=classes,
        kinds=(("plain", DestinationKind()), ("apart", DestinationKind(has_separate_routes=True))),
        slots=12, max_open=200, max_attempts=6, zone="x", tick=5_000, max_retry_after=SECOND,
        slow_start=int(COLD * SECOND), key_pause=int(QUIET * SECOND), drain_grace=SECOND // 2,
        acknowledges_completions=True,
    )  # fmt: skip


class Caller:
    """Who handed a message in: hears that it is taken on, and its end as long as the process lives."""

    def __init__(self, life: "SimulatedRun", message: Message) -> None:
        self.life, self.message = life, message

    def is_gone(self) -> bool:
        return False

    def accepted(self) -> bool:
        told = self.message
        until = (told.deadline_us - EPOCH) / SECOND
        now = self.life.time()
        self.life.history.record(
            seen.MessageAdmitted(now, told.id, told.message_class, told.destination, until, told.key)
        )
        return True

    def rejected(self, told: Rejected) -> None:
        self.life.history.record(seen.MessageRejected(self.life.time(), self.message.id))

    def withdrawn(self) -> None:
        raise AssertionError("it is never gone")

    def completed(self, end: Completion) -> None:
        self.life.ended(self.message.id, end)


class ModelTransport:
    """Calls to modelled endpoints: a way there, a mood, a way back."""

    reads_late = False

    def __init__(self, life: "SimulatedRun") -> None:
        self.life = life

    async def call(
        self, endpoint: str, message: Message, timeout: float, may_go: Callable[[], bool]
    ) -> AttemptResult:
        life, loop = self.life, asyncio.get_running_loop()
        deadline = loop.time() + timeout
        await asyncio.sleep(min(life.way(), timeout))
        mood = life.mood(endpoint)
        if mood is DestinationBehavior.SHUT or loop.time() >= deadline:
            life.saw_trouble(endpoint)
            return AttemptResult(Outcome.CONNECT_FAILED)
        if not may_go():
            return AttemptResult(Outcome.NOT_SENT)
        call = life.history.record_start(message.id, endpoint)
        took, outcome, wait = life.fate(mood)
        if outcome is not Outcome.OK:
            life.saw_trouble(endpoint)
        try:
            async with asyncio.timeout_at(deadline):
                await asyncio.sleep(took)
        except TimeoutError:
            life.history.record_end(call, EffectApplied.MAYBE)
            return AttemptResult(Outcome.TIMEOUT)
        except asyncio.CancelledError:
            life.history.record_end(call, EffectApplied.MAYBE)
            raise
        life.history.record_end(call, RAN[outcome], wait)
        await asyncio.sleep(life.rng.uniform(*WAY))
        told = int(wait * SECOND)
        if told:
            life.engine.retry_after_received(endpoint, told)
            # The head is here, the rest comes, or its time is up.
            await asyncio.sleep(min(life.way(), max(deadline - loop.time(), 0.0)))
        return AttemptResult(outcome, is_final=outcome is Outcome.OK, retry_after_us=told)

    def poll_unread(self) -> None:
        """What has come is heard at once."""

    def close_idle(self, endpoint: str) -> None: ...
    def close_expired(self) -> None: ...
    def endpoints_changed(self) -> None: ...
    def close(self) -> None: ...


RAN = {
    Outcome.OK: EffectApplied.YES,
    Outcome.ERROR: EffectApplied.YES,
    Outcome.MALFORMED: EffectApplied.YES,
    Outcome.RESET: EffectApplied.MAYBE,
    Outcome.FULL: EffectApplied.NEVER,
}


class ModelCompletionListener:
    """Hears ends that nobody waits for, and says so a little later."""

    def __init__(self, life: "SimulatedRun") -> None:
        self.life = life

    def notify(self, message: str, end: Completion) -> bool:
        self.life.ended(message, end)
        if end.state.value == "delivered":
            return False
        self.life.loop.call_later(0.004, self.life.engine.completion_acknowledged, message)
        return True

    async def run(self) -> None:
        await asyncio.get_running_loop().create_future()


@dataclass(frozen=True)
class ScheduledFault:
    """One thing that a seed decides. `number` is its own, the same in every run of that seed."""

    number: int
    at: float
    text: str
    act: Callable[["SimulatedRun"], None] | None = (
        None  # none: a mood, or a kill before some write to the disk
    )


class SimulatedRun:
    """`without` names happenings that are left out, by their numbers."""

    def __init__(self, seed: int, spec: RunSpec, state: Path, without: frozenset[int] = frozenset()) -> None:
        self.seed, self.spec, self.state, self.without = seed, spec, state, without
        self.rng = random.Random(seed)
        self.loop, self.drawn = VirtualLoop(), 0
        self.history = History(self.time)
        self.places = [place for number in range(spec.destinations) for place in places_of(number)]
        self.destinations = {each.endpoint.id: each.endpoint.destination for each in self.places}
        self.happenings: list[ScheduledFault] = []
        self.moods = {number: self.drawn_moods(number) for number in range(spec.destinations)}
        self.draw_plan()
        self.ends: dict[str, tuple[str, int]] = {}  # of each message: its state, and which process told it
        self.spans = self.told_again = 0
        self.troubles: list[tuple[int, float]] = []  # destination and time of each failure that was seen
        self.until = spec.seconds + DEADLINE + 1.0
        self.writes, self.kill_at_write = 0, self.drawn_kill()
        kept = [each for each in self.happenings if each.act]
        self.plan = sorted(kept, key=lambda each: each.at)

    def time(self) -> float:
        return self.loop.time()

    # What the seed decides.

    def happens(self, at: float, text: str, act: Callable[["SimulatedRun"], None] | None = None) -> bool:
        """Numbers what the seed decides; False if it is left out."""
        self.drawn += 1
        if self.drawn in self.without:
            return False
        self.happenings.append(ScheduledFault(self.drawn, at, text, act))
        return True

    def drawn_moods(self, number: int) -> list[tuple[float, float, DestinationBehavior]]:
        """When, until when, and which trouble."""
        found, at = [], 0.0
        while self.rng.random() < self.spec.trouble and at < self.spec.seconds + 2:
            at += self.rng.uniform(0, 1.5)
            until = at + self.rng.uniform(0.1, 3.0)
            mood = self.rng.choice(list(DestinationBehavior)[1:])
            if self.happens(at, f"destination {number}: {mood.value} until {until:.3f}"):
                found.append((at, until, mood))
            at = until
        return found

    def draw_plan(self) -> None:
        spec, rng, at = self.spec, self.rng, 0.0
        for number in range(int(spec.seconds * spec.rate)):
            at += rng.expovariate(spec.rate)
            message = self.drawn_message(number, at)
            key = f" of key {message.key}" if message.key else ""
            left = (message.deadline_us - EPOCH) / SECOND - at
            text = f"{message.id}, {message.message_class}{key}, for {message.destination}, {left:.3f} s left"
            self.happens(at, text, partial(SimulatedRun.hand_in, message=message))
        for _ in range(spec.drains):
            place = rng.choice(self.places)
            text = f"{place.endpoint.id} drains"
            self.happens(rng.uniform(0, spec.seconds), text, partial(SimulatedRun.drain, place=place))
        for _ in range(spec.kills if rng.random() < 0.5 else 0):
            self.happens(rng.uniform(0, spec.seconds + 3), "a kill", SimulatedRun.kill)

    def drawn_message(self, number: int, at: float) -> Message:
        rng, kind = self.rng, self.rng.choice(list(KINDS))
        left = rng.choice((DEADLINE, rng.uniform(0.05, DEADLINE)))
        key = f"k{rng.randrange(self.spec.keys)}" if KINDS[kind].is_ordered else ""
        until = EPOCH + int((at + left) * SECOND)
        place = rng.randrange(self.spec.destinations)
        return Message(f"m{number}", kind, place, until, "", key, "i", False, b"body")

    def drawn_kill(self) -> int:
        """Just before which write to the disk the process is killed; 0: none."""
        if not self.spec.kills or self.rng.random() < 0.5:
            return 0
        write = self.rng.randrange(1, int(4 * self.spec.seconds * self.spec.rate))
        return write if self.happens(0.0, f"a kill before write {write} to the disk") else 0

    def saw_trouble(self, endpoint: str) -> None:
        """A call failed, or was refused: from here on the sender may know of the outage."""
        self.troubles.append((self.destinations[endpoint], self.time()))

    def outages(self) -> list[seen.Outage]:
        """Those in which the sender saw a call fail: for the others it cannot be blamed."""
        return [
            seen.Outage(at, until, number)
            for number, moods in self.moods.items()
            for at, until, mood in moods
            if mood in OUTAGES and until - at >= SHORTEST
            if any(place == number and at <= when < until for place, when in self.troubles)
        ]

    def way(self) -> float:
        slow = SLOW if self.rng.random() < SLOWLY else 0.0
        return self.rng.uniform(*WAY) + self.rng.uniform(0, slow)

    def mood(self, endpoint: str) -> DestinationBehavior:
        moods, now = self.moods[self.destinations[endpoint]], self.time()
        return next((mood for at, until, mood in moods if at <= now < until), DestinationBehavior.SERVES)

    def fate(self, mood: DestinationBehavior) -> tuple[float, Outcome, float]:
        """How long a call takes, how it ends, and the wait that it tells, in s."""
        rng = self.rng
        took = rng.uniform(0.01, 0.15)
        if mood is DestinationBehavior.REFUSES:
            return 0.005, Outcome.FULL, rng.choice((0.0, 0.15, 0.6))
        if mood is DestinationBehavior.ERRS:
            return took, rng.choice((Outcome.ERROR, Outcome.RESET, Outcome.MALFORMED, Outcome.OK)), 0.0
        if mood is DestinationBehavior.SILENT:
            return 60.0, Outcome.RESET, 0.0
        return took * (12 if mood is DestinationBehavior.SLOW else 1), Outcome.OK, 0.0

    # What happens.

    def ended(self, name: str, end: Completion) -> None:
        """The same end told again by a later process is the same answer: the one before may have been killed
        between telling it and its record."""
        state, before = end.state.value, self.ends.get(name)
        self.ends[name] = state, self.spans
        if before and before[0] == state and before[1] < self.spans:
            self.told_again += 1
            return
        self.history.record(seen.MessageCompleted(self.time(), name, state))

    def hand_in(self, message: Message) -> None:
        self.engine.take(message, Caller(self, message))

    def drain(self, place: StaticEndpoint) -> None:
        self.directory.drain(place.endpoint.id)
        self.history.record(seen.EndpointDrained(self.time(), place.endpoint.id))

    def kill(self) -> None:
        raise ProcessKilled

    def clock(self) -> int:
        return EPOCH + round(self.time() * SECOND)

    def open_journal(self, folder: Path, limit: int) -> Journal:
        return Journal(folder, limit)

    def start(self) -> None:
        """A process begins, on whatever is in the folder."""
        known = tuple(each.endpoint for each in self.places)
        config = EngineConfig("n", self.state, self.seed, DISK, settings(), known)
        self.engine = Engine(config, self.clock, open_journal=self.open_journal)
        append = self.engine.journal.append

        def counted(record: bytes, *more: bool, **named: bool) -> bool:
            self.writes += 1
            if self.writes == self.kill_at_write:
                raise ProcessKilled
            return append(record, *more, **named)

        self.engine.journal.append = counted  # type: ignore[method-assign]
        self.directory = getattr(self, "directory", None) or StaticDirectory(self.places)
        self.directory.on_update = self.engine.endpoints_updated
        self.engine.plug(ModelTransport(self), self.directory, ModelCompletionListener(self))
        self.engine.start()
        self.engine.endpoints_updated(EndpointsUpdated(ListingKind.FULL, self.directory.endpoints()))

    async def live(self) -> None:
        self.start()
        while self.plan:
            first = self.plan[0]
            if first.at > self.time():
                await asyncio.sleep(first.at - self.time())
                continue
            del self.plan[0]
            if first.act:
                first.act(self)
        await asyncio.sleep(max(self.until - self.time(), 0.0))
        if self.engine.defect:
            raise RuntimeError(self.engine.defect)

    def run(self) -> Outcomes:
        try:
            while not self.lived():
                self.history.record(seen.SenderRestarted(self.time()))
        finally:
            self.bury()
        return self.judged()

    def lived(self) -> bool:
        """To the end, or to a kill; then a new loop goes on at the same instant."""
        try:
            self.loop.run_until_complete(self.live())
        except ProcessKilled:
            self.bury()
            self.loop, self.spans = VirtualLoop(self.time()), self.spans + 1
            return False
        return True

    def bury(self) -> None:
        """What a killed process leaves to the system: descriptors close, and nothing of it runs any more."""
        self.engine.journal.release()
        self.engine.is_closed = True
        self.loop.set_exception_handler(lambda *_: None)  # the kill itself is no task's own trouble
        for task in asyncio.all_tasks(self.loop):
            task._log_destroy_pending = False  # type: ignore[attr-defined]  # it is meant to be
        self.loop.close()

    def judged(self) -> Outcomes:
        rules = Rules(
            KINDS,
            zones={each.endpoint.id: each.endpoint.zone for each in self.places},
            # Where routes are apart, a wait binds one route alone.
            destinations={
                each.endpoint.id: -number if each.endpoint.kind == "apart" else each.endpoint.destination
                for number, each in enumerate(self.places, 1)
            },
            key_pause=QUIET,
        )
        breaches = HistoryChecker(rules).check(self.history.events)
        capacity = dict.fromkeys(self.moods, CAPACITY)
        cold = Rules(
            KINDS, destinations=self.destinations, capacity=capacity, slow_start=COLD, slow_start_from=0.2
        )
        judged = HistoryChecker(cold).check([*self.outages(), *self.history.events])
        breaches += [each for each in judged if each.rule == "cold"]
        ends: dict[str, int] = {}
        for each in self.history.events:
            if isinstance(each, seen.MessageCompleted):
                ends[each.state] = ends.get(each.state, 0) + 1
        trace = [json.dumps(told(each), sort_keys=True) for each in self.history.events]
        counts = self.history.calls, self.spans, self.told_again
        return Outcomes(breaches, trace, ends, *counts, self.happenings)


def told(event: seen.HistoryEvent) -> dict[str, object]:
    return {"event": TRACE_NAMES.get(type(event), type(event).__name__)} | {
        name: plain(value) for name, value in asdict(event).items()
    }


def plain(value: object) -> object:
    if isinstance(value, Enum):
        return value.value
    return round(value, 6) if isinstance(value, float) else value


def places_of(number: int) -> list[StaticEndpoint]:
    kind = "apart" if number % 3 == 2 else "plain"
    return [
        StaticEndpoint(
            Endpoint(f"e{number}-{each}", number, EndpointState.READY, kind, "xy"[each % 2]),
            ("0.0.0.0", 9),
        )
        for each in range(1 + number % 2)
    ]


def live(seed: int, spec: RunSpec | None = None, without: frozenset[int] = frozenset()) -> Outcomes:
    """One life, from its seed. Raises EmulationError where the engine reaches out of it."""
    with quietly() as folder:
        return SimulatedRun(seed, spec or RunSpec(), folder, without).run()


@contextlib.contextmanager
def quietly() -> Iterator[Path]:
    """A folder for a life that is sealed off, logs nothing and leaves nothing behind."""
    quiet = logging.root.manager.disable
    logging.disable(logging.CRITICAL)
    # What a killed loop leaves is collected after it, not in the middle of the next one.
    gc.disable()
    try:
        with tempfile.TemporaryDirectory() as folder, sealed():
            yield Path(folder)
    finally:
        with warnings.catch_warnings():
            warnings.simplefilter("ignore", RuntimeWarning)  # coroutines that a kill left unbegun
            gc.collect()
        gc.enable()
        logging.disable(quiet)
