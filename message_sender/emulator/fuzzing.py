"""Scenarios drawn at random, played and judged; what breaks a rule is cut down and kept as a scenario file.

A scenario is told by a mapping, as a file tells it, so that cutting is taking out of it: troubles, incidents,
bursts and destinations, then rate and length by halves, as long as the same rule still breaks at the same
seed (delta debugging, as shrink.py has it for lives).
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
from message_sender.emulator.play import play
from message_sender.emulator.receiver import Trouble
from message_sender.testbed.history_checker import Violation

TROUBLES = tuple(each.value for each in Trouble)
#: Sizes that a trouble may have; its own meaning is in receiver.py.
SIZES = {"errors": (0.2, 1.0), "full": (0.0, 1.5), "slow": (2.0, 20.0), "degrades": (2.0, 40.0)}
SHARES = (0.2, 1.0)
LEAST_RATE, LEAST_SECONDS = 5.0, 2.0

Told = dict[str, Any]


def draw(seed: int) -> Told:
    """A scenario of ten seconds, decided by its seed alone."""
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
        "troubles": [drawn_trouble(rng, count, senders) for _ in range(rng.randint(0, 4))],
        "incidents": [drawn_incident(rng, count, senders) for _ in range(rng.randint(0, 4))],
    }


def drawn_trouble(rng: random.Random, count: int, senders: int) -> Told:
    what, at = rng.choice(TROUBLES), rng.uniform(0, 8)
    told: Told = {"at": round(at, 3), "until": round(at + rng.uniform(0.1, 4), 3), "what": what}
    told["size"] = round(rng.uniform(*SIZES.get(what, SHARES)), 3)
    told["destinations"] = sorted(rng.sample(range(count), rng.randint(1, count)))
    if rng.random() < 0.2:
        told["seen_by"] = [rng.randrange(senders)]
    elif rng.random() < 0.2:
        told["zone"] = rng.choice("ab")
    return told


def drawn_incident(rng: random.Random, count: int, senders: int) -> Told:
    """A disk that takes nothing is not among them: with a kill it loses outcomes, which is the journal's own
    direction (docs/ROADMAP.md)."""
    what = rng.choice(("kill", "kill", "kill", "drain", "drain", "empty", "deaf", "pause"))
    told: Told = {"at": round(rng.uniform(0.5, 9.5), 3), "what": what}
    told["for_s"] = round(rng.uniform(0.05, 0.3) if what == "pause" else rng.uniform(0.3, 2.5), 3)
    if what == "drain":
        told["destination"] = rng.randrange(count)
    elif what not in ("pause", "empty"):
        told["sender"] = rng.randrange(senders)
    if what == "kill" and rng.random() < 0.6:
        told["write"] = rng.randint(1, 60)
    return told


@dataclass
class FuzzResult:
    """What came of one drawn scenario."""

    seed: int
    told: Told
    breaches: list[Violation] = field(default_factory=list)
    error: str = ""
    calls: int = 0
    kills: int = 0


def one(seed: int, level: str) -> FuzzResult:
    """Never raises: a run that fails is a finding like any other."""
    told = draw(seed)
    try:
        outcomes = play(scenario.read(told), level=level)
    except Exception as error:
        return FuzzResult(seed, told, error=f"{type(error).__name__}: {error}")
    figures = outcomes.figures
    return FuzzResult(seed, told, outcomes.breaches, "", sum(figures.calls.values()), figures.kills)


def hunt(first: int, count: int, processes: int, level: str) -> Iterator[FuzzResult]:
    """In the order of their seeds."""
    seeds = range(first, first + count)
    if processes == 1:
        yield from map(one, seeds, repeat(level))
        return
    with ProcessPoolExecutor(processes, mp_context=get_context("spawn")) as pool:
        yield from pool.map(one, seeds, repeat(level), chunksize=4)


def breaks(told: Told, rule: str, level: str) -> bool:
    """Whether that rule still breaks; what is no scenario any more, or fails otherwise, is not the same."""
    try:
        return any(each.rule == rule for each in play(scenario.read(told), level=level).breaches)
    except (ConfigError, RuntimeError, OSError):
        return False


def smaller(told: Told) -> Iterator[Told]:
    """What is left where one thing more is taken out, the largest first."""
    for name in ("troubles", "incidents"):
        for at in reversed(range(len(told.get(name, ())))):
            yield edited(told, lambda new, name=name, at=at: new[name].pop(at))  # type: ignore[misc]
    for name in list(told["classes"]):
        yield edited(told, lambda new, name=name: new["classes"].pop(name))  # type: ignore[misc]
    if told["fleet"]["senders"] > 1:
        yield edited(told, lambda new: new["fleet"].update(senders=new["fleet"]["senders"] - 1))
    if (count := told["destinations"][0]["count"]) > 1:
        yield edited(told, lambda new: new["destinations"][0].update(count=count - 1))
    if told["seconds"] / 2 >= LEAST_SECONDS:
        yield edited(told, lambda new: new.update(seconds=new["seconds"] / 2))
    if told["clients"]["rate"] / 2 >= LEAST_RATE:
        yield edited(told, lambda new: new["clients"].update(rate=round(new["clients"]["rate"] / 2, 2)))


def edited(told: Told, edit: Callable[[Told], Any]) -> Told:
    new = copy.deepcopy(told)
    edit(new)
    return new


def cut(told: Told, rule: str, level: str, most: int = 400) -> Told:
    """The scenario with as little left as this finds in `most` runs. Raises ValueError if that rule does not
    break in it."""
    if not breaks(told, rule, level):
        raise ValueError(f"the rule {rule!r} does not break")
    found = True
    while found:
        found = False
        for each in smaller(told):
            most -= 1
            if most < 0:
                return told
            if each["classes"] and breaks(each, rule, level):
                told, found = each, True
                break
    return told


def keep(folder: Path, prey: FuzzResult, level: str) -> Path:
    """Cuts it down and writes it as a scenario file; its path. Raises OSError."""
    rule = prey.breaches[0].rule
    told = cut(prey.told, rule, level) | {"about": f"The rule {rule!r} breaks at the level of {level}."}
    folder.mkdir(parents=True, exist_ok=True)
    file = folder / f"{rule.replace(' ', '-')}-{prey.seed}.toml"
    file.write_text(tomli_w.dumps(told))
    return file
