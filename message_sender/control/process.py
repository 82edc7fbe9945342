"""A control node as a process: state folder, log, UDP socket, signals and control socket.

`python -m message_sender.control.process FILE` serves with plain log lines; `message-sender control serve`
does the same with the log format of the other `message-sender` commands.
"""

import asyncio
import logging
import random
import secrets
import signal
import sys
from datetime import UTC, datetime
from pathlib import Path

from message_sender.configuration.tables import ConfigError, ConfigFault
from message_sender.control.channel import Channel
from message_sender.control.configuration import NodeConfiguration, load
from message_sender.control.driver import NodeDriver
from message_sender.control.folder import FolderError, Identity, StateFolder
from message_sender.control.folder_writer import FolderWriter
from message_sender.control.log_file import LOG_FILE, LogFile
from message_sender.control.node import ControlNode
from message_sender.control.operators import OperatorCommands
from message_sender.control.raft_types import Role
from message_sender.control.replica import Replica
from message_sender.control.schema import Validator
from message_sender.control.store import ConfigurationStore
from message_sender.control_socket import ControlSocket
from message_sender.fleet.seal import KeyFileError, Seal, read_keys, reload_keys
from message_sender.fleet.udp_socket import UdpSocket
from message_sender.journal.disk import Disk, SystemDisk
from message_sender.journal.lock import Lock, LockTakenError

SESSION_BITS = 62
SEED_BITS = 64
LEADERSHIP_TRANSFER_LIMIT_S = 2.0
LEADERSHIP_TRANSFER_POLL_S = 0.02

log = logging.getLogger(__name__)


def initialise(path: Path) -> None:
    """Creates the state folder of the node configured at `path`.

    Raises:
        ConfigError: If the configuration has faults.
        OSError: If the folder is not empty or cannot be written.
    """
    config = load(path)
    created = datetime.now(UTC).isoformat(timespec="seconds")
    disk = SystemDisk()
    try:
        StateFolder(config.state).initialise(Identity(config.cluster, config.name, created), disk)
    finally:
        disk.finish()


def run(path: Path) -> int:
    """Runs the node with the TOML configuration at `path` until SIGTERM or SIGINT, and returns the exit code.

    Raises:
        ConfigError: If the configuration has faults.
        OSError: If the state folder or an address cannot be used.
    """
    return asyncio.run(serve(load(path)))


async def serve(config: NodeConfiguration, disk: Disk | None = None) -> int:
    """Runs the node until SIGTERM or SIGINT, and returns the exit code, which is 1 after a defect.

    Raises:
        ConfigError: If the key file cannot be used.
        OSError: If the state folder or an address cannot be used.
    """
    config.state.mkdir(parents=True, exist_ok=True)
    try:
        lock = Lock(config.state)
    except LockTakenError:
        raise FolderError(f"another process uses {config.state}") from None
    disk = disk or SystemDisk()
    try:
        seal = read_seal(config)
        return await NodeProcess(config, seal, disk).run()
    finally:
        disk.finish()
        lock.release()


def read_seal(config: NodeConfiguration) -> Seal:
    """Returns a seal with the keys from the configured key file.

    Raises:
        ConfigError: If the key file cannot be used.
    """
    try:
        return Seal(read_keys(config.key_file))
    except KeyFileError as error:
        raise ConfigError([ConfigFault("key_file", str(error))]) from None


def load_log(
    folder: StateFolder, log_file: LogFile, config: NodeConfiguration, rng: random.Random, now: float
) -> tuple[Replica, str]:
    """Restores the replica from the disk.

    If the log is damaged, the learner mark is made durable before the log is replaced.

    Returns:
        The replica, and the reason why it is a learner; an empty text if it is a voter.

    Raises:
        OSError: If the folder belongs to another node, or cannot be read or written.
    """
    identity = folder.identity()
    if identity and (identity.cluster, identity.name) != (config.cluster, config.name):
        raise FolderError(f"{folder.path}: belongs to {identity.name} of the cluster {identity.cluster}")
    reason = folder.learner_reason()
    if identity is None:
        reason = reason or "its folder was not initialised (message-sender control init)"
    loaded = log_file.load()
    if loaded.damage:
        damage = f"{LOG_FILE}: {loaded.damage.reason} at byte {loaded.damage.offset}"
        log.error(
            "control: log damaged, the rest of it is discarded: file=%s offset=%d reason=%s",
            LOG_FILE,
            loaded.damage.offset,
            loaded.damage.reason,
        )
        reason = reason or f"its log is damaged: {damage}"
        if identity is not None:
            folder.mark_learner(reason)
        log_file.replace_damaged(loaded)
    elif loaded.torn_bytes:
        log.info("control: torn write at the end of the log dropped: bytes=%d", loaded.torn_bytes)
    replica = Replica(
        config.name, config.votes, loaded.hard_state, loaded.entries, rng, now, is_voter=not reason
    )
    return replica, reason


def build_node(
    config: NodeConfiguration,
    seal: Seal,
    folder: StateFolder,
    log_file: LogFile,
    rng: random.Random,
    now: float,
) -> ControlNode:
    """Builds a node from its state folder, and first raises its epoch durably.

    Raises:
        OSError: If the folder belongs to another node, or cannot be read or written.
    """
    replica, reason = load_log(folder, log_file, config, rng, now)
    if reason:
        log.warning("control: started as a learner, which counts for no majority: reason=%s", reason)
    epoch = folder.read_epoch() + 1
    folder.write_epoch(epoch)
    session = secrets.randbits(SESSION_BITS) + 1
    channel = Channel(config.name, epoch, session, seal, config.addresses(), folder.read_starts())
    return ControlNode(channel, replica, ConfigurationStore(), Validator(), rng, now, reason)


class NodeProcess:
    """One control node from its start to its shutdown."""

    def __init__(self, config: NodeConfiguration, seal: Seal, disk: Disk) -> None:
        """Builds the node on the running event loop.

        Raises:
            OSError: If the state folder cannot be used.
        """
        self.config = config
        self.seal = seal
        self.loop = asyncio.get_running_loop()
        self.stopped: asyncio.Future[int] = self.loop.create_future()
        self.shutdown_task: asyncio.Task[None] | None = None
        folder = StateFolder(config.state)
        self.log_file = LogFile(config.state, disk)
        rng = random.Random(secrets.randbits(SEED_BITS))
        node = build_node(config, seal, folder, self.log_file, rng, self.loop.time())
        self.socket = UdpSocket()
        folder_writer = FolderWriter(folder, node)
        self.driver = NodeDriver(node, self.log_file, folder_writer, self.socket.send, self.fail)
        self.control = ControlSocket(config.state, OperatorCommands(self.driver).commands())

    async def run(self) -> int:
        """Runs the node until the process is stopped, and returns the exit code.

        Raises:
            OSError: If an address cannot be bound.
        """
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.terminate)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload_keys)
        try:
            await self.socket.open(self.config.listen, self.driver.receive)
            await self.control.start()
            self.driver.start()
            log.info("control: %s: ready on %s:%d", self.config.name, *self.config.listen)
            return await self.stopped
        finally:
            self.driver.close()
            self.control.close()
            self.socket.close()
            self.log_file.disk.finish()
            self.log_file.close()

    def terminate(self) -> None:
        """Handles SIGTERM and SIGINT: on the first one, a leader transfers its leadership before it stops."""
        if self.shutdown_task is None and self.driver.node.replica.role is Role.LEADER:
            self.shutdown_task = self.loop.create_task(self.transfer_leadership())
        else:
            self.stop(0)

    async def transfer_leadership(self) -> None:
        """Stops once another node leads, so that changes need not wait for an election timeout.

        Stops after LEADERSHIP_TRANSFER_LIMIT_S at the latest.
        """
        replica = self.driver.node.replica
        deadline = self.loop.time() + LEADERSHIP_TRANSFER_LIMIT_S
        self.driver.run_action(self.driver.node.begin_shutdown)
        while replica.leader in ("", self.config.name) and self.loop.time() < deadline:
            await asyncio.sleep(LEADERSHIP_TRANSFER_POLL_S)
        log.info(
            "control: leadership transferred: node=%s leader=%s", self.config.name, replica.leader or "none"
        )
        self.stop(0)

    def stop(self, code: int) -> None:
        """Makes `run` return `code`; later calls have no effect."""
        if not self.stopped.done():
            log.info("control: stopped: node=%s code=%d", self.config.name, code)
            self.stopped.set_result(code)

    def fail(self, error: Exception) -> None:
        """Stops the process after a defect, because a node must not continue after an incomplete step."""
        log.critical("control: unexpected error: node=%s", self.config.name, exc_info=error)
        self.stop(1)

    def reload_keys(self) -> None:
        """Handles SIGHUP: reads the key file again."""
        reload_keys(self.seal, self.config.key_file, "control")


if __name__ == "__main__":
    logging.basicConfig(format="%(asctime)s %(levelname)s %(message)s", level=logging.INFO)
    sys.exit(run(Path(sys.argv[1])))
