"""A fleet over sockets in memory: HTTP servers and transports are the daemon's own.

What `fleet.py` models at the engine's ports is the production code here, on the network of
`memory_network.py`. Clients and destinations speak HTTP/1.1 with the testbed's client and reader. Scenarios,
random draws, checks and figures are the same as in `fleet.py`.
"""

import asyncio
import contextlib
import logging
import random
import tempfile
import warnings
from collections import defaultdict
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from message_sender.emulator.fleet import FleetSimulation, Outcomes
from message_sender.emulator.fleet_clients import ClientAttempt
from message_sender.emulator.fleet_sender import Decide, SimulatedSender
from message_sender.emulator.fleet_topology import Address
from message_sender.emulator.isolation import sealed
from message_sender.emulator.memory_network import REFUSED, SILENT, Net
from message_sender.emulator.receiver import Trouble
from message_sender.emulator.scenario import Incident, Scenario
from message_sender.emulator.wall_clock import EPOCH_US, SECOND_US
from message_sender.emulator.wire_destinations import DestinationServers
from message_sender.emulator.wire_sender import HTTP_PORT, WireSender
from message_sender.message import Message
from message_sender.policy.dispatcher import Dispatcher
from message_sender.policy.model import Endpoint
from message_sender.testbed import history as seen
from message_sender.testbed.http import HttpClient

SEGMENT_BYTES = 1460  # the most that one write sends, as a TCP segment on Ethernet does
CLIENT_IDLE_TIMEOUT_S = 0.5
ACCEPTED_STATUS = 202
REJECTED_STATUSES = (404, 429, 503)  # 404: the sender does not know the destination yet


class WireSimulation(FleetSimulation):
    """One run of a scenario over sockets in memory.

    Attributes:
        net: The network.
        destinations: The HTTP servers of all endpoints.
        tasks: Tasks of clients and destinations that run.
        idle_clients: Connections of clients to each sender, each with the time of its last use.
    """

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        folder: Path,
        decide: Decide = Dispatcher,
        is_traced: bool = False,
    ) -> None:
        """Prepares a run; see `FleetSimulation`."""
        super().__init__(scenario, seed, folder, decide, is_traced)
        self.rng = random.Random(seed)
        self.net = Net(self.time, self.connection_delay_s, SEGMENT_BYTES)
        self.loop.virtual.net = self.net
        self.destinations = DestinationServers(self.topology, self.recorder)
        self.tasks: set[asyncio.Task[None]] = set()
        self.idle_clients: dict[str, list[tuple[float, HttpClient]]] = defaultdict(list)
        self.sender_zones = {each.name: each.zone for each in self.senders}

    def build_sender(self, number: int, folder: Path) -> SimulatedSender:
        """Returns sender `number`, with its state folder in `folder`."""
        return WireSender(self, number, folder)

    def dial_address(self, endpoint: str) -> Address:
        """Returns the address of an endpoint's HTTP server."""
        return endpoint, HTTP_PORT

    def connection_delay_s(self, host: str, address: Address, now: float) -> float:
        """Returns the delay in one direction between a host and a listener, or `REFUSED` or `SILENT`."""
        listed = self.topology.endpoints.get(address[0])
        if listed is None:
            return self.topology.one_way_delay_s(self.rng.random())
        zone = listed.endpoint.zone
        phase = self.topology.receiver_of(listed.endpoint).active_phase(now, host, zone)
        if phase and phase.what is Trouble.SHUT:
            return REFUSED
        if phase and phase.what is Trouble.SILENT:
            return SILENT
        return self.topology.one_way_delay_s(self.rng.random(), self.sender_zones.get(host, ""), zone)

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine as a task; an exception in it ends the run."""
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.task_finished)

    def task_finished(self, task: "asyncio.Task[None]") -> None:
        """Removes a task, and stops the run if it failed."""
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            self.error = error
            self.loop.stop()

    def start(self) -> None:
        """Opens the destinations' servers, then starts everything else."""
        self.spawn(self._open_and_start())

    async def _open_and_start(self) -> None:
        await self.destinations.open_all()
        super().start()

    def replace_endpoints(self, drained: list[Endpoint]) -> list[str]:
        """Lists new endpoints in place of drained ones and opens their servers; returns their ids.

        The endpoint list that is sent at once does not contain their addresses yet.
        """
        added = super().replace_endpoints(drained)
        for name in added:
            self.topology.set_dial_address(name)
            self.spawn(self.destinations.open_endpoint(name))
        return added

    def drain(self, incident: Incident) -> None:
        """Drains a destination's endpoints; their servers continue to answer."""
        for name, listed in self.topology.endpoints.items():
            if listed.endpoint.destination == incident.destination:
                self.destinations.drained[name] = listed
        super().drain(incident)

    def abandon_call(self, message_id: str, endpoint: str) -> None:
        """Ends a call that is over for its sender, even if the endpoint has not noticed yet."""
        self.destinations.abandon_call(message_id, endpoint)

    def message_accepted(self, message: Message, sender: SimulatedSender) -> None:
        """Records in the history that a sender has accepted a message."""
        deadline_s = (message.deadline_us - EPOCH_US) / SECOND_US - sender.wall_offset_s
        self.history.record(
            seen.MessageAdmitted(
                self.time(),
                message.id,
                message.message_class,
                message.destination,
                deadline_s,
                message.key,
                sender.name,
            )
        )

    def send(self, attempt: ClientAttempt) -> None:
        """Posts a client's message to a sender."""
        self.spawn(self._post_message(attempt))

    async def _post_message(self, attempt: ClientAttempt) -> None:
        message_class, sender_name = attempt.message.message_class, attempt.sender.name
        client = self._take_client(sender_name)
        fields = self._build_header_fields(attempt)
        try:
            async with asyncio.timeout(self.scenario.clients.patience_s):
                status, response_fields = await client.post(f"/{message_class}", fields, b"body")
        except (TimeoutError, OSError):
            client.close()
            attempt.stop_waiting()
            return
        is_accepted = status == ACCEPTED_STATUS
        if not is_accepted and status not in REJECTED_STATUSES:
            raise AssertionError(f"{attempt.name}: unexpected response status {status}")
        if not is_accepted:
            self.history.record(seen.MessageRejected(self.time(), attempt.name))
        retry_after_us = int(float(response_fields.get("retry-after", 0)) * SECOND_US)
        attempt.receive_answer(is_accepted, retry_after_us)
        self.idle_clients[sender_name].append((self.time(), client))

    def _build_header_fields(self, attempt: ClientAttempt) -> dict[str, str]:
        message = attempt.message
        deadline_s = message.at + self.scenario.classes[message.message_class].deadline_s
        return {
            "X-Correlation-Id": attempt.name,
            "X-Service-Class": message.message_class,
            "X-Time-Left": f"{deadline_s - self.time():.3f}",
            "X-Route-To": f"dest={message.destination}",
            "X-Session-Key": message.key,
            "X-Account": message.tenant,
            "X-Repeat": "1" if attempt.number else "",
            "Idempotency-Key": f"m{message.number}",
        }

    def _take_client(self, sender_name: str) -> HttpClient:
        """Returns a client with a connection that was used recently, or a new one."""
        idle = self.idle_clients[sender_name]
        while idle:
            last_use_s, client = idle.pop()
            if self.time() - last_use_s < CLIENT_IDLE_TIMEOUT_S:
                return client
            client.close()
        return HttpClient((sender_name, HTTP_PORT))

    def run(self) -> Outcomes:
        """Runs the scenario to its end, with the network in place of the system's sockets."""
        with self.net.installed():
            return super().run()

    def handle_loop_exception(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Aborts the connection whose callback raised an OSError, as the daemon does; else stops the run."""
        if isinstance(context.get("exception"), OSError):
            with contextlib.suppress(KeyError, AttributeError):
                context["transport"].abort()
            return
        super().handle_loop_exception(loop, context)


def play(
    scenario: Scenario, seed: int | None = None, decide: Decide = Dispatcher, traced: bool = False
) -> Outcomes:
    """Runs a scenario over sockets in memory; see `fleet.play` for the arguments."""
    disabled_level = logging.root.manager.disable
    logging.disable(logging.CRITICAL)
    try:
        with tempfile.TemporaryDirectory() as folder, warnings.catch_warnings():
            warnings.simplefilter("ignore", RuntimeWarning)  # coroutines that a kill left unstarted
            run_seed = scenario.seed if seed is None else seed
            simulation = WireSimulation(scenario, run_seed, Path(folder), decide, traced)
            with sealed(simulation.time):
                return simulation.run()
    finally:
        logging.disable(disabled_level)
