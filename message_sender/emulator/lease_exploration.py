"""Exhaustive exploration of the lease protocol (budget/lease.py) for a few members and a few faults.

The model consists of the protocol's pure state machines. Messages are lost, duplicated, delayed and
reordered, members restart, and the clock of each member falls behind the others by one unit once. No member
is ever forced to act or to receive a message, so members that stall and resume are covered as well. The
search is breadth first: a violation is reported with a shortest trace.

Where usage counts for some time after it was spent (`Terms.usage_window`), the model counts what each member
may have spent within two ticks, also across a restart. A member releases a superseded lease only when it has
spent no more than its current share within these two ticks.

The limit may fall by one, once, at any moment, and all members learn of it at once. What was leased before
may be spent until its leases and windows expire by the slowest clock, and not after that.

States hold times relative to each member's own clock and nothing that has expired, so their number is finite
without a bound on time. Of the states that differ only in the numbers of their members, one is explored; the
path to a violation is then replayed with the original numbers.
"""

from collections import deque
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from itertools import permutations
from typing import NamedTuple

from message_sender.budget import lease
from message_sender.budget.lease import LeaseMessage, LeaseMessageKind, Member, Terms

SAMPLE_INTERVAL = 500  # states between two samples


class World(NamedTuple):
    """A state of all members and of the network. All times of a member are relative to its clock, which is 0.

    Attributes:
        members: The members, by number.
        messages: Messages in flight; a message that was received may be delivered a second time.
        lagged: Numbers of the members whose clock has fallen behind.
        restarts: Restarts so far.
        usage: The most that each member might spend before the last tick, and since; behind these pairs, the
            same of sessions that ended. Empty if the terms have no usage window.
        lowered: Ticks since the limit fell, up to the tick from which it has to hold; -1: it has not fallen.
    """

    members: tuple[Member, ...]
    messages: frozenset[LeaseMessage] = frozenset()
    lagged: frozenset[int] = frozenset()
    restarts: int = 0
    usage: tuple[tuple[int, int], ...] = ()
    lowered: int = -1


@dataclass(frozen=True)
class Limits:
    """Bounds of an exploration.

    Attributes:
        messages: Messages in flight at once.
        restarts: Restarts of members in all.
        lags: Members whose clock may fall behind.
        states: States to explore.
        limit_may_fall: Whether the limit may fall by one.
    """

    messages: int = 2
    restarts: int = 1
    lags: int = 2
    states: int = 1_000_000
    limit_may_fall: bool = False


@dataclass
class ExplorationResult:
    """What an exploration found.

    Attributes:
        states: Number of explored states.
        is_complete: Whether all reachable states were explored.
        trace: A shortest path to a violation; empty if there is none.
        samples: Every `SAMPLE_INTERVAL`-th explored state.
    """

    states: int = 0
    is_complete: bool = True
    trace: list[str] = field(default_factory=list)
    samples: list[World] = field(default_factory=list)


def initial_world(terms: Terms) -> World:
    """Returns the state in which all members have been up long enough to take part in everything."""
    members = tuple(
        lease.new_member(name, 0)._replace(started_at=-(terms.grantor_term + terms.margin))
        for name in range(terms.max_members)
    )
    return World(
        tuple(normalize_member(each, terms, members) for each in members),
        usage=((terms.floor, terms.floor),) * terms.max_members if terms.usage_window else (),
    )


def ticks_until_lowered(terms: Terms, limits: Limits) -> int:
    """Returns the ticks from a fall of the limit until the new limit has to hold.

    The sum covers leases that were granted before the fall, the usage window of what was spent from them, and
    one tick for each clock that may be behind.
    """
    return terms.lease_duration + terms.usage_window + limits.lags


def spendable_limit(world: World, terms: Terms, limits: Limits) -> int:
    """Returns the most that all members together may spend in a state."""
    return terms.limit - (world.lowered >= ticks_until_lowered(terms, limits))


def effective_terms(world: World, terms: Terms) -> Terms:
    """Returns the terms that the members apply: with the lower limit from its fall on."""
    return terms._replace(limit=terms.limit - 1) if world.lowered >= 0 else terms


Form = tuple[object, ...]


def renumbered(world: World, order: Sequence[int]) -> World:
    """Returns a state with other member numbers; `order` lists the old number of each new one."""
    new_numbers = {old: new for new, old in enumerate(order)} | {lease.NO_MEMBER: lease.NO_MEMBER}
    members = tuple(
        each._replace(
            number=new,
            promised_to=new_numbers[each.promised_to],
            votes=tuple(sorted(new_numbers[x] for x in each.votes)),
            grants=tuple(sorted(x._replace(holder=new_numbers[x.holder]) for x in each.grants)),
        )
        for new, each in enumerate(world.members[old] for old in order)
    )
    ended = tuple(sorted(world.usage[len(order) :]))
    return world._replace(
        members=members,
        messages=frozenset(
            x._replace(sender=new_numbers[x.sender], receiver=new_numbers[x.receiver]) for x in world.messages
        ),
        lagged=frozenset(new_numbers[x] for x in world.lagged),
        usage=(*(world.usage[old] for old in order), *ended) if world.usage else (),
    )


def unnumbered_form(world: World, number: int) -> Form:
    """Returns what distinguishes a member from others without regard to member numbers."""
    member = world.members[number]
    grants = sorted(x[1:] for x in member.grants)
    own = member._replace(number=0, promised_to=min(member.promised_to, 0), votes=(), grants=())
    usage = world.usage[number] if world.usage else ()
    return own, len(member.votes), grants, usage, number in world.lagged


def canonical(world: World) -> World:
    """Returns the representative of all states that differ from this one only in member numbers."""
    forms = [unnumbered_form(world, number) for number in range(len(world.members))]
    order = sorted(range(len(forms)), key=lambda number: repr(forms[number]))
    runs: list[list[int]] = []
    for number in order:
        if runs and forms[runs[-1][0]] == forms[number]:
            runs[-1].append(number)
        else:
            runs.append([number])
    if len(runs) == len(order):
        return renumbered(world, order)
    orders: list[list[int]] = [[]]
    for run in runs:
        orders = [[*one, *more] for one in orders for more in permutations(run)]
    return min(
        (renumbered(world, each) for each in orders), key=lambda each: (each.members, sorted(each.messages))
    )


def total_spendable(world: World, terms: Terms) -> int:
    """Returns what all members together may spend, or may have spent within the usage window."""
    if world.usage:
        return sum(map(max, world.usage))
    return sum(lease.spendable_amount(each, terms) for each in world.members)


def with_usage_recorded(world: World, terms: Terms) -> World:
    """Returns the state with what each member may spend now included in its usage since the last tick."""
    if not terms.usage_window:
        return world
    spendable = (lease.spendable_amount(each, terms) for each in world.members)
    own, ended = world.usage[: terms.max_members], world.usage[terms.max_members :]
    usage = ((old, max(new, each)) for (old, new), each in zip(own, spendable, strict=True))
    return world._replace(usage=(*usage, *ended))


def with_session_ended(world: World, number: int) -> World:
    """Returns the state after a member's session has ended; what that session spent still counts."""
    if not world.usage:
        return world
    usage = (*world.usage, world.usage[number])
    return world._replace(usage=tuple((0, 0) if at == number else x for at, x in enumerate(usage)))


def in_use(world: World, number: int, terms: Terms) -> bool:
    """Whether a member may have spent more than its current share within the two ticks."""
    return bool(terms.usage_window) and max(world.usage[number]) > lease.spendable_amount(
        world.members[number], terms
    )


def oldest_request_time(terms: Terms) -> int:
    """Returns the relative time to which older request times are raised.

    Requests that are older than any lease or promise have the same effect, whatever their age.
    """
    return -max(terms.lease_duration, terms.grantor_term) - 1


def normalize_member(member: Member, terms: Terms, all_members: tuple[Member, ...]) -> Member:
    """Returns a member with its clock at 0 and all of its times relative to that.

    Requests that are older than any lease or promise lasts become equal, and so do the start times of members
    whose start has no effect any more.
    """
    clock, oldest = member.clock, oldest_request_time(terms)
    grants = (
        x._replace(
            expires_at=x.expires_at - clock,
            requested_at=max(x.requested_at - all_members[x.holder].clock, oldest),
        )
        for x in member.grants
    )
    return member._replace(
        clock=0,
        started_at=max(member.started_at - clock, -(terms.grantor_term + terms.margin + terms.usage_window)),
        promised_until=max(member.promised_until - clock, 0),
        votes_requested_at=max(member.votes_requested_at - clock, oldest),
        votes=member.votes if member.votes_requested_at - clock > oldest else (),
        grantor_until=max(member.grantor_until - clock, 0),
        grants_from=max(member.grants_from - clock, 0) if clock < member.grantor_until else 0,
        leased_until=max(member.leased_until - clock, 0),
        lease_requested_at=max(member.lease_requested_at - clock, oldest),
        grants=tuple(sorted(grants)),
    )


def with_member(
    world: World, number: int, member: Member, sent: tuple[LeaseMessage, ...], limits: Limits
) -> World | None:
    """Returns the state with a changed member and its sent messages, or None if too many are in flight."""
    messages = world.messages | {*sent}
    if len(messages) > limits.messages:
        return None
    members = tuple(member if at == number else each for at, each in enumerate(world.members))
    return world._replace(members=members, messages=messages)


def requester(message: LeaseMessage) -> int:
    """Returns the member by whose clock a message's request time is given."""
    return (
        message.receiver
        if message.kind in (LeaseMessageKind.PROMISE, LeaseMessageKind.GRANT)
        else message.sender
    )


def successors(world: World, terms: Terms, limits: Limits) -> Iterator[tuple[str, World]]:
    """Yields each state that follows in one step, with a description of the step."""
    if limits.limit_may_fall and world.lowered < 0:
        yield "the limit falls by one", world._replace(lowered=0)
    lowered = min(world.lowered + 1, ticks_until_lowered(terms, limits)) if world.lowered >= 0 else -1
    yield "time advances", tick(world, terms, -1)._replace(lowered=lowered)
    for number in range(terms.max_members):
        if len(world.lagged) < limits.lags and number not in world.lagged:
            after = tick(world, terms, number)._replace(lagged=world.lagged | {number}, lowered=lowered)
            yield f"time advances, the clock of {number} falls behind", after
    for message in world.messages:
        rest = world._replace(messages=world.messages - {message})
        yield f"{describe(message)} is lost", rest
        member, sent = lease.handle_message(
            world.members[message.receiver], effective_terms(world, terms), message
        )
        for suffix, before in (("", rest), (" and may be delivered again", world)):
            if after_it := with_member(before, message.receiver, member, sent, limits):
                yield f"{describe(message)} is delivered{suffix}", after_it
    for number in range(terms.max_members):
        yield from member_steps(world, number, effective_terms(world, terms), limits)


def tick(world: World, terms: Terms, lagging: int) -> World:
    """Returns the state one unit of time later; the clock of member `lagging` stands still, -1: of none."""
    members = tuple(
        each if number == lagging else lease.advance_clock(each, 1)
        for number, each in enumerate(world.members)
    )
    oldest = oldest_request_time(terms)
    messages = (
        x._replace(requested_at=max(x.requested_at - members[requester(x)].clock, oldest))
        for x in world.messages
    )
    after = world._replace(
        members=tuple(normalize_member(each, terms, members) for each in members),
        messages=frozenset(messages),
    )
    own, ended = world.usage[: terms.max_members], world.usage[terms.max_members :]
    usage = (*((new, 0) for _, new in own), *((new, 0) for _, new in ended if new))
    return with_usage_recorded(after._replace(usage=usage), terms)


def member_steps(world: World, number: int, terms: Terms, limits: Limits) -> Iterator[tuple[str, World]]:
    """Yields each state that one member can bring about by itself, with a description of the step."""
    member = world.members[number]
    if world.restarts < limits.restarts:
        fresh = lease.new_member(number, member.session + 1)
        restarted = with_member(world, number, normalize_member(fresh, terms, world.members), (), limits)
        if restarted:
            yield (
                f"{number} restarts",
                with_session_ended(restarted, number)._replace(restarts=world.restarts + 1),
            )
    steps = [
        ("requests votes", lease.request_votes(member, terms)),
        ("abandons its election", (lease.abandon_election(member), ())),
    ]
    for grantor, other in enumerate(world.members):
        if lease.is_grantor(other):
            amounts = (terms.limit, 1) if terms.usage_window and terms.limit > 1 else (terms.limit,)
            steps += [
                (f"requests {amount} from {grantor}", lease.request_lease(member, terms, grantor, amount))
                for amount in amounts
            ]
            if member.leased:
                after, sent = lease.release_lease(member, terms, grantor)
                at_once = not terms.usage_window or max(world.usage[number]) <= terms.floor
                steps.append((f"releases its lease to {grantor}", (after, sent if at_once else ())))
                if terms.usage_window and not in_use(world, number, terms):
                    steps.append(
                        (
                            f"releases superseded leases to {grantor}",
                            (member, lease.release_superseded(member, terms, grantor)),
                        )
                    )
    for what, (after, sent) in steps:
        if (after is not member or sent) and (changed := with_member(world, number, after, sent, limits)):
            yield f"{number} {what}", changed


def describe(message: LeaseMessage) -> str:
    """Returns a message as text for a trace."""
    amount = f" of {message.amount}" if message.amount else ""
    route = f"from {message.sender} to {message.receiver}"
    return f"{message.kind.name.lower()}{amount} {route}, requested at {message.requested_at},"


def explore(terms: Terms, limits: Limits | None = None) -> ExplorationResult:
    """Explores all states that are reachable from the initial one, until a violation or a limit."""
    limits, result = limits or Limits(), ExplorationResult()
    initial = canonical(initial_world(terms))
    predecessors: dict[World, World | None] = {initial: None}
    queue = deque([initial])
    while queue:
        world = queue.popleft()
        result.states += 1
        if result.states % SAMPLE_INTERVAL == 0:
            result.samples.append(world)
        for _, raw in successors(world, terms, limits):
            there = canonical(with_usage_recorded(raw, terms))
            if there in predecessors:
                continue
            predecessors[there] = world
            if total_spendable(there, terms) > spendable_limit(there, terms, limits):
                result.trace = build_trace(predecessors, there, terms, limits)
                return result
            queue.append(there)
        if result.states >= limits.states:
            result.is_complete = not queue
            return result
    return result


def build_trace(
    predecessors: dict[World, World | None], to: World, terms: Terms, limits: Limits
) -> list[str]:
    """Returns the steps from the initial state to a state, with the member numbers of the initial state."""
    path = [to]
    while (before := predecessors[path[-1]]) is not None:
        path.append(before)
    at, steps = path.pop(), ["all members have been up for long"]
    for there in reversed(path):
        after = ((what, with_usage_recorded(raw, terms)) for what, raw in successors(at, terms, limits))
        what, at = next((what, world) for what, world in after if canonical(world) == there)
        steps.append(what)
    return steps


def amount_after_faults(world: World, terms: Terms, requesting: int) -> int:
    """Returns what one member can spend once faults are over.

    From then on no message is lost, and no other member requests a lease.
    """
    members = list(world.members)
    for _ in range(3 * (terms.grantor_term + terms.margin) + 2 * lease.max_usage_duration(terms) + 4):
        members = [lease.advance_clock(each, each.clock + 1) for each in members]
        candidate = next((number for number, each in enumerate(members) if lease.is_grantor(each)), 0)
        members[candidate], sent = lease.request_votes(members[candidate], terms)
        deliver(members, terms, list(sent))
        grantor = next((number for number, each in enumerate(members) if lease.is_grantor(each)), None)
        if grantor is not None:
            members[requesting], sent = lease.request_lease(members[requesting], terms, grantor, terms.limit)
            deliver(members, terms, list(sent))
    return lease.spendable_amount(members[requesting], terms)


def deliver(members: list[Member], terms: Terms, messages: list[LeaseMessage]) -> None:
    """Delivers messages in order, with all replies that follow, to the members in place."""
    while messages:
        message = messages.pop(0)
        members[message.receiver], sent = lease.handle_message(members[message.receiver], terms, message)
        messages += sent
