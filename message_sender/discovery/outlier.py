"""Ejection of outliers: an endpoint that fails while others of its destination serve is left out for a while.
Pure.

The breaker sees a destination; this sees one endpoint among others, as Envoy's outlier detection does:

- `failures` in a row eject an endpoint, if another one of its destination has served since the first of them.
- It is out for `base` times the number of its ejections of late, `longest` at the most; a served call takes
  one of these off again.
- At most `share` of a destination's endpoints are out at once by this, and never the last one in service.

Times are us.
"""

from dataclasses import dataclass


@dataclass(slots=True)
class FailureRecord:
    failures: int = 0  # in a row
    since: int = 0  # the first of these
    served: int = -1  # when a call was last served
    times: int = 0  # ejections of late
    until: int = 0  # out until then


@dataclass(frozen=True, slots=True)
class EjectionPolicy:
    failures: int = 5
    base: int = 30_000_000
    longest: int = 300_000_000
    share: float = 0.5


class OutlierDetector:
    def __init__(self, terms: EjectionPolicy) -> None:
        self.terms = terms
        self.records: dict[str, FailureRecord] = {}
        self.out: dict[str, int] = {}  # endpoint: until when

    def served(self, name: str, now: int) -> None:
        record = self.records.setdefault(name, FailureRecord())
        record.failures, record.served, record.times = 0, now, max(record.times - 1, 0)

    def failed(self, name: str, now: int, in_service: list[str], others_out: int) -> bool:
        """`in_service` are the endpoints of its destination that may be called, itself among them;
        `others_out` those that are out by ejection. True: it is out from now on."""
        record = self.records.setdefault(name, FailureRecord())
        if not record.failures:
            record.since = now
        record.failures += 1
        if record.failures < self.terms.failures or name in self.out or name not in in_service:
            return False
        if not any(self.has_served(each, record.since) for each in in_service if each != name):
            return False  # it is the destination that fails: the breaker's matter
        if others_out + 1 > self.terms.share * (len(in_service) + others_out):
            return False
        record.times += 1
        record.failures = 0
        self.out[name] = now + min(self.terms.base * record.times, self.terms.longest)
        return True

    def has_served(self, name: str, since: int) -> bool:
        return name in self.records and self.records[name].served >= since

    def turn(self, now: int) -> list[str]:
        """Those whose time out is over: they are back."""
        over = [name for name, until in self.out.items() if until <= now]
        for name in over:
            del self.out[name]
        return over

    def next_change(self) -> int | None:
        return min(self.out.values(), default=None)

    def forget(self, name: str) -> None:
        """It is gone from the list."""
        self.records.pop(name, None)
        self.out.pop(name, None)
