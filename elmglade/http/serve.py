"""The sender without the platform: endpoints listed in its configuration, final answers to a file or a
pipe."""

import asyncio
import json
import logging
import signal
import time
from collections.abc import Callable
from pathlib import Path
from typing import TextIO

from elmglade.config import ConfigError, General, load
from elmglade.core import inventory
from elmglade.core.engine import Config as EngineConfig
from elmglade.core.engine import Engine
from elmglade.core.lock import Lock
from elmglade.core.ports import End
from elmglade.core.witness import Witness
from elmglade.directory.static import Dial, StaticDirectory
from elmglade.http.daemon import HttpSender

log = logging.getLogger(__name__)


class LineTeller:
    """Writes each final answer as one JSON object a line: `id`, `state` (delivered, refused, failed,
    withdrawn), `at` (Unix seconds) and, with a refusal that says so, `retry_after_ms`."""

    def __init__(self, out: TextIO, heard: Callable[[str, End], None] = lambda name, end: None) -> None:
        self.out, self.heard = out, heard

    def tell(self, message: str, end: End) -> bool:
        told: dict[str, object] = {"id": message, "state": end.state.value, "at": round(time.time(), 3)}
        if end.retry_after:
            told["retry_after_ms"] = -(-end.retry_after // 1000)
        print(json.dumps(told), file=self.out, flush=True)
        self.heard(message, end)
        return False

    async def run(self) -> None:
        await asyncio.get_running_loop().create_future()


class PlainSender(HttpSender):
    """An HTTP sender over a static directory."""

    def __init__(
        self, config: General, state: Path, teller: LineTeller, witness: Witness | None = None
    ) -> None:
        """Raises LockTakenError where another sender uses the state folder, OSError where it is no use."""
        self.lock = Lock(state)
        self.directory = StaticDirectory(config.places)
        engine = Engine(
            EngineConfig(
                config.name, state, config.seed, config.disk_bytes, config.settings,
                self.directory.endpoints()
            )
        )
        self.directory.told = engine.list_told
        super().__init__(engine, config.listen, config.sockets)
        self.plug(self.directory, teller)
        self.server.witness = self.courier.witness = witness

    def dials(self) -> dict[str, Dial]:
        return self.directory.dials()

    async def run(self) -> int:
        try:
            return await super().run()
        finally:
            self.lock.release()


def reread(sender: PlainSender, path: Path) -> None:
    """SIGHUP: the list of endpoints is read anew, whole or not at all; the rest waits for the next start."""
    try:
        sender.directory.replace(load(path).places)
        log.info("%d endpoints from now on", len(sender.directory.places))
    except (ConfigError, OSError) as error:
        log.error("the new configuration is not used: %s", error)


def tell_destinations(sender: PlainSender) -> None:
    """SIGUSR1: what is kept for each destination, as a file in the state folder."""
    engine = sender.engine
    try:
        path = inventory.write(engine.dispatcher, engine.now(), engine.config.state)
        log.info("what is kept for each destination is in %s", path)
    except OSError as error:
        log.error("what is kept for each destination is not told: %s", error)


async def serve(
    path: Path, config: General, state: Path, out: TextIO, witness: Witness | None = None
) -> int:
    sender = PlainSender(config, state, LineTeller(out), witness)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, reread, sender, path)
    loop.add_signal_handler(signal.SIGUSR1, tell_destinations, sender)
    await sender.start()
    return await sender.run()
