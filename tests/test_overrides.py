"""Overrides: compared with a simple model, on disk, over time, and in a running sender."""

import asyncio
import io
import json
import os
import struct
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from datetime import datetime, timedelta, tzinfo
from pathlib import Path
from typing import Any

import pytest
from helpers import MS, SECOND, World, endpoint, sent_messages
from hypothesis import given, settings
from hypothesis import strategies as st
from peers import run_async_test, with_timeout
from socket_faults import until

from message_sender.cli import main
from message_sender.configuration import general
from message_sender.control_socket import CONNECTIONS_LIMIT, REQUEST_BYTES_LIMIT, is_authorized, send_request
from message_sender.discovery import override_store as store_module
from message_sender.discovery.outlier import EjectionPolicy, OutlierDetector
from message_sender.discovery.overridden import OverriddenDirectory
from message_sender.discovery.override_layer import OverrideLayer
from message_sender.discovery.override_store import DAMAGED_FILE, LOG_FILE, OverrideStore
from message_sender.discovery.overrides import (
    MAX_DURATION_US,
    Override,
    OverrideBook,
    OverrideError,
    OverrideKind,
)
from message_sender.discovery.slow_start import SlowStart
from message_sender.discovery.static import StaticDirectory
from message_sender.discovery.time_text import format_time, parse_time
from message_sender.policy.actions import Send
from message_sender.policy.events import EndpointsUpdated, WakeUp
from message_sender.policy.model import Endpoint, EndpointState, ListingKind, Outcome
from message_sender.service.standalone import CompletionWriter, StandaloneSender
from message_sender.testbed.history import AttemptStarted, EndpointDrained, History
from message_sender.testbed.history_checker import ClassRule, HistoryChecker, Rules
from message_sender.testbed.http import HttpClient, HttpEndpoint
from message_sender.testbed.in_process_sender import running
from message_sender.testbed.script import EndpointBehavior, Script, ScriptedAnswer

T0 = 1_790_000_000 * SECOND
READY, DRAINING, GONE = EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE
NAMES = ("a", "b", "c", "d")


def set_out(book: OverrideBook, name: str, begins: int = T0, until: int = T0 + 60 * SECOND) -> Override:
    return book.set(OverrideKind.OUT, name, "me", "why", begins, until, T0)


# The resulting list, without I/O.


class EngineView:
    """The endpoint list that an engine derives from the updates alone."""

    def __init__(self) -> None:
        self.endpoints: dict[str, Endpoint] = {}

    def apply(self, update: EndpointsUpdated | None) -> None:
        if update is None:
            return
        if update.listing is ListingKind.FULL:
            self.endpoints = {}
        for each in update.endpoints:
            self.endpoints[each.id] = each
        self.endpoints = {name: each for name, each in self.endpoints.items() if each.state is not GONE}


def expected_list(listed: dict[str, Endpoint], book: OverrideBook, now: int) -> dict[str, Endpoint]:
    """A simple model of the rules: checks each endpoint against each override."""
    active = [each for each in book.overrides.values() if each.begins <= now < each.until]
    outs = {each.endpoint for each in active if each.kind is OverrideKind.OUT}
    expected = {}
    for name, entry in listed.items():
        pins = [
            pin for pin in active if pin.kind is OverrideKind.PIN and pin.destination == entry.destination
        ]
        weights = [
            override.weight
            for override in active
            if override.kind is OverrideKind.WEIGHT and override.endpoint == name
        ]
        state = entry.state
        if pins and state is READY and (pinned := listed.get(pins[-1].endpoint)):
            is_effective = (
                pinned.state is READY and pinned.destination == entry.destination and pinned.id not in outs
            )
            state = DRAINING if is_effective and pinned.id != name else state
        state = DRAINING if name in outs and state is READY else state
        weight = weights[-1] if weights and state is READY else 1.0
        expected[name] = endpoint(name, entry.destination, state=state, weight=weight)
    return expected


STEPS = st.one_of(
    st.tuples(
        st.just("list"), st.sampled_from(NAMES), st.integers(1, 2), st.sampled_from(list(EndpointState))
    ),
    st.tuples(st.just("full"), st.lists(st.sampled_from(NAMES), unique=True), st.integers(1, 2), st.none()),
    st.tuples(
        st.just("set"), st.sampled_from(list(OverrideKind)), st.sampled_from(NAMES), st.integers(1, 50)
    ),
    st.tuples(st.just("end"), st.integers(0, 5), st.none(), st.none()),
    st.tuples(st.just("pass"), st.integers(1, 30), st.none(), st.none()),
)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(st.lists(STEPS, max_size=25))
def test_published_list_equals_that_of_a_simple_model(steps: list[tuple[Any, ...]]) -> None:
    book, view, listed, now = OverrideBook(), EngineView(), {}, T0  # type: OverrideBook, EngineView, dict[str, Endpoint], int
    layer = OverrideLayer(book)
    for what, first, second, third in steps:
        if what == "list":
            each = endpoint(first, second, state=third)
            listed = {k: v for k, v in (listed | {first: each}).items() if v.state is not GONE}
            view.apply(layer.apply_update(EndpointsUpdated(ListingKind.CHANGES, (each,))))
        elif what == "full":
            listed = {name: endpoint(name, second) for name in first}
            view.apply(layer.apply_update(EndpointsUpdated(ListingKind.FULL, tuple(listed.values()))))
        elif what == "set":
            weight, to, begins = third / 5, 1 + third % 2, now + (third % 3) * SECOND
            to = to if first is OverrideKind.PIN else -1
            book.set(first, second, "me", "why", begins, begins + third * SECOND, now, weight, to)
        elif what == "end" and len(book.overrides) > first:
            book.end(list(book.overrides)[first])
        elif what == "pass":
            now += first * SECOND
        book.expire(now)
        view.apply(layer.refresh(now))
        assert view.endpoints == expected_list(listed, book, now)


def test_update_names_returned_endpoints_but_not_those_whose_drain_ended() -> None:
    book = OverrideBook()
    layer = OverrideLayer(book)
    layer.apply_update(EndpointsUpdated(ListingKind.FULL, (endpoint("a"), endpoint("b", state=DRAINING))))
    name = set_out(book, "a").name
    update = layer.refresh(T0)
    assert update and (update.endpoints[0].state, update.returned) == (DRAINING, ())
    book.end(name)
    update = layer.refresh(T0)
    assert update and (update.endpoints, update.returned) == ((endpoint("a"),), ("a",))
    assert layer.apply_update(EndpointsUpdated(ListingKind.CHANGES, (endpoint("b"),))).returned == ()


@pytest.mark.parametrize(
    ("kind", "name", "fields", "reason"),
    [
        (OverrideKind.OUT, "x", {}, "its endpoint is not listed"),
        (OverrideKind.OUT, "d", {}, "its endpoint drains"),
        (OverrideKind.PIN, "d", {"destination": 1}, "its endpoint drains"),
        (OverrideKind.PIN, "a", {"destination": 2}, "its endpoint is one of destination 1"),
        (OverrideKind.WEIGHT, "b", {"weight": 2.0}, "its endpoint is out of service by o1"),
        (OverrideKind.OUT, "a", {}, ""),
    ],
)
def test_ineffective_override_has_a_reason(
    kind: OverrideKind, name: str, fields: dict[str, Any], reason: str
) -> None:
    book = OverrideBook()
    layer = OverrideLayer(book)
    set_out(book, "b")
    layer.apply_update(
        EndpointsUpdated(ListingKind.FULL, (endpoint("a"), endpoint("b"), endpoint("d", state=DRAINING)))
    )
    new = book.set(kind, name, "me", "why", T0, T0 + SECOND, T0, **fields)
    layer.refresh(T0)
    assert layer.ineffective(T0).get(new.name, "") == reason
    set_out(book, "a")
    layer.refresh(T0)
    assert layer.unserved_destinations() == [1]


def test_new_and_returned_endpoints_among_others_get_a_slow_start() -> None:
    book, view = OverrideBook(), EngineView()
    layer = OverrideLayer(book, SlowStart(8 * SECOND))
    view.apply(layer.apply_update(EndpointsUpdated(ListingKind.FULL, (endpoint("a"), endpoint("x", 2))), T0))
    view.apply(
        layer.apply_update(EndpointsUpdated(ListingKind.CHANGES, (endpoint("b"), endpoint("y", 3))), T0)
    )
    assert {name: each.weight for name, each in view.endpoints.items()} == {
        "a": 1,
        "x": 1,
        "b": 1 / 8,
        "y": 1,
    }
    weights, now = [], T0
    while (due := layer.slow_start.next_change(now)) is not None:
        now = due
        view.apply(layer.refresh(now))
        weights.append(view.endpoints["b"].weight)
    assert weights == [step / 8 for step in (2, 3, 4, 5, 6, 7, 8, 8)] and now == T0 + 8 * SECOND + 1
    override = set_out(book, "a", now, now + SECOND)
    view.apply(layer.refresh(now))
    book.end(override.name)
    view.apply(layer.refresh(now))
    assert view.endpoints["a"].weight == 1 / 8


def test_an_outlier_is_ejected_for_longer_each_time_and_never_the_last_one() -> None:
    outliers, now = (
        OutlierDetector(EjectionPolicy(failures=3, base_duration_us=10, max_duration_us=25, max_share=0.5)),
        100,
    )

    def is_ejected_by_failures(name: str, in_service: list[str], times: int = 3) -> bool:
        return any(
            [
                outliers.record_failure(name, now, in_service, len(outliers.ejected_until))
                for _ in range(times)
            ]
        )

    # No other endpoint has served a call: the whole destination fails.
    assert not is_ejected_by_failures("a", ["a", "b"], 9)
    outliers.record_success("b", now)
    assert is_ejected_by_failures("a", ["a", "b"], 1) and outliers.ejected_until == {"a": 110}
    assert not is_ejected_by_failures("b", ["b"], 9)  # the last one in service
    outliers.record_success("c", now)
    assert not is_ejected_by_failures("b", ["b", "c"], 9)  # two of three are more than half
    for ejected_until in (140, 165):
        now = outliers.next_change() or 0
        assert outliers.expire(now) == ["a"] and not outliers.ejected_until
        outliers.record_success("c", now + 10 if ejected_until == 140 else now)
        now += 10 if ejected_until == 140 else 0
        assert is_ejected_by_failures("a", ["a", "b", "c"]) and outliers.ejected_until == {"a": ejected_until}
    outliers.record_success("a", now)
    assert outliers.records["a"].ejections == 2


@run_async_test
async def test_sender_ejects_a_failing_endpoint_and_returns_it_to_service(state: Path) -> None:
    async with service(state, {"eject": {"failures": 2, "base_s": 0.5}}) as world:
        world.endpoints[0].script.rule = lambda message: ScriptedAnswer(EndpointBehavior.ERROR)
        outliers = world.sender.overrides.layer.outliers
        # An endpoint that has just failed is retried after 2 s.
        while outliers and "e0" not in outliers.ejected_until:
            await world.deliver(1)
        assert world.sender.engine.dispatcher.endpoints.keys() == {"e1"}
        world.endpoints[0].script.rule = lambda message: None
        await world.until(lambda: world.sender.engine.dispatcher.endpoints.keys() == {"e0", "e1"})
        assert (await world.deliver(10))["e0"] > 0


INVALID: list[tuple[dict[str, Any], str]] = [
    ({"who": " "}, "who must be"), ({"why": "w" * 300}, "why must be"),
    ({"until": T0}, "until must be after begins"),
    ({"until": T0 + MAX_DURATION_US + 1}, "at most 7 days"), ({"weight": 0}, "use kind out"),
    ({"weight": float("nan")}, "weight must be"),
    ({"kind": OverrideKind.PIN}, "needs exactly one of destination, tenant and key"),
    ({"kind": OverrideKind.PIN, "destination": 1, "tenant": "t"}, "exactly one of"),
    ({"key": "k"}, "allowed only for a pin"),
    ({"until": "soon"}, "until must be a whole number"),
    ({"begins": T0 - 9, "until": T0 - 5}, "must be in the future"),
]  # fmt: skip


@pytest.mark.parametrize(("change", "text"), INVALID)
def test_invalid_override_is_rejected_with_a_reason_and_changes_nothing(
    change: dict[str, Any], text: str
) -> None:
    arguments: dict[str, Any] = {"kind": OverrideKind.OUT, "endpoint": "a", "who": "me", "why": "why"}
    book = OverrideBook()
    with pytest.raises(OverrideError, match=text):
        book.set(**(arguments | {"begins": T0, "until": T0 + SECOND, "now": T0} | change))
    assert not book.overrides and book.last_number == 0


def test_a_pin_to_an_ejected_endpoint_has_no_effect() -> None:
    """Otherwise no endpoint of the destination would be in service."""
    book, view = OverrideBook(), EngineView()
    layer = OverrideLayer(book, outliers=OutlierDetector(EjectionPolicy(failures=1)))
    view.apply(layer.apply_update(EndpointsUpdated(ListingKind.FULL, (endpoint("a"), endpoint("b")))))
    layer.record_outcome("b", True, T0)
    assert layer.record_outcome("a", False, T0)
    book.set(OverrideKind.PIN, "a", "me", "why", T0, T0 + SECOND, T0, destination=1)
    view.apply(layer.refresh(T0))
    assert [view.endpoints[name].state for name in "ab"] == [DRAINING, READY]


def test_ended_override_stays_ended_when_the_clock_goes_back() -> None:
    book = OverrideBook()
    set_out(book, "a")
    assert [each.endpoint for each in book.expire(T0 + 60 * SECOND)] == ["a"]
    assert not list(book.active(T0)) and set_out(book, "a").name == "o2"


# Times.


class Zurich(tzinfo):
    """Summer time from 29 March 2026, 01:00 UTC, to 25 October 2026, 01:00 UTC."""

    def utcoffset(self, when: datetime | None) -> timedelta:
        return timedelta(hours=1) + self.dst(when)

    def dst(self, when: datetime | None) -> timedelta:
        assert when
        naive = when.replace(tzinfo=None, fold=0)
        begins, ends = datetime(2026, 3, 29, 2), datetime(2026, 10, 25, 3)
        twice = ends - timedelta(hours=1) <= naive < ends
        summer = begins <= naive < ends and not (twice and when.fold)
        return timedelta(hours=summer)

    def tzname(self, when: datetime | None) -> str:
        return "there"


@pytest.mark.parametrize(
    ("text", "now", "expected"),
    [
        ("+45m", "2026-12-01T21:00:00+01:00", "2026-12-01T21:45:00+01:00"),
        ("+1d2h3s", "2026-12-01T21:00:00+01:00", "2026-12-02T23:00:03+01:00"),
        ("22:30", "2026-12-01T21:00:00+01:00", "2026-12-01T22:30:00+01:00"),
        ("06:00", "2026-12-01T21:00:00+01:00", "2026-12-02T06:00:00+01:00"),
        ("06:00", "2028-02-28T21:00:00+01:00", "2028-02-29T06:00:00+01:00"),  # a leap day
        ("06:00", "2026-03-28T21:00:00+01:00", "2026-03-29T06:00:00+02:00"),  # the night is an hour shorter
        ("06:00", "2026-10-24T21:00:00+02:00", "2026-10-25T06:00:00+01:00"),
        ("2026-12-24T22:30", "2026-12-01T21:00:00+01:00", "2026-12-24T22:30:00+01:00"),
        ("2026-12-24T22:30+00:00", "2026-12-01T21:00:00+01:00", "2026-12-24T23:30:00+01:00"),
    ],
)
def test_accepted_formats_of_a_time(text: str, now: str, expected: str) -> None:
    now_us, expected_us = (
        round(datetime.fromisoformat(each).timestamp()) * SECOND for each in (now, expected)
    )
    assert parse_time(text, now_us, Zurich()) == expected_us


@pytest.mark.parametrize("text", ["", "+", "25:00", "7:00", "+5", "soon", "+m", "-5m", "2026-13-01"])
def test_text_that_is_not_a_time_is_rejected(text: str) -> None:
    with pytest.raises(ValueError, match="expected a time such as"):
        parse_time(text, T0)


def test_time_is_shown_with_its_distance_in_the_future_and_the_past() -> None:
    assert format_time(T0 + 5400 * SECOND, T0, Zurich()).endswith("(in 1 h 30 min)")
    assert format_time(T0 - 5 * SECOND, T0, Zurich()).endswith("(5 s ago)")


# On disk.


@pytest.mark.parametrize("call", ["write", "fsync", "replace"])
def test_failed_save_leaves_the_previous_overrides(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, call: str
) -> None:
    store, book = OverrideStore(tmp_path), OverrideBook()
    set_out(book, "a")
    store.save(book)
    set_out(book, "b")

    def fail(*args: object, **kwargs: object) -> None:
        if call == "write":
            (tmp_path / "overrides.json.new").write_text('{"vers')
        raise OSError(28, "No space left on device")

    with monkeypatch.context() as patched, pytest.raises(OSError, match="No space"):
        patched.setattr(*((store_module.json, "dump") if call == "write" else (store_module.os, call)), fail)
        store.save(book)
    assert [each.endpoint for each in OverrideStore(tmp_path).load().overrides.values()] == ["a"]
    store.save(book)
    assert [each.endpoint for each in OverrideStore(tmp_path).load().overrides.values()] == ["a", "b"]


@pytest.mark.parametrize(
    "text", ["", "[]", "{", '{"version": 2}', '{"version": 1, "last": 3, "overrides": [{}]}']
)
def test_damaged_file_is_renamed_and_logged_and_no_override_is_active(
    tmp_path: Path, text: str, caplog: pytest.LogCaptureFixture
) -> None:
    (tmp_path / "overrides.json").write_text(text)
    assert not OverrideStore(tmp_path).load().overrides
    assert (tmp_path / DAMAGED_FILE).read_text() == text and "overrides not loaded" in caplog.text


# Decisions of the delivery policy.


@pytest.mark.parametrize("weights", [(1.0, 1.0, 2.0), (1.0, 10.0, 0.5), (100.0, 1.0, 1.0)])
def test_calls_are_distributed_by_weight(weights: tuple[float, ...]) -> None:
    world = World(*(endpoint(name, weight=weight) for name, weight in zip("abc", weights, strict=True)))
    count, calls = Counter[str](), 10_000
    for _ in range(calls):
        (action,) = [each for each in world.accept(after=MS) if isinstance(each, Send)]
        count[action.endpoint] += 1
        world.end_attempt(action.message, Outcome.OK, after=MS)
    for name, weight in zip("abc", weights, strict=True):
        assert abs(count[name] / calls - weight / sum(weights)) < 0.02


ZONES = {"a": "x", "b": "y"}


@pytest.mark.parametrize(
    ("kind", "pinned", "change", "expected"),
    [
        ("safe", "b", None, ["b", "b"]),
        ("safe", "z", None, ["a", "b"]),  # not an endpoint of the destination: the pin has no effect
        ("safe", "b", endpoint("b", state=DRAINING, zone="y"), ["b", "a"]),
        ("zoned", "b", "ran in x", ["a", "a"]),  # the rule on repeats takes precedence over the pin
    ],
)
def test_message_is_sent_to_its_pinned_endpoint_while_that_is_available(
    kind: str,
    pinned: str,
    change: Endpoint | str | None,
    expected: list[str],
) -> None:
    world = World(*(endpoint(name, zone=zone) for name, zone in ZONES.items()))
    first = world.accept(kind, pinned_endpoint="a" if change == "ran in x" else pinned)
    first_endpoints = [each.endpoint for each in first if isinstance(each, Send)]
    if change == "ran in x":
        world.dispatcher.messages["m1"].pinned_endpoint = "b"
    elif isinstance(change, Endpoint):
        world.step(EndpointsUpdated(ListingKind.CHANGES, (change,)))
    retries = world.end_attempt("m1", Outcome.RESET, after=50 * MS) + world.step(WakeUp(), after=SECOND)
    assert first_endpoints + [each.endpoint for each in retries if isinstance(each, Send)] == expected


def test_waiting_pinned_message_does_not_delay_others() -> None:
    world = World(*(endpoint(name, kind="apart") for name in "ab"))
    world.accept("safe", pinned_endpoint="b")
    world.end_attempt("m1", Outcome.FULL, wait=5 * SECOND)
    assert sent_messages(world.accept(pinned_endpoint="b", after=MS)) == []
    assert sent_messages(world.accept(after=MS)) == ["m3"]
    assert sorted(sent_messages(world.step(WakeUp(), after=5 * SECOND) + world.step(WakeUp(), after=SECOND)))


@pytest.mark.parametrize("others", [0, 1])
@pytest.mark.parametrize("asleep", [False, True])
def test_destination_is_warmed_up_after_all_its_endpoints_were_out_of_service(
    others: int, asleep: bool
) -> None:
    listed = (endpoint("a"), *(endpoint(f"b{number}") for number in range(others)))
    world = World(*listed)
    if not asleep:
        world.accept()
        world.end_attempt("m1", Outcome.OK)
    returned = EndpointsUpdated(ListingKind.CHANGES, (endpoint("a"),), ("a",))
    world.step(EndpointsUpdated(ListingKind.CHANGES, (endpoint("a", state=DRAINING),)), after=SECOND)
    world.step(returned, after=SECOND)
    world.accept(after=MS)
    (breaker,) = world.dispatcher.registry.all_breakers()
    assert (breaker.warm_up_gap(world.now) > 0) is (others == 0)


@run_async_test
async def test_override_that_ends_between_two_clock_readings_is_removed(state: Path) -> None:
    """Guards against a fault seen on a busy machine: an override that ended after the check for ended
    overrides and before the timer was set was never removed."""
    clock = iter(range(T0, T0 + 10_000 * SECOND, 7 * SECOND))
    updates: list[EndpointsUpdated] = []
    directory = OverriddenDirectory(
        StaticDirectory(()), OverrideStore(state), lambda: next(clock), updates.append
    )
    directory.apply_update(EndpointsUpdated(ListingKind.FULL, (endpoint("a"),)))
    directory.set(OverrideKind.OUT, "a", "me", "why", T0, T0 + 60 * SECOND)
    while directory.book.overrides:
        assert directory.next_at is not None and directory.timer is not None
        directory.refresh()
    assert updates[-1].returned == ("a",) and directory.timer is None


# A running sender.


class Service:
    """A sender with one destination of two endpoints, and a client."""

    def __init__(
        self, folder: Path, endpoints: list[HttpEndpoint], history: History, directory: dict[str, Any]
    ) -> None:
        self.folder, self.endpoints, self.history = folder, endpoints, history
        self.count = 0
        listed = [{"id": each.name, "destination": 1, "dial": f"127.0.0.1:{each.port}"} for each in endpoints]
        kind = {"effect": "safe", "aim_ms": 4000, "deadline_ms": 8000}
        config = general.read({"classes": {"c": kind}, "endpoints": listed, "directory": directory})
        self.update_event = asyncio.Event()  # set when a completion or a list update is reported
        completion_listener = CompletionWriter(io.StringIO(), lambda name, end: self.update_event.set())
        self.sender = StandaloneSender(config, folder, completion_listener)
        engine_listener = self.sender.overrides.on_update

        def forward_update(listed: EndpointsUpdated) -> None:
            engine_listener(listed)
            self.update_event.set()

        self.sender.overrides.on_update = forward_update

    async def until(self, condition: Callable[[], bool]) -> None:
        while not condition():
            self.update_event.clear()
            await with_timeout(self.update_event.wait())

    async def deliver(self, count: int = 10, tenant: str = "") -> Counter[str]:
        """Sends messages one after another, each until it ends; returns the calls served per endpoint."""
        before = Counter({each.name: each.served for each in self.endpoints})
        for _ in range(count):
            await self.submit(1, tenant)
            await self.until(lambda: not self.sender.engine.journal.entries)
        return Counter({each.name: each.served for each in self.endpoints}) - before

    async def submit(self, count: int, tenant: str = "") -> None:
        """Sends messages one after another, each until it is admitted."""
        client = HttpClient(self.sender.server.address()[:2])
        for _ in range(count):
            self.count += 1
            fields = {"X-Correlation-Id": f"m{self.count}", "X-Service-Class": "c", "X-Time-Left": "8"}
            assert (await client.post("/c", fields | {"X-Route-To": "dest=1", "X-Account": tenant}, b"x"))[
                0
            ] == 202
        client.close()

    async def request(self, **request: object) -> Any:  # noqa: ANN401
        return await with_timeout(asyncio.to_thread(send_request, self.folder, request))

    async def set(self, kind: str, name: str, seconds: float = 60, **more: object) -> dict[str, Any]:
        now = time.time_ns() // 1000
        request: dict[str, object] = {
            "kind": kind,
            "endpoint": name,
            "who": "me",
            "why": "a test",
            "begins": now,
        }
        request |= {"until": now + int(seconds * SECOND)}
        answer = await self.request(do="set", **(request | more))
        assert answer["ok"], answer
        return dict(answer["value"]["override"])


@asynccontextmanager
async def service(folder: Path, directory: dict[str, Any] | None = None) -> AsyncIterator[Service]:
    history = History()
    async with HttpEndpoint("e0", Script(), history) as one, HttpEndpoint("e1", Script(), history) as two:
        running_service = Service(folder, [one, two], history, directory or {})
        async with running(running_service.sender):
            yield running_service


@run_async_test
async def test_out_of_service_weight_and_pin_overrides_take_effect_and_end(state: Path) -> None:
    async with service(state) as world:
        assert set(await world.deliver()) == {"e0", "e1"}
        override = await world.set("out", "e0")
        assert await world.deliver() == {"e1": 10}
        assert (await world.request(do="end", name=override["name"], who="me"))["ok"]
        weight = await world.set("weight", "e1", weight=9.0)
        assert (await world.deliver(20))["e1"] == 18
        pin = await world.set("pin", "e1", tenant="fleet")
        assert (await world.deliver(20))["e1"] == 18  # the pin is for another tenant
        assert await world.deliver(5, tenant="fleet") == {"e1": 5}
        assert (await world.request(do="end", name=pin["name"], who="me"))["ok"]
        pin = await world.set("pin", "e0", destination=1)
        assert await world.deliver() == {"e0": 10}
        world.sender.directory.drain("e0")  # the pin has no effect on a draining endpoint
        assert await world.deliver() == {"e1": 10}
        world.sender.overrides.check_effects()
        listed = (await world.request(do="list"))["value"]
        assert listed["in_vain"] == {pin["name"]: "its endpoint drains"}
        assert {each["name"] for each in listed["overrides"]} == {weight["name"], pin["name"]}
        rows = {each["id"]: each for each in (await world.request(do="endpoints"))["value"]["endpoints"]}
        assert (rows["e0"]["listed"], rows["e1"]["override"]) == ("draining", weight["name"])
        lines = [json.loads(each) for each in (state / LOG_FILE).read_text().splitlines()]
        assert [each["did"] for each in lines] == ["set", "ended", "set", "set", "ended", "set"]


@run_async_test
async def test_endpoint_out_of_service_gets_no_new_calls_under_load(state: Path) -> None:
    async with service(state) as world:
        submissions = [asyncio.create_task(world.submit(25)) for _ in range(4)]
        await until(lambda: world.count >= 20)
        await world.set("out", "e0")
        world.history.record(EndpointDrained(time.monotonic(), "e0"))
        await asyncio.gather(*submissions)
        await world.deliver(1)
    attempted = [each.endpoint for each in world.history.events if isinstance(each, AttemptStarted)]
    assert len(attempted) == 101 and {"e0", "e1"} == set(attempted[:30]) and attempted[-1] == "e1"
    rules = Rules(classes={"c": ClassRule()}, destinations={"e0": 1, "e1": 1}, drain_grace=0.05)
    assert [each for each in HistoryChecker(rules).check(world.history.events) if each.rule == "drains"] == []


@run_async_test
async def test_messages_are_held_while_all_endpoints_are_out_and_sent_after_expiry(state: Path) -> None:
    async with service(state) as world:
        await world.deliver()
        now = time.time_ns() // 1000
        await world.set("out", "e0", begins=now, until=now + 2 * SECOND)
        await world.set("out", "e1", begins=now, until=now + 2 * SECOND)
        assert (await world.request(do="list"))["value"]["all_out"] == [1]
        explained = (await world.request(do="explain", destination=1))["value"]
        assert explained["goes_to"] is None
        assert sum((await world.deliver(1)).values()) == 1  # held until the overrides end, then sent
        await world.until(lambda: not world.sender.overrides.book.overrides)
        (breaker,) = world.sender.engine.dispatcher.registry.all_breakers()
        assert breaker.warm_up_gap(world.sender.engine.now()) > 0


@run_async_test
async def test_overrides_persist_over_a_restart_and_expire_while_no_sender_runs(state: Path) -> None:
    async with service(state) as world:
        lasting, short = await world.set("out", "e0"), await world.set("out", "e1", seconds=60)
    stored = json.loads((state / "overrides.json").read_text())
    stored["overrides"][1]["begins"] -= 120 * SECOND
    stored["overrides"][1]["until"] -= 120 * SECOND
    (state / "overrides.json").write_text(json.dumps(stored))
    async with service(state) as world:
        assert set(world.sender.overrides.book.overrides) == {lasting["name"]} != {short["name"]}
        assert await world.deliver(1) == {"e1": 1}
        (breaker,) = world.sender.engine.dispatcher.registry.all_breakers()
        # e1 returned to service while no sender ran.
        assert breaker.warm_up_gap(world.sender.engine.now()) > 0


@pytest.mark.parametrize(
    ("line", "text"),
    [
        (b"{}\n", "do must be one of"), (b"not json\n", "Expecting value"), (b"[1]\n", "do must be one of"),
        (b'{"do": "set"}\n', "kind is missing"),
        (b'{"do": "end", "name": "o9", "who": "me"}\n', "o9 is missing"),
        (b'{"do": "explain", "destination": 99}\n', "not listed"), (b"[" * 60_000 + b"\n", "recursion"),
        (b"x" * (REQUEST_BYTES_LIMIT + 10) + b"\n", "too long"),
    ],
)  # fmt: skip
def test_invalid_request_gets_an_error_and_has_no_effect(tmp_path: Path, line: bytes, text: str) -> None:
    async def test(state: Path) -> None:
        async with service(state) as world:
            reader, writer = await asyncio.open_unix_connection(str(state / "control"))
            writer.write(line)
            reply = json.loads(await with_timeout(reader.readline()))
            assert not reply["ok"] and text in " ".join(reply["faults"])
            writer.close()
            assert sum((await world.deliver(1)).values()) == 1

    run_async_test(test)(tmp_path)


@run_async_test
async def test_idle_control_connections_are_bounded_and_do_not_affect_delivery(state: Path) -> None:
    async with service(state) as world:
        connections = [
            await asyncio.open_unix_connection(str(state / "control")) for _ in range(CONNECTIONS_LIMIT + 50)
        ]
        closed = [
            each for each in connections[CONNECTIONS_LIMIT:] if await with_timeout(each[0].read()) == b""
        ]
        assert len(closed) == 50 and sum((await world.deliver(3)).values()) == 3
        for _, writer in connections:
            writer.close()
        assert (state / "control").stat().st_mode & 0o777 == 0o600
    assert not (state / "control").exists()


@pytest.mark.parametrize(("user", "is_allowed"), [(0, True), (os.geteuid(), True), (54321, False)])
def test_only_root_and_the_user_of_the_sender_are_authorized(user: int, is_allowed: bool) -> None:
    class Sock:
        def getsockopt(self, level: int, option: int, size: int) -> bytes:
            return struct.pack("3i", 1, user, 1)

    assert is_authorized(Sock()) is is_allowed  # type: ignore[arg-type]


def test_override_that_cannot_be_saved_is_not_applied(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test(state: Path) -> None:
        async with service(state) as world:
            with monkeypatch.context() as patched:
                patched.setattr(OverrideStore, "save", failing)
                answer = await world.request(
                    do="set", kind="out", endpoint="e0", who="me", why="x", begins=0, until=2**60
                )
                assert not answer["ok"]
                now = time.time_ns() // 1000
                request = {"do": "set", "kind": "out", "endpoint": "e0", "who": "me", "why": "x"}
                answer = await world.request(**request, begins=now, until=now + SECOND)
            assert not answer["ok"] and not world.sender.overrides.book.overrides

    def failing(self: object, book: OverrideBook) -> None:
        raise OSError(28, "No space left on device")

    run_async_test(test)(tmp_path)


@run_async_test
async def test_override_commands(state: Path) -> None:
    def run(*arguments: str) -> int:
        return main([*arguments, "--state", str(state)])

    async with service(state) as world:
        call: Callable[..., Any] = asyncio.to_thread
        assert await call(run, "override", "set", "out", "e0", "--until", "+5m", "--why", "tests") == 0
        assert await call(run, "override", "extend", "o1", "--until", "+9m") == 0
        assert await call(run, "override", "list") == await call(run, "endpoints") == 0
        assert await call(run, "explain", "1") == 0 == await call(run, "explain", "1", "--json")
        assert await call(run, "override", "end", "o1") == 0 and await call(run, "override", "end", "o1") == 1
        assert await call(run, "override", "set", "out", "e0", "--until", "when", "--why", "x") == 2
        assert not world.sender.overrides.book.overrides
    assert await call(run, "override", "list") == 1  # no sender is running
