"""The calls in flight: whether one may start, their results as evidence about destinations, overdue calls."""

from message_sender.policy import silence
from message_sender.policy.actions import CancelAttempt, CloseIdle
from message_sender.policy.breaker import RESET_TIMEOUT_US, ActiveCall, Breaker, TrackedEndpoint
from message_sender.policy.endpoints import EndpointRegistry
from message_sender.policy.events import AttemptEnded
from message_sender.policy.loop_state import LoopState
from message_sender.policy.model import FAILURES, Outcome
from message_sender.policy.outage import OutageCause
from message_sender.policy.pending import PendingQueue
from message_sender.policy.pending_message import PendingMessage

DESTINATION_SLOT_FRACTION = 0.5  # of the slots: limit on the calls in flight to one destination
SCARCITY_IDLE_FACTOR = 3  # connections count as scarce for this multiple of conn_idle
SCARCITY_WINDOW_US = 1_000_000  # a success so soon after a refused connection shows scarcity, not an outage
GONE_RESET_TIMEOUTS = 4  # an endpoint that may be gone is avoided for this multiple of the reset timeout
CANCEL_OVERDUE_FACTOR = 1.5  # a call may be cancelled for its slot from this multiple of the overdue limit


class InFlightCalls:
    """The calls in flight.

    Attributes:
        destination_limit: A destination has fewer calls in flight than this number before it gets another.
        calls: The calls by message id and number of the attempt.
        active: The distinct calls, oldest first.
        overdue: The distinct calls that are overdue.
        just_idle: Endpoints with a call that ended in this iteration, by id.
    """

    def __init__(self, loop: LoopState, registry: EndpointRegistry, pending: PendingQueue) -> None:
        """Creates an empty set of calls."""
        self.loop = loop
        self.settings = loop.settings
        self.registry = registry
        self.pending = pending
        self.destination_limit = max(2, loop.settings.slots * DESTINATION_SLOT_FRACTION)
        self.calls: dict[tuple[str, int], ActiveCall] = {}
        self.just_idle: dict[str, TrackedEndpoint] = {}
        self.active: dict[ActiveCall, None] = {}
        self.overdue: dict[ActiveCall, None] = {}

    def add(self, call: ActiveCall, message: PendingMessage, attempt: int) -> None:
        """Records that the call carries an attempt of the message."""
        if call not in self.active:
            self.active[call] = call.breaker.on_time_calls[call] = None
            call.breaker.in_flight += 1
            call.breaker.outage.note_call_sent(call.sent_at)
            call.endpoint.in_flight += 1
            self.registry.mark_changed(call.breaker)
        call.messages[message.id] = message
        self.calls[message.id, attempt] = call
        message.is_in_flight = True
        self.registry.destinations[message.destination].remove_pending(message)

    def sort_by_start(self) -> None:
        """Puts calls that were inherited in the order of their messages into the order of their starts."""
        in_order = sorted(self.active, key=lambda call: (call.sent_at, call.sequence))
        for call in in_order:
            call.sequence = next(self.loop.sequence)
        breakers = {call.breaker for call in in_order}
        queues = [self.active, self.overdue]
        queues += [queue for each in breakers for queue in (each.on_time_calls, each.overdue_calls)]
        for queue in queues:
            members = sorted(queue, key=lambda call: call.sequence)
            queue.clear()
            queue.update(dict.fromkeys(members))

    # Results.

    def settle(self, call: ActiveCall, ended: AttemptEnded) -> None:
        """Records a result; only the first result of a call counts as evidence about the destination."""
        breaker = call.breaker
        now = int(self.loop.now)
        self.registry.mark_changed(breaker)
        if ended.wait:  # every announced Retry-After is honoured
            breaker.wait_until = max(breaker.wait_until, now + ended.wait)
        if not call.messages:
            self._remove(call, ended.outcome)
        if call.is_settled:
            return
        call.is_settled = True
        breaker.on_time_calls.pop(call, None)
        if call.is_overdue:
            breaker.outage.note_overdue_call_ended(now)
        if ended.outcome is Outcome.OK:
            self._settle_success(call)
            return
        breaker.outage.note_unserved_call_ended(ended.outcome)
        if ended.outcome is Outcome.FULL:
            breaker.record_refusal(now, call, ended.wait)
        elif self.is_evidence(call, ended.outcome):
            self._settle_failure(call, ended.outcome)
        elif call is breaker.trial:
            breaker.trial = None

    def _settle_success(self, call: ActiveCall) -> None:
        now = int(self.loop.now)
        endpoint = call.endpoint
        call.breaker.record_success(now, call)
        endpoint.suspect_until = 0.0
        if now - endpoint.connect_refused_at < SCARCITY_WINDOW_US:
            endpoint.connections_scarce_until = now + SCARCITY_IDLE_FACTOR * self.settings.conn_idle

    def _settle_failure(self, call: ActiveCall, outcome: Outcome) -> None:
        now = int(self.loop.now)
        is_isolated = outcome is Outcome.CONNECT_FAILED and self.is_endpoint_fault(call)
        reset_timeouts = GONE_RESET_TIMEOUTS if is_isolated else 1
        call.endpoint.suspect_until = now + RESET_TIMEOUT_US * reset_timeouts
        if not is_isolated:
            call.breaker.record_failure(now, outcome)

    def _remove(self, call: ActiveCall, outcome: Outcome) -> None:
        """Removes a call after the last of its messages has a result."""
        breaker = call.breaker
        endpoint = call.endpoint
        breaker.in_flight -= 1
        endpoint.in_flight -= 1
        self.just_idle[endpoint.listed.id] = endpoint
        if outcome is Outcome.CONNECT_FAILED and not call.is_overdue:
            endpoint.connect_refused_at = int(self.loop.now)
        for calls in (self.active, self.overdue, breaker.on_time_calls, breaker.overdue_calls):
            calls.pop(call, None)

    def is_evidence(self, call: ActiveCall, outcome: Outcome) -> bool:
        """Whether a result counts against the destination and has not been counted before.

        If a call other than a trial times out before it is overdue, its message had little time left, so the
        timeout is no evidence. In a large fleet such a timeout does count, since each member sees few calls
        and a destination that returns must not be overloaded.
        """
        if outcome not in FAILURES or call.is_overdue:
            return False
        is_trial = call is call.breaker.trial
        return outcome is not Outcome.TIMEOUT or is_trial or self.loop.context.fleet_factor > 1

    def is_endpoint_fault(self, call: ActiveCall) -> bool:
        """Whether a refused connection counts against its endpoint alone.

        It does so in a large fleet, where the endpoint list may be outdated, if another endpoint with the
        same breaker is not suspected.
        """
        if self.loop.context.fleet_factor <= 1 or call is call.breaker.trial:
            return False
        return any(
            endpoint.suspect_until <= self.loop.now
            for endpoint in self.registry.destinations[call.breaker.destination].endpoints
            if endpoint.breaker is call.breaker and endpoint is not call.endpoint
        )

    def attempt_withheld(self, message_id: str) -> None:
        """Excludes the latest attempt of a message from its maximum: no byte of it was or will be sent."""
        if message := self.pending.messages.get(message_id):
            message.withheld += 1

    def retry_after_received(self, endpoint: str, until: int) -> None:
        """Applies a Retry-After at once, so that it also binds calls that start before the next iteration.

        Args:
            endpoint: Id of the endpoint that announced it.
            until: End of the wait, us.
        """
        breakers = {call.breaker for call in self.active if call.endpoint.listed.id == endpoint}
        if known := self.registry.endpoints.get(endpoint):  # None if it is draining or gone
            self.registry.activate(known.listed.destination)
            assert known.breaker is not None
            breakers.add(known.breaker)
        for breaker in breakers:
            breaker.wait_until = max(breaker.wait_until, until)

    def may_start_call(self, endpoint: str, now: int, message: str = "") -> bool:
        """Whether a call may still start; checked before its first byte is sent, since connecting takes time.

        Args:
            endpoint: Id of the endpoint, which may have begun to drain, announced a Retry-After, or been
                listed with another destination meanwhile.
            now: The time, us.
            message: Id of the message, whose idempotency window may have ended meanwhile; empty for none.
        """
        known = self.registry.endpoints.get(endpoint)
        if known is None or (known.breaker and known.breaker.wait_until > now):
            return False
        pending = self.pending.messages.get(message)
        if pending is None:
            return True
        is_its_destination = known.listed.destination == pending.destination
        return is_its_destination and self.pending.may_repeat_at(now, pending, pending.uncertain_since)

    # Overdue calls.

    def process_overdue(self) -> None:
        """Counts overdue calls as failures at once, and cancels those that are unlikely to succeed.

        If no slot is free, the oldest call that is far overdue is cancelled, calls without effects first.
        A call that was overtaken by a later successful call counts as lost, and is cancelled if its messages
        may be repeated.
        """
        changed = self.registry.schedule_overdue_checks()
        now = self.loop.now
        newly_overdue: list[ActiveCall] = []
        for breaker in self.registry.overdue_checks.pop_due(now):
            self.registry.mark_changed(breaker)
            limit = breaker.overdue_after()
            for call in breaker.on_time_calls:
                if now < call.sent_at + limit:
                    break
                newly_overdue.append(call)
        for call in sorted(newly_overdue, key=lambda call: call.sequence):
            self.mark_overdue(call)
        if not self.settings.may_cancel:
            return
        changed |= self.registry.schedule_overdue_checks()
        needs_slot = len(self.active) >= self.settings.slots
        # If no slot is needed, only calls of breakers that had an event can have come to qualify.
        overdue = (
            self.overdue if needs_slot else [call for breaker in changed for call in breaker.overdue_calls]
        )
        for call in sorted(overdue, key=lambda call: (call.has_effects(), call.sequence)):
            self.loop.examined_items += 1
            if not call.is_cancelled and self.should_cancel(call, needs_slot):
                call.is_cancelled = True
                needs_slot = False
                for message in call.messages.values():
                    self.loop.actions.append(CancelAttempt(message.id, message.attempts - 1))

    def mark_overdue(self, call: ActiveCall) -> None:
        """Counts a call as a failure because it takes too long."""
        self.loop.examined_items += 1
        call.is_overdue = True
        del call.breaker.on_time_calls[call]
        call.breaker.overdue_calls[call] = self.overdue[call] = None
        now = int(self.loop.now)
        breaker = call.breaker
        breaker.record_failure(now, cause=OutageCause.OVERDUE)
        if not breaker.is_open() and silence.shows_outage(breaker, now):
            breaker.open_for_outage(now, OutageCause.OVERDUE)
        call.endpoint.suspect_until = self.loop.now + RESET_TIMEOUT_US
        self.registry.mark_changed(call.breaker)

    def should_cancel(self, call: ActiveCall, needs_slot: bool) -> bool:
        """Whether to cancel an overdue call.

        Args:
            call: The call.
            needs_slot: Whether no slot is free.
        """
        age = self.loop.now - call.sent_at
        is_far_overdue = age > CANCEL_OVERDUE_FACTOR * call.breaker.overdue_after()
        is_lost = call.breaker.newest_success_sent_at > call.sent_at and self.may_retry(call)
        is_useless = not call.has_effects() and call.breaker.is_open() and not self.awaits_return(call)
        return is_lost or is_useless or (needs_slot and is_far_overdue)

    def awaits_return(self, call: ActiveCall) -> bool:
        """Whether an overdue call has to show the return of its destination, which gets no other call."""
        if not silence.is_limited(call.breaker):
            return False
        in_flight = (*call.breaker.on_time_calls, *call.breaker.overdue_calls)
        is_last = all(each is call or each.is_cancelled for each in in_flight)
        return is_last and silence.is_exhausted(call.breaker)

    def has_room(self, breaker: Breaker, now: int) -> bool:
        """Whether the destination may have one more call under way."""
        if breaker.in_flight >= self.destination_limit:
            return False
        return breaker.outage.unanswered < silence.MIN_UNANSWERED or silence.has_room(breaker, now)

    def may_retry(self, call: ActiveCall) -> bool:
        """Whether all messages of the call may be sent again although the call may have run."""
        return all(
            message.counted_attempts() < self.settings.max_attempts
            and self.pending.may_repeat_at(self.loop.now, message, call.sent_at)
            for message in call.messages.values()
        )

    def close_scarce_connections(self) -> None:
        """In a large fleet, closes idle connections to endpoints whose connections are scarce.

        Such an endpoint has refused a connection although it serves calls.
        """
        idle = self.just_idle
        self.just_idle = {}
        if self.loop.context.fleet_factor <= 1:
            return
        for name, endpoint in idle.items():
            if not endpoint.in_flight and self.loop.now < endpoint.connections_scarce_until:
                self.loop.actions.append(CloseIdle(name))
