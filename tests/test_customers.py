"""Settings of any customer: drawn over all that the protocol allows, they start, and the rules hold on any
stream of events, in the module alone. Times are us."""

import random
import tomllib
from collections import defaultdict
from pathlib import Path
from typing import Any

from helpers import ENV, MS, SECOND
from hypothesis import given, settings
from hypothesis import strategies as st

from message_sender import Dispatcher
from message_sender.configuration.settings import decode_settings
from message_sender.policy.actions import Fail, PolicyAction, Reject, Send
from message_sender.policy.events import AttemptEnded, EndpointsUpdated, MessageAccepted, PolicyEvent
from message_sender.policy.model import (
    NEVER_RAN,
    Effect,
    Endpoint,
    EndpointState,
    ListingKind,
    Outcome,
    Settings,
)

SITES = sorted((Path(__file__).parent.parent / "deploy" / "sites").glob("*.toml"))
NAMES = st.text(st.characters(codec="utf-8", exclude_categories=("Cs", "Cc")), min_size=1, max_size=12)


@st.composite
def classes(draw: st.DrawFn, name: str) -> dict[str, Any]:
    aim = draw(st.integers(50 * MS, 10 * SECOND))
    effect = draw(st.sampled_from(["repeatable", "by_key", "once"]))
    told = {
        "name": name,
        "aim": aim,
        "deadline": draw(st.integers(aim, 60 * SECOND)),
        "credit": draw(st.floats(0, 1000)),
        "late_worth": draw(st.floats(0, 1)),
        "semantics": effect,
        "serial_by_key": draw(st.booleans()),
    }
    if effect == "by_key":
        told["dedup_window"] = draw(st.integers(1, 20 * SECOND))
        told["key_scope"] = draw(st.sampled_from(["all", "zone"]))
    return told


@st.composite
def customers(draw: st.DrawFn) -> dict[str, Any]:
    """A settings object, as an instance is told it."""
    names = draw(st.lists(NAMES, min_size=1, max_size=5, unique=True))
    zones = draw(st.lists(NAMES, min_size=1, max_size=4, unique=True))
    models = draw(st.lists(NAMES, min_size=1, max_size=3, unique=True))
    limits = {
        "conn_idle": draw(st.integers(SECOND, 60 * SECOND)),
        "attempts_cap": draw(st.integers(1, 9)),
        "cancelling": draw(st.booleans()),
        "max_open": draw(st.integers(1, 60)),
        "max_retry_after": draw(st.sampled_from([0, 2 * SECOND])),
        "retry_after": True,
        "connect_timeout": draw(st.integers(100 * MS, 3 * SECOND)),
    }
    safety = {
        "ask_within": draw(st.integers(SECOND, 60 * SECOND)),
        "cold": draw(st.integers(SECOND, 30 * SECOND)),
        "cold_from": draw(st.floats(0.05, 1)),
        "drain_grace": draw(st.integers(0, SECOND)),
        "fall_multiple": draw(st.floats(1, 4)),
        "key_quiet": draw(st.integers(0, SECOND)),
    }
    special = {
        "batch_by_kind": [draw(st.integers(1, 4)) for _ in models],
        "own_limits": [draw(st.booleans()) for _ in models],
        "slots": draw(st.integers(1, 40)),
        "loses_worth": draw(st.sampled_from(["line", "halves"])),
        "zone_fee": [draw(st.floats(0, 0.2)) for _ in zones],
    }
    tenants = draw(st.lists(NAMES, max_size=4))
    shares = [{"name": each, "quota_per_s": draw(st.floats(0, 50))} for each in tenants]
    return ENV | {
        "limits": limits,
        "safety": safety,
        "specifics": special,
        "services": [draw(classes(each)) for each in names],
        "models": models,
        "zones": zones,
        "locality": draw(st.sampled_from(zones)),
        "tick": draw(st.integers(MS, 20 * MS)),
        "fleet_size": draw(st.sampled_from([1, 2, 5, 40, 200])),
        "customers": shares,
        "over_share_worth": draw(st.floats(0, 1)),
        "membership_mode": draw(st.sampled_from(["pushed", "on_request"])),
        "weight_kind": draw(st.sampled_from(["none", "nominal"])),
    }


class Watch:
    """The rules as a plain model sees them, of the module's actions alone."""

    def __init__(self, told: Settings) -> None:
        self.told, self.classes = told, {each.name: each for each in told.classes}
        self.taken: dict[str, MessageAccepted] = {}
        self.until: dict[str, int] = {}
        self.risky: dict[str, int] = {}  # sending of the first attempt that may have run
        self.out: dict[str, tuple[int, str, int]] = {}  # attempt, endpoint, when it went
        self.ended: set[str] = set()
        self.drained: set[str] = set()
        self.lines: dict[str, list[str]] = defaultdict(list)

    def hears(self, now: int, action: PolicyAction) -> None:
        match action:
            case Send(name, endpoint, _, number):
                self.sends(now, name, endpoint, number)
            case Reject(name) | Fail(name):
                assert name not in self.ended, "two ends"
                kind = self.classes[self.taken[name].message_class]
                if isinstance(action, Reject) and name in self.risky:
                    assert kind.effect is not Effect.UNSAFE, "a refusal of what may have run"
                self.over(name)

    def sends(self, now: int, name: str, endpoint: str, number: int) -> None:
        kind = self.classes[self.taken[name].message_class]
        assert name not in self.out, "two attempts at once"
        assert name not in self.ended and now < self.until[name], "sent after its end"
        assert number < self.told.max_attempts, "more attempts than are allowed"
        assert endpoint not in self.drained, "sent where a drain was told"
        if name in self.risky:
            assert kind.effect is not Effect.UNSAFE, "an effect twice"
            assert kind.effect is Effect.IDEMPOTENT or now < self.risky[name] + kind.idempotency_window, (
                "past its window"
            )
        if kind.is_ordered and (key := self.taken[name].key):
            assert self.lines[key][0] == name, "out of order"
        self.out[name] = number, endpoint, now

    def over(self, name: str) -> None:
        self.ended.add(name)
        self.out.pop(name, None)
        line = self.lines[self.taken[name].key]
        if name in line:
            line.remove(name)

    def next_end(self, now: int) -> int:
        """When the next message has to end; now where none is left."""
        left = [self.until[name] - self.told.tick for name in self.taken if name not in self.ended]
        return max(min(left, default=now), now)

    def late(self, now: int) -> list[str]:
        waiting = set(self.taken) - self.ended - set(self.out)
        return [name for name in waiting if now > self.until[name]]


def play(told: Settings, zones: list[str], models: list[str], seed: int) -> None:
    rng, module, watch, now = random.Random(seed), Dispatcher(told, seed), Watch(told), 0
    ends = [*(each for each in Outcome), *[Outcome.OK] * 8]
    ready, draining = EndpointState.READY, EndpointState.DRAINING
    places = [
        Endpoint(f"e{n}", n % 4, ready, models[n % len(models)], zones[n % len(zones)], 5.0) for n in range(8)
    ]
    events: list[PolicyEvent] = [EndpointsUpdated(ListingKind.CACHED, tuple(places))]
    for number in range(120):
        for action in module.handle(now, events):
            watch.hears(now, action)
        assert not watch.late(now), "no end in time"
        events, now = [], now + rng.choice((MS, 20 * MS, 300 * MS, 2 * SECOND))
        kind = rng.choice(told.classes)
        if number < 90:
            key = rng.choice(("", "k1", "k2")) if kind.is_ordered else ""
            left = rng.randint(told.tick * 3, max(kind.deadline, told.tick * 3))
            taken = MessageAccepted(f"m{number}", kind.name, number % 4, left, "t", key)
            watch.taken[taken.message], watch.until[taken.message] = taken, now + left
            watch.lines[key].append(taken.message) if key else None
            events.append(taken)
        for name, (attempt, _, sent) in list(watch.out.items()):
            if rng.random() < 0.5:
                outcome = rng.choice(ends)
                del watch.out[name]
                if outcome not in NEVER_RAN:
                    watch.risky.setdefault(name, sent)
                wait = rng.choice((0, SECOND)) if outcome is Outcome.FULL else 0
                events.append(AttemptEnded(name, attempt, outcome, outcome is Outcome.OK, wait))
                if outcome is Outcome.OK:
                    watch.over(name)
        if rng.random() < 0.1:
            place = rng.choice(places)
            state = rng.choice((ready, draining))
            (watch.drained.add if state is draining else watch.drained.discard)(place.id)
            news = Endpoint(place.id, place.destination, state, place.kind, place.zone, place.scale)
            events.append(EndpointsUpdated(ListingKind.CHANGES, (news,)))
        now = watch.next_end(now) if number >= 90 else now


@given(customers(), st.integers(0, 10_000))
@settings(max_examples=150, deadline=None, derandomize=True)
def test_any_customers_settings_start_and_keep_the_rules(told: dict[str, Any], seed: int) -> None:
    play(decode_settings(told), told["zones"], told["models"], seed)


def test_sites_of_our_own_differ_in_what_a_customer_may_choose() -> None:
    pushed, asked = (tomllib.loads(each.read_text()) for each in reversed(SITES))
    assert {each["discovery"]["mode"] for each in (pushed, asked)} == {"push", "ask"}
    for each in (pushed, asked):
        assert {kind["effect"] for kind in each["class"]} == {"safe", "keyed", "unsafe"}
        assert round(sum(tenant["share"] for tenant in each["tenant"]), 9) == 1
    assert len(pushed["class"]) != len(asked["class"])
    assert not {kind["name"] for kind in pushed["class"]} & {kind["name"] for kind in asked["class"]}
