"""Baseline policies, which are compared with this package's policy on the same random draws.

They use the same events and actions (message_sender/policy), journal and transports. Each does what client
libraries commonly do, and no more: none keeps the order of keys, respects Retry-After, has a slow start for
recovered destinations or drops messages by their value. The checks of a run report what they violate.

- `none`: one call per message.
- `fixed`: up to three calls with exponential backoff, half of which is random ("equal jitter": Brooker,
  "Exponential Backoff and Jitter", 2015).
- `budget`: the same, while retries are at most a fifth of first calls, plus ten (Finagle's RetryBudget).
- `breaker`: only a circuit breaker: five consecutive failures open it for two seconds, then it allows one
  trial; messages that arrive while it is open fail at once.
"""

import heapq
import itertools
import random
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from message_sender.policy.actions import Fail, PolicyAction, Reject, Send, Subscribe, WakeAfter
from message_sender.policy.breaker_status import StatusReporter
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

FIRST_BACKOFF = 200_000  # us before the second call
MAX_CALLS = 3
RETRIES_PER_CALL, MIN_RETRIES = 0.2, 10.0
FAILURE_THRESHOLD, OPEN_FOR = 5, 2_000_000  # consecutive failures; us
#: Outcomes after which the endpoint may have processed the message.
MAY_HAVE_RUN = frozenset(
    {Outcome.TIMEOUT, Outcome.RESET, Outcome.MALFORMED, Outcome.CANCELLED, Outcome.ERROR}
)


@dataclass
class OpenMessage:
    """A message that has not finished.

    Attributes:
        accepted: The event with which it was accepted.
        message_class: Its class.
        deadline: Its deadline in us.
        calls: Calls made so far.
        in_flight: Whether a call is in flight.
        may_have_run: Whether an endpoint may have processed it.
        ended: Whether the policy has ended it.
    """

    accepted: MessageAccepted
    message_class: MessageClass
    deadline: int
    calls: int = 0
    in_flight: bool = False
    may_have_run: bool = False
    ended: bool = False


@dataclass
class KnownEndpoint:
    """A listed endpoint and the number of its calls in flight.

    The engine expects the attribute `listed` of a policy's endpoints.
    """

    listed: Endpoint
    in_flight: int = 0


@dataclass
class SingleCall:
    """One call per message, to the endpoint with the fewest calls in flight.

    Attributes:
        settings: The policy's settings.
        seed: Seed of its random draws.
        messages: Messages that have not finished, by id.
        endpoints: Ready endpoints, by id.
    """

    settings: Settings
    seed: int
    messages: dict[str, OpenMessage] = field(default_factory=dict)
    endpoints: dict[str, KnownEndpoint] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Creates the random source from the seed, and the empty state; times are in us."""
        self.rng = random.Random(self.seed)
        self.classes = {each.name: each for each in self.settings.classes}
        self.by_destination: dict[int, list[KnownEndpoint]] = defaultdict(list)
        self.calls: dict[tuple[str, int], str] = {}
        # A heap: time in us, sequence number, message id, whether the message ends then.
        self.due: list[tuple[int, int, str, bool]] = []
        self.count = itertools.count()
        self.subscribed, self.wake_at = False, 0
        self.status = StatusReporter()
        self.now, self.actions = 0, []  # type: int, list[PolicyAction]

    # Functions that the engine calls.

    def handle(self, now_us: int, events: Iterable[PolicyEvent]) -> list[PolicyAction]:
        """Processes events and due timers; returns the resulting actions."""
        self.now, self.actions = now_us, []
        if not self.subscribed:
            self.subscribed = True
            self.actions.append(Subscribe())
        for event in events:
            self.handle_event(event)
        while self.due and self.due[0][0] <= now_us:
            _, _, message_id, is_end = heapq.heappop(self.due)
            self.handle_timer(message_id, is_end)
        if self.due and (self.due[0][0] < self.wake_at or self.wake_at <= now_us):
            self.wake_at = self.due[0][0]
            self.actions.append(WakeAfter(self.wake_at - now_us))
        return self.actions

    def suggest_retry_after(self) -> int:
        """Returns the Retry-After of rejections in us."""
        return min(1_000_000, self.settings.max_retry_after)

    def retry_after_received(self, endpoint: str, until: int) -> None:
        """Ignores a Retry-After of an endpoint."""

    def attempt_withheld(self, message_id: str) -> None:
        """Ignores that the sender held an attempt back; it counts as one."""

    def watch_fell_silent(self, silent_since: float) -> None:
        """Ignores that a watch may have missed changes; these policies call by any list."""

    def holds_calls(self, now: int) -> bool:
        """Whether calls wait for the endpoint list; these policies call by any list."""
        return False

    def may_start_call(self, endpoint: str, now: int, message: str = "") -> bool:
        """Whether the endpoint is still listed as ready."""
        return endpoint in self.endpoints

    def may_finish_call(self, message: str, attempt: int, now: int) -> bool:
        """Whether the rest of a call may be sent; these policies finish each call that has begun."""
        return True

    # Events.

    def handle_event(self, event: PolicyEvent) -> None:
        """Processes one event."""
        match event:
            case MessageAccepted():
                self.add_message(event, 0, False)
            case MessageRestored(accepted, attempts, risky):
                self.add_message(accepted, attempts, risky is not None)
            case AttemptEnded():
                self.attempt_ended(event)
            case EndpointsUpdated():
                self.list_endpoints(event)
            case MessageWithdrawn(message_id):
                self.messages.pop(message_id, None)

    def add_message(self, accepted: MessageAccepted, calls: int, may_have_run: bool) -> None:
        """Adds an accepted or restored message, and calls or ends it."""
        message_class = self.classes[accepted.message_class]
        message = OpenMessage(
            accepted, message_class, self.now + accepted.time_left_us, calls, may_have_run=may_have_run
        )
        self.messages[accepted.message] = message
        heapq.heappush(
            self.due, (message.deadline - 2 * self.settings.tick, next(self.count), accepted.message, True)
        )
        if len(self.messages) > self.settings.max_open or (calls and not self.may_retry(message)):
            self.end(message)
        else:
            self.start_call(message)

    def list_endpoints(self, event: EndpointsUpdated) -> None:
        """Updates the endpoints from a snapshot or from changes."""
        if event.listing is ListingKind.FAILED:
            self.subscribed = False
            return
        if event.listing is not ListingKind.CHANGES:
            self.endpoints = {}
        for each in event.endpoints:
            if each.state is EndpointState.READY:
                self.endpoints[each.id] = KnownEndpoint(each)
            else:
                self.endpoints.pop(each.id, None)
        self.by_destination.clear()
        for known in self.endpoints.values():
            self.by_destination[known.listed.destination].append(known)

    def attempt_ended(self, event: AttemptEnded) -> None:
        """Ends the message of a finished attempt, or schedules its next call."""
        endpoint = self.calls.pop((event.message, event.attempt), "")
        if known := self.endpoints.get(endpoint):
            known.in_flight -= 1
        message = self.messages.get(event.message)
        if message is None:
            return
        message.in_flight = False
        message.may_have_run |= event.outcome in MAY_HAVE_RUN
        self.record_outcome(message, event.outcome)
        if event.finished or message.ended:
            del self.messages[event.message]
        elif not self.may_retry(message) or (backoff := self.backoff(message)) is None:
            self.end(message)
        else:
            heapq.heappush(self.due, (self.now + backoff, next(self.count), event.message, False))

    # Decisions.

    def handle_timer(self, message_id: str, is_end: bool) -> None:
        """Calls a message again, or ends it shortly before its deadline."""
        message = self.messages.get(message_id)
        if message is None or message.in_flight or message.ended:
            return
        if is_end:
            self.end(message)
        else:
            self.start_call(message)

    def may_retry(self, message: OpenMessage) -> bool:
        """Whether the class allows another call; its idempotency window is ignored."""
        return not message.may_have_run or message.message_class.effect is not Effect.UNSAFE

    def start_call(self, message: OpenMessage) -> None:
        """Calls the endpoint with the fewest calls in flight, or ends the message if it may not be called."""
        endpoints = self.by_destination.get(message.accepted.destination, [])
        if not endpoints or not self.allows_call(message):
            self.end(message)
            return
        best = min(endpoints, key=lambda each: each.in_flight)
        best.in_flight += 1
        self.calls[message.accepted.message, message.calls] = best.listed.id
        time_left = max(message.deadline - self.now - self.settings.tick, self.settings.tick)
        self.actions.append(Send(message.accepted.message, best.listed.id, time_left, message.calls))
        message.calls, message.in_flight = message.calls + 1, True

    def end(self, message: OpenMessage) -> None:
        """Rejects a message, or fails it if it may have run and is not idempotent."""
        message_id = message.accepted.message
        may_reject = not message.may_have_run or message.message_class.effect is not Effect.UNSAFE
        self.actions.append(
            Reject(message_id, self.suggest_retry_after()) if may_reject else Fail(message_id)
        )
        message.ended = True
        if not message.in_flight:
            del self.messages[message_id]

    def backoff(self, message: OpenMessage) -> int | None:
        """Returns the time in us until the next call; None: there is none."""
        return None

    def record_outcome(self, message: OpenMessage, outcome: Outcome) -> None:
        """Processes the outcome of a call."""

    def allows_call(self, message: OpenMessage) -> bool:
        """Whether a call may start now."""
        return True


class FixedRetries(SingleCall):
    """Up to `MAX_CALLS` calls with exponential backoff."""

    def backoff(self, message: OpenMessage) -> int | None:
        """Returns the time in us until the next call; None: all calls were made."""
        if message.calls >= min(MAX_CALLS, self.settings.max_attempts):
            return None
        max_backoff: int = FIRST_BACKOFF * 2 ** (message.calls - 1)
        return max_backoff // 2 + self.rng.randrange(max_backoff // 2)


class RetryBudget(FixedRetries):
    """Retries as `FixedRetries`, within a budget that first calls add to."""

    def __post_init__(self) -> None:
        """Starts with a budget of `MIN_RETRIES` retries."""
        super().__post_init__()
        self.budget = MIN_RETRIES

    def allows_call(self, message: OpenMessage) -> bool:
        """Adds a first call to the budget; allows every call."""
        if not message.calls:
            self.budget = min(self.budget + RETRIES_PER_CALL, 100 * MIN_RETRIES)
        return True

    def backoff(self, message: OpenMessage) -> int | None:
        """Returns the time in us until the next call; None: all calls were made or the budget is used up."""
        if self.budget < 1 or (backoff := super().backoff(message)) is None:
            return None
        self.budget -= 1
        return backoff


class BreakerOnly(SingleCall):
    """One call per message, with a circuit breaker for each destination."""

    def __post_init__(self) -> None:
        """Starts with every breaker closed.

        `failures` counts the consecutive failures of each destination; `opened_until` has the time in us
        until which an open breaker admits no call.
        """
        super().__post_init__()
        self.failures: dict[int, int] = defaultdict(int)
        self.opened_until: dict[int, int] = {}

    def record_outcome(self, message: OpenMessage, outcome: Outcome) -> None:
        """Opens the breaker at the threshold of failures, and closes it otherwise."""
        destination = message.accepted.destination
        self.failures[destination] = 0 if outcome is Outcome.OK else self.failures[destination] + 1
        if self.failures[destination] >= FAILURE_THRESHOLD:
            self.opened_until[destination] = self.now + OPEN_FOR
        else:
            self.opened_until.pop(destination, None)

    def allows_call(self, message: OpenMessage) -> bool:
        """Whether the breaker is closed or its trial is due."""
        destination = message.accepted.destination
        if self.opened_until.get(destination, 0) > self.now:
            return False
        if destination in self.opened_until:  # this call is the trial; no other call until it is over
            self.opened_until[destination] = self.now + OPEN_FOR
        return True


#: The policy of this package; stored results and the command line use this name.
OWN_POLICY = "elmglade"

POLICIES: dict[str, Callable[[Settings, int], Any]] = {
    OWN_POLICY: Dispatcher,
    "none": SingleCall,
    "fixed": FixedRetries,
    "budget": RetryBudget,
    "breaker": BreakerOnly,
}
