"""How many calls a destination may have under way from this sender while nothing comes back from it. Pure.

A destination that has fallen silent begins all calls that it has received when it returns, and is cold then.
The rules are in `outage`; this module applies them to a breaker.
"""

from message_sender.policy.breaker import FAILURE_THRESHOLD, RESET_TIMEOUT_US, Breaker
from message_sender.policy.outage import SHARE_AT_RETURN

SILENCE_DEVIATIONS = 2  # a destination is silent if nothing comes back for this many above the mean latency
MIN_LATENCY_FRACTION = 1 / 8  # of the shortest latency objective: no shorter time is a silence
MIN_UNANSWERED = 2  # one for each of two endpoints, of which one may be out alone


def silence_after(breaker: Breaker) -> float:
    """Returns after which time without any answer the destination is silent, us."""
    usual = breaker.mean_latency + SILENCE_DEVIATIONS * breaker.latency_deviation
    return max(usual, breaker.context.min_latency_objective * MIN_LATENCY_FRACTION)


def part_of_return_calls(breaker: Breaker) -> float:
    """Returns this sender's part of the calls that the destination may get when it returns."""
    fleet_size = breaker.context.settings.fleet_size
    gap = min(breaker.announced_gap, breaker.success_time / breaker.success_count)
    return breaker.outage.part_of_return_calls(1e6 * fleet_size / gap)


def unanswered_minimum(breaker: Breaker) -> int:
    """Returns how many calls are always possible: in a small fleet as many as open the breaker."""
    return FAILURE_THRESHOLD if breaker.context.fleet_factor <= 1 else MIN_UNANSWERED


def unanswered_limit(breaker: Breaker) -> int:
    """Returns how many calls without an answer the destination may have."""
    return max(int(part_of_return_calls(breaker)), unanswered_minimum(breaker))


def is_limited(breaker: Breaker) -> bool:
    """Whether calls without an answer are limited.

    They are not in a large fleet in which the least number of calls of each member is above its part: no
    number holds the rule there, and the members' calls are spread in time.
    """
    if breaker.context.fleet_factor <= 1:
        return True
    return part_of_return_calls(breaker) >= SHARE_AT_RETURN * MIN_UNANSWERED


def has_room(breaker: Breaker, now: int) -> bool:
    """Whether the destination may get one more call at this time, us."""
    outage = breaker.outage
    if outage.unanswered < MIN_UNANSWERED or not breaker.in_flight:
        return True
    if not outage.is_silent(now, silence_after(breaker)) or outage.unanswered < unanswered_limit(breaker):
        return True
    return not is_limited(breaker)


def shows_outage(breaker: Breaker, now: int) -> bool:
    """Whether the destination is out, since all calls in flight are overdue and nothing comes back from it.

    Either it has all calls that it may have, or more than one call and a reset timeout have passed.
    """
    if not is_limited(breaker):
        return False
    outage = breaker.outage
    is_long = outage.unanswered > 1 and now - outage.quiet_since >= RESET_TIMEOUT_US
    return is_exhausted(breaker) or (is_long and not breaker.on_time_calls)


def is_exhausted(breaker: Breaker) -> bool:
    """Whether the destination has all calls that it may have, and none of them has come back in time."""
    return not breaker.on_time_calls and breaker.outage.unanswered >= unanswered_limit(breaker)
