"""A control node on an event loop: datagrams, ticks, the disk and the state folder.

The loop gives the time; datagrams leave through a function that the caller gives. So the same driver runs on
a socket and on virtual time.
"""

import asyncio
import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from functools import partial
from typing import Any, cast

from message_sender.control.channel import KnownStart
from message_sender.control.folder import StateFolder
from message_sender.control.log_file import LogBatch, LogFile
from message_sender.control.messages import Address
from message_sender.control.node import ControlNode

TICK_S = 0.02
FOLDER_RETRY_S = 1.0
REFUSED_DATAGRAMS_INTERVAL_S = 10.0  # between two records of datagrams that were refused

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class FolderChanges:
    """What a folder is to keep; empty, 0 and None stand for nothing new."""

    learner_reason: str = ""
    epoch: int = 0
    starts: Mapping[str, KnownStart] | None = None

    def write(self, folder: StateFolder) -> None:
        """In the order that folder.py asks for. Raises OSError."""
        if self.learner_reason:
            folder.mark_learner(self.learner_reason)
        if self.epoch:
            folder.write_epoch(self.epoch)
        if self.starts is not None:
            folder.write_starts(self.starts)


class FolderWriter:
    """What a node learns while it runs and its folder must keep. It is written beside the loop, since a sync
    may take seconds; what can't be written is tried again."""

    def __init__(self, folder: StateFolder, node: ControlNode) -> None:
        self.folder = folder
        self._channel = node.channel
        self._pending = FolderChanges()
        self._in_progress: FolderChanges | None = None
        self._retry_at = 0.0
        node.on_learner = self._note_learner
        node.channel.on_behind = self._note_epoch
        node.channel.on_start_known = self._note_start

    def _note_learner(self, reason: str) -> None:
        log.error("control: this node is a learner: %s", reason)
        self._pending = replace(self._pending, learner_reason=reason)

    def _note_epoch(self, epoch: int) -> None:
        self._pending = replace(self._pending, epoch=epoch)

    def _note_start(self, name: str, start: KnownStart) -> None:
        known = self._channel.known_starts
        kept = {each: known[each] for each in self._channel.addresses if each in known}
        self._pending = replace(self._pending, starts=kept)

    def take_job(self, now: float) -> Callable[[], None] | None:
        """What is to be written now, which raises OSError; None: nothing, or the last job is under way."""
        if self._in_progress is not None or now < self._retry_at or self._pending == FolderChanges():
            return None
        self._in_progress, self._pending = self._pending, FolderChanges()
        return partial(self._in_progress.write, self.folder)

    def job_succeeded(self) -> None:
        """The job is done."""
        self._in_progress = None

    def job_failed(self, error: OSError, now: float) -> None:
        """The job failed; what it had is tried again after FOLDER_RETRY_S, unless it is outdated."""
        log.error("control: the state folder cannot be written: %s", error)
        old, self._in_progress = self._in_progress, None
        assert old is not None
        self._retry_at = now + FOLDER_RETRY_S
        self._pending = FolderChanges(
            self._pending.learner_reason or old.learner_reason,
            self._pending.epoch or old.epoch,
            old.starts if self._pending.starts is None else self._pending.starts,
        )


class NodeDriver:
    """Runs a node on a loop."""

    def __init__(
        self,
        node: ControlNode,
        log_file: LogFile,
        notes: FolderWriter,
        send: Callable[[Address, bytes], None],
        failed: Callable[[Exception], None],
        clock: Callable[[], float] | None = None,
    ) -> None:
        """`failed` is called with a defect; the node does nothing more then. `clock`: monotonic seconds; the
        loop's, if not given."""
        self.loop = asyncio.get_running_loop()
        self.clock = clock or self.loop.time
        self.node, self.log_file, self.folder_writer = node, log_file, notes
        self.send, self.on_failure = send, failed
        self.is_closed = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._logged_state: tuple[object, ...] = ()
        self._logged_fault = ""
        self._recorded_refusals, self._refusals_recorded_at = 0, -REFUSED_DATAGRAMS_INTERVAL_S

    def start(self) -> None:
        self._spawn(self._run())

    def close(self) -> None:
        """Nothing is sent from here on."""
        self.is_closed = True
        for task in self._tasks:
            task.cancel()

    def receive(self, datagram: bytes, source: Address) -> None:
        """A datagram came from the network."""
        self._step(partial(self.node.receive, datagram, source, self.clock()))

    def run_action(self, action: Callable[[float], None]) -> None:
        """Has the node do something, and carries on with what follows from it."""
        self._step(partial(action, self.clock()))

    def _step(self, action: Callable[[], None]) -> None:
        if self.is_closed:
            return
        try:
            action()
            job = self.folder_writer.take_job(self.clock())
            if job is not None:
                self._spawn(self._write_folder(job))
            batch = self.node.take_batch()
            if batch is not None:
                self._spawn(self._store(batch))
            for address, datagram in self.node.channel.take_datagrams():
                self.send(address, datagram)
        except Exception as error:
            self._fail(error)

    def _fail(self, error: Exception) -> None:
        self.close()
        self.on_failure(error)

    async def _store(self, batch: LogBatch) -> None:
        try:
            await self.log_file.disk.run(partial(self.log_file.store, batch))
        except OSError as error:
            fault = str(error)
            self.run_action(lambda now: self.node.store_failed(fault, now))
        else:
            self.run_action(self.node.stored)

    async def _write_folder(self, job: Callable[[], None]) -> None:
        try:
            await self.log_file.disk.run(job)
        except OSError as error:
            self.folder_writer.job_failed(error, self.clock())
        else:
            self.folder_writer.job_succeeded()

    async def _run(self) -> None:
        while not self.is_closed:
            self.run_action(self.node.tick)
            self._record()
            await asyncio.sleep(TICK_S)

    def _spawn(self, work: Any) -> None:  # noqa: ANN401
        task = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        """A defect in a task ends the node too: what waits for that task would wait for ever."""
        self._tasks.discard(task)
        if not task.cancelled() and isinstance(error := task.exception(), Exception) and not self.is_closed:
            self._fail(error)

    # Records.

    def _record(self) -> None:
        """Logs what has changed since the last time."""
        replica, version = self.node.replica, self.node.store.document.version
        present = replica.role, replica.leader, replica.term, version
        if present != self._logged_state:
            self._logged_state = present
            log.info(
                "control: %s in term %d, leader %s, version %d",
                replica.role.value,
                replica.term,
                replica.leader or "unknown",
                version,
            )
        fault = self.node.disk_fault
        if fault != self._logged_fault:
            self._logged_fault = fault
            if fault:
                log.error("control: the disk takes no writes, nothing is confirmed: %s", fault)
            else:
                log.info("control: the disk takes writes again")
        self._record_refused_datagrams(self.clock())

    def _record_refused_datagrams(self, now: float) -> None:
        refused = self.node.channel.refused
        count = sum(refused.values())
        if count == self._recorded_refusals:
            return
        if now - self._refusals_recorded_at < REFUSED_DATAGRAMS_INTERVAL_S:
            return
        self._recorded_refusals, self._refusals_recorded_at = count, now
        reasons = "; ".join(f"{number} {reason}" for reason, number in refused.items())
        log.warning("control: datagrams refused: %s", reasons)


class UdpSocket(asyncio.DatagramProtocol):
    """The socket of a driver."""

    def __init__(self) -> None:
        self.transport: asyncio.DatagramTransport | None = None
        self.on_datagram: Callable[[bytes, Address], None] = lambda datagram, source: None

    async def open(self, listen: Address) -> None:
        """Raises OSError where the address cannot be bound."""
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, local_addr=listen)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        self.on_datagram(data, (str(addr[0]), addr[1]))

    def error_received(self, exc: Exception) -> None:
        """Nobody is at an address: silence says the same."""

    def send(self, address: Address, datagram: bytes) -> None:
        if self.transport and not self.transport.is_closing():
            self.transport.sendto(datagram, address)

    def close(self) -> None:
        if self.transport:
            self.transport.close()
