"""Capture files as streams of packets: reads pcap and pcapng, writes pcap with nanoseconds.

Formats: draft-ietf-opsawg-pcap (the file format of libpcap) and draft-ietf-opsawg-pcapng. A source is only
read forward, so that standard input and a growing file can be read. At most one packet and one buffer are in
memory; a packet or block whose stated size is above `BLOCK_BYTES_LIMIT` is rejected.

A source that is not a capture raises `MalformedCaptureError`. A truncated or malformed part after the file's
header ends the reading with a note: neither format has a mark at which reading could resume.
"""

import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import BinaryIO, NamedTuple

BLOCK_BYTES_LIMIT = 262_144  # of one packet or block; the limit of libpcap
READ_CHUNK_BYTES = 1 << 18
NS_PER_S = 1_000_000_000

LINK_RAW = 101  # link type: IPv4 or IPv6 without a header before it

PCAP_HEADER_BYTES = 24
PCAP_RECORD_HEADER_BYTES = 16
#: Byte order, and nanoseconds per unit of the fraction of a time, by the first four bytes of a pcap file.
PCAP_MAGIC = {
    b"\xd4\xc3\xb2\xa1": ("<", 1000),
    b"\xa1\xb2\xc3\xd4": (">", 1000),
    b"\x4d\x3c\xb2\xa1": ("<", 1),
    b"\xa1\xb2\x3c\x4d": (">", 1),
}

SECTION_BLOCK = 0x0A0D0D0A
SECTION_BLOCK_TYPE = SECTION_BLOCK.to_bytes(4, "little")  # the same in both byte orders
INTERFACE_BLOCK = 1
OBSOLETE_PACKET_BLOCK = 2
SIMPLE_PACKET_BLOCK = 3
ENHANCED_PACKET_BLOCK = 6
PACKET_BLOCKS = frozenset({SIMPLE_PACKET_BLOCK, ENHANCED_PACKET_BLOCK, OBSOLETE_PACKET_BLOCK})
PACKET_BLOCK_HEADER_BYTES = 20
BLOCK_HEADER_BYTES = 8
SECTION_BLOCK_MIN_BYTES = 28
BLOCK_OVERHEAD_BYTES = 64  # maximum size of a block beyond its packet
#: Byte order by the byte-order magic of a section.
SECTION_BYTE_ORDERS = {b"\x4d\x3c\x2b\x1a": "<", b"\x1a\x2b\x3c\x4d": ">"}

END_OF_OPTIONS = 0
TIME_RESOLUTION_OPTION = 9  # if_tsresol
TIME_OFFSET_OPTION = 14  # if_tsoffset
MAX_DECIMAL_RESOLUTION = 30

#: Called with the text of an irregularity.
NoteListener = Callable[[str], None]


def ignore_note(_: str) -> None:
    """Drops a note."""


class MalformedCaptureError(Exception):
    """A source is not a readable capture; the text states the reason in one line."""


class Packet(NamedTuple):
    """A captured packet.

    Attributes:
        at_ns: Recorded time, since the epoch.
        link_type: Link type from the registry of the tcpdump group.
        data: Captured bytes.
        original_size: Bytes on the wire; more than `len(data)` if the capture truncated the packet.
        interface: Number of the interface in the file.
    """

    at_ns: int
    link_type: int
    data: bytes
    original_size: int
    interface: int = 0


class BufferedSource:
    """Reads a stream through one buffer."""

    def __init__(self, stream: BinaryIO) -> None:
        """Creates a source with an empty buffer."""
        self.stream = stream
        self.buffer = b""
        self.offset = 0  # of the next byte in the buffer

    def read(self, size: int) -> bytes:
        """Returns the next `size` bytes, fewer only at the end of the stream."""
        end = self.offset + size
        if end > len(self.buffer):
            self._fill(size)
            end = size
        data = self.buffer[self.offset : end]
        self.offset += len(data)
        return data

    def _fill(self, size: int) -> None:
        chunks = [self.buffer[self.offset :]]
        available = len(chunks[0])
        while available < size and (chunk := self.stream.read(max(READ_CHUNK_BYTES, size - available))):
            chunks.append(chunk)
            available += len(chunk)
        self.buffer = b"".join(chunks)
        self.offset = 0


def read_packets(stream: BinaryIO, note: NoteListener = ignore_note) -> Iterator[Packet]:
    """Returns the packets of a capture in the order of the file.

    Args:
        stream: A pcap or pcapng file.
        note: Called for each irregularity.

    Raises:
        MalformedCaptureError: The stream is not a capture.
    """
    source = BufferedSource(stream)
    magic = source.read(4)
    if magic in PCAP_MAGIC:
        byte_order, unit_ns = PCAP_MAGIC[magic]
        return read_pcap(source, byte_order, unit_ns, note)
    if magic == SECTION_BLOCK_TYPE:
        return read_pcapng(source, note)
    if not magic:
        raise MalformedCaptureError("the file is empty")
    raise MalformedCaptureError(
        f"the file begins with {magic.hex()}, which is not the magic number of pcap or pcapng"
    )


def read_pcap(source: BufferedSource, byte_order: str, unit_ns: int, note: NoteListener) -> Iterator[Packet]:
    """Reads a pcap file, starting after its magic number.

    Raises:
        MalformedCaptureError: The file's header is incomplete.
    """
    header_size = PCAP_HEADER_BYTES - 4
    header = source.read(header_size)
    if len(header) < header_size:
        raise MalformedCaptureError("the file ends within its header")
    # The upper bits hold the length of a frame check sequence.
    link_type = struct.unpack(byte_order + "HHiIII", header)[5] & 0xFFFF
    return read_pcap_records(source, struct.Struct(byte_order + "IIII"), link_type, unit_ns, note)


def read_pcap_records(
    source: BufferedSource, record_header: struct.Struct, link_type: int, unit_ns: int, note: NoteListener
) -> Iterator[Packet]:
    """Yields the packets of a pcap file, starting after its header."""
    while header := source.read(PCAP_RECORD_HEADER_BYTES):
        if len(header) < PCAP_RECORD_HEADER_BYTES:
            note("the file ends within a packet's header")
            return
        seconds, fraction, captured_size, original_size = record_header.unpack(header)
        if captured_size > BLOCK_BYTES_LIMIT:
            note(f"a packet claims {captured_size} bytes; nothing behind it can be read")
            return
        data = source.read(captured_size)
        if len(data) < captured_size:
            note(f"the file ends within a packet, {captured_size - len(data)} bytes early")
            return
        at_ns = seconds * NS_PER_S + fraction * unit_ns
        yield Packet(at_ns, link_type, data, max(original_size, captured_size))


@dataclass(slots=True)
class Interface:
    """An interface of a pcapng section.

    Attributes:
        link_type: Link type of its packets.
        packet_bytes_limit: Maximum number of bytes captured of each packet; 0 for no limit.
        units_per_s: Units of a recorded time per second.
        offset_s: Seconds to add to each time.
    """

    link_type: int
    packet_bytes_limit: int
    units_per_s: int = 1_000_000
    offset_s: int = 0

    def time_ns(self, high: int, low: int) -> int:
        """Returns the time in ns since the epoch from the upper and lower 32 bits of a recorded time."""
        return ((high << 32) | low) * NS_PER_S // self.units_per_s + self.offset_s * NS_PER_S


class Section:
    """A section of a pcapng file.

    Attributes:
        byte_order: Byte order of its fields, as a prefix of `struct` formats.
        first_interface: Number of its first interface in the file.
        interfaces: Its interfaces, in the order of their blocks.
        last_packet_at_ns: Time of its last packet; used for simple packets, which have no time of their own.
    """

    def __init__(self, byte_order: str, first_interface: int) -> None:
        """Creates a section without interfaces."""
        self.byte_order = byte_order
        self.first_interface = first_interface
        self.interfaces: list[Interface] = []
        self.last_packet_at_ns = 0

    def unpack(self, fields: str, data: bytes, offset: int = 0) -> tuple[int, ...]:
        """Unpacks fields in the section's byte order."""
        return struct.unpack_from(self.byte_order + fields, data, offset)

    def add_interface(self, body: bytes) -> None:
        """Adds the interface that the body of a block describes."""
        link_type, _, packet_bytes_limit = self.unpack("HHI", body)
        interface = Interface(link_type, packet_bytes_limit)
        for code, value in self._options(body[8:]):
            if code == TIME_RESOLUTION_OPTION and value:
                interface.units_per_s = decode_time_resolution(value[0])
            elif code == TIME_OFFSET_OPTION and len(value) == 8:
                interface.offset_s = self.unpack("q", value)[0]
        self.interfaces.append(interface)

    def decode_packet(self, block_type: int, body: bytes) -> Packet:
        """Returns the packet in a block.

        Raises:
            struct.error: The block is too short.
            IndexError: The block refers to an unknown interface.
            ValueError: The stated size of the packet exceeds the block.
        """
        if block_type == SIMPLE_PACKET_BLOCK:
            return self._decode_simple_packet(body)
        fields = "IIIII" if block_type == ENHANCED_PACKET_BLOCK else "HxxIIII"
        number, high, low, captured_size, original_size = self.unpack(fields, body)
        if captured_size > len(body) - PACKET_BLOCK_HEADER_BYTES:
            raise ValueError(f"a packet claims {captured_size} bytes in a block of {len(body)}")
        interface = self.interfaces[number]
        self.last_packet_at_ns = interface.time_ns(high, low)
        return Packet(
            self.last_packet_at_ns,
            interface.link_type,
            body[PACKET_BLOCK_HEADER_BYTES : PACKET_BLOCK_HEADER_BYTES + captured_size],
            max(original_size, captured_size),
            self.first_interface + number,
        )

    def _decode_simple_packet(self, body: bytes) -> Packet:
        (original_size,) = self.unpack("I", body)
        interface = self.interfaces[0]
        captured_size = min(original_size, interface.packet_bytes_limit or original_size, len(body) - 4)
        data = body[4 : 4 + captured_size]
        return Packet(self.last_packet_at_ns, interface.link_type, data, original_size, self.first_interface)

    def _options(self, data: bytes) -> Iterator[tuple[int, bytes]]:
        """Yields code and value of each option."""
        offset = 0
        while offset + 4 <= len(data):
            code, size = self.unpack("HH", data, offset)
            if code == END_OF_OPTIONS:
                return
            yield code, data[offset + 4 : offset + 4 + size]
            padding = -size % 4
            offset += 4 + size + padding


def decode_time_resolution(value: int) -> int:
    """Returns the units of time per second from the value of the option if_tsresol."""
    if value & 0x80:
        return int(2 ** (value & 0x7F))
    return int(10 ** min(value, MAX_DECIMAL_RESOLUTION))


def read_pcapng(source: BufferedSource, note: NoteListener) -> Iterator[Packet]:
    """Yields the packets of a pcapng file, starting after the type of its first block."""
    section: Section | None = None
    type_bytes = SECTION_BLOCK_TYPE
    interface_count = 0
    while type_bytes:
        if type_bytes == SECTION_BLOCK_TYPE:
            interface_count += len(section.interfaces) if section else 0
            section = read_section(source, interface_count, note)
            if section is None:
                return
        elif section is None or not (block := read_block(source, section, type_bytes, note)):
            return
        else:
            block_type, body = block
            try:
                if block_type == INTERFACE_BLOCK:
                    section.add_interface(body)
                elif block_type in PACKET_BLOCKS:
                    yield section.decode_packet(block_type, body)
            except (struct.error, IndexError, ValueError) as error:
                note(f"a block is left out: {error}")
        type_bytes = source.read(4)


def read_section(source: BufferedSource, first_interface: int, note: NoteListener) -> Section | None:
    """Reads the header of a section, starting after its block type; returns None if it is malformed."""
    size_bytes = source.read(4)
    byte_order = SECTION_BYTE_ORDERS.get(source.read(4))
    if byte_order is None:
        note("a section tells no byte order; nothing behind it can be read")
        return None
    section = Section(byte_order, first_interface)
    (size,) = section.unpack("I", size_bytes)
    is_size_valid = SECTION_BLOCK_MIN_BYTES <= size <= BLOCK_BYTES_LIMIT
    if not is_size_valid or len(source.read(size - 12)) < size - 12:
        note("the file ends within the head of a section")
        return None
    return section


def read_block(
    source: BufferedSource, section: Section, type_bytes: bytes, note: NoteListener
) -> tuple[int, bytes] | None:
    """Reads a block, starting after its type; returns type and body, or None if it is malformed."""
    header = type_bytes + source.read(4)
    if len(header) < BLOCK_HEADER_BYTES:
        note("the file ends within a block's header")
        return None
    block_type, size = section.unpack("II", header)
    if size < 12 or size % 4 or size > BLOCK_BYTES_LIMIT + BLOCK_OVERHEAD_BYTES:
        note(f"a block claims {size} bytes; nothing behind it can be read")
        return None
    body = source.read(size - BLOCK_HEADER_BYTES)
    if len(body) < size - BLOCK_HEADER_BYTES:
        note("the file ends within a block")
        return None
    return block_type, body[:-4]


class PcapWriter:
    """Writes a little-endian pcap file with times in nanoseconds and the link type raw IP."""

    HEADER = struct.pack("<IHHiIII", 0xA1B23C4D, 2, 4, 0, 0, BLOCK_BYTES_LIMIT, LINK_RAW)
    RECORD_HEADER = struct.Struct("<IIII")

    def __init__(self, stream: BinaryIO) -> None:
        """Writes the header of the file.

        Raises:
            OSError: The stream cannot be written.
        """
        self.stream = stream
        self.size = len(self.HEADER)
        stream.write(self.HEADER)

    def write(self, at_ns: int, data: bytes) -> None:
        """Writes a packet.

        Args:
            at_ns: Time since the epoch in nanoseconds, from 0 to 2**32 seconds.
            data: IP datagram.

        Raises:
            OSError: The stream cannot be written.
        """
        seconds, nanoseconds = divmod(at_ns, NS_PER_S)
        header = self.RECORD_HEADER.pack(seconds, nanoseconds, len(data), len(data))
        self.stream.write(header + data)
        self.size += len(header) + len(data)
