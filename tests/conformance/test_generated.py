"""Runs histories from fixed seeds on both sides: equal results, and no violation of a rule."""

import asyncio
import random
import tempfile
from dataclasses import dataclass
from pathlib import Path

import pytest
from socket_faults import until

from conformance.sides import SIDES, TIMEOUT_S, Message, Result, Side
from message_sender.policy.model import Outcome
from message_sender.testbed.script import EndpointBehavior, ScriptedAnswer

SEEDS = 240
CONCURRENT_HISTORIES = 20  # in one event loop, each with its own sender
MESSAGE_CLASSES = ("safe", "keyed", "zoned", "unsafe", "ordered", "ordered-unsafe")


@dataclass(frozen=True)
class Plan:
    """The messages of a history, the scripted answers of each, and when the sender restarts."""

    messages: list[Message]
    answers: dict[str, list[ScriptedAnswer]]
    restart_after: int | None  # the index of the message after whose submission the sender restarts


def draw_plan(seed: int) -> Plan:
    """Draws the plan of a seed.

    At most two attempts per destination are not served. Three in a row would open the destination's breaker;
    its slow start would then depend on the clock, which differs between two runs. Other tests cover it. So it
    would behind a restart if two attempts, one of them refused, came before it: then only one is not served.
    """
    rng = random.Random(seed)
    messages, answers = [], {}
    failures_left = {1: 2, 2: 2}
    for number in range(rng.randint(3, 7)):
        message_class, destination = rng.choice(MESSAGE_CLASSES), rng.choice((1, 2))
        key = f"k{rng.randrange(2)}-{destination}" if message_class.startswith("ordered") else ""
        name = f"m{number}"
        messages.append(Message(name, message_class, destination, key))
        answers[name] = [draw_failure(rng) for _ in range(min(rng.randint(0, 2), failures_left[destination]))]
        failures_left[destination] -= len(answers[name])
        answers[name].append(ScriptedAnswer(EndpointBehavior.SERVE, rng.choice((0.0, 0.0, 0.02))))
    restart = rng.randrange(len(messages)) if rng.random() < 0.25 else None
    if restart is not None:
        for destination in failures_left:
            keep_one_failure([answers[each.id] for each in messages if each.destination == destination])
    return Plan(messages, answers, restart)


def keep_one_failure(answers: list[list[ScriptedAnswer]]) -> None:
    """Drops the failures of a destination behind the first one, if one of them is a refusal."""
    failures = [(each, answer) for each in answers for answer in each[:-1]]
    if any(answer.behavior is EndpointBehavior.FULL for _, answer in failures):
        for each, answer in failures[1:]:
            each.remove(answer)


def draw_failure(rng: random.Random) -> ScriptedAnswer:
    behavior = rng.choice(
        (EndpointBehavior.ERROR, EndpointBehavior.FULL, EndpointBehavior.FULL, EndpointBehavior.RESET)
    )
    return ScriptedAnswer(behavior, rng.choice((0.0, 0.03)) if behavior is EndpointBehavior.FULL else 0.0)


async def wait_until_idle(side: Side) -> None:
    """Waits until no call is in flight or about to start, so that a restart has equal effects on both sides.

    An event in the inbox may start the next call of a key, which a restart would abort before its first byte.
    """

    def is_idle() -> bool:
        engine = side.engine()
        return not (engine.attempts.calls or engine.table.arrivals or engine.inbox)

    async with asyncio.timeout(TIMEOUT_S):
        await until(is_idle, 10**9)


async def run_history(seed: int, side_type: type[Side], state: Path) -> Result:
    """Runs the history of a seed on one side and returns its result."""
    plan = draw_plan(seed)
    async with side_type(state, plan.answers) as side:
        for number, message in enumerate(plan.messages):
            await side.submit(message)
            if number == plan.restart_after:
                await wait_until_idle(side)
                await side.restart()
        await side.wait_until_completed(*(each.id for each in plan.messages))
        assert side.find_violations() == [], f"seed {seed}"
        return side.collect_result()


async def compare_sides(seed: int, limit: asyncio.Semaphore) -> None:
    async with limit:
        results = []
        for side_type in SIDES.values():
            with tempfile.TemporaryDirectory() as state:
                results.append(await run_history(seed, side_type, Path(state)))
        assert results[0] == results[1], f"seed {seed}"


@pytest.fixture(scope="module", autouse=True)
def modules_are_imported() -> None:
    """Runs one history with a restart on each side and ignores its result.

    On a fresh checkout, compiling and importing modules during a history would block its event loop.
    """

    async def run_once() -> None:
        seed = next(seed for seed in range(SEEDS) if draw_plan(seed).restart_after is not None)
        for side_type in SIDES.values():
            with tempfile.TemporaryDirectory() as state:
                await run_history(seed, side_type, Path(state))

    asyncio.run(asyncio.wait_for(run_once(), 60))


@pytest.mark.parametrize("first", range(0, SEEDS, 40))
def test_generated_histories_have_equal_results_on_both_sides(first: int) -> None:
    async def compare_all() -> None:
        limit = asyncio.Semaphore(CONCURRENT_HISTORIES)
        await asyncio.gather(*(compare_sides(seed, limit) for seed in range(first, first + 40)))

    asyncio.run(asyncio.wait_for(compare_all(), 8 * TIMEOUT_S))


async def restart_behind_two_refusals(side_type: type[Side], state: Path) -> Result:
    refusal = ScriptedAnswer(EndpointBehavior.FULL, 0.03)
    answers = {"m0": [refusal, refusal, ScriptedAnswer(EndpointBehavior.SERVE)]}
    async with side_type(state, answers) as side:
        await side.submit(Message("m0", "safe", 1, ""))

        def is_refused_twice() -> bool:
            attempts = side.engine().journal.entries["m0"].attempts.values()
            return [each.outcome for each in attempts] == [Outcome.FULL, Outcome.FULL]

        async with asyncio.timeout(TIMEOUT_S):
            await until(is_refused_twice, 10**9)
        await side.restart()
        await side.wait_until_completed("m0")
        assert side.find_violations() == []
        return side.collect_result()


def test_a_restart_behind_two_refusals_has_equal_results_on_both_sides(tmp_path: Path) -> None:
    results = []
    for name, side_type in SIDES.items():
        state = tmp_path / name
        state.mkdir()
        results.append(asyncio.run(asyncio.wait_for(restart_behind_two_refusals(side_type, state), 60)))
    assert results[0] == results[1]


def test_plans_contain_all_behaviors_and_classes_and_enough_restarts() -> None:
    plans = [draw_plan(seed) for seed in range(SEEDS)]
    behaviors = {answer.behavior for each in plans for answers in each.answers.values() for answer in answers}
    assert behaviors == {
        EndpointBehavior.SERVE,
        EndpointBehavior.ERROR,
        EndpointBehavior.FULL,
        EndpointBehavior.RESET,
    }
    assert {message.message_class for each in plans for message in each.messages} == set(MESSAGE_CLASSES)
    assert sum(each.restart_after is not None for each in plans) > 30
