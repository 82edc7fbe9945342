"""One run of a scenario, at the level that is asked for."""

from message_sender.emulator import fleet, wire
from message_sender.emulator.fleet import Outcomes
from message_sender.emulator.fleet_sender import Decide
from message_sender.emulator.scenario import Scenario
from message_sender.policy.dispatcher import Dispatcher


def play(
    scenario: Scenario,
    seed: int | None = None,
    decide: Decide = Dispatcher,
    traced: bool = False,
    level: str = "ports",
) -> Outcomes:
    """At its ports or, with the level `bytes`, over sockets in memory. Raises EmulationError where a sender
    reaches out of it."""
    if level == "bytes":
        return wire.play(scenario, seed, decide, traced)
    return fleet.play(scenario, seed, decide, traced)
