"""Models at the ports of a simulated run's engine: the caller, the transport and the completion listener."""

import asyncio
import random
from typing import Protocol

from message_sender.core.engine import Engine
from message_sender.core.ports import AttemptResult, Completion, CompletionState, Rejected, SendPermission
from message_sender.emulator.loop import VirtualLoop
from message_sender.emulator.port_models import (
    ACKNOWLEDGEMENT_DELAY_S,
    ConnectionlessTransport,
    PassiveListener,
)
from message_sender.emulator.receiver import EFFECT_BY_OUTCOME
from message_sender.emulator.wall_clock import EPOCH_US, SECOND_US
from message_sender.message import Message
from message_sender.policy.model import Outcome
from message_sender.testbed import history as seen
from message_sender.testbed.event_stream import DestinationBehavior
from message_sender.testbed.history import EffectApplied, History

ONE_WAY_DELAY_S = (0.001, 0.02)
SLOW_PROBABILITY = (
    0.15  # that a connection or an answer is slow; a drain or a Retry-After may then arrive before it
)
MAX_EXTRA_DELAY_S = 0.4
UNANSWERED_S = 60.0
SLOW_FACTOR = 12
ERROR_OUTCOMES = (Outcome.ERROR, Outcome.RESET, Outcome.MALFORMED, Outcome.OK)
RETRY_AFTER_S = (0.0, 0.15, 0.6)


class RunEnvironment(Protocol):
    """What the models need of the run that they belong to."""

    engine: Engine
    history: History
    loop: VirtualLoop
    rng: random.Random

    def time(self) -> float:
        """Returns the virtual time in seconds."""

    def behavior_of(self, endpoint: str) -> DestinationBehavior:
        """Returns how an endpoint's destination behaves now."""

    def record_failure(self, endpoint: str) -> None:
        """Records that the sender saw a call to an endpoint fail."""

    def message_completed(self, message: str, completion: Completion) -> None:
        """Records a completion."""


class RunCaller:
    """The caller of one message; it is notified of the completion while the process lives."""

    def __init__(self, run: RunEnvironment, message: Message) -> None:
        """Submits `message` to the run's engine."""
        self.run = run
        self.message = message

    def is_gone(self) -> bool:
        """Returns False: the caller always waits for the completion."""
        return False

    def accepted(self) -> bool:
        """Records that the message is accepted; returns True, as the caller waits for its completion."""
        message = self.message
        deadline_s = (message.deadline_us - EPOCH_US) / SECOND_US
        self.run.history.record(
            seen.MessageAdmitted(
                self.run.time(),
                message.id,
                message.message_class,
                message.destination,
                deadline_s,
                message.key,
            )
        )
        return True

    def rejected(self, rejected: Rejected) -> None:
        """Records that the message is rejected."""
        self.run.history.record(seen.MessageRejected(self.run.time(), self.message.id))

    def withdrawn(self) -> None:
        """Raises AssertionError: the caller is never gone."""
        raise AssertionError("the caller is never gone")

    def completed(self, completion: Completion) -> None:
        """Records the completion."""
        self.run.message_completed(self.message.id, completion)


class RunTransport(ConnectionlessTransport):
    """Calls to modelled endpoints: a delay, the destination's behavior, a delay back."""

    def __init__(self, run: RunEnvironment) -> None:
        """Makes the calls of the run's engine."""
        self.run = run

    async def call(
        self, endpoint: str, message: Message, timeout: float, permission: SendPermission
    ) -> AttemptResult:
        """Makes one call.

        Args:
            endpoint: Id of the endpoint.
            message: The message.
            timeout: Seconds from now that the call may take.
            permission: Asked when the connection is up; the call is not sent if it is refused.
        """
        run, loop = self.run, asyncio.get_running_loop()
        deadline = loop.time() + timeout
        await asyncio.sleep(min(self.draw_delay_s(), timeout))
        behavior = run.behavior_of(endpoint)
        if behavior is DestinationBehavior.SHUT or loop.time() >= deadline:
            run.record_failure(endpoint)
            return AttemptResult(Outcome.CONNECT_FAILED)
        if not permission.may_begin():
            return AttemptResult(Outcome.NOT_SENT)
        call = run.history.record_start(message.id, endpoint)
        duration_s, outcome, wait_s = self.draw_result(behavior)
        if outcome is not Outcome.OK:
            run.record_failure(endpoint)
        if not await self._wait_for_answer(call, duration_s, deadline):
            return AttemptResult(Outcome.TIMEOUT)
        run.history.record_end(call, EFFECT_BY_OUTCOME[outcome], wait_s)
        await asyncio.sleep(run.rng.uniform(*ONE_WAY_DELAY_S))
        retry_after_us = int(wait_s * SECOND_US)
        if retry_after_us:
            run.engine.retry_after_received(endpoint, retry_after_us)
            # The header has arrived; the rest of the answer follows, or the time is up.
            await asyncio.sleep(min(self.draw_delay_s(), max(deadline - loop.time(), 0.0)))
        return AttemptResult(outcome, is_final=outcome is Outcome.OK, retry_after_us=retry_after_us)

    async def _wait_for_answer(self, call: int, duration_s: float, deadline: float) -> bool:
        """Returns whether the answer came before the deadline."""
        try:
            async with asyncio.timeout_at(deadline):
                await asyncio.sleep(duration_s)
        except TimeoutError:
            self.run.history.record_end(call, EffectApplied.MAYBE)
            return False
        except asyncio.CancelledError:
            self.run.history.record_end(call, EffectApplied.MAYBE)
            raise
        return True

    def draw_delay_s(self) -> float:
        """Draws a delay in one direction; a share of `SLOW_PROBABILITY` is much longer."""
        rng = self.run.rng
        extra_s = MAX_EXTRA_DELAY_S if rng.random() < SLOW_PROBABILITY else 0.0
        return rng.uniform(*ONE_WAY_DELAY_S) + rng.uniform(0, extra_s)

    def draw_result(self, behavior: DestinationBehavior) -> tuple[float, Outcome, float]:
        """Draws a call's duration in seconds, its outcome and its Retry-After in seconds."""
        rng = self.run.rng
        duration_s = rng.uniform(0.01, 0.15)
        match behavior:
            case DestinationBehavior.REFUSES:
                return 0.005, Outcome.FULL, rng.choice(RETRY_AFTER_S)
            case DestinationBehavior.ERRS:
                return duration_s, rng.choice(ERROR_OUTCOMES), 0.0
            case DestinationBehavior.SILENT:
                return UNANSWERED_S, Outcome.RESET, 0.0
            case DestinationBehavior.SLOW:
                return duration_s * SLOW_FACTOR, Outcome.OK, 0.0
            case _:
                return duration_s, Outcome.OK, 0.0


class RunCompletionListener(PassiveListener):
    """Records completions that no caller waits for, and acknowledges them after a short delay."""

    def __init__(self, run: RunEnvironment) -> None:
        """Listens to the run's engine."""
        self.run_environment = run

    def notify(self, message: str, completion: Completion) -> bool:
        """Records a completion; returns whether an acknowledgement will follow."""
        run = self.run_environment
        run.message_completed(message, completion)
        if completion.state is CompletionState.DELIVERED:
            return False
        run.loop.call_later(ACKNOWLEDGEMENT_DELAY_S, run.engine.completion_acknowledged, message)
        return True
