"""One budget of one member: who keeps it, what is given out, what may be spent. Pure: each function takes a
member as it is and gives it back as it becomes, with the words to be sent. Times are whole units of the
member's own clock, which counts on from its start and is compared with nobody's.

The rules:

- **One keeper.** A member keeps the budget for `term` once more than half of `size` have promised it; it
  counts from its asking, they count from their answer and `margin` longer. Until then they promise nobody
  else. One that was not chosen waits until its own promise has run out, or abandons it for another one.
- **Nothing is remembered over a start, and nothing needs to be.** For `term` and `margin` after it a member
  promises nobody, so that a promise of the life before cannot be broken. What it held is gone with its
  session: a grant to the session before is not believed.
- **A keeper knows all that is out.** One that was not keeper without a break gives nothing for the longest
  lease and `margin`: by then all that anybody gave before it has run out. A grant is on its list before it is
  sent.
- **A lease counts from the asking** for who holds it, from the giving and `margin` longer for who gave it. Of
  what a holder was given it spends the one it asked for last, so that the largest of them is what counts.
- **Given back early** is what is named by its asking: the holder believes no grant that it asked for so early
  any more, and only then says so.
- **Spent counts on** for `after`: the span of a rate, or the longest that a thing is held. A keeper counts
  what ran out for so long; who starts spends nothing for so long, as the life before it may have spent.
- **Less than before** binds at once; the rest is said to be over (`settle`) by who has no more in use, and
  whose life before has none.
- **The floor** is everybody's without asking; what is given out is the whole less the floors of `size`.

`margin` covers the rate of two clocks: at 1% each, 2.1% of the longer of lease and term, and a unit.
"""

from enum import IntEnum
from typing import NamedTuple

LONG_AGO = -(10**15)
NO_MEMBER = -1


class Terms(NamedTuple):
    limit: int
    max_members: int  # the most members
    lease_duration: int
    grantor_term: int
    margin: int
    floor: int = 0
    usage_window: int = 0  # for how long what was spent counts

    def leasable_amount(self) -> int:
        return self.limit - self.max_members * self.floor


class LeaseMessageKind(IntEnum):
    VOTE_REQUEST = 0
    PROMISE = 1
    LEASE_REQUEST = 2
    GRANT = 3
    RELEASE = 4


class LeaseMessage(NamedTuple):
    """`session` and `asked` are of whoever elects or asks: by these an answer is known."""

    kind: LeaseMessageKind
    sender: int
    receiver: int
    session: int
    requested_at: int
    amount: int = 0


class Grant(NamedTuple):
    holder: int
    session: int
    requested_at: int  # the holder's clock
    amount: int
    expires_at: int  # the keeper's


class Member(NamedTuple):
    number: int
    session: int
    clock: int
    started_at: int  # when it started
    promised_to: int = NO_MEMBER  # to whom
    promised_until: int = LONG_AGO
    votes_requested_at: int = LONG_AGO  # when it asked to be kept
    votes: tuple[int, ...] = ()
    grantor_until: int = LONG_AGO
    grants_from: int = LONG_AGO
    grants: tuple[Grant, ...] = ()
    leased: int = 0
    leased_until: int = LONG_AGO
    lease_requested_at: int = LONG_AGO  # of these the latest; nothing asked for so early is believed any more


Transition = tuple[Member, tuple[LeaseMessage, ...]]


def new_member(name: int, session: int, clock: int = 0) -> Member:
    return Member(name, session, clock, clock)


def advance_clock(member: Member, clock: int) -> Member:
    """The same one as its clock goes on: what has run out is gone."""
    return member._replace(
        clock=clock,
        promised_to=member.promised_to if clock < member.promised_until else NO_MEMBER,
        grants=tuple(each for each in member.grants if clock < each.expires_at),
        leased=member.leased if clock < member.leased_until else 0,
    )


def spendable_amount(member: Member, terms: Terms) -> int:
    """What it may spend at this moment of its clock."""
    if not has_previous_usage_expired(member, terms):
        return 0
    return terms.floor + (member.leased if member.clock < member.leased_until else 0)


def has_previous_usage_expired(member: Member, terms: Terms) -> bool:
    """Whether nothing that the life before spent still counts."""
    return member.clock >= member.started_at + terms.usage_window


def has_previous_promise_expired(member: Member, terms: Terms) -> bool:
    """Whether no promise of a life before can still stand."""
    return member.clock >= member.started_at + terms.grantor_term + terms.margin


def is_grantor(member: Member) -> bool:
    return member.clock < member.grantor_until


# Who keeps it.


def request_votes(member: Member, terms: Terms) -> Transition:
    """Asks to be keeper, or to stay it. One that was not chosen lets its own promise run out first: two that
    went on asking would stand in each other's way for ever. Whom to ask for is the caller's: the first of
    those that are there, by an order that all know."""
    if not has_previous_promise_expired(member, terms) or (
        member.promised_to != NO_MEMBER and not is_own_grantor(member)
    ):
        return member, ()
    member = record_promise(member, terms, member.number)._replace(votes_requested_at=member.clock, votes=())
    others = (each for each in range(terms.max_members) if each != member.number)
    words = tuple(
        LeaseMessage(LeaseMessageKind.VOTE_REQUEST, member.number, each, member.session, member.clock)
        for each in others
    )
    return count_vote(member, terms, member.number), words


def is_own_grantor(member: Member) -> bool:
    return member.promised_to == member.number and is_grantor(member)


def abandon_election(member: Member) -> Member:
    """Asks no more, if it was not chosen: its own promise is nobody else's concern, and answers that come
    late are to a question that it has forgotten."""
    if member.promised_to != member.number or is_grantor(member):
        return member
    return member._replace(
        promised_to=NO_MEMBER, promised_until=member.clock, votes_requested_at=LONG_AGO, votes=()
    )


def record_promise(member: Member, terms: Terms, to: int) -> Member:
    until = member.clock + terms.grantor_term + terms.margin
    return member._replace(promised_to=to, promised_until=max(until, member.promised_until))


def handle_vote_request(member: Member, terms: Terms, word: LeaseMessage) -> Transition:
    if not has_previous_promise_expired(member, terms) or member.promised_to not in (NO_MEMBER, word.sender):
        return member, ()
    answer = LeaseMessage(
        LeaseMessageKind.PROMISE, member.number, word.sender, word.session, word.requested_at
    )
    return record_promise(member, terms, word.sender), (answer,)


def count_vote(member: Member, terms: Terms, by: int) -> Member:
    member = member._replace(votes=tuple(sorted({*member.votes, by})))
    until = member.votes_requested_at + terms.grantor_term
    if 2 * len(member.votes) <= terms.max_members or member.clock >= until:
        return member
    if not is_grantor(member):
        member = member._replace(grants=(), grants_from=member.clock + max_usage_duration(terms))
    return member._replace(grantor_until=max(until, member.grantor_until))


def max_usage_duration(terms: Terms) -> int:
    """For how long what another keeper gave may still be spent, or count as spent."""
    return terms.lease_duration + terms.margin + terms.usage_window


# What is given.


def request_lease(member: Member, terms: Terms, keeper: int, need: int) -> Transition:
    """Asks for so much in all, in place of what it has."""
    word = LeaseMessage(
        LeaseMessageKind.LEASE_REQUEST, member.number, keeper, member.session, member.clock, need
    )
    if keeper != member.number:
        return member, (word,)
    member, answers = handle_lease_request(member, terms, word)
    for each in answers:
        member = handle_grant(member, terms, each)
    return member, ()


def granted_to_others(member: Member, but: int) -> int:
    """The most that all others may spend by its list."""
    others = {each.holder for each in member.grants} - {but}
    return sum(max(each.amount for each in member.grants if each.holder == name) for name in others)


def handle_lease_request(member: Member, terms: Terms, word: LeaseMessage) -> Transition:
    if not is_grantor(member) or member.clock < member.grants_from:
        return member, ()
    amount = min(word.amount, terms.leasable_amount() - granted_to_others(member, word.sender))
    if amount <= 0:
        return member, ()
    return record_grant(member, terms, word, amount), (
        LeaseMessage(
            LeaseMessageKind.GRANT, member.number, word.sender, word.session, word.requested_at, amount
        ),
    )


def record_grant(member: Member, terms: Terms, word: LeaseMessage, amount: int) -> Member:
    fresh = Grant(
        word.sender, word.session, word.requested_at, amount, member.clock + max_usage_duration(terms)
    )
    return member._replace(grants=tuple(sorted({*member.grants, fresh})))


def is_for_current_session(member: Member, word: LeaseMessage) -> bool:
    """Whether it answers what this session asked."""
    return word.session == member.session


def handle_grant(member: Member, terms: Terms, word: LeaseMessage) -> Member:
    """Refuses one over the whole, an old one, and one whose time is up."""
    until = word.requested_at + terms.lease_duration
    if (
        not is_for_current_session(member, word)
        or word.requested_at <= member.lease_requested_at
        or word.amount > terms.leasable_amount()
    ):
        return member
    if member.clock >= until:
        return member
    return member._replace(leased=word.amount, leased_until=until, lease_requested_at=word.requested_at)


def release_lease(member: Member, terms: Terms, keeper: int) -> Transition:
    """Spends none of it from now on, nor of anything it has asked for so far."""
    member = member._replace(leased=0, leased_until=LONG_AGO, lease_requested_at=member.clock)
    word = LeaseMessage(LeaseMessageKind.RELEASE, member.number, keeper, member.session, member.clock)
    return member, (word,) if has_previous_usage_expired(member, terms) else ()


def release_superseded(member: Member, terms: Terms, keeper: int) -> tuple[LeaseMessage, ...]:
    """Of all that it asked for before what it holds nothing is in use, which is the caller's to know."""
    word = LeaseMessage(
        LeaseMessageKind.RELEASE, member.number, keeper, member.session, member.lease_requested_at - 1
    )
    return (word,) if has_previous_usage_expired(member, terms) else ()


def handle_release(member: Member, word: LeaseMessage) -> Member:
    """What was asked for by then is over, of this session and, as it is gone, of those before."""
    kept = (
        each
        for each in member.grants
        if each.holder != word.sender or (each.session, each.requested_at) > (word.session, word.requested_at)
    )
    return member._replace(grants=tuple(kept))


def handle_message(member: Member, terms: Terms, word: LeaseMessage) -> Transition:
    """Whatever comes, late, twice or in another order."""
    match word.kind:
        case LeaseMessageKind.VOTE_REQUEST:
            return handle_vote_request(member, terms, word)
        case LeaseMessageKind.PROMISE:
            if is_for_current_session(member, word) and word.requested_at == member.votes_requested_at:
                return count_vote(member, terms, word.sender), ()
        case LeaseMessageKind.LEASE_REQUEST:
            return handle_lease_request(member, terms, word)
        case LeaseMessageKind.GRANT:
            return handle_grant(member, terms, word), ()
        case LeaseMessageKind.RELEASE:
            return handle_release(member, word), ()
    return member, ()
