"""The process that owned before, as its successor sees it."""

import asyncio
import contextlib
import os
import socket
import struct
from collections import deque
from collections.abc import Callable

from message_sender.handover.link import HandoverLink, Packet, PacketReceiver, do_nothing

EXIT_WAIT_S = 0.1  # from the end of a link to its process' own, where the system cannot say when that is


def peer_pid(sock: socket.socket) -> int:
    """Returns the number of the process at the other end of a Unix socket.

    Raises:
        OSError: The system does not say.
    """
    credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i"))
    pid: int = struct.unpack("3i", credentials)[0]
    return pid


class Predecessor:
    """The process before, as long as it runs.

    It has *ended* once the system says so: then its connections are closed, and results that it has not
    reported will not come.

    Attributes:
        link: To that process.
        process_fd: A descriptor of it; -1: none.
        pending_packets: Came before anybody was attached.
        on_packet: Gets later ones.
        on_ended: Called once no more can come.
    """

    def __init__(self, sock: socket.socket) -> None:
        """Reads from `sock` from now on.

        Raises:
            OSError: The system does not say which process it is.
        """
        pid = peer_pid(sock)
        self.loop = asyncio.get_running_loop()
        self.process_fd = -1
        with contextlib.suppress(OSError):
            self.process_fd = os.pidfd_open(pid)
        self.pending_packets: deque[tuple[Packet, list[int]]] = deque()
        self.packet_event = asyncio.Event()
        self.on_packet: PacketReceiver | None = None
        self.on_ended: Callable[[], None] = do_nothing
        self.link = HandoverLink(sock, self.receive_packet, self.link_closed)

    def receive_packet(self, packet: Packet, descriptors: list[int]) -> None:
        """Passes a packet on, or keeps it."""
        if self.on_packet:
            self.on_packet(packet, descriptors)
        else:
            self.pending_packets.append((packet, descriptors))
            self.packet_event.set()

    def attach(self, on_packet: PacketReceiver, on_ended: Callable[[], None]) -> None:
        """Passes packets on from now on, first those that have come already.

        Args:
            on_packet: Gets each packet and its descriptors.
            on_ended: Called once no more can come.
        """
        self.on_packet = on_packet
        self.on_ended = on_ended
        while self.pending_packets:
            on_packet(*self.pending_packets.popleft())
        if self.link.is_closed:
            self.link_closed()

    async def request_state(self, deadline: float) -> str | None:
        """Requests ownership; returns the state that the process hands over.

        Args:
            deadline: s, the loop's clock.

        Returns:
            None where the process does not answer, or not in time.
        """
        self.link.send({"do": "take over"})
        text = ""
        try:
            async with asyncio.timeout_at(deadline):
                while not self.link.is_closed:
                    while self.pending_packets:
                        packet, _ = self.pending_packets.popleft()
                        if packet["do"] == "released":
                            return text
                        text += packet["text"]
                    self.packet_event.clear()
                    await self.packet_event.wait()
        except TimeoutError:
            pass
        return None

    def link_closed(self) -> None:
        """The link is closed: the process ends, and then nothing more can come."""
        self.packet_event.set()
        if self.on_packet is None:
            return
        if self.process_fd < 0:
            self.loop.call_later(EXIT_WAIT_S, self.on_ended)
        else:
            self.loop.add_reader(self.process_fd, self.process_ended)

    def process_ended(self) -> None:
        """The system says that the process has ended."""
        self._close_process_fd()
        self.on_ended()

    def close(self) -> None:
        """Lets go of the process; nothing more of it is passed on."""
        self.on_packet = None
        self.link.close()
        if self.process_fd >= 0:
            self._close_process_fd()

    def _close_process_fd(self) -> None:
        self.loop.remove_reader(self.process_fd)
        os.close(self.process_fd)
        self.process_fd = -1
