"""Reduces a simulated run that violates a rule to the few scheduled events that are needed for it.

This is delta debugging after Zeller and Hildebrandt, "Simplifying and isolating failure-inducing input"
(2002), in a simple form. Events that the seed scheduled are left out as long as the same rule is violated:
first half of them at a time, at the end single ones, until every remaining event is needed. The result is a
case: the seed and the numbers of the events left out. It always reproduces the same run.
"""

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from message_sender.emulator.run_plan import ScheduledEvent
from message_sender.emulator.simulated_run import Outcomes, simulate


@dataclass(frozen=True)
class Case:
    """A reduced run.

    Attributes:
        seed: The seed of the run.
        rule: The rule that it violates; empty if unknown.
        without: Numbers of the scheduled events that are left out.
    """

    seed: int
    rule: str = ""
    without: frozenset[int] = field(default_factory=frozenset)

    def run(self) -> Outcomes:
        """Runs the simulation of the case."""
        return simulate(self.seed, without=self.without)

    def write(self, file: Path, outcomes: Outcomes) -> None:
        """Writes the case as JSON.

        Args:
            file: The path of the file.
            outcomes: The outcomes of the case's run. Its events are written for the reader.

        Raises:
            OSError: The file cannot be written.
        """
        left = [f"{each.at:.3f} s: {each.text}" for each in outcomes.scheduled]
        values = {"seed": self.seed, "rule": self.rule, "without": sorted(self.without), "left": left}
        file.write_text(json.dumps(values, indent=1) + "\n")

    @classmethod
    def read(cls, file: Path) -> "Case":
        """Returns the case of a file.

        Raises:
            OSError: The file cannot be read.
            ValueError: The file is not a case; the text is one line.
        """
        try:
            values: dict[str, Any] = json.loads(file.read_text())
            numbers = frozenset(int(each) for each in values["without"])
            return cls(int(values["seed"]), str(values["rule"]), numbers)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise ValueError(f"{file} is not a case file: {' '.join(str(error).split())}") from None


def breaks(seed: int, rule: str, without: frozenset[int]) -> bool:
    """Returns whether the run of a seed violates the rule without some of its scheduled events.

    A run that fails with an exception is a different defect and does not count.
    """
    try:
        return any(each.rule == rule for each in simulate(seed, without=without).breaches)
    except Exception:
        return False


def shrink(seed: int, rule: str, on_progress: Callable[[int], None] = lambda left: None) -> Case:
    """Reduces the run of a seed as long as it violates the rule.

    Args:
        seed: The seed.
        rule: The name of the rule.
        on_progress: Called with the number of remaining events whenever events have been left out.

    Returns:
        The smallest case found.

    Raises:
        ValueError: The run of the seed does not violate the rule.
    """
    outcomes = simulate(seed)
    if not any(each.rule == rule for each in outcomes.breaches):
        raise ValueError(f"the run of seed {seed} does not violate the rule {rule!r}")
    left = [each.number for each in outcomes.scheduled]
    without: frozenset[int] = frozenset()
    size = max(len(left) // 2, 1)
    while True:
        is_reduced = False
        for part in parts(left, size):
            if breaks(seed, rule, without | part):
                without, is_reduced = without | part, True
                left = [each for each in left if each not in part]
                on_progress(len(left))
        if size == 1 and not is_reduced:
            return Case(seed, rule, without)
        size = max(size // 2, 1)


def parts(numbers: list[int], size: int) -> list[frozenset[int]]:
    """Returns the numbers in parts of `size`, the last ones first: late events are more often irrelevant."""
    return [frozenset(numbers[at : at + size]) for at in reversed(range(0, len(numbers), size))]


def format_events(events: list[ScheduledEvent]) -> list[str]:
    """Returns one line of text for each event, in the order of their times."""
    return [f"{each.at:8.3f} s  {each.text}" for each in sorted(events, key=lambda each: each.at)]
