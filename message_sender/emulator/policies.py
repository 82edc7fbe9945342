"""Plain policies in place of the decision module, to compare it with on the same draws.

They stand behind the same events and actions (message_sender/interface.py), journal and transports. Each is
what a client library commonly does, and no more: none keeps the order of keys, waits as it is told, warms
what comes back or makes room by worth. What they break is the referee's to say.

- `none`: one call a message.
- `fixed`: up to three calls, after waits that double, with half of each by chance ("equal jitter": Brooker,
  "Exponential Backoff and Jitter", 2015).
- `budget`: the same, while calls that repeat are at most a fifth of those that do not, and ten more
  (Finagle's RetryBudget).
- `breaker`: a circuit breaker alone: five failures in a row open it for two seconds, then one trial; what
  comes meanwhile is failed at once.
"""

import heapq
import itertools
import random
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from message_sender.policy.actions import Fail, PolicyAction, Reject, Send, Subscribe, WakeAfter
from message_sender.policy.dispatcher import Dispatcher
from message_sender.policy.events import (
    AttemptEnded,
    EndpointsUpdated,
    MessageAccepted,
    MessageRestored,
    MessageWithdrawn,
    PolicyEvent,
)
from message_sender.policy.model import (
    Effect,
    Endpoint,
    EndpointState,
    ListingKind,
    MessageClass,
    Outcome,
    Settings,
)

FIRST_WAIT = 200_000  # us before the second call
MOST_CALLS = 3
BUDGET_SHARE, BUDGET_LEAST = 0.2, 10.0
OPENS_AT, OPEN_FOR = 5, 2_000_000  # failures in a row; us
LEFT_RUNNING = frozenset(
    {Outcome.TIMEOUT, Outcome.RESET, Outcome.MALFORMED, Outcome.CANCELLED, Outcome.ERROR}
)


@dataclass
class Held:
    taken: MessageAccepted
    kind: MessageClass
    until: int
    calls: int = 0
    out: bool = False
    ran: bool = False  # a call may have
    over: bool = False


@dataclass
class Known:
    """An endpoint, in the words in which the engine asks for one."""

    listed: Endpoint
    out: int = 0


@dataclass
class Plain:
    """One call a message, to the endpoint with the fewest out."""

    settings: Settings
    seed: int
    messages: dict[str, Held] = field(default_factory=dict)
    endpoints: dict[str, Known] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.classes = {each.name: each for each in self.settings.classes}
        self.of: dict[int, list[Known]] = defaultdict(list)
        self.calls: dict[tuple[str, int], str] = {}
        self.due: list[tuple[int, int, str, bool]] = []  # a heap: when, whom, and whether it ends then
        self.count = itertools.count()
        self.subscribed, self.wake_at = False, 0
        self.now, self.actions = 0, []  # type: int, list[PolicyAction]

    # What the engine asks for.

    def handle(self, now_us: int, events: Iterable[PolicyEvent]) -> list[PolicyAction]:
        self.now, self.actions = now_us, []
        if not self.subscribed:
            self.subscribed = True
            self.actions.append(Subscribe())
        for event in events:
            self.hear(event)
        while self.due and self.due[0][0] <= now_us:
            _, _, name, ends = heapq.heappop(self.due)
            self.is_due(name, ends)
        if self.due and (self.due[0][0] < self.wake_at or self.wake_at <= now_us):
            self.wake_at = self.due[0][0]
            self.actions.append(WakeAfter(self.wake_at - now_us))
        return self.actions

    def suggest_retry_after(self) -> int:
        return min(1_000_000, self.settings.max_retry_after)

    def retry_after_received(self, endpoint: str, until: int) -> None: ...

    def may_start_call(self, endpoint: str, now: int, message: str = "") -> bool:
        return endpoint in self.endpoints

    # Events.

    def hear(self, event: PolicyEvent) -> None:
        match event:
            case MessageAccepted():
                self.take(event, 0, False)
            case MessageRestored(taken, attempts, risky):
                self.take(taken, attempts, risky is not None)
            case AttemptEnded():
                self.attempt_ended(event)
            case EndpointsUpdated():
                self.list_endpoints(event)
            case MessageWithdrawn(message):
                self.messages.pop(message, None)

    def take(self, taken: MessageAccepted, calls: int, ran: bool) -> None:
        kind = self.classes[taken.message_class]
        held = Held(taken, kind, self.now + taken.time_left_us, calls, ran=ran)
        self.messages[taken.message] = held
        heapq.heappush(self.due, (held.until - 2 * self.settings.tick, next(self.count), taken.message, True))
        if len(self.messages) > self.settings.max_open or (calls and not self.may_repeat(held)):
            self.end(held)
        else:
            self.go(held)

    def list_endpoints(self, event: EndpointsUpdated) -> None:
        if event.listing is ListingKind.FAILED:
            self.subscribed = False
            return
        if event.listing is not ListingKind.CHANGES:
            self.endpoints = {}
        for each in event.endpoints:
            if each.state is EndpointState.READY:
                self.endpoints[each.id] = Known(each)
            else:
                self.endpoints.pop(each.id, None)
        self.of.clear()
        for known in self.endpoints.values():
            self.of[known.listed.destination].append(known)

    def attempt_ended(self, event: AttemptEnded) -> None:
        endpoint = self.calls.pop((event.message, event.attempt), "")
        if known := self.endpoints.get(endpoint):
            known.out -= 1
        held = self.messages.get(event.message)
        if held is None:
            return
        held.out = False
        held.ran |= event.outcome in LEFT_RUNNING
        self.learn(held, event.outcome)
        if event.finished or held.over:
            del self.messages[event.message]
        elif not self.may_repeat(held) or (wait := self.wait(held)) is None:
            self.end(held)
        else:
            heapq.heappush(self.due, (self.now + wait, next(self.count), event.message, False))

    # Decisions.

    def is_due(self, name: str, ends: bool) -> None:
        held = self.messages.get(name)
        if held is None or held.out or held.over:
            return
        if ends:
            self.end(held)
        else:
            self.go(held)

    def may_repeat(self, held: Held) -> bool:
        """They keep to what a class allows, without its window."""
        return not held.ran or held.kind.effect is not Effect.UNSAFE

    def go(self, held: Held) -> None:
        found = self.of.get(held.taken.destination, [])
        if not found or not self.lets_through(held):
            self.end(held)
            return
        best = min(found, key=lambda each: each.out)
        best.out += 1
        self.calls[held.taken.message, held.calls] = best.listed.id
        left = max(held.until - self.now - self.settings.tick, self.settings.tick)
        self.actions.append(Send(held.taken.message, best.listed.id, left, held.calls))
        held.calls, held.out = held.calls + 1, True

    def end(self, held: Held) -> None:
        name = held.taken.message
        harmless = not held.ran or held.kind.effect is not Effect.UNSAFE
        self.actions.append(Reject(name, self.suggest_retry_after()) if harmless else Fail(name))
        held.over = True
        if not held.out:
            del self.messages[name]

    def wait(self, held: Held) -> int | None:
        """us until the next call; None: there is none."""
        return None

    def learn(self, held: Held, outcome: Outcome) -> None: ...

    def lets_through(self, held: Held) -> bool:
        return True


class FixedRetries(Plain):
    def wait(self, held: Held) -> int | None:
        if held.calls >= min(MOST_CALLS, self.settings.max_attempts):
            return None
        most: int = FIRST_WAIT * 2 ** (held.calls - 1)
        return most // 2 + self.rng.randrange(most // 2)


class RetryBudget(FixedRetries):
    def __post_init__(self) -> None:
        super().__post_init__()
        self.budget = BUDGET_LEAST

    def lets_through(self, held: Held) -> bool:
        if not held.calls:
            self.budget = min(self.budget + BUDGET_SHARE, 100 * BUDGET_LEAST)
        return True

    def wait(self, held: Held) -> int | None:
        if self.budget < 1 or (wait := super().wait(held)) is None:
            return None
        self.budget -= 1
        return wait


class BreakerAlone(Plain):
    def __post_init__(self) -> None:
        super().__post_init__()
        self.failures: dict[int, int] = defaultdict(int)
        self.opened: dict[int, int] = {}

    def learn(self, held: Held, outcome: Outcome) -> None:
        at = held.taken.destination
        self.failures[at] = 0 if outcome is Outcome.OK else self.failures[at] + 1
        if self.failures[at] >= OPENS_AT:
            self.opened[at] = self.now + OPEN_FOR
        else:
            self.opened.pop(at, None)

    def lets_through(self, held: Held) -> bool:
        at = held.taken.destination
        if self.opened.get(at, 0) > self.now:
            return False
        if at in self.opened:  # the trial: nobody else until it is over
            self.opened[at] = self.now + OPEN_FOR
        return True


#: The policy of this package; the name stands in stored results and on the command line.
OWN_POLICY = "elmglade"

POLICIES: dict[str, Callable[[Settings, int], Any]] = {
    OWN_POLICY: Dispatcher,
    "none": Plain,
    "fixed": FixedRetries,
    "budget": RetryBudget,
    "breaker": BreakerAlone,
}
