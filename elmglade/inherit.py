"""What a sender's decisions know that its journal does not, told to the process that follows it. Pure.

By name of field, so that a version which knows other fields leaves those at their defaults. Calls that are
out are not here: each goes with its message (`MessageRestored.call`).
"""

from collections.abc import Iterable, Mapping

from elmglade import interface as face
from elmglade.breaker import Breaker, Endpoint
from elmglade.schedule import Destination

BREAKER = (
    "calls", "cold_since", "failures", "full_since", "gap", "gap_changed", "known", "last_sent",
    "last_served", "served_sent", "sick", "span", "spread", "took", "trial_at", "unserved", "wait_until",
)  # fmt: skip
ENDPOINT = ("bad_until", "last_sent", "refused_at", "scarce_until")


def fields(of: object, names: Iterable[str]) -> dict[str, float]:
    return {name: getattr(of, name) for name in names}


def believe(of: Breaker | Endpoint, told: Mapping[str, float]) -> None:
    """What is told, of the fields that are known here."""
    for name in BREAKER if isinstance(of, Breaker) else ENDPOINT:
        if name in told:
            setattr(of, name, told[name])


def tell(
    destinations: Iterable[Destination],
    endpoints: Iterable[Endpoint],
    keys: Mapping[str, int],
    credit: Mapping[str, tuple[float, int]],
) -> face.Inherited:
    """`keys`: until when each one rests."""
    found = list(destinations)
    return face.Inherited(
        breakers=tuple(
            (at.number, route, fields(each, BREAKER))
            for at in found
            for route, each in (at.own or {}).items()
        ),
        endpoints=tuple((each.listed.id, fields(each, ENDPOINT)) for each in endpoints),
        keys=tuple(keys.items()),
        credit=tuple((tenant, left, since) for tenant, (left, since) in credit.items()),
        silent=tuple((at.number, at.silent_since) for at in found if at.silent_since is not None),
    )
