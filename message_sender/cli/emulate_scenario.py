"""Shared parts of the commands of `message-sender emulate`: options, scenario loading and a simulated run."""

from pathlib import Path
from typing import Any

import click

from message_sender.cli.errors import exit_on_error
from message_sender.cli.parameters import EXISTING_FILE_PATH
from message_sender.configuration.tables import ConfigError
from message_sender.emulator import experiment
from message_sender.emulator.fleet import Outcomes
from message_sender.emulator.loop import EmulationError
from message_sender.emulator.policies import OWN_POLICY, POLICIES
from message_sender.emulator.scenario import Scenario, changed, load
from message_sender.emulator.scenario_run import play

FILE_ARGUMENT = click.argument("file", type=EXISTING_FILE_PATH)
SEED_OPTION = click.option(
    "--seed", type=click.IntRange(0), help="Seed to use instead of the seed of the scenario."
)
SEEDS_OPTION = click.option(
    "--seeds", type=click.IntRange(1), default=5, show_default=True, help="Number of seeds, counted from 1."
)
POLICY_OPTION = click.option(
    "--policy", type=click.Choice(list(POLICIES)), default=OWN_POLICY, show_default=True
)
LEVEL_OPTION = click.option(
    "--level",
    type=click.Choice(["ports", "bytes"]),
    default="ports",
    show_default=True,
    help="bytes: also run the real servers and transports, over in-memory sockets.",
)
PROCESSES_OPTION = click.option("--processes", type=click.IntRange(1), default=1, show_default=True)
SET_OPTION = click.option(
    "--set", "changes", multiple=True, metavar="PATH=VALUE", help="Set a field of the scenario."
)


def load_scenario(file: Path, changes: tuple[str, ...] = ()) -> Scenario:
    """Loads a scenario file; a failure is reported with exit code 1.

    Args:
        file: The scenario file.
        changes: Field values to replace, each as `PATH=VALUE`.

    Raises:
        click.BadParameter: A change has another form.
    """
    with exit_on_error(f"{file}: "):
        scenario = load(file)
        values = dict(parse_change(change) for change in changes)
        return changed(scenario, values) if values else scenario


def parse_change(text: str) -> tuple[str, Any]:
    """Returns the path and the value of `PATH=VALUE`; the value may be a list. Raises click.BadParameter."""
    path, values = parse_field(text)
    return path, values[0] if len(values) == 1 else values


def parse_field(text: str) -> tuple[str, list[Any]]:
    """Returns the path and the values of `PATH=VALUE[,VALUE...]`. Raises click.BadParameter."""
    try:
        return experiment.field_of(text)
    except ConfigError:
        raise click.BadParameter(f"{text!r} is not PATH=VALUE[,VALUE...]") from None


def run_scenario(
    scenario: Scenario, seed: int, policy: str, is_traced: bool = False, level: str = "ports"
) -> Outcomes:
    """Runs a scenario in simulated time; a failure of the emulator is reported with exit code 1.

    Args:
        scenario: The scenario.
        seed: The seed of the random choices.
        policy: The name of the policy.
        is_traced: Records every event in the outcomes.
        level: `ports`, or `bytes` for the real servers and transports.
    """
    try:
        return play(scenario, seed, POLICIES[policy], is_traced, level)
    except (EmulationError, RuntimeError, OSError) as error:
        raise click.ClickException(f"seed {seed}: {type(error).__name__}: {error}") from None
