"""A transport wrapper that reports writes to a traffic observer."""

import asyncio
from typing import Any

from message_sender.core.traffic_observer import SERVER_SIDE, ObservedConnection


class ObservedTransport:
    """Reports writes and aborts to an observer, and forwards everything else to the wrapped transport."""

    def __init__(self, transport: asyncio.Transport, observed: ObservedConnection) -> None:
        """Wraps a transport whose traffic is reported to `observed`."""
        self.transport = transport
        self.observed = observed

    def write(self, data: bytes) -> None:
        """Writes data; see `asyncio.WriteTransport.write`."""
        self.transport.write(data)
        self.observed.report_data(SERVER_SIDE, data)

    def abort(self) -> None:
        """Closes the transport immediately; see `asyncio.WriteTransport.abort`."""
        self.observed.report_closed(SERVER_SIDE, reset=True)
        self.transport.abort()

    def __getattr__(self, name: str) -> Any:  # noqa: ANN401
        """Forwards every other attribute to the wrapped transport."""
        return getattr(self.transport, name)
