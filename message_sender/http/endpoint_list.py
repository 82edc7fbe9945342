"""The entries of discovery's list as they come in a response or in a line of a watch. Pure."""

import math
from typing import Any

from message_sender.discovery.address_owners import AddressEntry, AddressOwners
from message_sender.http.common import Address, address_from
from message_sender.policy.model import Endpoint, EndpointState


def checked_string(value: object) -> str:
    """Checks that a name is a string, as the policy's tables require. Raises TypeError if it is not."""
    if not isinstance(value, str):
        raise TypeError(f"expected a string, got {value!r}")
    return value


def start_time_ms(value: object) -> int:
    """Returns the start of an endpoint's process; 0, which is long ago, where the list states no number."""
    return int(value) if isinstance(value, int | float) and math.isfinite(value) else 0


class EndpointList:
    """One line of the watch: a version of the list and endpoints in it.

    Attributes:
        version: The version of the list.
        is_complete: The line holds all endpoints; otherwise only those that changed.
        dials: Addresses by endpoint.
        endpoints: The endpoints as the policy's events hold them.
        entries: The same endpoints with their addresses.
    """

    def __init__(self, fields: dict[str, Any]) -> None:
        """Reads the fields of a decoded line.

        Raises:
            ValueError, KeyError, TypeError, AttributeError, ArithmeticError: A field is missing or invalid.
        """
        self.version = int(fields["seq"])
        self.is_complete = bool(fields["whole"])
        hosts = fields["hosts"]
        self.dials: dict[str, Address] = {host["host"]: address_from(host["dial"]) for host in hosts}
        self.endpoints = tuple(
            Endpoint(
                id=checked_string(host["host"]),
                destination=int(host["block"]),
                state=EndpointState(host["health"]),
                kind=checked_string(host.get("class", "")),
                zone=checked_string(host.get("site", "")),
                scale=float(host.get("share", 1)),
            )
            for host in hosts
        )
        self.entries = tuple(
            AddressEntry(
                endpoint.id,
                self.dials[endpoint.id],
                start_time_ms(host.get("born_ms")),
                is_ready=endpoint.state is EndpointState.READY,
                is_gone=endpoint.state is EndpointState.GONE,
            )
            for endpoint, host in zip(self.endpoints, hosts, strict=True)
        )

    def callable_endpoints(self) -> tuple[Endpoint, ...]:
        """Returns the endpoints of a complete list that own their address."""
        owners = AddressOwners()
        owners.replace(self.entries)
        return tuple(each for each in self.endpoints if owners.owns_address(each.id))
