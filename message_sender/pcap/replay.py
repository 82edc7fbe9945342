"""Replay of recorded requests at their recorded times, regardless of the responses (open loop).

`plan` decides what is sent when, and is free of I/O. The latency of a request is measured from its planned
time, so that a stalled server affects the latencies of all requests that had to wait for it, as in wrk2.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Protocol

import h11

from message_sender.pcap.capture import CapturedMessage
from message_sender.pcap.messages import HttpMessage

CONNECTIONS_LIMIT = 256  # a request that finds no free connection is counted and not sent
RESPONSE_TIMEOUT_S = 30.0
READ_BYTES = 65536
NS_PER_S = 1e9
US_PER_S = 1e6
#: Headers that frame a message or belong to one connection; they are not copied.
CONNECTION_HEADERS = frozenset(
    {"content-length", "transfer-encoding", "connection", "keep-alive", "expect", "upgrade"}
)
ID_HEADERS = frozenset({"x-correlation-id", "idempotency-key"})
METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """A request to send.

    Attributes:
        due_s: When to send it, in seconds after the first request.
        method: HTTP method.
        data: The encoded request.
    """

    due_s: float
    method: str
    data: bytes


class IdReplacer:
    """Replaces recorded correlation ids and idempotency keys by random ones.

    Equal ids get equal replacements, so that a repeated request has the id of the original one.
    """

    def __init__(self, seed: int) -> None:
        """Creates a replacer whose replacements depend on the seed and the order of the ids."""
        self._rng = random.Random(seed)
        self._replacements: dict[str, str] = {}

    def replace(self, recorded_id: str) -> str:
        """Returns the replacement of an id."""
        if recorded_id not in self._replacements:
            self._replacements[recorded_id] = f"{self._rng.getrandbits(64):016x}"
        return self._replacements[recorded_id]


def plan(
    requests: Iterable[CapturedMessage], speed: float = 1.0, id_replacer: IdReplacer | None = None
) -> Iterator[PlannedRequest]:
    """Yields the requests to send, in the order of sending.

    A request that the capture does not hold completely is left out. If the recorded clock went back, a
    request is due at the same time as the previous one.

    Args:
        requests: Recorded requests.
        speed: Factor by which the replay is faster than the recording.
        id_replacer: Replaces correlation ids and idempotency keys; None keeps them.
    """
    first_at_ns: int | None = None
    last_due_s = 0.0
    for request in requests:
        message = request.message
        if not message.is_complete:
            continue
        if first_at_ns is None:
            first_at_ns = message.first_at_ns
        last_due_s = max(last_due_s, (message.first_at_ns - first_at_ns) / NS_PER_S / speed)
        yield PlannedRequest(last_due_s, message.method, encode_request(message, id_replacer))


def encode_request(message: HttpMessage, id_replacer: IdReplacer | None) -> bytes:
    """Returns the bytes of a recorded request for sending on another connection."""
    lines = [f"{message.method} {message.target} HTTP/1.1"]
    for name, value in message.headers:
        lower_name = name.lower()
        if lower_name in CONNECTION_HEADERS:
            continue
        is_replaced = id_replacer is not None and lower_name in ID_HEADERS
        sent_value = id_replacer.replace(value) if id_replacer and is_replaced else value
        lines.append(f"{name}: {sent_value}")
    if message.body or message.method in METHODS_WITH_BODY:
        lines.append(f"Content-Length: {len(message.body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + message.body


class Histogram(Protocol):
    """The part of a histogram of the library hdrhistogram that a replay uses."""

    def record_value(self, value: int) -> bool:
        """Records a latency in whole microseconds."""


@dataclass(slots=True)
class ReplayOutcome:
    """The result of a replay.

    Attributes:
        sent: Requests sent.
        not_sent: Requests that were not sent because no connection was free.
        max_delay_s: The longest delay in seconds between the planned time of a request and its sending.
        responses: Number of requests by status of the response, or by kind of error.
    """

    sent: int = 0
    not_sent: int = 0
    max_delay_s: float = 0.0
    responses: Counter[str] = field(default_factory=Counter)


class ReplayConnection(Protocol):
    """A connection to the server under test."""

    async def exchange(self, request: PlannedRequest) -> int:
        """Sends a request and returns the status of its response.

        Raises:
            OSError: The connection broke.
            TimeoutError: There was no response within the time limit.
        """

    def is_usable(self) -> bool:
        """Returns whether another request may be sent on it."""

    def close(self) -> None:
        """Closes the connection."""


class HttpReplayConnection:
    """A connection over TCP."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Takes over an open connection."""
        self._reader = reader
        self._writer = writer
        self._can_be_reused = True

    @classmethod
    async def open(cls, host: str, port: int) -> "HttpReplayConnection":
        """Opens a connection.

        Raises:
            OSError: The connection cannot be opened.
        """
        reader, writer = await asyncio.open_connection(host, port)
        return cls(reader, writer)

    async def exchange(self, request: PlannedRequest) -> int:
        """Sends a request and returns the status of its response, as `ReplayConnection` defines it."""
        self._can_be_reused = False
        self._writer.write(request.data)
        codec = h11.Connection(h11.CLIENT)
        codec.send(h11.Request(method=request.method, target="/", headers=[("Host", "x")]))
        codec.send(h11.EndOfMessage())
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                status = await self._read_response(codec)
        except h11.RemoteProtocolError as error:
            raise ConnectionResetError(str(error)) from None
        self._can_be_reused = codec.their_state is h11.DONE and not codec.trailing_data[0]
        return status

    def is_usable(self) -> bool:
        """Returns whether another request may be sent on it."""
        return self._can_be_reused and not (self._reader.at_eof() or self._writer.is_closing())

    def close(self) -> None:
        """Closes the connection."""
        self._writer.close()

    async def _read_response(self, codec: h11.Connection) -> int:
        status = 0
        while not isinstance(event := codec.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                codec.receive_data(await self._reader.read(READ_BYTES))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("the server closed the connection without a response")
        return status


class Replay:
    """Sends planned requests over as many connections as needed, at most `CONNECTIONS_LIMIT`."""

    def __init__(
        self,
        open_connection: Callable[[], Awaitable[ReplayConnection]],
        latencies: Histogram | None = None,
    ) -> None:
        """Creates a replay.

        Args:
            open_connection: Opens a connection, or raises OSError.
            latencies: Records the latency of each response.
        """
        self._open_connection = open_connection
        self._latencies = latencies
        self._outcome = ReplayOutcome()
        self._idle: list[ReplayConnection] = []
        self._connection_count = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, planned: Iterable[PlannedRequest]) -> ReplayOutcome:
        """Sends all requests, and returns after the last response or timeout."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        for request in planned:
            due_at = started_at + request.due_s
            # If many requests are due at once, a sleep of 0 still lets the loop read responses between them.
            await asyncio.sleep(max(due_at - loop.time(), 0))
            self._outcome.max_delay_s = max(self._outcome.max_delay_s, loop.time() - due_at)
            self._begin_request(request, due_at)
        await asyncio.gather(*self._tasks)
        for connection in self._idle:
            connection.close()
        return self._outcome

    def _begin_request(self, request: PlannedRequest, due_at: float) -> None:
        if not self._idle and self._connection_count >= CONNECTIONS_LIMIT:
            self._outcome.not_sent += 1
            return
        self._outcome.sent += 1
        connection = self._idle.pop() if self._idle else None
        if connection is None:
            self._connection_count += 1
        task = asyncio.get_running_loop().create_task(self._send(request, due_at, connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(
        self, request: PlannedRequest, due_at: float, connection: ReplayConnection | None
    ) -> None:
        """Sends a request once: if a reused connection breaks, the request counts as failed."""
        loop = asyncio.get_running_loop()
        responses = self._outcome.responses
        try:
            connection = connection or await self._open_connection()
            status = await connection.exchange(request)
            responses[str(status)] += 1
            if self._latencies:
                self._latencies.record_value(max(round((loop.time() - due_at) * US_PER_S), 1))
        except TimeoutError:
            responses["no answer"] += 1
        except OSError as error:
            responses[type(error).__name__] += 1
        if connection is not None and connection.is_usable():
            self._idle.append(connection)
            return
        self._connection_count -= 1
        if connection is not None:
            connection.close()
