"""A member's budgets for people: what it has of each and why, and what it gave out where it keeps one."""

from message_sender.budget import lease
from message_sender.budget.manager import LeaseManager, Ledger


def to_seconds(us: int) -> float:
    return round(max(us, 0) / 1e6, 3)


def describe_budgets(desk: LeaseManager) -> dict[str, object]:
    return {name: describe_ledger(desk, book) for name, book in sorted(desk.books.items())}


def describe_ledger(desk: LeaseManager, book: Ledger) -> dict[str, object]:
    now, budget = desk.clock(), book.budget
    member, terms = lease.advance_clock(book.member, now), budget.terms
    keeps = lease.is_grantor(member)
    return {
        "of": budget.of, "whole": budget.whole, "per_ms": budget.span / 1000 if budget.span else None,
        "floor": budget.floor, "size": budget.size,
        "part": desk.part(book), "in_use": book.spender.used(now), "spent": book.spender.spent,
        "needed": book.wanted, "lease_left_s": to_seconds(member.held_until - now) if member.held else 0.0,
        "keeper": desk.keeper(book), "keeps": keeps,
        "gives_in_s": to_seconds(member.gives_from - now) if keeps else None,
        "silent_s": to_seconds(member.since + terms.term + terms.margin - now),
        "spends_in_s": to_seconds(member.since + terms.after - now),
        "by_member": describe_grants(desk, book, member) if keeps else {}, "refused": dict(book.refused),
        "changes": [[to_seconds(each.at - desk.began), each.text] for each in book.changes],
    }  # fmt: skip


def describe_grants(desk: LeaseManager, book: Ledger, member: lease.Member) -> dict[str, object]:
    """What a keeper has on its list, by member."""
    names, now = {number: name for name, number in book.numbers.items()}, desk.clock()
    found: dict[str, object] = {}
    for number in sorted({each.to for each in member.given}):
        own = [each for each in member.given if each.to == number]
        asker = book.askers.get(names[number])
        found[names[number]] = {
            "granted": max(each.amount for each in own),
            "left_s": to_seconds(max(each.until for each in own) - now),
            "needed": asker.need if asker else None,
        }
    return found
