"""A sender's watch of the control plane over a UDP socket."""

import logging
from collections.abc import Callable

from message_sender.control.channel import BodyTooLargeError, Channel
from message_sender.control.messages import Address, WatchMessage
from message_sender.control.watch import Watch
from message_sender.fleet.udp_socket import UdpSocket

log = logging.getLogger(__name__)


class WatchLink:
    """Connects a watch and its channel to a UDP socket; the caller must call `tick` periodically."""

    def __init__(self, channel: Channel, watch: Watch, clock: Callable[[], float]) -> None:
        """Creates a link that is not open yet; `clock` returns seconds of a monotonic clock."""
        self.channel = channel
        self.watch = watch
        self._clock = clock
        self._socket = UdpSocket()

    async def open(self, listen: Address) -> None:
        """Binds the socket to the address `listen`.

        Raises:
            OSError: If the address cannot be bound.
        """
        await self._socket.open(listen, self.receive)

    def receive(self, datagram: bytes, source: Address) -> None:
        """Handles a datagram from the network, and sends the resulting datagrams."""
        now = self._clock()
        for name, body in self.channel.receive(datagram, source, now):
            if name in self.channel.addresses and isinstance(body, WatchMessage):
                self.watch.receive(name, body, now)
        self.flush(now)

    def tick(self, now: float) -> None:
        """Handles the watch's timers that are due, and sends the resulting datagrams."""
        self.watch.tick(now)
        self.flush(now)

    def flush(self, now: float) -> None:
        """Sends the messages of the watch and the datagrams of the channel."""
        for node, message in self.watch.take_messages():
            try:
                self.channel.send(node, message, now)
            except BodyTooLargeError as error:
                log.error("control: message not sent: receiver=%s error=%s", node, error)
        self._socket.send_all(self.channel.take_datagrams())

    def close(self) -> None:
        """Closes the socket."""
        self._socket.close()
