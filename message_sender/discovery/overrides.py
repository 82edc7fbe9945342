"""Overrides: temporary changes to endpoints by operators, independent of the directory. Pure.

The rules (`override_layer` applies them to the list):

- Each override has an author, a reason, a beginning and an end, at most `MAX_DURATION_US` apart.
- An override applies to the *name* of an endpoint, regardless of the endpoint's address. It applies again to
  an endpoint that is removed and then listed again under its name. While the endpoint is not listed, the
  override has no effect and is shown as ineffective.
- If two overrides conflict, *out of service* takes precedence over a weight and a pin; otherwise the newer
  override takes precedence.
- A *pin* sends messages to one endpoint of their destination: either all messages of a destination (its other
  endpoints are shown as draining), or those of a tenant or a key that are accepted while the pin is in force.
  If the pinned endpoint is draining, not listed or out of service, the pin has no effect: no override cancels
  a drain.
- An endpoint that is not listed as ready is unchanged: an override can take an endpoint out of service, but
  cannot put one into service.
- An override that has ended never comes into force again, not even if the clock is set back.

Times are microseconds since the epoch, on the sender's clock.
"""

from collections.abc import Iterable, Iterator
from dataclasses import asdict, dataclass, replace
from enum import Enum
from typing import Any

SECOND = 1_000_000
MAX_DURATION_US = 7 * 24 * 3600 * SECOND
WARNING_TIME_US = 15 * 60 * SECOND  # before the end, or half of the duration if that is shorter
MAX_OVERRIDES = 2_000
MAX_TEXT_LENGTH = 200  # characters of a text entered by an operator


class OverrideKind(Enum):
    """What an override does to its endpoint."""

    OUT = "out"
    WEIGHT = "weight"
    PIN = "pin"


class OverrideError(ValueError):
    """An override is invalid.

    Attributes:
        faults: All faults of the override.
    """

    def __init__(self, faults: list[str]) -> None:
        """Creates an error whose text lists all faults."""
        super().__init__("; ".join(faults))
        self.faults = faults


@dataclass(frozen=True, slots=True)
class Override:
    """An override. The names of its fields are keys on disk and in the management API.

    Attributes:
        name: A name that is never reused, such as `o17`.
        kind: What the override does.
        endpoint: Name of the endpoint that is taken out of service, weighted or pinned to.
        who: The author.
        why: The reason.
        begins: When the override comes into force.
        until: When the override ends.
        order: A sequence number that increases with each override set.
        weight: For a weight: the share of calls relative to the other endpoints, above 0, at most 100.
        destination: For a pin: the destination whose messages are pinned; -1 to pin a tenant or a key.
        tenant: For a pin: the tenant whose messages are pinned; otherwise empty.
        key: For a pin: the key whose messages are pinned; otherwise empty.
    """

    name: str
    kind: OverrideKind
    endpoint: str
    who: str
    why: str
    begins: int
    until: int
    order: int
    weight: float = 1.0
    destination: int = -1
    tenant: str = ""
    key: str = ""

    def is_active(self, now: int) -> bool:
        """Whether the override is in force."""
        return self.begins <= now < self.until

    def describe(self) -> str:
        """Returns a short description for logs."""
        return f"{self.kind.value} {self.endpoint}, by {self.who}"

    def warns_at(self) -> int:
        """Returns when the warning about the approaching end is logged."""
        return self.until - min(WARNING_TIME_US, (self.until - self.begins) // 2)

    def as_json(self) -> dict[str, Any]:
        """Returns the override as a JSON object."""
        return asdict(self) | {"kind": self.kind.value}

    @classmethod
    def from_json(cls, stored: dict[str, Any]) -> "Override":
        """Returns the override of a JSON object. Raises ValueError, KeyError or TypeError if invalid."""
        override = cls(**(stored | {"kind": OverrideKind(stored["kind"])}))
        if faults := override.find_faults():
            raise OverrideError(faults)
        return override

    def find_faults(self) -> list[str]:
        """Returns all faults of the override; empty if it is valid."""
        faults = self._find_faults_of_fields()
        targets = [self.destination != -1, self.tenant != "", self.key != ""]
        if self.kind is OverrideKind.PIN:
            is_negative = targets[0] and not faults and self.destination < 0
            if sum(targets) != 1 or is_negative:
                faults.append("a pin needs exactly one of destination, tenant and key")
        elif any(targets):
            faults.append("destination, tenant and key are allowed only for a pin")
        if not all(
            isinstance(each, str) and len(each) <= MAX_TEXT_LENGTH for each in (self.tenant, self.key)
        ):
            faults.append(f"tenant and key must be texts of at most {MAX_TEXT_LENGTH} characters")
        if not faults and not self.begins < self.until <= self.begins + MAX_DURATION_US:
            faults.append("until must be after begins, at most 7 days later")
        return faults

    def _find_faults_of_fields(self) -> list[str]:
        faults = []
        for name in ("name", "endpoint", "who", "why"):
            value = getattr(self, name)
            if not isinstance(value, str) or not value.strip() or len(value) > MAX_TEXT_LENGTH:
                faults.append(f"{name} must be a text of 1 to {MAX_TEXT_LENGTH} characters")
        for name in ("begins", "until", "order", "destination"):
            value = getattr(self, name)
            if isinstance(value, bool) or not isinstance(value, int):
                faults.append(f"{name} must be a whole number, not {value!r}")
        is_number = isinstance(self.weight, int | float) and not isinstance(self.weight, bool)
        if not is_number or not 0 < self.weight <= 100:
            faults.append(
                f"weight must be above 0 and at most 100, not {self.weight!r}; to send nothing, use kind out"
            )
        return faults


class OverrideBook:
    """The overrides that have not been removed.

    Attributes:
        overrides: The overrides by name, in the order in which they were set.
        last_number: Sequence number of the newest override ever set.
    """

    def __init__(self, overrides: Iterable[Override] = (), last_number: int = 0) -> None:
        """Creates a book with the overrides of earlier processes."""
        self.overrides = {each.name: each for each in overrides}
        self.last_number = max([last_number, *(each.order for each in self.overrides.values())])

    def set(
        self, kind: OverrideKind, endpoint: str, who: str, why: str, begins: int, until: int, now: int,
        weight: float = 1.0, destination: int = -1, tenant: str = "", key: str = "",
    ) -> Override:  # fmt: skip
        """Adds an override; the arguments are the fields of `Override`. Raises OverrideError if invalid."""
        number = self.last_number + 1
        pin = (destination, tenant, key)
        new = Override(f"o{number}", kind, endpoint, who, why, begins, until, number, weight, *pin)
        faults = new.find_faults()
        if not faults and until <= now:
            faults.append("until must be in the future")
        if len(self.overrides) >= MAX_OVERRIDES:
            faults.append(f"the limit of {MAX_OVERRIDES} overrides is reached")
        if faults:
            raise OverrideError(faults)
        self.last_number = number
        self.overrides[new.name] = new
        return new

    def end(self, name: str) -> Override:
        """Removes an override. Raises KeyError if there is none of this name."""
        return self.overrides.pop(name)

    def extend(self, name: str, until: int, now: int) -> Override:
        """Changes the end of an override. Raises KeyError if there is none, OverrideError if invalid."""
        extended = replace(self.overrides[name], until=until)
        faults = extended.find_faults()
        if not faults and until <= now:
            faults.append("until must be in the future")
        if faults:
            raise OverrideError(faults)
        self.overrides[name] = extended
        return extended

    def expire(self, now: int) -> list[Override]:
        """Removes the overrides that have ended and returns them."""
        expired = [each for each in self.overrides.values() if each.until <= now]
        for each in expired:
            del self.overrides[each.name]
        return expired

    def active(self, now: int) -> Iterator[Override]:
        """Yields the overrides in force, in the order in which they were set."""
        return (each for each in self.overrides.values() if each.is_active(now))

    def next_change(self, now: int) -> int | None:
        """Returns when an override next begins, warns or ends; None if none does after `now`."""
        times = (at for each in self.overrides.values() for at in (each.begins, each.warns_at(), each.until))
        return min((at for at in times if at > now), default=None)
