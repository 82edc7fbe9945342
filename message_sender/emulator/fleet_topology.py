"""Endpoints, receivers and network delays of a simulated fleet, as its scenario describes them."""

from collections.abc import Callable
from dataclasses import replace

from message_sender.discovery.static import StaticEndpoint
from message_sender.emulator.receiver import Phase, Receiver
from message_sender.emulator.scenario import Destinations, Scenario
from message_sender.policy.model import Endpoint, EndpointState

UNREACHABLE_ADDRESS = ("0.0.0.0", 9)
MAX_ANNOUNCED_RATE = 1e6  # calls a second

Address = tuple[str, int]


class Topology:
    """The endpoints, and the receiver that serves each of them.

    Endpoints of a destination share one receiver, except where the scenario gives each a separate route.

    Attributes:
        endpoints: The endpoints that are listed now, by id.
        receivers: By endpoint id for separate routes, else by destination number in decimal digits.
    """

    def __init__(self, scenario: Scenario, dial_address: Callable[[str], Address]) -> None:
        """Builds the endpoints and receivers that the scenario describes.

        Args:
            scenario: The scenario.
            dial_address: The address at which the endpoint with an id accepts connections.
        """
        self.scenario = scenario
        self.dial_address = dial_address
        self.endpoints: dict[str, StaticEndpoint] = {}
        self.receivers: dict[str, Receiver] = {}
        self.replacement_count = 0
        number = 0
        for group in scenario.destinations:
            for _ in range(group.count):
                self._add_destination(number, group)
                number += 1

    def _add_destination(self, number: int, group: Destinations) -> None:
        kind = "apart" if group.apart else "plain"
        terms = group.terms()
        rate = min(terms.capacity(), MAX_ANNOUNCED_RATE)
        for index in range(group.endpoints):
            zone = group.zones[index % len(group.zones)]
            endpoint = Endpoint(f"e{number}-{index}", number, EndpointState.READY, kind, zone, rate)
            self.endpoints[endpoint.id] = StaticEndpoint(endpoint, self.dial_address(endpoint.id))
            key = self.receiver_key(endpoint)
            if key not in self.receivers:
                self.receivers[key] = Receiver(terms, self._fault_phases(number))

    def _fault_phases(self, destination: int) -> list[Phase]:
        phases: list[Phase] = []
        for fault in self.scenario.troubles:
            if destination in (fault.destinations or (destination,)):
                phases.extend(fault.phases(self.scenario.seconds))
        return phases

    def receiver_key(self, endpoint: Endpoint) -> str:
        """Returns the key of the receiver that serves an endpoint."""
        return endpoint.id if endpoint.kind == "apart" else str(endpoint.destination)

    def receiver_of(self, endpoint: Endpoint) -> Receiver:
        """Returns the receiver that serves an endpoint."""
        return self.receivers[self.receiver_key(endpoint)]

    def shared_receivers(self) -> dict[int, Receiver]:
        """Returns the receivers that serve a complete destination, by its number."""
        return {int(key): receiver for key, receiver in self.receivers.items() if key.isdecimal()}

    def group_of(self, destination: int) -> Destinations:
        """Returns the scenario's group that a destination belongs to.

        Raises:
            IndexError: The scenario has no destination with this number.
        """
        number = destination
        for group in self.scenario.destinations:
            if number < group.count:
                return group
            number -= group.count
        raise IndexError(destination)

    def one_way_delay_s(self, draw: float, zone: str = "", other_zone: str = "") -> float:
        """Returns the network delay in one direction.

        Args:
            draw: A random number from 0 to 1, which selects the jitter.
            zone: Zone of one side.
            other_zone: Zone of the other side.
        """
        network = self.scenario.network
        base_ms = network.same_zone_ms if zone == other_zone else network.cross_zone_ms
        return base_ms / 1e3 * (1 + network.jitter * draw)

    def set_dial_address(self, name: str) -> None:
        """Sets the address to dial of an endpoint that was listed without one."""
        self.endpoints[name] = replace(self.endpoints[name], dial=self.dial_address(name))

    def drain(self, destination: int | None) -> list[Endpoint]:
        """Lists the endpoints of a destination as draining; returns them as they were listed before."""
        drained = [
            each.endpoint for each in self.endpoints.values() if each.endpoint.destination == destination
        ]
        for endpoint in drained:
            dial = self.endpoints[endpoint.id].dial
            self.endpoints[endpoint.id] = StaticEndpoint(
                replace(endpoint, state=EndpointState.DRAINING), dial
            )
        return drained

    def replace_endpoints(self, drained: list[Endpoint]) -> list[str]:
        """Lists a new endpoint for each drained one. Receivers of separate routes start warm.

        Returns:
            The ids of the new endpoints, which have no address to dial yet.
        """
        added = []
        for endpoint in drained:
            self.endpoints.pop(endpoint.id, None)
            self.replacement_count += 1
            name = f"{endpoint.id}r{self.replacement_count}"
            added_endpoint = replace(endpoint, id=name, state=EndpointState.READY)
            self.endpoints[name] = StaticEndpoint(added_endpoint, UNREACHABLE_ADDRESS)
            if endpoint.kind == "apart" and endpoint.id in self.receivers:
                self.receivers[name] = Receiver(self.receivers[endpoint.id].terms)
            added.append(name)
        return added
