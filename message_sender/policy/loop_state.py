"""State that the parts of the delivery policy share during a loop iteration."""

import itertools
import random

from message_sender.policy.actions import PolicyAction
from message_sender.policy.breaker import NEVER
from message_sender.policy.breaker_context import BreakerContext
from message_sender.policy.breaker_status import StatusReporter
from message_sender.policy.model import Settings


class LoopState:
    """The time of the iteration, the random generator and the actions so far.

    Attributes:
        settings: The settings of the policy.
        random: Random generator that spreads calls over time.
        context: The data that all breakers share.
        now: Time of the iteration, us; minus infinity before the first one.
        sequence: Source of sequence numbers.
        examined_items: Number of items examined since the start; a measure of the cost of iterations.
        actions: The actions of the iteration so far.
        status: The changes of breakers in the iteration so far.
    """

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        """Creates the state before the first iteration."""
        self.settings = settings
        self.random = rng
        self.context = BreakerContext.from_settings(settings, rng)
        self.now = -NEVER
        self.sequence = itertools.count()
        self.examined_items = 0
        self.actions: list[PolicyAction] = []
        self.status = StatusReporter()

    def begin_iteration(self, now_us: int) -> None:
        """Begins an iteration at this time, us.

        Raises:
            ValueError: The clock went back.
        """
        if now_us < self.now:
            raise ValueError(f"the clock went back from {self.now} to {now_us}")
        self.now = now_us
        self.actions = []
        self.status.changes = []
