"""The interface through which the delivery policy uses limits that the whole fleet shares."""

from typing import Protocol

from message_sender.policy.model import Endpoint


class SharedLimits(Protocol):
    """This sender's part of the limits that the fleet shares.

    The implementation makes no delivery decisions: the policy queries it, and reserves the part that a call
    is about to use.
    """

    def available_at(
        self, endpoint: Endpoint, now: int, is_trial: bool = False, is_retry: bool = False
    ) -> float:
        """Returns when one more call to an endpoint may be sent.

        Args:
            endpoint: The endpoint.
            now: The time, us.
            is_trial: Whether the call is the trial call of an open breaker.
            is_retry: Whether the call is a retry.

        Returns:
            `now` if the call may be sent at once, a later time, or infinity if this sender's part must grow
            or a call must end first. After a denied call the implementation reports the change through
            `EndpointRegistry.recheck_destination`.
        """
        ...

    def reserve(
        self, endpoint: Endpoint, message_id: str, is_trial: bool = False, is_retry: bool = False
    ) -> None:
        """Reserves the part of the limits that a call uses.

        Args:
            endpoint: The endpoint.
            message_id: Id of the message that the call is sent for.
            is_trial: As for `available_at`.
            is_retry: As for `available_at`.
        """
        ...
