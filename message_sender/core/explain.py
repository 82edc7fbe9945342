"""Where a message would go now, and why not elsewhere. For people: it asks the decision module and changes
nothing."""

from dataclasses import asdict, dataclass
from typing import Any

from message_sender.core.inventory import breaker_state
from message_sender.policy.breaker import NEVER, TrackedEndpoint
from message_sender.policy.dispatcher import Dispatcher
from message_sender.policy.events import MessageAccepted
from message_sender.policy.pending_message import PendingMessage


@dataclass(frozen=True, slots=True)
class EndpointView:
    """An endpoint that is listed as ready."""

    id: str
    destination: int
    zone: str
    weight: float
    state: str  # of its breaker: closed, open, half-open, waits, warming; asleep where it has none
    ready_ms: float | None  # until a call may go; none: a trial's result decides it
    gap_ms: float
    wait_ms: float
    out: int
    rate: float  # as the list tells it, calls a second


def endpoints(dispatcher: Dispatcher, now: int) -> list[dict[str, Any]]:
    """All that the decision module believes to be there, by destination and name. `now` in us."""
    found = [seen(each, now) for each in dispatcher.endpoints.values()]
    return [asdict(each) for each in sorted(found, key=lambda each: (each.destination, each.id))]


def seen(each: TrackedEndpoint, now: int) -> EndpointView:
    listed, breaker = each.listed, each.breaker
    ready = breaker.earliest_ready_at(now) if breaker else now
    return EndpointView(
        id=listed.id,
        destination=listed.destination,
        zone=listed.zone,
        weight=listed.weight,
        state=breaker_state(breaker, now) if breaker else "asleep",
        ready_ms=None if ready == NEVER else round(max(ready - now, 0) / 1e3, 3),
        gap_ms=round(max(breaker.gap, breaker.warm_up_gap(now)) / 1e3, 3) if breaker else 0.0,
        wait_ms=round(max(breaker.wait_until - now, 0) / 1e3, 3) if breaker else 0.0,
        out=each.in_flight,
        rate=listed.scale,
    )


def explain(dispatcher: Dispatcher, destination: int, key: str, now: int) -> dict[str, Any]:
    """What would become of a message for this destination, handed in now. Raises ValueError for a destination
    that is not known."""
    if (at := dispatcher.destinations.get(destination)) is None:
        raise ValueError(f"destination {destination} is not listed")
    kind = dispatcher.settings.classes[0]
    taken = MessageAccepted("?", kind.name, destination, kind.deadline, key=key)
    message = PendingMessage(taken, kind, now, 1.0)
    reasons = {each.listed.id: why_not(dispatcher, each, now) for each in at.endpoints}
    line = dispatcher.keys.get(key) if key else None
    free = [name for name, why in reasons.items() if not why]
    chosen = (
        dispatcher.choose_endpoint(message, {})
        if free and all(each.breaker for each in at.endpoints)
        else None
    )
    held = len(at.pending or ())
    waits = f"{len(line.messages)} of its key are before it" if line and line.messages else ""
    return {
        "destination": destination,
        "goes_to": chosen.listed.id if chosen and not waits else (free[0] if free and not waits else None),
        "waits_for": waits,
        "held_there": held,
        "why_not": {name: why for name, why in reasons.items() if why},
    }


def why_not(dispatcher: Dispatcher, each: TrackedEndpoint, now: int) -> str:
    """Empty: it may be called now."""
    if len(dispatcher.active_calls) >= dispatcher.settings.slots:
        return f"all {dispatcher.settings.slots} slots are taken"
    if (breaker := each.breaker) is None:
        return ""  # asleep: the first message wakes it
    if breaker.is_open():
        if breaker.trial:
            return "its breaker is half-open: one trial is out"
        return f"its breaker is open for {(breaker.trial_at - now) / 1e6:.3f} s"
    if breaker.wait_until > now:
        return f"it told to wait for {(breaker.wait_until - now) / 1e6:.3f} s"
    if (ready := breaker.ready_at(now)) > now:
        what = "it warms up" if breaker.warm_up_gap(now) > breaker.gap else "its gap"
        return f"{what}: the next call in {(ready - now) / 1e6:.3f} s"
    if (
        dispatcher.registry.shared_limits
        and dispatcher.registry.shared_limits.free_at(each.listed, now) > now
    ):
        return "its part of a budget that the fleet shares is in use"
    return "" if dispatcher.may_call(breaker) else "it has as many calls out as one destination may"
