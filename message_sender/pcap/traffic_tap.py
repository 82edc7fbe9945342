"""Observer that passes the traffic of a running sender to a process that writes it as capture files.

On the event loop, a record is only appended to a list. Once per loop iteration, the list is written to the
pipe of the writing process (message_sender/pcap/capture_writer.py), as far as the pipe accepts it without
blocking. If more than `PENDING_BYTES_LIMIT` bytes wait for the pipe, records are dropped and counted, and the
sender does not wait. The number of dropped bytes is reported to the process, so that the capture has a gap
there.
"""

import asyncio
import logging
import os
import subprocess
import sys
import time
from collections.abc import Iterable
from pathlib import Path

from message_sender.pcap.capture_writer import DEFAULT_FILES_LIMIT, RECORD_HEADER, RecordKind
from message_sender.pcap.writer import Address

PENDING_BYTES_LIMIT = 4_000_000  # that wait for the pipe before records are dropped
RETRY_DELAY_S = 0.02  # while the pipe is full
EXIT_TIMEOUT_S = 10.0  # of the writing process, from the end of its input
#: Bound once, since looking up an enum member would cost time for each record.
_DATA_RECORD = RecordKind.DATA

log = logging.getLogger(__name__)


class TrafficTap:
    """A `TrafficObserver` that writes capture files. Its methods run on the event loop and never wait.

    Attributes:
        process: The writing process.
        dropped_records: Number of records that were not written.
        dropped_bytes: Number of dropped bytes not yet reported to the writing process, by connection and
            side.
        failure: Why recording has stopped; empty while it is running.
    """

    def __init__(
        self,
        folder: Path,
        file_bytes_limit: int,
        files_limit: int = DEFAULT_FILES_LIMIT,
        blanked_headers: Iterable[str] = (),
    ) -> None:
        """Starts the writing process; the arguments are those of `CaptureWriter`.

        Raises:
            OSError: The process cannot be started.
        """
        command = [sys.executable, "-m", "message_sender.pcap.capture_writer", str(folder)]
        command += [str(file_bytes_limit), str(files_limit), *blanked_headers]
        # The process gets its own session, so that a signal to the sender's process group does not end it; it
        # ends when its pipe is closed.
        self.process = subprocess.Popen(command, stdin=subprocess.PIPE, start_new_session=True)
        assert self.process.stdin
        self._pipe = self.process.stdin.fileno()
        os.set_blocking(self._pipe, False)
        self.dropped_records = 0
        self.dropped_bytes: dict[tuple[int, int], int] = {}
        self.failure = ""
        self._pending: list[bytes] = []
        self._pending_bytes = 0
        self._is_flush_scheduled = False
        self._connection_count = 0

    def connection_opened(self, client: Address, server: Address) -> int:
        """Records a new connection and returns its number."""
        self._connection_count += 1
        addresses = f"{client[0]}:{client[1]} {server[0]}:{server[1]}"
        self._add_record(RecordKind.OPENED, self._connection_count, 0, addresses.encode())
        return self._connection_count

    def data_sent(self, connection: int, side: int, data: bytes) -> None:
        """Records bytes from the client (side 0) or from the server (side 1)."""
        if self.dropped_bytes and (size := self.dropped_bytes.pop((connection, side), 0)):
            self._add_record(RecordKind.LOST, connection, side, b"%d" % size)
        if not self._add_record(_DATA_RECORD, connection, side, data):
            dropped_bytes = self.dropped_bytes.get((connection, side), 0)
            self.dropped_bytes[connection, side] = dropped_bytes + len(data)

    def connection_closed(self, connection: int, side: int, reset: bool) -> None:
        """Records that the given side closed the connection, or reset it."""
        for ended_side in (0, 1):
            self.dropped_bytes.pop((connection, ended_side), None)
        self._add_record(RecordKind.RESET if reset else RecordKind.ENDED, connection, side, b"")

    def flush(self) -> None:
        """Writes as much as the pipe accepts without blocking, and schedules the rest."""
        self._is_flush_scheduled = False
        data = b"".join(self._pending)
        try:
            written = os.write(self._pipe, data) if data else 0
        except (BlockingIOError, InterruptedError):
            written = 0
        except OSError as error:
            self._fail(error)
            return
        self._pending = [data[written:]] if written < len(data) else []
        self._pending_bytes = len(data) - written
        if self._pending:
            self._is_flush_scheduled = True
            asyncio.get_running_loop().call_later(RETRY_DELAY_S, self.flush)

    def close(self) -> None:
        """Writes the pending records and waits for the writing process to end.

        This blocks, and is meant for the end of the sender's process.
        """
        assert self.process.stdin
        os.set_blocking(self._pipe, True)
        try:
            self.process.stdin.write(b"".join(self._pending))
            self.process.stdin.close()
        except OSError as error:
            self._fail(error)
        try:
            self.process.wait(EXIT_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        if self.dropped_records:
            log.warning("capture incomplete: lost_records=%d", self.dropped_records)

    def _add_record(self, kind: RecordKind, connection: int, side: int, data: bytes) -> bool:
        """Adds a record for the next flush; returns False if the record was dropped."""
        if self.failure or self._pending_bytes > PENDING_BYTES_LIMIT:
            self.dropped_records += 1
            return False
        header = RECORD_HEADER.pack(kind, connection, side, time.time_ns(), len(data))
        self._pending += (header, data)
        self._pending_bytes += RECORD_HEADER.size + len(data)
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            asyncio.get_running_loop().call_soon(self.flush)
        return True

    def _fail(self, error: OSError) -> None:
        log.error("capture stopped: error=%s", error)
        self.failure = str(error)
        self._pending = []
        self._pending_bytes = 0
