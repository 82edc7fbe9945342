"""The module's size, and its answers to bad input."""

import tomllib
from pathlib import Path

import pytest
from helpers import SECOND, World, settings

from message_sender import interface as face

ROOT = Path(__file__).parent.parent


def test_module_keeps_to_its_size() -> None:
    """The operators run no longer one: lines that are not blank, over all `policy` files."""
    policy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    lines = [line for name in policy for line in (ROOT / name).read_text().splitlines()]
    assert sum(1 for line in lines if line.strip()) <= 1200
    parts = ("dispatcher", "endpoints", "pending", "inflight", "breaker", "schedule", "inherit")
    assert {f"message_sender/policy/{each}.py" for each in parts} <= set(policy)


@pytest.mark.parametrize("name", ["slots", "max_open", "max_attempts", "tick", "cold_from", "key_quiet"])
def test_contradictory_settings_are_named(name: str) -> None:
    with pytest.raises(ValueError, match=name):
        settings(**{name: -1})


def test_unknown_class_reused_id_and_a_clock_that_goes_back_are_refused() -> None:
    world = World()
    with pytest.raises(ValueError, match="unknown class"):
        world.take("nothing")
    world.take(message="twice")
    with pytest.raises(ValueError, match="taken before"):
        world.take(message="twice")
    with pytest.raises(ValueError, match="clock"):
        world.step(face.WakeUp(), after=-SECOND)


def test_events_of_ids_no_longer_held_are_passed_over() -> None:
    world = World()
    assert world.step(face.AttemptEnded("never", 0, face.Outcome.OK), face.MessageWithdrawn("never")) == []
