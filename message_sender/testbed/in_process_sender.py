"""Runs a sender in this process, for demonstrations, benchmarks and tests."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from message_sender.service.standalone import StandaloneSender


@asynccontextmanager
async def running(sender: StandaloneSender) -> AsyncIterator[StandaloneSender]:
    """Run a sender within a block, and stop the sender at the end of the block, also after an exception."""
    await sender.start()
    task = asyncio.create_task(sender.run())
    try:
        yield sender
    finally:
        sender.stop(0)
        await task
