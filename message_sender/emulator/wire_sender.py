"""One sender of a fleet over sockets in memory: the daemon's HTTP server and transport around its engine."""

import contextvars
from collections.abc import Callable
from typing import Any, Protocol

from message_sender.core.hooks import EngineHooks
from message_sender.core.ports import AttemptResult, SendPermission
from message_sender.discovery.static import StaticEndpoint
from message_sender.emulator.fleet_recorder import FleetRecorder
from message_sender.emulator.fleet_sender import ModelCompletionListener, SenderEnvironment, SimulatedSender
from message_sender.emulator.memory_network import HOST, Net
from message_sender.http.client import HttpTransport
from message_sender.message import Message
from message_sender.policy.model import Outcome
from message_sender.service.daemon import HttpSender

HTTP_PORT = 80
MAX_SENDER_DESCRIPTORS = 1024


class WireEnvironment(SenderEnvironment, Protocol):
    """What a sender needs of a simulation over sockets."""

    net: Net

    def abandon_call(self, message_id: str, endpoint: str) -> None:
        """Ends a call that is over for its sender."""

    def message_accepted(self, message: Message, sender: SimulatedSender) -> None:
        """Records in the history that a sender has accepted a message."""


def run_as_host(host: str, function: Callable[..., Any], *args: Any) -> None:  # noqa: ANN401
    """Calls a function so that the sockets it opens, now and in callbacks, belong to a host."""
    context = contextvars.copy_context()
    context.run(HOST.set, host)
    context.run(function, *args)


class WireTransport:
    """The daemon's transport; also notifies the destinations when a call is over for its sender."""

    def __init__(self, sender: "WireSender", transport: HttpTransport) -> None:
        """Wraps the transport of a sender."""
        self.sender = sender
        self.transport = transport

    async def call(
        self, endpoint: str, message: Message, timeout: float, permission: SendPermission
    ) -> AttemptResult:
        """Makes one call; see `Transport.call`."""
        try:
            return await self.transport.call(endpoint, message, timeout, permission)
        finally:
            self.sender.simulation.abandon_call(message.id, endpoint)

    def __getattr__(self, name: str) -> Any:  # noqa: ANN401
        """Forwards every other attribute to the daemon's transport."""
        return getattr(self.transport, name)


class WireHttpSender(HttpSender):
    """The daemon's HTTP server and transport around the engine of a simulated sender."""

    def __init__(self, sender: "WireSender") -> None:
        """Builds them for the sender's present engine."""
        self.sender = sender
        super().__init__(sender.engine, (sender.name, HTTP_PORT), MAX_SENDER_DESCRIPTORS)
        self.transport = WireTransport(sender, self.transport)  # type: ignore[assignment]

    def dial_addresses(self) -> dict[str, tuple[str, int]]:
        """Returns the addresses of the endpoints that the sender knows."""
        return self.sender.directory.dials()


class CallRecorder(EngineHooks):
    """Records the outcomes of one sender's calls."""

    def __init__(self, recorder: FleetRecorder, sender_name: str) -> None:
        """Records calls of the sender with that name."""
        self.recorder = recorder
        self.sender_name = sender_name

    def attempt_finished(self, endpoint: str, outcome: Outcome) -> None:
        """Records the outcome of a call that has ended."""
        self.recorder.attempt_finished(self.sender_name, endpoint, outcome)


class WireSender(SimulatedSender):
    """A sender that clients and destinations reach over sockets in memory."""

    simulation: WireEnvironment

    def start(self) -> None:
        """Starts a process on the state folder, and its HTTP server."""
        run_as_host(self.name, super().start)
        run_as_host(self.name, self.http.server.listen, self.name, HTTP_PORT)
        self.http.server.is_ready = True

    def plug(self) -> None:
        """Connects the engine to the daemon's server and transport."""
        record_accepted = self.engine.journal.record_accepted

        def record_and_report(message: Message) -> bool:
            is_written = record_accepted(message)
            if is_written:
                self.simulation.message_accepted(message, self)
            return is_written

        self.engine.journal.record_accepted = record_and_report  # type: ignore[method-assign]
        self.engine.hooks.add(CallRecorder(self.simulation.recorder, self.name))
        self.http = WireHttpSender(self)
        self.http.set_ports(self.directory, ModelCompletionListener(self))

    def terminate(self) -> None:
        """Ends the process as a kill does; its sockets are reset."""
        super().terminate()
        self.http.transport.unread.close()
        self.simulation.net.kill(self.name)

    def receive_endpoint_list(self, listed: dict[str, StaticEndpoint], incarnation: int) -> None:
        """Applies an endpoint list on the sender's host."""
        run_as_host(self.name, super().receive_endpoint_list, listed, incarnation)

    def acknowledge_completion(self, incarnation: int, message: str) -> None:
        """Acknowledges a completion on the sender's host."""
        run_as_host(self.name, super().acknowledge_completion, incarnation, message)
