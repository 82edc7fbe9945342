"""Scenarios in simulated time: every one of the library, the models under them, and experiments on them."""

import json
import os
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from message_sender.cli import main
from message_sender.configuration.general import ConfigError
from message_sender.core.engine import Engine
from message_sender.emulator import experiment, scenario
from message_sender.emulator.arrivals import Arrivals
from message_sender.emulator.experiment import Job, RunResult
from message_sender.emulator.fleet_recorder import FleetRecorder
from message_sender.emulator.play import play
from message_sender.emulator.policies import OWN_POLICY, POLICIES
from message_sender.emulator.receiver import (
    Limit,
    Phase,
    Receiver,
    ReceiverRandom,
    Service,
    Spread,
    Terms,
    Trouble,
)
from message_sender.journal.process_journal import Journal
from message_sender.policy.breaker import Breaker
from message_sender.policy.endpoints import INACTIVE_DESTINATION_AGE_US
from message_sender.policy.model import Outcome
from message_sender.policy.pending import PendingQueue

ROOT = Path(__file__).parent.parent
LIBRARY = sorted((ROOT / "scenarios").glob("*.toml"))
EVEN = ReceiverRandom(0.5, 0.5, 0.5)
SMALL: dict[str, Any] = {
    "title": "t", "about": "a", "seconds": 8.0, "clients": {"rate": 40.0}, "destinations": [{"count": 4}],
}  # fmt: skip


def small(**changes: Any) -> scenario.Scenario:  # noqa: ANN401
    return scenario.read(SMALL | changes)


@pytest.fixture(scope="module")
def ran() -> dict[str, RunResult]:
    """A run of each scenario of the library."""
    told = {file.stem: scenario.load(file) for file in LIBRARY}
    jobs = [Job(each, each.seed, name=name) for name, each in told.items()]
    found = experiment.run_all(jobs, min(os.cpu_count() or 1, 4))
    return {json.loads(each.key)["name"]: each for each in found}


def test_the_library_holds_what_such_systems_meet() -> None:
    assert len(LIBRARY) >= 25
    for each in map(scenario.load, LIBRARY):
        assert len(each.about) > 40 and len(each.good) > 20


@pytest.mark.parametrize("name", [each.stem for each in LIBRARY])
def test_a_scenario_breaks_no_rule_and_reaches_what_it_expects(name: str, ran: dict[str, RunResult]) -> None:
    expect = scenario.load(ROOT / "scenarios" / f"{name}.toml").expect
    assert not ran[name].error and len(ran[name].breaches) <= expect.breaches
    assert ran[name].measures["goodput"] >= expect.goodput


def test_one_seed_gives_the_same_bytes_under_any_seed_of_hashes() -> None:
    code = (
        "from message_sender.emulator import play, scenario; import hashlib, pathlib; "
        "told = scenario.load(pathlib.Path('scenarios/restart-in-outage.toml')); "
        "print(hashlib.sha256('\\n'.join(play.play(told, 3, traced=True).trace).encode()).hexdigest())"
    )
    found = {
        subprocess.run(
            [sys.executable, "-c", code],
            env=os.environ | {"PYTHONHASHSEED": seed},
            capture_output=True,
            check=True,
            text=True,
            cwd=ROOT,
        ).stdout
        for seed in ("1", "2")
    }
    assert len(found) == 1 and found != {""}


# A defect that is planted shows in the scenarios.


def warm_at_once(self: Breaker, now: int) -> float:
    return 0.0


def anything_goes(self: PendingQueue, now: float, message: object, sent: object) -> bool:
    return True


def unrecorded(self: Journal, name: str, number: int, attempt: object) -> bool:
    return True


def deaf_to_waits(self: Engine, endpoint: str, wait: int) -> None: ...


PLANTED: dict[str, tuple[type, str, Callable[..., Any], str, str]] = {
    "it is taken for warm at once": (Breaker, "warm_up_gap", warm_at_once, "herd-on-return", "cold"),
    "unsafe ones go again": (PendingQueue, "may_repeat_at", anything_goes, "resets", "no effect twice"),
    "no record of attempts": (
        Journal,
        "record_attempt",
        unrecorded,
        "kill-between-writes",
        "no effect twice",
    ),
}


@pytest.mark.parametrize("name", PLANTED)
def test_a_planted_defect_shows(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    owner, attribute, wrong, where, rule = PLANTED[name]
    monkeypatch.setattr(owner, attribute, wrong)
    outcomes = play(scenario.load(ROOT / "scenarios" / f"{where}.toml"))
    assert rule in {each.rule for each in outcomes.breaches}


@pytest.mark.parametrize("policy", [each for each in POLICIES if each != OWN_POLICY])
def test_plain_policies_push_over_what_returns(policy: str) -> None:
    outcomes = play(scenario.load(ROOT / "scenarios" / "herd-on-return.toml"), decide=POLICIES[policy])
    assert outcomes.figures.falls and "cold" in {each.rule for each in outcomes.breaches}
    assert not outcomes.owed and 0 < outcomes.figures.goodput() < 0.8


def test_three_senders_do_not_push_over_one_that_refused_and_was_silent_for_long() -> None:
    """Breakers have fallen asleep: what was known of it is gone. It comes back cold, and refuses."""
    long = INACTIVE_DESTINATION_AGE_US / 1e6 * 1.2
    told = small(
        seconds=long + 60.0,
        clients={"rate": 30.0, "bursts": [{"at": 20.0, "until": long, "times": 1e-9}]},
        fleet={"senders": 3},
        destinations=[{"count": 2, "workers": 2, "fallen_s": 10.0}],
        troubles=[
            {"at": 5.0, "until": 15.0, "what": "full", "size": 1.0},
            {"at": long - 5.0, "until": long + 5.0, "what": "full", "size": 0.5},
        ],
    )
    outcomes = play(told)
    assert not outcomes.breaches and not outcomes.figures.falls and not outcomes.owed
    back = [each for at, each in outcomes.figures.seconds.items() if at > long]
    assert sum(each.offered for each in back) > 1000 and sum(each.refused for each in back) > 3


def test_breakers_that_open_are_counted_while_they_are_open() -> None:
    told = small(troubles=[{"at": 2.0, "until": 5.0, "what": "shut", "destinations": [0, 1]}])
    seconds = play(told).figures.seconds
    assert seconds[4].open == 2 and not seconds[1].open and seconds[4].held > 0


# Files.


def test_every_fault_of_a_scenario_is_named_with_its_path() -> None:
    wrong = SMALL | {
        "seconds": "8",
        "fleet": {"senders": 0, "zone": "a"},
        "classes": {"c": {"effect": "keyed"}},
        "destinations": [{"service": {"spread": "pareto", "cv": 0.5}}],
        "troubles": [{"at": 3.0, "until": 2.0, "what": "shut"}, {"at": 1, "until": 2, "what": "sleepy"}],
    }
    with pytest.raises(ConfigError) as error:
        scenario.read(wrong)
    assert {each.path for each in error.value.faults} == {
        "seconds", "fleet.senders", "fleet.zone", "classes.c.window_s", "destinations[0].service.cv",
        "troubles[0].until", "troubles[1].what",
    }  # fmt: skip


@pytest.mark.parametrize(
    ("changes", "text"),
    [
        ({"destinations": [{"popularity": 0.0}]}, "none of them gets messages"),
        ({"troubles": [{"at": 1, "until": 2, "what": "shut", "destinations": [4]}]}, "no destination 4"),
        ({"troubles": [{"at": 1, "until": 2, "what": "shut", "seen_by": [1]}]}, "no sender 1"),
        ({"incidents": [{"at": 1, "what": "kill", "sender": 2}]}, "no sender 2"),
        ({"incidents": [{"at": 1, "what": "drain"}]}, "a drain needs a destination"),
        ({"clients": {"bursts": [{"at": 1, "until": 2, "times": 2, "tenant": "x"}]}}, "no tenant 'x'"),
    ],
)
def test_what_contradicts_is_named(changes: dict[str, Any], text: str) -> None:
    with pytest.raises(ConfigError, match=text):
        small(**changes)


def test_a_value_at_a_path_is_changed_or_its_path_named() -> None:
    told = scenario.changed(small(), {"fleet.senders": 3, "destinations.0.workers": 2})
    assert told.fleet.senders == 3 and told.destinations[0].workers == 2
    for path in ("fleet.sender", "destinations.1.workers", "destinations.0", "title.x", "fleet.senders.x"):
        with pytest.raises(ConfigError, match="is not in the scenario"):
            scenario.changed(small(), {path: 1})
    with pytest.raises(ConfigError, match=r"fleet\.senders"):
        scenario.changed(small(), {"fleet.senders": "many"})


# Models.


@pytest.mark.parametrize("spread", list(Spread))
def test_times_of_service_have_the_mean_they_are_told(spread: Spread) -> None:
    service = Service(0.2, spread, 3.0 if spread is Spread.PARETO else 0.7)
    count = 20_000
    mean = sum(service.seconds((each + 0.5) / count) for each in range(count)) / count
    assert mean == pytest.approx(0.2, rel=0.02)


@given(st.lists(st.floats(0, 0.3), max_size=200), st.floats(1, 20), st.booleans(), st.floats(0, 2))
@settings(max_examples=150, deadline=None, derandomize=True)
def test_a_limit_lets_through_no_more_than_its_count_and_told_waits_are_true(
    steps: list[float], rate: float, counted: bool, span: float
) -> None:
    span = 0.0 if span < 0.2 else span
    limit = Limit(rate, span, burst=3.0, refused_count=counted, tells=1.0)
    receiver = Receiver(Terms(Service(1e-6, Spread.CONSTANT), 100, 100, limit))
    now, taken = 0.0, []
    for step in steps:
        now += step
        fate = receiver.call(now, "n", EVEN)
        if fate.outcome is Outcome.OK:
            taken.append(now)
        elif not counted and not span:
            assert fate.wait > 0  # and just after it there is a token
            assert Receiver.bucket_wait(receiver, now + fate.wait + 1e-6, limit, rate) == 0
            receiver.tokens += 1
    for first in taken:
        if span:
            most = max(rate * span, 1.0)
            assert sum(int(each / span) == int(first / span) for each in taken) <= most
        else:
            assert sum(first <= each < first + 1 for each in taken) <= rate + 3 + 1


def test_a_receiver_serves_queues_refuses_grows_cold_and_falls() -> None:
    receiver = Receiver(Terms(Service(0.1, Spread.CONSTANT), workers=2, queue=1))
    fates = [receiver.call(0.0, "n", EVEN) for _ in range(4)]
    assert [each.after for each in fates[:3]] == pytest.approx([0.1, 0.1, 0.2])
    assert fates[3].outcome is Outcome.FULL and receiver.refused == 1
    phases = [Phase(1.0, 2.0, Trouble.SHUT), Phase(5.0, 6.0, Trouble.ERRORS, 1.0, frozenset({"a"}), "z")]
    terms = Terms(Service(0.1, Spread.CONSTANT), 2, 9, cold_s=4.0, cold_from=0.25, fallen_s=3.0)
    receiver = Receiver(terms, phases)
    assert receiver.call(1.5, "n", EVEN).connected is False
    assert receiver.warmth(2.0) == 0.25 and receiver.warmth(4.0) == 0.625 and receiver.warmth(6.0) == 1.0
    assert receiver.call(5.5, "a", EVEN, "z").outcome is Outcome.ERROR
    assert receiver.call(5.5, "b", EVEN, "z").outcome is receiver.call(5.5, "a", EVEN).outcome is Outcome.OK
    fallen = Receiver(terms, phases)
    pushed = [fallen.call(2.0 + each / 100, "ab"[each % 2], EVEN) for each in range(40)]
    assert pushed[-1].connected is False and len(fallen.falls) == 1
    # A quarter of 20 a second, twice that for 1.5 s: 15 calls, and a little more as it warms.
    assert 15 < len(fallen.falls[0].pushed_by) <= 17 and set(fallen.falls[0].pushed_by) == {"a", "b"}
    assert fallen.call(2.2 + 3.0, "a", EVEN).outcome is Outcome.OK and fallen.warmth(5.2) < 0.3


def test_arrivals_come_at_their_rate_in_bursts_and_in_quiet_and_the_same_again() -> None:
    told = small(
        seconds=100.0,
        clients={"rate": 50.0, "zipf": 0.0, "bursts": [
            {"at": 20.0, "until": 40.0, "times": 9.0, "tenant": "loud"},
            {"at": 60.0, "until": 80.0, "times": 0.1, "destination": 2},
        ]},
        tenants={"loud": {"share": 1.0}, "other": {"share": 3.0}},
    )  # fmt: skip
    asked = list(Arrivals(told, 7))
    assert [each.at for each in asked] == sorted(each.at for each in asked)
    assert [each.number for each in asked] == list(range(len(asked)))

    def rate(at: float, until: float, **fits: object) -> float:
        found = [x for x in asked if at <= x.at < until and all(getattr(x, k) == v for k, v in fits.items())]
        return len(found) / (until - at)

    assert rate(0, 20) == pytest.approx(50, rel=0.1) and rate(20, 40, tenant="other") == pytest.approx(
        37, rel=0.15
    )
    assert rate(20, 40, tenant="loud") == pytest.approx(9 * 12.5, rel=0.1)
    assert rate(60, 80, destination=2) < 3 and rate(60, 80, destination=1) == pytest.approx(12.5, rel=0.2)
    again = list(Arrivals(told, 7))
    assert [(x.at, x.key, x.destination, x.luck(2)) for x in asked] == [
        (x.at, x.key, x.destination, x.luck(2)) for x in again
    ]


# Experiments.


def test_a_hypercube_meets_each_part_of_each_range_once() -> None:
    points = experiment.hypercube({"a": (0.0, 1.0), "b": (10, 110)}, 20, 3)
    for place, (low, high) in enumerate(((0.0, 1.0), (10, 110))):
        values = [point[place][1] for point in points]
        parts = sorted(min(int((each - low) / (high - low) * 20), 19) for each in values)
        assert parts == list(range(20)) or place == 1
        assert all(isinstance(each, int) for each in values) == (place == 1)
    assert len(experiment.grid({"a": [1, 2], "b": [3, 4, 5]})) == 6 and experiment.grid({}) == [()]


@given(st.lists(st.floats(-1e6, 1e6), min_size=2, max_size=40))
@settings(max_examples=60, deadline=None, derandomize=True)
def test_an_interval_holds_its_mean_and_stays_within_the_values(values: list[float]) -> None:
    told = experiment.interval(values)
    assert min(values) - 1e-6 <= told.low <= told.high <= max(values) + 1e-6
    assert told.low - 1e-6 <= told.mean + (max(values) - min(values)) and told == experiment.interval(values)


def test_a_sweep_goes_on_where_it_was_also_after_a_torn_line(tmp_path: Path) -> None:
    file, runs = tmp_path / "runs", []
    jobs = [Job(small(seconds=2.0), seed) for seed in (1, 2, 3)]
    whole = [each.line() for each in experiment.sweep(jobs, 1, file)]
    kept = file.read_text()
    assert kept.splitlines() == whole
    file.write_text(kept[: -len(whole[-1]) // 2])
    real = experiment.run
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(experiment, "run", lambda job: runs.append(job.seed) or real(job))
        assert [each.line() for each in experiment.sweep(jobs, 1, file)] == whole
    assert runs == [3] and [each.line() for each in experiment.sweep(jobs, 1, file)] == whole


def test_a_run_that_fails_and_a_process_that_dies_are_told(monkeypatch: pytest.MonkeyPatch) -> None:
    job = Job(small(), 1, changes=(("fleet.senders", 0),))
    assert "ConfigError" in experiment.run(job).error
    monkeypatch.setattr(experiment, "run", die)
    found = list(experiment.run_all([Job(small(seconds=1.0), 1), Job(small(seconds=1.0), 2)], 2))
    assert [each.error for each in found] == ["its process died"] * 2


def die(job: Job) -> RunResult:
    os._exit(9)


def test_variants_are_held_against_the_first_on_the_same_draws() -> None:
    told = {"s": small(seconds=4.0)}
    some = next(iter(told.values()))
    variants = {
        "a": Job(some, 0),
        "b": Job(some, 0),
        "none": Job(some, 0, "none", (("destinations.0.workers", 1),)),
    }
    first, same, other = experiment.compare(told, variants, range(1, 4), 1)
    assert same.against["goodput"] == experiment.Interval(0, 0, 0) and same.measures == first.measures
    assert other.against["p99_ms"].apart() or other.against["goodput"].apart()
    table = experiment.table([first, same, other], ["goodput", "nothing"])
    assert table.count("\n") == 4 and "| - |" in table


# The command line.


def test_the_commands_end_with_their_codes_and_write_what_they_say(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    file = tmp_path / "s.toml"
    file.write_text(
        'title = "t"\nabout = "a"\nseconds = 4\n[tenants.x]\n[[destinations]]\ncount = 3\n'
        '[[troubles]]\nat = 1\nuntil = 2\nwhat = "errors"\nsize = 0.5\n'
    )
    names = [tmp_path / each for each in ("one", "two", "json", "page.html", "again.html", "runs")]
    one, two, out, page, again, runs = map(str, names)
    assert main(["emulate", "run", str(file), "--trace", one, "--json", out]) == 0
    assert main(["emulate", "run", str(file), "--trace", two]) == 0
    assert names[0].read_bytes() == names[1].read_bytes() != b""
    told = json.loads(names[2].read_text())
    assert told["breaches"] == [] and told["measures"]["goodput"] > 0.9 and told["seconds"]["1"]["failed"]
    for each in (page, again):
        assert main(["emulate", "report", str(file), "--out", each]) == 0
    text = names[3].read_text()
    assert text == names[4].read_text() and text.count("<svg") == 4 and "http://" not in text.split("<svg")[0]
    assert (
        main(["emulate", "sweep", str(file), "--seeds", "2", "--grid", "clients.rate=20,30", "--out", runs])
        == 0
    )
    assert len(names[5].read_text().splitlines()) == 4
    assert main(["emulate", "compare", str(file), "--seeds", "2", "--vary", "fleet.slots=1,40"]) == 0
    assert "| s | fleet.slots=40 |" in capsys.readouterr().out
    for words in (["run", "none.toml"], ["sweep", str(file), "--latin", "clients.rate=3"], ["nothing"]):
        assert main(["emulate", *words]) == 2
    assert main(["emulate", "run", str(file), "--set", "clients.rat=3"]) == 1
    assert "clients.rat: is not in the scenario" in capsys.readouterr().err
    monkeypatch.setattr(PendingQueue, "expire_due", lambda self: None)
    longer = ["--set", "troubles.0.what=silent", "--set", "troubles.0.until=60"]
    assert main(["emulate", "run", str(file), *longer]) == 1
    assert "broken: " in capsys.readouterr().out


def test_a_command_whose_library_is_missing_says_what_to_install(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setitem(sys.modules, "message_sender.cli.emulate", None)
    assert main(["emulate", "run", "x"]) == 1
    assert "message-sender[cli,emulator]" in capsys.readouterr().err
    monkeypatch.setattr("message_sender.cli.click", None)
    assert main(["--help"]) == 1 and "message-sender[cli]" in capsys.readouterr().err


def test_a_deadlock_in_a_world_is_an_error_and_not_silence(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(self: object, number: int) -> float:
        raise ZeroDivisionError("planted")

    monkeypatch.setattr(FleetRecorder, "attempt_finished", broken)
    with pytest.raises((RuntimeError, ZeroDivisionError)):
        play(small())


def test_calls_refused_in_one_span_use_up_a_share_of_the_next() -> None:
    luck = ReceiverRandom(0.5, 0.5, 0.0)
    for carried, served in ((0.0, 10), (0.5, 5), (0.2, 8)):
        limit = Limit(10.0, span_s=1.0, carried=carried, tells=1.0)
        there = Receiver(Terms(workers=50, limit=limit))
        first = [there.call(0.1, "n0", luck).outcome for _ in range(25)]
        second = [there.call(1.1, "n0", luck).outcome for _ in range(10)]
        skipped = [there.call(3.1, "n0", luck).outcome for _ in range(10)]  # a span without refusals between
        counts = [each.count(Outcome.OK) for each in (first, second, skipped)]
        assert counts == [10, served, 10]


def test_a_fleet_may_be_as_large_as_the_largest_of_the_operators() -> None:
    assert small(fleet={"senders": 60}).settings(59).fleet_size == 60
    with pytest.raises(ConfigError, match="senders"):
        small(fleet={"senders": 65})
