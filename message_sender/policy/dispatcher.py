"""The delivery policy of one sender: from events to actions, whose types are in message_sender/interface.py.

A circuit breaker per destination (per endpoint where these are separate routes, breaker.py) decides the usual
case: failures in a row open it, messages are held, one trial call after the reset timeout closes it or
restarts the timeout, a gap paces calls while it is closed. The rest enforces the six rules. `registry` has
the endpoints, `pending` the messages, `inflight` the calls; this module selects what is sent next, and where.
"""

import heapq
import random
from collections.abc import Iterable
from itertools import islice
from math import ceil

from message_sender.policy.actions import PolicyAction, Send, Subscribe, WakeAfter
from message_sender.policy.breaker import ANSWERED_FAILURES, NEVER, ActiveCall, Breaker, PendingMessage, TrackedEndpoint
from message_sender.policy.endpoints import EndpointRegistry
from message_sender.policy.events import (
    AttemptEnded,
    CallInFlight,
    EndAcknowledged,
    EndpointsUpdated,
    InheritedState,
    MessageAccepted,
    MessageRestored,
    MessageWithdrawn,
    PolicyEvent,
    Stopping,
)
from message_sender.policy.inflight import InFlightCalls
from message_sender.policy.model import FAILURES, NEVER_RAN, Endpoint, EndpointState, Outcome, Settings
from message_sender.policy.pending import KeyQueue, PendingQueue
from message_sender.policy.schedule import Destination, LoopState, Rank
from message_sender.policy.state_transfer import import_fields

DESTINATION_SLOT_FRACTION = 0.5  # share of the slots that calls to one destination may hold
UNCERTAIN_OUTCOMES = frozenset(
    {Outcome.TIMEOUT, Outcome.RESET, Outcome.STALE, Outcome.MALFORMED, Outcome.CANCELLED}
)
RESTORED_REFUSALS_LIMIT = 2  # of messages still owed, from which a destination is doubtful after a restart
MAX_EXAMINED = 256  # destinations looked at in an iteration; where more wait for a slot, the next begins with those


class Dispatcher:
    def __init__(self, settings: Settings, seed: int) -> None:
        """`seed` is of the random generator, which only spreads calls over time."""
        self.settings, self.loop = settings, LoopState(settings, random.Random(seed))
        self.registry = EndpointRegistry(self.loop)
        self.pending = pending = PendingQueue(self.loop, self.registry)
        self.inflight = InFlightCalls(self.loop, self.registry, self.pending)
        self.fees = dict(settings.zone_fees)
        self.batches = any(kind.batch > 1 for _, kind in settings.kinds)
        self.wake_at, self.stops_at, self.suggest_retry_after = NEVER, NEVER, self.pending.suggest_retry_after
        self.endpoints, self.destinations = self.registry.endpoints, self.registry.destinations
        self.messages, self.keys, self.classes = pending.messages, pending.keys, pending.classes
        self.calls, self.out, self.retry_after_received = (
            self.inflight.calls,
            self.inflight.out,
            self.inflight.retry_after_received,
        )

    def handle(self, now_us: int, events: Iterable[PolicyEvent]) -> list[PolicyAction]:
        """Process the events at that time, in us, and return the actions that follow. Raises ValueError for a
        clock that went back, a class that is not in the settings and a message that was taken before."""
        if now_us < self.loop.now:
            raise ValueError(f"the clock went back from {self.loop.now} to {now_us}")
        self.loop.now, self.loop.actions = now_us, []
        for event in events:
            self.hear(event)
        self.inflight.find_overdue()
        self.pending.end_due()
        if self.loop.pace.crowd > 1:
            self.pending.keep_room(below=1.0)
        self.send_next()
        self.pending.keep_room()
        self.registry.age_out()
        self.set_wake()
        return self.loop.actions

    def hear(self, event: PolicyEvent) -> None:
        match event:
            case MessageAccepted():
                self.pending.take(event)
            case MessageRestored():
                self.restore(event)
            case InheritedState():
                self.inherit(event)
            case AttemptEnded():
                self.attempt_ended(event)
            case EndpointsUpdated():
                self.registry.list_endpoints(event)
            case MessageWithdrawn(message) if message in self.messages:
                self.pending.finish(self.messages[message])
            case EndAcknowledged(message) if message in self.pending.unanswered:
                self.pending.finish(self.pending.unanswered.pop(message))
            case Stopping(left):
                self.stops_at = self.loop.now + left

    def restore(self, kept: MessageRestored) -> None:
        """Restore a message. A call in flight as its process ended may have run or run yet: its key rests."""
        self.pending.take(kept.taken, kept.share)
        message = self.messages[kept.taken.message]
        message.attempts, message.risky_since = kept.attempts, kept.risky_since
        message.risky_zone, message.restored = kept.risky_zone, True
        if kept.ended:
            self.pending.unanswered[message.id] = message
            self.pending.finish(message)
            return
        if kept.call:
            self.resume(message, kept.call)
            return
        if not kept.handed:
            self.pending.rest(message.key)
            self.registry.spread(message.destination)
        self.pending.watch_window(message)
        if not self.pending.may_send_again(message):
            self.pending.end(message)
        for name, outcome in kept.outcomes:
            breaker = endpoint.breaker if (endpoint := self.endpoints.get(name)) else None
            # Guards a destination that came back meanwhile, cold. What is called off was far overdue. In a
            # crowd one failure that is no answer is enough: no call that was served speaks against it here.
            if breaker and (outcome in FAILURES or outcome is Outcome.CANCELLED):
                breaker.failed(int(self.loop.now), outcome)
                breaker.trial_at = self.loop.now
                if self.loop.pace.crowd > 1 and outcome not in ANSWERED_FAILURES:
                    breaker.cold_since = int(self.loop.now)
            elif breaker and outcome is Outcome.FULL:
                breaker.doubt(int(self.loop.now), RESTORED_REFUSALS_LIMIT)

    def resume(self, message: PendingMessage, out: CallInFlight) -> None:
        """Adopt a call of the process before: it holds its message, key and trial until it ends."""
        at, number = self.registry.arouse(message.destination), message.destination
        gone = Endpoint(out.endpoint, number, EndpointState.GONE, "", out.zone)
        endpoint = self.endpoints.get(out.endpoint) or TrackedEndpoint(gone)
        call = ActiveCall(
            self.registry.breaker_of(at, endpoint.listed), endpoint, out.sent, next(self.loop.count)
        )
        self.inflight.begin(call, message, message.attempts - 1)
        if out.trial:
            call.breaker.trial = call
        if out.overdue:
            call.overdue = True
            del call.breaker.fresh[call]
            call.breaker.stuck[call] = self.inflight.stuck[call] = None

    def inherit(self, told: InheritedState) -> None:
        for number, route, values in told.breakers:
            own = self.registry.arouse(number).own
            assert own is not None
            breaker = own.setdefault(route, Breaker(self.loop.pace, number))
            import_fields(breaker, values)
            self.registry.touch(breaker)
        for name, values in told.endpoints:
            if name in self.endpoints:
                import_fields(self.endpoints[name], values)
        for key, until in told.keys:
            self.keys.setdefault(key, KeyQueue()).quiet_until = until
            heapq.heappush(self.pending.quiet, (until, key))
        quotas = self.pending.quotas
        self.pending.credit |= {tenant: (left, at) for tenant, left, at in told.credit if tenant in quotas}
        for number, since in told.silent:
            if (found := self.destinations.get(number)) and found.own is None:
                found.silent_since = since

    def attempt_ended(self, ended: AttemptEnded) -> None:
        if (call := self.calls.pop((ended.message, ended.attempt), None)) is None:
            return
        message = call.messages.pop(ended.message)
        message.out = False
        self.inflight.settle(call, ended)
        if ended.outcome in UNCERTAIN_OUTCOMES:
            self.pending.rest(message.key)
        if ended.outcome not in NEVER_RAN and message.risky_since is None:
            message.risky_since, message.risky_zone = call.sent, call.endpoint.listed.zone
        if message.ended or ended.finished:
            self.pending.finish(message)
        elif self.loop.now + self.settings.tick >= message.until or not self.pending.may_send_again(message):
            self.pending.end(message)
        else:
            self.pending.hold(message)
            self.pending.watch_window(message)

    def find_open(self) -> list[Destination]:
        """Return the destinations that accept a call now and have a message to send."""
        for number in self.registry.freed.due(self.loop.now):
            self.registry.open[number] = None
        found, most = [], MAX_EXAMINED if len(self.out) < self.settings.slots else 0
        for number in list(islice(self.registry.open, most)):
            self.loop.looks += 1
            at = self.destinations.get(number)
            if at is None or not at.groups:
                del self.registry.open[number]
            elif any(map(self.may_call, at.breakers)):
                found.append(at)
            else:
                self.registry.shut(at)
        if len(self.registry.open) > MAX_EXAMINED:
            for at in found:  # those behind them come first in the next iteration
                self.registry.open[at.number] = self.registry.open.pop(at.number)
        return found

    def send_next(self) -> None:
        """Send what goes next, in one ordered pass over all destinations that accept a call now."""
        self.pending.find_in_turn()
        self.send_best(self.find_open())
        self.inflight.close_scarce()

    def send_best(self, found: list[Destination]) -> None:
        heap: list[tuple[Rank, PendingMessage, Destination]] = []
        aside: list[PendingMessage] = []  # may go to one zone or endpoint alone, which takes nothing now
        batches: dict[str, ActiveCall] = {}
        for at in found:
            self.push_best(heap, at)
        while heap:
            self.loop.looks += 1
            _, message, at = heapq.heappop(heap)
            if not self.pending.may_send_again(message):
                self.pending.end(message)
            elif not self.pending.in_turn(message):
                at.leave(message)  # its key rests after all; `quiet` brings it back
            elif endpoint := self.choose(message, batches):
                self.send(message, endpoint, batches)
            elif message.risky_zone or message.pinned or self.spares_others(message, at, aside):
                at.leave(message)
                aside.append(message)
            else:
                if len(self.out) < self.settings.slots:  # else only a slot is missing: it stays open
                    self.registry.shut(at)
                continue
            if len(self.out) >= self.settings.slots and not self.batches:
                break
            self.push_best(heap, at)
        for message in aside:
            self.destinations[message.destination].queue(message, self.settings.halves_late_weight)

    def spares_others(self, message: PendingMessage, at: Destination, aside: list[PendingMessage]) -> bool:
        """Whether the budget holds back this repeat alone: a first attempt may still be sent."""
        if (leave := self.registry.leave) is None or not message.attempts or len(aside) >= MAX_EXAMINED:
            return False
        now, ways = int(self.loop.now), [x for x in at.endpoints if x.breaker and self.may_call(x.breaker)]
        return any(leave.free_at(x.listed, now, bool(x.breaker and x.breaker.is_open())) <= now for x in ways)

    def push_best(self, heap: list[tuple[Rank, PendingMessage, Destination]], at: Destination) -> None:
        if best := at.best(int(self.loop.now)):
            heapq.heappush(heap, (*best, at))

    def may_still_go(self, endpoint: str, now: int, message: str = "") -> bool:
        """Whether a call may still begin, asked again before its first byte, as connecting takes time: checks
        drains, announced waits and the window in which a repeat is harmless."""
        known, sent = self.endpoints.get(endpoint), self.messages.get(message)
        if known is None or (known.breaker and known.breaker.wait_until > now):
            return False
        return sent is None or self.pending.may_repeat_at(now, sent, sent.risky_since)

    def choose(self, message: PendingMessage, batches: dict[str, ActiveCall]) -> TrackedEndpoint | None:
        options: list[tuple[tuple[float, ...], int, TrackedEndpoint]] = []
        weighted = self.destinations[message.destination].weighted
        pinned, leave = self.holds_pin(message), self.registry.leave
        for endpoint in self.destinations[message.destination].endpoints:
            listed = endpoint.listed
            if pinned and listed.id != message.pinned:
                continue
            if message.kind.is_window_zonal and message.risky_zone not in ("", listed.zone):
                continue  # rule: no effect twice; only that zone drops the repeat
            assert endpoint.breaker is not None
            joins = self.may_join(batches.get(listed.id), listed)
            if not (joins or self.may_call(endpoint.breaker)):
                continue
            trial, again, now = endpoint.breaker.is_open(), message.attempts > 0, int(self.loop.now)
            if leave and not joins and leave.free_at(listed, now, trial, again) > now:
                continue
            options.append((self.rank(endpoint, joins, weighted), len(options), endpoint))
        return min(options)[-1] if options else None

    def rank(self, endpoint: TrackedEndpoint, joins: bool, weighted: bool) -> tuple[float, ...]:
        """The sort key of an endpoint, lowest first. In a large fleet separate routes go by rate times idle
        time and not by fee: all senders at the cheapest route would exceed its limit."""
        listed, apart = endpoint.listed, self.registry.kinds[endpoint.listed.kind].apart
        bad, load = max(endpoint.bad_until, self.loop.now), endpoint.turns if weighted else endpoint.out
        if apart and self.loop.pace.crowd > 1:
            return bad, not joins, load, (endpoint.last_sent - self.loop.now) * listed.scale
        fee, away = self.fees.get(listed.zone, 0.0) if apart else 0.0, listed.zone != self.settings.zone
        return bad, fee, not joins, load, away, endpoint.last_sent

    def holds_pin(self, message: PendingMessage) -> bool:
        """Whether the pin applies: its endpoint is listed, and the rule on repeats allows it."""
        known = self.endpoints.get(message.pinned) if message.pinned else None
        if known is None or known.listed.destination != message.destination:
            return False
        return not message.kind.is_window_zonal or message.risky_zone in ("", known.listed.zone)

    def may_join(self, call: ActiveCall | None, listed: Endpoint) -> bool:
        most = self.registry.kinds[listed.kind].batch
        return call is not None and call.breaker.trial is not call and len(call.messages) < most

    def may_call(self, breaker: Breaker) -> bool:
        now, slots = int(self.loop.now), self.settings.slots
        # What might be out when the process ends may have run.
        if len(self.out) >= slots or breaker.ready_at(now) > now or now + breaker.patience() > self.stops_at:
            return False
        return breaker.out < max(2, slots * DESTINATION_SLOT_FRACTION)

    def send(
        self, message: PendingMessage, endpoint: TrackedEndpoint, batches: dict[str, ActiveCall]
    ) -> None:
        call, breaker = batches.get(name := endpoint.listed.id), endpoint.breaker
        assert breaker is not None
        if call is None or not self.may_join(call, endpoint.listed):
            call = batches[name] = ActiveCall(breaker, endpoint, int(self.loop.now), next(self.loop.count))
            if leave := self.registry.leave:
                leave.reserve(endpoint.listed, message.id, breaker.is_open(), message.attempts > 0)
            endpoint.turns += 1 / endpoint.listed.weight
            breaker.last_sent = endpoint.last_sent = self.loop.now
            if breaker.is_open():
                breaker.trial = call
        self.inflight.begin(call, message, message.attempts)
        left = message.until - int(self.loop.now)
        self.loop.actions.append(Send(message.id, name, left, message.attempts))
        message.attempts += 1

    def set_wake(self) -> None:
        if self.registry.list_calls.is_due(self.loop.now):
            self.loop.actions.append(Subscribe())
        self.registry.set_overdue()
        due = [self.registry.list_calls.at, self.registry.overdue.next(), self.registry.freed.next()]
        due += [each[0] - self.settings.tick for each in self.pending.deadlines[:1]]
        due += [each[0] for each in self.pending.quiet[:1]]
        at = min((each for each in due if each > self.loop.now), default=NEVER)
        if at < self.wake_at or self.wake_at <= self.loop.now < at < NEVER:
            self.wake_at = at
            self.loop.actions.append(WakeAfter(max(ceil(at - self.loop.now), self.settings.tick)))
