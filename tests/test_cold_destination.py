"""A destination that comes back from an outage gets no more calls than the rule on cold destinations allows.

Real senders, one of which is killed or replaced in some runs; all runs are played side by side.
"""

import asyncio
import signal

import pytest
from cold_fleet import REPLACED, Outage, Plan, Result, play_all

KILL, TERM = signal.SIGKILL, signal.SIGTERM
HANG_AND_LATE_KILL = Plan(Outage.HUNG, 20, ((8.1, KILL),))
LONG_HANG = Plan(Outage.HUNG, 36)
SILENCE_AND_EARLY_KILL = Plan(Outage.SILENT, 6, ((3.75, KILL),))
RELATED = {
    "kill before the outage is known": Plan(Outage.HUNG, 20, ((0.3, KILL),)),
    "kill behind the return": Plan(Outage.HUNG, 20, ((9.5, KILL),)),
    "two kills in a row": Plan(Outage.HUNG, 20, ((7.0, KILL), (8.2, KILL))),
    "SIGTERM": Plan(Outage.HUNG, 20, ((4.7, TERM),)),
    "successor": Plan(Outage.HUNG, 20, ((8.0, REPLACED),)),
    "kill in a silence, few calls": Plan(Outage.SILENT, 3, ((7.7, KILL),), seed=2),
    "kill in a silence, calls given up": Plan(Outage.SILENT, 12, ((3.75, KILL),), effect="repeatable"),
    "kill, a route of its own": Plan(Outage.HUNG, 9, ((7.7, KILL),), seed=2, has_separate_routes=True),
    "kill while refused": Plan(Outage.REFUSED, 20, ((8.1, KILL),)),
    "kill in a Retry-After": Plan(Outage.RETRY_AFTER, 20, ((8.1, KILL),)),
    "a Retry-After over the end of the outage": Plan(Outage.RETRY_AFTER, 20, wait_s=10.0),
    "five senders in a silence": Plan(Outage.SILENT, 6, ((3.75, KILL),), senders=5),
    "many slots in a silence": Plan(Outage.SILENT, 20, slots=64),
    "second half of a long silence": Plan(Outage.SILENT, 20, out_s=16, effect="once"),
}
PLANS = (HANG_AND_LATE_KILL, LONG_HANG, SILENCE_AND_EARLY_KILL, *RELATED.values())
PLAY_LIMIT_S = 120


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


@pytest.mark.parametrize("name", RELATED)
def test_no_outage_and_life_of_a_process_overloads_the_destination(
    name: str, results: dict[Plan, Result]
) -> None:
    result = results[RELATED[name]]
    assert result.peak <= 1
    assert result.served > 0 and result.served_before > 0
