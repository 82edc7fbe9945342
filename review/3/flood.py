"""Bad clients: each sends hundreds of requests of an unknown class at once, and the same again once answered.

Arguments: the sender's port, the number of clients, the requests of each, and for how many seconds.
"""

import asyncio
import contextlib
import sys
import time

HOST = "127.0.0.1"
REQUEST = b"POST /nothing HTTP/1.1\r\nHost: app.svc\r\nX-Service-Class: nothing\r\nContent-Length: 0\r\n\r\n"


async def bad_client(port: int, requests: int, ends_at: float) -> tuple[int, int]:
    """One bad client; returns how many requests it sent and how many answers it read."""
    sent = answered = 0
    while time.monotonic() < ends_at:
        writer = None
        with contextlib.suppress(OSError, TimeoutError):
            reader, writer = await asyncio.open_connection(HOST, port)
            while time.monotonic() < ends_at:
                writer.write(REQUEST * requests)
                sent += requests
                missing = requests
                while missing > 0 and (data := await asyncio.wait_for(reader.read(65536), 5)):
                    missing -= data.count(b"HTTP/1.1 ")
                    answered += data.count(b"HTTP/1.1 ")
                if missing > 0:
                    break  # the sender has closed the connection
        if writer:
            writer.transport.abort()
        await asyncio.sleep(0.01)
    return sent, answered


async def main() -> None:
    """Runs all clients."""
    port, clients, requests = map(int, sys.argv[1:4])
    ends_at = time.monotonic() + float(sys.argv[4])
    results = await asyncio.gather(*(bad_client(port, requests, ends_at) for _ in range(clients)))
    sent, answered = (sum(column) for column in zip(*results, strict=True))
    print(f"bad clients={clients} requests={sent} answers={answered}")


asyncio.run(main())
