"""Capture files as streams of packets: pcap and pcapng in, pcap with nanoseconds out.

Formats: draft-ietf-opsawg-pcap (libpcap's savefile) and draft-ietf-opsawg-pcapng. A source is only ever read
forward, so that standard input and a file that still grows will do. Memory is one packet and one buffer: a
length that a file claims is believed only up to `MOST`.

What cannot be read at all raises `MalformedCaptureError`. What breaks off or lies later on ends the reading
with a note: in neither format is there a mark from which reading could be taken up again.
"""

import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import BinaryIO, NamedTuple

MOST = 262_144  # bytes of one packet or block; libpcap's own bound
CHUNK = 1 << 18
SECOND = 1_000_000_000

#: First four bytes of a pcap file: byte order, nanoseconds in one unit of the fraction.
MAGIC = {
    b"\xd4\xc3\xb2\xa1": ("<", 1000),
    b"\xa1\xb2\xc3\xd4": (">", 1000),
    b"\x4d\x3c\xb2\xa1": ("<", 1),
    b"\xa1\xb2\x3c\x4d": (">", 1),
}
SECTION, INTERFACE, SIMPLE, OBSOLETE, ENHANCED = 0x0A0D0D0A, 1, 3, 2, 6
RESOLUTION, OFFSET = 9, 14  # options of an interface: if_tsresol, if_tsoffset

Notes = Callable[[str], None]


class MalformedCaptureError(Exception):
    """This is no capture, or one of which nothing can be read. The text says why, in one line."""


class Packet(NamedTuple):
    at: int  # ns since the epoch, as recorded
    link: int  # link type
    data: bytes
    size: int  # bytes on the wire; above len(data) where the capture snapped it
    interface: int = 0


class Source:
    """Bytes of a stream, with one buffer of what was read ahead."""

    def __init__(self, stream: BinaryIO) -> None:
        self.stream, self.buffer, self.at = stream, b"", 0

    def take(self, size: int) -> bytes:
        """The next bytes, or as many as there are before the end."""
        end = self.at + size
        if end > len(self.buffer):
            parts, have = [self.buffer[self.at :]], len(self.buffer) - self.at
            while have < size and (more := self.stream.read(max(CHUNK, size - have))):
                parts.append(more)
                have += len(more)
            self.buffer, self.at, end = b"".join(parts), 0, size
        found = self.buffer[self.at : end]
        self.at += len(found)
        return found


def read(stream: BinaryIO, notes: Notes = lambda text: None) -> Iterator[Packet]:
    """The packets of a capture, in the order of the file. Raises BadCapture where it is none."""
    source = Source(stream)
    magic = source.take(4)
    if magic in MAGIC:
        return read_pcap(source, *MAGIC[magic], notes)
    if magic == SECTION.to_bytes(4, "little"):  # the same in both byte orders
        return read_pcapng(source, notes)
    raise MalformedCaptureError(
        f"it begins with {magic.hex()}, which no capture does" if magic else "the file is empty"
    )


def read_pcap(source: Source, order: str, unit: int, notes: Notes) -> Iterator[Packet]:
    head = source.take(20)
    if len(head) < 20:
        raise MalformedCaptureError("it ends within its first header")
    link = struct.unpack(order + "HHiIII", head)[5] & 0xFFFF  # above: the length of a frame check sequence
    return pcap_records(source, struct.Struct(order + "IIII"), link, unit, notes)


def pcap_records(source: Source, form: struct.Struct, link: int, unit: int, notes: Notes) -> Iterator[Packet]:
    while head := source.take(16):
        if len(head) < 16:
            notes("the file ends within a packet's header")
            return
        seconds, fraction, kept, size = form.unpack(head)
        if kept > MOST:
            notes(f"a packet claims {kept} bytes; nothing behind it can be read")
            return
        if len(data := source.take(kept)) < kept:
            notes(f"the file ends within a packet, {kept - len(data)} bytes early")
            return
        yield Packet(seconds * SECOND + fraction * unit, link, data, max(size, kept))


@dataclass(slots=True)
class Interface:
    link: int
    most: int  # bytes kept of each packet; 0: all
    parts: int = 1_000_000  # units in a second
    offset: int = 0  # s

    def time(self, high: int, low: int) -> int:
        return ((high << 32) | low) * SECOND // self.parts + self.offset * SECOND


class Section:
    """One section of a pcapng file: its byte order and its interfaces."""

    def __init__(self, order: str, first: int) -> None:
        self.order, self.first = order, first  # first: the number of its first interface in the file
        self.interfaces: list[Interface] = []
        self.last = 0  # ns, the time of the packet before: a simple packet tells none

    def unpack(self, form: str, data: bytes, at: int = 0) -> tuple[int, ...]:
        return struct.unpack_from(self.order + form, data, at)

    def add(self, body: bytes) -> None:
        link, _, most = self.unpack("HHI", body)
        found = Interface(link, most)
        for code, value in self.options(body[8:]):
            if code == RESOLUTION and value:
                found.parts = 2 ** (value[0] & 0x7F) if value[0] & 0x80 else 10 ** min(value[0], 30)
            elif code == OFFSET and len(value) == 8:
                found.offset = self.unpack("q", value)[0]
        self.interfaces.append(found)

    def options(self, data: bytes) -> Iterator[tuple[int, bytes]]:
        at = 0
        while at + 4 <= len(data):
            code, size = self.unpack("HH", data, at)
            if code == 0:
                return
            yield code, data[at + 4 : at + 4 + size]
            at += 4 + size + -size % 4

    def packet(self, kind: int, body: bytes) -> Packet:
        """Raises struct.error, IndexError or ValueError for a block that does not hold what it says."""
        if kind == SIMPLE:
            (size,) = self.unpack("I", body)
            interface = self.interfaces[0]
            kept = min(size, interface.most or size, len(body) - 4)
            return Packet(self.last, interface.link, body[4 : 4 + kept], size, self.first)
        number, high, low, kept, size = self.unpack("IIIII" if kind == ENHANCED else "HxxIIII", body)
        if kept > len(body) - 20:
            raise ValueError(f"a packet claims {kept} bytes in a block of {len(body)}")
        interface = self.interfaces[number]
        self.last = interface.time(high, low)
        return Packet(self.last, interface.link, body[20 : 20 + kept], max(size, kept), self.first + number)


def read_pcapng(source: Source, notes: Notes) -> Iterator[Packet]:
    section: Section | None = None
    head, count = SECTION.to_bytes(4, "little"), 0
    while head:
        if head == SECTION.to_bytes(4, "little"):
            count += len(section.interfaces) if section else 0
            section = begin_section(source, count, notes)
            if section is None:
                return
        elif section is None or not (block := read_block(source, section, head, notes)):
            return
        else:
            try:
                kind, body = block
                if kind == INTERFACE:
                    section.add(body)
                elif kind in (SIMPLE, ENHANCED, OBSOLETE):
                    yield section.packet(kind, body)
            except (struct.error, IndexError, ValueError) as error:
                notes(f"a block is left out: {error}")
        head = source.take(4)


def begin_section(source: Source, first: int, notes: Notes) -> Section | None:
    size, order = source.take(4), source.take(4)
    if order not in (b"\x4d\x3c\x2b\x1a", b"\x1a\x2b\x3c\x4d"):
        notes("a section tells no byte order; nothing behind it can be read")
        return None
    section = Section("<" if order[0] == 0x4D else ">", first)
    (length,) = section.unpack("I", size)
    if length < 28 or length > MOST or len(source.take(length - 12)) < length - 12:
        notes("the file ends within the head of a section")
        return None
    return section


def read_block(source: Source, section: Section, head: bytes, notes: Notes) -> tuple[int, bytes] | None:
    told = source.take(4)
    if len(head + told) < 8:
        notes("the file ends within a block's header")
        return None
    kind, size = section.unpack("II", head + told)
    if size < 12 or size % 4 or size > MOST + 64:
        notes(f"a block claims {size} bytes; nothing behind it can be read")
        return None
    if len(body := source.take(size - 8)) < size - 8:
        notes("the file ends within a block")
        return None
    return kind, body[:-4]


RAW = 101  # link type: IPv4 or IPv6 with nothing before it


class Writer:
    """A pcap file with nanoseconds, in the byte order of most readers; link type raw IP."""

    HEAD = struct.pack("<IHHiIII", 0xA1B23C4D, 2, 4, 0, 0, MOST, RAW)

    def __init__(self, out: BinaryIO) -> None:
        """Writes the file's head. Raises OSError as its stream does."""
        self.out, self.size = out, len(self.HEAD)
        out.write(self.HEAD)

    def write(self, at: int, data: bytes) -> None:
        """One packet, at ns since the epoch (0 to 2**32 s)."""
        self.out.write(struct.pack("<IIII", at // SECOND, at % SECOND, len(data), len(data)) + data)
        self.size += 16 + len(data)
