"""State that the parts of the delivery policy share during a loop iteration."""

import itertools
import random

from message_sender.policy.actions import PolicyAction
from message_sender.policy.breaker import NEVER, BreakerContext
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
