"""The port through which limits that a fleet shares reach the delivery policy."""

from typing import Protocol

from message_sender.policy.model import Endpoint


class SharedLimits(Protocol):
    """What a budget that the fleet shares leaves this sender. Nothing here decides anything: the module asks,
    and reserves what it is about to use."""

    def free_at(self, listed: Endpoint, now: int, trial: bool = False, again: bool = False) -> float:
        """When one more call may go there: now, later, or not before a part grows or a call ends; what was
        denied is made known then (`EndpointRegistry.leave_grew`). `trial`: of a destination that is in doubt;
        `again`: of a message that went before."""

    def reserve(self, listed: Endpoint, message: str, trial: bool = False, again: bool = False) -> None: ...
