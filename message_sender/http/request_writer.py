"""The writing side of a client connection: requests, and what the server has not acknowledged of them."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable

import h11

from message_sender.core.traffic_observer import CLIENT_SIDE, ObservedConnection
from message_sender.http import fast_path
from message_sender.http.common import HEADER_LIMIT, Address
from message_sender.http.unacknowledged import unacknowledged_bytes

SEND_CHECK_INTERVAL_S = 0.02  # while a request waits to be written; a Retry-After binds within 0.1 s
DISCARD_AT_CLOSE = struct.pack("ii", 1, 0)  # `struct linger`, see socket(7)
DELIVER_AT_CLOSE = struct.pack("ii", 0, 0)


class SendRevokedError(Exception):
    """The rest of a request may not be written any more; its last byte was not."""


def always() -> bool:
    """Default permission to go on with a request."""
    return True


def wake(waiting: "asyncio.Future[None]") -> None:
    """Completes a future unless it is done already."""
    if not waiting.done():
        waiting.set_result(None)


class RequestWriter:
    """Writes requests to one socket.

    Attributes:
        sock: The socket.
        address: The server's address.
        codec: The HTTP state of the connection.
        is_fast: Requests are written and common responses are parsed without the codec.
        unsent: Bytes of the request that the operating system has not accepted yet.
        observed: Observes the traffic of the connection; None if it is not observed.
        discards_at_close: The system discards what the server has not acknowledged when the socket is closed.
    """

    def __init__(self, sock: socket.socket, address: Address) -> None:
        """Wraps a socket that is connected to `address`."""
        self.sock = sock
        self.address = address
        self.codec = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEADER_LIMIT)
        self.is_fast = False
        self.unsent = 0
        self.observed: ObservedConnection | None = None
        self.discards_at_close = False

    async def send(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes = b"",
        may_continue: Callable[[], bool] = always,
    ) -> None:
        """Sends a request. Returns when its last byte is written; if it raises, that byte was not written.

        Args:
            method: The method.
            target: The request target.
            headers: The headers, without Host.
            body: The body.
            may_continue: Asked before each write but the first, and repeatedly while nothing can be written.

        Raises:
            SendRevokedError: `may_continue` has returned False.
            OSError: The connection is broken.
        """
        all_headers = {"Host": f"{self.address[0]}:{self.address[1]}"} | headers
        # Latin-1, as headers are decoded: an id with non-ASCII bytes is forwarded unchanged.
        lines = [(name.encode(), value.encode("latin-1")) for name, value in all_headers.items() if value]
        data = fast_path.request_text(target, lines, body) if self.is_fast and method == "POST" else None
        if data is None:
            self.is_fast = False
            data = self.encode_by_codec(method, target, lines, body)
        self.unsent = len(data)
        await self.send_all(memoryview(data), may_continue)

    def encode_by_codec(self, method: str, target: str, lines: fast_path.Fields, body: bytes) -> bytes:
        """Returns the request as the codec encodes it, which leaves the codec expecting a response."""
        data = self.codec.send(h11.Request(method=method, target=target, headers=lines)) or b""
        if body:
            data += self.codec.send(h11.Data(data=body)) or b""
        return data + (self.codec.send(h11.EndOfMessage()) or b"")

    async def send_all(self, data: memoryview, may_continue: Callable[[], bool]) -> None:
        """Writes all of the data. Raises as `send`.

        The loop's own `sock_sendall` may write the last byte and yet raise only CancelledError. Here no
        cancellation can occur between writing the last byte and returning, so a call that times out then
        counts as written.
        """
        while self.unsent:
            try:
                start = len(data) - self.unsent
                self.unsent -= self.sock.send(data[start:])
                if self.observed:
                    self.observed.report_data(CLIENT_SIDE, bytes(data[start : len(data) - self.unsent]))
            except (BlockingIOError, InterruptedError):
                await self.writable()
            if self.unsent and not may_continue():
                raise SendRevokedError

    async def writable(self) -> None:
        """Waits until the operating system accepts more bytes, for `SEND_CHECK_INTERVAL_S` at most."""
        loop = asyncio.get_running_loop()
        ready: asyncio.Future[None] = loop.create_future()
        loop.add_writer(self.sock.fileno(), wake, ready)
        timer = loop.call_later(SEND_CHECK_INTERVAL_S, wake, ready)
        try:
            await ready
        finally:
            timer.cancel()
            loop.remove_writer(self.sock)

    def has_unacknowledged_bytes(self) -> bool:
        """Whether the server has not acknowledged all that was written."""
        return unacknowledged_bytes(self.sock) > 0

    def discard_unacknowledged_at_close(self) -> None:
        """Makes the end of this connection, or of the process, discard what the server has not acknowledged.

        Otherwise the system would go on delivering it, and a call that was given up could still run.
        """
        self.discards_at_close = True
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, DISCARD_AT_CLOSE)

    def deliver_acknowledged_at_close(self) -> bool:
        """Lets an ordinary close follow where nothing is unacknowledged; returns whether a reset follows."""
        if not self.discards_at_close:
            return False
        if self.has_unacknowledged_bytes():
            return True
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, DELIVER_AT_CLOSE)
        return False
