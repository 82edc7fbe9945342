"""Base classes of the models at an engine's ports, for simulated runs and simulated fleets."""

import asyncio

ACKNOWLEDGEMENT_DELAY_S = 0.004  # until the listener acknowledges a completion


class ConnectionlessTransport:
    """The methods of the port `Transport` that do nothing because calls are modelled without connections."""

    reads_late = False

    def poll_unread(self) -> None:
        """Does nothing: every answer is read as soon as it arrives."""

    def close_idle(self, endpoint: str) -> None:
        """Does nothing: the model keeps no connections."""

    def close_expired(self) -> None:
        """Does nothing: the model keeps no connections."""

    def endpoints_changed(self) -> None:
        """Does nothing: the model looks endpoints up at each call."""

    def close(self) -> None:
        """Does nothing: the model has no resources."""


class PassiveListener:
    """A `CompletionListener` without a background task."""

    async def run(self) -> None:
        """Waits until it is cancelled."""
        await asyncio.get_running_loop().create_future()
