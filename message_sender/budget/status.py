"""The state of a member's budgets for operators, as `fleet budgets` shows it.

The keys of the dictionaries are an output format: they don't follow the names in the code.
"""

from message_sender.budget import lease
from message_sender.budget.ledger import Ledger
from message_sender.budget.manager import LeaseManager

US_PER_S = 1e6


def to_seconds(duration_us: int) -> float:
    """Returns a duration in seconds, to a millisecond; 0 for a negative one."""
    return round(max(duration_us, 0) / US_PER_S, 3)


def describe_budgets(manager: LeaseManager) -> dict[str, object]:
    """Returns the state of each budget, by name."""
    return {name: describe_ledger(manager, ledger) for name, ledger in sorted(manager.ledgers.items())}


def describe_ledger(manager: LeaseManager, ledger: Ledger) -> dict[str, object]:
    """Returns the state of one budget: the member's share and its reasons, and the grants of a grantor."""
    now_us = manager.clock()
    budget, terms = ledger.budget, ledger.budget.terms
    member = lease.advance_clock(ledger.member, now_us)
    is_grantor = lease.is_grantor(member)
    return {
        "of": budget.resource,
        "whole": budget.limit,
        "per_ms": budget.window_us / 1000 if budget.window_us else None,
        "floor": budget.floor,
        "size": budget.max_members,
        "part": ledger.share(),
        "in_use": ledger.enforcer.usage(now_us),
        "spent": ledger.enforcer.spent_total,
        "needed": ledger.requested_amount,
        "lease_left_s": to_seconds(member.leased_until - now_us) if member.leased else 0.0,
        "keeper": ledger.grantor(),
        "keeps": is_grantor,
        "gives_in_s": to_seconds(member.grants_from - now_us) if is_grantor else None,
        "silent_s": to_seconds(member.started_at + terms.grantor_term + terms.margin - now_us),
        "spends_in_s": to_seconds(member.started_at + terms.usage_window - now_us),
        "by_member": describe_grants(ledger, member, manager.clock()) if is_grantor else {},
        "refused": dict(ledger.rejections),
        "changes": [[to_seconds(each.at_us - manager.created_at_us), each.text] for each in ledger.changes],
    }


def describe_grants(ledger: Ledger, member: lease.Member, now_us: int) -> dict[str, object]:
    """Returns the grants that the grantor has recorded, by the holder's name."""
    names = {number: name for name, number in ledger.member_numbers.items()}
    described: dict[str, object] = {}
    for number in sorted({each.holder for each in member.grants}):
        grants = [each for each in member.grants if each.holder == number]
        requester = ledger.requesters.get(names[number])
        described[names[number]] = {
            "granted": max(each.amount for each in grants),
            "left_s": to_seconds(max(each.expires_at for each in grants) - now_us),
            "needed": requester.demand if requester else None,
        }
    return described
