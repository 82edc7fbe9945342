"""The previous owner process, as seen by its successor."""

import asyncio
import contextlib
import os
import socket
import struct
from collections import deque
from collections.abc import Callable

from message_sender.core.peer_timeout import PeerTimeout
from message_sender.handover.link import HandoverLink, Packet, PacketReceiver, do_nothing

EXIT_WAIT_S = 0.1  # from the closing of a link to the assumed end of its process, without a pidfd to watch


def peer_pid(sock: socket.socket) -> int:
    """Returns the PID of the process at the other end of a Unix socket.

    Raises:
        OSError: The system does not provide it.
    """
    credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i"))
    pid: int = struct.unpack("3i", credentials)[0]
    return pid


class Predecessor:
    """The previous owner process, as long as it runs.

    The process counts as ended only once the system reports its end: from then on its connections are closed,
    and outcomes that it has not reported will never arrive.

    Attributes:
        link: Link to that process.
        process_fd: PID file descriptor of the process; -1 if there is none.
        pending_packets: Packets received before `attach`.
        packet_event: Set when a packet was queued or the link was closed.
        on_packet: Called with each packet received after `attach`.
        on_ended: Called once no more packets can arrive.
    """

    def __init__(self, sock: socket.socket) -> None:
        """Starts to read from `sock`.

        Raises:
            OSError: The system does not provide the PID of the process.
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
        """Passes a packet to `on_packet`, or queues it until `attach`."""
        if self.on_packet:
            self.on_packet(packet, descriptors)
        else:
            self.pending_packets.append((packet, descriptors))
            self.packet_event.set()

    def attach(self, on_packet: PacketReceiver, on_ended: Callable[[], None]) -> None:
        """Sets the callbacks, and passes the queued packets to `on_packet`.

        Args:
            on_packet: Called with each packet and its descriptors.
            on_ended: Called once no more packets can arrive.
        """
        self.on_packet = on_packet
        self.on_ended = on_ended
        while self.pending_packets:
            on_packet(*self.pending_packets.popleft())
        if self.link.is_closed:
            self.link_closed()

    async def request_state(self, deadline: float) -> str | None:
        """Requests ownership.

        Args:
            deadline: Time until which to wait, s on the loop's clock.

        Returns:
            The state that the process hands over; None if it does not answer in time.
        """
        self.link.send({"do": "take over"})
        text = ""
        try:
            async with PeerTimeout(deadline - asyncio.get_running_loop().time()):
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
        """Handles the closing of the link: calls `on_ended` once the process has ended."""
        self.packet_event.set()
        if self.on_packet is None:
            return
        if self.process_fd < 0:
            self.loop.call_later(EXIT_WAIT_S, self.on_ended)
        else:
            self.loop.add_reader(self.process_fd, self.process_ended)

    def process_ended(self) -> None:
        """Handles the end of the process, as reported by the system."""
        self._close_process_fd()
        self.on_ended()

    def close(self) -> None:
        """Closes the link; no more packets are passed on."""
        self.on_packet = None
        self.link.close()
        if self.process_fd >= 0:
            self._close_process_fd()

    def _close_process_fd(self) -> None:
        self.loop.remove_reader(self.process_fd)
        os.close(self.process_fd)
        self.process_fd = -1
