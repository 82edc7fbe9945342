"""The messages of one engine: which ids are known, which callers wait, and how messages are completed.

Rules:

- Each accepted message has exactly one completion. It is given to the caller that waits for it or, without a
  waiting caller, to the completion listener.
- A completion without a delivery is recorded before anyone learns of it (completion_recorder.py), so that the
  same completion is given again after a restart until it is acknowledged.
- A delivery is on record with the outcome of its attempt.
- A journal that is not durable removes a message before its caller receives the completion, since a crash
  between the two also ends the caller's connection.
- Ids of completed messages stay known for a while, so that a message that is submitted again is not delivered
  again.
"""

import logging
from collections.abc import Callable, Iterable
from functools import partial
from typing import Protocol

from message_sender.core.completion_counts import CompletionCounts
from message_sender.core.completion_recorder import CompletionRecorder
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
from message_sender.journal.entries import RecordedCompletion
from message_sender.journal.process_journal import Journal
from message_sender.message import Message
from message_sender.policy.events import CompletionAcknowledged, MessageWithdrawn, PolicyEvent
from message_sender.policy.model import Outcome

COMPLETED_IDS_LIMIT = 4096  # more than are completed within the longest deadline
UNKNOWN_CONTENT = -1  # no hash has this value; only the id is known, from a predecessor process
#: The status in the completion of a message that an earlier process delivered, in place of its reply.
REPLY_LOST = "UNKNOWN delivered; its reply was lost with the process"
ALREADY_COMPLETED = "it is over, and its answer was given before"

log = logging.getLogger(__name__)


def content_hash(message: Message) -> int:
    """A hash of the fields that identify a message's content, without the deadline.

    Two submissions with one id and the same hash are the same message.
    """
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
    """Accepts events for the delivery policy."""

    def post(self, event: PolicyEvent) -> None:
        """Queues an event for the next iteration."""


class TableOwner(EventSink, Protocol):
    """The part of the engine that `MessageTable` uses.

    Attributes:
        now: Returns the time in microseconds since the epoch.
    """

    now: Callable[[], int]

    def may_not_record(self) -> bool:
        """Whether nothing may be recorded, since a successor is taking over or the engine is closed."""


class MessageTable:
    """Accepted and recently completed messages, in addition to the journal, which owns accepted messages.

    Attributes:
        arrivals: Messages that wait for the policy's first decision, with their callers, by id.
        callers: The callers that wait for the completion of an accepted message, by message id.
        withdrawn: Ids of messages that their callers withdrew while an attempt was in flight.
        completed: Content hashes of completed messages by id, the oldest first.
        pending_completions: Completions that are not acknowledged yet, by message id.
        recorder: Records completions before they are delivered.
        counts: Counters of completions by class, for operators.
        completion_listener: Receives completions that no caller waits for; set by the engine's `set_ports`.
    """

    completion_listener: CompletionListener

    def __init__(
        self, journal: Journal, classes: Iterable[str], owner: TableOwner, hooks: EngineHooks
    ) -> None:
        """Creates the table; messages of the journal are known at once.

        Args:
            journal: The engine's journal.
            classes: Names of the message classes.
            owner: The engine.
            hooks: The hooks of the sender's optional parts.
        """
        self.journal = journal
        self.events: EventSink = owner
        self.hooks = hooks
        self.counts = CompletionCounts(classes)
        self.arrivals: dict[str, tuple[Message, Caller]] = {}
        self.callers: dict[str, Caller] = {}
        self.withdrawn: set[str] = set()
        self.completed: dict[str, int] = {}
        self.pending_completions: dict[str, Completion] = {}
        self.recorder = CompletionRecorder(
            journal, owner.now, owner.may_not_record, self.deliver_completion, self.discard_completion
        )

    # Which messages are known.

    def is_known(self, message_id: str) -> bool:
        """Whether the message is accepted, was completed recently, or waits for the policy's decision."""
        return message_id in self.arrivals or self.known_content_hash(message_id) is not None

    def known_content_hash(self, message_id: str) -> int | None:
        """The content hash of an accepted or completed message; None if the id is not known."""
        if entry := self.journal.entries.get(message_id):
            return content_hash(entry.message)
        return self.completed.get(message_id)

    def is_same_message(self, message: Message) -> bool | None:
        """Whether a known message with this id has the same content; None if the id is unused."""
        known_hash = self.known_content_hash(message.id)
        if known_hash is not None:
            return known_hash in (content_hash(message), UNKNOWN_CONTENT)
        return False if message.id in self.arrivals else None

    # Acceptance.

    def accept_again(self, message_id: str, caller: Caller) -> None:
        """Accepts a repeated submission of a known message; its caller replaces the earlier caller."""
        if not caller.accepted():
            return
        if message_id in self.journal.entries:
            self.callers[message_id] = caller
        else:
            caller.completed(Completion(CompletionState.FAILED, status=ALREADY_COMPLETED))

    def confirm(self, message: Message, caller: Caller, retry_after_us: int, is_durable: bool) -> None:
        """Answers the caller once the message is recorded; rejects it if the record is not durable."""
        if is_durable:
            if caller.accepted():
                self.callers[message.id] = caller
            return
        self.reject(message, caller, RejectReason.JOURNAL_FAILED, retry_after_us)
        if message.id in self.journal.entries:
            self.journal.record_end(message.id, CompletionState.REFUSED.value)
            self.events.post(MessageWithdrawn(message.id))

    def reject(self, message: Message, caller: Caller, reason: RejectReason, retry_after_us: int) -> None:
        """Rejects a message that was not accepted; no attempt of it has started."""
        self.counts.count_completion(message.message_class, CompletionState.REFUSED)
        caller.rejected(Rejected(reason, retry_after_us))

    # Completion.

    def complete(self, message_id: str, completion: Completion) -> None:
        """Records the policy's completion of an accepted message and delivers it."""
        self.pending_completions[message_id] = completion
        self.recorder.record(message_id, completion)

    def deliver_completion(self, message_id: str, completion: Completion) -> None:
        """Gives the completion to the waiting caller or to the listener, once it is recorded."""
        self.pending_completions[message_id] = completion
        caller = self.take_caller(message_id)
        if caller is None and self.completion_listener.notify(message_id, completion):
            return
        if caller and self.journal.is_durable:
            caller.completed(completion)
        self.acknowledge(message_id)
        if caller and not self.journal.is_durable:
            caller.completed(completion)

    def acknowledge(self, message_id: str) -> None:
        """Removes a message whose completion is taken by a caller or acknowledged by the listener."""
        completion = self.pending_completions.pop(message_id, None)
        if message_id in self.journal.entries:
            self.remove_completed(message_id, completion.state if completion else CompletionState.FAILED)
        self.events.post(CompletionAcknowledged(message_id))
        self.hooks.work_finished()

    def discard_completion(self, message_id: str) -> None:
        """Drops the completion of a message that was delivered or withdrawn before anyone learned of it."""
        self.pending_completions.pop(message_id, None)
        self.events.post(CompletionAcknowledged(message_id))

    def notify_again(self, message_id: str, recorded: RecordedCompletion) -> bool:
        """Notifies the listener again of a completion that an earlier process recorded.

        Returns:
            Whether the message is kept until the listener acknowledges the completion.
        """
        completion = Completion(CompletionState(recorded.state), recorded.retry_after_us)
        self.pending_completions[message_id] = completion
        if self.completion_listener.notify(message_id, completion):
            return True
        self.remove_completed(message_id, completion.state)
        del self.pending_completions[message_id]
        return False

    def finish_delivered(self, message_id: str) -> None:
        """Completes a message of an earlier process that recorded its delivery but not its completion."""
        completion = Completion(CompletionState.DELIVERED, status=REPLY_LOST)
        self.completion_listener.notify(message_id, completion)
        self.remove_completed(message_id, CompletionState.DELIVERED)

    def finish(self, message_id: str, result: AttemptResult) -> None:
        """Completes a message that its endpoint has received, or has cancelled."""
        is_delivered = result.outcome is Outcome.OK
        state = CompletionState.DELIVERED if is_delivered else CompletionState.WITHDRAWN
        completion = Completion(state, reply=result.reply, status=result.status)
        is_withdrawn = message_id in self.withdrawn
        self.journal.when_durable(partial(self.deliver_result, message_id, completion, is_withdrawn))

    def deliver_result(
        self, message_id: str, completion: Completion, is_withdrawn: bool, is_durable: bool
    ) -> None:
        """Gives the completion of a finished message, even if its outcome could not be made durable."""
        caller = self.take_caller(message_id)
        if caller is None and not is_withdrawn:
            self.completion_listener.notify(message_id, completion)  # before the journal removes it
        if caller and self.journal.is_durable:
            caller.completed(completion)
        self.remove_completed(message_id, completion.state)
        if caller and not self.journal.is_durable:
            caller.completed(completion)

    def remove_completed(self, message_id: str, state: CompletionState) -> None:
        """Removes a completed message from the journal; its id stays known for a while."""
        if entry := self.journal.entries.get(message_id):
            self.completed[message_id] = content_hash(entry.message)
            self.counts.count_completion(entry.message.message_class, state)
        self.journal.record_end(message_id, state.value)
        if len(self.completed) > COMPLETED_IDS_LIMIT:
            del self.completed[next(iter(self.completed))]

    def take_caller(self, message_id: str) -> Caller | None:
        """Removes and returns the caller of a message; None if no caller waits any more."""
        caller = self.callers.pop(message_id, None)
        return None if caller is None or caller.is_gone() else caller

    # Handover.

    def inherit_completed(self, message_ids: Iterable[str]) -> None:
        """Adds the ids of messages that the predecessor process completed."""
        self.completed = {**dict.fromkeys(message_ids, UNKNOWN_CONTENT), **self.completed}

    def inherit_completion(self, message_id: str, completion: Completion) -> None:
        """Goes on with a completion of the predecessor, which may not have recorded it, until its end."""
        if self.journal.entries[message_id].completion:
            self.deliver_completion(message_id, completion)
        else:
            self.complete(message_id, completion)
