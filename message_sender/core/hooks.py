"""Hooks: what the optional parts of a sender add to its engine."""

import math

from message_sender.message import Message
from message_sender.policy.model import Outcome


class EngineHooks:
    """Base class of hooks; each method has no effect by default.

    All methods are called on the engine's loop. They must neither wait nor raise.
    """

    def pinned_endpoint(self, message: Message) -> str:
        """Id of the endpoint that the message is to go to while it is listed; empty for none."""
        return ""

    def admission_delay_us(self, message: Message) -> int:
        """Microseconds after which a new message may be submitted again; 0 admits it."""
        return 0

    def messages_restored(self) -> None:
        """All messages of the journal have been posted to the policy; its first iteration comes next."""

    def may_call(self, endpoint: str) -> bool:
        """Whether a call may go to the endpoint; asked as its first byte goes."""
        return True

    def call_started(self, endpoint: str) -> None:
        """An attempt at the endpoint is on record and begins."""

    def reserve_limits(self, endpoint: str, message_id: str) -> bool:
        """Takes a call from the limits that it counts against, as its first byte goes; False: none is left.
        """
        return True

    def release_limits(self, message_id: str) -> None:
        """The message's call is over."""

    def call_timeout_us(self, endpoint: str, message_id: str) -> float:
        """The longest that a call may take, in microseconds."""
        return math.inf

    def attempt_finished(self, endpoint: str, outcome: Outcome) -> None:
        """An attempt at the endpoint has this outcome."""

    def retry_after_received(self, endpoint: str, delay_us: int) -> None:
        """The endpoint asked to be left alone for so long."""

    def work_finished(self) -> None:
        """An attempt or a message has ended."""


class HookChain(EngineHooks):
    """Hooks in the order in which they were added: all of them are called."""

    def __init__(self) -> None:
        """Begins without any."""
        self.hooks: list[EngineHooks] = []

    def add(self, hooks: EngineHooks) -> None:
        """Adds hooks behind those that are there; hooks that are there already are not added again."""
        if hooks not in self.hooks:
            self.hooks.append(hooks)

    def pinned_endpoint(self, message: Message) -> str:
        """The first endpoint that any of them names."""
        for each in self.hooks:
            if endpoint := each.pinned_endpoint(message):
                return endpoint
        return ""

    def admission_delay_us(self, message: Message) -> int:
        """The delay of the first one that does not admit the message."""
        for each in self.hooks:
            if delay_us := each.admission_delay_us(message):
                return delay_us
        return 0

    def messages_restored(self) -> None:
        """Tells all of them."""
        for each in self.hooks:
            each.messages_restored()

    def may_call(self, endpoint: str) -> bool:
        """Whether all of them allow it."""
        return all(each.may_call(endpoint) for each in self.hooks)

    def call_started(self, endpoint: str) -> None:
        """Tells all of them."""
        for each in self.hooks:
            each.call_started(endpoint)

    def reserve_limits(self, endpoint: str, message_id: str) -> bool:
        """Whether all of them have room; asks none behind the first one that has none."""
        return all(each.reserve_limits(endpoint, message_id) for each in self.hooks)

    def release_limits(self, message_id: str) -> None:
        """Tells all of them."""
        for each in self.hooks:
            each.release_limits(message_id)

    def call_timeout_us(self, endpoint: str, message_id: str) -> float:
        """The shortest limit of all."""
        timeout_us = math.inf
        for each in self.hooks:
            timeout_us = min(timeout_us, each.call_timeout_us(endpoint, message_id))
        return timeout_us

    def attempt_finished(self, endpoint: str, outcome: Outcome) -> None:
        """Tells all of them."""
        for each in self.hooks:
            each.attempt_finished(endpoint, outcome)

    def retry_after_received(self, endpoint: str, delay_us: int) -> None:
        """Tells all of them."""
        for each in self.hooks:
            each.retry_after_received(endpoint, delay_us)

    def work_finished(self) -> None:
        """Tells all of them."""
        for each in self.hooks:
            each.work_finished()
