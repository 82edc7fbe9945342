"""The history checker: checks the messages and calls observed on the sockets against the delivery rules.

The checker is pure and does not use anything that a sender reports about itself. The rules:

1. *one end*: each admitted message is completed exactly once, no later than `late_tolerance` after its
   deadline. If the sender was down at the deadline, the time counts from the return of the sender.
2. *no effect twice*: after a call that may have had its effect, a further call for the message is sent only
   if the class allows it: an idempotent class always; a keyed class within the idempotency window of the
   first such call, and only in the same zone if the window is zonal; an unsafe class never. The completion
   `refused` asserts that a repetition of the message is harmless, so the same rule applies to it.
3. *one at a time*: a message never has two calls in flight at once.
4. *drains*: no call to an endpoint starts later than `drain_grace` after the sender was notified that the
   endpoint is draining.
5. *cold*: after an outage, a destination receives at most `max_overload` times its capacity during slow
   start, measured over `overload_interval`. The rule does not apply if most of the calls came from senders
   that did not see the outage.
6. *order*: messages with the same ordering key are sent in the order of their admission, and their calls do
   not overlap. After a call that may have had its effect without an answer, the next message waits for
   `key_pause`.
7. *waits*: no call to a destination starts before the Retry-After that the destination sent has elapsed,
   except within `retry_after_grace` of the answer. A restart of the sender ends the wait.
"""

import itertools
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from message_sender.policy.model import Effect
from message_sender.testbed.history import (
    NEVER,
    AttemptFinished,
    AttemptStarted,
    EffectApplied,
    EndpointDrained,
    EndpointRestored,
    HistoryEvent,
    MessageAdmitted,
    MessageCompleted,
    MessageRejected,
    ObservedCall,
    Outage,
    SenderRestarted,
)

Interval = tuple[float, float]


@dataclass(frozen=True, slots=True)
class ClassRule:
    """The delivery guarantees of a message class; `idempotency_window` is in seconds."""

    effect: Effect = Effect.IDEMPOTENT
    idempotency_window: float = 0.0
    is_zonal: bool = False
    is_ordered: bool = False


@dataclass(frozen=True, slots=True)
class Rules:
    """The parameters of the rules; all times are in seconds.

    The tolerances cover the delays that loopback sockets and a busy machine add.

    Attributes:
        classes: The rule of each class.
        zones: The zone of each endpoint.
        destinations: The destination of each endpoint.
        capacity: The calls per second that each destination can take after its slow start.
        late_tolerance: How long after its deadline a message may be completed.
        drain_grace: How long after a drain calls to the endpoint may still start.
        key_pause: How long an ordering key pauses after a call without an answer.
        clock_tolerance: The largest difference between the times that two stand-ins record for one instant.
        retry_after_grace: How long after an answer with Retry-After calls may still start.
        slow_start: The duration of the slow start of a destination.
        slow_start_from: The share of its capacity that a destination has at the beginning of the slow start.
        max_overload: The highest allowed ratio of the calls received to the present capacity.
        overload_interval: The interval over which the overload is measured.
    """

    classes: dict[str, ClassRule]
    zones: dict[str, str] = field(default_factory=dict)
    destinations: dict[str, int] = field(default_factory=dict)
    capacity: dict[int, float] = field(default_factory=dict)
    late_tolerance: float = 0.35
    drain_grace: float = 0.55
    key_pause: float = 0.1
    clock_tolerance: float = 0.01
    retry_after_grace: float = 0.1
    slow_start: float = 13.0
    slow_start_from: float = 0.2
    max_overload: float = 2.0
    overload_interval: float = 1.5


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of a rule: the name of the rule, the time in seconds, and a description."""

    rule: str
    at: float
    text: str


@dataclass(frozen=True, slots=True)
class Overload:
    """An interval with too many calls: its start in seconds, and the number of calls."""

    at: float
    calls: int


class HistoryChecker:
    """Checks one history against the rules."""

    def __init__(self, rules: Rules) -> None:
        """Create a checker without events."""
        self.rules = rules
        self.violations: list[Violation] = []
        self.admitted: dict[str, MessageAdmitted] = {}
        self.rejected: dict[str, MessageRejected] = {}
        self.completed: dict[str, list[MessageCompleted]] = defaultdict(list)
        self.calls: dict[int, ObservedCall] = {}
        self.calls_of: dict[str, list[ObservedCall]] = defaultdict(list)  # by message
        # By endpoint and notified sender:
        self.drained_at: dict[tuple[str, str], float] = {}
        self.past_drains: dict[tuple[str, str], list[Interval]] = defaultdict(list)
        self.outages: list[Outage] = []
        self.restarts: dict[str, list[float]] = defaultdict(list)  # by sender
        self.downtimes: dict[str, list[Interval]] = defaultdict(list)  # by sender

    def check(self, events: Iterable[HistoryEvent], until: float | None = None) -> list[Violation]:
        """Check every rule.

        Args:
            events: The history.
            until: The end of the history, in seconds; by default the time of its latest event. A message
                whose deadline is later need not be completed.

        Returns:
            All violations, in the order of the rules.
        """
        latest = 0.0
        for event in events:
            latest = max(latest, event.at)
            self.add_event(event)
        self.check_completions(latest if until is None else until)
        for message, calls in self.calls_of.items():
            self.check_repeated_effects(message, calls)
            self.check_concurrent_calls(message, calls)
        self.check_drains()
        self.check_slow_starts()
        self.check_order()
        self.check_waits()
        return self.violations

    def add_event(self, event: HistoryEvent) -> None:
        """Index an event for the checks."""
        match event:
            case MessageAdmitted():
                self.admitted.setdefault(event.message, event)
            case MessageRejected():
                self.rejected[event.message] = event
            case MessageCompleted():
                self.completed[event.message].append(event)
            case AttemptStarted():
                call = self.calls[event.call] = ObservedCall(event)
                self.calls_of[event.message].append(call)
            case AttemptFinished():
                self.calls[event.call].finish = event
            case EndpointDrained():
                self.drained_at.setdefault((event.endpoint, event.sender), event.at)
            case EndpointRestored():
                self.end_drain(event)
            case Outage():
                self.outages.append(event)
            case SenderRestarted():
                self.add_restart(event)

    def end_drain(self, event: EndpointRestored) -> None:
        """Close the interval of a drain, if the endpoint was draining."""
        key = (event.endpoint, event.sender)
        drained_at = self.drained_at.pop(key, None)
        if drained_at is not None:
            self.past_drains[key].append((drained_at, event.at))

    def add_restart(self, event: SenderRestarted) -> None:
        """Add a restart, which makes the outcomes of the sender's calls in flight unknown to the sender."""
        self.restarts[event.sender].append(event.at)
        self.downtimes[event.sender].append((event.at, event.back))
        for call in self.calls.values():
            is_in_flight = call.finish is None and call.restarted_at is None
            if is_in_flight and call.start.sender == event.sender:
                call.restarted_at = event.at

    def add_violation(self, rule: str, at: float, text: str) -> None:
        """Add a violation."""
        self.violations.append(Violation(rule, at, text))

    def check_completions(self, until: float) -> None:
        """Check the rule "one end" of a history that ends at `until`."""
        for message, admitted in self.admitted.items():
            self.check_completion(message, admitted, until)
        for message, rejected in self.rejected.items():
            if message not in self.admitted and self.calls_of.get(message):
                self.add_violation("one end", rejected.at, f"{message} was rejected, but a call was sent")

    def check_completion(self, message: str, admitted: MessageAdmitted, until: float) -> None:
        """Check the rule "one end" of one message."""
        ends = self.completed.get(message, [])
        if len(ends) > 1:
            states = " and ".join(end.state for end in ends)
            self.add_violation("one end", ends[1].at, f"{message} was completed repeatedly: {states}")
        latest_end = self.completion_due(admitted) + self.rules.late_tolerance
        if not ends:
            if until > latest_end:
                self.add_violation("one end", admitted.until, f"{message} was not completed")
            return
        end = ends[0]
        if end.at > latest_end:
            self.add_violation(
                "one end", end.at, f"{message} was completed {end.at - admitted.until:.3f} s too late"
            )
        if end.state == "delivered" and not any(call.may_have_run() for call in self.calls_of[message]):
            self.add_violation(
                "one end", end.at, f"{message} was delivered without a call that had its effect"
            )

    def completion_due(self, admitted: MessageAdmitted) -> float:
        """Return when a message is due: at its deadline, or when its sender is back if it was down then."""
        due = admitted.until
        for down_at, back_at in sorted(self.downtimes[admitted.sender]):
            if down_at <= due < back_at:
                due = back_at
        return due

    def class_rule(self, message: str) -> ClassRule:
        """Return the rule for the class of a message.

        For a message that was not admitted, the returned rule allows everything.
        """
        admitted = self.admitted.get(message)
        return self.rules.classes.get(admitted.kind, ClassRule()) if admitted else ClassRule()

    def check_repeated_effects(self, message: str, calls: list[ObservedCall]) -> None:
        """Check the rule "no effect twice" of one message."""
        rule = self.class_rule(message)
        if rule.effect is Effect.IDEMPOTENT:
            return
        first = next((call for call in calls if call.may_have_run()), None)
        if first is None:
            return
        for call in calls[calls.index(first) + 1 :]:
            self.check_repetition(rule, first, call)
        for end in self.completed.get(message, []):
            if end.state == "refused" and (rule.effect is Effect.UNSAFE or rule.is_zonal):
                self.add_violation(
                    "no effect twice", end.at, f"{message} was refused, but a call may have had its effect"
                )

    def check_repetition(self, rule: ClassRule, first: ObservedCall, call: ObservedCall) -> None:
        """Check a call that follows `first`, the first call of its message that may have had its effect."""
        at = call.start.at
        reason = ""
        if rule.effect is Effect.UNSAFE:
            reason = "after a call that may have had its effect"
        elif at > first.start.at + rule.idempotency_window:
            reason = "after its idempotency window"
        elif rule.is_zonal and self.zone_of(call) != self.zone_of(first):
            reason = "in another zone"
        if reason:
            self.add_violation("no effect twice", at, f"{call.start.message} was sent again {reason}")

    def zone_of(self, call: ObservedCall) -> str:
        """Return the zone of the endpoint of a call."""
        return self.rules.zones.get(call.start.endpoint, "")

    def check_concurrent_calls(self, message: str, calls: list[ObservedCall]) -> None:
        """Check the rule "one at a time" of one message."""
        for before, after in itertools.pairwise(calls):
            if after.start.at < before.end() and before.restarted_at is None:
                text = f"two calls for {message} were in flight at once"
                self.add_violation("one at a time", after.start.at, text)

    def check_drains(self) -> None:
        """Check the rule "drains"."""
        for call in self.calls.values():
            key = (call.start.endpoint, call.start.sender)
            drains = [*self.past_drains.get(key, ()), (self.drained_at.get(key, NEVER), NEVER)]
            at = call.start.at
            if any(begins + self.rules.drain_grace < at < ends for begins, ends in drains):
                self.add_violation("drains", at, f"{call.start.endpoint} was called after its drain grace")

    def check_slow_starts(self) -> None:
        """Check the rule "cold"."""
        for outage in self.outages:
            capacity = self.rules.capacity.get(outage.destination)
            if capacity is None:
                continue
            starts = [
                call.start
                for call in self.calls.values()
                if self.rules.destinations.get(call.start.endpoint) == outage.destination
                and outage.until <= call.start.at < outage.until + self.rules.slow_start
            ]
            if overload := self.find_overload(starts, outage, capacity):
                text = f"destination {outage.destination} received {overload.calls} calls during slow start"
                self.add_violation("cold", overload.at, text)

    def find_overload(self, starts: list[AttemptStarted], outage: Outage, capacity: float) -> Overload | None:
        """Return the first interval with more calls than a destination may receive, or None.

        Intervals in which less than two thirds of the calls came from senders that saw the outage are
        ignored.
        """
        rules = self.rules
        times = [start.at for start in starts]
        for index, first_at in enumerate(times):
            calls = starts[index : bisect_left(times, first_at + rules.overload_interval)]
            elapsed = first_at - outage.until
            warmth = min((elapsed + rules.overload_interval) / rules.slow_start, 1.0)
            present_capacity = capacity * (rules.slow_start_from + (1 - rules.slow_start_from) * warmth)
            seeing = sum(not outage.seen_by or call.sender in outage.seen_by for call in calls)
            limit = max(rules.max_overload * present_capacity * rules.overload_interval, 1.0) + 1
            if len(calls) > limit and 3 * seeing >= 2 * len(calls):
                return Overload(first_at, len(calls))
        return None

    def check_order(self) -> None:
        """Check the rule "order"."""
        messages_of: dict[str, list[str]] = defaultdict(list)  # by key, in the order of admission
        for message, admitted in self.admitted.items():
            if admitted.key and self.class_rule(message).is_ordered:
                messages_of[admitted.key].append(message)
        for key, messages in messages_of.items():
            places = {message: place for place, message in enumerate(messages)}
            calls = [call for message in messages for call in self.calls_of.get(message, [])]
            calls.sort(key=lambda call: call.start.at)
            for before, after in itertools.pairwise(calls):
                self.check_succession(key, places, before, after)

    def check_succession(
        self, key: str, places: dict[str, int], before: ObservedCall, after: ObservedCall
    ) -> None:
        """Check two successive calls of one ordering key."""
        first = before.start.message
        second = after.start.message
        at = after.start.at
        if first == second:
            return
        if places[second] < places[first]:
            text = f"{second} of key {key} was sent after {first}, which was admitted later"
            self.add_violation("order", at, text)
        if at < before.end() - self.rules.clock_tolerance and before.restarted_at is None:
            self.add_violation("order", at, f"{second} of key {key} was sent while {first} was in flight")
        is_unanswered = before.finish is None or before.finish.ran is EffectApplied.MAYBE
        pause_ends = before.end() + self.rules.key_pause - self.rules.clock_tolerance
        if is_unanswered and at < pause_ends:
            self.add_violation("order", at, f"{second} of key {key} was sent during the pause of the key")

    def sender_and_destination(self, call: ObservedCall) -> tuple[str, int]:
        """Return the sender of a call, and the destination of the endpoint that was called."""
        return call.start.sender, self.rules.destinations.get(call.start.endpoint, 0)

    def find_waits(self) -> dict[tuple[str, int], list[Interval]]:
        """Return the Retry-After intervals by sender and destination, sorted by start."""
        waits: dict[tuple[str, int], list[Interval]] = defaultdict(list)
        for call in self.calls.values():
            finish = call.finish
            if finish is None or not finish.wait:
                continue
            until = finish.at + finish.wait
            restarts = (at for at in self.restarts[call.start.sender] if at >= finish.at)
            ends = min(until, next(restarts, until))
            waits[self.sender_and_destination(call)].append((finish.at, ends))
        for intervals in waits.values():
            intervals.sort()
        return waits

    def check_waits(self) -> None:
        """Check the rule "waits"."""
        waits = self.find_waits()
        begun: dict[tuple[str, int], int] = defaultdict(int)  # number of waits that have begun
        latest_end: dict[tuple[str, int], float] = {}  # latest end of the waits that have begun
        for call in self.calls.values():
            at = call.start.at
            key = self.sender_and_destination(call)
            intervals = waits.get(key, [])
            while (
                begun[key] < len(intervals) and intervals[begun[key]][0] + self.rules.retry_after_grace < at
            ):
                latest_end[key] = max(latest_end.get(key, 0.0), intervals[begun[key]][1])
                begun[key] += 1
            if at < latest_end.get(key, 0.0) - self.rules.clock_tolerance:
                text = f"{call.start.endpoint} was called {latest_end[key] - at:.3f} s before Retry-After"
                self.add_violation("waits", at, text)
