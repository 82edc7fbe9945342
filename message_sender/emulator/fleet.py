"""A fleet of real senders at their ports, in one emulated world that a scenario describes.

Each sender is the unchanged engine, decision module and journal; clients, the list of endpoints, the ways
between them and the destinations are models. The senders share the world and know nothing of each other. A
kill ends one of them at a callback's end, or between two writes to its disk, and leaves the others as they
are; it starts again on the same folder. What the stand-ins saw goes to the referee.
"""

import asyncio
import json
import logging
import os
import tempfile
import warnings
import zlib
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

from message_sender.core.engine import Engine
from message_sender.core.engine_config import EngineConfig
from message_sender.core.ports import AttemptResult, Completion, CompletionState, Rejected
from message_sender.discovery.static import StaticDirectory, StaticEndpoint
from message_sender.emulator.arrivals import Arrivals, ClientMessage
from message_sender.emulator.figures import Figures
from message_sender.emulator.isolation import sealed
from message_sender.emulator.loop import VirtualLoop
from message_sender.emulator.receiver import Receiver
from message_sender.emulator.scenario import Incident, Scenario
from message_sender.emulator.simulated_run import EPOCH, RAN, SECOND, ProcessKilled, told
from message_sender.message import Message
from message_sender.policy.dispatcher import Dispatcher
from message_sender.policy.model import Effect, Endpoint, EndpointState, Outcome, Settings
from message_sender.testbed import history as seen
from message_sender.testbed.history import EffectApplied, History
from message_sender.testbed.history_checker import ClassRule, HistoryChecker, Rules, Violation

if TYPE_CHECKING:
    from message_sender.emulator.shared_links import LinkHub

Decide = Callable[[Settings, int], Any]
AFTER = 1.5  # s after the last message's time, in which ends are still told
SAMPLE = 1.0  # s between two looks at what senders hold
NOTICE = 0.004  # s until an end that nobody waits for has been heard
ALWAYS = 1e9
TOLD_APART = 2.0  # s; what refuses or is silent for less may be a limit's span, or a call that is slow
LATE = 0.35  # s by which an end may come after its time: a tick, a notice, and what a start takes


@dataclass
class Outcomes:
    figures: Figures
    breaches: list[Violation]
    trace: list[str] = field(default_factory=list)  # JSON lines
    owed: list[str] = field(default_factory=list)  # messages without an end, and who holds them

    def as_json(self) -> dict[str, Any]:
        broken = [{"rule": each.rule, "at": round(each.at, 6), "text": each.text} for each in self.breaches]
        return self.figures.as_json() | {"breaches": broken, "owed": self.owed}


class SenderKilled(ProcessKilled):
    """SIGKILL of one process, in the middle of what it does."""

    def __init__(self, sender: "Sender") -> None:
        super().__init__(0)
        self.sender = sender


class ClientAttempt:
    """One hand-in of a message by its client: the engine's caller."""

    def __init__(self, world: "World", asked: ClientMessage, number: int, sender: "Sender") -> None:
        self.world, self.asked, self.number, self.sender = world, asked, number, sender
        self.name = f"m{asked.number}" + (f".{number}" if number else "")
        self.heard = self.left = False

    def is_gone(self) -> bool:
        return self.left

    def accepted(self) -> bool:
        world, kind = self.world, self.world.scenario.classes[self.asked.message_class]
        until = self.asked.at + kind.deadline_s
        world.history.record(
            seen.MessageAdmitted(
                world.time(),
                self.name,
                self.asked.message_class,
                self.asked.destination,
                until,
                self.asked.key,
                self.sender.name,
            )
        )
        world.later(world.way(0.5), self.hear, True, 0)
        return False

    def rejected(self, told: Rejected) -> None:
        self.world.history.record(seen.MessageRejected(self.world.time(), self.name))
        self.world.later(self.world.way(0.5), self.hear, False, told.retry_after_us)

    def withdrawn(self) -> None: ...

    def completed(self, end: Completion) -> None: ...

    def hear(self, taken: bool, retry_after: int) -> None:
        """The client has its answer."""
        if self.heard or self.left:
            return
        self.heard = True
        self.world.answered.add(self.asked.number)
        if not taken:
            self.world.come_again(self.asked, self.number, retry_after / SECOND)

    def lose_patience(self) -> None:
        """It closes. What it handed in may be taken on all the same: only what does no harm comes again."""
        if self.heard:
            return
        self.left = True
        if self.world.scenario.classes[self.asked.message_class].effect != "unsafe":
            self.world.come_again(self.asked, self.number, 0.0)


class ModelTransport:
    """Calls to modelled destinations."""

    reads_late = False

    def __init__(self, sender: "Sender") -> None:
        self.sender, self.world = sender, sender.world

    async def call(
        self, endpoint: str, message: Message, timeout: float, may_go: Callable[[], bool]
    ) -> AttemptResult:
        answer = await self.called(endpoint, message, timeout, may_go)
        self.world.count_call(self.sender.name, endpoint, answer.outcome)
        return answer

    async def called(
        self, endpoint: str, message: Message, timeout: float, may_go: Callable[[], bool]
    ) -> AttemptResult:
        world, sender = self.world, self.sender
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        place = world.places.get(endpoint)
        if place is None:
            return AttemptResult(Outcome.NOT_SENT)
        if not world.remembers(message):  # long after its time: no such call is due any more
            return AttemptResult(Outcome.ERROR)
        asked, attempt = world.attempt_of(message)
        there, back = (world.way(draw, sender.zone, place.endpoint.zone) for draw in asked.ways(attempt))
        await asyncio.sleep(min(there, timeout))
        receiver = world.receiver_of(place.endpoint)
        trouble = receiver.trouble(loop.time(), sender.name, place.endpoint.zone)
        if trouble is None and loop.time() >= deadline:
            return AttemptResult(Outcome.CONNECT_FAILED)
        if not may_go():
            return AttemptResult(Outcome.NOT_SENT)
        fate = receiver.call(loop.time(), sender.name, asked.luck(attempt), place.endpoint.zone)
        if not fate.connected:
            if fate.after is None:
                patience = sender.engine.settings.connect_timeout / SECOND
                await asyncio.sleep(max(min(patience, deadline - loop.time()), 0.0))
            return AttemptResult(Outcome.CONNECT_FAILED)
        call = world.history.record_start(message.id, endpoint, sender.name)
        try:
            async with asyncio.timeout_at(deadline):
                await asyncio.sleep(ALWAYS if fate.after is None else fate.after)
                world.arrived(fate.ran, asked, call, RAN[fate.outcome], fate.wait)
                await asyncio.sleep(back)
        except (TimeoutError, asyncio.CancelledError) as error:
            # What is given up may run on over there.
            if call not in world.over:
                world.arrived(fate.ran, asked, call, EffectApplied.MAYBE, 0.0)
            if isinstance(error, TimeoutError):
                return AttemptResult(Outcome.TIMEOUT)
            raise
        wait = int(fate.wait * SECOND)
        if wait:
            sender.engine.retry_after_received(endpoint, wait)
        return AttemptResult(fate.outcome, is_final=fate.outcome is Outcome.OK, retry_after_us=wait)

    def poll_unread(self) -> None: ...
    def close_idle(self, endpoint: str) -> None: ...
    def close_expired(self) -> None: ...
    def endpoints_changed(self) -> None: ...
    def close(self) -> None: ...


class ModelCompletionListener:
    """Hears ends that nobody waits for, and says so a little later."""

    def __init__(self, sender: "Sender") -> None:
        self.sender = sender

    def notify(self, message: str, end: Completion) -> bool:
        self.sender.world.ended(self.sender, message, end)
        if end.state is CompletionState.DELIVERED:
            return False
        self.sender.world.later(NOTICE, self.sender.end_heard, self.sender.lives, message)
        return True

    async def run(self) -> None:
        await asyncio.get_running_loop().create_future()


class Sender:
    """One process of a sender, over all its lives."""

    def __init__(self, world: "World", number: int, folder: Path) -> None:
        self.world, self.number, self.name = world, number, f"n{number}"
        self.state = folder / self.name
        self.state.mkdir()
        self.settings = world.scenario.settings(number)
        self.zone = self.settings.zone
        self.alive, self.lives = False, 0
        self.wall = self.next_wall = 0.0  # s that its wall clock is ahead, and will be at its next start
        self.down_for = 1.0  # s after its next kill between two writes
        self.writes, self.kill_at_write = 0, 0
        self.deaf_until = 0.0
        self.directory = StaticDirectory(world.places.values())

    def clock(self) -> int:
        """Its wall clock at its start, going on evenly, in us."""
        return EPOCH + round((self.world.time() + self.wall) * SECOND)

    def start(self) -> None:
        self.wall = self.next_wall
        known = self.directory.endpoints()
        disk = int(self.world.scenario.fleet.disk_mb * 1e6)
        config = EngineConfig(
            self.name, self.state, self.world.seed * 64 + self.number, disk, self.settings, known
        )
        self.engine = Engine(config, self.clock, self.world.decide)
        self.alive, self.lives = True, self.lives + 1
        append = self.engine.journal.append

        def counted(record: bytes, *more: bool, **named: bool) -> bool:
            self.writes += 1
            if self.writes == self.kill_at_write:
                raise SenderKilled(self)
            return append(record, *more, **named)

        self.engine.journal.append = counted  # type: ignore[method-assign]
        self.directory = StaticDirectory(self.directory.static_endpoints.values())
        self.directory.on_update = self.engine.endpoints_updated
        self.plug()
        if self.world.links:
            self.world.links.join(self.name, self.engine, self.lives)
        self.engine.start()
        self.world.tell_list(self)  # what it missed

    def plug(self) -> None:
        self.engine.plug(ModelTransport(self), self.directory, ModelCompletionListener(self))

    def bury(self) -> None:
        """What a killed process leaves: descriptors close, nothing of it runs any more."""
        engine, self.alive = self.engine, False
        if self.world.links:
            self.world.links.gone(self.name)
        engine.is_closed = True
        os.close(engine.journal.file)
        for task in [*engine.attempts.calls.values(), *engine.tasks]:
            task.cancel()
        if engine.wake_timer:
            engine.wake_timer.cancel()

    def hear(self, places: dict[str, StaticEndpoint], life: int) -> None:
        """The list of endpoints, as it was when it was told."""
        if not (self.alive and life == self.lives):
            return
        ready = {name for name, each in places.items() if each.endpoint.state is EndpointState.READY}
        for name, each in self.directory.static_endpoints.items():
            if each.endpoint.state is EndpointState.READY and name not in ready:
                self.world.history.record(seen.EndpointDrained(self.world.time(), name, self.name))
        for name in [x for x in places if x in ready and x not in self.directory.static_endpoints]:
            self.world.history.record(seen.EndpointRestored(self.world.time(), name, self.name))
        self.directory.replace(places.values())

    def end_heard(self, life: int, message: str) -> None:
        if self.alive and life == self.lives:
            self.engine.completion_acknowledged(message)


class World:
    def __init__(
        self, scenario: Scenario, seed: int, folder: Path, decide: Decide = Dispatcher, traced: bool = False
    ) -> None:
        self.scenario, self.seed, self.decide, self.traced = scenario, seed, decide, traced
        self.loop = VirtualLoop()
        self.history, self.figures = History(self.time), Figures()
        self.places: dict[str, StaticEndpoint] = {}
        self.receivers: dict[str, Receiver] = {}
        self.asked: dict[int, ClientMessage] = {}  # of which somebody may still hear
        self.error: BaseException | None = None  # a defect of the world or of a sender
        self.answered: set[int] = set()
        self.tried: Counter[str] = Counter()  # attempts at each hand-in, of all senders
        self.delivered: set[int] = set()
        self.over: set[int] = set()  # calls that have reached their end over there
        self.ends: dict[str, tuple[str, str, int]] = {}  # of each message: state, sender and its life
        self.troubles: list[tuple[int, str, float]] = []  # destination, sender and time of each failure heard
        self.emptied_until, self.spare = 0.0, 0
        self.build()
        self.links: LinkHub | None = None
        if scenario.fleet.budget_span_s:
            from message_sender.emulator import shared_links

            span, loss = int(scenario.fleet.budget_span_s * SECOND), scenario.fleet.link_loss
            self.links = shared_links.LinkHub(self.time, self.later, scenario.fleet.senders, span, loss, seed)
        self.senders = [self.sender(number, folder) for number in range(scenario.fleet.senders)]
        longest = max(each.deadline_s for each in scenario.classes.values())
        self.until = scenario.seconds + longest + AFTER
        self.arrivals = iter(Arrivals(scenario, seed))

    def sender(self, number: int, folder: Path) -> Sender:
        return Sender(self, number, folder)

    def time(self) -> float:
        return self.loop.time()

    # The world as the scenario has it.

    def build(self) -> None:
        number, end = 0, self.scenario.seconds
        for group in self.scenario.destinations:
            for _ in range(group.count):
                kind = "apart" if group.apart else "plain"
                terms = group.terms()
                for each in range(group.endpoints):
                    zone = group.zones[each % len(group.zones)]
                    name = f"e{number}-{each}"
                    rate = min(terms.capacity(), 1e6)
                    listed = Endpoint(name, number, EndpointState.READY, kind, zone, rate)
                    self.places[name] = StaticEndpoint(listed, ("0.0.0.0", 9))
                    key = self.receiver_key(listed)
                    if key not in self.receivers:
                        self.receivers[key] = Receiver(terms, self.phases(number, end))
                number += 1

    def phases(self, destination: int, end: float) -> list[Any]:
        told = [
            each for each in self.scenario.troubles if destination in (each.destinations or (destination,))
        ]
        return [phase for each in told for phase in each.phases(end)]

    def receiver_key(self, listed: Endpoint) -> str:
        return listed.id if listed.kind == "apart" else str(listed.destination)

    def receiver_of(self, listed: Endpoint) -> Receiver:
        return self.receivers[self.receiver_key(listed)]

    def way(self, draw: float, here: str = "", there: str = "") -> float:
        """Seconds one way; `draw` from 0 to 1."""
        network = self.scenario.network
        usual = network.same_zone_ms if here == there else network.cross_zone_ms
        return usual / 1e3 * (1 + network.jitter * draw)

    def later(self, delay: float, call: Callable[..., None], *told: Any) -> None:  # noqa: ANN401
        self.loop.call_later(delay, call, *told)

    # Clients.

    def next_asked(self) -> None:
        asked = next(self.arrivals, None)
        if asked is not None:
            self.loop.call_at(asked.at, self.ask, asked)

    def ask(self, asked: ClientMessage) -> None:
        kind = self.scenario.classes[asked.message_class]
        self.asked[asked.number] = asked
        self.figures.offered += 1
        self.figures.asked += kind.worth
        self.figures.second(self.time()).offered += 1
        self.figures.tenants.setdefault(asked.tenant, [0.0, 0.0])[0] += kind.worth
        self.hand_in(asked, 0)
        self.later(kind.deadline_s + AFTER, self.forget, asked.number)
        self.next_asked()

    def hand_in(self, asked: ClientMessage, number: int) -> None:
        self.figures.tries += 1
        sender = self.front(asked, number)
        if sender is None:
            self.come_again(asked, number, 0.0)
            return
        self.send(ClientAttempt(self, asked, number, sender))

    def send(self, one: ClientAttempt) -> None:
        """A client's request is on its way."""
        asked, number, sender = one.asked, one.number, one.sender
        kind = self.scenario.classes[asked.message_class]
        until = EPOCH + int((asked.at + kind.deadline_s) * SECOND)
        message = Message(
            one.name, asked.message_class, asked.destination, until, asked.tenant, asked.key,
            f"m{asked.number}", number > 0, b"body",
        )  # fmt: skip
        self.later(self.way(asked.ways(number)[0]), self.arrive, sender, sender.lives, message, one)
        self.later(self.scenario.clients.patience_s, one.lose_patience)

    def arrive(self, sender: Sender, life: int, message: Message, one: ClientAttempt) -> None:
        if sender.alive and sender.lives == life and not one.left:
            # The sender reckons with its own wall clock.
            sender.engine.take(
                replace(message, deadline_us=message.deadline_us + round(sender.wall * SECOND)), one
            )

    def front(self, asked: ClientMessage, number: int) -> Sender | None:
        """Who is handed it. A key has its own sender, also while that one is down: what it holds of the key
        comes first when it is back, and no other sender knows of that."""
        alive = [each for each in self.senders if each.alive]
        if asked.key:
            home = self.senders[zlib.crc32(asked.key.encode()) % len(self.senders)]
            return home if home.alive else None
        if not alive:
            return None
        return alive[(asked.number + number) % len(alive)]

    def come_again(self, asked: ClientMessage, number: int, wait: float) -> None:
        clients = self.scenario.clients
        if number >= clients.retries:
            return
        honours = clients.honours == "told" and wait > 0
        late = wait if honours else clients.backoff_s * 2**number * (0.5 + asked.ways(number)[1])
        kind = self.scenario.classes[asked.message_class]
        if self.time() + late < asked.at + kind.deadline_s:
            self.later(late, self.hand_in, asked, number + 1)

    def forget(self, number: int) -> None:
        del self.asked[number]
        self.figures.unanswered += number not in self.answered
        self.answered.discard(number)
        self.delivered.discard(number)

    def remembers(self, message: Message) -> bool:
        return int(message.id[1:].partition(".")[0]) in self.asked

    def attempt_of(self, message: Message) -> tuple[ClientMessage, int]:
        """The message it stands for, and which attempt at it this is, of any of its tries."""
        number, _, again = message.id[1:].partition(".")
        asked = self.asked[int(number)]
        self.tried[message.id] += 1
        return asked, int(again or 0) * 3 + self.tried[message.id] - 1

    # What is seen.

    def arrived(self, ran: bool, asked: ClientMessage, call: int, how: EffectApplied, wait: float) -> None:
        """A call is over at its endpoint, or was before where it had been given up."""
        if call not in self.over:
            self.over.add(call)
            self.history.record_end(call, how, wait)
        if ran:
            self.has_effect(asked)

    def has_effect(self, asked: ClientMessage) -> None:
        if asked.number in self.delivered or asked.number not in self.asked:
            self.figures.twice += 1
            return
        self.delivered.add(asked.number)
        self.earn(asked)

    def earn(self, asked: ClientMessage) -> None:
        kind = self.scenario.classes[asked.message_class]
        took = self.time() - asked.at
        late = max(took - kind.aim_s, 0.0) / max(kind.deadline_s - kind.aim_s, 1e-9)
        worth = kind.worth * (1 - (1 - kind.late_worth) * late) if late < 1 else 0.0
        self.figures.delivered += 1
        self.figures.earned += worth
        self.figures.tenants[asked.tenant][1] += worth
        self.figures.latency.record_value(max(int(took * SECOND), 1))
        second = self.figures.second(asked.at)
        second.good += took <= kind.aim_s
        second.late += took > kind.aim_s

    def count_call(self, sender: str, endpoint: str, outcome: Outcome) -> None:
        """A sender has heard what became of a call."""
        if outcome is Outcome.NOT_SENT:
            return
        at = int(endpoint[1:].partition("-")[0])
        if outcome is not Outcome.OK:
            self.troubles.append((at, sender, self.time()))
        self.figures.calls[outcome.value] += 1
        second = self.figures.second(self.time())
        second.calls += 1
        second.refused += outcome is Outcome.FULL
        second.failed += outcome not in (Outcome.OK, Outcome.FULL)
        counts = self.figures.destinations.setdefault(at, type(self.figures.calls)())
        counts[outcome.value] += 1

    def ended(self, sender: Sender, name: str, end: Completion) -> None:
        """The same end told again by a later life is the same answer (docs/design/emulator.md)."""
        now = end.state.value, sender.name, sender.lives
        before, self.ends[name] = self.ends.get(name), now
        if before and before[:2] == now[:2] and before[2] < now[2]:
            self.figures.told_again += 1
            return
        self.figures.ends[now[0]] += 1
        self.history.record(seen.MessageCompleted(self.time(), name, now[0]))

    def sample(self) -> None:
        second = self.figures.second(max(self.time() - SAMPLE / 2, 0.0))
        for each in self.senders:
            if each.alive:
                second.held += len(each.engine.dispatcher.messages)
                if isinstance(each.engine.dispatcher, Dispatcher):  # plain policies have no such breakers
                    second.open += sum(x.is_open() for x in each.engine.dispatcher.registry.all_breakers())
        self.later(SAMPLE, self.sample)

    # The list of endpoints, and what else happens.

    def truth(self) -> dict[str, StaticEndpoint]:
        return {} if self.time() < self.emptied_until else dict(self.places)

    def tell_list(self, sender: Sender) -> None:
        """After a while it hears what holds now."""
        lists = self.scenario.lists
        share = sender.number / max(len(self.senders) - 1, 1)
        at = max(self.time() + lists.delay_s + lists.spread_s * share, sender.deaf_until)
        self.loop.call_at(at, sender.hear, self.truth(), sender.lives)

    def list_changed(self) -> None:
        for each in self.senders:
            self.tell_list(each)

    def happen(self, incident: Incident) -> None:
        chosen = [each for each in self.senders if incident.sender in (None, each.number)]
        match incident.what:
            case "kill":
                for each in chosen:
                    self.kill(each, incident)
            case "drain":
                self.drain(incident)
            case "empty":
                self.emptied_until = self.time() + incident.for_s
                self.list_changed()
                self.later(incident.for_s, self.list_changed)
            case "deaf":
                for each in chosen:
                    each.deaf_until = self.time() + incident.for_s
            case "full_disk":
                for each in chosen:
                    limit, each.engine.journal.limit_bytes = each.engine.journal.limit_bytes, 0
                    self.later(incident.for_s, setattr, each.engine.journal, "limit_bytes", limit)
            case "pause":
                self.loop.pause(incident.for_s)
            case "clock":
                for each in chosen:
                    each.next_wall += incident.by_s

    def kill(self, sender: Sender, incident: Incident) -> None:
        """Now, or at one of its next writes."""
        if not sender.alive:
            return
        if incident.write:
            sender.kill_at_write = sender.writes + incident.write
            sender.down_for = incident.for_s
        else:
            self.dead(sender, incident.for_s)

    def dead(self, sender: Sender, down_for: float) -> None:
        sender.bury()
        self.figures.kills += 1
        self.history.record(seen.SenderRestarted(self.time(), sender.name, self.time() + down_for))
        self.later(down_for, sender.start)

    def drain(self, incident: Incident) -> None:
        leaving = [x for x in self.places.values() if x.endpoint.destination == incident.destination]
        for each in leaving:
            listed = replace(each.endpoint, state=EndpointState.DRAINING)
            self.places[listed.id] = StaticEndpoint(listed, each.dial)
        self.list_changed()
        self.later(incident.for_s, self.stand_in, [each.endpoint for each in leaving])

    def stand_in(self, gone: list[Endpoint]) -> None:
        """New endpoints in place of those that have gone; what they stand on starts warm."""
        for each in gone:
            self.places.pop(each.id, None)
            self.spare += 1
            fresh = replace(each, id=f"{each.id}r{self.spare}", state=EndpointState.READY)
            self.places[fresh.id] = StaticEndpoint(fresh, ("0.0.0.0", 9))
            if self.receiver_key(each) in self.receivers and each.kind == "apart":
                self.receivers[fresh.id] = Receiver(self.receivers[each.id].terms)
        self.list_changed()

    # A run.

    def run(self) -> Outcomes:
        done: asyncio.Future[None] = self.loop.create_future()
        self.loop.call_at(self.until, done.set_result, None)
        self.loop.call_soon(self.begin)
        self.loop.set_exception_handler(self.failed)
        try:
            while not done.done() and not self.error:
                try:
                    self.loop.run_until_complete(done)
                except SenderKilled as killed:
                    self.dead(killed.sender, killed.sender.down_for)
                except RuntimeError:
                    if not self.error:  # else it was stopped for that
                        raise
            if self.error:
                raise self.error
            for each in self.senders:
                if each.alive and each.engine.defect:
                    raise RuntimeError(f"{each.name}: {each.engine.defect}")
            return self.judged()
        finally:
            self.close()

    def failed(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception")
        if error is not None and not isinstance(error, ProcessKilled):
            self.error = error
            loop.stop()

    def begin(self) -> None:
        for each in self.senders:
            each.start()
        for incident in self.scenario.incidents:
            self.loop.call_at(incident.at, self.happen, incident)
        self.sample()
        self.next_asked()

    def close(self) -> None:
        for each in self.senders:
            if each.alive:
                each.bury()
        self.loop.set_exception_handler(lambda *_: None)
        for task in asyncio.all_tasks(self.loop):
            task._log_destroy_pending = False  # type: ignore[attr-defined]  # it is meant to be
        self.loop.close()

    def judged(self) -> Outcomes:
        self.figures.falls = sum(len(each.falls) for each in self.receivers.values())
        owed = [
            f"{name} of class {entry.message.message_class}, at {each.name}"
            for each in self.senders
            if each.alive
            for name, entry in each.engine.journal.entries.items()
        ]
        breaches = HistoryChecker(self.rules()).check([*self.outages(), *self.history.events])
        breaches += self.pushed_over()
        trace = (
            [json.dumps(told(each), sort_keys=True) for each in self.history.events] if self.traced else []
        )
        return Outcomes(self.figures, breaches, trace, owed)

    def rules(self) -> Rules:
        kinds = {
            name: ClassRule(Effect(each.effect), each.window_s, False, each.in_order)
            for name, each in self.scenario.classes.items()
        }
        # Where routes are apart, a wait binds one route alone.
        place_of: dict[str, int] = {}
        zones: dict[str, str] = {}
        apart = 0
        for event in self.history.events:
            if isinstance(event, seen.AttemptStarted) and event.endpoint not in place_of:
                number = int(event.endpoint[1:].partition("-")[0])
                kind = self.group_of(number).apart
                apart += kind
                place_of[event.endpoint] = -apart if kind else number
        first = self.scenario.destinations[0]
        capacity = {
            number: receiver.terms.capacity()
            for number, receiver in ((int(key), r) for key, r in self.receivers.items() if key.isdecimal())
            if receiver.terms.cold_s
        }
        # What stands still cannot answer meanwhile.
        paused = max((each.for_s for each in self.scenario.incidents if each.what == "pause"), default=0.0)
        return Rules(
            kinds, zones, place_of, capacity, late_tolerance=LATE + paused,
            drain_grace=self.scenario.fleet.grace_s + 0.05,
            key_pause=self.scenario.fleet.key_rest_s,
            slow_start=first.cold_s or 1.0, slow_start_from=first.cold_from,
            max_overload=first.push, overload_interval=first.push_s,
        )  # fmt: skip

    def group_of(self, number: int) -> Any:  # noqa: ANN401
        for group in self.scenario.destinations:
            if number < group.count:
                return group
            number -= group.count
        raise IndexError(number)

    def pushed_over(self) -> Iterator[Violation]:
        """Falls of which two thirds came from senders that had seen the outage before it: a call that meets
        one that has fallen never comes whole, so that no count of calls would show it."""
        outages = list(self.outages())
        for key, receiver in self.receivers.items():
            for fall in receiver.falls if key.isdecimal() else ():
                before = [x for x in outages if x.destination == int(key) and x.until <= fall.at]
                knew = max(before, key=lambda each: each.until).seen_by if before else frozenset()
                blamed = sum(each in knew for each in fall.pushed_by)
                if 3 * blamed >= 2 * len(fall.pushed_by):
                    yield Violation("cold", fall.at, f"destination {key} was pushed over by {blamed} calls")

    def outages(self) -> Iterator[seen.Outage]:
        """Each with the senders that saw a call fail in it: the others cannot be blamed."""
        for key, receiver in self.receivers.items():
            if not key.isdecimal():
                continue
            spans = [(each.at, each.until) for each in receiver.phases if each.is_outage()]
            spans += [(fell.at, fell.at + receiver.terms.fallen_s) for fell in receiver.falls]
            for at, until in spans:
                saw = {s for place, s, when in self.troubles if place == int(key) and at <= when < until}
                if until - at > TOLD_APART and saw:
                    yield seen.Outage(at, until, int(key), frozenset(saw))


def play(
    scenario: Scenario, seed: int | None = None, decide: Decide = Dispatcher, traced: bool = False
) -> Outcomes:
    """One run of a scenario at its ports. Raises EmulationError where a sender reaches out of it."""
    quiet = logging.root.manager.disable
    logging.disable(logging.CRITICAL)
    try:
        with tempfile.TemporaryDirectory() as folder, sealed(), warnings.catch_warnings():
            warnings.simplefilter("ignore", RuntimeWarning)  # coroutines that a kill left unbegun
            return World(
                scenario, scenario.seed if seed is None else seed, Path(folder), decide, traced
            ).run()
    finally:
        logging.disable(quiet)
