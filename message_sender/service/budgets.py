"""Joins the budgets that a fleet shares (budget/manager.py) to one sender: its engine, its decision module
and its link. Imported only where the configuration has a budget."""

import logging
import math
import time
from collections import Counter, defaultdict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, fields, replace
from functools import partial
from itertools import count, islice
from typing import Any, NamedTuple, Protocol

from message_sender.budget.enforcer import NEVER
from message_sender.budget.manager import WARM, Budget, LeaseManager
from message_sender.budget.retry_allowance import RetryAllowance
from message_sender.configuration.resources import SharedBudget
from message_sender.core.engine import Engine
from message_sender.core.hooks import EngineHooks
from message_sender.fleet import wire
from message_sender.http.client import BODY_PATIENCE, HttpTransport
from message_sender.message import Message
from message_sender.policy.events import WakeUp
from message_sender.policy.model import Endpoint
from message_sender.service.routes import announced_rates

TURN = 0.1  # s between two looks at what the list tells, and at lines for the record
AGAIN = 500_000  # us after which to come again where nobody can say when there is room
ASKED = 64  # messages turned away that count as a tenant's need, at the most
LOOKED_AT = 256  # held messages that are looked at for repeats among them
WAYS = frozenset({"connections", "handshakes"})  # what is spent as a connection opens
PLAIN = frozenset({"calls", "in_flight"})  # what any call spends

#: What a file calls the fields of `SharedBudget` that have another name there.
FILE_NAMES = {
    "by": "what it is bound to",
    "value": "which one it is bound to",
    "span": "per_ms",
    "lease": "lease_ms",
    "slack": "slack_ms",
    "held": "held_ms",
}

log = logging.getLogger(__name__)


def boottime() -> int:
    """us; goes on while the machine sleeps."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


class FleetNodePort(Protocol):
    """What is needed of the link's end (fleet/node.py)."""

    on_share: Callable[[str, wire.LeaseDatagram], None]
    epoch_raised: Callable[[int], None]

    @property
    def members(self) -> Any: ...  # noqa: ANN401

    def others(self) -> list[str]: ...

    def send_to(self, name: str, body: wire.LeaseDatagram) -> None: ...


class FleetLinkPort(Protocol):
    """What is needed of a link (fleet/udp.py)."""

    @property
    def node(self) -> FleetNodePort: ...

    def flush(self) -> None: ...


Value = int | str | None


class EndpointBudgets(NamedTuple):
    """The budgets that calls to an endpoint may be in, by name."""

    listed: Endpoint
    plain: list[str]  # any call, with its first byte
    trials: list[str]
    repeats: list[str]
    ways: list[str]  # a new connection


@dataclass(slots=True)
class CallReservation:
    """A message's call, from its choice to its end."""

    endpoint: str
    names: list[str]  # of budgets that it is in, or will be with its first byte
    again: bool
    ways: list[str] = field(default_factory=list)  # of those that its new connection is reserved in
    claims: bool = False  # it is to go on a connection that is kept


def changed_figures(known: SharedBudget, told: SharedBudget) -> list[str]:
    """What differs besides the whole, as a file names it."""
    names = [each.name for each in fields(SharedBudget) if each.name != "whole"]
    return [FILE_NAMES.get(each, each) for each in names if getattr(known, each) != getattr(told, each)]


class SharedBudgets(EngineHooks):
    """The module's `Leave`, the doors' for tenants, the transport's for connections."""

    def __init__(
        self,
        engine: Engine,
        link: FleetLinkPort,
        told: tuple[SharedBudget, ...],
        size: int,
        clock: Callable[[], int] = boottime,
    ) -> None:
        self.engine, self.link, self.size, self.clock = engine, link, size, clock
        self.told: dict[str, SharedBudget] = {}
        me = link.node.members.me
        self.desk = LeaseManager(me.name, me.epoch, clock)
        self.desk.grew = self.grew
        self.opened: dict[str, tuple[SharedBudget, Value]] = {}  # by name; what it is bound to
        self.earned: dict[
            str, RetryAllowance
        ] = {}  # by name, those of repeats that are a share of first attempts
        self.by: dict[tuple[str, Value], list[str]] = {}  # what is bound to whom
        self.each: dict[str, list[SharedBudget]] = defaultdict(
            list
        )  # those of each, by what they are bound to
        self.known: dict[str, EndpointBudgets] = {}  # by endpoint
        self.turned: dict[str, deque[int]] = {}  # by tenant's budget: when one was turned away, us
        self.out: dict[str, CallReservation] = {}  # by message
        self.claims: Counter[str] = Counter()  # by endpoint: calls that are to go on kept connections
        self.denied: dict[int, int] = {}  # by destination: when a call that waits for its budget may go, us
        self.failing: dict[int, int] = {}  # by destination: when its last call was known to have failed, us
        self.limits: dict[int, tuple[int, int]] = {}  # by destination: what an answer told, calls in us
        self.transport: HttpTransport | None = None
        self.numbers = count()
        self.next_turn = 0.0
        self.noted: dict[str, float] = {}
        for each in told:
            self.add(each)
        link.node.on_share = self.hear
        self.raised, link.node.epoch_raised = link.node.epoch_raised, self.epoch_raised

    def bind(self) -> None:
        """From here on they bind."""
        engine = self.engine
        engine.dispatcher.registry.leave = self
        engine.hooks.add(self)
        if not isinstance(transport := engine.transport, HttpTransport):
            return
        if any(each.of in WAYS for each in self.told.values()):
            self.transport, transport.opens, transport.retires = transport, self.opens, self.retires
        if any(each.of == "calls" and each.whole is None for each in self.told.values()):
            transport.limit_told = self.limit_told

    # Which there are.

    def open(self, told: SharedBudget, value: Value) -> None:
        name = f"{told.name}/{value}" if told.is_each() else told.name
        if name in self.opened:
            return
        self.opened[name] = told, value
        self.known.clear()
        self.by.setdefault((told.by, value), []).append(name)
        if told.share is not None:
            # One at least: where all that is held has gone before, nothing else would find out what is up.
            self.earned[name] = RetryAllowance(told.share, told.span or 0, max(told.floor, 1), self.desk.born)
            return
        self.desk.open(
            self.budget(told, name, value),
            partial(self.need, told, name, value),
            partial(self.warm, told, value),
            passing=told.is_each(),
        )

    def configure(self, told: tuple[SharedBudget, ...], size: int) -> None:
        """The configuration read anew: a whole changes at once, a larger size too, and what is new is opened.
        A figure that others reckon with, and what is gone, waits for the next start: a floor that rose before
        its keeper knew would be above the whole."""
        self.size = max(size, self.size)
        for each in told:
            known = self.told.get(each.name)
            if known is None:
                self.add(each)
            elif replace(each, whole=known.whole) == known:
                self.told[each.name] = each
            else:
                log.warning("budget %s: more than its whole has changed; that waits for a start", each.name)
        self.each = defaultdict(
            list, {by: [self.told[each.name] for each in there] for by, there in self.each.items()}
        )
        for name, (was, value) in self.opened.items():
            now = self.told[was.name]
            self.opened[name] = now, value
            if now.share is None:
                self.desk.change(self.budget(now, name, value))
        for name in self.told.keys() - {each.name for each in told}:
            log.warning("budget %s: it is gone from the configuration: it binds until the next start", name)
        self.bind()  # what is new may be the first that asks the transport

    def waits_for_start(self, told: tuple[SharedBudget, ...]) -> list[str]:
        """What `configure` would leave as it is until the next start: a text for each budget."""
        found = []
        for each in told:
            known = self.told.get(each.name)
            if known is not None and (changed := changed_figures(known, each)):
                found.append(f"budgets/{each.name}: {', '.join(changed)} cannot change before the next start")
        for name in sorted(self.told.keys() - {each.name for each in told}):
            found.append(f"budgets/{name}: it cannot be taken away before the next start")
        return found

    def add(self, told: SharedBudget) -> None:
        self.told[told.name] = told
        if told.is_each():
            self.each[told.by].append(told)
            self.known.clear()
        else:
            self.open(told, told.value)

    def close_idle(self) -> None:
        for name in self.desk.forget_idle():
            told, value = self.opened.pop(name)
            self.known.clear()
            self.noted.pop(name, None)
            self.by[told.by, value].remove(name)
            if not self.by[told.by, value]:
                del self.by[told.by, value]
            log.info("budget %s: nobody has needed any of it; it is forgotten", name)

    def budget(self, told: SharedBudget, name: str, value: Value) -> Budget:
        whole = told.whole
        if whole is None:
            whole = self.told_whole(int(value or 0), told.span or 0)
        floor = min(told.floor, whole // self.size)
        return Budget(
            name, told.of, whole, self.size, told.span, told.held, floor, told.lease, told.slack
        )  # fmt: skip

    def told_whole(self, number: int, span: int) -> int:
        """By the list, and by an answer that told a limit: the smaller one. A list that is not said to tell
        rates yields to an answer."""
        listed = int(sum(announced_rates(self.engine, number).values()) * span / 1e6)
        if number not in self.limits:
            return listed
        calls, within = self.limits[number]
        whole = min(calls * span // within, calls)
        return min(whole, listed) if self.engine.settings.announces_rates else whole

    def numbers_of(self, by: str, value: Value) -> Iterable[int]:
        """The destinations that it is about; an endpoint's is where it is listed now."""
        there = self.engine.dispatcher.endpoints
        if by == "destination":
            return (int(value or 0),)
        if by == "endpoint":
            return (there[str(value)].listed.destination,) if value in there else ()
        return {each.listed.destination for each in there.values() if each.listed.zone == value}

    def need(self, told: SharedBudget, name: str, value: Value) -> int:
        """What is held for it, or was turned away of late."""
        if told.of == "tenant":
            turned, since = self.turned.get(name, deque()), self.clock() - told.lease
            while turned and turned[0] < since:
                turned.popleft()
            return len(turned)
        known = self.engine.dispatcher.destinations
        there = [known[number] for number in self.numbers_of(told.by, value) if number in known]
        if told.of == "trials":
            return sum(1 for at in there if at.held and self.may_try(at.number))
        if told.of == "repeats":
            held = (each for at in there for each in (at.held or {}).values())
            return sum(1 for each in islice(held, LOOKED_AT) if each.attempts)
        return sum(len(at.held or ()) for at in there)

    def may_try(self, number: int) -> bool:
        """Whether it is in doubt, and this member one that may find out."""
        at = self.engine.dispatcher.destinations[number]
        opened = any(each.is_open() for each in at.breakers)
        return opened and any(self.engine.hooks.may_call(each.listed.id) for each in at.endpoints)

    def warm(self, told: SharedBudget, value: Value) -> int:
        """Thousandths: what a destination that is out, or returning, takes of its rate. One failed call
        counts: of a crowd each sees few, and the middle one of all is believed (budget/manager.py)."""
        at = self.engine.dispatcher.destinations.get(value) if isinstance(value, int) else None
        if told.of != "calls" or told.by != "destination" or at is None or not at.breakers:
            return WARM
        now, settings = self.engine.now(), self.engine.settings
        if any(each.is_open() or each.failures >= 1 for each in at.breakers):
            self.failing[at.number] = now
        since = (now - self.failing.get(at.number, -math.inf)) / settings.slow_start
        return int(WARM * (settings.slow_start_from + (1 - settings.slow_start_from) * min(since, 1.0)))

    def bound(self, by: str, value: Value) -> list[str]:
        """Those of each are opened as they are needed."""
        for told in self.each.get(by, ()):
            self.open(told, value)
        return self.by.get((by, value), [])

    def of(self, listed: Endpoint) -> EndpointBudgets:
        """What binds calls there; kept until a budget is opened or forgotten, or it is listed otherwise."""
        known = self.known.get(listed.id)
        if known is None or known.listed is not listed:
            places = (("destination", listed.destination), ("endpoint", listed.id), ("zone", listed.zone))
            kinds: dict[str, list[str]] = defaultdict(list)
            for name in [name for by, value in places for name in self.bound(by, value)]:
                of = self.opened[name][0].of
                kinds["plain" if of in PLAIN else "ways" if of in WAYS else of].append(name)
            known = self.known[listed.id] = EndpointBudgets(
                listed, kinds["plain"], kinds["trials"], kinds["repeats"], kinds["ways"]
            )
        return known

    def counted(self, listed: Endpoint, trial: bool, again: bool) -> list[str]:
        """Of budgets that such a call is in with its first byte."""
        found = self.of(listed)
        return found.plain + (found.trials if trial else []) + (found.repeats if again else [])

    def must_open(self, endpoint: str) -> bool:
        """Whether the next call there needs a new connection."""
        return self.transport is not None and self.claims[endpoint] >= len(
            self.transport.pool.get(endpoint, ())
        )

    # The module's side.

    def free_of(self, name: str) -> int:
        return self.earned[name].free_at(self.clock()) if name in self.earned else self.desk.free_at(name)

    def spender(self, name: str) -> Any:  # noqa: ANN401
        return self.earned.get(name) or self.desk.books[name].spender

    def free_at(self, listed: Endpoint, now: int, trial: bool = False, again: bool = False) -> float:
        names = self.counted(listed, trial, again)
        if self.must_open(listed.id):
            names += self.of(listed).ways
        free = [self.free_of(name) for name in names]
        at, clock = max(free, default=0), self.clock()  # what is free now is not later than now
        if at <= clock:
            return now
        if any(clock < each < NEVER and self.is_apart(name) for name, each in zip(names, free, strict=True)):
            self.denied[listed.destination] = min(at, self.denied.get(listed.destination, NEVER))
        return math.inf if at >= NEVER else now + at - clock

    def is_apart(self, name: str) -> bool:
        """Whether the module does not look again by itself when this one has room: it knows of a
        destination's next call, not of which call it is."""
        told, _ = self.opened[name]
        return told.of not in PLAIN or told.by != "destination"

    def reserve(self, listed: Endpoint, message: str, trial: bool = False, again: bool = False) -> None:
        self.out[message] = going = CallReservation(listed.id, self.counted(listed, trial, again), again)
        if self.must_open(listed.id):
            going.ways = self.of(listed).ways
        elif self.transport:
            going.claims = True
            self.claims[listed.id] += 1
        for name in going.names + going.ways:
            self.spender(name).reserve(message)

    def grew(self, name: str) -> None:
        told, value = self.opened[name]
        self.look_again(self.numbers_of(told.by, value) if told.by != "tenant" else ())

    def look_again(self, numbers: Iterable[int]) -> None:
        for number in numbers:
            self.engine.dispatcher.registry.leave_grew(number)
            self.engine.post(WakeUp())

    # The engine's side.

    def reserve_limits(self, endpoint: str, message: str) -> bool:
        if (known := self.engine.dispatcher.endpoints.get(endpoint)) is None:
            return False
        going = self.out.get(message) or CallReservation(
            endpoint, self.counted(known.listed, False, False), False
        )
        now = self.clock()
        earned = [self.earned[name] for name in going.names if name in self.earned]
        shared = [name for name in going.names if name not in self.earned]
        self.unclaim(going)
        if not all(each.has_room(now) for each in earned) or not self.desk.begins(shared, message):
            return False
        for each in earned:
            each.take(message, now)
        for name in () if going.again else self.of(known.listed).repeats:
            if name in self.earned:
                self.earned[name].first(now)
                self.grew(name)
        self.out[message] = going
        return True

    def unclaim(self, going: CallReservation) -> None:
        if going.claims:
            going.claims = False
            self.claims[going.endpoint] -= 1

    def release_limits(self, message: str) -> None:
        """A call is over."""
        if (going := self.out.pop(message, None)) is None:
            return
        self.unclaim(going)
        for name in going.names + going.ways:
            if name not in self.opened:  # forgotten while a call was out for longer than that takes
                continue
            spender = self.spender(name)
            held = message in getattr(spender, "held", ())
            spender.ended(message)
            if held:
                self.grew(name)

    def call_timeout_us(self, endpoint: str, message: str) -> float:
        """us that a call may take: what is held at once counts as over after that."""
        known, going = self.engine.dispatcher.endpoints.get(endpoint), self.out.get(message)
        names = (going.names if going else []) + (self.of(known.listed).ways if known else [])
        books = [self.desk.books[name].budget for name in names if name not in self.earned]
        holds = (each.hold / (2 if each.of == "connections" else 1) for each in books if each.span is None)
        return min(holds, default=math.inf)

    def admits(self, message: Message) -> int:
        """us after which a tenant's message may come again; 0: it is within its share."""
        known = message.tenant in dict(self.engine.settings.tenants)  # a client may make up any other name
        names = self.bound("tenant", message.tenant) if known else self.by.get(("tenant", message.tenant), [])
        for name in names:
            now = self.clock()
            if self.desk.begins([name], ""):
                continue
            self.turned.setdefault(name, deque(maxlen=ASKED)).append(now)
            at = self.desk.free_at(name)
            return AGAIN if at >= NEVER else max(at - now, 1000)
        return 0

    # The transport's side.

    def opens(self, endpoint: str, message: str) -> Callable[[], None] | None:
        """Asked as a connection is about to open; what is to be called once it is closed, or None: it may
        not."""
        if (known := self.engine.dispatcher.endpoints.get(endpoint)) is None:
            return None
        names, token = self.of(known.listed).ways, f"connection {next(self.numbers)}"
        if going := self.out.get(message):
            self.unclaim(going)
            for name in going.ways:
                self.spender(name).ended(message)
            going.ways = []
        return partial(self.closed, names, token) if self.desk.begins(names, token) else None

    def closed(self, names: list[str], token: str) -> None:
        for name in names:
            if name in self.desk.books:
                self.desk.books[name].spender.ended(token)
                self.grew(name)

    def retires(self, endpoint: str) -> float:
        """s after which a connection takes no more calls: half of the longest that it may be held, as the
        other half is for the call that it may have out then."""
        known = self.engine.dispatcher.endpoints.get(endpoint)
        books = [self.desk.books[name].budget for name in (self.of(known.listed).ways if known else ())]
        holds = [each.hold / 2e6 - BODY_PATIENCE for each in books if each.span is None]
        return min(holds, default=math.inf)

    def shed(self) -> None:
        """Closes kept connections that are more than a part which has shrunk."""
        for name, book in list(self.desk.books.items()):
            told, _ = self.opened[name]
            excess = book.spender.used(self.clock()) - self.desk.part(book)
            if told.of != "connections" or excess <= 0 or not self.transport:
                continue
            there = self.engine.dispatcher.endpoints
            kept = [(each, there[at].listed) for each, at in self.transport.idle.items() if at in there]
            bound = [connection for connection, listed in kept if name in self.of(listed).ways]
            for connection in bound[:excess]:
                self.transport.close_one(connection)

    def limit_told(self, endpoint: str, calls: int, within: int) -> None:
        """An answer told a limit: so many calls in so many us."""
        known = self.engine.dispatcher.endpoints.get(endpoint)
        if known and self.limits.get(known.listed.destination) != (calls, within):
            self.limits[known.listed.destination] = calls, within
            self.follow_told()

    # The link's side.

    def hear(self, by: str, share: wire.LeaseDatagram) -> None:
        head, _, text = share.budget.partition("/")
        if (told := self.told.get(head)) and told.is_each():
            value = self.value_of(told, text)
            if value is not None:
                self.open(told, value)
        self.desk.hear(by, share)
        self.post()

    def value_of(self, told: SharedBudget, text: str) -> Value:
        """What a name is about; None: it is not known here, and nothing is kept of it."""
        if told.by == "destination":
            return int(text) if text.isdecimal() and text.isascii() else None
        there = self.engine.dispatcher.endpoints
        known = {
            "endpoint": text in there,
            "zone": any(each.listed.zone == text for each in there.values()),
            "tenant": text in dict(self.engine.settings.tenants),
        }
        return text if known[told.by] else None

    def epoch_raised(self, epoch: int) -> None:
        self.raised(epoch)
        self.desk.start_anew(epoch)

    def step(self, now: float) -> None:
        """Several times a second."""
        self.desk.tick(self.link.node.others())
        self.post()
        clock = self.clock()
        due = [number for number, at in self.denied.items() if at <= clock]
        for number in due:
            del self.denied[number]
        self.look_again(due)
        if now >= self.next_turn:
            self.next_turn = now + TURN
            self.close_idle()
            self.follow_told()
            self.shed()
            self.record()

    def follow_told(self) -> None:
        for name, (told, value) in self.opened.items():
            if told.whole is None and told.share is None:
                self.desk.change(self.budget(told, name, value))

    def record(self) -> None:
        for name, book in self.desk.books.items():
            for each in book.changes:
                if each.at > self.noted.get(name, 0):
                    log.info("budget %s: %s", name, each.text)
            if book.changes:
                self.noted[name] = book.changes[-1].at

    def post(self) -> None:
        out, self.desk.out = self.desk.out, []
        for to, said in out:
            self.link.node.send_to(to, said)
        self.link.flush()

    def close(self) -> None:
        """What is not in use goes back at once."""
        self.desk.leave()
        self.post()
