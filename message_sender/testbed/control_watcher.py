"""A watcher for control clusters: runs a sender's watch of the control nodes in this process."""

import asyncio
import random
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from message_sender.control import process as control_process
from message_sender.control.channel import Channel
from message_sender.control.configuration import load
from message_sender.control.document import Document
from message_sender.control.messages import Delta
from message_sender.control.node_choice import ControlNodeAddress
from message_sender.control.watch import Watch
from message_sender.control.watch_link import WatchLink
from message_sender.testbed.relay import HOST

WATCH_TICK_S = 0.05


class RecordingApplier:
    """Accepts and records every version, and calls `on_version` right before the version is in force."""

    def __init__(self, on_version: Callable[[], None]) -> None:
        """Create an applier that has recorded no version."""
        self.versions: list[int] = []
        self.on_version = on_version

    def apply(self, document: Document, delta: Delta) -> None:
        """Accept a version."""
        self.versions.append(delta.to_version)
        self.on_version()


class LabWatcher:
    """A sender's watch with its own socket."""

    def __init__(self, name: str, region: str, nodes: Sequence[ControlNodeAddress], config: Path) -> None:
        """Create a watcher, which reads the key from `config`, the configuration file of any control node."""
        rng = random.Random(name)
        self.loop = asyncio.get_running_loop()
        self.name, self.region = name, region
        self.applier = RecordingApplier(self.version_changed)
        addresses = {each.name: each.address for each in nodes}
        seal = control_process.read_seal(load(config))
        channel = Channel(name, 1, rng.getrandbits(60) + 1, seal, addresses)
        self.watch = Watch(name, nodes, region, Document(), self.applier, rng, self.loop.time())
        self.changed = asyncio.Condition()
        self.link = WatchLink(channel, self.watch, self.loop.time)
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self, port: int) -> None:
        """Bind a port and start to watch."""
        await self.link.open((HOST, port))
        self.spawn(self.run())

    def spawn(self, work: Any) -> None:  # noqa: ANN401
        """Run a coroutine as a task until the watcher is closed."""
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def version_changed(self) -> None:
        """Schedule the wake-up of waiting tasks, which runs once the version is in force."""
        self.spawn(self.notify_changed())

    async def notify_changed(self) -> None:
        """Wake the tasks that wait for a version."""
        async with self.changed:
            self.changed.notify_all()

    async def wait_for_version(self, version: int) -> None:
        """Wait until `version` or a later version is in force at this watcher."""
        async with self.changed:
            await self.changed.wait_for(lambda: self.watch.document.version >= version)

    async def run(self) -> None:
        """Drive the periodic work of the watch until cancelled."""
        while True:
            self.link.tick(self.loop.time())
            await asyncio.sleep(WATCH_TICK_S)

    def close(self) -> None:
        """End the watch."""
        for task in self.tasks:
            task.cancel()
        self.link.close()
