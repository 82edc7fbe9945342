"""The general configuration, for installations without the platform: a TOML file, or the same as a mapping.

`read` finds every fault at once, each with its path. The form, with units, is in docs/operate/serve.md.
"""

import re
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from elmglade import interface as face
from elmglade.directory.eject import Terms
from elmglade.directory.static import Dial, Place

MS = 1000  # us
EFFECTS = {each.value: each for each in face.Effect}
STATES = {"ready": face.EndpointState.READY, "draining": face.EndpointState.DRAINING}
HEADER_NAME = re.compile(r"[A-Za-z0-9!#$%&'*+.^_`|~-]{1,64}")
BLANK = ("authorization", "proxy-authorization", "cookie", "set-cookie")
ADDRESS = re.compile(r"(\[[0-9a-fA-F:.]+\]|[^:\s]+):([0-9]{1,5})")


@dataclass(frozen=True, slots=True)
class Fault:
    """What is wrong, and where: a path such as `classes.command.aim_ms`."""

    path: str
    text: str

    def __str__(self) -> str:
        return f"{self.path}: {self.text}"


class ConfigError(ValueError):
    """The configuration cannot be used; `faults` has all that is wrong with it."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("; ".join(map(str, faults)))
        self.faults = faults


@dataclass(frozen=True, slots=True)
class CaptureTo:
    """Where the traffic is written as capture files, and how much of it is kept."""

    folder: Path
    most_bytes: int  # of a file
    files: int
    blank: tuple[str, ...]  # headers whose values are not written


@dataclass(frozen=True, slots=True)
class Lists:
    """Files that name endpoints besides the configuration's own, the first one before the others."""

    files: tuple[Path, ...]
    share: float  # of a list that may vanish at once
    patience: int  # us for which more is doubted
    slow_start: int  # us over which the share of a new or returned endpoint grows; 0: not at all
    eject: Terms | None  # when an endpoint that fails among others is left out; None: never


@dataclass(frozen=True, slots=True)
class General:
    name: str
    listen: Dial
    state: Path | None
    seed: int
    disk_bytes: int
    sockets: int
    settings: face.Settings
    places: tuple[Place, ...]
    capture: CaptureTo | None = None
    lists: "Lists | None" = None


class Reader:
    """Takes values out of a mapping, notes what is wrong and goes on with something usable."""

    def __init__(self, told: Mapping[str, Any], path: str, faults: list[Fault]) -> None:
        self.told, self.path, self.faults = told, path, faults
        self.asked: set[str] = set()

    def at(self, name: str) -> str:
        return f"{self.path}.{name}" if self.path else name

    def wrong(self, name: str, text: str) -> None:
        self.faults.append(Fault(self.at(name), text))

    def take(self, name: str, kind: type, default: Any) -> Any:  # noqa: ANN401
        """A value of that kind; no default means that it is needed."""
        self.asked.add(name)
        if name not in self.told:
            if default is None:
                self.wrong(name, "is missing")
                return kind()
            return default
        value = self.told[name]
        if isinstance(value, int) and kind is float and not isinstance(value, bool):
            value = float(value)
        if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
            self.wrong(name, f"must be {NAMES[kind]}, not {value!r}")
            return kind() if default is None else default
        return value

    def number(self, name: str, default: float | None, least: float, most: float = 1e12) -> float:
        value: float = self.take(name, float, default)
        if not least <= value <= most and name in self.told:
            self.wrong(name, f"must be from {least:g} to {most:g}, not {value:g}")
        return value

    def whole(self, name: str, default: int | None, least: int, most: int = 10**9) -> int:
        value: int = self.take(name, int, default)
        if not least <= value <= most and name in self.told:
            self.wrong(name, f"must be from {least} to {most}, not {value}")
        return value

    def choice(self, name: str, choices: Mapping[str, Any], default: str | None) -> Any:  # noqa: ANN401
        value = self.take(name, str, default)
        if value not in choices:
            if name in self.told and isinstance(self.told[name], str):
                self.wrong(name, f"must be one of {', '.join(choices)}, not {value!r}")
            return next(iter(choices.values()))
        return choices[value]

    def dial(self, name: str, default: str | None = None) -> Dial:
        value = self.take(name, str, default)
        found = ADDRESS.fullmatch(value)
        if found and int(found[2]) <= 65535:
            return found[1].strip("[]"), int(found[2])
        if value:
            self.wrong(name, f"must be host:port, not {value!r}")
        return "", 0

    def inside(self, name: str) -> "Reader":
        return Reader(self.take(name, dict, {}), self.at(name), self.faults)

    def done(self) -> None:
        """Guards against a misspelt name that would silently leave a default."""
        for name in self.told:
            if name not in self.asked:
                self.wrong(name, "is not known here")


NAMES: dict[type, str] = {
    int: "a whole number",
    float: "a number",
    str: "a text",
    bool: "true or false",
    dict: "a table",
    list: "a list",
}


def read_class(name: str, at: Reader) -> face.MessageClass | None:
    before = len(at.faults)
    effect = at.choice("effect", EFFECTS, None)
    aim = int(at.number("aim_ms", None, 1) * MS)
    deadline = int(at.number("deadline_ms", None, 1) * MS)
    window = int(at.number("window_ms", 0.0, 0) * MS)
    by_zone, in_order = at.take("window_by_zone", bool, False), at.take("in_order", bool, False)
    worth = at.number("worth", 1.0, 0)
    late = at.number("late_worth", 0.3, 0, 1)
    at.done()
    if len(at.faults) == before:
        if aim > deadline:
            at.wrong("aim_ms", "must be no more than deadline_ms")
        if effect is face.Effect.KEYED and window <= 0:
            at.wrong("window_ms", "must be above 0 for a keyed class: how long repeats are dropped")
    if len(at.faults) > before:
        return None
    return face.MessageClass(name, aim, deadline, worth, late, effect, window, by_zone, in_order)


def read_place(at: Reader) -> Place | None:
    before = len(at.faults)
    name = at.take("id", str, None)
    destination = at.whole("destination", None, 0)
    dial = at.dial("dial")
    state = at.choice("state", STATES, "ready")
    zone, scale = at.take("zone", str, ""), at.number("rate", 1.0, 0)
    apart = at.take("own_limit", bool, False)
    at.done()
    if not name and len(at.faults) == before:
        at.wrong("id", "must not be empty")
    if len(at.faults) > before:
        return None
    kind = "apart" if apart else "plain"
    return Place(face.Endpoint(name, destination, state, kind, zone, scale), dial)


def read_places(top: Reader) -> list[Place]:
    places: list[Place] = []
    for number, each in enumerate(top.take("endpoints", list, [])):
        path = f"endpoints[{number}]"
        if not isinstance(each, dict):
            top.faults.append(Fault(path, "must be a table"))
            continue
        place = read_place(Reader(each, path, top.faults))
        if place and any(place.endpoint.id == other.endpoint.id for other in places):
            top.faults.append(Fault(f"{path}.id", f"{place.endpoint.id!r} is listed twice"))
        elif place:
            places.append(place)
    return places


def read_settings(
    top: Reader, limits: Reader, rules: Reader, classes: list[face.MessageClass]
) -> face.Settings | None:
    tenants = top.inside("tenants")
    shares = tuple((name, tenants.number(name, None, 0)) for name in tenants.told)
    before = len(top.faults)
    values: dict[str, Any] = {
        "slots": limits.whole("slots", 64, 1),
        "max_open": limits.whole("max_open", 1000, 1),
        "max_attempts": limits.whole("max_attempts", 6, 1, 100),
        "max_retry_after": int(limits.number("max_retry_after_ms", 2000.0, 0) * MS),
        "conn_idle": int(limits.number("idle_ms", 10_000.0, 1) * MS),
        "connect_timeout": int(limits.number("connect_timeout_ms", 1500.0, 1) * MS),
        "tick": int(rules.number("tick_ms", 5.0, 1, 100) * MS),
        "key_quiet": int(rules.number("key_quiet_ms", 100.0, 0) * MS),
        "drain_grace": int(rules.number("drain_grace_ms", 500.0, 0) * MS),
        "cold": int(rules.number("cold_ms", 13_000.0, 1) * MS),
        "cold_from": rules.number("cold_from", 0.2, 0.01, 1),
        "fall_multiple": rules.number("fall_multiple", 2.0, 0),
        "over_share_worth": rules.number("over_share_worth", 1.0, 0, 1),
        "rates_told": rules.take("rates_told", bool, False),
        "fleet_size": rules.whole("fleet_size", 1, 1),
    }
    zone = top.take("zone", str, "")
    if len(top.faults) > before or not classes:
        return None
    kinds = (("plain", face.Kind()), ("apart", face.Kind(apart=True)))
    try:
        return face.Settings(
            tuple(classes), kinds, zone=zone, tenants=shares, must_ask=True, ends_answered=True, **values
        )
    except ValueError as error:
        top.faults.append(Fault("rules", str(error)))
        return None


def read_lists(at: Reader, folder: Path) -> Lists | None:
    if not at.told:
        return None
    files = at.take("files", list, [])
    slow = int(at.number("slow_start_s", 0.0, 0, 3600) * 1e6)
    share = at.number("share", 0.5, 0, 1)
    patience = int(at.number("patience_s", 300.0, 0, 86_400) * 1e6)
    eject = at.inside("eject")
    terms = Terms(
        eject.whole("failures", 5, 1, 1000),
        int(eject.number("base_s", 30.0, 0.1, 3600) * 1e6),
        int(eject.number("longest_s", 300.0, 0.1, 86_400) * 1e6),
        eject.number("share", 0.5, 0, 1),
    )
    eject.done()
    if not all(isinstance(each, str) and each for each in files):
        at.wrong("files", "must be a list of paths")
    at.done()
    return Lists(
        tuple(folder / str(each) for each in files), share, patience, slow, terms if eject.told else None
    )


def read_capture(at: Reader, folder: Path) -> CaptureTo | None:
    """Where what is received and sent is written; nowhere where nothing is said."""
    if not at.told:
        return None
    where = at.take("folder", str, None)
    most, files = at.number("most_mb", 16.0, 0.1, 4096), at.whole("files", 4, 1, 1000)
    blank = at.take("blank", list, list(BLANK))
    if not all(isinstance(each, str) and HEADER_NAME.fullmatch(each) for each in blank):
        at.wrong("blank", "must be a list of header names")
    at.done()
    return CaptureTo(folder / where, int(most * 1e6), files, tuple(str(each) for each in blank))


def read(told: Mapping[str, Any], folder: Path = Path()) -> General:
    """The configuration in `told`, paths in it relative to `folder`. Raises ConfigError with all faults."""
    faults: list[Fault] = []
    top = Reader(told, "", faults)
    name = top.take("name", str, "elmglade")
    listen = top.dial("listen", "127.0.0.1:0")
    state = top.take("state", str, "")
    seed = top.whole("seed", 0, 0, 2**63)
    limits, rules = top.inside("limits"), top.inside("rules")
    disk = limits.number("disk_mb", 64.0, 0.01)
    sockets = limits.whole("sockets", 1024, 64)
    kinds = top.inside("classes")
    found = []
    for each in kinds.told:
        if isinstance(kinds.told[each], dict):
            found.append(read_class(each, Reader(kinds.told[each], kinds.at(each), faults)))
        else:
            kinds.wrong(each, "must be a table")
    if not kinds.told:
        top.wrong("classes", "must name at least one class")
    classes = [each for each in found if each]
    lists = read_lists(top.inside("directory"), folder)
    capture = read_capture(top.inside("capture"), folder)
    settings, places = read_settings(top, limits, rules, classes), read_places(top)
    for reader in (top, limits, rules):
        reader.done()
    if faults or settings is None:
        raise ConfigError(faults)
    where = folder / state if state else None
    size = int(disk * 1e6)
    return General(name, listen, where, seed, size, sockets, settings, tuple(places), capture, lists)


def read_endpoints(path: Path) -> list[Place]:
    """The endpoints in a TOML file that holds nothing else. Raises ConfigError, also where it is no TOML,
    and OSError."""
    faults: list[Fault] = []
    top = Reader(parse(path), "", faults)
    places = read_places(top)
    top.done()
    if faults:
        raise ConfigError(faults)
    return places


def parse(path: Path) -> dict[str, Any]:
    try:
        return tomllib.loads(path.read_text())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigError([Fault(str(path), str(error))]) from None


def load(path: Path) -> General:
    """The configuration in a TOML file. Raises ConfigError, also where the file is no TOML, and OSError."""
    return read(parse(path), path.parent)
