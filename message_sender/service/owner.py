"""What the operators' commands and the process handover need of a sender on the platform.

Neither has to know how a sender is assembled (service/daemon.py, which builds both).
"""

from typing import Protocol

from message_sender.core.clock import Clock
from message_sender.core.engine import Engine
from message_sender.discovery.maintenance import Maintenance
from message_sender.handover.drain import Drain
from message_sender.http.client import HttpTransport
from message_sender.http.discovery import Discovery
from message_sender.http.server import Server


class JournalOwner(Protocol):
    """The process that owns journal, messages and decisions."""

    engine: Engine
    server: Server
    transport: HttpTransport
    drain: Drain
    clock: Clock
    discovery: Discovery
    maintenance: Maintenance

    def start_drain(self) -> None:
        """Asks clients to connect elsewhere."""

    def terminate(self) -> None:
        """Ends the process as SIGTERM does."""

    def stop(self, code: int) -> None:
        """Ends the process with this exit code."""
