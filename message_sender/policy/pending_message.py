"""The state of one message that the policy has accepted and not completed."""

from message_sender.policy.events import MessageAccepted
from message_sender.policy.model import MessageClass


class PendingMessage:
    """A message that the policy has accepted and not completed.

    Attributes:
        deadline: When the message must have been delivered.
        created_at: When the full deadline of its class began to run.
        received_at: When this process accepted or restored it.
        weight_factor: Factor applied to the weight of its class; below 1 if its tenant is over quota.
        attempts: Number of attempts so far.
        withheld: Number of those that the sender held back before their first byte.
        is_in_flight: Whether an attempt is in flight.
        is_completed: Whether it needs no further attempt.
        is_restored: Whether an earlier process accepted it.
        uncertain_since: When the first attempt that may have run was sent; None if there is none.
        uncertain_zone: The zone of that attempt.
        sequence: Position in the order of pending messages.
        is_ready: Whether it is in a `ReadyGroup` of its destination.
    """

    def __init__(
        self, accepted: MessageAccepted, message_class: MessageClass, now: int, weight_factor: float
    ) -> None:
        """Creates a message that has not been attempted."""
        self.id = accepted.message
        self.message_class = message_class
        self.destination = accepted.destination
        self.key = accepted.key if message_class.is_ordered else ""
        self.pinned_endpoint = accepted.pinned_endpoint
        self.deadline = now + accepted.time_left_us
        self.created_at = self.deadline - message_class.deadline
        self.received_at = now
        self.weight_factor = weight_factor
        self.attempts = 0
        self.withheld = 0
        self.is_in_flight = False
        self.is_completed = False
        self.is_restored = False
        self.uncertain_since: int | None = None
        self.uncertain_zone = ""
        self.sequence = 0
        self.is_ready = False

    def counted_attempts(self) -> int:
        """Returns the number of attempts that count against the maximum."""
        return self.attempts - self.withheld
