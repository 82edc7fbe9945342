"""Decisions and outcomes are unchanged: compares digests of recorded event streams and scenarios.

The digests were made by version 0.2.0, those of streams and scenarios with outages anew after a change of the
warm-up (docs/incidents/2026-12-06-calls-at-a-cold-destination.md). They cover values, and the names that the
program's figures have in files, but no name of a class or a field of the program.
"""

import dataclasses
import hashlib
import json
from enum import Enum
from pathlib import Path
from typing import Any

import pytest

from message_sender import Dispatcher
from message_sender.cli.emulate_scenario import load_scenario, run_scenario
from message_sender.emulator.policies import OWN_POLICY
from message_sender.policy.actions import (
    CancelAttempt,
    CloseIdle,
    Fail,
    LogLine,
    PolicyAction,
    Reject,
    Send,
    Subscribe,
    WakeAfter,
)
from message_sender.policy.events import PolicyEvent
from message_sender.testbed import event_stream

SCENARIOS = Path(__file__).parents[2] / "scenarios"
DIGESTS = json.loads((Path(__file__).parent / "digests.json").read_text())
STREAMS = 12
RATES = (30, 60, 120)  # messages a second, in turn
#: The digests identify each type of action by its position here.
ACTIONS = (
    Send, Reject, Fail, CancelAttempt, WakeAfter, Subscribe, CloseIdle,
    LogLine,
)  # fmt: skip


def values(item: object) -> Any:  # noqa: ANN401
    """Returns the values of a dataclass in the order of its fields, without any names."""
    if isinstance(item, Enum):
        return item.value
    if dataclasses.is_dataclass(item):
        return [values(getattr(item, each.name)) for each in dataclasses.fields(item)]
    return [values(each) for each in item] if isinstance(item, tuple | list) else item


def stream_digest(seed: int) -> tuple[int, str]:
    """Returns the number of iterations of the policy on a stream, and a digest of its events and actions."""
    world = event_stream.StreamWorld(event_stream.StreamShape(rate=RATES[seed % len(RATES)]), seed)
    dispatcher = Dispatcher(world.settings, seed)
    digest, calls = hashlib.sha256(), 0

    def record(now: int, events: list[PolicyEvent], actions: list[PolicyAction]) -> None:
        nonlocal calls
        calls += 1
        action_values = [[ACTIONS.index(type(each)), values(each)] for each in actions]
        digest.update(json.dumps([now, [values(each) for each in events], action_values]).encode())

    world.run(dispatcher.handle, record)
    return calls, digest.hexdigest()


def scenario_digest(name: str) -> str:
    """Returns a digest of all figures of a scenario run with its own seed."""
    scenario = load_scenario(SCENARIOS / f"{name}.toml", ())
    outcomes = run_scenario(scenario, scenario.seed, OWN_POLICY)
    return hashlib.sha256(json.dumps(outcomes.as_json(), sort_keys=True).encode()).hexdigest()


@pytest.mark.parametrize("seed", range(STREAMS))
def test_decisions_on_a_stream_are_as_recorded(seed: int) -> None:
    assert list(stream_digest(seed)) == DIGESTS["streams"][seed]


def test_the_streams_have_as_many_calls_as_recorded() -> None:
    assert sum(calls for calls, _ in DIGESTS["streams"]) == 34_464


@pytest.mark.parametrize("name", sorted(DIGESTS["scenarios"]))
def test_outcomes_of_a_scenario_are_as_recorded(name: str) -> None:
    assert scenario_digest(name) == DIGESTS["scenarios"][name]


def test_all_scenarios_but_the_large_ones_are_recorded() -> None:
    small = {each.stem for each in SCENARIOS.glob("*.toml") if not each.stem.startswith("forty-")}
    assert small == DIGESTS["scenarios"].keys() and len(small) == 29
