"""Runs each scenario on both sides: expected final states, calls and order, and no violation of a rule."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from conformance.sides import SIDES, TIMEOUT_S, Message, Side
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
    """Messages, the scripted answers to them, and the expected results.

    Attributes:
        final_states: The expected final state of each message, by message id.
        calls: The expected number of calls for each message that is called at all.
        answers: The scripted answers to the calls for each message; messages without an entry are served.
        order: The expected messages of each key in the order of their first calls.
        limits: The limits of the sender.
        after_submission: Runs after the last message is submitted.
        unreported: Messages whose completion is not reported.
    """

    name: str
    messages: Sequence[Message]
    final_states: dict[str, str]
    calls: dict[str, int]
    answers: dict[str, Sequence[ScriptedAnswer]] = field(default_factory=dict)
    order: dict[str, list[str]] = field(default_factory=dict)
    limits: dict[str, object] = field(default_factory=dict)
    after_submission: Step | None = None
    unreported: Sequence[str] = ()


def single(
    name: str,
    message_class: str,
    answers: Sequence[ScriptedAnswer],
    final_state: str,
    calls: int,
    **message_fields: object,
) -> Scenario:
    """Returns a scenario with one message; `message_fields` are further fields of the message."""
    message = Message("m", message_class, **message_fields)  # type: ignore[arg-type]
    return Scenario(name, [message], {"m": final_state}, {"m": calls} if calls else {}, {"m": answers})


def key_sequence(
    name: str,
    message_class: str,
    answers: dict[str, Sequence[ScriptedAnswer]],
    final_states: str,
    calls: Sequence[int],
) -> Scenario:
    """Returns a scenario with three messages of one key, submitted one after another.

    `final_states` has one letter per message: d for delivered, f for failed, r for refused.
    """
    ids = ("m1", "m2", "m3")
    states = {"d": "delivered", "f": "failed", "r": "refused"}
    messages = [Message(each, message_class, key="k") for each in ids]
    return Scenario(
        name,
        messages,
        {each: states[letter] for each, letter in zip(ids, final_states, strict=True)},
        dict(zip(ids, calls, strict=True)),
        answers,
        {"k": list(ids)},
    )


async def restart_with_a_call_in_flight(side: Side) -> None:
    await side.wait_for_calls("m")
    await side.restart()


async def restart_during_a_key_sequence(side: Side) -> None:
    await side.wait_for_calls("m1")
    await side.restart()


async def drain_the_endpoint(side: Side) -> None:
    """Drains the endpoint of the first attempt: its calls in flight may end, new calls use the other one."""
    directory = side.engine().directory
    directory = getattr(directory, "source", directory)  # the daemon wraps its directory to apply overrides
    await side.wait_for_calls("m")
    endpoint = next(each.endpoint for each in side.history.events if type(each).__name__ == "AttemptStarted")
    directory.drain(endpoint)
    side.drained = endpoint  # type: ignore[attr-defined]


async def wait_for_completion(side: Side) -> None:
    """Waits until the message has a final state."""
    await side.wait_until_completed("m")


NO_ENDPOINT = {"destination": 9, "time_left": 0.3}
SCENARIOS = [
    *(single(f"a {name} message is delivered", name, [SERVE], "delivered", 1) for name in ("safe", "keyed")),
    *(
        single(f"a {name} message is delivered", name, [SERVE], "delivered", 1)
        for name in ("zoned", "unsafe")
    ),
    single("a slow answer is accepted", "unsafe", [SLOW], "delivered", 1),
    single("a safe message is retried after an error", "safe", [ERROR, SERVE], "delivered", 2),
    single("a keyed message is retried after an error", "keyed", [ERROR, SERVE], "delivered", 2),
    single("an unsafe message is not retried after an error", "unsafe", [ERROR, SERVE], "failed", 1),
    single("a safe message is retried after a reset", "safe", [RESET, SERVE], "delivered", 2),
    single("a keyed message is retried after a reset", "keyed", [RESET, SERVE], "delivered", 2),
    single("a zoned message is retried after a reset", "zoned", [RESET, SERVE], "delivered", 2),
    single("an unsafe message is not retried after a reset", "unsafe", [RESET, SERVE], "failed", 1),
    single("a safe message is delivered after two errors", "safe", [ERROR, ERROR, SERVE], "delivered", 3),
    single(
        "a keyed message is delivered after an error and a reset",
        "keyed",
        [ERROR, RESET, SERVE],
        "delivered",
        3,
    ),
    single("a rejected unsafe message is retried", "unsafe", [FULL, SERVE], "delivered", 2),
    single(
        "an unsafe message is retried after two rejections", "unsafe", [FULL, FULL, SERVE], "delivered", 3
    ),
    single("a rejected safe message is retried", "safe", [FULL, SERVE], "delivered", 2),
    single("a rejected keyed message is retried", "keyed", [FULL, SERVE], "delivered", 2),
    single("a retry delay is observed", "safe", [WAIT, SERVE], "delivered", 2),
    single("a retry delay is observed for an unsafe message", "unsafe", [WAIT, SERVE], "delivered", 2),
    single("two retry delays are observed", "keyed", [WAIT, WAIT, SERVE], "delivered", 3),
    single("a rejection then a reset", "unsafe", [FULL, RESET, SERVE], "failed", 2),
    single("a rejection then an error", "unsafe", [WAIT, ERROR, SERVE], "failed", 2),
    # Each zone deduplicates separately, so the retry has to stay in the zone of the first attempt.
    single("a zoned message is retried in its zone", "zoned", [RESET, SERVE], "delivered", 2, destination=1),
    single(
        "a safe message may be retried in any zone", "safe", [RESET, SERVE], "delivered", 2, destination=1
    ),
    single("a stalled call fails an unsafe message", "unsafe", [STALL], "failed", 1, time_left=0.6),
    single("a stalled call leaves a safe message refused", "safe", [STALL], "refused", 1, time_left=0.6),
    single("a zoned message that may have run is not refused", "zoned", [STALL], "failed", 1, time_left=0.6),
    single("no endpoint: a safe message is refused", "safe", [], "refused", 0, **NO_ENDPOINT),
    single("no endpoint: an unsafe message is refused", "unsafe", [], "refused", 0, **NO_ENDPOINT),
    single("no endpoint: a zoned message is refused", "zoned", [], "refused", 0, **NO_ENDPOINT),
    single("no time left: a safe message is rejected", "safe", [], "rejected", 0, time_left=0.0),
    single("no time left: an unsafe message is rejected", "unsafe", [], "rejected", 0, time_left=0.0),
    key_sequence("a key keeps its order", "ordered", {}, "ddd", (1, 1, 1)),
    key_sequence("a key waits for a slow message", "ordered", {"m1": [SLOW]}, "ddd", (1, 1, 1)),
    key_sequence("a key waits through an error", "ordered", {"m1": [ERROR, SERVE]}, "ddd", (2, 1, 1)),
    key_sequence("a key pauses after a reset", "ordered", {"m1": [RESET, SERVE]}, "ddd", (2, 1, 1)),
    key_sequence("a key waits for a rejected message", "ordered", {"m2": [FULL, SERVE]}, "ddd", (1, 2, 1)),
    key_sequence("a key waits for a retry delay", "ordered", {"m1": [WAIT, SERVE]}, "ddd", (2, 1, 1)),
    key_sequence("a key continues after a failure", "ordered-unsafe", {"m1": [RESET]}, "fdd", (1, 1, 1)),
    key_sequence(
        "a key continues after a failure of its second message",
        "ordered-unsafe",
        {"m2": [ERROR]},
        "dfd",
        (1, 1, 1),
    ),
    key_sequence(
        "a key pauses after a reset of its last message", "ordered", {"m3": [RESET, SERVE]}, "ddd", (1, 1, 2)
    ),
    Scenario(
        "keys do not wait for each other",
        [Message("m1", "ordered", key="k"), Message("m2", "ordered", key="l")],
        {"m1": "delivered", "m2": "delivered"},
        {"m1": 1, "m2": 1},
        {"m1": [SLOW]},
        {"k": ["m1"], "l": ["m2"]},
    ),
    Scenario(
        "the limit of held messages is observed",
        [Message(f"m{each}", destination=9, time_left=0.4) for each in range(3)],
        {"m0": "refused", "m1": "refused", "m2": "refused"},
        {},
        limits={"max_open": 2},
    ),
    Scenario(
        "a safe message in flight at a restart is retried",
        [Message("m", "safe")],
        {"m": "delivered"},
        {"m": 2},
        {"m": [STALL, SERVE]},
        after_submission=restart_with_a_call_in_flight,
    ),
    Scenario(
        "a keyed message in flight at a restart is retried within its window",
        [Message("m", "keyed")],
        {"m": "delivered"},
        {"m": 2},
        {"m": [STALL, SERVE]},
        after_submission=restart_with_a_call_in_flight,
    ),
    Scenario(
        "an unsafe message in flight at a restart is not retried",
        [Message("m", "unsafe")],
        {"m": "failed"},
        {"m": 1},
        {"m": [STALL, SERVE]},
        after_submission=restart_with_a_call_in_flight,
    ),
    Scenario(
        "a key in flight at a restart continues in order",
        [Message(each, "ordered", key="k") for each in ("m1", "m2", "m3")],
        {"m1": "delivered", "m2": "delivered", "m3": "delivered"},
        {"m1": 2, "m2": 1, "m3": 1},
        {"m1": [STALL, SERVE]},
        {"k": ["m1", "m2", "m3"]},
        after_submission=restart_during_a_key_sequence,
    ),
    Scenario(
        "an unsafe key in flight at a restart continues in order",
        [Message(each, "ordered-unsafe", key="k") for each in ("m1", "m2", "m3")],
        {"m1": "failed", "m2": "delivered", "m3": "delivered"},
        {"m1": 1, "m2": 1, "m3": 1},
        {"m1": [STALL]},
        {"k": ["m1", "m2", "m3"]},
        after_submission=restart_during_a_key_sequence,
    ),
    Scenario(
        "a draining endpoint gets no new calls",
        [Message("m", "safe", destination=1)],
        {"m": "delivered"},
        {"m": 2},
        {"m": [ScriptedAnswer(EndpointBehavior.FULL, 0.0), SERVE]},
        after_submission=drain_the_endpoint,
    ),
    Scenario(
        "an unsafe message is called once",
        [Message("m", "unsafe")],
        {"m": "delivered"},
        {"m": 1},
        after_submission=wait_for_completion,
    ),
]


def test_at_least_40_scenarios_with_unique_names() -> None:
    assert len(SCENARIOS) >= 40 and len({each.name for each in SCENARIOS}) == len(SCENARIOS)


async def run_scenario(scenario: Scenario, side_type: type[Side], state: Path) -> None:
    async with side_type(state, scenario.answers, **scenario.limits) as side:
        for message in scenario.messages:
            await side.submit(message)
        if scenario.after_submission:
            await scenario.after_submission(side)
        await side.wait_until_completed(*scenario.final_states)
        result = side.collect_result()
        assert result.final_states == scenario.final_states
        assert result.attempts == scenario.calls
        assert result.order == scenario.order
        assert side.find_violations() == []
        assert not side.engine().journal.entries


@pytest.mark.parametrize("side", SIDES)
@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda each: each.name.replace(" ", "-"))
def test_scenario_has_its_expected_result(scenario: Scenario, side: str, tmp_path: Path) -> None:
    asyncio.run(asyncio.wait_for(run_scenario(scenario, SIDES[side], tmp_path), 2 * TIMEOUT_S))
