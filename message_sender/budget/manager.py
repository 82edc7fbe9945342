"""All budgets of one member: the leases that it requests and grants, and what it may spend.

The lease protocol (lease.py) keeps the sum of all shares within the limit whatever happens here; this module
drives it and affects utilization only. It does no I/O: datagrams are queued in `LeaseManager.outbox`.

Rules:

- Each budget has its own grantor, chosen by rendezvous hashing among the live members, so that the load is
  spread. A grantor renews its term as long as it runs. When no grantor is known, the first member in the
  order of the hash becomes a candidate at once, and each further one an eighth of a lease later, because the
  first may have failed undetected. A candidate withdraws for one that precedes it in the order of the hash,
  and for a grantor that renews its term.
- A member requests a lease four times within a lease's duration, for its usage and its pending demand. The
  requested amount decays by an eighth, and at least one unit, each time, so that a short pause in demand does
  not give up the lease.
- A demand above the current lease is requested at once, and a request without an answer is repeated, but at
  most once in `MIN_REQUEST_INTERVAL_US`.
- While a change of configuration spreads, members may have different figures for a budget. The smallest limit
  and the largest floor that the grantor received within two leases apply, and so does the largest number of
  members ever reported; a candidate with a smaller number gets no promise. Datagrams with a different
  resource or timing (window, hold, lease, slack) are rejected.
- Each request carries an estimate of the part of the limit that can be spent while its endpoint recovers. The
  grantor divides the part that the median of the members with demand allows: a single member whose
  connections fail does not limit the others, and an endpoint that recovers does not get its full rate at
  once.
- A transient budget, one of many that come and go with destinations, is idle once no member has had demand
  for `IDLE_TIMEOUT_US`; then no member renews its term or requests a lease. It is closed when it is unused,
  and can be opened again at any time.
- The lease protocol identifies members by numbers that are local to this process. A new session starts with a
  new protocol state.
"""

import hashlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Protocol

from message_sender.budget import lease
from message_sender.budget.definition import Budget
from message_sender.budget.enforcer import LimitEnforcer
from message_sender.budget.granting import grant_lease
from message_sender.budget.lease import LeaseMessage, LeaseMessageKind, Member
from message_sender.budget.ledger import FULLY_WARM_PERMILLE, Ledger, ReportedTerms
from message_sender.fleet.wire import LeaseDatagram

MIN_REQUEST_INTERVAL_US = 100_000
REQUESTS_PER_LEASE = 4
CANDIDATE_DELAYS_PER_LEASE = 8
DEMAND_DECAY_DIVISOR = 8
OWN_NUMBER = 0  # this member's number in the lease protocol


class ShareListener(Protocol):
    """A callback for an increase of this member's share of a budget."""

    def __call__(self, budget: str, /) -> None:
        """Handles the increase; `budget`: the budget's name."""


@dataclass(frozen=True, slots=True)
class OutgoingDatagram:
    """A datagram that is queued for a member.

    Attributes:
        receiver: The member's name.
        datagram: The content.
    """

    receiver: str
    datagram: LeaseDatagram


def ignore_share_increase(budget: str) -> None:
    """The listener that ignores an increase."""


def fully_warm() -> int:
    """Returns the estimate, in thousandths, that the whole limit can be spent."""
    return FULLY_WARM_PERMILLE


class LeaseManager:
    """The budgets of one member.

    Attributes:
        name: The member's name.
        session: The number of its session, above those of all earlier sessions.
        clock: Returns microseconds of a clock that continues while the machine sleeps.
        ledgers: The ledgers of the open budgets, by name.
        outbox: The datagrams to be sent; the caller removes them.
        share_increased: Called with the budget's name when a share has grown.
        created_at_us: When the manager was created.
        session_started_us: When the session started.
    """

    def __init__(self, name: str, session: int, clock: Callable[[], int]) -> None:
        """Initializes the manager without budgets; see the class for the arguments."""
        self.name = name
        self.session = session
        self.clock = clock
        self.ledgers: dict[str, Ledger] = {}
        self.outbox: list[OutgoingDatagram] = []
        self.share_increased: ShareListener = ignore_share_increase
        self.created_at_us = clock()
        self.session_started_us = self.created_at_us

    def open(
        self,
        budget: Budget,
        pending_demand: Callable[[], int],
        warm_permille: Callable[[], int] = fully_warm,
        is_transient: bool = False,
    ) -> Ledger:
        """Opens a budget.

        Args:
            budget: The definition of the budget.
            pending_demand: Returns the number of units that are waited for, besides those in use.
            warm_permille: Returns an estimate of the part of the limit that can be spent, in thousandths.
            is_transient: Whether `close_idle` may close it.

        Returns:
            The budget's ledger.
        """
        ledger = Ledger(
            budget=budget,
            member=self.new_member(),
            enforcer=LimitEnforcer(budget.usage_window_us if budget.window_us else None),
            clock=self.clock,
            pending_demand=pending_demand,
            warm_permille=warm_permille,
            member_numbers={self.name: OWN_NUMBER},
            is_transient=is_transient,
            last_needed_us=self.clock(),
        )
        self.ledgers[budget.name] = ledger
        return ledger

    def new_member(self) -> Member:
        """Returns the state of a member that has promised and spent nothing in this session."""
        return lease.new_member(OWN_NUMBER, self.session, self.session_started_us)

    def update_budget(self, budget: Budget) -> None:
        """Adopts a new definition of an open budget."""
        self.ledgers[budget.name].update_budget(budget)

    def restart_session(self, session: int) -> None:
        """Begins a new session, because another member knows a later session of this member's name."""
        self.session = session
        self.session_started_us = self.clock()
        for ledger in self.ledgers.values():
            ledger.member = self.new_member()
            ledger.requesters = {}

    # Spending.

    def available_at(self, name: str) -> int:
        """Returns when one more unit is free, in microseconds of the clock.

        NEVER_US: not before the share grows or a held unit is released.
        """
        ledger = self.ledgers[name]
        return ledger.enforcer.available_at(self.clock(), ledger.share())

    def try_spend(self, names: Iterable[str], spent_by: str) -> bool:
        """Spends one unit of each budget; called immediately before the first byte of a call.

        Args:
            names: The names of the budgets.
            spent_by: The name under which the units are spent.

        Returns:
            Whether all budgets had a unit left; otherwise none is spent.
        """
        ledgers = [self.ledgers[name] for name in names]
        now_us = self.clock()
        if not all(each.enforcer.has_capacity(now_us, each.share()) for each in ledgers):
            return False
        for ledger in ledgers:
            ledger.enforcer.spend(spent_by, now_us)
        return True

    # Periodic work.

    def tick(self, live_members: Iterable[str]) -> None:
        """Renews terms and leases that are due; called several times a second.

        Args:
            live_members: The names of the other live members.
        """
        others = sorted(live_members)
        for ledger in self.ledgers.values():
            ledger.member = lease.advance_clock(ledger.member, self.clock())
            if not ledger.is_idle():
                self.request_votes(ledger, others)
                self.request_lease(ledger)
            self.release_superseded(ledger)
            ledger.record_status()

    def close_idle(self) -> list[str]:
        """Closes the transient budgets that are idle and unused, and returns their names."""
        closed = [name for name, ledger in self.ledgers.items() if ledger.is_idle() and ledger.is_unused()]
        for name in closed:
            del self.ledgers[name]
        return closed

    def request_votes(self, ledger: Ledger, others: list[str]) -> None:
        """Starts this member's candidacy, or renews its term as grantor, if that is due."""
        budget = ledger.budget
        now_us = self.clock()
        if ledger.member.promised_to != lease.NO_MEMBER:
            ledger.last_promised_us = now_us
            if not lease.is_own_grantor(ledger.member):
                return
        if now_us < ledger.last_vote_request_us + budget.lease_us // REQUESTS_PER_LEASE:
            return
        is_renewal = lease.is_grantor(ledger.member)
        if not is_renewal and now_us < ledger.last_promised_us + self.candidate_delay_us(budget, others):
            return
        ledger.member, requests = lease.request_votes(ledger.member, budget.terms)
        if requests:
            ledger.last_vote_request_us = now_us
            for name in others:
                self.send(ledger, name, requests[0]._replace(amount=int(is_renewal)))

    def candidate_delay_us(self, budget: Budget, others: list[str]) -> int:
        """Returns how long, in microseconds, this member waits for candidates that precede it by the hash."""
        own_rank = grantor_rank(budget.name, self.name)
        position = sum(grantor_rank(budget.name, name) < own_rank for name in others)
        return position * (budget.lease_us // CANDIDATE_DELAYS_PER_LEASE)

    def request_lease(self, ledger: Ledger) -> None:
        """Requests a lease if one is due or the demand has grown."""
        now_us = self.clock()
        grantor = ledger.grantor()
        demand = ledger.demand()
        if not grantor or not is_request_due(ledger, demand, now_us):
            return
        if now_us >= ledger.demand_lowered_us + ledger.budget.lease_us // REQUESTS_PER_LEASE:
            ledger.requested_amount -= max(ledger.requested_amount // DEMAND_DECAY_DIVISOR, 1)
            ledger.demand_lowered_us = now_us
        ledger.requested_amount = max(demand, ledger.requested_amount)
        ledger.last_request_us = now_us
        request = LeaseMessage(
            LeaseMessageKind.LEASE_REQUEST,
            OWN_NUMBER,
            ledger.member_numbers[grantor],
            self.session,
            now_us,
            ledger.requested_amount,
        )
        if grantor != self.name:
            self.send(ledger, grantor, request)
            return
        grant = grant_lease(ledger, self.name, request, ledger.warm_permille())
        if grant:
            self.apply_grant(ledger, grant)

    def release_superseded(self, ledger: Ledger) -> None:
        """Releases earlier, larger leases once the usage is within the current one."""
        grantor = ledger.grantor()
        if not ledger.has_superseded_leases or not grantor:
            return
        if ledger.enforcer.usage(self.clock()) > ledger.share():
            return
        number = ledger.member_numbers[grantor]
        for release in lease.release_superseded(ledger.member, ledger.budget.terms, number):
            ledger.has_superseded_leases = False
            if grantor == self.name:
                ledger.member = lease.handle_release(ledger.member, release)
            else:
                self.send(ledger, grantor, release)

    def release_all(self) -> None:
        """Releases the leases that are not in use, before the process ends; the others expire."""
        for ledger in self.ledgers.values():
            grantor = ledger.grantor()
            number = ledger.member_numbers.get(grantor, OWN_NUMBER)
            ledger.member, releases = lease.release_lease(ledger.member, ledger.budget.terms, number)
            if not releases or grantor in ("", self.name):
                continue
            if ledger.enforcer.usage(self.clock()) <= ledger.share():
                self.send(ledger, grantor, releases[0])

    def send(self, ledger: Ledger, receiver: str, message: LeaseMessage) -> None:
        """Queues a message with this member's figures of the budget."""
        is_request = message.kind is LeaseMessageKind.LEASE_REQUEST
        budget = ledger.budget
        datagram = LeaseDatagram(
            budget.name,
            message.kind,
            message.session,
            message.requested_at,
            message.amount,
            budget.limit,
            budget.floor,
            budget.max_members,
            budget.timing_checksum,
            ledger.warm_permille() if is_request else FULLY_WARM_PERMILLE,
        )
        self.outbox.append(OutgoingDatagram(receiver, datagram))

    # Received datagrams.

    def handle_datagram(self, sender: str, datagram: LeaseDatagram) -> None:
        """Handles a datagram of another member; one for an unknown budget is ignored."""
        ledger = self.ledgers.get(datagram.budget)
        if ledger is None or not check_terms(ledger, sender, datagram):
            return
        number = ledger.member_numbers.setdefault(sender, len(ledger.member_numbers))
        ledger.reported_terms[sender] = ReportedTerms(datagram.limit, datagram.floor, self.clock())
        ledger.member = lease.advance_clock(ledger.member, self.clock())
        kind = LeaseMessageKind(datagram.kind)
        message = LeaseMessage(
            kind, number, OWN_NUMBER, datagram.session, datagram.requested_at, datagram.amount
        )
        match kind:
            case LeaseMessageKind.LEASE_REQUEST:
                if grant := grant_lease(ledger, sender, message, datagram.warm_permille):
                    self.send(ledger, sender, grant)
            case LeaseMessageKind.GRANT:
                self.apply_grant(ledger, message)
            case LeaseMessageKind.RELEASE:
                ledger.member = lease.handle_release(ledger.member, message)
            case LeaseMessageKind.VOTE_REQUEST:
                self.handle_vote_request(ledger, sender, message)
            case LeaseMessageKind.PROMISE:
                ledger.member, _ = lease.handle_message(ledger.member, ledger.budget.terms, message)

    def handle_vote_request(self, ledger: Ledger, sender: str, request: LeaseMessage) -> None:
        """Withdraws this member's candidacy if the sender's has precedence, and answers the vote request."""
        budget = ledger.budget
        is_renewal = request.amount != 0
        if is_renewal or grantor_rank(budget.name, sender) < grantor_rank(budget.name, self.name):
            ledger.member = lease.abandon_election(ledger.member)
        ledger.member, promises = lease.handle_message(ledger.member, budget.terms, request)
        for promise in promises:
            self.send(ledger, sender, promise)

    def apply_grant(self, ledger: Ledger, grant: LeaseMessage) -> None:
        """Accepts a granted lease; an amount that is negative or above the limit is rejected."""
        terms = ledger.budget.terms
        previous_share = ledger.share()
        if grant.amount > terms.leasable_amount() or grant.amount < 0:
            is_excessive = grant.amount > 0
            ledger.record_rejection(
                "a grant of more than the whole" if is_excessive else "a grant below nothing"
            )
            return
        previously_leased = ledger.member.leased
        ledger.member = lease.handle_grant(ledger.member, terms, grant)
        if ledger.member.leased < previously_leased:
            ledger.has_superseded_leases = True
        if ledger.share() > previous_share:
            self.share_increased(ledger.budget.name)


def is_request_due(ledger: Ledger, demand: int, now_us: int) -> bool:
    """Whether the lease is due for renewal, the last request is unanswered, or the demand has grown."""
    elapsed_us = now_us - ledger.last_request_us
    is_answered = ledger.member.lease_requested_at >= ledger.last_request_us
    if is_answered and elapsed_us >= ledger.budget.lease_us // REQUESTS_PER_LEASE:
        return True
    is_unanswered_or_short = not is_answered or demand > max(ledger.member.leased, ledger.requested_amount)
    return is_unanswered_or_short and elapsed_us >= MIN_REQUEST_INTERVAL_US


def check_terms(ledger: Ledger, sender: str, datagram: LeaseDatagram) -> bool:
    """Compares a datagram's figures with this member's; False: the datagram is rejected."""
    if datagram.timing_checksum != ledger.budget.timing_checksum:
        ledger.record_rejection(f"other times under its name, by {sender}")
        return False
    if datagram.max_members > ledger.budget.max_members:
        ledger.budget = replace(ledger.budget, max_members=datagram.max_members)
        ledger.record_change(f"up to {datagram.max_members} members, says {sender}")
    is_vote_request = datagram.kind == LeaseMessageKind.VOTE_REQUEST
    if is_vote_request and datagram.max_members < ledger.budget.max_members:
        ledger.record_rejection(f"{sender} counts on {datagram.max_members} members alone")
        return False
    return True


def grantor_rank(budget: str, name: str) -> bytes:
    """Returns the member's rank for a budget; the member with the lowest rank becomes the grantor.

    This is rendezvous hashing: when a member fails, only the budgets that it granted get another grantor.
    """
    return hashlib.blake2b(f"{budget}\0{name}".encode(), digest_size=8).digest()
