"""The figures of a run: counts of messages and calls in total, and by second.

Latencies are recorded in an HDR histogram (G. Tene, hdrhistogram.org), which is exact to three significant
digits over its whole range. Histograms of several runs can be merged; percentiles must not be averaged.
"""

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

MAX_LATENCY_US = 3_600_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


def histogram() -> Any:  # noqa: ANN401
    """Returns an empty histogram of latencies in whole microseconds."""
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


@dataclass
class Second:
    """The figures of one second of a run.

    Attributes:
        offered: Messages that clients intended to submit during it.
        good: Of these, messages delivered within their latency objective.
        late: Of these, messages delivered after their latency objective.
        calls: Calls that ended during it.
        refused: Of these, calls that were rejected as full.
        failed: Of these, calls that failed in another way.
        held: Messages that all senders together hold at its end.
        open: Breakers that are open at its end.
    """

    offered: int = 0
    good: int = 0
    late: int = 0
    calls: int = 0
    refused: int = 0
    failed: int = 0
    held: int = 0
    open: int = 0


@dataclass
class Figures:
    """The figures of a run.

    Attributes:
        asked: Weight of all messages that clients submitted.
        earned: Weight of the delivered messages, reduced for late ones.
        offered: Number of messages that clients submitted.
        delivered: Number of messages that had an effect at their destination.
        unanswered: Number of messages for which no submission was answered.
        ends: Number of accepted messages by how they ended.
        calls: Number of calls by outcome.
        twice: Number of repeated effects, also where the class of the message allows them.
        told_again: Number of completions that were reported again.
        kills: Number of times that a sender was killed.
        falls: Number of times that a destination failed by overload.
        tries: Number of submissions.
        latency: Histogram of the time from when a message was due to its first effect, in us.
        seconds: The figures by second.
        tenants: Weight of the messages submitted, and weight earned, by tenant.
        destinations: Number of calls by outcome, by destination.
    """

    asked: float = 0.0
    earned: float = 0.0
    offered: int = 0
    delivered: int = 0
    unanswered: int = 0
    ends: Counter[str] = field(default_factory=Counter)
    calls: Counter[str] = field(default_factory=Counter)
    twice: int = 0
    told_again: int = 0
    kills: int = 0
    falls: int = 0
    tries: int = 0
    latency: Any = field(default_factory=histogram)
    seconds: dict[int, Second] = field(default_factory=dict)
    tenants: dict[str, list[float]] = field(default_factory=dict)
    destinations: dict[int, Counter[str]] = field(default_factory=dict)

    def second(self, at: float) -> Second:
        """Returns the figures of the second that contains a time."""
        return self.seconds.setdefault(int(at), Second())

    def goodput(self) -> float:
        """Returns the weight earned, divided by the weight of all messages submitted."""
        return self.earned / self.asked if self.asked else 1.0

    def worst(self, span: int = 10) -> float:
        """Returns the lowest share of messages delivered within their latency objective in a period.

        Args:
            span: Length of the periods in seconds. Those with fewer than one message a second are skipped.
        """
        rows = [self.seconds.get(each, Second()) for each in range(max(self.seconds, default=-1) + 1)]
        shares = []
        for first in range(max(len(rows) - span + 1, 1)):
            offered = sum(each.offered for each in rows[first : first + span])
            if offered >= span:
                shares.append(min(sum(each.good for each in rows[first : first + span]) / offered, 1.0))
        return min(shares, default=1.0)

    def attempts(self) -> float:
        """Returns the number of calls for each message submitted."""
        return sum(self.calls.values()) / self.offered if self.offered else 0.0

    def measures(self) -> dict[str, float]:
        """Returns the figures by which runs are compared, by name."""
        values = {
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
                values[f"p{each:g}_ms"] = self.latency.get_value_at_percentile(each) / 1e3
        return {name: round(value, 6) for name, value in values.items()}

    def as_json(self) -> dict[str, Any]:
        """Returns all figures as values for JSON; the latency histogram is encoded as text."""
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
