"""The commands of a standalone sender's control socket.

The keys of requests and responses are part of the socket's protocol.
"""

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any, Protocol

from message_sender.control_socket import Command
from message_sender.core import explain
from message_sender.core.engine import Engine
from message_sender.discovery.file import FileDirectory
from message_sender.discovery.overridden import OverriddenDirectory
from message_sender.discovery.overrides import Override, OverrideKind
from message_sender.discovery.static import StaticDirectory
from message_sender.policy.model import Endpoint

if TYPE_CHECKING:
    from message_sender.service.control_link import SenderControl
    from message_sender.service.membership import Membership

Request = Mapping[str, Any]


class CommandTarget(Protocol):
    """The parts of a sender that the commands use."""

    engine: Engine
    directory: StaticDirectory
    overrides: OverriddenDirectory
    membership: "Membership | None"
    control_plane: "SenderControl | None"


class StandaloneCommands:
    """Executes the commands on one sender."""

    def __init__(self, sender: CommandTarget) -> None:
        """Stores the sender, which may still be incomplete: its parts are read when a command is executed."""
        self.sender = sender

    def by_name(self) -> dict[str, Command]:
        """Returns each command by its name, which is the value of a request's key `do`."""
        return {
            "set": self.set_override,
            "list": self.list_overrides,
            "end": self.end_override,
            "extend": self.extend_override,
            "endpoints": self.list_endpoints,
            "fleet": self.describe_fleet,
            "budgets": self.describe_budgets,
            "control": self.describe_control_plane,
            "confirm": self.confirm_lists,
            "explain": self.explain_destination,
        }

    # Overrides.

    def set_override(self, request: Request) -> dict[str, Any]:
        """Sets an override."""
        overrides = self.sender.overrides
        override = overrides.set(
            OverrideKind(request["kind"]),
            request["endpoint"],
            request["who"],
            request["why"],
            request["begins"],
            request["until"],
            request.get("weight", 1.0),
            request.get("destination", -1),
            request.get("tenant", ""),
            request.get("key", ""),
        )
        return {"override": override.as_json(), "in_vain": overrides.ineffective.get(override.name, "")}

    def list_overrides(self, _request: Request) -> dict[str, Any]:
        """Returns all overrides, those without effect, and destinations without an endpoint in service."""
        overrides = self.sender.overrides
        listed = [override.as_json() for override in overrides.book.overrides.values()]
        return {
            "overrides": listed,
            "in_vain": overrides.ineffective,
            "all_out": overrides.unserved_destinations,
        }

    def end_override(self, request: Request) -> dict[str, Any]:
        """Ends an override before its expiry."""
        override = self.sender.overrides.end(request["name"], request["who"], request.get("why", ""))
        return override.as_json()

    def extend_override(self, request: Request) -> dict[str, Any]:
        """Extends an override to a later expiry."""
        override = self.sender.overrides.extend(
            request["name"], request["until"], request["who"], request.get("why", "")
        )
        return override.as_json()

    # Endpoints and their lists.

    def list_endpoints(self, _request: Request) -> dict[str, Any]:
        """Returns all endpoints, and the files that list them."""
        return {"endpoints": self._endpoints(), "lists": self._lists()}

    def _lists(self) -> list[dict[str, object]]:
        directory = self.sender.directory
        return directory.describe_lists() if isinstance(directory, FileDirectory) else []

    def _endpoints(self) -> list[dict[str, Any]]:
        engine, overlay = self.sender.engine, self.sender.overrides.layer
        tracked = {row["id"]: row for row in explain.endpoints(engine.dispatcher, engine.now())}
        rows = []
        for endpoint_id, listed in overlay.listed.items():
            effective = overlay.published.get(endpoint_id, listed)
            override = self._override_of(listed)
            row = {
                "id": endpoint_id,
                "destination": listed.destination,
                "listed": listed.state.value,
                "told": effective.state.value,
                "override": override.name if override else None,
            }
            rows.append(tracked.get(endpoint_id, {}) | row)
        return sorted(rows, key=lambda row: (row["destination"], row["id"]))

    def _override_of(self, listed: Endpoint) -> Override | None:
        """Returns the override that applies to an endpoint: out of service, else a weight, else a pin."""
        active = self.sender.overrides.layer.active
        return (
            active.out.get(listed.id) or active.weights.get(listed.id) or active.pins.get(listed.destination)
        )

    def confirm_lists(self, _request: Request) -> bool:
        """Accepts endpoint lists that were held back because too many endpoints vanished.

        Returns:
            Whether there was such a list.
        """
        directory = self.sender.directory
        return isinstance(directory, FileDirectory) and directory.confirm()

    # States of the sender's parts.

    def describe_fleet(self, _request: Request) -> dict[str, Any]:
        """Returns the recovery stage and the members; empty without a fleet."""
        membership = self.sender.membership
        return membership.status() if membership else {}

    def describe_budgets(self, _request: Request) -> dict[str, object]:
        """Returns the states of the shared budgets; empty without a fleet."""
        return self.sender.membership.describe_budgets() if self.sender.membership else {}

    def describe_control_plane(self, _request: Request) -> dict[str, Any]:
        """Returns the state of the link to the control plane; empty without a control plane."""
        return self.sender.control_plane.status() if self.sender.control_plane else {}

    def explain_destination(self, request: Request) -> Any:  # noqa: ANN401
        """Returns the endpoint to which the next message to a destination would go, and why not to others."""
        engine = self.sender.engine
        return explain.explain(
            engine.dispatcher, request["destination"], request.get("key", ""), engine.now()
        )
