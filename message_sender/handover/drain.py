"""Graceful shutdown of clients' connections, by the operators' call and for SIGTERM. Pure.

The rules:

- **Serving**: `/health/ready` says yes.
- **Draining**, from the order on: it says no, and every answer closes its connection. Connections that come
  are served: the front deals them out for a while after the first no.
- **Drained**, GRACE_S later: what stands idle is closed too, between requests. The listener stays, since the
  front goes on asking; one that asks is answered and closed.
- Cancelling the order leads to serving at once, from anywhere. A second order changes nothing: its time runs
  from the first.
- SIGTERM orders the same and cannot be cancelled; after the grace the listener is closed as well, and
  EXIT_DELAY_S after it the process ends, whatever is in flight.

Times are seconds of one clock that never goes back.
"""

from enum import Enum

GRACE_S = 0.6  # the front asks every 0.1 s and deals out new connections for up to 0.4 s after the first no
EXIT_DELAY_S = 3.3  # from SIGTERM; SIGKILL may come at 3.7 s


class DrainPhase(Enum):
    """How clients' connections are treated."""

    SERVING = "serving"
    DRAINING = "leaving"
    DRAINED = "away"


class Drain:
    """The orders to drain, and what follows from them.

    Attributes:
        ordered_at_s: When the operators ordered it; None: they did not.
        terminated_at_s: When SIGTERM came; None: it did not.
    """

    def __init__(self) -> None:
        """Begins without an order."""
        self.ordered_at_s: float | None = None
        self.terminated_at_s: float | None = None

    def start(self, now: float) -> None:
        """The operators order it."""
        if self.ordered_at_s is None:
            self.ordered_at_s = now

    def cancel(self) -> None:
        """The operators cancel their order."""
        self.ordered_at_s = None

    def terminate(self, now: float) -> None:
        """SIGTERM came."""
        if self.terminated_at_s is None:
            self.terminated_at_s = now

    def phase(self, now: float) -> DrainPhase:
        """Returns how clients' connections are treated now."""
        orders = [at_s for at_s in (self.ordered_at_s, self.terminated_at_s) if at_s is not None]
        if not orders:
            return DrainPhase.SERVING
        return DrainPhase.DRAINING if now < min(orders) + GRACE_S else DrainPhase.DRAINED

    def is_listening(self, now: float) -> bool:
        """Whether the listener is open."""
        return self.terminated_at_s is None or now < self.terminated_at_s + GRACE_S

    def exit_at_s(self) -> float | None:
        """Returns when the process ends; None: it goes on."""
        return None if self.terminated_at_s is None else self.terminated_at_s + EXIT_DELAY_S
