"""Power losses between any two disk operations, thousands of times in simulated time."""

import asyncio
import multiprocessing
import os
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from functools import partial

import pytest

from message_sender.emulator.power_cuts import Cuts, run_with_power_cuts
from message_sender.journal.compaction import ReplacementFile
from message_sender.journal.durable import DurableJournal

#: The amount of unsynced data is largest right before a sync, so cuts there find defects in the order of
#: operations more often.
CUTS_BEFORE_SYNC = Cuts(before="sync", max_operations_between=8)


class NoFolderSync(DurableJournal):
    def install_replacement(self, replacement: ReplacementFile) -> None:
        self.disk.sync(replacement.file)
        replacement.is_installed = True
        self.disk.replace(self.folder / "journal.next", self.folder / "journal")


class SentNotAwaited(DurableJournal):
    """Makes the engine send without waiting until the `sent` record is durable."""

    is_durable = False


class CompactsInSteps(DurableJournal):
    """Compacts as often as possible, one message per step, with 4 ms for other operations in between."""

    step_bytes = 1

    def write_step(self, replacement: ReplacementFile, parts: Iterator[bytes]) -> None:
        asyncio.get_running_loop().call_later(0.004, super().write_step, replacement, parts)

    def record_end(self, message_id: str, state: str = "") -> None:
        self.reserve_bytes = 0
        super().record_end(message_id, state)


class RenamesTooEarly(CompactsInSteps):
    """Installs the replacement before it is complete."""

    def compact(self) -> bool:
        is_compacted = super().compact()
        if self.replacement:
            self.replacement.is_complete = True
            self.schedule_sync(0.0)
        return is_compacted


def run_scenario(seed: int, cuts: Cuts) -> tuple[int, list[str]]:
    """Runs one scenario; returns the number of power cuts and the rules that were broken."""
    outcomes = run_with_power_cuts(seed, cuts)
    return outcomes.kills, [breach.rule for breach in outcomes.breaches]


def run_scenarios(cuts: Cuts, seeds: range) -> tuple[int, Counter[str]]:
    """Runs one scenario per seed; returns the number of power cuts, and per rule the runs that broke it."""
    with ProcessPoolExecutor(min(os.cpu_count() or 1, 6), multiprocessing.get_context("spawn")) as pool:
        results = list(pool.map(partial(run_scenario, cuts=cuts), seeds, chunksize=10))
    return sum(cuts for cuts, _ in results), Counter(rule for _, rules in results for rule in {*rules})


def test_no_rule_is_broken_by_five_thousand_power_cuts() -> None:
    cuts, rules = run_scenarios(Cuts(), range(650))
    assert cuts >= 5000
    assert not rules


def test_no_rule_is_broken_by_power_cuts_during_stepwise_compaction() -> None:
    cuts, rules = run_scenarios(Cuts(journal=CompactsInSteps), range(120))
    assert cuts >= 900
    assert not rules


@pytest.mark.parametrize("journal", [DurableJournal, CompactsInSteps])
def test_no_rule_is_broken_by_power_cuts_right_before_a_sync(journal: type[DurableJournal]) -> None:
    cuts, rules = run_scenarios(replace(CUTS_BEFORE_SYNC, journal=journal), range(70))
    assert cuts >= 500
    assert not rules


@pytest.mark.parametrize(
    ("defect", "rule", "seeds", "min_breaches"),
    [
        (Cuts(sync_interval_s=None), "one end", 20, 8),
        (replace(CUTS_BEFORE_SYNC, journal=NoFolderSync), "one end", 60, 23),
        (replace(CUTS_BEFORE_SYNC, journal=SentNotAwaited), "no effect twice", 150, 3),
        (replace(CUTS_BEFORE_SYNC, journal=RenamesTooEarly), "one end", 60, 3),
    ],
    ids=["nothing is synced", "no folder sync", "sent not awaited", "renamed too early"],
)
def test_an_injected_defect_is_detected(defect: Cuts, rule: str, seeds: int, min_breaches: int) -> None:
    """The minimum number of runs shows a loss of sensitivity before the check detects nothing at all."""
    assert run_scenarios(defect, range(seeds))[1][rule] >= min_breaches
