"""The engine: owns the decision module, feeds it what happened and does what it says.

The only place that joins doors, transports, a directory, a completion_listener and the journal. It knows
their ports alone (message_sender/core/ports.py). All of it runs on one asyncio loop; nothing here is safe to
call from another thread.
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

from message_sender.core.counts import CompletionCounts
from message_sender.core.event_loop_lag import OLD, EventLoopLag
from message_sender.core.ports import (
    AttemptResult,
    Caller,
    Completion,
    CompletionListener,
    CompletionState,
    Directory,
    Rejected,
    RejectReason,
    Transport,
)
from message_sender.core.socket_errors import describe
from message_sender.journal.process_journal import AttemptRecord, Journal, JournalEntry
from message_sender.message import Message
from message_sender.policy.actions import (
    CancelAttempt,
    CloseIdle,
    Fail,
    LogLine,
    PolicyAction,
    Reject,
    Send,
    Subscribe,
    WakeAfter,
)
from message_sender.policy.dispatcher import Dispatcher
from message_sender.policy.events import (
    AttemptEnded,
    CallInFlight,
    EndAcknowledged,
    EndpointsUpdated,
    InheritedState,
    MessageAccepted,
    MessageRestored,
    MessageWithdrawn,
    PolicyEvent,
    Stopping,
    WakeUp,
)
from message_sender.policy.model import Effect, Endpoint, EndpointState, ListingKind, Outcome, Settings
from message_sender.policy.state_transfer import tell

SWEEP = 0.25  # s between chores; what clients are owed within 3 s goes by it
# s: a timer must not run before its time on the module's clock, which then sets no other
TIMER_SLACK = 0.0005
#: What a caller hears in place of the reply of a message that an earlier process delivered.
REPLY_LOST = "UNKNOWN delivered; its reply was lost with the process"
SETTLE = 0.005  # s that a transport which hears late is given after a late pass
ANY = -1  # no hash is: of a message that was over before this process began, only the id is known
OVER = 4096  # ids of messages that are over and still known: more than come in the longest deadline

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class EngineConfig:
    """What the engine itself needs to know."""

    name: str
    state: Path  # the folder that outlasts the process
    seed: int
    disk_bytes: int  # that may stand in it
    settings: Settings
    known: tuple[Endpoint, ...]  # the endpoints as last told; may be old
    returned: tuple[str, ...] = ()  # of these, ids that were kept out of service


@dataclass(frozen=True, slots=True)
class HandoverState:
    """What an engine knows that its journal does not, handed to the engine of the process that follows it."""

    inherited: InheritedState = field(default_factory=InheritedState)
    calls: dict[str, tuple[int, CallInFlight]] = field(default_factory=dict)  # by message: attempt and call
    ending: dict[str, Completion] = field(default_factory=dict)  # told to the platform, and not answered yet
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


def content(message: Message) -> int:
    """Tells whether two hand-ins under one id are the same one. Its time left runs from each anew."""
    told = (message.message_class, message.destination, message.tenant, message.key)
    return hash((message.id, *told, message.idempotency_key, message.body, message.extras))


def is_taking(event: PolicyEvent, name: str) -> bool:
    return isinstance(event, MessageAccepted) and event.message == name


def settle(future: asyncio.Future[bool], result: bool) -> None:
    if not future.done():
        future.set_result(result)


class Engine:
    """One sender without its protocols. Build it on its loop, `plug` the ports in, `start` it, `close` it."""

    transport: Transport
    directory: Directory
    completion_listener: CompletionListener

    def __init__(
        self,
        config: EngineConfig,
        clock: Callable[[], int] | None = None,
        decide: Callable[[Settings, int], Dispatcher] = Dispatcher,
        open_journal: Callable[[Path, int], Journal] = Journal,
    ) -> None:
        """Opens the journal. Raises OSError where the state folder cannot be used. `decide` makes the
        decision module; another one stands in for it only where policies are compared."""
        self.config, self.settings = config, config.settings
        self.loop = asyncio.get_running_loop()
        self.now = clock or Clock().now
        self.dispatcher = decide(config.settings, config.seed)
        self.journal = open_journal(config.state, config.disk_bytes)
        self.inbox: list[PolicyEvent] = []
        self.arrived: dict[str, tuple[Message, Caller]] = {}  # in the inbox, not answered yet
        self.callers: dict[str, Caller] = {}  # those that wait for the end of a message that is taken on
        self.withdrawn: set[str] = set()  # called off by their callers while an attempt was out
        self.calls: dict[tuple[str, int], asyncio.Task[None]] = {}
        self.ended: dict[str, int] = {}  # messages that are over: id and content, oldest first, OVER at most
        self.ending: dict[
            str, Completion
        ] = {}  # of those whose end the completion_listener has told and nobody has heard yet
        #: Calls of the process before, whose ends it will tell; and how one of them is called off.
        self.predecessor_calls: set[tuple[str, int]] = set()
        self.cancel_predecessor_call: Callable[[str, int], None] = lambda name, number: None
        #: Set while, and after, this engine is handed over: hears the ends of its calls.
        self.attempt_forwarder: Callable[[str, int, AttemptResult], None] | None = None
        self.unforwarded_attempts: list[tuple[str, int, AttemptResult]] = []  # ends since it was frozen
        self.stopped_at = math.inf  # the module's, before it was frozen
        self.telling: asyncio.Task[None] | None = None
        self.counts = CompletionCounts(each.name for each in config.settings.classes)
        self.periodic_tasks: list[Callable[[], None]] = []  # of the doors, done in each sweep
        #: The endpoint to which a message is pinned; "" for none.
        self.pin_of: Callable[[Message], str] = lambda message: ""
        #: Hears the endpoint and the outcome of each attempt.
        self.outcome_of: Callable[[str, Outcome], None] = lambda endpoint, outcome: None
        #: For a fleet whose members ask one another (recovery/coordinator.py): us after which a new message
        #: may come again, 0 for one that is taken on; whether a call may go to an endpoint, asked as its
        #: first byte goes; that one goes; that an endpoint told a wait, us.
        self.admits: Callable[[Message], int] = lambda message: 0
        self.beginnings: list[Callable[[], None]] = []  # once all that is owed is posted
        self.allows: Callable[[str], bool] = lambda endpoint: True
        self.call_begins: Callable[[str], None] = lambda endpoint: None
        #: Of budgets that a fleet shares: whether a message's call to an endpoint is within them as its first
        #: byte goes; that it is over; us that it may take.
        self.spends: Callable[[str, str], bool] = lambda endpoint, name: True
        self.spent: Callable[[str], None] = lambda name: None
        self.call_limit: Callable[[str, str], float] = lambda endpoint, name: math.inf
        self.retry_after_listeners: list[Callable[[str, int], None]] = []
        self.attempt_ended: Callable[[], None] = lambda: None  # for who waits until nothing is owed
        self.watching: asyncio.Task[None] | None = None
        self.wake: asyncio.TimerHandle | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.leaving: set[str] = set()  # endpoints told to drain or go, of which the module has not heard yet
        self.lateness = EventLoopLag(self.loop.time())
        self.since = self.loop.time()  # s: when the oldest event in the inbox came, or should have
        self.turning = self.over = False
        self.defect = ""  # the line that names what ended it
        self.stopped: asyncio.Future[int] = self.loop.create_future()

    # Start and stop.

    def plug(
        self, transport: Transport, directory: Directory, completion_listener: CompletionListener
    ) -> None:
        self.transport, self.directory, self.completion_listener = transport, directory, completion_listener

    def start(self, handed: HandoverState | None = None) -> None:
        """Takes over what the journal holds, and what a process that still runs hands over; only then may a
        door say that it is ready."""
        self.post(EndpointsUpdated(ListingKind.CACHED, self.config.known, self.config.returned))
        for entry in list(self.journal.entries.values()):
            self.directory.remember(entry.message.destination)
            if entry.delivered():  # the process ended between the answer and the end on record
                self.completion_listener.notify(
                    entry.message.id, Completion(CompletionState.DELIVERED, status=REPLY_LOST)
                )
                self.message_over(entry.message.id, CompletionState.DELIVERED)
                continue
            if entry.verdict:  # the power went between the end on record and its telling, or after that
                self.tell_again(entry.message.id, *entry.verdict)
                continue
            self.post(self.handed(entry, handed) if handed else self.restored(entry))
        if handed:
            self.post(handed.inherited)
            self.ended = {**dict.fromkeys(handed.ended, ANY), **self.ended}
        elif resting := self.journal.resting_keys(self.settings.key_pause):
            until = self.now() + self.settings.key_pause
            self.post(InheritedState(keys=tuple((key, until) for key in sorted(resting))))
        log.info("%s: %d messages taken over from the journal", self.config.name, len(self.journal.entries))
        for each in self.beginnings:
            each()
        self.turn()
        self.telling = self.spawn(self.completion_listener.run())
        self.spawn(self.sweep())

    def tell_again(self, name: str, state: str, after: int) -> None:
        """An end that was decided on record: it is the same one, however often it is told."""
        self.ending[name] = end = Completion(CompletionState(state), after)
        if not self.completion_listener.notify(name, end):
            self.message_over(name, end.state)
            del self.ending[name]

    def handed(self, entry: JournalEntry, handed: HandoverState) -> MessageRestored:
        """A message of a process that still runs: its end may be told already, or its call be out there."""
        name = entry.message.id
        share, end = handed.shares.get(name), handed.ending.get(name)
        number, call = handed.calls.get(name, (-1, None))
        if end:
            self.ending[name] = end
            self.completion_listener.notify(name, end)
        if call:
            self.predecessor_calls.add((name, number))
        kept = self.restored(entry, number)
        return replace(kept, outcomes=(), handed=True, call=call, ended=end is not None, share=share)

    def restored(self, entry: JournalEntry, but: int = -1) -> MessageRestored:
        risk = entry.first_risk(but)
        return MessageRestored(
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
            self.transport.close()
        finally:
            self.journal.close()

    # Handed over to the process that follows.

    def freeze(self) -> None:
        """A last turn: what has come is answered, and nothing new goes. From here on nothing is decided or
        put on record; the ends of calls are kept, until `thaw` or `let_go`."""
        self.stopped_at = self.dispatcher.stops_at
        self.post(Stopping(0))
        while self.inbox and not self.over:
            self.turn()
        self.attempt_forwarder = lambda name, number, answer: None
        if self.telling:
            self.telling.cancel()

    def export_state(self) -> HandoverState:
        """Of a frozen engine."""
        there = self.dispatcher
        calls = {}
        for (name, number), call in there.calls.items():
            listed, trial = call.endpoint.listed, call.breaker.trial is call
            calls[name] = number, CallInFlight(listed.id, listed.zone, call.sent, trial, call.overdue)
        shares = {name: message.share for name, message in there.messages.items()}
        return HandoverState(
            tell(there.registry, there.pending), calls, dict(self.ending), shares, tuple(self.ended)
        )

    def thaw(self) -> None:
        """The one that was to follow is gone before it owned anything: all goes on."""
        self.attempt_forwarder, self.dispatcher.stops_at = None, self.stopped_at
        fates, self.unforwarded_attempts = self.unforwarded_attempts, []
        for each in fates:
            self.inherited_attempt_ended(*each)
        self.telling = self.spawn(self.completion_listener.run())
        self.turning = False
        self.post(WakeUp())

    def release(self, fate_of: Callable[[str, int, AttemptResult], None]) -> None:
        """Another process owns it all from now on: here calls only come to their ends."""
        self.attempt_forwarder = fate_of
        fates, self.unforwarded_attempts = self.unforwarded_attempts, []
        for each in fates:
            fate_of(*each)
        for task in (self.watching, self.wake):
            if task:
                task.cancel()
        self.inbox = []
        self.journal.close()
        self.journal.entries = {}

    def inherited_attempt_ended(self, name: str, number: int, answer: AttemptResult) -> None:
        """The end of a call that another process made, or that came while this one was frozen."""
        self.predecessor_calls.discard((name, number))
        if answer.wait and (call := self.dispatcher.calls.get((name, number))):
            self.retry_after_received(call.endpoint.listed.id, answer.wait)
        self.record_attempt_end(name, number, answer)

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
            for chore in (*self.periodic_tasks, self.transport.close_expired):
                chore()

    # What happened. The events of one loop turn go to the module together: they share one core.

    def post(self, event: PolicyEvent) -> None:
        self.inbox.append(event)
        if not self.turning:
            self.turning, self.since = True, self.loop.time()
            self.loop.call_soon(self.turn)

    def wake_up(self, due: float) -> None:
        """A timer that was to run at `due`, on the loop's clock."""
        self.post(WakeUp())
        self.since = min(self.since, due)

    def look(self) -> None:
        """Hears what lies unread, before anything is decided or sent on what was heard before."""
        self.directory.poll_unread()
        self.transport.poll_unread()

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
        """Guards against what a transport that cannot look has yet to hear after a late pass."""
        if self.transport.reads_late and self.loop.time() - since > OLD:
            await asyncio.sleep(SETTLE)

    def taken(self, message: Message) -> MessageAccepted:
        return MessageAccepted(
            message=message.id,
            message_class=message.message_class,
            destination=message.destination,
            time_left=message.deadline_us - self.now(),
            tenant=message.tenant,
            key=message.key,
            is_repeat=message.is_repeat,
            pinned_endpoint=self.pin_of(message),
        )

    def take(self, message: Message, caller: Caller) -> None:
        """A door hands a message in. Its caller hears of it in this turn or the next."""
        known = self.known_as(message.id)
        if known is not None and known in (content(message), ANY):
            self.known_already(message.id, caller)
        elif known is not None or message.id in self.arrived:
            # Guards a client whose id another one has used: it would take nothing of it on, and the order
            # of its key would not wait for it. It may come again, under a new id.
            log.warning("the id %s is another message's", message.id)
            self.reject(message, caller, RejectReason.OTHER_ID, self.dispatcher.suggest_retry_after())
        elif len(self.dispatcher.messages) + len(self.arrived) >= self.settings.max_open:
            self.reject(message, caller, RejectReason.NO_ROOM, self.dispatcher.suggest_retry_after())
        elif after := self.admits(message):
            self.reject(message, caller, RejectReason.NOT_YET, after)
        else:
            self.arrived[message.id] = message, caller
            self.post(self.taken(message))

    def known_already(self, name: str, caller: Caller) -> None:
        """The same hand-in once more: it is already ours, or was. Who comes later waits in place of who came
        before; the end of one that is over was told, and is not known here any more."""
        if not caller.accepted():
            return
        if name in self.journal.entries:
            self.callers[name] = caller
        else:
            caller.completed(
                Completion(CompletionState.FAILED, status="it is over, and its answer was given before")
            )

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
        self.post(MessageWithdrawn(name))
        out = [task for (message, _), task in self.calls.items() if message == name]
        if out:
            self.withdrawn.add(name)  # the journal forgets it when its attempt's fate is known
            for task in out:
                task.cancel()
        else:
            self.message_over(name, CompletionState.WITHDRAWN)

    def endpoints_updated(self, event: EndpointsUpdated) -> None:
        """The directory has news."""
        named = {each.id for each in event.endpoints if each.state is EndpointState.READY}
        if event.listing is ListingKind.FULL:
            self.leaving = {each for each in self.dispatcher.endpoints if each not in named}
        elif event.listing is ListingKind.CHANGES:
            self.leaving |= {each.id for each in event.endpoints if each.id not in named}
            self.leaving -= named
        self.transport.endpoints_changed()
        self.post(event)

    def retry_after_received(self, endpoint: str, wait: int) -> None:
        """An answer tells a wait, in us: it binds before the answer's turn comes."""
        self.dispatcher.retry_after_received(endpoint, self.now() + wait)
        for hear in self.retry_after_listeners:
            hear(endpoint, wait)

    def message_over(self, name: str, state: CompletionState) -> None:
        if entry := self.journal.entries.get(name):
            self.ended[name] = content(entry.message)
            self.counts.ended(entry.message.message_class, state)
        self.journal.record_end(name, state.value)
        if len(self.ended) > OVER:
            del self.ended[next(iter(self.ended))]

    def completion_acknowledged(self, name: str) -> None:
        """The end of a message that was told has been heard."""
        end = self.ending.pop(name, None)
        if name in self.journal.entries:
            self.message_over(name, end.state if end else CompletionState.FAILED)
        self.post(EndAcknowledged(name))
        self.attempt_ended()

    def end(self, name: str, end: Completion) -> None:
        """The module's final answer: to the caller that waits, or else to the completion_listener. The
        journal forgets a message before its caller hears, as a crash between the two ends both. Where it
        survives the machine, the end is on record before anybody hears it: what is handed in elsewhere must
        not come back here."""
        self.ending[name] = end
        self.journal.record_completion(name, end.state.value, end.retry_after)
        self.journal.when_durable(partial(self.tell_end, name, end))

    def tell_end(self, name: str, end: Completion, durable: bool) -> None:
        if not durable and end.state is CompletionState.REFUSED:
            # A later process may find it owed: nothing is promised.
            end = self.ending[name] = Completion(CompletionState.FAILED)
        caller = self.waiting(name)
        if caller is None and self.completion_listener.notify(name, end):
            return
        # On record it is the same end whenever it is told again; else a crash between the two ends both.
        if caller and self.journal.durable:
            caller.completed(end)
        self.completion_acknowledged(name)
        if caller and not self.journal.durable:
            caller.completed(end)

    def waiting(self, name: str) -> Caller | None:
        """The caller that waits for this message's end, if one still does."""
        caller = self.callers.pop(name, None)
        return None if caller is None or caller.is_gone() else caller

    def finished(self, name: str, answer: AttemptResult) -> None:
        """Its endpoint has it, or wants it no more: nothing is owed but the news."""
        state = CompletionState.DELIVERED if answer.outcome is Outcome.OK else CompletionState.WITHDRAWN
        end = Completion(state, reply=answer.reply, status=answer.status)
        self.journal.when_durable(partial(self.tell_finished, name, end, name in self.withdrawn))

    def tell_finished(self, name: str, end: Completion, withdrawn: bool, durable: bool) -> None:
        caller = self.waiting(name)
        if caller is None and not withdrawn:
            self.completion_listener.notify(name, end)  # before the journal forgets it
        if caller and self.journal.durable:
            caller.completed(end)
        self.message_over(name, end.state)
        if caller and not self.journal.durable:
            caller.completed(end)

    async def attempt(
        self, name: str, number: int, call: Coroutine[Any, Any, AttemptResult], since: float
    ) -> None:
        """A call to its fate, told in the very turn in which it is known."""
        try:
            await self.hear(since)
            answer = await call
        except asyncio.CancelledError:
            answer = AttemptResult(Outcome.CANCELLED)
        self.call_ended(name, number, answer)

    def call_done(
        self, name: str, number: int, call: Coroutine[Any, Any, AttemptResult], task: asyncio.Task[None]
    ) -> None:
        """What a call that told its fate leaves: nothing. One that was cancelled before it began tells
        none."""
        call.close()
        if not task.cancelled() and (error := task.exception()):
            self.fail("a call failed", error)
        elif (name, number) in self.calls:
            self.call_ended(name, number, AttemptResult(Outcome.CANCELLED))

    async def cancel_attempt(self, name: str, number: int, since: float) -> None:
        """The module gives an attempt up, unless its fate has come and only waits to be heard."""
        task = self.calls.get((name, number))
        await self.hear(since)
        if task and self.calls.get((name, number)) is task:
            task.cancel()

    def call_ended(self, name: str, number: int, answer: AttemptResult) -> None:
        del self.calls[name, number]
        self.spent(name)
        if self.over:
            return
        if self.attempt_forwarder is None:
            self.record_attempt_end(name, number, answer)
            return
        if self.journal.file >= 0:
            self.unforwarded_attempts.append((name, number, answer))
        else:
            self.attempt_forwarder(name, number, answer)
        self.attempt_ended()

    def record_attempt_end(self, name: str, number: int, answer: AttemptResult) -> None:
        if name in self.journal.entries:
            self.journal.record_outcome(name, number, answer.outcome)
            # Guards against a call whose message was over, and whose id has come again since.
            if attempt := self.journal.entries[name].attempts.get(number):
                self.outcome_of(attempt.endpoint, answer.outcome)
            if answer.finished:
                self.finished(name, answer)
            elif name in self.withdrawn:
                self.message_over(name, CompletionState.WITHDRAWN)
        self.withdrawn.discard(name)
        self.post(AttemptEnded(name, number, answer.outcome, answer.finished, answer.wait))
        self.attempt_ended()

    # One turn: the module hears what happened and says what to do.

    def turn(self) -> None:
        if self.over or self.attempt_forwarder:
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
        gone = {name for name, (_, caller) in arrived.items() if caller.is_gone()}
        events, self.inbox = self.inbox, []
        for name in gone:
            events = [each for each in events if not is_taking(each, name)]
        actions = self.dispatcher.handle(self.now(), events)
        refused = {each.message: each for each in actions if isinstance(each, Reject | Fail)}
        untaken = set()
        for name, (message, caller) in arrived.items():
            if name in gone:
                caller.withdrawn()
            elif name in refused:
                self.refuse(refused[name], message, caller)
                untaken.add(name)
            elif self.journal.record_accepted(message):
                self.journal.when_durable(partial(self.confirm, message, caller))
            else:
                self.reject(message, caller, RejectReason.NO_DISK, self.dispatcher.suggest_retry_after())
                untaken.add(name)
                self.post(MessageWithdrawn(name))
        for action in actions:
            self.act(action, untaken)

    def confirm(self, message: Message, caller: Caller, durable: bool) -> None:
        """A message is on record, or cannot be: its caller hears."""
        if durable:
            if caller.accepted():
                self.callers[message.id] = caller
            return
        self.reject(message, caller, RejectReason.NO_DISK, self.dispatcher.suggest_retry_after())
        if message.id in self.journal.entries:
            self.journal.record_end(message.id, CompletionState.REFUSED.value)
            self.post(MessageWithdrawn(message.id))

    def refuse(self, action: Reject | Fail, message: Message, caller: Caller) -> None:
        """The final answer of a message that was never taken on. Nothing of it has run."""
        after = action.retry_after if isinstance(action, Reject) else self.dispatcher.suggest_retry_after()
        self.reject(message, caller, RejectReason.REFUSED, after)
        self.post(EndAcknowledged(action.message))

    def reject(self, message: Message, caller: Caller, why: RejectReason, after: int) -> None:
        self.counts.ended(message.message_class, CompletionState.REFUSED)
        caller.rejected(Rejected(why, after))

    def act(self, action: PolicyAction, untaken: set[str]) -> None:
        match action:
            case Send():
                self.send(action, action.message in untaken)
            case Reject(name) | Fail(name) if name in untaken:
                pass  # answered to its caller
            case Reject(name, retry_after):
                self.end(name, Completion(CompletionState.REFUSED, retry_after))
            case Fail(name):
                self.end(name, Completion(CompletionState.FAILED))
            case CancelAttempt(name, number):
                if (name, number) in self.predecessor_calls:
                    self.cancel_predecessor_call(name, number)
                elif self.transport.reads_late:
                    self.spawn(self.cancel_attempt(name, number, self.since))
                elif task := self.calls.get((name, number)):
                    task.cancel()
            case WakeAfter(delay):
                if self.wake:
                    self.wake.cancel()  # the module asks anew only for an earlier time, or after this one
                due = self.loop.time() + delay / 1e6 + TIMER_SLACK
                self.wake = self.loop.call_at(due, self.wake_up, due)
            case Subscribe():
                if self.watching is None or self.watching.done():  # else a new address is watched already
                    self.watching = self.spawn(self.directory.watch())
            case CloseIdle(endpoint):
                self.transport.close_idle(endpoint)
            case LogLine(text):
                log.info("%s", text)

    def send(self, action: Send, untaken: bool) -> None:
        name, number, endpoint = action.message, action.attempt, action.endpoint
        zone = self.dispatcher.endpoints[endpoint].listed.zone
        # The attempt is on record before its first byte can go: after SIGKILL it counts as having run.
        if untaken or not self.journal.record_attempt(
            name, number, AttemptRecord(self.now(), endpoint, zone)
        ):
            self.spent(name)
            self.post(AttemptEnded(name, number, Outcome.NOT_SENT, finished=untaken))
            return
        self.call_begins(endpoint)
        message = self.journal.entries[name].message
        may_go = partial(self.may_go, endpoint, name)
        timeout = min(action.timeout, self.call_limit(endpoint, name)) / 1e6
        if self.journal.durable and not self.is_safe(message):
            call = self.call_once_durable(endpoint, message, timeout, may_go)
        else:
            call = self.transport.call(endpoint, message, timeout, may_go)
        work = self.attempt(name, number, call, self.since)
        task = self.calls[name, number] = self.loop.create_task(work)
        task.add_done_callback(partial(self.call_done, name, number, call))

    def is_safe(self, message: Message) -> bool:
        """Whether a repeat of it does no harm."""
        return self.dispatcher.classes[message.message_class].effect is Effect.IDEMPOTENT

    async def call_once_durable(
        self, endpoint: str, message: Message, timeout: float, may_go: Callable[[], bool]
    ) -> AttemptResult:
        """Rule: no effect twice. The attempt is on the disk before its first byte goes; one that cannot be
        put there, or has no time left by then, has never run."""
        until = self.loop.time() + timeout
        synced: asyncio.Future[bool] = self.loop.create_future()
        self.journal.when_durable(partial(settle, synced))
        try:
            durable = await synced
        except asyncio.CancelledError:
            return AttemptResult(Outcome.NOT_SENT)
        left = until - self.loop.time()
        if not durable or left <= 0:
            return AttemptResult(Outcome.NOT_SENT)
        return await self.transport.call(endpoint, message, left, may_go)
