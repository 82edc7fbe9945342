"""A transport whose writes an observer of the traffic sees."""

import asyncio
from typing import Any

from message_sender.core.traffic_observer import SERVER_SIDE, ObservedConnection


class ObservedTransport:
    """A transport that tells an observer what is written. Everything else is the transport's own."""

    def __init__(self, transport: asyncio.Transport, observed: ObservedConnection) -> None:
        """Wraps a transport."""
        self.transport = transport
        self.observed = observed

    def write(self, data: bytes) -> None:
        """As of `asyncio.Transport`."""
        self.transport.write(data)
        self.observed.passed(SERVER_SIDE, data)

    def abort(self) -> None:
        """As of `asyncio.Transport`."""
        self.observed.ended(SERVER_SIDE, reset=True)
        self.transport.abort()

    def __getattr__(self, name: str) -> Any:  # noqa: ANN401
        """Everything else of the transport."""
        return getattr(self.transport, name)
