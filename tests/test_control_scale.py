"""Simulated senders and four real control nodes on virtual time; each run gives the same counts and times."""

from functools import partial

import pytest

from benchmarks.scale import plan
from benchmarks.scale.changes import (
    Day,
    Fault,
    measure_day,
    measure_lost_node,
    measure_start,
    measure_zone_return,
)
from benchmarks.scale.control_plane import ZONE_OF_NODE, HollowControlPlane, RunParameters
from benchmarks.scale.quantity import quantity_of
from benchmarks.scale.results import Point, Source

SENDERS = 40


@pytest.fixture(scope="module")
def day() -> Day:
    return measure_day(RunParameters(SENDERS, 130, loss=0.01))


def test_a_day_stays_within_the_operators_limits(day: Day) -> None:
    assert day.in_force.missing == 0
    assert day.in_force.count >= 20 * SENDERS
    assert day.in_force.longest < plan.IN_FORCE_WITHIN_S
    assert day.confirmed_longest < 1.0
    assert day.rest_bytes < plan.CONTROL_BYTES_PER_S / 5
    assert 1.6 < day.rest_datagrams < 2.6, "a poll and its answer each second"


def test_counts_and_times_are_the_same_in_each_run(day: Day) -> None:
    again = measure_day(RunParameters(SENDERS, 130, loss=0.01))
    assert (again.in_force, again.rest_bytes, again.worst_bytes, again.node_worst_bytes) == (
        day.in_force,
        day.rest_bytes,
        day.worst_bytes,
        day.node_worst_bytes,
    )


def test_a_killed_leader_delays_changes_no_longer_than_allowed() -> None:
    fault: Fault = measure_lost_node(RunParameters(SENDERS, 150, loss=0.01))
    assert fault.in_force.missing == 0
    assert fault.in_force.longest < plan.IN_FORCE_WITHIN_S
    assert fault.node_changes > 0


def test_a_zone_that_returns_without_stored_documents_soon_has_the_newest_version() -> None:
    fault = measure_zone_return(RunParameters(SENDERS, 90, loss=0.01))
    assert fault.returned.count == SENDERS // 5 and fault.returned.missing == 0
    assert fault.returned.longest < 10
    assert fault.in_force.missing == 0 and fault.in_force.longest < plan.IN_FORCE_WITHIN_S


def test_senders_that_start_together_get_the_document_within_the_byte_budget() -> None:
    fault = measure_start(RunParameters(SENDERS, 60))
    assert fault.returned.count == SENDERS and fault.returned.missing == 0
    assert fault.returned.longest < 10
    assert fault.node_worst_bytes < 9_500_000, "the budget of 8 MB a second, its burst, and the notices"


def test_every_sender_and_node_ends_with_the_leaders_document() -> None:
    plane = HollowControlPlane(RunParameters(SENDERS, 60, loss=0.05, seed=3))
    for at in range(10, 40):
        plane.at(at, plane.request_change)
    plane.at(20.5, partial(plane.kill_node, "c1"))
    plane.run(60)
    leader = plane.leader()
    assert leader is not None and leader.store.document.version == plane.first_version + 30
    assert {node.store.document.digest for node in plane.nodes.values()} == {leader.store.document.digest}
    for sender in plane.senders.values():
        assert sender.watch.document.resources == leader.store.document.resources
        assert sender.watch.node != "c1"


def test_without_a_majority_changes_wait_and_the_active_version_stays() -> None:
    plane = HollowControlPlane(RunParameters(SENDERS, 60, seed=4))
    plane.run(10)
    for name in ("c1", "c2"):
        plane.kill_node(name)
    plane.request_change()
    plane.run(40)
    assert {sender.watch.document.version for sender in plane.senders.values()} == {plane.first_version}
    ages = [sender.watch.status(plane.now).age for sender in plane.senders.values()]
    assert all(25 < age < 31 for age in ages), "shown as old, also where a node without a majority answers"
    assert set(plane.nodes) < set(ZONE_OF_NODE)


def test_a_line_is_fitted_by_least_squares() -> None:
    points = [Point(10, 21), Point(20, 41), Point(30, 61)]
    quantity = quantity_of("x", "x", "B", "senders", Source.COUNT, points, plan.SENDERS)
    assert quantity.line.slope == pytest.approx(2) and quantity.line.intercept == pytest.approx(1)
    assert quantity.line.relative_residual == pytest.approx(0, abs=1e-9)
    assert quantity.planned_value == pytest.approx(1261) and quantity.is_extrapolated
