"""The link between two processes of one sender: JSON packets with file descriptors over a Unix socket."""

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
MAX_PACKET_BYTES = 192 * 1024  # below the size of the system's socket buffer
MAX_TEXT_CHARS = 48 * 1024  # characters of a long text per packet
MAX_PACKETS_PER_ITERATION = 32  # packets read per loop iteration
MAX_DESCRIPTORS = 8  # per packet
MAX_PATH_BYTES = 100  # of a Unix socket's path; longer paths are reached through the folder's descriptor
RETRY_DELAY_S = 0.01  # after the system refused to send descriptors because too many are in transit
BACKLOG = 4

log = logging.getLogger(__name__)

Packet = Mapping[str, Any]
PacketReceiver = Callable[[Packet, list[int]], None]  # takes ownership of the descriptors


def do_nothing() -> None:
    """Default callback that does nothing."""


@dataclass(frozen=True, slots=True)
class OutgoingPacket:
    """A packet to send, with a callback for when the system has accepted it."""

    data: bytes
    descriptors: tuple[int, ...]
    on_sent: Callable[[], None]

    @classmethod
    def encode(
        cls, packet: Packet, descriptors: tuple[int, ...] = (), on_sent: Callable[[], None] = do_nothing
    ) -> "OutgoingPacket":
        """Encodes a packet.

        Args:
            packet: Content of the packet.
            descriptors: File descriptors to send with it.
            on_sent: Called once the system has accepted the packet with its descriptors.
        """
        return cls(json.dumps(packet, separators=(",", ":")).encode(), descriptors, on_sent)


#: Builds a packet when the link can send it; returns None if there is nothing to send any more.
PacketSource = Callable[[], OutgoingPacket | None]


@contextlib.contextmanager
def socket_path(folder: Path) -> Iterator[str]:
    """Provides a path to the socket in `folder` that is short enough for a Unix socket address."""
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

    A socket file left by an earlier process is replaced; the caller holds the folder's lock, so no other
    process uses it.

    Raises:
        OSError: The socket cannot be created in the folder.
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
    """Returns a connection to the process that listens in `folder`; None if no process does."""
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
        on_packet: Called with each packet and its descriptors, whose ownership it takes.
        on_closed: Called once, when the link is closed by either side.
        outbox: The sources of the packets that wait to be sent.
        unsent: The packet that is next, if the system has not accepted it yet.
        is_closed: Whether the link is closed.
    """

    def __init__(self, sock: socket.socket, on_packet: PacketReceiver, on_closed: Callable[[], None]) -> None:
        """Starts to read from `sock`."""
        self.sock = sock
        self.on_packet = on_packet
        self.on_closed = on_closed
        self.loop = asyncio.get_running_loop()
        self.outbox: deque[PacketSource] = deque()
        self.unsent: OutgoingPacket | None = None
        self.is_closed = False
        sock.setblocking(False)
        self.loop.add_reader(sock, self.read_packets)

    def send(self, packet: Packet) -> None:
        """Sends a packet without descriptors."""
        encoded = OutgoingPacket.encode(packet)
        self.send_later(lambda: encoded)

    def send_later(self, source: PacketSource) -> None:
        """Sends the packet that `source` returns, which is called once all earlier packets have been sent."""
        if self.is_closed:
            return
        self.outbox.append(source)
        if len(self.outbox) == 1 and not self.unsent:
            self.write_packets()

    def send_text(self, kind: str, text: str) -> None:
        """Sends a long text in several packets of kind `kind`."""
        for start in range(0, len(text), MAX_TEXT_CHARS):
            self.send({"do": kind, "text": text[start : start + MAX_TEXT_CHARS]})

    def write_packets(self) -> None:
        """Writes queued packets until the system accepts no more."""
        self.loop.remove_writer(self.sock)
        while not self.is_closed and (packet := self._next_packet()):
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
            self.unsent = None
            packet.on_sent()

    def _next_packet(self) -> OutgoingPacket | None:
        """Returns the packet that is next; None if none waits."""
        while self.unsent is None and self.outbox:
            self.unsent = self.outbox.popleft()()
        return self.unsent

    def retry_write(self) -> None:
        """Writes queued packets, unless the link was closed meanwhile."""
        if not self.is_closed:
            self.write_packets()

    def read_packets(self) -> None:
        """Reads the packets that have arrived, up to `MAX_PACKETS_PER_ITERATION`."""
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
        """Passes a packet to `on_packet`; a malformed one is dropped and its descriptors are closed."""
        try:
            packet = json.loads(data)
            if not isinstance(packet, dict):
                raise ValueError("not a JSON object")
        except ValueError as error:
            log.error("handover packet malformed: reason=%s", error)
            for descriptor in descriptors:
                os.close(descriptor)
            return
        self.on_packet(packet, descriptors)

    def close(self) -> None:
        """Closes the link; further calls do nothing."""
        if self.is_closed:
            return
        self.is_closed = True
        self.loop.remove_reader(self.sock)
        self.loop.remove_writer(self.sock)
        self.sock.close()
        self.on_closed()
