"""Decoding of packets to TCP segments: link layers, IPv4 and IPv6 with extension headers and fragments.

Link types follow the tcpdump group's registry, VLAN tags IEEE 802.1Q and 802.1ad, IP RFC 791 and RFC 8200.
No library is used: the decoder must create only one tuple per packet, distinguish bytes that the capture left
out from bytes that were never sent, and not raise an exception for any packet.
"""

import struct
from collections import OrderedDict
from typing import NamedTuple

from message_sender.pcap.files import Packet

LINK_NULL = 0
LINK_ETHERNET = 1
LINK_RAW_OLD = 12
LINK_RAW = 101
LINK_LOOP = 108
LINK_SLL = 113
LINK_IPV4 = 228
LINK_IPV6 = 229
LINK_SLL2 = 276
#: Bytes before the IP header, for the link types whose header has a fixed size and no usable type field.
FIXED_LINK_HEADER_BYTES = {
    LINK_NULL: 4,
    LINK_LOOP: 4,
    LINK_RAW: 0,
    LINK_RAW_OLD: 0,
    LINK_IPV4: 0,
    LINK_IPV6: 0,
}
#: Offset of the EtherType, for the link types whose headers may contain VLAN tags.
ETHER_TYPE_OFFSETS = {LINK_ETHERNET: 12, LINK_SLL: 14}
SLL2_HEADER_BYTES = 20
VLAN_ETHER_TYPES = frozenset({0x8100, 0x88A8, 0x9100})
IP_ETHER_TYPES = frozenset({0x0800, 0x86DD})

PROTOCOL_TCP = 6
PROTOCOL_FRAGMENT = 44
PROTOCOL_AUTHENTICATION = 51
#: Hop-by-hop, routing, destination options, mobility, HIP and shim6 headers.
EXTENSION_PROTOCOLS = frozenset({0, 43, 60, 135, 139, 140})
IPV4_FRAGMENT_MASK = 0x3FFF  # "more fragments" and the offset
IPV4_MORE_FRAGMENTS = 0x2000
IPV4_OFFSET_MASK = 0x1FFF  # units of 8 bytes
IPV6_FRAGMENT_MASK = 0xFFF9  # "more fragments" and the offset
IPV6_MORE_FRAGMENTS = 1
IPV6_OFFSET_MASK = 0xFFF8  # bytes
IPV6_HEADER_BYTES = 40
FRAGMENT_HEADER_BYTES = 8
INCOMPLETE_DATAGRAMS_LIMIT = 256

FIN = 1
SYN = 2
RST = 4
ACK = 16
TCP_HEADER_BYTES = 20
_TCP_HEADER = struct.Struct(">HHIIBB")

#: Address in network byte order, and port.
Endpoint = tuple[bytes, int]


class Segment(NamedTuple):
    """A TCP segment.

    Attributes:
        at_ns: Capture time, since the epoch.
        source: Endpoint that sent it.
        target: Endpoint that it was sent to.
        seq: Sequence number.
        ack: Acknowledgement number; valid only with the flag ACK.
        flags: TCP flags.
        data: Captured payload.
        missing: Number of payload bytes after `data` that were on the wire and are not in the capture.
    """

    at_ns: int
    source: Endpoint
    target: Endpoint
    seq: int
    ack: int
    flags: int
    data: bytes
    missing: int


class SegmentDecoder:
    """Decodes packets one by one, and keeps the fragments of datagrams that are still incomplete."""

    def __init__(self) -> None:
        """Creates a decoder without fragments."""
        self.fragments: OrderedDict[tuple[bytes, ...], dict[int, tuple[bytes, bool]]] = OrderedDict()
        self.skipped_packets = 0  # packets without a TCP header that can be decoded

    def decode(self, packet: Packet) -> Segment | None:
        """Returns the TCP segment in a packet; None if there is none, or if its header is incomplete."""
        try:
            if segment := self._decode_network_layer(packet):
                return segment
        except (struct.error, IndexError):
            pass  # a truncated or malformed header
        self.skipped_packets += 1
        return None

    def _decode_network_layer(self, packet: Packet) -> Segment | None:
        data = packet.data
        offset = find_ip_header(packet.link_type, data)
        version = data[offset] >> 4 if offset >= 0 else 0
        if version == 4:
            return self._decode_ipv4(packet.at_ns, data, offset)
        if version == 6:
            return self._decode_ipv6(packet.at_ns, data, offset)
        return None

    def _decode_ipv4(self, at_ns: int, data: bytes, offset: int) -> Segment | None:
        total_size, identification, fragment, protocol = struct.unpack_from(">HHHxB", data, offset + 2)
        start = offset + (data[offset] & 15) * 4
        # A total size of 0 means that the network card split the datagram after it was captured.
        end = offset + total_size if total_size else len(data)
        addresses = data[offset + 12 : offset + 16], data[offset + 16 : offset + 20]
        if not fragment & IPV4_FRAGMENT_MASK:
            return decode_tcp(at_ns, addresses, data, start, end) if protocol == PROTOCOL_TCP else None
        key = (*addresses, identification.to_bytes(2, "big"), bytes([protocol]))
        fragment_offset = (fragment & IPV4_OFFSET_MASK) * 8
        is_last = not fragment & IPV4_MORE_FRAGMENTS
        payload = self._add_fragment(key, fragment_offset, data[start:end], is_last)
        if payload and protocol == PROTOCOL_TCP:
            return decode_tcp(at_ns, addresses, payload, 0, len(payload))
        return None

    def _decode_ipv6(self, at_ns: int, data: bytes, offset: int) -> Segment | None:
        payload_size, protocol = struct.unpack_from(">HB", data, offset + 4)
        addresses = data[offset + 8 : offset + 24], data[offset + 24 : offset + 40]
        start = offset + IPV6_HEADER_BYTES
        end = start + payload_size if payload_size else len(data)
        while protocol != PROTOCOL_TCP:
            next_protocol = data[start]
            if protocol in EXTENSION_PROTOCOLS:
                start += (data[start + 1] + 1) * 8
            elif protocol == PROTOCOL_AUTHENTICATION:
                start += (data[start + 1] + 2) * 4
            elif protocol == PROTOCOL_FRAGMENT:
                fragment, identification = struct.unpack_from(">HI", data, start + 2)
                start += FRAGMENT_HEADER_BYTES
                if fragment & IPV6_FRAGMENT_MASK:  # otherwise it is the only fragment of its datagram
                    key = (*addresses, identification.to_bytes(4, "big"))
                    is_last = not fragment & IPV6_MORE_FRAGMENTS
                    fragment_offset = fragment & IPV6_OFFSET_MASK
                    payload = self._add_fragment(key, fragment_offset, data[start:end], is_last)
                    if payload and next_protocol == PROTOCOL_TCP:
                        return decode_tcp(at_ns, addresses, payload, 0, len(payload))
                    return None
            else:
                return None
            protocol = next_protocol
        return decode_tcp(at_ns, addresses, data, start, end)

    def _add_fragment(self, key: tuple[bytes, ...], offset: int, data: bytes, is_last: bool) -> bytes | None:
        """Adds a fragment and returns the payload of its datagram; None while it is incomplete.

        Where fragments overlap, the first captured one with an offset is used.
        """
        fragments = self.fragments.setdefault(key, {})
        fragments.setdefault(offset, (data, is_last))
        if len(self.fragments) > INCOMPLETE_DATAGRAMS_LIMIT:
            self.fragments.popitem(last=False)
        payload = b""
        while (fragment := fragments.get(len(payload))) is not None:
            fragment_data, ends_datagram = fragment
            payload += fragment_data
            if ends_datagram:
                del self.fragments[key]
                return payload
            if not fragment_data:
                return None
        return None


def find_ip_header(link_type: int, data: bytes) -> int:
    """Returns the offset of the IP header; -1 if there is none."""
    offset = ETHER_TYPE_OFFSETS.get(link_type)
    if offset is None:
        if link_type == LINK_SLL2:
            return SLL2_HEADER_BYTES if int.from_bytes(data[:2], "big") in IP_ETHER_TYPES else -1
        return FIXED_LINK_HEADER_BYTES.get(link_type, -1)
    ether_type = int.from_bytes(data[offset : offset + 2], "big")
    while ether_type in VLAN_ETHER_TYPES:
        offset += 4
        ether_type = int.from_bytes(data[offset : offset + 2], "big")
    return offset + 2 if ether_type in IP_ETHER_TYPES else -1


def decode_tcp(
    at_ns: int, addresses: tuple[bytes, bytes], data: bytes, offset: int, end: int
) -> Segment | None:
    """Decodes the TCP segment at `offset`.

    Args:
        at_ns: Capture time.
        addresses: Source and target address.
        data: The packet, or a reassembled datagram.
        offset: Where the TCP header begins.
        end: Where the datagram ends according to its IP header; truncated `data` ends before it.

    Returns:
        The segment; None if the header size that the header states is impossible.

    Raises:
        struct.error: The header is incomplete.
    """
    source_port, target_port, seq, ack, data_offset, flags = _TCP_HEADER.unpack_from(data, offset)
    start = offset + (data_offset >> 4) * 4
    if start < offset + TCP_HEADER_BYTES or start > end:
        return None
    payload = data[start:end]
    source = (addresses[0], source_port)
    target = (addresses[1], target_port)
    return Segment(at_ns, source, target, seq, ack, flags, payload, end - start - len(payload))
