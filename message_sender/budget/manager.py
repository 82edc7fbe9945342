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
    of: str  # calls or in_flight
    whole: int
    size: int
    span: int | None  # of a rate; None: things that are held
    hold: int = 30_000_000  # the longest that a thing is held
    floor: int = 0
    lease: int = 2_000_000
    slack: int = 10_000  # by which the way of two calls may differ

    @cached_property
    def form(self) -> int:
        """Tells two whose times cannot be reckoned together."""
        told = f"{self.of} {self.span} {self.hold} {self.lease} {self.slack}"
        return zlib.crc32(told.encode())

    @cached_property
    def counted(self) -> int:
        """us for which a spender counts what it spent; `slack` goes with a rate's alone."""
        return int(FAST_CLOCK_FACTOR * ((self.span or self.hold) + (self.slack if self.span else 0))) + 1

    @cached_property
    def terms(self) -> Terms:
        after = self.counted
        margin = int(MAX_CLOCK_DRIFT * (self.lease + after)) + 1
        return Terms(self.whole, self.size, self.lease, self.lease, margin, self.floor, after)


@dataclass(slots=True)
class Requester:
    """What a keeper heard last of a member's need."""

    need: int
    at: int
    part: int = 0
    warm: int = FULLY_WARM_PERMILLE


@dataclass(frozen=True, slots=True)
class ReportedTerms:
    """What another member has under the same name."""

    whole: int
    floor: int
    at: int


@dataclass
class Change:
    at: int
    text: str


@dataclass
class Ledger:
    """One budget."""

    budget: Budget
    member: Member
    spender: LimitEnforcer
    need: Callable[[], int]  # what is held for it, besides what is in use
    warm: Callable[[], int]  # thousandths of the whole that may be spent, by its own eyes
    numbers: dict[str, int]  # of names, to the machine
    passing: bool = False
    needed_at: int = -NEVER_US  # when somebody needed some of it last, as far as is known here
    asked_at: int = -NEVER_US
    fell_at: int = -NEVER_US  # when the need last fell
    elected_at: int = -NEVER_US
    free_since: int = -NEVER_US  # when somebody was promised last
    wanted: int = 0  # the need that falls slowly
    unsettled: bool = False  # what it had above its part may still be in use
    askers: dict[str, Requester] = field(default_factory=dict)
    figures: dict[str, ReportedTerms] = field(default_factory=dict)
    changes: list[Change] = field(default_factory=list)
    refused: dict[str, int] = field(default_factory=dict)
    was: tuple[int, str] = (0, "")  # part and keeper, as last noted


class LeaseManager:
    def __init__(self, name: str, session: int, clock: Callable[[], int]) -> None:
        """`clock`: us, one that goes on while the machine sleeps; `session`: above that of each start
        before of this name."""
        self.name, self.session, self.clock = name, session, clock
        self.books: dict[str, Ledger] = {}
        self.out: list[tuple[str, LeaseDatagram]] = []  # to whom
        self.grew: Callable[[str], None] = lambda budget: None
        self.began = self.born = clock()

    def open(
        self,
        budget: Budget,
        need: Callable[[], int],
        warm: Callable[[], int] = lambda: FULLY_WARM_PERMILLE,
        passing: bool = False,
    ) -> Ledger:
        spender = LimitEnforcer(budget.counted if budget.span else None)
        numbers, now = {self.name: OWN_NUMBER}, self.clock()
        book = Ledger(budget, self.fresh(), spender, need, warm, numbers, passing, now)
        self.books[budget.name] = book
        return book

    def fresh(self) -> Member:
        """Before a book was opened nothing was promised or spent of it in this life."""
        return lease.new_member(OWN_NUMBER, self.session, self.born)

    def change(self, budget: Budget) -> None:
        """Other figures under the same name: what is held above them is held no more. The largest size that
        was ever heard of goes on to bind."""
        book = self.books[budget.name]
        budget = replace(budget, size=max(budget.size, book.budget.size))
        if budget == book.budget:
            return
        most = budget.terms.divisible()
        book.member = book.member._replace(held=min(book.member.held, max(most, 0)))
        book.budget = budget
        self.note(book, f"the whole is {budget.whole} from now on")

    def start_anew(self, session: int) -> None:
        """Others know a later start of this name."""
        self.session, self.born = session, self.clock()
        for book in self.books.values():
            book.member, book.askers = self.fresh(), {}

    # What may be spent.

    def part(self, book: Ledger) -> int:
        member = book.member._replace(clock=self.clock())  # what has run out is not spendable by its own time
        return min(lease.spendable_amount(member, book.budget.terms), max(book.budget.whole, 0))

    def free_at(self, name: str) -> int:
        """us of the clock at which one more may be spent; NEVER: not before a part grows or a thing ends."""
        book = self.books[name]
        return book.spender.free_at(self.clock(), self.part(book))

    def begins(self, names: Iterable[str], spent_by: str) -> bool:
        """Asked as the first byte goes; each of these budgets must have room."""
        books, now = [self.books[name] for name in names], self.clock()
        if not all(book.spender.has_room(now, self.part(book)) for book in books):
            return False
        for book in books:
            book.spender.take(spent_by, now)
        return True

    # What is said.

    def tick(self, there: Iterable[str]) -> None:
        """Several times a second; `there`: the others that are alive."""
        others = sorted(there)
        for book in self.books.values():
            book.member = lease.advance_clock(book.member, self.clock())
            if not self.rests(book):
                self.elect(book, others)
                self.ask(book)
            self.settle(book)
            self.look(book)

    def rests(self, book: Ledger) -> bool:
        if not book.passing:
            return False
        now = self.clock()
        since = now - 2 * book.budget.lease
        asked = any(each.need > 0 and each.at > since for each in book.askers.values())
        if asked or book.wanted > 0 or self.wants(book) > 0:
            book.needed_at = now
        return now >= book.needed_at + IDLE_TIMEOUT_US

    def forget_idle(self) -> list[str]:
        """Names of passing budgets that rest with nothing out, promised or spent; they are gone."""
        gone = [name for name, book in self.books.items() if self.rests(book) and self.is_empty(book)]
        for name in gone:
            del self.books[name]
        return gone

    def is_empty(self, book: Ledger) -> bool:
        member, now = lease.advance_clock(book.member, self.clock()), self.clock()
        out = member.promised != lease.NO_MEMBER or lease.is_grantor(member) or member.given or member.held
        asked = now < book.asked_at + book.budget.lease
        return not (out or asked or book.spender.used(now))

    def elect(self, book: Ledger, others: list[str]) -> None:
        budget, now = book.budget, self.clock()
        if book.member.promised != lease.NO_MEMBER:
            book.free_since = now
            if not lease.is_own_grantor(book.member):
                return
        if now < book.elected_at + budget.lease // 4:
            return
        keeping = lease.is_grantor(book.member)
        if not keeping:
            place = sum(grantor_rank(budget.name, each) < grantor_rank(budget.name, self.name) for each in others)
            if now < book.free_since + place * (budget.lease // 8):
                return
        book.member, words = lease.request_votes(book.member, budget.terms)
        if words:
            book.elected_at = now
            for each in others:
                self.say(
                    book, each, LeaseMessageKind.VOTE_REQUEST, self.session, book.member.elected_at, int(keeping)
                )

    def keeper(self, book: Ledger) -> str:
        return next((name for name, number in book.numbers.items() if number == book.member.promised), "")

    def wants(self, book: Ledger) -> int:
        now = self.clock()
        all_of_it = book.spender.used(now) + book.need() - book.budget.floor
        return max(min(all_of_it, book.budget.terms.divisible()), 0)

    def ask(self, book: Ledger) -> None:
        now, keeper, fresh = self.clock(), self.keeper(book), self.wants(book)
        answered = book.member.held_asked >= book.asked_at
        due = now >= book.asked_at + (book.budget.lease // 4 if answered else MIN_REQUEST_INTERVAL_US)
        short = fresh > max(book.member.held, book.wanted) and now >= book.asked_at + MIN_REQUEST_INTERVAL_US
        if not keeper or not (due or short):
            return
        if now >= book.fell_at + book.budget.lease // 4:
            book.wanted, book.fell_at = book.wanted - max(book.wanted // 8, 1), now
        book.wanted, book.asked_at = max(fresh, book.wanted), now
        if keeper == self.name:
            word = LeaseMessage(LeaseMessageKind.LEASE_REQUEST, OWN_NUMBER, OWN_NUMBER, self.session, now, book.wanted)
            granted = self.answer(book, self.name, word, book.warm())
            if granted:
                self.granted(book, granted)
        else:
            self.say(book, keeper, LeaseMessageKind.LEASE_REQUEST, self.session, now, book.wanted)

    def settle(self, book: Ledger) -> None:
        """Once what is in use is within its part, the rest is over."""
        keeper = self.keeper(book)
        if not book.unsettled or not keeper or book.spender.used(self.clock()) > self.part(book):
            return
        for word in lease.release_superseded(book.member, book.budget.terms, book.numbers[keeper]):
            book.unsettled = False
            if keeper == self.name:
                book.member = lease.handle_release(book.member, word)
            else:
                self.say(book, keeper, LeaseMessageKind.RELEASE, self.session, word.asked)

    def leave(self) -> None:
        """What is not in use is given back at once; the rest runs out."""
        for book in self.books.values():
            keeper = self.keeper(book)
            terms, number = book.budget.terms, book.numbers.get(keeper, OWN_NUMBER)
            book.member, words = lease.release_lease(book.member, terms, number)
            if words and keeper not in ("", self.name) and book.spender.used(self.clock()) <= self.part(book):
                self.say(book, keeper, LeaseMessageKind.RELEASE, self.session, words[0].asked)

    def say(
        self, book: Ledger, to: str, kind: LeaseMessageKind, session: int, asked: int, amount: int = 0
    ) -> None:
        budget = book.budget
        warm = book.warm() if kind is LeaseMessageKind.LEASE_REQUEST else FULLY_WARM_PERMILLE
        figures = budget.whole, budget.floor, budget.size, budget.form, warm
        self.out.append((to, LeaseDatagram(budget.name, kind, session, asked, amount, *figures)))

    # What is heard.

    def hear(self, by: str, said: LeaseDatagram) -> None:
        """Whatever comes. Of a budget that is not known here nothing is believed."""
        if (book := self.books.get(said.budget)) is None:
            return
        if said.form != book.budget.form:
            self.refuse(book, f"other times under its name, by {by}")
            return
        if said.size > book.budget.size:
            book.budget = replace(book.budget, size=said.size)
            self.note(book, f"up to {said.size} members, says {by}")
        if said.kind == LeaseMessageKind.VOTE_REQUEST and said.size < book.budget.size:
            self.refuse(book, f"{by} counts on {said.size} members alone")
            return
        number = book.numbers.setdefault(by, len(book.numbers))
        book.figures[by] = ReportedTerms(said.whole, said.floor, self.clock())
        kind = LeaseMessageKind(said.kind)
        book.member = lease.advance_clock(book.member, self.clock())
        word = LeaseMessage(kind, number, OWN_NUMBER, said.session, said.asked, said.amount)
        if kind is LeaseMessageKind.LEASE_REQUEST:
            if answer := self.answer(book, by, word, said.warm):
                self.say(book, by, LeaseMessageKind.GRANT, said.session, said.asked, answer.amount)
        elif kind is LeaseMessageKind.GRANT:
            self.granted(book, word)
        elif kind is LeaseMessageKind.RELEASE:
            book.member = lease.handle_release(book.member, word)
        else:
            behind = said.amount or grantor_rank(said.budget, by) < grantor_rank(said.budget, self.name)
            if kind is LeaseMessageKind.VOTE_REQUEST and behind:
                book.member = lease.abandon_election(book.member)
            book.member, answers = lease.handle_message(book.member, book.budget.terms, word)
            for each in answers:
                self.say(book, by, each.kind, each.session, each.asked)

    def granted(self, book: Ledger, word: LeaseMessage) -> None:
        terms, before = book.budget.terms, self.part(book)
        if word.amount > terms.divisible() or word.amount < 0:
            why = "a grant of more than the whole" if word.amount > 0 else "a grant below nothing"
            self.refuse(book, why)
            return
        held = book.member.held
        book.member = lease.handle_grant(book.member, terms, word)
        book.unsettled = book.unsettled or book.member.held < held
        if self.part(book) > before:
            self.grew(book.budget.name)

    @staticmethod
    def refuse(book: Ledger, why: str) -> None:
        book.refused[why] = book.refused.get(why, 0) + 1

    def answer(self, book: Ledger, by: str, word: LeaseMessage, warm: int) -> LeaseMessage | None:
        """The keeper's: a grant, which is on its list; of nothing it need not be."""
        now = self.clock()
        if word.amount < 0:
            return None
        before = book.askers[by].part if by in book.askers else 0
        book.askers[by] = asker = Requester(min(word.amount, book.budget.whole), now, before, warm)
        book.askers = {
            name: each for name, each in book.askers.items() if now < each.at + 2 * book.budget.lease
        }
        if not lease.is_grantor(book.member) or now < book.member.gives_from:
            return None  # by then it knows what all need
        terms = self.terms(book)
        needs = {name: each.need for name, each in sorted(book.askers.items())}
        warmth = sorted(each.warm for each in book.askers.values() if each.need > 0) or [FULLY_WARM_PERMILLE]
        most = -(-terms.divisible() * warmth[(len(warmth) - 1) // 2] // FULLY_WARM_PERMILLE)
        parts = division.divide(most, needs, now // (2 * book.budget.lease))
        part = division.damp_change(parts[by], asker.part, asker.need)
        if part <= 0:
            asker.part = 0
            return LeaseMessage(LeaseMessageKind.GRANT, OWN_NUMBER, word.by, word.session, word.asked, 0)
        book.member, answers = lease.handle_lease_request(book.member, terms, word._replace(amount=part))
        asker.part = answers[0].amount if answers else 0
        return answers[0] if answers else None

    def terms(self, book: Ledger) -> Terms:
        """The keeper's: the smallest whole and the largest floor that it has heard of."""
        since = self.clock() - 2 * book.budget.lease
        book.figures = {name: each for name, each in book.figures.items() if each.at > since}
        whole = min([book.budget.whole, *(each.whole for each in book.figures.values())])
        floor = max([book.budget.floor, *(each.floor for each in book.figures.values())])
        return replace(book.budget, whole=whole, floor=floor).terms

    # For people.

    def look(self, book: Ledger) -> None:
        part, keeper = self.part(book), self.keeper(book)
        if (part, keeper) == book.was:
            return
        before, kept_by = book.was
        book.was = part, keeper
        if keeper != kept_by:
            self.note(book, f"kept by {keeper}" if keeper else f"{kept_by} keeps it no more, as far as known")
        if part != before:
            self.note(book, f"from {before} to {part}, {book.wanted} needed")

    def note(self, book: Ledger, text: str) -> None:
        book.changes = [*book.changes[-31:], Change(self.clock(), text)]


def grantor_rank(budget: str, name: str) -> bytes:
    """The lowest keeps a budget: rendezvous hashing, so that a member that goes moves its own ones alone."""
    return hashlib.blake2b(f"{budget}\0{name}".encode(), digest_size=8).digest()
