"""Counts the calls of one sender to a destination that is down, on virtual time."""

from benchmarks.scale import policy
from message_sender.policy.events import PolicyEvent

CONNECTION_REFUSED_AFTER_US = 1_000
IDLE_US = 1_000_000  # step of the virtual clock if the decision module requests no wake-up
SLOTS, MAX_OPEN = 60, 100


def calls_while_down(fleet_size: int, seconds: float) -> int:
    """Returns the calls of one of `fleet_size` senders that always has a message for the destination."""
    dispatcher = policy.make_dispatcher(SLOTS, MAX_OPEN, fleet_size=fleet_size)
    dispatcher.handle(0, [policy.full_list(1)])
    now_us, calls, accepted = 0, 0, 0
    while now_us < seconds * policy.MICROSECONDS:
        events: list[PolicyEvent] = []
        if not policy.held_count(dispatcher):
            accepted += 1
            events.append(policy.accepted(f"m{accepted}", 0))
        actions = dispatcher.handle(now_us, events)
        while started := policy.sends(actions):
            calls += len(started)
            now_us += CONNECTION_REFUSED_AFTER_US
            actions = dispatcher.handle(now_us, [policy.connection_refused(send) for send in started])
        wake_us = policy.wake_after_us(actions)
        now_us += IDLE_US if wake_us is None else max(wake_us, 1)
    return calls
