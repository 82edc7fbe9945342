"""All budgets of one member: whom it asks, what it says, what it may spend. Pure: the machine that keeps the
sum within the whole is budget/lease.py; this drives it, and decides about use alone.

The rules:

- Each budget has a keeper of its own, chosen by a hash of its name among those that are there, so that the
  work is spread. One that keeps it goes on as long as it is there. The first of them asks to be chosen as
  soon as nobody is promised, each next one an eighth of a lease later: the first may be gone unnoticed. Of
  several that ask, those behind abandon it, and all do for one that keeps it.
- A member asks four times a lease for what it needs: what is in use, and what is held for it. A need falls by
  an eighth each time only, so that a pause of a moment moves nothing.
- A need that has grown past what is held is asked for at once, but not more often than each `MIN_REQUEST_INTERVAL_US`; so is
  what was not answered.
- Members may have different figures under one name while a change goes round: the smallest whole and the
  largest floor that a keeper heard of within two of its leases bind, by whatever word. The largest size that
  was ever heard of binds, and whoever counts on a smaller one is promised nothing. With another form (what
  is spent, span, lease) nothing is believed.
- Each asks with how warm it believes what is spent from to be, by its own eyes. A keeper divides the share of
  the whole that the middle one of those in need believes in: one of few that has lost its way there binds
  nobody, and what comes back cold is not given all at once.
- A passing budget, one of many that come and go with destinations, is let rest once nobody has needed any of
  it for `IDLE`: its keeper renews nothing, nobody asks. What has nothing out any more can be forgotten, and
  opened anew as if it had never been there.
- Names are known to the machine as numbers of this member's own; a start, or another epoch, begins anew.
"""

import hashlib
import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from functools import cached_property

from message_sender.budget import division, lease
from message_sender.budget.enforcer import NEVER_US, LimitEnforcer
from message_sender.budget.lease import LeaseMessage, LeaseMessageKind, Member, Terms
from message_sender.fleet.wire import LeaseDatagram

FAST_CLOCK_FACTOR = 1.0102  # by a clock that is 1% fast, how long a true time takes, with something over
MAX_CLOCK_DRIFT = 0.021  # what two clocks may differ by, 1% each
MIN_REQUEST_INTERVAL_US = 100_000  # us
IDLE_TIMEOUT_US = 60_000_000  # us
FULLY_WARM_PERMILLE = 1000  # thousandths of the whole
OWN_NUMBER = 0  # this member, to the machine


@dataclass(frozen=True)
class Budget:
    """One whole, as this member's configuration has it. Times in us."""

    name: str
    resource: str  # calls or in_flight
    limit: int
    max_members: int
    window_us: int | None  # of a rate; None: things that are held
    max_hold_us: int = 30_000_000  # the longest that a thing is held
    floor: int = 0
    lease_us: int = 2_000_000
    slack_us: int = 10_000  # by which the way of two calls may differ

    @cached_property
    def timing_checksum(self) -> int:
        """Tells two whose times cannot be reckoned together."""
        told = f"{self.resource} {self.window_us} {self.max_hold_us} {self.lease_us} {self.slack_us}"
        return zlib.crc32(told.encode())

    @cached_property
    def usage_window_us(self) -> int:
        """us for which a spender counts what it spent; `slack` goes with a rate's alone."""
        return (
            int(
                FAST_CLOCK_FACTOR
                * ((self.window_us or self.max_hold_us) + (self.slack_us if self.window_us else 0))
            )
            + 1
        )

    @cached_property
    def terms(self) -> Terms:
        after = self.usage_window_us
        margin = int(MAX_CLOCK_DRIFT * (self.lease_us + after)) + 1
        return Terms(self.limit, self.max_members, self.lease_us, self.lease_us, margin, self.floor, after)


@dataclass(slots=True)
class Requester:
    """What a keeper heard last of a member's need."""

    demand: int
    requested_at_us: int
    share: int = 0
    warm_permille: int = FULLY_WARM_PERMILLE


@dataclass(frozen=True, slots=True)
class ReportedTerms:
    """What another member has under the same name."""

    limit: int
    floor: int
    reported_at_us: int


@dataclass
class Change:
    at_us: int
    text: str


@dataclass
class Ledger:
    """One budget."""

    budget: Budget
    member: Member
    enforcer: LimitEnforcer
    pending_demand: Callable[[], int]  # what is held for it, besides what is in use
    warm_permille: Callable[[], int]  # thousandths of the whole that may be spent, by its own eyes
    member_numbers: dict[str, int]  # of names, to the machine
    is_transient: bool = False
    last_needed_us: int = -NEVER_US  # when somebody needed some of it last, as far as is known here
    last_request_us: int = -NEVER_US
    demand_lowered_us: int = -NEVER_US  # when the need last fell
    last_vote_request_us: int = -NEVER_US
    last_promised_us: int = -NEVER_US  # when somebody was promised last
    requested_amount: int = 0  # the need that falls slowly
    has_superseded_leases: bool = False  # what it had above its part may still be in use
    requesters: dict[str, Requester] = field(default_factory=dict)
    reported_terms: dict[str, ReportedTerms] = field(default_factory=dict)
    changes: list[Change] = field(default_factory=list)
    rejections: dict[str, int] = field(default_factory=dict)
    last_noted: tuple[int, str] = (0, "")  # part and keeper, as last noted


class LeaseManager:
    def __init__(self, name: str, session: int, clock: Callable[[], int]) -> None:
        """`clock`: us, one that goes on while the machine sleeps; `session`: above that of each start
        before of this name."""
        self.name, self.session, self.clock = name, session, clock
        self.ledgers: dict[str, Ledger] = {}
        self.outbox: list[tuple[str, LeaseDatagram]] = []  # to whom
        self.share_increased: Callable[[str], None] = lambda budget: None
        self.created_at_us = self.session_started_us = clock()

    def open(
        self,
        budget: Budget,
        need: Callable[[], int],
        warm: Callable[[], int] = lambda: FULLY_WARM_PERMILLE,
        passing: bool = False,
    ) -> Ledger:
        spender = LimitEnforcer(budget.usage_window_us if budget.window_us else None)
        numbers, now = {self.name: OWN_NUMBER}, self.clock()
        book = Ledger(budget, self.new_member(), spender, need, warm, numbers, passing, now)
        self.ledgers[budget.name] = book
        return book

    def new_member(self) -> Member:
        """Before a book was opened nothing was promised or spent of it in this life."""
        return lease.new_member(OWN_NUMBER, self.session, self.session_started_us)

    def update_budget(self, budget: Budget) -> None:
        """Other figures under the same name: what is held above them is held no more. The largest size that
        was ever heard of goes on to bind."""
        book = self.ledgers[budget.name]
        budget = replace(budget, max_members=max(budget.max_members, book.budget.max_members))
        if budget == book.budget:
            return
        most = budget.terms.leasable_amount()
        book.member = book.member._replace(leased=min(book.member.leased, max(most, 0)))
        book.budget = budget
        self.note_change(book, f"the whole is {budget.limit} from now on")

    def restart_session(self, session: int) -> None:
        """Others know a later start of this name."""
        self.session, self.session_started_us = session, self.clock()
        for book in self.ledgers.values():
            book.member, book.requesters = self.new_member(), {}

    # What may be spent.

    def share_of(self, book: Ledger) -> int:
        member = book.member._replace(clock=self.clock())  # what has run out is not spendable by its own time
        return min(lease.spendable_amount(member, book.budget.terms), max(book.budget.limit, 0))

    def free_at(self, name: str) -> int:
        """us of the clock at which one more may be spent; NEVER: not before a part grows or a thing ends."""
        book = self.ledgers[name]
        return book.enforcer.free_at(self.clock(), self.share_of(book))

    def try_spend(self, names: Iterable[str], spent_by: str) -> bool:
        """Asked as the first byte goes; each of these budgets must have room."""
        books, now = [self.ledgers[name] for name in names], self.clock()
        if not all(book.enforcer.has_capacity(now, self.share_of(book)) for book in books):
            return False
        for book in books:
            book.enforcer.spend(spent_by, now)
        return True

    # What is said.

    def tick(self, there: Iterable[str]) -> None:
        """Several times a second; `there`: the others that are alive."""
        others = sorted(there)
        for book in self.ledgers.values():
            book.member = lease.advance_clock(book.member, self.clock())
            if not self.is_idle(book):
                self.request_votes(book, others)
                self.request_lease(book)
            self.release_superseded(book)
            self.note_transition(book)

    def is_idle(self, book: Ledger) -> bool:
        if not book.is_transient:
            return False
        now = self.clock()
        since = now - 2 * book.budget.lease_us
        asked = any(each.demand > 0 and each.requested_at_us > since for each in book.requesters.values())
        if asked or book.requested_amount > 0 or self.demand_of(book) > 0:
            book.last_needed_us = now
        return now >= book.last_needed_us + IDLE_TIMEOUT_US

    def close_idle(self) -> list[str]:
        """Names of passing budgets that rest with nothing out, promised or spent; they are gone."""
        gone = [name for name, book in self.ledgers.items() if self.is_idle(book) and self.is_unused(book)]
        for name in gone:
            del self.ledgers[name]
        return gone

    def is_unused(self, book: Ledger) -> bool:
        member, now = lease.advance_clock(book.member, self.clock()), self.clock()
        out = (
            member.promised_to != lease.NO_MEMBER
            or lease.is_grantor(member)
            or member.grants
            or member.leased
        )
        asked = now < book.last_request_us + book.budget.lease_us
        return not (out or asked or book.enforcer.usage(now))

    def request_votes(self, book: Ledger, others: list[str]) -> None:
        budget, now = book.budget, self.clock()
        if book.member.promised_to != lease.NO_MEMBER:
            book.last_promised_us = now
            if not lease.is_own_grantor(book.member):
                return
        if now < book.last_vote_request_us + budget.lease_us // 4:
            return
        keeping = lease.is_grantor(book.member)
        if not keeping:
            place = sum(
                grantor_rank(budget.name, each) < grantor_rank(budget.name, self.name) for each in others
            )
            if now < book.last_promised_us + place * (budget.lease_us // 8):
                return
        book.member, words = lease.request_votes(book.member, budget.terms)
        if words:
            book.last_vote_request_us = now
            for each in others:
                self.send(
                    book,
                    each,
                    LeaseMessageKind.VOTE_REQUEST,
                    self.session,
                    book.member.votes_requested_at,
                    int(keeping),
                )

    def grantor_of(self, book: Ledger) -> str:
        return next(
            (name for name, number in book.member_numbers.items() if number == book.member.promised_to), ""
        )

    def demand_of(self, book: Ledger) -> int:
        now = self.clock()
        all_of_it = book.enforcer.usage(now) + book.pending_demand() - book.budget.floor
        return max(min(all_of_it, book.budget.terms.leasable_amount()), 0)

    def request_lease(self, book: Ledger) -> None:
        now, keeper, fresh = self.clock(), self.grantor_of(book), self.demand_of(book)
        answered = book.member.lease_requested_at >= book.last_request_us
        due = now >= book.last_request_us + (
            book.budget.lease_us // 4 if answered else MIN_REQUEST_INTERVAL_US
        )
        short = (
            fresh > max(book.member.leased, book.requested_amount)
            and now >= book.last_request_us + MIN_REQUEST_INTERVAL_US
        )
        if not keeper or not (due or short):
            return
        if now >= book.demand_lowered_us + book.budget.lease_us // 4:
            book.requested_amount, book.demand_lowered_us = (
                book.requested_amount - max(book.requested_amount // 8, 1),
                now,
            )
        book.requested_amount, book.last_request_us = max(fresh, book.requested_amount), now
        if keeper == self.name:
            word = LeaseMessage(
                LeaseMessageKind.LEASE_REQUEST,
                OWN_NUMBER,
                OWN_NUMBER,
                self.session,
                now,
                book.requested_amount,
            )
            granted = self.grant_lease(book, self.name, word, book.warm_permille())
            if granted:
                self.apply_grant(book, granted)
        else:
            self.send(book, keeper, LeaseMessageKind.LEASE_REQUEST, self.session, now, book.requested_amount)

    def release_superseded(self, book: Ledger) -> None:
        """Once what is in use is within its part, the rest is over."""
        keeper = self.grantor_of(book)
        if (
            not book.has_superseded_leases
            or not keeper
            or book.enforcer.usage(self.clock()) > self.share_of(book)
        ):
            return
        for word in lease.release_superseded(book.member, book.budget.terms, book.member_numbers[keeper]):
            book.has_superseded_leases = False
            if keeper == self.name:
                book.member = lease.handle_release(book.member, word)
            else:
                self.send(book, keeper, LeaseMessageKind.RELEASE, self.session, word.requested_at)

    def release_all(self) -> None:
        """What is not in use is given back at once; the rest runs out."""
        for book in self.ledgers.values():
            keeper = self.grantor_of(book)
            terms, number = book.budget.terms, book.member_numbers.get(keeper, OWN_NUMBER)
            book.member, words = lease.release_lease(book.member, terms, number)
            if (
                words
                and keeper not in ("", self.name)
                and book.enforcer.usage(self.clock()) <= self.share_of(book)
            ):
                self.send(book, keeper, LeaseMessageKind.RELEASE, self.session, words[0].requested_at)

    def send(
        self, book: Ledger, to: str, kind: LeaseMessageKind, session: int, asked: int, amount: int = 0
    ) -> None:
        budget = book.budget
        warm = book.warm_permille() if kind is LeaseMessageKind.LEASE_REQUEST else FULLY_WARM_PERMILLE
        figures = budget.limit, budget.floor, budget.max_members, budget.timing_checksum, warm
        self.outbox.append((to, LeaseDatagram(budget.name, kind, session, asked, amount, *figures)))

    # What is heard.

    def handle_datagram(self, by: str, said: LeaseDatagram) -> None:
        """Whatever comes. Of a budget that is not known here nothing is believed."""
        if (book := self.ledgers.get(said.budget)) is None:
            return
        if said.form != book.budget.timing_checksum:
            self.record_rejection(book, f"other times under its name, by {by}")
            return
        if said.size > book.budget.max_members:
            book.budget = replace(book.budget, max_members=said.size)
            self.note_change(book, f"up to {said.size} members, says {by}")
        if said.kind == LeaseMessageKind.VOTE_REQUEST and said.size < book.budget.max_members:
            self.record_rejection(book, f"{by} counts on {said.size} members alone")
            return
        number = book.member_numbers.setdefault(by, len(book.member_numbers))
        book.reported_terms[by] = ReportedTerms(said.whole, said.floor, self.clock())
        kind = LeaseMessageKind(said.kind)
        book.member = lease.advance_clock(book.member, self.clock())
        word = LeaseMessage(kind, number, OWN_NUMBER, said.session, said.asked, said.amount)
        if kind is LeaseMessageKind.LEASE_REQUEST:
            if answer := self.grant_lease(book, by, word, said.warm):
                self.send(book, by, LeaseMessageKind.GRANT, said.session, said.asked, answer.amount)
        elif kind is LeaseMessageKind.GRANT:
            self.apply_grant(book, word)
        elif kind is LeaseMessageKind.RELEASE:
            book.member = lease.handle_release(book.member, word)
        else:
            behind = said.amount or grantor_rank(said.budget, by) < grantor_rank(said.budget, self.name)
            if kind is LeaseMessageKind.VOTE_REQUEST and behind:
                book.member = lease.abandon_election(book.member)
            book.member, answers = lease.handle_message(book.member, book.budget.terms, word)
            for each in answers:
                self.send(book, by, each.kind, each.session, each.requested_at)

    def apply_grant(self, book: Ledger, word: LeaseMessage) -> None:
        terms, before = book.budget.terms, self.share_of(book)
        if word.amount > terms.leasable_amount() or word.amount < 0:
            why = "a grant of more than the whole" if word.amount > 0 else "a grant below nothing"
            self.record_rejection(book, why)
            return
        held = book.member.leased
        book.member = lease.handle_grant(book.member, terms, word)
        book.has_superseded_leases = book.has_superseded_leases or book.member.leased < held
        if self.share_of(book) > before:
            self.share_increased(book.budget.name)

    @staticmethod
    def record_rejection(book: Ledger, why: str) -> None:
        book.rejections[why] = book.rejections.get(why, 0) + 1

    def grant_lease(self, book: Ledger, by: str, word: LeaseMessage, warm: int) -> LeaseMessage | None:
        """The keeper's: a grant, which is on its list; of nothing it need not be."""
        now = self.clock()
        if word.amount < 0:
            return None
        before = book.requesters[by].share if by in book.requesters else 0
        book.requesters[by] = asker = Requester(min(word.amount, book.budget.limit), now, before, warm)
        book.requesters = {
            name: each
            for name, each in book.requesters.items()
            if now < each.requested_at_us + 2 * book.budget.lease_us
        }
        if not lease.is_grantor(book.member) or now < book.member.grants_from:
            return None  # by then it knows what all need
        terms = self.effective_terms(book)
        needs = {name: each.demand for name, each in sorted(book.requesters.items())}
        warmth = sorted(each.warm_permille for each in book.requesters.values() if each.demand > 0) or [
            FULLY_WARM_PERMILLE
        ]
        most = -(-terms.leasable_amount() * warmth[(len(warmth) - 1) // 2] // FULLY_WARM_PERMILLE)
        parts = division.divide(most, needs, now // (2 * book.budget.lease_us))
        part = division.damp_change(parts[by], asker.share, asker.demand)
        if part <= 0:
            asker.share = 0
            return LeaseMessage(
                LeaseMessageKind.GRANT, OWN_NUMBER, word.sender, word.session, word.requested_at, 0
            )
        book.member, answers = lease.handle_lease_request(book.member, terms, word._replace(amount=part))
        asker.share = answers[0].amount if answers else 0
        return answers[0] if answers else None

    def effective_terms(self, book: Ledger) -> Terms:
        """The keeper's: the smallest whole and the largest floor that it has heard of."""
        since = self.clock() - 2 * book.budget.lease_us
        book.reported_terms = {
            name: each for name, each in book.reported_terms.items() if each.reported_at_us > since
        }
        whole = min([book.budget.limit, *(each.limit for each in book.reported_terms.values())])
        floor = max([book.budget.floor, *(each.floor for each in book.reported_terms.values())])
        return replace(book.budget, limit=whole, floor=floor).terms

    # For people.

    def note_transition(self, book: Ledger) -> None:
        part, keeper = self.share_of(book), self.grantor_of(book)
        if (part, keeper) == book.last_noted:
            return
        before, kept_by = book.last_noted
        book.last_noted = part, keeper
        if keeper != kept_by:
            self.note_change(
                book, f"kept by {keeper}" if keeper else f"{kept_by} keeps it no more, as far as known"
            )
        if part != before:
            self.note_change(book, f"from {before} to {part}, {book.requested_amount} needed")

    def note_change(self, book: Ledger, text: str) -> None:
        book.changes = [*book.changes[-31:], Change(self.clock(), text)]


def grantor_rank(budget: str, name: str) -> bytes:
    """The lowest keeps a budget: rendezvous hashing, so that a member that goes moves its own ones alone."""
    return hashlib.blake2b(f"{budget}\0{name}".encode(), digest_size=8).digest()
