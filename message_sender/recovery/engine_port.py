"""What recovery needs of the engine."""

from dataclasses import dataclass
from typing import Protocol

from message_sender.policy.events import InheritedState
from message_sender.recovery.id_inquiry import IdState


@dataclass(frozen=True, slots=True)
class RouteRate:
    """The rate that a destination announces for a route.

    Attributes:
        route: Its name.
        rate_per_s: Calls a second; 0: not announced.
        own_gap_us: Between this member's calls if all members have equal shares; 0: not known.
    """

    route: str
    rate_per_s: float
    own_gap_us: float


class EnginePort(Protocol):
    """The engine, as recovery sees it."""

    def now(self) -> int:
        """Returns the engine's clock, us."""

    def owed_counts(self) -> dict[int, int]:
        """Returns how many messages are owed, by destination."""

    def inherit_state(self, inherited: InheritedState) -> None:
        """Lets the policy take over the state of breakers."""

    def routes(self, number: int) -> list[RouteRate]:
        """Returns the routes of a destination."""

    def has_open_breaker(self, number: int) -> bool:
        """Whether a breaker of the destination is open."""

    def restored_ids(self) -> list[str]:
        """Returns ids of messages that were owed at the start."""

    def id_state(self, message_id: str) -> IdState | None:
        """Returns how far a message came here; None: it is not known."""

    def mark_doubtful(self, message_id: str) -> None:
        """An owed message may have run elsewhere."""

    def out_of_service(self) -> dict[str, float]:
        """Returns endpoints that are kept out of service, and for how long yet, s."""

    def take_out_of_service(self, endpoint: str, duration_s: float, member: str) -> None:
        """Another member keeps it out of service for so long. What is known here itself counts."""
