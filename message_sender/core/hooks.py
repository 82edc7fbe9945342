"""Hooks by which the optional parts of a sender extend its engine."""

import math

from message_sender.message import Message
from message_sender.policy.model import Outcome


class EngineHooks:
    """Base class of hooks; by default, the methods have no effect.

    All methods are called on the engine's loop. They must neither block nor raise.
    """

    def pinned_endpoint(self, message: Message) -> str:
        """Id of the endpoint to which the message is to be sent while it is listed; empty for none."""
        return ""

    def admission_delay_us(self, message: Message) -> int:
        """Microseconds after which a new message may be submitted again; 0 admits it."""
        return 0

    def messages_restored(self) -> None:
        """Called when all messages of the journal are posted to the policy, before its first iteration."""

    def may_call(self, endpoint: str) -> bool:
        """Whether a call may be sent to the endpoint; called right before its first byte is sent."""
        return True

    def call_started(self, endpoint: str) -> None:
        """Called when an attempt at the endpoint is in the journal and its call starts."""

    def reserve_limits(self, endpoint: str, message_id: str) -> bool:
        """Reserves capacity for a call under its limits, right before its first byte is sent.

        Returns:
            False if a limit has no capacity left; the call is not sent.
        """
        return True

    def release_limits(self, message_id: str) -> None:
        """Called when the message's call has ended: releases its reservation."""

    def call_timeout_us(self, endpoint: str, message_id: str) -> float:
        """The maximum duration of a call, in microseconds."""
        return math.inf

    def attempt_finished(self, endpoint: str, outcome: Outcome) -> None:
        """Called with the outcome of an attempt at the endpoint."""

    def retry_after_received(self, endpoint: str, delay_us: int) -> None:
        """Called with a Retry-After of the endpoint, in microseconds."""

    def work_finished(self) -> None:
        """Called when an attempt or a message has ended."""


class HookChain(EngineHooks):
    """Calls several hooks in the order in which they were added."""

    def __init__(self) -> None:
        """Starts without hooks."""
        self.hooks: list[EngineHooks] = []

    def add(self, hooks: EngineHooks) -> None:
        """Appends hooks, unless they are already in the chain."""
        if hooks not in self.hooks:
            self.hooks.append(hooks)

    def pinned_endpoint(self, message: Message) -> str:
        """The first endpoint that one of the hooks returns; empty for none."""
        for each in self.hooks:
            if endpoint := each.pinned_endpoint(message):
                return endpoint
        return ""

    def admission_delay_us(self, message: Message) -> int:
        """The delay of the first hooks that do not admit the message; 0 if all admit it."""
        for each in self.hooks:
            if delay_us := each.admission_delay_us(message):
                return delay_us
        return 0

    def messages_restored(self) -> None:
        """Calls all hooks."""
        for each in self.hooks:
            each.messages_restored()

    def may_call(self, endpoint: str) -> bool:
        """Whether all hooks allow the call."""
        return all(each.may_call(endpoint) for each in self.hooks)

    def call_started(self, endpoint: str) -> None:
        """Calls all hooks."""
        for each in self.hooks:
            each.call_started(endpoint)

    def reserve_limits(self, endpoint: str, message_id: str) -> bool:
        """Whether all hooks could reserve capacity; hooks after the first failure are not called."""
        return all(each.reserve_limits(endpoint, message_id) for each in self.hooks)

    def release_limits(self, message_id: str) -> None:
        """Calls all hooks."""
        for each in self.hooks:
            each.release_limits(message_id)

    def call_timeout_us(self, endpoint: str, message_id: str) -> float:
        """The shortest timeout of all hooks, in microseconds."""
        timeout_us = math.inf
        for each in self.hooks:
            timeout_us = min(timeout_us, each.call_timeout_us(endpoint, message_id))
        return timeout_us

    def attempt_finished(self, endpoint: str, outcome: Outcome) -> None:
        """Calls all hooks."""
        for each in self.hooks:
            each.attempt_finished(endpoint, outcome)

    def retry_after_received(self, endpoint: str, delay_us: int) -> None:
        """Calls all hooks."""
        for each in self.hooks:
            each.retry_after_received(endpoint, delay_us)

    def work_finished(self) -> None:
        """Calls all hooks."""
        for each in self.hooks:
            each.work_finished()
