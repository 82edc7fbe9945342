"""Forty senders before a limit that none of them sees: what is refused uses it up."""

import pytest
from crowds import Crowd

from message_sender.policy.model import Outcome

TOLD = 60.0


@pytest.mark.parametrize("seed", range(3))
def test_after_a_limit_was_halved_refusals_fade_and_it_is_back_within_seconds(seed: int) -> None:
    crowd = Crowd(TOLD, seed=seed)
    crowd.offer(0.8 * TOLD, until=6)
    crowd.receiver.rate = TOLD / 2
    crowd.offer(0.8 * TOLD, until=16)
    served, refused = (crowd.rate(each, 11, 16) for each in (Outcome.OK, Outcome.FULL))
    assert served > 0.58 * TOLD / 2  # 0.53, where refusals go on using up the next span
    assert refused < 0.35 * TOLD / 2  # 0.57
    crowd.receiver.rate = TOLD
    crowd.offer(0.8 * TOLD, until=24)
    assert crowd.rate(Outcome.OK, 16, 24) > 0.86 * TOLD  # 0.74 to 0.84
