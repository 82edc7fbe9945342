"""One real sender: owns the decision module, feeds it what happened and does what it says.

The only place that joins the server, the calls, discovery and the journal.
"""

import asyncio
import logging
import signal
import time
from collections.abc import Coroutine
from dataclasses import dataclass, replace
from functools import partial
from pathlib import Path
from typing import Any, ClassVar

from elmglade import interface as face
from elmglade.interface import Outcome
from elmglade.net.client import Answer, Client
from elmglade.net.discovery import Discovery, Listed
from elmglade.net.http import Address
from elmglade.net.journal import Attempt, Entry, Journal
from elmglade.net.message import HandedIn
from elmglade.net.peer import describe, transport_in
from elmglade.net.server import ACCEPTS, Connection, Server
from elmglade.rules import Dispatcher

STOP_LISTENING = 0.6  # s after SIGTERM; the front deals out new connections for up to 0.4 s more
STOP = 3.3  # s after SIGTERM: the process ends, well before SIGKILL may come at 3.7 s
SWEEP = 0.25  # s between looks at connections that stand unused; what clients are owed within 3 s goes by it
TIMER_SLACK = (
    0.0005  # s: a timer must not run before its time on the module's clock, which then sets no other
)

OVER = 4096  # ids of messages that are over and still known: more than come in the longest deadline

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    state: Path
    seed: int
    disk_bytes: int
    sockets: int
    known: Listed
    settings: face.Settings


@dataclass(frozen=True, slots=True)
class Descriptors:
    """How the descriptors that the configuration allows are shared out: all that opens one counts here."""

    # The standard streams, the loop's three, the listener, the journal and its copy, the configuration, the
    # watch and the notices with their successors at a new address: 14; and a turn's accepted connections,
    # which push out others that close only after it.
    OWN: ClassVar[int] = 20 + ACCEPTS

    clients: int
    lingering: int  # clients above these that only hear that they are turned away
    calls: int  # with the connections that are kept for the next ones

    @classmethod
    def of(cls, sockets: int, slots: int) -> "Descriptors":
        """Clients get half; they may need a third. Calls get the rest, all slots in any case."""
        lingering = sockets // 16
        calls = max(sockets - cls.OWN - sockets // 2, slots + 4)
        return cls(max(sockets - cls.OWN - lingering - calls, 1), lingering, calls)


class Clock:
    """The module's clock: wall time as it was at the start, and from there on one that never goes back."""

    def __init__(self) -> None:
        self.base = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        return (self.base + time.monotonic_ns()) // 1000


def content(message: HandedIn) -> int:
    """Tells whether two hand-ins under one id are the same one. Its time left runs from each anew."""
    return hash(replace(message, until=0, again=False))


def is_taking(event: face.Event, name: str) -> bool:
    return isinstance(event, face.MessageTaken) and event.message == name


class Sender:
    def __init__(self, config: Config) -> None:
        self.config, self.settings = config, config.settings
        self.loop = asyncio.get_running_loop()
        self.now = Clock().now
        self.dispatcher = Dispatcher(config.settings, config.seed)
        self.journal = Journal(config.state, config.disk_bytes)
        classes = {each.name: each for each in config.settings.classes}
        share = Descriptors.of(config.sockets, config.settings.slots)
        self.server = Server(classes, self.take, self.now, share.clients, share.lingering, self.is_named)
        self.discovery = Discovery(config.discovery, config.known, self.list_told, self.end_answered)
        self.client = Client(
            config.settings.conn_idle / 1e6,
            config.settings.connect_timeout / 1e6,
            share.calls,
            lambda: self.discovery.dials,
            lambda endpoint, wait: self.dispatcher.wait_told(endpoint, self.now() + wait),
        )
        self.inbox: list[face.Event] = []
        self.arrived: dict[str, tuple[HandedIn, Connection]] = {}  # in the inbox, not answered yet
        self.calls: dict[tuple[str, int], asyncio.Task[Answer]] = {}
        self.ended: dict[str, int] = {}  # messages that are over: id and content, oldest first, OVER at most
        self.watching: asyncio.Task[None] | None = None
        self.wake: asyncio.TimerHandle | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.turning = self.over = False
        self.defect = ""  # the line that names what ends the process
        self.stopped: asyncio.Future[int] = self.loop.create_future()

    # Start and stop.

    async def start(self) -> None:
        """Takes over what the journal holds; only then do clients hear that the sender is ready."""
        self.loop.set_exception_handler(lambda _, context: self.loop_failed(context))
        self.loop.add_signal_handler(signal.SIGTERM, self.terminate)
        self.loop.add_signal_handler(signal.SIGINT, self.terminate)
        known = self.config.known
        self.post(face.EndpointsListed(face.Listing.CACHED, known.endpoints))
        for entry in self.journal.entries.values():
            self.discovery.destinations.add(entry.message.destination)
            self.post(self.restored(entry))
        log.info("%s: %d messages taken over from the journal", self.config.name, len(self.journal.entries))
        self.turn()
        self.spawn(self.discovery.tell())
        self.spawn(self.sweep())
        self.server.listen(*self.config.listen)
        self.server.ready = not self.server.stopping
        host, port = self.server.address()
        log.info("%s: ready on %s:%d", self.config.name, host, port)

    async def run(self) -> int:
        """Serves until it is told to stop; the answer is the exit code."""
        code = await self.stopped
        self.over = True  # calls still out have no outcome in the journal: the next start reads a reset
        try:
            self.server.close()
            for task in [*self.calls.values(), *self.tasks]:
                task.cancel()
            self.client.close()
        finally:
            self.journal.close()
        if self.defect:
            log.critical("%s: ended by a defect: %s", self.config.name, self.defect)
        return code

    def restored(self, entry: Entry) -> face.MessageRestored:
        risk = entry.first_risk()
        return face.MessageRestored(
            taken=self.taken(entry.message),
            attempts=max(entry.attempts, default=-1) + 1,
            risky_since=min(risk.at, self.now()) if risk else None,
            risky_zone=risk.zone if risk else "",
            outcomes=tuple((each.endpoint, each.outcome) for each in entry.attempts.values() if each.outcome),
        )

    def reconfigure(self, config: Config) -> None:
        """SIGHUP. Discovery may have moved; anything else that has changed waits for the next start."""
        if config.discovery != self.discovery.address:
            log.info("%s: discovery is at %s:%d from now on", self.config.name, *config.discovery)
            self.discovery.move(config.discovery)
            if self.watching:  # the watch at the old address goes on until this one has a list
                self.watching = self.spawn(self.discovery.watch())

    def terminate(self) -> None:
        """SIGTERM. Clients are still answered, and what they hand in is taken on: the journal keeps it."""
        if self.server.stopping:
            return
        log.info("%s: stopping", self.config.name)
        self.server.stop()
        self.post(face.Stopping(int(STOP * 1e6)))
        self.loop.call_later(STOP_LISTENING, self.stop_listening)
        self.loop.call_later(STOP, self.stop, 0)

    def stop_listening(self) -> None:
        self.server.close()
        self.stop_if_done()

    def stop_if_done(self) -> None:
        if self.server.stopping and not (self.server.listener or self.calls or self.journal.entries):
            self.stop(0)

    def stop(self, code: int) -> None:
        if not self.stopped.done():
            self.stopped.set_result(code)

    def loop_failed(self, context: dict[str, Any]) -> None:
        """What a callback raised. Where it is one connection's own, that connection ends; an OSError of any
        other one (half a turn, say) is a defect like the rest: what it was about to do is not done."""
        error = context.get("exception")
        if transport := transport_in(context):
            if isinstance(error, Exception):
                self.server.reports.tell(error, str(context.get("message")))
            if isinstance(transport, asyncio.WriteTransport):
                transport.abort()
            return
        self.fail(context)

    def fail(self, context: dict[str, Any]) -> None:
        """What nobody foresaw ends the process; the next one starts from the journal. Nothing more is done on
        the strength of a state that may be half changed."""
        self.defect = self.defect or describe(context.get("exception"), str(context.get("message")))
        self.over = True
        self.stop(1)

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.task_ended)
        return task

    def task_ended(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            self.fail({"message": "a task failed", "exception": error})

    async def sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP)
            self.server.expire()
            self.client.drop_old()

    # What happened. The events of one loop turn go to the module together: they share one core.

    def post(self, event: face.Event) -> None:
        self.inbox.append(event)
        if not self.turning:
            self.turning = True
            self.loop.call_soon(self.turn)

    def taken(self, message: HandedIn) -> face.MessageTaken:
        return face.MessageTaken(
            message=message.id,
            message_class=message.message_class,
            destination=message.destination,
            time_left=message.until - self.now(),
            tenant=message.tenant,
            key=message.key,
            again=message.again,
        )

    def take(self, message: HandedIn, connection: Connection) -> None:
        known = self.known_as(message.id)
        if known == content(message):
            connection.answer(202)  # the same hand-in once more: it is already ours, or was
        elif known is not None or message.id in self.arrived:
            # Guards a client whose id another one has used: 202 would take nothing of it on, and the order
            # of its key would not wait for it. It may come again, under a new id.
            log.warning("the id %s is another message's", message.id)
            connection.answer(503, self.dispatcher.come_again(), "this id is another message's")
        elif len(self.dispatcher.messages) + len(self.arrived) >= self.settings.max_open:
            connection.answer(503, self.dispatcher.come_again())
        else:
            self.arrived[message.id] = message, connection
            self.post(self.taken(message))

    def known_as(self, name: str) -> int | None:
        if entry := self.journal.entries.get(name):
            return content(entry.message)
        return self.ended.get(name)

    def is_named(self, destination: int) -> bool:
        """Whether there ever was such a destination; one whose endpoints are all gone may come back."""
        return destination in self.discovery.destinations

    def list_told(self, event: face.EndpointsListed) -> None:
        self.client.drop_gone()
        self.post(event)

    def message_over(self, name: str) -> None:
        if entry := self.journal.entries.get(name):
            self.ended[name] = content(entry.message)
        self.journal.ended(name)
        if len(self.ended) > OVER:
            del self.ended[next(iter(self.ended))]

    def end_answered(self, name: str) -> None:
        self.message_over(name)
        self.post(face.EndAnswered(name))
        self.stop_if_done()

    def call_ended(self, name: str, number: int, task: asyncio.Task[Answer]) -> None:
        del self.calls[name, number]
        if self.over:
            return
        if task.cancelled():
            answer = Answer(Outcome.CANCELLED)
        elif error := task.exception():
            self.fail({"message": "a call failed", "exception": error})
            return
        else:
            answer = task.result()
        if name in self.journal.entries:
            self.journal.outcome(name, number, answer.outcome)
            if answer.finished:
                self.message_over(name)
        self.post(face.AttemptEnded(name, number, answer.outcome, answer.finished, answer.wait))
        self.stop_if_done()

    # One turn: the module hears what happened and says what to do.

    def turn(self) -> None:
        self.turning = False
        if self.over:
            return
        arrived, self.arrived = self.arrived, {}
        withdrawn = {name for name, (_, connection) in arrived.items() if connection.gone()}
        events, self.inbox = self.inbox, []
        for name in withdrawn:
            events = [each for each in events if not is_taking(each, name)]
        actions = self.dispatcher.handle(self.now(), events)
        refused = {each.message: each for each in actions if isinstance(each, face.Refuse | face.Fail)}
        untaken = set()
        for name, (message, connection) in arrived.items():
            if name in withdrawn:
                connection.transport.close()
            elif name in refused:
                self.refuse(refused[name], connection)
                untaken.add(name)
            elif self.journal.taken(message):
                connection.answer(202)
            else:
                connection.answer(503, self.dispatcher.come_again())
                untaken.add(name)
                self.post(face.MessageWithdrawn(name))
        for action in actions:
            self.act(action, untaken)

    def refuse(self, action: face.Refuse | face.Fail, connection: Connection) -> None:
        """The final answer of a message that was never taken on. Nothing of it has run."""
        after = action.retry_after if isinstance(action, face.Refuse) else self.dispatcher.come_again()
        connection.answer(429, after)
        self.post(face.EndAnswered(action.message))

    def act(self, action: face.Action, untaken: set[str]) -> None:
        match action:
            case face.Send():
                self.send(action, action.message in untaken)
            case face.Refuse(name) | face.Fail(name) if name in untaken:
                pass  # answered to its client
            case face.Refuse(name, retry_after):
                self.discovery.notify(name, "returned", retry_after)
            case face.Fail(name):
                self.discovery.notify(name, "failed")
            case face.CancelAttempt(name, number):
                if task := self.calls.get((name, number)):
                    task.cancel()
            case face.WakeAfter(delay):
                if self.wake:
                    self.wake.cancel()  # the module asks anew only for an earlier time, or after this one
                self.wake = self.loop.call_later(delay / 1e6 + TIMER_SLACK, self.post, face.WakeUp())
            case face.Subscribe():
                if self.watching:
                    self.watching.cancel()
                self.watching = self.spawn(self.discovery.watch())
            case face.CloseIdle(endpoint):
                self.client.close_idle(endpoint)
            case face.Note(text):
                log.info("%s", text)

    def send(self, action: face.Send, untaken: bool) -> None:
        name, number, endpoint = action.message, action.attempt, action.endpoint
        zone = self.dispatcher.endpoints[endpoint].listed.zone
        # The attempt is on record before its first byte can go: after SIGKILL it counts as having run.
        if untaken or not self.journal.sent(name, number, Attempt(self.now(), endpoint, zone)):
            self.post(face.AttemptEnded(name, number, Outcome.NOT_SENT, finished=untaken))
            return
        call = self.client.call(
            endpoint,
            self.journal.entries[name].message,
            action.timeout / 1e6,
            lambda: self.dispatcher.may_still_go(endpoint, self.now()),
        )
        task = self.calls[name, number] = self.loop.create_task(call)
        task.add_done_callback(partial(self.call_ended, name, number))
