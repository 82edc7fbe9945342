"""A sender that runs while it is held, for demonstrations, benchmarks and tests."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from message_sender.service.standalone import StandaloneSender


@asynccontextmanager
async def running(sender: StandaloneSender) -> AsyncIterator[StandaloneSender]:
    """Started, and stopped at the end whatever happens meanwhile."""
    await sender.start()
    task = asyncio.create_task(sender.run())
    try:
        yield sender
    finally:
        sender.stop(0)
        await task
