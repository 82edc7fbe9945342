"""A host application for the tests, run as a process.

Its first process submits messages with three keys. Later processes submit nothing. Each waits until no
message is pending. Arguments: state folder, port of the endpoint, number of earlier processes.
"""

import asyncio
import sys
from pathlib import Path

from message_sender.grpc import open_channel

CLASSES = {
    "keyed": {"effect": "keyed", "window_ms": 8000, "in_order": True},
    "unsafe": {"effect": "unsafe", "in_order": True},
}


async def main(state: Path, port: int, restarts: int) -> None:
    common = {"aim_ms": 2000, "deadline_ms": 10000}
    configuration = {
        "classes": {name: common | settings for name, settings in CLASSES.items()},
        "endpoints": [{"id": "c", "destination": 2, "dial": f"127.0.0.1:{port}"}],
    }
    channel = await open_channel(configuration, state)
    calls = []
    for number in range(6 if restarts == 0 else 0):
        for key in "abc":
            metadata = [
                ("elmglade-class", "unsafe" if key == "c" else "keyed"),
                ("elmglade-destination", "2"),
                ("elmglade-id", f"{key}{number}"),
                ("elmglade-key", key),
                ("idempotency-key", f"{key}{number}"),
            ]
            calls.append(channel.unary_unary("/s/M")(b"x", metadata=metadata))
    while channel.pending() or channel.engine.table.arrivals:
        await asyncio.sleep(0.01)
    print(f"pending:{len(channel.pending())}", flush=True)
    await channel.close()


asyncio.run(main(Path(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3])))
