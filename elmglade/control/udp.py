"""A control node on an event loop: datagrams, ticks, the disk and the state folder.

The loop gives the time; datagrams leave through a function that the caller gives. So the same driver runs on
a socket and on virtual time.
"""

import asyncio
import logging
from collections.abc import Callable, Mapping
from functools import partial
from typing import Any, cast

from elmglade.control.channel import KnownStart
from elmglade.control.folder import StateFolder
from elmglade.control.log_file import LogBatch, LogFile
from elmglade.control.messages import Address
from elmglade.control.node import ControlNode

TICK_S = 0.02
FOLDER_RETRY_S = 1.0
REFUSED_DATAGRAMS_INTERVAL_S = 10.0  # between two records of datagrams that were refused

log = logging.getLogger(__name__)


class FolderNotes:
    """What a node learns while it runs and its folder must keep. What can't be written is kept for later; the
    mark of a learner is written before the epoch (folder.py)."""

    def __init__(self, folder: StateFolder, node: ControlNode) -> None:
        self.folder = folder
        self.learner_reason = ""
        self.epoch = 0
        self.starts: Mapping[str, KnownStart] = node.channel.known_starts
        self.retry_at = 0.0
        self._has_new_starts = False
        self._addresses = node.channel.addresses
        node.on_learner = self._note_learner
        node.channel.on_behind = self._note_epoch
        node.channel.on_start_known = self._note_start

    def _note_learner(self, reason: str) -> None:
        log.error("control: this node is a learner: %s", reason)
        self.learner_reason = reason

    def _note_epoch(self, epoch: int) -> None:
        self.epoch = epoch

    def _note_start(self, name: str, start: KnownStart) -> None:
        self._has_new_starts = True

    def save(self, now: float) -> None:
        """Writes what is new; after a failure not before FOLDER_RETRY_S."""
        if now < self.retry_at or not (self.learner_reason or self.epoch or self._has_new_starts):
            return
        try:
            self._write()
        except OSError as error:
            self.retry_at = now + FOLDER_RETRY_S
            log.error("control: the state folder cannot be written: %s", error)

    def _write(self) -> None:
        if self.learner_reason:
            self.folder.mark_learner(self.learner_reason)
            self.learner_reason = ""
        if self.epoch:
            self.folder.write_epoch(self.epoch)
            self.epoch = 0
        if self._has_new_starts:
            kept = {name: start for name, start in self.starts.items() if name in self._addresses}
            self.folder.write_starts(kept)
            self._has_new_starts = False


class NodeDriver:
    """Runs a node on a loop."""

    def __init__(
        self,
        node: ControlNode,
        log_file: LogFile,
        notes: FolderNotes,
        send: Callable[[Address, bytes], None],
        failed: Callable[[Exception], None],
        clock: Callable[[], float] | None = None,
    ) -> None:
        """`failed` is called with a defect; the node does nothing more then. `clock`: monotonic seconds; the
        loop's, if not given."""
        self.loop = asyncio.get_running_loop()
        self.clock = clock or self.loop.time
        self.node, self.log_file, self.notes = node, log_file, notes
        self.send, self.failed = send, failed
        self.is_over = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._recorded: tuple[object, ...] = ()
        self._recorded_fault = ""
        self._recorded_refusals, self._refusals_recorded_at = 0, -REFUSED_DATAGRAMS_INTERVAL_S

    def start(self) -> None:
        self._spawn(self._run())

    def close(self) -> None:
        """Nothing is sent from here on."""
        self.is_over = True
        for task in self._tasks:
            task.cancel()

    def received(self, datagram: bytes, source: Address) -> None:
        """A datagram came from the network."""
        self._step(partial(self.node.receive, datagram, source, self.clock()))

    def do(self, action: Callable[[float], None]) -> None:
        """Has the node do something, and carries on with what follows from it."""
        self._step(partial(action, self.clock()))

    def _step(self, action: Callable[[], None]) -> None:
        if self.is_over:
            return
        try:
            action()
            self.notes.save(self.clock())
            batch = self.node.take_batch()
            if batch is not None:
                self._spawn(self._store(batch))
            for address, datagram in self.node.channel.take_datagrams():
                self.send(address, datagram)
        except Exception as error:
            self.close()
            self.failed(error)

    async def _store(self, batch: LogBatch) -> None:
        try:
            await self.log_file.disk.run(partial(self.log_file.store, batch))
        except OSError as error:
            fault = str(error)
            self.do(lambda now: self.node.store_failed(fault, now))
        else:
            self.do(self.node.stored)

    async def _run(self) -> None:
        while not self.is_over:
            self.do(self.node.tick)
            self._record()
            await asyncio.sleep(TICK_S)

    def _spawn(self, work: Any) -> None:  # noqa: ANN401
        task = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Records.

    def _record(self) -> None:
        """Logs what has changed since the last time."""
        replica, version = self.node.replica, self.node.store.document.version
        present = replica.role, replica.leader, replica.term, version
        if present != self._recorded:
            self._recorded = present
            log.info(
                "control: %s in term %d, leader %s, version %d",
                replica.role.value,
                replica.term,
                replica.leader or "unknown",
                version,
            )
        fault = self.node.disk_fault
        if fault != self._recorded_fault:
            self._recorded_fault = fault
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
