"""A sender's watch of the control plane on its loop: a UDP socket, the epoch on the disk, and ticks.

Imported only where the configuration has `[control]`. Whatever fails here, the sender goes on with the last
version that was in force.
"""

import asyncio
import json
import logging
import random
import secrets
from collections.abc import Callable
from pathlib import Path
from typing import Any, cast

from message_sender.configuration.general import ControlPlane, SenderConfig
from message_sender.control.channel import BodyTooLargeError, Channel
from message_sender.control.messages import WatchMessage
from message_sender.control.schema import BUDGETS, ENDPOINTS, has_kind
from message_sender.control.watch import ControlNodeAddress, Watch, WatchStatus
from message_sender.files import replace_json
from message_sender.fleet.seal import KeyFileError, Seal, read_keys, reread_keys
from message_sender.journal.disk import Disk, SystemDisk
from message_sender.service.control_configuration import (
    ConfigurableBudgets,
    ConfigurableEndpoints,
    SenderConfiguration,
)

TICK_S = 0.1
REFUSED_DATAGRAMS_INTERVAL_S = 10.0  # between two records of datagrams that were refused
LINK_RETRY_S = 10.0  # after a link that could not be made
EPOCH_FILE = "control.epoch"
SESSION_BITS = 62

log = logging.getLogger(__name__)


def read_epoch(state: Path) -> int:
    """How often this name has started, as far as the disk knows."""
    try:
        return max(int(json.loads((state / EPOCH_FILE).read_text())), 0)
    except (OSError, ValueError, TypeError):
        return 0


def write_epoch(state: Path, epoch: int) -> None:
    """Raises OSError."""
    replace_json(state / EPOCH_FILE, epoch, sync=True)


class ControlLink(asyncio.DatagramProtocol):
    """The socket, and the watch behind it."""

    def __init__(self, name: str, config: ControlPlane, state: Path, applier: SenderConfiguration) -> None:
        """Raises KeyFileError where there is no key to seal with, OSError where the epoch cannot be kept."""
        self.config, self.state = config, state
        self.loop = asyncio.get_running_loop()
        self.seal = Seal(read_keys(config.key_file))
        epoch = read_epoch(state) + 1
        write_epoch(state, epoch)
        session, rng = secrets.randbits(SESSION_BITS) + 1, random.Random(secrets.randbits(64))
        addresses = {each.name: each.address for each in config.nodes}
        self.channel = Channel(name, epoch, session, self.seal, addresses)
        self.channel.on_behind = self.epoch_is_behind
        nodes = [ControlNodeAddress(each.name, each.address, each.region) for each in config.nodes]
        self.watch = Watch(
            name, nodes, config.region, applier.document, applier, rng, self.loop.time()
        )  # fmt: skip
        self.transport: asyncio.DatagramTransport | None = None
        self.task: asyncio.Task[None] | None = None
        self.stored_epoch = epoch
        self.epoch_task: asyncio.Task[None] | None = None  # of a later epoch, beside the loop
        self.logged_status = self.watch.status(self.loop.time())
        self.logged_refusals, self.refusals_logged_at = 0, -REFUSED_DATAGRAMS_INTERVAL_S

    async def start(self) -> None:
        """Raises OSError where the address cannot be bound."""
        await self.loop.create_datagram_endpoint(lambda: self, local_addr=self.config.listen)
        self.task = self.loop.create_task(self.run())

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        now = self.loop.time()
        for name, body in self.channel.receive(data, (str(addr[0]), addr[1]), now):
            if name in self.channel.addresses and isinstance(body, WatchMessage):
                self.watch.receive(name, body, now)
        self.flush(now)

    def error_received(self, exc: Exception) -> None:
        """Nobody is at an address: the watch finds out."""

    def flush(self, now: float) -> None:
        """Sends what the watch and the channel have to say."""
        for node, message in self.watch.take_messages():
            try:
                self.channel.send(node, message, now)
            except BodyTooLargeError as error:
                log.error("control: not said to %s: %s", node, error)
        for address, datagram in self.channel.take_datagrams():
            if self.transport and not self.transport.is_closing():
                self.transport.sendto(datagram, address)

    async def run(self) -> None:
        """Until it is cancelled."""
        while True:
            now = self.loop.time()
            self.watch.tick(now)
            self.flush(now)
            self.log_changes(now)
            await asyncio.sleep(TICK_S)

    def epoch_is_behind(self, epoch: int) -> None:
        """Control nodes know a later start of this name: an old disk, or a name that is used twice."""
        if self.epoch_task is None or self.epoch_task.done():
            log.error("control: this disk is old, or another sender has the name %s", self.channel.name)
            self.epoch_task = self.loop.create_task(self.store_epoch())

    async def store_epoch(self) -> None:
        """A sync may take seconds, and two senders of one name outbid each other for ever. What is not kept
        is heard of again at the next start."""
        try:
            while self.stored_epoch < (epoch := self.channel.epoch):
                await asyncio.to_thread(write_epoch, self.state, epoch)
                self.stored_epoch = epoch
        except OSError as error:
            log.error("control: the epoch %d is not kept: %s", epoch, error)

    def log_changes(self, now: float) -> None:
        """Logs what has changed since the last time."""
        status, before = self.watch.status(now), self.logged_status
        self.logged_status = status
        if status.version != before.version:
            log.info("control: version %d is in force, from %s", status.version, status.node)
        if status.refused_version and (status.refused_version, status.reason) != (
            before.refused_version,
            before.reason,
        ):
            log.error("control: version %d is refused: %s", status.refused_version, status.reason)
        if status.node != before.node:
            log.info("control: %s is watched in place of %s", status.node, before.node)
        self.log_refused_datagrams(now)

    def log_refused_datagrams(self, now: float) -> None:
        """At most once in ten seconds."""
        count = sum(self.channel.refused.values())
        if count == self.logged_refusals or now - self.refusals_logged_at < REFUSED_DATAGRAMS_INTERVAL_S:
            return
        self.logged_refusals, self.refusals_logged_at = count, now
        reasons = "; ".join(f"{n} {reason}" for reason, n in self.channel.refused.items())
        log.warning("control: datagrams refused: %s", reasons)

    def reread_keys(self) -> None:
        """SIGHUP."""
        reread_keys(self.seal, self.config.key_file, "control")

    def close(self) -> None:
        """Says nothing more."""
        for task in (self.task, self.epoch_task):
            if task:
                task.cancel()
        if self.transport:
            self.transport.close()


class SenderControl:
    """The control plane as a sender has it: what is in force, and the link, where it could be made."""

    def __init__(self, config: SenderConfig, state: Path, disk: Disk | None = None) -> None:
        assert config.control
        self.name, self.state, self.plane = config.name, state, config.control
        self.configuration = SenderConfiguration(config, state, disk or SystemDisk())
        self.link: ControlLink | None = None
        self.fault = ""  # why there is no link
        self.retry_task: asyncio.Task[None] | None = None

    async def start(
        self,
        directory: ConfigurableEndpoints,
        budgets: ConfigurableBudgets | None,
        task_ended: Callable[[asyncio.Task[None]], None],
    ) -> None:
        """Versions are put in force from here on. `task_ended`: told of a defect. Never raises for a link
        that cannot be made: the log and the status say so, and it is tried again."""
        self.configuration.bind(directory, budgets)
        await self.make_link(task_ended)
        if self.link is None:
            self.retry_task = asyncio.create_task(self.retry(task_ended))
            self.retry_task.add_done_callback(task_ended)

    async def make_link(self, task_ended: Callable[[asyncio.Task[None]], None]) -> None:
        """Makes the link, or notes why it cannot be made."""
        try:
            link = ControlLink(self.name, self.plane, self.state, self.configuration)
            await link.start()
        except (KeyFileError, OSError) as error:
            if self.fault != str(error):
                version = self.configuration.document.version
                log.error("control: no link, version %d stays: %s", version, error)
            self.fault = str(error)
            return
        assert link.task
        link.task.add_done_callback(task_ended)
        self.link, self.fault = link, ""

    async def retry(self, task_ended: Callable[[asyncio.Task[None]], None]) -> None:
        """Until the key is in order, the disk has room, or the address is free."""
        while self.link is None:
            await asyncio.sleep(LINK_RETRY_S)
            await self.make_link(task_ended)
        log.info("control: the link is made")

    def reload(self, config: SenderConfig) -> SenderConfig:
        """SIGHUP: the sender's own file as it is now; what is to be in force."""
        if self.link:
            self.link.reread_keys()
        if config.control != self.plane:
            log.warning("control: [control] has changed; that waits for a start")
        return self.configuration.reload(config)

    def status(self) -> dict[str, Any]:
        """For the control socket; ages in seconds."""
        configuration, link = self.configuration, self.link
        resources = configuration.document.resources
        told: dict[str, Any] = {
            "version": configuration.document.version,
            "resources": len(resources),
            "endpoints_from": source_of(resources, ENDPOINTS),
            "budgets_from": source_of(resources, BUDGETS),
            "waits_for_start": configuration.next_start_version,
            "fault": self.fault,
        }
        if link is None:
            return told
        status: WatchStatus = link.watch.status(link.loop.time())
        return told | {
            "age_s": round(status.age, 1),
            "refused_version": status.refused_version,
            "reason": status.reason,
            "node": status.node,
            "is_behind": link.channel.is_behind,
            "sent_bytes": link.channel.sent_bytes,
            "received_bytes": link.channel.received_bytes,
            "refused_datagrams": {str(reason): n for reason, n in link.channel.refused.items()},
        }

    def close(self) -> None:
        """The link ends; what is in force stays on the disk."""
        if self.retry_task:
            self.retry_task.cancel()
        if self.link:
            self.link.close()


def source_of(resources: dict[str, bytes], kind: str) -> str:
    """Where a sender has its endpoints, or budgets, from."""
    return "control plane" if any(has_kind(name, kind) for name in resources) else "own file"
