"""Connects the overrides of a standalone sender to its engine and its fleet."""

import logging
from typing import TYPE_CHECKING

from message_sender.core.hooks import EngineHooks
from message_sender.discovery.overridden import OverriddenDirectory
from message_sender.discovery.overrides import OverrideError, OverrideKind
from message_sender.message import Message
from message_sender.policy.model import EndpointState, Outcome

if TYPE_CHECKING:
    from message_sender.fleet.udp import FleetLink
    from message_sender.recovery.startup import RecoveryStart

#: The time for which other members, after a power loss, keep an endpoint out of service that this sender's
#: list has as draining.
DRAINED_ENDPOINT_OUT_S = 60.0
#: The longest validity of another member's order at this sender.
OUT_OF_SERVICE_LIMIT_S = 6 * 86_400.0

log = logging.getLogger(__name__)


class OverrideHooks(EngineHooks):
    """Applies the overrides that pin messages, and reports outcomes to outlier detection."""

    def __init__(self, overrides: OverriddenDirectory) -> None:
        """Initializes the hooks with the sender's overrides."""
        self.overrides = overrides

    def pinned_endpoint(self, message: Message) -> str:
        """Returns the id of the endpoint to which the message's key or tenant is pinned."""
        return self.overrides.layer.pinned_endpoint(message.tenant, message.key)

    def attempt_finished(self, endpoint: str, outcome: Outcome) -> None:
        """Counts the outcome for outlier detection."""
        self.overrides.record_outcome(endpoint, outcome)


class OverriddenOutOfService:
    """The endpoints that overrides or the list take out of service; implements `OutOfServiceEndpoints`."""

    def __init__(
        self, overrides: OverriddenDirectory, link: "FleetLink", recovery_start: "RecoveryStart | None"
    ) -> None:
        """Initializes with the sources of the sender's state.

        Args:
            overrides: The sender's overrides.
            link: The link to the fleet.
            recovery_start: The recovery of the sender's start; None if its journal does not survive a crash
                of the machine.
        """
        self.overrides = overrides
        self.link = link
        self.recovery_start = recovery_start

    def remaining_s(self) -> dict[str, float]:
        """Returns the seconds for which each endpoint stays out of service, by its id."""
        now = self.overrides.now()
        overlay = self.overrides.layer
        drained = {
            endpoint.id: DRAINED_ENDPOINT_OUT_S
            for endpoint in overlay.listed.values()
            if endpoint.state is EndpointState.DRAINING
        }
        overridden = {
            endpoint_id: max(override.until - now, 0) / 1e6
            for endpoint_id, override in overlay.active.out.items()
        }
        return drained | overridden

    def take_over(self, endpoint: str, remaining_s: float, member: str) -> None:
        """Sets another member's override at this sender.

        The override is ignored if this sender's disk is known to have the latest state.

        Args:
            endpoint: The endpoint's id.
            remaining_s: The seconds for which it stays out of service.
            member: The other member's name.
        """
        if self.recovery_start and self.recovery_start.is_state_current() and not self.link.node.is_behind:
            return
        now = self.overrides.now()
        until = now + int(min(remaining_s, OUT_OF_SERVICE_LIMIT_S) * 1e6)
        try:
            self.overrides.set(
                OverrideKind.OUT, endpoint, member, "this member keeps it out of service", now, until
            )
        except (OverrideError, OSError) as error:
            log.warning(
                "fleet: override not taken over: member=%s endpoint=%s reason=%s", member, endpoint, error
            )
