"""The circuit breaker of a destination, or of each endpoint where these are separate routes.

Its states, and what moves it between them:

- **closed**: `failures` is under the threshold. Calls go, at least `gap` apart. A served call zeroes the
  count and takes a share off the gap; a refusal as full doubles the gap; a failure adds to the count.
  Where the list tells rates, a refusal brings the gap to this sender's part of the told one. It grows
  further where all calls are refused for longer than a limit's span: then the destination is shut; and in
  a crowd, whose limit may have been lowered: there the share grows with the time since the last change.
- **open**: the threshold is reached. Nothing goes until `trial_at`, the reset timeout after the last
  failure.
- **half-open**: one call is out as `trial`. Served, it closes the breaker, with a gap from its small step;
  anything that speaks against it restarts the timeout.

Across these lie a told wait (`wait_until`: nothing goes before, in any state) and the warm-up of one that
may have been out (`cold_since`: calls go at most at a stated multiple of what a cold destination can do).
Pure: times are whole microseconds that the caller tells.
"""

import math
import random
from dataclasses import dataclass

from message_sender.policy.events import MessageAccepted
from message_sender.policy.model import Effect, Endpoint, MessageClass, Outcome, Settings

FAILURE_THRESHOLD = 3  # failures in a row; a small destination would take too long to show the paper's five
RESET_TIMEOUT_US = 2_000_000  # us from the last failure to the trial; the design page's figure
BASE_GAP_US = 100_000  # us, the smallest gap: about one call's time at a destination of usual pace
#: Times the time between calls at this sender's part of the told rate: the step there; for uneven splits.
ANNOUNCED_GAP_FACTOR = 1.2  # where refused calls use the limit up too, calls beyond it are lost twice
ANNOUNCED_GAP_SHRINK = 0.03  # GAP_SHRINK up to that: many are served before one asks for what others leave
ANNOUNCED_MAX_GAP_FACTOR = 4  # times that: the gap at the most; a cold destination takes a fifth, and has its own gap
MAX_LIMIT_WINDOW_US = 2_000_000  # us, the longest span of a limit: what refuses all calls for longer is shut
#: Of a crowd, whose members see few calls: us in which served calls take the gap to 1/e, above the step (a
#: lowered limit is up again within seconds) and below it (what one asks for beyond its part, others leave).
LARGE_FLEET_SHRINK_TIME_US, LARGE_FLEET_ANNOUNCED_SHRINK_TIME_US = 5_000_000, 15_000_000
LARGE_FLEET_GAP_DIVISOR = 8  # one part of the step at which a crowd's gap ends; at a half, all it holds would go at once
SMALL_FLEET_SIZE = 4  # senders up to which the gap ends at the reset timeout; more share a limit more thinly
GAP_SHRINK = 0.15  # share of the gap that a served call takes off: five serve to undo most of a doubling
DOUBTFUL_FAILURE_RATE = 0.4  # recent failures among calls from which a destination is doubtful: far above stray errors
SMOOTHING_WEIGHT = 0.125  # weight of the newest call in that share and in the usual time; as TCP smooths round trips
OVERDUE_DEVIATIONS = 4  # mean deviations above the usual time from which a call is overdue; TCP's time-out rule
WARM_UP_LENGTH_FACTOR = 2  # times the warm-up for which calls go at its pace, faster and faster
WARM_UP_LOAD_FACTOR = 0.75  # of fall_multiple: a returning destination is paced at that times its warm share
ANSWERED_FAILURES = frozenset({Outcome.ERROR, Outcome.MALFORMED})
ISOLATED_FAILURES = ANSWERED_FAILURES | {Outcome.RESET, Outcome.CONNECT_FAILED}  # one is commonly its connection's alone
#: Of a failure: an error is an answer, also a spoilt one; the paper allows a threshold for each kind.
ERROR_WEIGHT = 1 / 3
NEVER = math.inf


class TrackedEndpoint:
    __slots__ = ("bad_until", "breaker", "last_sent", "listed", "out", "refused_at", "scarce_until", "turns")

    def __init__(self, listed: Endpoint) -> None:
        self.listed, self.out = listed, 0
        self.bad_until, self.last_sent = 0.0, -NEVER
        self.refused_at, self.scarce_until = -NEVER, -NEVER  # a connect was refused; others need ours
        self.turns = 0.0  # calls over its weight, since the list of its destination changed
        self.breaker: Breaker | None = None  # while its destination is asleep


class PendingMessage:
    def __init__(self, taken: MessageAccepted, kind: MessageClass, now: int, share: float) -> None:
        self.id, self.kind, self.destination = taken.message, kind, taken.destination
        self.key, self.pinned = taken.key if kind.is_ordered else "", taken.pinned_endpoint
        self.until, self.born, self.came = now + taken.time_left, now + taken.time_left - kind.deadline, now
        self.share = share  # 1, or what is left of its worth over its tenant's share
        self.attempts, self.out, self.ended, self.restored = 0, False, False, False
        self.risky_since: int | None = None  # sending of the first attempt that may have run
        self.risky_zone = ""
        self.number = 0  # the order in which it came to be held
        self.queued = False  # among those of its destination that may go next


class ActiveCall:
    """One call at a destination; several messages share it where they travel as a batch."""

    def __init__(self, breaker: "Breaker", endpoint: TrackedEndpoint, now: int, number: int) -> None:
        self.breaker, self.endpoint, self.sent, self.number = breaker, endpoint, now, number
        self.messages: dict[str, PendingMessage] = {}
        self.settled = self.overdue = self.called_off = False  # settled: its result has been counted

    def risks(self) -> bool:
        return any(each.kind.effect is not Effect.IDEMPOTENT for each in self.messages.values())


@dataclass(frozen=True, slots=True)
class BreakerContext:
    """What is the same for all breakers of a sender."""

    settings: Settings
    rng: random.Random
    crowd: float  # as many times more senders share a limit than the gap reckons with
    least_aim: int

    @classmethod
    def of(cls, settings: Settings, rng: random.Random) -> "BreakerContext":
        crowd = max(settings.fleet_size / SMALL_FLEET_SIZE, 1)
        return cls(settings, rng, crowd, min(each.latency_objective for each in settings.classes))


class Breaker:
    """The paper's breaker, with the gap, told waits and the warm-up after an outage."""

    __slots__ = (
        "calls", "cold_since", "destination", "failures", "fresh", "full_since", "gap", "gap_changed",
        "known", "last_sent", "last_served", "most_gap", "out", "pace", "served_sent", "sick", "span",
        "spread", "step", "stuck", "told_gap", "took", "trial", "trial_at", "unserved", "wait_until",
    )  # fmt: skip

    def __init__(self, pace: BreakerContext, destination: int) -> None:
        self.pace, self.destination = pace, destination
        self.failures, self.trial_at, self.trial = 0.0, -NEVER, None  # type: float, float, ActiveCall | None
        self.most_gap = RESET_TIMEOUT_US * pace.crowd
        self.step, self.gap, self.gap_changed = BASE_GAP_US * pace.crowd, 0.0, -NEVER
        self.out, self.last_sent, self.wait_until = 0, -NEVER, 0
        self.unserved, self.sick, self.cold_since = 0, 0.0, -NEVER  # unserved: calls since the last served
        self.served_sent = -NEVER  # sending of the newest call that was served
        self.took, self.spread, self.known = pace.least_aim / 4, pace.least_aim / 8, 1
        self.calls, self.span, self.last_served = 0.1, RESET_TIMEOUT_US / 20 * pace.crowd, NEVER
        self.full_since = NEVER  # the first refusal since a call was served
        self.told_gap = NEVER  # between own calls at this sender's part of the rate that the list tells
        self.fresh: dict[ActiveCall, None] = {}  # out and not overdue, oldest first
        self.stuck: dict[ActiveCall, None] = {}  # out and overdue

    def told_rate(self, rate: float) -> None:
        """Scale both bounds of the gap to the announced rate, in calls a second: no long gaps at a busy
        destination, and no more calls than a limit allows."""
        self.told_gap = 1e6 * self.pace.settings.fleet_size / rate
        self.most_gap = min(RESET_TIMEOUT_US * self.pace.crowd, ANNOUNCED_MAX_GAP_FACTOR * self.told_gap)
        self.step = min(ANNOUNCED_GAP_FACTOR * self.told_gap, self.most_gap)

    def is_open(self) -> bool:
        return self.failures >= FAILURE_THRESHOLD

    def ready_at(self, now: int) -> float:
        """When the next call may go, as seen now; NEVER while a trial's result decides it."""
        if self.is_open():
            return NEVER if self.trial else max(self.wait_until, self.trial_at)
        return max(self.wait_until, self.last_sent + max(self.gap, self.cold_gap(now)))

    def free_at(self, now: int) -> float:
        """The same, and right: where the gap shrinks while a destination warms up, `ready_at` comes nearer as
        time goes. The first microsecond from which the call may go, if nothing happens until then."""
        late = self.ready_at(now)
        if late <= now or late == NEVER or self.is_open() or self.cold_gap(now) <= self.gap:
            return late
        early, most = now, math.ceil(late)
        while most - early > 1:
            middle = (early + most) // 2
            early, most = (early, middle) if self.ready_at(middle) <= middle else (middle, most)
        return float(most)

    def restart(self, now: int) -> None:
        """Restart the reset timeout; in a large fleet a failed trial waits out a cold destination's gap."""
        timeout: float = RESET_TIMEOUT_US
        if self.trial and self.pace.crowd > 1:
            self.cold_since = now
            timeout = max(timeout, self.cold_gap(now) * self.pace.rng.uniform(0.5, 1.5))
        self.trial, self.trial_at = None, now + timeout

    def cold_gap(self, now: int) -> float:
        """Rule: a returning destination is not overloaded. Own usual rate, or for one that was started again
        its part of the told one, times the share that is warm. The share grows on beyond the whole: guards
        one that has just become warm from all that is held for it, at once, by each of its senders."""
        settings = self.pace.settings
        if (warm := (now - self.cold_since) / settings.slow_start) >= WARM_UP_LENGTH_FACTOR:
            return 0.0
        share = settings.slow_start_from + (1 - settings.slow_start_from) * max(warm, 0.0)
        push = settings.fall_multiple * WARM_UP_LOAD_FACTOR * share
        return min(min(self.span / self.calls, self.told_gap) / push, 2 * self.most_gap)

    def overdue_at(self) -> float:
        """When the oldest call that is not overdue is; NEVER with none out. The patience is one for all."""
        oldest = next(iter(self.fresh), None)
        return oldest.sent + self.patience() if oldest else NEVER

    def patience(self) -> float:
        """How long a call may take before it is overdue."""
        return max(self.took + OVERDUE_DEVIATIONS * self.spread, self.pace.least_aim / 4)

    def failed(self, now: int, outcome: Outcome = Outcome.TIMEOUT) -> None:
        """Members of a crowd see few calls of an outage, one that is no stray may be all; and all see it."""
        self.failures += ERROR_WEIGHT if outcome in ANSWERED_FAILURES else 1
        self.restart(now)
        self.sick += (1 - self.sick) * SMOOTHING_WEIGHT
        self.doubt(now, max(FAILURE_THRESHOLD / self.pace.crowd, 2 if outcome in ISOLATED_FAILURES else 1))
        if self.pace.crowd > 1 and self.cold_since == now:  # not back together
            self.last_sent += self.cold_gap(now) * self.pace.rng.uniform(-0.5, 0.5)

    def refused(self, now: int, call: ActiveCall, wait: int = 0) -> None:
        """`wait`: the one that it told, 0 for none."""
        if call is self.trial:
            self.restart(now)
        if call.sent >= self.gap_changed:  # calls sent before the gap last grew say nothing of it
            self.full_since = min(self.full_since, now)
            # A limit refuses until its span ends, which is no outage; nor does it tell a longer wait.
            shut = max(now - self.full_since, wait) > MAX_LIMIT_WINDOW_US
            most = self.most_gap if shut or self.told_gap == NEVER or self.pace.crowd > 1 else self.step
            self.gap, self.gap_changed = min(max(2 * self.gap, self.first_gap()), most), now
            self.doubt(now, max(FAILURE_THRESHOLD / self.pace.crowd, 2) if shut else NEVER)
            # Told alike, back apart.
            late = self.pace.rng.uniform(0, 2 * self.gap) * (1 - 1 / self.pace.crowd)
            self.wait_until = max(self.wait_until, now) + math.ceil(late)

    def first_gap(self) -> float:
        """Where the first refusal brings the gap. Members of a crowd see unlike parts of the traffic: at the
        mean one's part, a busy one would leave unused what the others never ask for."""
        own = max(self.span / self.calls, self.step / LARGE_FLEET_GAP_DIVISOR)
        return self.step if self.pace.crowd <= 1 else min(self.step, own)

    def doubt(self, now: int, run: float) -> None:
        """What may be an outage restarts the warm-up: a run of unserved calls, or many failures of late."""
        self.unserved += 1
        if self.unserved >= run or self.sick >= DOUBTFUL_FAILURE_RATE:
            self.cold_since = now

    def served(self, now: int, call: ActiveCall) -> None:
        took = now - call.sent
        self.served_sent = max(self.served_sent, call.sent)
        self.known += 1
        weight = max(SMOOTHING_WEIGHT, 1 / self.known)  # the first guess counts as one call
        self.spread += (abs(took - self.took) - self.spread) * weight
        self.took += (took - self.took) * weight
        passed = now - self.last_served
        if self.unserved == 0 and self.cold_gap(now) == 0 and passed >= 0:
            fade = math.exp(-passed / self.pace.settings.slow_start)
            self.calls, self.span = self.calls * fade + 1, self.span * fade + passed
        self.narrow(now, passed if passed >= 0 else NEVER)
        if self.failures and self.pace.crowd > 1:  # it came back between the two
            self.cold_since = max((self.cold_since + call.sent) / 2, self.cold_since)
        self.last_served = now
        self.failures, self.unserved, self.trial = 0, 0, None
        self.full_since = NEVER
        self.sick *= 1 - SMOOTHING_WEIGHT

    def narrow(self, now: int, passed: float) -> None:
        """A served call takes a share off the gap; `passed`: us since the one before."""
        told = self.told_gap < NEVER
        paced, crowd = told and self.gap <= self.step, told and self.pace.crowd > 1
        share = ANNOUNCED_GAP_SHRINK if paced else GAP_SHRINK
        if crowd and not self.is_open():
            since = min(passed, now - self.gap_changed)
            share = 1 - math.exp(-since / (LARGE_FLEET_ANNOUNCED_SHRINK_TIME_US if paced else LARGE_FLEET_SHRINK_TIME_US))
        self.gap = max(self.gap, self.step if self.is_open() else 0) * (1 - share)
        self.gap *= self.gap >= self.step / (LARGE_FLEET_GAP_DIVISOR if crowd else 2)
