"""Runs a scenario at a given level of detail."""

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
    """Runs a scenario.

    Args:
        scenario: The scenario.
        seed: Seed of all random draws; None: the scenario's own.
        decide: Creates a sender's policy.
        traced: Whether to record a trace.
        level: "ports" models senders at the ports of their engine; "bytes" runs their HTTP servers and
            transports too, over in-memory sockets.

    Returns:
        What happened in the run.

    Raises:
        EmulationError: A sender used the real clock, a thread, a real socket or unseeded randomness.
    """
    if level == "bytes":
        return wire.play(scenario, seed, decide, traced)
    return fleet.play(scenario, seed, decide, traced)
