"""Submitted messages, from the server's call to the answer that the message is accepted or rejected."""

import logging
from collections.abc import Callable
from functools import partial
from typing import Protocol

from message_sender.core.hooks import EngineHooks
from message_sender.core.message_table import EventSink, MessageTable
from message_sender.core.ports import Caller, RejectReason
from message_sender.message import Message
from message_sender.policy.actions import Fail, PolicyAction, Reject
from message_sender.policy.dispatcher import Dispatcher
from message_sender.policy.events import (
    CompletionAcknowledged,
    MessageAccepted,
    MessageWithdrawn,
    PolicyEvent,
)

Arrival = tuple[Message, Caller]

log = logging.getLogger(__name__)


def is_acceptance_of(event: PolicyEvent, message_id: str) -> bool:
    """Whether the event announces this message to the policy."""
    return isinstance(event, MessageAccepted) and event.message == message_id


class ArrivalOwner(EventSink, Protocol):
    """The part of the engine that `Arrivals` uses.

    Attributes:
        now: Returns the time in microseconds since the epoch.
    """

    now: Callable[[], int]


class Arrivals:
    """Checks submitted messages and answers their callers once the policy has decided."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        table: MessageTable,
        hooks: EngineHooks,
        owner: "ArrivalOwner",
    ) -> None:
        """Creates the checks of one engine.

        Args:
            dispatcher: The delivery policy.
            table: The engine's messages.
            hooks: The hooks of the sender's optional parts.
            owner: The engine.
        """
        self.dispatcher = dispatcher
        self.table = table
        self.hooks = hooks
        self.owner = owner
        self.max_messages = dispatcher.settings.max_open

    def submit(self, message: Message, caller: Caller) -> None:
        """Handles a submitted message; its caller is answered in this loop iteration or the next."""
        has_same_content = self.table.is_same_message(message)
        if has_same_content:
            self.table.accept_again(message.id, caller)
        elif has_same_content is not None:
            # Another client's message has this id. If this submission were taken for a repetition of it, the
            # client would get the answer that its message is accepted, although it would not be delivered
            # and its key's order would not include it. The client may submit the message under a new id.
            log.warning("message rejected: id=%s reason=another message has this id", message.id)
            self.reject(message, caller, RejectReason.ID_CONFLICT)
        elif self._is_full():
            self.reject(message, caller, RejectReason.AT_CAPACITY)
        elif delay_us := self.hooks.admission_delay_us(message):
            self.table.reject(message, caller, RejectReason.ADMISSION_DELAYED, delay_us)
        else:
            self.table.arrivals[message.id] = message, caller
            self.owner.post(self.acceptance_event(message))

    def _is_full(self) -> bool:
        messages = len(self.dispatcher.messages) + len(self.table.arrivals)
        return messages >= self.max_messages

    def acceptance_event(self, message: Message) -> MessageAccepted:
        """The event that announces a message to the policy."""
        return MessageAccepted(
            message=message.id,
            message_class=message.message_class,
            destination=message.destination,
            time_left_us=message.deadline_us - self.owner.now(),
            tenant=message.tenant,
            key=message.key,
            is_repeat=message.is_repeat,
            pinned_endpoint=self.hooks.pinned_endpoint(message),
        )

    def reject(self, message: Message, caller: Caller, reason: RejectReason) -> None:
        """Rejects a message with the Retry-After that the policy suggests."""
        self.table.reject(message, caller, reason, self.dispatcher.suggest_retry_after())

    def answer(
        self, arrivals: dict[str, Arrival], abandoned_ids: set[str], actions: list[PolicyAction]
    ) -> set[str]:
        """Records new messages in the journal and answers their callers.

        Args:
            arrivals: The messages of this loop iteration with their callers, by id.
            abandoned_ids: Ids of the messages whose callers no longer wait.
            actions: The decisions of the policy.

        Returns:
            The ids of the messages that are rejected.
        """
        decisions = {each.message: each for each in actions if isinstance(each, Reject | Fail)}
        rejected = set()
        for message_id, (message, caller) in arrivals.items():
            if message_id in abandoned_ids:
                caller.withdrawn()
            elif message_id in decisions:
                self._reject_by_policy(decisions[message_id], message, caller)
                rejected.add(message_id)
            elif self.table.journal.record_accepted(message):
                self.table.journal.when_durable(partial(self._confirm, message, caller))
            else:
                self.reject(message, caller, RejectReason.JOURNAL_FAILED)
                rejected.add(message_id)
                self.owner.post(MessageWithdrawn(message_id))
        return rejected

    def _confirm(self, message: Message, caller: Caller, is_durable: bool) -> None:
        retry_after_us = 0 if is_durable else self.dispatcher.suggest_retry_after()
        self.table.confirm(message, caller, retry_after_us, is_durable)

    def _reject_by_policy(self, action: Reject | Fail, message: Message, caller: Caller) -> None:
        """Rejects a message that the policy ended before it was accepted; no attempt of it has started."""
        if isinstance(action, Reject):
            self.table.reject(message, caller, RejectReason.REFUSED, action.retry_after_us)
        else:
            self.reject(message, caller, RejectReason.REFUSED)
        self.owner.post(CompletionAcknowledged(action.message))
