"""Generated histories from fixed seeds, each on both sides: the same ends, calls and order, no rule
broken."""

import asyncio
import random
import tempfile
from dataclasses import dataclass
from pathlib import Path

import pytest
from faults import until

from conformance.sides import PATIENCE, SIDES, Message, Result, Side
from message_sender.testbed.script import EndpointBehavior, ScriptedAnswer

SEEDS = 240
AT_ONCE = 20  # histories that run side by side in one loop, each with a sender of its own
KINDS = ("safe", "keyed", "zoned", "unsafe", "ordered", "ordered-unsafe")


@dataclass(frozen=True)
class Plan:
    messages: list[Message]
    acts: dict[str, list[ScriptedAnswer]]
    restart_after: int | None  # as the so-manieth message is handed in


def plan(seed: int) -> Plan:
    """At most two attempts at a destination are not served, so that none is ever doubtful (three in a row
    are): from there on its warm-up decides by the clock, in which two runs differ, and that is another
    test's."""
    rng = random.Random(seed)
    messages, acts = [], {}
    bad = {1: 2, 2: 2}
    for number in range(rng.randint(3, 7)):
        kind, destination = rng.choice(KINDS), rng.choice((1, 2))
        key = f"k{rng.randrange(2)}-{destination}" if kind.startswith("ordered") else ""
        name = f"m{number}"
        messages.append(Message(name, kind, destination, key))
        acts[name] = [bad_act(rng) for _ in range(min(rng.randint(0, 2), bad[destination]))]
        bad[destination] -= len(acts[name])
        acts[name].append(ScriptedAnswer(EndpointBehavior.SERVE, rng.choice((0.0, 0.0, 0.02))))
    restart = rng.randrange(len(messages)) if rng.random() < 0.25 else None
    return Plan(messages, acts, restart)


def bad_act(rng: random.Random) -> ScriptedAnswer:
    does = rng.choice(
        (EndpointBehavior.ERROR, EndpointBehavior.FULL, EndpointBehavior.FULL, EndpointBehavior.RESET)
    )
    return ScriptedAnswer(does, rng.choice((0.0, 0.03)) if does is EndpointBehavior.FULL else 0.0)


async def idle(side: Side) -> None:
    """No call is in flight or about to start, so that a restart makes no difference between the two sides.

    An event in the inbox may start the next call of a key, which the restart would cut before its first byte.
    """

    def is_idle() -> bool:
        engine = side.engine()
        return not (engine.attempts.calls or engine.table.arrivals or engine.inbox)

    async with asyncio.timeout(PATIENCE):
        await until(is_idle, 10**9)


async def run(seed: int, kind: type[Side], state: Path) -> Result:
    made = plan(seed)
    async with kind(state, made.acts) as side:
        for number, message in enumerate(made.messages):
            await side.hand_in(message)
            if number == made.restart_after:
                await idle(side)
                await side.restart()
        await side.all_ended(*(each.id for each in made.messages))
        assert side.judge() == [], f"seed {seed}"
        return side.result()


async def both(seed: int, limit: asyncio.Semaphore) -> None:
    async with limit:
        results = []
        for kind in SIDES.values():
            with tempfile.TemporaryDirectory() as state:
                results.append(await run(seed, kind, Path(state)))
        assert results[0] == results[1], f"seed {seed}"


@pytest.fixture(scope="module", autouse=True)
def modules_are_imported() -> None:
    """Plays a history with a restart on each side first, whose result is not looked at: on a fresh checkout
    modules that are compiled and imported in the middle of a history hold its loop up."""

    async def play() -> None:
        seed = next(seed for seed in range(SEEDS) if plan(seed).restart_after is not None)
        for kind in SIDES.values():
            with tempfile.TemporaryDirectory() as state:
                await run(seed, kind, Path(state))

    asyncio.run(asyncio.wait_for(play(), 60))


@pytest.mark.parametrize("first", range(0, SEEDS, 40))
def test_generated_histories_are_alike(first: int) -> None:
    async def all_of_them() -> None:
        limit = asyncio.Semaphore(AT_ONCE)
        await asyncio.gather(*(both(seed, limit) for seed in range(first, first + 40)))

    asyncio.run(asyncio.wait_for(all_of_them(), 8 * PATIENCE))


def test_the_plans_hold_what_they_are_for() -> None:
    made = [plan(seed) for seed in range(SEEDS)]
    does = {act.behavior for each in made for acts in each.acts.values() for act in acts}
    assert does == {
        EndpointBehavior.SERVE,
        EndpointBehavior.ERROR,
        EndpointBehavior.FULL,
        EndpointBehavior.RESET,
    }
    assert {message.kind for each in made for message in each.messages} == set(KINDS)
    assert sum(each.restart_after is not None for each in made) > 30
