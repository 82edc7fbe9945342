"""Reports changes of a breaker's state and of what is known about outages. Pure: no I/O, no clock."""

from dataclasses import dataclass
from enum import Enum

from message_sender.policy.breaker import Breaker
from message_sender.policy.outage import OutageCause, OutagePhase


class BreakerState(Enum):
    """The state of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


@dataclass(frozen=True, slots=True)
class BreakerStatus:
    """A breaker at one time.

    Attributes:
        state: The state of the breaker.
        phase: What is known about outages of the destination.
        warm_up_since: While the destination warms up: since when, us; 0 otherwise.
    """

    state: BreakerState
    phase: OutagePhase
    warm_up_since: int = 0


#: The status of a breaker without failures and without a known outage.
USUAL_STATUS = BreakerStatus(BreakerState.CLOSED, OutagePhase.SERVING)


@dataclass(frozen=True, slots=True)
class BreakerStatusChanged:
    """The status of a breaker has changed.

    Attributes:
        destination: Number of the destination.
        route: Id of the endpoint, if the endpoints are separate routes; otherwise empty.
        before: The status that was reported last.
        after: The present status.
        cause: Why the destination is taken to be out, or to warm up.
    """

    destination: int
    route: str
    before: BreakerStatus
    after: BreakerStatus
    cause: OutageCause


#: The status of a breaker that is not warming up, by its state and whether its destination is out.
STATUSES = {
    (state, is_out): BreakerStatus(state, OutagePhase.OUT if is_out else OutagePhase.SERVING)
    for state in BreakerState
    for is_out in (False, True)
}


def breaker_status(breaker: Breaker, now: float) -> BreakerStatus:
    """Returns the status of a breaker at this time, us."""
    outage = breaker.outage
    state = BreakerState.CLOSED
    if breaker.is_open():
        state = BreakerState.HALF_OPEN if breaker.trial else BreakerState.OPEN
    if outage.is_out or not outage.is_warming_up(now):
        return STATUSES[state, outage.is_out]
    return BreakerStatus(state, OutagePhase.WARMING_UP, int(outage.warm_up_since))


class StatusReporter:
    """Collects the changes of an iteration.

    Attributes:
        reported: The last reported status of each breaker that does not have the usual one.
        changes: The changes of this iteration.
    """

    def __init__(self) -> None:
        """Starts without breakers."""
        self.reported: dict[Breaker, BreakerStatus] = {}
        self.changes: list[BreakerStatusChanged] = []

    def check(self, breaker: Breaker, now: float) -> None:
        """Adds a change if the breaker's status is no longer the reported one."""
        outage = breaker.outage
        if not (breaker.failures or outage.is_out or outage.is_warming_up(now)):
            if breaker not in self.reported:
                return
            after = USUAL_STATUS
        else:
            after = breaker_status(breaker, now)
        before = self.reported.get(breaker, USUAL_STATUS)
        if after is before or after == before:
            return
        if after == USUAL_STATUS:
            del self.reported[breaker]
        else:
            self.reported[breaker] = after
        change = BreakerStatusChanged(breaker.destination, breaker.route, before, after, outage.cause)
        self.changes.append(change)

    def forget(self, breaker: Breaker) -> None:
        """Drops a breaker that is no longer used."""
        self.reported.pop(breaker, None)
