"""The link's edge: one UDP socket, the epoch on the disk, the node's ticks on the loop."""

import asyncio
import logging
import random
import secrets
from collections.abc import Callable
from pathlib import Path
from typing import cast

from message_sender.files import replace_json
from message_sender.fleet.node import FleetNode, LocalMember
from message_sender.fleet.seal import Seal, read_keys, reread_keys
from message_sender.fleet.wire import Address

TICK_INTERVAL_S = 0.05  # s
EPOCH_FILE = "fleet.epoch"
REFUSED_DATAGRAMS_INTERVAL_S = 10.0  # s between two records of what was refused

log = logging.getLogger(__name__)


class FleetLink(asyncio.DatagramProtocol):
    """Several times a second `step` is called with the node's time."""

    def __init__(self, me: LocalMember, listen: Address, key_file: Path, state: Path) -> None:
        """Raises KeyFileError where there is no key to seal with, OSError where the epoch cannot be kept."""
        self.listen, self.key_file, self.state = listen, key_file, state
        self.loop = asyncio.get_running_loop()
        self.seal = Seal(read_keys(key_file))
        epoch = self.read_epoch() + 1
        self.write_epoch(epoch)
        session, rng = secrets.randbits(62) + 1, random.Random(secrets.randbits(64))
        self.node = FleetNode(me, self.seal, epoch, session, rng, self.loop.time())
        self.node.epoch_raised = self.write_epoch
        self.step: Callable[[float], None] = lambda now: None
        self.transport: asyncio.DatagramTransport | None = None
        self.task: asyncio.Task[None] | None = None
        self.told_at, self.told, self.namesake = -REFUSED_DATAGRAMS_INTERVAL_S, 0, ""

    def read_epoch(self) -> int:
        try:
            return max(int((self.state / EPOCH_FILE).read_text()), 0)
        except (OSError, ValueError):
            return 0

    def write_epoch(self, epoch: int) -> None:
        replace_json(self.state / EPOCH_FILE, epoch, sync=True)

    async def start(self) -> None:
        """Raises OSError where the address cannot be bound."""
        await self.loop.create_datagram_endpoint(lambda: self, local_addr=self.listen)
        self.task = self.loop.create_task(self.run())

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: object) -> None:
        self.node.received(data, self.loop.time())
        self.flush()

    def error_received(self, exc: Exception) -> None:
        """Nobody is at an address: membership finds out."""

    def flush(self) -> None:
        out, self.node.outbox = self.node.outbox, []
        for address, data in out:
            if self.transport and not self.transport.is_closing():
                self.transport.sendto(data, address)

    async def run(self) -> None:
        while True:
            now = self.loop.time()
            self.node.tick(now)
            self.step(now)
            self.flush()
            self.record(now)
            await asyncio.sleep(TICK_INTERVAL_S)

    def record(self, now: float) -> None:
        for name, state, by in self.node.members.changed:
            log.info("fleet: %s is %s, says %s", name, state.name.lower(), by)
        self.node.members.changed.clear()
        if self.node.namesake != self.namesake:
            self.namesake = self.node.namesake
            log.error("fleet: another member at %s uses the name %s", self.namesake, self.node.me.name)
        refused = self.node.counted.refused
        if (count := sum(refused.values())) > self.told and now - self.told_at >= REFUSED_DATAGRAMS_INTERVAL_S:
            self.told_at, self.told = now, count
            log.warning("fleet: datagrams refused: %s", "; ".join(f"{n} {why}" for why, n in refused.items()))

    def reread_keys(self) -> None:
        """SIGHUP."""
        reread_keys(self.seal, self.key_file, "fleet")

    def close(self) -> None:
        if self.task:
            self.task.cancel()
        if self.transport:
            self.node.leave()
            self.flush()
            self.transport.close()
