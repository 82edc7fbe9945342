"""Samples a shared budget of running senders, and charts the grants and the usage by member over time.

The chart is one SVG without external references, drawn with matplotlib (`message-sender[report]`).
"""

import time
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import click

from message_sender.cli.sender_client import request_value

SVG_ID_SALT = "elmglade"  # constant, so that equal samples give byte-identical files
FIGURE_WIDTH_INCHES = 9
ROW_HEIGHT_INCHES = 3.2


@dataclass
class BudgetSeries:
    """Samples of one budget by member.

    Attributes:
        sampled_at_s: Times of the samples, in seconds since the first one.
        limits: The limit of the budget at each sample.
        granted: By member: the grant at each sample.
        spent: By member: the usage since the first sample, including usage before a restart of the member.
        last_spent: By member: the usage counter of the latest response, which restarts at zero with the
            process.
        period_s: The period of a rate limit in seconds; None for other budgets.
    """

    sampled_at_s: list[float] = field(default_factory=list)
    limits: list[int] = field(default_factory=list)
    granted: dict[str, list[int]] = field(default_factory=dict)
    spent: dict[str, list[int]] = field(default_factory=dict)
    last_spent: dict[str, int] = field(default_factory=dict)
    period_s: float | None = None

    def add(self, now_s: float, budgets: Mapping[str, Mapping[str, Any]]) -> None:
        """Adds a sample. A member that did not respond counts as having no grant and no new usage.

        Args:
            now_s: The time in seconds since the first sample.
            budgets: By member that responded: the budget as that member reports it.
        """
        for name in budgets:
            self.granted.setdefault(name, [0] * len(self.sampled_at_s))
            self.spent.setdefault(name, [0] * len(self.sampled_at_s))
        for name, grants in self.granted.items():
            budget = budgets.get(name)
            grants.append(budget["part"] if budget else 0)
            previous = self.spent[name][-1] if self.spent[name] else 0
            self.spent[name].append(previous + self.count_new_usage(name, budget))
        self.sampled_at_s.append(now_s)
        last_limit = self.limits[-1] if self.limits else 0
        self.limits.append(min((budget["whole"] for budget in budgets.values()), default=last_limit))
        for budget in budgets.values():
            if budget["per_ms"]:
                self.period_s = budget["per_ms"] / 1000
                break

    def count_new_usage(self, name: str, budget: Mapping[str, Any] | None) -> int:
        """Returns the usage of a member since its previous response; 0 for the first response."""
        if budget is None:
            return 0
        spent = int(budget["spent"])
        previous = self.last_spent.get(name)
        self.last_spent[name] = spent
        if previous is None:
            return 0
        return spent - previous if spent >= previous else spent

    def usage_per_period(self, name: str) -> list[int]:
        """Returns the usage of a member in the rate period that ends at each sample."""
        counts = self.spent[name]
        usage = list[int]()
        first = 0
        for index, now_s in enumerate(self.sampled_at_s):
            while self.sampled_at_s[first] < now_s - (self.period_s or 0.0):
                first += 1
            usage.append(counts[index] - counts[first])
        return usage


def sample_budget(name: str, folders: Iterable[Path], duration_s: float, interval_s: float) -> BudgetSeries:
    """Samples a budget of the senders in these state folders.

    A sender that does not respond is left out of the sample.
    """
    series = BudgetSeries()
    state_folders = list(folders)
    started_at = time.monotonic()
    while (now_s := time.monotonic() - started_at) < duration_s:
        budgets = {}
        for folder in state_folders:
            if budget := read_budget(name, folder):
                budgets[str(folder)] = budget
        series.add(now_s, budgets)
        time.sleep(max(interval_s - (time.monotonic() - started_at - now_s), 0.0))
    return series


def read_budget(name: str, folder: Path) -> Mapping[str, Any] | None:
    """Returns a budget as the sender in a state folder reports it; None if the sender does not respond."""
    try:
        budget: Mapping[str, Any] | None = request_value(folder, {"do": "budgets"}).get(name)
    except click.ClickException:
        return None  # the sender is down or starting
    return budget


def shorten_labels(folders: Iterable[str]) -> list[str]:
    """Returns the shortest labels that distinguish the paths: names, parents' names or full paths."""
    paths = [Path(folder) for folder in folders]
    for labels in ([path.name for path in paths], [path.parent.name for path in paths]):
        if len(set(labels)) == len(labels):
            return labels
    return list(map(str, paths))


def draw_chart(name: str, series: BudgetSeries, file: Path) -> None:
    """Draws the grants by member as an SVG, and for a rate limit also the usage by member.

    Raises:
        ImportError: matplotlib is not installed.
        OSError: The file cannot be written.
    """
    import matplotlib as mpl
    from matplotlib.figure import Figure

    members = sorted(series.granted)
    rows = [("may spend", [series.granted[member] for member in members])]
    if series.period_s:
        usage = [series.usage_per_period(member) for member in members]
        rows.append((f"spent in {series.period_s:g} s", usage))
    with mpl.rc_context({"svg.hashsalt": SVG_ID_SALT, "svg.fonttype": "none"}):
        figure = Figure(figsize=(FIGURE_WIDTH_INCHES, ROW_HEIGHT_INCHES * len(rows)), layout="constrained")
        axes = figure.subplots(len(rows), 1, sharex=True, squeeze=False)
        times_s = series.sampled_at_s
        for (title, values), (axis,) in zip(rows, axes, strict=True):
            axis.stackplot(times_s, values, labels=shorten_labels(members), step="post", alpha=0.8)
            axis.step(times_s, series.limits, where="post", color="black", linewidth=1.5, label="the whole")
            axis.set_ylabel(title)
            axis.set_ylim(bottom=0)
        axes[0][0].set_title(f"budget {name}")
        axes[0][0].legend(loc="upper right", fontsize="small", ncols=3)
        axes[-1][0].set_xlabel("s")
        figure.savefig(file, format="svg", metadata={"Date": None})
