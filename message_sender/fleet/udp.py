"""Runs the link between senders on the event loop: UDP socket, epoch file and periodic ticks."""

import asyncio
import logging
import random
import secrets
from collections.abc import Callable
from pathlib import Path

from message_sender.files import replace_json
from message_sender.fleet.default_handlers import ignore_tick
from message_sender.fleet.node import FleetNode, LocalMember
from message_sender.fleet.refused_datagrams import RefusedDatagramsLog
from message_sender.fleet.seal import Seal, read_keys, reload_keys
from message_sender.fleet.udp_socket import UdpSocket
from message_sender.fleet.wire import Address

TICK_INTERVAL_S = 0.05
EPOCH_FILE = "fleet.epoch"
SESSION_BITS = 62
SEED_BITS = 64

log = logging.getLogger(__name__)


class FleetLink:
    """The link of one sender; `on_tick` is called with the event loop's time on each tick."""

    def __init__(self, me: LocalMember, listen: Address, key_file: Path, state: Path) -> None:
        """Raises the epoch durably and creates the link on the running event loop.

        Args:
            me: The local member.
            listen: The address to bind.
            key_file: The file with the keys that seal the datagrams.
            state: The state folder, which contains the epoch file.

        Raises:
            KeyFileError: If the key file cannot be used.
            OSError: If the epoch cannot be stored.
        """
        self.listen = listen
        self.key_file = key_file
        self.state = state
        self.loop = asyncio.get_running_loop()
        self.seal = Seal(read_keys(key_file))
        epoch = self.read_epoch() + 1
        self.write_epoch(epoch)
        session = secrets.randbits(SESSION_BITS) + 1
        rng = random.Random(secrets.randbits(SEED_BITS))
        self.node = FleetNode(me, self.seal, epoch, session, rng, self.loop.time())
        self.node.on_epoch_raised = self.write_epoch
        self.on_tick: Callable[[float], None] = ignore_tick
        self.socket = UdpSocket()
        self.task: asyncio.Task[None] | None = None
        self._refused_datagrams = RefusedDatagramsLog("fleet", log)
        self._logged_duplicate = ""

    def read_epoch(self) -> int:
        """Returns the stored epoch of the latest start; 0 if there is none or it cannot be read."""
        try:
            return max(int((self.state / EPOCH_FILE).read_text()), 0)
        except (OSError, ValueError):
            return 0

    def write_epoch(self, epoch: int) -> None:
        """Stores the epoch durably; raises OSError on failure."""
        replace_json(self.state / EPOCH_FILE, epoch, sync=True)

    async def start(self) -> None:
        """Binds the socket and starts the periodic ticks.

        Raises:
            OSError: If the address cannot be bound.
        """
        await self.socket.open(self.listen, self.receive)
        self.task = self.loop.create_task(self.run())

    def receive(self, datagram: bytes, source: Address) -> None:
        """Handles a datagram from the network and sends the resulting datagrams."""
        self.node.receive(datagram, self.loop.time())
        self.flush()

    def flush(self) -> None:
        """Sends the datagrams in the node's outbox."""
        datagrams = self.node.outbox
        self.node.outbox = []
        self.socket.send_all(datagrams)

    async def run(self) -> None:
        """Ticks every `TICK_INTERVAL_S` until cancelled."""
        while True:
            now = self.loop.time()
            self.node.tick(now)
            self.on_tick(now)
            self.flush()
            self.log_changes(now)
            await asyncio.sleep(TICK_INTERVAL_S)

    def log_changes(self, now: float) -> None:
        """Logs member state changes, a duplicate name and rejected datagrams since the last call."""
        for change in self.node.members.changes:
            log.info(
                "fleet: member state changed: member=%s state=%s reporter=%s",
                change.name,
                change.state.name.lower(),
                change.reporter,
            )
        self.node.members.changes.clear()
        duplicate = self.node.duplicate_name_address
        if duplicate != self._logged_duplicate:
            self._logged_duplicate = duplicate
            log.error(
                "fleet: another member uses this name: name=%s address=%s", self.node.me.name, duplicate
            )
        self._refused_datagrams.update(self.node.counters.refused, now)

    def reload_keys(self) -> None:
        """Reloads the keys on SIGHUP; keeps the current ones if the key file cannot be used."""
        reload_keys(self.seal, self.key_file, "fleet")

    def close(self) -> None:
        """Stops the ticks, announces the shutdown and closes the socket."""
        if self.task:
            self.task.cancel()
        if self.socket.is_open:
            self.node.leave()
            self.flush()
            self.socket.close()
