"""A control node's side of the watches (skeleton of the agreed interface)."""

import random
from collections.abc import Callable

from elmglade.control.messages import Poll, SnapshotRequest, WatcherStatus, WatchMessage
from elmglade.control.store import ConfigurationStore


class Fanout:
    """The senders that watch a control node, and what they are sent."""

    def __init__(
        self,
        store: ConfigurationStore,
        chance: random.Random,
        now: float,
        authority_age_ms: Callable[[], int],
    ) -> None:
        self.store = store
        self.authority_age_ms = authority_age_ms

    def receive(self, sender: str, message: Poll | SnapshotRequest, now: float) -> None:
        """Takes a message of a sender."""

    def version_changed(self, now: float) -> None:
        """The store has a new version: it is pushed to all that can take it."""

    def tick(self, now: float) -> None:
        """Forgets what is long over."""

    def take_messages(self) -> list[tuple[str, WatchMessage]]:
        """What is to be sent, each with the sender that it is for."""
        return []

    def watchers(self, now: float) -> tuple[WatcherStatus, ...]:
        """The senders that are known here."""
        return ()
