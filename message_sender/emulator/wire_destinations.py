"""Destinations that serve HTTP/1.1 on sockets in memory and act as their receiver models decide."""

import asyncio
from functools import partial

from message_sender.discovery.static import StaticEndpoint
from message_sender.emulator.fleet_recorder import FleetRecorder
from message_sender.emulator.fleet_topology import Topology
from message_sender.emulator.memory_network import HOST
from message_sender.emulator.receiver import EFFECT_BY_OUTCOME, CallResult
from message_sender.emulator.wire_sender import HTTP_PORT
from message_sender.policy.model import Outcome
from message_sender.testbed.history import EffectApplied
from message_sender.testbed.http import read_head

MALFORMED_RESPONSE = b"\x00\x01 no answer\r\n\r\n"


def encode_response(result: CallResult) -> bytes:
    """Returns the HTTP response for the result of a call; empty if the call gets no response."""
    match result.outcome:
        case Outcome.OK:
            return b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        case Outcome.FULL if result.retry_after_s:
            delay_s = result.retry_after_s
            return f"HTTP/1.1 429 No\r\nContent-Length: 0\r\nRetry-After: {delay_s:.3f}\r\n\r\n".encode()
        case Outcome.FULL:
            return b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"
        case Outcome.MALFORMED:
            return MALFORMED_RESPONSE
        case Outcome.ERROR:
            return b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
        case _:
            return b""


class DestinationServers:
    """One HTTP server for each endpoint.

    Attributes:
        drained: Endpoints that were drained, by id; calls to them may still be in flight.
        open_calls: The number of the call in the history, by message id and endpoint id, while its sender
            waits for it.
    """

    def __init__(self, topology: Topology, recorder: FleetRecorder) -> None:
        """Serves the endpoints of `topology` and records calls with `recorder`."""
        self.topology = topology
        self.recorder = recorder
        self.drained: dict[str, StaticEndpoint] = {}
        self.open_calls: dict[tuple[str, str], int] = {}

    async def open_all(self) -> None:
        """Opens a server for each endpoint that is listed."""
        for name in list(self.topology.endpoints):
            await self.open_endpoint(name)

    async def open_endpoint(self, name: str) -> None:
        """Opens the server of an endpoint, on a host with its id as the name."""
        token = HOST.set(name)
        try:
            await asyncio.start_server(partial(self.serve_connection, name), name, HTTP_PORT)
        finally:
            HOST.reset(token)

    async def serve_connection(
        self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers the requests of one connection, then aborts it."""
        try:
            while True:
                _, fields = await read_head(reader)
                await reader.readexactly(int(fields.get("content-length", "0")))
                if not await self.serve_call(name, fields["x-correlation-id"], reader, writer):
                    break
        except (asyncio.IncompleteReadError, OSError):
            pass  # the sender closed or reset the connection
        writer.transport.abort()

    async def serve_call(
        self, name: str, message_id: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Serves one call; returns whether its connection may be used again."""
        recorder = self.recorder
        listed = self.topology.endpoints.get(name) or self.drained[name]
        if not recorder.is_open(message_id):
            return False
        sender = writer.get_extra_info("peername")[0]
        message, attempt = recorder.count_attempt(message_id)
        receiver = self.topology.receiver_of(listed.endpoint)
        now, zone = recorder.time(), listed.endpoint.zone
        result = receiver.call(now, sender, message.receiver_random(attempt), zone)
        call = recorder.history.record_start(message_id, name, sender)
        self.open_calls[message_id, name] = call
        if result.delay_s is None:
            recorder.effect_applied(message)
        is_abandoned = await is_closed_within(reader, result.delay_s)
        if is_abandoned and result.delay_s is None:
            self.abandon_call(message_id, name)
            return False
        is_known = result.connected and not is_abandoned
        effect = EFFECT_BY_OUTCOME[result.outcome] if is_known else EffectApplied.MAYBE
        recorder.call_finished(
            result.ran, message, call, effect, 0.0 if is_abandoned else result.retry_after_s
        )
        if is_abandoned or not result.connected:
            return False
        response = encode_response(result)
        if response:
            writer.write(response)
        return bool(response) and response is not MALFORMED_RESPONSE

    def abandon_call(self, message_id: str, endpoint: str) -> None:
        """Ends a call that is over for its sender, even if the endpoint has not noticed yet."""
        call = self.open_calls.pop((message_id, endpoint), 0)
        if call:
            self.recorder.call_abandoned(call)


async def is_closed_within(reader: asyncio.StreamReader, seconds: float | None) -> bool:
    """Returns whether the peer closes before the time is up.

    A sender that closes has abandoned its call, even if its last bytes were in flight at that time.

    Args:
        reader: Of the connection, after a complete request.
        seconds: How long to wait; None for no limit.
    """
    closing = asyncio.ensure_future(reader.read(1))
    await asyncio.wait({closing}, timeout=seconds)
    is_closed = closing.done()
    closing.cancel()
    await asyncio.wait({closing})  # the reader may have one waiter only
    return is_closed
