"""Clients that send as much as they can in framings that HTTP/1.1 allows; run as a program, from a process of
their own: `bad_clients.py HOST PORT FRAMING CLIENTS SECONDS`, which prints their answers as JSON."""

import asyncio
import contextlib
import json
import sys
import time
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from itertools import chain, repeat

REQUEST_LINE = b"POST /c HTTP/1.1\r\nHost: x\r\nX-Service-Class: c\r\n"
CHUNKED = REQUEST_LINE + b"Transfer-Encoding: chunked\r\n\r\n"
FULL_BODY = b"x" * 65536
BLOCK = 96 * 1024
OWED_S = 3.0  # within which an error or a close is owed


def blocks(first: bytes, repeated: bytes) -> Iterator[bytes]:
    """Yields `first`, and then blocks of the repeated bytes without end."""
    return chain([first], repeat(repeated * max(BLOCK // len(repeated), 1)))


def with_length(body: bytes, **headers: str) -> bytes:
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items()).encode()
    return REQUEST_LINE + lines + b"Content-Length: %d\r\n\r\n" % len(body) + body


FRAMINGS: dict[str, Callable[[], Iterable[bytes]]] = {
    "long extensions": lambda: blocks(CHUNKED, b"1;x=" + b"a" * 12_000 + b"\r\nz\r\n"),
    "short extensions": lambda: blocks(CHUNKED, b"1;x=" + b"a" * 40 + b"\r\nz\r\n"),
    "differing extensions": lambda: blocks(CHUNKED, b"1;a\r\nz\r\n1;bc\r\nz\r\n"),
    "chunks of one byte": lambda: [CHUNKED, b"1\r\nx\r\n" * 65536],
    "chunks of one byte again and again": lambda: blocks(b"", CHUNKED + b"1\r\nx\r\n" * 65536 + b"0\r\n\r\n"),
    "padded sizes": lambda: blocks(CHUNKED, b"00000000000000000001\r\nz\r\n"),
    "bodies without their last byte": lambda: [with_length(FULL_BODY)[:-1]],
    "chunked bodies without their end": lambda: [CHUNKED + b"10000\r\n" + FULL_BODY + b"\r\n"],
    "many short fields": lambda: [
        REQUEST_LINE + b"a:\r\n" * 16_000 + b"Content-Length: 65536\r\n\r\n" + FULL_BODY[:-1]
    ],
    "fields below the limit": lambda: [
        REQUEST_LINE + b"a:\r\n" * 3_500 + b"Content-Length: 65536\r\n\r\n" + FULL_BODY[:-1]
    ],
    "a head without its end": lambda: [REQUEST_LINE + b"a: " + b"b" * 16_000],
    "trailers": lambda: blocks(CHUNKED + b"0\r\n", b"a: b\r\n"),
    "pipelined requests": lambda: blocks(b"", with_length(b"x")),
    "pipelined full bodies": lambda: blocks(b"", with_length(FULL_BODY)),
    "pipelined behind a body": lambda: blocks(with_length(FULL_BODY), with_length(b"x" * 100)),
    "60 MB": lambda: blocks(REQUEST_LINE + b"Content-Length: 60000000\r\n\r\n", FULL_BODY),
    "single bytes": lambda: chain(
        [REQUEST_LINE + b"Content-Length: 65536\r\n\r\n"], (b"x" for _ in range(65535))
    ),
    "bodies that wait for the acceptance": lambda: [
        REQUEST_LINE + b"Expect: 100-continue\r\nContent-Length: 65536\r\n\r\n",
        FULL_BODY[:-1],
    ],
}


class BadClients:
    """A number of bad clients.

    Attributes:
        answers: Counts of statuses, `closed` and `neither`; the last one stands for clients that were owed an
            error or a close for over `OWED_S`.
        sent_bytes: The bytes that all clients have sent.
    """

    def __init__(self, address: tuple[str, int], framing: str, ends_at: float) -> None:
        self.address, self.ends_at = address, ends_at
        self.framings = [FRAMINGS[framing]] if framing in FRAMINGS else list(FRAMINGS.values())
        self.answers: Counter[str] = Counter()
        self.sent_bytes = 0

    async def run_client(self, number: int) -> None:
        """Sends requests at full speed, the next one on a new connection as soon as one was answered."""
        while time.monotonic() < self.ends_at:
            framing = self.framings[number % len(self.framings)]
            number += 1
            with contextlib.suppress(OSError):
                await self.send_request(framing())

    async def send_request(self, data: Iterable[bytes]) -> None:
        reader, writer = await asyncio.open_connection(*self.address)
        answer: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        reading = asyncio.ensure_future(self.read(reader, answer))
        sending = asyncio.ensure_future(self.send(writer, data, reading))
        try:
            await asyncio.wait([reading], timeout=max(min(OWED_S, self.ends_at - time.monotonic()), 0.01))
            if answer.done():
                self.answers[answer.result()] += 1
            elif time.monotonic() < self.ends_at:
                self.answers["neither"] += 1
        finally:
            sending.cancel()
            reading.cancel()
            writer.transport.abort()

    async def send(
        self, writer: asyncio.StreamWriter, data: Iterable[bytes], reading: asyncio.Future[None]
    ) -> None:
        with contextlib.suppress(OSError):
            for block in data:
                if reading.done():
                    return
                writer.write(block)
                self.sent_bytes += len(block)
                await writer.drain()
                if len(block) == 1:
                    await asyncio.sleep(0)

    async def read(self, reader: asyncio.StreamReader, answer: asyncio.Future[str]) -> None:
        """Reads what it is sent, up to a close or an answer that ends the connection."""
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if not answer.done():
                    answer.set_result(data.partition(b" ")[2][:3].decode("latin-1"))
                if b"Connection: close" in data:
                    return
        if not answer.done():
            answer.set_result("closed")


async def run(address: tuple[str, int], framing: str, clients: int, seconds: float) -> None:
    bad = BadClients(address, framing, time.monotonic() + seconds)
    await asyncio.gather(*(bad.run_client(number) for number in range(clients)))
    print(json.dumps({"answers": bad.answers, "sent_bytes": bad.sent_bytes}))


if __name__ == "__main__":
    host, port, framing, clients, seconds = sys.argv[1:]
    asyncio.run(run((host, int(port)), framing, int(clients), float(seconds)))
