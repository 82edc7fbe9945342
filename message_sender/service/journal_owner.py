"""The interface of a platform sender that the operators' commands and the process handover use.

It keeps both independent of how service/daemon.py assembles the sender.
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
    """The process that owns the journal, the messages and the decisions about them."""

    engine: Engine
    server: Server
    transport: HttpTransport
    drain: Drain
    clock: Clock
    discovery: Discovery
    maintenance: Maintenance

    def start_drain(self) -> None:
        """Asks clients to connect to another sender."""

    def terminate(self) -> None:
        """Ends the process as SIGTERM does."""

    def stop(self, code: int) -> None:
        """Ends the process with this exit code."""
