"""The log says when a breaker opens and closes, when a destination is out and when it warms up, and why."""

import logging

import pytest
from helpers import SECOND, World, sent_messages

from message_sender.core.breaker_log import BreakerLog
from message_sender.policy.breaker_status import (
    USUAL_STATUS,
    BreakerState,
    BreakerStatus,
    BreakerStatusChanged,
)
from message_sender.policy.events import PolicyEvent, WakeUp
from message_sender.policy.model import Outcome
from message_sender.policy.outage import OutageCause, OutagePhase


class LoggedWorld(World):
    """A dispatcher whose changes are logged."""

    def __init__(self, **changes: object) -> None:
        self.now = 0
        self.breaker_log = BreakerLog(lambda: self.now / 1e6)
        super().__init__(**changes)

    def step(self, *events: PolicyEvent, after: int = 0):  # type: ignore[no-untyped-def]  # noqa: ANN201
        actions = super().step(*events, after=after)
        self.breaker_log.log_changes(self.dispatcher.status.changes, self.now)
        return actions


def fail_and_recover(world: LoggedWorld) -> None:
    """Opens the breaker; the held message is served as the trial call."""
    world.open_breaker()
    (trial,) = sent_messages(world.step(WakeUp(), after=2 * SECOND))
    world.end_attempt(trial, Outcome.OK, after=0)


@pytest.fixture
def world(caplog: pytest.LogCaptureFixture) -> LoggedWorld:
    caplog.set_level(logging.INFO)
    return LoggedWorld()


def test_an_outage_and_its_end_are_logged(world: LoggedWorld, caplog: pytest.LogCaptureFixture) -> None:
    fail_and_recover(world)
    world.accept("safe", after=20 * SECOND)
    world.end_attempt(f"m{world.count}", Outcome.OK, after=0)
    assert caplog.messages == [
        "breaker opened: destination=1 route= cause=failed",
        "destination out: destination=1 route= cause=failed",
        "breaker half-open: destination=1 route=",
        "breaker closed: destination=1 route=",
        "warm-up began: destination=1 route= cause=failed since_ms=2000",
        "warm-up ended: destination=1 route=",
    ]


def test_a_served_call_without_an_outage_is_not_logged(
    world: LoggedWorld, caplog: pytest.LogCaptureFixture
) -> None:
    world.accept("safe")
    world.end_attempt("m1", Outcome.OK)
    assert caplog.messages == []


def test_many_changes_in_a_short_time_are_counted(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)
    seconds = iter([0.0] * 50 + [11.0] * 50)
    breaker_log = BreakerLog(lambda: next(seconds))
    opened = BreakerStatus(BreakerState.OPEN, OutagePhase.SERVING)
    changes = [BreakerStatusChanged(each, "", USUAL_STATUS, opened, OutageCause.FAILED) for each in range(60)]
    breaker_log.log_changes(changes, 0)
    assert "breaker changes: unreported=29" in caplog.messages
    assert len(caplog.messages) == 20 + 1 + 11
