"""Each scenario on both sides: the ends, the calls and the order that it names, and no rule broken."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from conformance.sides import PATIENCE, SIDES, Message, Side
from message_sender.testbed.script import EndpointBehavior, ScriptedAnswer

ERROR, RESET = ScriptedAnswer(EndpointBehavior.ERROR), ScriptedAnswer(EndpointBehavior.RESET)
FULL, WAIT = ScriptedAnswer(EndpointBehavior.FULL), ScriptedAnswer(EndpointBehavior.FULL, 0.2)
STALL, SERVE, SLOW = (
    ScriptedAnswer(EndpointBehavior.STALL),
    ScriptedAnswer(EndpointBehavior.SERVE),
    ScriptedAnswer(EndpointBehavior.SERVE, 0.15),
)
Step = Callable[[Side], Awaitable[None]]


@dataclass(frozen=True)
class Scenario:
    name: str
    messages: Sequence[Message]
    ends: dict[str, str]
    calls: dict[str, int]
    acts: dict[str, Sequence[ScriptedAnswer]] = field(default_factory=dict)
    order: dict[str, list[str]] = field(default_factory=dict)
    limits: dict[str, object] = field(default_factory=dict)
    between: Step | None = None  # after the last is handed in
    untold: Sequence[str] = ()  # messages whose end nobody is told


def one(
    name: str, kind: str, acts: Sequence[ScriptedAnswer], end: str, calls: int, **more: object
) -> Scenario:
    told = Message("m", kind, **more)  # type: ignore[arg-type]
    return Scenario(name, [told], {"m": end}, {"m": calls} if calls else {}, {"m": acts})


def line(
    name: str, kind: str, acts: dict[str, Sequence[ScriptedAnswer]], ends: str, calls: Sequence[int]
) -> Scenario:
    """Three messages of one key, handed in one after the other."""
    ids = ("m1", "m2", "m3")
    states = {"d": "delivered", "f": "failed", "r": "refused"}
    told = [Message(each, kind, key="k") for each in ids]
    return Scenario(
        name,
        told,
        {each: states[end] for each, end in zip(ids, ends, strict=True)},
        dict(zip(ids, calls, strict=True)),
        acts,
        {"k": list(ids)},
    )


async def restart_while_out(side: Side) -> None:
    await side.came("m")
    await side.restart()


async def restart_in_the_middle_of_a_line(side: Side) -> None:
    await side.came("m1")
    await side.restart()


async def drain_the_endpoint(side: Side) -> None:
    """What is out may end; what is new goes to the other one."""
    directory = side.engine().directory
    directory = getattr(directory, "source", directory)  # on the daemon's side overrides lie over it
    await side.came("m")
    first = next(each.endpoint for each in side.history.events if type(each).__name__ == "AttemptStarted")
    directory.drain(first)
    side.drained = first  # type: ignore[attr-defined]


async def the_same_again(side: Side) -> None:
    """A hand-in once more under its id, after it is over, is not a second message."""
    await side.all_ended("m")


NEVER = {"destination": 9, "time_left": 0.3}
SCENARIOS = [
    *(one(f"a {kind} message is delivered", kind, [SERVE], "delivered", 1) for kind in ("safe", "keyed")),
    *(one(f"a {kind} message is delivered", kind, [SERVE], "delivered", 1) for kind in ("zoned", "unsafe")),
    one("a slow answer is an answer", "unsafe", [SLOW], "delivered", 1),
    one("a safe message is sent again after an error", "safe", [ERROR, SERVE], "delivered", 2),
    one("a keyed message is sent again after an error", "keyed", [ERROR, SERVE], "delivered", 2),
    one("an unsafe message is not sent again after an error", "unsafe", [ERROR, SERVE], "failed", 1),
    one("a safe message is sent again after a break", "safe", [RESET, SERVE], "delivered", 2),
    one("a keyed message is sent again after a break", "keyed", [RESET, SERVE], "delivered", 2),
    one("a zoned message is sent again after a break", "zoned", [RESET, SERVE], "delivered", 2),
    one("an unsafe message is not sent again after a break", "unsafe", [RESET, SERVE], "failed", 1),
    one("a safe message outlives two errors", "safe", [ERROR, ERROR, SERVE], "delivered", 3),
    one("a keyed message outlives an error and a break", "keyed", [ERROR, RESET, SERVE], "delivered", 3),
    one("an unsafe message turned away is sent again", "unsafe", [FULL, SERVE], "delivered", 2),
    one("an unsafe message turned away twice is sent again", "unsafe", [FULL, FULL, SERVE], "delivered", 3),
    one("a safe message turned away is sent again", "safe", [FULL, SERVE], "delivered", 2),
    one("a keyed message turned away is sent again", "keyed", [FULL, SERVE], "delivered", 2),
    one("a told wait is heeded", "safe", [WAIT, SERVE], "delivered", 2),
    one("a told wait is heeded by an unsafe message", "unsafe", [WAIT, SERVE], "delivered", 2),
    one("two told waits are heeded", "keyed", [WAIT, WAIT, SERVE], "delivered", 3),
    one("turned away, then broken off", "unsafe", [FULL, RESET, SERVE], "failed", 2),
    one("turned away, then an error", "unsafe", [WAIT, ERROR, SERVE], "failed", 2),
    one("in another zone nothing drops the repeat", "zoned", [RESET, SERVE], "delivered", 2, destination=1),
    one("a safe message may go anywhere", "safe", [RESET, SERVE], "delivered", 2, destination=1),
    one("a call that hangs fails an unsafe message", "unsafe", [STALL], "failed", 1, time_left=0.6),
    one("a call that hangs to the end leaves a safe one", "safe", [STALL], "refused", 1, time_left=0.6),
    one("a zoned message that may have run is not refused", "zoned", [STALL], "failed", 1, time_left=0.6),
    one("nowhere to go: refused in time", "safe", [], "refused", 0, **NEVER),
    one("nowhere to go: an unsafe one is refused too", "unsafe", [], "refused", 0, **NEVER),
    one("nowhere to go: a zoned one is refused too", "zoned", [], "refused", 0, **NEVER),
    one("no time at all: turned away at once", "safe", [], "turned away", 0, time_left=0.0),
    one("no time at all: an unsafe one too", "unsafe", [], "turned away", 0, time_left=0.0),
    line("a key goes in order", "ordered", {}, "ddd", (1, 1, 1)),
    line("a key waits for a slow one", "ordered", {"m1": [SLOW]}, "ddd", (1, 1, 1)),
    line("a key waits through an error", "ordered", {"m1": [ERROR, SERVE]}, "ddd", (2, 1, 1)),
    line("a key rests after a break", "ordered", {"m1": [RESET, SERVE]}, "ddd", (2, 1, 1)),
    line("a key waits while one is turned away", "ordered", {"m2": [FULL, SERVE]}, "ddd", (1, 2, 1)),
    line("a key waits out a told wait", "ordered", {"m1": [WAIT, SERVE]}, "ddd", (2, 1, 1)),
    line("a key goes on after a failure", "ordered-unsafe", {"m1": [RESET]}, "fdd", (1, 1, 1)),
    line("a key goes on after a failure in the middle", "ordered-unsafe", {"m2": [ERROR]}, "dfd", (1, 1, 1)),
    line("a key rests after the last break too", "ordered", {"m3": [RESET, SERVE]}, "ddd", (1, 1, 2)),
    Scenario(
        "keys do not wait for each other",
        [Message("m1", "ordered", key="k"), Message("m2", "ordered", key="l")],
        {"m1": "delivered", "m2": "delivered"},
        {"m1": 1, "m2": 1},
        {"m1": [SLOW]},
        {"k": ["m1"], "l": ["m2"]},
    ),
    Scenario(
        "no more is held than allowed",
        [Message(f"m{each}", destination=9, time_left=0.4) for each in range(3)],
        {"m0": "refused", "m1": "refused", "m2": "refused"},
        {},
        limits={"max_open": 2},
    ),
    Scenario(
        "a safe message out at a restart goes again",
        [Message("m", "safe")],
        {"m": "delivered"},
        {"m": 2},
        {"m": [STALL, SERVE]},
        between=restart_while_out,
    ),
    Scenario(
        "a keyed message out at a restart goes again within its window",
        [Message("m", "keyed")],
        {"m": "delivered"},
        {"m": 2},
        {"m": [STALL, SERVE]},
        between=restart_while_out,
    ),
    Scenario(
        "an unsafe message out at a restart does not go again",
        [Message("m", "unsafe")],
        {"m": "failed"},
        {"m": 1},
        {"m": [STALL, SERVE]},
        between=restart_while_out,
    ),
    Scenario(
        "a key half sent at a restart goes on in its order",
        [Message(each, "ordered", key="k") for each in ("m1", "m2", "m3")],
        {"m1": "delivered", "m2": "delivered", "m3": "delivered"},
        {"m1": 2, "m2": 1, "m3": 1},
        {"m1": [STALL, SERVE]},
        {"k": ["m1", "m2", "m3"]},
        between=restart_in_the_middle_of_a_line,
    ),
    Scenario(
        "an unsafe key half sent at a restart goes on in its order",
        [Message(each, "ordered-unsafe", key="k") for each in ("m1", "m2", "m3")],
        {"m1": "failed", "m2": "delivered", "m3": "delivered"},
        {"m1": 1, "m2": 1, "m3": 1},
        {"m1": [STALL]},
        {"k": ["m1", "m2", "m3"]},
        between=restart_in_the_middle_of_a_line,
    ),
    Scenario(
        "a drained endpoint gets nothing new",
        [Message("m", "safe", destination=1)],
        {"m": "delivered"},
        {"m": 2},
        {"m": [ScriptedAnswer(EndpointBehavior.FULL, 0.0), SERVE]},
        between=drain_the_endpoint,
    ),
    Scenario(
        "one message is not two",
        [Message("m", "unsafe")],
        {"m": "delivered"},
        {"m": 1},
        between=the_same_again,
    ),
]


def test_there_are_enough_of_them() -> None:
    assert len(SCENARIOS) >= 40 and len({each.name for each in SCENARIOS}) == len(SCENARIOS)


async def play(scenario: Scenario, kind: type[Side], state: Path) -> None:
    async with kind(state, scenario.acts, **scenario.limits) as side:
        for message in scenario.messages:
            await side.hand_in(message)
        if scenario.between:
            await scenario.between(side)
        await side.all_ended(*scenario.ends)
        result = side.result()
        assert result.ends == scenario.ends
        assert result.attempts == scenario.calls
        assert result.order == scenario.order
        assert side.judge() == []
        assert not side.engine().journal.entries


@pytest.mark.parametrize("side", SIDES)
@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda each: each.name.replace(" ", "-"))
def test_scenario(scenario: Scenario, side: str, tmp_path: Path) -> None:
    asyncio.run(asyncio.wait_for(play(scenario, SIDES[side], tmp_path), 2 * PATIENCE))
