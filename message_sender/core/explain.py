"""Where a message would go now, and why not elsewhere; for people. It asks the policy and changes nothing."""

from dataclasses import asdict, dataclass
from typing import Any

from message_sender.core.inventory import breaker_state
from message_sender.policy.breaker import NEVER, TrackedEndpoint
from message_sender.policy.destination import Destination
from message_sender.policy.dispatcher import Dispatcher
from message_sender.policy.events import MessageAccepted
from message_sender.policy.pending_message import PendingMessage

US_PER_MS = 1e3
US_PER_S = 1e6


@dataclass(frozen=True, slots=True)
class EndpointView:
    """An endpoint that is listed as ready. The names of its fields are those in the control socket's answers.

    Attributes:
        id: Of the endpoint.
        destination: Number of its destination.
        zone: As listed.
        weight: Its share of the calls, against the other endpoints of its destination.
        state: Of its breaker: closed, open, half-open, waits, warming; asleep where it has none.
        ready_ms: Until a call may go; None: the result of a trial decides it.
        gap_ms: Between two calls.
        wait_ms: What is left of a Retry-After.
        out: Calls in flight.
        rate: Calls per second, as listed.
    """

    id: str
    destination: int
    zone: str
    weight: float
    state: str
    ready_ms: float | None
    gap_ms: float
    wait_ms: float
    out: int
    rate: float


def endpoints(dispatcher: Dispatcher, now: int) -> list[dict[str, Any]]:
    """All endpoints that the policy takes to be ready, by destination and id. `now`: microseconds."""
    views = [endpoint_view(each, now) for each in dispatcher.endpoints.values()]
    return [asdict(each) for each in sorted(views, key=lambda view: (view.destination, view.id))]


def endpoint_view(endpoint: TrackedEndpoint, now: int) -> EndpointView:
    """What is shown of one endpoint."""
    listed, breaker = endpoint.listed, endpoint.breaker
    if breaker is None:
        state, ready_at, gap, wait = "asleep", float(now), 0.0, 0.0
    else:
        state = breaker_state(breaker, now)
        ready_at = breaker.earliest_ready_at(now)
        gap = max(breaker.gap, breaker.warm_up_gap(now))
        wait = max(breaker.wait_until - now, 0)
    return EndpointView(
        id=listed.id,
        destination=listed.destination,
        zone=listed.zone,
        weight=listed.weight,
        state=state,
        ready_ms=None if ready_at == NEVER else round(max(ready_at - now, 0) / US_PER_MS, 3),
        gap_ms=round(gap / US_PER_MS, 3),
        wait_ms=round(wait / US_PER_MS, 3),
        out=endpoint.in_flight,
        rate=listed.scale,
    )


def explain(dispatcher: Dispatcher, destination: int, key: str, now: int) -> dict[str, Any]:
    """What would become of a message for this destination, submitted now.

    Args:
        dispatcher: The policy.
        destination: Number of the destination.
        key: The message's key; empty for none.
        now: Microseconds on the policy's clock.

    Raises:
        ValueError: The destination is not listed.
    """
    found = dispatcher.destinations.get(destination)
    if found is None:
        raise ValueError(f"destination {destination} is not listed")
    reasons = {each.listed.id: blocking_reason(dispatcher, each, now) for each in found.endpoints}
    blocker = key_blocker(dispatcher, key)
    endpoint = None if blocker else chosen_endpoint(dispatcher, found, reasons, key, now)
    return {
        "destination": destination,
        "goes_to": endpoint,
        "waits_for": blocker,
        "held_there": len(found.pending or ()),
        "why_not": {endpoint_id: reason for endpoint_id, reason in reasons.items() if reason},
    }


def key_blocker(dispatcher: Dispatcher, key: str) -> str:
    """Which messages of the same key go before; empty for none."""
    queue = dispatcher.keys.get(key) if key else None
    return f"{len(queue.messages)} of its key are before it" if queue and queue.messages else ""


def chosen_endpoint(
    dispatcher: Dispatcher, destination: Destination, reasons: dict[str, str], key: str, now: int
) -> str | None:
    """The endpoint to which the policy would send a message of the first class; None: none may be called."""
    free = [endpoint_id for endpoint_id, reason in reasons.items() if not reason]
    if not free:
        return None
    if all(each.breaker for each in destination.endpoints):
        kind = dispatcher.settings.classes[0]
        event = MessageAccepted("?", kind.name, destination.number, kind.deadline, key=key)
        chosen = dispatcher.choose_endpoint(PendingMessage(event, kind, now, 1.0), {})
        if chosen:
            return chosen.listed.id
    return free[0]


def blocking_reason(dispatcher: Dispatcher, endpoint: TrackedEndpoint, now: int) -> str:
    """Why the endpoint may not be called now; empty: it may."""
    if len(dispatcher.active_calls) >= dispatcher.settings.slots:
        return f"all {dispatcher.settings.slots} slots are taken"
    breaker = endpoint.breaker
    if breaker is None:
        return ""  # asleep: the first message wakes it
    if breaker.is_open():
        if breaker.trial:
            return "its breaker is half-open: one trial is out"
        return f"its breaker is open for {(breaker.trial_at - now) / US_PER_S:.3f} s"
    if breaker.wait_until > now:
        return f"it told to wait for {(breaker.wait_until - now) / US_PER_S:.3f} s"
    ready_at = breaker.ready_at(now)
    if ready_at > now:
        cause = "it warms up" if breaker.warm_up_gap(now) > breaker.gap else "its gap"
        return f"{cause}: the next call in {(ready_at - now) / US_PER_S:.3f} s"
    limits = dispatcher.registry.shared_limits
    if limits and limits.free_at(endpoint.listed, now) > now:
        return "its part of a budget that the fleet shares is in use"
    return "" if dispatcher.may_call(breaker) else "it has as many calls out as one destination may"
