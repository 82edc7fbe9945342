"""State that the parts of the policy share during an iteration."""

import itertools
import random

from message_sender.policy.actions import PolicyAction
from message_sender.policy.breaker import NEVER, BreakerContext
from message_sender.policy.model import Settings


class LoopState:
    """The time of the iteration, random numbers and the actions so far.

    Attributes:
        settings: The settings of the policy.
        random: Spreads calls over time.
        context: What all breakers share.
        now: Time of the iteration, us; minus infinity before the first one.
        sequence: Numbers for what has an order.
        examined_items: Items looked at since the start, a measure of what an iteration costs.
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
