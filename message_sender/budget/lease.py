"""The lease protocol of one budget at one member: a pure state machine.

Each function takes the state of a member and returns its next state, with the messages to be sent. Times are
integers in any unit, of the member's own clock, which is never set back and is compared with no other clock.

Rules:

- **One grantor.** A member is the grantor for `grantor_term` once more than half of `max_members` have
  promised to support it. It measures the term from its vote request; a voter measures it from its promise,
  for `margin` longer, and makes no promise to another member until then. A candidate that is not elected
  waits until its promise to itself has expired, or abandons its election in favour of another candidate.
- **No state survives a restart.** For `grantor_term` and `margin` after its start a member makes no promise,
  so that it cannot break a promise of its previous session. Its leases end with its session: a grant to an
  earlier session is ignored.
- **A grantor knows all valid grants.** A new grantor makes no grants for the lease duration, `margin` and
  `usage_window`: by then all grants of its predecessors have expired. It records a grant before it sends it.
- **The lease duration** is measured from the request by the holder, and from the grant, for `margin` longer,
  by the grantor. Of several grants, the holder uses the one that it requested last; the grantor counts the
  largest.
- **An early release** states a request time. The holder first ignores all grants that it requested up to that
  time, and then sends the release.
- **Usage counts for `usage_window`**: the window of a rate, or the longest hold. For this long, the grantor
  counts an expired lease, and a member that starts spends nothing, because its previous session may have
  spent.
- **A smaller lease** applies at once. The larger leases before it are released (`release_superseded`) once
  the usage is within the smaller one and the usage of the previous session has expired.
- **The floor** is available to each member without a lease. Leases share the limit less `max_members` floors.

`margin` covers the drift between two clocks: with an error of 1% each, 2.1% of the lease, which is as long as
the term, and of the usage window, plus one unit (definition.py).
"""

from enum import IntEnum
from typing import NamedTuple

LONG_AGO = -(10**15)
NO_MEMBER = -1


class Terms(NamedTuple):
    """The figures of a budget; durations are in units of the members' clocks.

    Attributes:
        limit: The most units that all members may spend together.
        max_members: The largest number of members.
        lease_duration: How long a lease is valid.
        grantor_term: How long a grantor remains grantor without a renewal.
        margin: The allowance for the drift between two clocks.
        floor: The units that each member may spend without a lease.
        usage_window: How long usage counts.
    """

    limit: int
    max_members: int
    lease_duration: int
    grantor_term: int
    margin: int
    floor: int = 0
    usage_window: int = 0

    def leasable_amount(self) -> int:
        """Returns the limit less the floors of all members."""
        return self.limit - self.max_members * self.floor


class LeaseMessageKind(IntEnum):
    """Kinds of messages; the values are part of the wire format."""

    VOTE_REQUEST = 0
    PROMISE = 1
    LEASE_REQUEST = 2
    GRANT = 3
    RELEASE = 4


class LeaseMessage(NamedTuple):
    """A message between two members.

    Attributes:
        kind: The kind of the message.
        sender: The number of the member that sends it.
        receiver: The number of the member that receives it.
        session: The session of the member that requested votes or a lease; a reply repeats it.
        requested_at: The time of that request, on the requester's clock; a reply repeats it.
        amount: The units that are requested or granted.
    """

    kind: LeaseMessageKind
    sender: int
    receiver: int
    session: int
    requested_at: int
    amount: int = 0


class Grant(NamedTuple):
    """A lease that the grantor has recorded.

    Attributes:
        holder: The number of the lease holder.
        session: The holder's session when it requested the lease.
        requested_at: When the holder requested the lease, on the holder's clock.
        amount: The units that are leased.
        expires_at: When usage under the lease no longer counts, on the grantor's clock.
    """

    holder: int
    session: int
    requested_at: int
    amount: int
    expires_at: int


class Member(NamedTuple):
    """The state of one member. All times are on its own clock.

    Attributes:
        number: The member's number.
        session: The number of its session, above those of its earlier sessions.
        clock: The current time.
        started_at: When the session started.
        promised_to: The candidate that it supports, or NO_MEMBER.
        promised_until: When its promise ends.
        votes_requested_at: When it last requested votes.
        votes: The members that support it.
        grantor_until: When its term as grantor ends.
        grants_from: The time from which it may grant leases.
        grants: The leases that it has recorded as grantor.
        leased: The amount of the lease that it holds.
        leased_until: When its lease ends.
        lease_requested_at: When it requested its lease; grants that it requested up to then are ignored.
    """

    number: int
    session: int
    clock: int
    started_at: int
    promised_to: int = NO_MEMBER
    promised_until: int = LONG_AGO
    votes_requested_at: int = LONG_AGO
    votes: tuple[int, ...] = ()
    grantor_until: int = LONG_AGO
    grants_from: int = LONG_AGO
    grants: tuple[Grant, ...] = ()
    leased: int = 0
    leased_until: int = LONG_AGO
    lease_requested_at: int = LONG_AGO


Transition = tuple[Member, tuple[LeaseMessage, ...]]


def new_member(number: int, session: int, clock: int = 0) -> Member:
    """Returns a member whose session starts now."""
    return Member(number, session, clock, clock)


def advance_clock(member: Member, clock: int) -> Member:
    """Sets the member's clock, and drops its promise, its lease and recorded grants if they have expired."""
    return member._replace(
        clock=clock,
        promised_to=member.promised_to if clock < member.promised_until else NO_MEMBER,
        grants=tuple(each for each in member.grants if clock < each.expires_at),
        leased=member.leased if clock < member.leased_until else 0,
    )


def spendable_amount(member: Member, terms: Terms) -> int:
    """Returns the units that the member may spend at the current time of its clock."""
    if not has_previous_usage_expired(member, terms):
        return 0
    leased = member.leased if member.clock < member.leased_until else 0
    return terms.floor + leased


def has_previous_usage_expired(member: Member, terms: Terms) -> bool:
    """Whether the usage of the previous session no longer counts."""
    return member.clock >= member.started_at + terms.usage_window


def has_previous_promise_expired(member: Member, terms: Terms) -> bool:
    """Whether all promises of the previous session have expired."""
    return member.clock >= member.started_at + terms.grantor_term + terms.margin


def is_grantor(member: Member) -> bool:
    """Whether the member is in its term as grantor."""
    return member.clock < member.grantor_until


# Election of the grantor.


def request_votes(member: Member, terms: Terms) -> Transition:
    """Starts an election, or renews the member's term as grantor.

    A candidate that was not elected waits until its promise to itself has expired, since two candidates that
    renewed such promises would block each other indefinitely. The caller chooses the candidate: the first of
    the live members in an order that all of them know.
    """
    if not has_previous_promise_expired(member, terms):
        return member, ()
    if member.promised_to != NO_MEMBER and not is_own_grantor(member):
        return member, ()
    member = record_promise(member, terms, member.number)
    member = member._replace(votes_requested_at=member.clock, votes=())
    requests = tuple(
        LeaseMessage(LeaseMessageKind.VOTE_REQUEST, member.number, other, member.session, member.clock)
        for other in range(terms.max_members)
        if other != member.number
    )
    return count_vote(member, terms, member.number), requests


def is_own_grantor(member: Member) -> bool:
    """Whether the member is the grantor and supports itself."""
    return member.promised_to == member.number and is_grantor(member)


def abandon_election(member: Member) -> Member:
    """Withdraws the candidacy of a member that was not elected; late votes for it are ignored."""
    if member.promised_to != member.number or is_grantor(member):
        return member
    return member._replace(
        promised_to=NO_MEMBER, promised_until=member.clock, votes_requested_at=LONG_AGO, votes=()
    )


def record_promise(member: Member, terms: Terms, candidate: int) -> Member:
    """Records that the member supports the candidate for a term and the margin."""
    until = member.clock + terms.grantor_term + terms.margin
    return member._replace(promised_to=candidate, promised_until=max(until, member.promised_until))


def handle_vote_request(member: Member, terms: Terms, request: LeaseMessage) -> Transition:
    """Promises to support the sender, unless an earlier promise to another member may be valid."""
    if not has_previous_promise_expired(member, terms):
        return member, ()
    if member.promised_to not in (NO_MEMBER, request.sender):
        return member, ()
    promise = LeaseMessage(
        LeaseMessageKind.PROMISE, member.number, request.sender, request.session, request.requested_at
    )
    return record_promise(member, terms, request.sender), (promise,)


def count_vote(member: Member, terms: Terms, voter: int) -> Member:
    """Counts a vote for the member, which becomes the grantor with a majority of `max_members`."""
    member = member._replace(votes=tuple(sorted({*member.votes, voter})))
    until = member.votes_requested_at + terms.grantor_term
    if 2 * len(member.votes) <= terms.max_members or member.clock >= until:
        return member
    if not is_grantor(member):
        member = member._replace(grants=(), grants_from=member.clock + max_usage_duration(terms))
    return member._replace(grantor_until=max(until, member.grantor_until))


def max_usage_duration(terms: Terms) -> int:
    """Returns how long after a grant it may be spent or its usage may count, by any member's clock."""
    return terms.lease_duration + terms.margin + terms.usage_window


# Leases.


def request_lease(member: Member, terms: Terms, grantor: int, amount: int) -> Transition:
    """Requests a lease of `amount` to replace the one that the member holds."""
    request = LeaseMessage(
        LeaseMessageKind.LEASE_REQUEST, member.number, grantor, member.session, member.clock, amount
    )
    if grantor != member.number:
        return member, (request,)
    member, grants = handle_lease_request(member, terms, request)
    for grant in grants:
        member = handle_grant(member, terms, grant)
    return member, ()


def granted_to_others(member: Member, requester: int) -> int:
    """Returns the most units that all members but the requester may spend under the recorded grants."""
    holders = {each.holder for each in member.grants} - {requester}
    return sum(max(each.amount for each in member.grants if each.holder == holder) for holder in holders)


def handle_lease_request(member: Member, terms: Terms, request: LeaseMessage) -> Transition:
    """Grants the requested amount, limited to what the leases of the other members leave."""
    if not is_grantor(member) or member.clock < member.grants_from:
        return member, ()
    amount = min(request.amount, terms.leasable_amount() - granted_to_others(member, request.sender))
    if amount <= 0:
        return member, ()
    grant = LeaseMessage(
        LeaseMessageKind.GRANT, member.number, request.sender, request.session, request.requested_at, amount
    )
    return record_grant(member, terms, request, amount), (grant,)


def record_grant(member: Member, terms: Terms, request: LeaseMessage, amount: int) -> Member:
    """Adds a grant to the grantor's record."""
    expires_at = member.clock + max_usage_duration(terms)
    grant = Grant(request.sender, request.session, request.requested_at, amount, expires_at)
    return member._replace(grants=tuple(sorted({*member.grants, grant})))


def is_for_current_session(member: Member, reply: LeaseMessage) -> bool:
    """Whether the message replies to a request of the member's current session."""
    return reply.session == member.session


def handle_grant(member: Member, terms: Terms, grant: LeaseMessage) -> Member:
    """Accepts a lease; ignores one above the limit, a superseded one and an expired one."""
    until = grant.requested_at + terms.lease_duration
    if not is_for_current_session(member, grant) or grant.requested_at <= member.lease_requested_at:
        return member
    if grant.amount > terms.leasable_amount() or member.clock >= until:
        return member
    return member._replace(leased=grant.amount, leased_until=until, lease_requested_at=grant.requested_at)


def release_lease(member: Member, terms: Terms, grantor: int) -> Transition:
    """Releases the lease and all grants that the member has requested so far."""
    member = member._replace(leased=0, leased_until=LONG_AGO, lease_requested_at=member.clock)
    release = LeaseMessage(LeaseMessageKind.RELEASE, member.number, grantor, member.session, member.clock)
    return member, (release,) if has_previous_usage_expired(member, terms) else ()


def release_superseded(member: Member, terms: Terms, grantor: int) -> tuple[LeaseMessage, ...]:
    """Releases all leases that were requested before the current one.

    The caller ensures that the usage is within the current lease.
    """
    release = LeaseMessage(
        LeaseMessageKind.RELEASE, member.number, grantor, member.session, member.lease_requested_at - 1
    )
    return (release,) if has_previous_usage_expired(member, terms) else ()


def handle_release(member: Member, release: LeaseMessage) -> Member:
    """Removes the sender's grants that were requested up to the release, or in an earlier session."""
    remaining = (
        each
        for each in member.grants
        if each.holder != release.sender
        or (each.session, each.requested_at) > (release.session, release.requested_at)
    )
    return member._replace(grants=tuple(remaining))


def handle_message(member: Member, terms: Terms, message: LeaseMessage) -> Transition:
    """Handles any message, which may be late, repeated or out of order."""
    match message.kind:
        case LeaseMessageKind.VOTE_REQUEST:
            return handle_vote_request(member, terms, message)
        case LeaseMessageKind.PROMISE:
            is_current = message.requested_at == member.votes_requested_at
            if is_for_current_session(member, message) and is_current:
                return count_vote(member, terms, message.sender), ()
        case LeaseMessageKind.LEASE_REQUEST:
            return handle_lease_request(member, terms, message)
        case LeaseMessageKind.GRANT:
            return handle_grant(member, terms, message), ()
        case LeaseMessageKind.RELEASE:
            return handle_release(member, message), ()
    return member, ()
