"""Logs when breakers open and close, when destinations are out, and when they warm up."""

import logging
from collections.abc import Callable, Iterable

from message_sender.core.line_limit import LineLimit
from message_sender.policy.breaker_status import BreakerState, BreakerStatusChanged
from message_sender.policy.outage import OutagePhase

log = logging.getLogger(__name__)


class BreakerLog:
    """Logs the changes that the policy reports; a bounded number of lines in each interval."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Starts without lines.

        Args:
            clock: Returns seconds.
        """
        self._line_limit = LineLimit(self._report_suppressed, clock)

    def log_changes(self, changes: Iterable[BreakerStatusChanged], now_us: int) -> None:
        """Logs the changes of one iteration, which ran at this time in microseconds."""
        for change in changes:
            if self._line_limit.admits_line():
                log_state(change)
                log_phase(change, now_us)

    def _report_suppressed(self, count: int) -> None:
        log.info("breaker changes: unreported=%d", count)


def log_state(change: BreakerStatusChanged) -> None:
    """Logs a change of the breaker's state."""
    if change.after.state is change.before.state:
        return
    where = change.destination, change.route
    if change.after.state is BreakerState.OPEN:
        log.info("breaker opened: destination=%d route=%s cause=%s", *where, change.cause.value)
    elif change.after.state is BreakerState.HALF_OPEN:
        log.info("breaker half-open: destination=%d route=%s", *where)
    else:
        log.info("breaker closed: destination=%d route=%s", *where)


def log_phase(change: BreakerStatusChanged, now_us: int) -> None:
    """Logs a change of what is known about an outage."""
    before, after = change.before, change.after
    if after.phase is before.phase and after.warm_up_since == before.warm_up_since:
        return
    where = change.destination, change.route
    if after.phase is OutagePhase.OUT:
        log.info("destination out: destination=%d route=%s cause=%s", *where, change.cause.value)
    elif after.phase is OutagePhase.WARMING_UP:
        age_ms = (now_us - after.warm_up_since) // 1000
        log.info(
            "warm-up began: destination=%d route=%s cause=%s since_ms=%d", *where, change.cause.value, age_ms
        )
    else:
        log.info("warm-up ended: destination=%d route=%s", *where)
