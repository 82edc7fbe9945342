"""Runs a control node on an event loop: datagrams, ticks, disk writes and the state folder.

The clock and the function that sends datagrams are injected, so that the same driver runs on a real socket
and on virtual time.
"""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from functools import partial
from typing import Any

from message_sender.control.folder_writer import FolderWriter
from message_sender.control.log_file import LogBatch, LogFile
from message_sender.control.messages import Address
from message_sender.control.node import ControlNode
from message_sender.control.raft_types import Role
from message_sender.fleet.refused_datagrams import RefusedDatagramsLog

TICK_INTERVAL_S = 0.02

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class LoggedState:
    """The state of a node that is logged whenever it changes."""

    role: Role
    leader: str
    term: int
    version: int


class NodeDriver:
    """Drives one control node; the rules in node.py define the order of storing, sending and applying."""

    def __init__(
        self,
        node: ControlNode,
        log_file: LogFile,
        folder_writer: FolderWriter,
        send: Callable[[Address, bytes], None],
        on_failure: Callable[[Exception], None],
        clock: Callable[[], float] | None = None,
    ) -> None:
        """Creates a driver for the running event loop.

        Args:
            node: The node to drive.
            log_file: Stores the node's batches.
            folder_writer: Collects the changes of the node's state folder.
            send: Sends a datagram to an address.
            on_failure: Called with an unexpected exception, after the driver was closed.
            clock: Monotonic seconds; the event loop's clock if None.
        """
        self.loop = asyncio.get_running_loop()
        self.clock = clock or self.loop.time
        self.node = node
        self.log_file = log_file
        self.folder_writer = folder_writer
        self.send = send
        self.on_failure = on_failure
        self.is_closed = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._logged_state: LoggedState | None = None
        self._logged_fault = ""
        self._refused_datagrams = RefusedDatagramsLog("control", log)

    def start(self) -> None:
        """Starts the periodic ticks."""
        self._spawn(self._run())

    def close(self) -> None:
        """Stops the driver; no datagrams are sent after this call."""
        self.is_closed = True
        for task in self._tasks:
            task.cancel()

    def receive(self, datagram: bytes, source: Address) -> None:
        """Passes a datagram from the network to the node."""
        self._step(partial(self.node.receive, datagram, source, self.clock()))

    def run_action(self, action: Callable[[float], None]) -> None:
        """Calls `action` with the current time, then stores and sends the output that the node produced."""
        self._step(partial(action, self.clock()))

    def _step(self, action: Callable[[], None]) -> None:
        """Runs one step of the node. Any exception is a defect, which closes the driver."""
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
            self._log_changes()
            await asyncio.sleep(TICK_INTERVAL_S)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._task_ended)

    def _task_ended(self, task: asyncio.Task[None]) -> None:
        """Fails the driver if a task raised an exception; otherwise work waiting for the task would hang."""
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if isinstance(error, Exception) and not self.is_closed:
            self._fail(error)

    # Logging.

    def _log_changes(self) -> None:
        """Logs changes of the node's state since the last call."""
        replica = self.node.replica
        state = LoggedState(replica.role, replica.leader, replica.term, self.node.store.document.version)
        if state != self._logged_state:
            self._logged_state = state
            log.info(
                "control: state changed: role=%s term=%d leader=%s version=%d",
                state.role.value,
                state.term,
                state.leader or "unknown",
                state.version,
            )
        self._log_disk_fault(self.node.disk_fault)
        self._refused_datagrams.update(self.node.channel.refused, self.clock())

    def _log_disk_fault(self, fault: str) -> None:
        if fault == self._logged_fault:
            return
        self._logged_fault = fault
        if fault:
            log.error("control: disk write failed, no change is confirmed: error=%s", fault)
        else:
            log.info("control: disk writes resumed")
