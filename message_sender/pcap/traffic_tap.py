"""What a running sender receives and sends, told to a scribe: a witness of its connections.

The sender's turn appends a record to a list; once a pass of the loop the list goes down a pipe to a process
of its own (message_sender/pcap/capture_writer.py), as far as the pipe takes it at once. Where the scribe
falls behind by more than `MOST_WAITING`, records are lost and counted, never time; what is lost of a
connection is told, so that its file has a gap there and not a seam.
"""

import asyncio
import logging
import os
import subprocess
import sys
import time
from collections.abc import Iterable
from pathlib import Path

from message_sender.pcap.capture_writer import ENDED, HEAD, LOST, OPENED, PASSED, RESET
from message_sender.pcap.writer import Address

MOST_WAITING = 4_000_000  # bytes that wait for the pipe
AGAIN = 0.02  # s until the next try where the pipe is full
PATIENCE = 10.0  # s for the scribe to end, once it has heard everything

log = logging.getLogger(__name__)


class TrafficTap:
    """A `TrafficObserver`. Its methods are called on the loop and never wait."""

    def __init__(self, folder: Path, most_bytes: int, files: int = 4, secrets: Iterable[str] = ()) -> None:
        """At most `files` files of `most_bytes` each stand in the folder. Raises OSError where no process can
        be started."""
        words = [
            sys.executable,
            "-m",
            "message_sender.pcap.capture_writer",
            str(folder),
            str(most_bytes),
            str(files),
        ]
        # In a session of its own: a signal for the sender's group is not for it; it ends with its pipe.
        self.scribe = subprocess.Popen([*words, *secrets], stdin=subprocess.PIPE, start_new_session=True)
        assert self.scribe.stdin
        self.pipe = self.scribe.stdin.fileno()
        os.set_blocking(self.pipe, False)
        self.waiting: list[bytes] = []
        self.size = 0  # bytes that wait
        self.due = False  # a flush is on its way
        self.lost = 0  # records
        self.gaps: dict[tuple[int, int], int] = {}  # bytes lost, of a connection's side
        self.failed = ""  # why nothing more is told
        self.connections = 0

    def opened(self, client: Address, server: Address) -> int:
        """A connection has come up; its number."""
        self.connections += 1
        ends = f"{client[0]}:{client[1]} {server[0]}:{server[1]}"
        self.put(OPENED, self.connections, 0, ends.encode())
        return self.connections

    def passed(self, connection: int, side: int, data: bytes) -> None:
        """Bytes from the client (side 0) or from the server (1)."""
        if self.gaps and (size := self.gaps.pop((connection, side), 0)):
            self.put(LOST, connection, side, b"%d" % size)
        if not self.put(PASSED, connection, side, data):
            self.gaps[connection, side] = self.gaps.get((connection, side), 0) + len(data)

    def ended(self, connection: int, side: int, reset: bool) -> None:
        for each in (0, 1):
            self.gaps.pop((connection, each), None)
        self.put(RESET if reset else ENDED, connection, side, b"")

    def put(self, what: int, connection: int, side: int, data: bytes) -> bool:
        """False: it is lost."""
        if self.failed or self.size > MOST_WAITING:
            self.lost += 1
            return False
        self.waiting += (HEAD.pack(what, connection, side, time.time_ns(), len(data)), data)
        self.size += HEAD.size + len(data)
        if not self.due:
            self.due = True
            asyncio.get_running_loop().call_soon(self.flush)
        return True

    def flush(self) -> None:
        """What the pipe takes now; the rest a little later."""
        self.due = False
        data = b"".join(self.waiting)
        try:
            sent = os.write(self.pipe, data) if data else 0
        except (BlockingIOError, InterruptedError):
            sent = 0
        except OSError as error:
            self.fail(error)
            return
        self.waiting = [data[sent:]] if sent < len(data) else []
        self.size = len(data) - sent
        if self.waiting:
            self.due = True
            asyncio.get_running_loop().call_later(AGAIN, self.flush)

    def fail(self, error: OSError) -> None:
        log.error("capture stopped: error=%s", error)
        self.failed, self.waiting, self.size = str(error), [], 0

    def close(self) -> None:
        """Tells what waits, and waits for the scribe to write it: for the end of a process."""
        assert self.scribe.stdin
        os.set_blocking(self.pipe, True)
        try:
            self.scribe.stdin.write(b"".join(self.waiting))
            self.scribe.stdin.close()
        except OSError as error:
            self.fail(error)
        try:
            self.scribe.wait(PATIENCE)
        except subprocess.TimeoutExpired:
            self.scribe.kill()
            self.scribe.wait()
        if self.lost:
            log.warning("capture incomplete: lost_records=%d", self.lost)
