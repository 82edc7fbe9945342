"""State of the policy that the journal does not hold, handed to the process that follows. Pure.

By name of field, so that a version which knows other fields leaves those at their defaults. Calls that are
out are not here: each goes with its message (`MessageRestored.call`).
"""

from collections.abc import Iterable, Mapping

from message_sender.policy.breaker import Breaker, TrackedEndpoint
from message_sender.policy.endpoints import EndpointRegistry
from message_sender.policy.events import InheritedState
from message_sender.policy.pending import PendingQueue

BREAKER_FIELDS = (
    "calls", "cold_since", "failures", "full_since", "gap", "gap_changed", "known", "last_sent",
    "last_served", "served_sent", "sick", "span", "spread", "took", "trial_at", "unserved", "wait_until",
)  # fmt: skip
ENDPOINT_FIELDS = ("bad_until", "last_sent", "refused_at", "scarce_until")


def export_fields(of: object, names: Iterable[str]) -> dict[str, float]:
    return {name: getattr(of, name) for name in names}


def import_fields(of: Breaker | TrackedEndpoint, told: Mapping[str, float]) -> None:
    """Set the fields that are told and known here."""
    for name in BREAKER_FIELDS if isinstance(of, Breaker) else ENDPOINT_FIELDS:
        if name in told:
            setattr(of, name, told[name])


def export_state(registry: EndpointRegistry, pending: PendingQueue) -> InheritedState:
    """Collect the state for the process that follows."""
    found, now = list(registry.destinations.values()), pending.loop.now
    own = [(at.number, route, each) for at in found for route, each in (at.own or {}).items()]
    return InheritedState(
        breakers=tuple((number, route, export_fields(each, BREAKER_FIELDS)) for number, route, each in own),
        endpoints=tuple((name, export_fields(each, ENDPOINT_FIELDS)) for name, each in registry.endpoints.items()),
        keys=tuple((key, line.quiet_until) for key, line in pending.keys.items() if line.quiet_until > now),
        credit=tuple((tenant, left, since) for tenant, (left, since) in pending.credit.items()),
        silent=tuple((at.number, at.silent_since) for at in found if at.silent_since is not None),
    )
