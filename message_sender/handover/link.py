"""The link between two processes of one sender: packets of JSON and descriptors over a Unix socket."""

import asyncio
import contextlib
import json
import logging
import os
import socket
from collections import deque
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

SOCKET_FILE = "handover"
MAX_PACKET_BYTES = 192 * 1024  # below what the system buffers for a socket
MAX_TEXT_CHARS = 48 * 1024  # of a long text that go in one packet
MAX_PACKETS_PER_ITERATION = 32  # read in an iteration of the loop
MAX_DESCRIPTORS = 8  # in a packet
MAX_PATH_BYTES = 100  # of a Unix socket's path; a longer one goes by its folder's descriptor
RETRY_DELAY_S = 0.01  # where the system takes no more descriptors on their way
BACKLOG = 4

log = logging.getLogger(__name__)

Packet = Mapping[str, Any]
PacketReceiver = Callable[[Packet, list[int]], None]  # gets the descriptors too, to close or to keep


def do_nothing() -> None:
    """Is called where nobody waits for a packet to be sent."""


@dataclass(frozen=True, slots=True)
class OutgoingPacket:
    """A packet that waits to be sent, and what is called once the system has it."""

    data: bytes
    descriptors: list[int]
    on_sent: Callable[[], None]


@contextlib.contextmanager
def socket_path(folder: Path) -> Iterator[str]:
    """Gives the socket's path, however deep its folder."""
    path = str(folder / SOCKET_FILE)
    if len(os.fsencode(path)) <= MAX_PATH_BYTES:
        yield path
        return
    descriptor = os.open(folder, os.O_PATH | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        yield f"/proc/self/fd/{descriptor}/{SOCKET_FILE}"
    finally:
        os.close(descriptor)


def listen(folder: Path) -> socket.socket:
    """Returns a listening socket in `folder`.

    What an earlier process left there is replaced: the lock says that it is not used.

    Raises:
        OSError: The folder takes no socket.
    """
    (folder / SOCKET_FILE).unlink(missing_ok=True)
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    try:
        with socket_path(folder) as path:
            sock.bind(path)
        sock.listen(BACKLOG)
        sock.setblocking(False)
    except BaseException:
        sock.close()
        raise
    return sock


def connect(folder: Path) -> socket.socket | None:
    """Returns a connection to the process that listens in `folder`; None: there is none."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    try:
        sock.setblocking(False)
        with socket_path(folder) as path:
            sock.connect(path)
    except OSError:
        sock.close()
        return None
    return sock


class HandoverLink:
    """A connection to the other process.

    Attributes:
        sock: The socket.
        on_packet: Gets each packet and its descriptors, to close or to keep.
        on_closed: Called once, when the link is closed by either side.
        outbox: Packets that wait to be sent.
        is_closed: Whether the link is closed.
    """

    def __init__(self, sock: socket.socket, on_packet: PacketReceiver, on_closed: Callable[[], None]) -> None:
        """Reads from `sock` from now on."""
        self.sock = sock
        self.on_packet = on_packet
        self.on_closed = on_closed
        self.loop = asyncio.get_running_loop()
        self.outbox: deque[OutgoingPacket] = deque()
        self.is_closed = False
        sock.setblocking(False)
        self.loop.add_reader(sock, self.read_packets)

    def send(
        self, packet: Packet, descriptors: tuple[int, ...] = (), on_sent: Callable[[], None] = do_nothing
    ) -> None:
        """Sends a packet.

        Args:
            packet: Its content.
            descriptors: Go with it.
            on_sent: Called once the system has the packet: its descriptors are on their way.
        """
        if self.is_closed:
            return
        data = json.dumps(packet, separators=(",", ":")).encode()
        self.outbox.append(OutgoingPacket(data, list(descriptors), on_sent))
        if len(self.outbox) == 1:
            self.write_packets()

    def send_text(self, do: str, text: str) -> None:
        """Sends a long text in packets of kind `do`."""
        for start in range(0, len(text), MAX_TEXT_CHARS):
            self.send({"do": do, "text": text[start : start + MAX_TEXT_CHARS]})

    def write_packets(self) -> None:
        """Writes what waits, as far as the system takes it."""
        self.loop.remove_writer(self.sock)
        while self.outbox and not self.is_closed:
            packet = self.outbox[0]
            try:
                socket.send_fds(self.sock, [packet.data], packet.descriptors)
            except (BlockingIOError, InterruptedError):
                self.loop.add_writer(self.sock, self.write_packets)
                return
            except OSError as error:
                if packet.descriptors and not isinstance(error, ConnectionError):
                    self.loop.call_later(RETRY_DELAY_S, self.retry_write)
                    return
                self.close()
                return
            self.outbox.popleft()
            packet.on_sent()

    def retry_write(self) -> None:
        """Writes what waits, unless the link was closed meanwhile."""
        if not self.is_closed:
            self.write_packets()

    def read_packets(self) -> None:
        """Reads what has come."""
        for _ in range(MAX_PACKETS_PER_ITERATION):
            if self.is_closed:
                return
            try:
                data, descriptors, _, _ = socket.recv_fds(self.sock, MAX_PACKET_BYTES, MAX_DESCRIPTORS)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                data, descriptors = b"", []
            if not data:
                self.close()
                return
            self.handle_packet(data, descriptors)

    def handle_packet(self, data: bytes, descriptors: list[int]) -> None:
        """Passes a packet on; one that is malformed is dropped with its descriptors."""
        try:
            packet = json.loads(data)
            if not isinstance(packet, dict):
                raise ValueError("no object")
        except ValueError as error:
            log.error("handover packet malformed: reason=%s", error)
            for descriptor in descriptors:
                os.close(descriptor)
            return
        self.on_packet(packet, descriptors)

    def close(self) -> None:
        """Closes the link; a second time does nothing."""
        if self.is_closed:
            return
        self.is_closed = True
        self.loop.remove_reader(self.sock)
        self.loop.remove_writer(self.sock)
        self.sock.close()
        self.on_closed()
