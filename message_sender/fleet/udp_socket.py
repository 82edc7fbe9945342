"""A UDP socket on the event loop, used by the links between senders and by those to control nodes."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any, cast

Address = tuple[str, int]
DatagramReceiver = Callable[[bytes, Address], None]


class UdpSocket(asyncio.DatagramProtocol):
    """Passes each datagram with its source address to a receiver.

    Nothing is sent before `open` or after `close`.

    Errors that the network reports for an address are ignored: the protocols above detect an absent peer by
    its missing answers.
    """

    def __init__(self) -> None:
        """Creates a socket that is not bound yet."""
        self._transport: asyncio.DatagramTransport | None = None
        self._receiver: DatagramReceiver | None = None

    async def open(self, listen: Address, receiver: DatagramReceiver) -> None:
        """Binds the socket.

        Raises:
            OSError: If the address cannot be bound.
        """
        self._receiver = receiver
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, local_addr=listen)

    def send(self, address: Address, datagram: bytes) -> None:
        """Sends one datagram."""
        if self._transport and not self._transport.is_closing():
            self._transport.sendto(datagram, address)

    def send_all(self, datagrams: Iterable[tuple[Address, bytes]]) -> None:
        """Sends datagrams in their order."""
        for address, datagram in datagrams:
            self.send(address, datagram)

    @property
    def is_open(self) -> bool:
        """Whether the socket was bound."""
        return self._transport is not None

    def close(self) -> None:
        """Closes the socket; harmless if it was never opened."""
        if self._transport:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop once the socket is bound."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Called by the event loop for each datagram."""
        if self._receiver is not None:
            self._receiver(data, (str(addr[0]), addr[1]))

    def error_received(self, exc: Exception) -> None:
        """Called by the event loop for an ICMP error; ignored."""
