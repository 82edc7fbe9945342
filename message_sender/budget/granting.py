"""Decides, at the grantor of one budget, how much of the limit each lease request gets."""

from message_sender.budget import division, lease
from message_sender.budget.lease import LeaseMessage, LeaseMessageKind, Terms
from message_sender.budget.ledger import FULLY_WARM_PERMILLE, Ledger, Requester


def grant_lease(
    ledger: Ledger, requester_name: str, request: LeaseMessage, warm_permille: int
) -> LeaseMessage | None:
    """Handles a lease request.

    Args:
        ledger: The budget's ledger at the grantor.
        requester_name: The name of the member that sent the request.
        request: The lease request.
        warm_permille: The requester's estimate of the part of the limit that can be spent, in thousandths.

    Returns:
        The grant, which is recorded unless its amount is 0; None: the request gets no reply.
    """
    now_us = ledger.clock()
    if request.amount < 0:
        return None
    requester = record_request(ledger, requester_name, request.amount, warm_permille, now_us)
    if not lease.is_grantor(ledger.member) or now_us < ledger.member.grants_from:
        return None  # the request is recorded, so that the first grants consider the demand of all members
    terms = ledger.effective_terms()
    share = decide_share(ledger, terms, requester_name, now_us)
    if share <= 0:
        requester.share = 0
        return LeaseMessage(
            LeaseMessageKind.GRANT, request.receiver, request.sender, request.session, request.requested_at
        )
    ledger.member, grants = lease.handle_lease_request(ledger.member, terms, request._replace(amount=share))
    requester.share = grants[0].amount if grants else 0
    return grants[0] if grants else None


def record_request(ledger: Ledger, name: str, amount: int, warm_permille: int, now_us: int) -> Requester:
    """Records a member's demand, and drops requests older than two leases."""
    previous = ledger.requesters.get(name)
    previous_share = previous.share if previous else 0
    requester = Requester(min(amount, ledger.budget.limit), now_us, previous_share, warm_permille)
    ledger.requesters[name] = requester
    ledger.requesters = {
        name: each
        for name, each in ledger.requesters.items()
        if now_us < each.requested_at_us + 2 * ledger.budget.lease_us
    }
    return requester


def decide_share(ledger: Ledger, terms: Terms, requester_name: str, now_us: int) -> int:
    """Returns the requester's share of the amount that can be spent at present."""
    demands = {name: each.demand for name, each in sorted(ledger.requesters.items())}
    available = warm_amount(ledger, terms.leasable_amount())
    shares = division.divide(available, demands, now_us // (2 * ledger.budget.lease_us))
    requester = ledger.requesters[requester_name]
    return division.damp_change(shares[requester_name], requester.share, requester.demand)


def warm_amount(ledger: Ledger, amount: int) -> int:
    """Returns the part of the amount that can be spent by the median estimate of the members with demand."""
    estimates = sorted(each.warm_permille for each in ledger.requesters.values() if each.demand > 0)
    if not estimates:
        return amount
    median = estimates[(len(estimates) - 1) // 2]
    return -(-amount * median // FULLY_WARM_PERMILLE)
