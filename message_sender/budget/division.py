"""Divides a limit among the members that request leases of it, at the grantor. Pure.

Division affects utilization only: whatever shares it returns, the lease protocol (budget/lease.py) keeps the
sum of all leases within the limit.

It is max-min fair: a member whose demand is below an even share gets its demand, and the others divide the
rest evenly. The units of a remainder go to one member each, in rotation. Half of what is not demanded is
spread over the members with demand, so that a small increase needs no new lease; the other half stays free
for new requests. A share that would change by at most an eighth is left unchanged.
"""

from collections.abc import Mapping

CHANGE_THRESHOLD_DIVISOR = 8  # a change of at most one eighth of the share is suppressed


def divide(limit: int, demands: Mapping[str, int], rotation: int = 0) -> dict[str, int]:
    """Divides at most `limit` among the members.

    Args:
        limit: The number of units to divide.
        demands: The demand of each member, by name.
        rotation: Selects the member that is the first to get one unit of a remainder.

    Returns:
        The share of each member, by name.
    """
    shares = dict.fromkeys(demands, 0)
    remaining = max(limit, 0)
    unsatisfied = sorted(name for name, demand in demands.items() if demand > 0)
    while remaining and unsatisfied:
        even_share, remainder = divmod(remaining, len(unsatisfied))
        if not even_share:
            start = rotation * remainder % len(unsatisfied)
            rotated = unsatisfied[start:] + unsatisfied[:start]
            for name in rotated[:remainder]:
                shares[name] += 1
            return shares
        for name in unsatisfied:
            increase = min(even_share, demands[name] - shares[name])
            shares[name] += increase
            remaining -= increase
        unsatisfied = [name for name in unsatisfied if shares[name] < demands[name]]
    return spread_spare(remaining // 2, shares)


def spread_spare(spare: int, shares: dict[str, int]) -> dict[str, int]:
    """Adds spare units evenly to the shares that are not 0, and returns all shares."""
    members = sum(1 for share in shares.values() if share)
    return {name: share + spare // members if share else 0 for name, share in shares.items()}


def damp_change(share: int, previous_share: int, demand: int) -> int:
    """Returns the previous share if it covers the demand and differs by at most an eighth; else the share."""
    if not share or previous_share < demand:
        return share
    is_small_change = abs(share - previous_share) * CHANGE_THRESHOLD_DIVISOR <= previous_share
    return previous_share if is_small_change else share
