"""Tables of endpoints and of shared budgets: what a sender's own file and the control plane may hold.

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

US_PER_MS = 1000
FIGURE_LIMIT = 1e12  # of any number without a limit of its own
INTEGER_LIMIT = 10**9
PORT_LIMIT = 65_535
#: What a budget may be bound to.
BUDGET_BINDINGS = ("destination", "endpoint", "zone", "tenant")
#: Budgets of what is in use at once; the others have a rate.
CONCURRENCY_BUDGETS = frozenset({"in_flight", "trials", "connections"})
BUDGET_NAME = re.compile(r"[A-Za-z0-9.-]{1,48}")
NOT_NUMERIC = "must be an IP address and a port: a name would be looked up for each datagram, on the loop"
ADDRESS = re.compile(r"(\[[0-9a-fA-F:.]+\]|[^:\s]+):([0-9]{1,5})")


@dataclass(frozen=True, slots=True)
class SharedBudget:
    """A budget that all senders of the fleet spend from. Durations in microseconds.

    Attributes:
        name: Of the budget.
        of: What it limits, as `BudgetTable.of`.
        by: What it is bound to, one of `BUDGET_BINDINGS`.
        value: Which one; None: each of them has a budget of its own.
        whole: How much all senders have together; None: as the list, or a response, announces the rate.
        share: Of repeats: so many for each first attempt, in place of `whole`.
        span: The period of a rate; None: things that are in use at once.
        floor: What each sender has in any case.
        lease: How long a sender may use its part without a renewal.
        slack: The drift between two clocks.
        held: The longest that a thing is in use.
    """

    name: str
    of: str
    by: str
    value: int | str | None
    whole: int | None
    share: float | None
    span: int | None
    floor: int
    lease: int
    slack: int
    held: int

    def is_each(self) -> bool:
        """Whether each destination, endpoint, zone or tenant has a budget of its own."""
        return self.value is None


def parse_address(value: object) -> Dial:
    """Host and port from `host:port`; an IPv6 address stands in brackets.

    Raises:
        ValueError: It has another form.
    """
    if not isinstance(value, str):
        raise ValueError(f"must be a text, not {value!r}")
    match = ADDRESS.fullmatch(value)
    if not match or int(match[2]) > PORT_LIMIT:
        raise ValueError(f"must be host:port, not {value!r}")
    return match[1].strip("[]"), int(match[2])


def find_node_faults(nodes: Sequence[tuple[str, Dial]]) -> list[str]:
    """What is wrong with a list of control nodes: a line `path: text` for each fault.

    Args:
        nodes: Name and address of each.
    """
    faults, names, addresses = [], set[str](), set[Dial]()
    for index, (name, address) in enumerate(nodes):
        if name in names:
            faults.append(f"nodes[{index}].name: {name!r} is listed twice")
        if address in addresses:
            faults.append(f"nodes[{index}].address: two nodes at one address")
        if address[1] == 0:
            faults.append(f"nodes[{index}].address: must name a port")
        elif not is_numeric(address):
            faults.append(f"nodes[{index}].address: {NOT_NUMERIC}")
        names.add(name)
        addresses.add(address)
    return faults


def is_numeric(address: Dial) -> bool:
    """Whether the host is an IP address, so that no datagram needs a look-up."""
    try:
        ipaddress.ip_address(address[0])
    except ValueError:
        return False
    return True


def ms_to_us(duration_ms: float) -> int:
    """Milliseconds as whole microseconds."""
    return int(duration_ms * US_PER_MS)


def is_integer_between(value: object, low: int, high: int) -> bool:
    """Whether the value is a whole number from `low` to `high`; a boolean is none."""
    return isinstance(value, int) and not isinstance(value, bool) and low <= value <= high


def number_or_each(value: object) -> int | str:
    """Validates the number of a destination, or "each"."""
    if value == "each" or is_integer_between(value, 0, INTEGER_LIMIT):
        return value  # type: ignore[return-value]
    raise ValueError(f'must be a number or "each", not {value!r}')


def integer_or_told(value: object) -> int | str:
    """Validates the amount of a budget, or "told": as it is announced."""
    if value == "told" or is_integer_between(value, 1, INTEGER_LIMIT):
        return value  # type: ignore[return-value]
    raise ValueError(f'must be a whole number from 1 to {INTEGER_LIMIT} or "told", not {value!r}')


Address = Annotated[Dial, PlainValidator(parse_address)]
NonNegative = Annotated[float, number_between(0, FIGURE_LIMIT)]
AtLeastOne = Annotated[float, number_between(1, FIGURE_LIMIT)]
PositiveInt = Annotated[int, number_between(1, INTEGER_LIMIT)]


class EndpointTable(Table):
    """An entry of `[[endpoints]]`."""

    id: str
    destination: Annotated[int, number_between(0, INTEGER_LIMIT)]
    dial: Address
    state: Literal["ready", "draining"] = "ready"
    zone: str = ""
    rate: NonNegative = 1.0
    own_limit: bool = False

    @model_validator(mode="after")
    def check_id(self) -> Self:
        """An endpoint has an id."""
        if not self.id:
            raise ValueError("id: must not be empty")
        return self

    def build(self) -> StaticEndpoint:
        """The endpoint that the table names."""
        state = EndpointState(self.state)
        kind = "apart" if self.own_limit else "plain"
        endpoint = Endpoint(self.id, self.destination, state, kind, self.zone, self.rate)
        return StaticEndpoint(endpoint, self.dial)


class Endpoints(Table):
    """A file that names endpoints."""

    endpoints: tuple[EndpointTable, ...] = ()

    @model_validator(mode="after")
    def check_ids(self) -> Self:
        """No two endpoints have the same id."""
        faults, names = [], set[str]()
        for index, endpoint in enumerate(self.endpoints):
            if endpoint.id in names:
                faults.append(f"endpoints[{index}].id: {endpoint.id!r} is listed twice")
            names.add(endpoint.id)
        if faults:
            raise ValueError("\n".join(faults))
        return self


class BudgetTable(Table):
    """An entry of `[[budgets]]`."""

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
    def check_consistency(self) -> Self:
        """Its name, binding, amount and period fit together."""
        faults = []
        if not BUDGET_NAME.fullmatch(self.name):
            faults.append("name: must be letters, digits, dots and dashes, 48 of them at the most")
        if (self.of in CONCURRENCY_BUDGETS) is not (self.per_ms is None):
            faults.append("per_ms: must be told for what has a rate, and not for what is held at once")
        bindings = self.bindings()
        if len(bindings) != 1 or (self.of == "tenant") is not (bindings == ["tenant"]):
            kind = "tenant" if self.of == "tenant" else "destination, endpoint or zone"
            faults.append(f'{bindings[-1] if bindings else "destination"}: must name one {kind}, or "each"')
        if (self.whole is None) is (self.share is None) or (self.share and self.of != "repeats"):
            faults.append("whole: must be told, or for repeats a share in its place")
        if self.whole == "told" and (self.of != "calls" or bindings != ["destination"]):
            faults.append("whole: can be told for the calls of a destination alone")
        if faults:
            raise ValueError("\n".join(faults))
        return self

    def bindings(self) -> list[str]:
        """The names of what the budget is bound to; a valid one has one."""
        return [name for name in BUDGET_BINDINGS if getattr(self, name) not in ("", None)]

    def place(self) -> tuple[str, str, object]:
        """What the budget limits, what it is bound to and which one; no two budgets share it."""
        (binding,) = self.bindings()
        return self.of, binding, getattr(self, binding)

    def build(self) -> SharedBudget:
        """The budget that the table describes."""
        _, binding, value = self.place()
        return SharedBudget(
            name=self.name,
            of=self.of,
            by=binding,
            value=None if value == "each" else value,  # type: ignore[arg-type]
            whole=self.whole if isinstance(self.whole, int) else None,
            share=self.share,
            span=None if self.per_ms is None else ms_to_us(self.per_ms),
            floor=self.floor,
            lease=ms_to_us(self.lease_ms),
            slack=ms_to_us(self.slack_ms),
            held=ms_to_us(self.held_ms),
        )


@dataclass(frozen=True, slots=True)
class BudgetFault:
    """What is wrong with one budget beside the others.

    Attributes:
        index: Of the budget in its list.
        field: Of its table.
        text: What is wrong.
    """

    index: int
    field: str
    text: str


def find_budget_faults(budgets: Sequence[BudgetTable], size: int) -> list[BudgetFault]:
    """Names used twice, two budgets over one thing, and floors that a fleet of `size` can't keep."""
    faults, names, places = [], set[str](), set[tuple[str, str, object]]()
    for index, budget in enumerate(budgets):
        if budget.name in names:
            faults.append(BudgetFault(index, "name", f"{budget.name!r} is there twice"))
        if budget.place() in places:
            faults.append(BudgetFault(index, "of", "two budgets over one thing"))
        if isinstance(budget.whole, int) and budget.floor * size > budget.whole:
            text = f"{budget.floor} for each of {size} is over the whole"
            faults.append(BudgetFault(index, "floor", text))
        names.add(budget.name)
        places.add(budget.place())
    return faults
