"""The data that all circuit breakers of a sender share."""

import random
from dataclasses import dataclass

from message_sender.policy.model import Settings

SMALL_FLEET_SIZE = 4  # up to this fleet size the longest gap is the reset timeout


@dataclass(frozen=True, slots=True)
class BreakerContext:
    """The data that all breakers of a sender share.

    Attributes:
        settings: The settings of the policy.
        rng: Random generator that spreads calls over time.
        fleet_factor: Fleet size divided by `SMALL_FLEET_SIZE`; 1 in a small fleet, above 1 in a large fleet.
        min_latency_objective: The shortest latency objective of all classes, us.
    """

    settings: Settings
    rng: random.Random
    fleet_factor: float
    min_latency_objective: int

    @classmethod
    def from_settings(cls, settings: Settings, rng: random.Random) -> "BreakerContext":
        """Derives the context from the settings."""
        fleet_factor = max(settings.fleet_size / SMALL_FLEET_SIZE, 1)
        return cls(settings, rng, fleet_factor, min(each.latency_objective for each in settings.classes))
