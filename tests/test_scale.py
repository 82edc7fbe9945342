"""The scale tests at small sizes, by counts and on virtual time, and the processing of their results."""

import asyncio
import random
from pathlib import Path

import pytest

from benchmarks.scale import (
    destinations,
    fit,
    held,
    hollow,
    limits,
    load,
    members,
    messages,
    outage,
    page,
    restarts,
    results,
)
from benchmarks.scale.command import main
from benchmarks.scale.quantity import quantity_of
from benchmarks.scale.registry import DIMENSIONS
from benchmarks.scale.results import Allowance, Effort, Measured, Point, Quantity, Source


def by_name(measured: Measured) -> dict[str, Quantity]:
    return {quantity.name: quantity for quantity in measured.quantities}


def make_quantity(points: list[Point], planned_size: float, most: float | None = None) -> Quantity:
    allowance = None if most is None else Allowance("a mechanism", most, "a reason")
    return quantity_of("q", "a quantity", "B", "items", Source.COUNT, points, planned_size, allowance)


# The fitted line and the value at the planned size.


def test_an_exact_line_is_found_without_residual() -> None:
    line = fit.fit_line([Point(size, 3.0 * size + 7.0) for size in (1, 5, 10, 40)])
    assert line.slope == pytest.approx(3.0) and line.intercept == pytest.approx(7.0)
    assert line.relative_residual == pytest.approx(0.0, abs=1e-12)
    assert (line.smallest, line.largest) == (1, 40)
    assert fit.value_at(line, 100) == pytest.approx(307.0)


def test_noise_appears_as_residual() -> None:
    rng = random.Random(3)
    points = [Point(size, 100.0 + rng.choice((-10.0, 10.0))) for size in range(1, 201)]
    line = fit.fit_line(points)
    assert line.relative_residual == pytest.approx(0.1, rel=0.05)
    assert abs(line.slope) < 0.05


def test_a_line_needs_two_sizes() -> None:
    with pytest.raises(ValueError, match="two different sizes"):
        fit.fit_line([Point(5, 1.0), Point(5, 2.0)])


def test_sizes_beyond_ten_times_the_range_are_marked_but_a_measured_size_never_is() -> None:
    points = [Point(10, 10.0), Point(20, 20.0)]
    assert not make_quantity(points, 200).is_extrapolated
    assert make_quantity(points, 201).is_extrapolated
    at_plan = make_quantity([*points, Point(500, 499.0)], 500)
    assert at_plan.is_measured_at_plan and not at_plan.is_extrapolated and at_plan.planned_value == 499.0


def test_points_beyond_the_linear_range_are_kept_and_not_fitted() -> None:
    points = [Point(10, 10.0), Point(20, 20.0), Point(100, 30.0)]
    quantity = quantity_of("q", "t", "B", "items", Source.COUNT, points, 40, fit_up_to=20)
    assert quantity.planned_value == pytest.approx(40.0) and len(quantity.points) == 3


# Limits.


def test_an_allowance_is_exceeded_between_points_on_the_line_or_never() -> None:
    points = [Point(10, 10.0), Point(20, 30.0)]
    assert limits.size_at_allowance(make_quantity(points, 100, most=20.0)) == pytest.approx(15.0)
    assert limits.size_at_allowance(make_quantity(points, 100, most=5.0)) == pytest.approx(5.0)
    assert limits.size_at_allowance(make_quantity(points, 100, most=70.0)) == pytest.approx(40.0)
    falling = make_quantity([Point(10, 10.0), Point(20, 5.0)], 100, most=70.0)
    assert limits.size_at_allowance(falling) == float("inf")


def test_limits_are_sorted_by_fraction_and_unmeasured_ones_come_first() -> None:
    points = [Point(10, 10.0), Point(20, 20.0)]
    measured = Measured((make_quantity(points, 100, most=50.0), make_quantity(points, 100, most=15.0)))
    result = results.Result("d", "t", "c", results.environment_since(0.0), measured)
    fractions = [limit.fraction for limit in limits.limits_in_order({"d": result})]
    assert fractions == [0.0, pytest.approx(0.15), pytest.approx(0.5)]
    far = Measured((make_quantity(points, 1000, most=201.0), make_quantity(points, 1000, most=199.0)))
    marks = limits.limits_in_order({"d": results.Result("d", "t", "c", result.environment, far)})
    assert [limit.is_extrapolated for limit in marks] == [False, False, True]
    changes = results.Result("changes", "t", "c", results.environment_since(0.0), Measured(()))
    assert limits.limits_in_order({"changes": changes}) == []


# Files and page.


def test_a_result_is_unchanged_after_writing_and_reading(tmp_path: Path) -> None:
    measured = Measured((make_quantity([Point(10, 10.0), Point(20, 20.0)], 100, most=50.0),))
    result = results.Result("d", "t", "c", results.environment_since(0.0), measured)
    results.write(result, tmp_path)
    assert results.read_all(tmp_path) == {"d": result}


def test_a_page_that_differs_from_the_results_is_detected_and_updated(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    measured = Measured((make_quantity([Point(10, 10.0), Point(20, 20.0)], 500, most=50.0),))
    results.write(results.Result("d", "t", "c", results.environment_since(0.0), measured), tmp_path)
    path = tmp_path / "page.md"
    path.write_text("Before\n<!-- table: slopes -->\nold\n<!-- end -->\nafter\n")
    assert page.update(write=False, path=path, folder=tmp_path) == 1
    assert page.update(write=True, path=path, folder=tmp_path) == 0
    assert page.update(write=False, path=path, folder=tmp_path) == 0
    text = path.read_text()
    assert text.startswith("Before\n") and text.endswith("after\n") and "old" not in text
    assert "500 B (extrapolated)" in text
    path.write_text(text.replace("500 B", "501 B"))
    assert page.update(write=False, path=path, folder=tmp_path) == 1
    path.write_text("<!-- table: none -->\n<!-- end -->\n")
    with pytest.raises(page.UnknownTableError):
        page.update(write=False, path=path, folder=tmp_path)


def test_numbers_are_rounded_to_three_digits() -> None:
    values = (0, 1234567, 12345, 123.4, 12.34, 1.234, 0.01234, 1e-9)
    texts = [page.number(value) for value in values]
    assert texts == ["0", "1,230,000", "12,300", "123", "12.3", "1.23", "0.0123", "1.00e-09"]


# Members.


def test_the_link_at_rest_costs_more_with_each_member_and_the_same_in_each_run() -> None:
    first, again = (members.measure_rest(10) for _ in range(2))
    assert (first.datagrams, first.sent_bytes) == (again.datagrams, again.sent_bytes)
    more = members.measure_rest(20)
    assert first.sent_bytes < more.sent_bytes < 2 * first.sent_bytes
    # One ping and one acknowledgement go out in each half second; the rest are announcements.
    assert 4.0 < first.datagrams < 4.0 + 9


def test_every_member_receives_every_announcement_and_none_is_suspected() -> None:
    fleet = hollow.HollowFleet(8, 200)
    fleet.join_all()
    fleet.run(3.0)
    assert all(fleet.count_informed(1, name) == 7 for name in fleet.nodes)
    assert not any(node.members.changes for node in fleet.nodes.values())
    assert not any(node.counters.refused for node in fleet.nodes.values())


def test_a_change_reaches_all_members_despite_lost_datagrams() -> None:
    fleet = hollow.HollowFleet(10, 200, loss=0.3)
    fleet.join_all()
    fleet.nodes["n0"].publish(b"new", fleet.now)
    fleet.flush("n0")
    fleet.run(0.01)
    assert 0 < fleet.count_informed(2, "n0") < 9
    fleet.run(30.0, lambda: fleet.count_informed(2, "n0") == 9)
    assert fleet.count_informed(2, "n0") == 9 and fleet.now < 30.0


def test_the_dimension_members_reports_each_quantity() -> None:
    quantities = by_name(members.run(Effort.SMALL))
    assert set(quantities) == {"bytes_at_rest", "datagrams_at_rest", "cpu_at_rest", "spread", "memory"}
    assert quantities["bytes_at_rest"].line.slope > 0 and quantities["memory"].line.slope > 0
    assert quantities["bytes_at_rest"].is_extrapolated  # 630 members from 20


# Destinations.


def test_a_used_destination_takes_more_memory_than_a_listed_one() -> None:
    quantities = by_name(destinations.run(Effort.SMALL))
    listed, used = quantities["listed_bytes"].line, quantities["used_bytes"].line
    assert 200 < listed.slope < used.slope < 10_000
    assert listed.relative_residual < 0.05 and used.relative_residual < 0.05
    line = quantities["list_line_bytes"]
    assert line.allowance and line.planned_value > line.allowance.most  # no sender can read the planned list


def test_calls_to_a_destination_that_is_down_are_fewer_in_a_larger_fleet() -> None:
    alone, among_many = (outage.calls_while_down(size, 60.0) for size in (1, 630))
    assert 2 <= among_many < alone < 60


# Held messages.


def test_memory_and_disk_space_grow_in_proportion_to_held_messages() -> None:
    quantities = by_name(held.run(Effort.SMALL))
    assert set(quantities) == {"journal_bytes", "policy_bytes", "held_bytes", "disk_bytes", "ready_s"}
    for name in ("journal_bytes", "policy_bytes", "disk_bytes"):
        assert 300 < quantities[name].line.slope < 3_000 and quantities[name].line.relative_residual < 0.1
    both = quantities["journal_bytes"].line.slope + quantities["policy_bytes"].line.slope
    assert quantities["held_bytes"].line.slope == pytest.approx(both)


def test_the_journal_writes_each_delivered_message_several_times() -> None:
    written = held.in_folder(held.written_per_message, 200)
    assert written > 2 * held.BODY_BYTES


# Messages.


def test_a_complete_sender_accepts_all_offered_messages_in_each_situation() -> None:
    sizes = messages.SIZES[Effort.SMALL]
    with load.run_stand_ins() as stand_ins:
        served = {
            each.name: asyncio.run(messages.measure(stand_ins, each, 200.0, sizes))
            for each in messages.SITUATIONS
        }
    assert all(each.offered == each.accepted == 60 for each in served.values())
    assert served["calm"].delivered == served["backlog"].delivered == 60
    # Destinations 1 to 60 get one message each; those below load.DOWN are down.
    assert served["down"].delivered == 60 - (load.DOWN - 1)


# Restarts.


def test_a_restart_costs_more_in_a_larger_fleet_and_is_known_to_all_in_the_end() -> None:
    small, large = restarts.measure(6, 1), restarts.measure(12, 1)
    assert small.is_complete and large.is_complete
    assert 0 < small.hellos < large.hellos and small.restarted_bytes < large.restarted_bytes
    assert restarts.measure(12, 1) == large


def test_the_dimension_restarts_reports_each_quantity() -> None:
    measured = restarts.run(Effort.SMALL)
    names = {"other_bytes", "hellos", "one_other_bytes", "one_pair_bytes", "one_pair_hellos"}
    assert set(by_name(measured)) == names | {"one_restarted_bytes"}
    pair, whole = by_name(measured)["one_pair_bytes"], by_name(measured)["one_restarted_bytes"]
    assert whole.planned_value == pytest.approx(pair.planned_value * 629)
    assert by_name(measured)["hellos"].line.slope > 0
    assert [figure.value for figure in measured.figures] == [1.0]


def test_every_dimension_is_registered_and_an_unknown_one_is_rejected() -> None:
    assert set(DIMENSIONS) >= {"members", "destinations", "held", "messages", "restarts"}
    assert main(["nothing"]) == 2


def test_the_capacity_page_matches_the_results_and_contains_every_table() -> None:
    text = page.PAGE.read_text()
    assert {name for _, name, _ in page.MARKED.findall(text)} == set(page.TABLES)
    assert set(results.read_all()) <= set(DIMENSIONS)
    assert page.update(write=False) == 0
