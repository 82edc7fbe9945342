"""The delivery policy of one sender: turns events into actions (see `events` and `actions`).

A circuit breaker for each destination, or for each endpoint where the endpoints are separate routes, decides
when a call may be sent (`breaker`): consecutive failures open it and messages stay pending; after the reset
timeout one trial call closes it or restarts the timeout; while it is closed, a gap paces the calls. The
modules `endpoints`, `pending` and `inflight` hold the endpoints, the messages and the calls, and enforce the
delivery rules. This module selects the message to send next, and its endpoint.
"""

import heapq
import random
from collections.abc import Iterable
from itertools import islice
from math import ceil

from message_sender.policy.actions import PolicyAction, Send, Subscribe, WakeAfter
from message_sender.policy.breaker import NEVER, ActiveCall, Breaker, TrackedEndpoint
from message_sender.policy.destination import Destination
from message_sender.policy.endpoints import EndpointRegistry
from message_sender.policy.events import (
    AttemptEnded,
    CompletionAcknowledged,
    EndpointsUpdated,
    InheritedState,
    MessageAccepted,
    MessageRestored,
    MessageWithdrawn,
    OutagesRestored,
    PolicyEvent,
    Stopping,
)
from message_sender.policy.inflight import InFlightCalls
from message_sender.policy.loop_state import LoopState
from message_sender.policy.model import NEVER_RAN, Endpoint, Outcome, Settings
from message_sender.policy.pending import PendingQueue
from message_sender.policy.pending_message import PendingMessage
from message_sender.policy.state_transfer import StateImporter
from message_sender.policy.urgency import Rank

MAX_EXAMINED = 256  # limit on the destinations examined per iteration; the next one begins with the others

#: Outcomes after which the attempt may still be running at the destination.
UNCERTAIN_OUTCOMES = frozenset(
    {Outcome.TIMEOUT, Outcome.RESET, Outcome.STALE, Outcome.MALFORMED, Outcome.CANCELLED}
)


class Dispatcher:
    """The delivery policy of one sender.

    Attributes:
        stops_at: When the process ends; NEVER while that is not known.
        wake_at: The time requested by the newest `WakeAfter`.
        active_calls: The distinct calls in flight, oldest first.
        status: The changes of breakers in the latest iteration.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        """Creates the policy of a process that has just started.

        Args:
            settings: The settings.
            seed: Seed of the random generator, which is used only to spread calls over time.
        """
        self.settings = settings
        self.loop = LoopState(settings, random.Random(seed))
        self.registry = EndpointRegistry(self.loop)
        self.pending = PendingQueue(self.loop, self.registry)
        self.inflight = InFlightCalls(self.loop, self.registry, self.pending)
        self.importer = StateImporter(self.registry, self.pending, self.inflight)
        self.zone_fees = dict(settings.zone_fees)
        self.has_batching = any(kind.batch_size > 1 for _, kind in settings.kinds)
        self.wake_at = NEVER
        self.stops_at = NEVER
        # Shortcuts to tables and methods of the parts, also for callers.
        self.endpoints = self.registry.endpoints
        self.destinations = self.registry.destinations
        self.messages = self.pending.messages
        self.keys = self.pending.keys
        self.classes = self.pending.classes
        self.calls = self.inflight.calls
        self.active_calls = self.inflight.active
        self.status = self.loop.status
        self.suggest_retry_after = self.pending.suggest_retry_after
        self.retry_after_received = self.inflight.retry_after_received
        self.attempt_withheld = self.inflight.attempt_withheld
        self.may_start_call = self.inflight.may_start_call
        self.holds_calls = self.registry.list_confirmation.holds_calls
        self.watch_fell_silent = self.registry.list_confirmation.watch_fell_silent

    def handle(self, now_us: int, events: Iterable[PolicyEvent]) -> list[PolicyAction]:
        """Processes the events of one iteration.

        Args:
            now_us: The time, us; not less than in the previous call.
            events: The events, in the order in which they happened.

        Returns:
            The actions, to be carried out in this order.

        Raises:
            ValueError: The clock went back, a class is unknown, or a message was accepted before.
        """
        self.loop.begin_iteration(now_us)
        for event in events:
            self.process_event(event)
        self.registry.end_hold_if_over()
        self.inflight.process_overdue()
        self.pending.expire_due()
        if self.loop.context.fleet_factor > 1:
            self.pending.shed_excess(below=1.0)
        self.send_next()
        self.pending.shed_excess()
        self.registry.expire_unused()
        self.schedule_wake_up()
        return self.loop.actions

    def process_event(self, event: PolicyEvent) -> None:
        """Applies one event."""
        match event:
            case MessageAccepted():
                self.pending.accept(event)
            case MessageRestored():
                self.importer.restore_message(event)
            case InheritedState():
                self.importer.apply_inherited(event)
            case OutagesRestored():
                self.importer.restore_outages(event)
            case AttemptEnded():
                self.attempt_ended(event)
            case EndpointsUpdated():
                self.registry.update_endpoints(event)
            case MessageWithdrawn(message) if message in self.messages:
                self.pending.remove(self.messages[message])
            case CompletionAcknowledged(message) if message in self.pending.unacknowledged:
                self.pending.remove(self.pending.unacknowledged.pop(message))
            case Stopping(remaining_us):
                self.stops_at = self.loop.now + remaining_us

    def attempt_ended(self, ended: AttemptEnded) -> None:
        """Records the result of an attempt; makes the message pending again if it needs another attempt."""
        if (call := self.calls.pop((ended.message, ended.attempt), None)) is None:
            return
        message = call.messages.pop(ended.message)
        message.is_in_flight = False
        self.inflight.settle(call, ended)
        if ended.outcome in UNCERTAIN_OUTCOMES:
            self.pending.pause_key(message.key)
        if ended.outcome not in NEVER_RAN and message.uncertain_since is None:
            message.uncertain_since = call.sent_at
            message.uncertain_zone = call.endpoint.listed.zone
        if message.is_completed or ended.finished:
            self.pending.remove(message)
        elif self.loop.now + self.settings.tick >= message.deadline or not self.pending.may_retry(message):
            self.pending.complete(message)
        else:
            self.pending.enqueue(message)
            self.pending.schedule_window_check(message)

    # Selection of the message to send next.

    def find_available(self) -> list[Destination]:
        """Returns the destinations that accept a call now and have a message to send."""
        for number in self.registry.reopenings.pop_due(self.loop.now):
            self.registry.available[number] = None
        if self.holds_calls(int(self.loop.now)):
            return []
        accepting: list[Destination] = []
        limit = MAX_EXAMINED if len(self.active_calls) < self.settings.slots else 0
        for number in list(islice(self.registry.available, limit)):
            self.loop.examined_items += 1
            destination = self.destinations.get(number)
            if destination is None or not destination.ready_groups:
                del self.registry.available[number]
            elif any(map(self.may_call, destination.breakers)):
                accepting.append(destination)
            else:
                self.registry.mark_unavailable(destination)
        if len(self.registry.available) > MAX_EXAMINED:
            for destination in accepting:  # moved to the end: the next iteration begins with the others
                number = destination.number
                self.registry.available[number] = self.registry.available.pop(number)
        return accepting

    def send_next(self) -> None:
        """Sends the next messages, in one ordered pass over all destinations that accept a call now."""
        self.pending.find_ready()
        self.send_in_order(self.find_available())
        self.inflight.close_scarce_connections()

    def send_in_order(self, destinations: list[Destination]) -> None:
        """Sends messages of these destinations, the most urgent first, as long as calls may be sent."""
        heap: list[tuple[Rank, PendingMessage, Destination]] = []
        blocked: list[PendingMessage] = []  # no endpoint that may serve them accepts a call now
        batches: dict[str, ActiveCall] = {}
        for destination in destinations:
            self.push_most_urgent(heap, destination)
        while heap:
            self.loop.examined_items += 1
            _, message, destination = heapq.heappop(heap)
            if not self.pending.may_retry(message):
                self.pending.complete(message)
            elif not self.pending.is_next_of_key(message):
                destination.remove_ready(message)  # its key was paused; the end of the pause adds it again
            elif endpoint := self.choose_endpoint(message, batches):
                self.send(message, endpoint, batches)
            elif (
                message.uncertain_zone
                or message.pinned_endpoint
                or self.is_retry_budget_exhausted(message, destination, blocked)
            ):
                destination.remove_ready(message)
                blocked.append(message)
            else:
                if len(self.active_calls) < self.settings.slots:  # otherwise only a slot is missing
                    self.registry.mark_unavailable(destination)
                continue
            if len(self.active_calls) >= self.settings.slots and not self.has_batching:
                break
            self.push_most_urgent(heap, destination)
        for message in blocked:
            destination = self.destinations[message.destination]
            destination.add_ready(message, self.settings.halves_late_weight)
            self.registry.schedule_reopening(destination)

    def is_retry_budget_exhausted(
        self, message: PendingMessage, destination: Destination, blocked: list[PendingMessage]
    ) -> bool:
        """Whether shared limits block only this retry, so that a first attempt could still be sent.

        Args:
            message: The message that no endpoint accepts.
            destination: Its destination.
            blocked: Messages that have been passed over in this iteration.
        """
        limits = self.registry.shared_limits
        if limits is None or not message.attempts or len(blocked) >= MAX_EXAMINED:
            return False
        now = int(self.loop.now)
        for endpoint in destination.endpoints:
            breaker = endpoint.breaker
            if (
                breaker
                and self.may_call(breaker)
                and limits.available_at(endpoint.listed, now, breaker.is_open()) <= now
            ):
                return True
        return False

    def push_most_urgent(
        self, heap: list[tuple[Rank, PendingMessage, Destination]], destination: Destination
    ) -> None:
        """Adds the most urgent message of a destination to the heap, if it has a message to send."""
        if most_urgent := destination.most_urgent(int(self.loop.now)):
            heapq.heappush(heap, (*most_urgent, destination))

    # Selection of the endpoint.

    def choose_endpoint(
        self, message: PendingMessage, batches: dict[str, ActiveCall]
    ) -> TrackedEndpoint | None:
        """Returns the endpoint to send the message to; None if no endpoint accepts it now.

        Args:
            message: The message.
            batches: Calls of this iteration that the message may join, by endpoint id.
        """
        candidates: list[tuple[tuple[float, ...], int, TrackedEndpoint]] = []
        destination = self.destinations[message.destination]
        is_pinned = self.is_pin_applicable(message)
        limits = self.registry.shared_limits
        for endpoint in destination.endpoints:
            listed = endpoint.listed
            if is_pinned and listed.id != message.pinned_endpoint:
                continue
            if message.message_class.is_window_zonal and message.uncertain_zone not in ("", listed.zone):
                continue  # a repeat elsewhere may have a second effect: only that zone drops it
            assert endpoint.breaker is not None
            can_join = self.may_join(batches.get(listed.id), listed)
            if not (can_join or self.may_call(endpoint.breaker)):
                continue
            now = int(self.loop.now)
            if limits and not can_join:
                is_trial = endpoint.breaker.is_open()
                if limits.available_at(listed, now, is_trial, message.attempts > 0) > now:
                    continue
            rank = self.endpoint_rank(endpoint, can_join, destination.is_weighted)
            candidates.append((rank, len(candidates), endpoint))
        return min(candidates)[-1] if candidates else None

    def endpoint_rank(
        self, endpoint: TrackedEndpoint, can_join: bool, is_weighted: bool
    ) -> tuple[float, ...]:
        """Returns the sort key of an endpoint; the lowest is preferred.

        In a large fleet, separate routes are ordered by rate times idle time and not by fee: if all senders
        used the cheapest route, they would exceed its limit.

        Args:
            endpoint: The endpoint.
            can_join: Whether a call of this iteration can carry the message.
            is_weighted: Whether an endpoint of the destination has a weight other than 1.
        """
        listed = endpoint.listed
        is_separate = self.registry.kinds[listed.kind].has_separate_routes
        suspect_until = max(endpoint.suspect_until, self.loop.now)
        load = endpoint.weighted_calls if is_weighted else endpoint.in_flight
        if is_separate and self.loop.context.fleet_factor > 1:
            return suspect_until, not can_join, load, (endpoint.last_sent - self.loop.now) * listed.scale
        fee = self.zone_fees.get(listed.zone, 0.0) if is_separate else 0.0
        is_remote = listed.zone != self.settings.zone
        return suspect_until, fee, not can_join, load, is_remote, endpoint.last_sent

    def is_pin_applicable(self, message: PendingMessage) -> bool:
        """Whether the message has a pinned endpoint that is listed, in a zone where a repeat is allowed."""
        known = self.endpoints.get(message.pinned_endpoint) if message.pinned_endpoint else None
        if known is None or known.listed.destination != message.destination:
            return False
        return not message.message_class.is_window_zonal or message.uncertain_zone in ("", known.listed.zone)

    def may_join(self, call: ActiveCall | None, listed: Endpoint) -> bool:
        """Whether a call of this iteration to the endpoint can carry one more message."""
        limit = self.registry.kinds[listed.kind].batch_size
        return call is not None and call.breaker.trial is not call and len(call.messages) < limit

    def may_call(self, breaker: Breaker) -> bool:
        """Whether a call may be sent now according to the slots, the breaker and the end of the process."""
        now = int(self.loop.now)
        slots = self.settings.slots
        # The last condition: a call that is still in flight when the process ends may have run.
        if (
            len(self.active_calls) >= slots
            or breaker.ready_at(now) > now
            or now + breaker.overdue_after() > self.stops_at
        ):
            return False
        return self.inflight.has_room(breaker, now)

    def may_finish_call(self, message: str, attempt: int, now: int) -> bool:
        """Whether the destination may still begin a call of which it has only a part.

        It begins when the last byte arrives, and limits of time count from then. Drains do not: they count
        from the first byte.

        Args:
            message: Id of the message.
            attempt: Number of the attempt.
            now: The time, us.
        """
        if (call := self.calls.get((message, attempt))) is None:
            return False
        pending = call.messages[message]
        is_wanted = now < pending.deadline and not pending.is_completed
        is_its_destination = call.endpoint.listed.destination == pending.destination
        ends_in_time = now + call.breaker.overdue_after() <= self.stops_at
        if not (is_wanted and is_its_destination and ends_in_time) or call.breaker.wait_until > now:
            return False
        return self.pending.may_repeat_at(now, pending, pending.uncertain_since)

    def send(
        self, message: PendingMessage, endpoint: TrackedEndpoint, batches: dict[str, ActiveCall]
    ) -> None:
        """Sends the message with a call of this iteration if it can join one, otherwise with a new call."""
        endpoint_id = endpoint.listed.id
        call = batches.get(endpoint_id)
        breaker = endpoint.breaker
        assert breaker is not None
        now = int(self.loop.now)
        if call is None or not self.may_join(call, endpoint.listed):
            call = batches[endpoint_id] = ActiveCall(breaker, endpoint, now, next(self.loop.sequence))
            if limits := self.registry.shared_limits:
                limits.reserve(endpoint.listed, message.id, breaker.is_open(), message.attempts > 0)
            endpoint.weighted_calls += 1 / endpoint.listed.weight
            breaker.last_sent = endpoint.last_sent = self.loop.now
            if breaker.is_open():
                breaker.trial = call
        self.inflight.add(call, message, message.attempts)
        self.loop.actions.append(Send(message.id, endpoint_id, message.deadline - now, message.attempts))
        message.attempts += 1

    def schedule_wake_up(self) -> None:
        """Requests the next iteration for the next due time, and a poll of the list if one is due."""
        list_polling = self.registry.list_polling
        if list_polling.take_due(self.loop.now):
            self.loop.actions.append(Subscribe())
        self.registry.schedule_overdue_checks()
        due = [
            list_polling.next_poll_at,
            self.registry.list_confirmation.next_change_at(self.loop.now),
            self.registry.overdue_checks.next_due(),
            self.registry.reopenings.next_due(),
        ]
        if self.pending.deadlines:
            due.append(self.pending.deadlines[0][0] - self.settings.tick)
        if self.pending.key_pauses:
            due.append(self.pending.key_pauses[0][0])
        wake_at = min((each for each in due if each > self.loop.now), default=NEVER)
        if wake_at < self.wake_at or self.wake_at <= self.loop.now < wake_at < NEVER:
            self.wake_at = wake_at
            self.loop.actions.append(WakeAfter(max(ceil(wake_at - self.loop.now), self.settings.tick)))
