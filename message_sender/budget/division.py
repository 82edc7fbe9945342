"""Who is to have how much of what a keeper gives out. It decides about use alone: whatever it says, the sum
stays within the whole (budget/lease.py).

By need and not by head: whoever needs less than an even part gets what it needs, and the others share what
is left evenly, whole by whole; what does not divide goes round, a turn for each. Half of what nobody needs is
spread over those that need something, so that a little more need at once finds it there; the other half is
at hand for who asks next. A part that would change by less than an eighth stays as it was.
"""

from collections.abc import Mapping

CHANGE_THRESHOLD_DIVISOR = 8  # a change of less than a part's eighth is none


def divide(whole: int, needs: Mapping[str, int], turn: int = 0) -> dict[str, int]:
    """Parts by name, of `whole` at the most in all. `turn` says with whom what does not divide begins."""
    parts = dict.fromkeys(needs, 0)
    left, open_ones = max(whole, 0), sorted(name for name, need in needs.items() if need > 0)
    while left and open_ones:
        even, rest = divmod(left, len(open_ones))
        if not even:
            start = turn * rest % len(open_ones)
            for name in (open_ones[start:] + open_ones[:start])[:rest]:
                parts[name] += 1
            return parts
        for name in open_ones:
            more = min(even, needs[name] - parts[name])
            parts[name] += more
            left -= more
        open_ones = [name for name in open_ones if parts[name] < needs[name]]
    return spread_spare(left // 2, parts)


def spread_spare(spare: int, parts: dict[str, int]) -> dict[str, int]:
    """Adds what is to spare evenly to the parts of those that have one."""
    there = [name for name, part in parts.items() if part]
    return {name: part + spare // len(there) if part else 0 for name, part in parts.items()}


def damp_change(part: int, before: int, need: int) -> int:
    """A part that is changed only where it matters: one that covers the need stays, if nobody is short of
    what it has above its part."""
    return (
        before
        if part and before >= need and abs(part - before) * CHANGE_THRESHOLD_DIVISOR <= before
        else part
    )
