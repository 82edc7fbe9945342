"""Every world that a few members of a budget can come to, up to a number of faults: the pure machine itself
(budget/lease.py), each word lost, repeated, late or out of order, members that end and start, and each clock
behind the others by a unit once. Nobody ever has to act or to hear, so that members that stand still and wake
are among them. Breadth first: what breaks the rule is found by a shortest way.

Where what was spent counts on (`Terms.after`), what each may have spent in two ticks counts with it,
also over a start; a member says that something is over only once no more than its part was spent in these.

Worlds are told apart by times from each member's own clock on, and by nothing that is long over: there is an
end to them without a limit on time."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from elmglade.budget import lease
from elmglade.budget.lease import Kind, Member, Terms, Word

SOME = 500


class World(NamedTuple):
    """Each member's clock stands at 0: all of its times are from there."""

    members: tuple[Member, ...]
    words: frozenset[Word] = frozenset()  # that are out; one that was heard may come again
    lagged: frozenset[int] = frozenset()  # whose clock has fallen behind
    restarts: int = 0
    #: The most that each might spend before the last tick, and since, and behind them the same of lives that
    #: ended; none: that is no matter.
    lately: tuple[tuple[int, int], ...] = ()


@dataclass(frozen=True)
class Limits:
    words: int = 2  # out at once
    restarts: int = 1
    lags: int = 2
    states: int = 1_000_000


@dataclass
class Found:
    states: int = 0
    whole: bool = True  # all of it was seen
    trace: list[str] = field(default_factory=list)  # the shortest way to a breach; none: no breach
    some: list[World] = field(default_factory=list)  # one of SOME that were seen


def first(terms: Terms) -> World:
    """All have been up for long."""
    members = tuple(
        lease.started(name, 0)._replace(since=-(terms.term + terms.margin)) for name in range(terms.size)
    )
    return World(
        tuple(from_now(each, terms, members) for each in members),
        lately=((terms.floor, terms.floor),) * terms.size if terms.after else (),
    )


def sum_spent(world: World, terms: Terms) -> int:
    if world.lately:
        return sum(map(max, world.lately))
    return sum(lease.spendable(each, terms) for each in world.members)


def noted(world: World, terms: Terms) -> World:
    """What each might spend now is added to what it might before."""
    if not terms.after:
        return world
    now = (lease.spendable(each, terms) for each in world.members)
    own, ended = world.lately[: terms.size], world.lately[terms.size :]
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
    return bool(terms.after) and max(world.lately[number]) > lease.spendable(world.members[number], terms)


def long_over(terms: Terms) -> int:
    """From when on it is alike how long ago a thing was asked for."""
    return -max(terms.lease, terms.term) - 1


def from_now(member: Member, terms: Terms, all_of: tuple[Member, ...]) -> Member:
    """Its clock at 0. What was asked for longer ago than any lease or promise lasts is alike; so is when it
    started, once it is settled."""
    clock, old = member.clock, long_over(terms)
    given = (
        x._replace(until=x.until - clock, asked=max(x.asked - all_of[x.to].clock, old)) for x in member.given
    )
    return member._replace(
        clock=0,
        since=max(member.since - clock, -(terms.term + terms.margin + terms.after)),
        promised_until=max(member.promised_until - clock, 0),
        elected_at=max(member.elected_at - clock, old),
        votes=member.votes if member.elected_at - clock > old else (),
        keeps_until=max(member.keeps_until - clock, 0),
        gives_from=max(member.gives_from - clock, 0) if clock < member.keeps_until else 0,
        held_until=max(member.held_until - clock, 0),
        held_asked=max(member.held_asked - clock, old),
        given=tuple(sorted(given)),
    )


def changed(world: World, number: int, member: Member, out: tuple[Word, ...], limits: Limits) -> World | None:
    words = world.words | {*out}
    if len(words) > limits.words:
        return None
    members = tuple(member if at == number else each for at, each in enumerate(world.members))
    return world._replace(members=members, words=words)


def owner(word: Word) -> int:
    """By whose clock it was asked."""
    return word.to if word.kind in (Kind.PROMISE, Kind.GRANT) else word.by


def nexts(world: World, terms: Terms, limits: Limits) -> Iterator[tuple[str, World]]:
    yield "time goes on", tick(world, terms, -1)
    for number in range(terms.size):
        if len(world.lagged) < limits.lags and number not in world.lagged:
            after = tick(world, terms, number)._replace(lagged=world.lagged | {number})
            yield f"time goes on, the clock of {number} falls behind", after
    for word in world.words:
        rest = world._replace(words=world.words - {word})
        yield f"{told(word)} is lost", rest
        member, out = lease.hear(world.members[word.to], terms, word)
        for how, before in (("", rest), (", and may come again", world)):
            if after_it := changed(before, word.to, member, out, limits):
                yield f"{told(word)} is heard{how}", after_it
    for number in range(terms.size):
        yield from member_acts(world, number, terms, limits)


def tick(world: World, terms: Terms, late: int) -> World:
    members = tuple(
        each if number == late else lease.at(each, 1) for number, each in enumerate(world.members)
    )
    old = long_over(terms)
    words = (x._replace(asked=max(x.asked - members[owner(x)].clock, old)) for x in world.words)
    after = world._replace(
        members=tuple(from_now(each, terms, members) for each in members), words=frozenset(words)
    )
    own, ended = world.lately[: terms.size], world.lately[terms.size :]
    lately = (*((new, 0) for _, new in own), *((new, 0) for _, new in ended if new))
    return noted(after._replace(lately=lately), terms)


def member_acts(world: World, number: int, terms: Terms, limits: Limits) -> Iterator[tuple[str, World]]:
    member = world.members[number]
    if world.restarts < limits.restarts:
        fresh = lease.started(number, member.session + 1)
        found = changed(world, number, from_now(fresh, terms, world.members), (), limits)
        if found:
            yield f"{number} starts anew", forgotten(found, number)._replace(restarts=world.restarts + 1)
    steps = [("elects itself", lease.elect(member, terms)), ("abandons it", (lease.abandon(member), ()))]
    for keeper, other in enumerate(world.members):
        if lease.keeps(other):
            wants = (terms.whole, 1) if terms.after and terms.whole > 1 else (terms.whole,)
            steps += [(f"asks {keeper} for {want}", lease.ask(member, terms, keeper, want)) for want in wants]
            if member.held:
                after, out = lease.give_back(member, terms, keeper)
                at_once = not terms.after or max(world.lately[number]) <= terms.floor
                steps.append((f"gives back to {keeper}", (after, out if at_once else ())))
                if terms.after and not in_use(world, number, terms):
                    steps.append((f"settles with {keeper}", (member, lease.settle(member, terms, keeper))))
    for what, (after, out) in steps:
        if (after is not member or out) and (found := changed(world, number, after, out, limits)):
            yield f"{number} {what}", found


def told(word: Word) -> str:
    amount = f" of {word.amount}" if word.amount else ""
    return f"{word.kind.name.lower()}{amount} from {word.by} to {word.to}, asked at {word.asked},"


def explore(terms: Terms, limits: Limits | None = None) -> Found:
    """All worlds that can be come to from the first one."""
    limits, found = limits or Limits(), Found()
    begin = first(terms)
    ways: dict[World, tuple[World | None, str]] = {begin: (None, "all have been up for long")}
    ahead = deque([begin])
    while ahead:
        world = ahead.popleft()
        found.states += 1
        if found.states % SOME == 0:
            found.some.append(world)
        for what, raw in nexts(world, terms, limits):
            there = noted(raw, terms)
            if there in ways:
                continue
            ways[there] = world, what
            if sum_spent(there, terms) > terms.whole:
                found.trace = way(ways, there)
                return found
            ahead.append(there)
        if found.states >= limits.states:
            found.whole = not ahead
            return found
    return found


def way(ways: dict[World, tuple[World | None, str]], to: World) -> list[str]:
    steps = []
    at: World | None = to
    while at is not None:
        at, what = ways[at]
        steps.append(what)
    return steps[::-1]


def quiet(world: World, terms: Terms, wants: int) -> int:
    """What this member comes to hold once all faults are over: all words arrive, and nobody else wants
    any."""
    members = list(world.members)
    for _ in range(3 * (terms.term + terms.margin) + 2 * lease.longest(terms) + 4):
        members = [lease.at(each, each.clock + 1) for each in members]
        first_one = next((number for number, each in enumerate(members) if lease.keeps(each)), 0)
        members[first_one], out = lease.elect(members[first_one], terms)
        deliver(members, terms, list(out))
        keeper = next((number for number, each in enumerate(members) if lease.keeps(each)), None)
        if keeper is not None:
            members[wants], out = lease.ask(members[wants], terms, keeper, terms.whole)
            deliver(members, terms, list(out))
    return lease.spendable(members[wants], terms)


def deliver(members: list[Member], terms: Terms, words: list[Word]) -> None:
    while words:
        word = words.pop(0)
        members[word.to], out = lease.hear(members[word.to], terms, word)
        words += out
