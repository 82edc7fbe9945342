"""The port through which limits that a fleet shares reach the delivery policy."""

from typing import Protocol

from message_sender.policy.model import Endpoint


class SharedLimits(Protocol):
    """What the limits that the fleet shares leave to this sender.

    The implementation decides nothing: the policy queries it, and reserves what it is about to use.
    """

    def free_at(self, listed: Endpoint, now: int, trial: bool = False, again: bool = False) -> float:
        """Returns when one more call may go to an endpoint.

        Args:
            listed: The endpoint.
            now: The time, us.
            trial: The call is a trial of a destination in doubt.
            again: The call is a retry.

        Returns:
            `now` if the call may go, a later time, or infinity if this sender's part must grow or a call
            must end first. For a call that was denied, `EndpointRegistry.limits_raised` announces the change.
        """
        ...

    def reserve(self, listed: Endpoint, message: str, trial: bool = False, again: bool = False) -> None:
        """Reserves what a call to the endpoint uses; arguments as for `free_at`."""
        ...
