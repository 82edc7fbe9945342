"""Tables of endpoints and of shared budgets: what a sender's own file may list, and the control plane hold.

Their form, with units, is in docs/operate/serve.md and docs/operate/budgets.md.
"""

import ipaddress
import re
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Annotated, Literal, Self

from pydantic import PlainValidator, model_validator

from message_sender.configuration.tables import Table, number_between
from message_sender.discovery.static import Dial, StaticEndpoint
from message_sender.policy.model import Endpoint, EndpointState

US_PER_MS = 1000  # us
FIGURE_LIMIT = 1e12  # of any figure without a bound of its own
INTEGER_LIMIT = 10**9
BUDGET_BINDINGS = ("destination", "endpoint", "zone", "tenant")  # what a budget may be bound to
CONCURRENCY_BUDGETS = frozenset(
    {"in_flight", "trials", "connections"}
)  # what is held at once, and has no rate
BUDGET_NAME = re.compile(r"[A-Za-z0-9.-]{1,48}")
NOT_NUMERIC = "must be an IP address and a port: a name would be looked up for each datagram, on the loop"
ADDRESS = re.compile(r"(\[[0-9a-fA-F:.]+\]|[^:\s]+):([0-9]{1,5})")


@dataclass(frozen=True, slots=True)
class SharedBudget:
    """A budget that all senders of the fleet spend from. Times in us."""

    name: str
    of: str  # as in BudgetTable
    by: str  # what it is bound to: destination, endpoint, zone or tenant
    value: int | str | None  # which one; None: each of them has one of its own
    whole: int | None  # None: what the list, or an answer, tells of the destination's rate
    share: float | None  # of repeats, in place of a whole: so many for each first attempt
    span: int | None  # of a rate; None: things that are held
    floor: int
    lease: int
    slack: int
    held: int  # the longest that a thing is held

    def is_each(self) -> bool:
        return self.value is None


def parse_address(value: object) -> Dial:
    if not isinstance(value, str):
        raise ValueError(f"must be a text, not {value!r}")
    found = ADDRESS.fullmatch(value)
    if not found or int(found[2]) > 65535:
        raise ValueError(f"must be host:port, not {value!r}")
    return found[1].strip("[]"), int(found[2])


def find_node_faults(nodes: Sequence[tuple[str, Dial]]) -> list[str]:
    """What is wrong with a list of control nodes, names and addresses: a line for each fault."""
    wrong, names, addresses = [], set[str](), set[Dial]()
    for at, (name, address) in enumerate(nodes):
        if name in names:
            wrong.append(f"nodes[{at}].name: {name!r} is listed twice")
        if address in addresses:
            wrong.append(f"nodes[{at}].address: two nodes at one address")
        if address[1] == 0:
            wrong.append(f"nodes[{at}].address: must name a port")
        elif not is_numeric(address):
            wrong.append(f"nodes[{at}].address: {NOT_NUMERIC}")
        names.add(name)
        addresses.add(address)
    return wrong


def is_numeric(dial: Dial) -> bool:
    """Whether the host is an IP address, which a datagram's send needs not look up."""
    try:
        ipaddress.ip_address(dial[0])
    except ValueError:
        return False
    return True


def ms_to_us(ms: float) -> int:
    return int(ms * US_PER_MS)


def number_or_each(value: object) -> int | str:
    if value == "each" or (
        isinstance(value, int) and not isinstance(value, bool) and 0 <= value <= INTEGER_LIMIT
    ):
        return value
    raise ValueError(f'must be a number or "each", not {value!r}')


def integer_or_told(value: object) -> int | str:
    if value == "told" or (
        isinstance(value, int) and not isinstance(value, bool) and 1 <= value <= INTEGER_LIMIT
    ):
        return value
    raise ValueError(f'must be a whole number from 1 to {INTEGER_LIMIT} or "told", not {value!r}')


Address = Annotated[Dial, PlainValidator(parse_address)]
NonNegative = Annotated[float, number_between(0, FIGURE_LIMIT)]
Positive = Annotated[float, number_between(1, FIGURE_LIMIT)]
PositiveInt = Annotated[int, number_between(1, INTEGER_LIMIT)]


class EndpointTable(Table):
    id: str
    destination: Annotated[int, number_between(0, INTEGER_LIMIT)]
    dial: Address
    state: Literal["ready", "draining"] = "ready"
    zone: str = ""
    rate: NonNegative = 1.0
    own_limit: bool = False

    @model_validator(mode="after")
    def consistent(self) -> Self:
        if not self.id:
            raise ValueError("id: must not be empty")
        return self

    def build(self) -> StaticEndpoint:
        state, kind = EndpointState(self.state), "apart" if self.own_limit else "plain"
        return StaticEndpoint(
            Endpoint(self.id, self.destination, state, kind, self.zone, self.rate), self.dial
        )


class Endpoints(Table):
    """What names endpoints."""

    endpoints: tuple[EndpointTable, ...] = ()

    @model_validator(mode="after")
    def once(self) -> Self:
        wrong, names = [], set[str]()
        for at, each in enumerate(self.endpoints):
            if each.id in names:
                wrong.append(f"endpoints[{at}].id: {each.id!r} is listed twice")
            names.add(each.id)
        if wrong:
            raise ValueError("\n".join(wrong))
        return self


class BudgetTable(Table):
    name: str
    of: Literal["calls", "in_flight", "trials", "repeats", "connections", "handshakes", "tenant"]
    destination: Annotated[int | str, PlainValidator(number_or_each)] | None = None
    endpoint: str = ""
    zone: str = ""
    tenant: str = ""
    whole: Annotated[int | str, PlainValidator(integer_or_told)] | None = None
    share: Annotated[float, number_between(0.001, 100)] | None = None
    per_ms: Annotated[float, number_between(10, 3_600_000)] | None = None
    floor: Annotated[int, number_between(0, INTEGER_LIMIT)] = 0
    lease_ms: Annotated[float, number_between(200, 60_000)] = 2000.0
    slack_ms: Annotated[float, number_between(0, 1000)] = 10.0
    held_ms: Annotated[float, number_between(100, 600_000)] = 5000.0

    @model_validator(mode="after")
    def consistent(self) -> Self:
        wrong = []
        if not BUDGET_NAME.fullmatch(self.name):
            wrong.append("name: must be letters, digits, dots and dashes, 48 of them at the most")
        if (self.of in CONCURRENCY_BUDGETS) is not (self.per_ms is None):
            wrong.append("per_ms: must be told for what has a rate, and not for what is held at once")
        bound = [by for by in BUDGET_BINDINGS if getattr(self, by) not in ("", None)]
        if len(bound) != 1 or (self.of == "tenant") is not (bound == ["tenant"]):
            of = "tenant" if self.of == "tenant" else "destination, endpoint or zone"
            wrong.append(f'{bound[-1] if bound else "destination"}: must name one {of}, or "each"')
        if (self.whole is None) is (self.share is None) or (self.share and self.of != "repeats"):
            wrong.append("whole: must be told, or for repeats a share in its place")
        if self.whole == "told" and (self.of != "calls" or bound != ["destination"]):
            wrong.append("whole: can be told for the calls of a destination alone")
        if wrong:
            raise ValueError("\n".join(wrong))
        return self

    def place(self) -> tuple[str, str, object]:
        (by,) = (by for by in BUDGET_BINDINGS if getattr(self, by) not in ("", None))
        return self.of, by, getattr(self, by)

    def build(self) -> SharedBudget:
        _, by, value = self.place()
        return SharedBudget(
            self.name, self.of, by, None if value == "each" else value,  # type: ignore[arg-type]
            self.whole if isinstance(self.whole, int) else None, self.share,
            None if self.per_ms is None else ms_to_us(self.per_ms), self.floor, ms_to_us(self.lease_ms),
            ms_to_us(self.slack_ms), ms_to_us(self.held_ms),
        )  # fmt: skip


@dataclass(frozen=True, slots=True)
class BudgetFault:
    """What is wrong with one budget beside the others."""

    index: int
    field: str
    text: str


def find_budget_faults(budgets: Sequence[BudgetTable], size: int) -> list[BudgetFault]:
    """Names given twice, two budgets over one thing, and floors that a fleet of `size` can't keep."""
    found, names, places = [], set[str](), set[tuple[str, str, object]]()
    for index, each in enumerate(budgets):
        if each.name in names:
            found.append(BudgetFault(index, "name", f"{each.name!r} is there twice"))
        if each.place() in places:
            found.append(BudgetFault(index, "of", "two budgets over one thing"))
        if isinstance(each.whole, int) and each.floor * size > each.whole:
            found.append(BudgetFault(index, "floor", f"{each.floor} for each of {size} is over the whole"))
        names.add(each.name)
        places.add(each.place())
    return found
