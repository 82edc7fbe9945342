"""A host application for the tests: hands in three keys of messages in its first life, and in later ones only
waits until nothing is owed. Arguments: state folder, endpoint's port, number of its life."""

import asyncio
import sys
from pathlib import Path

from message_sender.grpc import open_channel

CLASSES = {
    "keyed": {"effect": "keyed", "window_ms": 8000, "in_order": True},
    "unsafe": {"effect": "unsafe", "in_order": True},
}


async def main(state: Path, port: int, life: int) -> None:
    common = {"aim_ms": 2000, "deadline_ms": 10000}
    told = {
        "classes": {name: common | each for name, each in CLASSES.items()},
        "endpoints": [{"id": "c", "destination": 2, "dial": f"127.0.0.1:{port}"}],
    }
    channel = await open_channel(told, state)
    calls = []
    for number in range(6 if life == 0 else 0):
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
