"""From a packet to a TCP segment: link layers, IPv4 and IPv6 with extension headers and fragments.

Link types by the tcpdump group's registry; VLAN tags by IEEE 802.1Q and 802.1ad; IP by RFC 791 and RFC 8200.
Own layers and no library: what is wanted is one tuple a packet, with what a snapped packet lacks told apart
from what it never had, and nothing that a packet can raise.
"""

import struct
from collections import OrderedDict
from typing import NamedTuple

from message_sender.pcap.files import Packet

NULL, ETHERNET, RAW_OLD, RAW, LOOP, SLL, IPV4, IPV6, SLL2 = 0, 1, 12, 101, 108, 113, 228, 229, 276
VLANS = frozenset({0x8100, 0x88A8, 0x9100})
IP_TYPES = {0x0800, 0x86DD}
TCP, FRAGMENT = 6, 44
EXTENSIONS = frozenset({0, 43, 60, 135, 139, 140})  # hop-by-hop, routing, destination, mobility, HIP, shim6
AUTHENTICATION = 51
FIN, SYN, RST, ACK = 1, 2, 4, 16
MOST_FRAGMENTS = 256  # datagrams that wait for the rest of their fragments; the oldest goes

End = tuple[bytes, int]  # address and port


class Segment(NamedTuple):
    at: int  # ns since the epoch
    source: End
    target: End
    seq: int
    ack: int
    flags: int
    data: bytes
    lacks: int  # bytes behind `data` that were on the wire and not kept


class Layers:
    """Decodes packets one by one; keeps the fragments that wait for others."""

    def __init__(self) -> None:
        self.fragments: OrderedDict[tuple[bytes, ...], dict[int, tuple[bytes, bool]]] = OrderedDict()
        self.left_out = 0  # packets that hold no TCP that can be read

    def segment(self, packet: Packet) -> Segment | None:
        """The segment in a packet; None where there is none, or not all of its header."""
        try:
            if found := self.decode(packet):
                return found
        except (struct.error, IndexError):
            pass  # a header that is cut or lies
        self.left_out += 1
        return None

    def decode(self, packet: Packet) -> Segment | None:
        data, at = packet.data, network_layer(packet.link, packet.data)
        version = data[at] >> 4 if at >= 0 else 0
        if version == 4:
            return self.ipv4(packet.at, data, at)
        return self.ipv6(packet.at, data, at) if version == 6 else None

    def ipv4(self, when: int, data: bytes, at: int) -> Segment | None:
        total, ident, place, protocol = struct.unpack_from(">HHHxB", data, at + 2)
        start = at + (data[at] & 15) * 4
        # A total of 0: the sending machine's card cut the datagram up after it was captured.
        end = at + total if total else len(data)
        ends = data[at + 12 : at + 16], data[at + 16 : at + 20]
        if place & 0x3FFF:
            key = (*ends, ident.to_bytes(2, "big"), bytes([protocol]))
            whole = self.gather(key, (place & 0x1FFF) * 8, data[start:end], not place & 0x2000)
            return tcp(when, ends, whole, 0, len(whole)) if whole and protocol == TCP else None
        return tcp(when, ends, data, start, end) if protocol == TCP else None

    def ipv6(self, when: int, data: bytes, at: int) -> Segment | None:
        size, following = struct.unpack_from(">HB", data, at + 4)
        ends, start = (data[at + 8 : at + 24], data[at + 24 : at + 40]), at + 40
        end = start + size if size else len(data)
        while following != TCP:
            if following in EXTENSIONS:
                following, start = data[start], start + (data[start + 1] + 1) * 8
            elif following == AUTHENTICATION:
                following, start = data[start], start + (data[start + 1] + 2) * 4
            elif following == FRAGMENT:
                following, place, ident = data[start], *struct.unpack_from(">HI", data, start + 2)
                if place & 0xFFF9:  # else it is the only one
                    key = (*ends, ident.to_bytes(4, "big"))
                    whole = self.gather(key, place & 0xFFF8, data[start + 8 : end], not place & 1)
                    return tcp(when, ends, whole, 0, len(whole)) if whole and following == TCP else None
                start += 8
            else:
                return None
        return tcp(when, ends, data, start, end)

    def gather(self, key: tuple[bytes, ...], place: int, data: bytes, last: bool) -> bytes | None:
        """The datagram, once all of its fragments are here. Where they overlap, the first one stands."""
        found = self.fragments.setdefault(key, {})
        found.setdefault(place, (data, last))
        if len(self.fragments) > MOST_FRAGMENTS:
            self.fragments.popitem(last=False)
        whole = b""
        while (part := found.get(len(whole))) is not None:
            whole += part[0]
            if part[1]:
                del self.fragments[key]
                return whole
            if not part[0]:
                return None
        return None


def network_layer(link: int, data: bytes) -> int:
    """Where the IP header begins; -1 where there is none."""
    if link == ETHERNET:
        at = 12
    elif link in (RAW, RAW_OLD, IPV4, IPV6):
        return 0
    elif link in (NULL, LOOP):
        return 4
    elif link == SLL:
        at = 14
    elif link == SLL2:
        return 20 if int.from_bytes(data[:2], "big") in IP_TYPES else -1
    else:
        return -1
    kind = int.from_bytes(data[at : at + 2], "big")
    while kind in VLANS:
        at += 4
        kind = int.from_bytes(data[at : at + 2], "big")
    return at + 2 if kind in IP_TYPES else -1


HEADER = struct.Struct(">HHIIBB")


def tcp(when: int, ends: tuple[bytes, bytes], data: bytes, at: int, end: int) -> Segment | None:
    """`end` is where the datagram ends by its own word; the data may end before, where it was snapped."""
    source, target, seq, ack, offset, flags = HEADER.unpack_from(data, at)
    start = at + (offset >> 4) * 4
    if start < at + 20 or start > end:
        return None
    held = data[start:end]
    return Segment(when, (ends[0], source), (ends[1], target), seq, ack, flags, held, end - start - len(held))
