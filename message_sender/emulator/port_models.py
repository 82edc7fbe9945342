"""What the models at an engine's ports share, in a simulated run and in the simulation of a fleet."""

import asyncio

ACKNOWLEDGEMENT_DELAY_S = 0.004  # of a completion, by its listener


class ConnectionlessTransport:
    """The part of the port `Transport` that does nothing where calls are modelled without connections."""

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
    """The part of the port `CompletionListener` that has nothing to do in the background."""

    async def run(self) -> None:
        """Waits until it is cancelled."""
        await asyncio.get_running_loop().create_future()
