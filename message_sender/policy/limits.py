"""The interface through which the delivery policy uses limits that the whole fleet shares."""

from typing import Protocol

from message_sender.policy.model import Endpoint


class SharedLimits(Protocol):
    """This sender's part of the limits that the fleet shares.

    The implementation makes no delivery decisions: the policy queries it, and reserves the part that a call
    is about to use.
    """

    def free_at(self, listed: Endpoint, now: int, trial: bool = False, again: bool = False) -> float:
        """Returns when one more call to an endpoint may be sent.

        Args:
            listed: The endpoint.
            now: The time, us.
            trial: Whether the call is the trial call of an open breaker.
            again: Whether the call is a retry.

        Returns:
            `now` if the call may be sent at once, a later time, or infinity if this sender's part must grow
            or a call must end first. After a denied call the implementation reports the change through
            `EndpointRegistry.limits_raised`.
        """
        ...

    def reserve(self, listed: Endpoint, message: str, trial: bool = False, again: bool = False) -> None:
        """Reserves the part of the limits that a call uses.

        Args:
            listed: The endpoint.
            message: Id of the message that the call is sent for.
            trial: As for `free_at`.
            again: As for `free_at`.
        """
        ...
