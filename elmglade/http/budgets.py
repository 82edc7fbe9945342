"""Joins the budgets that a fleet shares (budget/desk.py) to one sender: its engine, its decision module and
its link. Imported only where the configuration has a budget."""

import logging
import math
import time
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any, Protocol

from elmglade import interface as face
from elmglade.budget.desk import WARM, Budget, Desk
from elmglade.budget.spend import NEVER
from elmglade.config import Shared
from elmglade.core.engine import Engine
from elmglade.fleet import wire
from elmglade.http.routes import told_rates
from elmglade.message import HandedIn

TURN = 0.1  # s between two looks at what the list tells, and at lines for the record
AGAIN = 500_000  # us after which to come again where nobody can say when there is room
ASKED = 64  # messages turned away that count as a tenant's need, at the most

log = logging.getLogger(__name__)


def boottime() -> int:
    """us; goes on while the machine sleeps."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


class Node(Protocol):
    """What is needed of the link's end (fleet/node.py)."""

    on_share: Callable[[str, wire.Share], None]
    epoch_raised: Callable[[int], None]

    @property
    def members(self) -> Any: ...  # noqa: ANN401

    def others(self) -> list[str]: ...

    def send_to(self, name: str, body: wire.Share) -> None: ...


class Way(Protocol):
    """What is needed of a link (fleet/udp.py)."""

    @property
    def node(self) -> Node: ...

    def flush(self) -> None: ...


class Budgets:
    """The module's `Leave`, and the doors' for tenants."""

    def __init__(
        self,
        engine: Engine,
        link: Way,
        told: tuple[Shared, ...],
        size: int,
        clock: Callable[[], int] = boottime,
    ) -> None:
        self.engine, self.link, self.size, self.clock = engine, link, size, clock
        self.told = {each.name: each for each in told}
        me = link.node.members.me
        self.desk = Desk(me.name, me.epoch, clock)
        self.desk.grew = self.grew
        self.opened: dict[str, tuple[Shared, int]] = {}  # by name; the destination, -1 for none
        self.by_destination: dict[int, list[str]] = {}
        self.by_endpoint: dict[str, list[str]] = {}
        self.turned: dict[str, deque[int]] = {}  # by tenant's budget: when one was turned away, us
        self.out: dict[str, list[str]] = {}  # by message: budgets that its call is in
        self.failing: dict[int, int] = {}  # by destination: when its last call was known to have failed, us
        self.next_turn = 0.0
        self.noted: dict[str, float] = {}
        for each in told:
            if not each.is_each():
                self.open(each, -1 if each.destination is None else each.destination)
        link.node.on_share = self.hear
        self.raised, link.node.epoch_raised = link.node.epoch_raised, self.epoch_raised

    def bind(self) -> None:
        """From here on they bind."""
        engine = self.engine
        engine.dispatcher.roster.leave = self
        engine.spends, engine.spent, engine.call_limit = self.spends, self.spent, self.call_limit

    # Which there are.

    def open(self, told: Shared, destination: int) -> None:
        name = f"{told.name}/{destination}" if told.is_each() else told.name
        if name in self.opened:
            return
        self.opened[name] = told, destination
        if destination >= 0:
            self.by_destination.setdefault(destination, []).append(name)
        elif told.endpoint:
            self.by_endpoint.setdefault(told.endpoint, []).append(name)
        self.desk.open(
            self.budget(told, name, destination),
            partial(self.need, told, name, destination),
            partial(self.warm, told, destination),
            passing=told.is_each(),
        )

    def close_idle(self) -> None:
        for name in self.desk.forget_idle():
            _, number = self.opened.pop(name)
            self.noted.pop(name, None)
            self.by_destination[number].remove(name)
            if not self.by_destination[number]:
                del self.by_destination[number]
            log.info("budget %s: nobody has needed any of it; it is forgotten", name)

    def budget(self, told: Shared, name: str, destination: int) -> Budget:
        whole = told.whole
        if whole is None:
            whole = int(sum(told_rates(self.engine, destination).values()) * (told.span or 0) / 1e6)
        floor = min(told.floor, whole // self.size)
        return Budget(
            name, told.of, whole, self.size, told.span, told.held, floor, told.lease, told.slack
        )  # fmt: skip

    def destination(self, told: Shared, destination: int) -> int:
        """That of an endpoint's budget is where it is listed now."""
        known = self.engine.dispatcher.endpoints.get(told.endpoint) if told.endpoint else None
        return known.listed.destination if known else destination

    def need(self, told: Shared, name: str, destination: int) -> int:
        """What is held for it, or was turned away of late."""
        if told.of == "tenant":
            turned, since = self.turned.get(name, deque()), self.clock() - told.lease
            while turned and turned[0] < since:
                turned.popleft()
            return len(turned)
        at = self.engine.dispatcher.destinations.get(self.destination(told, destination))
        return len(at.held or ()) if at else 0

    def warm(self, told: Shared, destination: int) -> int:
        """Thousandths: what a destination that is out, or returning, takes of its rate. One failed call
        counts: of a crowd each sees few, and the middle one of all is believed (budget/desk.py)."""
        at = self.engine.dispatcher.destinations.get(destination)
        if told.of != "calls" or at is None or not at.breakers:
            return WARM
        now, settings = self.engine.now(), self.engine.settings
        if any(each.is_open() or each.failures >= 1 for each in at.breakers):
            self.failing[at.number] = now
        since = (now - self.failing.get(at.number, -math.inf)) / settings.cold
        return int(WARM * (settings.cold_from + (1 - settings.cold_from) * min(since, 1.0)))

    def of_destination(self, number: int) -> list[str]:
        """Those of each destination are opened as they are needed."""
        for told in self.told.values():
            if told.is_each():
                self.open(told, number)
        return self.by_destination.get(number, [])

    def of_endpoint(self, listed: face.Endpoint) -> list[str]:
        return [*self.of_destination(listed.destination), *self.by_endpoint.get(listed.id, ())]

    # The module's side.

    def free_at(self, listed: face.Endpoint, now: int) -> float:
        at = max((self.desk.free_at(name) for name in self.of_endpoint(listed)), default=0)
        return math.inf if at >= NEVER else now + max(at - self.clock(), 0)

    def reserve(self, listed: face.Endpoint, message: str) -> None:
        self.out[message] = names = self.of_endpoint(listed)
        for name in names:
            self.desk.books[name].spender.reserve(message)

    def grew(self, name: str) -> None:
        number = self.destination(*self.opened[name])
        if number >= 0:
            self.engine.dispatcher.roster.leave_grew(number)
            self.engine.post(face.WakeUp())

    # The engine's side.

    def spends(self, endpoint: str, message: str) -> bool:
        if (known := self.engine.dispatcher.endpoints.get(endpoint)) is None:
            return False
        names = self.of_endpoint(known.listed)
        if goes := self.desk.begins(names, message):
            self.out[message] = names
        return goes

    def spent(self, message: str) -> None:
        """A call is over."""
        for name in self.out.pop(message, ()):
            if name not in self.desk.books:  # forgotten while a call was out for longer than that takes
                continue
            spender = self.desk.books[name].spender
            held = message in spender.held
            spender.ended(message)
            if held:
                self.grew(name)

    def call_limit(self, endpoint: str) -> float:
        known = self.engine.dispatcher.endpoints.get(endpoint)
        names = self.of_endpoint(known.listed) if known else []
        books = [self.desk.books[name].budget for name in names]
        return min((each.hold for each in books if each.span is None), default=math.inf)

    def admits(self, message: HandedIn) -> int:
        """us after which a tenant's message may come again; 0: it is within its share."""
        for told in self.told.values():
            if told.of != "tenant" or told.tenant != message.tenant:
                continue
            now = self.clock()
            if self.desk.begins([told.name], ""):
                continue
            self.turned.setdefault(told.name, deque(maxlen=ASKED)).append(now)
            at = self.desk.free_at(told.name)
            return AGAIN if at >= NEVER else max(at - now, 1000)
        return 0

    # The link's side.

    def hear(self, by: str, share: wire.Share) -> None:
        head, _, number = share.budget.partition("/")
        told = self.told.get(head)
        if told and told.is_each() and number.isdecimal():
            self.open(told, int(number))
        self.desk.hear(by, share)
        self.post()

    def epoch_raised(self, epoch: int) -> None:
        self.raised(epoch)
        self.desk.start_anew(epoch)

    def step(self, now: float) -> None:
        """Several times a second."""
        self.desk.tick(self.link.node.others())
        self.post()
        if now >= self.next_turn:
            self.next_turn = now + TURN
            self.close_idle()
            self.follow_list()
            self.record()

    def follow_list(self) -> None:
        for name, (told, number) in self.opened.items():
            if told.whole is None:
                self.desk.change(self.budget(told, name, number))

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
