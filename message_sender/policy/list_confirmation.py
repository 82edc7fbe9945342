"""Decides whether calls may start although the endpoint list may be outdated. Pure.

Where lists are pushed to an agent on the sender's machine, whatever the agent holds counts as known to the
sender from the first moment of its process, and whether or not a watch is open. Receivers may have been
replaced meanwhile, and others may listen at their addresses. The rules:

- A process starts no call before its first list: that of an earlier process only says what to wait for. New
  messages are accepted meanwhile, and messages are completed in their time.
- If a watch ends, no call starts before the next list; at most once in `WATCH_RESTART_INTERVAL_US`, so that
  an agent whose watches end again and again does not stop all calls.
- A watch that fell silent before it ended may lack what the agent had, which counts as known
  `SILENCE_KNOWN_US` after it fell silent. If no list has come by then, no call starts before the next one.
- All waits are bounded, since the agent is silent while discovery is down, and learns nothing then. After a
  start the cached list applies from `START_LIMIT_US` on; after the end of a watch its last list applies from
  `WATCH_RESTART_LIMIT_US` on, in which an agent that is not silent has answered; after a silence, from
  `START_LIMIT_US` behind `SILENCE_KNOWN_US` on.
- Where discovery is asked over the network, a sender is held to the list that it has, and nothing waits.
"""

from message_sender.policy.breaker import NEVER
from message_sender.policy.model import Settings

START_LIMIT_US = 10_000_000
WATCH_RESTART_LIMIT_US = 250_000
WATCH_RESTART_INTERVAL_US = 1_000_000
SILENCE_KNOWN_US = 6_000_000


class ListConfirmation:
    """Whether the list is known to be current, and until when calls wait for the next one.

    Attributes:
        is_applicable: Lists are polled from an agent on the same machine.
        is_confirmed: A list has been received since the process started, or since its last watch ended.
        held_until: When calls no longer wait for a list; -NEVER while they do not wait.
        watch_ended_at: When calls last began to wait because a watch had ended; -NEVER if they never did.
        silence_known_at: From when calls wait because a watch fell silent and no list has come since; NEVER
            if none did.
        has_held_calls: Calls waited in the latest loop iteration.
    """

    def __init__(self, settings: Settings) -> None:
        """Creates the state of a process that has received no list."""
        self.is_applicable = settings.must_poll and settings.has_local_list
        self.is_confirmed = False
        self.held_until: float = -NEVER
        self.watch_ended_at: float = -NEVER
        self.silence_known_at: float = NEVER
        self.has_held_calls = False

    def process_started(self, now: float) -> None:
        """Makes calls wait for the first list of this process."""
        if self.is_applicable:
            self.held_until = now + START_LIMIT_US

    def watch_fell_silent(self, silent_since: float) -> None:
        """Makes calls wait for a list from when what the present watch missed counts as known.

        Args:
            silent_since: When the watch fell silent, us.
        """
        if self.is_applicable and self.is_confirmed:
            self.silence_known_at = silent_since + SILENCE_KNOWN_US

    def watch_ended(self, now: float) -> None:
        """Makes calls wait for the list of the next watch, unless this one had sent no list."""
        if not (self.is_applicable and self.is_confirmed):
            return
        self.is_confirmed = False
        if now >= self.watch_ended_at + WATCH_RESTART_INTERVAL_US:
            self.watch_ended_at = now
            self.held_until = now + WATCH_RESTART_LIMIT_US

    def list_received(self, now: float) -> None:
        """Ends the wait."""
        self.is_confirmed = True
        self.silence_known_at = NEVER
        self.held_until = min(self.held_until, now)

    def holds_calls(self, now: float) -> bool:
        """Whether no call may start now."""
        if now < self.held_until:
            return True
        return self.silence_known_at <= now < self.silence_known_at + START_LIMIT_US

    def next_change_at(self, now: float) -> float:
        """Returns when calls next begin or cease to wait, us; not later than `now` if that is not known."""
        if now < self.held_until:
            return self.held_until
        if now < self.silence_known_at:
            return self.silence_known_at
        return self.silence_known_at + START_LIMIT_US

    def take_end(self, now: float) -> bool:
        """Returns True once when calls no longer wait; has to be called in each loop iteration."""
        if self.holds_calls(now):
            self.has_held_calls = True
            return False
        if not self.has_held_calls:
            return False
        self.has_held_calls = False
        return True
