"""Clients of a simulated fleet: they submit messages, wait for the answer and retry."""

import zlib
from collections.abc import Callable
from typing import Any, Protocol

from message_sender.core.ports import Completion, Rejected
from message_sender.emulator.arrivals import Arrivals, ClientMessage
from message_sender.emulator.fleet_recorder import FleetRecorder
from message_sender.emulator.fleet_sender import SimulatedSender
from message_sender.emulator.fleet_topology import Topology
from message_sender.emulator.loop import VirtualLoop
from message_sender.emulator.scenario import Scenario
from message_sender.emulator.wall_clock import EPOCH_US, SECOND_US
from message_sender.message import Message
from message_sender.testbed import history as seen
from message_sender.testbed.history import History

EXPIRY_DELAY_S = 1.5  # after a message's deadline, in which completions may still be notified


class ClientEnvironment(Protocol):
    """What clients need of the simulation that they belong to."""

    scenario: Scenario
    seed: int
    loop: VirtualLoop
    topology: Topology
    recorder: FleetRecorder
    history: History
    senders: list[SimulatedSender]
    clients: "ClientPopulation"

    def time(self) -> float:
        """Returns the virtual time in seconds."""

    def call_later(self, delay_s: float, callback: Callable[..., object], *args: Any) -> None:  # noqa: ANN401
        """Calls back after a delay in virtual time."""

    def send(self, attempt: "ClientAttempt") -> None:
        """Sends a client's message to a sender."""


class ClientAttempt:
    """One submission of a message by its client: the engine's caller.

    Attributes:
        message: The message that is submitted.
        number: 0 for the first submission, then counting retries.
        sender: The sender that it is submitted to.
        name: The message id that the sender sees.
        is_answered: The client has received an answer.
        has_left: The client stopped waiting.
    """

    def __init__(
        self, simulation: ClientEnvironment, message: ClientMessage, number: int, sender: SimulatedSender
    ) -> None:
        """Begins a submission that has no answer yet."""
        self.simulation = simulation
        self.message = message
        self.number = number
        self.sender = sender
        self.name = f"m{message.number}" + (f".{number}" if number else "")
        self.is_answered = False
        self.has_left = False

    def build_message(self) -> Message:
        """Returns the message as the sender receives it, with a deadline on an exact wall clock."""
        message = self.message
        kind = self.simulation.scenario.classes[message.message_class]
        return Message(
            self.name,
            message.message_class,
            message.destination,
            EPOCH_US + int((message.at + kind.deadline_s) * SECOND_US),
            message.tenant,
            message.key,
            f"m{message.number}",
            self.number > 0,
            b"body",
        )

    def is_gone(self) -> bool:
        """Whether the client stopped waiting."""
        return self.has_left

    def accepted(self) -> bool:
        """Sends the client the answer that its message is accepted.

        Returns:
            False: the client is not notified of the completion.
        """
        simulation, message = self.simulation, self.message
        kind = simulation.scenario.classes[message.message_class]
        simulation.history.record(
            seen.MessageAdmitted(
                simulation.time(),
                self.name,
                message.message_class,
                message.destination,
                message.at + kind.deadline_s,
                message.key,
                self.sender.name,
            )
        )
        self._send_answer(True, 0)
        return False

    def rejected(self, rejected: Rejected) -> None:
        """Sends the client the answer that its message is rejected."""
        self.simulation.history.record(seen.MessageRejected(self.simulation.time(), self.name))
        self._send_answer(False, rejected.retry_after_us)

    def withdrawn(self) -> None:
        """Does nothing: the client has left."""

    def completed(self, completion: Completion) -> None:
        """Does nothing: the completion listener records completions."""

    def _send_answer(self, is_accepted: bool, retry_after_us: int) -> None:
        delay_s = self.simulation.topology.one_way_delay_s(0.5)
        self.simulation.call_later(delay_s, self.receive_answer, is_accepted, retry_after_us)

    def receive_answer(self, is_accepted: bool, retry_after_us: int) -> None:
        """Processes the answer at the client, which retries after a rejection."""
        if self.is_answered or self.has_left:
            return
        self.is_answered = True
        self.simulation.recorder.answered.add(self.message.number)
        if not is_accepted:
            self.simulation.clients.retry(self.message, self.number, retry_after_us / SECOND_US)

    def stop_waiting(self) -> None:
        """Makes the client stop waiting.

        The sender may have accepted the message nevertheless, so only an idempotent one is retried.
        """
        if self.is_answered:
            return
        self.has_left = True
        if self.simulation.scenario.classes[self.message.message_class].effect != "unsafe":
            self.simulation.clients.retry(self.message, self.number, 0.0)


class ClientPopulation:
    """All clients of a fleet."""

    def __init__(self, simulation: ClientEnvironment) -> None:
        """Draws the arrivals from the simulation's seed."""
        self.simulation = simulation
        self.scenario = simulation.scenario
        self.recorder = simulation.recorder
        self.arrivals = iter(Arrivals(simulation.scenario, simulation.seed))

    def schedule_next(self) -> None:
        """Schedules the next arrival, if there is one."""
        message = next(self.arrivals, None)
        if message is not None:
            self.simulation.loop.call_at(message.at, self.offer, message)

    def offer(self, message: ClientMessage) -> None:
        """Submits a new message of a client and schedules the next arrival."""
        self.recorder.message_offered(message)
        self.submit(message, 0)
        expiry_s = self.scenario.classes[message.message_class].deadline_s + EXPIRY_DELAY_S
        self.simulation.call_later(expiry_s, self.recorder.message_expired, message.number)
        self.schedule_next()

    def submit(self, message: ClientMessage, number: int) -> None:
        """Submits a message to a sender; `number` counts the submissions before this one."""
        self.recorder.figures.tries += 1
        sender = self.choose_sender(message, number)
        if sender is None:
            self.retry(message, number, 0.0)
            return
        self.simulation.send(ClientAttempt(self.simulation, message, number, sender))

    def choose_sender(self, message: ClientMessage, number: int) -> SimulatedSender | None:
        """Returns the sender of a submission, or None while it is down.

        An ordering key always has the same sender, also while that sender is down: it may hold earlier
        messages of the key that no other sender knows. Other messages are distributed round-robin over the
        senders that are up.
        """
        senders = self.simulation.senders
        if message.key:
            owner = senders[zlib.crc32(message.key.encode()) % len(senders)]
            return owner if owner.is_alive else None
        alive = [each for each in senders if each.is_alive]
        return alive[(message.number + number) % len(alive)] if alive else None

    def retry(self, message: ClientMessage, number: int, retry_after_s: float) -> None:
        """Schedules the next submission, unless the retries or the time of the message are used up.

        Args:
            message: The message.
            number: The submission that failed.
            retry_after_s: The Retry-After of the answer; 0 for none.
        """
        clients = self.scenario.clients
        if number >= clients.retries:
            return
        if clients.honours == "told" and retry_after_s > 0:
            delay_s = retry_after_s
        else:
            delay_s = clients.backoff_s * 2**number * (0.5 + message.delay_draws(number)[1])
        deadline_s = message.at + self.scenario.classes[message.message_class].deadline_s
        if self.simulation.time() + delay_s < deadline_s:
            self.simulation.call_later(delay_s, self.submit, message, number + 1)
