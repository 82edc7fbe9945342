"""The circuit breaker of a destination, or of each endpoint where the endpoints are separate routes.

States and transitions:

- **closed**: `failures` is below the threshold. Calls are sent at least `gap` apart. A served call resets the
  count and shrinks the gap; a refusal (the destination is at capacity) doubles the gap; a failure adds to
  the count. Where the endpoint list announces rates, a refusal raises the gap to the time between calls at
  this sender's part of the announced rate. The gap grows beyond that in two cases: if all calls are refused
  for longer than the window of a rate limit, since the destination is then out of service; and in a large
  fleet, since the limit may have been lowered. In a large fleet with announced rates, the gap shrinks
  exponentially with the time since the last success or the last growth of the gap, whichever is later.
- **open**: the threshold is reached. No call is sent until `trial_at`, which is the reset timeout after the
  last failure.
- **half-open**: one call is in flight as `trial`. A success closes the breaker, and the gap begins at
  `base_gap` unless it is longer; any failure or refusal restarts the timeout.

Independently of these states, `wait_until` is the end of a Retry-After that the destination announced: no
call is sent before it. `outage` knows when the destination was out, and when its warm-up (slow start) began:
calls are then limited to a fraction of the load under which a cold destination fails.

The algorithm does no I/O and reads no clock: all times are whole microseconds that the caller passes in.
"""

import math

from message_sender.policy.breaker_context import BreakerContext
from message_sender.policy.model import Effect, Endpoint, Outcome
from message_sender.policy.outage import OutageCause, OutageTracker
from message_sender.policy.pending_message import PendingMessage

NEVER = math.inf

# Opening and closing.
FAILURE_THRESHOLD = 3  # consecutive failures that open the breaker
ERROR_WEIGHT = 1 / 3  # weight of an error answer; a failure without an answer has weight 1
RESET_TIMEOUT_US = 2_000_000  # from the last failure to the trial call

# The gap between calls where the endpoint list announces no rate.
BASE_GAP_US = 100_000  # the gap after the first refusal; a gap below half of it ends
GAP_SHRINK = 0.15  # fraction by which each served call shrinks the gap

# The gap where the endpoint list announces a rate. The factors multiply the time between calls at this
# sender's part of that rate.
ANNOUNCED_GAP_FACTOR = 1.2  # first gap; above 1 because refused calls count against the limit too
ANNOUNCED_GAP_SHRINK = 0.03  # replaces GAP_SHRINK for a gap up to the first gap
ANNOUNCED_MAX_GAP_FACTOR = 4  # the longest gap
MAX_LIMIT_WINDOW_US = 2_000_000  # longest time for which a rate limit refuses all calls

# Large fleets: each member sees few calls.
LARGE_FLEET_SHRINK_TIME_US = 5_000_000  # time in which served calls shrink a gap above the first to 1/e
LARGE_FLEET_ANNOUNCED_SHRINK_TIME_US = 15_000_000  # the same for a gap up to the first gap
LARGE_FLEET_GAP_DIVISOR = 8  # a gap below the first gap divided by this number ends

# Health and latency.
SUSPECT_FAILURE_RATE = 0.4  # recent failures per call from which a destination may have been down
SMOOTHING_WEIGHT = 0.125  # of the newest call in moving averages, as in TCP round-trip estimation (RFC 6298)
OVERDUE_DEVIATIONS = 4  # a call is overdue this many mean deviations above the mean latency (RFC 6298)

#: Failures in which the destination did answer.
ANSWERED_FAILURES = frozenset({Outcome.ERROR, Outcome.MALFORMED})
#: Failures that commonly concern a single connection only.
ISOLATED_FAILURES = ANSWERED_FAILURES | {Outcome.RESET, Outcome.CONNECT_FAILED}


class TrackedEndpoint:
    """An endpoint that is listed as ready.

    Attributes:
        listed: Its entry in the endpoint list.
        in_flight: Number of calls in flight.
        suspect_until: Other endpoints are preferred until this time.
        last_sent: When the newest call was sent.
        connect_refused_at: When a connection was last refused.
        connections_scarce_until: Until this time other senders need this sender's idle connections.
        weighted_calls: Calls divided by the endpoint's weight, since its destination's list changed.
        breaker: None while its destination is inactive.
    """

    __slots__ = (
        "breaker", "connect_refused_at", "connections_scarce_until", "in_flight", "last_sent", "listed",
        "suspect_until", "weighted_calls",
    )  # fmt: skip

    def __init__(self, listed: Endpoint) -> None:
        """Creates an endpoint that has not been called."""
        self.listed = listed
        self.in_flight = 0
        self.suspect_until = 0.0
        self.last_sent = -NEVER
        self.connect_refused_at = -NEVER
        self.connections_scarce_until = -NEVER
        self.weighted_calls = 0.0
        self.breaker: Breaker | None = None


class ActiveCall:
    """A call in flight. A call carries several messages where the destination accepts batches.

    Attributes:
        sent_at: When the call was sent.
        sequence: Its position in the order of all calls.
        messages: Its messages that have no result yet, by id.
        is_settled: Its first result has been counted.
        is_overdue: It has taken so long that it has been counted as a failure.
        is_cancelled: Its cancellation has been requested.
    """

    def __init__(self, breaker: "Breaker", endpoint: TrackedEndpoint, now: int, sequence: int) -> None:
        """Creates a call that is sent now and has no messages yet."""
        self.breaker = breaker
        self.endpoint = endpoint
        self.sent_at = now
        self.sequence = sequence
        self.messages: dict[str, PendingMessage] = {}
        self.is_settled = False
        self.is_overdue = False
        self.is_cancelled = False

    def has_effects(self) -> bool:
        """Whether a repeat of one of its messages may do harm."""
        return any(each.message_class.effect is not Effect.IDEMPOTENT for each in self.messages.values())


class Breaker:
    """A circuit breaker with pacing, Retry-After and slow start; see the description of the module.

    Attributes:
        failures: Weighted failures since the last success.
        trial_at: While the breaker is open: when the trial call may be sent.
        trial: The trial call in flight; None if there is none.
        gap: Least time between calls; 0: calls are not paced. A first refusal raises it to `base_gap`, in a
            large fleet to this value at most; `max_gap` is its upper bound.
        gap_changed: When the gap last grew.
        announced_gap: Time between calls at this sender's part of the announced rate; NEVER without a rate.
        in_flight: Number of calls in flight.
        last_sent: When the newest call was sent.
        wait_until: End of the announced Retry-After.
        calls_since_success: Failed and refused calls since the last success.
        failure_rate: Recent failures per call, a moving average.
        outage: When the destination was out, and when its warm-up began.
        route: Id of the endpoint, if the endpoints are separate routes; otherwise empty.
        newest_success_sent_at: When the newest successful call was sent.
        mean_latency: Moving average over successful calls; `latency_deviation` is the mean deviation and
            `latency_samples` the number of calls, where the initial guess counts as one call.
        success_count: Successful calls, decayed by age; `success_time` is the time between them, likewise.
        last_success: When a call last succeeded; NEVER before the first success.
        refused_since: When the first refusal since the last success came; NEVER if there is none.
        on_time_calls: Calls in flight that are not overdue, oldest first.
        overdue_calls: Calls in flight that are overdue.
    """

    __slots__ = (
        "announced_gap", "base_gap", "calls_since_success", "context", "destination", "failure_rate",
        "failures", "gap", "gap_changed", "in_flight", "last_sent", "last_success", "latency_deviation",
        "latency_samples", "max_gap", "mean_latency", "newest_success_sent_at", "on_time_calls", "outage",
        "overdue_calls", "refused_since", "route", "success_count", "success_time", "trial", "trial_at",
        "wait_until",
    )  # fmt: skip

    def __init__(self, context: BreakerContext, destination: int, route: str = "") -> None:
        """Creates a closed breaker for the destination with the given number."""
        self.context = context
        self.destination = destination
        self.route = route
        self.outage = OutageTracker(context.settings)
        self.failures = 0.0
        self.trial_at: float = -NEVER
        self.trial: ActiveCall | None = None
        self.max_gap = RESET_TIMEOUT_US * context.fleet_factor
        self.base_gap = BASE_GAP_US * context.fleet_factor
        self.gap = 0.0
        self.gap_changed = -NEVER
        self.announced_gap = NEVER
        self.in_flight = 0
        self.last_sent = -NEVER
        self.wait_until = 0
        self.calls_since_success = 0
        self.failure_rate = 0.0
        self.newest_success_sent_at = -NEVER
        self.mean_latency = context.min_latency_objective / 4
        self.latency_deviation = context.min_latency_objective / 8
        self.latency_samples = 1
        self.success_count = 0.1
        self.success_time = RESET_TIMEOUT_US / 20 * context.fleet_factor
        self.last_success = NEVER
        self.refused_since = NEVER
        self.on_time_calls: dict[ActiveCall, None] = {}
        self.overdue_calls: dict[ActiveCall, None] = {}

    @property
    def warm_up_since(self) -> float:
        """When the destination was last known to be out, or when its warm-up began, us."""
        return self.outage.warm_up_since

    @warm_up_since.setter
    def warm_up_since(self, at: float) -> None:
        self.outage.warm_up_since = at

    def set_announced_rate(self, rate: float) -> None:
        """Scales both bounds of the gap to the announced rate.

        This avoids long gaps at busy destinations, and calls beyond its limit at any destination.

        Args:
            rate: Calls a second that the destination accepts from all senders together; above 0.
        """
        self.announced_gap = 1e6 * self.context.settings.fleet_size / rate
        self.max_gap = min(
            RESET_TIMEOUT_US * self.context.fleet_factor, ANNOUNCED_MAX_GAP_FACTOR * self.announced_gap
        )
        self.base_gap = min(ANNOUNCED_GAP_FACTOR * self.announced_gap, self.max_gap)

    def is_open(self) -> bool:
        """Whether the breaker is open or half-open."""
        return self.failures >= FAILURE_THRESHOLD

    def has_unserved_outage(self) -> bool:
        """Whether no call was served since the destination was last known to be out."""
        last_success = -NEVER if self.last_success == NEVER else self.last_success
        return self.calls_since_success > 0 and self.warm_up_since > last_success

    def ready_at(self, now: int) -> float:
        """Returns when the next call may be sent, estimated from the present gap; NEVER during a trial."""
        if self.is_open():
            return NEVER if self.trial else max(self.wait_until, self.trial_at)
        return max(self.wait_until, self.last_sent + max(self.gap, self.warm_up_gap(now)))

    def earliest_ready_at(self, now: int) -> float:
        """Returns the first microsecond at which a call may be sent if no event happens until then.

        While a destination warms up the gap shrinks with time, so that may be earlier than `ready_at(now)`.
        """
        estimate = self.ready_at(now)
        if estimate <= now or estimate == NEVER or self.is_open() or self.warm_up_gap(now) <= self.gap:
            return estimate
        low = now
        high = math.ceil(estimate)
        while high - low > 1:
            middle = (low + high) // 2
            if self.ready_at(middle) <= middle:
                high = middle
            else:
                low = middle
        return float(high)

    def restart_timeout(self, now: int) -> None:
        """Restarts the reset timeout.

        In a large fleet a failed trial also restarts the warm-up, whose gap may extend the timeout.
        """
        timeout: float = RESET_TIMEOUT_US
        if self.trial and self.context.fleet_factor > 1:
            self.outage.note_out(now, OutageCause.FAILED)
            timeout = max(timeout, self.warm_up_gap(now) * self.context.rng.uniform(0.5, 1.5))
        self.trial = None
        self.trial_at = now + timeout

    def warm_up_gap(self, now: int) -> float:
        """Returns the time between calls while the destination warms up, us; 0 after the warm-up.

        The permitted rate is this sender's usual rate (or, in a new process, its part of the announced rate)
        times the load that the destination is expected to bear.
        """
        outage = self.outage
        if now - outage.warm_up_since >= outage.warm_up_length:
            return 0.0
        load = outage.warm_up_load(now)
        return min(min(self.success_time / self.success_count, self.announced_gap) / load, 2 * self.max_gap)

    def overdue_at(self) -> float:
        """Returns when the oldest call that is on time becomes overdue; NEVER if there is no such call."""
        oldest = next(iter(self.on_time_calls), None)
        return oldest.sent_at + self.overdue_after() if oldest else NEVER

    def overdue_after(self) -> float:
        """Returns how long a call may take before it is overdue, us."""
        return max(
            self.mean_latency + OVERDUE_DEVIATIONS * self.latency_deviation,
            self.context.min_latency_objective / 4,
        )

    def open_for_outage(self, now: int, cause: OutageCause) -> None:
        """Opens the breaker for a destination that is out, whatever the number of its failures."""
        self.failures = max(self.failures, float(FAILURE_THRESHOLD))
        self.calls_since_success = max(self.calls_since_success, 1)
        self.restart_timeout(now)
        self.outage.note_out(now, cause)

    def record_failure(
        self, now: int, outcome: Outcome = Outcome.TIMEOUT, cause: OutageCause = OutageCause.FAILED
    ) -> None:
        """Counts a failure.

        A member of a large fleet sees few calls during an outage, so one failure restarts the warm-up unless
        failures of its kind are commonly isolated. All members see the outage: their next calls are spread.
        """
        self.failures += ERROR_WEIGHT if outcome in ANSWERED_FAILURES else 1
        self.restart_timeout(now)
        self.failure_rate += (1 - self.failure_rate) * SMOOTHING_WEIGHT
        min_calls = 2 if outcome in ISOLATED_FAILURES else 1
        self.record_unserved(now, max(FAILURE_THRESHOLD / self.context.fleet_factor, min_calls), cause)
        if self.context.fleet_factor > 1 and self.warm_up_since == now:
            self.last_sent += self.warm_up_gap(now) * self.context.rng.uniform(-0.5, 0.5)

    def record_refusal(self, now: int, call: ActiveCall, retry_after_us: int = 0) -> None:
        """Counts a refusal by a destination at capacity.

        Args:
            now: The time.
            call: The refused call. A call that was sent before the gap last grew leaves the gap unchanged.
            retry_after_us: The wait that the destination announced; 0 for none.
        """
        if call is self.trial:
            self.restart_timeout(now)
        if call.sent_at < self.gap_changed:
            return
        self.refused_since = min(self.refused_since, now)
        # A rate limit neither refuses nor announces a wait beyond the end of its window; an outage does.
        is_out_of_service = max(now - self.refused_since, retry_after_us) > MAX_LIMIT_WINDOW_US
        may_exceed_base = is_out_of_service or self.announced_gap == NEVER or self.context.fleet_factor > 1
        bound = self.max_gap if may_exceed_base else self.base_gap
        self.gap = min(max(2 * self.gap, self.initial_gap()), bound)
        self.gap_changed = now
        min_calls = max(FAILURE_THRESHOLD / self.context.fleet_factor, 2) if is_out_of_service else NEVER
        self.record_unserved(now, min_calls, OutageCause.REFUSED)
        if retry_after_us > MAX_LIMIT_WINDOW_US and self.context.fleet_factor <= 1:
            self.outage.note_out(now + retry_after_us, OutageCause.REFUSED)
        # Spreads senders that received the same Retry-After, so that they do not return together.
        delay = self.context.rng.uniform(0, 2 * self.gap) * (1 - 1 / self.context.fleet_factor)
        self.wait_until = max(self.wait_until, now) + math.ceil(delay)

    def initial_gap(self) -> float:
        """Returns the gap after the first refusal.

        Members of a large fleet have unequal parts of the traffic. At the mean gap, a member with more than
        the mean part would leave capacity unused that the other members never request.
        """
        usual_gap = max(self.success_time / self.success_count, self.base_gap / LARGE_FLEET_GAP_DIVISOR)
        return self.base_gap if self.context.fleet_factor <= 1 else min(self.base_gap, usual_gap)

    def record_unserved(self, now: int, min_calls: float, cause: OutageCause) -> None:
        """Counts a call that was not served: the destination may be out.

        Args:
            now: The time.
            min_calls: Number of consecutive unserved calls from which the destination may be out.
            cause: Why the call was not served.
        """
        self.calls_since_success += 1
        if self.calls_since_success >= min_calls or self.failure_rate >= SUSPECT_FAILURE_RATE:
            self.outage.note_out(now, cause)

    def record_success(self, now: int, call: ActiveCall) -> None:
        """Counts a served call: closes the breaker, shrinks the gap and updates the averages."""
        self.newest_success_sent_at = max(self.newest_success_sent_at, call.sent_at)
        latency = now - call.sent_at
        self.latency_samples += 1
        weight = max(SMOOTHING_WEIGHT, 1 / self.latency_samples)
        self.latency_deviation += (abs(latency - self.mean_latency) - self.latency_deviation) * weight
        self.mean_latency += (latency - self.mean_latency) * weight
        since_success = now - self.last_success
        if self.calls_since_success == 0 and self.warm_up_gap(now) == 0 and since_success >= 0:
            decay = math.exp(-since_success / self.context.settings.slow_start)
            self.success_count = self.success_count * decay + 1
            self.success_time = self.success_time * decay + since_success
        self.shrink_gap(now, since_success if since_success >= 0 else NEVER)
        if call.is_overdue and self.outage.is_out:
            self.last_sent = now  # the destination has begun the call only now
        self.outage.note_served(call.sent_at, bool(self.failures) and self.context.fleet_factor > 1)
        self.last_success = now
        self.failures = 0
        self.calls_since_success = 0
        self.trial = None
        self.refused_since = NEVER
        self.failure_rate *= 1 - SMOOTHING_WEIGHT

    def shrink_gap(self, now: int, since_success: float) -> None:
        """Shrinks the gap after a served call, and ends it once it is a small fraction of `base_gap`.

        Args:
            now: The time.
            since_success: Time since the previous successful call, us.
        """
        has_rate = self.announced_gap < NEVER
        is_in_large_fleet = has_rate and self.context.fleet_factor > 1
        is_below_base = has_rate and self.gap <= self.base_gap
        shrink = ANNOUNCED_GAP_SHRINK if is_below_base else GAP_SHRINK
        if is_in_large_fleet and not self.is_open():
            elapsed = min(since_success, now - self.gap_changed)
            shrink_time = (
                LARGE_FLEET_ANNOUNCED_SHRINK_TIME_US if is_below_base else LARGE_FLEET_SHRINK_TIME_US
            )
            shrink = 1 - math.exp(-elapsed / shrink_time)
        self.gap = max(self.gap, self.base_gap if self.is_open() else 0) * (1 - shrink)
        if self.gap < self.base_gap / (LARGE_FLEET_GAP_DIVISOR if is_in_large_fleet else 2):
            self.gap = 0.0
