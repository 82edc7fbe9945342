"""Fleet scenarios in simulated time: the library of scenarios, the models they use, and experiments."""

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
from message_sender.emulator.scenario_run import play
from message_sender.journal.process_journal import Journal
from message_sender.policy.breaker import Breaker
from message_sender.policy.endpoints import INACTIVE_DESTINATION_AGE_US
from message_sender.policy.model import Outcome
from message_sender.policy.pending import PendingQueue

ROOT = Path(__file__).parent.parent
LIBRARY = sorted((ROOT / "scenarios").glob("*.toml"))
MEDIAN_DRAWS = ReceiverRandom(0.5, 0.5, 0.5)
SMALL: dict[str, Any] = {
    "title": "t", "about": "a", "seconds": 8.0, "clients": {"rate": 40.0}, "destinations": [{"count": 4}],
}  # fmt: skip


def small(**changes: Any) -> scenario.Scenario:  # noqa: ANN401
    """Returns a short scenario with other values for some of its tables."""
    return scenario.read(SMALL | changes)


@pytest.fixture(scope="module")
def library_results() -> dict[str, RunResult]:
    """The result of one run of each scenario in the library, by the name of its file."""
    scenarios = {file.stem: scenario.load(file) for file in LIBRARY}
    jobs = [Job(each, each.seed, name=name) for name, each in scenarios.items()]
    results = experiment.run_all(jobs, min(os.cpu_count() or 1, 4))
    return {json.loads(each.key)["name"]: each for each in results}


def test_the_library_has_at_least_25_scenarios_and_describes_each() -> None:
    assert len(LIBRARY) >= 25
    for each in map(scenario.load, LIBRARY):
        assert len(each.about) > 40 and len(each.good) > 20


@pytest.mark.parametrize("name", [each.stem for each in LIBRARY])
def test_a_scenario_of_the_library_reaches_the_goodput_and_violations_that_it_expects(
    name: str, library_results: dict[str, RunResult]
) -> None:
    expect = scenario.load(ROOT / "scenarios" / f"{name}.toml").expect
    assert not library_results[name].error and len(library_results[name].breaches) <= expect.breaches
    assert library_results[name].measures["goodput"] >= expect.goodput


def test_a_seed_gives_the_same_trace_with_any_hash_seed_of_python() -> None:
    code = (
        "from message_sender.emulator import scenario, scenario_run as run; import hashlib, pathlib; "
        "loaded = scenario.load(pathlib.Path('scenarios/restart-in-outage.toml')); "
        "print(hashlib.sha256('\\n'.join(run.play(loaded, 3, traced=True).trace).encode()).hexdigest())"
    )
    digests = {
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
    assert len(digests) == 1 and digests != {""}


# Defects planted in the sender violate rules in the scenarios.


def skip_slow_start(self: Breaker, now: int) -> float:
    return 0.0


def allow_repeat(self: PendingQueue, now: float, message: object, sent: object) -> bool:
    return True


def skip_attempt_record(self: Journal, name: str, number: int, attempt: object) -> bool:
    return True


def ignore_retry_after(self: Engine, endpoint: str, wait: int) -> None: ...


PLANTED: dict[str, tuple[type, str, Callable[..., Any], str, str]] = {
    "a destination gets full load at once after an outage": (
        Breaker,
        "warm_up_gap",
        skip_slow_start,
        "herd-on-return",
        "cold",
    ),
    "messages that must not be repeated are": (
        PendingQueue,
        "may_repeat_at",
        allow_repeat,
        "resets",
        "no effect twice",
    ),
    "attempts are not recorded in the journal": (
        Journal,
        "record_attempt",
        skip_attempt_record,
        "kill-between-writes",
        "no effect twice",
    ),
}


@pytest.mark.parametrize("name", PLANTED)
def test_a_planted_defect_violates_a_rule(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    owner, attribute, defect, file_name, rule = PLANTED[name]
    monkeypatch.setattr(owner, attribute, defect)
    outcomes = play(scenario.load(ROOT / "scenarios" / f"{file_name}.toml"))
    assert rule in {each.rule for each in outcomes.breaches}


@pytest.mark.parametrize("policy", [each for each in POLICIES if each != OWN_POLICY])
def test_policies_for_comparison_overload_destinations_that_return(policy: str) -> None:
    outcomes = play(scenario.load(ROOT / "scenarios" / "herd-on-return.toml"), decide=POLICIES[policy])
    assert outcomes.figures.falls and "cold" in {each.rule for each in outcomes.breaches}
    assert not outcomes.owed and 0 < outcomes.figures.goodput() < 0.8


def test_three_senders_do_not_overload_a_destination_that_rejects_calls_after_a_long_idle_time() -> None:
    """By then the senders have discarded the state of the inactive destination.

    When traffic returns, it is rejecting calls and then goes through its slow start, so that senders which
    begin at full load would overload it.
    """
    idle_end = INACTIVE_DESTINATION_AGE_US / 1e6 * 1.2
    long_idle = small(
        seconds=idle_end + 60.0,
        clients={"rate": 30.0, "bursts": [{"at": 20.0, "until": idle_end, "times": 1e-9}]},
        fleet={"senders": 3},
        destinations=[{"count": 2, "workers": 2, "fallen_s": 10.0}],
        troubles=[
            {"at": 5.0, "until": 15.0, "what": "full", "size": 1.0},
            {"at": idle_end - 5.0, "until": idle_end + 5.0, "what": "full", "size": 0.5},
        ],
    )
    outcomes = play(long_idle)
    assert not outcomes.breaches and not outcomes.figures.falls and not outcomes.owed
    after_idle = [each for at, each in outcomes.figures.seconds.items() if at > idle_end]
    assert sum(each.offered for each in after_idle) > 1000 and sum(each.refused for each in after_idle) > 3


def test_open_breakers_are_counted_in_each_second() -> None:
    outage = small(troubles=[{"at": 2.0, "until": 5.0, "what": "shut", "destinations": [0, 1]}])
    seconds = play(outage).figures.seconds
    assert seconds[4].open == 2 and not seconds[1].open and seconds[4].held > 0


# Scenario files.


def test_all_faults_of_a_scenario_file_are_reported_with_their_paths() -> None:
    tables = SMALL | {
        "seconds": "8",
        "fleet": {"senders": 0, "zone": "a"},
        "classes": {"c": {"effect": "keyed"}},
        "destinations": [{"service": {"spread": "pareto", "cv": 0.5}}],
        "troubles": [{"at": 3.0, "until": 2.0, "what": "shut"}, {"at": 1, "until": 2, "what": "sleepy"}],
    }
    with pytest.raises(ConfigError) as error:
        scenario.read(tables)
    assert {each.path for each in error.value.faults} == {
        "seconds", "fleet.senders", "fleet.zone", "classes.c.window_s", "destinations[0].service.cv",
        "troubles[0].until", "troubles[1].what",
    }  # fmt: skip


@pytest.mark.parametrize(
    ("changes", "text"),
    [
        (
            {"destinations": [{"popularity": 0.0}]},
            "at least one must have a popularity above 0, but all have 0",
        ),
        ({"troubles": [{"at": 1, "until": 2, "what": "shut", "destinations": [4]}]}, "no destination 4"),
        ({"troubles": [{"at": 1, "until": 2, "what": "shut", "seen_by": [1]}]}, "no sender 1"),
        ({"incidents": [{"at": 1, "what": "kill", "sender": 2}]}, "no sender 2"),
        ({"incidents": [{"at": 1, "what": "drain"}]}, "a drain needs a destination"),
        ({"clients": {"bursts": [{"at": 1, "until": 2, "times": 2, "tenant": "x"}]}}, "no tenant 'x'"),
    ],
)
def test_contradictions_between_tables_are_reported(changes: dict[str, Any], text: str) -> None:
    with pytest.raises(ConfigError, match=text):
        small(**changes)


def test_values_are_changed_at_dotted_paths_and_unknown_paths_are_reported() -> None:
    changed = scenario.changed(small(), {"fleet.senders": 3, "destinations.0.workers": 2})
    assert changed.fleet.senders == 3 and changed.destinations[0].workers == 2
    for path in ("fleet.sender", "destinations.1.workers", "destinations.0", "title.x", "fleet.senders.x"):
        with pytest.raises(ConfigError, match="is not in the scenario"):
            scenario.changed(small(), {path: 1})
    with pytest.raises(ConfigError, match=r"fleet\.senders"):
        scenario.changed(small(), {"fleet.senders": "many"})


# The models of destinations and of arrivals.


@pytest.mark.parametrize("spread", list(Spread))
def test_service_times_have_the_mean_of_their_settings(spread: Spread) -> None:
    service = Service(0.2, spread, 3.0 if spread is Spread.PARETO else 0.7)
    count = 20_000
    mean = sum(service.quantile_s((each + 0.5) / count) for each in range(count)) / count
    assert mean == pytest.approx(0.2, rel=0.02)


@given(st.lists(st.floats(0, 0.3), max_size=200), st.floats(1, 20), st.booleans(), st.floats(0, 2))
@settings(max_examples=150, deadline=None, derandomize=True)
def test_a_limit_admits_no_more_than_its_rate_and_its_retry_after_is_long_enough(
    steps: list[float], rate: float, refused_count: bool, span: float
) -> None:
    span = 0.0 if span < 0.2 else span
    limit = Limit(rate, span, burst=3.0, refused_count=refused_count, tells=1.0)
    receiver = Receiver(Terms(Service(1e-6, Spread.CONSTANT), 100, 100, limit))
    now, admitted = 0.0, []
    for step in steps:
        now += step
        result = receiver.call(now, "n", MEDIAN_DRAWS)
        if result.outcome is Outcome.OK:
            admitted.append(now)
        elif not refused_count and not span:
            assert result.retry_after_s > 0  # just after it there is a token
            assert Receiver.bucket_wait(receiver, now + result.retry_after_s + 1e-6, limit, rate) == 0
            receiver.tokens += 1
    for first in admitted:
        if span:
            capacity = max(rate * span, 1.0)
            assert sum(int(each / span) == int(first / span) for each in admitted) <= capacity
        else:
            assert sum(first <= each < first + 1 for each in admitted) <= rate + 3 + 1


def test_a_receiver_queues_and_rejects_calls_warms_up_and_fails_by_overload() -> None:
    receiver = Receiver(Terms(Service(0.1, Spread.CONSTANT), workers=2, queue=1))
    results = [receiver.call(0.0, "n", MEDIAN_DRAWS) for _ in range(4)]
    assert [each.delay_s for each in results[:3]] == pytest.approx([0.1, 0.1, 0.2])
    assert results[3].outcome is Outcome.FULL and receiver.refused == 1
    phases = [Phase(1.0, 2.0, Trouble.SHUT), Phase(5.0, 6.0, Trouble.ERRORS, 1.0, frozenset({"a"}), "z")]
    terms = Terms(Service(0.1, Spread.CONSTANT), 2, 9, cold_s=4.0, cold_from=0.25, fallen_s=3.0)
    receiver = Receiver(terms, phases)
    assert receiver.call(1.5, "n", MEDIAN_DRAWS).connected is False
    assert receiver.warmth(2.0) == 0.25 and receiver.warmth(4.0) == 0.625 and receiver.warmth(6.0) == 1.0
    assert receiver.call(5.5, "a", MEDIAN_DRAWS, "z").outcome is Outcome.ERROR
    assert (
        receiver.call(5.5, "b", MEDIAN_DRAWS, "z").outcome
        is receiver.call(5.5, "a", MEDIAN_DRAWS).outcome
        is Outcome.OK
    )
    overloaded = Receiver(terms, phases)
    results = [overloaded.call(2.0 + each / 100, "ab"[each % 2], MEDIAN_DRAWS) for each in range(40)]
    assert results[-1].connected is False and len(overloaded.overload_failures) == 1
    # Twice a quarter of 20 calls a second, for 1.5 s, is 15 calls; it is a little more as it warms up.
    assert 15 < len(overloaded.overload_failures[0].senders) <= 17 and set(
        overloaded.overload_failures[0].senders
    ) == {"a", "b"}
    assert (
        overloaded.call(2.2 + 3.0, "a", MEDIAN_DRAWS).outcome is Outcome.OK and overloaded.warmth(5.2) < 0.3
    )


def test_arrivals_have_the_rates_of_the_scenario_and_its_bursts_and_depend_on_the_seed_alone() -> None:
    with_bursts = small(
        seconds=100.0,
        clients={"rate": 50.0, "zipf": 0.0, "bursts": [
            {"at": 20.0, "until": 40.0, "times": 9.0, "tenant": "loud"},
            {"at": 60.0, "until": 80.0, "times": 0.1, "destination": 2},
        ]},
        tenants={"loud": {"share": 1.0}, "other": {"share": 3.0}},
    )  # fmt: skip
    messages = list(Arrivals(with_bursts, 7))
    assert [each.at for each in messages] == sorted(each.at for each in messages)
    assert [each.number for each in messages] == list(range(len(messages)))

    def rate(at: float, until: float, **fields: object) -> float:
        matches = [
            each
            for each in messages
            if at <= each.at < until and all(getattr(each, name) == value for name, value in fields.items())
        ]
        return len(matches) / (until - at)

    assert rate(0, 20) == pytest.approx(50, rel=0.1) and rate(20, 40, tenant="other") == pytest.approx(
        37, rel=0.15
    )
    assert rate(20, 40, tenant="loud") == pytest.approx(9 * 12.5, rel=0.1)
    assert rate(60, 80, destination=2) < 3 and rate(60, 80, destination=1) == pytest.approx(12.5, rel=0.2)
    again = list(Arrivals(with_bursts, 7))
    assert [(each.at, each.key, each.destination, each.receiver_random(2)) for each in messages] == [
        (each.at, each.key, each.destination, each.receiver_random(2)) for each in again
    ]


# Experiments.


def test_a_hypercube_has_one_point_in_each_part_of_each_range() -> None:
    points = experiment.hypercube({"a": (0.0, 1.0), "b": (10, 110)}, 20, 3)
    for place, (low, high) in enumerate(((0.0, 1.0), (10, 110))):
        values = [point[place][1] for point in points]
        parts = sorted(min(int((each - low) / (high - low) * 20), 19) for each in values)
        assert parts == list(range(20)) or place == 1
        assert all(isinstance(each, int) for each in values) == (place == 1)
    assert len(experiment.grid({"a": [1, 2], "b": [3, 4, 5]})) == 6 and experiment.grid({}) == [()]


@given(st.lists(st.floats(-1e6, 1e6), min_size=2, max_size=40))
@settings(max_examples=60, deadline=None, derandomize=True)
def test_an_interval_is_reproducible_and_lies_within_the_values(values: list[float]) -> None:
    result = experiment.interval(values)
    assert min(values) - 1e-6 <= result.low <= result.high <= max(values) + 1e-6
    assert result.low - 1e-6 <= result.mean + (max(values) - min(values)) and result == experiment.interval(
        values
    )


def test_a_sweep_continues_with_the_missing_runs_also_after_a_torn_line(tmp_path: Path) -> None:
    file, repeated = tmp_path / "runs", []
    jobs = [Job(small(seconds=2.0), seed) for seed in (1, 2, 3)]
    all_lines = [each.line() for each in experiment.sweep(jobs, 1, file)]
    text = file.read_text()
    assert text.splitlines() == all_lines
    file.write_text(text[: -len(all_lines[-1]) // 2])
    real = experiment.run
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(experiment, "run", lambda job: repeated.append(job.seed) or real(job))
        assert [each.line() for each in experiment.sweep(jobs, 1, file)] == all_lines
    assert repeated == [3] and [each.line() for each in experiment.sweep(jobs, 1, file)] == all_lines


def test_failed_runs_and_killed_worker_processes_are_reported_as_errors(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    job = Job(small(), 1, changes=(("fleet.senders", 0),))
    assert "ConfigError" in experiment.run(job).error
    monkeypatch.setattr(experiment, "run", exit_process)
    results = list(experiment.run_all([Job(small(seconds=1.0), 1), Job(small(seconds=1.0), 2)], 2))
    assert [each.error for each in results] == ["its process died"] * 2


def exit_process(job: Job) -> RunResult:
    os._exit(9)


def test_variants_are_compared_with_the_first_one_on_the_same_seeds() -> None:
    scenarios = {"s": small(seconds=4.0)}
    base = next(iter(scenarios.values()))
    variants = {
        "a": Job(base, 0),
        "b": Job(base, 0),
        "none": Job(base, 0, "none", (("destinations.0.workers", 1),)),
    }
    first, same, other = experiment.compare(scenarios, variants, range(1, 4), 1)
    assert same.against["goodput"] == experiment.Interval(0, 0, 0) and same.measures == first.measures
    assert other.against["p99_ms"].excludes_zero() or other.against["goodput"].excludes_zero()
    table = experiment.table([first, same, other], ["goodput", "nothing"])
    assert table.count("\n") == 4 and "| - |" in table


# The command line.


def test_the_commands_write_their_files_and_return_their_exit_codes(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    file = tmp_path / "s.toml"
    file.write_text(
        'title = "t"\nabout = "a"\nseconds = 4\n[tenants.x]\n[[destinations]]\ncount = 3\n'
        '[[troubles]]\nat = 1\nuntil = 2\nwhat = "errors"\nsize = 0.5\n'
    )
    paths = [tmp_path / each for each in ("one", "two", "json", "page.html", "again.html", "runs")]
    trace, second_trace, figures, page, second_page, runs = map(str, paths)
    assert main(["emulate", "run", str(file), "--trace", trace, "--json", figures]) == 0
    assert main(["emulate", "run", str(file), "--trace", second_trace]) == 0
    assert paths[0].read_bytes() == paths[1].read_bytes() != b""
    results = json.loads(paths[2].read_text())
    assert (
        results["breaches"] == []
        and results["measures"]["goodput"] > 0.9
        and results["seconds"]["1"]["failed"]
    )
    for each in (page, second_page):
        assert main(["emulate", "report", str(file), "--out", each]) == 0
    text = paths[3].read_text()
    assert text == paths[4].read_text() and text.count("<svg") == 4 and "http://" not in text.split("<svg")[0]
    assert (
        main(["emulate", "sweep", str(file), "--seeds", "2", "--grid", "clients.rate=20,30", "--out", runs])
        == 0
    )
    assert len(paths[5].read_text().splitlines()) == 4
    assert main(["emulate", "compare", str(file), "--seeds", "2", "--vary", "fleet.slots=1,40"]) == 0
    assert "| s | fleet.slots=40 |" in capsys.readouterr().out
    for arguments in (["run", "none.toml"], ["sweep", str(file), "--latin", "clients.rate=3"], ["nothing"]):
        assert main(["emulate", *arguments]) == 2
    assert main(["emulate", "run", str(file), "--set", "clients.rat=3"]) == 1
    assert "clients.rat: is not in the scenario" in capsys.readouterr().err
    monkeypatch.setattr(PendingQueue, "expire_due", lambda self: None)
    long_outage = ["--set", "troubles.0.what=silent", "--set", "troubles.0.until=60"]
    assert main(["emulate", "run", str(file), *long_outage]) == 1
    assert "violation: " in capsys.readouterr().out


def test_a_command_with_a_missing_dependency_names_the_extra_to_install(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setitem(sys.modules, "message_sender.cli.emulate", None)
    assert main(["emulate", "run", "x"]) == 1
    assert "message-sender[cli,emulator]" in capsys.readouterr().err
    monkeypatch.setattr("message_sender.cli.click", None)
    assert main(["--help"]) == 1 and "message-sender[cli]" in capsys.readouterr().err


def test_an_exception_in_a_callback_of_a_run_is_raised(monkeypatch: pytest.MonkeyPatch) -> None:
    def fail(self: object, number: int) -> float:
        raise ZeroDivisionError("planted")

    monkeypatch.setattr(FleetRecorder, "attempt_finished", fail)
    with pytest.raises((RuntimeError, ZeroDivisionError)):
        play(small())


def test_calls_rejected_in_one_window_use_up_a_share_of_the_next_window() -> None:
    draws = ReceiverRandom(0.5, 0.5, 0.0)
    for carried, served in ((0.0, 10), (0.5, 5), (0.2, 8)):
        limit = Limit(10.0, span_s=1.0, carried=carried, tells=1.0)
        receiver = Receiver(Terms(workers=50, limit=limit))
        first = [receiver.call(0.1, "n0", draws).outcome for _ in range(25)]
        second = [receiver.call(1.1, "n0", draws).outcome for _ in range(10)]
        # After a window without rejections.
        skipped = [receiver.call(3.1, "n0", draws).outcome for _ in range(10)]
        counts = [each.count(Outcome.OK) for each in (first, second, skipped)]
        assert counts == [10, served, 10]


def test_a_fleet_of_60_senders_is_accepted_and_one_of_65_is_rejected() -> None:
    """The largest fleet of the operators has 60 senders."""
    assert small(fleet={"senders": 60}).settings(59).fleet_size == 60
    with pytest.raises(ConfigError, match="senders"):
        small(fleet={"senders": 65})
