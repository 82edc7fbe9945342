"""Decides when to poll discovery for the endpoint list.

A change that discovery has had for 6 s counts as known to every sender that could have polled, even if its
polls failed. Discovery serves the polls of all senders one after the other, within 2 to 8 s, and rejects a
poll that has waited for 2 s; a poll that the sender abandons earlier still uses up discovery's time.
Therefore a poll that failed after a wait is repeated at once, a poll that failed at once is repeated after a
pause, and the polls of different senders are spread over time.
"""

import random

from message_sender.policy.breaker import NEVER
from message_sender.policy.breaker_context import SMALL_FLEET_SIZE
from message_sender.policy.model import Settings

LOCAL_LIST_RETRY_US = 50_000  # between polls of a local list: well within the grace period of a drain
LIST_RETRY_PAUSE_US = 2_000_000  # the longest time between polls that fail at once
LIST_RETRY_SPREAD_US = 500_000  # spreads senders whose polls or watches end together
LIST_START_SPREAD_US = 4_000_000  # spreads the first polls of a large fleet that starts together


class ListPolling:
    """Decides when the endpoint list is polled next.

    Attributes:
        next_poll_at: When the next poll is due; NEVER while a poll or watch is active, or if polls are
            not needed.
        last_poll_at: When the newest poll or watch began.
    """

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        """Creates the schedule; the first poll is due at once if the list has to be polled."""
        self.settings = settings
        self.rng = rng
        self.pause = min(LIST_RETRY_PAUSE_US, settings.poll_interval_limit)
        self.next_poll_at: float = -NEVER if settings.must_poll else NEVER
        self.last_poll_at: float = -NEVER

    def process_started(self, now: float) -> None:
        """Delays the first poll at random, since the whole fleet may have started together."""
        settings = self.settings
        is_large_fleet = settings.fleet_size > SMALL_FLEET_SIZE
        if self.next_poll_at < NEVER and is_large_fleet and not settings.has_local_list:
            self.next_poll_at = now + self.rng.uniform(0, LIST_START_SPREAD_US)

    def poll_failed(self, now: float) -> None:
        """Schedules the next poll after a poll failed or a watch ended."""
        spread = self.rng.uniform(0, LIST_RETRY_SPREAD_US)
        pause = self.rng.uniform(0.5, 1) * self.pause
        if self.settings.has_local_list:
            self.next_poll_at = now + LOCAL_LIST_RETRY_US
        else:
            self.next_poll_at = max(now + spread, self.last_poll_at + pause)

    def take_due(self, now: float) -> bool:
        """Returns whether a poll is due, and if so records that it begins now."""
        if self.next_poll_at > now:
            return False
        self.last_poll_at = now
        self.next_poll_at = NEVER
        return True
