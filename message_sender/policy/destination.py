"""The state of one destination."""

from message_sender.policy.breaker import NEVER, Breaker, TrackedEndpoint
from message_sender.policy.pending_message import PendingMessage
from message_sender.policy.urgency import Rank, ReadyGroup


class Destination:
    """A destination with its endpoints, breakers and pending messages.

    A destination is *listed only* until the first message for it arrives, *active* from then on, and
    *inactive* after a long time without calls. The breakers of an inactive destination are dropped, and only
    the time of its last use is kept.

    Attributes:
        number: Number of the destination.
        endpoints: Its endpoints that are listed as ready.
        breakers_by_route: Its breakers by endpoint id where the endpoints are separate routes, otherwise a
            single breaker under ""; None unless the destination is active.
        breakers: The breakers of the listed endpoints.
        pending: Its pending messages by id; None instead of an empty dictionary, to save memory.
        ready_groups: The pending messages that may be sent next, by class name and weight factor; None if
            there are none.
        is_weighted: Whether an endpoint has a weight other than 1.
        inactive_since: When the destination was last called before it became inactive, or when its endpoints
            came back into service; None if neither applies.
    """

    __slots__ = (
        "breakers", "breakers_by_route", "endpoints", "inactive_since", "is_weighted", "number", "pending",
        "ready_groups",
    )  # fmt: skip

    def __init__(self, number: int) -> None:
        """Creates a destination that is listed only."""
        self.number = number
        self.endpoints: list[TrackedEndpoint] = []
        self.breakers_by_route: dict[str, Breaker] | None = None
        self.breakers: tuple[Breaker, ...] = ()
        self.pending: dict[str, PendingMessage] | None = None
        self.ready_groups: dict[tuple[str, float], ReadyGroup] | None = None
        self.is_weighted = False
        self.inactive_since: float | None = None

    def add_pending(self, message: PendingMessage) -> None:
        """Adds a pending message."""
        self.pending = self.pending or {}
        self.pending[message.id] = message

    def remove_pending(self, message: PendingMessage) -> None:
        """Removes a message if it is pending at this destination."""
        self.remove_ready(message)
        if self.pending and self.pending.pop(message.id, None) and not self.pending:
            self.pending = None

    def add_ready(self, message: PendingMessage, halves_late_weight: bool) -> None:
        """Adds a pending message to those that may be sent next."""
        if self.ready_groups is None:
            self.ready_groups = {}
        group_key = message.message_class.name, message.weight_factor
        if group_key not in self.ready_groups:
            group = ReadyGroup(message.message_class, message.weight_factor, halves_late_weight)
            self.ready_groups[group_key] = group
        self.ready_groups[group_key].add(message)
        message.is_ready = True

    def remove_ready(self, message: PendingMessage) -> None:
        """Removes a message from those that may be sent next, if it is one of them."""
        if not message.is_ready:
            return
        assert self.ready_groups is not None
        group_key = message.message_class.name, message.weight_factor
        self.ready_groups[group_key].remove(message)
        message.is_ready = False
        if not self.ready_groups[group_key].messages:
            del self.ready_groups[group_key]
        if not self.ready_groups:
            self.ready_groups = None

    def most_urgent(self, now: int) -> tuple[Rank, PendingMessage] | None:
        """Returns the message to send first, with its rank; None if no message may be sent."""
        if not self.ready_groups:
            return None
        return min((each.most_urgent(now) for each in self.ready_groups.values()), default=None)

    def ready_at(self, now: int) -> float:
        """Returns when the first of its breakers allows a call, as estimated now; NEVER without a breaker."""
        return min((each.ready_at(now) for each in self.breakers), default=NEVER)

    def earliest_ready_at(self, now: int) -> float:
        """Returns the first microsecond at which one of its breakers allows a call; NEVER without one."""
        return min((each.earliest_ready_at(now) for each in self.breakers), default=NEVER)
