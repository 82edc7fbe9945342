"""The referee: judges a history of what went over the sockets by the six rules.

Pure; it trusts no sender's word.

The rules, as the project's terms have them:

1. *one end*: each message that was taken on has exactly one final answer, no later than its time and `late`;
   where its sender is down then, than that one's return and `late`.
2. *no effect twice*: once a call may have run, another may go only if the class allows it: any time if it is
   safe, within the window of the first such call if it is keyed (and in the same zone, where that counts),
   never if it is unsafe. A refusal promises that trying again is harmless, and binds likewise.
3. *one at a time*: never two calls of one message at once.
4. *drains*: no new call to an endpoint `grace` after the sender was told.
5. *cold*: after an outage a destination gets no more than `push` times what it can take while it warms up,
   for no longer than `push_for`, unless most of it came from senders that knew of no outage.
6. *order*: calls of one key go in the order in which their messages were taken, one message after the other,
   and `quiet` after a call that may have run without an answer.
7. *waits*: no call to a destination while a wait lasts that it told, but for those within `crossing` of the
   word; a restart ends it.
"""

import itertools
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from message_sender.policy.model import Effect
from message_sender.testbed.history import (
    AttemptFinished,
    AttemptStarted,
    EffectApplied,
    EndpointDrained,
    EndpointRestored,
    HistoryEvent,
    MessageAdmitted,
    MessageCompleted,
    MessageRejected,
    Outage,
    SenderRestarted,
)

NEVER = float("inf")


@dataclass(frozen=True, slots=True)
class ClassRule:
    effect: Effect = Effect.IDEMPOTENT
    window: float = 0.0  # s
    by_zone: bool = False
    in_order: bool = False


@dataclass(frozen=True, slots=True)
class Rules:
    """Figures in seconds. Each tolerance is what a loopback socket and a busy machine add to a rule."""

    kinds: dict[str, ClassRule]
    zones: dict[str, str] = field(default_factory=dict)  # endpoint -> zone
    destinations: dict[str, int] = field(default_factory=dict)  # endpoint -> destination
    capacity: dict[int, float] = field(default_factory=dict)  # destination -> calls a second when warm
    late: float = 0.35
    grace: float = 0.55
    quiet: float = 0.1
    slack: float = 0.01  # s by which two stand-ins may see one instant apart
    crossing: float = 0.1
    cold: float = 13.0
    cold_from: float = 0.2
    push: float = 2.0
    push_for: float = 1.5


@dataclass(frozen=True, slots=True)
class Violation:
    rule: str
    at: float
    text: str


@dataclass(slots=True)
class ObservedCall:
    began: AttemptStarted
    over: AttemptFinished | None = None
    cut: float | None = None  # a restart came while it was out

    def end(self) -> float:
        """When it was over for the sender; never, as far as is known."""
        if self.over:
            return self.over.at
        return self.cut if self.cut is not None else float("inf")

    def may_have_run(self) -> bool:
        return self.over is None or self.over.ran is not EffectApplied.NEVER


class HistoryChecker:
    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self.breaches: list[Violation] = []
        self.taken: dict[str, MessageAdmitted] = {}
        self.ends: dict[str, list[MessageCompleted]] = defaultdict(list)
        self.refused: dict[str, MessageRejected] = {}
        self.calls: dict[int, ObservedCall] = {}
        self.of: dict[str, list[ObservedCall]] = defaultdict(list)
        self.drains: dict[tuple[str, str], float] = {}  # endpoint, and who was told
        self.past_drains: dict[tuple[str, str], list[tuple[float, float]]] = defaultdict(list)
        self.outages: list[Outage] = []
        self.restarts: dict[str, list[float]] = defaultdict(list)  # of each sender
        self.downs: dict[str, list[tuple[float, float]]] = defaultdict(list)

    def judge(self, events: Iterable[HistoryEvent], until: float | None = None) -> list[Violation]:
        """All breaches, in the order of the rules. `until` is when the history ends, its last event's time
        otherwise: a message whose time is not up by then owes nothing yet."""
        last = 0.0
        for event in events:
            last = max(last, event.at)
            self.read(event)
        self.one_end(last if until is None else until)
        for name, calls in self.of.items():
            self.no_effect_twice(name, calls)
            self.one_at_a_time(name, calls)
        self.kept_drains()
        self.not_pushed_over()
        self.order()
        self.waits()
        return self.breaches

    def read(self, event: HistoryEvent) -> None:
        match event:
            case MessageAdmitted():
                self.taken.setdefault(event.message, event)
            case MessageRejected():
                self.refused[event.message] = event
            case AttemptStarted():
                call = self.calls[event.call] = ObservedCall(event)
                self.of[event.message].append(call)
            case AttemptFinished():
                self.calls[event.call].over = event
            case MessageCompleted():
                self.ends[event.message].append(event)
            case EndpointDrained():
                self.drains.setdefault((event.endpoint, event.sender), event.at)
            case EndpointRestored():
                if (told := self.drains.pop((event.endpoint, event.sender), None)) is not None:
                    self.past_drains[event.endpoint, event.sender].append((told, event.at))
            case Outage():
                self.outages.append(event)
            case SenderRestarted():
                self.restarts[event.sender].append(event.at)
                self.downs[event.sender].append((event.at, event.back))
                for each in self.calls.values():
                    if each.over is None and each.cut is None and each.began.sender == event.sender:
                        each.cut = event.at

    def breach(self, rule: str, at: float, text: str) -> None:
        self.breaches.append(Violation(rule, at, text))

    def one_end(self, last: float) -> None:
        for name, taken in self.taken.items():
            ends = self.ends.get(name, [])
            if len(ends) > 1:
                self.breach("one end", ends[1].at, f"{name} ended {' and '.join(x.state for x in ends)}")
            until = self.due(taken)
            if not ends and last > until + self.rules.late:
                self.breach("one end", taken.until, f"{name} has no final answer")
            if ends and ends[0].at > until + self.rules.late:
                self.breach("one end", ends[0].at, f"{name} ended {ends[0].at - taken.until:.3f} s late")
            if ends and ends[0].state == "delivered" and not any(x.may_have_run() for x in self.of[name]):
                self.breach("one end", ends[0].at, f"{name} is said to be delivered, and no call ran")
        for name in self.refused:
            if name not in self.taken and self.of.get(name):
                self.breach("one end", self.refused[name].at, f"{name} was turned away, and called for")

    def due(self, taken: MessageAdmitted) -> float:
        """When its end is due: a sender that is down as its time is up tells it as it comes back."""
        until = taken.until
        for at, back in sorted(self.downs[taken.sender]):
            until = back if at <= until < back else until
        return until

    def kind_of(self, name: str) -> ClassRule:
        taken = self.taken.get(name)
        return self.rules.kinds.get(taken.kind, ClassRule()) if taken else ClassRule()

    def no_effect_twice(self, name: str, calls: list[ObservedCall]) -> None:
        kind = self.kind_of(name)
        if kind.effect is Effect.IDEMPOTENT:
            return
        risk = next((each for each in calls if each.may_have_run()), None)
        if risk is None:
            return
        for call in calls[calls.index(risk) + 1 :]:
            at = call.began.at
            if kind.effect is Effect.UNSAFE:
                self.breach("no effect twice", at, f"{name} was called for again and may have run before")
            elif at > risk.began.at + kind.window:
                self.breach("no effect twice", at, f"{name} was called for again after its window")
            elif kind.by_zone and self.zone(call) != self.zone(risk):
                self.breach("no effect twice", at, f"{name} was called for again in another zone")
        for end in self.ends.get(name, []):
            if end.state == "refused" and (kind.effect is Effect.UNSAFE or kind.by_zone):
                self.breach("no effect twice", end.at, f"{name} was refused and may have run")

    def zone(self, call: ObservedCall) -> str:
        return self.rules.zones.get(call.began.endpoint, "")

    def one_at_a_time(self, name: str, calls: list[ObservedCall]) -> None:
        for before, after in itertools.pairwise(calls):
            if after.began.at < before.end() and before.cut is None:
                self.breach("one at a time", after.began.at, f"two calls for {name} were out at once")

    def kept_drains(self) -> None:
        for call in self.calls.values():
            where = call.began.endpoint, call.began.sender
            spans = [*self.past_drains.get(where, ()), (self.drains.get(where, NEVER), NEVER)]
            if any(told + self.rules.grace < call.began.at < back for told, back in spans):
                self.breach("drains", call.began.at, f"{call.began.endpoint} was called after its drain")

    def not_pushed_over(self) -> None:
        for outage in self.outages:
            capacity = self.rules.capacity.get(outage.destination)
            if capacity is None:
                continue
            after = [
                each.began
                for each in self.calls.values()
                if self.rules.destinations.get(each.began.endpoint) == outage.destination
                and outage.until <= each.began.at < outage.until + self.rules.cold
            ]
            if push := self.push_of(after, outage, capacity):
                text = f"destination {outage.destination} got {push[1]} calls at once"
                self.breach("cold", push[0], text)

    def push_of(
        self, after: list[AttemptStarted], outage: Outage, capacity: float
    ) -> tuple[float, int] | None:
        """The first span in which more went there than it could take, and how much. Where two thirds of that
        did not come from senders that knew of the outage, nobody is to blame."""
        times = [each.at for each in after]
        for number, first in enumerate(times):
            span = after[number : bisect_left(times, first + self.rules.push_for)]
            passed = first - outage.until
            warm = min((passed + self.rules.push_for) / self.rules.cold, 1.0)
            able = capacity * (self.rules.cold_from + (1 - self.rules.cold_from) * warm)
            knew = sum(not outage.seen_by or each.sender in outage.seen_by for each in span)
            most = max(self.rules.push * able * self.rules.push_for, 1.0) + 1
            if len(span) > most and 3 * knew >= 2 * len(span):
                return first, len(span)
        return None

    def order(self) -> None:
        lines: dict[str, list[str]] = defaultdict(list)
        for name, taken in self.taken.items():
            if taken.key and self.kind_of(name).in_order:
                lines[taken.key].append(name)
        for key, names in lines.items():
            place = {name: number for number, name in enumerate(names)}
            calls = [call for name in names for call in self.of.get(name, [])]
            calls.sort(key=lambda each: each.began.at)
            for before, after in itertools.pairwise(calls):
                self.in_turn(key, place, before, after)

    def in_turn(self, key: str, place: dict[str, int], before: ObservedCall, after: ObservedCall) -> None:
        first, second = before.began.message, after.began.message
        at = after.began.at
        if first == second:
            return
        if place[second] < place[first]:
            self.breach("order", at, f"{second} of key {key} went after {first}, which was taken later")
        if at < before.end() - self.rules.slack and before.cut is None:
            self.breach("order", at, f"{second} of key {key} went while {first} was out")
        unanswered = before.over is None or before.over.ran is EffectApplied.MAYBE
        if unanswered and at < before.end() + self.rules.quiet - self.rules.slack:
            self.breach("order", at, f"{second} of key {key} went before the key had rested")

    def waits(self) -> None:
        told: dict[tuple[str, int], list[tuple[float, float]]] = defaultdict(list)
        for each in self.calls.values():
            if each.over and each.over.wait:
                where = each.began.sender, self.rules.destinations.get(each.began.endpoint, 0)
                until = each.over.at + each.over.wait
                cuts = (restart for restart in self.restarts[each.began.sender] if restart >= each.over.at)
                told[where].append((each.over.at, min(until, next(cuts, until))))
        for spans in told.values():
            spans.sort()
        begun: dict[tuple[str, int], int] = defaultdict(int)  # how many have
        latest: dict[tuple[str, int], float] = {}  # the latest end of those
        for each in self.calls.values():
            at = each.began.at
            where = each.began.sender, self.rules.destinations.get(each.began.endpoint, 0)
            spans = told.get(where, [])
            while begun[where] < len(spans) and spans[begun[where]][0] + self.rules.crossing < at:
                latest[where] = max(latest.get(where, 0.0), spans[begun[where]][1])
                begun[where] += 1
            if at < latest.get(where, 0.0) - self.rules.slack:
                text = f"{each.began.endpoint} was called {latest[where] - at:.3f} s too early"
                self.breach("waits", at, text)
