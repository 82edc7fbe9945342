"""Fuzzing: plays scenarios drawn at random, and reduces those that violate a rule to small scenario files.

A scenario is a mapping with the tables of a scenario file, so that reducing it means removing entries from
it: troubles, incidents, classes, senders and destinations. Then its length and its message rate are halved.
Each step is kept if the same rule is still violated with the same seed (delta debugging, which shrink.py
applies to simulated runs).
"""

import copy
import random
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from itertools import repeat
from multiprocessing import get_context
from pathlib import Path
from typing import Any

import tomli_w

from message_sender.configuration.tables import ConfigError
from message_sender.emulator import scenario
from message_sender.emulator.receiver import Trouble
from message_sender.emulator.scenario_run import play
from message_sender.testbed.history_checker import Violation

TROUBLES = tuple(each.value for each in Trouble)
#: The range of the size of a trouble. What the size means for each trouble is described in receiver.py.
SIZES = {"errors": (0.2, 1.0), "full": (0.0, 1.5), "slow": (2.0, 20.0), "degrades": (2.0, 40.0)}
DEFAULT_SIZES = (0.2, 1.0)  # of troubles that are not in SIZES
MIN_RATE, MIN_SECONDS = 5.0, 2.0  # of a reduced scenario; the rate in messages a second

ScenarioTables = dict[str, Any]


def draw(seed: int) -> ScenarioTables:
    """Returns a random scenario of ten seconds that depends only on the seed."""
    rng = random.Random(seed)
    count, senders = rng.randint(2, 6), rng.randint(1, 3)
    group = {
        "count": count,
        "endpoints": rng.randint(1, 2),
        "zones": ["a", "b"],
        "apart": rng.random() < 0.2,
        "workers": rng.randint(2, 4),
        "fallen_s": 5.0,
        "cold_s": 5.0,
    }
    if rng.random() < 0.4:
        group["limit"] = {"rate": round(rng.uniform(8, 30), 1), "span_s": rng.choice((0.0, 1.0))}
    return {
        "title": f"Drawn from {seed}",
        "about": "Drawn at random.",
        "seconds": 10.0,
        "seed": seed,
        "clients": {"rate": round(rng.uniform(15, 50), 1), "keys": rng.randint(1, 6)},
        "classes": {
            "safe": {},
            "keyed": {"effect": "keyed", "window_s": 3.0},
            "unsafe": {"effect": "unsafe"},
            "ordered": {"effect": "keyed", "window_s": 3.0, "in_order": True},
            "ordered-unsafe": {"effect": "unsafe", "in_order": True},
        },
        "fleet": {"senders": senders, "zones": ["a", "b"], "slots": rng.randint(8, 40)},
        "destinations": [group],
        "troubles": [draw_trouble(rng, count, senders) for _ in range(rng.randint(0, 4))],
        "incidents": [draw_incident(rng, count, senders) for _ in range(rng.randint(0, 4))],
    }


def draw_trouble(rng: random.Random, count: int, senders: int) -> ScenarioTables:
    """Returns a random entry of `troubles` for a scenario with `count` destinations."""
    what, at = rng.choice(TROUBLES), rng.uniform(0, 8)
    trouble: ScenarioTables = {
        "at": round(at, 3),
        "until": round(at + rng.uniform(0.1, 4), 3),
        "what": what,
    }
    trouble["size"] = round(rng.uniform(*SIZES.get(what, DEFAULT_SIZES)), 3)
    trouble["destinations"] = sorted(rng.sample(range(count), rng.randint(1, count)))
    if rng.random() < 0.2:
        trouble["seen_by"] = [rng.randrange(senders)]
    elif rng.random() < 0.2:
        trouble["zone"] = rng.choice("ab")
    return trouble


def draw_incident(rng: random.Random, count: int, senders: int) -> ScenarioTables:
    """Returns a random entry of `incidents` for a scenario with `count` destinations.

    A full disk is never drawn. Together with a kill it loses outcomes, which belongs to the work on the
    journal (docs/ROADMAP.md).
    """
    what = rng.choice(("kill", "kill", "kill", "drain", "drain", "empty", "deaf", "pause"))
    incident: ScenarioTables = {"at": round(rng.uniform(0.5, 9.5), 3), "what": what}
    incident["for_s"] = round(rng.uniform(0.05, 0.3) if what == "pause" else rng.uniform(0.3, 2.5), 3)
    if what == "drain":
        incident["destination"] = rng.randrange(count)
    elif what not in ("pause", "empty"):
        incident["sender"] = rng.randrange(senders)
    if what == "kill" and rng.random() < 0.6:
        incident["write"] = rng.randint(1, 60)
    return incident


@dataclass
class FuzzResult:
    """The result of one drawn scenario."""

    seed: int
    tables: ScenarioTables
    breaches: list[Violation] = field(default_factory=list)
    error: str = ""  # the exception that ended the run
    calls: int = 0
    kills: int = 0


def run_seed(seed: int, level: str) -> FuzzResult:
    """Draws and plays the scenario of a seed.

    Never raises: an exception of the run is reported in the result.
    """
    tables = draw(seed)
    try:
        outcomes = play(scenario.read(tables), level=level)
    except Exception as error:
        return FuzzResult(seed, tables, error=f"{type(error).__name__}: {error}")
    figures = outcomes.figures
    return FuzzResult(seed, tables, outcomes.breaches, "", sum(figures.calls.values()), figures.kills)


def hunt(first: int, count: int, processes: int, level: str) -> Iterator[FuzzResult]:
    """Yields the results of `count` seeds from `first` on, in the order of the seeds."""
    seeds = range(first, first + count)
    if processes == 1:
        yield from map(run_seed, seeds, repeat(level))
        return
    with ProcessPoolExecutor(processes, mp_context=get_context("spawn")) as pool:
        yield from pool.map(run_seed, seeds, repeat(level), chunksize=4)


def violates(tables: ScenarioTables, rule: str, level: str) -> bool:
    """Returns whether a run of the scenario violates the rule.

    An invalid scenario, or a run that fails with an error, does not count as a violation.
    """
    try:
        return any(each.rule == rule for each in play(scenario.read(tables), level=level).breaches)
    except (ConfigError, RuntimeError, OSError):
        return False


def reduced_scenarios(tables: ScenarioTables) -> Iterator[ScenarioTables]:
    """Yields copies of the scenario, each reduced in one place.

    First without one trouble, incident, class, sender or destination, then with half the length and half the
    rate.
    """
    for name in ("troubles", "incidents"):
        for at in reversed(range(len(tables.get(name, ())))):
            yield edited(tables, lambda new, name=name, at=at: new[name].pop(at))  # type: ignore[misc]
    for name in list(tables["classes"]):
        yield edited(tables, lambda new, name=name: new["classes"].pop(name))  # type: ignore[misc]
    if tables["fleet"]["senders"] > 1:
        yield edited(tables, lambda new: new["fleet"].update(senders=new["fleet"]["senders"] - 1))
    if (count := tables["destinations"][0]["count"]) > 1:
        yield edited(tables, lambda new: new["destinations"][0].update(count=count - 1))
    if tables["seconds"] / 2 >= MIN_SECONDS:
        yield edited(tables, lambda new: new.update(seconds=new["seconds"] / 2))
    if tables["clients"]["rate"] / 2 >= MIN_RATE:
        yield edited(tables, lambda new: new["clients"].update(rate=round(new["clients"]["rate"] / 2, 2)))


def edited(tables: ScenarioTables, edit: Callable[[ScenarioTables], Any]) -> ScenarioTables:
    """Returns a deep copy of the scenario after `edit` has changed the copy."""
    new = copy.deepcopy(tables)
    edit(new)
    return new


def reduce_scenario(tables: ScenarioTables, rule: str, level: str, max_runs: int = 400) -> ScenarioTables:
    """Reduces a scenario as long as it still violates the rule.

    Args:
        tables: The scenario.
        rule: The name of the rule.
        level: The level of emulation at which the scenario is played.
        max_runs: The largest number of runs.

    Returns:
        The smallest scenario found.

    Raises:
        ValueError: The scenario does not violate the rule.
    """
    if not violates(tables, rule, level):
        raise ValueError(f"the scenario does not violate the rule {rule!r}")
    reduced = True
    while reduced:
        reduced = False
        for candidate in reduced_scenarios(tables):
            max_runs -= 1
            if max_runs < 0:
                return tables
            if candidate["classes"] and violates(candidate, rule, level):
                tables, reduced = candidate, True
                break
    return tables


def keep(folder: Path, result: FuzzResult, level: str) -> Path:
    """Reduces the scenario of a result that violates a rule, and writes it as a scenario file.

    Returns:
        The path of the file.

    Raises:
        OSError: The file cannot be written.
    """
    rule = result.breaches[0].rule
    tables = reduce_scenario(result.tables, rule, level) | {
        "about": f"Violates the rule {rule!r} at the level {level}."
    }
    folder.mkdir(parents=True, exist_ok=True)
    file = folder / f"{rule.replace(' ', '-')}-{result.seed}.toml"
    file.write_text(tomli_w.dumps(tables))
    return file
