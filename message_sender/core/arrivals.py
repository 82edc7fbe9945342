"""Submitted messages, from a server's call to the answer that they are accepted or rejected."""

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
from message_sender.policy.events import EndAcknowledged, MessageAccepted, MessageWithdrawn, PolicyEvent

Arrival = tuple[Message, Caller]

log = logging.getLogger(__name__)


def is_acceptance_of(event: PolicyEvent, message_id: str) -> bool:
    """Whether the event tells the policy of this message."""
    return isinstance(event, MessageAccepted) and event.message == message_id


class ArrivalOwner(EventSink, Protocol):
    """What arrivals need of the engine: a sink for events, and microseconds since the epoch."""

    now: Callable[[], int]


class Arrivals:
    """Checks submitted messages, and answers their callers once the policy has decided."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        table: MessageTable,
        hooks: EngineHooks,
        owner: "ArrivalOwner",
    ) -> None:
        """`owner`: the engine."""
        self.dispatcher = dispatcher
        self.table = table
        self.hooks = hooks
        self.owner = owner
        self.max_messages = dispatcher.settings.max_open

    def submit(self, message: Message, caller: Caller) -> None:
        """A client submits a message. Its caller hears in this iteration or the next."""
        is_same = self.table.is_same_message(message)
        if is_same:
            self.table.accept_again(message.id, caller)
        elif is_same is not None:
            # Protects a client whose id another one has used: none of its message would be accepted, and the
            # order of its key would not wait for it. It may come again, under a new id.
            log.warning("message rejected: id=%s reason=another message has this id", message.id)
            self.reject(message, caller, RejectReason.OTHER_ID)
        elif self._is_full():
            self.reject(message, caller, RejectReason.NO_ROOM)
        elif delay_us := self.hooks.admission_delay_us(message):
            self.table.reject(message, caller, RejectReason.NOT_YET, delay_us)
        else:
            self.table.arrivals[message.id] = message, caller
            self.owner.post(self.acceptance_of(message))

    def _is_full(self) -> bool:
        messages = len(self.dispatcher.messages) + len(self.table.arrivals)
        return messages >= self.max_messages

    def acceptance_of(self, message: Message) -> MessageAccepted:
        """The event by which the policy hears of a message."""
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
        """Rejects a message, with the policy's proposal when to come again."""
        self.table.reject(message, caller, reason, self.dispatcher.suggest_retry_after())

    def answer(self, arrivals: dict[str, Arrival], gone: set[str], actions: list[PolicyAction]) -> set[str]:
        """Puts new messages on record and answers their callers.

        Args:
            arrivals: The messages of this iteration, by id.
            gone: Ids of those whose callers wait no more.
            actions: What the policy decided.

        Returns:
            The ids of messages that are not accepted.
        """
        decisions = {each.message: each for each in actions if isinstance(each, Reject | Fail)}
        rejected = set()
        for message_id, (message, caller) in arrivals.items():
            if message_id in gone:
                caller.withdrawn()
            elif message_id in decisions:
                self._reject_by_policy(decisions[message_id], message, caller)
                rejected.add(message_id)
            elif self.table.journal.record_accepted(message):
                self.table.journal.when_durable(partial(self._confirm, message, caller))
            else:
                self.reject(message, caller, RejectReason.NO_DISK)
                rejected.add(message_id)
                self.owner.post(MessageWithdrawn(message_id))
        return rejected

    def _confirm(self, message: Message, caller: Caller, is_durable: bool) -> None:
        retry_after_us = 0 if is_durable else self.dispatcher.suggest_retry_after()
        self.table.confirm(message, caller, retry_after_us, is_durable)

    def _reject_by_policy(self, action: Reject | Fail, message: Message, caller: Caller) -> None:
        """The final answer of a message that was never accepted. Nothing of it has run."""
        if isinstance(action, Reject):
            self.table.reject(message, caller, RejectReason.REFUSED, action.retry_after_us)
        else:
            self.reject(message, caller, RejectReason.REFUSED)
        self.owner.post(EndAcknowledged(action.message))
