"""A UDP socket on the event loop, used by the links between senders and to control nodes."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any, cast

Address = tuple[str, int]
DatagramReceiver = Callable[[bytes, Address], None]


class UdpSocket(asyncio.DatagramProtocol):
    """A UDP socket that passes each datagram and its source address to a receiver.

    Datagrams sent before `open` or after `close` are dropped.

    Errors that the network reports for an address are ignored: the protocols above detect an unreachable peer
    by its missing answers.
    """

    def __init__(self) -> None:
        """Creates an unbound socket."""
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
        """Sends datagrams in the given order."""
        for address, datagram in datagrams:
            self.send(address, datagram)

    @property
    def is_open(self) -> bool:
        """Whether the socket was bound."""
        return self._transport is not None

    def close(self) -> None:
        """Closes the socket; does nothing if it was never opened."""
        if self._transport:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport; called by the event loop once the socket is bound."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Passes a datagram to the receiver; called by the event loop."""
        if self._receiver is not None:
            self._receiver(data, (str(addr[0]), addr[1]))

    def error_received(self, exc: Exception) -> None:
        """Ignores an ICMP error; called by the event loop."""
