"""The attempts of one engine: calls in flight, from their record in the journal to their results.

Rules:

- An attempt is in the journal before its first byte can be sent: after SIGKILL it counts as an attempt that
  may have run.
- With a durable journal, which survives a failure of the machine, the record of an attempt whose effect must
  not be repeated is durable before the first byte is sent.
- Drains, Retry-After, limits and the idempotency window of a retry are checked until the first byte is sent,
  those that bind what a receiver begins until its last one (send_permission.py); data that is unread in
  sockets is read first.
- While a successor process takes over, results are kept; once the successor owns the messages, results are
  forwarded to it.
"""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any, Protocol

from message_sender.core.event_loop_lag import STALE_AFTER_S
from message_sender.core.hooks import EngineHooks
from message_sender.core.line_limit import LineLimit
from message_sender.core.message_table import MessageTable
from message_sender.core.ports import (
    AttemptResult,
    CompletionState,
    Directory,
    SendPermission,
    Transport,
)
from message_sender.core.send_permission import AttemptPermission
from message_sender.journal.entries import AttemptRecord
from message_sender.message import Message
from message_sender.policy.actions import Send
from message_sender.policy.dispatcher import Dispatcher
from message_sender.policy.events import AttemptEnded, EndpointsUpdated, PolicyEvent
from message_sender.policy.model import Effect, Endpoint, EndpointState, ListingKind, Outcome

WITHHELD_PAUSE_US = 50_000  # before another call to a destination whose call the hooks held back
SETTLE_DELAY_S = 0.005  # after a late loop iteration: time for a transport with `reads_late` to receive

log = logging.getLogger(__name__)

AttemptKey = tuple[str, int]  # a message's id and the number of its attempt
ResultReceiver = Callable[[str, int, AttemptResult], None]


def set_result_once(future: asyncio.Future[bool], result: bool) -> None:
    """Sets the result of a future unless it is already done or cancelled."""
    if not future.done():
        future.set_result(result)


class AttemptOwner(Protocol):
    """The part of the engine that `Attempts` uses.

    Attributes:
        transport: Performs the calls.
        directory: Lists the endpoints.
        now: Returns the time in microseconds since the epoch.
        is_closed: The engine decides and records nothing any more.
        inbox_since: When the oldest event in the inbox was posted; seconds on the loop's clock.
    """

    transport: Transport
    directory: Directory
    now: Callable[[], int]
    is_closed: bool
    inbox_since: float

    def post(self, event: PolicyEvent) -> None:
        """Queues an event for the next iteration."""

    def fail(self, operation: str, error: BaseException | None) -> None:
        """Ends the engine on a defect."""


class PredecessorCalls(Protocol):
    """Cancels calls that the predecessor process has in flight."""

    def cancel_call(self, message_id: str, attempt: int) -> None:
        """Asks the predecessor to cancel the call of this attempt."""


class Attempts:
    """The calls in flight, by message id and number of the attempt.

    Attributes:
        calls: The tasks of the calls of this process.
        predecessor_calls: Calls of the predecessor process, which will report their results.
        predecessor: Cancels calls of the predecessor; None: there is no predecessor.
        unavailable_endpoints: Ids of the endpoints that were listed as draining, as gone or with another
            destination since the last loop iteration; the policy does not know it yet.
        is_handed_over: A successor process is taking over, or has taken over.
    """

    def __init__(
        self, owner: AttemptOwner, dispatcher: Dispatcher, table: MessageTable, hooks: EngineHooks
    ) -> None:
        """Starts without calls.

        Args:
            owner: The engine.
            dispatcher: The delivery policy.
            table: The engine's messages.
            hooks: The hooks of the sender's optional parts.
        """
        self.owner = owner
        self.dispatcher = dispatcher
        self.table = table
        self.hooks = hooks
        self.loop = asyncio.get_running_loop()
        self.calls: dict[AttemptKey, asyncio.Task[None]] = {}
        self.predecessor_calls: set[AttemptKey] = set()
        self.predecessor: PredecessorCalls | None = None
        self.unavailable_endpoints: set[str] = set()
        self.is_handed_over = False
        self._result_receiver: ResultReceiver | None = None
        self._kept_results: list[tuple[str, int, AttemptResult]] = []
        self._withheld: set[str] = set()  # ids of the messages whose call in flight was held back
        self._line_limit = LineLimit(self._report_suppressed, self.loop.time)

    # Before the first byte is sent.

    def start(self, action: Send, is_rejected: bool) -> None:
        """Records the attempt in the journal and starts its call.

        Args:
            action: The attempt that the policy decided on.
            is_rejected: The message was not accepted; no call is started.
        """
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
        permission = AttemptPermission(self, endpoint, message.id, action.attempt)
        timeout_s = min(action.timeout_us, self.hooks.call_timeout_us(endpoint, message.id)) / 1e6
        if self.table.journal.is_durable and not self._is_idempotent(message):
            return self._call_once_durable(endpoint, message, timeout_s, permission)
        return self.owner.transport.call(endpoint, message, timeout_s, permission)

    def _is_idempotent(self, message: Message) -> bool:
        return self.dispatcher.classes[message.message_class].effect is Effect.IDEMPOTENT

    async def _call_once_durable(
        self, endpoint: str, message: Message, timeout_s: float, permission: SendPermission
    ) -> AttemptResult:
        """Calls once the record of the attempt is durable, so that a crash cannot lead to a second effect.

        An attempt whose record cannot be made durable, or that has no time left by then, is not sent.
        """
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
        return await self.owner.transport.call(endpoint, message, remaining_s, permission)

    def poll_unread(self) -> None:
        """Reads unread data of sockets, so that no decision or send is based on outdated information."""
        self.owner.directory.poll_unread()
        self.owner.transport.poll_unread()

    def may_send(self, endpoint: str, message_id: str) -> bool:
        """Whether an attempt may be sent to the endpoint; called right before its first byte is sent."""
        self.poll_unread()
        if self.dispatcher.holds_calls(self.owner.now()) or not self.hooks.may_call(endpoint):
            self._withheld.add(message_id)
            self.dispatcher.attempt_withheld(message_id)
            return False
        if endpoint in self.unavailable_endpoints:
            return False
        if not self.dispatcher.may_start_call(endpoint, self.owner.now(), message_id):
            return False
        return self.hooks.reserve_limits(endpoint, message_id)

    def may_continue(self, message_id: str, number: int) -> bool:
        """Whether the rest of an attempt may be sent; called while its receiver lacks a part of it.

        A process that hands over may not: it no longer learns what the successor is told.
        """
        if self.owner.is_closed or self.is_handed_over:
            return False
        self.poll_unread()
        return self.dispatcher.may_finish_call(message_id, number, self.owner.now())

    def note_unavailable(self, event: EndpointsUpdated) -> None:
        """Records which endpoints have no calls any more, until the policy has handled the update.

        These are the endpoints that drain, are gone, or are listed with another destination.
        """
        ready = {each.id for each in event.endpoints if self._remains_available(each)}
        if event.listing is ListingKind.FULL:
            self.unavailable_endpoints = {each for each in self.dispatcher.endpoints if each not in ready}
        elif event.listing is ListingKind.CHANGES:
            self.unavailable_endpoints |= {each.id for each in event.endpoints if each.id not in ready}
            self.unavailable_endpoints -= ready

    def _remains_available(self, endpoint: Endpoint) -> bool:
        known = self.dispatcher.endpoints.get(endpoint.id)
        has_moved = known is not None and known.listed.destination != endpoint.destination
        return endpoint.state is EndpointState.READY and not has_moved

    # In flight.

    async def _run(
        self, message_id: str, number: int, call: Coroutine[Any, Any, AttemptResult], since: float
    ) -> None:
        """Awaits the result of a call and handles it in the loop iteration in which it arrives."""
        try:
            await self._settle(since)
            result = await call
        except asyncio.CancelledError:
            result = AttemptResult(Outcome.CANCELLED)
        self._ended(message_id, number, result)

    async def _settle(self, since: float) -> None:
        """After a late loop iteration, gives a transport that cannot poll time to receive pending results.

        Args:
            since: When the oldest event of the iteration was posted; seconds on the loop's clock.
        """
        if self.owner.transport.reads_late and self.loop.time() - since > STALE_AFTER_S:
            await asyncio.sleep(SETTLE_DELAY_S)

    def _task_done(
        self,
        message_id: str,
        number: int,
        call: Coroutine[Any, Any, AttemptResult],
        task: asyncio.Task[None],
    ) -> None:
        """Callback of call tasks: handles a call that was cancelled before it started, and defects.

        A call whose result was handled is no longer in `calls`.
        """
        call.close()
        if not task.cancelled() and (error := task.exception()):
            self.owner.fail("call failed", error)
        elif (message_id, number) in self.calls:
            self._ended(message_id, number, AttemptResult(Outcome.CANCELLED))

    def cancel(self, message_id: str, number: int) -> Coroutine[Any, Any, None] | None:
        """Cancels an attempt that the policy has given up.

        Returns:
            A coroutine that completes the cancellation and has to be run; None: nothing is left to do.
        """
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
        """Cancels an attempt unless its result has arrived and is merely unread."""
        task = self.calls.get((message_id, number))
        await self._settle(since)
        if task and self.calls.get((message_id, number)) is task:
            task.cancel()

    def cancel_of_message(self, message_id: str) -> bool:
        """Cancels the calls in flight of a message; returns False if there are none."""
        tasks = [task for (owner_id, _), task in self.calls.items() if owner_id == message_id]
        for task in tasks:
            task.cancel()
        return bool(tasks)

    # Results.

    def _ended(self, message_id: str, number: int, result: AttemptResult) -> None:
        del self.calls[message_id, number]
        self.hooks.release_limits(message_id)
        if not self.owner.is_closed:
            self.report_result(message_id, number, result)

    def report_result(self, message_id: str, number: int, result: AttemptResult) -> None:
        """Records a result of this process or its predecessor, or passes it on to the messages' owner."""
        if not self.is_handed_over:
            self.record_result(message_id, number, result)
            return
        if self._result_receiver is None:
            self._kept_results.append((message_id, number, result))
        else:
            self._result_receiver(message_id, number, result)
        self.hooks.work_finished()

    def record_result(self, message_id: str, number: int, result: AttemptResult) -> None:
        """Records the result, completes the message if it is finished, and informs the policy."""
        journal, withdrawn = self.table.journal, self.table.withdrawn
        is_withheld = message_id in self._withheld
        self._withheld.discard(message_id)
        if result.outcome is not Outcome.OK and not is_withheld:
            self._log_result(message_id, number, result)
        if message_id in journal.entries:
            journal.record_outcome(message_id, number, result.outcome)
            # If the message was completed and its id used again, the entry is that of another message.
            if attempt := journal.entries[message_id].attempts.get(number):
                self.hooks.attempt_finished(attempt.endpoint, result.outcome)
            if result.is_final:
                self.table.finish(message_id, result)
            elif message_id in withdrawn:
                self.table.remove_completed(message_id, CompletionState.WITHDRAWN)
        withdrawn.discard(message_id)
        wait_us = WITHHELD_PAUSE_US if is_withheld else result.retry_after_us
        self.owner.post(AttemptEnded(message_id, number, result.outcome, result.is_final, wait_us))
        self.hooks.work_finished()

    def _log_result(self, message_id: str, number: int, result: AttemptResult) -> None:
        if not self._line_limit.admits_line():
            return
        entry = self.table.journal.entries.get(message_id)
        attempt = entry.attempts.get(number) if entry else None
        log.info(
            "attempt ended: message=%s attempt=%d endpoint=%s outcome=%s retry_after_ms=%d",
            message_id,
            number,
            attempt.endpoint if attempt else "",
            result.outcome.value,
            result.retry_after_us // 1000,
        )

    def _report_suppressed(self, count: int) -> None:
        log.info("attempts ended without a delivery: unreported=%d", count)

    # Handover.

    def hold_results(self) -> None:
        """Keeps results from now on, until `resume` or `forward_results` is called."""
        self.is_handed_over = True

    def resume(self) -> list[tuple[str, int, AttemptResult]]:
        """Handles results as before `hold_results`; returns the results that were kept."""
        self.is_handed_over = False
        results, self._kept_results = self._kept_results, []
        return results

    def forward_results(self, receiver: ResultReceiver) -> None:
        """Forwards all results to the successor, which owns the messages; the kept results come first.

        Args:
            receiver: Called with a message id, the number of an attempt and its result.
        """
        self._result_receiver = receiver
        results, self._kept_results = self._kept_results, []
        for message_id, number, result in results:
            receiver(message_id, number, result)
