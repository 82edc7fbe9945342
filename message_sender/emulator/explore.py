"""Every world that a few members of a budget can come to, up to a number of faults: the pure machine itself
(budget/lease.py), each word lost, repeated, late or out of order, members that end and start, and each clock
behind the others by a unit once. Nobody ever has to act or to hear, so that members that stand still and wake
are among them. Breadth first: what breaks the rule is found by a shortest way.

Where what was spent counts on (`Terms.after`), what each may have spent in two ticks counts with it,
also over a start; a member says that something is over only once no more than its part was spent in these.

The whole may fall by one, once, at any moment, as it is told to all: what was given before may be spent until
its leases and spans are over, by the slowest clock, and no more from then on.

Worlds are told apart by times from each member's own clock on, and by nothing that is long over: there is an
end to them without a limit on time. Of worlds that differ by the names of their members alone one is looked
at; the way to a breach is walked once more with the names that it began with."""

from collections import deque
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from itertools import permutations
from typing import NamedTuple

from message_sender.budget import lease
from message_sender.budget.lease import LeaseMessage, LeaseMessageKind, Member, Terms

SOME = 500


class World(NamedTuple):
    """Each member's clock stands at 0: all of its times are from there."""

    members: tuple[Member, ...]
    words: frozenset[LeaseMessage] = frozenset()  # that are out; one that was heard may come again
    lagged: frozenset[int] = frozenset()  # whose clock has fallen behind
    restarts: int = 0
    #: The most that each might spend before the last tick, and since, and behind them the same of lives that
    #: ended; none: that is no matter.
    lately: tuple[tuple[int, int], ...] = ()
    lowered: int = -1  # ticks since the whole fell, up to where it has to hold; none: it has not


@dataclass(frozen=True)
class Limits:
    words: int = 2  # out at once
    restarts: int = 1
    lags: int = 2
    states: int = 1_000_000
    falls: bool = False  # whether the whole may fall by one


@dataclass
class Found:
    states: int = 0
    whole: bool = True  # all of it was seen
    trace: list[str] = field(default_factory=list)  # the shortest way to a breach; none: no breach
    some: list[World] = field(default_factory=list)  # one of SOME that were seen


def first(terms: Terms) -> World:
    """All have been up for long."""
    members = tuple(
        lease.new_member(name, 0)._replace(started_at=-(terms.grantor_term + terms.margin))
        for name in range(terms.max_members)
    )
    return World(
        tuple(from_now(each, terms, members) for each in members),
        lately=((terms.floor, terms.floor),) * terms.max_members if terms.usage_window else (),
    )


def falls_within(terms: Terms, limits: Limits) -> int:
    """Ticks from a fall of the whole until it has to hold: leases that were given before it, what was spent
    of them, and a tick for each clock that is behind."""
    return terms.lease_duration + terms.usage_window + limits.lags


def whole_of(world: World, terms: Terms, limits: Limits) -> int:
    """What all may spend at the most."""
    return terms.limit - (world.lowered >= falls_within(terms, limits))


def told_terms(world: World, terms: Terms) -> Terms:
    """What members go by."""
    return terms._replace(limit=terms.limit - 1) if world.lowered >= 0 else terms


Form = tuple[object, ...]


def renamed(world: World, order: Sequence[int]) -> World:
    """`order`: the members' names by their new ones."""
    now = {old: new for new, old in enumerate(order)} | {lease.NO_MEMBER: lease.NO_MEMBER}
    members = tuple(
        each._replace(
            number=new,
            promised_to=now[each.promised_to],
            votes=tuple(sorted(now[x] for x in each.votes)),
            grants=tuple(sorted(x._replace(holder=now[x.holder]) for x in each.grants)),
        )
        for new, each in enumerate(world.members[old] for old in order)
    )
    ended = tuple(sorted(world.lately[len(order) :]))
    return world._replace(
        members=members,
        words=frozenset(x._replace(sender=now[x.sender], receiver=now[x.receiver]) for x in world.words),
        lagged=frozenset(now[x] for x in world.lagged),
        lately=(*(world.lately[old] for old in order), *ended) if world.lately else (),
    )


def nameless(world: World, number: int) -> Form:
    """What tells members apart whatever they are called."""
    each = world.members[number]
    given = sorted(x[1:] for x in each.grants)
    own = each._replace(number=0, promised_to=min(each.promised_to, 0), votes=(), grants=())
    lately = world.lately[number] if world.lately else ()
    return own, len(each.votes), given, lately, number in world.lagged


def alike(world: World) -> World:
    """The one that is looked at of all that differ by names alone."""
    forms = [nameless(world, number) for number in range(len(world.members))]
    order = sorted(range(len(forms)), key=lambda number: repr(forms[number]))
    runs: list[list[int]] = []
    for number in order:
        if runs and forms[runs[-1][0]] == forms[number]:
            runs[-1].append(number)
        else:
            runs.append([number])
    if len(runs) == len(order):
        return renamed(world, order)
    orders: list[list[int]] = [[]]
    for run in runs:
        orders = [[*one, *more] for one in orders for more in permutations(run)]
    return min((renamed(world, each) for each in orders), key=lambda each: (each.members, sorted(each.words)))


def sum_spent(world: World, terms: Terms) -> int:
    if world.lately:
        return sum(map(max, world.lately))
    return sum(lease.spendable_amount(each, terms) for each in world.members)


def noted(world: World, terms: Terms) -> World:
    """What each might spend now is added to what it might before."""
    if not terms.usage_window:
        return world
    now = (lease.spendable_amount(each, terms) for each in world.members)
    own, ended = world.lately[: terms.max_members], world.lately[terms.max_members :]
    lately = ((old, max(new, each)) for (old, new), each in zip(own, now, strict=True))
    return world._replace(lately=(*lately, *ended))


def forgotten(world: World, number: int) -> World:
    """A life of a member is over; what it spent counts on."""
    if not world.lately:
        return world
    lately = (*world.lately, world.lately[number])
    return world._replace(lately=tuple((0, 0) if at == number else x for at, x in enumerate(lately)))


def in_use(world: World, number: int, terms: Terms) -> bool:
    """Whether more than its part may have been spent in the two ticks."""
    return bool(terms.usage_window) and max(world.lately[number]) > lease.spendable_amount(
        world.members[number], terms
    )


def long_over(terms: Terms) -> int:
    """From when on it is alike how long ago a thing was asked for."""
    return -max(terms.lease_duration, terms.grantor_term) - 1


def from_now(member: Member, terms: Terms, all_of: tuple[Member, ...]) -> Member:
    """Its clock at 0. What was asked for longer ago than any lease or promise lasts is alike; so is when it
    started, once it is settled."""
    clock, old = member.clock, long_over(terms)
    given = (
        x._replace(
            expires_at=x.expires_at - clock, requested_at=max(x.requested_at - all_of[x.holder].clock, old)
        )
        for x in member.grants
    )
    return member._replace(
        clock=0,
        started_at=max(member.started_at - clock, -(terms.grantor_term + terms.margin + terms.usage_window)),
        promised_until=max(member.promised_until - clock, 0),
        votes_requested_at=max(member.votes_requested_at - clock, old),
        votes=member.votes if member.votes_requested_at - clock > old else (),
        grantor_until=max(member.grantor_until - clock, 0),
        grants_from=max(member.grants_from - clock, 0) if clock < member.grantor_until else 0,
        leased_until=max(member.leased_until - clock, 0),
        lease_requested_at=max(member.lease_requested_at - clock, old),
        grants=tuple(sorted(given)),
    )


def changed(
    world: World, number: int, member: Member, out: tuple[LeaseMessage, ...], limits: Limits
) -> World | None:
    words = world.words | {*out}
    if len(words) > limits.words:
        return None
    members = tuple(member if at == number else each for at, each in enumerate(world.members))
    return world._replace(members=members, words=words)


def owner(word: LeaseMessage) -> int:
    """By whose clock it was asked."""
    return word.receiver if word.kind in (LeaseMessageKind.PROMISE, LeaseMessageKind.GRANT) else word.sender


def nexts(world: World, terms: Terms, limits: Limits) -> Iterator[tuple[str, World]]:
    if limits.falls and world.lowered < 0:
        yield "the whole falls by one", world._replace(lowered=0)
    later = min(world.lowered + 1, falls_within(terms, limits)) if world.lowered >= 0 else -1
    yield "time goes on", tick(world, terms, -1)._replace(lowered=later)
    for number in range(terms.max_members):
        if len(world.lagged) < limits.lags and number not in world.lagged:
            after = tick(world, terms, number)._replace(lagged=world.lagged | {number}, lowered=later)
            yield f"time goes on, the clock of {number} falls behind", after
    for word in world.words:
        rest = world._replace(words=world.words - {word})
        yield f"{told(word)} is lost", rest
        member, out = lease.handle_message(world.members[word.receiver], told_terms(world, terms), word)
        for how, before in (("", rest), (", and may come again", world)):
            if after_it := changed(before, word.receiver, member, out, limits):
                yield f"{told(word)} is heard{how}", after_it
    for number in range(terms.max_members):
        yield from member_acts(world, number, told_terms(world, terms), limits)


def tick(world: World, terms: Terms, late: int) -> World:
    members = tuple(
        each if number == late else lease.advance_clock(each, 1) for number, each in enumerate(world.members)
    )
    old = long_over(terms)
    words = (x._replace(requested_at=max(x.requested_at - members[owner(x)].clock, old)) for x in world.words)
    after = world._replace(
        members=tuple(from_now(each, terms, members) for each in members), words=frozenset(words)
    )
    own, ended = world.lately[: terms.max_members], world.lately[terms.max_members :]
    lately = (*((new, 0) for _, new in own), *((new, 0) for _, new in ended if new))
    return noted(after._replace(lately=lately), terms)


def member_acts(world: World, number: int, terms: Terms, limits: Limits) -> Iterator[tuple[str, World]]:
    member = world.members[number]
    if world.restarts < limits.restarts:
        fresh = lease.new_member(number, member.session + 1)
        found = changed(world, number, from_now(fresh, terms, world.members), (), limits)
        if found:
            yield f"{number} starts anew", forgotten(found, number)._replace(restarts=world.restarts + 1)
    steps = [
        ("elects itself", lease.request_votes(member, terms)),
        ("abandons it", (lease.abandon_election(member), ())),
    ]
    for keeper, other in enumerate(world.members):
        if lease.is_grantor(other):
            wants = (terms.limit, 1) if terms.usage_window and terms.limit > 1 else (terms.limit,)
            steps += [
                (f"asks {keeper} for {want}", lease.request_lease(member, terms, keeper, want))
                for want in wants
            ]
            if member.leased:
                after, out = lease.release_lease(member, terms, keeper)
                at_once = not terms.usage_window or max(world.lately[number]) <= terms.floor
                steps.append((f"gives back to {keeper}", (after, out if at_once else ())))
                if terms.usage_window and not in_use(world, number, terms):
                    steps.append(
                        (f"settles with {keeper}", (member, lease.release_superseded(member, terms, keeper)))
                    )
    for what, (after, out) in steps:
        if (after is not member or out) and (found := changed(world, number, after, out, limits)):
            yield f"{number} {what}", found


def told(word: LeaseMessage) -> str:
    amount = f" of {word.amount}" if word.amount else ""
    way = f"from {word.sender} to {word.receiver}"
    return f"{word.kind.name.lower()}{amount} {way}, asked at {word.requested_at},"


def explore(terms: Terms, limits: Limits | None = None) -> Found:
    """All worlds that can be come to from the first one."""
    limits, found = limits or Limits(), Found()
    begin = alike(first(terms))
    ways: dict[World, World | None] = {begin: None}
    ahead = deque([begin])
    while ahead:
        world = ahead.popleft()
        found.states += 1
        if found.states % SOME == 0:
            found.some.append(world)
        for _, raw in nexts(world, terms, limits):
            there = alike(noted(raw, terms))
            if there in ways:
                continue
            ways[there] = world
            if sum_spent(there, terms) > whole_of(there, terms, limits):
                found.trace = way(ways, there, terms, limits)
                return found
            ahead.append(there)
        if found.states >= limits.states:
            found.whole = not ahead
            return found
    return found


def way(ways: dict[World, World | None], to: World, terms: Terms, limits: Limits) -> list[str]:
    """Step by step, with the names of the beginning."""
    path = [to]
    while (before := ways[path[-1]]) is not None:
        path.append(before)
    at, steps = path.pop(), ["all have been up for long"]
    for there in reversed(path):
        after = ((what, noted(raw, terms)) for what, raw in nexts(at, terms, limits))
        what, at = next((what, world) for what, world in after if alike(world) == there)
        steps.append(what)
    return steps


def quiet(world: World, terms: Terms, wants: int) -> int:
    """What this member comes to hold once all faults are over: all words arrive, and nobody else wants
    any."""
    members = list(world.members)
    for _ in range(3 * (terms.grantor_term + terms.margin) + 2 * lease.max_usage_duration(terms) + 4):
        members = [lease.advance_clock(each, each.clock + 1) for each in members]
        first_one = next((number for number, each in enumerate(members) if lease.is_grantor(each)), 0)
        members[first_one], out = lease.request_votes(members[first_one], terms)
        deliver(members, terms, list(out))
        keeper = next((number for number, each in enumerate(members) if lease.is_grantor(each)), None)
        if keeper is not None:
            members[wants], out = lease.request_lease(members[wants], terms, keeper, terms.limit)
            deliver(members, terms, list(out))
    return lease.spendable_amount(members[wants], terms)


def deliver(members: list[Member], terms: Terms, words: list[LeaseMessage]) -> None:
    while words:
        word = words.pop(0)
        members[word.receiver], out = lease.handle_message(members[word.receiver], terms, word)
        words += out
