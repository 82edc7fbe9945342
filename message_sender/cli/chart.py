"""A chart of a budget over time, as running senders tell it: what each member was granted and what it spent,
against the whole. matplotlib draws it (`message-sender[report]`): one SVG, which opens without a network."""

import time
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import click

from message_sender.cli.override import tell


@dataclass
class Run:
    """What was told of one budget, sample by sample, by member."""

    at: list[float] = field(default_factory=list)  # s from the first one
    whole: list[int] = field(default_factory=list)
    granted: dict[str, list[int]] = field(default_factory=dict)  # what it may spend
    spent: dict[str, list[int]] = field(default_factory=dict)  # ever, over its starts
    last: dict[str, int] = field(default_factory=dict)  # what it told last: a start counts anew
    span: float | None = None  # s of a rate's

    def add(self, now: float, told: Mapping[str, Mapping[str, Any]]) -> None:
        """One that is silent may spend nothing as far as is known, and has spent no more than before."""
        for name in told:
            self.granted.setdefault(name, [0] * len(self.at))
            self.spent.setdefault(name, [0] * len(self.at))
        for name, parts in self.granted.items():
            each = told.get(name)
            parts.append(each["part"] if each else 0)
            self.spent[name].append((self.spent[name] or [0])[-1] + self.more(name, each))
        self.at.append(now)
        wholes = [each["whole"] for each in told.values()]
        self.whole.append(min(wholes, default=(self.whole or [0])[-1]))
        self.span = next((each["per_ms"] / 1000 for each in told.values() if each["per_ms"]), self.span)

    def more(self, name: str, told: Mapping[str, Any] | None) -> int:
        """What it spent since it was asked last. The first answer says nothing of that."""
        if told is None:
            return 0
        before, self.last[name] = self.last.get(name), told["spent"]
        if before is None:
            return 0
        return int(told["spent"] - before if told["spent"] >= before else told["spent"])

    def used(self, name: str) -> list[int]:
        """Of a rate: what it spent in the span that ends with each sample, as far as samples show."""
        counts, found, first = self.spent[name], list[int](), 0
        for number, now in enumerate(self.at):
            while self.at[first] < now - (self.span or 0.0):
                first += 1
            found.append(counts[number] - counts[first])
        return found


def sampled(name: str, folders: Iterable[Path], seconds: float, every: float) -> Run:
    """Asks each sender again and again; one that does not answer is left out of that sample."""
    run, began, there = Run(), time.monotonic(), list(folders)
    while (now := time.monotonic() - began) < seconds:
        told = {str(folder): answer for folder in there if (answer := asked(name, folder))}
        run.add(now, told)
        time.sleep(max(every - (time.monotonic() - began - now), 0.0))
    return run


def asked(name: str, folder: Path) -> Mapping[str, Any] | None:
    try:
        found: Mapping[str, Any] | None = tell(folder, {"do": "budgets"}).get(name)
    except click.ClickException:
        return None  # it is down, or starts
    return found


def labels(folders: Iterable[str]) -> list[str]:
    """As short as tells them apart."""
    paths = [Path(each) for each in folders]
    for words in ([each.name for each in paths], [each.parent.name for each in paths]):
        if len(set(words)) == len(words):
            return words
    return list(map(str, paths))


def draw(name: str, run: Run, to: Path) -> None:
    """Raises ImportError without matplotlib and OSError where the file cannot be written."""
    import matplotlib as mpl
    from matplotlib.figure import Figure

    names = sorted(run.granted)
    rows = [("may spend", [run.granted[each] for each in names])]
    if run.span:
        rows.append((f"spent in {run.span:g} s", [run.used(each) for each in names]))
    with mpl.rc_context({"svg.hashsalt": "elmglade", "svg.fonttype": "none"}):  # the same run, the same bytes
        figure = Figure(figsize=(9, 3.2 * len(rows)), layout="constrained")
        axes = figure.subplots(len(rows), 1, sharex=True, squeeze=False)
        for (title, values), (axis,) in zip(rows, axes, strict=True):
            axis.stackplot(run.at, values, labels=labels(names), step="post", alpha=0.8)
            axis.step(run.at, run.whole, where="post", color="black", linewidth=1.5, label="the whole")
            axis.set_ylabel(title)
            axis.set_ylim(bottom=0)
        axes[0][0].set_title(f"budget {name}")
        axes[0][0].legend(loc="upper right", fontsize="small", ncols=3)
        axes[-1][0].set_xlabel("s")
        figure.savefig(to, format="svg", metadata={"Date": None})
