"""Forty senders share a rate limit that none of them knows, and that refused calls count against."""

import pytest
from large_fleet import LargeFleet

from message_sender.policy.model import Outcome

ANNOUNCED_RATE = 60.0


@pytest.mark.parametrize("seed", range(3))
def test_refusals_fade_after_a_limit_is_halved_and_the_rate_recovers_within_seconds(seed: int) -> None:
    fleet = LargeFleet(ANNOUNCED_RATE, seed=seed)
    fleet.offer(0.8 * ANNOUNCED_RATE, until=6)
    fleet.receiver.rate = ANNOUNCED_RATE / 2
    fleet.offer(0.8 * ANNOUNCED_RATE, until=16)
    served, refused = (fleet.rate(each, 11, 16) for each in (Outcome.OK, Outcome.FULL))
    assert served > 0.58 * ANNOUNCED_RATE / 2  # 0.53 if refusals keep using up the next window
    assert refused < 0.35 * ANNOUNCED_RATE / 2  # 0.57 in that case
    fleet.receiver.rate = ANNOUNCED_RATE
    fleet.offer(0.8 * ANNOUNCED_RATE, until=24)
    assert fleet.rate(Outcome.OK, 16, 24) > 0.86 * ANNOUNCED_RATE  # 0.74 to 0.84 in that case
