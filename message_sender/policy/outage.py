"""When a destination was out, and when its warm-up began. Pure: no I/O, no clock.

Each circuit breaker has one tracker. Rules:

- **Out**: enough consecutive calls were not served (`Breaker.record_unserved` counts them). The destination
  is known to have been out until the last of them.
- **Announced waits**: a destination that announces a Retry-After beyond the window of a rate limit is out
  until the end of that wait, as it says itself. Not so in a large fleet, whose members spread their calls
  behind the wait.
- **Overdue calls**: a destination that is out is known to be out as long as an overdue call goes on. So the
  end of such a call, whatever its result, is the latest time at which the destination is known to have been
  out. No other call may show that: hung calls can fill the destination's limit, and no trial is sent.
- **Silence**: calls that a silent destination has not begun all arrive when it returns. So while nothing at
  all has come back from a destination for longer than its calls usually take, this sender's calls without an
  answer are limited to its part of what the destination may get at its return. Beyond that, a call is sent
  only while none is in flight. Calls that this sender has given up, or that an earlier process had in flight,
  count too. A destination that answers is not limited.
- **Back**: a call is served. The destination warms up from the last time at which it is known to have been
  out, but from `OutageTracker.longest_unknown` before the start of the served call at the earliest: where no
  call was made for longer, as during a Retry-After or without an endpoint, nothing is known of that time. In
  a large fleet, whose members make few calls, it warms up from midway between its last failure and the start
  of the served call: the members' trial calls are spread, so that their estimates are right on average.
- **Warm-up**: the destination bears a fraction of its usual load, which grows with time. The warm-up goes on
  for some time after the destination is warm, so that the senders do not send all their pending messages
  together.

What a tracker knows is observed, not owed: it has an age, and the more careful of two values wins.
"""

import math
from enum import Enum

from message_sender.policy.model import Outcome, Settings

WARM_UP_LENGTH_FACTOR = 2  # calls are paced for this multiple of Settings.slow_start
WARM_UP_LOAD_FACTOR = 0.75  # load during the warm-up, as a fraction of Settings.fall_multiple

#: Longest time before a served call in which a destination that was out may have come back unnoticed: the
#: reset timeout of a breaker, and the time that a trial call waits for the loop.
MAX_UNKNOWN_US = 2_500_000
MAX_UNKNOWN_FRACTION = 1 / 5  # of Settings.slow_start: a larger part of the warm-up is never taken as done

#: Fraction of the calls in the first window after a return that may have been sent before it.
SHARE_AT_RETURN = 0.85
#: Outcomes other than success by which a destination shows that it is there.
SIGNS_OF_LIFE = frozenset({Outcome.ERROR, Outcome.FULL, Outcome.MALFORMED, Outcome.RESET})
#: Outcomes after which the destination will not begin the call.
NEVER_ARRIVED = frozenset({Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.STALE})


class OutagePhase(Enum):
    """What a tracker knows of its destination."""

    SERVING = "serving"
    OUT = "out"
    WARMING_UP = "warming_up"


class OutageCause(Enum):
    """Why a destination is taken to be out, or to warm up."""

    NONE = "none"
    OVERDUE = "overdue"  # calls without an answer
    FAILED = "failed"
    REFUSED = "refused"
    RETURNED = "returned"  # operators took its endpoints back into service
    INACTIVE = "inactive"  # it has not been called for a long time
    RESTORED = "restored"  # an earlier process of this sender knew it to be out
    INHERITED = "inherited"  # the predecessor that handed over knew it


class OutageTracker:
    """What is known of the outages of one destination, or of one separate route.

    Attributes:
        warm_up_length: How long the load is limited, us.
        warm_up_since: While the destination is out: when it was last known to be out. After that: when its
            warm-up began. Microseconds; minus infinity before the first outage.
        is_out: No call was served since the destination was last known to be out.
        cause: Why it was last taken to be out, or to warm up.
        unanswered: Number of calls since the destination was last heard of that it may still begin.
        quiet_since: When the first of them was sent, us.
        has_spent_limit_before: An earlier process has sent as many of them as the destination may have.
    """

    __slots__ = (
        "cause",
        "has_spent_limit_before",
        "is_out",
        "quiet_since",
        "settings",
        "unanswered",
        "warm_up_length",
        "warm_up_since",
    )

    def __init__(self, settings: Settings) -> None:
        """Creates the tracker of a destination without a known outage."""
        self.settings = settings
        self.warm_up_length = WARM_UP_LENGTH_FACTOR * settings.slow_start
        self.warm_up_since = -math.inf
        self.is_out = False
        self.cause = OutageCause.NONE
        self.unanswered = 0
        self.quiet_since = -math.inf
        self.has_spent_limit_before = False

    def note_out(self, until: int, cause: OutageCause) -> None:
        """Records that the destination is out until this time, us: now, or the end of an announced wait."""
        self.is_out = True
        self.warm_up_since = max(self.warm_up_since, until)
        self.cause = cause

    def note_overdue_call_ended(self, now: int) -> None:
        """Records that a call that was overdue has ended: a destination that is out was out until now."""
        if self.is_out:
            self.warm_up_since = max(self.warm_up_since, now)

    def note_served(self, sent_at: int, has_spread_trials: bool) -> None:
        """Records a served call, which ends the outage.

        Args:
            sent_at: When the call was sent, us.
            has_spread_trials: Calls have failed, and the members of a large fleet spread their trial calls.
        """
        self.unanswered = 0
        self.has_spent_limit_before = False
        if has_spread_trials:
            self.warm_up_since = max((self.warm_up_since + sent_at) / 2, self.warm_up_since)
        elif self.is_out:
            self.warm_up_since = max(self.warm_up_since, sent_at - self.longest_unknown())
        self.is_out = False

    def longest_unknown(self) -> float:
        """Returns the longest time before a served call that may count as a part of the warm-up, us."""
        return min(MAX_UNKNOWN_US, self.settings.slow_start * MAX_UNKNOWN_FRACTION)

    # Calls without an answer.

    def note_call_sent(self, sent_at: float) -> None:
        """Records the start of a call, us."""
        if not self.unanswered:
            self.quiet_since = sent_at
        self.unanswered += 1

    def note_unserved_call_ended(self, outcome: Outcome) -> None:
        """Records the end of a call that was not served."""
        if outcome in SIGNS_OF_LIFE:
            self.unanswered = 0
            self.has_spent_limit_before = False
        elif outcome in NEVER_ARRIVED:
            self.unanswered = max(self.unanswered - 1, 0)

    def note_earlier_calls(self, count: int, now: float) -> None:
        """Records calls of an earlier process whose results are not known."""
        if not self.unanswered:
            self.quiet_since = now
        self.unanswered += count

    def is_silent(self, now: float, silence_after_us: float) -> bool:
        """Whether nothing has come back for this time, us, although calls were sent."""
        is_quiet_for_long = now - self.quiet_since > silence_after_us or self.has_spent_limit_before
        return self.unanswered > 0 and is_quiet_for_long

    def part_of_return_calls(self, usual_rate: float) -> float:
        """Returns this sender's part of the calls that the destination may have received when it returns.

        Calls beyond those that it bears in a window are attributed to chance, up to twice the square root
        plus two. A part of them is left for the calls right behind the return.

        Args:
            usual_rate: Calls a second that the destination gets from all senders together.
        """
        settings = self.settings
        window_s = settings.overload_window / 1e6
        bearable = settings.fall_multiple * settings.slow_start_from * usual_rate * window_s
        return SHARE_AT_RETURN * (bearable + 2 * math.sqrt(bearable) + 2) / settings.fleet_size

    # The warm-up.

    def begin_warm_up(self, now: float, cause: OutageCause) -> None:
        """Begins a warm-up without an outage that calls have shown."""
        self.is_out = False
        self.warm_up_since = now
        self.cause = cause

    def phase(self, now: float) -> OutagePhase:
        """Returns what is known of the destination at this time, us."""
        if self.is_out:
            return OutagePhase.OUT
        return OutagePhase.WARMING_UP if self.is_warming_up(now) else OutagePhase.SERVING

    def is_warming_up(self, now: float) -> bool:
        """Whether the load of the destination is limited at this time, us."""
        return now - self.warm_up_since < self.warm_up_length

    def warm_up_load(self, now: float) -> float:
        """Returns the load that the destination is expected to bear, relative to its usual load.

        The load grows with the warm fraction of the capacity, and continues to grow beyond 1.

        Returns:
            The load; infinity after the warm-up.
        """
        if not self.is_warming_up(now):
            return math.inf
        progress = (now - self.warm_up_since) / self.settings.slow_start
        slow_start_from = self.settings.slow_start_from
        warm_fraction = slow_start_from + (1 - slow_start_from) * max(progress, 0.0)
        return self.settings.fall_multiple * WARM_UP_LOAD_FACTOR * warm_fraction
