"""Any settings that the protocol allows start, and the policy's rules hold for any stream of events.

The tests draw a platform's settings objects and drive the policy module alone, without I/O. Times are in
microseconds.
"""

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
    values = {
        "name": name,
        "aim": aim,
        "deadline": draw(st.integers(aim, 60 * SECOND)),
        "credit": draw(st.floats(0, 1000)),
        "late_worth": draw(st.floats(0, 1)),
        "semantics": effect,
        "serial_by_key": draw(st.booleans()),
    }
    if effect == "by_key":
        values["dedup_window"] = draw(st.integers(1, 20 * SECOND))
        values["key_scope"] = draw(st.sampled_from(["all", "zone"]))
    return values


@st.composite
def settings_objects(draw: st.DrawFn) -> dict[str, Any]:
    """A settings object, as the platform passes it to an instance."""
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


class RuleChecker:
    """Checks the rules with a simple model that sees only the module's actions."""

    def __init__(self, config: Settings) -> None:
        self.config, self.classes = config, {each.name: each for each in config.classes}
        self.accepted: dict[str, MessageAccepted] = {}
        self.deadlines: dict[str, int] = {}
        # The send time of the first attempt that may have had an effect, by message.
        self.possibly_executed: dict[str, int] = {}
        # The number, endpoint and send time of the attempt in flight, by message.
        self.in_flight: dict[str, tuple[int, str, int]] = {}
        self.ended: set[str] = set()
        self.drained: set[str] = set()
        self.queues: dict[str, list[str]] = defaultdict(list)

    def check_action(self, now: int, action: PolicyAction) -> None:
        match action:
            case Send(name, endpoint, _, number):
                self.check_send(now, name, endpoint, number)
            case Reject(name) | Fail(name):
                assert name not in self.ended, "message ended twice"
                kind = self.classes[self.accepted[name].message_class]
                if isinstance(action, Reject) and name in self.possibly_executed:
                    assert kind.effect is not Effect.UNSAFE, (
                        "rejected although an attempt may have had an effect"
                    )
                self.end_message(name)

    def check_send(self, now: int, name: str, endpoint: str, number: int) -> None:
        kind = self.classes[self.accepted[name].message_class]
        assert name not in self.in_flight, "two attempts in flight"
        assert name not in self.ended and now < self.deadlines[name], "sent after its end or deadline"
        assert number < self.config.max_attempts, "more attempts than are allowed"
        assert endpoint not in self.drained, "sent to a draining endpoint"
        if name in self.possibly_executed:
            assert kind.effect is not Effect.UNSAFE, "a second attempt could repeat the effect"
            assert (
                kind.effect is Effect.IDEMPOTENT
                or now < self.possibly_executed[name] + kind.idempotency_window
            ), "retried after its idempotency window"
        if kind.is_ordered and (key := self.accepted[name].key):
            assert self.queues[key][0] == name, "out of order"
        self.in_flight[name] = number, endpoint, now

    def end_message(self, name: str) -> None:
        self.ended.add(name)
        self.in_flight.pop(name, None)
        queue = self.queues[self.accepted[name].key]
        if name in queue:
            queue.remove(name)

    def next_end(self, now: int) -> int:
        """Returns the time by which the next message must end; `now` if no message is left."""
        left = [self.deadlines[name] - self.config.tick for name in self.accepted if name not in self.ended]
        return max(min(left, default=now), now)

    def overdue(self, now: int) -> list[str]:
        """Returns the messages without an attempt in flight that are past their deadline."""
        waiting = set(self.accepted) - self.ended - set(self.in_flight)
        return [name for name in waiting if now > self.deadlines[name]]


def run_events(config: Settings, zones: list[str], models: list[str], seed: int) -> None:
    rng, module, checker, now = random.Random(seed), Dispatcher(config, seed), RuleChecker(config), 0
    outcomes = [*(each for each in Outcome), *[Outcome.OK] * 8]
    ready, draining = EndpointState.READY, EndpointState.DRAINING
    endpoints = [
        Endpoint(f"e{n}", n % 4, ready, models[n % len(models)], zones[n % len(zones)], 5.0) for n in range(8)
    ]
    events: list[PolicyEvent] = [EndpointsUpdated(ListingKind.CACHED, tuple(endpoints))]
    for number in range(120):
        for action in module.handle(now, events):
            checker.check_action(now, action)
        assert not checker.overdue(now), "message not ended by its deadline"
        events, now = [], now + rng.choice((MS, 20 * MS, 300 * MS, 2 * SECOND))
        kind = rng.choice(config.classes)
        if number < 90:
            key = rng.choice(("", "k1", "k2")) if kind.is_ordered else ""
            left = rng.randint(config.tick * 3, max(kind.deadline, config.tick * 3))
            accepted = MessageAccepted(f"m{number}", kind.name, number % 4, left, "t", key)
            checker.accepted[accepted.message], checker.deadlines[accepted.message] = accepted, now + left
            checker.queues[key].append(accepted.message) if key else None
            events.append(accepted)
        for name, (attempt, _, sent) in list(checker.in_flight.items()):
            if rng.random() < 0.5:
                outcome = rng.choice(outcomes)
                del checker.in_flight[name]
                if outcome not in NEVER_RAN:
                    checker.possibly_executed.setdefault(name, sent)
                wait = rng.choice((0, SECOND)) if outcome is Outcome.FULL else 0
                events.append(AttemptEnded(name, attempt, outcome, outcome is Outcome.OK, wait))
                if outcome is Outcome.OK:
                    checker.end_message(name)
        if rng.random() < 0.1:
            endpoint = rng.choice(endpoints)
            state = rng.choice((ready, draining))
            (checker.drained.add if state is draining else checker.drained.discard)(endpoint.id)
            update = Endpoint(
                endpoint.id, endpoint.destination, state, endpoint.kind, endpoint.zone, endpoint.scale
            )
            events.append(EndpointsUpdated(ListingKind.CHANGES, (update,)))
        now = checker.next_end(now) if number >= 90 else now


@given(settings_objects(), st.integers(0, 10_000))
@settings(max_examples=150, deadline=None, derandomize=True)
def test_the_rules_hold_under_any_valid_settings(values: dict[str, Any], seed: int) -> None:
    run_events(decode_settings(values), values["zones"], values["models"], seed)


def test_the_example_sites_differ_in_the_options_that_a_customer_may_choose() -> None:
    push_site, poll_site = (tomllib.loads(each.read_text()) for each in reversed(SITES))
    assert {each["discovery"]["mode"] for each in (push_site, poll_site)} == {"push", "ask"}
    for each in (push_site, poll_site):
        assert {kind["effect"] for kind in each["class"]} == {"safe", "keyed", "unsafe"}
        assert round(sum(tenant["share"] for tenant in each["tenant"]), 9) == 1
    assert len(push_site["class"]) != len(poll_site["class"])
    assert not {kind["name"] for kind in push_site["class"]} & {kind["name"] for kind in poll_site["class"]}
