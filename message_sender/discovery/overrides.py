"""Overrides: what an engineer says of endpoints for a while, over whatever the directory says. Pure.

The rules:

- Each has who, why, a beginning and an end, at most `MOST_SPAN` apart; none is without an end.
- It holds on to the *name* of an endpoint, at whatever address that one is listed. An endpoint that is
  removed and listed again under its name is overridden again; while it is not listed, the override does
  nothing and is shown so.
- Of two that contradict each other, *out of service* goes before a weight and a pin; else the newer counts.
- A *pin* sends messages to one endpoint of their destination: all of a destination's (the others are told as
  draining), or those of a tenant or a key that are taken on while it stands. If that one drains, is not
  listed or is out of service, the pin is in vain and all is as without it: a drain
  binds under every override.
- What is not listed as ready stays what it is. An override can take an endpoint out, never put one in.
- One that has ended is gone for good: a clock that is set back does not bring it back.

Times are us since the epoch, on the sender's clock.
"""

from collections.abc import Iterable, Iterator
from dataclasses import asdict, dataclass, replace
from enum import Enum
from typing import Any, TypeVar

from message_sender.discovery.outlier import OutlierDetector
from message_sender.discovery.slow_start import SlowStart
from message_sender.policy.events import EndpointsUpdated
from message_sender.policy.model import Endpoint, EndpointState, ListingKind

SECOND = 1_000_000
MOST_SPAN = 7 * 24 * 3600 * SECOND
WARN_AHEAD = 15 * 60 * SECOND  # of an end; a shorter one warns at half of its span
MOST = 2_000  # overrides at once
MOST_TEXT = 200  # characters of who and of why


class OverrideKind(Enum):
    OUT = "out"
    WEIGHT = "weight"
    PIN = "pin"


class OverrideError(ValueError):
    """It cannot be set; `faults` names all that is wrong with it."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


@dataclass(frozen=True, slots=True)
class Override:
    name: str  # such as o17; no other one ever has it
    kind: OverrideKind
    endpoint: str
    who: str
    why: str
    begins: int
    until: int
    order: int  # counts up with each that is set
    weight: float = 1.0  # of kind WEIGHT: share of calls against the others', 0 to 100
    destination: int = -1  # of kind PIN: one of these three says whose messages
    tenant: str = ""
    key: str = ""

    def active(self, now: int) -> bool:
        return self.begins <= now < self.until

    def text(self) -> str:
        return f"{self.kind.value} {self.endpoint}, by {self.who}"

    def warns_at(self) -> int:
        return self.until - min(WARN_AHEAD, (self.until - self.begins) // 2)

    def as_json(self) -> dict[str, Any]:
        return asdict(self) | {"kind": self.kind.value}

    @classmethod
    def from_json(cls, told: dict[str, Any]) -> "Override":
        """Raises ValueError, KeyError or TypeError for what is none."""
        found = cls(**(told | {"kind": OverrideKind(told["kind"])}))
        if faults := found.faults():
            raise OverrideError(faults)
        return found

    def faults(self) -> list[str]:
        found = []
        for name in ("name", "endpoint", "who", "why"):
            value = getattr(self, name)
            if not isinstance(value, str) or not value.strip() or len(value) > MOST_TEXT:
                found.append(f"{name} must be a text of 1 to {MOST_TEXT} characters")
        for name in ("begins", "until", "order", "destination"):
            if isinstance(value := getattr(self, name), bool) or not isinstance(value, int):
                found.append(f"{name} must be a whole number, not {value!r}")
        if (
            isinstance(self.weight, bool)
            or not isinstance(self.weight, int | float)
            or not 0 < self.weight <= 100
        ):
            found.append(
                f"weight must be above 0 and at most 100, not {self.weight!r}; to send nothing, set it out"
            )
        told = [self.destination != -1, self.tenant != "", self.key != ""]
        if self.kind is OverrideKind.PIN and (
            sum(told) != 1 or (told[0] and found == [] and self.destination < 0)
        ):
            found.append("a pin needs a destination, a tenant or a key, one of them")
        if self.kind is not OverrideKind.PIN and any(told):
            found.append("destination, tenant and key are of pins")
        if not all(isinstance(each, str) and len(each) <= MOST_TEXT for each in (self.tenant, self.key)):
            found.append(f"tenant and key must be texts of at most {MOST_TEXT} characters")
        if not found and not self.begins < self.until <= self.begins + MOST_SPAN:
            found.append("it must end after it begins, at most 7 days later")
        return found


class OverrideBook:
    """The overrides that have not ended."""

    def __init__(self, found: Iterable[Override] = (), last: int = 0) -> None:
        """`last`: the number of the last one that was ever set."""
        self.overrides = {each.name: each for each in found}
        self.last = max([last, *(each.order for each in self.overrides.values())])

    def set(
        self, kind: OverrideKind, endpoint: str, who: str, why: str, begins: int, until: int, now: int,
        weight: float = 1.0, destination: int = -1, tenant: str = "", key: str = "",
    ) -> Override:  # fmt: skip
        """A new one. Raises OverrideError."""
        number = self.last + 1
        pin = (destination, tenant, key)
        new = Override(f"o{number}", kind, endpoint, who, why, begins, until, number, weight, *pin)
        faults = new.faults()
        if not faults and until <= now:
            faults.append("its end has passed")
        if len(self.overrides) >= MOST:
            faults.append(f"{MOST} overrides stand already")
        if faults:
            raise OverrideError(faults)
        self.last, self.overrides[new.name] = number, new
        return new

    def end(self, name: str) -> Override:
        """It ends now. Raises KeyError for one that is not there."""
        return self.overrides.pop(name)

    def extend(self, name: str, until: int, now: int) -> Override:
        """It ends at another time. Raises KeyError, and OverrideError."""
        longer = replace(self.overrides[name], until=until)
        if faults := longer.faults() or (["its end has passed"] if until <= now else []):
            raise OverrideError(faults)
        self.overrides[name] = longer
        return longer

    def expire(self, now: int) -> list[Override]:
        """Those that have ended; they are gone."""
        over = [each for each in self.overrides.values() if each.until <= now]
        for each in over:
            del self.overrides[each.name]
        return over

    def active(self, now: int) -> Iterator[Override]:
        """In the order in which they were set."""
        return (each for each in self.overrides.values() if each.active(now))

    def next_change(self, now: int) -> int | None:
        """When the next one begins, warns or ends; None where nothing will."""
        times = (at for each in self.overrides.values() for at in (each.begins, each.warns_at(), each.until))
        return min((at for at in times if at > now), default=None)


Name = TypeVar("Name", str, int)


def differ(old: dict[Name, Override], new: dict[Name, Override]) -> list[Name]:
    """Of what another override counts than before."""
    return [name for name in old | new if old.get(name) != new.get(name)]


@dataclass(slots=True)
class ActiveOverrides:
    """What counts at one moment."""

    out: dict[str, Override]
    weights: dict[str, Override]
    pins: dict[int, Override]
    tenants: dict[str, Override]
    keys: dict[str, Override]

    @classmethod
    def of(cls, active: Iterable[Override]) -> "ActiveOverrides":
        found = cls({}, {}, {}, {}, {})
        for each in active:  # in the order in which they were set: the last one stands
            if each.kind is OverrideKind.OUT:
                found.out[each.endpoint] = each
            elif each.kind is OverrideKind.WEIGHT:
                found.weights[each.endpoint] = each
            elif each.destination >= 0:
                found.pins[each.destination] = each
            elif each.tenant:
                found.tenants[each.tenant] = each
            else:
                found.keys[each.key] = each
        return found


class OverrideLayer:
    """The list as the directory tells it, under the overrides in force. It tells on what changes."""

    def __init__(
        self, book: OverrideBook, ramp: SlowStart | None = None, ejector: OutlierDetector | None = None
    ) -> None:
        self.book, self.ramp, self.ejector = book, ramp or SlowStart(), ejector
        self.now = 0  # as of the last look
        self.ejected: list[str] = []  # and not told on yet
        self.listed: dict[str, Endpoint] = {}  # as the directory has it
        self.members: dict[int, dict[str, None]] = {}  # destination: names of its endpoints
        self.shown: dict[str, Endpoint] = {}  # as it was told on
        self.force = ActiveOverrides.of(())

    def hear(self, told: EndpointsUpdated, now: int = 0) -> EndpointsUpdated:
        """What to tell on in place of what the directory says, under the overrides in force as of the last
        `turn`. Costs what is named, and the destinations of pins that it touches."""
        if told.listing is ListingKind.FAILED:
            return told
        self.now = max(self.now, now)
        fresh = self.fresh(told) if self.ramp.span else []
        if told.listing is not ListingKind.CHANGES:
            self.forget()
        touched: set[int] = set()
        for each in told.endpoints:
            touched |= self.note(each)
        named = dict.fromkeys(each.id for each in told.endpoints)
        for name in fresh:
            self.start_slowly(name)
        for destination in sorted(touched & self.force.pins.keys()):
            named |= dict.fromkeys(self.members.get(destination, ()))
        gone = {each.id: each for each in told.endpoints if each.id not in self.listed}
        return replace(told, endpoints=tuple(gone.get(name) or self.show(name) for name in named))

    def fresh(self, told: EndpointsUpdated) -> list[str]:
        """Ready ones of which no list had heard; of the first list of all, none."""
        if not self.listed:
            return []
        return [x.id for x in told.endpoints if x.id not in self.listed and x.state is EndpointState.READY]

    def forget(self) -> None:
        """A whole list comes: what is not in it is gone."""
        self.listed, self.members, self.shown = {}, {}, {}

    def note(self, each: Endpoint) -> set[int]:
        """The destinations that it concerns: one that it leaves may have been pinned to it."""
        before = self.listed.pop(each.id, None)
        if before:
            del self.members[before.destination][each.id]
        if each.state is not EndpointState.GONE:
            self.listed[each.id] = each
            self.members.setdefault(each.destination, {})[each.id] = None
        else:
            self.shown.pop(each.id, None)
            if self.ejector:
                self.ejector.forget(each.id)
        return {each.destination, before.destination if before else each.destination}

    def show(self, name: str) -> Endpoint:
        self.shown[name] = found = self.effective(self.listed[name])
        return found

    def effective(self, listed: Endpoint) -> Endpoint:
        """What is told of an endpoint under the overrides in force."""
        if listed.state is not EndpointState.READY:
            return listed
        pin = self.force.pins.get(listed.destination)
        if not self.in_service(listed) or (pin and pin.endpoint != listed.id and self.holds(pin)):
            return replace(listed, state=EndpointState.DRAINING)
        over = self.force.weights.get(listed.id)
        weight = (over.weight if over else listed.weight) * self.ramp.factor(listed.id, self.now)
        return listed if weight == listed.weight else replace(listed, weight=weight)

    def start_slowly(self, name: str) -> None:
        """Where others of its destination are there to take the rest."""
        others = self.members[self.listed[name].destination]
        if any(
            each != name and each in self.shown and self.shown[each].state is EndpointState.READY
            for each in others
        ):
            self.ramp.start(name, self.now)

    def outcome(self, name: str, served: bool, now: int) -> bool:
        """A call there has ended. True: the endpoint is ejected, and `turn` has something to tell."""
        if self.ejector is None or name not in self.listed:
            return False
        if served:
            self.ejector.served(name, now)
            return False
        members = self.members[self.listed[name].destination]
        in_service = [each for each in members if self.shown[each].state is EndpointState.READY]
        others = sum(each in self.ejector.out for each in members)
        if self.ejector.failed(name, now, in_service, others):
            self.ejected.append(name)
        return bool(self.ejected)

    def pin_of(self, tenant: str, key: str) -> str:
        """Where a message of that tenant and key is pinned to, "" if nowhere: the key's pin goes first. The
        decision module asks whether that endpoint is one of its destination."""
        pin = self.force.keys.get(key) or self.force.tenants.get(tenant)
        return pin.endpoint if pin else ""

    def holds(self, pin: Override) -> bool:
        """Whether a pin is not in vain."""
        to = self.listed.get(pin.endpoint)
        return to is not None and to.destination == pin.destination and self.in_service(to)

    def in_service(self, listed: Endpoint) -> bool:
        """Whether it is ready, and neither out of service nor ejected. Pins and weights come after that."""
        ejected = self.ejector is not None and listed.id in self.ejector.out
        return listed.state is EndpointState.READY and listed.id not in self.force.out and not ejected

    def turn(self, now: int) -> EndpointsUpdated | None:
        """What to tell when overrides were set, have begun or have ended; None where nothing changes. What
        comes back into service is named as returned: it is to be warmed."""
        self.now = max(self.now, now)
        before, self.force = self.force, ActiveOverrides.of(self.book.active(now))
        changes, returned = [], []
        for name in self.concerned(before, now):
            was, shown = self.shown.get(name), self.effective(self.listed[name])
            if shown == was:
                continue
            if was and was.state is not EndpointState.READY and shown.state is EndpointState.READY:
                returned.append(name)
                self.start_slowly(name)
            changes.append(self.show(name))
        if not changes:
            return None
        return EndpointsUpdated(ListingKind.CHANGES, tuple(changes), tuple(returned))

    def concerned(self, before: ActiveOverrides, now: int) -> list[str]:
        """Listed endpoints of which something else may have to be told than before."""
        named = dict.fromkeys([*self.ramp.turn(now), *self.ejected])
        named |= dict.fromkeys(self.ejector.turn(now) if self.ejector else ())
        named |= dict.fromkeys(differ(before.out, self.force.out))
        named |= dict.fromkeys(differ(before.weights, self.force.weights))
        self.ejected = []
        pinned = set(differ(before.pins, self.force.pins))
        pinned |= {self.listed[name].destination for name in named if name in self.listed}
        for destination in pinned:
            named |= dict.fromkeys(self.members.get(destination, ()))
        return [name for name in named if name in self.listed]

    def in_vain(self, now: int) -> dict[str, str]:
        """Overrides in force that change nothing, and why."""
        found = {}
        for each in self.book.active(now):
            if why := self.why_in_vain(each):
                found[each.name] = why
        return found

    def why_in_vain(self, each: Override) -> str:
        listed = self.listed.get(each.endpoint)
        if listed is None:
            return "its endpoint is not listed"
        if each.destination >= 0 and listed.destination != each.destination:
            return f"its endpoint is one of destination {listed.destination}"
        if listed.state is not EndpointState.READY:
            return "its endpoint drains"
        if each.kind is not OverrideKind.OUT and each.endpoint in self.force.out:
            return f"its endpoint is out of service by {self.force.out[each.endpoint].name}"
        others: dict[OverrideKind, Override | None] = {
            OverrideKind.OUT: self.force.out.get(each.endpoint),
            OverrideKind.WEIGHT: self.force.weights.get(each.endpoint),
            OverrideKind.PIN: self.force.pins.get(each.destination)
            or self.force.tenants.get(each.tenant)
            or self.force.keys.get(each.key),
        }
        other = others[each.kind]
        return f"{other.name} counts in its place" if other and other != each else ""

    def all_out(self) -> list[int]:
        """Destinations that have endpoints in the list and none left to send to, by overrides."""
        touched = {self.listed[name].destination for name in self.force.out if name in self.listed}
        return sorted(
            each
            for each in touched
            if any(self.listed[name].state is EndpointState.READY for name in self.members[each])
            and not any(self.shown[name].state is EndpointState.READY for name in self.members[each])
        )
