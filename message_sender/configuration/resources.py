"""Tables of endpoints and shared budgets, used by a sender's own file and by the control plane.

The format, with units, is described in docs/operate/serve.md and docs/operate/budgets.md.
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
NUMBER_LIMIT = 1e12  # upper bound of numbers for which no other bound is given
INTEGER_LIMIT = 10**9
PORT_LIMIT = 65_535
#: Kinds of objects that a budget may be bound to.
BUDGET_BINDINGS = ("destination", "endpoint", "zone", "tenant")
#: Resources of which a budget limits the concurrent use; budgets of the others limit a rate.
CONCURRENCY_BUDGETS = frozenset({"in_flight", "trials", "connections"})
BUDGET_NAME = re.compile(r"[A-Za-z0-9.-]{1,48}")
NOT_NUMERIC = (
    "must be an IP address and a port: a name would be looked up on the event loop for each datagram"
)
ADDRESS = re.compile(r"(\[[0-9a-fA-F:.]+\]|[^:\s]+):([0-9]{1,5})")


@dataclass(frozen=True, slots=True)
class SharedBudget:
    """A budget that all senders of the fleet spend from; durations are in microseconds.

    Attributes:
        name: The budget's name.
        resource: The limited resource, one of the values of `BudgetTable.of`.
        binding: The kind of object that the budget is bound to, one of `BUDGET_BINDINGS`.
        value: The object that the budget is bound to; None if each object of the kind has its own budget.
        limit: The amount of all senders together; None if the endpoint list or a response announces it, or if
            `retry_fraction` applies.
        retry_fraction: For retries: the number that each first attempt permits, in place of `limit`.
        window_us: The period of a rate limit; None if the budget limits concurrent use.
        floor: The amount that each sender always has.
        lease_us: The time for which a sender may use its share without a renewal.
        slack_us: The allowance for drift between two clocks.
        max_hold_us: The longest that one unit is in use.
    """

    name: str
    resource: str
    binding: str
    value: int | str | None
    limit: int | None
    retry_fraction: float | None
    window_us: int | None
    floor: int
    lease_us: int
    slack_us: int
    max_hold_us: int

    def is_template(self) -> bool:
        """Whether each destination, endpoint, zone or tenant has a budget of its own."""
        return self.value is None


def parse_address(value: object) -> Dial:
    """Parses `host:port` into host and port; an IPv6 address is in brackets.

    Raises:
        ValueError: The value has another form.
    """
    if not isinstance(value, str):
        raise ValueError(f"must be a string, not {value!r}")
    match = ADDRESS.fullmatch(value)
    if not match or int(match[2]) > PORT_LIMIT:
        raise ValueError(f"must be host:port, not {value!r}")
    return match[1].strip("[]"), int(match[2])


def find_node_faults(nodes: Sequence[tuple[str, Dial]]) -> list[str]:
    """Returns the faults of a list of control nodes, one line `path: text` for each.

    Args:
        nodes: The name and address of each node.
    """
    faults, names, addresses = [], set[str](), set[Dial]()
    for index, (name, address) in enumerate(nodes):
        if name in names:
            faults.append(f"nodes[{index}].name: {name!r} is listed twice")
        if address in addresses:
            faults.append(f"nodes[{index}].address: {address[0]}:{address[1]} is listed twice")
        if address[1] == 0:
            faults.append(f"nodes[{index}].address: must have a port above 0, not 0")
        elif not is_numeric(address):
            faults.append(f"nodes[{index}].address: {NOT_NUMERIC}")
        names.add(name)
        addresses.add(address)
    return faults


def is_numeric(address: Dial) -> bool:
    """Whether the host is an IP address, so that no datagram needs a name lookup."""
    try:
        ipaddress.ip_address(address[0])
    except ValueError:
        return False
    return True


def ms_to_us(duration_ms: float) -> int:
    """Converts milliseconds to whole microseconds."""
    return int(duration_ms * US_PER_MS)


def is_integer_between(value: object, low: int, high: int) -> bool:
    """Whether the value is an integer from `low` to `high`, both included; booleans do not count."""
    return isinstance(value, int) and not isinstance(value, bool) and low <= value <= high


def validate_destination(value: object) -> int | str:
    """Validates a destination's number or "each"."""
    if value == "each" or is_integer_between(value, 0, INTEGER_LIMIT):
        return value  # type: ignore[return-value]
    raise ValueError(f'must be a whole number from 0 to {INTEGER_LIMIT} or "each", not {value!r}')


def validate_limit(value: object) -> int | str:
    """Validates a budget's limit: an integer, or "told" for the rate that is announced."""
    if value == "told" or is_integer_between(value, 1, INTEGER_LIMIT):
        return value  # type: ignore[return-value]
    raise ValueError(f'must be a whole number from 1 to {INTEGER_LIMIT} or "told", not {value!r}')


Address = Annotated[Dial, PlainValidator(parse_address)]
NonNegative = Annotated[float, number_between(0, NUMBER_LIMIT)]
AtLeastOne = Annotated[float, number_between(1, NUMBER_LIMIT)]
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
        """Checks that the endpoint has an id."""
        if not self.id:
            raise ValueError("id: must not be empty")
        return self

    def build(self) -> StaticEndpoint:
        """Returns the endpoint that the table describes."""
        state = EndpointState(self.state)
        kind = "apart" if self.own_limit else "plain"
        endpoint = Endpoint(self.id, self.destination, state, kind, self.zone, self.rate)
        return StaticEndpoint(endpoint, self.dial)


class Endpoints(Table):
    """The root table of a file that lists endpoints."""

    endpoints: tuple[EndpointTable, ...] = ()

    @model_validator(mode="after")
    def check_ids(self) -> Self:
        """Checks that no two endpoints have the same id."""
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
    destination: Annotated[int | str, PlainValidator(validate_destination)] | None = None
    endpoint: str = ""
    zone: str = ""
    tenant: str = ""
    whole: Annotated[int | str, PlainValidator(validate_limit)] | None = None
    share: Annotated[float, number_between(0.001, 100)] | None = None
    per_ms: Annotated[float, number_between(10, 3_600_000)] | None = None
    floor: Annotated[int, number_between(0, INTEGER_LIMIT)] = 0
    lease_ms: Annotated[float, number_between(200, 60_000)] = 2000.0
    slack_ms: Annotated[float, number_between(0, 1000)] = 10.0
    held_ms: Annotated[float, number_between(100, 600_000)] = 5000.0

    @model_validator(mode="after")
    def check_consistency(self) -> Self:
        """Checks the name, and that resource, binding, limit and period fit together."""
        faults = []
        if not BUDGET_NAME.fullmatch(self.name):
            faults.append(f"name: must be 1 to 48 letters, digits, dots and dashes, not {self.name!r}")
        if (self.of in CONCURRENCY_BUDGETS) is not (self.per_ms is None):
            if self.per_ms is None:
                faults.append(f"per_ms: is required with of = {self.of!r}, which limits a rate")
            else:
                faults.append(f"per_ms: is not allowed with of = {self.of!r}, which limits concurrent use")
        bindings = self.bindings()
        bound_to = " and ".join(bindings) or "none"
        if len(bindings) != 1 or (self.of == "tenant") is not (bindings == ["tenant"]):
            kind = "tenant" if self.of == "tenant" else "destination, endpoint or zone"
            key = bindings[-1] if bindings else "destination"
            faults.append(f'{key}: exactly one {kind} is required, or "each", not {bound_to}')
        if (self.whole is None) is (self.share is None) or (self.share and self.of != "repeats"):
            limits = [key for key in ("whole", "share") if getattr(self, key) is not None]
            given = " and ".join(limits) or "neither"
            faults.append(f"whole: is required, or share for repeats; got {given} with of = {self.of!r}")
        if self.whole == "told" and (self.of != "calls" or bindings != ["destination"]):
            faults.append(f'whole: "told" requires calls of a destination, not {self.of} of {bound_to}')
        if faults:
            raise ValueError("\n".join(faults))
        return self

    def bindings(self) -> list[str]:
        """Returns the kinds of objects that the table names; a valid table names exactly one."""
        return [name for name in BUDGET_BINDINGS if getattr(self, name) not in ("", None)]

    def scope(self) -> tuple[str, str, object]:
        """Returns the resource, the kind of binding and the bound value, which no two budgets may share."""
        (binding,) = self.bindings()
        return self.of, binding, getattr(self, binding)

    def build(self) -> SharedBudget:
        """Returns the budget that the table describes."""
        _, binding, value = self.scope()
        return SharedBudget(
            name=self.name,
            resource=self.of,
            binding=binding,
            value=None if value == "each" else value,  # type: ignore[arg-type]
            limit=self.whole if isinstance(self.whole, int) else None,
            retry_fraction=self.share,
            window_us=None if self.per_ms is None else ms_to_us(self.per_ms),
            floor=self.floor,
            lease_us=ms_to_us(self.lease_ms),
            slack_us=ms_to_us(self.slack_ms),
            max_hold_us=ms_to_us(self.held_ms),
        )


@dataclass(frozen=True, slots=True)
class BudgetFault:
    """A conflict of one budget with the others or with the size of the fleet.

    Attributes:
        index: The budget's position in the list.
        field: The key in the budget's table.
        text: A description of the conflict.
    """

    index: int
    field: str
    text: str


def find_budget_faults(budgets: Sequence[BudgetTable], size: int) -> list[BudgetFault]:
    """Returns the faults of a list of budgets as a whole.

    These are names used twice, budgets with the same scope, and floors whose sum over `size` senders exceeds
    the limit.
    """
    faults, names, scopes = [], set[str](), set[tuple[str, str, object]]()
    for index, budget in enumerate(budgets):
        if budget.name in names:
            faults.append(BudgetFault(index, "name", f"{budget.name!r} is listed twice"))
        if budget.scope() in scopes:
            resource, binding, value = budget.scope()
            text = f"another budget also limits {resource} of {binding} {value!r}"
            faults.append(BudgetFault(index, "of", text))
        if isinstance(budget.whole, int) and budget.floor * size > budget.whole:
            limit = f"{budget.whole // size} (a whole of {budget.whole} in a fleet of {size})"
            text = f"must be at most {limit}, not {budget.floor}"
            faults.append(BudgetFault(index, "floor", text))
        names.add(budget.name)
        scopes.add(budget.scope())
    return faults
