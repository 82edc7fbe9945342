"""Calls that one sender makes to a destination that is down, counted on virtual time."""

from benchmarks.scale import policy
from message_sender.policy.events import PolicyEvent

CONNECTION_REFUSED_AFTER_US = 1_000
IDLE_US = 1_000_000  # between two looks where the module asks for none
SLOTS, MAX_OPEN = 60, 100


def calls_while_down(fleet_size: int, seconds: float) -> int:
    """Of a sender that is one of `fleet_size` and always has a message for the destination."""
    dispatcher = policy.make_dispatcher(SLOTS, MAX_OPEN, fleet_size=fleet_size)
    dispatcher.handle(0, [policy.full_list(1)])
    now_us, calls, taken = 0, 0, 0
    while now_us < seconds * policy.MICROSECONDS:
        events: list[PolicyEvent] = []
        if not policy.held_count(dispatcher):
            taken += 1
            events.append(policy.taken(f"m{taken}", 0))
        actions = dispatcher.handle(now_us, events)
        while began := policy.sends(actions):
            calls += len(began)
            now_us += CONNECTION_REFUSED_AFTER_US
            actions = dispatcher.handle(now_us, [policy.refused(send) for send in began])
        wake_us = policy.wake_after_us(actions)
        now_us += IDLE_US if wake_us is None else max(wake_us, 1)
    return calls
