"""Sending clients away: one machine for the operators' call and for SIGTERM. Pure.

The rules:

- **serving**: `/health/ready` says yes.
- **leaving**, from the order on: it says no, and every answer closes its connection. Connections that come
  are served: the front deals them out for a while after the first no.
- **away**, `GRACE` later: what stands idle is closed too, between requests. The listener stays, since the
  front goes on asking; one that asks is answered and closed.
- The order taken back leads to serving at once, from anywhere. A second order changes nothing: its time runs
  from the first.
- SIGTERM orders the same and cannot be taken back; after the grace the listener is closed as well, and `STOP`
  after it the process ends, whatever is still out.

Times are seconds of one clock that never goes back.
"""

from enum import Enum

GRACE = 0.6  # s; the front asks every 0.1 s and deals out new connections for up to 0.4 s after the first no
STOP = 3.3  # s after SIGTERM: the process ends, well before SIGKILL may come at 3.7 s


class DrainPhase(Enum):
    SERVING = "serving"
    LEAVING = "leaving"
    AWAY = "away"


class Drain:
    def __init__(self) -> None:
        self.ordered_at: float | None = None  # s, by the operators
        self.stopped_at: float | None = None  # s, by SIGTERM

    def fail(self, now: float) -> None:
        """The order to send clients away."""
        if self.ordered_at is None:
            self.ordered_at = now

    def ok(self) -> None:
        """The order is taken back."""
        self.ordered_at = None

    def stop(self, now: float) -> None:
        if self.stopped_at is None:
            self.stopped_at = now

    def phase(self, now: float) -> DrainPhase:
        orders = [each for each in (self.ordered_at, self.stopped_at) if each is not None]
        if not orders:
            return DrainPhase.SERVING
        return DrainPhase.LEAVING if now < min(orders) + GRACE else DrainPhase.AWAY

    def listens(self, now: float) -> bool:
        return self.stopped_at is None or now < self.stopped_at + GRACE

    def ends_at(self) -> float | None:
        """When the process ends; None: it goes on."""
        return None if self.stopped_at is None else self.stopped_at + STOP
