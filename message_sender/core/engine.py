"""The engine: owns the delivery policy, passes events to it and carries out its decisions.

The engine connects the ports (ports.py) with the journal, the message table (message_table.py) and the
attempts (attempts.py). It runs on one asyncio loop; nothing here is safe to call from another thread.
"""

import asyncio
import logging
import math
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from message_sender.core.arrivals import Arrivals, is_acceptance_of
from message_sender.core.attempts import Attempts, ResultReceiver
from message_sender.core.breaker_log import BreakerLog
from message_sender.core.clock import Clock
from message_sender.core.engine_config import EngineConfig, HandoverState
from message_sender.core.event_loop_lag import EventLoopLag
from message_sender.core.hooks import HookChain
from message_sender.core.line_limit import LineLimit
from message_sender.core.message_table import MessageTable
from message_sender.core.outage_record import OutageRecord
from message_sender.core.ports import (
    AttemptResult,
    Caller,
    Completion,
    CompletionListener,
    CompletionState,
    Directory,
    Transport,
)
from message_sender.core.restoration import Restoration
from message_sender.core.socket_errors import describe_defect
from message_sender.journal.clock_record import FolderClock
from message_sender.journal.outage_file import OutageFile, outage_space_bytes
from message_sender.journal.process_journal import Journal
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
    CallInFlight,
    EndpointsUpdated,
    InheritedState,
    MessageWithdrawn,
    PolicyEvent,
    Stopping,
    WakeUp,
)
from message_sender.policy.model import ListingKind, Settings
from message_sender.policy.state_transfer import export_state

PERIODIC_INTERVAL_S = 0.25  # clients must be answered within 3 s, for some of them by a periodic task
#: Added to the delay of each wake-up. A timer that ran before its time on the policy's clock would find
#: nothing due, and the policy would not set another timer.
TIMER_SLACK_S = 0.0005

log = logging.getLogger(__name__)


class Engine:
    """One sender without its protocols.

    Create it on its loop, call `set_ports`, then `start`, and `close` at the end.

    Attributes:
        transport: Performs the calls; set by `set_ports`.
        directory: Lists the endpoints; set by `set_ports`.
        hooks: The hooks of the sender's optional parts.
        periodic_tasks: Called every `PERIODIC_INTERVAL_S`.
        stopped: Done with the exit code once the engine is to stop.
        defect: One line that describes the defect that stopped the engine; empty for none.
        is_closed: The engine decides and records nothing any more.
        inbox_since: When the oldest event in the inbox was posted, or its timer was due; seconds on the
            loop's clock.
    """

    transport: Transport
    directory: Directory

    def __init__(
        self,
        config: EngineConfig,
        clock: Callable[[], int] | None = None,
        decide: Callable[[Settings, int], Dispatcher] = Dispatcher,
        open_journal: Callable[[Path, int], Journal] = Journal,
    ) -> None:
        """Opens the journal.

        Args:
            config: The engine's configuration.
            clock: Returns microseconds since the epoch; None: the clock of the state folder.
            decide: Creates the delivery policy; replaced only where policies are compared.
            open_journal: Opens the journal in a folder, with a limit in bytes.

        Raises:
            OSError: The state folder cannot be used.
        """
        self.config = config
        self.settings = config.settings
        self.loop = asyncio.get_running_loop()
        self.now = clock or Clock(FolderClock(config.state).base_ns).now
        self.hooks = HookChain()
        self.dispatcher = decide(config.settings, config.seed)
        outage_bytes = outage_space_bytes(config.disk_bytes)
        self.journal = open_journal(config.state, config.disk_bytes - outage_bytes)
        self.outage_record = OutageRecord(OutageFile(config.state, outage_bytes, self.now()))
        class_names = (each.name for each in config.settings.classes)
        self.breaker_log = BreakerLog(self.loop.time)
        self.table = MessageTable(self.journal, class_names, self, self.hooks)
        self.attempts = Attempts(self, self.dispatcher, self.table, self.hooks)
        self.arrivals = Arrivals(self.dispatcher, self.table, self.hooks, self)
        self.inbox: list[PolicyEvent] = []
        self.inbox_since = self.loop.time()
        self.periodic_tasks: list[Callable[[], None]] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.listener_task: asyncio.Task[None] | None = None
        self.watch_task: asyncio.Task[None] | None = None
        self.wake_timer: asyncio.TimerHandle | None = None
        self.loop_lag = EventLoopLag(self.loop.time())
        self.is_scheduled = False
        self.is_closed = False
        self.defect = ""
        self.stopped: asyncio.Future[int] = self.loop.create_future()
        self._stops_at_before_freeze = math.inf
        self._line_limit = LineLimit(self._report_suppressed, self.loop.time)

    # Start and stop.

    def set_ports(
        self, transport: Transport, directory: Directory, completion_listener: CompletionListener
    ) -> None:
        """Sets the ports. Must be called before `start`."""
        self.transport = transport
        self.directory = directory
        self.table.completion_listener = completion_listener

    def start(self, handed_over: HandoverState | None = None) -> None:
        """Restores the messages of the journal; a server may report that it is ready only after this.

        Args:
            handed_over: The state that a running predecessor hands over; None: there is no predecessor.
        """
        self.post(EndpointsUpdated(ListingKind.CACHED, self.config.known, self.config.returned))
        restoration = Restoration(self.table, self.attempts, self.arrivals, self.directory, self.now)
        for event in restoration.events(handed_over):
            self.post(event)
        if handed_over:
            self.post(handed_over.inherited)
            self.table.inherit_completed(handed_over.completed_ids)
        elif paused_keys := self.journal.paused_keys(self.settings.key_pause):
            until = self.now() + self.settings.key_pause
            self.post(InheritedState(keys=tuple((key, until) for key in sorted(paused_keys))))
        log.info("messages restored: sender=%s messages=%d", self.config.name, len(self.journal.entries))
        self.hooks.messages_restored()
        if not handed_over:
            self.post(self.outage_record.restored(self.journal.entries.values(), self.now()))
        self.run_iteration()
        self.listener_task = self.spawn(self.table.completion_listener.run())
        self.spawn(self._run_periodic_tasks())

    def stop(self, code: int) -> None:
        """Sets the result of `stopped` to this exit code, unless it is set."""
        if not self.stopped.done():
            self.stopped.set_result(code)

    def fail(self, operation: str, error: BaseException | None) -> None:
        """Stops the engine on a defect; the next process starts from the journal.

        The engine does nothing more, since its state may be inconsistent.

        Args:
            operation: What failed.
            error: The exception; None if none was raised.
        """
        self.defect = self.defect or describe_defect(error, operation)
        self.is_closed = True
        self.stop(1)

    def close(self) -> None:
        """Cancels all tasks and closes the transport and the journal.

        Calls in flight have no outcome in the journal: the next start treats them as reset.
        """
        self.is_closed = True
        try:
            for task in [*self.attempts.calls.values(), *self.tasks]:
                task.cancel()
            if self.wake_timer:
                self.wake_timer.cancel()
            self.table.recorder.close()
            self.transport.close()
        finally:
            self.journal.close()

    # Background work.

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Starts a background task. An exception that it raises is a defect."""
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.task_ended)
        return task

    def task_ended(self, task: asyncio.Task[None]) -> None:
        """Callback of background tasks: an exception stops the engine."""
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            self.fail("background task failed", error)

    async def _run_periodic_tasks(self) -> None:
        while True:
            due = self.loop.time() + PERIODIC_INTERVAL_S
            await asyncio.sleep(PERIODIC_INTERVAL_S)
            now = self.loop.time()
            self.loop_lag.note(now - due)
            self.loop_lag.record(now, len(self.journal.entries), len(self.attempts.calls))
            for run_task in (*self.periodic_tasks, self.transport.close_expired):
                run_task()

    # Handover to the successor process.

    def may_not_record(self) -> bool:
        """Whether nothing may be recorded, since a successor is taking over or this engine is closed."""
        return self.is_closed or self.is_handed_over

    @property
    def is_handed_over(self) -> bool:
        """Whether a successor process is taking over, or has: this engine decides nothing."""
        return self.attempts.is_handed_over

    def freeze(self) -> None:
        """Handles the events that have arrived without starting a call, and stops deciding.

        From then on nothing is decided or recorded, and results are kept, until `thaw` or `release`.
        """
        self._stops_at_before_freeze = self.dispatcher.stops_at
        self.post(Stopping(0))
        while self.inbox and not self.is_closed:
            self.run_iteration()
        self.attempts.hold_results()
        if self.listener_task:
            self.listener_task.cancel()

    def export_state(self) -> HandoverState:
        """The state of a frozen engine that is not in its journal."""
        dispatcher = self.dispatcher
        calls = {}
        for (message_id, number), call in dispatcher.calls.items():
            listed = call.endpoint.listed
            is_trial = call.breaker.trial is call
            calls[message_id] = (
                number,
                CallInFlight(listed.id, listed.zone, call.sent_at, is_trial, call.is_overdue),
            )
        return HandoverState(
            inherited=export_state(dispatcher.registry, dispatcher.pending),
            calls=calls,
            pending_completions=dict(self.table.pending_completions),
            weight_factors={
                message_id: message.weight_factor for message_id, message in dispatcher.messages.items()
            },
            completed_ids=tuple(self.table.completed),
        )

    def thaw(self) -> None:
        """Undoes `freeze`: the successor process ended before it owned the messages."""
        self.dispatcher.stops_at = self._stops_at_before_freeze
        for message_id, number, result in self.attempts.resume():
            self.inherit_result(message_id, number, result)
        self.listener_task = self.spawn(self.table.completion_listener.run())
        self.is_scheduled = False
        self.post(WakeUp())

    def release(self, receiver: ResultReceiver) -> None:
        """Leaves the journal to the successor, which owns the messages; calls in flight here continue.

        Args:
            receiver: Called with the results of these calls.
        """
        self.attempts.forward_results(receiver)
        for handle in (self.watch_task, self.wake_timer):
            if handle:
                handle.cancel()
        self.inbox = []
        self.journal.close()
        self.journal.entries = {}

    def inherit_result(self, message_id: str, number: int, result: AttemptResult) -> None:
        """Handles the result of a predecessor's call, or one that arrived while this engine was frozen.

        A process that has handed over itself passes the result on: results follow the owner of the messages.
        """
        self.attempts.predecessor_calls.discard((message_id, number))
        if (
            not self.is_handed_over
            and result.retry_after_us
            and (call := self.dispatcher.calls.get((message_id, number)))
        ):
            self.retry_after_received(call.endpoint.listed.id, result.retry_after_us)
        self.attempts.report_result(message_id, number, result)

    # Events. Those of one loop iteration are passed to the policy together.

    def post(self, event: PolicyEvent) -> None:
        """Queues an event for the next iteration."""
        self.inbox.append(event)
        if not self.is_scheduled:
            self.is_scheduled = True
            self.inbox_since = self.loop.time()
            self.loop.call_soon(self.run_iteration)

    def submit(self, message: Message, caller: Caller) -> None:
        """Submits a message of a client; its caller is answered in this loop iteration or the next."""
        self.arrivals.submit(message, caller)

    def withdraw(self, message_id: str, caller: Caller) -> None:
        """Withdraws a message at its caller's request; no completion is reported.

        An attempt in flight is cancelled and may have run, so its key pauses; the next message of the key is
        sent after the pause.
        """
        if self.is_closed or self.table.callers.get(message_id) is not caller:
            return
        del self.table.callers[message_id]
        self.post(MessageWithdrawn(message_id))
        if self.attempts.cancel_of_message(message_id):
            self.table.withdrawn.add(message_id)  # removed once the result of its attempt is known
        else:
            self.table.remove_completed(message_id, CompletionState.WITHDRAWN)

    def endpoints_updated(self, event: EndpointsUpdated) -> None:
        """Handles an update of the directory."""
        self.attempts.note_unavailable(event)
        self.transport.endpoints_changed()
        self.post(event)

    def watch_fell_silent(self, silence_us: int) -> None:
        """Handles a silence of the directory's watch, us, which is about to end the watch."""
        self.dispatcher.watch_fell_silent(self.now() - silence_us)

    def retry_after_received(self, endpoint: str, delay_us: int) -> None:
        """Applies a Retry-After of an endpoint at once, before the loop iteration that handles the answer.

        Args:
            endpoint: Id of the endpoint.
            delay_us: The Retry-After in microseconds.
        """
        self.dispatcher.retry_after_received(endpoint, self.now() + delay_us)
        self.hooks.retry_after_received(endpoint, delay_us)

    def completion_acknowledged(self, message_id: str) -> None:
        """Handles the acknowledgement of a completion that the listener was notified of."""
        self.table.acknowledge(message_id)

    def is_known(self, message_id: str) -> bool:
        """Whether the message is accepted, was completed recently, or waits for the policy's decision."""
        return self.table.is_known(message_id)

    # Loop iteration: the policy handles the events, and its decisions are carried out.

    def run_iteration(self) -> None:
        """Runs one loop iteration. An exception in it is a defect and stops the engine."""
        if self.is_closed or self.is_handed_over:
            return
        try:
            self._iterate()
        except Exception as error:
            self.fail("loop iteration failed", error)

    def _iterate(self) -> None:
        self.loop_lag.note(self.loop.time() - self.inbox_since)
        self.attempts.poll_unread()
        self.is_scheduled = False  # events that polling posted are handled in this iteration
        self.attempts.unavailable_endpoints.clear()
        arrivals, self.table.arrivals = self.table.arrivals, {}
        abandoned_ids = {message_id for message_id, (_, caller) in arrivals.items() if caller.is_gone()}
        events, self.inbox = self.inbox, []
        for message_id in abandoned_ids:
            events = [each for each in events if not is_acceptance_of(each, message_id)]
        now = self.now()
        actions = self.dispatcher.handle(now, events)
        self.breaker_log.log_changes(self.dispatcher.status.changes, now)
        self.outage_record.record_changes(self.dispatcher.status.changes, now)
        rejected = self.arrivals.answer(arrivals, abandoned_ids, actions)
        for action in actions:
            self.act(action, rejected)

    def act(self, action: PolicyAction, rejected: set[str]) -> None:
        """Carries out one action of the policy.

        Args:
            action: The action.
            rejected: Ids of the new messages that were not accepted in this iteration.
        """
        match action:
            case Send():
                self.attempts.start(action, action.message in rejected)
            case Reject() | Fail():
                self._complete(action, rejected)
            case CancelAttempt(message_id, number):
                if work := self.attempts.cancel(message_id, number):
                    self.spawn(work)
            case WakeAfter(delay_us):
                self._set_wake_timer(delay_us)
            case Subscribe():
                self._subscribe()
            case CloseIdle(endpoint):
                self.transport.close_idle(endpoint)
            case LogLine(text):
                log.info("%s", text)

    def _complete(self, action: Reject | Fail, rejected: set[str]) -> None:
        if action.message in rejected:
            return  # its caller was answered by `Arrivals.answer`
        if isinstance(action, Reject):
            completion = Completion(CompletionState.REFUSED, action.retry_after_us)
        else:
            completion = Completion(CompletionState.FAILED)
        if self._line_limit.admits_line():
            log.info(
                "message ended: message=%s state=%s retry_after_ms=%d",
                action.message,
                completion.state.value,
                completion.retry_after_us // 1000,
            )
        self.table.complete(action.message, completion)

    def _report_suppressed(self, count: int) -> None:
        log.info("messages ended without a delivery: unreported=%d", count)

    def _set_wake_timer(self, delay_us: int) -> None:
        """Replaces the timer: the policy requests another only for an earlier time, or once this one ran."""
        if self.wake_timer:
            self.wake_timer.cancel()
        due = self.loop.time() + delay_us / 1e6 + TIMER_SLACK_S
        self.wake_timer = self.loop.call_at(due, self._wake_up, due)

    def _wake_up(self, due: float) -> None:
        """Callback of the timer that was due at `due`, in seconds on the loop's clock."""
        self.post(WakeUp())
        self.inbox_since = min(self.inbox_since, due)

    def _subscribe(self) -> None:
        """Starts a watch unless one is running, as after a change of the directory's address."""
        if self.watch_task is None or self.watch_task.done():
            self.watch_task = self.spawn(self.directory.watch())
