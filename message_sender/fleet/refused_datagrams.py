"""Logs the number of datagrams that a link rejected, at a bounded rate."""

import logging
from collections.abc import Mapping
from typing import TypeVar

REFUSED_DATAGRAMS_INTERVAL_S = 10.0

ReasonText = TypeVar("ReasonText", bound=str)


class RefusedDatagramsLog:
    """Logs the counts of rejected datagrams by reason when they change, at most once per interval."""

    def __init__(self, component: str, log: logging.Logger) -> None:
        """Creates a log without recorded counts.

        Args:
            component: The prefix of the log line, such as `control`.
            log: The logger to write to.
        """
        self._component = component
        self._log = log
        self._logged_count = 0
        self._logged_at = -REFUSED_DATAGRAMS_INTERVAL_S

    def update(self, refused: Mapping[ReasonText, int], now: float) -> None:
        """Logs the counts if they have changed and the interval has passed.

        Args:
            refused: The number of rejected datagrams by reason, since the start.
            now: Seconds of the monotonic clock.
        """
        count = sum(refused.values())
        if count == self._logged_count or now - self._logged_at < REFUSED_DATAGRAMS_INTERVAL_S:
            return
        self._logged_count = count
        self._logged_at = now
        reasons = "; ".join(f"{number} {reason}" for reason, number in refused.items())
        self._log.warning("%s: datagrams refused: %s", self._component, reasons)
