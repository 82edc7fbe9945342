"""Draining of client connections, requested by operators or by SIGTERM. Pure.

The phases and transitions are:

- **Serving**: the readiness check `/health/ready` succeeds.
- **Draining**, once a drain is requested: the readiness check fails, and each answer closes its connection.
  New connections are served, because the load balancer keeps assigning connections for a short time after the
  first failed check.
- **Drained**, GRACE_S after the request: idle connections are closed as well, between requests. The listener
  stays open because the load balancer continues its readiness checks; each such connection is answered and
  closed.
- Cancelling the request returns to serving immediately, from any phase. A repeated request has no effect: the
  grace period runs from the first one.
- SIGTERM starts the same drain and cannot be cancelled. After the grace period the listener is closed as
  well, and EXIT_DELAY_S after SIGTERM the process ends, even with requests in flight.

All times are in seconds on one monotonic clock.
"""

from enum import Enum

#: The load balancer checks readiness every 0.1 s and assigns connections for up to 0.4 s after the first
#: failed check.
GRACE_S = 0.6
EXIT_DELAY_S = 3.3  # from SIGTERM; SIGKILL may follow 3.7 s from SIGTERM


class DrainPhase(Enum):
    """How client connections are handled."""

    SERVING = "serving"
    DRAINING = "leaving"
    DRAINED = "away"


class Drain:
    """State of the drain: the pending requests and the resulting phase.

    Attributes:
        ordered_at_s: When operators requested the drain; None if they did not.
        terminated_at_s: When SIGTERM was received; None if it was not.
    """

    def __init__(self) -> None:
        """Begins in the serving phase."""
        self.ordered_at_s: float | None = None
        self.terminated_at_s: float | None = None

    def start(self, now: float) -> None:
        """Handles an operator's request to drain, at time `now` in s."""
        if self.ordered_at_s is None:
            self.ordered_at_s = now

    def cancel(self) -> None:
        """Cancels the operators' request."""
        self.ordered_at_s = None

    def terminate(self, now: float) -> None:
        """Handles SIGTERM, received at time `now` in s."""
        if self.terminated_at_s is None:
            self.terminated_at_s = now

    def phase(self, now: float) -> DrainPhase:
        """Returns the phase at time `now` in s."""
        requests = [at_s for at_s in (self.ordered_at_s, self.terminated_at_s) if at_s is not None]
        if not requests:
            return DrainPhase.SERVING
        return DrainPhase.DRAINING if now < min(requests) + GRACE_S else DrainPhase.DRAINED

    def is_listening(self, now: float) -> bool:
        """Whether the listener is open at time `now` in s."""
        return self.terminated_at_s is None or now < self.terminated_at_s + GRACE_S

    def exit_at_s(self) -> float | None:
        """Returns the time at which the process exits, s; None if it does not exit."""
        return None if self.terminated_at_s is None else self.terminated_at_s + EXIT_DELAY_S
