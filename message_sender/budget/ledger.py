"""The state of one budget at one member: its lease, its usage, and the reports of other members."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from message_sender.budget import lease
from message_sender.budget.definition import Budget
from message_sender.budget.enforcer import NEVER_US, LimitEnforcer
from message_sender.budget.lease import Member, Terms

IDLE_TIMEOUT_US = 60_000_000
FULLY_WARM_PERMILLE = 1000
CHANGES_KEPT = 32


@dataclass(slots=True)
class Requester:
    """The last lease request of a member, at the grantor.

    Attributes:
        demand: The amount that the member requested.
        requested_at_us: When the request was received, on the grantor's clock.
        share: The amount that was granted.
        warm_permille: The member's estimate of the part of the limit that can be spent, in thousandths.
    """

    demand: int
    requested_at_us: int
    share: int = 0
    warm_permille: int = FULLY_WARM_PERMILLE


@dataclass(frozen=True, slots=True)
class ReportedTerms:
    """The limit and the floor that another member has for the same budget."""

    limit: int
    floor: int
    reported_at_us: int


@dataclass(frozen=True, slots=True)
class Change:
    """A change of the budget at this member, as a text for operators."""

    at_us: int
    text: str


class LeaseStatus(NamedTuple):
    """The share and the grantor, whose changes are recorded for operators."""

    share: int
    grantor: str  # empty: unknown


INITIAL_STATUS = LeaseStatus(share=0, grantor="")


@dataclass
class Ledger:
    """One budget at one member. Times are microseconds of the member's clock.

    Attributes:
        budget: The definition of the budget.
        member: The state of the lease protocol.
        enforcer: The usage at this member.
        clock: Returns the time in microseconds.
        pending_demand: Returns the number of units that are waited for, besides the usage.
        warm_permille: Returns this member's estimate of the part of the limit that can be spent, in
            thousandths.
        member_numbers: The numbers of members in the lease protocol, by name.
        is_transient: Whether the budget may be closed once it is idle and unused.
        last_needed_us: When a member, as far as is known here, last had demand.
        last_request_us: When this member last requested a lease.
        demand_lowered_us: When `requested_amount` last decayed.
        last_vote_request_us: When this member last requested votes.
        last_promised_us: When this member last supported a candidate.
        requested_amount: The amount that this member requests, which follows a falling demand slowly.
        has_superseded_leases: Whether usage under an earlier, larger lease may still count.
        requesters: The last lease requests received here, by member name; old ones are dropped.
        reported_terms: The figures of other members, by name; old ones are dropped.
        changes: The last CHANGES_KEPT changes, for operators.
        rejections: The number of rejected datagrams, by reason.
        last_status: The status at the last recorded change.
    """

    budget: Budget
    member: Member
    enforcer: LimitEnforcer
    clock: Callable[[], int]
    pending_demand: Callable[[], int]
    warm_permille: Callable[[], int]
    member_numbers: dict[str, int]
    is_transient: bool = False
    last_needed_us: int = -NEVER_US
    last_request_us: int = -NEVER_US
    demand_lowered_us: int = -NEVER_US
    last_vote_request_us: int = -NEVER_US
    last_promised_us: int = -NEVER_US
    requested_amount: int = 0
    has_superseded_leases: bool = False
    requesters: dict[str, Requester] = field(default_factory=dict)
    reported_terms: dict[str, ReportedTerms] = field(default_factory=dict)
    changes: list[Change] = field(default_factory=list)
    rejections: dict[str, int] = field(default_factory=dict)
    last_status: LeaseStatus = INITIAL_STATUS

    def share(self) -> int:
        """Returns the number of units that this member may spend now: its lease and its floor."""
        member = self.member._replace(clock=self.clock())  # excludes a lease that has expired by now
        return min(lease.spendable_amount(member, self.budget.terms), max(self.budget.limit, 0))

    def grantor(self) -> str:
        """Returns the name of the member that this one supports as grantor; empty: none."""
        for name, number in self.member_numbers.items():
            if number == self.member.promised_to:
                return name
        return ""

    def demand(self) -> int:
        """Returns the amount of the lease that this member needs now."""
        total = self.enforcer.usage(self.clock()) + self.pending_demand() - self.budget.floor
        return max(min(total, self.budget.terms.leasable_amount()), 0)

    def is_idle(self) -> bool:
        """Whether the budget is transient and no member has had demand for `IDLE_TIMEOUT_US`."""
        if not self.is_transient:
            return False
        now_us = self.clock()
        since_us = now_us - 2 * self.budget.lease_us
        is_requested = any(
            each.demand > 0 and each.requested_at_us > since_us for each in self.requesters.values()
        )
        if is_requested or self.requested_amount > 0 or self.demand() > 0:
            self.last_needed_us = now_us
        return now_us >= self.last_needed_us + IDLE_TIMEOUT_US

    def is_unused(self) -> bool:
        """Whether nothing is leased, granted, promised, requested or spent."""
        member = lease.advance_clock(self.member, self.clock())
        now_us = self.clock()
        if member.promised_to != lease.NO_MEMBER or lease.is_grantor(member):
            return False
        if member.grants or member.leased or now_us < self.last_request_us + self.budget.lease_us:
            return False
        return not self.enforcer.usage(now_us)

    def update_budget(self, budget: Budget) -> None:
        """Adopts a new definition; the largest number of members that was ever reported is kept.

        The part of a lease that exceeds the new limit is no longer spendable.
        """
        budget = replace(budget, max_members=max(budget.max_members, self.budget.max_members))
        if budget == self.budget:
            return
        leasable = max(budget.terms.leasable_amount(), 0)
        self.member = self.member._replace(leased=min(self.member.leased, leasable))
        self.budget = budget
        self.record_change(f"the whole is {budget.limit} from now on")

    def effective_terms(self) -> Terms:
        """Returns a grantor's terms: the smallest limit and the largest floor reported within two leases."""
        since_us = self.clock() - 2 * self.budget.lease_us
        self.reported_terms = {
            name: each for name, each in self.reported_terms.items() if each.reported_at_us > since_us
        }
        limit = min([self.budget.limit, *(each.limit for each in self.reported_terms.values())])
        floor = max([self.budget.floor, *(each.floor for each in self.reported_terms.values())])
        return replace(self.budget, limit=limit, floor=floor).terms

    def record_status(self) -> None:
        """Records a change of the share or of the grantor."""
        previous = self.last_status
        status = LeaseStatus(self.share(), self.grantor())
        if status == previous:
            return
        self.last_status = status
        if status.grantor != previous.grantor:
            if status.grantor:
                self.record_change(f"kept by {status.grantor}")
            else:
                self.record_change(f"{previous.grantor} keeps it no more, as far as known")
        if status.share != previous.share:
            self.record_change(f"from {previous.share} to {status.share}, {self.requested_amount} needed")

    def record_change(self, text: str) -> None:
        """Records a change for operators; the texts are part of the output of `fleet budgets`."""
        self.changes = [*self.changes[1 - CHANGES_KEPT :], Change(self.clock(), text)]

    def record_rejection(self, reason: str) -> None:
        """Counts a rejected datagram; the reasons are part of the output of `fleet budgets`."""
        self.rejections[reason] = self.rejections.get(reason, 0) + 1
