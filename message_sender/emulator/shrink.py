"""Cuts a broken life down: leaves out what the seed decided, as long as the same rule still breaks.

Delta debugging after Zeller and Hildebrandt, "Simplifying and isolating failure-inducing input" (2002), in
its simple form: parts are tried from the half of all down to single happenings, until none can be spared.
What is left is written as a case: the seed and the numbers left out, which give the same bytes again.
"""

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from message_sender.emulator.run_plan import ScheduledEvent
from message_sender.emulator.simulated_run import Outcomes, live


@dataclass(frozen=True)
class Case:
    seed: int
    rule: str = ""
    without: frozenset[int] = field(default_factory=frozenset)

    def live(self) -> Outcomes:
        return live(self.seed, without=self.without)

    def write(self, file: Path, outcomes: Outcomes) -> None:
        """`outcomes` are those of its life. Raises OSError."""
        left = [f"{each.at:.3f} s: {each.text}" for each in outcomes.scheduled]
        told = {"seed": self.seed, "rule": self.rule, "without": sorted(self.without), "left": left}
        file.write_text(json.dumps(told, indent=1) + "\n")

    @classmethod
    def read(cls, file: Path) -> "Case":
        """Raises OSError where it cannot be read, and ValueError, in one line, where it is no case."""
        try:
            told: dict[str, Any] = json.loads(file.read_text())
            numbers = frozenset(int(each) for each in told["without"])
            return cls(int(told["seed"]), str(told["rule"]), numbers)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise ValueError(f"{file} is no case: {' '.join(str(error).split())}") from None


def breaks(seed: int, rule: str, without: frozenset[int]) -> bool:
    """Whether that rule still breaks. A life that fails for another reason is not the same finding."""
    try:
        return any(each.rule == rule for each in live(seed, without=without).breaches)
    except Exception:
        return False


def shrink(seed: int, rule: str, tried: Callable[[int], None] = lambda left: None) -> Case:
    """The case with as little left as this finds. `tried` is told how much is, after each part that could be
    spared. Raises ValueError if that rule does not break in that life."""
    whole = live(seed)
    if not any(each.rule == rule for each in whole.breaches):
        raise ValueError(f"the life of seed {seed} does not break the rule {rule!r}")
    left = [each.number for each in whole.scheduled]
    without: frozenset[int] = frozenset()
    size = max(len(left) // 2, 1)
    while True:
        spared = False
        for part in parts(left, size):
            if breaks(seed, rule, without | part):
                without, spared = without | part, True
                left = [each for each in left if each not in part]
                tried(len(left))
        if size == 1 and not spared:
            return Case(seed, rule, without)
        size = max(size // 2, 1)


def parts(numbers: list[int], size: int) -> list[frozenset[int]]:
    """From the last: what came late is more often of no account."""
    return [frozenset(numbers[at : at + size]) for at in reversed(range(0, len(numbers), size))]


def told(happenings: list[ScheduledEvent]) -> list[str]:
    return [f"{each.at:8.3f} s  {each.text}" for each in sorted(happenings, key=lambda each: each.at)]
