"""Two processes of one sender on one machine: packets of JSON and descriptors over a Unix socket."""

import asyncio
import contextlib
import json
import logging
import os
import socket
from collections import deque
from collections.abc import Callable, Iterator, Mapping
from pathlib import Path
from typing import Any

FILE = "handover"
PACKET = 192 * 1024  # bytes, the most that one holds: below what the system buffers for a socket
PART = 48 * 1024  # characters of a long text that go in one packet
AT_ONCE = 32  # packets read in a turn of the loop
PATH_MOST = 100  # bytes of a Unix socket's path; a longer one goes by its folder's descriptor
RETRY = 0.01  # s, where the system takes no more descriptors on their way

log = logging.getLogger(__name__)

Packet = Mapping[str, Any]


@contextlib.contextmanager
def path_in(folder: Path) -> Iterator[str]:
    """The socket's path, however deep its folder."""
    path = str(folder / FILE)
    if len(os.fsencode(path)) <= PATH_MOST:
        yield path
        return
    number = os.open(folder, os.O_PATH | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        yield f"/proc/self/fd/{number}/{FILE}"
    finally:
        os.close(number)


def listen(folder: Path) -> socket.socket:
    """Raises OSError. What an earlier process left there is replaced: the lock says that it is not used."""
    (folder / FILE).unlink(missing_ok=True)
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    try:
        with path_in(folder) as path:
            sock.bind(path)
        sock.listen(4)
        sock.setblocking(False)
    except BaseException:
        sock.close()
        raise
    return sock


def connect(folder: Path) -> socket.socket | None:
    """None where nobody listens."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    try:
        sock.setblocking(False)
        with path_in(folder) as path:
            sock.connect(path)
    except OSError:
        sock.close()
        return None
    return sock


class HandoverLink:
    """`heard` is given each packet and its descriptors, to close or to keep; `ended` hears the end once."""

    def __init__(
        self, sock: socket.socket, heard: Callable[[Packet, list[int]], None], ended: Callable[[], None]
    ) -> None:
        self.sock, self.heard, self.ended = sock, heard, ended
        self.loop = asyncio.get_running_loop()
        self.outbox: deque[tuple[bytes, list[int], Callable[[], None]]] = deque()
        self.over = False
        sock.setblocking(False)
        self.loop.add_reader(sock, self.read)

    def send(
        self, told: Packet, descriptors: tuple[int, ...] = (), then: Callable[[], None] = lambda: None
    ) -> None:
        """`then` is called once the system has the packet: its descriptors are on their way."""
        if self.over:
            return
        self.outbox.append((json.dumps(told, separators=(",", ":")).encode(), list(descriptors), then))
        if len(self.outbox) == 1:
            self.write()

    def send_text(self, do: str, text: str) -> None:
        for at in range(0, len(text), PART):
            self.send({"do": do, "text": text[at : at + PART]})

    def write(self) -> None:
        self.loop.remove_writer(self.sock)
        while self.outbox and not self.over:
            data, descriptors, then = self.outbox[0]
            try:
                socket.send_fds(self.sock, [data], descriptors)
            except (BlockingIOError, InterruptedError):
                self.loop.add_writer(self.sock, self.write)
                return
            except OSError as error:
                if descriptors and not isinstance(error, ConnectionError):
                    self.loop.call_later(RETRY, self.write_again)
                    return
                self.close()
                return
            self.outbox.popleft()
            then()

    def write_again(self) -> None:
        if not self.over:
            self.write()

    def read(self) -> None:
        for _ in range(AT_ONCE):
            if self.over:
                return
            try:
                data, descriptors, _, _ = socket.recv_fds(self.sock, PACKET, 8)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                data, descriptors = b"", []
            if not data:
                self.close()
                return
            self.take(data, descriptors)

    def take(self, data: bytes, descriptors: list[int]) -> None:
        try:
            told = json.loads(data)
            if not isinstance(told, dict):
                raise ValueError("no object")
        except ValueError as error:
            log.error("a packet from the other process cannot be read: %s", error)
            for each in descriptors:
                os.close(each)
            return
        self.heard(told, descriptors)

    def close(self) -> None:
        if self.over:
            return
        self.over = True
        self.loop.remove_reader(self.sock)
        self.loop.remove_writer(self.sock)
        self.sock.close()
        self.ended()
