"""The interface that recovery requires of the engine."""

from dataclasses import dataclass
from typing import Protocol

from message_sender.policy.events import InheritedState
from message_sender.recovery.id_inquiry import IdState


@dataclass(frozen=True, slots=True)
class RouteRate:
    """The rate that a destination announces for a route.

    Attributes:
        route: The route's name.
        rate_per_s: Calls per second; 0: not announced.
        own_gap_us: The time between this member's calls, in microseconds, if all members have equal shares of
            the rate; 0: not known.
    """

    route: str
    rate_per_s: float
    own_gap_us: float


class EnginePort(Protocol):
    """The engine, as recovery sees it."""

    def now(self) -> int:
        """Returns the time of the engine's clock in microseconds."""

    def owed_counts(self) -> dict[int, int]:
        """Returns the number of messages that are owed, by destination."""

    def inherit_state(self, inherited: InheritedState) -> None:
        """Passes states of breakers to the policy, which adopts them."""

    def routes(self, number: int) -> list[RouteRate]:
        """Returns the routes of a destination."""

    def has_open_breaker(self, number: int) -> bool:
        """Whether at least one breaker of the destination is open."""

    def restored_ids(self) -> list[str]:
        """Returns the ids of the messages that were owed at the start."""

    def id_state(self, message_id: str) -> IdState | None:
        """Returns how far this member has processed a message; None: the id is unknown here."""

    def mark_doubtful(self, message_id: str) -> None:
        """Marks an owed message as one that may have run at another member."""

    def out_of_service(self) -> dict[str, float]:
        """Returns how long endpoints are still kept out of service, in seconds, by endpoint."""

    def take_out_of_service(self, endpoint: str, duration_s: float, member: str) -> None:
        """Takes an endpoint out of service because another member does; this member's own record prevails.

        Args:
            endpoint: The endpoint's name.
            duration_s: How long it stays out of service, in seconds.
            member: The other member's name.
        """
