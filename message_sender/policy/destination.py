"""The state of one destination."""

from message_sender.policy.breaker import NEVER, Breaker, TrackedEndpoint
from message_sender.policy.pending_message import PendingMessage
from message_sender.policy.urgency import Rank, ReadyGroup


class Destination:
    """A destination with its endpoints, breakers and pending messages.

    It is *listed only* until the first message for it, *active* from then on, and *inactive* after a long
    time without calls: then its breakers are dropped and only the time of its last use is kept.

    Attributes:
        endpoints: Those listed as ready.
        breakers_by_route: By endpoint id where its endpoints are separate routes, else one under ""; None
            unless it is active.
        breakers: Those of the listed endpoints.
        pending: Its pending messages by id; None instead of an empty one, to save memory.
        ready_groups: Of these, the messages that may go next, by class and weight factor; None if empty.
        is_weighted: The weights of its endpoints differ from 1.
        inactive_since: The last call before it became inactive.
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
        """Removes a message if it is pending here."""
        self.remove_ready(message)
        if self.pending and self.pending.pop(message.id, None) and not self.pending:
            self.pending = None

    def add_ready(self, message: PendingMessage, halves_late_weight: bool) -> None:
        """Adds a pending message to those that may go next."""
        if self.ready_groups is None:
            self.ready_groups = {}
        name = message.message_class.name, message.weight_factor
        if name not in self.ready_groups:
            group = ReadyGroup(message.message_class, message.weight_factor, halves_late_weight)
            self.ready_groups[name] = group
        self.ready_groups[name].add(message)
        message.is_ready = True

    def remove_ready(self, message: PendingMessage) -> None:
        """Removes a message from those that may go next, if it is one."""
        if not message.is_ready:
            return
        assert self.ready_groups is not None
        name = message.message_class.name, message.weight_factor
        self.ready_groups[name].remove(message)
        message.is_ready = False
        if not self.ready_groups[name].messages:
            del self.ready_groups[name]
        if not self.ready_groups:
            self.ready_groups = None

    def most_urgent(self, now: int) -> tuple[Rank, PendingMessage] | None:
        """Returns the message that goes first, with its rank; None if none may go."""
        if not self.ready_groups:
            return None
        return min((each.most_urgent(now) for each in self.ready_groups.values()), default=None)

    def ready_at(self, now: int) -> float:
        """Returns when one of its breakers allows a call, estimated now; NEVER without a breaker."""
        return min((each.ready_at(now) for each in self.breakers), default=NEVER)

    def earliest_ready_at(self, now: int) -> float:
        """Returns the first microsecond at which one of its breakers allows a call."""
        return min((each.earliest_ready_at(now) for each in self.breakers), default=NEVER)
