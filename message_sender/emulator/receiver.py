"""Model of a destination, which decides the result of each call that it receives. Free of I/O.

A destination has workers, a queue, an optional rate limit, and faults ("troubles") at given times. Times are
in seconds of the emulated clock, rates in calls a second.

- *Service.* `workers` calls are served at a time and `queue` calls wait; further calls are rejected as full
  (a G/G/c/K station; Gross and others, "Fundamentals of Queueing Theory", ch. 1).
- *Limit.* A maximum number of calls in each window of fixed length, or a token bucket (RFC 2697 calls its
  size the burst). Rejected calls may count against the limit, too. Calls rejected in one window may use up
  at most the share `carried` of the next one.
- *Slow start.* After an outage a destination has the share `cold_from` of its capacity, which grows linearly
  to all of it within `cold_s` seconds: its caches are empty, and connections must be established again.
- *Overload.* If a destination that is still warming up receives more than `push` times its current capacity
  over `push_s` seconds, it fails and is down for `fallen_s`. In this way the load that returns after one
  outage causes a second one (Bronson and others, "Metastable Failures in Distributed Systems", HotOS 2021).
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

#: Whether a call had its effect, as far as its outcome shows.
EFFECT_BY_OUTCOME = {
    Outcome.OK: EffectApplied.YES,
    Outcome.ERROR: EffectApplied.YES,
    Outcome.MALFORMED: EffectApplied.YES,
    Outcome.RESET: EffectApplied.MAYBE,
    Outcome.FULL: EffectApplied.NEVER,
}


class Spread(Enum):
    """Distribution of the service times around their mean."""

    CONSTANT = "constant"
    EXPONENTIAL = "exponential"
    LOGNORMAL = "lognormal"  # `cv` is its coefficient of variation
    PARETO = "pareto"  # `cv` is its index, above 1: the lower, the heavier its tail


@dataclass(frozen=True, slots=True)
class Service:
    """Distribution of the service times of calls, in seconds."""

    mean_s: float
    spread: Spread = Spread.EXPONENTIAL
    cv: float = 1.0

    def quantile_s(self, share: float) -> float:
        """Returns a quantile: the service time that the given share of calls, 0 to 1, does not exceed."""
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
                minimum = self.mean_s * (self.cv - 1) / self.cv
                return float(minimum * (1 - share) ** (-1 / self.cv))


class Trouble(Enum):
    """Kinds of faults; `size` is the size of the phase."""

    SHUT = "shut"  # connections are refused
    SILENT = "silent"  # connection attempts get no answer
    HANGS = "hangs"  # calls are accepted and never answered
    ERRORS = "errors"  # `size` is the share of calls that fail quickly
    FULL = "full"  # all calls are rejected, with a Retry-After of `size` s; 0: without one
    SLOW = "slow"  # service times are `size` times as long
    DEGRADES = "degrades"  # service times grow linearly to `size` times their length at the end
    SPOILT = "spoilt"  # `size` is the share of executed calls whose answer is malformed
    RESETS = "resets"  # `size` is the share of calls whose connection is reset after the last byte
    LIMIT = "limit"  # the rate limit is multiplied by `size`


#: Faults after which a destination goes through its slow start.
OUTAGES = frozenset({Trouble.SHUT, Trouble.SILENT, Trouble.HANGS, Trouble.FULL})


@dataclass(frozen=True, slots=True)
class Phase:
    """A fault from `at` until `until`.

    Attributes:
        at: When it begins, in seconds.
        until: When it ends, in seconds; not included.
        what: The kind of fault.
        size: Its size; `Trouble` says what it means for each kind.
        seen_by: Names of the affected senders; empty for all.
        zone: Zone of the affected endpoints; empty for all.
    """

    at: float
    until: float
    what: Trouble
    size: float = 1.0
    seen_by: frozenset[str] = frozenset()
    zone: str = ""

    def is_outage(self) -> bool:
        """Returns whether the whole destination is out of service.

        A fault that leaves some endpoints or senders served is none: the destination stays warm.
        """
        return self.what in OUTAGES and not self.zone and not self.seen_by

    def affects(self, now: float, sender: str, zone: str) -> bool:
        """Returns whether the fault affects a call of a sender to an endpoint in a zone now."""
        is_in_zone = not self.zone or zone == self.zone
        return is_in_zone and self.at <= now < self.until and (not self.seen_by or sender in self.seen_by)


@dataclass(frozen=True, slots=True)
class Limit:
    """A rate limit.

    Attributes:
        rate: Calls a second.
        span_s: Length of the windows in which calls are counted, in seconds; 0 for a token bucket.
        burst: Size of the token bucket, in calls.
        refused_count: A rejected call counts against the limit, too.
        carried: Largest share of a window that calls rejected in the previous window use up.
        tells: Share of the rejections that have a Retry-After.
    """

    rate: float
    span_s: float = 0.0
    burst: float = 1.0
    refused_count: bool = False
    carried: float = 0.0
    tells: float = 0.0


@dataclass(frozen=True, slots=True)
class Terms:
    """The parameters of a destination.

    Attributes:
        service: Distribution of its service times.
        workers: Number of calls that it serves at a time.
        queue: Number of calls that may wait.
        limit: Its rate limit.
        cold_s: Length of its slow start in seconds; 0 for none.
        cold_from: Share of its capacity at the beginning of the slow start.
        push: Multiple of its current capacity above which it fails while it warms up.
        push_s: Period over which that load is measured, in seconds.
        fallen_s: How long it is down after such a failure, in seconds; 0 if it never fails of overload.
    """

    service: Service = Service(0.05)
    workers: int = 4
    queue: int = 16
    limit: Limit | None = None
    cold_s: float = 0.0
    cold_from: float = 0.2
    push: float = 2.0
    push_s: float = 1.5
    fallen_s: float = 0.0

    def capacity(self) -> float:
        """Returns the mean number of calls a second that it can serve when it is warm."""
        service_rate = self.workers / self.service.mean_s
        return min(service_rate, self.limit.rate) if self.limit else service_rate


@dataclass(frozen=True, slots=True)
class CallResult:
    """The result of a call.

    Attributes:
        outcome: Its outcome.
        delay_s: Seconds until the outcome; None if there is no answer.
        retry_after_s: The Retry-After in seconds; 0 for none.
        connected: The connection was established.
        ran: The call is executed, now or later.
    """

    outcome: Outcome
    delay_s: float | None
    retry_after_s: float = 0.0
    connected: bool = True
    ran: bool = False


@dataclass(frozen=True, slots=True)
class ReceiverRandom:
    """The random numbers of one call, each from 0 to 1.

    They belong to the call, so that they do not depend on what a sender did before.
    """

    service: float
    trouble: float
    retry_after: float


@dataclass(frozen=True, slots=True)
class OverloadFailure:
    """A failure by overload.

    Attributes:
        at: When it happened, in seconds.
        senders: The sender of each call in the period that exceeded the allowed load.
    """

    at: float
    senders: tuple[str, ...]


@dataclass
class Receiver:
    """A destination, or one endpoint of a destination whose endpoints are separate routes.

    Attributes:
        terms: Its parameters.
        phases: Its faults.
        served: Number of calls that it served.
        refused: Number of calls that it rejected as full.
        overload_failures: Its failures by overload.
        recent_calls: Time and sender of each call in the last `push_s` seconds.
    """

    terms: Terms
    phases: list[Phase] = field(default_factory=list)
    served: int = 0
    refused: int = 0
    overload_failures: list["OverloadFailure"] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Creates an idle receiver with a full token bucket."""
        self.worker_free_at = [0.0] * self.terms.workers  # a heap
        self.service_starts: deque[float] = deque()  # of the calls in the queue
        self.window, self.window_count, self.window_rejections = -1, 0.0, 0  # of a limit with windows
        self.tokens, self.refilled_at = self.terms.limit.burst if self.terms.limit else 0.0, 0.0
        self.recent_calls: deque[tuple[float, str]] = deque()
        self.down_until = 0.0

    def active_phase(self, now: float, sender: str, zone: str = "") -> Phase | None:
        """Returns the fault that decides the result of a call now, or None.

        Outages come before other faults; among equals, the one that began last decides.
        """
        active = [each for each in self.phases if each.affects(now, sender, zone)]
        return max(active, key=lambda each: (each.what in OUTAGES, each.at)) if active else None

    def cold_since(self, now: float) -> float:
        """Returns when the last outage of the whole destination ended; -inf if there was none."""
        ends = [each.until for each in self.phases if each.is_outage() and each.until <= now]
        return max(
            [*ends, *(each.at + self.terms.fallen_s for each in self.overload_failures)], default=-NEVER
        )

    def warmth(self, now: float) -> float:
        """Returns the share of its capacity that it has now."""
        since = now - self.cold_since(now)
        if not self.terms.cold_s or since >= self.terms.cold_s:
            return 1.0
        return self.terms.cold_from + (1 - self.terms.cold_from) * max(since, 0.0) / self.terms.cold_s

    def call(self, now: float, sender: str, draws: ReceiverRandom, zone: str = "") -> CallResult:
        """Decides the result of a call.

        Args:
            now: When its last byte arrived, or when its connection was requested, in seconds. Must not
                decrease from one call to the next.
            sender: The name of its sender.
            draws: Its random numbers.
            zone: The zone of its endpoint.

        Returns:
            The result of the call, also when it comes later.
        """
        phase = self.active_phase(now, sender, zone)
        what = phase.what if phase else None
        if now < self.down_until or what is Trouble.SHUT:
            return CallResult(Outcome.CONNECT_FAILED, 0.0, connected=False)
        if what is Trouble.SILENT:
            return CallResult(Outcome.CONNECT_FAILED, None, connected=False)
        if self.fails_by_overload(now, sender):
            return CallResult(Outcome.RESET, 0.001)
        if phase and what is Trouble.HANGS:
            return CallResult(Outcome.TIMEOUT, None, ran=True)
        if phase and what is Trouble.FULL:
            self.refused += 1
            return CallResult(Outcome.FULL, 0.002, phase.size)
        if rejection := self.apply_limit(now, phase, draws):
            return rejection
        if phase and what is Trouble.ERRORS and draws.trouble < phase.size:
            return CallResult(Outcome.ERROR, 0.005, ran=True)
        return self.serve(now, phase, draws)

    def fails_by_overload(self, now: float, sender: str) -> bool:
        """Counts a call, and returns whether the destination fails by overload with it."""
        if not self.terms.fallen_s:
            return False
        self.record_call(now, sender)
        if self.warmth(now) >= 1 or len(self.recent_calls) <= max(self.overload_threshold(now), 2.0):
            return False
        self.overload_failures.append(OverloadFailure(now, tuple(each for _, each in self.recent_calls)))
        self.down_until = now + self.terms.fallen_s
        self.recent_calls.clear()
        return True

    def record_call(self, now: float, sender: str) -> None:
        """Records a call, and drops those older than `push_s`."""
        self.recent_calls.append((now, sender))
        while self.recent_calls[0][0] <= now - self.terms.push_s:
            self.recent_calls.popleft()

    def overload_threshold(self, now: float) -> float:
        """Returns the number of calls in `push_s` seconds above which it fails, at its current capacity."""
        return self.terms.push * self.terms.capacity() * self.warmth(now) * self.terms.push_s

    def apply_limit(self, now: float, phase: Phase | None, draws: ReceiverRandom) -> CallResult | None:
        """Counts a call against the rate limit.

        Returns:
            The rejection of the call, or None if it is within the limit.
        """
        limit = self.terms.limit
        if limit is None:
            return None
        rate = limit.rate * (phase.size if phase and phase.what is Trouble.LIMIT else 1.0)
        wait = self.window_wait(now, limit, rate) if limit.span_s else self.bucket_wait(now, limit, rate)
        if wait <= 0:
            return None
        self.refused += 1
        return CallResult(Outcome.FULL, 0.002, wait if draws.retry_after < limit.tells else 0.0)

    def window_wait(self, now: float, limit: Limit, rate: float) -> float:
        """Counts a call in the current window.

        Returns:
            0 if it is within the limit, else the seconds until the next window.
        """
        window = int(now / limit.span_s)
        capacity = max(rate * limit.span_s, 1.0)
        if window != self.window:
            carried = self.window_rejections if window == self.window + 1 else 0
            self.window, self.window_rejections = window, 0
            self.window_count = min(float(carried), limit.carried * capacity)
        is_over = self.window_count + 1 > capacity
        self.window_rejections += is_over
        if not is_over or limit.refused_count:
            self.window_count += 1
        return (window + 1) * limit.span_s - now if is_over else 0.0

    def bucket_wait(self, now: float, limit: Limit, rate: float) -> float:
        """Takes a token for a call.

        Returns:
            0 if there was a token, else the seconds until there is one.
        """
        self.tokens = min(self.tokens + (now - self.refilled_at) * rate, limit.burst)
        self.refilled_at = now
        if self.tokens >= 1:
            self.tokens -= 1
            return 0.0
        if limit.refused_count:
            self.tokens = max(self.tokens - 1, -limit.burst)
        return (1 - self.tokens) / rate

    def serve(self, now: float, phase: Phase | None, draws: ReceiverRandom) -> CallResult:
        """Gives a call to the next free worker, or rejects it if the queue is full."""
        while self.service_starts and self.service_starts[0] <= now:
            self.service_starts.popleft()
        if len(self.service_starts) >= self.terms.queue and self.worker_free_at[0] > now:
            self.refused += 1
            return CallResult(Outcome.FULL, 0.002)
        service_s = (
            self.terms.service.quantile_s(draws.service) * self.slowdown(now, phase) / self.warmth(now)
        )
        start = max(now, heapq.heappop(self.worker_free_at))
        heapq.heappush(self.worker_free_at, start + service_s)
        if start > now:
            self.service_starts.append(start)
        self.served += 1
        after = start + service_s - now
        if phase and phase.what is Trouble.SPOILT and draws.trouble < phase.size:
            return CallResult(Outcome.MALFORMED, after, ran=True)
        if phase and phase.what is Trouble.RESETS and draws.trouble < phase.size:
            return CallResult(Outcome.RESET, after, ran=True)
        return CallResult(Outcome.OK, after, ran=True)

    def slowdown(self, now: float, phase: Phase | None) -> float:
        """Returns the factor by which the fault lengthens service times."""
        if phase is None:
            return 1.0
        if phase.what is Trouble.DEGRADES:
            return 1 + (phase.size - 1) * (now - phase.at) / (phase.until - phase.at)
        return phase.size if phase.what is Trouble.SLOW else 1.0
