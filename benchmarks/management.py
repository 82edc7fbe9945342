"""How long an operator's call takes while clients storm the door: ./with-env python benchmarks/management.py

A sender in a process of its own, `RATE` hand-ins a second from `CLIENTS` connections for `SECONDS`, a hundred
operators' connections that send half a call, and a call for the figures every 50 ms. Prints the calls' times.
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

RATE, CLIENTS, SECONDS, HALVES = 1600, 64, 6.0, 100


async def client(address: tuple[str, int], number: int, until: float) -> int:
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
                halves = [await asyncio.open_connection(*process.management) for _ in range(HALVES)]
                for _, writer in halves:
                    writer.write(b"POST /healthcheck/fail HTTP/1.1\r\n")
                until = time.monotonic() + SECONDS
                clients = [
                    asyncio.create_task(client(platform.address, each, until)) for each in range(CLIENTS)
                ]
                took = []
                while time.monotonic() < until:
                    began = time.perf_counter()
                    assert (await process.call("GET", "/stats")).status == 200
                    took.append(time.perf_counter() - began)
                    await asyncio.sleep(0.05)
                handed = sum(await asyncio.gather(*clients))
                took.sort()
                middle, most = took[len(took) // 2], took[-1]
                print(f"{handed / SECONDS:.0f} hand-ins a second, {len(took)} calls:", end=" ")
                print(f"median {middle * 1e3:.1f} ms, slowest {most * 1e3:.1f} ms")


asyncio.run(main())
