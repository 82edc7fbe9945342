"""A relay for the datagrams between members of a cluster that can drop, delay, duplicate and block them."""

import asyncio
import random
import socket
from typing import Any, ClassVar

HOST = "127.0.0.1"


class Relay:
    """Forwards all datagrams between members.

    A member binds one port and advertises a port of the relay instead. The relay identifies the sender of a
    datagram by the source port.

    Attributes:
        loss: The share of datagrams that is dropped.
        delay: The longest delay of a datagram, in seconds.
        duplication: The share of datagrams that is forwarded twice.
        partitions: The groups of members that can reach one another; empty without a partition.
        blocked_pairs: Pairs of names (from, to); datagrams in this direction are dropped.
    """

    reserved_ports: ClassVar[set[int]] = set()  # shared by all relays of this process

    def __init__(self, seed: int = 0) -> None:
        """Create a relay without faults; later faults are drawn from `seed`."""
        self.rng = random.Random(f"relay {seed}")
        self.loss = 0.0
        self.delay = 0.0
        self.duplication = 0.0
        self.partitions: tuple[frozenset[str], ...] = ()
        self.blocked_pairs: set[tuple[str, str]] = set()
        self.ports: dict[str, int] = {}  # by member: the port that the member binds
        self.names_by_port: dict[int, str] = {}
        self.transports: dict[str, asyncio.DatagramTransport] = {}  # by member: advertised port
        self.timers: set[asyncio.TimerHandle] = set()

    async def add(self, name: str) -> tuple[int, int]:
        """Add a member.

        Returns:
            The port for the member to bind, and the port for the member to advertise.
        """
        member_port = self.reserve_port()
        loop = asyncio.get_running_loop()
        while True:
            transport, _ = await loop.create_datagram_endpoint(
                lambda: RelayPort(self, name), local_addr=(HOST, 0)
            )
            relay_port = int(transport.get_extra_info("sockname")[1])
            if relay_port not in self.reserved_ports:
                break
            transport.close()  # the port is reserved for a member
        self.ports[name] = member_port
        self.names_by_port[member_port] = name
        self.transports[name] = transport
        return member_port, relay_port

    def reserve_port(self) -> int:
        """Return a free port that no relay of this process has reserved before."""
        while True:
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
                probe.bind((HOST, 0))
                port = int(probe.getsockname()[1])
            if port not in self.reserved_ports:
                self.reserved_ports.add(port)
                return port

    def handle_datagram(self, to: str, data: bytes, source: int) -> None:
        """Forward, drop, delay or duplicate a datagram from the port `source` to the member `to`."""
        sender = self.names_by_port.get(source, "")
        is_partitioned = self.partitions and not any({sender, to} <= side for side in self.partitions)
        if is_partitioned or (sender, to) in self.blocked_pairs or self.rng.random() < self.loss:
            return
        for _ in range(1 + (self.rng.random() < self.duplication)):
            delay = self.rng.uniform(0, self.delay)
            if delay:
                loop = asyncio.get_running_loop()
                self.timers.add(loop.call_later(delay, self.forward, to, data, sender))
            else:
                self.forward(to, data, sender)

    def forward(self, to: str, data: bytes, sender: str) -> None:
        """Forward a datagram from the relay port of its sender, so that answers pass through the relay."""
        transport = self.transports.get(sender, self.transports[to])
        if not transport.is_closing():
            transport.sendto(data, (HOST, self.ports[to]))

    def split(self, *sides: str) -> None:
        """Partition the members; each argument is a group of names, separated by spaces."""
        self.partitions = tuple(frozenset(side.split()) for side in sides)

    def heal(self) -> None:
        """Clear all faults."""
        self.partitions = ()
        self.blocked_pairs = set()
        self.loss = 0.0
        self.delay = 0.0
        self.duplication = 0.0

    def close(self) -> None:
        """Drop the delayed datagrams and close all sockets."""
        for timer in self.timers:
            timer.cancel()
        for transport in self.transports.values():
            transport.close()


class RelayPort(asyncio.DatagramProtocol):
    """The relay port through which other members reach one member."""

    def __init__(self, relay: Relay, name: str) -> None:
        """Create the relay port of the member `name`."""
        self.relay = relay
        self.name = name

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Pass a datagram to the relay."""
        self.relay.handle_datagram(self.name, data, addr[1])
