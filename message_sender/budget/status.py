"""A member's budgets for people: what it has of each and why, and what it gave out where it keeps one."""

from message_sender.budget import lease
from message_sender.budget.manager import LeaseManager, Ledger


def to_seconds(us: int) -> float:
    return round(max(us, 0) / 1e6, 3)


def describe_budgets(desk: LeaseManager) -> dict[str, object]:
    return {name: describe_ledger(desk, book) for name, book in sorted(desk.ledgers.items())}


def describe_ledger(desk: LeaseManager, book: Ledger) -> dict[str, object]:
    now, budget = desk.clock(), book.budget
    member, terms = lease.advance_clock(book.member, now), budget.terms
    keeps = lease.is_grantor(member)
    return {
        "of": budget.resource, "whole": budget.limit, "per_ms": budget.window_us / 1000 if budget.window_us else None,
        "floor": budget.floor, "size": budget.max_members,
        "part": desk.share_of(book), "in_use": book.enforcer.usage(now), "spent": book.enforcer.spent_total,
        "needed": book.requested_amount, "lease_left_s": to_seconds(member.leased_until - now) if member.leased else 0.0,
        "keeper": desk.grantor_of(book), "keeps": keeps,
        "gives_in_s": to_seconds(member.grants_from - now) if keeps else None,
        "silent_s": to_seconds(member.started_at + terms.grantor_term + terms.margin - now),
        "spends_in_s": to_seconds(member.started_at + terms.usage_window - now),
        "by_member": describe_grants(desk, book, member) if keeps else {}, "refused": dict(book.rejections),
        "changes": [[to_seconds(each.at_us - desk.created_at_us), each.text] for each in book.changes],
    }  # fmt: skip


def describe_grants(desk: LeaseManager, book: Ledger, member: lease.Member) -> dict[str, object]:
    """What a keeper has on its list, by member."""
    names, now = {number: name for name, number in book.member_numbers.items()}, desk.clock()
    found: dict[str, object] = {}
    for number in sorted({each.holder for each in member.grants}):
        own = [each for each in member.grants if each.holder == number]
        asker = book.requesters.get(names[number])
        found[names[number]] = {
            "granted": max(each.amount for each in own),
            "left_s": to_seconds(max(each.expires_at for each in own) - now),
            "needed": asker.demand if asker else None,
        }
    return found
