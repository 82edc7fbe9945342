"""The response time of management calls under client load: ./with-env python benchmarks/management.py

Runs a sender as a process. `CLIENTS` connections submit `RATE` messages per second for `SECONDS`, a hundred
other management connections each send only half a request, and a call for the statistics is made every 50 ms.
Prints the response times of these calls.
"""

import asyncio
import sys
import tempfile
import time
from pathlib import Path

sys.path[:0] = [str(Path(__file__).parent.parent / part) for part in ("", "tests")]

from peers import Peer, config_json, host, message, read_reply  # noqa: E402
from peers import Platform as Discovery  # noqa: E402
from sender_processes import Platform  # noqa: E402

RATE, CLIENTS, SECONDS, INCOMPLETE_REQUESTS = 1600, 64, 6.0, 100


async def client(address: tuple[str, int], number: int, until: float) -> int:
    """Submits messages at its share of the rate until the time `until` (s); returns their number."""
    reader, writer = await asyncio.open_connection(*address)
    count = 0
    while time.monotonic() < until:
        writer.write(message(f"{number}-{count}"))
        try:
            await read_reply(reader)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            reader, writer = await asyncio.open_connection(*address)
        count += 1
        await asyncio.sleep(CLIENTS / RATE)
    writer.close()
    return count


async def main() -> None:
    with tempfile.TemporaryDirectory() as folder:
        state = Path(folder) / "state"
        state.mkdir()
        async with Peer() as receiver, Discovery() as discovery:
            async with Platform(state, config_json(discovery, host(receiver.dial))) as platform:
                process = await platform.start()
                incomplete = [
                    await asyncio.open_connection(*process.management) for _ in range(INCOMPLETE_REQUESTS)
                ]
                for _, writer in incomplete:
                    writer.write(b"POST /healthcheck/fail HTTP/1.1\r\n")
                until = time.monotonic() + SECONDS
                clients = [
                    asyncio.create_task(client(platform.address, each, until)) for each in range(CLIENTS)
                ]
                latencies = []
                while time.monotonic() < until:
                    started_at = time.perf_counter()
                    assert (await process.call("GET", "/stats")).status == 200
                    latencies.append(time.perf_counter() - started_at)
                    await asyncio.sleep(0.05)
                submitted = sum(await asyncio.gather(*clients))
                latencies.sort()
                median, longest = latencies[len(latencies) // 2], latencies[-1]
                print(f"{submitted / SECONDS:.0f} messages/s submitted, {len(latencies)} calls:", end=" ")
                print(f"median {median * 1e3:.1f} ms, longest {longest * 1e3:.1f} ms")


asyncio.run(main())
