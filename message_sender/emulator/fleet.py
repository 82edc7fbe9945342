"""A fleet of senders in virtual time, in an environment that a scenario describes.

Each sender is the real engine, delivery policy and journal; clients, endpoint list, network and destinations
are models. The senders share the environment and have no other connection, except where the scenario lets
them share budgets. A kill ends one sender at the end of a callback or between two writes to its disk and
leaves the others as they are; the sender starts again on the same folder. The history that the models record
is checked against the delivery rules after the run.
"""

import asyncio
import logging
import tempfile
import warnings
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

from message_sender.emulator.figures import Figures
from message_sender.emulator.fleet_checks import FleetChecker
from message_sender.emulator.fleet_clients import EXPIRY_DELAY_S, ClientAttempt, ClientPopulation
from message_sender.emulator.fleet_incidents import IncidentRunner
from message_sender.emulator.fleet_recorder import FleetRecorder
from message_sender.emulator.fleet_sender import Decide, SenderKilledError, SimulatedSender
from message_sender.emulator.fleet_topology import UNREACHABLE_ADDRESS, Address, Topology
from message_sender.emulator.isolation import sealed
from message_sender.emulator.loop import VirtualLoop
from message_sender.emulator.scenario import Incident, Scenario
from message_sender.emulator.simulated_run import ProcessKilled
from message_sender.emulator.trace import encode_trace
from message_sender.emulator.wall_clock import SECOND_US
from message_sender.message import Message
from message_sender.policy.dispatcher import Dispatcher
from message_sender.policy.model import Endpoint
from message_sender.testbed import history as seen
from message_sender.testbed.history_checker import Violation

if TYPE_CHECKING:
    from message_sender.emulator.budget_links import LinkHub

SAMPLE_INTERVAL_S = 1.0


@dataclass
class Outcomes:
    """Results of a run.

    Attributes:
        figures: Counts and latencies.
        breaches: Violations of the delivery rules.
        trace: The history as lines of JSON, if it was traced.
        owed: Messages without a completion, each with its class and its sender.
    """

    figures: Figures
    breaches: list[Violation]
    trace: list[str] = field(default_factory=list)
    owed: list[str] = field(default_factory=list)

    def as_json(self) -> dict[str, Any]:
        """Returns the results, without the trace, as JSON values."""
        violations = [
            {"rule": each.rule, "at": round(each.at, 6), "text": each.text} for each in self.breaches
        ]
        return self.figures.as_json() | {"breaches": violations, "owed": self.owed}


class FleetSimulation:
    """One run of a scenario.

    Attributes:
        topology: Endpoints, receivers and network delays.
        recorder: Records the history, the figures and the failures.
        clients: The clients, which submit messages.
        incidents: Applies the scenario's incidents.
        senders: All senders, by number.
        links: Connects senders that share budgets; None if they share none.
        error: A defect of the simulation or of a sender, which ends the run.
        list_empty_until_s: Time in s until which the endpoint list is empty.
    """

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        folder: Path,
        decide: Decide = Dispatcher,
        is_traced: bool = False,
    ) -> None:
        """Prepares a run.

        Args:
            scenario: The scenario.
            seed: Seed of all random draws.
            folder: Where the senders keep their state folders.
            decide: Builds the delivery policy of a sender from its settings and a seed.
            is_traced: Whether the results contain the history.
        """
        self.scenario = scenario
        self.seed = seed
        self.decide = decide
        self.is_traced = is_traced
        self.loop = VirtualLoop()
        self.recorder = FleetRecorder(scenario, self.time)
        self.history = self.recorder.history
        self.topology = Topology(scenario, self.dial_address)
        self.error: BaseException | None = None
        self.list_empty_until_s = 0.0
        self.links = self._build_links()
        self.senders = [self.build_sender(number, folder) for number in range(scenario.fleet.senders)]
        self.clients = ClientPopulation(self)
        self.incidents = IncidentRunner(self)
        longest_deadline_s = max(each.deadline_s for each in scenario.classes.values())
        self.end_s = scenario.seconds + longest_deadline_s + EXPIRY_DELAY_S

    def _build_links(self) -> "LinkHub | None":
        fleet = self.scenario.fleet
        if not fleet.budget_span_s:
            return None
        # Few scenarios need it, and it imports the daemon's budget service.
        from message_sender.emulator.budget_links import LinkHub

        window_us = int(fleet.budget_span_s * SECOND_US)
        return LinkHub(self.time, self.call_later, fleet.senders, window_us, fleet.link_loss, self.seed)

    def build_sender(self, number: int, folder: Path) -> SimulatedSender:
        """Returns sender `number`, with its state folder in `folder`."""
        return SimulatedSender(self, number, folder)

    def dial_address(self, endpoint: str) -> Address:
        """Returns the address at which an endpoint accepts connections; the model needs none."""
        return UNREACHABLE_ADDRESS

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self.loop.time()

    def call_later(self, delay_s: float, callback: Callable[..., object], *args: Any) -> None:  # noqa: ANN401
        """Calls back after a delay in virtual time."""
        self.loop.call_later(delay_s, callback, *args)

    def send(self, attempt: ClientAttempt) -> None:
        """Sends a client's message to a sender."""
        delay_s = self.topology.one_way_delay_s(attempt.message.delay_draws(attempt.number)[0])
        incarnation = attempt.sender.incarnation
        self.call_later(delay_s, self._deliver_to_sender, attempt, attempt.build_message(), incarnation)
        self.call_later(self.scenario.clients.patience_s, attempt.stop_waiting)

    def _deliver_to_sender(self, attempt: ClientAttempt, message: Message, incarnation: int) -> None:
        sender = attempt.sender
        if sender.is_alive and sender.incarnation == incarnation and not attempt.has_left:
            # The sender compares the deadline with its own wall clock.
            deadline_us = message.deadline_us + round(sender.wall_offset_s * SECOND_US)
            sender.engine.submit(replace(message, deadline_us=deadline_us), attempt)

    def send_endpoint_list(self, sender: SimulatedSender) -> None:
        """Sends a sender the endpoint list as it is now; it arrives after the scenario's delay."""
        lists = self.scenario.lists
        position = sender.number / max(len(self.senders) - 1, 1)
        arrival_s = max(self.time() + lists.delay_s + lists.spread_s * position, sender.isolated_until_s)
        is_empty = self.time() < self.list_empty_until_s
        listed = {} if is_empty else dict(self.topology.endpoints)
        self.loop.call_at(arrival_s, sender.receive_endpoint_list, listed, sender.incarnation)

    def broadcast_endpoint_list(self) -> None:
        """Sends every sender the endpoint list as it is now."""
        for sender in self.senders:
            self.send_endpoint_list(sender)

    def drain(self, incident: Incident) -> None:
        """Drains a destination's endpoints; new ones replace them when the incident ends."""
        drained = self.topology.drain(incident.destination)
        self.broadcast_endpoint_list()
        self.call_later(incident.for_s, self.replace_endpoints, drained)

    def replace_endpoints(self, drained: list[Endpoint]) -> list[str]:
        """Lists new endpoints in place of drained ones; returns their ids."""
        added = self.topology.replace_endpoints(drained)
        self.broadcast_endpoint_list()
        return added

    def restart_sender(self, sender: SimulatedSender, downtime_s: float) -> None:
        """Kills a sender now and starts it again after `downtime_s` seconds."""
        sender.terminate()
        self.recorder.figures.kills += 1
        self.history.record(seen.SenderRestarted(self.time(), sender.name, self.time() + downtime_s))
        self.call_later(downtime_s, sender.start)

    def run(self) -> Outcomes:
        """Runs the scenario to its end.

        Raises:
            RuntimeError: A sender stopped because of a defect.
            BaseException: A callback raised it.
        """
        is_finished: asyncio.Future[None] = self.loop.create_future()
        self.loop.call_at(self.end_s, is_finished.set_result, None)
        self.loop.call_soon(self.start)
        self.loop.set_exception_handler(self.handle_loop_exception)
        try:
            while not is_finished.done() and not self.error:
                self._run_until_kill(is_finished)
            self._raise_defects()
            return self._build_outcomes()
        finally:
            self.close()

    def _run_until_kill(self, is_finished: "asyncio.Future[None]") -> None:
        """Runs until the future is done, a sender is killed in a write, or an error stops the loop."""
        try:
            self.loop.run_until_complete(is_finished)
        except SenderKilledError as killed:
            self.restart_sender(killed.sender, killed.sender.downtime_s)
        except RuntimeError:
            if not self.error:  # with an error, the loop was stopped on purpose
                raise

    def _raise_defects(self) -> None:
        if self.error:
            raise self.error
        for sender in self.senders:
            if sender.is_alive and sender.engine.defect:
                raise RuntimeError(f"{sender.name}: {sender.engine.defect}")

    def handle_loop_exception(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Stops the run at the first exception that is not a kill."""
        error = context.get("exception")
        if error is not None and not isinstance(error, ProcessKilled):
            self.error = error
            loop.stop()

    def start(self) -> None:
        """Starts the senders, the incidents, the samples and the clients, in this order."""
        for sender in self.senders:
            sender.start()
        self.incidents.schedule_all()
        self.sample()
        self.clients.schedule_next()

    def sample(self) -> None:
        """Adds the held messages and open breakers to the figures, once per interval."""
        second = self.recorder.figures.second(max(self.time() - SAMPLE_INTERVAL_S / 2, 0.0))
        for sender in self.senders:
            if not sender.is_alive:
                continue
            dispatcher = sender.engine.dispatcher
            second.held += len(dispatcher.messages)
            if isinstance(dispatcher, Dispatcher):  # baseline policies have no such breakers
                second.open += sum(each.is_open() for each in dispatcher.registry.all_breakers())
        self.call_later(SAMPLE_INTERVAL_S, self.sample)

    def close(self) -> None:
        """Ends all senders and the event loop."""
        for sender in self.senders:
            if sender.is_alive:
                sender.terminate()
        self.loop.set_exception_handler(ignore_loop_exception)
        for task in asyncio.all_tasks(self.loop):
            task._log_destroy_pending = False  # type: ignore[attr-defined]  # killed tasks stay pending
        self.loop.close()

    def _build_outcomes(self) -> Outcomes:
        figures, events = self.recorder.figures, self.history.events
        figures.falls = sum(len(each.overload_failures) for each in self.topology.receivers.values())
        checker = FleetChecker(self.scenario, self.topology, self.recorder.failures)
        violations = checker.find_violations(events)
        trace = encode_trace(events) if self.is_traced else []
        return Outcomes(figures, violations, trace, self._find_incomplete_messages())

    def _find_incomplete_messages(self) -> list[str]:
        return [
            f"{name} of class {entry.message.message_class}, at {sender.name}"
            for sender in self.senders
            if sender.is_alive
            for name, entry in sender.engine.journal.entries.items()
        ]


def ignore_loop_exception(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Exception handler of an event loop that is being closed."""


def play(
    scenario: Scenario, seed: int | None = None, decide: Decide = Dispatcher, traced: bool = False
) -> Outcomes:
    """Runs a scenario with modelled transports.

    Args:
        scenario: The scenario.
        seed: Replaces the scenario's seed.
        decide: Builds the delivery policy of a sender from its settings and a seed.
        traced: Whether the results contain the history.

    Raises:
        EmulationError: A sender used a real clock, thread or socket, or unseeded randomness.
    """
    disabled_level = logging.root.manager.disable
    logging.disable(logging.CRITICAL)
    try:
        with tempfile.TemporaryDirectory() as folder, sealed(), warnings.catch_warnings():
            warnings.simplefilter("ignore", RuntimeWarning)  # coroutines that a kill left unstarted
            run_seed = scenario.seed if seed is None else seed
            return FleetSimulation(scenario, run_seed, Path(folder), decide, traced).run()
    finally:
        logging.disable(disabled_level)
