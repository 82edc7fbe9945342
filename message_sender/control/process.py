"""A control node as a process: state folder, log, socket, signals, control socket.

`python -m message_sender.control.process FILE` serves with records in plain form; `message-sender control
serve` is the same with records as the other commands have them.
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
from message_sender.control.folder import FolderError, Identity, StateFolder
from message_sender.control.log_file import LOG_FILE, LogFile
from message_sender.control.node import ControlNode
from message_sender.control.operators import OperatorCommands
from message_sender.control.raft import Role
from message_sender.control.replica import Replica
from message_sender.control.schema import Validator
from message_sender.control.store import ConfigurationStore
from message_sender.control.udp import FolderWriter, NodeDriver, UdpSocket
from message_sender.control_socket import ControlSocket
from message_sender.fleet.seal import KeyFileError, Seal, read_keys, reread_keys
from message_sender.journal.disk import Disk, SystemDisk
from message_sender.journal.lock import Lock, LockTakenError

SESSION_BITS = 62
SEED_BITS = 64
LEADERSHIP_TRANSFER_LIMIT_S = 2.0  # that a leader waits for another one as it ends
LEADERSHIP_TRANSFER_POLL_S = 0.02

log = logging.getLogger(__name__)


def initialise(path: Path) -> None:
    """Makes the state folder of the node configured at `path`. Raises ConfigError, and OSError where the
    folder holds anything."""
    config = load(path)
    created = datetime.now(UTC).isoformat(timespec="seconds")
    disk = SystemDisk()
    try:
        StateFolder(config.state).initialise(Identity(config.cluster, config.name, created), disk)
    finally:
        disk.finish()


def run(path: Path) -> int:
    """Serves by the TOML configuration at `path` until SIGTERM; the exit code.

    Raises ConfigError and OSError.
    """
    return asyncio.run(serve(load(path)))


async def serve(config: NodeConfiguration, disk: Disk | None = None) -> int:
    """Serves until SIGTERM or SIGINT; 1 if a defect ended it. Raises ConfigError and OSError."""
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
    """Raises ConfigError."""
    try:
        return Seal(read_keys(config.key_file))
    except KeyFileError as error:
        raise ConfigError([ConfigFault("key_file", str(error))]) from None


def load_log(
    folder: StateFolder, log_file: LogFile, config: NodeConfiguration, rng: random.Random, now: float
) -> tuple[Replica, str]:
    """The replica as the disk has it, and why it is a learner. A learner is marked as one before a damaged
    log is replaced. Raises OSError."""
    identity = folder.identity()
    if identity and (identity.cluster, identity.name) != (config.cluster, config.name):
        raise FolderError(f"{folder.path}: belongs to {identity.name} of the cluster {identity.cluster}")
    reason = folder.learner_reason()
    if identity is None:
        reason = reason or "its folder was not initialised (message-sender control init)"
    loaded = log_file.load()
    if loaded.damage:
        where = f"{LOG_FILE}: {loaded.damage.reason} at byte {loaded.damage.offset}"
        log.error("control: %s; nothing from there on is believed", where)
        reason = reason or f"a damaged log: {where}"
        if identity is not None:
            folder.mark_learner(reason)
        log_file.replace_damaged(loaded)
    elif loaded.torn_bytes:
        log.info("control: %d bytes of a write that was never whole are dropped", loaded.torn_bytes)
    replica = Replica(
        config.name, config.votes, loaded.hard_state, loaded.entries, rng, now, is_voter=not reason
    )  # fmt: skip
    return replica, reason


def build_node(
    config: NodeConfiguration,
    seal: Seal,
    folder: StateFolder,
    log_file: LogFile,
    rng: random.Random,
    now: float,
) -> ControlNode:
    """A node as it starts: its epoch is raised, durably. Raises OSError."""
    replica, reason = load_log(folder, log_file, config, rng, now)
    if reason:
        log.warning("control: starts as a learner, which counts for no majority: %s", reason)
    epoch = folder.read_epoch() + 1
    folder.write_epoch(epoch)
    session = secrets.randbits(SESSION_BITS) + 1
    channel = Channel(config.name, epoch, session, seal, config.addresses(), folder.read_starts())
    return ControlNode(channel, replica, ConfigurationStore(), Validator(), rng, now, reason)


class NodeProcess:
    """The node's process from its start to its end."""

    def __init__(self, config: NodeConfiguration, seal: Seal, disk: Disk) -> None:
        """Raises OSError."""
        self.config, self.seal = config, seal
        self.loop = asyncio.get_running_loop()
        self.stopped: asyncio.Future[int] = self.loop.create_future()
        folder = StateFolder(config.state)
        self.log_file = LogFile(config.state, disk)
        rng = random.Random(secrets.randbits(SEED_BITS))
        node = build_node(config, seal, folder, self.log_file, rng, self.loop.time())
        self.socket = UdpSocket()
        self.driver = NodeDriver(
            node, self.log_file, FolderWriter(folder, node), self.socket.send, self.fail
        )  # fmt: skip
        self.socket.on_datagram = self.driver.receive
        self.control = ControlSocket(config.state, OperatorCommands(self.driver).commands())
        self.shutdown_task: asyncio.Task[None] | None = None

    async def run(self) -> int:
        """Raises OSError where an address cannot be bound."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.terminate)
        self.loop.add_signal_handler(signal.SIGHUP, self.reread_keys)
        try:
            await self.socket.open(self.config.listen)
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
        """SIGTERM or SIGINT; the second one waits for nothing."""
        if self.shutdown_task is None and self.driver.node.replica.role is Role.LEADER:
            self.shutdown_task = self.loop.create_task(self.transfer_leadership())
        else:
            self.stop(0)

    async def transfer_leadership(self) -> None:
        """Ends once another node leads, so that changes wait for no time-out, or after HAND_OVER_LIMIT_S."""
        replica, ends_at = self.driver.node.replica, self.loop.time() + LEADERSHIP_TRANSFER_LIMIT_S
        self.driver.run_action(self.driver.node.begin_shutdown)
        while replica.leader in ("", self.config.name) and self.loop.time() < ends_at:
            await asyncio.sleep(LEADERSHIP_TRANSFER_POLL_S)
        log.info("control: %s: handed over to %s", self.config.name, replica.leader or "nobody")
        self.stop(0)

    def stop(self, code: int) -> None:
        if not self.stopped.done():
            log.info("control: %s: ends", self.config.name)
            self.stopped.set_result(code)

    def fail(self, error: Exception) -> None:
        """A defect: better no node than one that goes on with half a step done."""
        log.critical("control: %s: ended by a defect", self.config.name, exc_info=error)
        self.stop(1)

    def reread_keys(self) -> None:
        """SIGHUP."""
        reread_keys(self.seal, self.config.key_file, "control")


if __name__ == "__main__":
    logging.basicConfig(format="%(asctime)s %(levelname)s %(message)s", level=logging.INFO)
    sys.exit(run(Path(sys.argv[1])))
