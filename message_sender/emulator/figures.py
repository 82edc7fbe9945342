"""What came of a run, in figures: of every message and call, and by the second.

Latencies are in an HDR histogram (G. Tene, hdrhistogram.org): three digits are exact, whatever the range, and
histograms of several runs are merged, never averaged.
"""

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

LONGEST = 3_600_000_000  # us, the most that is told apart
DIGITS = 3
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


def histogram() -> Any:  # noqa: ANN401
    """Of whole microseconds."""
    return HdrHistogram(1, LONGEST, DIGITS)


@dataclass
class Second:
    """One second of a run."""

    offered: int = 0
    good: int = 0  # delivered within their aim
    late: int = 0  # delivered after it
    calls: int = 0
    refused: int = 0  # calls that were turned away as full
    failed: int = 0  # calls that failed otherwise
    held: int = 0  # messages at its end, all senders together
    open: int = 0  # breakers that are open at its end


@dataclass
class Figures:
    """Counts of a run. `asked` and `earned` are worth."""

    asked: float = 0.0
    earned: float = 0.0
    offered: int = 0
    delivered: int = 0
    unanswered: int = 0  # nobody told the client that it is taken on or not, in any of its tries
    ends: Counter[str] = field(default_factory=Counter)  # of messages that were taken on
    calls: Counter[str] = field(default_factory=Counter)  # by outcome
    twice: int = 0  # effects beyond the first of one message, whatever its class allows
    told_again: int = 0
    kills: int = 0
    falls: int = 0
    tries: int = 0
    latency: Any = field(default_factory=histogram)  # us from the intended time to the first effect
    seconds: dict[int, Second] = field(default_factory=dict)
    tenants: dict[str, list[float]] = field(default_factory=dict)  # worth asked for and earned
    destinations: dict[int, Counter[str]] = field(default_factory=dict)  # calls by outcome

    def second(self, at: float) -> Second:
        return self.seconds.setdefault(int(at), Second())

    def goodput(self) -> float:
        """Worth delivered over worth asked for."""
        return self.earned / self.asked if self.asked else 1.0

    def worst(self, span: int = 10) -> float:
        """The least share delivered within the aim in any `span` seconds in which something was asked for."""
        rows = [self.seconds.get(each, Second()) for each in range(max(self.seconds, default=-1) + 1)]
        shares = []
        for first in range(max(len(rows) - span + 1, 1)):
            offered = sum(each.offered for each in rows[first : first + span])
            if offered >= span:
                shares.append(min(sum(each.good for each in rows[first : first + span]) / offered, 1.0))
        return min(shares, default=1.0)

    def attempts(self) -> float:
        """Calls for each message that was asked for."""
        return sum(self.calls.values()) / self.offered if self.offered else 0.0

    def measures(self) -> dict[str, float]:
        """What runs are compared by."""
        told = {
            "goodput": self.goodput(),
            "worst_10_s": self.worst(),
            "delivered": self.delivered / self.offered if self.offered else 1.0,
            "attempts": self.attempts(),
            "refused_calls": self.calls["full"] / max(sum(self.calls.values()), 1),
            "falls": float(self.falls),
            "twice": float(self.twice),
            "unanswered": self.unanswered / self.offered if self.offered else 0.0,
        }
        if self.latency.get_total_count():
            for each in PERCENTILES:
                told[f"p{each:g}_ms"] = self.latency.get_value_at_percentile(each) / 1e3
        return {name: round(value, 6) for name, value in told.items()}

    def as_json(self) -> dict[str, Any]:
        return {
            "measures": self.measures(),
            "offered": self.offered,
            "delivered": self.delivered,
            "ends": dict(sorted(self.ends.items())),
            "calls": dict(sorted(self.calls.items())),
            "kills": self.kills,
            "told_again": self.told_again,
            "latency": self.latency.encode().decode(),
            "seconds": {str(at): vars(each) for at, each in sorted(self.seconds.items())},
            "tenants": dict(sorted(self.tenants.items())),
            "destinations": {str(n): dict(sorted(c.items())) for n, c in sorted(self.destinations.items())},
        }
