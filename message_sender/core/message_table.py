"""The messages of one engine: which ones are known, who waits for them, and how they are completed.

Rules:

- Each accepted message has one completion. It goes to the caller that waits for it, or else to the completion
  listener.
- The journal forgets a message before its caller hears of the completion, since a crash between the two ends
  both. A journal that survives the machine has the completion on record first: the same one is given again
  after a restart.
- Ids of completed messages stay known for a while, so that a message that is submitted again is not delivered
  again.
"""

import logging
from collections.abc import Iterable
from functools import partial
from typing import Protocol

from message_sender.core.counts import CompletionCounts
from message_sender.core.hooks import EngineHooks
from message_sender.core.ports import (
    AttemptResult,
    Caller,
    Completion,
    CompletionListener,
    CompletionState,
    Rejected,
    RejectReason,
)
from message_sender.journal.process_journal import Journal
from message_sender.message import Message
from message_sender.policy.events import EndAcknowledged, MessageWithdrawn, PolicyEvent
from message_sender.policy.model import Outcome

COMPLETED_IDS_LIMIT = 4096  # more than are completed within the longest deadline
UNKNOWN_CONTENT = -1  # no hash has this value: only the id is known, from an earlier process
#: What a caller gets in place of the reply of a message that an earlier process delivered.
REPLY_LOST = "UNKNOWN delivered; its reply was lost with the process"
ALREADY_COMPLETED = "it is over, and its answer was given before"

log = logging.getLogger(__name__)


def content_hash(message: Message) -> int:
    """Tells whether two submissions under one id are the same message; their deadlines may differ."""
    return hash(
        (
            message.id,
            message.message_class,
            message.destination,
            message.tenant,
            message.key,
            message.idempotency_key,
            message.body,
            message.extras,
        )
    )


class EventSink(Protocol):
    """Takes events for the delivery policy."""

    def post(self, event: PolicyEvent) -> None:
        """Queues an event for the next iteration."""


class MessageTable:
    """Accepted and recently completed messages, beside the journal that owns them.

    Attributes:
        arrivals: Messages that wait for the policy's first decision, by id, with their callers.
        callers: Who waits for the completion of an accepted message, by id.
        withdrawn: Messages that their callers withdrew while an attempt was in flight.
        completed: Content hashes of completed messages by id, the oldest first.
        pending_completions: Completions that were notified and not acknowledged yet, by id.
        counts: Completions by class, for the operators.
        completion_listener: Hears completions that no caller waits for; set by the engine's `plug`.
    """

    completion_listener: CompletionListener

    def __init__(
        self, journal: Journal, classes: Iterable[str], events: EventSink, hooks: EngineHooks
    ) -> None:
        """Begins with what the journal holds."""
        self.journal = journal
        self.events = events
        self.hooks = hooks
        self.counts = CompletionCounts(classes)
        self.arrivals: dict[str, tuple[Message, Caller]] = {}
        self.callers: dict[str, Caller] = {}
        self.withdrawn: set[str] = set()
        self.completed: dict[str, int] = {}
        self.pending_completions: dict[str, Completion] = {}

    # Which messages are known.

    def is_known(self, message_id: str) -> bool:
        """Whether the message is accepted, was completed lately, or is about to be accepted."""
        return message_id in self.arrivals or self.known_content(message_id) is not None

    def known_content(self, message_id: str) -> int | None:
        """The content hash of an accepted or completed message; None: the id is not known."""
        if entry := self.journal.entries.get(message_id):
            return content_hash(entry.message)
        return self.completed.get(message_id)

    def is_same_message(self, message: Message) -> bool | None:
        """Whether a known message of this id has the same content; None: the id is free."""
        known = self.known_content(message.id)
        if known is not None:
            return known in (content_hash(message), UNKNOWN_CONTENT)
        return False if message.id in self.arrivals else None

    # Acceptance.

    def accept_again(self, message_id: str, caller: Caller) -> None:
        """The same message is submitted once more. The later caller takes the place of the earlier one."""
        if not caller.accepted():
            return
        if message_id in self.journal.entries:
            self.callers[message_id] = caller
        else:
            caller.completed(Completion(CompletionState.FAILED, status=ALREADY_COMPLETED))

    def confirm(self, message: Message, caller: Caller, retry_after_us: int, is_durable: bool) -> None:
        """The message is on record, or could not be made durable: its caller hears."""
        if is_durable:
            if caller.accepted():
                self.callers[message.id] = caller
            return
        self.reject(message, caller, RejectReason.NO_DISK, retry_after_us)
        if message.id in self.journal.entries:
            self.journal.record_end(message.id, CompletionState.REFUSED.value)
            self.events.post(MessageWithdrawn(message.id))

    def reject(self, message: Message, caller: Caller, reason: RejectReason, retry_after_us: int) -> None:
        """The message is not accepted. Nothing of it has run."""
        self.counts.ended(message.message_class, CompletionState.REFUSED)
        caller.rejected(Rejected(reason, retry_after_us))

    # Completion.

    def complete(self, message_id: str, completion: Completion) -> None:
        """The policy's final answer for an accepted message."""
        self.pending_completions[message_id] = completion
        self.journal.record_completion(message_id, completion.state.value, completion.retry_after_us)
        self.journal.when_durable(partial(self.deliver_completion, message_id, completion))

    def deliver_completion(self, message_id: str, completion: Completion, is_durable: bool) -> None:
        """Gives the completion to the waiting caller or to the listener, once it is on record."""
        if not is_durable and completion.state is CompletionState.REFUSED:
            # A later process may find the message accepted: nothing is promised.
            completion = self.pending_completions[message_id] = Completion(CompletionState.FAILED)
        caller = self.take_caller(message_id)
        if caller is None and self.completion_listener.notify(message_id, completion):
            return
        if caller and self.journal.is_durable:
            caller.completed(completion)
        self.acknowledge(message_id)
        if caller and not self.journal.is_durable:
            caller.completed(completion)

    def acknowledge(self, message_id: str) -> None:
        """Somebody has the completion of the message: nothing more is owed."""
        completion = self.pending_completions.pop(message_id, None)
        if message_id in self.journal.entries:
            self.forget(message_id, completion.state if completion else CompletionState.FAILED)
        self.events.post(EndAcknowledged(message_id))
        self.hooks.work_finished()

    def notify_again(self, message_id: str, state: str, retry_after_us: int) -> None:
        """Gives a completion that an earlier process has put on record; it is the same one."""
        completion = Completion(CompletionState(state), retry_after_us)
        self.pending_completions[message_id] = completion
        if not self.completion_listener.notify(message_id, completion):
            self.forget(message_id, completion.state)
            del self.pending_completions[message_id]

    def finish_delivered(self, message_id: str) -> None:
        """An earlier process ended between the endpoint's answer and the end on record."""
        completion = Completion(CompletionState.DELIVERED, status=REPLY_LOST)
        self.completion_listener.notify(message_id, completion)
        self.forget(message_id, CompletionState.DELIVERED)

    def finish(self, message_id: str, result: AttemptResult) -> None:
        """The endpoint has the message, or does not want it any more."""
        is_delivered = result.outcome is Outcome.OK
        state = CompletionState.DELIVERED if is_delivered else CompletionState.WITHDRAWN
        completion = Completion(state, reply=result.reply, status=result.status)
        is_withdrawn = message_id in self.withdrawn
        self.journal.when_durable(partial(self.deliver_result, message_id, completion, is_withdrawn))

    def deliver_result(
        self, message_id: str, completion: Completion, is_withdrawn: bool, is_durable: bool
    ) -> None:
        """Gives the completion of a finished message, whether or not its outcome could be made durable."""
        caller = self.take_caller(message_id)
        if caller is None and not is_withdrawn:
            self.completion_listener.notify(message_id, completion)  # before the journal forgets it
        if caller and self.journal.is_durable:
            caller.completed(completion)
        self.forget(message_id, completion.state)
        if caller and not self.journal.is_durable:
            caller.completed(completion)

    def forget(self, message_id: str, state: CompletionState) -> None:
        """The message is complete; its id stays known for a while."""
        if entry := self.journal.entries.get(message_id):
            self.completed[message_id] = content_hash(entry.message)
            self.counts.ended(entry.message.message_class, state)
        self.journal.record_end(message_id, state.value)
        if len(self.completed) > COMPLETED_IDS_LIMIT:
            del self.completed[next(iter(self.completed))]

    def take_caller(self, message_id: str) -> Caller | None:
        """The caller that waits for this message's completion, if one still does."""
        caller = self.callers.pop(message_id, None)
        return None if caller is None or caller.is_gone() else caller

    # Handover.

    def inherit_completed(self, message_ids: Iterable[str]) -> None:
        """Ids of messages that the process before completed."""
        self.completed = {**dict.fromkeys(message_ids, UNKNOWN_CONTENT), **self.completed}

    def resubmit_completion(self, message_id: str, completion: Completion) -> None:
        """A completion that the process before notified, and nobody has acknowledged yet."""
        self.pending_completions[message_id] = completion
        self.completion_listener.notify(message_id, completion)
