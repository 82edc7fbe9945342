"""Connections written as a capture that other tools read: handshakes, segments, ends, checksums.

What is known of a connection is what a program saw: bytes and when they came or went. Sequence numbers, the
handshake and the acknowledgements are made up from these; the times of the data are as told.
"""

import ipaddress
import struct

from message_sender.pcap.files import PcapWriter
from message_sender.pcap.layers import ACK, FIN, RST, SYN
from message_sender.pcap.reassembly import SEQUENCE_MODULUS

MSS = 1460  # bytes of data in a segment: an Ethernet's, for IPv4
WINDOW = 65535
PSH = 8

Place = tuple[str, int]


def checksum(data: bytes) -> int:
    """The Internet checksum (RFC 1071)."""
    if len(data) % 2:
        data += b"\0"
    total: int = sum(struct.unpack(f">{len(data) // 2}H", data))
    while total >> 16:
        total = (total & 0xFFFF) + (total >> 16)
    return ~total & 0xFFFF


def datagram(source: bytes, target: bytes, payload: bytes) -> bytes:
    """A segment in an IP datagram, version by the addresses' length. The segment's checksum is put in."""
    if len(source) == 4:
        pseudo = source + target + struct.pack(">BBH", 0, 6, len(payload))
        head = struct.pack(">BBHHHBBH", 0x45, 0, 20 + len(payload), 0, 0x4000, 64, 6, 0) + source + target
        head = head[:10] + struct.pack(">H", checksum(head)) + head[12:]
    else:
        pseudo = source + target + struct.pack(">II", len(payload), 6)
        head = struct.pack(">IHBB", 6 << 28, len(payload), 6, 64) + source + target
    total = checksum(pseudo + payload)
    return head + payload[:16] + struct.pack(">H", total) + payload[18:]


class Conversation:
    """One connection. `side` 0 is the client's. Times are ns since the epoch."""

    def __init__(self, out: PcapWriter, client: Place, server: Place, at: int, first: int = 1000) -> None:
        """Writes the handshake. `first`: the client's sequence number. Raises ValueError for a place that is
        no IP address, or for two of different versions."""
        self.out = out
        self.ends = [(ipaddress.ip_address(host).packed, port) for host, port in (client, server)]
        if len(self.ends[0][0]) != len(self.ends[1][0]):
            raise ValueError(f"{client[0]} and {server[0]} are of different versions of IP")
        self.seq = [first % SEQUENCE_MODULUS, (first + 0x10000) % SEQUENCE_MODULUS]
        self.ended = False
        self.last = at  # ns, of the newest packet
        self.send(0, at, SYN)
        self.send(1, at, SYN | ACK)
        self.send(0, at, ACK)

    def send(self, side: int, at: int, flags: int, data: bytes = b"") -> None:
        (source, port), (target, other) = self.ends[side], self.ends[1 - side]
        options = struct.pack(">BBH", 2, 4, MSS) if flags & SYN else b""
        ack = self.seq[1 - side] if flags & ACK else 0
        offset = (20 + len(options)) << 2
        head = struct.pack(">HHIIBBHHH", port, other, self.seq[side], ack, offset, flags, WINDOW, 0, 0)
        self.last = at
        self.out.write(at, datagram(source, target, head + options + data))
        self.seq[side] = (self.seq[side] + len(data) + bool(flags & (SYN | FIN))) % SEQUENCE_MODULUS

    def data(self, side: int, at: int, data: bytes) -> None:
        """Bytes that one side sent, cut into segments, and the other side's acknowledgement."""
        for start in range(0, len(data), MSS):
            self.send(side, at, ACK | PSH, data[start : start + MSS])
        if data:
            self.send(1 - side, at, ACK)

    def skip(self, side: int, size: int) -> None:
        """So many bytes from that side are not known: they are a gap for whoever reads."""
        self.seq[side] = (self.seq[side] + size) % SEQUENCE_MODULUS

    def end(self, side: int, at: int, reset: bool = False) -> None:
        """It ends from this side: by a reset, or well."""
        if self.ended:
            return
        self.ended = True
        if reset:
            self.send(side, at, RST | ACK)
            return
        self.send(side, at, FIN | ACK)
        self.send(1 - side, at, FIN | ACK)
        self.send(side, at, ACK)
