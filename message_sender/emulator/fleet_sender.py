"""One sender of a simulated fleet: the real engine between models of its transport and its listeners."""

import asyncio
import os
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any, Protocol

from message_sender.core.engine import Engine
from message_sender.core.engine_config import EngineConfig
from message_sender.core.ports import AttemptResult, Completion, CompletionState, SendPermission
from message_sender.discovery.static import StaticDirectory, StaticEndpoint
from message_sender.emulator.arrivals import ClientMessage
from message_sender.emulator.fleet_recorder import FleetRecorder
from message_sender.emulator.fleet_topology import Topology
from message_sender.emulator.port_models import (
    ACKNOWLEDGEMENT_DELAY_S,
    ConnectionlessTransport,
    PassiveListener,
)
from message_sender.emulator.receiver import EFFECT_BY_OUTCOME, CallResult
from message_sender.emulator.scenario import Scenario
from message_sender.emulator.simulated_run import ProcessKilled
from message_sender.emulator.wall_clock import EPOCH_US, SECOND_US
from message_sender.message import Message
from message_sender.policy.model import EndpointState, Outcome, Settings
from message_sender.testbed import history as seen
from message_sender.testbed.history import EffectApplied, History

if TYPE_CHECKING:
    from message_sender.emulator.budget_links import LinkHub

UNLIMITED_S = 1e9
SEEDS_PER_FLEET = 64  # distance between the engine seeds of two runs
DEFAULT_DOWNTIME_S = 1.0

Decide = Callable[[Settings, int], Any]


class SenderEnvironment(Protocol):
    """What a sender needs of the simulation that it belongs to."""

    scenario: Scenario
    seed: int
    decide: Decide
    topology: Topology
    recorder: FleetRecorder
    history: History
    links: "LinkHub | None"

    def time(self) -> float:
        """Returns the virtual time in seconds."""

    def call_later(self, delay_s: float, callback: Callable[..., object], *args: Any) -> None:  # noqa: ANN401
        """Calls back after a delay in virtual time."""

    def send_endpoint_list(self, sender: "SimulatedSender") -> None:
        """Sends a sender the endpoint list as it is now."""


class SenderKilledError(ProcessKilled):
    """SIGKILL of one sender in the middle of its work.

    Attributes:
        sender: The sender that is killed.
    """

    def __init__(self, sender: "SimulatedSender") -> None:
        """Takes the sender that is killed."""
        super().__init__(0)
        self.sender = sender


class ModelTransport(ConnectionlessTransport):
    """Calls to modelled destinations."""

    def __init__(self, sender: "SimulatedSender") -> None:
        """Makes calls on behalf of `sender`."""
        self.sender = sender
        self.simulation = sender.simulation

    async def call(
        self, endpoint: str, message: Message, timeout: float, permission: SendPermission
    ) -> AttemptResult:
        """Makes one call and records its outcome.

        Args:
            endpoint: Id of the endpoint.
            message: The message.
            timeout: Seconds from now that the call may take.
            permission: Asked when the connection is up; the call is not sent if it is refused.
        """
        result = await self._call(endpoint, message, timeout, permission)
        self.simulation.recorder.attempt_finished(self.sender.name, endpoint, result.outcome)
        return result

    async def _call(
        self, endpoint: str, message: Message, timeout: float, permission: SendPermission
    ) -> AttemptResult:
        simulation, sender, loop = self.simulation, self.sender, asyncio.get_running_loop()
        deadline = loop.time() + timeout
        listed = simulation.topology.endpoints.get(endpoint)
        if listed is None:
            return AttemptResult(Outcome.NOT_SENT)
        if not simulation.recorder.is_open(message.id):  # its deadline passed long ago
            return AttemptResult(Outcome.ERROR)
        zone = listed.endpoint.zone
        client_message, attempt = simulation.recorder.count_attempt(message.id)
        outward_s, return_s = (
            simulation.topology.one_way_delay_s(draw, sender.zone, zone)
            for draw in client_message.delay_draws(attempt)
        )
        await asyncio.sleep(min(outward_s, timeout))
        receiver = simulation.topology.receiver_of(listed.endpoint)
        if receiver.active_phase(loop.time(), sender.name, zone) is None and loop.time() >= deadline:
            return AttemptResult(Outcome.CONNECT_FAILED)
        if not permission.may_begin():
            return AttemptResult(Outcome.NOT_SENT)
        result = receiver.call(loop.time(), sender.name, client_message.receiver_random(attempt), zone)
        if not result.connected:
            await self._wait_for_connection(result, deadline)
            return AttemptResult(Outcome.CONNECT_FAILED)
        call = simulation.history.record_start(message.id, endpoint, sender.name)
        if not await self._wait_for_answer(result, client_message, call, deadline, return_s):
            return AttemptResult(Outcome.TIMEOUT)
        retry_after_us = int(result.retry_after_s * SECOND_US)
        if retry_after_us:
            sender.engine.retry_after_received(endpoint, retry_after_us)
        is_final = result.outcome is Outcome.OK
        return AttemptResult(result.outcome, is_final=is_final, retry_after_us=retry_after_us)

    async def _wait_for_connection(self, result: CallResult, deadline: float) -> None:
        """Waits as long as the connection attempt to an endpoint that does not accept it takes."""
        if result.delay_s is not None:
            return
        connect_timeout_s = self.sender.engine.settings.connect_timeout / SECOND_US
        time_left_s = deadline - asyncio.get_running_loop().time()
        await asyncio.sleep(max(min(connect_timeout_s, time_left_s), 0.0))

    async def _wait_for_answer(
        self, result: CallResult, message: ClientMessage, call: int, deadline: float, return_s: float
    ) -> bool:
        """Returns whether the answer came before the deadline."""
        recorder = self.simulation.recorder
        try:
            async with asyncio.timeout_at(deadline):
                await asyncio.sleep(UNLIMITED_S if result.delay_s is None else result.delay_s)
                recorder.call_finished(
                    result.ran, message, call, EFFECT_BY_OUTCOME[result.outcome], result.retry_after_s
                )
                await asyncio.sleep(return_s)
        except (TimeoutError, asyncio.CancelledError) as error:
            # The receiver may continue with a call that its sender has abandoned.
            if call not in recorder.finished_calls:
                recorder.call_finished(result.ran, message, call, EffectApplied.MAYBE, 0.0)
            if isinstance(error, TimeoutError):
                return False
            raise
        return True


class ModelCompletionListener(PassiveListener):
    """Records completions and acknowledges them after a short delay."""

    def __init__(self, sender: "SimulatedSender") -> None:
        """Listens to the completions of `sender`."""
        self.sender = sender

    def notify(self, message: str, completion: Completion) -> bool:
        """Records a completion; returns whether an acknowledgement will follow."""
        sender, simulation = self.sender, self.sender.simulation
        simulation.recorder.message_completed(sender.name, sender.incarnation, message, completion)
        if completion.state is CompletionState.DELIVERED:
            return False
        simulation.call_later(
            ACKNOWLEDGEMENT_DELAY_S, sender.acknowledge_completion, sender.incarnation, message
        )
        return True


class SimulatedSender:
    """One sender over all its incarnations, which share its state folder.

    Attributes:
        name: The sender's name, `n` and its number.
        is_alive: Whether its process runs.
        incarnation: Number of the starts so far.
        wall_offset_s: How far its wall clock is ahead of virtual time.
        next_wall_offset_s: The same, from its next start on.
        downtime_s: How long it stays down after its next kill between two writes.
        write_count: Writes to its disk so far.
        kill_at_write: The write before which it is killed; 0 for none.
        isolated_until_s: Time in s until which it receives no endpoint list.
    """

    def __init__(self, simulation: SenderEnvironment, number: int, folder: Path) -> None:
        """Creates the state folder of sender `number` inside `folder`."""
        self.simulation = simulation
        self.number = number
        self.name = f"n{number}"
        self.state = folder / self.name
        self.state.mkdir()
        self.settings = simulation.scenario.settings(number)
        self.zone = self.settings.zone
        self.is_alive = False
        self.incarnation = 0
        self.wall_offset_s = 0.0
        self.next_wall_offset_s = 0.0
        self.downtime_s = DEFAULT_DOWNTIME_S
        self.write_count = 0
        self.kill_at_write = 0
        self.isolated_until_s = 0.0
        self.directory = StaticDirectory(simulation.topology.endpoints.values())

    def read_clock_us(self) -> int:
        """Returns its wall clock in microseconds, whose offset changes only at a start."""
        return EPOCH_US + round((self.simulation.time() + self.wall_offset_s) * SECOND_US)

    def start(self) -> None:
        """Starts a process on the state folder."""
        simulation = self.simulation
        self.wall_offset_s = self.next_wall_offset_s
        config = EngineConfig(
            self.name,
            self.state,
            simulation.seed * SEEDS_PER_FLEET + self.number,
            int(simulation.scenario.fleet.disk_mb * 1e6),
            self.settings,
            self.directory.endpoints(),
        )
        self.engine = Engine(config, self.read_clock_us, simulation.decide)
        self.is_alive = True
        self.incarnation += 1
        self._count_writes()
        self.directory = StaticDirectory(self.directory.static_endpoints.values())
        self.directory.on_update = self.engine.endpoints_updated
        self.plug()
        if simulation.links:
            simulation.links.join(self.name, self.engine, self.incarnation)
        self.engine.start()
        simulation.send_endpoint_list(self)  # it missed the changes while it was down

    def _count_writes(self) -> None:
        append = self.engine.journal.append

        def append_or_kill(record: bytes, *args: bool, **kwargs: bool) -> bool:
            self.write_count += 1
            if self.write_count == self.kill_at_write:
                raise SenderKilledError(self)
            return append(record, *args, **kwargs)

        self.engine.journal.append = append_or_kill  # type: ignore[method-assign]

    def plug(self) -> None:
        """Connects the engine to its transport, endpoint list and completion listener."""
        self.engine.set_ports(ModelTransport(self), self.directory, ModelCompletionListener(self))

    def terminate(self) -> None:
        """Ends the process as a kill does: its file is closed, and none of its tasks runs any more."""
        engine = self.engine
        self.is_alive = False
        if self.simulation.links:
            self.simulation.links.leave(self.name)
        engine.is_closed = True
        os.close(engine.journal.file)
        for task in [*engine.attempts.calls.values(), *engine.tasks]:
            task.cancel()
        if engine.wake_timer:
            engine.wake_timer.cancel()

    def receive_endpoint_list(self, listed: dict[str, StaticEndpoint], incarnation: int) -> None:
        """Applies an endpoint list, unless it was sent to an earlier incarnation.

        Args:
            listed: The endpoints at the time when the list was sent.
            incarnation: The incarnation that it was sent to.
        """
        if not (self.is_alive and incarnation == self.incarnation):
            return
        history, now = self.simulation.history, self.simulation.time()
        known = self.directory.static_endpoints
        ready = {name for name, each in listed.items() if each.endpoint.state is EndpointState.READY}
        for name, each in known.items():
            if each.endpoint.state is EndpointState.READY and name not in ready:
                history.record(seen.EndpointDrained(now, name, self.name))
        for name in listed:
            if name in ready and name not in known:
                history.record(seen.EndpointRestored(now, name, self.name))
        self.directory.replace(listed.values())

    def acknowledge_completion(self, incarnation: int, message: str) -> None:
        """Acknowledges a completion that the given incarnation notified, while that one runs."""
        if self.is_alive and incarnation == self.incarnation:
            self.engine.completion_acknowledged(message)
