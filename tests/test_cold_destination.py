"""A destination that comes back from an outage gets no more calls than the rule on cold destinations allows.

Three real senders, one of which is killed in some runs; the runs of this module are played side by side.
"""

import asyncio
import signal

import pytest
from cold_fleet import Outage, Plan, Result, play_all

HANG_AND_LATE_KILL = Plan(Outage.HUNG, 20, ((8.1, signal.SIGKILL),))
LONG_HANG = Plan(Outage.HUNG, 36)
SILENCE_AND_EARLY_KILL = Plan(Outage.SILENT, 6, ((3.75, signal.SIGKILL),))
PLANS = (HANG_AND_LATE_KILL, LONG_HANG, SILENCE_AND_EARLY_KILL)
PLAY_LIMIT_S = 90


@pytest.fixture(scope="module")
def results(tmp_path_factory: pytest.TempPathFactory) -> dict[Plan, Result]:
    async def play() -> dict[Plan, Result]:
        return await asyncio.wait_for(play_all(tmp_path_factory.mktemp("fleets"), PLANS), PLAY_LIMIT_S)

    return asyncio.run(play())


def test_a_sender_killed_late_in_a_hang_does_not_forget_the_outage(results: dict[Plan, Result]) -> None:
    assert results[HANG_AND_LATE_KILL].peak <= 1


def test_a_destination_that_hung_is_not_taken_for_warmer_than_it_is(results: dict[Plan, Result]) -> None:
    assert results[LONG_HANG].peak <= 1


def test_calls_under_way_in_a_silence_do_not_overload_the_destination(results: dict[Plan, Result]) -> None:
    assert results[SILENCE_AND_EARLY_KILL].peak <= 1
