"""Attempts of one engine: calls in flight, from the record in the journal to their results.

Rules:

- An attempt is on record before its first byte can go: after SIGKILL it counts as one that may have run.
- Where the journal survives the machine, an attempt whose effect must not be repeated is durable before that.
- Drains, Retry-After, limits and the window of a repeat bind until the first byte goes, and so does what lies
  unread of them.
- While another process takes over, results are kept; once it owns the messages they are forwarded to it.
"""

import asyncio
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any, Protocol

from message_sender.core.event_loop_lag import STALE_AFTER_S
from message_sender.core.hooks import EngineHooks
from message_sender.core.message_table import MessageTable
from message_sender.core.ports import AttemptResult, CompletionState, Directory, Transport
from message_sender.journal.entries import AttemptRecord
from message_sender.message import Message
from message_sender.policy.actions import Send
from message_sender.policy.dispatcher import Dispatcher
from message_sender.policy.events import AttemptEnded, EndpointsUpdated, PolicyEvent
from message_sender.policy.model import Effect, EndpointState, ListingKind, Outcome

SETTLE_DELAY_S = 0.005  # given to a transport that reads late, after a late iteration of the loop

AttemptKey = tuple[str, int]  # a message's id and the number of its attempt
ResultReceiver = Callable[[str, int, AttemptResult], None]


def set_result_once(future: asyncio.Future[bool], result: bool) -> None:
    """Sets the result of a future that may be done or cancelled."""
    if not future.done():
        future.set_result(result)


class AttemptOwner(Protocol):
    """What attempts need of the engine."""

    transport: Transport
    directory: Directory
    now: Callable[[], int]
    is_closed: bool
    inbox_since: float

    def post(self, event: PolicyEvent) -> None:
        """Queues an event for the next iteration."""

    def fail(self, doing: str, error: BaseException | None) -> None:
        """Ends the engine on a defect."""


class PredecessorCalls(Protocol):
    """Cancels calls that the process before has in flight."""

    def cancel_call(self, message_id: str, attempt: int) -> None:
        """Asks that process to cancel one."""


class Attempts:
    """Calls in flight, by message and number of the attempt.

    Attributes:
        calls: The tasks of this process.
        predecessor_calls: Calls of the process before, whose results it will report.
        predecessor: Cancels one of these; None: there is no such process.
        leaving: Endpoints that were listed as draining or gone, of which the policy has not heard yet.
    """

    def __init__(
        self, owner: AttemptOwner, dispatcher: Dispatcher, table: MessageTable, hooks: EngineHooks
    ) -> None:
        """Begins without calls."""
        self.owner = owner
        self.dispatcher = dispatcher
        self.table = table
        self.hooks = hooks
        self.loop = asyncio.get_running_loop()
        self.calls: dict[AttemptKey, asyncio.Task[None]] = {}
        self.predecessor_calls: set[AttemptKey] = set()
        self.predecessor: PredecessorCalls | None = None
        self.leaving: set[str] = set()
        self.is_handed_over = False
        self._result_receiver: ResultReceiver | None = None
        self._kept_results: list[tuple[str, int, AttemptResult]] = []

    # Before the first byte.

    def start(self, action: Send, is_rejected: bool) -> None:
        """Puts the attempt on record and begins its call. `is_rejected`: its message was not accepted."""
        message_id, number, endpoint = action.message, action.attempt, action.endpoint
        zone = self.dispatcher.endpoints[endpoint].listed.zone
        record = AttemptRecord(self.owner.now(), endpoint, zone)
        if is_rejected or not self.table.journal.record_attempt(message_id, number, record):
            self.hooks.release_limits(message_id)
            self.owner.post(AttemptEnded(message_id, number, Outcome.NOT_SENT, finished=is_rejected))
            return
        self.hooks.call_started(endpoint)
        call = self._call(action, self.table.journal.entries[message_id].message)
        work = self._run(message_id, number, call, self.owner.inbox_since)
        task = self.calls[message_id, number] = self.loop.create_task(work)
        task.add_done_callback(partial(self._task_done, message_id, number, call))

    def _call(self, action: Send, message: Message) -> Coroutine[Any, Any, AttemptResult]:
        endpoint = action.endpoint
        may_go = partial(self.may_go, endpoint, message.id)
        timeout_s = min(action.timeout_us, self.hooks.call_timeout_us(endpoint, message.id)) / 1e6
        if self.table.journal.is_durable and not self._is_idempotent(message):
            return self._call_once_durable(endpoint, message, timeout_s, may_go)
        return self.owner.transport.call(endpoint, message, timeout_s, may_go)

    def _is_idempotent(self, message: Message) -> bool:
        return self.dispatcher.classes[message.message_class].effect is Effect.IDEMPOTENT

    async def _call_once_durable(
        self, endpoint: str, message: Message, timeout_s: float, may_go: Callable[[], bool]
    ) -> AttemptResult:
        """Rule: no effect twice. One that cannot be made durable, or has no time left by then, never ran."""
        deadline = self.loop.time() + timeout_s
        synced: asyncio.Future[bool] = self.loop.create_future()
        self.table.journal.when_durable(partial(set_result_once, synced))
        try:
            is_durable = await synced
        except asyncio.CancelledError:
            return AttemptResult(Outcome.NOT_SENT)
        remaining_s = deadline - self.loop.time()
        if not is_durable or remaining_s <= 0:
            return AttemptResult(Outcome.NOT_SENT)
        return await self.owner.transport.call(endpoint, message, remaining_s, may_go)

    def poll_unread(self) -> None:
        """Reads what lies unread, before anything is decided or sent on the strength of older news."""
        self.owner.directory.poll_unread()
        self.owner.transport.poll_unread()

    def may_go(self, endpoint: str, message_id: str) -> bool:
        """Whether an attempt may go to the endpoint; asked as its first byte goes."""
        self.poll_unread()
        if not self.hooks.may_call(endpoint):
            return False
        if endpoint in self.leaving:
            return False
        if not self.dispatcher.may_start_call(endpoint, self.owner.now(), message_id):
            return False
        return self.hooks.reserve_limits(endpoint, message_id)

    def note_leaving(self, event: EndpointsUpdated) -> None:
        """Notes endpoints that drain or are gone, until the policy hears of them."""
        ready = {each.id for each in event.endpoints if each.state is EndpointState.READY}
        if event.listing is ListingKind.FULL:
            self.leaving = {each for each in self.dispatcher.endpoints if each not in ready}
        elif event.listing is ListingKind.CHANGES:
            self.leaving |= {each.id for each in event.endpoints if each.id not in ready}
            self.leaving -= ready

    # In flight.

    async def _run(
        self, message_id: str, number: int, call: Coroutine[Any, Any, AttemptResult], since: float
    ) -> None:
        """A call to its result, which counts in the very iteration in which it is known."""
        try:
            await self._settle(since)
            result = await call
        except asyncio.CancelledError:
            result = AttemptResult(Outcome.CANCELLED)
        self._ended(message_id, number, result)

    async def _settle(self, since: float) -> None:
        """Waits for what a transport that cannot poll has yet to hear after a late iteration."""
        if self.owner.transport.reads_late and self.loop.time() - since > STALE_AFTER_S:
            await asyncio.sleep(SETTLE_DELAY_S)

    def _task_done(
        self,
        message_id: str,
        number: int,
        call: Coroutine[Any, Any, AttemptResult],
        task: asyncio.Task[None],
    ) -> None:
        """Ends a call that was cancelled before it began; a call that reported its result leaves nothing."""
        call.close()
        if not task.cancelled() and (error := task.exception()):
            self.owner.fail("a call failed", error)
        elif (message_id, number) in self.calls:
            self._ended(message_id, number, AttemptResult(Outcome.CANCELLED))

    def cancel(self, message_id: str, number: int) -> Coroutine[Any, Any, None] | None:
        """The policy gives an attempt up. Returns work that has to be done for it, if any."""
        if (message_id, number) in self.predecessor_calls:
            if self.predecessor:
                self.predecessor.cancel_call(message_id, number)
            return None
        if self.owner.transport.reads_late:
            return self._cancel_once_settled(message_id, number, self.owner.inbox_since)
        if task := self.calls.get((message_id, number)):
            task.cancel()
        return None

    async def _cancel_once_settled(self, message_id: str, number: int, since: float) -> None:
        """Cancels an attempt unless its result has come and only waits to be read."""
        task = self.calls.get((message_id, number))
        await self._settle(since)
        if task and self.calls.get((message_id, number)) is task:
            task.cancel()

    def cancel_of_message(self, message_id: str) -> bool:
        """Cancels the calls in flight of a message; False: there are none."""
        tasks = [task for (owner_id, _), task in self.calls.items() if owner_id == message_id]
        for task in tasks:
            task.cancel()
        return bool(tasks)

    # Results.

    def _ended(self, message_id: str, number: int, result: AttemptResult) -> None:
        del self.calls[message_id, number]
        self.hooks.release_limits(message_id)
        if self.owner.is_closed:
            return
        if not self.is_handed_over:
            self.record_result(message_id, number, result)
            return
        if self._result_receiver is None:
            self._kept_results.append((message_id, number, result))
        else:
            self._result_receiver(message_id, number, result)
        self.hooks.work_finished()

    def record_result(self, message_id: str, number: int, result: AttemptResult) -> None:
        """Puts the result on record, completes the message if it is finished, and tells the policy."""
        journal, withdrawn = self.table.journal, self.table.withdrawn
        if message_id in journal.entries:
            journal.record_outcome(message_id, number, result.outcome)
            # A message that was complete may have been followed by another one of its id.
            if attempt := journal.entries[message_id].attempts.get(number):
                self.hooks.attempt_finished(attempt.endpoint, result.outcome)
            if result.is_final:
                self.table.finish(message_id, result)
            elif message_id in withdrawn:
                self.table.forget(message_id, CompletionState.WITHDRAWN)
        withdrawn.discard(message_id)
        self.owner.post(
            AttemptEnded(message_id, number, result.outcome, result.is_final, result.retry_after_us)
        )
        self.hooks.work_finished()

    # Handover.

    def hold_results(self) -> None:
        """From here on results are kept, until `resume` or `forward_results`."""
        self.is_handed_over = True

    def resume(self) -> list[tuple[str, int, AttemptResult]]:
        """Goes on as before `hold_results`; returns the results that were kept."""
        self.is_handed_over = False
        results, self._kept_results = self._kept_results, []
        return results

    def forward_results(self, receiver: ResultReceiver) -> None:
        """Another process owns the messages: it hears all results, first those that were kept."""
        self._result_receiver = receiver
        results, self._kept_results = self._kept_results, []
        for message_id, number, result in results:
            receiver(message_id, number, result)
