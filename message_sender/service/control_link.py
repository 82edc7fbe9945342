"""A sender's link to the control plane: a UDP socket, the epoch on disk, and the periodic task of the watch.

The module is imported only where the configuration has `[control]`. Whatever fails here, the sender continues
with the last version that was in force.
"""

import asyncio
import json
import logging
import random
import secrets
from collections.abc import Callable
from pathlib import Path
from typing import Any

from message_sender.configuration.general import ControlPlane, SenderConfig
from message_sender.control.channel import Channel
from message_sender.control.node_choice import ControlNodeAddress
from message_sender.control.schema import BUDGETS, ENDPOINTS, has_kind
from message_sender.control.watch import Watch, WatchStatus
from message_sender.control.watch_link import WatchLink
from message_sender.files import replace_json
from message_sender.fleet.refused_datagrams import RefusedDatagramsLog
from message_sender.fleet.seal import KeyFileError, Seal, read_keys, reload_keys
from message_sender.journal.disk import Disk, SystemDisk
from message_sender.service.control_configuration import (
    ConfigurableBudgets,
    ConfigurableEndpoints,
    SenderConfiguration,
)

TICK_S = 0.1
LINK_RETRY_S = 10.0  # the delay after a failed attempt to open the link
EPOCH_FILE = "control.epoch"
SESSION_BITS = 62

log = logging.getLogger(__name__)


def read_epoch(state: Path) -> int:
    """Returns the stored epoch, the number of starts under this sender's name; 0 if it cannot be read."""
    try:
        return max(int(json.loads((state / EPOCH_FILE).read_text())), 0)
    except (OSError, ValueError, TypeError):
        return 0


def write_epoch(state: Path, epoch: int) -> None:
    """Makes the epoch durable.

    Raises:
        OSError: The file cannot be written.
    """
    replace_json(state / EPOCH_FILE, epoch, sync=True)


class ControlLink:
    """The socket to the control nodes and the watch that uses it.

    Attributes:
        channel: Seals and opens datagrams.
        watch: Decides which requests are sent to which control node.
        link: Sends and receives the watch's datagrams over the socket.
        task: The periodic task of the watch; None before `start`.
        epoch_task: Stores a later epoch in a thread; None if there was none.
        logged_status: The watch's status when changes were last logged.
    """

    def __init__(self, name: str, config: ControlPlane, state: Path, applier: SenderConfiguration) -> None:
        """Stores a new epoch; the socket is opened by `start`.

        Args:
            name: The sender's name.
            config: The control nodes and the key file.
            state: The state folder.
            applier: Applies the versions that the watch receives.

        Raises:
            KeyFileError: There is no key to seal datagrams with.
            OSError: The epoch cannot be stored.
        """
        self.config = config
        self.state = state
        self.loop = asyncio.get_running_loop()
        self.seal = Seal(read_keys(config.key_file))
        self.stored_epoch = read_epoch(state) + 1
        write_epoch(state, self.stored_epoch)
        self.channel = self._build_channel(name)
        self.watch = self._build_watch(name, applier)
        self.link = WatchLink(self.channel, self.watch, self.loop.time)
        self.task: asyncio.Task[None] | None = None
        self.epoch_task: asyncio.Task[None] | None = None
        self.logged_status = self.watch.status(self.loop.time())
        self.refused_datagrams = RefusedDatagramsLog("control", log)

    def _build_channel(self, name: str) -> Channel:
        session = secrets.randbits(SESSION_BITS) + 1
        addresses = {node.name: node.address for node in self.config.nodes}
        channel = Channel(name, self.stored_epoch, session, self.seal, addresses)
        channel.on_behind = self.epoch_is_behind
        return channel

    def _build_watch(self, name: str, applier: SenderConfiguration) -> Watch:
        nodes = [ControlNodeAddress(node.name, node.address, node.region) for node in self.config.nodes]
        rng = random.Random(secrets.randbits(64))
        return Watch(name, nodes, self.config.region, applier.document, applier, rng, self.loop.time())

    async def start(self) -> None:
        """Opens the socket and starts the periodic task.

        Raises:
            OSError: The address cannot be bound.
        """
        await self.link.open(self.config.listen)
        self.task = self.loop.create_task(self.run())

    async def run(self) -> None:
        """Runs the watch's periodic work until the task is cancelled."""
        while True:
            now = self.loop.time()
            self.link.tick(now)
            self.log_changes(now)
            await asyncio.sleep(TICK_S)

    def epoch_is_behind(self, epoch: int) -> None:
        """Handles the channel's report that control nodes have seen a later epoch of this name.

        Either the state folder is outdated, or two senders have the same name.
        """
        if self.epoch_task is None or self.epoch_task.done():
            log.error(
                "control: state folder outdated, or another sender uses this name: name=%s", self.channel.name
            )
            self.epoch_task = self.loop.create_task(self.store_epoch())

    async def store_epoch(self) -> None:
        """Stores the channel's epoch in a thread, because a sync may take seconds.

        Two senders with the same name raise the epoch without end. An epoch that could not be stored is
        learned again from the control nodes after the next start.
        """
        try:
            while self.stored_epoch < (epoch := self.channel.epoch):
                await asyncio.to_thread(write_epoch, self.state, epoch)
                self.stored_epoch = epoch
        except OSError as error:
            log.error("control: epoch not stored: epoch=%d reason=%s", epoch, error)

    def log_changes(self, now: float) -> None:
        """Logs the changes of the watch's status since the last call."""
        status, before = self.watch.status(now), self.logged_status
        self.logged_status = status
        if status.version != before.version:
            log.info("control: version applied: version=%d node=%s", status.version, status.node)
        refusal = (status.refused_version, status.reason)
        if status.refused_version and refusal != (before.refused_version, before.reason):
            log.error("control: version refused: version=%d reason=%s", *refusal)
        if status.node != before.node:
            log.info("control: watched node changed: node=%s before=%s", status.node, before.node)
        self.refused_datagrams.update(self.channel.refused, now)

    def reload_keys(self) -> None:
        """Rereads the key file, on SIGHUP."""
        reload_keys(self.seal, self.config.key_file, "control")

    def close(self) -> None:
        """Cancels the tasks and closes the socket."""
        for task in (self.task, self.epoch_task):
            if task:
                task.cancel()
        self.link.close()


class SenderControl:
    """One sender's side of the control plane: its effective configuration and the link.

    Attributes:
        configuration: The configuration in force.
        link: The open link; None while it cannot be opened.
        fault: The reason why the link is not open; empty while it is.
        retry_task: Opens the link later, where the first attempt failed; else None.
    """

    def __init__(self, config: SenderConfig, state: Path, disk: Disk | None = None) -> None:
        """Loads the version that was in force; the link is opened by `start`.

        Args:
            config: The configuration in the sender's own file, with `control` set.
            state: The state folder.
            disk: The disk that stores documents; None for the system's file system.
        """
        assert config.control
        self.name = config.name
        self.state = state
        self.plane = config.control
        self.configuration = SenderConfiguration(config, state, disk or SystemDisk())
        self.link: ControlLink | None = None
        self.fault = ""
        self.retry_task: asyncio.Task[None] | None = None

    async def start(
        self,
        directory: ConfigurableEndpoints,
        budgets: ConfigurableBudgets | None,
        task_ended: Callable[[asyncio.Task[None]], None],
    ) -> None:
        """Starts to receive and apply versions; retries in the background if the link cannot be opened.

        Args:
            directory: Receives the endpoints.
            budgets: Receives the budgets; None if there is no fleet.
            task_ended: Called with each task that ends; a defect in a task ends the sender.
        """
        self.configuration.bind(directory, budgets)
        await self.open_link(task_ended)
        if self.link is None:
            self.retry_task = asyncio.create_task(self.retry(task_ended))
            self.retry_task.add_done_callback(task_ended)

    async def open_link(self, task_ended: Callable[[asyncio.Task[None]], None]) -> None:
        """Opens the link; a failure is logged and stored in `fault`."""
        try:
            link = ControlLink(self.name, self.plane, self.state, self.configuration)
            await link.start()
        except (KeyFileError, OSError) as error:
            if self.fault != str(error):
                version = self.configuration.document.version
                log.error("control: link not opened: version_in_force=%d reason=%s", version, error)
            self.fault = str(error)
            return
        assert link.task
        link.task.add_done_callback(task_ended)
        self.link = link
        self.fault = ""

    async def retry(self, task_ended: Callable[[asyncio.Task[None]], None]) -> None:
        """Retries until the link is open: the key is valid, the disk has space and the address is free."""
        while self.link is None:
            await asyncio.sleep(LINK_RETRY_S)
            await self.open_link(task_ended)
        log.info("control: link opened")

    def reload(self, config: SenderConfig) -> SenderConfig:
        """Applies the sender's own file, reread on SIGHUP; returns the effective configuration."""
        if self.link:
            self.link.reload_keys()
        if config.control != self.plane:
            log.warning("control: change of table [control] waits for the next start")
        return self.configuration.reload(config)

    def status(self) -> dict[str, Any]:
        """Returns the state under the control socket's keys; ages are in seconds."""
        configuration = self.configuration
        resources = configuration.document.resources
        own_status = {
            "version": configuration.document.version,
            "resources": len(resources),
            "endpoints_from": source_of(resources, ENDPOINTS),
            "budgets_from": source_of(resources, BUDGETS),
            "waits_for_start": configuration.next_start_version,
            "fault": self.fault,
        }
        return own_status | (describe_link(self.link) if self.link else {})

    def close(self) -> None:
        """Closes the link; the version in force stays on disk."""
        if self.retry_task:
            self.retry_task.cancel()
        if self.link:
            self.link.close()


def describe_link(link: ControlLink) -> dict[str, Any]:
    """Returns the part of the status that exists only while the link is open."""
    status: WatchStatus = link.watch.status(link.loop.time())
    return {
        "age_s": round(status.age, 1),
        "refused_version": status.refused_version,
        "reason": status.reason,
        "node": status.node,
        "is_behind": link.channel.is_behind,
        "sent_bytes": link.channel.sent_bytes,
        "received_bytes": link.channel.received_bytes,
        "refused_datagrams": {str(reason): count for reason, count in link.channel.refused.items()},
    }


def source_of(resources: dict[str, bytes], kind: str) -> str:
    """Returns the source of a sender's endpoints or budgets; `kind` is the kind of resource."""
    return "control plane" if any(has_kind(name, kind) for name in resources) else "own file"
