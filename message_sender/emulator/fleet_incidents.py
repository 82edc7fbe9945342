"""Applies a scenario's incidents to a simulated fleet: kills, drains, full disks, pauses and clock errors."""

from collections.abc import Callable
from typing import Any, Protocol

from message_sender.emulator.fleet_sender import SimulatedSender
from message_sender.emulator.loop import VirtualLoop
from message_sender.emulator.scenario import Incident, Scenario


class IncidentEnvironment(Protocol):
    """The parts of a simulation that incidents change."""

    scenario: Scenario
    loop: VirtualLoop
    senders: list[SimulatedSender]
    list_empty_until_s: float

    def time(self) -> float:
        """Returns the virtual time in seconds."""

    def call_later(self, delay_s: float, callback: Callable[..., object], *args: Any) -> None:  # noqa: ANN401
        """Calls back after a delay in virtual time."""

    def broadcast_endpoint_list(self) -> None:
        """Sends every sender the endpoint list as it is now."""

    def drain(self, incident: Incident) -> None:
        """Drains a destination's endpoints for the duration of an incident."""

    def restart_sender(self, sender: SimulatedSender, downtime_s: float) -> None:
        """Kills a sender now and starts it again after `downtime_s` seconds."""


class IncidentRunner:
    """Applies incidents to the senders and the endpoint list of a simulation."""

    def __init__(self, simulation: IncidentEnvironment) -> None:
        """Applies incidents to `simulation`."""
        self.simulation = simulation
        self.handlers: dict[str, Callable[[Incident], None]] = {
            "kill": self.kill_senders,
            "drain": simulation.drain,
            "empty": self.empty_endpoint_list,
            "deaf": self.isolate_senders,
            "full_disk": self.fill_disks,
            "pause": self.pause_process,
            "clock": self.shift_wall_clocks,
        }

    def schedule_all(self) -> None:
        """Schedules every incident of the scenario."""
        for incident in self.simulation.scenario.incidents:
            self.simulation.loop.call_at(incident.at, self.apply, incident)

    def apply(self, incident: Incident) -> None:
        """Applies one incident now."""
        self.handlers[incident.what](incident)

    def affected_senders(self, incident: Incident) -> list[SimulatedSender]:
        """Returns the senders that an incident concerns."""
        return [each for each in self.simulation.senders if incident.sender in (None, each.number)]

    def kill_senders(self, incident: Incident) -> None:
        """Kills senders that are up, now or before one of their next writes."""
        for sender in self.affected_senders(incident):
            if not sender.is_alive:
                continue
            if incident.write:
                sender.kill_at_write = sender.write_count + incident.write
                sender.downtime_s = incident.for_s
            else:
                self.simulation.restart_sender(sender, incident.for_s)

    def empty_endpoint_list(self, incident: Incident) -> None:
        """Lists no endpoint for the duration of the incident."""
        simulation = self.simulation
        simulation.list_empty_until_s = simulation.time() + incident.for_s
        simulation.broadcast_endpoint_list()
        simulation.call_later(incident.for_s, simulation.broadcast_endpoint_list)

    def isolate_senders(self, incident: Incident) -> None:
        """Withholds endpoint lists from senders for the duration of the incident."""
        for sender in self.affected_senders(incident):
            sender.isolated_until_s = self.simulation.time() + incident.for_s

    def fill_disks(self, incident: Incident) -> None:
        """Sets the disk limit of senders to zero for the duration of the incident."""
        for sender in self.affected_senders(incident):
            journal = sender.engine.journal
            limit_bytes, journal.limit_bytes = journal.limit_bytes, 0
            self.simulation.call_later(incident.for_s, setattr, journal, "limit_bytes", limit_bytes)

    def pause_process(self, incident: Incident) -> None:
        """Stalls the process: time passes while no callback runs."""
        self.simulation.loop.pause(incident.for_s)

    def shift_wall_clocks(self, incident: Incident) -> None:
        """Shifts the wall clocks of senders from their next starts on."""
        for sender in self.affected_senders(incident):
            sender.next_wall_offset_s += incident.by_s
