"""What a destination does with the calls it gets: a model, free of I/O.

A destination has workers and a queue, a limit or none, and troubles that come and go. Times are seconds of
the emulated clock, rates are calls a second.

- *Service.* `workers` calls are served at once; one more waits in a queue of `queue` places, beyond which it
  is refused as full (a G/G/c/K station; Gross and others, "Fundamentals of Queueing Theory", ch. 1).
- *Limit.* A count in each span of a fixed length, or a token bucket (RFC 2697 calls its size the burst). A
  refused call may use the limit up too; `carried` of a span's room at the most may go to calls that were
  refused in the one before.
- *Cold.* After an outage a destination does `cold_from` of what it can, and grows evenly to all of it within
  `cold_s` seconds: empty caches, connections to be made anew.
- *Pushed over.* Sent more than `push` times what it can take at that moment for `push_s` seconds, it falls
  over and is down for `fallen_s`. That is how a herd at the return makes a second outage of the first
  (Bronson and others, "Metastable Failures in Distributed Systems", HotOS 2021).
"""

import heapq
import math
from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from statistics import NormalDist

from message_sender.policy.model import Outcome
from message_sender.testbed.history import EffectApplied

NEVER = math.inf
NORMAL = NormalDist()

#: What a receiver knows of the execution of a call, by its outcome.
EFFECT_BY_OUTCOME = {
    Outcome.OK: EffectApplied.YES,
    Outcome.ERROR: EffectApplied.YES,
    Outcome.MALFORMED: EffectApplied.YES,
    Outcome.RESET: EffectApplied.MAYBE,
    Outcome.FULL: EffectApplied.NEVER,
}


class Spread(Enum):
    """How the times of service are distributed round their mean."""

    CONSTANT = "constant"
    EXPONENTIAL = "exponential"
    LOGNORMAL = "lognormal"  # `cv` is its coefficient of variation
    PARETO = "pareto"  # `cv` is its index, above 1: the lower, the heavier its tail


@dataclass(frozen=True, slots=True)
class Service:
    mean_s: float
    spread: Spread = Spread.EXPONENTIAL
    cv: float = 1.0

    def seconds(self, share: float) -> float:
        """The time below which `share` (0 to 1) of all calls stay: the inverse of the distribution."""
        share = min(max(share, 1e-9), 1 - 1e-9)
        match self.spread:
            case Spread.CONSTANT:
                return self.mean_s
            case Spread.EXPONENTIAL:
                return -self.mean_s * math.log1p(-share)
            case Spread.LOGNORMAL:
                sigma = math.sqrt(math.log1p(self.cv**2))
                return self.mean_s * math.exp(sigma * NORMAL.inv_cdf(share) - sigma**2 / 2)
            case Spread.PARETO:
                least = self.mean_s * (self.cv - 1) / self.cv
                return float(least * (1 - share) ** (-1 / self.cv))


class Trouble(Enum):
    SHUT = "shut"  # connections are refused
    SILENT = "silent"  # connections are not answered at all
    HANGS = "hangs"  # takes calls and answers none
    ERRORS = "errors"  # `size` is the share of calls that fail, quickly
    FULL = "full"  # refuses all with a wait of `size` s; 0: without
    SLOW = "slow"  # `size` times as slow
    DEGRADES = "degrades"  # slower and slower, `size` times at its end
    SPOILT = "spoilt"  # `size` is the share of answers that cannot be read, of calls that ran
    RESETS = "resets"  # `size` is the share of calls whose connection breaks after the last byte
    LIMIT = "limit"  # its limit is `size` times as high


#: Troubles after which a destination is cold.
OUTAGES = frozenset({Trouble.SHUT, Trouble.SILENT, Trouble.HANGS, Trouble.FULL})


@dataclass(frozen=True, slots=True)
class Phase:
    """A trouble from `at` until `until`. `seen_by` names the senders for which alone it is so, `zone` where
    alone; none: all."""

    at: float
    until: float
    what: Trouble
    size: float = 1.0
    seen_by: frozenset[str] = frozenset()
    zone: str = ""

    def is_outage(self) -> bool:
        """Of the whole destination, for everybody: what leaves some endpoints or senders served does not make
        it cold."""
        return self.what in OUTAGES and not self.zone and not self.seen_by

    def holds(self, now: float, sender: str, zone: str) -> bool:
        here = not self.zone or zone == self.zone
        return here and self.at <= now < self.until and (not self.seen_by or sender in self.seen_by)


@dataclass(frozen=True, slots=True)
class Limit:
    rate: float  # calls a second
    span_s: float = 0.0  # a count in each span of that length; 0: a token bucket
    burst: float = 1.0  # tokens that a bucket holds
    refused_count: bool = False  # a refused call uses the limit up too
    carried: float = 0.0  # share of a span's room that calls refused in the one before may use up
    tells: float = 0.0  # share of the refusals that tell how long to wait


@dataclass(frozen=True, slots=True)
class Terms:
    service: Service = Service(0.05)
    workers: int = 4
    queue: int = 16
    limit: Limit | None = None
    cold_s: float = 0.0  # 0: it is never cold
    cold_from: float = 0.2
    push: float = 2.0
    push_s: float = 1.5
    fallen_s: float = 0.0  # how long it is down once it was pushed over; 0: it is never pushed over

    def capacity(self) -> float:
        """Calls a second that it can take when it is warm, in the mean."""
        able = self.workers / self.service.mean_s
        return min(able, self.limit.rate) if self.limit else able


@dataclass(frozen=True, slots=True)
class Fate:
    """What becomes of a call: its outcome after so many seconds, None for never, and the wait it tells."""

    outcome: Outcome
    after: float | None
    wait: float = 0.0
    connected: bool = True  # False: its connection never came up
    ran: bool = False  # it has, or will have, its effect


@dataclass(frozen=True, slots=True)
class ReceiverRandom:
    """A call's own draws, each from 0 to 1: the same for the same call whatever a sender did before."""

    service: float
    trouble: float
    tells: float


@dataclass(frozen=True, slots=True)
class Fall:
    """It was pushed over."""

    at: float
    pushed_by: tuple[str, ...]  # the sender of each call that did it


@dataclass
class Receiver:
    """One destination, or one route of one whose endpoints are apart."""

    terms: Terms
    phases: list[Phase] = field(default_factory=list)
    served: int = 0
    refused: int = 0
    falls: list["Fall"] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.busy = [0.0] * self.terms.workers  # a heap: when each worker is free
        self.begins: deque[float] = deque()  # of calls that still wait, when they begin
        self.span, self.counted, self.turned_away = -1, 0.0, 0  # of the limit: the span and what it took
        self.tokens, self.filled = self.terms.limit.burst if self.terms.limit else 0.0, 0.0
        self.came: deque[tuple[float, str]] = deque()  # calls of the last `push_s`, and whose
        self.down_until = 0.0

    def trouble(self, now: float, sender: str, zone: str = "") -> Phase | None:
        """The one that binds: an outage before anything else, and the latest begun of alike ones."""
        found = [each for each in self.phases if each.holds(now, sender, zone)]
        return max(found, key=lambda each: (each.what in OUTAGES, each.at)) if found else None

    def cold_since(self, now: float) -> float:
        """When the last outage of all of it ended; -inf for none."""
        ends = [each.until for each in self.phases if each.is_outage() and each.until <= now]
        return max([*ends, *(fell.at + self.terms.fallen_s for fell in self.falls)], default=-NEVER)

    def warmth(self, now: float) -> float:
        """The share of its capacity that it has now."""
        since = now - self.cold_since(now)
        if not self.terms.cold_s or since >= self.terms.cold_s:
            return 1.0
        return self.terms.cold_from + (1 - self.terms.cold_from) * max(since, 0.0) / self.terms.cold_s

    def call(self, now: float, sender: str, luck: ReceiverRandom, zone: str = "") -> Fate:
        """A call's last byte has come, or its connection was asked for, at `now`; times do not go back.
        `zone` is that of the endpoint which it came to."""
        phase = self.trouble(now, sender, zone)
        what = phase.what if phase else None
        if now < self.down_until or what is Trouble.SHUT:
            return Fate(Outcome.CONNECT_FAILED, 0.0, connected=False)
        if what is Trouble.SILENT:
            return Fate(Outcome.CONNECT_FAILED, None, connected=False)
        if self.pushed_over(now, sender):
            return Fate(Outcome.RESET, 0.001)
        if phase and what is Trouble.HANGS:
            return Fate(Outcome.TIMEOUT, None, ran=True)
        if phase and what is Trouble.FULL:
            self.refused += 1
            return Fate(Outcome.FULL, 0.002, phase.size)
        if refusal := self.over_limit(now, phase, luck):
            return refusal
        if phase and what is Trouble.ERRORS and luck.trouble < phase.size:
            return Fate(Outcome.ERROR, 0.005, ran=True)
        return self.serve(now, phase, luck)

    def pushed_over(self, now: float, sender: str) -> bool:
        """Whether this call is the one too many."""
        if not self.terms.fallen_s:
            return False
        self.count(now, sender)
        if self.warmth(now) >= 1 or len(self.came) <= max(self.allowed(now), 2.0):
            return False
        self.falls.append(Fall(now, tuple(each for _, each in self.came)))
        self.down_until = now + self.terms.fallen_s
        self.came.clear()
        return True

    def count(self, now: float, sender: str) -> None:
        """One more call of the last `push_s`; older ones go."""
        self.came.append((now, sender))
        while self.came[0][0] <= now - self.terms.push_s:
            self.came.popleft()

    def allowed(self, now: float) -> float:
        """Calls that it may get in `push_s`, as warm as it is."""
        return self.terms.push * self.terms.capacity() * self.warmth(now) * self.terms.push_s

    def over_limit(self, now: float, phase: Phase | None, luck: ReceiverRandom) -> Fate | None:
        limit = self.terms.limit
        if limit is None:
            return None
        rate = limit.rate * (phase.size if phase and phase.what is Trouble.LIMIT else 1.0)
        wait = self.span_wait(now, limit, rate) if limit.span_s else self.bucket_wait(now, limit, rate)
        if wait <= 0:
            return None
        self.refused += 1
        return Fate(Outcome.FULL, 0.002, wait if luck.tells < limit.tells else 0.0)

    def span_wait(self, now: float, limit: Limit, rate: float) -> float:
        """0: there is room in this span, and it is taken; else how long it still lasts."""
        span = int(now / limit.span_s)
        room = max(rate * limit.span_s, 1.0)
        if span != self.span:
            lost = self.turned_away if span == self.span + 1 else 0
            self.span, self.turned_away = span, 0
            self.counted = min(float(lost), limit.carried * room)
        over = self.counted + 1 > room
        self.turned_away += over
        if not over or limit.refused_count:
            self.counted += 1
        return (span + 1) * limit.span_s - now if over else 0.0

    def bucket_wait(self, now: float, limit: Limit, rate: float) -> float:
        """0: there was a token, and it is taken; else how long until there is one."""
        self.tokens = min(self.tokens + (now - self.filled) * rate, limit.burst)
        self.filled = now
        if self.tokens >= 1:
            self.tokens -= 1
            return 0.0
        if limit.refused_count:
            self.tokens = max(self.tokens - 1, -limit.burst)
        return (1 - self.tokens) / rate

    def serve(self, now: float, phase: Phase | None, luck: ReceiverRandom) -> Fate:
        while self.begins and self.begins[0] <= now:
            self.begins.popleft()
        if len(self.begins) >= self.terms.queue and self.busy[0] > now:
            self.refused += 1
            return Fate(Outcome.FULL, 0.002)
        took = self.terms.service.seconds(luck.service) * self.slowness(now, phase) / self.warmth(now)
        begins = max(now, heapq.heappop(self.busy))
        heapq.heappush(self.busy, begins + took)
        if begins > now:
            self.begins.append(begins)
        self.served += 1
        after = begins + took - now
        if phase and phase.what is Trouble.SPOILT and luck.trouble < phase.size:
            return Fate(Outcome.MALFORMED, after, ran=True)
        if phase and phase.what is Trouble.RESETS and luck.trouble < phase.size:
            return Fate(Outcome.RESET, after, ran=True)
        return Fate(Outcome.OK, after, ran=True)

    def slowness(self, now: float, phase: Phase | None) -> float:
        if phase is None:
            return 1.0
        if phase.what is Trouble.DEGRADES:
            return 1 + (phase.size - 1) * (now - phase.at) / (phase.until - phase.at)
        return phase.size if phase.what is Trouble.SLOW else 1.0
