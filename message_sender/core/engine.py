"""The engine: owns the decision module, feeds it what happened and does what it says.

The only place that joins doors, couriers, a directory, a teller and the journal. It knows their ports alone
(message_sender/core/ports.py). All of it runs on one asyncio loop; nothing here is safe to call from another
thread.
"""

import asyncio
import logging
import math
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field, replace
from functools import partial
from pathlib import Path
from typing import Any

from message_sender import interface as face
from message_sender.core.counts import Counts
from message_sender.core.lateness import OLD, Lateness
from message_sender.core.peer import describe
from message_sender.core.ports import Answer, Caller, Courier, Directory, End, State, Teller, TurnedAway, Why
from message_sender.interface import Outcome
from message_sender.journal.file import Attempt, Entry, Journal
from message_sender.message import HandedIn
from message_sender.policy.dispatcher import Dispatcher
from message_sender.policy.inherit import tell

SWEEP = 0.25  # s between chores; what clients are owed within 3 s goes by it
# s: a timer must not run before its time on the module's clock, which then sets no other
TIMER_SLACK = 0.0005
#: What a caller hears in place of the reply of a message that an earlier process delivered.
REPLY_LOST = "UNKNOWN delivered; its reply was lost with the process"
SETTLE = 0.005  # s that a courier which hears late is given after a late pass
ANY = -1  # no hash is: of a message that was over before this process began, only the id is known
OVER = 4096  # ids of messages that are over and still known: more than come in the longest deadline

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Config:
    """What the engine itself needs to know."""

    name: str
    state: Path  # the folder that outlasts the process
    seed: int
    disk_bytes: int  # that may stand in it
    settings: face.Settings
    known: tuple[face.Endpoint, ...]  # the endpoints as last told; may be old
    returned: tuple[str, ...] = ()  # of these, ids that were kept out of service


@dataclass(frozen=True, slots=True)
class Handed:
    """What an engine knows that its journal does not, handed to the engine of the process that follows it."""

    inherited: face.Inherited = field(default_factory=face.Inherited)
    calls: dict[str, tuple[int, face.CallOut]] = field(default_factory=dict)  # by message: attempt and call
    ending: dict[str, End] = field(default_factory=dict)  # told to the platform, and not answered yet
    shares: dict[str, float] = field(default_factory=dict)  # of the worth of messages that are owed
    ended: tuple[str, ...] = ()  # ids of messages that are over


class Clock:
    """The module's clock: wall time as it was at the start, and from there on one that never goes back. A
    process that follows another one on this machine counts from the same `base`."""

    def __init__(self, base: int | None = None) -> None:
        self.base = time.time_ns() - time.monotonic_ns() if base is None else base

    def now(self) -> int:
        """Microseconds since the epoch."""
        return (self.base + time.monotonic_ns()) // 1000


def content(message: HandedIn) -> int:
    """Tells whether two hand-ins under one id are the same one. Its time left runs from each anew."""
    told = (message.message_class, message.destination, message.tenant, message.key)
    return hash((message.id, *told, message.idempotency_key, message.body, message.extras))


def is_taking(event: face.Event, name: str) -> bool:
    return isinstance(event, face.MessageTaken) and event.message == name


def settle(future: asyncio.Future[bool], result: bool) -> None:
    if not future.done():
        future.set_result(result)


class Engine:
    """One sender without its protocols. Build it on its loop, `plug` the ports in, `start` it, `close` it."""

    courier: Courier
    directory: Directory
    teller: Teller

    def __init__(
        self,
        config: Config,
        clock: Callable[[], int] | None = None,
        decide: Callable[[face.Settings, int], Dispatcher] = Dispatcher,
        open_journal: Callable[[Path, int], Journal] = Journal,
    ) -> None:
        """Opens the journal. Raises OSError where the state folder cannot be used. `decide` makes the
        decision module; another one stands in for it only where policies are compared."""
        self.config, self.settings = config, config.settings
        self.loop = asyncio.get_running_loop()
        self.now = clock or Clock().now
        self.dispatcher = decide(config.settings, config.seed)
        self.journal = open_journal(config.state, config.disk_bytes)
        self.inbox: list[face.Event] = []
        self.arrived: dict[str, tuple[HandedIn, Caller]] = {}  # in the inbox, not answered yet
        self.callers: dict[str, Caller] = {}  # those that wait for the end of a message that is taken on
        self.withdrawn: set[str] = set()  # called off by their callers while an attempt was out
        self.calls: dict[tuple[str, int], asyncio.Task[None]] = {}
        self.ended: dict[str, int] = {}  # messages that are over: id and content, oldest first, OVER at most
        self.ending: dict[str, End] = {}  # of those whose end the teller has told and nobody has heard yet
        #: Calls of the process before, whose ends it will tell; and how one of them is called off.
        self.elsewhere: set[tuple[str, int]] = set()
        self.call_off_elsewhere: Callable[[str, int], None] = lambda name, number: None
        #: Set while, and after, this engine is handed over: hears the ends of its calls.
        self.fate_of: Callable[[str, int, Answer], None] | None = None
        self.fates: list[tuple[str, int, Answer]] = []  # ends since it was frozen
        self.stopped_at = math.inf  # the module's, before it was frozen
        self.telling: asyncio.Task[None] | None = None
        self.counts = Counts(each.name for each in config.settings.classes)
        self.chores: list[Callable[[], None]] = []  # of the doors, done in each sweep
        #: The endpoint to which a message is pinned; "" for none.
        self.pin_of: Callable[[HandedIn], str] = lambda message: ""
        #: Hears the endpoint and the outcome of each attempt.
        self.outcome_of: Callable[[str, Outcome], None] = lambda endpoint, outcome: None
        #: For a fleet whose members ask one another (recovery/coordinator.py): us after which a new message
        #: may come again, 0 for one that is taken on; whether a call may go to an endpoint, asked as its
        #: first byte goes; that one goes; that an endpoint told a wait, us.
        self.admits: Callable[[HandedIn], int] = lambda message: 0
        self.beginnings: list[Callable[[], None]] = []  # once all that is owed is posted
        self.allows: Callable[[str], bool] = lambda endpoint: True
        self.call_begins: Callable[[str], None] = lambda endpoint: None
        #: Of budgets that a fleet shares: whether a message's call to an endpoint is within them as its first
        #: byte goes; that it is over; us that it may take.
        self.spends: Callable[[str, str], bool] = lambda endpoint, name: True
        self.spent: Callable[[str], None] = lambda name: None
        self.call_limit: Callable[[str, str], float] = lambda endpoint, name: math.inf
        self.wait_heard: list[Callable[[str, int], None]] = []
        self.attempt_ended: Callable[[], None] = lambda: None  # for who waits until nothing is owed
        self.watching: asyncio.Task[None] | None = None
        self.wake: asyncio.TimerHandle | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.leaving: set[str] = set()  # endpoints told to drain or go, of which the module has not heard yet
        self.lateness = Lateness(self.loop.time())
        self.since = self.loop.time()  # s: when the oldest event in the inbox came, or should have
        self.turning = self.over = False
        self.defect = ""  # the line that names what ended it
        self.stopped: asyncio.Future[int] = self.loop.create_future()

    # Start and stop.

    def plug(self, courier: Courier, directory: Directory, teller: Teller) -> None:
        self.courier, self.directory, self.teller = courier, directory, teller

    def start(self, handed: Handed | None = None) -> None:
        """Takes over what the journal holds, and what a process that still runs hands over; only then may a
        door say that it is ready."""
        self.post(face.EndpointsListed(face.Listing.CACHED, self.config.known, self.config.returned))
        for entry in list(self.journal.entries.values()):
            self.directory.remember(entry.message.destination)
            if entry.delivered():  # the process ended between the answer and the end on record
                self.teller.tell(entry.message.id, End(State.DELIVERED, status=REPLY_LOST))
                self.message_over(entry.message.id, State.DELIVERED)
                continue
            if entry.verdict:  # the power went between the end on record and its telling, or after that
                self.tell_again(entry.message.id, *entry.verdict)
                continue
            self.post(self.handed(entry, handed) if handed else self.restored(entry))
        if handed:
            self.post(handed.inherited)
            self.ended = {**dict.fromkeys(handed.ended, ANY), **self.ended}
        elif resting := self.journal.resting(self.settings.key_quiet):
            until = self.now() + self.settings.key_quiet
            self.post(face.Inherited(keys=tuple((key, until) for key in sorted(resting))))
        log.info("%s: %d messages taken over from the journal", self.config.name, len(self.journal.entries))
        for each in self.beginnings:
            each()
        self.turn()
        self.telling = self.spawn(self.teller.run())
        self.spawn(self.sweep())

    def tell_again(self, name: str, state: str, after: int) -> None:
        """An end that was decided on record: it is the same one, however often it is told."""
        self.ending[name] = end = End(State(state), after)
        if not self.teller.tell(name, end):
            self.message_over(name, end.state)
            del self.ending[name]

    def handed(self, entry: Entry, handed: Handed) -> face.MessageRestored:
        """A message of a process that still runs: its end may be told already, or its call be out there."""
        name = entry.message.id
        share, end = handed.shares.get(name), handed.ending.get(name)
        number, call = handed.calls.get(name, (-1, None))
        if end:
            self.ending[name] = end
            self.teller.tell(name, end)
        if call:
            self.elsewhere.add((name, number))
        kept = self.restored(entry, number)
        return replace(kept, outcomes=(), handed=True, call=call, ended=end is not None, share=share)

    def restored(self, entry: Entry, but: int = -1) -> face.MessageRestored:
        risk = entry.first_risk(but)
        return face.MessageRestored(
            taken=self.taken(entry.message),
            attempts=max(entry.attempts, default=-1) + 1,
            risky_since=min(risk.at, self.now()) if risk else None,
            risky_zone=risk.zone if risk else "",
            outcomes=tuple((each.endpoint, each.outcome) for each in entry.attempts.values() if each.outcome),
        )

    def stop(self, code: int) -> None:
        """Ends `stopped` with this exit code."""
        if not self.stopped.done():
            self.stopped.set_result(code)

    def fail(self, doing: str, error: BaseException | None) -> None:
        """What nobody foresaw ends the engine; the next one starts from the journal. Nothing more is done on
        the strength of a state that may be half changed."""
        self.defect = self.defect or describe(error, doing)
        self.over = True
        self.stop(1)

    def close(self) -> None:
        """Everything ends here. Calls still out have no outcome in the journal: the next start reads a
        reset."""
        self.over = True
        try:
            for task in [*self.calls.values(), *self.tasks]:
                task.cancel()
            if self.wake:
                self.wake.cancel()
            self.courier.close()
        finally:
            self.journal.close()

    # Handed over to the process that follows.

    def freeze(self) -> None:
        """A last turn: what has come is answered, and nothing new goes. From here on nothing is decided or
        put on record; the ends of calls are kept, until `thaw` or `let_go`."""
        self.stopped_at = self.dispatcher.stops_at
        self.post(face.Stopping(0))
        while self.inbox and not self.over:
            self.turn()
        self.fate_of = lambda name, number, answer: None
        if self.telling:
            self.telling.cancel()

    def told_on(self) -> Handed:
        """Of a frozen engine."""
        there = self.dispatcher
        calls = {}
        for (name, number), call in there.calls.items():
            listed, trial = call.endpoint.listed, call.breaker.trial is call
            calls[name] = number, face.CallOut(listed.id, listed.zone, call.sent, trial, call.overdue)
        shares = {name: message.share for name, message in there.messages.items()}
        return Handed(
            tell(there.registry, there.pending), calls, dict(self.ending), shares, tuple(self.ended)
        )

    def thaw(self) -> None:
        """The one that was to follow is gone before it owned anything: all goes on."""
        self.fate_of, self.dispatcher.stops_at = None, self.stopped_at
        fates, self.fates = self.fates, []
        for each in fates:
            self.fate_told(*each)
        self.telling = self.spawn(self.teller.run())
        self.turning = False
        self.post(face.WakeUp())

    def let_go(self, fate_of: Callable[[str, int, Answer], None]) -> None:
        """Another process owns it all from now on: here calls only come to their ends."""
        self.fate_of = fate_of
        fates, self.fates = self.fates, []
        for each in fates:
            fate_of(*each)
        for task in (self.watching, self.wake):
            if task:
                task.cancel()
        self.inbox = []
        self.journal.close()
        self.journal.entries = {}

    def fate_told(self, name: str, number: int, answer: Answer) -> None:
        """The end of a call that another process made, or that came while this one was frozen."""
        self.elsewhere.discard((name, number))
        if answer.wait and (call := self.dispatcher.calls.get((name, number))):
            self.wait_told(call.endpoint.listed.id, answer.wait)
        self.record_fate(name, number, answer)

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """A task in the background. An exception of its own is a defect."""
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.task_ended)
        return task

    def task_ended(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            self.fail("a task failed", error)

    async def sweep(self) -> None:
        while True:
            due = self.loop.time() + SWEEP
            await asyncio.sleep(SWEEP)
            self.lateness.note(self.loop.time() - due)
            self.lateness.record(self.loop.time(), len(self.journal.entries), len(self.calls))
            for chore in (*self.chores, self.courier.tidy):
                chore()

    # What happened. The events of one loop turn go to the module together: they share one core.

    def post(self, event: face.Event) -> None:
        self.inbox.append(event)
        if not self.turning:
            self.turning, self.since = True, self.loop.time()
            self.loop.call_soon(self.turn)

    def wake_up(self, due: float) -> None:
        """A timer that was to run at `due`, on the loop's clock."""
        self.post(face.WakeUp())
        self.since = min(self.since, due)

    def look(self) -> None:
        """Hears what lies unread, before anything is decided or sent on what was heard before."""
        self.directory.look()
        self.courier.look()

    def may_go(self, endpoint: str, name: str) -> bool:
        """Rules: drains, waits and a repeat's window bind until an attempt's first byte goes, also what lies
        unread of them."""
        self.look()
        if not self.allows(endpoint):
            return False
        if endpoint in self.leaving or not self.dispatcher.may_still_go(endpoint, self.now(), name):
            return False
        return self.spends(endpoint, name)

    async def hear(self, since: float) -> None:
        """Guards against what a courier that cannot look has yet to hear after a late pass."""
        if self.courier.late_reader and self.loop.time() - since > OLD:
            await asyncio.sleep(SETTLE)

    def taken(self, message: HandedIn) -> face.MessageTaken:
        return face.MessageTaken(
            message=message.id,
            message_class=message.message_class,
            destination=message.destination,
            time_left=message.until - self.now(),
            tenant=message.tenant,
            key=message.key,
            again=message.again,
            pinned=self.pin_of(message),
        )

    def take(self, message: HandedIn, caller: Caller) -> None:
        """A door hands a message in. Its caller hears of it in this turn or the next."""
        known = self.known_as(message.id)
        if known is not None and known in (content(message), ANY):
            self.known_already(message.id, caller)
        elif known is not None or message.id in self.arrived:
            # Guards a client whose id another one has used: it would take nothing of it on, and the order
            # of its key would not wait for it. It may come again, under a new id.
            log.warning("the id %s is another message's", message.id)
            self.turn_away(message, caller, Why.OTHER_ID, self.dispatcher.come_again())
        elif len(self.dispatcher.messages) + len(self.arrived) >= self.settings.max_open:
            self.turn_away(message, caller, Why.NO_ROOM, self.dispatcher.come_again())
        elif after := self.admits(message):
            self.turn_away(message, caller, Why.NOT_YET, after)
        else:
            self.arrived[message.id] = message, caller
            self.post(self.taken(message))

    def known_already(self, name: str, caller: Caller) -> None:
        """The same hand-in once more: it is already ours, or was. Who comes later waits in place of who came
        before; the end of one that is over was told, and is not known here any more."""
        if not caller.taken():
            return
        if name in self.journal.entries:
            self.callers[name] = caller
        else:
            caller.ended(End(State.FAILED, status="it is over, and its answer was given before"))

    def is_known(self, name: str) -> bool:
        """Whether it is taken on, was of late, or is about to be."""
        return name in self.arrived or self.known_as(name) is not None

    def known_as(self, name: str) -> int | None:
        if entry := self.journal.entries.get(name):
            return content(entry.message)
        return self.ended.get(name)

    def withdraw(self, name: str, caller: Caller) -> None:
        """A caller calls off what it waits for. An attempt that is out is given up and may have run, so its
        key rests; the next one of the key goes after that. Nothing is told to anybody."""
        if self.over or self.callers.get(name) is not caller:
            return
        del self.callers[name]
        self.post(face.MessageWithdrawn(name))
        out = [task for (message, _), task in self.calls.items() if message == name]
        if out:
            self.withdrawn.add(name)  # the journal forgets it when its attempt's fate is known
            for task in out:
                task.cancel()
        else:
            self.message_over(name, State.WITHDRAWN)

    def list_told(self, event: face.EndpointsListed) -> None:
        """The directory has news."""
        named = {each.id for each in event.endpoints if each.state is face.EndpointState.READY}
        if event.listing is face.Listing.FULL:
            self.leaving = {each for each in self.dispatcher.endpoints if each not in named}
        elif event.listing is face.Listing.CHANGES:
            self.leaving |= {each.id for each in event.endpoints if each.id not in named}
            self.leaving -= named
        self.courier.list_changed()
        self.post(event)

    def wait_told(self, endpoint: str, wait: int) -> None:
        """An answer tells a wait, in us: it binds before the answer's turn comes."""
        self.dispatcher.wait_told(endpoint, self.now() + wait)
        for hear in self.wait_heard:
            hear(endpoint, wait)

    def message_over(self, name: str, state: State) -> None:
        if entry := self.journal.entries.get(name):
            self.ended[name] = content(entry.message)
            self.counts.ended(entry.message.message_class, state)
        self.journal.ended(name, state.value)
        if len(self.ended) > OVER:
            del self.ended[next(iter(self.ended))]

    def end_answered(self, name: str) -> None:
        """The end of a message that was told has been heard."""
        end = self.ending.pop(name, None)
        if name in self.journal.entries:
            self.message_over(name, end.state if end else State.FAILED)
        self.post(face.EndAnswered(name))
        self.attempt_ended()

    def end(self, name: str, end: End) -> None:
        """The module's final answer: to the caller that waits, or else to the teller. The journal forgets a
        message before its caller hears, as a crash between the two ends both. Where it survives the machine,
        the end is on record before anybody hears it: what is handed in elsewhere must not come back here."""
        self.ending[name] = end
        self.journal.verdict(name, end.state.value, end.retry_after)
        self.journal.when_durable(partial(self.tell_end, name, end))

    def tell_end(self, name: str, end: End, durable: bool) -> None:
        if not durable and end.state is State.REFUSED:
            # A later process may find it owed: nothing is promised.
            end = self.ending[name] = End(State.FAILED)
        caller = self.waiting(name)
        if caller is None and self.teller.tell(name, end):
            return
        # On record it is the same end whenever it is told again; else a crash between the two ends both.
        if caller and self.journal.durable:
            caller.ended(end)
        self.end_answered(name)
        if caller and not self.journal.durable:
            caller.ended(end)

    def waiting(self, name: str) -> Caller | None:
        """The caller that waits for this message's end, if one still does."""
        caller = self.callers.pop(name, None)
        return None if caller is None or caller.gone() else caller

    def finished(self, name: str, answer: Answer) -> None:
        """Its endpoint has it, or wants it no more: nothing is owed but the news."""
        state = State.DELIVERED if answer.outcome is Outcome.OK else State.WITHDRAWN
        end = End(state, reply=answer.reply, status=answer.status)
        self.journal.when_durable(partial(self.tell_finished, name, end, name in self.withdrawn))

    def tell_finished(self, name: str, end: End, withdrawn: bool, durable: bool) -> None:
        caller = self.waiting(name)
        if caller is None and not withdrawn:
            self.teller.tell(name, end)  # before the journal forgets it
        if caller and self.journal.durable:
            caller.ended(end)
        self.message_over(name, end.state)
        if caller and not self.journal.durable:
            caller.ended(end)

    async def attempt(self, name: str, number: int, call: Coroutine[Any, Any, Answer], since: float) -> None:
        """A call to its fate, told in the very turn in which it is known."""
        try:
            await self.hear(since)
            answer = await call
        except asyncio.CancelledError:
            answer = Answer(Outcome.CANCELLED)
        self.call_ended(name, number, answer)

    def call_done(
        self, name: str, number: int, call: Coroutine[Any, Any, Answer], task: asyncio.Task[None]
    ) -> None:
        """What a call that told its fate leaves: nothing. One that was cancelled before it began tells
        none."""
        call.close()
        if not task.cancelled() and (error := task.exception()):
            self.fail("a call failed", error)
        elif (name, number) in self.calls:
            self.call_ended(name, number, Answer(Outcome.CANCELLED))

    async def call_off(self, name: str, number: int, since: float) -> None:
        """The module gives an attempt up, unless its fate has come and only waits to be heard."""
        task = self.calls.get((name, number))
        await self.hear(since)
        if task and self.calls.get((name, number)) is task:
            task.cancel()

    def call_ended(self, name: str, number: int, answer: Answer) -> None:
        del self.calls[name, number]
        self.spent(name)
        if self.over:
            return
        if self.fate_of is None:
            self.record_fate(name, number, answer)
            return
        if self.journal.file >= 0:
            self.fates.append((name, number, answer))
        else:
            self.fate_of(name, number, answer)
        self.attempt_ended()

    def record_fate(self, name: str, number: int, answer: Answer) -> None:
        if name in self.journal.entries:
            self.journal.outcome(name, number, answer.outcome)
            # Guards against a call whose message was over, and whose id has come again since.
            if attempt := self.journal.entries[name].attempts.get(number):
                self.outcome_of(attempt.endpoint, answer.outcome)
            if answer.finished:
                self.finished(name, answer)
            elif name in self.withdrawn:
                self.message_over(name, State.WITHDRAWN)
        self.withdrawn.discard(name)
        self.post(face.AttemptEnded(name, number, answer.outcome, answer.finished, answer.wait))
        self.attempt_ended()

    # One turn: the module hears what happened and says what to do.

    def turn(self) -> None:
        if self.over or self.fate_of:
            return
        try:
            self.one_turn()
        except Exception as error:
            self.fail("a turn failed", error)

    def one_turn(self) -> None:
        self.lateness.note(self.loop.time() - self.since)
        self.look()
        self.turning = False  # what the look heard is of this turn
        self.leaving.clear()
        arrived, self.arrived = self.arrived, {}
        gone = {name for name, (_, caller) in arrived.items() if caller.gone()}
        events, self.inbox = self.inbox, []
        for name in gone:
            events = [each for each in events if not is_taking(each, name)]
        actions = self.dispatcher.handle(self.now(), events)
        refused = {each.message: each for each in actions if isinstance(each, face.Refuse | face.Fail)}
        untaken = set()
        for name, (message, caller) in arrived.items():
            if name in gone:
                caller.given_up()
            elif name in refused:
                self.refuse(refused[name], message, caller)
                untaken.add(name)
            elif self.journal.taken(message):
                self.journal.when_durable(partial(self.confirm, message, caller))
            else:
                self.turn_away(message, caller, Why.NO_DISK, self.dispatcher.come_again())
                untaken.add(name)
                self.post(face.MessageWithdrawn(name))
        for action in actions:
            self.act(action, untaken)

    def confirm(self, message: HandedIn, caller: Caller, durable: bool) -> None:
        """A message is on record, or cannot be: its caller hears."""
        if durable:
            if caller.taken():
                self.callers[message.id] = caller
            return
        self.turn_away(message, caller, Why.NO_DISK, self.dispatcher.come_again())
        if message.id in self.journal.entries:
            self.journal.ended(message.id, State.REFUSED.value)
            self.post(face.MessageWithdrawn(message.id))

    def refuse(self, action: face.Refuse | face.Fail, message: HandedIn, caller: Caller) -> None:
        """The final answer of a message that was never taken on. Nothing of it has run."""
        after = action.retry_after if isinstance(action, face.Refuse) else self.dispatcher.come_again()
        self.turn_away(message, caller, Why.REFUSED, after)
        self.post(face.EndAnswered(action.message))

    def turn_away(self, message: HandedIn, caller: Caller, why: Why, after: int) -> None:
        self.counts.ended(message.message_class, State.REFUSED)
        caller.turned_away(TurnedAway(why, after))

    def act(self, action: face.Action, untaken: set[str]) -> None:
        match action:
            case face.Send():
                self.send(action, action.message in untaken)
            case face.Refuse(name) | face.Fail(name) if name in untaken:
                pass  # answered to its caller
            case face.Refuse(name, retry_after):
                self.end(name, End(State.REFUSED, retry_after))
            case face.Fail(name):
                self.end(name, End(State.FAILED))
            case face.CancelAttempt(name, number):
                if (name, number) in self.elsewhere:
                    self.call_off_elsewhere(name, number)
                elif self.courier.late_reader:
                    self.spawn(self.call_off(name, number, self.since))
                elif task := self.calls.get((name, number)):
                    task.cancel()
            case face.WakeAfter(delay):
                if self.wake:
                    self.wake.cancel()  # the module asks anew only for an earlier time, or after this one
                due = self.loop.time() + delay / 1e6 + TIMER_SLACK
                self.wake = self.loop.call_at(due, self.wake_up, due)
            case face.Subscribe():
                if self.watching is None or self.watching.done():  # else a new address is watched already
                    self.watching = self.spawn(self.directory.watch())
            case face.CloseIdle(endpoint):
                self.courier.close_idle(endpoint)
            case face.Note(text):
                log.info("%s", text)

    def send(self, action: face.Send, untaken: bool) -> None:
        name, number, endpoint = action.message, action.attempt, action.endpoint
        zone = self.dispatcher.endpoints[endpoint].listed.zone
        # The attempt is on record before its first byte can go: after SIGKILL it counts as having run.
        if untaken or not self.journal.sent(name, number, Attempt(self.now(), endpoint, zone)):
            self.spent(name)
            self.post(face.AttemptEnded(name, number, Outcome.NOT_SENT, finished=untaken))
            return
        self.call_begins(endpoint)
        message = self.journal.entries[name].message
        may_go = partial(self.may_go, endpoint, name)
        timeout = min(action.timeout, self.call_limit(endpoint, name)) / 1e6
        if self.journal.durable and not self.is_safe(message):
            call = self.call_once_durable(endpoint, message, timeout, may_go)
        else:
            call = self.courier.call(endpoint, message, timeout, may_go)
        work = self.attempt(name, number, call, self.since)
        task = self.calls[name, number] = self.loop.create_task(work)
        task.add_done_callback(partial(self.call_done, name, number, call))

    def is_safe(self, message: HandedIn) -> bool:
        """Whether a repeat of it does no harm."""
        return self.dispatcher.classes[message.message_class].effect is face.Effect.SAFE

    async def call_once_durable(
        self, endpoint: str, message: HandedIn, timeout: float, may_go: Callable[[], bool]
    ) -> Answer:
        """Rule: no effect twice. The attempt is on the disk before its first byte goes; one that cannot be
        put there, or has no time left by then, has never run."""
        until = self.loop.time() + timeout
        synced: asyncio.Future[bool] = self.loop.create_future()
        self.journal.when_durable(partial(settle, synced))
        try:
            durable = await synced
        except asyncio.CancelledError:
            return Answer(Outcome.NOT_SENT)
        left = until - self.loop.time()
        if not durable or left <= 0:
            return Answer(Outcome.NOT_SENT)
        return await self.courier.call(endpoint, message, left, may_go)
