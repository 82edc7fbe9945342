"""Imports messages and state of an earlier process, and exports the state for the next process. Does no I/O.

Breakers and endpoints are exported by recorded field names, so that another version leaves the fields that it
does not find at their defaults. The recorded names are stored data: they are keys in the handover packet and
in the file of learned state. Calls in flight are not part of the exported state: each is handed over with its
message (`MessageRestored.call`).
"""

import heapq
from collections import Counter
from collections.abc import Mapping

from message_sender.policy import silence
from message_sender.policy.breaker import (
    ANSWERED_FAILURES,
    RESET_TIMEOUT_US,
    ActiveCall,
    Breaker,
    TrackedEndpoint,
)
from message_sender.policy.endpoints import EndpointRegistry
from message_sender.policy.events import CallInFlight, InheritedState, MessageRestored, OutagesRestored
from message_sender.policy.inflight import InFlightCalls
from message_sender.policy.model import FAILURES, Endpoint, EndpointState, Outcome
from message_sender.policy.outage import OutageCause
from message_sender.policy.pending import KeyQueue, PendingQueue
from message_sender.policy.pending_message import PendingMessage

RESTORED_REFUSALS_LIMIT = 2  # refusals of restored messages from which a destination may be down

#: Recorded names of a breaker's fields.
BREAKER_FIELDS = {
    "calls": "success_count",
    "cold_since": "warm_up_since",
    "failures": "failures",
    "full_since": "refused_since",
    "gap": "gap",
    "gap_changed": "gap_changed",
    "known": "latency_samples",
    "last_sent": "last_sent",
    "last_served": "last_success",
    "served_sent": "newest_success_sent_at",
    "sick": "failure_rate",
    "span": "success_time",
    "spread": "latency_deviation",
    "took": "mean_latency",
    "trial_at": "trial_at",
    "unserved": "calls_since_success",
    "wait_until": "wait_until",
}
#: Recorded names of an endpoint's fields.
ENDPOINT_FIELDS = {
    "bad_until": "suspect_until",
    "last_sent": "last_sent",
    "refused_at": "connect_refused_at",
    "scarce_until": "connections_scarce_until",
}


def export_fields(source: object, names: Mapping[str, str]) -> dict[str, float]:
    """Returns the values of an object's fields by recorded name."""
    return {recorded: getattr(source, name) for recorded, name in names.items()}


def import_fields(target: Breaker | TrackedEndpoint, values: Mapping[str, float]) -> None:
    """Sets the recorded values that this version knows; the other fields keep their values."""
    names = BREAKER_FIELDS if isinstance(target, Breaker) else ENDPOINT_FIELDS
    for recorded, name in names.items():
        if recorded in values:
            setattr(target, name, values[recorded])


def export_state(registry: EndpointRegistry, pending: PendingQueue) -> InheritedState:
    """Collects the state for the next process."""
    destinations = list(registry.destinations.values())
    now = pending.loop.now
    return InheritedState(
        breakers=tuple(
            (destination.number, route, export_fields(breaker, BREAKER_FIELDS))
            for destination in destinations
            for route, breaker in (destination.breakers_by_route or {}).items()
        ),
        endpoints=tuple(
            (name, export_fields(endpoint, ENDPOINT_FIELDS)) for name, endpoint in registry.endpoints.items()
        ),
        keys=tuple(
            (key, queue.paused_until) for key, queue in pending.keys.items() if queue.paused_until > now
        ),
        credit=tuple((tenant, credit, since) for tenant, (credit, since) in pending.credit.items()),
        silent=tuple(
            (destination.number, destination.inactive_since)
            for destination in destinations
            if destination.inactive_since is not None
        ),
    )


class StateImporter:
    """Imports the messages and the state of an earlier process."""

    def __init__(self, registry: EndpointRegistry, pending: PendingQueue, inflight: InFlightCalls) -> None:
        """Creates an importer into these parts of the policy."""
        self.loop = pending.loop
        self.registry = registry
        self.pending = pending
        self.inflight = inflight

    def restore_message(self, restored: MessageRestored) -> None:
        """Imports a message.

        An attempt that was in flight when its process ended may have run, or may still run, so the key of the
        message pauses.
        """
        self.pending.accept(restored.accepted, restored.weight_factor)
        message = self.pending.messages[restored.accepted.message]
        message.attempts = restored.attempts
        message.uncertain_since = restored.uncertain_since
        message.uncertain_zone = restored.uncertain_zone
        message.is_restored = True
        if restored.is_completed:
            if not restored.is_handed_over:
                self.pending.pause_key(message.key)
            self.pending.unacknowledged[message.id] = message
            self.pending.remove(message)
            return
        if restored.call:
            self.adopt_call(message, restored.call)
            return
        if not restored.is_handed_over:
            self.pending.pause_key(message.key)
            if not self.registry.list_confirmation.holds_calls(self.loop.now):
                self.registry.delay_first_call(message.destination)
        self.pending.schedule_window_check(message)
        if not self.pending.may_retry(message):
            self.pending.complete(message)
        for endpoint, outcome in restored.outcomes:
            self.restore_outcome(endpoint, outcome)

    def restore_outcome(self, endpoint: str, outcome: Outcome) -> None:
        """Counts a recorded outcome as if it had happened now.

        This protects a destination that has returned in the meantime and is cold. A cancelled attempt counts
        as a failure, since it was far overdue. In a large fleet one failure without an answer restarts the
        warm-up, as no successes are known here.
        """
        known = self.registry.endpoints.get(endpoint)
        if known is None or known.breaker is None:
            return
        breaker = known.breaker
        now = int(self.loop.now)
        if outcome in FAILURES or outcome is Outcome.CANCELLED:
            breaker.record_failure(now, outcome, OutageCause.RESTORED)
            breaker.trial_at = self.loop.now
            if self.loop.context.fleet_factor > 1 and outcome not in ANSWERED_FAILURES:
                breaker.outage.note_out(now, OutageCause.RESTORED)
        elif outcome is Outcome.FULL:
            breaker.record_unserved(now, RESTORED_REFUSALS_LIMIT, OutageCause.RESTORED)

    def restore_outages(self, event: OutagesRestored) -> None:
        """Applies what an earlier process knew of outages; it only makes this process more careful.

        The destination may have come back at any time since that process ended: it gets one trial call, and
        warms up from now. The trial call waits if the destination may just be beginning all calls of that
        process. A warm-up goes on.
        """
        now = int(self.loop.now)
        for outage in event.outages:
            by_route = self.registry.activate(outage.destination).breakers_by_route
            assert by_route is not None
            breaker = by_route.setdefault(
                outage.route, Breaker(self.loop.context, outage.destination, outage.route)
            )
            if outage.is_out:
                breaker.open_for_outage(now, OutageCause.RESTORED)
                breaker.trial_at = now
                self.registry.delay_first_call(outage.destination)
            elif outage.since_us > breaker.warm_up_since:
                breaker.outage.begin_warm_up(min(outage.since_us, now), OutageCause.RESTORED)
            self.registry.mark_changed(breaker)
        self._restore_unanswered(event.in_flight)
        self._restore_unanswered(event.given_up, only_if_out=True)

    def _restore_unanswered(self, endpoints: tuple[str, ...], only_if_out: bool = False) -> None:
        """Counts calls of an earlier process that their destinations may still begin.

        Args:
            endpoints: The endpoint id of each call.
            only_if_out: Calls to destinations that are not out do not count.
        """
        for endpoint, count in Counter(endpoints).items():
            known = self.registry.endpoints.get(endpoint)
            if known is None or known.breaker is None:
                continue
            breaker = known.breaker
            if only_if_out and not breaker.outage.is_out:
                continue
            breaker.outage.note_earlier_calls(count, self.loop.now)
            if not silence.is_exhausted(breaker):
                continue
            breaker.outage.has_spent_limit_before = True
            if breaker.is_open():
                breaker.trial_at = self.loop.now + RESET_TIMEOUT_US

    def adopt_call(self, message: PendingMessage, inherited: CallInFlight) -> None:
        """Imports a call of the predecessor, which occupies its message, key and trial until it ends."""
        number = message.destination
        destination = self.registry.activate(number)
        endpoint = self.registry.endpoints.get(inherited.endpoint)
        if endpoint is None:
            endpoint = TrackedEndpoint(
                Endpoint(inherited.endpoint, number, EndpointState.GONE, "", inherited.zone)
            )
        breaker = self.registry.breaker_for(destination, endpoint.listed)
        call = ActiveCall(breaker, endpoint, inherited.sent, next(self.loop.sequence))
        self.inflight.add(call, message, message.attempts - 1)
        if inherited.trial:
            breaker.trial = call
        if inherited.overdue:
            call.is_overdue = True
            del breaker.on_time_calls[call]
            breaker.overdue_calls[call] = self.inflight.overdue[call] = None

    def apply_inherited(self, state: InheritedState) -> None:
        """Imports the state of breakers, endpoints, keys, quotas and inactive destinations."""
        self.inflight.sort_by_start()
        for number, route, values in state.breakers:
            by_route = self.registry.activate(number).breakers_by_route
            assert by_route is not None
            breaker = by_route.setdefault(route, Breaker(self.loop.context, number, route))
            import_fields(breaker, values)
            breaker.outage.cause = OutageCause.INHERITED
            breaker.outage.is_out = breaker.has_unserved_outage()
            self.registry.mark_changed(breaker)
        for name, values in state.endpoints:
            if name in self.registry.endpoints:
                import_fields(self.registry.endpoints[name], values)
        for key, until in state.keys:
            self.pending.keys.setdefault(key, KeyQueue()).paused_until = until
            heapq.heappush(self.pending.key_pauses, (until, key))
        quotas = self.pending.quotas
        self.pending.credit |= {
            tenant: (credit, since) for tenant, credit, since in state.credit if tenant in quotas
        }
        for number, inactive_since in state.silent:
            destination = self.registry.destinations.get(number)
            if destination and destination.breakers_by_route is None:
                destination.inactive_since = inactive_since
