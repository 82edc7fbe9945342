"""Explains to operators where a message would be sent now, and why not to other endpoints.

The policy is only queried, its state does not change.
"""

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
    """An endpoint that is listed as ready. The field names appear in responses of the control socket.

    Attributes:
        id: Id of the endpoint.
        destination: Number of its destination.
        zone: Its zone, as listed.
        weight: Its share of the calls, relative to the other endpoints of its destination.
        state: State of its breaker: closed, open, half-open, waits (for a Retry-After), warming (slow start);
            asleep if it has no breaker.
        ready_ms: Milliseconds until the next call may be sent; None: this depends on the result of a trial.
        gap_ms: Minimum interval between two calls, in milliseconds.
        wait_ms: Remaining time of a Retry-After, in milliseconds.
        out: Number of calls in flight.
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
    """All endpoints that the policy considers ready, ordered by destination and id.

    Args:
        dispatcher: The policy.
        now: Microseconds on the policy's clock.
    """
    views = [endpoint_view(each, now) for each in dispatcher.endpoints.values()]
    return [asdict(each) for each in sorted(views, key=lambda view: (view.destination, view.id))]


def endpoint_view(endpoint: TrackedEndpoint, now: int) -> EndpointView:
    """The view of one endpoint. `now`: microseconds on the policy's clock."""
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
    """Where a message for this destination would be sent if it were submitted now.

    Args:
        dispatcher: The policy.
        destination: Number of the destination.
        key: The message's key; empty for none.
        now: Microseconds on the policy's clock.

    Returns:
        The response of the control socket: the chosen endpoint, the messages that the key waits for, the
        number of messages that wait for the destination, and why endpoints may not be called, by their ids.

    Raises:
        ValueError: The destination is not listed.
    """
    entry = dispatcher.destinations.get(destination)
    if entry is None:
        raise ValueError(f"destination {destination} is not listed")
    reasons = {each.listed.id: blocking_reason(dispatcher, each, now) for each in entry.endpoints}
    blocker = key_blocker(dispatcher, key)
    endpoint = None if blocker else chosen_endpoint(dispatcher, entry, reasons, key, now)
    return {
        "destination": destination,
        "goes_to": endpoint,
        "waits_for": blocker,
        "held_there": len(entry.pending or ()),
        "why_not": {endpoint_id: reason for endpoint_id, reason in reasons.items() if reason},
    }


def key_blocker(dispatcher: Dispatcher, key: str) -> str:
    """A text on the messages of the same key that are delivered first; empty for none."""
    queue = dispatcher.keys.get(key) if key else None
    return f"{len(queue.messages)} of its key are before it" if queue and queue.messages else ""


def chosen_endpoint(
    dispatcher: Dispatcher, destination: Destination, reasons: dict[str, str], key: str, now: int
) -> str | None:
    """Id of the endpoint that the policy would choose for a message of the first class.

    Returns:
        None: no endpoint may be called.
    """
    callable_ids = [endpoint_id for endpoint_id, reason in reasons.items() if not reason]
    if not callable_ids:
        return None
    if all(each.breaker for each in destination.endpoints):
        message_class = dispatcher.settings.classes[0]
        event = MessageAccepted("?", message_class.name, destination.number, message_class.deadline, key=key)
        chosen = dispatcher.choose_endpoint(PendingMessage(event, message_class, now, 1.0), {})
        if chosen:
            return chosen.listed.id
    return callable_ids[0]


def blocking_reason(dispatcher: Dispatcher, endpoint: TrackedEndpoint, now: int) -> str:
    """Why the endpoint may not be called now; empty if it may be called."""
    if len(dispatcher.active_calls) >= dispatcher.settings.slots:
        return f"all {dispatcher.settings.slots} slots are taken"
    breaker = endpoint.breaker
    if breaker is None:
        return ""  # asleep: the first message creates its breaker
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
    if limits and limits.available_at(endpoint.listed, now) > now:
        return "its part of a budget that the fleet shares is in use"
    return "" if dispatcher.may_call(breaker) else "it has as many calls out as one destination may"
