"""Writing of connections as captures that other tools can read: handshakes, segments, ends, checksums.

A program only knows the bytes of a connection and the times at which it read or wrote them. These times are
kept; sequence numbers, the handshake and the acknowledgements are synthetic.
"""

import ipaddress
import struct

from message_sender.pcap.files import PcapWriter
from message_sender.pcap.layers import ACK, FIN, PROTOCOL_TCP, RST, SYN, TCP_HEADER_BYTES, Endpoint
from message_sender.pcap.reassembly import SEQUENCE_MODULUS

SEGMENT_DATA_BYTES = 1460  # fits into an Ethernet frame with IPv4
WINDOW_BYTES = 65535
HOP_LIMIT = 64
DONT_FRAGMENT = 0x4000
PSH = 8
MAXIMUM_SEGMENT_SIZE_OPTION = struct.pack(">BBH", 2, 4, SEGMENT_DATA_BYTES)
DEFAULT_CLIENT_SEQ = 1000
SERVER_SEQ_DISTANCE = 0x10000  # from the client's first sequence number to the server's
IPV4_ADDRESS_BYTES = 4
IPV4_HEADER_BYTES = 20
_TCP_CHECKSUM = slice(16, 18)
_IPV4_CHECKSUM = slice(10, 12)

#: IP address as text, and port.
Address = tuple[str, int]


def compute_checksum(data: bytes) -> int:
    """Returns the Internet checksum (RFC 1071)."""
    if len(data) % 2:
        data += b"\0"
    total: int = sum(struct.unpack(f">{len(data) // 2}H", data))
    while total >> 16:
        total = (total & 0xFFFF) + (total >> 16)
    return ~total & 0xFFFF


def with_checksum(header: bytes, field: slice, checksum: int) -> bytes:
    """Returns the header with a checksum in one of its fields."""
    return header[: field.start] + struct.pack(">H", checksum) + header[field.stop :]


def build_datagram(source: bytes, target: bytes, segment: bytes) -> bytes:
    """Returns an IP datagram that contains a TCP segment, with the checksums of both.

    Args:
        source: Source address: 4 bytes for IPv4, 16 bytes for IPv6.
        target: Target address of the same version.
        segment: TCP segment with a checksum of 0.
    """
    addresses = source + target
    size = len(segment)
    if len(source) == IPV4_ADDRESS_BYTES:
        pseudo_header = addresses + struct.pack(">BBH", 0, PROTOCOL_TCP, size)
        total_size = IPV4_HEADER_BYTES + size
        fields = (0x45, 0, total_size, 0, DONT_FRAGMENT, HOP_LIMIT, PROTOCOL_TCP, 0)
        header = struct.pack(">BBHHHBBH", *fields) + addresses
        header = with_checksum(header, _IPV4_CHECKSUM, compute_checksum(header))
    else:
        pseudo_header = addresses + struct.pack(">II", size, PROTOCOL_TCP)
        header = struct.pack(">IHBB", 6 << 28, size, PROTOCOL_TCP, HOP_LIMIT) + addresses
    return header + with_checksum(segment, _TCP_CHECKSUM, compute_checksum(pseudo_header + segment))


class ConnectionWriter:
    """Writes one connection. Side 0 is the client, side 1 the server; times are ns since the epoch.

    Attributes:
        last_packet_at_ns: Time of the last packet written.
    """

    def __init__(
        self,
        capture: PcapWriter,
        client: Address,
        server: Address,
        at_ns: int,
        client_seq: int = DEFAULT_CLIENT_SEQ,
    ) -> None:
        """Writes the handshake.

        Args:
            capture: The file that the packets are written to.
            client: Address of the client.
            server: Address of the server.
            at_ns: Time of the handshake.
            client_seq: First sequence number of the client.

        Raises:
            ValueError: An address is not an IP address, or the IP versions differ.
        """
        self.last_packet_at_ns = at_ns
        self._capture = capture
        self._endpoints: list[Endpoint] = [
            (ipaddress.ip_address(host).packed, port) for host, port in (client, server)
        ]
        if len(self._endpoints[0][0]) != len(self._endpoints[1][0]):
            raise ValueError(f"{client[0]} and {server[0]} are of different versions of IP")
        server_seq = client_seq + SERVER_SEQ_DISTANCE
        self._seqs = [client_seq % SEQUENCE_MODULUS, server_seq % SEQUENCE_MODULUS]
        self._has_ended = False
        self._write_segment(0, at_ns, SYN)
        self._write_segment(1, at_ns, SYN | ACK)
        self._write_segment(0, at_ns, ACK)

    def write_data(self, side: int, at_ns: int, data: bytes) -> None:
        """Writes bytes that a side sent as segments, and an acknowledgement from the other side."""
        for start in range(0, len(data), SEGMENT_DATA_BYTES):
            self._write_segment(side, at_ns, ACK | PSH, data[start : start + SEGMENT_DATA_BYTES])
        if data:
            self._write_segment(1 - side, at_ns, ACK)

    def skip(self, side: int, size: int) -> None:
        """Leaves a gap of `size` bytes in the data that a side sent."""
        self._seqs[side] = (self._seqs[side] + size) % SEQUENCE_MODULUS

    def end(self, side: int, at_ns: int, is_reset: bool = False) -> None:
        """Writes the end of the connection, initiated by a side: an RST, or a FIN in both directions."""
        if self._has_ended:
            return
        self._has_ended = True
        if is_reset:
            self._write_segment(side, at_ns, RST | ACK)
            return
        self._write_segment(side, at_ns, FIN | ACK)
        self._write_segment(1 - side, at_ns, FIN | ACK)
        self._write_segment(side, at_ns, ACK)

    def _write_segment(self, side: int, at_ns: int, flags: int, data: bytes = b"") -> None:
        source, source_port = self._endpoints[side]
        target, target_port = self._endpoints[1 - side]
        options = MAXIMUM_SEGMENT_SIZE_OPTION if flags & SYN else b""
        seq = self._seqs[side]
        ack = self._seqs[1 - side] if flags & ACK else 0
        offset = (TCP_HEADER_BYTES + len(options)) << 2
        fields = (source_port, target_port, seq, ack, offset, flags, WINDOW_BYTES, 0, 0)
        header = struct.pack(">HHIIBBHHH", *fields)
        self.last_packet_at_ns = at_ns
        self._capture.write(at_ns, build_datagram(source, target, header + options + data))
        self._seqs[side] = (seq + len(data) + bool(flags & (SYN | FIN))) % SEQUENCE_MODULUS
