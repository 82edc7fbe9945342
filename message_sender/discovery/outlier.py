"""Outlier detection: ejects an endpoint that fails while others of its destination succeed. Pure.

The circuit breaker covers a destination; outlier detection compares an endpoint with the others of its
destination, like Envoy's outlier detection:

- `failures` consecutive failures eject an endpoint if another endpoint of its destination has served a call
  since the first of these failures.
- The ejection lasts `base_duration_us` times the number of the endpoint's recent ejections, at most
  `max_duration_us`; each served call reduces this number by one.
- At most `max_share` of a destination's endpoints are ejected at once, and never the last one in service.

Times are microseconds.
"""

from dataclasses import dataclass


@dataclass(slots=True)
class FailureRecord:
    """The recent results of one endpoint.

    Attributes:
        failures: Number of consecutive failures.
        first_failure_at: When the first of these failures happened.
        last_success_at: When a call was last served; -1 if never.
        ejections: Number of recent ejections.
    """

    failures: int = 0
    first_failure_at: int = 0
    last_success_at: int = -1
    ejections: int = 0


@dataclass(frozen=True, slots=True)
class EjectionPolicy:
    """When and for how long endpoints are ejected; see the module docstring."""

    failures: int = 5
    base_duration_us: int = 30_000_000
    max_duration_us: int = 300_000_000
    max_share: float = 0.5


class OutlierDetector:
    """Decides which endpoints are ejected.

    Attributes:
        records: Results by endpoint id.
        ejected_until: End of each ejection, by endpoint id.
    """

    def __init__(self, policy: EjectionPolicy) -> None:
        """Creates a detector without recorded results."""
        self.policy = policy
        self.records: dict[str, FailureRecord] = {}
        self.ejected_until: dict[str, int] = {}

    def record_success(self, name: str, now: int) -> None:
        """Records a served call."""
        record = self.records.setdefault(name, FailureRecord())
        record.failures = 0
        record.last_success_at = now
        record.ejections = max(record.ejections - 1, 0)

    def record_failure(self, name: str, now: int, in_service: list[str], ejected_others: int) -> bool:
        """Records a failed call.

        Args:
            name: The endpoint's id.
            now: The current time.
            in_service: Ids of its destination's endpoints that are in service, itself included.
            ejected_others: Number of its destination's endpoints that are ejected.

        Returns:
            Whether the endpoint is ejected from now on.
        """
        record = self.records.setdefault(name, FailureRecord())
        if not record.failures:
            record.first_failure_at = now
        record.failures += 1
        if record.failures < self.policy.failures:
            return False
        if name in self.ejected_until or name not in in_service:
            return False
        if not any(self.has_served(each, record.first_failure_at) for each in in_service if each != name):
            return False  # the whole destination fails, which the circuit breaker handles
        if ejected_others + 1 > self.policy.max_share * (len(in_service) + ejected_others):
            return False
        record.ejections += 1
        record.failures = 0
        duration = min(self.policy.base_duration_us * record.ejections, self.policy.max_duration_us)
        self.ejected_until[name] = now + duration
        return True

    def has_served(self, name: str, since: int) -> bool:
        """Whether an endpoint has served a call at or after `since`."""
        return name in self.records and self.records[name].last_success_at >= since

    def expire(self, now: int) -> list[str]:
        """Removes the ejections that are over and returns their endpoint ids."""
        expired = [name for name, until in self.ejected_until.items() if until <= now]
        for name in expired:
            del self.ejected_until[name]
        return expired

    def next_change(self) -> int | None:
        """Returns when the next ejection ends; None if nothing is ejected."""
        return min(self.ejected_until.values(), default=None)

    def remove(self, name: str) -> None:
        """Drops the results and the ejection of an endpoint that is no longer listed."""
        self.records.pop(name, None)
        self.ejected_until.pop(name, None)
