"""The power goes between any two operations on the disk, thousands of times in simulated time."""

import asyncio
import multiprocessing
import os
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from functools import partial

import pytest

from message_sender.emulator.power import Cuts, live
from message_sender.journal.compaction import ReplacementFile
from message_sender.journal.durable import DurableJournal

#: Right before a sync the most is not durable: what rests on the order of operations is hit more often there.
SHARP = Cuts(before="sync", apart=8)


class NoFolderSync(DurableJournal):
    def install_replacement(self, replacement: ReplacementFile) -> None:
        self.disk.sync(replacement.file)
        replacement.is_installed = True
        self.disk.replace(self.folder / "journal.next", self.folder / "journal")


class NothingAwaited(DurableJournal):
    """The engine does not wait for `sent` to be on the disk."""

    is_durable = False


class Steps(DurableJournal):
    """Written anew at every chance, a message at a time, with much happening in between."""

    step_bytes = 1

    def write_step(self, replacement: ReplacementFile, parts: Iterator[bytes]) -> None:
        asyncio.get_running_loop().call_later(0.004, super().write_step, replacement, parts)

    def record_end(self, name: str, state: str = "") -> None:
        self.reserve_bytes = 0
        super().record_end(name, state)


class NamedTooEarly(Steps):
    def compact(self) -> bool:
        found = super().compact()
        if self.replacement:
            self.replacement.is_complete = True
            self.schedule_sync(0.0)
        return found


def broken(seed: int, cuts: Cuts) -> tuple[int, list[str]]:
    """Cuts of one life, and the rules that it broke."""
    outcomes = live(seed, cuts)
    return outcomes.kills, [each.rule for each in outcomes.breaches]


def lives(cuts: Cuts, seeds: range) -> tuple[int, Counter[str]]:
    """Cuts of all these lives, and in how many of them each rule was broken."""
    with ProcessPoolExecutor(min(os.cpu_count() or 1, 6), multiprocessing.get_context("spawn")) as pool:
        found = list(pool.map(partial(broken, cuts=cuts), seeds, chunksize=10))
    return sum(cuts for cuts, _ in found), Counter(rule for _, rules in found for rule in {*rules})


def test_no_rule_is_broken_by_five_thousand_cuts() -> None:
    cuts, rules = lives(Cuts(), range(650))
    assert cuts >= 5000
    assert not rules


def test_no_cut_while_the_journal_is_written_anew_in_steps_breaks_a_rule() -> None:
    cuts, rules = lives(Cuts(journal=Steps), range(120))
    assert cuts >= 900
    assert not rules


@pytest.mark.parametrize("journal", [DurableJournal, Steps])
def test_no_cut_right_before_a_sync_breaks_a_rule(journal: type[DurableJournal]) -> None:
    cuts, rules = lives(replace(SHARP, journal=journal), range(70))
    assert cuts >= 500
    assert not rules


@pytest.mark.parametrize(
    ("defect", "rule", "seeds", "least"),
    [
        (Cuts(gather=None), "one end", 20, 8),
        (replace(SHARP, journal=NoFolderSync), "one end", 60, 23),
        (replace(SHARP, journal=NothingAwaited), "no effect twice", 150, 3),
        (replace(SHARP, journal=NamedTooEarly), "one end", 60, 3),
    ],
    ids=["nothing is synced", "no folder sync", "sent not awaited", "named too early"],
)
def test_a_planted_defect_is_found(defect: Cuts, rule: str, seeds: int, least: int) -> None:
    """In at least so many lives: a check that grows blunt is seen before it finds nothing."""
    assert lives(defect, range(seeds))[1][rule] >= least
